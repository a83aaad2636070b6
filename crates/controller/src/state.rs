//! What a planner keeps in mind. No decision is made here: `logic.rs` makes them all.

use crate::interface::{FurtherTries, Proxy, Table, Zone};
use crate::sums::Histogram;
use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::time::Duration;

/// The place `index` of a list that grows as indices come.
pub fn at<T: Default>(list: &mut Vec<T>, index: usize) -> &mut T {
    if list.len() <= index {
        list.resize_with(index + 1, T::default);
    }
    &mut list[index]
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Standing {
    /// Not on the list, or no longer.
    #[default]
    Unlisted,
    Eligible,
    /// In service on a growing part of its weight.
    Ramping,
    Withdrawn,
    /// Out, and nothing bad seen since it entered this standing.
    Probation,
    /// Out for long, after withdrawals in a row.
    Held,
    Draining,
}

/// A line of a table, without its server.
pub type Line = (Table, f64);

#[derive(Debug, Default)]
pub struct Node {
    pub zone: Zone,
    pub kind: usize,
    pub listed: f64,
    /// Dropped from the list, but in service as before.
    pub dropped: bool,
    /// Listed as old though it was not there before, and nothing good heard of it yet.
    pub stranger: bool,
    pub standing: Standing,
    pub since: Duration,
    pub started: Option<Duration>,
    /// The decaying score: tries and failed tries, halved together.
    pub tries: f32,
    pub failed: f32,
    /// Failed tries since the last good one, and when that was heard of.
    pub run: f32,
    pub good_at: Duration,
    pub heard: Duration,
    /// Good answers a second, by zone of the proxies.
    pub flow: Vec<f64>,
    /// What its queries took, waiting included; what it says that they take; how busy it says it is.
    pub times: Histogram,
    pub work: Histogram,
    pub busy: f64,
    pub refused: bool,
    pub unanswered: u32,
    pub probed: Duration,
    /// What withdrew it was hard evidence: nothing good came from it at all.
    pub hard: bool,
    pub halved: bool,
    pub withdrawals: VecDeque<Duration>,
    /// Its own swiftness against what the list says, 1 where nothing is known.
    pub swift: f64,
    /// For the classes set apart.
    pub apart: bool,
    pub group: Option<usize>,
    /// The table that it is in and its weight there, as sent.
    pub sent: Option<Line>,
}

impl Node {
    /// Halves what was counted; of its own word on its work, once it is more than so much.
    pub fn halve(&mut self, most: f32) {
        (self.tries, self.failed) = (self.tries * 0.5, self.failed * 0.5);
        self.times.halve();
        self.work.cap(most);
    }
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (failed, tries, run) = (self.failed, self.tries, self.run);
        write!(f, "{:?}: {failed:.0} of {tries:.0} failed, {run} in a row; ", self.standing)?;
        write!(f, "probes: refused {}, unanswered {}", self.refused, self.unanswered)
    }
}

/// Servers and proxies that share a table.
#[derive(Debug, Default)]
pub struct Group {
    /// Whose proxies and, as far as they suffice, servers it has; `None`: any.
    pub zone: Option<Zone>,
    /// Queries a second that come to its proxies, and the weight and number of its servers.
    pub load: f64,
    pub weight: f64,
    pub servers: usize,
    pub proxies: f64,
    /// The classes set apart in it, a bit each.
    pub apart: u64,
}

impl Group {
    /// It is another zone's.
    pub fn away(&self, zone: Zone) -> bool {
        self.zone.is_some_and(|own| own != zone)
    }
}

#[derive(Debug, Default)]
pub struct Joined {
    pub here: bool,
    /// It came with tables of before.
    pub old: bool,
    pub zone: Zone,
    pub group: Option<usize>,
    /// When it last went to another group, since its own had no server.
    pub moved: Option<Duration>,
    /// The classes set apart there, a bit each, once it is bound.
    pub bound: Option<u64>,
    /// Queries a second that came, by class.
    pub came: Vec<f64>,
    /// When that was last told, by class.
    pub told: Vec<Duration>,
}

/// One reply's messages on their way.
#[derive(Debug)]
pub struct Flying {
    pub mark: u16,
    pub lines: f64,
    pub awaited: BTreeSet<Proxy>,
}

/// What is on its way to the proxies.
#[derive(Debug, Default)]
pub struct Channel {
    pub flying: VecDeque<Flying>,
    pub mark: u16,
    /// When one with all that was due went out.
    pub last: Duration,
    /// While a reply is made: the lines that there is room for yet, and the proxies that get a message.
    pub room: f64,
    pub reached: BTreeSet<Proxy>,
}

impl Channel {
    /// Notes messages that go out under the next mark, and gives the mark.
    pub fn launch(&mut self, lines: f64, awaited: BTreeSet<Proxy>) -> u16 {
        self.mark = self.mark.wrapping_add(1);
        self.flying.push_back(Flying { mark: self.mark, lines, awaited });
        self.mark
    }

    pub fn lines(&self) -> f64 {
        self.flying.iter().map(|f| f.lines).sum()
    }

    /// Messages leave in sequence: one that took effect proves that all ordered before it have left.
    pub fn applied(&mut self, proxy: Proxy, mark: u16) {
        if let Some(place) = self.flying.iter().position(|f| f.mark == mark) {
            self.flying.drain(..place);
            // So many of them are through. Guards against the whole waiting for the slowest proxy, while
            // others join.
            let flying = &mut self.flying[0];
            let of = flying.awaited.len() as f64;
            if flying.awaited.remove(&proxy) {
                flying.lines *= (of - 1.0) / of;
            }
            self.flying.retain(|f| !f.awaited.is_empty());
        }
    }

    pub fn left(&mut self, proxy: Proxy) {
        self.flying.iter_mut().for_each(|f| _ = f.awaited.remove(&proxy));
        self.flying.retain(|f| !f.awaited.is_empty());
    }
}

/// How much is let in, and for whom.
#[derive(Debug, Default)]
pub struct Gate {
    /// How hard pressed the fleet is, and the part of it for classes set apart: above 1 is too hard.
    pub pressure: [f64; 2],
    /// The same for all, with every failure in it.
    pub strain: f64,
    /// The part of that that is slowness.
    pub late: [f64; 2],
    pub times: [Histogram; 2],
    /// Tries and failed tries of late in both.
    pub met: [(f64, f64); 2],
    /// Good answers a second, and the most of late.
    pub handled: f64,
    /// Many of those that answer were never listed.
    pub astray: bool,
    /// Beats with reports since the start.
    pub beats: u32,
    pub best: f64,
    /// What came for some seconds without pressing the fleet, by its weight.
    pub usual: f64,
    /// What the fleet could handle when a cut was needed; 0 when none was.
    pub knee: f64,
    pub tries_cut: bool,
    pub changed: Duration,
    /// Queries a second over all proxies and classes; `None`: all.
    pub limit: Option<f64>,
    /// Classes set apart, a bit each, and the part of the fleet that they have.
    pub apart: u64,
    pub part: f64,
    /// Level and further tries of each class, as sent.
    pub sent: Vec<Option<(Option<f64>, FurtherTries)>>,
}
