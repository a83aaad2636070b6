//! What a step asks of the runtime.

use runloom_controller::{ProxyId, ServerId, TableId};
use runloom_model::table_update::{TableEdit, UpdateMessage};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// What the runtime has to do after a step.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A table changed. It precedes the messages that carry the change.
    UpdateTable {
        /// The table.
        table: TableId,
        /// What changed of it, or its complete content.
        edit: TableEdit,
    },
    /// Servers were ejected from all tables (true) or readmitted (false).
    UpdateEjections {
        /// The servers by name.
        servers: BTreeMap<String, bool>,
    },
    /// Send one message to one proxy. Proxies on the same tables share the message; the transport chooses its
    /// encoding.
    Send {
        /// The recipient.
        proxy: ProxyId,
        /// Sequence number at this proxy, from 1 on.
        number: u64,
        /// The content.
        message: Rc<UpdateMessage>,
        /// Table entries in the message.
        entries: usize,
    },
    /// Check a server's health; the result goes to [`crate::ControlSession::record_health_check`].
    CheckHealth {
        /// The server.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
}

/// What one step published, for the edit history.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct IssuedUpdate {
    /// Servers whose entries changed.
    pub servers: BTreeSet<String>,
    /// The messages sent: recipient and sequence number.
    pub messages: Vec<(ProxyId, u64)>,
}
