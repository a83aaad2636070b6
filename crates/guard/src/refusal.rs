//! Why an order was refused: for people in a sentence, and as data.

use crate::case::RejectionCase;
use runloom_controller::{Command, ProxyId, ServerId, TableId};
use std::time::Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// Rule 1: a table that proxies are on would have no server to pick.
    Empties,
    /// Rule 1: a level that lets in next to nothing.
    Closes,
    /// Rule 3: a line to a server that drains, is gone or was never listed.
    Drains,
    /// Rule 4: a raised line would push a cold server over.
    Pushes,
    /// Rule 4: what others lose would fall on a cold server and push it over.
    Shifts,
    /// No weight or pace at all.
    Malformed,
    /// Rule 1, of an edit: no open server would be left.
    EditEmpties,
}

impl RejectionReason {
    /// The tag in log, state, counters and `error-app-tag`.
    pub fn word(self) -> &'static str {
        match self {
            RejectionReason::Empties => "empties-table",
            RejectionReason::Closes => "closes-class",
            RejectionReason::Drains => "sends-to-draining",
            RejectionReason::Pushes => "pushes-cold",
            RejectionReason::Shifts => "shifts-to-cold",
            RejectionReason::Malformed => "malformed",
            RejectionReason::EditEmpties => "empties-pool",
        }
    }

    pub fn rule(self) -> u8 {
        match self {
            RejectionReason::Empties | RejectionReason::Closes | RejectionReason::EditEmpties => 1,
            RejectionReason::Drains => 3,
            RejectionReason::Pushes | RejectionReason::Shifts => 4,
            RejectionReason::Malformed => 0,
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Rejection {
    pub at: Duration,
    pub reason: RejectionReason,
    pub order: Command,
    pub table: TableId,
    /// How many proxies it concerns, and the first few.
    pub proxies: usize,
    pub first: Vec<ProxyId>,
    pub servers: Vec<ServerId>,
    /// Queries a second that a cold server would have been sent, and may be.
    pub load: Option<(f64, f64)>,
    /// What the verdict went by, to be judged again.
    pub case: Option<RejectionCase>,
}

/// Proxies and servers named in a refusal: enough to find them, little in a log.
const NAMED_MOST: usize = 5;

impl Rejection {
    pub fn new(
        reason: RejectionReason,
        order: &Command,
        table: TableId,
        proxies: &[ProxyId],
        servers: impl Iterator<Item = ServerId>,
    ) -> Rejection {
        Rejection {
            at: Duration::ZERO,
            reason,
            order: order.clone(),
            table,
            proxies: proxies.len(),
            first: proxies.iter().take(NAMED_MOST).copied().collect(),
            servers: servers.take(NAMED_MOST).collect(),
            load: None,
            case: None,
        }
    }

    pub fn reckoned(mut self, load: f64, bound: f64) -> Rejection {
        self.load = Some((load, bound));
        self
    }

    /// One sentence; `server` and `proxy` give names.
    pub fn sentence(&self, server: &dyn Fn(ServerId) -> String, proxy: &dyn Fn(ProxyId) -> String) -> String {
        let servers = self.servers.iter().map(|s| server(*s)).collect::<Vec<_>>().join(", ");
        let proxies = match self.first.first() {
            None => String::new(),
            Some(first) => format!(" ({} proxies, {} first)", self.proxies, proxy(*first)),
        };
        let table = self.table;
        let load =
            self.load.map(|(load, bound)| format!("{load:.1} queries/s of {bound:.1} that it can bear"));
        let load = load.unwrap_or_default();
        match self.reason {
            RejectionReason::Empties => {
                format!("table {table}{proxies} would have no server to pick without {servers}")
            }
            RejectionReason::Closes => format!("a level in table {table} would let in next to nothing"),
            RejectionReason::Drains => {
                format!(
                    "{servers} drains, is gone or was never listed, and may not be in table {table}{proxies}"
                )
            }
            RejectionReason::Pushes => {
                format!("{servers} has just started and would be sent {load}, by table {table}{proxies}")
            }
            RejectionReason::Shifts => {
                format!("what others lose in table {table}{proxies} would fall on {servers}: {load}")
            }
            RejectionReason::Malformed => format!("a weight or pace in table {table} is no usable number"),
            RejectionReason::EditEmpties => format!("no open server would be left without {servers}"),
        }
    }

    /// The change that would have been safe.
    pub fn safe(&self, server: &dyn Fn(ServerId) -> String) -> String {
        let first = self.servers.first().map(|s| server(*s)).unwrap_or_default();
        match (self.reason, self.load) {
            (RejectionReason::Empties, _) => {
                format!("keep {first} in table {} until another open server is in it", self.table)
            }
            (RejectionReason::EditEmpties, _) => format!("keep {first}, or list another server first"),
            (RejectionReason::Drains, _) => format!("leave {first} out"),
            (RejectionReason::Closes, _) => "a pace of at least one query in ten minutes, or no level".into(),
            (RejectionReason::Pushes, Some((load, bound))) => {
                format!(
                    "{first} at {:.2} of the ordered part now, more as it warms",
                    (bound / load).clamp(0.0, 1.0)
                )
            }
            (RejectionReason::Shifts, _) => format!("keep the others until {first} is warm"),
            _ => "a weight from 0 to a milliard".into(),
        }
    }
}
