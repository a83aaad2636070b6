//! Replay with other settings: which commands would have been issued, which rules would have been broken, and service.

mod admission;
mod outcome_feed;
mod timeline;

pub use timeline::{ServerShare, ServiceEstimatePoint, TimelinePoint};

use crate::estimate::Service;
use crate::rule_tracker::RuleTracker;
use crate::{parse_fleet, seconds_of, start_session, take_step, time_of, ReplayError};
use outcome_feed::OutcomeFeed;
use runloom_control_session::recording::replay_event;
use runloom_control_session::ControlSession;
use runloom_event_log::entry::{RecordedServer, SentUpdate};
use runloom_event_log::{Entry, RecordedEvent};
use runloom_model::fleet::Fleet;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;
use timeline::{server_shares, Timeline};

/// Acknowledgement delay of a proxy that acknowledged nothing in the log.
const DEFAULT_ACK_DELAY: Duration = Duration::from_millis(20);
/// Seed of the estimate's resampling: the same log gives the same interval.
const ESTIMATE_SEED: u64 = 1;

/// What differs from the recorded settings.
#[derive(Debug, Clone, Default)]
pub struct WhatIfSettings {
    /// Another fleet, which holds for the whole log; recorded edits of the fleet are ignored.
    pub fleet: Option<Fleet>,
    /// Another seed.
    pub seed: Option<u64>,
    /// Without the safety guard.
    pub is_unguarded: bool,
    /// Replays the log up to this time only.
    pub until: Option<Duration>,
}

/// What one side of a comparison came to.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SideSummary {
    /// Violations of rules, one sentence each.
    #[serde(rename = "rules_broken")]
    pub violations: Vec<String>,
    /// Messages to proxies.
    pub messages: u64,
    /// Table entries in them.
    #[serde(rename = "lines")]
    pub entries: u64,
    /// The most table entries that were on their way at a time.
    #[serde(rename = "lines_waiting_most")]
    pub max_queued_entries: u64,
    /// Commands that the safety guard rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

/// A log under its recorded settings and under others.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Comparison {
    /// Under the recorded settings.
    #[serde(rename = "was")]
    pub recorded: SideSummary,
    /// Under the other settings.
    #[serde(rename = "would")]
    pub changed: SideSummary,
    /// Service under both.
    pub service: Service,
    /// Seconds of the log.
    pub seconds: f64,
    /// Service over time.
    #[serde(rename = "series")]
    pub service_timeline: Vec<ServiceEstimatePoint>,
    /// Table entries sent so far, over time.
    #[serde(rename = "lines")]
    pub entries_timeline: Vec<TimelinePoint>,
    /// Commands rejected so far, over time.
    #[serde(rename = "refused")]
    pub rejected_timeline: Vec<TimelinePoint>,
    /// Servers' shares of all tables at the end.
    #[serde(rename = "standings")]
    pub server_shares: Vec<ServerShare>,
}

/// Median time that each proxy took to acknowledge a message.
struct AckDelays(BTreeMap<String, Duration>);

impl AckDelays {
    fn measure(entries: &[Entry]) -> AckDelays {
        let mut in_flight: BTreeMap<(String, u64), u64> = BTreeMap::new();
        let mut delays: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for entry in entries {
            match &entry.event {
                RecordedEvent::Step { sent, .. } => {
                    let keys = sent.iter().map(|update| (update.proxy.clone(), update.number));
                    in_flight.extend(keys.map(|key| (key, entry.at_us)));
                }
                RecordedEvent::UpdateAcknowledged { proxy, number } => {
                    if let Some(sent_at) = in_flight.remove(&(proxy.clone(), *number)) {
                        delays.entry(proxy.clone()).or_default().push(entry.at_us.saturating_sub(sent_at));
                    }
                }
                _ => {}
            }
        }
        let median = |mut all: Vec<u64>| {
            all.sort_unstable();
            Duration::from_micros(all[all.len() / 2])
        };
        AckDelays(delays.into_iter().map(|(proxy, all)| (proxy, median(all))).collect())
    }

    fn of(&self, proxy: &str) -> Duration {
        self.0.get(proxy).copied().unwrap_or(DEFAULT_ACK_DELAY)
    }
}

/// One of the two replays that are compared, and the tables as they come in force.
pub(crate) struct Side {
    session: ControlSession,
    pub(crate) tracker: RuleTracker,
    /// The fleet as recorded at this time.
    recorded_fleet: Fleet,
    /// The fleet that replaces it throughout.
    fixed_fleet: Option<Fleet>,
    /// Numbers of the messages that will be acknowledged, by time and proxy.
    pending_acks: BTreeMap<(Duration, String), u64>,
    rejected: u64,
}

impl Side {
    fn new(entries: &[Entry], settings: &WhatIfSettings) -> Result<Side, ReplayError> {
        let mut session = start_session(entries, settings.fleet.as_ref(), settings.seed)?;
        session.is_guarded = !settings.is_unguarded;
        let epoch = match entries.first().map(|entry| &entry.event) {
            Some(RecordedEvent::PlannerStarted { epoch_ms, .. }) => *epoch_ms,
            _ => 0,
        };
        let tracker = RuleTracker::new(session.fleet().clone(), epoch);
        let recorded_fleet = start_session(entries, None, None)?.fleet().clone();
        Ok(Side {
            session,
            tracker,
            recorded_fleet,
            fixed_fleet: settings.fleet.clone(),
            pending_acks: BTreeMap::new(),
            rejected: 0,
        })
    }

    fn step(&mut self, now: Duration, ack_delays: &AckDelays) {
        self.session.step(now);
        let Some(RecordedEvent::Step { texts, sent, rejections, .. }) = take_step(&mut self.session) else {
            return;
        };
        self.rejected += rejections.len() as u64;
        for update in sent {
            let SentUpdate { proxy, number, text_index, entries } = update;
            self.tracker.record_sent(now, &proxy, number, &texts[text_index as usize], entries);
            self.pending_acks.insert((now + ack_delays.of(&proxy), proxy), number);
        }
    }

    /// Lets time pass up to `until`: acknowledgements come, and the session's timers fire.
    fn advance(&mut self, until: Duration, ack_delays: &AckDelays) {
        loop {
            let next_ack = self.pending_acks.first_key_value().map(|((at, _), _)| *at);
            let next_wakeup = self.session.next_wakeup();
            let next = [next_ack, next_wakeup].into_iter().flatten().min();
            let Some(now) = next.filter(|at| *at <= until) else { return };
            if next_ack == Some(now) {
                self.acknowledge_next(now);
            }
            self.step(now, ack_delays);
        }
    }

    fn acknowledge_next(&mut self, now: Duration) {
        let Some(((_, proxy), number)) = self.pending_acks.pop_first() else { return };
        if let Some(id) = self.session.proxy(&proxy) {
            self.session.acknowledge(now, id, number);
        }
        self.tracker.record_acknowledged(&proxy, number);
    }

    fn replay_entry(&mut self, entry: &Entry, ack_delays: &AckDelays) -> Result<(), ReplayError> {
        let now = time_of(entry);
        self.advance(now, ack_delays);
        match &entry.event {
            // Steps and acknowledgements are the side's own.
            RecordedEvent::Step { .. }
            | RecordedEvent::UpdateAcknowledged { .. }
            | RecordedEvent::EntriesLost { .. } => {}
            RecordedEvent::Reconfigured { fleet, seed } => {
                self.recorded_fleet = parse_fleet(fleet)?;
                if self.fixed_fleet.is_none() {
                    self.session.reconfigure(self.recorded_fleet.clone(), *seed);
                }
            }
            event => self.replay_event(entry, event),
        }
        if matches!(entry.event, RecordedEvent::ProxyConnected { .. } | RecordedEvent::EndpointsListed { .. })
        {
            self.step(now, ack_delays);
        }
        self.tracker.check_tables(now);
        Ok(())
    }

    fn replay_event(&mut self, entry: &Entry, event: &RecordedEvent) {
        if let RecordedEvent::ProxyDisconnected { proxy } = event {
            self.pending_acks.retain(|(_, pending), _| pending != proxy);
        }
        let changed = self.change_list(event).map(|event| Entry { at_us: entry.at_us, event });
        let entry = changed.as_ref().unwrap_or(entry);
        replay_event(&mut self.session, time_of(entry), &entry.event);
        self.tracker.handle_event(entry);
    }

    /// The endpoint list as it would be under the fixed fleet: recorded weights and drains contain the recorded
    /// fleet's shares, weights and drains already.
    fn change_list(&self, event: &RecordedEvent) -> Option<RecordedEvent> {
        let fixed_fleet = self.fixed_fleet.as_ref()?;
        let RecordedEvent::EndpointsListed { is_complete, servers, removed } = event else { return None };
        let mut servers = servers.clone();
        servers.iter_mut().for_each(|server| self.change_server(fixed_fleet, server));
        Some(RecordedEvent::EndpointsListed { is_complete: *is_complete, servers, removed: removed.clone() })
    }

    fn change_server(&self, fixed_fleet: &Fleet, server: &mut RecordedServer) {
        let recorded = self.recorded_fleet.overrides.get(&server.name);
        let fixed = fixed_fleet.overrides.get(&server.name);
        // Under an operator's weight the feed's is unknown; 1 is that of a list without weights.
        let feed_weight = match recorded.and_then(|entry| entry.weight) {
            Some(_) => 1.0,
            None => server.weight / self.recorded_fleet.zone_share(&server.zone),
        };
        let weight = fixed.and_then(|entry| entry.weight).unwrap_or(feed_weight);
        server.weight = weight * fixed_fleet.zone_share(&server.zone);
        let is_drained_by_operator = recorded.is_some_and(|entry| entry.is_draining);
        let is_drained_by_feed = server.is_draining && !is_drained_by_operator;
        server.is_draining = is_drained_by_feed || fixed.is_some_and(|entry| entry.is_draining);
    }

    fn summary(&self) -> SideSummary {
        SideSummary {
            violations: self.tracker.violations(),
            messages: self.tracker.messages,
            entries: self.tracker.entries,
            max_queued_entries: self.tracker.max_queued_entries,
            rejected: self.rejected,
        }
    }
}

/// Replays a log under its own settings and under others.
///
/// On both sides each proxy acknowledges after its median recorded delay, so that they differ by their settings alone.
///
/// # Errors
/// Fails if the log does not begin with a start, or a recorded fleet is invalid.
pub fn compare(entries: &[Entry], settings: &WhatIfSettings) -> Result<Comparison, ReplayError> {
    let ack_delays = AckDelays::measure(entries);
    let mut recorded = Side::new(entries, &WhatIfSettings::default())?;
    let mut changed = Side::new(entries, settings)?;
    let mut outcomes = OutcomeFeed::new(entries, recorded.session.fleet());
    let until = settings.until.unwrap_or(Duration::MAX);
    let mut entries_timeline = Timeline::default();
    let mut rejected_timeline = Timeline::default();
    let mut seconds = 0.0;
    for entry in entries[1..].iter().take_while(|entry| time_of(entry) < until) {
        recorded.replay_entry(entry, &ack_delays)?;
        changed.replay_entry(entry, &ack_delays)?;
        seconds = seconds_of(entry);
        entries_timeline.record(entry.at_us, recorded.tracker.entries, changed.tracker.entries);
        rejected_timeline.record(entry.at_us, recorded.rejected, changed.rejected);
        outcomes.handle_entry(entry, &recorded, &changed);
    }
    let estimate = outcomes.into_estimate();
    let mut service = estimate.service(ESTIMATE_SEED);
    service.valid_seconds = service.valid_seconds.min(seconds);
    Ok(Comparison {
        recorded: recorded.summary(),
        changed: changed.summary(),
        service,
        seconds,
        service_timeline: estimate.timeline(),
        entries_timeline: entries_timeline.points,
        rejected_timeline: rejected_timeline.points,
        server_shares: server_shares(&recorded.tracker, &changed.tracker),
    })
}
