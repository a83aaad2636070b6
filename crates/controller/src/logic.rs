//! Every decision of a planner, through [`Planner::decide`] alone: note, judge, keep a floor per zone, weigh,
//! gauge, deal into groups, send. `docs/design.md` says what follows the source.

use crate::interface::{Class, Server, Table};
use crate::interface::{Entry, Event, Facts, Found, FurtherTries, Hint, Learned, Listing, Mode, Order};
use crate::state::{at, Channel, Gate, Group, Joined, Line, Node, Standing, Standing::*};
use crate::sums::{blend, even_level, middle, near};
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
        matches!(self.standing, Eligible | Ramping)
    }

    fn ready(&self) -> bool {
        !matches!(self.standing, Unlisted | Draining)
    }

    fn enter(&mut self, standing: Standing, now: Duration) {
        (self.standing, self.since) = (standing, now);
        if standing == Ramping {
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

    fn probed(&mut self, found: Found, now: Duration) {
        match found {
            Found::Handled => (self.unanswered, self.refused) = (0, false),
            Found::NoConnection => self.refused = true,
            Found::NoAnswer => self.unanswered += 1,
            Found::Failed => (self.tries, self.failed) = (self.tries + 1.0, self.failed + 1.0),
            Found::TurnedAway | Found::Nothing => return,
        }
        match self.standing {
            Withdrawn if found == Found::Handled => self.enter(Probation, now),
            Probation if found != Found::Handled => self.enter(Withdrawn, now),
            _ => {}
        }
    }
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
    groups: Vec<Group>,
    next_beat: Duration,
    halved_at: Duration,
    token: u64,
    /// Something came that can't wait for the next look.
    pressing: bool,
}

impl Planner {
    /// Takes what happened at `now` and returns what is to be done.
    pub fn decide(&mut self, now: Duration, happened: &[Event]) -> Vec<Order> {
        self.now = now;
        let mut orders = Vec::new();
        happened.iter().for_each(|event| self.note(event, &mut orders));
        // Reports only add up between the looks: a large fleet's come in every few milliseconds.
        if self.chance.is_some() && std::mem::take(&mut self.pressing) {
            // Once a second, as the design has it.
            let beat = now >= self.next_beat;
            self.judge(&mut orders);
            self.floor();
            if beat {
                self.next_beat = now + secs(1);
                self.weigh();
                self.forget();
                self.gauge();
            }
            self.deal(beat);
            self.send(beat, &mut orders);
        }
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
            Event::Joined { proxy, rate, zone, fresh } => {
                let (classes, old) = (self.fact("classes", 0.0), !fresh);
                let came = vec![rate / classes; classes as usize];
                let told = vec![now; classes as usize];
                let come = Joined { here: true, old, zone: *zone, came, told, ..Joined::default() };
                *at(&mut self.proxies, *proxy) = come;
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
                blend(at(&mut node.flow, *zone), f64::from(good) / span.as_secs_f64().max(0.1), 0.5);
                (node.tries, node.failed) = (node.tries + *tries as f32, node.failed + *failed as f32);
                node.run += *failed as f32;
                let met = &mut self.gate.met[usize::from(node.apart)];
                *met = (met.0 + *tries as f64, met.1 + *failed as f64);
                if good > 0.0 {
                    (node.run, node.good_at, node.stranger) = (0.0, now, false);
                    node.times.add(took, good);
                    self.gate.times[usize::from(node.apart)].add(took, good);
                }
            }
            Event::Came { proxy, class, queries, span, .. } => {
                let joined = at(&mut self.proxies, *proxy);
                let (came, told) = (at(&mut joined.came, *class), at(&mut joined.told, *class));
                // Where none came there is no line: these came in all the time since the line before. Half of
                // what was known stays for as long as two queries take, or a line.
                let over = now.saturating_sub(*told).max(*span).as_secs_f64().max(0.1);
                let half = span.as_secs_f64().max(2.0 / came.max(1e-3));
                blend(came, *queries as f64 / over, 1.0 - 0.5f64.powf(over / half));
                *told = now;
            }
            Event::Probed { server, found, load, .. } => {
                self.loaded(*server, load);
                at(&mut self.nodes, *server).probed(*found, now);
            }
            // What did not go out is wanted anew at the next look, as things then stand; till then nothing is
            // pressed, or the same order would come round and round.
            Event::Refused { order: Order::Line { table, server, .. }, weight } => {
                at(&mut self.nodes, *server).sent = weight.map(|weight| (*table, weight));
            }
            Event::Refused { order: Order::Bind { proxy, .. }, .. } => {
                at(&mut self.proxies, *proxy).bound = None;
            }
            Event::Refused { order: Order::Level { class, .. }, .. } => {
                *at(&mut self.gate.sent, *class) = None
            }
            Event::Remembered { hints } => self.remember(hints),
            // Whoever has the index next is new, and starts without what its forerunner left.
            Event::Forgotten { server } => *at(&mut self.nodes, *server) = Node::default(),
            Event::Woken { token } if *token == self.token => {
                (self.token, self.pressing) = (self.token + 1, true);
                // Four looks a beat: what waits for room in the channel goes out soon after there is some.
                orders.push(Order::Wake { after: Duration::from_millis(250), token: self.token });
            }
            _ => {}
        }
    }

    fn loaded(&mut self, server: Server, load: &[f64]) {
        for (k, &value) in load.iter().enumerate().filter(|(_, v)| v.is_finite() && **v > 0.0) {
            let node = at(&mut self.nodes, server);
            match self.facts.text(&format!("load.{k}")) {
                "busy" => blend(&mut node.busy, value, 0.2),
                "work_time" => node.work.add(value / 1000.0, 1.0),
                _ => {}
            }
        }
    }

    fn list(&mut self, how: Listing, entries: &[Entry]) {
        let (now, first, stays) = (self.now, self.nodes.is_empty(), self.facts.flag("drain.marked_only"));
        self.pressing = true;
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
                    // On the first list, or it answered all along; else it has yet to show that it is there.
                    let there = first || (stays && now < node.good_at + secs(3));
                    let old = there && e.started.is_none();
                    node.stranger = !there && stays && e.started.is_none();
                    node.enter(if old { Eligible } else { Ramping }, now);
                    (node.swift, node.heard, node.good_at, node.dropped) = (1.0, now, now, false);
                    (node.times, node.work, node.busy) = Default::default();
                    node.started = if old { None } else { e.started.or(Some(now)) };
                    let spread = self.chance.as_mut().map_or(0, |c| c.generate_range(0..2000));
                    node.probed = now.saturating_sub(Duration::from_millis(spread));
                }
            }
        }
        if how != Listing::Changes {
            let named: BTreeSet<Server> = entries.iter().map(|e| e.server).collect();
            let missing = self.nodes.iter_mut().enumerate().filter(|(s, _)| !named.contains(s));
            missing.for_each(|(_, node)| node.drop_out(stays, now));
        }
    }

    /// Hints of an earlier start, never verdicts (a departure, docs/design.md): a server in doubt comes back
    /// as one that was out, and its first failures in a row count; what was met since the start counts for
    /// more.
    fn remember(&mut self, hints: &[Hint]) {
        let doubted = |h: &&Hint| h.doubt >= 0.3;
        // Many in doubt at once had one cause, an overload or something shared: that says nothing of any one.
        let serving = self.nodes.iter().filter(|n| n.in_service()).count();
        let few = 3 * hints.iter().filter(doubted).count() <= serving;
        for hint in hints.iter().filter(|h| h.swift.is_finite()) {
            let Some(node) = self.nodes.get_mut(hint.server).filter(|n| n.in_service() && n.tries == 0.0)
            else {
                continue;
            };
            node.swift = hint.swift.clamp(0.4, 2.0);
            if few && doubted(&hint) && node.standing == Eligible {
                node.enter(Ramping, self.now);
                node.run = (3.0 * hint.doubt.min(1.0)) as f32;
            }
        }
    }

    /// What may outlast this planner: servers that are not as the list has them.
    pub fn learned(&self) -> impl Iterator<Item = Learned> + '_ {
        self.nodes.iter().enumerate().filter(|(_, n)| n.ready()).filter_map(|(server, node)| {
            let out = matches!(node.standing, Withdrawn | Probation | Held);
            let failed = if out { Some(self.now) } else { node.withdrawals.back().copied() };
            let learned = Learned { server, swift: node.swift, failed, held: node.standing == Held };
            (node.swift != 1.0 || failed.is_some()).then_some(learned)
        })
    }

    /// Nothing is left of a server: it is not on the list and in no table.
    pub fn is_spent(&self, server: Server) -> bool {
        self.nodes.get(server).is_none_or(|n| n.standing == Unlisted && n.sent.is_none())
    }

    /// Settles where each server stands, by what was met there and what its probes found.
    fn judge(&mut self, orders: &mut Vec<Order>) {
        let (now, slow, probes) = (self.now, self.slow(), self.facts.flag("probes.allowed"));
        // What is usual, in failed tries and in quiet: that of the middle one of the servers in service.
        let heard = self.nodes.iter().filter(|n| n.in_service() && !n.apart && n.tries >= 2.0);
        let usual = middle(heard.clone().map(|n| n.failed / n.tries).collect());
        let hush = middle(heard.map(|n| now.saturating_sub(n.good_at).as_secs_f32()).collect());
        // Half of the tries is a burst of time-outs at a full server too; it must stand out from the rest.
        let mark = (2.0 * usual + 0.2).max(0.65);
        let mut failing = Vec::new();
        for s in 0..self.nodes.len() {
            let full = self.ramp(s) >= 1.0;
            let node = &mut self.nodes[s];
            node.halved = false;
            // A probe every four seconds: two in a row tell of a silent server, and six planners may ask.
            if probes && node.ready() && now >= node.probed + secs(4) {
                node.probed = now;
                orders.push(Order::Probe { server: s });
            }
            let quiet = now.saturating_sub(node.good_at).as_secs_f32();
            let mute = quiet >= (6.0 * hush).max(2.5);
            // Failures alone, past chance, longer than a full server gives them; those apart are to be full.
            let dead = node.run >= 4.0 && usual.max(0.02).powf(node.run) < 1e-4 && mute && !node.apart;
            // Silence alone is no failure; two unanswered probes on top of it are.
            let dead = dead || node.refused || (node.unanswered >= 2 && quiet >= 1.5);
            // Dropped from the list and nothing good any more, or never anything good: it is not there.
            let absent = node.run >= 1.0 && (node.stranger || (node.dropped && mute));
            let waited = now.saturating_sub(node.since);
            match node.standing {
                _ if node.in_service() && absent => node.drop_out(false, now),
                _ if node.in_service() && dead => self.withdraw(s, true, orders),
                _ if node.in_service() && node.tries >= 14.0 && node.failed / node.tries > mark => {
                    failing.push(s);
                    // Failing, and slow in what it answers, is too much load and no fault: less weight.
                    node.halved = node.apart || (node.times.count() >= 1.0 && node.times.mean() > slow);
                }
                Held if waited >= secs(60) => node.enter(Withdrawn, now),
                Withdrawn if !probes => node.enter(Probation, now),
                // The design's ten seconds.
                Probation if waited >= secs(10) => node.enter(Ramping, now),
                Ramping if full => {
                    node.standing = Eligible;
                    (node.times, node.work) = Default::default();
                }
                _ => {}
            }
        }
        // Most of a zone failing together points at what they share: less weight, no withdrawal.
        let mut rest: Vec<i64> = Vec::new();
        self.nodes.iter().filter(|n| n.ready()).for_each(|n| *at(&mut rest, n.zone) += 1);
        failing.iter().for_each(|s| *at(&mut rest, self.nodes[*s].zone) -= 2);
        for s in failing {
            self.nodes[s].halved |= rest[self.nodes[s].zone] < 0;
            if !self.nodes[s].halved {
                self.withdraw(s, false, orders);
            }
        }
    }

    fn withdraw(&mut self, s: Server, hard: bool, orders: &mut Vec<Order>) {
        let (now, node) = (self.now, &mut self.nodes[s]);
        node.hard = hard;
        node.withdrawals.push_back(now);
        // Three in sixty seconds, as the design has it.
        node.withdrawals.retain(|at| now < *at + secs(60));
        node.enter(if node.withdrawals.len() >= 3 { Held } else { Withdrawn }, now);
        orders.push(Order::Log { text: format!("server {s} {node}") });
    }

    /// Under half of a zone in service: what was withdrawn returns; what was dead, only under half of all.
    fn floor(&mut self) {
        let fleet = self.nodes.iter().map(|n| n.zone + 1).max().unwrap_or(0);
        let mut out = vec![0; fleet + 1];
        for node in self.nodes.iter().filter(|n| n.ready()) {
            let one = if node.in_service() { -1 } else { 1 };
            (out[node.zone], out[fleet]) = (out[node.zone] + one, out[fleet] + one);
        }
        let none = !(0..self.nodes.len()).any(|s| self.weight(s) > 0.0);
        for node in self.nodes.iter_mut().filter(|n| n.ready() && !n.in_service()) {
            // Five seconds out, so that a dead server is not let in again at every look.
            let rested = self.now >= node.since + secs(5);
            if none || (rested && (out[fleet] > 0 || (out[node.zone] > 0 && !node.hard))) {
                node.enter(Ramping, self.now);
            }
        }
    }

    fn ramp(&self, s: Server) -> f64 {
        let node = &self.nodes[s];
        // The design's ramp: from a tenth to the full weight over ten seconds. One that is new and was never
        // out has only its cold time to get over, and half as long again: a fleet of which a third is new
        // must not stay small.
        let warm = self.fact("cold.warm_after", 20.0).max(0.1);
        let over = if node.withdrawals.is_empty() { (1.5 * warm).clamp(2.0, 10.0) } else { 10.0 };
        let back = 0.1 + 0.9 * self.now.saturating_sub(node.since).as_secs_f64() / over;
        let part = if node.standing == Ramping { back.min(1.0) } else { 1.0 };
        let Some(started) = node.started else { return part };
        // A cold server is smaller, and slower too: a little less than its least capacity.
        let from = self.fact("cold.from", 0.1);
        let least = (from + (1.0 - from) * self.now.saturating_sub(started).as_secs_f64() / warm).min(1.0);
        // The harder pressed the fleet, the warmer it must be: what full ones shun is heaped on a fresh one.
        // Before four beats of reports it is not known; a restarted planner may be amid an overload.
        let pressure = if self.gate.beats < 4 { 2.5 } else { self.gate.strain };
        if least < (0.12 * pressure.powi(2)).clamp(0.4, 1.0) {
            return 0.0;
        }
        part.min(least.powf(1.3).max(0.1))
    }

    fn weight(&self, s: Server) -> f64 {
        let node = &self.nodes[s];
        let part = if node.in_service() { self.ramp(s) } else { 0.0 };
        node.listed * node.swift * part * if node.halved { 0.5 } else { 1.0 }
    }

    /// Once a beat: how swift each server is against what the list says: by how busy its tries (with other
    /// planners about, its weight) keep it; else its own time for a query; else what its queries took.
    fn weigh(&mut self) {
        let alone = self.fact("planners", 1.0) <= 1.0;
        let evidence = |n: &Node| {
            let tries = if alone { f64::from(n.tries) / n.listed } else { n.swift };
            match n {
                // With little to do, a server is quicker than with its part: what it says while its weight
                // grows would make that grow past what it can do.
                n if n.standing == Ramping || (n.busy > 0.05 && n.tries < 8.0) => None,
                n if n.busy > 0.05 => Some((0, n.busy / tries, true)),
                n if n.work.count() >= 4.0 => Some((n.kind + 1, n.listed * n.work.mean(), true)),
                n => Some((n.kind + 1, n.times.mean(), false)).filter(|_| n.times.count() >= 8.0),
            }
        };
        let mut seen: Vec<Vec<(Server, f64, bool)>> = Vec::new();
        for (s, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.in_service()) {
            if let Some((peers, time, direct)) = evidence(node) {
                at(&mut seen, peers).push((s, time, direct));
            }
        }
        let pull = self.pull();
        for (peers, seen) in seen.into_iter().enumerate() {
            let mean = seen.iter().map(|(_, t, _)| t.ln()).sum::<f64>() / seen.len().max(1) as f64;
            let pull = peers.checked_sub(1).and_then(|kind| pull.get(kind).copied()).unwrap_or(0.0);
            for (s, time, direct) in seen {
                let Node { swift, since, started, .. } = &mut self.nodes[s];
                let lag = (mean - time.ln()).clamp(-1.0, 1.0);
                // What answers to the weight itself, seconds late, is taken up slowly, or by half: no swing.
                let goal = pull + if direct { lag } else { lag * 0.5 };
                // A new one that is slower than the rest fills its queue until that is learned; one that
                // seems swifter may be so for its empty queue.
                let new = started.is_some() && self.now < *since + secs(10);
                let pace = match direct {
                    true if new && goal < swift.ln() => 0.3,
                    true if alone => 0.2,
                    _ => 0.1,
                };
                *swift = (*swift * ((goal - swift.ln()) * pace).exp()).clamp(0.4, 2.0);
            }
        }
    }

    /// How far each kind is to be above what the list says, by half of what its queries take less than the
    /// others': guards against a list that counts slow cores like swift ones. Does harm where a kind is slow
    /// with nothing to do; by half, it still gets the most of its part.
    fn pull(&self) -> Vec<f64> {
        let mut kinds: Vec<(f64, f64)> = Vec::new();
        let known = |n: &&Node| n.standing == Eligible && n.times.count() >= 4.0;
        for node in self.nodes.iter().filter(known) {
            let kind = at(&mut kinds, node.kind);
            *kind = (kind.0 + node.times.mean().ln(), kind.1 + 1.0);
        }
        let all = kinds.iter().fold((0.0, 0.0), |a, k| (a.0 + k.0, a.1 + k.1));
        let mean = |(sum, count): (f64, f64)| if count > 0.0 { sum / count } else { all.0 / all.1 };
        kinds.iter().map(|k| (0.5 * (mean(all) - mean(*k))).clamp(-0.5, 0.5)).collect()
    }

    /// Halves what was counted: every three seconds, or as long as sixteen tries a server take.
    fn forget(&mut self) {
        let serving: Vec<f32> = self.nodes.iter().filter(|n| n.in_service()).map(|n| n.tries).collect();
        let rich = serving.iter().sum::<f32>() >= 16.0 * serving.len() as f32;
        let halve = self.now >= self.halved_at + secs(if rich { 3 } else { 12 });
        if halve {
            self.halved_at = self.now;
            self.nodes.iter_mut().for_each(|n| n.halve(20.0));
        }
    }

    /// The classes by payoff, and among equals the one that can wait least first.
    fn classes(&self) -> Vec<Class> {
        let key = |c: &Class, name: &str| self.fact(&format!("class.{c}.{name}"), 1.0);
        let mut classes: Vec<Class> = (0..self.fact("classes", 0.0) as usize).collect();
        classes.sort_by(|a, b| key(a, "soft_limit").total_cmp(&key(b, "soft_limit")));
        classes.sort_by(|a, b| key(b, "payoff").total_cmp(&key(a, "payoff")));
        classes
    }

    /// The mean time, seconds, past which the slow tail begins to miss the soft limit: near half of it.
    fn slow(&self) -> f64 {
        let (mut sum, mut all) = (0.0, 0.0);
        for class in self.classes() {
            let came: f64 = self.proxies.iter().filter_map(|p| p.came.get(class)).sum::<f64>() + 1e-6;
            sum += came * self.fact(&format!("class.{class}.soft_limit"), 1.0);
            all += came;
        }
        0.45 * if all > 0.0 { sum / all } else { f64::INFINITY }
    }

    /// How hard pressed the fleet is: further tries are cut first, levels only when that does not help.
    fn gauge(&mut self) {
        let leveled = self.facts.text("levels.kind") == "pace";
        self.press(leveled);
        let fleet = (0..self.nodes.len()).map(|s| self.weight(s)).sum::<f64>().max(1e-3);
        let came: f64 = self.proxies.iter().flat_map(|p| &p.came).sum();
        let gate = &mut self.gate;
        let heard = self.nodes.iter().filter(|n| self.now < n.heard + secs(3));
        let listed = heard.clone().filter(|n| n.listed > 0.0).flat_map(|n| &n.flow).sum::<f64>();
        gate.handled = heard.flat_map(|n| &n.flow).sum();
        gate.astray = listed < 0.85 * gate.handled;
        gate.beats += u32::from(gate.handled > 0.0);
        let (limited, pressure) = (gate.limit.is_some_and(|l| l < came) || gate.apart != 0, gate.pressure[0]);
        // What the fleet could handle by its weight: the lighter the pressure, the more above what it handles
        // now (the root is a cautious fit). Held back by a limit at ease it rises, or it would sink with it.
        let guess = gate.handled / fleet / pressure.max(0.4).sqrt();
        if gate.beats >= 3 && pressure < 1.0 && (!limited || guess > gate.best || pressure > 0.7) {
            blend(&mut gate.best, guess, 0.15);
        } else if limited && pressure < 0.7 {
            gate.best *= 1.0 + 0.3 * (0.7 - pressure);
        }
        if gate.beats >= 1 && pressure < 0.85 && !limited {
            // What has come for some seconds without pressing it, it can handle whatever the guess says.
            blend(&mut gate.usual, came / fleet, 0.2);
        }
        // What a change does is seen after the reports' delay and once the queues have run off.
        let rested = self.now >= gate.changed + secs(if limited { 2 } else { 1 });
        if pressure > 1.0 && rested {
            self.cut(fleet, came, leveled);
        } else if pressure < 0.9 {
            self.ease(fleet, came, leveled, rested);
        }
    }

    fn press(&mut self, leveled: bool) {
        // Refusing queries for servers that are sick and not full costs more than setting a class apart.
        let (slow, part) = (self.slow(), if leveled { 1.4 } else { 1.6 });
        let gate = &mut self.gate;
        for (k, times) in gate.times.iter_mut().enumerate() {
            let (tries, failed) = gate.met[k];
            gate.met[k] = (tries * 0.5, failed * 0.5);
            // One failed try in seven is more than a few servers' trouble; with the rest quick, no overload.
            let failures = failed / (tries + 1.0) / 0.15;
            gate.late[k] = if times.count() < 10.0 { failures } else { times.mean() / slow };
            gate.pressure[k] = gate.late[k].max(failures.min(gate.late[k] * part));
            // What fails, for whatever cause, is heaped on a fresh server all the same.
            gate.strain = if k == 0 { gate.late[0].max(failures) } else { gate.strain };
            times.halve();
        }
    }

    fn cut(&mut self, fleet: f64, came: f64, leveled: bool) {
        let least = self.classes().into_iter().skip(1).last();
        let gate = &mut self.gate;
        if gate.tries_cut && leveled {
            // Below what is handled, or could be when a cut was needed, so that what waits is worked off.
            gate.knee = if gate.knee == 0.0 { gate.best.max(gate.handled / fleet) } else { gate.knee };
            let part = (1.0 - 0.15 * gate.pressure[0]).clamp(0.5, 0.9);
            let below = gate.handled.max(gate.knee * fleet * 0.6) * part;
            // Where failures alone press, servers may be sick and not full: a step down, no more.
            let step = if gate.late[0] > 1.0 { 0.0 } else { gate.limit.unwrap_or(came).min(came) * 0.9 };
            gate.limit = Some(below.max(step));
        } else if gate.tries_cut && (gate.pressure[0] > 1.5 || came > gate.best * fleet * 1.15) {
            // No levels here: the least class moves to a part of the fleet, less with each step.
            gate.part = if gate.apart == 0 { 0.15 } else { (gate.part * 0.8).max(0.06) };
            gate.apart = least.map_or(0, |class| 1 << class);
        }
        (gate.tries_cut, gate.changed) = (true, self.now);
    }

    fn ease(&mut self, fleet: f64, came: f64, leveled: bool, rested: bool) {
        // Picked by chance, queries queue at a lower load than in turns.
        let room = if self.facts.text("pick") == "chance" { 0.7 } else { 0.8 };
        let gate = &mut self.gate;
        let ease = 1.0 - gate.pressure[0];
        let step = 1.0 + 0.2 * ease;
        if leveled && gate.beats >= 3 {
            // Up to the knee at once, past it by little: what is too much shows seconds late.
            let knee = gate.knee * fleet * 0.9;
            let rise = match gate.limit.unwrap_or(f64::MAX) {
                l if l < knee => (l * step * 1.1).min(knee),
                l if gate.knee > 0.0 => l * (1.0 + 0.2 * ease * ease),
                l => l * step,
            };
            // A limit a third above what comes stays on, against surges; the guess binds after three seconds.
            let most = (gate.best * room).max(gate.usual * 1.1) * fleet;
            gate.limit = Some(rise.min(came * 1.3).min(if gate.beats < 4 { f64::MAX } else { most }));
        }
        gate.part = (gate.part * step).min(0.8);
        if gate.pressure[1] < 0.9 && rested {
            gate.apart = 0;
        }
        // Tries come back last, five seconds after all is let in again.
        let open = gate.limit.is_none_or(|l| l >= came * 1.2) && gate.apart == 0;
        gate.tries_cut &= !open || self.now < gate.changed + secs(5);
        gate.knee = if gate.tries_cut { gate.knee } else { 0.0 };
    }

    /// The level of each class and its further tries: the limit goes to the classes by payoff.
    fn levels(&self) -> Vec<(Option<f64>, FurtherTries)> {
        // One after proof that the first never ran is safe for every class; more is not.
        let tries = if self.gate.tries_cut { FurtherTries::None } else { FurtherTries::Unrun };
        let mut levels = vec![(None, tries); self.fact("classes", 0.0) as usize];
        let Some(mut rest) = self.gate.limit else { return levels };
        for class in self.classes() {
            let here = self.proxies.iter().filter(|p| p.here);
            let came: Vec<f64> = here.filter_map(|p| p.came.get(class).copied()).collect();
            let all: f64 = came.iter().sum();
            let part = rest.max(all * 0.05);
            // One pace for every proxy binds the busy ones until the sum fits; else, room for a fifth more.
            let most = came.iter().copied().reduce(f64::max);
            // A proxy with little to do gets two queries more in a second by chance.
            let open = most.map(|most| (most * 1.2).max(most + 2.0));
            levels[class].0 = even_level(came, part).or(open);
            rest = (rest - all).max(0.0);
        }
        levels
    }

    /// Deals proxies and servers into groups, each with a table of its own. A departure (docs/design.md):
    /// one table of all servers for all proxies, wherever the channel can lay that table at once.
    fn deal(&mut self, beat: bool) {
        if self.groups.is_empty() {
            self.divide();
        }
        for group in &mut self.groups {
            *group = Group { zone: group.zone, apart: group.apart, ..Group::default() };
        }
        // One that came goes to the group of its zone that has least to do, or fewest servers, and stays.
        for proxy in self.proxies.iter_mut().filter(|p| p.here) {
            let key = |g: &usize| (self.groups[*g].away(proxy.zone), (self.groups[*g].load * 1e3) as u64);
            proxy.group = proxy.group.or_else(|| (0..self.groups.len()).min_by_key(key));
            if let Some(group) = proxy.group.map(|g| &mut self.groups[g]) {
                group.load += proxy.came.iter().sum::<f64>();
                group.proxies += 1.0;
            }
        }
        for s in 0..self.nodes.len() {
            let (weight, node) = (self.weight(s), &mut self.nodes[s]);
            let key = |g: &usize| (self.groups[*g].away(node.zone), self.groups[*g].servers);
            node.group = node.group.or_else(|| (0..self.groups.len()).min_by_key(key));
            if let Some(group) = node.group.map(|g| &mut self.groups[g]) {
                group.servers += usize::from(node.ready());
                group.weight += weight;
            }
        }
        // However little its proxies ask for, a group is due three servers, so that it may lose one.
        let (weight, load) = self.groups.iter().fold((0.0, 0.0), |a, g| (a.0 + g.weight, a.1 + g.load));
        let least = 0.3 * load / self.groups.len() as f64;
        let fed = self.groups.iter_mut().filter(|g| g.proxies > 0.0);
        fed.for_each(|g| g.load = g.load.max(least));
        // Under half of its part, the cold ones in it would be pushed over before the next beat.
        if beat || self.groups.iter().any(|g| g.weight * load < 0.5 * weight * g.load) {
            self.balance();
        }
        self.shelter();
    }

    /// Fewer servers in service than groups: proxies whose group has none, and is spared none, go to the
    /// group that has most for what it does. Guards against a fleet that shrinks under its groups, as in a
    /// deploy amid an overload; could heap proxies on few servers, which levels then cut.
    fn shelter(&mut self) {
        // Where messages are counted, a second bind within the span would be one too many.
        let counted = self.fact("channel.messages", 0.0) > 0.0;
        let pause = self.facts.span("channel.messages_over").filter(|_| counted).unwrap_or(secs(2));
        for proxy in self.proxies.iter_mut().filter(|p| p.here) {
            let bare = proxy.group.is_some_and(|g| self.groups[g].weight <= 1e-9);
            if !bare || proxy.moved.is_some_and(|at| self.now < at + pause) {
                continue;
            }
            let open = (0..self.groups.len()).filter(|g| self.groups[*g].weight > 1e-9);
            let plenty = |g: &usize| self.groups[*g].weight / self.groups[*g].load.max(1e-3);
            let Some(to) = open.max_by(|a, b| plenty(a).total_cmp(&plenty(b))) else { return };
            let group = &mut self.groups[to];
            group.load += proxy.came.iter().sum::<f64>();
            group.proxies += 1.0;
            (proxy.group, proxy.bound, proxy.moved) = (Some(to), None, Some(self.now));
        }
    }

    fn divide(&mut self) {
        let ready = self.nodes.iter().filter(|n| n.ready()).count() as f64;
        let proxies = self.fact("proxies", 0.0) / self.fact("planners", 1.0);
        let lay = ready * proxies / self.fact("channel.pace", f64::INFINITY);
        // Where proxies come to a planner by chance, those here tell how much each zone gets.
        let zones = self.fact("zones", 1.0).max(1.0);
        // Dealt by zone, proxies of one zone alone would have all servers in one table again.
        let dealt = self.facts.flag("home_first") && zones < 2.0 * self.fact("planners", 1.0);
        let zones = if dealt { 1.0 } else { zones };
        // Ten servers are few enough that their connections stay open, and enough to lose some.
        let count = if lay < 0.15 { ready.min(1.0) } else { (ready / 10.0 / zones).ceil() * zones };
        // Where keys fall into slices nothing is ordered so far (docs/design.md).
        let count = if self.fact("slices", 0.0) > 0.0 { 0.0 } else { count };
        let zone = |g| (zones > 1.0 && count > 1.0).then_some(g % zones as usize);
        self.groups = (0..count as usize).map(|g| Group { zone: zone(g), ..Group::default() }).collect();
    }

    /// Servers go where there is most to do for the weight, one by one; a group without proxies gives all.
    fn balance(&mut self) {
        let mut spent = BTreeSet::new();
        for _ in 0..self.nodes.len() + self.groups.len() {
            let plenty = |g: &usize| self.groups[*g].weight / self.groups[*g].load;
            let by_plenty = |a: &usize, b: &usize| plenty(a).total_cmp(&plenty(b));
            let fed = (0..self.groups.len()).filter(|g| self.groups[*g].proxies > 0.0);
            let full = (0..self.groups.len()).filter(|g| self.groups[*g].weight > 0.0 && !spent.contains(g));
            let (Some(poor), Some(rich)) = (fed.min_by(by_plenty), full.max_by(by_plenty)) else { return };
            // A third apart is within what a few seconds of reports tell, and a move costs connections.
            if poor == rich || plenty(&rich) < plenty(&poor) * 1.35 {
                return;
            }
            let key = |s: &Server| {
                let zone = Some(self.nodes[*s].zone);
                (zone != self.groups[poor].zone, zone == self.groups[rich].zone)
            };
            let movable = |s: &Server| self.nodes[*s].group == Some(rich) && self.weight(*s) > 0.0;
            let found = (0..self.nodes.len()).filter(movable).min_by_key(key).map(|s| (s, self.weight(s)));
            let Group { weight, load, proxies, .. } = self.groups[rich];
            // Never its last one: two groups would hand it to and fro, and one of them be bare at any time.
            let keeps = |one: f64| weight > one * 1.01 && (weight - one) / load >= plenty(&poor);
            let spares = |(_, one): &(Server, f64)| proxies == 0.0 || keeps(*one);
            if let Some((s, one)) = found.filter(spares) {
                self.nodes[s].group = Some(poor);
                self.groups[rich].weight -= one;
                self.groups[poor].weight += one;
            } else {
                spent.insert(rich);
            }
        }
    }

    /// Sets servers apart: a group's first warm ones, up to their part; too small a group is not parted.
    fn part(&mut self) {
        for g in 0..self.groups.len() {
            let of = |s: &Server| self.nodes[*s].group == Some(g) && self.nodes[*s].in_service();
            let warm = (0..self.nodes.len()).filter(of).filter(|s| self.ramp(*s) >= 1.0);
            let open: Vec<(Server, f64)> = warm.map(|s| (s, self.weight(s))).collect();
            let mut left = open.iter().map(|(_, weight)| weight).sum::<f64>() * self.gate.part;
            self.groups[g].apart = if open.len() < 4 { 0 } else { self.gate.apart };
            // The table of those apart stays as it is until the last proxy is off it.
            let on = |p: &Joined| p.here && p.group == Some(g) && p.bound.is_some_and(|b| b != 0);
            if self.groups[g].apart == 0 && self.proxies.iter().any(on) {
                continue;
            }
            self.nodes.iter_mut().filter(|n| n.group == Some(g)).for_each(|n| n.apart = false);
            for (s, weight) in open.into_iter().skip(1) {
                self.nodes[s].apart = left > 0.0 && self.groups[g].apart != 0;
                left -= weight;
            }
        }
    }

    /// Owns all orders to proxies: what is out first, then lines, levels and binds, as the channel allows.
    fn send(&mut self, beat: bool, orders: &mut Vec<Order>) {
        let now = self.now;
        let (most, over) = (self.fact("channel.messages", 0.0), self.facts.span("channel.messages_over"));
        let over = over.unwrap_or(secs(10)) + Duration::from_millis(100);
        let count = self.proxies.iter().filter(|p| p.here).count() as f64;
        let head = self.fact("channel.overhead", 10.0) + 1.0;
        // Half the backlog stays free: marks come late, and a slow channel is seen late. Who joined and is on
        // no table yet may have half of that: the graces of the rules run for it.
        let backlog = self.fact("channel.backlog", 500.0);
        let free = backlog / 2.0 - self.channel.lines() - head * count;
        if count < 1.0 || free + backlog / 4.0 < 0.0 {
            return;
        }
        // Where messages are counted, one goes out every so often with all that is due: two are always left.
        let wait = most > 0.0 && now < self.channel.last + over.div_f64((most - 2.0).max(1.0));
        let ordinary = if most > 0.0 { !wait } else { beat };
        if ordinary || self.gate.apart != 0 {
            self.part();
        }
        (self.channel.room, self.channel.reached) = (free, BTreeSet::new());
        if !wait {
            self.lines(ordinary, orders);
            if ordinary {
                self.set_levels(2.0 * count, orders);
            }
        }
        // What changed sides counts as the rest: guards against tables that part and join at every look.
        let (sent, moved) = (!self.channel.reached.is_empty(), self.bind(backlog / 4.0, !wait, orders));
        self.channel.last = if sent || moved { now } else { self.channel.last };
        let reached = std::mem::take(&mut self.channel.reached);
        if !reached.is_empty() {
            let lines = free - self.channel.room + head * reached.len() as f64;
            orders.push(Order::Mark { mark: self.channel.launch(lines, reached), everyone: false });
        }
    }

    fn reach(&mut self, groups: &BTreeSet<Option<usize>>) {
        let on = |p: &Joined| p.here && p.bound.is_some() && groups.contains(&p.group);
        let reached = self.proxies.iter().enumerate().filter(|(_, p)| on(p)).map(|(p, _)| p);
        self.channel.reached.extend(reached);
    }

    fn lines(&mut self, ordinary: bool, orders: &mut Vec<Order>) {
        let mut wanted: Vec<(f64, Server, Option<Line>)> = Vec::new();
        for (s, node) in self.nodes.iter().enumerate() {
            let weight = self.weight(s);
            let line = node.group.filter(|_| weight > 0.0).map(|g| (table(g, node.apart), weight));
            let off = match (node.sent, line) {
                (None, None) => 0.0,
                (Some(_), None) => f64::MAX,
                (Some(old), Some(new)) if old.0 == new.0 => (new.1 / old.1).ln().abs(),
                _ => 9.0,
            };
            // A change of an eighth is under what reports tell; a halving can't wait.
            if off > if ordinary { 0.12 } else { 0.69 } {
                wanted.push((off, s, line));
            }
        }
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut concerned = BTreeSet::new();
        for (_, server, line) in wanted {
            let gone = self.nodes[server].sent.filter(|old| line.is_none_or(|new| new.0 != old.0));
            let lines = gone.map(|old| (old.0, 0.0)).into_iter().chain(line);
            let groups = lines.clone().map(|(table, _)| (usize::from(table) - 1) / 2);
            let cost: f64 = groups.clone().map(|g| self.groups[g].proxies).sum();
            if cost > self.channel.room {
                break;
            }
            self.channel.room -= cost;
            self.nodes[server].sent = line;
            concerned.extend(groups.map(Some));
            orders.extend(lines.map(|(table, weight)| Order::Line { table, server, weight }));
        }
        self.reach(&concerned);
    }

    fn set_levels(&mut self, cost: f64, orders: &mut Vec<Order>) {
        for (class, (level, tries)) in self.levels().into_iter().enumerate() {
            let old = at(&mut self.gate.sent, class);
            let same = old.is_some_and(|o| near(o.0, level, 0.07) && o.1 == tries);
            if !same && self.channel.room >= cost {
                *old = Some((level, tries));
                let tables = (0..self.groups.len()).flat_map(|g| [table(g, false), table(g, true)]);
                orders.extend(tables.map(|table| Order::Level { table, class, level, tries }));
                self.channel.room -= cost;
                self.reach(&(0..self.groups.len()).map(Some).collect());
            }
        }
    }

    /// Binds those that are on no table yet, or, when their message is due, whose classes changed sides: true
    /// if there were any. Where the list misses many that answer, they keep the tables of before, until it
    /// tells of a drain; with those, reports are waited for.
    fn bind(&mut self, reserve: f64, due: bool, orders: &mut Vec<Order>) -> bool {
        let mut moved = false;
        let drains = self.nodes.iter().any(|n| n.standing == Draining);
        let doubts = !drains && self.facts.flag("drain.marked_only");
        for (proxy, joined) in self.proxies.iter_mut().enumerate().filter(|(_, p)| p.here) {
            let Some(g) = joined.group else { continue };
            let Group { servers, apart, weight, .. } = self.groups[g];
            let early = joined.old && self.gate.beats < 2;
            let keeps = doubts && joined.bound.is_none() && (early || self.gate.astray);
            // What it is, and no more: reckoned too dear, proxies that all come at once wait past the grace
            // of drains.
            let tables = if apart != 0 { 2.0 } else { 1.0 };
            let cost = tables * (1 + servers + self.gate.sent.len()) as f64;
            let room = self.channel.room + if joined.bound.is_none() { reserve } else { 0.0 };
            let held = joined.bound == Some(apart) || (joined.bound.is_some() && !due);
            if held || cost > room || weight <= 0.0 || keeps {
                continue;
            }
            moved |= joined.bound.is_some();
            orders.push(Order::Bind { proxy, table: table(g, false), classes: 0 });
            if apart != 0 {
                orders.push(Order::Bind { proxy, table: table(g, true), classes: apart });
            }
            joined.bound = Some(apart);
            self.channel.reached.insert(proxy);
            self.channel.room -= cost;
        }
        moved
    }
}

#[cfg(test)]
mod tests;
