//! What all fronts share: who is joined and by which tables it goes, what each has still to be told, and which orders
//! are in force where. A front that edits a proxy's datastore tells all that is behind in one message, a front that
//! publishes tells it in parts by table; both go by one [`Publisher`], so that there is one backlog, conflated the
//! same way, and one set of marks. Free of I/O.

pub mod doubt;
pub mod subset;

use doubt::{Doubt, Dropped, Verdict, DROPPED_MOST};
use runloom_model::order::{level_text, line_text, read_level, read_line, Message, TableEdit};
use runloom_versioned_publisher::admit::{ReconnectQueue, TableAge};
use runloom_versioned_publisher::{
    Change, Key, Publisher, TableUpdate, Topic, TopicFilter, TopicKind, UpdatePart, Version,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// A proxy's number, as the decisions have it.
pub type Proxy = usize;

/// How a proxy is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// All that it lacks as one message, taken whole.
    Whole,
    /// By table, in parts.
    Parts,
}

/// Who came, and waits to be let in.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingProxy {
    /// The shell's number of its connection.
    pub conn: usize,
    pub name: String,
    pub zone: String,
    /// Queries a second.
    pub rate: f64,
    /// It holds nothing but what it started with.
    pub fresh: bool,
    pub way: Transport,
    pub wanted: Vec<TopicFilter>,
    /// Tables with epoch and version.
    pub holds: Vec<(Topic, u64, Version)>,
}

impl PendingProxy {
    /// How old what it holds is. One that does not say by epoch and version holds something old, unless it is fresh.
    fn age(&self) -> TableAge {
        let oldest = self.holds.iter().map(|(_, epoch, version)| (*epoch, *version)).min();
        oldest.or((!self.fresh).then_some((0, 0)))
    }

    fn wants(&self, kind: TopicKind) -> bool {
        self.wanted.iter().any(|w| w.covers(Topic { kind, table: w.table.unwrap_or_default() }))
    }

    /// Whether it wants what it takes to go by tables: binds, and weights or subsets.
    pub fn can_be_ordered(&self) -> bool {
        self.wants(TopicKind::Binds) && (self.wants(TopicKind::Weights) || self.wants(TopicKind::Subset))
    }
}

/// What goes to a proxy next.
#[derive(Debug, Clone)]
pub enum Outgoing {
    /// Proxies at one position share the text.
    Message {
        number: u64,
        text: Rc<str>,
        lines: usize,
    },
    Part {
        number: u64,
        part: UpdatePart,
    },
}

/// An order on its way: it is in force once the proxy holds all of these.
#[derive(Debug)]
struct Awaited {
    number: u64,
    needs: Vec<(Topic, Version)>,
    /// Of an order that needs nothing: the empty message that stands for it, once it is sent.
    by: Option<u64>,
}

#[derive(Debug)]
struct Member {
    name: String,
    stream: u64,
    way: Transport,
    wanted: Vec<TopicFilter>,
    holds: BTreeMap<Topic, (u64, Version)>,
    binds: BTreeMap<String, u16>,
    /// Nothing has been told to it: the first message takes the place of all that it holds.
    first: bool,
    /// Tables that it was bound off and still holds; with the version of its binds that lets go of them.
    leaving: BTreeMap<u16, Version>,
    orders: VecDeque<Awaited>,
    doubt: Doubt,
    /// Messages in a row that it could not use, by table.
    lacking: BTreeMap<Topic, u32>,
}

/// A proxy that cannot use so many messages in a row, each followed by a snapshot, never will.
const LACKING_MOST: u32 = 8;
const WITHDRAWN: Topic = Topic { kind: TopicKind::Withdrawn, table: 0 };

impl Member {
    /// Weights, or subsets for one that wants no weights.
    fn kind(&self) -> TopicKind {
        let wants = |kind| self.wanted.iter().any(|w| w.kind.is_none_or(|k| k == kind));
        if wants(TopicKind::Weights) || !wants(TopicKind::Subset) {
            TopicKind::Weights
        } else {
            TopicKind::Subset
        }
    }

    fn tables(&self) -> BTreeSet<u16> {
        self.binds.values().copied().collect()
    }

    /// What it goes by now; what it is bound off is no part of it.
    fn topics(&self, binds: Topic) -> Vec<Topic> {
        let kind = self.kind();
        let tables = self.tables().into_iter().map(|table| Topic { kind, table });
        tables.chain([WITHDRAWN, binds]).collect()
    }
}

/// Which updates a shared text is made of.
type Made = Vec<(Topic, Option<Version>, Version)>;

#[derive(Debug)]
pub struct Distributor {
    publisher: Publisher,
    members: BTreeMap<Proxy, Member>,
    admission: ReconnectQueue,
    waiting: BTreeMap<String, PendingProxy>,
    /// Proxies that may have something to be told.
    ready: BTreeSet<Proxy>,
    /// Orders that came in force without a word from outside.
    settled: Vec<(Proxy, u64)>,
    /// Since the last step: messages that several proxies share.
    texts: BTreeMap<Made, (Rc<str>, usize)>,
    dropped: BTreeMap<u16, Dropped>,
    /// Somebody goes by subsets: they are reckoned only then.
    subsets: bool,
    /// The longest that a query may be out.
    patience: Duration,
    /// Proxies that went on with what they had confirmed to be out.
    pub doubted: u64,
}

/// Its binds; proxies past 65,535 cannot be told, and there are no such fleets.
fn binds_of(proxy: Proxy) -> Topic {
    Topic { kind: TopicKind::Binds, table: proxy as u16 }
}

fn line_change(server: &str, address: &str, weight: f64) -> Change {
    let value = (weight > 0.0).then(|| line_text(address, weight).into());
    Change { key: Key::Line(server.to_string()), value }
}

fn changes_of(edit: &TableEdit) -> Vec<Change> {
    let lines = edit.lines.iter().map(|(server, (address, weight))| line_change(server, address, *weight));
    let level = |(class, level): (&String, _)| Change {
        key: Key::Level(class.clone()),
        value: Some(level_text(level).into()),
    };
    lines.chain(edit.levels.iter().map(level)).collect()
}

impl Distributor {
    /// `epoch` rises with each start. `grace`: within it a drain reaches all. `outer`: the longest outer limit.
    pub fn new(epoch: u64, grace: Duration, outer: Duration) -> Distributor {
        Distributor {
            publisher: Publisher::new(epoch),
            members: BTreeMap::new(),
            admission: ReconnectQueue::new(grace),
            waiting: BTreeMap::new(),
            ready: BTreeSet::new(),
            settled: vec![],
            texts: BTreeMap::new(),
            dropped: BTreeMap::new(),
            subsets: false,
            // A second for clocks, and for reports that are late.
            patience: outer + Duration::from_secs(1),
            doubted: 0,
        }
    }

    pub fn publisher(&self) -> &Publisher {
        &self.publisher
    }

    // Who comes and goes.

    /// One said what it is, and waits to be let in. False: too many wait.
    pub fn came(&mut self, now: Duration, newcomer: PendingProxy) -> bool {
        let (name, age) = (newcomer.name.clone(), newcomer.age());
        let taken = self.admission.came(now, &name, age);
        if taken {
            self.waiting.insert(name, newcomer);
        }
        taken
    }

    /// The connection of one that waits to be let in under a name: another that comes under it takes its place.
    pub fn waits(&self, name: &str) -> Option<usize> {
        self.waiting.get(name).map(|n| n.conn)
    }

    /// The next to be let in by now.
    pub fn admit(&mut self, now: Duration) -> Option<PendingProxy> {
        let name = self.admission.next(now)?;
        self.waiting.remove(&name)
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn wakes_at(&self) -> Option<Duration> {
        self.admission.wakes_at()
    }

    /// A connection ended before it was let in.
    pub fn gone(&mut self, name: &str, conn: usize) {
        if self.waiting.get(name).is_some_and(|n| n.conn == conn) {
            self.waiting.remove(name);
            self.admission.gone(name);
        }
    }

    /// One that was let in is the proxy of this number; an earlier stream of it is over.
    pub fn joined(&mut self, proxy: Proxy, newcomer: PendingProxy) {
        let PendingProxy { name, way, wanted, holds, .. } = newcomer;
        let stream = self.publisher.join(&name);
        let inside = |topic: Topic| if topic.kind == TopicKind::Binds { binds_of(proxy) } else { topic };
        let holds = holds.into_iter().map(|(topic, epoch, v)| (inside(topic), (epoch, v))).collect();
        let member = Member {
            name,
            stream,
            way,
            wanted,
            holds,
            binds: BTreeMap::new(),
            first: true,
            leaving: BTreeMap::new(),
            orders: VecDeque::new(),
            doubt: Doubt::default(),
            lacking: BTreeMap::new(),
        };
        if member.kind() == TopicKind::Subset && !std::mem::replace(&mut self.subsets, true) {
            let tables: Vec<u16> = self.publisher.tables_of(TopicKind::Weights);
            tables.into_iter().for_each(|table| self.resubset(table));
        }
        self.members.insert(proxy, member);
    }

    pub fn left(&mut self, proxy: Proxy) {
        self.ready.remove(&proxy);
        if let Some(member) = self.members.remove(&proxy) {
            self.publisher.leave(&member.name, member.stream);
        }
    }

    /// The decisions start over with other facts: all that is joined stays so, keeps what it holds, and goes by none
    /// of this planner's tables until it is bound again.
    pub fn restart(&mut self, epoch: u64, grace: Duration, outer: Duration) {
        self.publisher.restart(epoch);
        self.admission.set_grace(grace);
        self.patience = outer + Duration::from_secs(1);
        self.texts.clear();
        self.dropped.clear();
        self.ready.clear();
        self.settled.clear();
        for member in self.members.values_mut() {
            member.binds.clear();
            member.holds.clear();
            member.leaving.clear();
            member.orders.clear();
            (member.first, member.doubt) = (true, Doubt::default());
        }
    }

    // What is ordered.

    /// A table changed, or is to be as `edit` has it where that is whole.
    pub fn table(&mut self, table: u16, edit: &TableEdit) {
        let topic = Topic { kind: TopicKind::Weights, table };
        let had: BTreeSet<String> = match edit.whole {
            true => self.servers(topic),
            // Only what goes out matters.
            false => edit.lines.iter().filter(|(_, (_, w))| *w <= 0.0).map(|(s, _)| s.clone()).collect(),
        };
        let changes = changes_of(edit);
        let version = match edit.whole {
            true => {
                let state = changes.into_iter().filter_map(|c| c.value.map(|v| (c.key, v)));
                self.publisher.replace(topic, state.collect())
            }
            false => self.publisher.step(topic, changes),
        };
        let has = if edit.whole { self.servers(topic) } else { BTreeSet::new() };
        let dropped = self.dropped.entry(table).or_default();
        dropped.extend(had.into_iter().filter(|s| !has.contains(s)).map(|s| (version, s)));
        while dropped.len() > DROPPED_MOST {
            dropped.pop_front();
        }
        self.texts.clear();
        if self.subsets {
            self.resubset(table);
        }
    }

    fn servers(&self, topic: Topic) -> BTreeSet<String> {
        let lines = self.publisher.table(topic).into_iter().flat_map(|(_, state)| state.keys());
        lines.filter_map(|k| if let Key::Line(s) = k { Some(s.clone()) } else { None }).collect()
    }

    fn resubset(&mut self, table: u16) {
        let weights = Topic { kind: TopicKind::Weights, table };
        if let Some((_, state)) = self.publisher.table(weights) {
            let state = subset::of(state);
            self.publisher.replace(Topic { kind: TopicKind::Subset, table }, state);
        }
    }

    /// Servers that are out whatever tables say, or no longer.
    pub fn withdrawn(&mut self, servers: &BTreeMap<String, bool>) {
        let change = |(server, out): (&String, &bool)| Change {
            key: Key::Withdrawn(server.clone()),
            value: out.then(|| "".into()),
        };
        self.publisher.step(WITHDRAWN, servers.iter().map(change).collect());
        self.texts.clear();
    }

    /// An order to one proxy, by its number there: what it is bound to, if that is in the message, and all tables
    /// that it goes by as they stand now.
    pub fn ordered(&mut self, proxy: Proxy, number: u64, message: &Message) {
        if !message.binds.is_empty() {
            self.bind(proxy, message);
        }
        let Some(member) = self.members.get_mut(&proxy) else { return };
        let binds = binds_of(proxy);
        let lacking = |t: Topic| self.publisher.lacking(&member.name, t).map(|version| (t, version));
        let mut needs: Vec<(Topic, Version)> = member.topics(binds).into_iter().filter_map(lacking).collect();
        let is_bound = !member.binds.is_empty();
        if needs.is_empty() && is_bound {
            // A mark alone: a step that changes nothing asks for its word.
            needs.push((binds, self.publisher.touch(binds)));
        }
        if needs.is_empty() && member.way == Transport::Parts && member.orders.is_empty() {
            // It goes by nothing of this planner's: there is nothing to confirm.
            self.settled.push((proxy, number));
            return;
        }
        member.orders.push_back(Awaited { number, needs, by: None });
        self.ready.insert(proxy);
    }

    fn bind(&mut self, proxy: Proxy, message: &Message) {
        let Some(member) = self.members.get_mut(&proxy) else { return };
        let (topic, kind) = (binds_of(proxy), member.kind());
        let before = member.tables();
        if message.whole {
            member.binds.clear();
        }
        member.binds.extend(message.binds.iter().map(|(class, table)| (class.clone(), *table)));
        let value = |(class, table): (&String, &u16)| (Key::Bind(class.clone()), table.to_string().into());
        let version = self.publisher.replace(topic, member.binds.iter().map(value).collect());
        let now = member.tables();
        for table in before.difference(&now) {
            // Where it is told by parts, drains in the old table reach it until it holds the bind.
            if member.way == Transport::Whole {
                // In one message with the bind. What waits for the table waits for that: until then the proxy goes
                // by the table as it was.
                let old = Topic { kind, table: *table };
                self.publisher.unsubscribe(&member.name, old);
                let needs = member.orders.iter_mut().flat_map(|a| &mut a.needs);
                needs.filter(|(t, _)| *t == old).for_each(|need| *need = (topic, version));
            }
            member.leaving.insert(*table, version);
        }
        for topic in member.topics(topic) {
            if topic.kind == kind
                && member.leaving.remove(&topic.table).is_some()
                && member.way == Transport::Parts
            {
                // It may have let go of the table by a bind on its way: it is told whole again, ahead of the new one.
                self.publisher.start_over(&member.name, topic);
            }
            if !self.publisher.follows(&member.name, topic) {
                let holds = member.holds.remove(&topic);
                self.publisher.subscribe(&member.name, topic, holds);
            }
        }
        // With the first binds it lets go of what they do not name: none of that can be gone on from later.
        member.holds.clear();
    }

    // What goes out, and what comes back.

    /// Proxies that may have something to be told, once.
    pub fn take_ready(&mut self) -> Vec<Proxy> {
        std::mem::take(&mut self.ready).into_iter().collect()
    }

    /// It has something to be told, and its shell had no room.
    pub fn put_back(&mut self, proxy: Proxy) {
        self.ready.insert(proxy);
    }

    /// Orders that came in force without a word from outside.
    pub fn take_settled(&mut self) -> Vec<(Proxy, u64)> {
        std::mem::take(&mut self.settled)
    }

    /// The next message to a proxy; none: it has been told all, or has too many on their way.
    pub fn next(&mut self, now: Duration, proxy: Proxy) -> Option<Outgoing> {
        let member = self.members.get_mut(&proxy)?;
        if member.way == Transport::Parts {
            let (number, part) = self.publisher.next(now, &member.name)?;
            return Some(Outgoing::Part { number, part });
        }
        if let Some((number, all)) = self.publisher.bundle(now, &member.name) {
            let (text, lines) = self.text(proxy, all)?;
            return Some(Outgoing::Message { number, text, lines });
        }
        // A mark for one that is bound to nothing.
        let awaited = member.orders.iter_mut().rev().find(|a| a.needs.is_empty() && a.by.is_none())?;
        let number = self.publisher.nothing(now, &member.name)?;
        awaited.by = Some(number);
        member.orders.iter_mut().filter(|a| a.needs.is_empty()).for_each(|a| _ = a.by.get_or_insert(number));
        Some(Outgoing::Message { number, text: Message::default().to_text().into(), lines: 0 })
    }

    /// Updates as one message.
    fn text(&mut self, proxy: Proxy, all: Vec<TableUpdate>) -> Option<(Rc<str>, usize)> {
        let member = self.members.get_mut(&proxy)?;
        let binds = |w: &&TableUpdate| w.topic.kind == TopicKind::Binds;
        let rebinds = all.iter().any(|w| binds(&w) && w.update.iter().any(|part| !part.is_empty()));
        let made: Option<Made> = (!member.first && !rebinds).then(|| {
            let others = all.iter().filter(|w| !binds(w));
            others.map(|w| (w.topic, w.from, w.to)).collect()
        });
        if let Some(text) = made.as_ref().and_then(|made| self.texts.get(made)) {
            return Some(text.clone());
        }
        let mut message =
            Message { whole: std::mem::replace(&mut member.first, false), ..Message::default() };
        all.iter().for_each(|whole| lay(&mut message, whole));
        if rebinds {
            for table in std::mem::take(&mut member.leaving).into_keys().filter(|_| !message.whole) {
                message.tables.insert(table, TableEdit { gone: true, ..TableEdit::default() });
            }
        }
        let text: (Rc<str>, usize) = (message.to_text().into(), message.lines());
        if let Some(made) = made {
            self.texts.insert(made, text.clone());
        }
        Some(text)
    }

    /// A proxy confirmed a message, and all before it. The newest order that is in force there by that, if one came
    /// to be.
    pub fn confirmed(&mut self, now: Duration, proxy: Proxy, number: u64) -> Option<u64> {
        let member = self.members.get_mut(&proxy)?;
        let held = self.publisher.confirmed(&member.name, member.stream, number);
        self.ready.insert(proxy);
        self.holds(now, proxy, number, held)
    }

    /// A proxy could not use a message of a table: it is told the table anew, whole. [`Verdict::LetGo`]: that does
    /// not help.
    pub fn lacks(
        &mut self,
        now: Duration,
        proxy: Proxy,
        number: u64,
        topic: Topic,
    ) -> (Option<u64>, Verdict) {
        let Some(member) = self.members.get_mut(&proxy) else { return (None, Verdict::Fine) };
        let held = self.publisher.lacks(&member.name, member.stream, number, topic);
        let lacking = member.lacking.entry(topic).or_default();
        *lacking += 1;
        let verdict = if *lacking > LACKING_MOST { Verdict::LetGo } else { Verdict::Anew };
        self.ready.insert(proxy);
        (self.holds(now, proxy, number.saturating_sub(1), held), verdict)
    }

    fn holds(
        &mut self,
        now: Duration,
        proxy: Proxy,
        number: u64,
        held: Vec<(Topic, Version)>,
    ) -> Option<u64> {
        let member = self.members.get_mut(&proxy)?;
        let kind = member.kind();
        for (topic, version) in held {
            member.lacking.remove(&topic);
            if topic.kind == TopicKind::Weights {
                member.doubt.confirmed(now, topic.table, version, self.dropped.get(&topic.table));
            }
            if topic.kind == TopicKind::Binds && member.way == Transport::Parts {
                let done = |(_, by): &(&u16, &Version)| **by <= version;
                let done: Vec<u16> = member.leaving.iter().filter(done).map(|(t, _)| *t).collect();
                for table in done {
                    member.leaving.remove(&table);
                    self.publisher.unsubscribe(&member.name, Topic { kind, table });
                }
            }
        }
        let mut newest = None;
        while let Some(awaited) = member.orders.front() {
            let publisher = &self.publisher;
            let is_held = |(topic, version): &(Topic, Version)| {
                let taken = publisher.taken(&member.name, *topic);
                taken.is_some_and(|taken| taken >= *version) || !publisher.follows(&member.name, *topic)
            };
            let by_message = awaited.by.is_some_and(|by| by <= number);
            let answered = !awaited.needs.is_empty() || by_message || member.way == Transport::Parts;
            if !answered || !awaited.needs.iter().all(is_held) {
                break;
            }
            newest = Some(awaited.number);
            member.orders.pop_front();
        }
        newest
    }

    /// A proxy's report: whether it goes by what it confirmed. `tried`: servers that it tried over the span.
    pub fn reported<'a>(
        &mut self,
        now: Duration,
        proxy: Proxy,
        span: Duration,
        tried: impl Iterator<Item = &'a str>,
    ) -> Verdict {
        let Some(member) = self.members.get_mut(&proxy) else { return Verdict::Fine };
        let topics = member.topics(binds_of(proxy));
        let is_level = |t: &Topic| self.publisher.lacking(&member.name, *t).is_none();
        if member.binds.is_empty() || !member.leaving.is_empty() || !topics.iter().all(is_level) {
            return Verdict::Fine;
        }
        let suspects: Vec<&str> = tried.filter(|server| member.doubt.took_out(server)).collect();
        let listed = |server: &&str| {
            let key = Key::Line(server.to_string());
            topics.iter().any(|t| self.publisher.table(*t).is_some_and(|(_, state)| state.contains_key(&key)))
        };
        let tried = suspects.into_iter().filter(|server| !listed(server));
        let verdict = member.doubt.reported(now, span, self.patience, tried);
        if verdict == Verdict::Anew {
            self.doubted += 1;
            topics.iter().for_each(|t| self.publisher.start_over(&member.name, *t));
            member.first = member.way == Transport::Whole;
            self.ready.insert(proxy);
        }
        verdict
    }
}

/// Puts one update into a message.
fn lay(message: &mut Message, whole: &TableUpdate) {
    let changes = whole.update.iter().flat_map(|part| part.iter());
    match whole.topic.kind {
        TopicKind::Binds => {
            for Change { key, value } in changes {
                if let (Key::Bind(class), Some(Ok(table))) = (key, value.as_ref().map(|v| v.parse())) {
                    message.binds.insert(class.clone(), table);
                }
            }
        }
        TopicKind::Withdrawn => {
            for Change { key, value } in changes {
                if let Key::Withdrawn(server) = key {
                    message.withdrawn.insert(server.clone(), value.is_some());
                }
            }
        }
        TopicKind::Weights | TopicKind::Subset | TopicKind::Range => {
            let mut edit = TableEdit { whole: whole.from.is_none(), ..TableEdit::default() };
            for Change { key, value } in changes {
                match key {
                    Key::Line(server) => {
                        let line = value.as_deref().and_then(read_line);
                        let line = line.map_or((String::new(), 0.0), |(at, w)| (at.to_string(), w));
                        edit.lines.insert(server.clone(), line);
                    }
                    Key::Level(class) => {
                        // A level that is gone: all are let in, with the usual further tries.
                        let level = value.as_deref().and_then(read_level);
                        let usual = (None, runloom_model::order::tries("unrun"));
                        edit.levels.insert(class.clone(), level.unwrap_or(usual));
                    }
                    Key::Withdrawn(_) | Key::Bind(_) => {}
                }
            }
            message.tables.insert(whole.topic.table, edit);
        }
    }
}

#[cfg(test)]
mod tests;
