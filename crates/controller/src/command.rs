//! What the controller asks its host to do.

use crate::ejection_report::EjectionReport;
use crate::event::{ClassId, ProxyId, ServerId, TableId};
use crate::queue_shortage::QueueShortage;
use crate::retry_policy::RetryPolicy;
use std::time::Duration;

/// What is to be done, in the order in which it is returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Sets one entry of a table; weight 0 removes it.
    SetEntry {
        /// The table to change.
        table: TableId,
        /// The endpoint of the entry.
        server: ServerId,
        /// Its weight relative to the table's other entries.
        weight: f64,
    },
    /// Removes all entries and admission limits of a table.
    ///
    /// Reserved: the controller does not issue it yet.
    ClearTable {
        /// The table to clear.
        table: TableId,
    },
    /// Ejects an endpoint from every table that connected proxies hold, or readmits it.
    ///
    /// Reserved: the controller does not issue it yet.
    EjectServer {
        /// The endpoint.
        server: ServerId,
        /// `true` to eject, `false` to readmit.
        ejected: bool,
    },
    /// Assigns a table to a proxy for some classes.
    AssignTable {
        /// The proxy.
        proxy: ProxyId,
        /// Its table from now on.
        table: TableId,
        /// One bit a class; 0 stands for all classes.
        class_mask: u64,
    },
    /// Sets what a table's proxies admit of a class, and whether they retry.
    SetAdmission {
        /// The table.
        table: TableId,
        /// The class.
        class: ClassId,
        /// Requests a second (or a share) that each proxy admits; `None` admits all.
        admission_rate: Option<f64>,
        /// When proxies retry.
        retry_policy: RetryPolicy,
    },
    /// Asks every proxy that gets this step's message to acknowledge it.
    RequestAck {
        /// Comes back in [`crate::Event::UpdateAcknowledged`].
        ack_token: u16,
        /// Whether proxies that this step does not concern get a message too.
        all_proxies: bool,
    },
    /// Checks an endpoint's health once.
    CheckHealth {
        /// The endpoint.
        server: ServerId,
    },
    /// Sends bytes to another planner, or to all.
    ///
    /// Reserved: the controller does not issue it yet.
    SendToPeer {
        /// The planner; `None` for all.
        peer: Option<usize>,
        /// What to send.
        bytes: Vec<u8>,
    },
    /// Starts or ends the watch of the endpoint list.
    WatchEndpoints {
        /// Whether changes are wanted.
        enabled: bool,
    },
    /// Fetches the complete endpoint list once.
    ///
    /// Reserved: the controller does not issue it yet.
    FetchEndpoints,
    /// Wakes the controller once with [`crate::Event::TimerFired`].
    SetTimer {
        /// Time from now.
        after: Duration,
        /// Comes back with the event.
        token: u64,
    },
    /// Tells the operators that an endpoint was ejected.
    LogEjection(EjectionReport),
    /// Tells the operators that the channel's queue is too small for changes.
    LogQueueShortage(QueueShortage),
}
