//! The distributor: connected proxies, their tables, and the commands that are in force at each.

mod admission;
mod delivery;
mod publication;
mod reports;

use crate::member::Member;
use crate::pending_proxy::PendingProxy;
use crate::suspicion::{RemovedServers, Verdict};
use runloom_versioned_publisher::{Publisher, ReconnectQueue, Topic, TopicKind, UpdatePart, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Consecutive rejections of one topic's messages that are answered with a snapshot. A proxy that exceeds this is
/// disconnected, since further snapshots would not help.
pub(crate) const REJECTION_LIMIT: u32 = 8;
/// Time allowed in addition to the longest deadline, for differences between clocks and for late reports.
const REPORT_TOLERANCE: Duration = Duration::from_secs(1);

/// The controller's index of a proxy.
pub type ProxyId = usize;

/// The next message to a proxy. The caller passes its number to [`Distributor::acknowledge`] once the proxy
/// acknowledges it.
#[derive(Debug, Clone)]
pub enum OutgoingMessage {
    /// An edit of the proxy's datastore. Proxies that need the same updates share the text.
    Edit {
        /// Sequence number of the message.
        number: u64,
        /// The `<edit-config>` element.
        text: Rc<str>,
        /// Number of entries in the edit.
        entries: usize,
    },
    /// A part of a published update.
    Part {
        /// Sequence number of the message.
        number: u64,
        /// The part.
        part: UpdatePart,
    },
}

/// Result of a proxy's rejection of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectionOutcome {
    /// Token of the newest command that came into force with the messages before the rejected one; `None` if none did.
    pub newest_in_force: Option<u64>,
    /// Whether the proxy is resynced or has to be disconnected; [`Verdict::Trusted`] for an unknown proxy.
    pub verdict: Verdict,
}

/// An edit's text and its number of entries.
#[derive(Debug, Clone)]
struct EditText {
    text: Rc<str>,
    entries: usize,
}

/// Identifies the updates in an edit: topic, base version (`None` for a snapshot) and version of each.
type UpdateIds = Vec<(Topic, Option<Version>, Version)>;

/// Distributes a planner's tables to its connected proxies.
#[derive(Debug)]
pub struct Distributor {
    publisher: Publisher,
    /// The connected proxies.
    members: BTreeMap<ProxyId, Member>,
    /// Order and rate of admission of the waiting proxies.
    reconnect_queue: ReconnectQueue,
    /// Proxies that wait for admission, by name.
    waiting_proxies: BTreeMap<String, PendingProxy>,
    /// Proxies for which there may be a message.
    ready_proxies: BTreeSet<ProxyId>,
    /// Proxy and token of commands that came into force without an acknowledgement, as there was nothing to send.
    completed_commands: Vec<(ProxyId, u64)>,
    /// Edits since the last change of a table or ejection, shared by proxies that need the same updates.
    shared_edits: BTreeMap<UpdateIds, EditText>,
    /// Servers removed from each table.
    removed_servers: BTreeMap<u16, RemovedServers>,
    /// Whether subsets are published, which starts once a proxy that needs them connects.
    publishes_subsets: bool,
    /// Time after a proxy's acknowledgement in which its reports may still contain requests that were in flight: the
    /// longest request deadline plus [`REPORT_TOLERANCE`]. It is independent of the grace period of drains.
    report_grace_period: Duration,
    /// Resyncs of proxies whose reports contradicted their acknowledgements.
    resync_count: u64,
}

impl Distributor {
    /// Creates a distributor without tables. `epoch` has to increase with each start. A drain has to reach all proxies
    /// within `drain_grace_period`. `longest_deadline` is the longest request deadline of all classes.
    pub fn new(epoch: u64, drain_grace_period: Duration, longest_deadline: Duration) -> Distributor {
        Distributor {
            publisher: Publisher::new(epoch),
            members: BTreeMap::new(),
            reconnect_queue: ReconnectQueue::new(drain_grace_period),
            waiting_proxies: BTreeMap::new(),
            ready_proxies: BTreeSet::new(),
            completed_commands: vec![],
            shared_edits: BTreeMap::new(),
            removed_servers: BTreeMap::new(),
            publishes_subsets: false,
            report_grace_period: longest_deadline + REPORT_TOLERANCE,
            resync_count: 0,
        }
    }

    /// Starts over with other settings and no tables. Proxies stay connected and keep what they hold, but are assigned
    /// to no table until the caller assigns them again.
    pub fn restart(&mut self, epoch: u64, drain_grace_period: Duration, longest_deadline: Duration) {
        self.publisher.restart(epoch);
        self.reconnect_queue.set_grace_period(drain_grace_period);
        self.report_grace_period = longest_deadline + REPORT_TOLERANCE;
        self.shared_edits.clear();
        self.removed_servers.clear();
        self.ready_proxies.clear();
        self.completed_commands.clear();
        for member in self.members.values_mut() {
            member.restart();
        }
    }

    /// The publisher, for its metrics and overdue messages.
    pub fn publisher(&self) -> &Publisher {
        &self.publisher
    }

    /// Number of resyncs of proxies that did not apply what they acknowledged.
    pub fn resync_count(&self) -> u64 {
        self.resync_count
    }

    /// Connects an admitted proxy. This ends an earlier session of the same proxy.
    pub fn connect(&mut self, proxy: ProxyId, pending: PendingProxy) {
        let session = self.publisher.connect(&pending.name);
        let member = Member::new(proxy, pending, session);
        if member.table_kind() == TopicKind::Subset && !self.publishes_subsets {
            self.publishes_subsets = true;
            for table in self.publisher.table_numbers(TopicKind::Weights) {
                self.publish_subset(table);
            }
        }
        self.members.insert(proxy, member);
    }

    /// Disconnects a proxy and discards its state.
    pub fn disconnect(&mut self, proxy: ProxyId) {
        self.ready_proxies.remove(&proxy);
        if let Some(member) = self.members.remove(&proxy) {
            self.publisher.disconnect(&member.name, member.session);
        }
    }

    /// Takes the proxies for which [`Distributor::next_message`] may have a message.
    pub fn take_ready(&mut self) -> Vec<ProxyId> {
        std::mem::take(&mut self.ready_proxies).into_iter().collect()
    }

    /// Takes the proxy and token of each command that came into force without an acknowledgement.
    pub fn take_completed(&mut self) -> Vec<(ProxyId, u64)> {
        std::mem::take(&mut self.completed_commands)
    }
}
