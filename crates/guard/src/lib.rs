//! The guard on tables. Every order passes it on its way to any front, and every operators' edit before it is
//! accepted. It judges all tables that may be in force, not just the last one sent, and refuses what would
//! leave a class without a server to pick, or push over a server that has just started. It never invents a
//! weight: what it refuses stays as it was. `docs/guard.md` says what is judged and what comes first.

pub mod case;
pub mod command_text;
pub mod edit;
pub mod refusal;
pub mod watch;

use case::RejectionCase;
use refusal::{Rejection, RejectionReason};
use runloom_controller::{
    ClassId, Command, DeploymentConfig, ListedState, ProxyId, RetryPolicy, ServerId, TableId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use watch::{Entries, TrackedTable};

/// A line under a millionth of the table's greatest weight is picked once in hours: no line at all.
pub const LEAST_PART: f64 = 1e-6;
/// A level under one query in ten minutes empties a class as surely as no line.
pub const LEAST_PACE: f64 = 1.0 / 600.0;
/// Weights past this are a slip: listed weights end at 1,000, zones and swiftness multiply by some hundreds.
pub const MOST_WEIGHT: f64 = 1e9;
/// Refusals kept for people; counters go on.
pub const KEPT_MOST: usize = 256;
/// Messages of one proxy that wait for its confirmation; past it the oldest are taken for unconfirmed all the
/// same, which is the cautious side.
const FLYING_MOST: usize = 1024;

/// The warm-up time where the configuration has none that can be used.
const DEFAULT_WARM_UP: Duration = Duration::from_secs(20);
/// An endpoint that warms up is taken to fail at this many times its capacity where the configuration doesn't say.
const DEFAULT_OVERLOAD_MULTIPLE: f64 = 4.0;

/// What the guard goes by, from the same facts as the decisions.
#[derive(Debug, Clone, PartialEq)]
pub struct GuardConfig {
    pub classes: usize,
    pub planners: f64,
    pub cold_from: f64,
    pub warm_after: Duration,
    /// A server that has just started falls over when sent more than this times what it can do.
    pub multiple: f64,
    /// What only vanished from the list stays open.
    pub only_drains_bind: bool,
}

impl GuardConfig {
    pub fn of(config: &DeploymentConfig) -> GuardConfig {
        let slow_start = &config.slow_start;
        let warm_after = Duration::try_from_secs_f64(slow_start.warm_up_seconds);
        GuardConfig {
            classes: config.classes.len(),
            planners: config.planner_count.max(1.0),
            cold_from: slow_start.initial_capacity.clamp(0.01, 1.0),
            warm_after: warm_after.unwrap_or(DEFAULT_WARM_UP),
            multiple: slow_start.overload_multiple.unwrap_or(DEFAULT_OVERLOAD_MULTIPLE).max(1.0),
            only_drains_bind: config.endpoint_list.only_draining_binds,
        }
    }
}

/// A server as the list has it.
#[derive(Debug, Clone, Default)]
struct KnownServer {
    mode: Option<ListedState>,
    weight: f64,
    started: Option<Duration>,
    /// Good answers a second of late, over this planner's proxies.
    flow: f64,
}

#[derive(Debug, Clone, Default)]
struct Member {
    rates: Vec<f64>,
    binds: BTreeMap<ClassId, TableId>,
    /// Messages on their way: their number and the versions that they bring.
    flying: VecDeque<(u64, Vec<(TableId, u64)>)>,
    /// Tables that it was bound off, and the message that does it once that is known.
    lingers: Vec<(TableId, Option<u64>)>,
}

/// An order that was not let pass, and what stands in its place.
#[derive(Debug, Clone, PartialEq)]
pub struct RejectedCommand {
    pub order: Command,
    /// For a line: the weight that the table has for that server.
    pub weight: Option<f64>,
}

#[derive(Debug, Default)]
pub struct Validated {
    pub passed: Vec<Command>,
    pub held: Vec<RejectedCommand>,
    /// Proxies that orders held here would have reached: the decisions wait for their mark.
    pub concerned: BTreeSet<ProxyId>,
}

#[derive(Debug)]
pub struct SafetyGuard {
    terms: GuardConfig,
    servers: Vec<KnownServer>,
    tables: BTreeMap<TableId, TrackedTable>,
    members: BTreeMap<ProxyId, Member>,
    withdrawn: BTreeSet<ServerId>,
    /// Queries a second that a unit of listed weight is known to take: the best of late.
    can: f64,
    can_at: Duration,
    /// A bound that an operator raised, until then.
    raised: Option<(f64, Duration)>,
    kept: VecDeque<Rejection>,
    counts: BTreeMap<&'static str, u64>,
    pub judged: u64,
}

/// What a batch of orders would make of the tables.
struct Staged {
    /// How many proxies more, or fewer, are on a table by the binds.
    moved: BTreeMap<TableId, i64>,
    tables: BTreeMap<TableId, Entries>,
    binds: Vec<(ProxyId, TableId, u64)>,
    withdrawn: BTreeSet<ServerId>,
}

impl SafetyGuard {
    pub fn new(terms: GuardConfig) -> SafetyGuard {
        SafetyGuard {
            terms,
            servers: vec![],
            tables: BTreeMap::new(),
            members: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            can: 0.0,
            can_at: Duration::ZERO,
            raised: None,
            kept: VecDeque::new(),
            counts: BTreeMap::new(),
            judged: 0,
        }
    }

    pub fn refusals(&self) -> impl Iterator<Item = &Rejection> {
        self.kept.iter()
    }

    /// Refusals since the start, by reason.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// An operator raised the bound on cold servers, until a time; only ever for a while.
    pub fn raise(&mut self, multiple: f64, until: Duration) {
        self.raised = Some((multiple, until));
    }

    // What happened.

    pub fn listed(&mut self, server: ServerId, mode: ListedState, weight: f64, started: Option<Duration>) {
        let known = self.known(server);
        (known.mode, known.weight, known.started) = (Some(mode), weight, started);
    }

    fn known(&mut self, server: ServerId) -> &mut KnownServer {
        if self.servers.len() <= server {
            self.servers.resize_with(server + 1, KnownServer::default);
        }
        &mut self.servers[server]
    }

    /// A server gave so many good answers a second, over all of this planner's proxies.
    pub fn met(&mut self, now: Duration, server: ServerId, good: f64) {
        let terms = self.terms.clone();
        let known = self.known(server);
        known.flow += (good - known.flow) * if known.flow > 0.0 { 0.3 } else { 1.0 };
        let (flow, weight) = (known.flow, known.weight.max(1e-9));
        if age_part(&terms, known.started, now) >= 1.0 {
            // Best of late: halves each minute, so that a fleet that shrank is not taken for what it was.
            let passed = now.saturating_sub(self.can_at).as_secs_f64();
            self.can_at = now;
            self.can = (self.can * 0.5f64.powf(passed / 60.0)).max(flow / weight);
        }
    }

    pub fn joined(&mut self, proxy: ProxyId, rate: f64) {
        self.left(proxy);
        let classes = self.terms.classes.max(1);
        let rates = vec![rate.max(0.0) / classes as f64; classes];
        self.members.insert(proxy, Member { rates, ..Member::default() });
    }

    pub fn left(&mut self, proxy: ProxyId) {
        if let Some(member) = self.members.remove(&proxy) {
            let lingers = member.lingers.iter().map(|(t, _)| *t);
            let tables: BTreeSet<TableId> = member.binds.values().copied().chain(lingers).collect();
            for table in tables {
                if let Some(watched) = self.tables.get_mut(&table) {
                    watched.leave(proxy);
                }
            }
        }
    }

    /// Queries of a class that come to a proxy, a second.
    pub fn came(&mut self, proxy: ProxyId, class: ClassId, rate: f64) {
        let Some(member) = self.members.get_mut(&proxy) else { return };
        let Some(old) = member.rates.get_mut(class) else { return };
        let more = (rate.max(0.0) - *old) * if *old > 0.0 { 0.5 } else { 1.0 };
        *old += more;
        if let Some(watched) = member.binds.get(&class).and_then(|t| self.tables.get_mut(t)) {
            watched.add_rate(proxy, more);
        }
    }

    /// A message went out to a proxy: it brings the newest version of all its tables.
    pub fn sent(&mut self, proxy: ProxyId, number: u64) {
        let Some(member) = self.members.get_mut(&proxy) else { return };
        let tables: BTreeSet<TableId> = member.binds.values().copied().collect();
        let newest = |t: &TableId| self.tables.get(t).map(|w| (*t, w.newest()));
        let brings = tables.iter().filter_map(newest).collect();
        if member.flying.len() >= FLYING_MOST {
            member.flying.pop_front();
        }
        member.flying.push_back((number, brings));
        member.lingers.iter_mut().for_each(|(_, by)| _ = by.get_or_insert(number));
    }

    /// A proxy confirmed a message, and so all before it.
    pub fn confirmed(&mut self, proxy: ProxyId, number: u64) {
        let Some(member) = self.members.get_mut(&proxy) else { return };
        while let Some((_, brings)) = member.flying.front().filter(|(n, _)| *n <= number) {
            for (table, version) in brings {
                if let Some(watched) = self.tables.get_mut(table) {
                    watched.confirm(proxy, *version);
                }
            }
            member.flying.pop_front();
        }
        let done = |by: &Option<u64>| by.is_some_and(|by| by <= number);
        for (table, _) in member.lingers.iter().filter(|(_, by)| done(by)) {
            if let Some(watched) = self.tables.get_mut(table) {
                watched.let_go(proxy);
            }
        }
        member.lingers.retain(|(_, by)| !done(by));
    }

    /// The decisions start over: what their tables hold counts no more, and proxies keep what they have.
    pub fn restart(&mut self, terms: GuardConfig) {
        self.terms = terms;
        self.tables.clear();
        self.withdrawn.clear();
        self.members.clear();
    }

    // What is judged.

    /// A server that a proxy may be sent to: listed ready, or only vanished where that does not bind.
    pub fn open(&self, server: ServerId) -> bool {
        match self.servers.get(server).and_then(|s| s.mode) {
            Some(ListedState::Ready) => true,
            Some(ListedState::Removed) => self.terms.only_drains_bind,
            Some(ListedState::Draining) | None => false,
        }
    }

    fn part(&self, server: ServerId, now: Duration) -> f64 {
        self.servers.get(server).map_or(1.0, |s| age_part(&self.terms, s.started, now))
    }

    /// Lines that leave a server to pick: open, not withdrawn, of some weight.
    fn pickable<'a>(
        &'a self,
        lines: &'a Entries,
        withdrawn: &'a BTreeSet<ServerId>,
    ) -> impl Iterator<Item = ServerId> + 'a {
        let most = lines.values().copied().fold(0.0, f64::max);
        let fit = move |(s, w): &(&ServerId, &f64)| {
            **w >= most * LEAST_PART && self.open(**s) && !withdrawn.contains(s)
        };
        lines.iter().filter(fit).map(|(s, _)| *s)
    }

    fn bare(&self, lines: &Entries, withdrawn: &BTreeSet<ServerId>) -> bool {
        self.pickable(lines, withdrawn).next().is_none()
    }

    /// What a cold server may be sent by this planner's proxies, queries a second; `None`: nothing is known.
    ///
    /// Other planners share nothing: each is taken to send as much as a warm server of that weight gets.
    fn bound(&self, server: ServerId, now: Duration, can: f64) -> Option<f64> {
        let known = self.servers.get(server)?;
        let multiple = self.raised.filter(|(_, until)| now < *until).map_or(self.terms.multiple, |r| r.0);
        let all = multiple * age_part(&self.terms, known.started, now) * self.terms.planners;
        Some((all - (self.terms.planners - 1.0)) * can * known.weight)
    }

    /// What a unit of weight takes of this planner's queries: the best seen, or an even share of what comes.
    fn reckoned_can(&self) -> Option<f64> {
        let weight: f64 =
            self.servers.iter().filter(|s| s.mode == Some(ListedState::Ready)).map(|s| s.weight).sum();
        let rate: f64 = self.members.values().flat_map(|m| &m.rates).sum();
        let even = if weight > 0.0 { rate / weight } else { 0.0 };
        let can = self.can.max(even);
        (can > 0.0).then_some(can)
    }

    /// Judges a batch of orders that goes out as one message a proxy. What passes is taken for sent.
    pub fn judge(&mut self, now: Duration, orders: Vec<Command>) -> Validated {
        self.judged += 1;
        let mut refused: BTreeMap<usize, Rejection> = BTreeMap::new();
        for (k, order) in orders.iter().enumerate() {
            if let Some(refusal) = malformed(order).or_else(|| self.closed(order)) {
                refused.insert(k, refusal);
            }
        }
        // Each round refuses at least one order more, or ends it.
        for _ in 0..=orders.len() {
            let staged = self.stage(&orders, &refused);
            let more = self.faults(now, &orders, &refused, &staged);
            if more.is_empty() {
                break;
            }
            refused.extend(more);
        }
        self.settle(now, orders, refused)
    }

    /// Rule 3: a line to a server that drains, is gone or was never listed may be lowered, and no more.
    fn closed(&self, order: &Command) -> Option<Rejection> {
        let Command::SetEntry { table, server, weight } = order else { return None };
        let has = self.tables.get(table).and_then(|w| w.lines().get(server)).copied().unwrap_or(0.0);
        if self.open(*server) || *weight <= has {
            return None;
        }
        let users = self.tables.get(table).map(TrackedTable::proxies).unwrap_or_default();
        Some(Rejection::new(RejectionReason::Drains, order, *table, &users, [*server].into_iter()))
    }

    fn stage(&self, orders: &[Command], refused: &BTreeMap<usize, Rejection>) -> Staged {
        let mut staged = Staged {
            tables: BTreeMap::new(),
            binds: vec![],
            withdrawn: self.withdrawn.clone(),
            moved: BTreeMap::new(),
        };
        let passing = orders.iter().enumerate().filter(|(k, _)| !refused.contains_key(k));
        for (_, order) in passing {
            match order {
                Command::SetEntry { table, server, weight } => {
                    let lines = staged.tables.entry(*table).or_insert_with(|| self.lines(*table));
                    if *weight > 0.0 {
                        lines.insert(*server, *weight);
                    } else {
                        lines.remove(server);
                    }
                }
                Command::ClearTable { table } => _ = staged.tables.insert(*table, Entries::new()),
                Command::AssignTable { proxy, table, class_mask: classes } => {
                    staged.binds.push((*proxy, *table, *classes))
                }
                Command::EjectServer { server, ejected: true } => _ = staged.withdrawn.insert(*server),
                Command::EjectServer { server, ejected: false } => _ = staged.withdrawn.remove(server),
                _ => {}
            }
        }
        if staged.withdrawn != self.withdrawn {
            // What a withdrawn server had goes to the others: its tables are other ones by that.
            let changed: BTreeSet<ServerId> =
                staged.withdrawn.symmetric_difference(&self.withdrawn).copied().collect();
            for (table, watched) in &self.tables {
                if watched.lines().keys().any(|s| changed.contains(s)) {
                    staged.tables.entry(*table).or_insert_with(|| watched.lines().clone());
                }
            }
        }
        staged.moved = self.moves(&staged.binds);
        staged
    }

    fn lines(&self, table: TableId) -> Entries {
        self.tables.get(&table).map(|w| w.lines().clone()).unwrap_or_default()
    }

    /// Classes of this mask, as the orders have it: 0 stands for all.
    fn classes(&self, mask: u64) -> impl Iterator<Item = ClassId> {
        (0..self.terms.classes.min(64)).filter(move |c| mask == 0 || mask & (1 << c) != 0)
    }

    /// How the binds of a batch change who is on which table.
    fn moves(&self, binds: &[(ProxyId, TableId, u64)]) -> BTreeMap<TableId, i64> {
        let mut moved: BTreeMap<ProxyId, BTreeMap<ClassId, TableId>> = BTreeMap::new();
        for (proxy, to, mask) in binds {
            let Some(member) = self.members.get(proxy) else { continue };
            let binds = moved.entry(*proxy).or_insert_with(|| member.binds.clone());
            self.classes(*mask).for_each(|c| _ = binds.insert(c, *to));
        }
        let mut change = BTreeMap::new();
        for (proxy, binds) in &moved {
            let was: BTreeSet<TableId> = self.members[proxy].binds.values().copied().collect();
            let is: BTreeSet<TableId> = binds.values().copied().collect();
            is.difference(&was).for_each(|t| *change.entry(*t).or_insert(0) += 1);
            was.difference(&is).for_each(|t| *change.entry(*t).or_insert(0) -= 1);
        }
        change
    }

    /// How many proxies are on a table for some class, once this batch has gone out.
    fn users(&self, table: TableId, staged: &Staged) -> i64 {
        let here = self.tables.get(&table).map_or(0, TrackedTable::users) as i64;
        here + staged.moved.get(&table).copied().unwrap_or(0)
    }

    /// The tables that may send to each cold server, in some version: looked up once a batch, by lines and not
    /// by proxies.
    fn cold_tables(&self, now: Duration) -> BTreeMap<ServerId, Vec<TableId>> {
        let cold = |s: &ServerId| self.part(*s, now) < 1.0;
        let mut found: BTreeMap<ServerId, Vec<TableId>> = BTreeMap::new();
        if (0..self.servers.len()).any(|s| cold(&s)) {
            for (table, watched) in &self.tables {
                watched
                    .servers()
                    .into_iter()
                    .filter(cold)
                    .for_each(|s| found.entry(s).or_default().push(*table));
            }
        }
        found
    }

    fn faults(
        &self,
        now: Duration,
        orders: &[Command],
        refused: &BTreeMap<usize, Rejection>,
        staged: &Staged,
    ) -> BTreeMap<usize, Rejection> {
        let live = || orders.iter().enumerate().filter(|(k, _)| !refused.contains_key(k));
        let mut faults = BTreeMap::new();
        let mut touched: BTreeSet<TableId> = staged.tables.keys().copied().collect();
        touched.extend(staged.binds.iter().map(|(_, t, _)| *t));
        let (cold, can) = (self.cold_tables(now), self.reckoned_can());
        for table in touched {
            let old = self.lines(table);
            let new = staged.tables.get(&table).unwrap_or(&old);
            if self.users(table, staged) > 0 && self.bare(new, &staged.withdrawn) {
                self.emptied(table, &old, live(), &mut faults);
            }
            let grown = |s: &&ServerId| self.part(**s, now) < 1.0 && self.open(**s);
            for server in new.keys().filter(grown) {
                let tables = cold.get(server).map_or(&[][..], Vec::as_slice);
                self.pushed((now, can), table, (*server, tables), staged, live(), &mut faults);
            }
        }
        faults
    }

    /// Rule 1: the orders of this batch that take open servers out of the table, or put proxies on it.
    fn emptied<'a>(
        &self,
        table: TableId,
        old: &Entries,
        live: impl Iterator<Item = (usize, &'a Command)> + Clone,
        faults: &mut BTreeMap<usize, Rejection>,
    ) {
        let was: BTreeSet<ServerId> = self.pickable(old, &self.withdrawn).collect();
        for (k, order) in live {
            let takes = match order {
                // A line to a server that drains is none: taking it out is never refused.
                Command::SetEntry { table: t, server, weight } => {
                    *t == table && was.contains(server) && *weight < old[server]
                }
                Command::ClearTable { table: t } => *t == table && !was.is_empty(),
                Command::EjectServer { server, ejected: out } => *out && was.contains(server),
                // Where no server is open anywhere, there is nothing better to be bound to.
                Command::AssignTable { table: t, .. } => *t == table && self.any_open(),
                _ => false,
            };
            if takes {
                let users = self.tables.get(&table).map(TrackedTable::proxies).unwrap_or_default();
                faults.insert(
                    k,
                    Rejection::new(RejectionReason::Empties, order, table, &users, was.iter().copied()),
                );
            }
        }
    }

    fn any_open(&self) -> bool {
        (0..self.servers.len()).any(|s| self.open(s) && !self.withdrawn.contains(&s))
    }

    /// Whether cold servers are judged against each other and not by what they can bear: no warm server is open
    /// anywhere, or proxies are bound for the first time to a table that has none. What they hold from before
    /// may name servers that drain, and rule 3 comes before rule 4.
    fn evenly(&self, now: Duration, table: TableId, staged: &Staged) -> bool {
        // As it was before this batch: one that withdraws the last warm server is not excused by that.
        let was = |s: ServerId| self.part(s, now) >= 1.0 && self.open(s) && !self.withdrawn.contains(&s);
        if !(0..self.servers.len()).any(was) {
            return true;
        }
        let warm = |s: ServerId| self.part(s, now) >= 1.0 && self.open(s) && !staged.withdrawn.contains(&s);
        let first = |(p, t, _): &(ProxyId, TableId, u64)| {
            *t == table && self.members.get(p).is_some_and(|m| m.binds.is_empty())
        };
        let old = self.lines(table);
        let new = staged.tables.get(&table).unwrap_or(&old);
        staged.binds.iter().any(first) && !self.pickable(new, &staged.withdrawn).any(warm)
    }

    /// Rule 4: the orders of this batch by which a cold server would be sent more than it can bear.
    fn pushed<'a>(
        &self,
        (now, can): (Duration, Option<f64>),
        table: TableId,
        (server, tables): (ServerId, &[TableId]),
        staged: &Staged,
        live: impl Iterator<Item = (usize, &'a Command)> + Clone,
        faults: &mut BTreeMap<usize, Rejection>,
    ) {
        let old = self.lines(table);
        let (before, after, bound) = if self.evenly(now, table, staged) {
            // Somebody has to take the queries: none more than its part of it by weight and age, and a half.
            let new = staged.tables.get(&table).unwrap_or(&old);
            let size = |s: &ServerId| self.servers.get(*s).map_or(0.0, |k| k.weight) * self.part(*s, now);
            let all: f64 = self.pickable(new, &staged.withdrawn).map(|s| size(&s)).sum();
            let even = 1.5 * size(&server) / all.max(f64::MIN_POSITIVE);
            let part = |lines: &Entries, out: &BTreeSet<ServerId>| {
                watch::share(&watch::effective(lines, out), server)
            };
            (part(&old, &self.withdrawn), part(new, &staged.withdrawn), even)
        } else {
            let Some(bound) = can.and_then(|can| self.bound(server, now, can)) else { return };
            (self.load(server, tables, None), self.load(server, tables, Some(staged)), bound)
        };
        if after <= bound || after <= before * 1.0001 {
            return;
        }
        let mut found = false;
        for (k, order) in live.clone() {
            let raises = match order {
                Command::SetEntry { table: t, server: s, weight } => {
                    *t == table && *s == server && *weight > old.get(s).copied().unwrap_or(0.0)
                }
                _ => false,
            };
            if raises {
                found = true;
                let users = self.tables.get(&table).map(TrackedTable::proxies).unwrap_or_default();
                let refusal =
                    Rejection::new(RejectionReason::Pushes, order, table, &users, [server].into_iter());
                faults.insert(k, refusal.reckoned(after, bound));
            }
        }
        // It is not raised itself: what others lose falls on it.
        for (k, order) in live.filter(|_| !found) {
            let shifts = match order {
                Command::SetEntry { table: t, server: s, weight } => {
                    *t == table
                        && *s != server
                        && self.open(*s)
                        && *weight < old.get(s).copied().unwrap_or(0.0)
                }
                Command::ClearTable { table: t } => *t == table,
                Command::EjectServer { server: s, ejected: out } => {
                    *out && self.open(*s) && old.contains_key(s)
                }
                // A first bind is let pass: what the proxy holds from before may name servers that drain.
                Command::AssignTable { proxy, table: t, .. } => {
                    *t == table && self.members.get(proxy).is_some_and(|m| !m.binds.is_empty())
                }
                _ => false,
            };
            if shifts {
                let users = self.tables.get(&table).map(TrackedTable::proxies).unwrap_or_default();
                let refusal =
                    Rejection::new(RejectionReason::Shifts, order, table, &users, [server].into_iter());
                faults.insert(k, refusal.reckoned(after, bound));
            }
        }
    }

    /// The most that all proxies may send to a server, each on whichever version may be in force there.
    fn load(&self, server: ServerId, tables: &[TableId], staged: Option<&Staged>) -> f64 {
        let none = BTreeMap::new();
        let changed = staged.map_or(&none, |s| &s.tables);
        let newly =
            changed.iter().filter(|(t, l)| l.contains_key(&server) && !tables.contains(t)).map(|(t, _)| t);
        let watched = tables.iter().chain(newly).filter_map(|t| Some((t, self.tables.get(t)?)));
        let out = staged.map_or(&self.withdrawn, |s| &s.withdrawn);
        let next = |t: &TableId| changed.get(t).map(|lines| watch::effective(lines, out));
        let mut load: f64 = watched.map(|(t, w)| w.load(server, next(t).as_ref())).sum();
        let Some(staged) = staged else { return load };
        for (proxy, table, mask) in &staged.binds {
            let Some(member) = self.members.get(proxy) else { continue };
            let rate: f64 = self
                .classes(*mask)
                .filter(|c| member.binds.get(c) != Some(table))
                .map(|c| member.rates[c])
                .sum();
            let lines = staged.tables.get(table).or_else(|| self.tables.get(table).map(TrackedTable::lines));
            load += rate * lines.map_or(0.0, |lines| watch::share(&watch::effective(lines, out), server));
        }
        load
    }

    /// Takes what passes for sent, and tells what does not.
    fn settle(
        &mut self,
        now: Duration,
        orders: Vec<Command>,
        mut refused: BTreeMap<usize, Rejection>,
    ) -> Validated {
        let staged = self.stage(&orders, &refused);
        let mut judged = Validated::default();
        for (k, order) in orders.into_iter().enumerate() {
            let Some(refusal) = refused.remove(&k) else {
                judged.passed.push(order);
                continue;
            };
            let weight = match &order {
                Command::SetEntry { table, server, .. } => self.lines(*table).get(server).copied(),
                _ => None,
            };
            match &order {
                Command::AssignTable { proxy, .. } => _ = judged.concerned.insert(*proxy),
                Command::SetEntry { table, .. }
                | Command::ClearTable { table }
                | Command::SetAdmission { table, .. } => {
                    judged
                        .concerned
                        .extend(self.tables.get(table).map(TrackedTable::proxies).unwrap_or_default());
                }
                _ => {}
            }
            *self.counts.entry(refusal.reason.word()).or_default() += 1;
            if self.kept.len() >= KEPT_MOST {
                self.kept.pop_front();
            }
            let case = RejectionCase::of(self, now, &refusal);
            self.kept.push_back(Rejection { at: now, case: Some(case), ..refusal });
            judged.held.push(RejectedCommand { order, weight });
        }
        for (table, lines) in staged.tables {
            self.tables.entry(table).or_default().version(lines, &staged.withdrawn);
        }
        for (proxy, table, mask) in staged.binds {
            self.bind(proxy, table, mask);
        }
        self.withdrawn = staged.withdrawn;
        judged
    }

    fn bind(&mut self, proxy: ProxyId, table: TableId, mask: u64) {
        let classes: Vec<ClassId> = self.classes(mask).collect();
        let Some(member) = self.members.get_mut(&proxy) else { return };
        let before: BTreeSet<TableId> = member.binds.values().copied().collect();
        classes.into_iter().for_each(|c| _ = member.binds.insert(c, table));
        let loads = member.loads();
        for old in before.into_iter().filter(|t| !loads.contains_key(t)) {
            if let Some(watched) = self.tables.get_mut(&old) {
                watched.linger(proxy);
                member.lingers.push((old, None));
            }
        }
        member.lingers.retain(|(t, _)| !loads.contains_key(t));
        for (new, rate) in loads {
            self.tables.entry(new).or_default().join(proxy, rate);
        }
    }
}

impl Member {
    /// What comes to it, by the table that it is on for it.
    fn loads(&self) -> BTreeMap<TableId, f64> {
        let mut loads = BTreeMap::new();
        for (class, table) in &self.binds {
            *loads.entry(*table).or_insert(0.0) += self.rates.get(*class).copied().unwrap_or(0.0);
        }
        loads
    }
}

/// The part of its capacity that a server has by its age: the least that the facts allow.
fn age_part(terms: &GuardConfig, started: Option<Duration>, now: Duration) -> f64 {
    let Some(started) = started else { return 1.0 };
    let age = now.saturating_sub(started).as_secs_f64() / terms.warm_after.as_secs_f64().max(0.001);
    (terms.cold_from + (1.0 - terms.cold_from) * age).min(1.0)
}

/// What no table may hold.
fn malformed(order: &Command) -> Option<Rejection> {
    let bad = |table| Some(Rejection::new(RejectionReason::Malformed, order, table, &[], std::iter::empty()));
    match order {
        Command::SetEntry { table, weight, .. }
            if !weight.is_finite() || *weight < 0.0 || *weight > MOST_WEIGHT =>
        {
            bad(*table)
        }
        Command::SetAdmission { table, admission_rate: Some(pace), .. } if !pace.is_finite() => bad(*table),
        Command::SetAdmission { table, admission_rate: Some(pace), .. } if *pace < LEAST_PACE => {
            Some(Rejection::new(RejectionReason::Closes, order, *table, &[], std::iter::empty()))
        }
        // Nothing may be tried again but by proof, or as the class allows; the forwarder keeps that too.
        Command::SetAdmission { retry_policy: RetryPolicy::Never | RetryPolicy::IfNotExecuted, .. } => None,
        _ => None,
    }
}
