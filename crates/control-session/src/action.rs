//! Results of a step: actions for the runtime, and what was published.

use runloom_controller::{ProxyId, ServerId, TableId};
use runloom_model::table_update::{TableEdit, UpdateMessage};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// An action that the runtime carries out after a step.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A table changed. Within a step this precedes the messages that carry the change.
    UpdateTable {
        /// The table.
        table: TableId,
        /// The changes, or the complete content if [`TableEdit::replaces_table`] is set.
        edit: TableEdit,
    },
    /// Servers were ejected from all tables (true) or readmitted (false).
    UpdateEjections {
        /// By server name: whether the server was ejected.
        servers: BTreeMap<String, bool>,
    },
    /// Send one message to one proxy. Proxies that need the same changes and keep their assignment share the message;
    /// its encoding depends on the transport.
    Send {
        /// The recipient.
        proxy: ProxyId,
        /// Sequence number of the message to this proxy, starting at 1 with each connection.
        number: u64,
        /// The content.
        message: Rc<UpdateMessage>,
        /// Table entries in the message.
        entries: usize,
    },
    /// Check a server's health, and pass the result to [`crate::ControlSession::record_health_check`].
    CheckHealth {
        /// The server.
        server: ServerId,
        /// The address that the server listens on.
        address: SocketAddr,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
}

/// The changes that one step published, for the edit history.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct IssuedUpdate {
    /// Servers whose entries changed.
    pub servers: BTreeSet<String>,
    /// Recipient and sequence number of each message sent.
    pub messages: Vec<(ProxyId, u64)>,
}
