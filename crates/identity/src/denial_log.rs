//! A log of denied access that a peer cannot flood.

use crate::access::{AccessDenied, RequestedAccess};
use crate::id::SpiffeId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Denials of the same access get one entry in this time.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);
/// Denials that are remembered. Beyond it the oldest are forgotten, and may be logged again sooner.
const MAX_REMEMBERED_DENIALS: usize = 512;

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DenialEntry {
    /// When access was denied.
    pub at: Duration,
    /// The identity.
    pub identity: String,
    /// What it asked for.
    pub access: String,
    /// Why it was denied.
    pub reason: &'static str,
    /// Denials of the same access since the previous entry, which got no entry.
    pub suppressed: u64,
}

/// A denial that was logged.
#[derive(Debug)]
struct LoggedDenial {
    at: Duration,
    /// The same denials since, without an entry.
    suppressed: u64,
}

/// Counts denials and decides which of them are logged.
#[derive(Debug, Default)]
pub struct DenialLog {
    /// The newest entry by identity and access.
    logged: BTreeMap<(String, String), LoggedDenial>,
    /// All denials so far.
    pub denied: u64,
}

impl DenialLog {
    /// Records a denial. Returns the entry to log, unless the same denial was logged a short time ago.
    pub fn record(
        &mut self,
        now: Duration,
        id: &SpiffeId,
        access: RequestedAccess,
        reason: AccessDenied,
    ) -> Option<DenialEntry> {
        self.denied += 1;
        let key = (id.to_string(), access.to_string());
        if let Some(logged) = self.logged.get_mut(&key) {
            if now < logged.at + REPEAT_INTERVAL {
                logged.suppressed += 1;
                return None;
            }
        }
        if self.logged.len() >= MAX_REMEMBERED_DENIALS {
            self.forget_oldest();
        }
        let previous = self.logged.insert(key.clone(), LoggedDenial { at: now, suppressed: 0 });
        let (identity, access) = key;
        Some(DenialEntry {
            at: now,
            identity,
            access,
            reason: reason.reason(),
            suppressed: previous.map_or(0, |previous| previous.suppressed),
        })
    }

    fn forget_oldest(&mut self) {
        let oldest = self.logged.iter().min_by_key(|(_, logged)| logged.at).map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.logged.remove(&key);
        }
    }
}
