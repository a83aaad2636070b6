//! The distributor: connected proxies, their tables, and the commands in force at each.

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

/// A proxy that cannot use this many messages in a row, each followed by a snapshot, never will.
pub(crate) const REJECTION_LIMIT: u32 = 8;
/// Time allowed on top of the longest deadline for clocks that differ, and for reports that are late.
const REPORT_TOLERANCE: Duration = Duration::from_secs(1);

/// A proxy's number, as the controller has it.
pub type ProxyId = usize;

/// What is sent to a proxy next. Its number is acknowledged to [`Distributor::acknowledge`].
#[derive(Debug, Clone)]
pub enum OutgoingMessage {
    /// An edit of the proxy's datastore. Proxies at the same position share the text.
    Edit {
        /// The message's number.
        number: u64,
        /// The `<edit-config>`.
        text: Rc<str>,
        /// Entries that it changes.
        entries: usize,
    },
    /// A part of a published update.
    Part {
        /// The message's number.
        number: u64,
        /// The part.
        part: UpdatePart,
    },
}

/// What came of a message that a proxy could not use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectionOutcome {
    /// Token of the newest command that came in force by the messages before it, if one did.
    pub newest_in_force: Option<u64>,
    /// What is to be done about the proxy.
    pub verdict: Verdict,
}

/// An edit's text, and how many entries it changes.
#[derive(Debug, Clone)]
struct EditText {
    text: Rc<str>,
    entries: usize,
}

/// The updates that an edit consists of, each with its topic, base version and version.
type UpdateIds = Vec<(Topic, Option<Version>, Version)>;

/// Distributes one planner's tables.
#[derive(Debug)]
pub struct Distributor {
    publisher: Publisher,
    members: BTreeMap<ProxyId, Member>,
    reconnect_queue: ReconnectQueue,
    /// Proxies that wait to be admitted, by name.
    waiting: BTreeMap<String, PendingProxy>,
    /// Proxies that may have something to receive.
    ready: BTreeSet<ProxyId>,
    /// Commands that came in force without an acknowledgement, since there was nothing to send.
    completed: Vec<(ProxyId, u64)>,
    /// Edits since the tables changed last, for proxies at the same position.
    shared_edits: BTreeMap<UpdateIds, EditText>,
    /// By table.
    removed_servers: BTreeMap<u16, RemovedServers>,
    /// Whether subsets are created: not until a proxy subscribes to them.
    publishes_subsets: bool,
    /// The longest time after which a request may end that was in flight when a table changed.
    grace_period: Duration,
    resync_count: u64,
}

impl Distributor {
    /// A distributor without tables. `epoch` rises with each start; a drain has to reach all proxies within
    /// `drain_grace_period`; `longest_deadline` is that of all classes.
    pub fn new(epoch: u64, drain_grace_period: Duration, longest_deadline: Duration) -> Distributor {
        Distributor {
            publisher: Publisher::new(epoch),
            members: BTreeMap::new(),
            reconnect_queue: ReconnectQueue::new(drain_grace_period),
            waiting: BTreeMap::new(),
            ready: BTreeSet::new(),
            completed: vec![],
            shared_edits: BTreeMap::new(),
            removed_servers: BTreeMap::new(),
            publishes_subsets: false,
            grace_period: longest_deadline + REPORT_TOLERANCE,
            resync_count: 0,
        }
    }

    /// Starts over with other settings. Connected proxies stay so, keep what they hold, and have none of this
    /// planner's tables until they are assigned to them again.
    pub fn restart(&mut self, epoch: u64, drain_grace_period: Duration, longest_deadline: Duration) {
        self.publisher.restart(epoch);
        self.reconnect_queue.set_grace_period(drain_grace_period);
        self.grace_period = longest_deadline + REPORT_TOLERANCE;
        self.shared_edits.clear();
        self.removed_servers.clear();
        self.ready.clear();
        self.completed.clear();
        for member in self.members.values_mut() {
            member.restart();
        }
    }

    /// The publisher, for its figures.
    pub fn publisher(&self) -> &Publisher {
        &self.publisher
    }

    /// Resyncs of proxies that did not apply what they acknowledged.
    pub fn resync_count(&self) -> u64 {
        self.resync_count
    }

    /// Connects an admitted proxy; an earlier session of it is over.
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

    /// Disconnects a proxy.
    pub fn disconnect(&mut self, proxy: ProxyId) {
        self.ready.remove(&proxy);
        if let Some(member) = self.members.remove(&proxy) {
            self.publisher.disconnect(&member.name, member.session);
        }
    }

    /// Takes the proxies that may have something to receive.
    pub fn take_ready(&mut self) -> Vec<ProxyId> {
        std::mem::take(&mut self.ready).into_iter().collect()
    }

    /// Takes commands, by proxy and token, that came in force without an acknowledgement.
    pub fn take_completed(&mut self) -> Vec<(ProxyId, u64)> {
        std::mem::take(&mut self.completed)
    }
}
