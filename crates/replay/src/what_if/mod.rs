//! Replay with other settings, which shows the commands that would have been issued, the rules that would have been
//! broken, and an estimate of service.

mod admission;
mod outcome_feed;
mod timeline;

pub use timeline::{ServerShare, ServiceEstimatePoint, TimelinePoint};

use crate::estimate::Service;
use crate::rule_tracker::RuleTracker;
use crate::{parse_fleet, seconds_of, start_session, take_recorded_step, time_of, ReplayError};
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

/// Assumed acknowledgement delay of a proxy that acknowledged nothing in the log.
const DEFAULT_ACK_DELAY: Duration = Duration::from_millis(20);
/// Seed of the estimate's bootstrap. It is fixed, so that the same log gives the same interval.
const ESTIMATE_SEED: u64 = 1;

/// What differs from the recorded settings.
#[derive(Debug, Clone, Default)]
pub struct WhatIfSettings {
    /// Another fleet for the whole log, with which recorded edits of the fleet are ignored; `None` for the recorded
    /// one.
    pub fleet: Option<Fleet>,
    /// Another seed of the controller; `None` for the recorded one.
    pub seed: Option<u64>,
    /// Whether commands bypass the safety guard.
    pub is_unguarded: bool,
    /// Ends the replay at this time since the planner's start; `None` for the whole log.
    pub until: Option<Duration>,
}

/// The result of one side of a comparison.
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
    /// The most table entries that were in flight at a time, with the overhead of their messages.
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
    /// Service under both settings.
    pub service: Service,
    /// Seconds of the log that were replayed.
    pub seconds: f64,
    /// Service of each block of time.
    #[serde(rename = "series")]
    pub service_timeline: Vec<ServiceEstimatePoint>,
    /// Table entries sent so far, once a second.
    #[serde(rename = "lines")]
    pub entries_timeline: Vec<TimelinePoint>,
    /// Commands rejected so far, once a second.
    #[serde(rename = "refused")]
    pub rejected_timeline: Vec<TimelinePoint>,
    /// Servers' shares of all tables at the end.
    #[serde(rename = "standings")]
    pub server_shares: Vec<ServerShare>,
}

/// Median time that each proxy took to acknowledge a message, by the proxy's name.
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

/// One of the two replays that are compared, with the tables that it puts in force.
pub(crate) struct SideReplay {
    session: ControlSession,
    pub(crate) tracker: RuleTracker,
    /// The recorded fleet at the current time.
    recorded_fleet: Fleet,
    /// The fleet that replaces the recorded one throughout.
    fixed_fleet: Option<Fleet>,
    /// Numbers of the messages that are still to be acknowledged, by time of the acknowledgement and proxy.
    pending_acks: BTreeMap<(Duration, String), u64>,
    rejected: u64,
}

impl SideReplay {
    fn new(entries: &[Entry], settings: &WhatIfSettings) -> Result<SideReplay, ReplayError> {
        let mut session = start_session(entries, settings.fleet.as_ref(), settings.seed)?;
        session.is_guarded = !settings.is_unguarded;
        let epoch_ms = match entries.first().map(|entry| &entry.event) {
            Some(RecordedEvent::PlannerStarted { epoch_ms, .. }) => *epoch_ms,
            _ => 0,
        };
        let tracker = RuleTracker::new(session.fleet().clone(), epoch_ms);
        let recorded_fleet = start_session(entries, None, None)?.fleet().clone();
        Ok(SideReplay {
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
        let Some(RecordedEvent::Step { texts, sent, rejections, .. }) = take_recorded_step(&mut self.session)
        else {
            return;
        };
        self.rejected += rejections.len() as u64;
        for update in sent {
            let SentUpdate { proxy, number, text_index, entries } = update;
            self.tracker.record_sent(now, &proxy, number, &texts[text_index as usize], entries);
            self.pending_acks.insert((now + ack_delays.of(&proxy), proxy), number);
        }
    }

    /// Simulates the time up to `until`: acknowledgements arrive, and the session's timers fire.
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
        if let Some(id) = self.session.proxy_id(&proxy) {
            self.session.acknowledge(now, id, number);
        }
        self.tracker.record_acknowledged(&proxy, number);
    }

    fn replay_entry(&mut self, entry: &Entry, ack_delays: &AckDelays) -> Result<(), ReplayError> {
        let now = time_of(entry);
        self.advance(now, ack_delays);
        match &entry.event {
            // Steps and acknowledgements are simulated on each side; lost entries cannot be replayed.
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
        let changed = self.list_with_fixed_fleet(event).map(|event| Entry { at_us: entry.at_us, event });
        let entry = changed.as_ref().unwrap_or(entry);
        replay_event(&mut self.session, time_of(entry), &entry.event);
        self.tracker.handle_event(entry);
    }

    /// A recorded endpoint list as it would be under the fixed fleet; `None` without a fixed fleet or for other events.
    /// Recorded weights and drains already include the zone shares, weights and drains of the recorded fleet, which are
    /// replaced.
    fn list_with_fixed_fleet(&self, event: &RecordedEvent) -> Option<RecordedEvent> {
        let fixed_fleet = self.fixed_fleet.as_ref()?;
        let RecordedEvent::EndpointsListed { is_complete, servers, removed } = event else { return None };
        let mut servers = servers.clone();
        servers.iter_mut().for_each(|server| self.apply_fixed_fleet(fixed_fleet, server));
        Some(RecordedEvent::EndpointsListed { is_complete: *is_complete, servers, removed: removed.clone() })
    }

    fn apply_fixed_fleet(&self, fixed_fleet: &Fleet, server: &mut RecordedServer) {
        let recorded = self.recorded_fleet.overrides.get(&server.name);
        let fixed = fixed_fleet.overrides.get(&server.name);
        // Where an operator set the weight, the weight in the feed is unknown. It is assumed to be 1, as for servers
        // that are listed without a weight.
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

/// Replays a log with its recorded settings and with others, and compares the two.
///
/// On both sides each proxy acknowledges after its median recorded delay, so that only the settings differ.
///
/// # Errors
/// Fails if the log does not begin with a planner's start, or a recorded fleet is invalid.
pub fn compare(entries: &[Entry], settings: &WhatIfSettings) -> Result<Comparison, ReplayError> {
    let ack_delays = AckDelays::measure(entries);
    let mut recorded = SideReplay::new(entries, &WhatIfSettings::default())?;
    let mut changed = SideReplay::new(entries, settings)?;
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
