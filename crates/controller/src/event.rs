//! Events: the input of the controller.

use crate::command::Command;
use crate::config::DeploymentConfig;
use crate::warm_start::WarmStartHint;
use std::time::Duration;

/// Index of an endpoint.
pub type ServerId = usize;
/// Index of a proxy.
pub type ProxyId = usize;
/// Index of a zone.
pub type ZoneId = usize;
/// Index of a kind of machine.
pub type KindId = usize;
/// Index of a traffic class.
pub type ClassId = usize;
/// Number of a table; for sliced traffic it is the number of the slice.
pub type TableId = u16;

/// How an endpoint list was obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only the records that changed.
    Delta,
    /// The complete list; an endpoint that is missing from it was removed.
    Snapshot,
    /// The complete list from before this start, possibly out of date.
    Cached,
    /// Discovery could not be queried, or the watch broke; there are no records.
    WatchFailed,
}

/// The state of an endpoint according to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// It accepts requests.
    Ready,
    /// It finishes its requests and accepts no new ones.
    Draining,
    /// It no longer exists.
    Removed,
}

/// One record of an endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// The kind of machine that it runs on.
    pub kind: KindId,
    /// Its cell, a group of machines that share some resource. The controller does not read it.
    pub cell: u64,
    /// Whether it accepts requests.
    pub state: ListedState,
    /// Its configured weight.
    pub weight: f64,
    /// When its process started; `None` for long ago.
    pub started: Option<Duration>,
}

/// The outcome of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthCheckResult {
    /// The endpoint answered.
    Success,
    /// The endpoint answered with an error.
    ErrorResponse,
    /// The endpoint rejected the check because it is busy or draining.
    Rejected,
    /// No answer arrived in time.
    Timeout,
    /// The connection could not be made or broke.
    ConnectionFailed,
    /// The result says nothing about the endpoint.
    Inconclusive,
}

/// Something that happened since the last step.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The controller discards its state and starts with a configuration.
    Start {
        /// Seed of all random choices.
        seed: u64,
        /// The deployment's settings.
        config: Box<DeploymentConfig>,
    },
    /// An endpoint list was received.
    EndpointsListed {
        /// How the list was obtained.
        update: EndpointUpdate,
        /// The records of the list.
        records: Vec<EndpointRecord>,
    },
    /// A proxy connected to this planner.
    ProxyConnected {
        /// The proxy.
        proxy: ProxyId,
        /// The zone of the proxy.
        zone: ZoneId,
        /// Requests per second that the proxy expects, over all classes.
        request_rate: f64,
        /// Whether the proxy holds no table from an earlier planner.
        has_no_table: bool,
    },
    /// A proxy's connection ended.
    ProxyDisconnected {
        /// The proxy.
        proxy: ProxyId,
    },
    /// A proxy applied an update, and all updates before it.
    UpdateAcknowledged {
        /// The proxy.
        proxy: ProxyId,
        /// The token from [`Command::RequestAck`].
        ack_token: u16,
        /// Time from sending the update until it took effect.
        elapsed: Duration,
    },
    /// Outcomes of the attempts that the proxies of one zone made at one endpoint.
    OutcomeReport {
        /// The zone of the proxies.
        zone: ZoneId,
        /// The endpoint.
        server: ServerId,
        /// Attempts that ended within the window.
        attempts: u64,
        /// Attempts out of `attempts` that failed.
        failures: u64,
        /// Mean latency of the successful attempts.
        mean_latency: Duration,
        /// The period that the report covers.
        window: Duration,
        /// The endpoint's latest load report, in the order of the configured metrics; NaN for a missing value.
        load: Vec<f64>,
    },
    /// Requests of one class that arrived at a proxy.
    ArrivalReport {
        /// The proxy.
        proxy: ProxyId,
        /// The class of the requests.
        class: ClassId,
        /// Requests that arrived within the window.
        requests: u64,
        /// Requests out of `requests` that got no answer.
        unanswered: u64,
        /// The period that the report covers.
        window: Duration,
    },
    /// Requests of one class that arrived for a slice.
    ///
    /// Reserved: the controller does not act on it yet.
    SliceArrivalReport {
        /// The slice's table.
        table: TableId,
        /// The class of the requests.
        class: ClassId,
        /// Requests that arrived within the window.
        requests: u64,
        /// Requests out of `requests` that got no answer.
        unanswered: u64,
        /// The period that the report covers.
        window: Duration,
    },
    /// This planner became, or is no longer, the owner of a slice.
    ///
    /// Reserved: the controller does not act on it yet.
    SliceOwnership {
        /// The slice's table.
        table: TableId,
        /// Whether this planner owns it.
        is_owned: bool,
    },
    /// An entry of a slice's table as the shared store holds it.
    ///
    /// Reserved: the controller does not act on it yet.
    StoredEntry {
        /// The slice's table.
        table: TableId,
        /// The endpoint.
        server: ServerId,
        /// The weight of the entry.
        weight: f64,
    },
    /// A health check ended.
    HealthChecked {
        /// The endpoint.
        server: ServerId,
        /// The outcome of the check.
        result: HealthCheckResult,
        /// Duration of the check.
        elapsed: Duration,
        /// The load report in the answer, in the order of the configured metrics.
        load: Vec<f64>,
    },
    /// State learned by an earlier process. It follows the first endpoint list; hints on endpoints that are not
    /// listed have no effect.
    WarmStart {
        /// One hint for each endpoint whose learned state differs from its configuration.
        hints: Vec<WarmStartHint>,
    },
    /// An endpoint's index was released and may be assigned to another endpoint.
    ServerReleased {
        /// The released index.
        server: ServerId,
    },
    /// A timer set by [`Command::SetTimer`] fired.
    TimerFired {
        /// The token of the command.
        token: u64,
    },
    /// A command was rejected and not carried out.
    CommandRejected {
        /// The rejected command.
        command: Command,
        /// For [`Command::SetEntry`]: the weight that stays published, `None` if the table has no such entry.
        published_weight: Option<f64>,
    },
    /// Another planner sent bytes.
    ///
    /// Reserved: the controller does not act on it yet.
    PeerMessage {
        /// The sender.
        peer: usize,
        /// The payload.
        bytes: Vec<u8>,
    },
}
