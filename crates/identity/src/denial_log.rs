//! Rate-limits the log of denied access, so that a peer cannot flood it.

use crate::access::{AccessDenied, RequestedAccess};
use crate::id::SpiffeId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Denials of the same access, requested by the same identity, get one entry within this time.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);
/// The maximum number of remembered entries. Beyond it the oldest is dropped, and the same denial may be logged again
/// before [`REPEAT_INTERVAL`] is over.
const MAX_REMEMBERED_ENTRIES: usize = 512;

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DenialEntry {
    /// When access was denied, on the clock of the caller of [`DenialLog::record`].
    pub at: Duration,
    /// SPIFFE ID of the peer.
    pub identity: String,
    /// The requested access, as [`RequestedAccess`] displays it.
    pub access: String,
    /// Why it was denied, from [`AccessDenied::reason`].
    pub reason: &'static str,
    /// Denials of the same access since the previous entry that were counted without an entry.
    pub suppressed: u64,
}

/// The newest entry for one identity and access.
#[derive(Debug)]
struct LoggedDenial {
    at: Duration,
    /// Equal denials since then, without an entry.
    suppressed: u64,
}

/// Counts denials and decides which of them are logged.
#[derive(Debug, Default)]
pub struct DenialLog {
    /// The newest entry by identity and access.
    logged: BTreeMap<(String, String), LoggedDenial>,
    /// All denials so far, logged or not.
    pub denied: u64,
}

impl DenialLog {
    /// Records a denial. Returns the entry to log; `None` if the same denial was logged less than 10 s ago.
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
        if self.logged.len() >= MAX_REMEMBERED_ENTRIES {
            self.remove_oldest();
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

    fn remove_oldest(&mut self) {
        let oldest = self.logged.iter().min_by_key(|(_, logged)| logged.at).map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.logged.remove(&key);
        }
    }
}
