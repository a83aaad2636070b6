//! Who is let in when all come at once, as after a planner's restart: so many at a time, those with the oldest
//! tables first, and all of them well within the grace in which a drain has to reach them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Let in a second, however many wait: a handshake and a first table take about a millisecond.
const PACE_LEAST: f64 = 200.0;
/// All that wait are in after this part of the grace; the rest of it is for their tables to arrive.
const PART: f64 = 0.25;
/// Who waits at the most: more than a planner has proxies. Past it they are turned away, and dial again.
pub const WAITING_MOST: usize = 4096;

/// How old a newcomer's tables are: nothing held at all, then by epoch and version.
pub type TableAge = Option<(u64, u64)>;

#[derive(Debug)]
pub struct ReconnectQueue {
    grace: Duration,
    waiting: BTreeSet<(TableAge, String)>,
    by_name: BTreeMap<String, TableAge>,
    /// Since when this many have been waiting, and how many of a whole one time has let in.
    pace: f64,
    room: f64,
    at: Duration,
}

impl ReconnectQueue {
    pub fn new(grace: Duration) -> ReconnectQueue {
        let (waiting, by_name) = (BTreeSet::new(), BTreeMap::new());
        ReconnectQueue { grace, waiting, by_name, pace: PACE_LEAST, room: 1.0, at: Duration::ZERO }
    }

    pub fn set_grace(&mut self, grace: Duration) {
        self.grace = grace;
    }

    /// One came; again under the same name, it takes its own place. False: too many wait.
    pub fn came(&mut self, now: Duration, name: &str, age: TableAge) -> bool {
        self.gone(name);
        if self.waiting.len() >= WAITING_MOST {
            return false;
        }
        if self.waiting.is_empty() {
            // Time in which nobody waited lets nobody in.
            (self.at, self.pace, self.room) = (now, PACE_LEAST, 1.0);
        }
        self.waiting.insert((age, name.to_string()));
        self.by_name.insert(name.to_string(), age);
        let span = (self.grace.as_secs_f64() * PART).max(0.001);
        self.pace = self.pace.max(self.waiting.len() as f64 / span);
        true
    }

    pub fn gone(&mut self, name: &str) {
        if let Some(age) = self.by_name.remove(name) {
            self.waiting.remove(&(age, name.to_string()));
        }
    }

    /// The next to be let in by now.
    pub fn next(&mut self, now: Duration) -> Option<String> {
        // No more than a tenth of a second's worth at once, however long the loop was away.
        let most = (self.pace / 10.0).max(1.0);
        self.room = (self.room + now.saturating_sub(self.at).as_secs_f64() * self.pace).min(most);
        self.at = now;
        if self.room < 1.0 {
            return None;
        }
        let (_, name) = self.waiting.pop_first()?;
        self.by_name.remove(&name);
        self.room -= 1.0;
        Some(name)
    }

    /// When the next may be let in.
    pub fn wakes_at(&self) -> Option<Duration> {
        let lacks = (1.0 - self.room).max(0.0) / self.pace;
        (!self.waiting.is_empty()).then(|| self.at + Duration::from_secs_f64(lacks))
    }
}
