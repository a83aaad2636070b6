//! Every decision of a planner. Its words, events and orders stand in `interface.rs`.
//!
//! It is called through [`Planner::decide`] alone: with the clock and what happened, start included; it
//! returns what is to be done. Within: note what happened, judge each server's standing, keep a floor per
//! zone, weigh the servers in service, set levels, send. `docs/design.md` says what follows the source.
//!
//! ```
//! use runloom::{interface::*, Planner};
//! let start = Event::Start { seed: 1, facts: Facts::default() };
//! let orders = Planner::default().decide(std::time::Duration::ZERO, &[start]);
//! assert!(matches!(orders[..], [Order::Wake { .. }]));
//! ```

use crate::interface::{
    Entry, Event, Facts, Found, FurtherTries, Listing, Mode, Order, Proxy, Server, Table, Zone,
};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// The one table that every proxy is bound to. Any number would do.
const SHARED: Table = 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Standing {
    /// Not on the list, or no longer.
    #[default]
    Unlisted,
    /// In service, but nothing heard of late.
    Unknown,
    Eligible,
    /// In service on a growing part of its weight.
    Ramping,
    Withdrawn,
    /// Out, and seen to be well since it entered this standing.
    Probation,
    /// Out for long after withdrawals in a row.
    Held,
    Draining,
}

/// A small histogram of times: bins doubling from 20 ms, which spans the times of any query that has a
/// limit of seconds. A value is split between its two neighbours, so that the mean stays true.
#[derive(Debug, Clone, Default)]
struct Times([f32; 10]);

impl Times {
    fn add(&mut self, took: f64, weight: f32) {
        let place = (took / 0.02).max(1.0).log2().min(8.999);
        let part = place.fract() as f32;
        self.0[place as usize] += weight * (1.0 - part);
        self.0[place as usize + 1] += weight * part;
    }

    fn halve(&mut self) {
        self.0.iter_mut().for_each(|bin| *bin *= 0.5);
    }

    fn count(&self) -> f32 {
        self.0.iter().sum()
    }

    /// The geometric mean, seconds.
    fn mean(&self) -> f64 {
        let places: f32 = self.0.iter().enumerate().map(|(k, bin)| k as f32 * bin).sum();
        0.02 * f64::from(places / self.count().max(f32::MIN_POSITIVE)).exp2()
    }
}

#[derive(Debug, Default)]
struct Node {
    zone: Zone,
    kind: usize,
    listed: f64,
    standing: Standing,
    since: Duration,
    started: Option<Duration>,
    /// The decaying score: tries and failed tries, halved together.
    tries: f32,
    failed: f32,
    /// Failed tries since the last good one.
    run: f32,
    good_at: Duration,
    /// Good answers a second, by zone of the proxies.
    flow: Vec<f64>,
    times: Times,
    work: Times,
    busy: f32,
    heard: Duration,
    /// Reports until then may still speak of the process before.
    deaf_until: Duration,
    refused: bool,
    unanswered: u32,
    probed: Duration,
    /// What withdrew it was hard evidence: nothing good came from it at all.
    hard: bool,
    halved: bool,
    withdrawals: VecDeque<Duration>,
    /// Its own swiftness against what the list says, 1 where nothing is known.
    swift: f64,
    /// The weight in the shared table.
    sent: Option<f64>,
    /// Shut out by a withdrawal that was sent.
    out: bool,
}

impl Node {
    fn in_service(&self) -> bool {
        matches!(self.standing, Standing::Unknown | Standing::Eligible | Standing::Ramping)
    }

    fn ready(&self) -> bool {
        !matches!(self.standing, Standing::Unlisted | Standing::Draining)
    }

    fn enter(&mut self, standing: Standing, now: Duration) {
        (self.standing, self.since) = (standing, now);
        if standing == Standing::Ramping {
            // What was held against it belongs to the time before.
            (self.tries, self.failed, self.run, self.unanswered) = (0.0, 0.0, 0.0, 0);
            (self.refused, self.hard, self.halved) = (false, false, false);
        }
    }
}

#[derive(Debug, Default)]
struct Joined {
    here: bool,
    bound: bool,
    /// Queries a second that came, by class.
    came: Vec<f64>,
    /// When it was sent messages of late.
    messages: VecDeque<Duration>,
}

/// One reply's messages on their way.
#[derive(Debug)]
struct Flying {
    mark: u16,
    lines: f64,
    at: Duration,
    awaited: BTreeSet<Proxy>,
}

/// The way to the proxies; the only place that knows what was sent.
#[derive(Debug, Default)]
struct Channel {
    flying: VecDeque<Flying>,
    mark: u16,
}

impl Channel {
    fn lines(&self) -> f64 {
        self.flying.iter().map(|f| f.lines).sum()
    }

    /// Messages leave in sequence: one that took effect proves that all ordered before it have left.
    fn applied(&mut self, proxy: Proxy, mark: u16) {
        if let Some(place) = self.flying.iter().position(|f| f.mark == mark) {
            self.flying.drain(..place);
            self.dropped(proxy, |f| f.mark == mark);
        }
    }

    fn dropped(&mut self, proxy: Proxy, of: impl Fn(&Flying) -> bool) {
        for f in self.flying.iter_mut().filter(|f| of(f)) {
            f.awaited.remove(&proxy);
        }
        self.flying.retain(|f| !f.awaited.is_empty());
    }
}

/// How much is let in.
#[derive(Debug, Default)]
struct Gate {
    /// Queries a second over all proxies and classes; `None`: all.
    limit: Option<f64>,
    tries_cut: bool,
    changed: Duration,
    /// Good answers a second, and the most of late.
    handled: f64,
    best: f64,
    times: Times,
    pressure: f64,
    sent: Vec<(Option<f64>, FurtherTries)>,
}

/// One planner; it starts empty.
#[derive(Debug, Default)]
pub struct Planner {
    now: Duration,
    facts: Facts,
    chance: Option<WyRand>,
    nodes: Vec<Node>,
    proxies: Vec<Joined>,
    channel: Channel,
    gate: Gate,
    next_beat: Duration,
    halved_at: Duration,
    listed_once: bool,
    token: u64,
    /// Lines for the operators' log.
    told: Vec<String>,
}

impl Planner {
    /// Takes what happened at `now` and returns what is to be done.
    pub fn decide(&mut self, now: Duration, happened: &[Event]) -> Vec<Order> {
        self.now = now;
        let mut orders = Vec::new();
        for event in happened {
            self.note(event, &mut orders);
        }
        if self.chance.is_none() {
            return orders;
        }
        let beat = now >= self.next_beat;
        if beat {
            // Once a second, as the design has it.
            self.next_beat = now + Duration::from_secs(1);
            self.measure();
        }
        self.judge();
        self.floor();
        if beat {
            self.gauge();
        }
        self.probe(&mut orders);
        self.send(beat, &mut orders);
        orders.extend(self.told.drain(..).map(|text| Order::Log { text }));
        orders
    }

    fn fact(&self, name: &str, cautious: f64) -> f64 {
        self.facts.number(name).unwrap_or(cautious)
    }

    fn wake(&mut self, orders: &mut Vec<Order>) {
        self.token += 1;
        // Four looks a beat: what waits for room in the channel goes out soon after there is some.
        orders.push(Order::Wake { after: Duration::from_millis(250), token: self.token });
    }

    fn node(&mut self, server: Server) -> &mut Node {
        if self.nodes.len() <= server {
            self.nodes.resize_with(server + 1, Node::default);
        }
        &mut self.nodes[server]
    }

    fn proxy(&mut self, proxy: Proxy) -> &mut Joined {
        if self.proxies.len() <= proxy {
            self.proxies.resize_with(proxy + 1, Joined::default);
        }
        &mut self.proxies[proxy]
    }

    fn note(&mut self, event: &Event, orders: &mut Vec<Order>) {
        let now = self.now;
        match event {
            Event::Start { seed, facts } => {
                *self = Planner { now, facts: facts.clone(), ..Planner::default() };
                self.chance = Some(WyRand::new_seed(*seed));
                self.wake(orders);
                if facts.text("list.mode") == "subscribe" {
                    orders.push(Order::Subscribe { on: true });
                }
            }
            Event::Listed { how: Listing::Failed, .. } => orders.push(Order::Subscribe { on: true }),
            Event::Listed { how, entries } => self.list(*how, entries),
            Event::Joined { proxy, .. } => *self.proxy(*proxy) = Joined { here: true, ..Joined::default() },
            Event::Left { proxy } => {
                *self.proxy(*proxy) = Joined::default();
                self.channel.dropped(*proxy, |_| true);
            }
            Event::Applied { proxy, mark, .. } => self.channel.applied(*proxy, *mark),
            Event::Met { zone, server, tries, failed, took, span, load } => {
                let good = tries.saturating_sub(*failed) as f32;
                let took = took.as_secs_f64();
                if good > 0.0 && took > 0.0 {
                    self.gate.times.add(took, good);
                }
                self.loaded(*server, load);
                let node = self.node(*server);
                node.heard = now;
                if node.flow.len() <= *zone {
                    node.flow.resize(*zone + 1, 0.0);
                }
                // By the span that a line covers: lines come late and in bursts.
                node.flow[*zone] += (f64::from(good) / span.as_secs_f64().max(0.1) - node.flow[*zone]) * 0.5;
                if now < node.deaf_until {
                    return;
                }
                node.tries += *tries as f32;
                node.failed += *failed as f32;
                node.run = if good > 0.0 { 0.0 } else { node.run + *failed as f32 };
                if good > 0.0 {
                    node.good_at = now;
                }
                if good > 0.0 && took > 0.0 {
                    node.times.add(took, good);
                }
            }
            Event::Came { proxy, class, queries, span, .. } => {
                let pace = *queries as f64 / span.as_secs_f64().max(0.1);
                let came = &mut self.proxy(*proxy).came;
                if came.len() <= *class {
                    came.resize(*class + 1, pace);
                }
                came[*class] += (pace - came[*class]) * 0.5;
            }
            Event::Probed { server, found, load, .. } => {
                self.loaded(*server, load);
                let node = self.node(*server);
                match found {
                    Found::Handled => {
                        (node.unanswered, node.refused) = (0, false);
                        if node.standing == Standing::Withdrawn {
                            node.enter(Standing::Probation, now);
                        }
                    }
                    Found::NoConnection => node.refused = true,
                    Found::NoAnswer => node.unanswered += 1,
                    Found::Failed => (node.tries, node.failed) = (node.tries + 1.0, node.failed + 1.0),
                    // Too many probes, or draining: no word on its health.
                    Found::TurnedAway | Found::Nothing => {}
                }
                let bad = matches!(found, Found::NoConnection | Found::NoAnswer | Found::Failed);
                if bad && node.standing == Standing::Probation {
                    node.enter(Standing::Withdrawn, now);
                }
            }
            Event::Woken { token } if *token == self.token => self.wake(orders),
            _ => {}
        }
    }

    /// Keeps the parts of a load report that the weights use.
    fn loaded(&mut self, server: Server, load: &[f64]) {
        for (k, &value) in load.iter().enumerate().filter(|(_, v)| v.is_finite() && **v > 0.0) {
            match self.facts.text(&format!("load.{k}")) {
                "busy" => {
                    let busy = &mut self.node(server).busy;
                    *busy += (value as f32 - *busy) * if *busy > 0.0 { 0.2 } else { 1.0 };
                }
                "work_time" => self.node(server).work.add(value / 1000.0, 1.0),
                _ => {}
            }
        }
    }

    fn list(&mut self, how: Listing, entries: &[Entry]) {
        let now = self.now;
        let named: BTreeSet<Server> = entries.iter().map(|e| e.server).collect();
        for e in entries {
            let first = !self.listed_once;
            let node = self.node(e.server);
            (node.zone, node.kind) = (e.zone, e.kind);
            node.listed = if e.weight.is_finite() && e.weight > 0.0 { e.weight } else { 1.0 };
            let restarted = e.started > node.started;
            match e.mode {
                Mode::Draining => node.enter(Standing::Draining, now),
                Mode::Gone => node.enter(Standing::Unlisted, now),
                Mode::Ready if node.ready() && !restarted => {}
                Mode::Ready => {
                    // A new process. Reports on the one before still come in, up to about this late.
                    if node.standing != Standing::Unlisted || node.out {
                        node.deaf_until = now + Duration::from_secs(2);
                    }
                    let old = first && e.started.is_none();
                    node.enter(if old { Standing::Eligible } else { Standing::Ramping }, now);
                    (node.swift, node.heard) = (1.0, now);
                    (node.times, node.work, node.busy) = Default::default();
                    node.started = e.started.or(if first { None } else { Some(now) });
                }
            }
        }
        if how != Listing::Changes {
            for (_, node) in self.nodes.iter_mut().enumerate().filter(|(s, _)| !named.contains(s)) {
                node.enter(Standing::Unlisted, now);
            }
        }
        self.listed_once = true;
    }

    /// Once a beat: what is handled now; what is measured is halved.
    fn measure(&mut self) {
        for node in self.nodes.iter_mut().filter(|n| self.now >= n.heard + Duration::from_secs(3)) {
            node.flow.clear();
        }
        self.gate.handled = self.nodes.iter().flat_map(|n| &n.flow).sum();
        // Three seconds hold some tens of tries at a server that gets a few a second.
        if self.now < self.halved_at + Duration::from_secs(3) {
            return;
        }
        self.halved_at = self.now;
        for node in &mut self.nodes {
            (node.tries, node.failed) = (node.tries * 0.5, node.failed * 0.5);
            node.times.halve();
            node.work.halve();
        }
    }

    /// The usual share of failed tries: the middle one of the servers in service.
    fn usual(&self) -> f32 {
        let heard = self.nodes.iter().filter(|n| n.in_service() && n.tries >= 2.0);
        let mut shares: Vec<f32> = heard.map(|n| n.failed / n.tries).collect();
        shares.sort_by(f32::total_cmp);
        shares.get(shares.len() / 2).copied().unwrap_or(0.0)
    }

    fn judge(&mut self) {
        let (now, usual, pressure) = (self.now, self.usual(), self.gate.pressure);
        let slow = self.slow();
        let mut soft = vec![Vec::new(); self.nodes.iter().map(|n| n.zone + 1).max().unwrap_or(0)];
        for s in 0..self.nodes.len() {
            let full = self.ramp(s) >= 1.0;
            self.nodes[s].halved = false;
            let node = &mut self.nodes[s];
            // Half the tries failing is the design's mark; a server is never judged on what all suffer, so
            // it must also stand out from the usual. Eight tries are the least that tell half from few.
            let failing = node.tries >= 8.0 && node.failed / node.tries > (2.0 * usual + 0.2).max(0.5);
            // Nothing but failures, so many in a row that chance gives them once in ten thousand times.
            // A full server times out in a row as well, but something good still comes from it.
            let patience = Duration::from_secs_f64(2.5 * pressure.clamp(1.0, 2.0));
            let dead =
                node.run >= 4.0 && usual.max(0.02).powf(node.run) < 1e-4 && now >= node.good_at + patience;
            // Silence alone is no failure; two unanswered probes, or one on top of failures, are.
            let quiet = now >= node.good_at + Duration::from_millis(1500);
            let gone =
                node.refused || (quiet && node.unanswered as f32 + node.run >= 2.0 && node.unanswered > 0);
            match node.standing {
                Standing::Unknown | Standing::Eligible | Standing::Ramping if dead || gone => {
                    self.withdraw(s, true)
                }
                Standing::Unknown | Standing::Eligible | Standing::Ramping if failing => {
                    soft[node.zone].push(s);
                    // Failing, and slow in what it answers, is too much load and no fault: less weight.
                    node.halved = node.times.count() >= 1.0 && node.times.mean() > slow;
                }
                Standing::Held if now >= node.since + Duration::from_secs(60) => {
                    node.enter(Standing::Withdrawn, now)
                }
                // With probes, one that was handled opens the probation.
                Standing::Withdrawn if !self.facts.flag("probes.allowed") => {
                    node.enter(Standing::Probation, now)
                }
                // The design's ten seconds.
                Standing::Probation if now >= node.since + Duration::from_secs(10) => {
                    node.enter(Standing::Ramping, now)
                }
                Standing::Ramping if full => node.standing = Standing::Eligible,
                Standing::Eligible if now >= node.heard + Duration::from_secs(3) => {
                    node.standing = Standing::Unknown
                }
                Standing::Unknown if now < node.heard + Duration::from_secs(3) => {
                    node.standing = Standing::Eligible
                }
                _ => {}
            }
        }
        for (zone, failing) in soft.into_iter().enumerate() {
            let ready = self.nodes.iter().filter(|n| n.zone == zone && n.ready()).count();
            let most = failing.len() * 2 > ready;
            for s in failing {
                // Most of a zone failing together points at what they share: less weight, no withdrawal.
                self.nodes[s].halved |= most;
                if !self.nodes[s].halved {
                    self.withdraw(s, false);
                }
            }
        }
    }

    fn withdraw(&mut self, s: Server, hard: bool) {
        let now = self.now;
        let node = &mut self.nodes[s];
        node.hard = hard;
        node.withdrawals.push_back(now);
        // Three in sixty seconds, as the design has it.
        node.withdrawals.retain(|at| now < *at + Duration::from_secs(60));
        node.enter(if node.withdrawals.len() >= 3 { Standing::Held } else { Standing::Withdrawn }, now);
        let (run, share) = (node.run, node.failed / node.tries.max(1.0));
        self.told.push(format!(
            "{now:.1?} server {s} {:?}: {run} failed in a row, {share:.2} in all, probes refused {}, unanswered {}",
            node.standing, node.refused, node.unanswered
        ));
    }

    /// Under half of a zone in service: what was withdrawn there returns, ramping. Servers that gave
    /// nothing good at all stay out while half of the whole fleet is in service: returned, a dead zone
    /// would only take queries from the living ones.
    fn floor(&mut self) {
        let now = self.now;
        let share = |of: &dyn Fn(&Node) -> bool| {
            let ready = self.nodes.iter().filter(|n| n.ready() && of(n)).count();
            let serving = self.nodes.iter().filter(|n| n.in_service() && of(n)).count();
            serving * 2 < ready
        };
        let fleet_low = share(&|_| true);
        let zones = self.nodes.iter().map(|n| n.zone + 1).max().unwrap_or(0);
        let low: Vec<bool> = (0..zones).map(|z| share(&|n| n.zone == z)).collect();
        let none = !(0..self.nodes.len()).any(|s| self.nodes[s].in_service() && self.ramp(s) > 0.0);
        for node in self.nodes.iter_mut().filter(|n| n.ready() && !n.in_service()) {
            // Five seconds out, so that a dead server is not let in again at every look.
            let rested = now >= node.since + Duration::from_secs(5);
            if none || (rested && if node.hard { fleet_low } else { low[node.zone] || fleet_low }) {
                node.enter(Standing::Ramping, now);
            }
        }
    }

    /// The part of its weight that a server may carry now.
    fn ramp(&self, s: Server) -> f64 {
        let node = &self.nodes[s];
        let mut part: f64 = 1.0;
        if let Some(started) = node.started {
            // A cold server is both smaller and slower; its least capacity, squared, allows for both.
            let (from, warm) = (self.fact("cold.from", 0.1), self.fact("cold.warm_after", 20.0).max(0.1));
            let age = self.now.saturating_sub(started).as_secs_f64() / warm;
            let least = (from + (1.0 - from) * age).min(1.0);
            part = least.powi(2).max(0.1);
            // Where the others are full, proxies shun them and heap what they have on the fresh one. So the
            // harder pressed the fleet, the warmer a server must be to be let in and to stay. The first second or two are never worth it.
            let need = 0.2 * self.gate.pressure;
            if age < 1.0 && least < need.max(if node.out || node.sent.is_none() { 0.3 } else { 0.0 }) {
                return 0.0;
            }
        }
        if node.standing == Standing::Ramping {
            // The design's ramp: from a tenth to the full weight over ten seconds.
            let age = self.now.saturating_sub(node.since).as_secs_f64() / 10.0;
            part = part.min(0.1 + 0.9 * age);
        }
        part
    }

    fn weight(&self, s: Server) -> f64 {
        let node = &self.nodes[s];
        node.listed * node.swift * self.ramp(s) * if node.halved { 0.5 } else { 1.0 }
    }

    /// Once a beat: how swift each server is against its kind, and how much the fleet can take.
    fn gauge(&mut self) {
        // The best evidence that there is: tries against how busy they kept it, which needs no one else's
        // tries; the server's own time for a query; else what its queries took, waiting included.
        let alone = self.fact("planners", 1.0) <= 1.0;
        let kinds = self.nodes.iter().map(|n| n.kind + 1).max().unwrap_or(0);
        for kind in 0..kinds {
            let mut seen: Vec<(Server, f64, bool)> = Vec::new();
            for (s, n) in self.nodes.iter().enumerate().filter(|(_, n)| n.in_service()) {
                let idle = n.tries < 8.0 || n.standing == Standing::Ramping;
                if alone && n.busy > 0.05 && kind == 0 && !idle {
                    seen.push((s, n.listed * f64::from(n.busy / n.tries), true));
                } else if alone && n.busy > 0.05 || n.kind != kind {
                } else if n.work.count() >= 4.0 {
                    seen.push((s, n.listed * n.work.mean(), true));
                } else if n.times.count() >= 8.0 {
                    seen.push((s, n.times.mean(), false));
                }
            }
            let mean = seen.iter().map(|(_, t, _)| t.ln()).sum::<f64>() / seen.len().max(1) as f64;
            for (s, time, direct) in seen {
                let swift = &mut self.nodes[s].swift;
                let lag = (mean - time.ln()).clamp(-1.0, 1.0);
                // Small steps: reports are seconds late, and a step is felt before it is seen.
                let goal = if direct { lag.exp() } else { *swift * lag.exp() };
                *swift = (*swift * (goal / *swift).powf(if direct { 0.3 } else { 0.1 })).clamp(0.4, 2.0);
            }
        }
        self.gates();
    }

    /// The mean time, seconds, past which the slow tail begins to miss the soft limit: near half of it.
    fn slow(&self) -> f64 {
        let soft = (0..8).filter_map(|c| self.facts.number(&format!("class.{c}.soft_limit")));
        0.45 * soft.fold(f64::INFINITY, f64::min)
    }

    /// How hard pressed the servers in service are: above 1 is too hard.
    fn pressure(&self) -> f64 {
        let serving = || self.nodes.iter().filter(|n| n.in_service());
        let (tries, failed) = serving().fold((1.0, 0.0), |(t, f), n| (t + n.tries, f + n.failed));
        let slow = if self.gate.times.count() < 10.0 { 0.0 } else { self.gate.times.mean() / self.slow() };
        slow.max(f64::from(failed / tries) / 0.15)
    }

    /// Under pressure further tries are cut first, and levels only when that does not help.
    fn gates(&mut self) {
        let (now, pressure) = (self.now, self.pressure());
        self.gate.pressure = pressure;
        let gate = &mut self.gate;
        gate.times.halve();
        gate.best = gate.handled.max(gate.best * 0.99);
        let rested = now >= gate.changed + Duration::from_secs(if gate.limit.is_some() { 2 } else { 1 });
        if pressure > 1.0 && rested {
            if gate.tries_cut {
                // Below what is handled, the deeper the more waits, so that it is worked off in seconds.
                let part = (1.0 - 0.15 * pressure).clamp(0.5, 0.9);
                gate.limit = Some(gate.handled.max(gate.best * 0.6) * part);
            }
            (gate.tries_cut, gate.changed) = (true, now);
        } else if pressure < 0.9 {
            let came: f64 = self.proxies.iter().flat_map(|p| &p.came).sum();
            // The more room, the longer the step: a fleet at rest is let in within a few seconds.
            let step = 1.0 + 0.2 * (1.0 - pressure);
            gate.limit = gate.limit.map(|l| l * step).filter(|l| *l < came * 1.2);
            // Tries come back last, five seconds after all is let in again.
            gate.tries_cut &= gate.limit.is_some() || now < gate.changed + Duration::from_secs(5);
        }
    }

    /// The level of each class and its further tries: the limit goes to the classes by payoff.
    fn levels(&self) -> Vec<(Option<f64>, FurtherTries)> {
        let classes = self.fact("classes", 0.0) as usize;
        let payoff = |c: &usize| self.fact(&format!("class.{c}.payoff"), 1.0);
        let mut order: Vec<usize> = (0..classes).collect();
        order.sort_by(|a, b| payoff(b).total_cmp(&payoff(a)));
        // One after proof that the first never ran is safe for every class; more is not.
        let tries = if self.gate.tries_cut { FurtherTries::None } else { FurtherTries::Unrun };
        let mut levels = vec![(None, tries); classes];
        let Some(mut rest) = self.gate.limit else { return levels };
        for class in order {
            let here = self.proxies.iter().filter(|p| p.here);
            let mut came: Vec<f64> = here.filter_map(|p| p.came.get(class).copied()).collect();
            came.sort_by(f64::total_cmp);
            let all: f64 = came.iter().sum();
            let part = rest.max(all * 0.05);
            if part < all && self.facts.text("levels.kind") == "share" {
                levels[class].0 = Some(part / all);
            } else if self.facts.text("levels.kind") == "pace" {
                // Where all fits, room for a surge of a fifth, so that clients' repeats can't undo the cut.
                levels[class].0 = came.last().map(|most| most * 1.2);
                // One pace for every proxy: it binds the busy ones until the sum fits.
                let mut left = part;
                for (k, pace) in came.iter().enumerate() {
                    let even = left / (came.len() - k) as f64;
                    if *pace > even {
                        levels[class].0 = Some(even);
                        break;
                    }
                    left -= pace;
                }
            }
            rest = (rest - all).max(0.0);
        }
        levels
    }

    fn probe(&mut self, orders: &mut Vec<Order>) {
        if !self.facts.flag("probes.allowed") {
            return;
        }
        let now = self.now;
        for (s, node) in self.nodes.iter_mut().enumerate().filter(|(_, n)| n.ready()) {
            // Every two seconds, well under a hundredth of a server's work; after the first probe that
            // stays without an answer, the next at once.
            let every = Duration::from_secs(if node.in_service() && node.unanswered == 1 { 0 } else { 2 });
            if node.probed == Duration::ZERO {
                // Spread over the first two seconds.
                let spread = self.chance.as_mut().map_or(0, |c| c.generate_range(0..2000));
                node.probed = now.saturating_sub(Duration::from_millis(spread)).max(Duration::from_nanos(1));
            } else if now >= node.probed + every {
                node.probed = now;
                orders.push(Order::Probe { server: s });
            }
        }
    }

    /// Owns all orders to proxies: withdrawals first, then lines, levels and binds, as far as the channel
    /// and each proxy's count of messages allow.
    fn send(&mut self, beat: bool, orders: &mut Vec<Order>) {
        let now = self.now;
        // What no mark came back for in twenty seconds was lost with its stream.
        self.channel.flying.retain(|f| now < f.at + Duration::from_secs(20));
        let head = self.fact("channel.overhead", 10.0) + 1.0;
        let backlog = self.fact("channel.backlog", 500.0);
        let most = self.fact("channel.messages", 0.0);
        let over = self.facts.span("channel.messages_over").unwrap_or(Duration::from_secs(10));
        let joined: Vec<Proxy> = (0..self.proxies.len()).filter(|p| self.proxies[*p].here).collect();
        if joined.is_empty() && !beat {
            return;
        }
        let mut spare = f64::INFINITY;
        for p in &joined {
            let messages = &mut self.proxies[*p].messages;
            messages.retain(|at| now < *at + over + Duration::from_millis(100));
            if most > 0.0 {
                spare = spare.min(most - messages.len() as f64);
            }
        }
        // Half the backlog stays free: marks come late, and a slow channel is seen late.
        let mut room = backlog / 2.0 - self.channel.lines();
        let (mut to_joined, mut to_bound) = (0.0, 0.0);
        let count = joined.len() as f64;
        if spare < 1.0 || room < head * count {
            return;
        }
        // Two messages are kept back for what can't wait.
        let ordinary = beat && spare >= 3.0;
        for s in 0..self.nodes.len() {
            let (weight, node) = (self.weight(s), &mut self.nodes[s]);
            if room < (head + to_joined + to_bound + 2.0) * count {
                break;
            }
            let open = node.in_service() && weight > 0.0;
            if !open && !node.out {
                node.out = true;
                orders.push(Order::Withdraw { server: s, out: true });
                to_joined += 1.0;
            } else if open && node.out {
                (node.out, node.sent) = (false, Some(weight));
                orders.push(Order::Line { table: SHARED, server: s, weight });
                orders.push(Order::Withdraw { server: s, out: false });
                (to_joined, to_bound) = (to_joined + 1.0, to_bound + 1.0);
            }
        }
        for s in 0..self.nodes.len() {
            let (weight, node) = (self.weight(s), &mut self.nodes[s]);
            if room < (head + to_joined + to_bound + 1.0) * count {
                break;
            }
            let ratio = weight / node.sent.unwrap_or(f64::MIN_POSITIVE);
            // A change of an eighth is under what reports tell; a halving can't wait.
            let due = node.sent.is_none() || ratio < 0.5 || (ordinary && !(0.88..1.13).contains(&ratio));
            if node.in_service() && weight > 0.0 && due {
                node.sent = Some(weight);
                orders.push(Order::Line { table: SHARED, server: s, weight });
                to_bound += 1.0;
            } else if ordinary && node.standing == Standing::Unlisted && node.sent.take().is_some() {
                orders.push(Order::Line { table: SHARED, server: s, weight: 0.0 });
                to_bound += 1.0;
            }
        }
        let levels = self.levels();
        let default = (None, FurtherTries::None);
        for (class, &(level, tries)) in levels.iter().enumerate().filter(|_| ordinary) {
            let old = *self.gate.sent.get(class).unwrap_or(&default);
            let moved = match (old.0, level) {
                (Some(a), Some(b)) => !(0.93..1.07).contains(&(b / a)),
                (a, b) => a != b,
            };
            let fresh = self.gate.sent.len() <= class;
            if (moved || fresh || old.1 != tries) && room >= (head + to_joined + to_bound + 1.0) * count {
                if fresh {
                    self.gate.sent.push(default);
                }
                self.gate.sent[class] = (level, tries);
                orders.push(Order::Level { table: SHARED, class, level, tries });
                to_bound += 1.0;
            }
        }
        let mut reached = BTreeSet::new();
        let mut lines = 0.0;
        for &p in &joined {
            let own = to_joined + if self.proxies[p].bound { to_bound } else { 0.0 };
            if own > 0.0 {
                reached.insert(p);
                lines += own + head;
            }
        }
        room -= lines;
        let table = self.nodes.iter().filter(|n| n.sent.is_some()).count() as f64;
        let cost = head + 1.0 + 2.0 * table + self.fact("classes", 0.0);
        for &p in joined.iter().filter(|_| table > 0.0) {
            if !self.proxies[p].bound && room >= cost {
                self.proxies[p].bound = true;
                orders.push(Order::Bind { proxy: p, table: SHARED });
                reached.insert(p);
                room -= cost;
                lines += cost;
            }
        }
        if !reached.is_empty() {
            for p in &reached {
                self.proxies[*p].messages.push_back(now);
            }
            self.channel.mark = self.channel.mark.wrapping_add(1);
            let mark = self.channel.mark;
            orders.push(Order::Mark { mark, everyone: false });
            self.channel.flying.push_back(Flying { mark, lines, at: now, awaited: reached });
        }
    }
}

#[cfg(test)]
mod tests;
