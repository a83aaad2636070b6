//! Every decision of a planner. Its words, events and orders stand in `interface.rs`.
//!
//! It is called through [`Planner::decide`] alone: with the clock and what happened, start included; it
//! returns what is to be done. Within: note what happened, judge each server's standing, keep a floor per
//! zone, weigh the servers in service, set levels, send. `docs/design.md` says what follows the source.

use crate::interface::{Class, Proxy, Server, Table};
use crate::interface::{Entry, Event, Facts, Found, FurtherTries, Listing, Mode, Order};
use crate::state::{at, blend, Channel, Flying, Gate, Group, Joined, Node, Standing, Standing::*};
use nanorand::{Rng, WyRand};
use std::collections::BTreeSet;
use std::time::Duration;

/// A group's table, and the one for its classes that are set apart. Any numbers do.
fn table(group: usize, apart: bool) -> Table {
    (2 * group + 1 + usize::from(apart)) as Table
}

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

impl Node {
    pub(crate) fn in_service(&self) -> bool {
        matches!(self.standing, Unknown | Eligible | Ramping)
    }

    fn ready(&self) -> bool {
        !matches!(self.standing, Unlisted | Draining)
    }

    fn enter(&mut self, standing: Standing, now: Duration) {
        (self.standing, self.since) = (standing, now);
        if standing == Ramping {
            // What was held against it belongs to the time before.
            (self.tries, self.failed, self.run, self.unanswered) = (0.0, 0.0, 0.0, 0);
            (self.refused, self.hard) = (false, false);
        }
    }

    /// A list may lie: where only a marked drain binds, what is dropped and serves goes on serving.
    fn drop_out(&mut self, stays: bool, now: Duration) {
        self.dropped = stays && self.in_service();
        if !self.dropped {
            self.enter(Unlisted, now);
        }
    }
}

/// A line of a table, without its server.
type Line = (Table, f64);

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
    /// The servers and proxies that share a table; one group of all unless the fleet is too large for that.
    groups: Vec<Group>,
    next_beat: Duration,
    halved_at: Duration,
    listed_once: bool,
    token: u64,
    /// A beat's deltas wait to be sent.
    due: bool,
    /// Something came that can't wait for the next look.
    pressing: bool,
    /// Lines for the operators' log.
    told: Vec<String>,
}

impl Planner {
    /// Takes what happened at `now` and returns what is to be done.
    pub fn decide(&mut self, now: Duration, happened: &[Event]) -> Vec<Order> {
        self.now = now;
        let mut orders = Vec::new();
        happened.iter().for_each(|event| self.note(event, &mut orders));
        if self.chance.is_none() {
            return orders;
        }
        // Reports only add up between the looks: a large fleet's come in every few milliseconds.
        if std::mem::take(&mut self.pressing) {
            // Once a second, as the design has it.
            let beat = now >= self.next_beat;
            self.judge();
            self.floor();
            if beat {
                self.next_beat = now + secs(1);
                self.weigh();
                self.gauge();
            }
            self.probe(&mut orders);
            self.deal(beat);
            self.send(beat, &mut orders);
        }
        orders.extend(self.told.drain(..).map(|text| Order::Log { text }));
        orders
    }

    fn fact(&self, name: &str, cautious: f64) -> f64 {
        self.facts.number(name).unwrap_or(cautious)
    }

    fn note(&mut self, event: &Event, orders: &mut Vec<Order>) {
        let now = self.now;
        match event {
            Event::Start { seed, facts } => {
                *self = Planner { now, facts: facts.clone(), ..Planner::default() };
                self.chance = Some(WyRand::new_seed(*seed));
                self.note(&Event::Woken { token: 0 }, orders);
                if facts.text("list.mode") == "subscribe" {
                    orders.push(Order::Subscribe { on: true });
                }
            }
            Event::Listed { how: Listing::Failed, .. } => orders.push(Order::Subscribe { on: true }),
            Event::Listed { how, entries } => self.list(*how, entries),
            Event::Joined { proxy, fresh, rate, zone } => {
                let (old, classes) = (!fresh, self.fact("classes", 0.0));
                let came = vec![rate / classes; classes as usize];
                *at(&mut self.proxies, *proxy) =
                    Joined { here: true, old, at: now, zone: *zone, came, ..Joined::default() };
                self.pressing = true;
            }
            Event::Left { proxy } => {
                *at(&mut self.proxies, *proxy) = Joined::default();
                self.channel.left(*proxy);
            }
            Event::Applied { proxy, mark, .. } => self.channel.applied(*proxy, *mark),
            Event::Met { zone, server, tries, failed, took, span, load } => {
                self.loaded(*server, load);
                let (good, took) = (tries.saturating_sub(*failed) as f32, took.as_secs_f64());
                let node = at(&mut self.nodes, *server);
                node.heard = now;
                // By the span that a line covers: lines come late and in bursts.
                blend(at(&mut node.flow, *zone), f64::from(good) / span.as_secs_f64().max(0.1), 0.5);
                if now < node.deaf_until {
                    return;
                }
                (node.tries, node.failed) = (node.tries + *tries as f32, node.failed + *failed as f32);
                node.run += *failed as f32;
                if node.in_service() {
                    let met = &mut self.gate.met[usize::from(node.apart)];
                    *met = (met.0 + *tries as f64, met.1 + *failed as f64);
                }
                if good > 0.0 {
                    (node.run, node.good_at, node.stranger) = (0.0, now, false);
                    node.times.add(took, good);
                    self.gate.times[usize::from(node.apart)].add(took, good);
                }
            }
            Event::Came { proxy, class, queries, span, .. } => {
                let came = at(&mut at(&mut self.proxies, *proxy).came, *class);
                blend(came, *queries as f64 / span.as_secs_f64().max(0.1), 0.5);
            }
            Event::Probed { server, found, load, .. } => {
                self.loaded(*server, load);
                let node = at(&mut self.nodes, *server);
                node.asked = false;
                match found {
                    Found::Handled => {
                        (node.unanswered, node.refused) = (0, false);
                        if node.standing == Withdrawn {
                            node.enter(Probation, now);
                        }
                    }
                    Found::NoConnection => node.refused = true,
                    Found::NoAnswer => node.unanswered += 1,
                    Found::Failed => (node.tries, node.failed) = (node.tries + 1.0, node.failed + 1.0),
                    // Too many probes, or draining: no word on its health.
                    Found::TurnedAway | Found::Nothing => return,
                }
                if *found != Found::Handled && node.standing == Probation {
                    node.enter(Withdrawn, now);
                }
            }
            Event::Woken { token } if *token == self.token => {
                self.token += 1;
                self.pressing = true;
                // Four looks a beat: what waits for room in the channel goes out soon after there is some.
                orders.push(Order::Wake { after: Duration::from_millis(250), token: self.token });
            }
            _ => {}
        }
    }

    /// Keeps the parts of a load report that the weights use.
    fn loaded(&mut self, server: Server, load: &[f64]) {
        for (k, &value) in load.iter().enumerate().filter(|(_, v)| v.is_finite() && **v > 0.0) {
            let node = at(&mut self.nodes, server);
            match self.facts.text(&format!("load.{k}")) {
                "busy" => node.busy += (value as f32 - node.busy) * if node.busy > 0.0 { 0.2 } else { 1.0 },
                "work_time" => node.work.add(value / 1000.0, 1.0),
                _ => {}
            }
        }
    }

    fn list(&mut self, how: Listing, entries: &[Entry]) {
        let (now, first, stays) = (self.now, !self.listed_once, self.facts.flag("drain.marked_only"));
        (self.listed_once, self.pressing) = (true, true);
        for e in entries {
            let node = at(&mut self.nodes, e.server);
            let known = node.listed > 0.0 && e.started <= node.started;
            (node.zone, node.kind) = (e.zone, e.kind);
            node.listed = if e.weight.is_finite() && e.weight > 0.0 { e.weight } else { 1.0 };
            match e.mode {
                Mode::Draining => node.enter(Draining, now),
                Mode::Gone => node.drop_out(stays, now),
                Mode::Ready if known && node.ready() => node.dropped = false,
                // The list was wrong, or has only now become right: the same process, warm by its age.
                Mode::Ready if known && stays => node.enter(Ramping, now),
                Mode::Ready => {
                    // A new process. Reports on the one before still come in, up to about this late.
                    node.deaf_until = if first { now } else { now + secs(2) };
                    // On the first list an old server is in full service: all would ramp alike.
                    let old = first && e.started.is_none();
                    node.enter(if old { Eligible } else { Ramping }, now);
                    // Later, one that started long ago has yet to show that it is there.
                    node.stranger = !first && stays && e.started.is_none();
                    (node.swift, node.heard, node.good_at, node.dropped) = (1.0, now, now, false);
                    (node.times, node.work, node.busy) = Default::default();
                    node.started = if old { None } else { e.started.or(Some(now)) };
                }
            }
        }
        if how != Listing::Changes {
            let named: BTreeSet<Server> = entries.iter().map(|e| e.server).collect();
            for (_, node) in self.nodes.iter_mut().enumerate().filter(|(s, _)| !named.contains(s)) {
                node.drop_out(stays, now);
            }
        }
    }

    fn judge(&mut self) {
        let (now, slow) = (self.now, self.slow());
        // What is usual, in failed tries and in quiet: that of the middle one of the servers in service.
        let heard = self.nodes.iter().filter(|n| n.in_service() && !n.apart && n.tries >= 2.0);
        let middle = |mut seen: Vec<f32>| {
            seen.sort_by(f32::total_cmp);
            seen.get(seen.len() / 2).copied().unwrap_or(0.0)
        };
        let usual = middle(heard.clone().map(|n| n.failed / n.tries).collect());
        let hush = middle(heard.map(|n| now.saturating_sub(n.good_at).as_secs_f32()).collect());
        let mut failing = Vec::new();
        for s in 0..self.nodes.len() {
            let full = self.ramp(s) >= 1.0;
            let node = &mut self.nodes[s];
            node.halved = false;
            // Nothing but failures, so many in a row that chance gives them once in ten thousand times.
            // A full server times out in a row as well, but something good still comes from it.
            let quiet = now.saturating_sub(node.good_at).as_secs_f32();
            let dead = node.run >= 4.0 && usual.max(0.02).powf(node.run) < 1e-4;
            // Those set apart are meant to be full; only probes speak against them.
            let mute = quiet >= (6.0 * hush).max(2.5);
            let dead = dead && mute && !node.apart;
            // Silence alone is no failure; two unanswered probes, or one on top of failures, are.
            let doubts = if node.unanswered > 0 { node.unanswered as f32 + node.run } else { 0.0 };
            let heard = now < node.heard + secs(3);
            let waited = now.saturating_sub(node.since);
            match node.standing {
                // Dropped from the list and nothing good from it any more, or never anything good: it is
                // not there. A list that calls running servers gone, or adds some, costs nothing else.
                _ if node.in_service() && node.run >= 1.0 && (node.stranger || (node.dropped && mute)) => {
                    node.drop_out(false, now)
                }
                _ if node.in_service() && (dead || node.refused || (doubts >= 2.0 && quiet >= 1.5)) => {
                    self.withdraw(s, true)
                }
                // The design's half of the tries is a burst of time-outs at a full server too; two thirds of
                // fourteen is not by chance. What all suffer is no server's fault: it must stand out as well.
                _ if node.in_service()
                    && node.tries >= 14.0
                    && node.failed / node.tries > (2.0 * usual + 0.2).max(0.65) =>
                {
                    failing.push(s);
                    // Failing, and slow in what it answers, is too much load and no fault: less weight.
                    node.halved = node.apart || (node.times.count() >= 1.0 && node.times.mean() > slow);
                }
                Held if waited >= secs(60) => node.enter(Withdrawn, now),
                // With probes, one that was handled opens the probation.
                Withdrawn if !self.facts.flag("probes.allowed") => node.enter(Probation, now),
                // The design's ten seconds.
                Probation if waited >= secs(10) => node.enter(Ramping, now),
                Ramping if full => node.standing = Eligible,
                Eligible if !heard => node.standing = Unknown,
                Unknown if heard => node.standing = Eligible,
                _ => {}
            }
        }
        // Ready servers less two for each that fails, by zone.
        let mut rest: Vec<i64> = Vec::new();
        self.nodes.iter().filter(|n| n.ready()).for_each(|n| *at(&mut rest, n.zone) += 1);
        failing.iter().for_each(|s| *at(&mut rest, self.nodes[*s].zone) -= 2);
        for s in failing {
            // Most of a zone failing together points at what they share: less weight, no withdrawal.
            self.nodes[s].halved |= rest[self.nodes[s].zone] < 0;
            if !self.nodes[s].halved {
                self.withdraw(s, false);
            }
        }
    }

    fn withdraw(&mut self, s: Server, hard: bool) {
        let (now, node) = (self.now, &mut self.nodes[s]);
        node.hard = hard;
        node.withdrawals.push_back(now);
        // Three in sixty seconds, as the design has it.
        node.withdrawals.retain(|at| now < *at + secs(60));
        node.enter(if node.withdrawals.len() >= 3 { Held } else { Withdrawn }, now);
        self.told.push(format!(
            "server {s} {:?}: {:.0} of {:.0} failed, {} in a row; probes: refused {}, unanswered {}",
            node.standing, node.failed, node.tries, node.run, node.refused, node.unanswered
        ));
    }

    /// Under half of a zone in service: what was withdrawn there returns, ramping. Servers that gave
    /// nothing good at all stay out while half of the whole fleet is in service: returned, a dead zone
    /// would only take queries from the living ones.
    fn floor(&mut self) {
        // Ready servers, and those in service, by zone and, last, of the fleet.
        let fleet = self.nodes.iter().map(|n| n.zone + 1).max().unwrap_or(0);
        let mut seen = vec![(0, 0); fleet + 1];
        for node in self.nodes.iter().filter(|n| n.ready()) {
            for z in [node.zone, fleet] {
                seen[z] = (seen[z].0 + 1, seen[z].1 + usize::from(node.in_service()));
            }
        }
        let low = |z: usize| seen[z].1 * 2 < seen[z].0;
        let none = !(0..self.nodes.len()).any(|s| self.nodes[s].in_service() && self.ramp(s) > 0.0);
        for node in self.nodes.iter_mut().filter(|n| n.ready() && !n.in_service()) {
            // Five seconds out, so that a dead server is not let in again at every look.
            let rested = self.now >= node.since + secs(5);
            if none || (rested && (low(fleet) || (low(node.zone) && !node.hard))) {
                node.enter(Ramping, self.now);
            }
        }
    }

    /// The part of its weight that a server may carry now.
    fn ramp(&self, s: Server) -> f64 {
        let node = &self.nodes[s];
        let mut part: f64 = 1.0;
        if let Some(started) = node.started {
            // A cold server is smaller, and slower too: a little less than its least capacity.
            let (from, warm) = (self.fact("cold.from", 0.1), self.fact("cold.warm_after", 20.0).max(0.1));
            let age = self.now.saturating_sub(started).as_secs_f64() / warm;
            let least = (from + (1.0 - from) * age).min(1.0);
            part = least.powf(1.3).max(0.1);
            // Where the others are full, proxies shun them and heap what they have on the fresh one. So the
            // harder pressed the fleet, the warmer a server must be to be let in, and to stay. Its first
            // second or two never pay.
            let new = node.sent.is_none();
            if age < 1.0 && least < (0.2 * self.gate.pressure[0]).max(if new { 0.4 } else { 0.0 }) {
                return 0.0;
            }
        }
        if node.standing == Ramping {
            // The design's ramp: from a tenth to the full weight over ten seconds.
            part = part.min(0.1 + 0.09 * self.now.saturating_sub(node.since).as_secs_f64());
        }
        part
    }

    fn weight(&self, s: Server) -> f64 {
        let node = &self.nodes[s];
        node.listed * node.swift * self.ramp(s) * if node.halved { 0.5 } else { 1.0 }
    }

    /// Once a beat: how swift each server is against what the list says of it. The best evidence is how
    /// busy its tries keep it, if no one else's do; then its own time for a query; else, against its kind,
    /// what its queries took, waiting included.
    fn weigh(&mut self) {
        let alone = self.fact("planners", 1.0) <= 1.0;
        let mut seen: Vec<Vec<(Server, f64, bool)>> = Vec::new();
        for (s, n) in self.nodes.iter().enumerate().filter(|(_, n)| n.in_service()) {
            let kind = n.kind + 1;
            if n.busy > 0.05 {
                // Other planners' tries keep it busy too: all give it much the same weight.
                let tries = if alone { f64::from(n.tries) / n.listed } else { n.swift };
                if n.tries >= 8.0 && n.standing != Ramping {
                    at(&mut seen, 0).push((s, f64::from(n.busy) / tries, true));
                }
            } else if n.work.count() >= 4.0 {
                at(&mut seen, kind).push((s, n.listed * n.work.mean(), true));
            } else if n.times.count() >= 8.0 {
                at(&mut seen, kind).push((s, n.times.mean(), false));
            }
        }
        for peers in seen {
            let mean = peers.iter().map(|(_, t, _)| t.ln()).sum::<f64>() / peers.len().max(1) as f64;
            for (s, time, direct) in peers {
                let swift = &mut self.nodes[s].swift;
                let lag = (mean - time.ln()).clamp(-1.0, 1.0);
                // Times with the waiting in them answer to the weight itself, seconds late: half of what they
                // say, taken up slowly, does not swing.
                let goal = if direct { lag } else { lag * 0.5 };
                let pace = if direct && alone { 0.2 } else { 0.1 };
                let step = (goal - swift.ln()) * pace;
                *swift = (*swift * step.exp()).clamp(0.4, 2.0);
            }
        }
        // Three seconds hold some tens of tries at a server that gets a few a second; where they are fewer,
        // as long as sixteen take, so that there is something to go by.
        let serving: Vec<f32> = self.nodes.iter().filter(|n| n.in_service()).map(|n| n.tries).collect();
        let rich = serving.iter().sum::<f32>() >= 16.0 * serving.len() as f32;
        let halve = self.now >= self.halved_at + secs(if rich { 3 } else { 12 });
        for node in &mut self.nodes {
            if halve {
                (node.tries, node.failed) = (node.tries * 0.5, node.failed * 0.5);
                node.times.halve();
                if node.work.count() > 20.0 {
                    node.work.halve();
                }
            }
            if self.now >= node.heard + secs(3) {
                node.flow.clear();
            }
        }
        self.halved_at = if halve { self.now } else { self.halved_at };
    }

    fn leveled(&self) -> bool {
        matches!(self.facts.text("levels.kind"), "pace" | "share")
    }

    /// The classes by payoff, and among equals the one that can wait least first.
    fn classes(&self) -> Vec<Class> {
        let key = |c: Class, name: &str| self.fact(&format!("class.{c}.{name}"), 1.0);
        let mut classes: Vec<Class> = (0..self.fact("classes", 0.0) as usize).collect();
        classes.sort_by(|&a, &b| {
            let soft = key(a, "soft_limit").total_cmp(&key(b, "soft_limit"));
            key(b, "payoff").total_cmp(&key(a, "payoff")).then(soft)
        });
        classes
    }

    /// The mean time, seconds, past which the slow tail begins to miss the soft limit: near half of it,
    /// over the classes as they come.
    fn slow(&self) -> f64 {
        let (mut sum, mut all) = (0.0, 0.0);
        for class in self.classes() {
            let came: f64 = self.proxies.iter().filter_map(|p| p.came.get(class)).sum::<f64>() + 1e-6;
            sum += came * self.fact(&format!("class.{class}.soft_limit"), 1.0);
            all += came;
        }
        0.45 * if all > 0.0 { sum / all } else { f64::INFINITY }
    }

    /// Once a beat: how hard pressed the fleet is. Then further tries are cut first, and levels, or the
    /// room of the least classes, only when that does not help.
    fn gauge(&mut self) {
        let (now, slow, classes) = (self.now, self.slow(), self.classes());
        let leveled = self.leveled();
        let serving = (0..self.nodes.len()).filter(|s| self.nodes[*s].in_service());
        let fleet = serving.map(|s| self.weight(s)).sum::<f64>().max(1e-3);
        // Picked by chance, queries queue at a lower load than in turns.
        let room = if self.facts.text("pick") == "chance" { 0.7 } else { 0.8 };
        let gate = &mut self.gate;
        let mut slowness = [0.0; 2];
        for (k, times) in gate.times.iter_mut().enumerate() {
            let (tries, failed) = gate.met[k];
            gate.met[k] = (tries * 0.5, failed * 0.5);
            let late = if times.count() < 10.0 { 0.0 } else { times.mean() / slow };
            // More than one failed try in seven is more than a few servers' trouble; where the rest is as
            // quick as ever, it is no overload either, and letting in less would not help.
            gate.pressure[k] = late.max((failed / (tries + 1.0) / 0.15).min(late * 1.6));
            times.halve();
            slowness[k] = late;
        }
        let (pressure, late) = (gate.pressure[0], slowness[0]);
        let came: f64 = self.proxies.iter().flat_map(|p| &p.came).sum();
        gate.eased |= pressure < 0.9;
        gate.handled = self.nodes.iter().flat_map(|n| &n.flow).sum();
        // Two beats of reports tell whether old levels hold back a part of what comes.
        gate.beats += u32::from(gate.handled > 0.0);
        let old = self.proxies.iter().any(|p| p.old);
        if old && leveled && gate.beats == 2 && gate.handled < 0.7 * came {
            // Started amid an overload: what old levels let in now is the best guess.
            (gate.limit, gate.tries_cut, gate.changed) = (Some(gate.handled * 1.2), true, now);
        } else if old && leveled && gate.beats < 2 {
            // Until then no more than usually comes, lest repeats that old levels held back flood in.
            gate.limit = Some(came);
        }
        // What the fleet could handle, by the weight in service, so that both follow when servers leave or
        // return: the lighter the pressure, the more above what it handles now; the root is a cautious fit.
        // Under too much pressure it is handled late. Held back by a limit, what is handled tells nothing of
        // what could be: the guess would sink with its own limit, so at ease it rises instead.
        let limited = gate.limit.is_some_and(|l| l < came) || gate.apart != 0;
        let guess = gate.handled / fleet / pressure.max(0.4).sqrt();
        if gate.beats >= 3 && pressure < 1.0 && (!limited || guess > gate.best) {
            blend(&mut gate.best, guess, 0.15);
        } else if limited && pressure < 0.8 {
            gate.best *= 1.0 + 0.1 * (1.0 - pressure);
        }
        if gate.beats >= 1 && pressure < 0.85 && !limited {
            // What has come for some seconds without pressing it, it can handle whatever the guess says.
            blend(&mut gate.usual, came / fleet, 0.2);
        }
        // What a change does is seen after the reports' delay and once the queues have run off.
        let rested = now >= gate.changed + secs(if limited { 2 } else { 1 });
        if pressure > 1.0 && rested {
            if gate.tries_cut && leveled {
                // Below what is handled, the deeper the more waits, so that it is worked off in seconds.
                let part = (1.0 - 0.15 * pressure).clamp(0.5, 0.9);
                // The knee is what it could handle; each time that it is too much after an ease lowers it.
                let lower = (gate.knee * 0.85).max(gate.handled / fleet);
                gate.knee = if gate.knee == 0.0 {
                    gate.best
                } else if gate.eased {
                    lower
                } else {
                    gate.knee
                };
                // Where failures alone press, servers may be sick and not full: a step down, no more.
                let now_in = gate.limit.unwrap_or(came).min(came) * 0.9;
                let base = gate.handled.max(gate.knee * fleet * 0.6);
                gate.limit = Some(if late > 1.0 { base * part } else { now_in.max(base * part) });
            } else if gate.tries_cut && (pressure > 1.5 || came > gate.best * fleet * 1.15) {
                // No levels here: the least class moves to a part of the fleet, less with each step.
                gate.part = if gate.apart == 0 { 0.15 } else { (gate.part * 0.8).max(0.06) };
                gate.apart = classes.iter().skip(1).last().map_or(0, |least| 1 << least);
            }
            (gate.tries_cut, gate.changed, gate.eased) = (true, now, false);
        } else if pressure < 0.9 {
            // The more room, the longer the step: a fleet at rest is let in within a few seconds.
            let step = 1.0 + 0.2 * (1.0 - pressure);
            // A limit a third above what comes stays on, against surges that reports tell of too late.
            if leveled && gate.beats >= 3 {
                let l = gate.limit.unwrap_or(f64::MAX);
                // Up to the knee at once, past it by little: what is too much shows seconds late.
                let knee = gate.knee * fleet * 0.9;
                let rise = match l {
                    l if l < knee => (l * step * 1.1).min(knee),
                    l if gate.knee > 0.0 => l * (1.0 + 0.04 * (1.0 - pressure)),
                    l => l * step,
                };
                // Three seconds of reports make the guess fit to bind.
                let most =
                    if gate.beats < 4 { f64::MAX } else { (gate.best * room).max(gate.usual * 1.1) * fleet };
                gate.limit = Some(rise.min(came * 1.3).min(most));
            }
            gate.part = (gate.part * step).min(0.8);
            // Together again once both parts are at ease.
            if gate.pressure[1] < 0.9 && rested {
                gate.apart = 0;
            }
            // Tries come back last, five seconds after all is let in again.
            let open = gate.limit.is_none_or(|l| l >= came * 1.2) && gate.apart == 0;
            gate.tries_cut &= !open || now < gate.changed + secs(5);
            gate.knee = if gate.tries_cut { gate.knee } else { 0.0 };
        }
    }

    /// The level of each class and its further tries: the limit goes to the classes by payoff.
    fn levels(&self) -> Vec<(Option<f64>, FurtherTries)> {
        // One after proof that the first never ran is safe for every class; more is not.
        let tries = if self.gate.tries_cut { FurtherTries::None } else { FurtherTries::Unrun };
        let classes = self.classes();
        let mut levels = vec![(None, tries); classes.len()];
        let Some(mut rest) = self.gate.limit else { return levels };
        for class in classes {
            let here = self.proxies.iter().filter(|p| p.here);
            let mut came: Vec<f64> = here.filter_map(|p| p.came.get(class).copied()).collect();
            came.sort_by(f64::total_cmp);
            let all: f64 = came.iter().sum();
            let part = rest.max(all * 0.05);
            if self.facts.text("levels.kind") == "share" {
                levels[class].0 = Some(part / all).filter(|level| *level < 1.0);
            } else {
                // Where all fits, room for a surge of a fifth, so that clients' repeats can't undo the cut;
                // else one pace for every proxy: it binds the busy ones until the sum fits.
                levels[class].0 = came.last().map(|most| most * 1.2);
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
        let (now, allowed) = (self.now, self.facts.flag("probes.allowed"));
        for (s, node) in self.nodes.iter_mut().enumerate().filter(|(_, n)| allowed && n.ready()) {
            // Every two seconds, well under a hundredth of a server's work; after the first probe that
            // stays without an answer, the next at once. One at a time: what is full has no room for them.
            let every = secs(if node.in_service() && node.unanswered == 1 && !node.asked { 0 } else { 2 });
            if node.probed == Duration::ZERO {
                // Spread over the first two seconds.
                let spread = self.chance.as_mut().map_or(0, |c| c.generate_range(0..2000));
                node.probed = now.saturating_sub(Duration::from_millis(spread)).max(Duration::from_nanos(1));
            } else if now >= node.probed + every {
                (node.probed, node.asked) = (now, true);
                orders.push(Order::Probe { server: s });
            }
        }
    }

    /// Deals proxies and servers into groups, each with a table of its own. A departure (docs/design.md):
    /// one table of all servers for all proxies, wherever the channel can lay that table at once.
    fn deal(&mut self, beat: bool) {
        let (ready, joined) = (self.nodes.iter().filter(|n| n.ready()).count() as f64, self.proxies.len());
        if self.groups.is_empty() && ready > 0.0 && joined > 0 {
            let proxies = self.fact("proxies", 0.0) / self.fact("planners", 1.0);
            // Seconds of the channel that a table of all takes.
            let lay = ready * proxies / self.fact("channel.pace", f64::INFINITY);
            // Where proxies come to a planner by chance, those here tell how much each zone gets.
            let zones = if self.facts.flag("home_first") { 1.0 } else { self.fact("zones", 1.0).max(1.0) };
            // Ten servers are few enough that their connections stay open, and enough to lose some.
            let count = if lay < 0.3 { 1.0 } else { (ready / 10.0 / zones).ceil() * zones };
            for g in 0..count as usize {
                let zone = (zones > 1.0 && count > 1.0).then_some(g % zones as usize);
                self.groups.push(Group { zone, ..Group::default() });
            }
        }
        if self.groups.is_empty() {
            return;
        }
        for group in &mut self.groups {
            (group.load, group.weight, group.servers, group.bound) = (0.1, 0.0, 0, 0.0);
        }
        // The proxies: one that came goes to the group of its zone that has least to do, and stays.
        for proxy in self.proxies.iter_mut().filter(|p| p.here) {
            let fits = |group: &Group| group.zone.is_none_or(|z| z == proxy.zone);
            let least = (0..self.groups.len()).min_by(|a, b| {
                let key = |g: usize| (!fits(&self.groups[g]), self.groups[g].load);
                key(*a).partial_cmp(&key(*b)).unwrap_or(std::cmp::Ordering::Equal)
            });
            let group = *proxy.group.get_or_insert(least.unwrap_or(0));
            self.groups[group].load += proxy.came.iter().sum::<f64>();
            self.groups[group].bound += f64::from(u8::from(proxy.bound.is_some()));
        }
        // The servers: a new one goes to the group of its zone that has fewest.
        for s in 0..self.nodes.len() {
            let weight = if self.nodes[s].in_service() { self.weight(s) } else { 0.0 };
            let node = &mut self.nodes[s];
            let fits = |group: &Group| group.zone.is_none_or(|z| z == node.zone);
            if node.ready() && node.group.is_none() {
                let key = |g: &usize| (!fits(&self.groups[*g]), self.groups[*g].servers);
                node.group = (0..self.groups.len()).min_by_key(key);
            }
            if let Some(group) = node.group {
                self.groups[group].servers += usize::from(node.ready());
                self.groups[group].weight += weight;
            }
        }
        if beat || self.groups.iter().any(|g| g.weight <= 0.0) {
            self.balance();
        }
    }

    /// Servers go where there is most to do for the weight, one by one, while that evens things out.
    fn balance(&mut self) {
        let by_plenty = |a: &&(f64, usize), b: &&(f64, usize)| a.0.total_cmp(&b.0);
        for _ in 0..self.nodes.len() {
            let plenty = |(g, group): (usize, &Group)| (group.weight / group.load, g);
            let all: Vec<(f64, usize)> = self.groups.iter().enumerate().map(plenty).collect();
            let (Some(&(least, poor)), Some(&(most, rich))) =
                (all.iter().min_by(by_plenty), all.iter().max_by(by_plenty))
            else {
                return;
            };
            // A fifth apart is within what a few seconds of reports tell.
            if most < least * 1.2 {
                return;
            }
            let (from, to) = (self.groups[rich].zone, self.groups[poor].zone);
            let movable = |s: &Server| self.nodes[*s].group == Some(rich) && self.nodes[*s].in_service();
            // Home first, then away from where it is a guest.
            let key = |s: &Server| {
                let zone = Some(self.nodes[*s].zone);
                (zone != to, zone == from, self.nodes[*s].started.is_some())
            };
            let Some(s) = (0..self.nodes.len()).filter(movable).min_by_key(key) else { return };
            let weight = self.weight(s);
            if (self.groups[rich].weight - weight) / self.groups[rich].load < least {
                return;
            }
            self.nodes[s].group = Some(poor);
            self.groups[rich].weight -= weight;
            self.groups[poor].weight += weight;
        }
    }

    /// Chooses the servers for the classes set apart: a group's first in service, up to their part. Never a
    /// cold one, which the crowd would push over, and never the last: too small a group is not parted.
    fn part(&mut self) {
        for g in 0..self.groups.len() {
            let of = |s: &Server| self.nodes[*s].group == Some(g);
            let warm = |s: &Server| of(s) && self.nodes[*s].in_service() && self.ramp(*s) >= 1.0;
            let open: Vec<Server> = (0..self.nodes.len()).filter(warm).collect();
            if open.len() < 4 {
                self.gate.apart = 0;
            }
            let weights: Vec<f64> = open.iter().map(|s| self.weight(*s)).collect();
            let mut left = weights.iter().sum::<f64>() * self.gate.part;
            self.nodes.iter_mut().filter(|n| n.group == Some(g)).for_each(|n| n.apart = false);
            for (s, weight) in open.iter().zip(weights).skip(1) {
                self.nodes[*s].apart = self.gate.apart != 0 && left > 0.0;
                left -= weight;
            }
        }
    }

    /// Owns all orders to proxies: what is out first, then lines, levels and binds, as far as the channel
    /// and each proxy's count of messages allow.
    fn send(&mut self, beat: bool, orders: &mut Vec<Order>) {
        let now = self.now;
        // What no mark came back for in twenty seconds was lost with its stream.
        self.channel.flying.retain(|f| now < f.at + secs(20));
        let (most, over) = (self.fact("channel.messages", 0.0), self.facts.span("channel.messages_over"));
        let over = over.unwrap_or(secs(10)) + Duration::from_millis(100);
        let mut spare = f64::INFINITY;
        for proxy in self.proxies.iter_mut().filter(|p| p.here) {
            proxy.messages.retain(|at| now < *at + over);
            spare = if most > 0.0 { spare.min(most - proxy.messages.len() as f64) } else { spare };
        }
        let joined: BTreeSet<Proxy> = (0..self.proxies.len()).filter(|p| self.proxies[*p].here).collect();
        let (count, head) = (joined.len() as f64, self.fact("channel.overhead", 10.0) + 1.0);
        // Half the backlog stays free: marks come late, and a slow channel is seen late.
        let free = self.fact("channel.backlog", 500.0) / 2.0 - self.channel.lines() - head * count;
        if joined.is_empty() || spare < 1.0 || free < 0.0 {
            return;
        }
        // Where messages are counted, one to all goes out every so often with all that is due, so that two
        // are always left: a drain waits a second at most, and never for its turn in the count.
        let wait = most > 0.0 && now < self.channel.last + over.div_f64((most - 2.0).max(1.0));
        self.due |= beat;
        let ordinary = self.due && !wait;
        self.due &= wait;
        // Where keys fall into slices only withdrawals are ordered so far (docs/design.md).
        let sliced = self.fact("slices", 0.0) > 0.0;
        if ordinary || (self.gate.apart != 0 && !self.parted()) {
            self.part();
        }
        let mut room = free;
        let mut reached = BTreeSet::new();
        if !wait {
            let to_all = self.withdrawals(sliced, count, &mut room, orders);
            let lines = if sliced { BTreeSet::new() } else { self.lines(ordinary, &mut room, orders) };
            let to_all = (ordinary && !sliced && self.send_levels(count, &mut room, orders)) || to_all;
            let concerned = |p: &Proxy| {
                let proxy = &self.proxies[*p];
                to_all || (proxy.bound.is_some() && proxy.group.is_some_and(|g| lines.contains(&g)))
            };
            reached = joined.iter().copied().filter(concerned).collect();
            self.channel.last = if reached.is_empty() { self.channel.last } else { now };
        }
        self.binds(ordinary, &joined, &mut room, &mut reached, orders);
        if !reached.is_empty() {
            reached.iter().for_each(|p| self.proxies[*p].messages.push_back(now));
            self.channel.mark = self.channel.mark.wrapping_add(1);
            let (mark, lines) = (self.channel.mark, free - room + head * reached.len() as f64);
            orders.push(Order::Mark { mark, everyone: false });
            self.channel.flying.push_back(Flying { mark, lines, at: now, awaited: reached });
        }
    }

    /// Each group that is parted has servers on both sides.
    fn parted(&self) -> bool {
        let open = |g: usize, apart: bool| {
            let of = |n: &Node| n.group == Some(g) && n.in_service() && n.sent.is_some();
            self.nodes.iter().any(|n| of(n) && n.apart == apart)
        };
        (0..self.groups.len()).all(|g| open(g, true) && open(g, false))
    }

    /// Shuts what is out of service out of the tables of before, which unbound proxies hold; bound ones
    /// follow their own table's lines.
    fn withdrawals(&mut self, sliced: bool, count: f64, room: &mut f64, orders: &mut Vec<Order>) -> bool {
        let unbound = sliced || self.proxies.iter().any(|p| p.here && p.bound.is_none());
        let before = orders.len();
        for (server, node) in self.nodes.iter_mut().enumerate().filter(|(_, n)| n.listed > 0.0) {
            let out = !node.in_service();
            if out != node.out && (unbound || !out) && *room >= 2.0 * count {
                node.out = out;
                orders.push(Order::Withdraw { server, out });
                *room -= count;
            }
        }
        orders.len() > before
    }

    /// Sets the lines that are most off first, what is out before all. Returns the groups concerned.
    fn lines(&mut self, ordinary: bool, room: &mut f64, orders: &mut Vec<Order>) -> BTreeSet<usize> {
        let mut wanted: Vec<(f64, Server, Option<Line>)> = Vec::new();
        for (s, node) in self.nodes.iter().enumerate() {
            let weight = if node.in_service() { self.weight(s) } else { 0.0 };
            let group = node.group.filter(|_| weight > 0.0);
            let line = group.map(|group| (table(group, node.apart), weight));
            let off = match (node.sent, line) {
                (Some(_), None) => f64::MAX,
                (None, Some(_)) => 9.0,
                (Some(old), Some(new)) if old.0 != new.0 => 8.0,
                (Some(old), Some(new)) => (new.1 / old.1).ln().abs(),
                (None, None) => 0.0,
            };
            // A change of an eighth is under what reports tell; a halving can't wait.
            if off > if ordinary { 0.12 } else { 0.69 } {
                wanted.push((off, s, line));
            }
        }
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut concerned = BTreeSet::new();
        let group = |table: Table| (usize::from(table) - 1) / 2;
        for (_, server, line) in wanted {
            let gone = self.nodes[server].sent.filter(|old| line.is_none_or(|new| new.0 != old.0));
            let lines = gone.map(|old| (old.0, 0.0)).into_iter().chain(line);
            let cost: f64 = lines.clone().map(|(table, _)| self.groups[group(table)].bound).sum();
            if cost > *room {
                break;
            }
            *room -= cost;
            for (table, weight) in lines {
                orders.push(Order::Line { table, server, weight });
                concerned.insert(group(table));
            }
            self.nodes[server].sent = line;
        }
        concerned
    }

    fn send_levels(&mut self, count: f64, room: &mut f64, orders: &mut Vec<Order>) -> bool {
        let before = orders.len();
        for (class, (level, tries)) in self.levels().into_iter().enumerate() {
            let old = self.gate.sent.get(class).copied();
            let near = |a: Option<f64>| match (a, level) {
                (Some(a), Some(b)) => (0.93..1.07).contains(&(b / a)),
                (a, b) => a == b,
            };
            if !old.is_some_and(|o| near(o.0) && o.1 == tries) && *room >= 2.0 * count {
                self.gate.sent.truncate(self.gate.sent.len().max(class));
                if old.is_some() {
                    self.gate.sent[class] = (level, tries);
                } else if self.gate.sent.len() == class {
                    self.gate.sent.push((level, tries));
                }
                let tables = (0..self.groups.len()).flat_map(|g| [table(g, false), table(g, true)]);
                orders.extend(tables.map(|table| Order::Level { table, class, level, tries }));
                *room -= 2.0 * count;
            }
        }
        orders.len() > before
    }

    fn binds(
        &mut self,
        ordinary: bool,
        joined: &BTreeSet<Proxy>,
        room: &mut f64,
        reached: &mut BTreeSet<Proxy>,
        orders: &mut Vec<Order>,
    ) {
        let (apart, leveled) = (self.gate.apart, self.leveled());
        let grace = self.facts.span("drain.grace").unwrap_or_default();
        let mut lines = vec![0.0; self.groups.len()];
        let laid = self.nodes.iter().filter(|n| n.sent.is_some());
        laid.filter_map(|n| n.group).for_each(|g| lines[g] += 1.0);
        for &p in joined {
            let Some(group) = self.proxies[p].group.filter(|g| lines[*g] > 0.0) else { continue };
            let cost = 2.0 + 2.0 * lines[group] + 2.0 * self.gate.sent.len() as f64;
            let bound = self.proxies[p].bound;
            // A proxy that holds a table of before keeps it until reports tell how much it lets in, but no
            // longer than half the grace: only a bind rids it of servers that this list never had.
            let old = self.proxies[p].old && self.gate.beats < 2 && leveled;
            if bound.is_none() && old && self.now < self.proxies[p].at + grace / 2 {
                continue;
            }
            if bound == Some(apart) || (bound.is_some() && !ordinary && apart != 0) || *room < cost {
                continue;
            }
            // All classes at first; then those that changed sides.
            if bound.is_none_or(|b| b & !apart != 0) {
                let classes = bound.map_or(0, |b| b & !apart);
                orders.push(Order::Bind { proxy: p, table: table(group, false), classes });
            }
            if apart & !bound.unwrap_or(0) != 0 {
                let classes = apart & !bound.unwrap_or(0);
                orders.push(Order::Bind { proxy: p, table: table(group, true), classes });
            }
            self.proxies[p].bound = Some(apart);
            reached.insert(p);
            *room -= cost;
        }
    }
}

#[cfg(test)]
mod tests;
