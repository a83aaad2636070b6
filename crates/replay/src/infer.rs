//! A record turned into a day that the rig can play: sizes, traffic, edits, and the troubles that the record shows,
//! each with the servers that had it. What a record cannot tell is left out, and named.

use crate::{fleet, Unusable};
use runloom_event_log::entry::{RecordedOutcome, RecordedServer};
use runloom_event_log::{Entry, RecordedEvent};
use runloom_model::fleet::Fleet;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Reports come once or twice a second: what is told in shorter spans is one span's chance.
const SPAN: f64 = 1.0;
/// A server fails, if more than this part of its tries in a second does; fewer are a class's own errors.
const FAILS: f64 = 0.5;
/// It is slow, if it takes this much longer than in its own middle second; spread of the work leaves less.
const SLOW: f64 = 1.4;
/// Queries came in a surge, if so many times the middle second's.
const SURGE: f64 = 1.6;
/// For so long a trouble must last, in seconds, to be one.
const LASTS_LEAST: f64 = 2.0;
/// Seconds with fewer tries tell nothing of how long a server takes.
const TRIES_LEAST: u64 = 3;
/// Troubles of one kind that begin within this many seconds of each other are one, with all their servers.
const TOGETHER: f64 = 1.5;
/// A proxy that confirms nothing for so many seconds while messages are on their way is deaf.
const DEAF: f64 = 1.5;
/// So many streams that end within [`TOGETHER`] are a break, and not one proxy's end.
const STREAMS_LEAST: usize = 3;

#[derive(Debug, Clone, PartialEq)]
pub struct Trouble {
    pub at: f64,
    pub kind: &'static str,
    pub lasts: f64,
    pub size: f64,
    /// By the rig's names; none: the trouble is not of servers.
    pub servers: BTreeSet<String>,
    pub count: usize,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Edit {
    pub at: f64,
    pub what: Word,
}

/// What an edit said: a zone's share, or whether a server drains.
#[derive(Debug, Clone, PartialEq)]
pub enum Word {
    Share(String, f64),
    Drain(String, bool),
}

#[derive(Debug, Clone, PartialEq)]
pub struct Inferred {
    pub seconds: f64,
    pub servers: usize,
    pub forwarders: usize,
    pub zones: usize,
    pub rate: f64,
    pub work_ms: f64,
    pub cores: usize,
    pub fleet: Fleet,
    pub troubles: Vec<Trouble>,
    pub edits: Vec<Edit>,
    /// What the record shows and a day of the rig cannot have.
    pub left_out: Vec<String>,
}

/// One second of one server.
#[derive(Debug, Clone, Copy, Default)]
struct Second {
    tries: u64,
    failed: u64,
    /// Microseconds of all good tries.
    took: f64,
    /// Probes that ended well, with an error, and without an answer.
    probes: [u32; 3],
}

impl Second {
    fn fails(&self) -> bool {
        let bad = self.probes[1] + self.probes[2];
        let tries = self.tries > 0 && self.failed as f64 > FAILS * self.tries as f64;
        tries || (self.tries == 0 && bad > 0 && self.probes[0] == 0)
    }

    fn good(&self) -> u64 {
        self.tries - self.failed.min(self.tries)
    }

    fn mean(&self) -> Option<f64> {
        (self.good() >= TRIES_LEAST).then(|| self.took / self.good() as f64)
    }
}

/// Whether a server drains, and its start, as the list has it.
type Standing = (bool, Option<u64>);

/// What the list said of a server, when, and what became of it.
#[derive(Debug, Clone, Default)]
struct Seen {
    zone: String,
    seconds: BTreeMap<u64, Second>,
    /// When, and how: listed (draining or not, its start) or gone.
    list: Vec<(f64, Option<Standing>)>,
}

/// All that is read from the record, in seconds since its first start.
#[derive(Default)]
struct Sight {
    servers: BTreeMap<String, Seen>,
    first: BTreeSet<String>,
    proxies: BTreeSet<String>,
    came: BTreeMap<u64, u64>,
    left: Vec<f64>,
    kills: Vec<(f64, f64)>,
    deaf: Vec<(f64, f64)>,
    fleets: Vec<(f64, Fleet)>,
    /// Second, and the part of a server's cores that was busy.
    busy: Vec<(u64, f64)>,
    /// From, to, and how many times as much as in calm.
    surges: Vec<(f64, f64, f64)>,
    /// When the first queries were told of; the day's zero.
    begin: Option<f64>,
    end: f64,
}

impl Sight {
    /// `days`: one planner's starts, in order.
    fn of(days: &[Vec<Entry>]) -> Result<Sight, Unusable> {
        let mut sight = Sight::default();
        let mut zero = None;
        for day in days {
            let Some(RecordedEvent::PlannerStarted { epoch_ms: epoch, fleet: text, .. }) =
                day.first().map(|e| &e.event)
            else {
                return Err(Unusable::NoStart);
            };
            let wall = epoch.saturating_sub(*zero.get_or_insert(*epoch)) as f64 / 1000.0;
            // The wall clock may have been set back in between; a planner's own never is.
            let from = wall.max(sight.end);
            if sight.end > 0.0 {
                sight.kills.push((sight.end, (from - sight.end).max(0.0)));
            }
            sight.fleets.push((from, fleet(text)?));
            let mut flying: BTreeMap<&str, Vec<(u64, f64)>> = BTreeMap::new();
            let mut whole = true;
            for entry in day {
                let at = from + entry.at_us as f64 / 1e6;
                sight.end = sight.end.max(at);
                match &entry.event {
                    RecordedEvent::Step { sent, .. } => {
                        sent.iter().for_each(|s| flying.entry(&s.proxy).or_default().push((s.number, at)));
                    }
                    RecordedEvent::UpdateAcknowledged { proxy, number } => {
                        let waiting = flying.entry(proxy).or_default();
                        let since = waiting.first().map_or(at, |f| f.1);
                        waiting.retain(|f| f.0 > *number);
                        sight.deaf.extend((at > since + DEAF).then_some((since, at - since)));
                    }
                    RecordedEvent::ProxyDisconnected { proxy } => {
                        flying.remove(proxy.as_str());
                        sight.left.push(at);
                    }
                    what => sight.take(at, what, &mut whole)?,
                }
            }
        }
        Ok(sight)
    }

    fn take(&mut self, at: f64, what: &RecordedEvent, whole: &mut bool) -> Result<(), Unusable> {
        match what {
            RecordedEvent::EndpointsListed { servers, removed: gone, .. } => {
                servers.iter().for_each(|s| self.listed(at, s));
                if std::mem::take(whole) && self.first.is_empty() {
                    self.first = servers.iter().map(|s| s.name.clone()).collect();
                }
                for name in gone {
                    self.servers.entry(name.clone()).or_default().list.push((at, None));
                }
            }
            RecordedEvent::ProxyConnected { proxy, .. } => _ = self.proxies.insert(proxy.clone()),
            RecordedEvent::Reconfigured { fleet: text, .. } => self.fleets.push((at, fleet(text)?)),
            RecordedEvent::HealthChecked { server, result: found, .. } => {
                // As the driver numbers them: handled, failed, turned away, no answer, no connection, nothing.
                let kind = [0, 1, 1, 2, 2, 2][usize::from(*found).min(5)];
                self.second(server, at).probes[kind] += 1;
            }
            RecordedEvent::Report { outcomes: met, arrivals: came, .. } => {
                let queries: u64 = came.iter().map(|c| c.requests).sum();
                let tries: u64 = met.iter().map(|m| m.attempts).sum();
                // Who is refused tries again: of two refusals one is a second try of the same query.
                let again = queries.saturating_sub(tries) / 2;
                *self.came.entry((at / SPAN) as u64).or_default() += queries - again;
                met.iter().for_each(|m| self.met(at, m));
            }
            _ => {}
        }
        Ok(())
    }

    fn second(&mut self, server: &str, at: f64) -> &mut Second {
        let seen = self.servers.entry(server.to_string()).or_default();
        seen.seconds.entry((at / SPAN) as u64).or_default()
    }

    fn met(&mut self, at: f64, m: &RecordedOutcome) {
        let load: Vec<f64> = m.load_bits.iter().map(|b| f64::from_bits(*b)).collect();
        if let [_, busy, ..] = load.as_slice() {
            if busy.is_finite() {
                self.busy.push(((at / SPAN) as u64, *busy));
            }
        }
        let second = self.second(&m.server, at);
        second.tries += m.attempts;
        second.failed += m.failures;
        second.took += m.mean_latency_us as f64 * m.attempts.saturating_sub(m.failures) as f64;
    }

    fn listed(&mut self, at: f64, s: &RecordedServer) {
        let seen = self.servers.entry(s.name.clone()).or_default();
        seen.zone = s.zone.clone();
        let now = Some((s.is_draining, s.started_ms));
        if seen.list.last().is_none_or(|l| l.1 != now) {
            seen.list.push((at, now));
        }
    }

    /// Spans of seconds in which far more came than in the middle one.
    fn find_surges(&mut self) {
        let usual = middle(self.came.values().map(|n| *n as f64).collect());
        // Where it surged for half of the day, the middle second is one of the surge's.
        let low = middle(self.came.values().map(|n| *n as f64).filter(|n| *n < usual).collect());
        let usual = if low * SURGE < usual { low } else { usual };
        let surging = |(_, n): &(&u64, &u64)| **n as f64 > SURGE * usual;
        for (from, to) in spans(self.came.iter().filter(surging).map(|(k, _)| *k)) {
            if to - from >= LASTS_LEAST && usual > 0.0 {
                let within = self.came.range((from / SPAN) as u64..(to / SPAN) as u64);
                let size = middle(within.map(|(_, n)| *n as f64).collect());
                self.surges.push((from, to, size));
            }
        }
        let calm = self.calm();
        self.surges.iter_mut().for_each(|s| s.2 /= calm.max(1.0));
    }

    fn surging(&self, at: f64) -> bool {
        self.surges.iter().any(|s| s.0 - SPAN <= at && at < s.1 + 2.0 * SPAN)
    }

    /// Queries in the middle second outside of surges.
    fn calm(&self) -> f64 {
        let calm = self.came.iter().filter(|(k, _)| !self.surging(**k as f64 * SPAN));
        middle(calm.map(|(_, n)| *n as f64).collect())
    }

    fn word_drains(&self, server: &str, at: f64) -> bool {
        let fleet = self.fleets.iter().rfind(|(from, _)| *from <= at + 0.01);
        fleet.is_some_and(|(_, f)| f.overrides.get(server).is_some_and(|w| w.is_draining))
    }
}

fn middle(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

/// Spans of seconds for which something holds, a second in between without a word left aside.
fn spans(seconds: impl Iterator<Item = u64>) -> Vec<(f64, f64)> {
    let mut spans: Vec<(f64, f64)> = vec![];
    for second in seconds {
        let (from, to) = (second as f64 * SPAN, (second + 1) as f64 * SPAN);
        match spans.last_mut().filter(|s| from <= s.1 + SPAN) {
            Some(last) => last.1 = to,
            None => spans.push((from, to)),
        }
    }
    spans
}

/// The troubles of one server.
fn of_server(name: &str, seen: &Seen, sight: &Sight, usual: f64) -> Vec<Trouble> {
    let trouble = |at: f64, kind, lasts: f64, size| {
        let servers = BTreeSet::from([name.to_string()]);
        Trouble { at: at.max(0.0), kind, lasts, size, servers, count: 1 }
    };
    let mut found: Vec<Trouble> = vec![];
    let failing = spans(seen.seconds.iter().filter(|(_, s)| s.fails()).map(|(k, _)| *k));
    // It began with the first failing second after the last good one.
    let begun = |at: f64| {
        let last = (at / SPAN) as u64;
        let good =
            seen.seconds.range(..last).rfind(|(_, s)| s.good() > 0 && !s.fails()).map_or(0, |(k, _)| *k);
        seen.seconds.range(good..=last).find(|(_, s)| s.fails()).map(|(k, _)| *k as f64 * SPAN)
    };
    for (k, (at, how)) in seen.list.iter().enumerate() {
        let back = seen.list[k + 1..].iter().find_map(|(t, h)| h.map(|h| (*t, h)));
        match how {
            Some((true, _)) if !sight.word_drains(name, *at) && k > 0 => {
                let end = seen.list[k + 1..].first().map_or(sight.end, |l| l.0);
                found.push(trouble(*at, "drain", end - at, 1.0));
            }
            Some((false, Some(started)))
                if k > 0 && seen.list[k - 1].1.is_some_and(|l| l.1 != Some(*started)) =>
            {
                // Listed throughout, and started anew: the machine was silent, which no list notices.
                if let Some(from) = begun(*at) {
                    found.push(trouble(from, "silent", at - from, 1.0));
                }
            }
            None => {
                let draining = k > 0 && seen.list[k - 1].1.is_some_and(|l| l.0);
                let goes_on = |s: (&u64, &Second)| *s.0 as f64 > at + SPAN && s.1.good() > 0;
                let end = back.map_or(sight.end, |b| b.0);
                let lied =
                    seen.seconds.iter().take_while(|s| (*s.0 as f64) < end).filter(|s| goes_on(*s)).count()
                        >= 2;
                match back {
                    _ if draining => {}
                    _ if lied => found.push(trouble(*at, "lie-gone", end - at, 1.0)),
                    Some((end, _)) => {
                        let from = begun(*at).unwrap_or(*at);
                        found.push(trouble(from, "crash", end - from, 1.0));
                    }
                    None => {
                        found.push(trouble(begun(*at).unwrap_or(*at), "crash", sight.end + 60.0 - at, 1.0))
                    }
                }
            }
            _ => {}
        }
    }
    // What fails in a surge fails for the surge.
    for (from, to) in failing.iter().filter(|s| s.1 - s.0 >= LASTS_LEAST && !sight.surging(s.0)) {
        let told = |t: &Trouble| t.at < *to && *from < t.at + t.lasts + TOGETHER;
        if !found.iter().any(told) {
            found.push(failing_for(name, seen, (*from, *to)));
        }
    }
    found.extend(slow(name, seen, sight, usual, &found));
    found
}

/// A span of failures that the list knows nothing of: it hangs, or it answers with errors.
fn failing_for(name: &str, seen: &Seen, (from, to): (f64, f64)) -> Trouble {
    let mut sum = Second::default();
    for (_, s) in seen.seconds.range((from / SPAN) as u64..(to / SPAN) as u64) {
        (sum.tries, sum.failed) = (sum.tries + s.tries, sum.failed + s.failed);
        (0..3).for_each(|k| sum.probes[k] += s.probes[k]);
    }
    let part = sum.failed as f64 / sum.tries.max(1) as f64;
    // Who answers probes, and be it with an error, is not hanging.
    let hangs = sum.probes[2] > sum.probes[0] + sum.probes[1];
    let (kind, size) = if hangs { ("hang", 1.0) } else { ("errors", part.max(FAILS)) };
    Trouble { at: from, kind, lasts: to - from, size, servers: [name.to_string()].into(), count: 1 }
}

/// Spans in which a server took far longer than it usually does, and than the fleet did then.
fn slow(name: &str, seen: &Seen, sight: &Sight, usual: f64, told: &[Trouble]) -> Vec<Trouble> {
    let calm = |k: &u64| !sight.surging(*k as f64 * SPAN);
    let means = seen.seconds.iter().filter(|(k, _)| calm(k)).filter_map(|(_, s)| s.mean());
    let own = middle(means.collect());
    // One that was slow for most of the day has a slow middle: the fleet's stands for it.
    let base = if own > SLOW * usual { usual } else { own };
    let amid = |at: f64| told.iter().any(|t| t.at - SPAN <= at && at < t.at + t.lasts + SPAN);
    // A cold server is slow by its age.
    let cold = |at: f64| {
        seen.list.iter().any(|(t, how)| *t <= at && at < t + 8.0 && matches!(how, Some((_, Some(_)))))
    };
    let is_slow = |(k, s): (&u64, &Second)| {
        let at = *k as f64 * SPAN;
        (s.mean()? > SLOW * base && calm(k) && !amid(at) && !cold(at)).then_some(*k)
    };
    let mut found = vec![];
    let mut slows = spans(seen.seconds.iter().filter_map(is_slow));
    // In a surge all are slow: one that was before and is after was throughout.
    slows.dedup_by(|after, before| {
        let one = sight.surges.iter().any(|s| before.1 >= s.0 - 2.0 * SPAN && after.0 <= s.1 + 4.0 * SPAN);
        before.1 = if one { after.1 } else { before.1 };
        one
    });
    for (from, to) in slows.into_iter().filter(|s| s.1 - s.0 >= LASTS_LEAST) {
        let within = seen.seconds.range((from / SPAN) as u64..(to / SPAN) as u64);
        let within = within.filter(|(k, _)| calm(k)).filter_map(|(_, s)| s.mean());
        let size = middle(within.collect()) / base.max(1.0);
        let servers = BTreeSet::from([name.to_string()]);
        found.push(Trouble { at: from, kind: "slow", lasts: to - from, size, servers, count: 1 });
    }
    found
}

/// Troubles of one kind at about one time are one.
fn together(mut all: Vec<Trouble>) -> Vec<Trouble> {
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut merged: Vec<Trouble> = vec![];
    for t in all {
        let like = |m: &&mut Trouble| {
            m.kind == t.kind
                && t.at <= m.at + TOGETHER
                && (m.at + m.lasts - t.at - t.lasts).abs() <= 2.0 * TOGETHER
        };
        match merged.iter_mut().rev().find(like) {
            Some(m) => {
                m.size = (m.size * m.count as f64 + t.size) / (m.count + 1) as f64;
                m.lasts = m.lasts.max(t.at + t.lasts - m.at);
                m.count += 1;
                m.servers.extend(t.servers);
            }
            None => merged.push(t),
        }
    }
    merged
}

/// Which of the rig's names stands for each server: it numbers them, and deals zones by number.
fn renamed(sight: &Sight) -> BTreeMap<String, String> {
    let zones: BTreeSet<&str> = sight.first.iter().map(|s| sight.servers[s].zone.as_str()).collect();
    let zones: Vec<&str> = zones.into_iter().collect();
    let mut names = BTreeMap::new();
    let (mut taken, mut rest) = (BTreeSet::new(), vec![]);
    for (z, zone) in zones.iter().enumerate() {
        let mut own: Vec<&String> = sight.first.iter().filter(|s| sight.servers[*s].zone == *zone).collect();
        // By number, where names end in one.
        own.sort_by_key(|s| (s.len(), (*s).clone()));
        for (k, name) in own.into_iter().enumerate() {
            let place = k * zones.len() + z;
            if place < sight.first.len() {
                taken.insert(place);
                names.insert(name.clone(), format!("s{place}"));
            } else {
                rest.push(name.clone());
            }
        }
    }
    let free: Vec<usize> = (0..sight.first.len()).filter(|k| !taken.contains(k)).collect();
    names.extend(rest.into_iter().zip(free).map(|(name, k)| (name, format!("s{k}"))));
    names
}

/// Edits, from each fleet to the next.
fn edits(sight: &Sight) -> Vec<Edit> {
    let mut edits = vec![];
    for pair in sight.fleets.windows(2) {
        let ((_, old), (at, new)) = (&pair[0], &pair[1]);
        for zone in new.zones.iter().filter(|zone| old.share_of(&zone.name) != zone.share) {
            edits.push(Edit { at: *at, what: Word::Share(zone.name.clone(), zone.share) });
        }
        let drains = |f: &Fleet, name: &String| f.overrides.get(name).is_some_and(|w| w.is_draining);
        for name in old.overrides.keys().chain(new.overrides.keys()).collect::<BTreeSet<_>>() {
            if drains(old, name) != drains(new, name) {
                edits.push(Edit { at: *at, what: Word::Drain(name.clone(), drains(new, name)) });
            }
        }
    }
    edits
}

/// Troubles that are not of servers.
fn of_all(sight: &Sight) -> Vec<Trouble> {
    let whole = |at: f64, kind, lasts, size, count| Trouble {
        at,
        kind,
        lasts,
        size,
        servers: BTreeSet::new(),
        count,
    };
    let mut found: Vec<Trouble> =
        sight.kills.iter().map(|k| whole(k.0, "planner-kill", k.1, 1.0, 1)).collect();
    found.extend(sight.surges.iter().map(|s| whole(s.0, "surge", s.1 - s.0, s.2, 1)));
    let mut left = sight.left.clone();
    left.sort_by(f64::total_cmp);
    for group in left.chunk_by(|a, b| b - a <= TOGETHER).filter(|g| g.len() >= STREAMS_LEAST) {
        found.push(whole(group[0], "stream-break", 0.0, 1.0, group.len()));
    }
    let mut deaf = sight.deaf.clone();
    deaf.sort_by(|a, b| a.0.total_cmp(&b.0));
    for group in deaf.chunk_by(|a, b| b.0 - a.0 <= TOGETHER) {
        let lasts = group.iter().fold(0.0, |most: f64, d| most.max(d.1));
        found.push(whole(group[0].0, "deaf", lasts, 1.0, group.len()));
    }
    found
}

/// What a record shows of its day. `days`: one planner's starts, in order.
pub fn infer(days: &[Vec<Entry>]) -> Result<Inferred, Unusable> {
    let mut sight = Sight::of(days)?;
    sight.find_surges();
    let sight = sight;
    let Some((_, first)) = sight.fleets.first().cloned() else { return Err(Unusable::NoStart) };
    let names = renamed(&sight);
    let quiet = |(k, s): (&u64, &Second)| {
        (s.failed == 0 && !sight.surging(*k as f64 * SPAN)).then(|| s.mean()).flatten()
    };
    let usual = middle(sight.servers.values().flat_map(|s| s.seconds.iter().filter_map(quiet)).collect());
    let (mut troubles, mut left_out) = (vec![], vec![]);
    for (name, seen) in &sight.servers {
        let own = of_server(name, seen, &sight, usual);
        match names.get(name) {
            Some(known) => {
                troubles.extend(own.into_iter().map(|t| Trouble { servers: [known.clone()].into(), ..t }))
            }
            None if own.is_empty() => {}
            None => {
                left_out.push(format!("{name}, which came in the middle of the day, had troubles of its own"))
            }
        }
    }
    let new: Vec<(&String, f64)> = sight
        .servers
        .iter()
        .filter(|(n, _)| !names.contains_key(*n))
        .filter_map(|(n, s)| Some((n, s.list.first()?.0)))
        .collect();
    let mut troubles = together(troubles);
    // New servers beside drains took their places.
    let mut placed = 0;
    for t in troubles.iter_mut().filter(|t| t.kind == "drain") {
        let beside = new.iter().filter(|(_, at)| (at - t.at).abs() <= 2.0 * TOGETHER).count();
        if beside >= t.count {
            (t.kind, placed) = ("replace", placed + t.count);
        }
    }
    if new.len() > placed {
        left_out
            .push(format!("{} servers that came new and took no drained one's place", new.len() - placed));
    }
    troubles.extend(of_all(&sight));
    troubles.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut edits = edits(&sight);
    // Before the first queries came, forwarders joined; the rig has that behind it at its zero.
    let zero = sight.begin.unwrap_or(0.0);
    troubles.iter_mut().for_each(|t| t.at = (t.at - zero).max(0.0));
    edits.iter_mut().for_each(|e| e.at = (e.at - zero).max(0.0));
    edits.retain_mut(|e| match &mut e.what {
        Word::Drain(name, _) => match names.get(name) {
            Some(known) => {
                *name = known.clone();
                true
            }
            None => false,
        },
        Word::Share(..) => true,
    });
    let calm = |k: u64| !sight.surging(k as f64 * SPAN);
    let busy = middle(sight.busy.iter().filter(|(k, _)| calm(*k)).map(|(_, busy)| *busy).collect());
    let seconds = sight.servers.values().flat_map(|s| s.seconds.iter().filter(|(k, _)| calm(**k)));
    let good = middle(seconds.map(|(_, s)| s.good() as f64 / SPAN).collect());
    // Little's law: queries at a time in work are how many are done a second, times how long each takes. That counts
    // what waits as well, so the quotient is too high rather than too low.
    let working = good * usual / 1e6;
    Ok(Inferred {
        seconds: (sight.end - zero).max(1.0),
        servers: sight.first.len(),
        forwarders: sight.proxies.len(),
        zones: sight.first.iter().map(|s| &sight.servers[s].zone).collect::<BTreeSet<_>>().len().max(1),
        rate: sight.calm() / SPAN * first.planner_count.max(1.0),
        work_ms: usual / 1000.0,
        cores: if busy > 0.0 { ((working / busy) as usize).max(1) } else { 2 },
        fleet: first,
        troubles,
        edits,
        left_out,
    })
}

impl Inferred {
    /// As the rig reads it.
    pub fn xml(&self) -> String {
        let f = &self.fleet;
        let ms = |d: std::time::Duration| d.as_millis();
        let mut out = String::from("<day xmlns=\"urn:runloom:day\">\n");
        // Writing to a string cannot fail.
        let _ = writeln!(
            out,
            "  <seconds>{:.0}</seconds><servers>{}</servers><forwarders>{}</forwarders><zones>{}</zones>\n  \
             <planners>{:.0}</planners><rate>{:.1}</rate><work-ms>{:.1}</work-ms><cores>{}</cores>\n  \
             <warm-ms>{}</warm-ms><drain-ms>{}</drain-ms><bare-ms>{}</bare-ms><feed-late-ms>0</feed-late-ms>\n  \
             <only-drains-bind>{}</only-drains-bind><pick>{}</pick><levels>{}</levels>\n  \
             <lines-per-second>{:.0}</lines-per-second>",
            self.seconds,
            self.servers,
            self.forwarders,
            self.zones,
            f.planner_count,
            self.rate,
            self.work_ms,
            self.cores,
            ms(f.warm_up),
            ms(f.grace.drain),
            ms(f.grace.max_unserved),
            f.only_draining_binds,
            f.selection,
            f.admission,
            f.channel.entries_per_second
        );
        for t in &self.troubles {
            let servers: String = t.servers.iter().map(|s| format!("<server>{s}</server>")).collect();
            let _ = writeln!(
                out,
                "  <trouble><at>{:.1}</at><kind>{}</kind><count>{}</count><seconds>{:.1}</seconds><size>{:.2}</size>\
                 {servers}</trouble>",
                t.at, t.kind, t.count, t.lasts, t.size
            );
        }
        for (k, e) in self.edits.iter().enumerate() {
            let what = match &e.what {
                Word::Share(zone, share) => format!("<zone>{zone}</zone><share>{share}</share>"),
                Word::Drain(server, drain) => format!("<server>{server}</server><drain>{drain}</drain>"),
            };
            let _ = writeln!(out, "  <edit><at>{:.1}</at><id>e{k}</id>{what}</edit>", e.at);
        }
        out.push_str("</day>\n");
        out
    }
}
