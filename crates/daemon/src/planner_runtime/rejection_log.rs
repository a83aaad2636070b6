//! Logs the commands that the guard rejects.

use runloom_control_session::{ControlSession, CLOCK_LEAD};
use runloom_guard::Rejection;
use std::collections::BTreeMap;
use std::time::Duration;

/// Shortest time between two log lines of the same rejection, which recurs at each evaluation while its cause lasts.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// What makes a rejection the same as an earlier one.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RejectionKey {
    reason: &'static str,
    table: u16,
    server: Option<usize>,
}

impl RejectionKey {
    fn of(rejection: &Rejection) -> RejectionKey {
        RejectionKey {
            reason: rejection.reason.tag(),
            table: rejection.table,
            server: rejection.servers.first().copied(),
        }
    }
}

/// Texts that describe a rejection.
pub(super) struct RejectionText {
    /// Why the command was rejected.
    pub why: String,
    /// What would have been accepted.
    pub safe: String,
    /// The rejection case as JSON, for `runloom guard explain`; empty if there is none.
    pub case: String,
}

impl RejectionText {
    pub(super) fn new(control: &ControlSession, rejection: &Rejection) -> RejectionText {
        let server = |server: usize| control.server_name(server).to_string();
        let proxy = |proxy: usize| control.proxy_name(proxy).to_string();
        let case = rejection.case.as_ref().and_then(|case| serde_json::to_string(case).ok());
        RejectionText {
            why: rejection.describe(&server, &proxy),
            safe: rejection.suggest_safe_change(&server),
            case: case.unwrap_or_default(),
        }
    }
}

/// The rejections that were logged lately, and when.
#[derive(Default)]
pub(super) struct RejectionLog {
    logged: BTreeMap<RejectionKey, Duration>,
    /// Time of the controller's clock up to which rejections were handled.
    handled_until: Duration,
}

impl RejectionLog {
    /// Logs the rejections since the last call.
    pub(super) fn log_new(&mut self, control: &ControlSession, now: Duration) {
        let since = std::mem::replace(&mut self.handled_until, CLOCK_LEAD + now);
        self.logged.retain(|_, at| now < *at + REPEAT_INTERVAL);
        for rejection in control.guard().rejections().filter(|rejection| rejection.at > since) {
            let key = RejectionKey::of(rejection);
            if self.logged.contains_key(&key) {
                continue;
            }
            self.logged.insert(key, now);
            let RejectionText { why, safe, case } = RejectionText::new(control, rejection);
            let reason = rejection.reason;
            tracing::warn!(reason = reason.tag(), rule = reason.rule(), why, safe, %case, "command rejected");
        }
    }
}
