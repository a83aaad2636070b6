//! What the controller is told.

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
/// Number of a table; with slices it is the slice's number.
pub type TableId = u16;

/// How an endpoint list was obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed records only.
    Delta,
    /// The complete list; an endpoint that is not on it was removed.
    Snapshot,
    /// The complete list as held before this start, possibly out of date.
    Cached,
    /// Discovery could not be asked, or the watch broke; there are no records.
    WatchFailed,
}

/// What the list says of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes no more.
    Draining,
    /// It is no longer there.
    Removed,
}

/// One record of an endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its cell, a group of machines that share something. The controller does not read it.
    pub cell: u64,
    /// Whether it takes requests.
    pub state: ListedState,
    /// Its configured weight.
    pub weight: f64,
    /// When its process started; `None` for long ago.
    pub started: Option<Duration>,
}

/// What came of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthCheckResult {
    /// The endpoint answered.
    Success,
    /// It answered with an error.
    ErrorResponse,
    /// It refused to be checked, being busy or draining.
    Rejected,
    /// No answer came in time.
    Timeout,
    /// The connection could not be made or broke.
    ConnectionFailed,
    /// The check ended in a way that says nothing about the endpoint.
    Inconclusive,
}

/// What happened since the last step.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The controller starts over with a configuration.
    Start {
        /// Seed of all random choices.
        seed: u64,
        /// The deployment's settings.
        config: Box<DeploymentConfig>,
    },
    /// An endpoint list came.
    EndpointsListed {
        /// How it was obtained.
        update: EndpointUpdate,
        /// Its records.
        records: Vec<EndpointRecord>,
    },
    /// A proxy connected to this planner.
    ProxyConnected {
        /// The proxy.
        proxy: ProxyId,
        /// Its zone.
        zone: ZoneId,
        /// Requests a second that it expects, all classes together.
        request_rate: f64,
        /// It holds no table of an earlier planner.
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
        /// The token of [`Command::RequestAck`].
        ack_token: u16,
        /// Time from the update's departure to its effect.
        elapsed: Duration,
    },
    /// What came of a zone's attempts at one endpoint.
    OutcomeReport {
        /// The zone of the proxies.
        zone: ZoneId,
        /// The endpoint.
        server: ServerId,
        /// Attempts that ended within the window.
        attempts: u64,
        /// Those of them that failed.
        failures: u64,
        /// Mean latency of the successful ones.
        mean_latency: Duration,
        /// The time that the report covers.
        window: Duration,
        /// The endpoint's newest load report, in the order of the configured metrics; NaN where a value is missing.
        load: Vec<f64>,
    },
    /// Requests of one class that arrived at a proxy.
    ArrivalReport {
        /// The proxy.
        proxy: ProxyId,
        /// Their class.
        class: ClassId,
        /// Requests within the window.
        requests: u64,
        /// Those of them that got no answer.
        unanswered: u64,
        /// The time that the report covers.
        window: Duration,
    },
    /// Requests of one class that arrived for a slice.
    ///
    /// Reserved: the controller does not act on it yet.
    SliceArrivalReport {
        /// The slice's table.
        table: TableId,
        /// Their class.
        class: ClassId,
        /// Requests within the window.
        requests: u64,
        /// Those of them that got no answer.
        unanswered: u64,
        /// The time that the report covers.
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
        /// Its weight.
        weight: f64,
    },
    /// A health check ended.
    HealthChecked {
        /// The endpoint.
        server: ServerId,
        /// What came of it.
        result: HealthCheckResult,
        /// How long it took.
        elapsed: Duration,
        /// The load report that came with the answer.
        load: Vec<f64>,
    },
    /// What an earlier process learned. It follows the first endpoint list and says nothing of endpoints that are
    /// not on it.
    WarmStart {
        /// One hint for each endpoint that is not as configured.
        hints: Vec<WarmStartHint>,
    },
    /// An endpoint's index was released and may be assigned to another endpoint.
    ServerReleased {
        /// The index.
        server: ServerId,
    },
    /// A timer set by [`Command::SetTimer`] fired.
    TimerFired {
        /// The command's token.
        token: u64,
    },
    /// A command was not carried out.
    CommandRejected {
        /// The command.
        command: Command,
        /// For [`Command::SetEntry`]: the weight that stays published.
        published_weight: Option<f64>,
    },
    /// Bytes came from another planner.
    ///
    /// Reserved: the controller does not act on it yet.
    PeerMessage {
        /// The planner.
        peer: usize,
        /// What it sent.
        bytes: Vec<u8>,
    },
}
