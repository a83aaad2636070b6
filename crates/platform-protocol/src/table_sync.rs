//! What each proxy was told: the tables as they were ordered, which of them each proxy is on, and one message
//! a proxy and turn, in parts. Nothing is decided here, and nothing merged or held back.

use crate::framing;
use crate::message::Names;
use runloom_controller::{ClassId, Command, ProxyId, RetryPolicy, ServerId, TableId};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The protocol's bound of parts in one message.
const PARTS_MOST: usize = 64;
/// Lines in one part: with the longest names that discovery may give, 128 bytes, and a weight beside each,
/// some 600 KiB of the 1 MiB that a part may have.
const ROWS_MOST: usize = 4096;
/// Marks without an answer that are remembered on a stream. A planner sends a few messages a second, and an
/// answer takes a second or two; past this the oldest will not be answered any more.
const MARKS_MOST: usize = 256;
/// Classes are a bit each.
const CLASSES_MOST: usize = 64;

type Level = (Option<f64>, RetryPolicy);

/// A table as it was ordered.
#[derive(Debug, Clone, Default)]
struct Laid {
    lines: BTreeMap<ServerId, f64>,
    levels: BTreeMap<ClassId, Level>,
}

/// One part of a message: classes by bits, and what it changes for them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UpdatePart {
    pub classes: u64,
    pub replace: bool,
    pub rows: Vec<(ServerId, f64)>,
    pub level: Option<Level>,
    pub drop: Vec<ServerId>,
    pub undrop: Vec<ServerId>,
    pub mark: Option<u16>,
}

#[derive(Serialize, Default)]
struct ConfigMessage<'a> {
    t: &'static str,
    #[serde(rename = "for", skip_serializing_if = "Option::is_none")]
    classes: Option<Vec<&'a str>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    replace: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    rows: Option<Vec<(&'a str, f64)>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    gate: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    again: Option<u8>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    drop: Vec<&'a str>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    undrop: Vec<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    stamp: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    part: Option<bool>,
}

/// What one stream was told.
#[derive(Debug, Default)]
struct Stream {
    /// The table of each class, once it is bound.
    on: Vec<Option<TableId>>,
    /// Marks that it owes an answer to, the oldest first, and when each went out.
    marks: VecDeque<(u16, Duration)>,
    /// When anything last came from it.
    heard: Duration,
    /// When it joined, until it answers for the first time.
    waits: Option<Duration>,
}

/// The tables, the streams, and what servers are shut out.
#[derive(Debug, Default)]
pub struct TableSync {
    tables: BTreeMap<TableId, Laid>,
    /// Servers shut out, and those let in again since the start.
    out: BTreeMap<ServerId, bool>,
    streams: BTreeMap<ProxyId, Stream>,
    classes: usize,
    /// How "all" is written as a level.
    open_level: f64,
}

impl TableSync {
    pub fn new(classes: usize, open_level: f64) -> TableSync {
        TableSync { classes: classes.min(CLASSES_MOST), open_level, ..TableSync::default() }
    }

    fn all(&self) -> u64 {
        if self.classes >= CLASSES_MOST {
            u64::MAX
        } else {
            (1 << self.classes) - 1
        }
    }

    /// A proxy joined: it is on none of these tables yet.
    pub fn join(&mut self, proxy: ProxyId, now: Duration) {
        let on = vec![None; self.classes];
        self.streams.insert(proxy, Stream { on, marks: VecDeque::new(), heard: now, waits: Some(now) });
    }

    /// How long a proxy waited for its table, once: from its joining to its first answer, which is now.
    pub fn waited(&mut self, proxy: ProxyId, now: Duration) -> Option<Duration> {
        let since = self.streams.get_mut(&proxy)?.waits.take()?;
        Some(now.saturating_sub(since))
    }

    /// Something came from a proxy.
    pub fn heard(&mut self, proxy: ProxyId, now: Duration) {
        if let Some(stream) = self.streams.get_mut(&proxy) {
            stream.heard = now;
        }
    }

    /// The streams that have owed an answer for so long, and brought nothing else since it was due. Quiet
    /// alone is no sign: a proxy without queries has nothing to say.
    pub fn mute(&self, now: Duration, patience: Duration) -> Vec<ProxyId> {
        let mute = |s: &Stream| {
            s.marks.front().is_some_and(|(_, at)| now >= *at + patience) && now >= s.heard + patience
        };
        self.streams.iter().filter(|(_, s)| mute(s)).map(|(proxy, _)| *proxy).collect()
    }

    pub fn leave(&mut self, proxy: ProxyId) {
        self.streams.remove(&proxy);
    }

    /// Whether this mark is one that the stream owes an answer to. What was sent before it counts as
    /// answered.
    pub fn answered(&mut self, proxy: ProxyId, mark: u16) -> bool {
        let Some(stream) = self.streams.get_mut(&proxy) else { return false };
        let Some(place) = stream.marks.iter().position(|(m, _)| *m == mark) else { return false };
        stream.marks.drain(..=place);
        true
    }

    /// Whether no table has a line of this server.
    pub fn is_clear_of(&self, server: ServerId) -> bool {
        self.tables.values().all(|t| !t.lines.contains_key(&server))
    }

    /// Its index may be another's from now on.
    pub fn release(&mut self, server: ServerId) {
        self.out.remove(&server);
        self.tables.values_mut().for_each(|t| _ = t.lines.remove(&server));
    }

    /// The orders of one turn as one message for each proxy concerned, its parts in the orders' sequence.
    pub fn lay(&mut self, orders: &[Command], now: Duration) -> BTreeMap<ProxyId, Vec<UpdatePart>> {
        let mut messages = BTreeMap::new();
        let mut mark = None;
        for order in orders {
            match order {
                Command::SetEntry { table, server, weight } if weight.is_finite() && *weight >= 0.0 => {
                    self.line(&mut messages, *table, *server, *weight)
                }
                Command::ClearTable { table } => self.clear(&mut messages, *table),
                Command::EjectServer { server, ejected: out } => self.shut(&mut messages, *server, *out),
                Command::AssignTable { proxy, table, class_mask: classes } => {
                    self.bind(&mut messages, *proxy, *table, *classes)
                }
                Command::SetAdmission { table, class, admission_rate: level, retry_policy: tries }
                    if level.is_none_or(|l| l.is_finite() && l >= 0.0) =>
                {
                    self.level(&mut messages, *table, *class, (*level, *tries))
                }
                Command::RequestAck { ack_token: number, all_proxies: everyone } => {
                    mark = Some((*number, *everyone))
                }
                _ => {}
            }
        }
        if let Some((mark, everyone)) = mark {
            self.mark(&mut messages, mark, everyone, now);
        }
        messages
    }

    /// The proxies on a table, with the classes that they are on it for.
    fn on(&self, table: TableId) -> Vec<(ProxyId, u64)> {
        let bits = |on: &[Option<TableId>]| {
            let here = on.iter().enumerate().filter(|(_, t)| **t == Some(table));
            here.fold(0, |bits, (class, _)| bits | 1 << class)
        };
        let streams = self.streams.iter().map(|(proxy, stream)| (*proxy, bits(&stream.on)));
        streams.filter(|(_, classes)| *classes != 0).collect()
    }

    fn line(
        &mut self,
        messages: &mut BTreeMap<ProxyId, Vec<UpdatePart>>,
        table: TableId,
        server: ServerId,
        weight: f64,
    ) {
        let lines = &mut self.tables.entry(table).or_default().lines;
        if weight > 0.0 {
            lines.insert(server, weight);
        } else {
            lines.remove(&server);
        }
        for (proxy, classes) in self.on(table) {
            let parts: &mut Vec<UpdatePart> = messages.entry(proxy).or_default();
            // Lines and levels of the same classes don't touch each other.
            match parts.last_mut().filter(|p| p.classes == classes) {
                Some(part) => part.rows.push((server, weight)),
                None => {
                    parts.push(UpdatePart { classes, rows: vec![(server, weight)], ..UpdatePart::default() })
                }
            }
        }
    }

    fn clear(&mut self, messages: &mut BTreeMap<ProxyId, Vec<UpdatePart>>, table: TableId) {
        self.tables.remove(&table);
        for (proxy, classes) in self.on(table) {
            messages.entry(proxy).or_default().push(UpdatePart {
                classes,
                replace: true,
                ..UpdatePart::default()
            });
        }
    }

    fn shut(&mut self, messages: &mut BTreeMap<ProxyId, Vec<UpdatePart>>, server: ServerId, out: bool) {
        self.out.insert(server, out);
        let (drop, undrop) = if out { (vec![server], vec![]) } else { (vec![], vec![server]) };
        for proxy in self.streams.keys() {
            let part = UpdatePart { drop: drop.clone(), undrop: undrop.clone(), ..UpdatePart::default() };
            messages.entry(*proxy).or_default().push(part);
        }
    }

    fn bind(
        &mut self,
        messages: &mut BTreeMap<ProxyId, Vec<UpdatePart>>,
        proxy: ProxyId,
        table: TableId,
        classes: u64,
    ) {
        let classes = if classes == 0 { self.all() } else { classes & self.all() };
        let Some(stream) = self.streams.get_mut(&proxy).filter(|_| classes != 0) else { return };
        let bound = (0..self.classes).filter(|class| classes >> class & 1 == 1);
        bound.for_each(|class| stream.on[class] = Some(table));
        let laid = self.tables.entry(table).or_default();
        let rows: Vec<(ServerId, f64)> = laid.lines.iter().map(|(s, w)| (*s, *w)).collect();
        // A proxy brings what an earlier stream shut out: what is owed to it is what this planner last said
        // of each.
        let (out, back): (Vec<_>, Vec<_>) = self.out.iter().partition(|(_, out)| **out);
        let drop = out.into_iter().map(|(s, _)| *s).filter(|s| laid.lines.contains_key(s)).collect();
        let undrop = back.into_iter().map(|(s, _)| *s).collect();
        let parts = messages.entry(proxy).or_default();
        parts.push(UpdatePart { classes, replace: true, rows, drop, undrop, ..UpdatePart::default() });
        // The whole table made proxies forget the levels.
        let levels = laid.levels.iter().filter(|(class, _)| classes >> **class & 1 == 1);
        levels.for_each(|(class, level)| add_level(parts, 1 << class, *level));
    }

    fn level(
        &mut self,
        messages: &mut BTreeMap<ProxyId, Vec<UpdatePart>>,
        table: TableId,
        class: ClassId,
        level: Level,
    ) {
        if class >= self.classes {
            return;
        }
        self.tables.entry(table).or_default().levels.insert(class, level);
        for (proxy, classes) in self.on(table) {
            if classes >> class & 1 == 1 {
                add_level(messages.entry(proxy).or_default(), 1 << class, level);
            }
        }
    }

    fn mark(
        &mut self,
        messages: &mut BTreeMap<ProxyId, Vec<UpdatePart>>,
        mark: u16,
        everyone: bool,
        now: Duration,
    ) {
        if everyone {
            self.streams.keys().for_each(|proxy| _ = messages.entry(*proxy).or_default());
        }
        for (proxy, parts) in messages.iter_mut() {
            match parts.last_mut() {
                Some(part) => part.mark = Some(mark),
                None => parts.push(UpdatePart { mark: Some(mark), ..UpdatePart::default() }),
            }
            if let Some(stream) = self.streams.get_mut(proxy) {
                stream.marks.push_back((mark, now));
                if stream.marks.len() > MARKS_MOST {
                    stream.marks.pop_front();
                }
            }
        }
    }

    /// The bytes of a message. A server whose name is not known any more is left out, as is what goes past
    /// the parts that a message may have: a planner's orders come nowhere near either.
    pub fn write(&self, parts: &[UpdatePart], names: &Names) -> Vec<u8> {
        let mut out = Vec::new();
        let pieces: Vec<UpdateChunk> = parts.iter().flat_map(pieces).take(PARTS_MOST).collect();
        for (k, piece) in pieces.iter().enumerate() {
            let written = self.written(piece, k + 1 < pieces.len(), names);
            // Strings and finite numbers always have a form.
            framing::write(&mut out, &serde_json::to_vec(&written).unwrap_or_default());
        }
        out
    }

    fn written<'a>(&self, piece: &UpdateChunk, more: bool, names: &'a Names) -> ConfigMessage<'a> {
        let UpdateChunk { part, rows, first, last } = *piece;
        let server = |s: &ServerId| names.servers.name(*s).map(String::as_str);
        let level = part.level.filter(|_| last);
        let whole = part.classes == 0 || part.classes == self.all();
        let classes = (0..self.classes).filter(|class| part.classes >> class & 1 == 1);
        let classes = classes.filter_map(|class| names.classes.name(class).map(String::as_str));
        let named = rows.iter().filter_map(|(s, w)| Some((server(s)?, *w)));
        let on_last = |servers: &[ServerId]| servers.iter().filter(|_| last).filter_map(server).collect();
        ConfigMessage {
            t: "CONFIG",
            classes: (!whole).then(|| classes.collect()),
            replace: (part.replace && first).then_some(true),
            rows: (part.replace || !rows.is_empty()).then(|| named.collect()),
            gate: level.map(|(level, _)| level.unwrap_or(self.open_level)),
            again: level.map(|(_, tries)| tries as u8),
            drop: on_last(&part.drop),
            undrop: on_last(&part.undrop),
            stamp: part.mark.filter(|_| last),
            part: more.then_some(true),
        }
    }
}

/// What of a part goes into one: its lines in pieces, where there are too many; the whole table's word with
/// the first, all else with the last.
struct UpdateChunk<'a> {
    part: &'a UpdatePart,
    rows: &'a [(ServerId, f64)],
    first: bool,
    last: bool,
}

fn pieces(part: &UpdatePart) -> impl Iterator<Item = UpdateChunk<'_>> {
    let count = part.rows.len().div_ceil(ROWS_MOST).max(1);
    (0..count).map(move |k| {
        let rows = &part.rows[k * ROWS_MOST..part.rows.len().min((k + 1) * ROWS_MOST)];
        UpdateChunk { part, rows, first: k == 0, last: k + 1 == count }
    })
}

/// Adds a level for some classes: with the same level's part where that has nothing else, or a part of its
/// own.
fn add_level(parts: &mut Vec<UpdatePart>, classes: u64, level: Level) {
    let bare =
        |p: &&mut UpdatePart| !p.replace && p.rows.is_empty() && p.drop.is_empty() && p.undrop.is_empty();
    match parts.last_mut().filter(|p| p.level == Some(level)).filter(bare) {
        Some(part) => part.classes |= classes,
        None => parts.push(UpdatePart { classes, level: Some(level), ..UpdatePart::default() }),
    }
}
