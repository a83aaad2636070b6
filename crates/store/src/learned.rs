//! What a planner has learned of its servers, as it outlasts a restart, and what of that still counts. Computed state is
//! disposable (the source restores no eligibility): what comes of it are hints that age, never a verdict.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What was learned of one server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LearnedServer {
    pub name: String,
    /// Where it was, and when it started, milliseconds since 1970: another machine, or another start, is a new server.
    pub address: String,
    pub started: Option<u64>,
    /// How swift it is against what the list says of it.
    pub swift: f64,
    /// When it was last out of service for failing, milliseconds since 1970, and whether it was so for long.
    pub failed: Option<u64>,
    pub held: bool,
}

/// All that was learned, at a time.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct LearnedServers {
    /// Milliseconds since 1970.
    pub written: u64,
    pub servers: Vec<LearnedServer>,
}

/// What is left of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmStartHint {
    pub swift: f64,
    /// From 0, nothing, to 1: it failed just now.
    pub doubt: f64,
}

/// Swiftness halves its distance from 1 in this time: a deploy changes it, and an hour is six of these.
const SWIFT_HALVES: Duration = Duration::from_secs(600);
/// Doubt halves in this time: after the design's minute of quarantine a server is tried again, and what failed ten
/// minutes ago has been seen to.
const DOUBT_HALVES: Duration = Duration::from_secs(120);
/// One that was held, out for the third time in a minute, is in doubt for longer.
const HELD_TIMES: u32 = 2;
/// Less than this is none.
const DOUBT_LEAST: f64 = 0.1;
const SWIFT_LEAST: f64 = 0.02;

fn left(age: Duration, halves: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / halves.as_secs_f64())
}

impl LearnedServers {
    /// As it is on disk.
    pub fn write(&self) -> Vec<u8> {
        // Texts, numbers and lists of them can always be written.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Result<LearnedServers, String> {
        postcard::from_bytes(bytes).map_err(|e| e.to_string())
    }

    /// What was learned by now, after what an earlier start had learned: a server that it knew to be failing, and that
    /// this one has seen too little of to say so, is not forgotten. A planner that is started again and again within
    /// seconds would lose it all.
    pub fn renewed(self, earlier: &LearnedServers) -> LearnedServers {
        let mut servers = self.servers;
        let now = self.written;
        for old in &earlier.servers {
            let counts = old.failed.and_then(|at| now.checked_sub(at)).is_some_and(|since| {
                let halves = if old.held { DOUBT_HALVES * HELD_TIMES } else { DOUBT_HALVES };
                left(Duration::from_millis(since), halves) >= DOUBT_LEAST
            });
            if !counts {
                continue;
            }
            match servers.iter_mut().find(|s| s.name == old.name) {
                Some(new) if (&new.address, new.started) != (&old.address, old.started) => {}
                Some(new) if new.failed >= old.failed => {}
                Some(new) => (new.failed, new.held) = (old.failed, old.held),
                None => servers.push(LearnedServer { swift: 1.0, ..old.clone() }),
            }
        }
        LearnedServers { written: now, servers }
    }

    /// What still counts at `now` of a server that is listed so; none: nothing.
    pub fn hint(&self, now: u64, name: &str, address: &str, started: Option<u64>) -> Option<WarmStartHint> {
        let known = self.servers.iter().find(|s| s.name == name)?;
        // An id given to another machine, or a process that started anew.
        if known.address != address || known.started != started {
            return None;
        }
        // A clock that was set back tells no age: what is older than it looks must not count as fresh.
        let age = Duration::from_millis(now.checked_sub(self.written)?);
        let swift = known.swift.clamp(0.1, 10.0).powf(left(age, SWIFT_HALVES));
        let halves = if known.held { DOUBT_HALVES * HELD_TIMES } else { DOUBT_HALVES };
        let since = known.failed.and_then(|at| now.checked_sub(at)).map(Duration::from_millis);
        let doubt = since.map_or(0.0, |since| left(since, halves));
        let hint = WarmStartHint {
            swift: if swift.ln().abs() < SWIFT_LEAST { 1.0 } else { swift },
            doubt: if doubt < DOUBT_LEAST { 0.0 } else { doubt },
        };
        (hint != WarmStartHint { swift: 1.0, doubt: 0.0 }).then_some(hint)
    }
}
