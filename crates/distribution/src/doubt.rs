//! Whether a proxy does what it confirms: one that says it took a server out, and goes on trying it, has tables
//! that are not the planner's.

use runloom_versioned_publisher::Version;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What is to be done about a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Fine,
    /// It is told its tables anew.
    Anew,
    /// That did not help: it is let go, and may come again.
    LetGo,
}

/// Reports in a row that name such a server until it counts: a single one may have been counted over a span that
/// its clock has cut otherwise.
const STRIKES: u32 = 2;
/// Servers remembered as out, a proxy: more than a deployment takes out in the minutes that matter.
const OUT_MOST: usize = 256;

/// Servers that left a table, by the version that took them out; the oldest are dropped past [`DROPPED_MOST`].
pub type Dropped = VecDeque<(Version, String)>;
pub const DROPPED_MOST: usize = 1024;

#[derive(Debug, Default)]
pub struct Doubt {
    /// Servers that it confirmed to be out, and when it did.
    out: BTreeMap<String, Duration>,
    /// The version of each table up to which that was looked at.
    seen: BTreeMap<u16, Version>,
    strikes: u32,
    told_anew: bool,
}

impl Doubt {
    /// It confirmed a table at a version.
    pub fn confirmed(&mut self, now: Duration, table: u16, version: Version, dropped: Option<&Dropped>) {
        let seen = self.seen.insert(table, version).unwrap_or(version);
        let newly = dropped.into_iter().flat_map(|d| d.iter().rev().take_while(|(v, _)| *v > seen));
        for (_, server) in newly.filter(|(v, _)| *v <= version) {
            self.out.insert(server.clone(), now);
        }
        while self.out.len() > OUT_MOST {
            let Some(oldest) = self.out.iter().min_by_key(|(_, at)| **at).map(|(s, _)| s.clone()) else {
                return;
            };
            self.out.remove(&oldest);
        }
    }

    /// Whether it confirmed that this server is out.
    pub fn took_out(&self, server: &str) -> bool {
        self.out.contains_key(server)
    }

    /// A report over a span: `tried`, the servers in it that are in none of its tables. A query that was out when
    /// the table changed may end until `patience` later.
    pub fn reported<'a>(
        &mut self,
        now: Duration,
        span: Duration,
        patience: Duration,
        mut tried: impl Iterator<Item = &'a str>,
    ) -> Verdict {
        let since = |server: &str| self.out.get(server).is_some_and(|at| now >= *at + patience + span);
        if !tried.any(since) {
            self.strikes = 0;
            return Verdict::Fine;
        }
        self.strikes += 1;
        if self.strikes < STRIKES {
            return Verdict::Fine;
        }
        self.strikes = 0;
        if std::mem::replace(&mut self.told_anew, true) {
            return Verdict::LetGo;
        }
        // From the word on the new tables on.
        self.out.values_mut().for_each(|at| *at = now);
        Verdict::Anew
    }
}
