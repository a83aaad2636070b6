//! The plain proxy: it does what the published tables say and nothing more. It picks by chance, in turns, or
//! the less busy of two drawn; shuns a server after failures in a row; lets in what the level allows; makes
//! a further try only after proof, or as ordered; keeps the outer limit. Free of I/O.

pub mod published;
pub mod query;
pub mod tables;

use nanorand::{Rng, WyRand};
use query::{AttemptOutcome, Refusal, Request, Step};
use runloom_controller::RetryPolicy;
use runloom_model::fleet::{Class, Repeats};
use runloom_model::order::{halved, ClassArrivals, ClassOutcomes, LatencyBuckets, Report, ServerOutcomes};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tables::{HeldTables, SelectionMethod};

/// Queries at a time: a forwarder that has more out is behind, and holds no more in memory.
pub const QUERIES_MOST: usize = 4096;

pub type RequestId = u64;

/// What one server did to this proxy.
#[derive(Debug, Clone, Default)]
struct Standing {
    /// Failures in a row, and until when it is shunned for them.
    run: u32,
    shunned: Option<Duration>,
    /// Own queries out.
    out: u32,
    /// Since the last report.
    tries: u64,
    failed: u64,
    took: Duration,
    in_time: u64,
    load: Vec<f64>,
    classes: BTreeMap<usize, Tally>,
}

/// What one class's queries met at a server since the last report.
#[derive(Debug, Clone, Default)]
struct Tally {
    tries: u64,
    in_time: u64,
    took: LatencyBuckets,
}

/// How a try ended, as it is counted.
struct Outcome<'a> {
    class: usize,
    good: bool,
    in_time: bool,
    took: Duration,
    load: &'a [f64],
}

/// What a proxy is set to.
#[derive(Debug, Clone)]
pub struct ProxyConfig {
    pub pick: SelectionMethod,
    pub shun_after: u32,
    pub shun_for: Duration,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub came: u64,
    pub handled: u64,
    pub further: u64,
    pub over_level: u64,
    pub no_line: u64,
    pub failed: u64,
}

#[derive(Debug)]
pub struct Proxy {
    manner: ProxyConfig,
    classes: Vec<Class>,
    chance: WyRand,
    held: HeldTables,
    servers: BTreeMap<String, Standing>,
    queries: BTreeMap<RequestId, Request>,
    /// Queries since the last report, and those let in that got no answer, by class.
    came: Vec<(u64, u64)>,
    /// What each class's level has left to let in, and when that was reckoned.
    allowance: Vec<(f64, Duration)>,
    /// A class was without a line since then.
    bare_since: Vec<Option<Duration>>,
    pub counts: Counts,
}

impl Proxy {
    /// One that holds its standing lines, for all classes, until a planner orders otherwise.
    pub fn new(
        manner: ProxyConfig,
        classes: Vec<Class>,
        standing: &[(String, SocketAddr)],
        seed: u64,
    ) -> Proxy {
        let names: Vec<String> = classes.iter().map(|c| c.name.clone()).collect();
        Proxy {
            manner,
            held: HeldTables::standing(&names, standing),
            came: vec![(0, 0); classes.len()],
            allowance: vec![(0.0, Duration::ZERO); classes.len()],
            bare_since: vec![None; classes.len()],
            classes,
            chance: WyRand::new_seed(seed),
            servers: BTreeMap::new(),
            queries: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    pub fn held(&self) -> &HeldTables {
        &self.held
    }

    pub fn out(&self) -> usize {
        self.queries.len()
    }

    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.name == name)
    }

    /// What a planner has edited, in place of what was held. Queries that are out go on as they were.
    pub fn hold(&mut self, held: HeldTables) {
        self.held = held;
        self.servers.retain(|name, s| self.held.names(name) || s.out > 0 || s.tries > 0);
    }

    /// A query came. Its id must be new.
    pub fn arrived(&mut self, now: Duration, id: RequestId, class: usize) -> Step {
        self.counts.came += 1;
        self.came[class].0 += 1;
        if self.queries.len() >= QUERIES_MOST {
            return Step::Refuse { why: Refusal::Full, after: None };
        }
        if let Some(after) = self.over_level(now, class) {
            self.counts.over_level += 1;
            return Step::Refuse { why: Refusal::Level, after };
        }
        let Some((server, address)) = self.pick(now, class, None) else {
            self.bare_since[class].get_or_insert(now);
            self.counts.no_line += 1;
            self.came[class].1 += 1;
            return Step::Refuse { why: Refusal::NoLine, after: Some(Duration::from_secs(1)) };
        };
        self.bare_since[class] = None;
        // The way of trying again is fixed now: a table that changes meanwhile changes no proof.
        let tries = self.held.level(&self.classes[class].name).map_or(RetryPolicy::IfNotExecuted, |l| l.1);
        let until = now + self.classes[class].outer_limit;
        self.queries.insert(id, Request::new(class, now, until, server.clone(), tries));
        self.sent(&server);
        Step::Send { server, address, until }
    }

    fn sent(&mut self, server: &str) {
        self.servers.entry(server.to_string()).or_default().out += 1;
    }

    /// When to come back, if the class is over its level: `Some(None)` where nobody can tell.
    fn over_level(&mut self, now: Duration, class: usize) -> Option<Option<Duration>> {
        let pace = self.held.level(&self.classes[class].name).and_then(|l| l.0)?;
        if pace <= 0.0 {
            return Some(None);
        }
        let (left, at) = &mut self.allowance[class];
        // A second's worth may come at once, and one query however low the level.
        *left = (*left + now.saturating_sub(*at).as_secs_f64() * pace).min(pace.max(1.0));
        *at = now;
        if *left >= 1.0 {
            *left -= 1.0;
            return None;
        }
        Some(Some(Duration::from_secs_f64(((1.0 - *left) / pace).min(60.0))))
    }

    fn open(&self, now: Duration, server: &str) -> bool {
        let shunned = self.servers.get(server).and_then(|s| s.shunned);
        shunned.is_none_or(|until| now >= until)
    }

    /// Picks a line for a class, but not `not`. Where all are shunned, shunning is disregarded.
    fn pick(&mut self, now: Duration, class: usize, not: Option<&str>) -> Option<(String, SocketAddr)> {
        let name = self.classes[class].name.clone();
        let lines = self.held.lines(&name);
        let mut open: Vec<usize> = (0..lines.len())
            .filter(|k| Some(lines[*k].server.as_str()) != not && self.open(now, &lines[*k].server))
            .collect();
        if open.is_empty() {
            open = (0..lines.len()).filter(|k| Some(lines[*k].server.as_str()) != not).collect();
        }
        let weight = |k: &usize| lines[*k].weight;
        let all: f64 = open.iter().map(weight).sum();
        let draw = |chance: &mut WyRand| {
            let mut left = unit(chance) * all;
            for k in &open {
                left -= weight(k);
                if left < 0.0 {
                    return Some(*k);
                }
            }
            open.last().copied()
        };
        let found = match self.manner.pick {
            SelectionMethod::Chance => draw(&mut self.chance)?,
            SelectionMethod::LessBusy => {
                let (a, b) = (draw(&mut self.chance)?, draw(&mut self.chance)?);
                let out = |k: usize| self.servers.get(&lines[k].server).map_or(0, |s| s.out);
                if out(b) < out(a) {
                    b
                } else {
                    a
                }
            }
            SelectionMethod::Turns => return self.held.turn(&name, &open),
        };
        Some((lines[found].server.clone(), lines[found].address))
    }

    /// A try ended. What is to be done next, or `None` if the query was given up on before.
    pub fn ended(&mut self, now: Duration, id: RequestId, how: AttemptOutcome) -> Option<Step> {
        let query = self.queries.get_mut(&id)?;
        let (server, class) = (query.server.clone(), query.class);
        let took = now.saturating_sub(query.tried_at);
        let good = how.is_good();
        let in_time = good && now <= query.came_at + self.classes[class].soft_limit;
        self.met(now, &server, Outcome { class, good, in_time, took, load: how.load() });
        let query = self.queries.get_mut(&id)?;
        let allowed = query.may_try_again(now, &how, self.classes[class].repeats);
        if allowed {
            if let Some((next, address)) = self.pick(now, class, Some(&server)) {
                let query = self.queries.get_mut(&id)?;
                query.again(now, next.clone());
                let until = query.until;
                self.counts.further += 1;
                self.sent(&next);
                return Some(Step::Send { server: next, address, until });
            }
        }
        self.queries.remove(&id);
        if good {
            self.counts.handled += 1;
            return Some(Step::Answer);
        }
        self.counts.failed += 1;
        self.came[class].1 += 1;
        Some(Step::Refuse { why: how.refusal(), after: None })
    }

    /// The client went away, or the outer limit passed: the try counts as failed if nothing came of it.
    pub fn given_up(&mut self, now: Duration, id: RequestId) {
        if let Some(query) = self.queries.remove(&id) {
            let took = now.saturating_sub(query.tried_at);
            let outcome = Outcome { class: query.class, good: false, in_time: false, took, load: &[] };
            self.met(now, &query.server, outcome);
            self.counts.failed += 1;
            self.came[query.class].1 += 1;
        }
    }

    fn met(&mut self, now: Duration, server: &str, outcome: Outcome) {
        let Outcome { class, good, in_time, took, load } = outcome;
        let (after, span) = (self.manner.shun_after, self.manner.shun_for);
        let standing = self.servers.entry(server.to_string()).or_default();
        standing.out = standing.out.saturating_sub(1);
        standing.tries += 1;
        standing.in_time += u64::from(in_time);
        let tally = standing.classes.entry(class).or_default();
        (tally.tries, tally.in_time) = (tally.tries + 1, tally.in_time + u64::from(in_time));
        if good {
            *tally.took.entry(halved(took)).or_default() += 1;
            standing.took += took;
            (standing.run, standing.shunned) = (0, None);
        } else {
            standing.failed += 1;
            standing.run += 1;
            if after > 0 && standing.run >= after {
                (standing.run, standing.shunned) = (0, Some(now + span));
            }
        }
        if !load.is_empty() {
            standing.load = load.to_vec();
        }
    }

    /// What was met and what came since the last report.
    pub fn report(&mut self, span: Duration) -> Report {
        let mut met = Vec::new();
        for (name, s) in self.servers.iter_mut().filter(|(_, s)| s.tries > 0) {
            let good = (s.tries - s.failed).max(1) as u32;
            let of = |(class, t): (usize, Tally)| {
                let class = self.classes[class].name.clone();
                ClassOutcomes { class, tries: t.tries, in_time: t.in_time, took: t.took }
            };
            met.push(ServerOutcomes {
                server: name.clone(),
                tries: s.tries,
                failed: s.failed,
                took: s.took / good,
                in_time: s.in_time,
                load: std::mem::take(&mut s.load),
                classes: std::mem::take(&mut s.classes).into_iter().map(of).collect(),
            });
            (s.tries, s.failed, s.took, s.in_time) = (0, 0, Duration::ZERO, 0);
        }
        let came = self.classes.iter().zip(&mut self.came).map(|(class, came)| {
            let (queries, unanswered) = std::mem::take(came);
            ClassArrivals { class: class.name.clone(), queries, unanswered }
        });
        let report = Report { span, met, came: came.collect() };
        self.servers.retain(|name, s| self.held.names(name) || s.out > 0);
        report
    }

    /// Whether a class may run again after a try that may have run.
    pub fn repeats(&self, class: usize) -> Repeats {
        self.classes[class].repeats
    }
}

/// A number from 0 to under 1.
fn unit(chance: &mut WyRand) -> f64 {
    (chance.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
mod tests;
