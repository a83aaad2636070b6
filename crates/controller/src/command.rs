//! Commands: what the controller asks its caller to do.

use crate::delayed_removals::DelayedRemovals;
use crate::ejection_report::EjectionReport;
use crate::event::{ClassId, ProxyId, ServerId, TableId};
use crate::queue_shortage::QueueShortage;
use crate::retry_policy::RetryPolicy;
use std::time::Duration;

/// An action for the caller. Commands are carried out in the order in which a step returns them.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Sets one entry of a table; weight 0 removes it.
    SetEntry {
        /// The table to change.
        table: TableId,
        /// The endpoint of the entry.
        server: ServerId,
        /// The weight of the entry relative to the other entries of the table.
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
        /// The table that the proxy uses from now on.
        table: TableId,
        /// The classes that use the table, one bit per class; 0 stands for all classes.
        class_mask: u64,
    },
    /// Sets the admission rate and the retry policy of one class for the proxies of a table.
    SetAdmission {
        /// The table.
        table: TableId,
        /// The class.
        class: ClassId,
        /// Requests per second that each proxy admits, or a share of its requests; `None` admits all.
        admission_rate: Option<f64>,
        /// When the proxies retry.
        retry_policy: RetryPolicy,
    },
    /// Asks every proxy that gets a message from this step to acknowledge it.
    RequestAck {
        /// Returned in [`crate::Event::UpdateAcknowledged`].
        ack_token: u16,
        /// Whether proxies for which this step changes nothing get a message too.
        all_proxies: bool,
    },
    /// Checks an endpoint's health once.
    CheckHealth {
        /// The endpoint.
        server: ServerId,
    },
    /// Sends bytes to one other planner, or to all of them.
    ///
    /// Reserved: the controller does not issue it yet.
    SendToPeer {
        /// The planner; `None` for all.
        peer: Option<usize>,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// Starts or stops the watch of the endpoint list.
    WatchEndpoints {
        /// `true` to start the watch, `false` to stop it.
        enabled: bool,
    },
    /// Fetches the complete endpoint list once.
    ///
    /// Reserved: the controller does not issue it yet.
    FetchEndpoints,
    /// Requests one [`crate::Event::TimerFired`].
    SetTimer {
        /// Delay from now.
        after: Duration,
        /// Returned in the event.
        token: u64,
    },
    /// Reports an ejected endpoint to the operators.
    LogEjection(EjectionReport),
    /// Reports to the operators that the queue of the update channel is too small for changes.
    LogQueueShortage(QueueShortage),
    /// Reports to the operators that removals of endpoints have waited for long.
    LogDelayedRemovals(DelayedRemovals),
}
