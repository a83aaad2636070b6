//! Why a command was rejected, as data and as text for operators.

use crate::rejection_case::RejectionCase;
use runloom_controller::{Command, ProxyId, ServerId, TableId};
use std::time::Duration;

/// Limit on the proxies, and on the servers, that a rejection lists.
const MAX_LISTED: usize = 5;

/// Why a command or an edit was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// Rule 1: a table that proxies use would have no usable server left.
    EmptiesTable,
    /// Rule 1: an admission rate would leave a class practically without service.
    AdmissionRateTooLow,
    /// Rule 3: an entry would be raised whose server is draining, was removed or was never listed.
    SendsToClosedServer,
    /// Rule 4: a raised entry would overload a cold server.
    OverloadsColdServer,
    /// Rule 4: requests that other servers lose would overload a cold server.
    ShiftsLoadToColdServer,
    /// A weight is not within 0 to 1e9, or an admission rate is not finite.
    Malformed,
    /// Rule 1: an edit would leave no usable server.
    EditEmptiesPool,
}

impl RejectionReason {
    /// The stable name in logs, state, counters and `error-app-tag`.
    pub fn tag(self) -> &'static str {
        match self {
            RejectionReason::EmptiesTable => "empties-table",
            RejectionReason::AdmissionRateTooLow => "closes-class",
            RejectionReason::SendsToClosedServer => "sends-to-draining",
            RejectionReason::OverloadsColdServer => "pushes-cold",
            RejectionReason::ShiftsLoadToColdServer => "shifts-to-cold",
            RejectionReason::Malformed => "malformed",
            RejectionReason::EditEmptiesPool => "empties-pool",
        }
    }

    /// The number of the rule in `docs/guard.md`; 0 for values that are not usable at all.
    pub fn rule(self) -> u8 {
        match self {
            RejectionReason::EmptiesTable
            | RejectionReason::AdmissionRateTooLow
            | RejectionReason::EditEmptiesPool => 1,
            RejectionReason::SendsToClosedServer => 3,
            RejectionReason::OverloadsColdServer | RejectionReason::ShiftsLoadToColdServer => 4,
            RejectionReason::Malformed => 0,
        }
    }
}

/// The load that a rejected command would have put on a cold server, and its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Overload {
    /// Requests per second; a share of the table's requests (0 to 1) if only cold servers can take them.
    pub load: f64,
    /// The largest acceptable load, in the unit of `load`.
    pub limit: f64,
}

/// A rejected command with the reason and its context.
#[derive(Debug, Clone, PartialEq)]
pub struct Rejection {
    /// Time of the rejection on the controller's clock.
    pub at: Duration,
    /// The rule or value check that failed.
    pub reason: RejectionReason,
    /// The rejected command, as the controller issued it.
    pub command: Command,
    /// The table that the command would have changed; for an ejection, one of the tables that list the server.
    pub table: TableId,
    /// Number of proxies assigned to the table; 0 for a malformed value or too low an admission rate.
    pub proxy_count: usize,
    /// Up to five of these proxies.
    pub first_proxies: Vec<ProxyId>,
    /// Up to five servers that the rule is about: closed, overloaded, or taken out.
    pub servers: Vec<ServerId>,
    /// For rule 4, the load and its limit; `None` for other reasons.
    pub overload: Option<Overload>,
    /// The inputs of the decision, for [`crate::replay_case`]; `None` before the guard has recorded the rejection.
    pub case: Option<RejectionCase>,
}

impl Rejection {
    /// A rejection without time, overload and case; the lists of names are cut to [`MAX_LISTED`].
    pub(crate) fn new(
        reason: RejectionReason,
        command: &Command,
        table: TableId,
        proxies: &[ProxyId],
        servers: impl Iterator<Item = ServerId>,
    ) -> Rejection {
        Rejection {
            at: Duration::ZERO,
            reason,
            command: command.clone(),
            table,
            proxy_count: proxies.len(),
            first_proxies: proxies.iter().take(MAX_LISTED).copied().collect(),
            servers: servers.take(MAX_LISTED).collect(),
            overload: None,
            case: None,
        }
    }

    pub(crate) fn with_overload(mut self, overload: Overload) -> Rejection {
        self.overload = Some(overload);
        self
    }

    /// Describes the reason in one sentence; `server_name` and `proxy_name` translate indices to names.
    pub fn describe(
        &self,
        server_name: &dyn Fn(ServerId) -> String,
        proxy_name: &dyn Fn(ProxyId) -> String,
    ) -> String {
        let table = self.table;
        let proxies = self.describe_proxies(proxy_name);
        let names: Vec<String> = self.servers.iter().map(|server| server_name(*server)).collect();
        let servers = names.join(", ");
        match self.reason {
            RejectionReason::EmptiesTable => {
                format!("table {table}{proxies} would have no server left without {servers}")
            }
            RejectionReason::AdmissionRateTooLow => {
                format!("an admission rate in table {table} would admit next to nothing")
            }
            RejectionReason::SendsToClosedServer => format!(
                "{servers} is draining, removed or was never listed, and may not be in table {table}{proxies}"
            ),
            RejectionReason::OverloadsColdServer => {
                let load = self.describe_overload();
                format!("{servers} has just started and would be sent {load}, by table {table}{proxies}")
            }
            RejectionReason::ShiftsLoadToColdServer => {
                let load = self.describe_overload();
                format!("what other servers lose in table {table}{proxies} would go to {servers}: {load}")
            }
            RejectionReason::Malformed => {
                format!("a weight or admission rate in table {table} is not a usable number")
            }
            RejectionReason::EditEmptiesPool => format!("no open server would be left without {servers}"),
        }
    }

    fn describe_proxies(&self, proxy_name: &dyn Fn(ProxyId) -> String) -> String {
        let Some(first) = self.first_proxies.first() else { return String::new() };
        format!(" ({} proxies, {} first)", self.proxy_count, proxy_name(*first))
    }

    fn describe_overload(&self) -> String {
        let describe = |overload: Overload| {
            format!("{:.1} requests/s of {:.1} that it can serve", overload.load, overload.limit)
        };
        self.overload.map(describe).unwrap_or_default()
    }

    /// Suggests a change that would have been accepted; `server_name` translates indices to names.
    pub fn suggest_safe_change(&self, server_name: &dyn Fn(ServerId) -> String) -> String {
        let first = self.servers.first().map(|server| server_name(*server)).unwrap_or_default();
        match (self.reason, self.overload) {
            (RejectionReason::EmptiesTable, _) => {
                format!("keep {first} in table {} until another open server is in it", self.table)
            }
            (RejectionReason::EditEmptiesPool, _) => format!("keep {first}, or list another server first"),
            (RejectionReason::SendsToClosedServer, _) => format!("leave {first} out"),
            (RejectionReason::AdmissionRateTooLow, _) => {
                "an admission rate of at least one request in ten minutes, or no limit".into()
            }
            (RejectionReason::OverloadsColdServer, Some(Overload { load, limit })) => {
                let factor = (limit / load).clamp(0.0, 1.0);
                format!("{first} at {factor:.2} of the requested share now, more as it warms up")
            }
            (RejectionReason::ShiftsLoadToColdServer, _) => format!("keep the others until {first} is warm"),
            _ => "a weight from 0 to 1e9".into(),
        }
    }
}
