//! Discovery: one list and watch over HTTP/1.1 as lists of changes, each judged entry by entry.

use crate::message::Names;
use runloom_controller::{EndpointRecord, EndpointUpdate, ListedState, ServerId};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// An empty line comes every two seconds. After the time for one and some more nothing has come that should
/// have; changes count as told six seconds after they were due, and a new watch still has to be made within
/// these.
pub const SILENCE_MOST: Duration = Duration::from_millis(2700);
/// The agent stands on the planner's own machine: a connection that has not brought its first line after so
/// long won't. A watch that can't be had is tried again this often.
pub const FIRST_WAIT: Duration = Duration::from_millis(1200);
pub const REDIAL: Duration = Duration::from_millis(250);
/// An agent may lag behind another: what changed counts as told six seconds after it was due. Whose versions
/// are older than the one held for longer than that does not lag, its versions are counted anew.
const LAG_MOST: Duration = Duration::from_secs(6);
/// A line that can't be read is asked for again this often before it is left out.
const MISSED_MOST: u32 = 3;
/// A head is a few hundred bytes, a line a hundred for each server: past this it is no list.
const HEAD_MOST: usize = 8 << 10;
const LINE_MOST: usize = 1 << 20;
/// Ids, zones and kinds are short, and there are a handful of zones and kinds: what would fill memory is
/// spoilt.
const NAME_MOST: usize = 128;
const NAMES_MOST: usize = 256;

/// The path of the watch that goes on from a version.
pub fn watch(host: &str, since: u64) -> Vec<u8> {
    let path = format!("/discovery/hosts?follow=1&since={since}");
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

/// A watch that can't be read any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreadable;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum At {
    Head,
    /// The size of the next chunk.
    Size,
    /// So much of a chunk is to come.
    Chunk(usize),
    /// The line end behind a chunk.
    Behind,
    /// An answer without chunks.
    Plain,
    Over,
}

/// One answer of discovery as lines, however its bytes are split.
#[derive(Debug)]
pub struct WatchReader {
    at: At,
    input: Vec<u8>,
    line: Vec<u8>,
}

impl Default for WatchReader {
    fn default() -> Self {
        WatchReader { at: At::Head, input: Vec::new(), line: Vec::new() }
    }
}

impl WatchReader {
    /// The lines that are whole now, empty ones too. Over: the answer has ended.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, Unreadable> {
        self.input.extend_from_slice(bytes);
        let mut lines = Vec::new();
        let mut used = 0;
        while let Some(step) = self.step(&self.input[used..])? {
            let (taken, at, data) = step;
            let data = &self.input[used..][data];
            for piece in data.split_inclusive(|b| *b == b'\n') {
                self.line.extend_from_slice(piece);
                if self.line.last() == Some(&b'\n') {
                    lines.push(std::mem::take(&mut self.line));
                }
            }
            if self.line.len() > LINE_MOST {
                return Err(Unreadable);
            }
            used += taken;
            self.at = at;
        }
        self.input.drain(..used);
        Ok(lines)
    }

    pub fn is_over(&self) -> bool {
        self.at == At::Over
    }

    /// One step: bytes taken, what comes next, and which of the bytes belong to the lines.
    fn step(&self, rest: &[u8]) -> Result<Option<(usize, At, std::ops::Range<usize>)>, Unreadable> {
        match self.at {
            At::Head => head(rest),
            At::Over => Ok(None),
            _ if rest.is_empty() => Ok(None),
            At::Size => match httparse::parse_chunk_size(rest).map_err(|_| Unreadable)? {
                httparse::Status::Partial if rest.len() > 64 => Err(Unreadable),
                httparse::Status::Partial => Ok(None),
                httparse::Status::Complete((taken, 0)) => Ok(Some((taken, At::Over, 0..0))),
                httparse::Status::Complete((_, size)) if size > LINE_MOST as u64 => Err(Unreadable),
                httparse::Status::Complete((taken, size)) => {
                    Ok(Some((taken, At::Chunk(size as usize), 0..0)))
                }
            },
            At::Chunk(size) => {
                let taken = size.min(rest.len());
                let at = if taken == size { At::Behind } else { At::Chunk(size - taken) };
                Ok(Some((taken, at, 0..taken)))
            }
            At::Behind if rest.len() < 2 => Ok(None),
            At::Behind if rest.starts_with(b"\r\n") => Ok(Some((2, At::Size, 0..0))),
            At::Behind => Err(Unreadable),
            At::Plain => Ok(Some((rest.len(), At::Plain, 0..rest.len()))),
        }
    }
}

fn head(rest: &[u8]) -> Result<Option<(usize, At, std::ops::Range<usize>)>, Unreadable> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut answer = httparse::Response::new(&mut headers);
    match answer.parse(rest).map_err(|_| Unreadable)? {
        httparse::Status::Partial if rest.len() > HEAD_MOST => Err(Unreadable),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(_) if answer.code != Some(200) => Err(Unreadable),
        httparse::Status::Complete(taken) => {
            let chunked = answer.headers.iter().any(|h| {
                h.name.eq_ignore_ascii_case("transfer-encoding") && h.value.eq_ignore_ascii_case(b"chunked")
            });
            Ok(Some((taken, if chunked { At::Size } else { At::Plain }, 0..0)))
        }
    }
}

/// The list as this planner holds it: its version, and where servers listen.
#[derive(Debug, Default)]
pub struct EndpointList {
    pub revision: u64,
    pub addresses: BTreeMap<ServerId, SocketAddr>,
    /// What was last told of each server that is there.
    last: BTreeMap<ServerId, EndpointRecord>,
    /// Lines and entries that could not be used.
    pub spoilt: u64,
    /// Since when nothing but older versions was told.
    behind: Option<Duration>,
    /// Lines in a row that could not be read.
    missed: u32,
}

impl EndpointList {
    /// What a list or a line of changes tells; `None` where it tells nothing new. `epoch` is the decisions'
    /// zero in Unix time, milliseconds: servers' starts lie before the planner's own.
    pub fn take(
        &mut self,
        list: &Value,
        remembered: bool,
        names: &mut Names,
        epoch: u64,
        now: Duration,
    ) -> Result<Option<(EndpointUpdate, Vec<EndpointRecord>)>, Unreadable> {
        let (Some(revision), Some(whole), Some(members)) =
            (list["revision"].as_u64(), list["complete"].as_bool(), list["members"].as_array())
        else {
            return Err(Unreadable);
        };
        // An older version, as an agent that lags may send it, would bring back what is gone or drains.
        if revision < self.revision {
            self.behind.get_or_insert(now);
            return Ok(None);
        }
        (self.behind, self.missed) = (None, 0);
        if revision == self.revision && !whole && !remembered {
            return Ok(None);
        }
        self.revision = revision;
        // Of doubled entries the last holds.
        let mut entries: BTreeMap<ServerId, EndpointRecord> = BTreeMap::new();
        for member in members {
            match self.entry(member, names, epoch) {
                Ok(Some(entry)) => _ = entries.insert(entry.server, entry),
                Ok(None) => {}
                Err(Unreadable) => {
                    self.spoilt += 1;
                    // Of whom a whole list speaks, it does not say that he is gone.
                    let known = member["id"].as_str().and_then(|id| names.servers.get(id));
                    if let Some(entry) = known.and_then(|s| self.last.get(&s)).filter(|_| whole) {
                        entries.entry(entry.server).or_insert_with(|| entry.clone());
                    }
                }
            }
        }
        if whole {
            self.last.clear();
        }
        self.last.extend(entries.iter().map(|(server, entry)| (*server, entry.clone())));
        self.last.retain(|_, entry| entry.state != ListedState::Removed);
        let how = match (remembered, whole) {
            (true, _) => EndpointUpdate::Cached,
            (_, true) => EndpointUpdate::Snapshot,
            (_, false) => EndpointUpdate::Delta,
        };
        Ok(Some((how, entries.into_values().collect())))
    }

    /// A line could not be read: an error while it may yet come whole.
    pub fn miss(&mut self) -> Result<(), Unreadable> {
        self.spoilt += 1;
        self.missed += 1;
        if self.missed > MISSED_MOST {
            Ok(())
        } else {
            Err(Unreadable)
        }
    }

    /// Its index may be another's from now on.
    pub fn release(&mut self, server: ServerId) {
        self.addresses.remove(&server);
        self.last.remove(&server);
    }

    /// Whether older versions have been told for longer than an agent may lag: any version counts from then.
    pub fn is_counted_anew(&mut self, looked: Duration) -> bool {
        let anew = self.behind.is_some_and(|since| looked >= since + LAG_MOST);
        if anew {
            (self.behind, self.revision) = (None, 0);
        }
        anew
    }

    pub fn wake(&self) -> Option<Duration> {
        self.behind.map(|since| since + LAG_MOST)
    }

    /// One entry; `None`: the end of a server that is not known here.
    fn entry(
        &mut self,
        member: &Value,
        names: &mut Names,
        epoch: u64,
    ) -> Result<Option<EndpointRecord>, Unreadable> {
        let text = |key: &str| member[key].as_str().filter(|t| !t.is_empty() && t.len() <= NAME_MOST);
        let id = text("id").ok_or(Unreadable)?;
        let mode = match member["phase"].as_str() {
            Some("SERVING") => ListedState::Ready,
            Some("DRAINING") => ListedState::Draining,
            Some("DELETED") => ListedState::Removed,
            _ => return Err(Unreadable),
        };
        if mode == ListedState::Removed && names.servers.get(id).is_none() {
            return Ok(None);
        }
        let server = names.servers.index(id.to_string());
        // An address may change from one list to the next; without one, the server can't be probed.
        match text("host_port").and_then(|a| a.parse().ok()) {
            Some(address) => _ = self.addresses.insert(server, address),
            None if mode == ListedState::Removed => {}
            None => _ = self.addresses.remove(&server),
        }
        let up_since = member["up_since_ms"].as_f64().filter(|ms| *ms > 0.0);
        Ok(Some(EndpointRecord {
            server,
            zone: index(&mut names.zones, text("locality")),
            kind: index(&mut names.kinds, text("flavor")),
            cell: member["cell"].as_u64().unwrap_or(0),
            state: mode,
            weight: member["size"].as_f64().filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0),
            // Before the decisions' zero is long ago.
            started: up_since
                .map(|ms| ms - epoch as f64)
                .and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok())
                .filter(|at| !at.is_zero()),
        }))
    }
}

fn index(ids: &mut runloom_controller::IdMap<String>, name: Option<&str>) -> usize {
    let name = name.unwrap_or_default();
    ids.get(name).unwrap_or_else(|| if ids.iter().count() < NAMES_MOST { ids.index(name.into()) } else { 0 })
}
