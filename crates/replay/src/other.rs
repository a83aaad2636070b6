//! Another setting on the same day: what would have been ordered, the rules that would have broken, and service.

use crate::estimate::{Estimate, Flow, Service, Shares};
use crate::force::Force;
use crate::{at, fleet, set_out, turned, Unusable};
use runloom_control_session::recording::replay_event;
use runloom_control_session::ControlSession;
use runloom_event_log::entry::{RecordedClassOutcome, SentUpdate};
use runloom_event_log::{Entry, RecordedEvent};
use runloom_model::fleet::Fleet;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// What is other than it was.
#[derive(Debug, Clone, Default)]
pub struct Setting {
    pub fleet: Option<Fleet>,
    pub seed: Option<u64>,
    pub unguarded: bool,
    /// Looks at the day up to there.
    pub until: Option<Duration>,
}

/// What one setting came to.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Came {
    pub rules_broken: Vec<String>,
    pub messages: u64,
    pub lines: u64,
    pub lines_waiting_most: u64,
    pub refused: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Compared {
    pub was: Came,
    pub would: Came,
    pub service: Service,
    /// Seconds of the record.
    pub seconds: f64,
    /// Service over time: seconds, was, would.
    pub series: Vec<(f64, f64, Option<f64>)>,
    /// Lines ordered over time: seconds, was, would.
    pub lines: Vec<(f64, f64, f64)>,
    /// The guard's refusals over time, likewise.
    pub refused: Vec<(f64, f64, f64)>,
    /// Servers' parts of all tables at the end: was, would.
    pub standings: Vec<(String, f64, f64)>,
}

/// One of the two planners that are compared, and the tables as they come in force by it.
struct Side {
    driver: ControlSession,
    force: Force,
    /// The fleet as it was recorded at this time, and the one that stands in for it.
    recorded: Fleet,
    fixed: Option<Fleet>,
    /// Confirmations to come, where the record has none: when, to whom, which.
    due: BTreeMap<(Duration, String), u64>,
    refused: u64,
}

/// How long each proxy took to confirm, in the middle; the record's own way of the messages.
fn lags(entries: &[Entry]) -> BTreeMap<String, Duration> {
    let mut sent: BTreeMap<(String, u64), u64> = BTreeMap::new();
    let mut lags: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for entry in entries {
        match &entry.what {
            RecordedEvent::Turn { sent: messages, .. } => {
                messages.iter().for_each(|m| _ = sent.insert((m.proxy.clone(), m.number), entry.at));
            }
            RecordedEvent::Applied { proxy, number } => {
                if let Some(from) = sent.remove(&(proxy.clone(), *number)) {
                    lags.entry(proxy.clone()).or_default().push(entry.at.saturating_sub(from));
                }
            }
            _ => {}
        }
    }
    let middle = |mut all: Vec<u64>| {
        all.sort_unstable();
        Duration::from_micros(all[all.len() / 2])
    };
    lags.into_iter().map(|(proxy, all)| (proxy, middle(all))).collect()
}

impl Side {
    fn turn(&mut self, now: Duration, lags: &BTreeMap<String, Duration>) {
        self.driver.step(now);
        let Some(RecordedEvent::Turn { texts, sent, refused, .. }) = turned(&mut self.driver) else { return };
        self.refused += refused.len() as u64;
        for SentUpdate { proxy, number, text, lines } in sent {
            self.force.sent(now, &proxy, number, &texts[text as usize], lines);
            let lag = lags.get(&proxy).copied().unwrap_or(Duration::from_millis(20));
            self.due.insert((now + lag, proxy), number);
        }
    }

    /// Lets time pass up to `to`: confirmations come, and the driver wakes by itself.
    fn pass(&mut self, to: Duration, lags: &BTreeMap<String, Duration>) {
        loop {
            let confirm = self.due.first_key_value().map(|((at, _), _)| *at);
            let wake = self.driver.next_wakeup();
            let Some(next) = [confirm, wake].into_iter().flatten().min().filter(|n| *n <= to) else { return };
            if confirm == Some(next) {
                if let Some(((_, proxy), number)) = self.due.pop_first() {
                    if let Some(index) = self.driver.proxy(&proxy) {
                        self.driver.acknowledge(next, index, number);
                    }
                    self.force.applied(&proxy, number);
                }
            }
            self.turn(next, lags);
        }
    }

    /// The list as it would have been told under the fleet that stands in: shares and operators' words are in the
    /// recorded weights and drains already.
    fn retold(&self, what: &RecordedEvent) -> Option<RecordedEvent> {
        let (Some(fixed), RecordedEvent::Listed { whole, servers, gone }) = (&self.fixed, what) else {
            return None;
        };
        let mut servers = servers.clone();
        for s in &mut servers {
            let (was, now) = (self.recorded.words.get(&s.name), fixed.words.get(&s.name));
            // Under an operator's weight the feed's is not known: it is taken for 1, as a list without weights has.
            let base = match was.and_then(|w| w.weight) {
                Some(_) => 1.0,
                None => s.weight / self.recorded.share_of(&s.zone),
            };
            s.weight = now.and_then(|w| w.weight).unwrap_or(base) * fixed.share_of(&s.zone);
            let by_word = was.is_some_and(|w| w.drain);
            s.draining = (s.draining && !by_word) || now.is_some_and(|w| w.drain);
        }
        Some(RecordedEvent::Listed { whole: *whole, servers, gone: gone.clone() })
    }

    fn take(&mut self, entry: &Entry, lags: &BTreeMap<String, Duration>) -> Result<(), Unusable> {
        self.pass(at(entry), lags);
        match &entry.what {
            // These are its own, not the record's.
            RecordedEvent::Turn { .. } | RecordedEvent::Applied { .. } | RecordedEvent::Lost { .. } => {}
            RecordedEvent::Refit { fleet: text, seed } => {
                self.recorded = fleet(text)?;
                if self.fixed.is_none() {
                    self.driver.reconfigure(self.recorded.clone(), *seed);
                }
            }
            what => {
                if let RecordedEvent::Left { proxy } = what {
                    self.due.retain(|(_, p), _| p != proxy);
                }
                let retold = self.retold(what).map(|what| Entry { at: entry.at, what });
                let entry = retold.as_ref().unwrap_or(entry);
                replay_event(&mut self.driver, at(entry), &entry.what);
                self.force.happened(entry);
            }
        }
        if matches!(entry.what, RecordedEvent::Joined { .. } | RecordedEvent::Listed { .. }) {
            self.turn(at(entry), lags);
        }
        self.force.look(at(entry));
        Ok(())
    }

    fn came(&self) -> Came {
        Came {
            rules_broken: self.force.broken(),
            messages: self.force.messages,
            lines: self.force.lines,
            lines_waiting_most: self.force.lines_most,
            refused: self.refused,
        }
    }
}

fn side(entries: &[Entry], setting: &Setting) -> Result<Side, Unusable> {
    let mut driver = set_out(entries, setting.fleet.as_ref(), setting.seed)?;
    driver.is_guarded = !setting.unguarded;
    let epoch = if let Some(RecordedEvent::Start { epoch, .. }) = entries.first().map(|e| &e.what) {
        *epoch
    } else {
        0
    };
    let force = Force::new(driver.fleet().clone(), epoch);
    let recorded = set_out(entries, None, None)?.fleet().clone();
    Ok(Side { driver, force, recorded, fixed: setting.fleet.clone(), due: BTreeMap::new(), refused: 0 })
}

/// Plays the record under its own setting and under another one. Both sides have the same ways of messages, the
/// record's middle one for each proxy, so that they differ by their setting alone. A fleet that stands in for the
/// recorded one holds for the whole day: edits of it are left out on that side.
pub fn compare(entries: &[Entry], setting: &Setting) -> Result<Compared, Unusable> {
    let lags = lags(entries);
    let (mut was, mut would) = (side(entries, &Setting::default())?, side(entries, setting)?);
    let mut outcomes = Outcomes::of(entries, was.driver.fleet());
    let until = setting.until.unwrap_or(Duration::MAX);
    let mut lines: Vec<(f64, f64, f64)> = vec![];
    let mut refused: Vec<(f64, f64, f64)> = vec![];
    let mut seconds = 0.0;
    for entry in entries[1..].iter().take_while(|e| at(e) < until) {
        was.take(entry, &lags)?;
        would.take(entry, &lags)?;
        seconds = entry.at as f64 / 1e6;
        point(&mut lines, entry.at, was.force.lines as f64, would.force.lines as f64);
        point(&mut refused, entry.at, was.refused as f64, would.refused as f64);
        outcomes.take(entry, &was, &would);
    }
    let estimate = outcomes.estimate;
    let mut service = estimate.service(1);
    service.carries = service.carries.min(seconds);
    let series = estimate.series();
    let standings = standings(&was, &would);
    let (was, would) = (was.came(), would.came());
    Ok(Compared { was, would, service, seconds, series, lines, refused, standings })
}

/// Adds a point a second; the last word of a second stands.
fn point(line: &mut Vec<(f64, f64, f64)>, at: u64, was: f64, would: f64) {
    let point = ((at / 1_000_000) as f64, was, would);
    match line.last_mut().filter(|l| l.0 == point.0) {
        Some(last) => *last = point,
        None => line.push(point),
    }
}

/// Each server's part of all tables in force at the end, as it was and as it would be.
fn standings(was: &Side, would: &Side) -> Vec<(String, f64, f64)> {
    let mut all: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    for (server, part) in was.force.parts() {
        all.entry(server).or_default().0 = part;
    }
    for (server, part) in would.force.parts() {
        all.entry(server).or_default().1 = part;
    }
    all.into_iter().map(|(server, (was, would))| (server, was, would)).collect()
}

/// Takes what proxies met to the estimate: by class where the record has it, else all classes as one.
struct Outcomes {
    estimate: Estimate,
    by_class: Option<Vec<String>>,
    /// A proxy's outcomes by class stand before the report that they belong to.
    met: Vec<RecordedClassOutcome>,
    gates: BTreeMap<(String, usize), [Gate; 2]>,
}

/// A level as a proxy keeps it: a second's worth may come at once. Reckoned from report to report.
#[derive(Default)]
struct Gate {
    left: f64,
}

impl Gate {
    /// Of `came` queries over `seconds`, those that a pace lets in.
    fn lets_in(&mut self, pace: Option<f64>, came: f64, seconds: f64) -> f64 {
        let Some(pace) = pace else { return came };
        let open = self.left + pace * seconds;
        let passed = came.min(open);
        self.left = (open - passed).min(if pace > 0.0 { pace.max(1.0) } else { 0.0 });
        passed
    }
}

impl Outcomes {
    fn of(entries: &[Entry], fleet: &Fleet) -> Outcomes {
        let told = entries.iter().any(|e| matches!(e.what, RecordedEvent::Outcomes { .. }));
        let classes: Vec<(String, f64)> = fleet.classes.iter().map(|c| (c.name.clone(), c.payoff)).collect();
        let by_class = told.then(|| classes.iter().map(|c| c.0.clone()).collect());
        let estimate = Estimate::new(if told { classes } else { vec![("all".into(), 1.0)] });
        Outcomes { estimate, by_class, met: vec![], gates: BTreeMap::new() }
    }

    fn take(&mut self, entry: &Entry, was: &Side, would: &Side) {
        match (&entry.what, &self.by_class) {
            (RecordedEvent::Outcomes { met, .. }, _) => self.met = met.clone(),
            (RecordedEvent::Report { proxy, span, came, .. }, Some(classes)) => {
                let met = std::mem::take(&mut self.met);
                let seconds = *span as f64 / 1e6;
                for (class, name) in classes.iter().enumerate() {
                    let came = came.iter().filter(|c| c.class == *name).map(|c| c.queries as f64).sum();
                    let mut gates = self.gates.entry((proxy.clone(), class)).or_default().iter_mut();
                    let mut pass = |side: &Side| {
                        let level = side.force.held(proxy).and_then(|h| h.admission_limit(name)).and_then(|l| l.0);
                        gates.next().map_or(came, |g| g.lets_in(level, came, seconds))
                    };
                    let flow = Flow { came, was: pass(was), would: pass(would) };
                    let of = met.iter().filter(|m| m.class == *name);
                    let met: BTreeMap<String, (u64, u64)> =
                        of.map(|m| (m.server.clone(), (m.tries, m.in_time))).collect();
                    let only = BTreeMap::from([(name.as_str(), 1.0)]);
                    let shares = |side: &Side| shares(side, proxy, &only);
                    if let (Some(old), Some(new)) = (shares(was), shares(would)) {
                        self.estimate.met(at(entry), proxy, class, &met, (&old, &new), flow);
                    }
                }
            }
            (RecordedEvent::Report { proxy, met, came, .. }, None) => {
                let weights: BTreeMap<&str, f64> =
                    came.iter().map(|c| (c.class.as_str(), c.queries as f64)).collect();
                let shares = |side: &Side| shares(side, proxy, &weights);
                if let (Some(old), Some(new)) = (shares(was), shares(would)) {
                    let met: BTreeMap<_, _> =
                        met.iter().map(|m| (m.server.clone(), (m.tries, m.in_time))).collect();
                    let all = met.values().map(|m: &(u64, u64)| m.0 as f64).sum();
                    let flow = Flow { came: all, was: all, would: all };
                    self.estimate.met(at(entry), proxy, 0, &met, (&old, &new), flow);
                }
            }
            _ => {}
        }
    }
}

/// What part of a proxy's queries each server gets by the tables in force there, its classes by what came.
fn shares(side: &Side, proxy: &str, came: &BTreeMap<&str, f64>) -> Option<Shares> {
    let held = side.force.held(proxy)?;
    let all: f64 = came.values().sum();
    let mut shares = Shares::new();
    for (class, queries) in came {
        let lines = held.entries(class);
        let sum: f64 = lines.iter().map(|l| l.weight).sum();
        for line in lines {
            *shares.entry(line.server).or_insert(0.0) += line.weight / sum * queries / all.max(1.0);
        }
    }
    Some(shares)
}
