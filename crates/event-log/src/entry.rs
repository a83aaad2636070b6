//! Entries of the log. They hold all inputs of a control session, so that a replay can make the same calls.
//!
//! The stored form (postcard) depends on the order of fields and variants, the exported form (JSON) on the names in
//! `serde(rename)`. New kinds of entries are only ever added after the existing ones.

use serde::{Deserialize, Serialize};

/// Version of newly written segments.
pub const VERSION: u32 = 3;
/// Oldest version that is read. It has neither [`RecordedEvent::ClassOutcomes`] nor the kinds after it.
pub const OLDEST_VERSION: u32 = 1;

/// A server with its values in an endpoint list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedServer {
    /// Name in the endpoint list.
    pub name: String,
    /// Address that it listens on.
    pub address: String,
    /// Name of its zone.
    pub zone: String,
    /// Kind of machine that it runs on.
    pub kind: String,
    /// Number of its cell, a group of machines that share some resource.
    pub cell: u64,
    /// Whether it finishes its current requests and must get no new ones.
    #[serde(rename = "draining")]
    pub is_draining: bool,
    /// Configured share of requests relative to other servers.
    pub weight: f64,
    /// Start time of its process, in milliseconds since 1970; `None` if the list does not have it.
    #[serde(rename = "started")]
    pub started_ms: Option<u64>,
}

/// Outcomes of a proxy's attempts at one server, within a report's window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// Name of the server.
    pub server: String,
    /// Number of attempts that ended.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Number of those that failed.
    #[serde(rename = "failed")]
    pub failures: u64,
    /// Mean latency of the successful attempts, in microseconds.
    #[serde(rename = "took")]
    pub mean_latency_us: u64,
    /// Number of successful attempts within the latency objective of their class.
    #[serde(rename = "in_time")]
    pub within_objective: u64,
    /// Newest load report of the server: the IEEE 754 bits of each value, NaN for a missing one.
    #[serde(rename = "load")]
    pub load_bits: Vec<u64>,
}

/// Requests of one traffic class that arrived at a proxy, within a report's window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedArrivals {
    /// Name of the class.
    pub class: String,
    /// Number of requests that arrived.
    #[serde(rename = "queries")]
    pub requests: u64,
    /// Number of those that got no answer.
    pub unanswered: u64,
}

/// Outcomes of a proxy's attempts at one server with requests of one traffic class, within a report's window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedClassOutcome {
    /// Name of the server.
    pub server: String,
    /// Name of the class.
    pub class: String,
    /// Number of attempts that ended.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Number of successful attempts within the class's latency objective.
    #[serde(rename = "in_time")]
    pub within_objective: u64,
    /// Histogram of the successful attempts by latency: the bit length of the latency in microseconds, and the number
    /// of attempts.
    #[serde(rename = "took")]
    pub latency_buckets: Vec<(u8, u64)>,
}

/// A message with table updates that was sent to a proxy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentUpdate {
    /// Name of the proxy that it was sent to.
    pub proxy: String,
    /// Sequence number among the messages to this proxy.
    pub number: u64,
    /// Index of its text in the `texts` of the [`RecordedEvent::Step`].
    #[serde(rename = "text")]
    pub text_index: u32,
    /// Number of table entries that it contains.
    #[serde(rename = "lines")]
    pub entries: u32,
}

/// Warm-start hint: what an earlier planner process learned about a server. Stored and exported as a tuple.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u64, u64)", into = "(String, u64, u64)")]
pub struct RecordedHint {
    /// Name of the server.
    pub server: String,
    /// IEEE 754 bits of its speed factor.
    pub speed_factor_bits: u64,
    /// IEEE 754 bits of its suspicion.
    pub suspicion_bits: u64,
}

impl From<(String, u64, u64)> for RecordedHint {
    fn from((server, speed_factor_bits, suspicion_bits): (String, u64, u64)) -> RecordedHint {
        RecordedHint { server, speed_factor_bits, suspicion_bits }
    }
}

impl From<RecordedHint> for (String, u64, u64) {
    fn from(hint: RecordedHint) -> (String, u64, u64) {
        (hint.server, hint.speed_factor_bits, hint.suspicion_bits)
    }
}

/// An input of the control session, a step of the controller, or an event that a replay of the session does not use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RecordedEvent {
    /// The planner started.
    #[serde(rename = "Start")]
    PlannerStarted {
        /// Build of the program; another build may decide differently on the same inputs.
        build: String,
        /// Name of the planner.
        planner: String,
        /// Seed of the controller's random numbers.
        seed: u64,
        /// Wall-clock time that [`Entry::at_us`] counts from, in milliseconds since 1970.
        #[serde(rename = "epoch")]
        epoch_ms: u64,
        /// The configuration, as a `<fleet>` element.
        fleet: String,
    },
    /// An endpoint list was applied.
    #[serde(rename = "Listed")]
    EndpointsListed {
        /// Whether it is a complete list, such as the one restored at the start, and not a delta.
        #[serde(rename = "whole")]
        is_complete: bool,
        /// Servers that are new or changed.
        servers: Vec<RecordedServer>,
        /// Names of servers that were removed.
        #[serde(rename = "gone")]
        removed: Vec<String>,
    },
    /// An operator changed the fleet configuration.
    #[serde(rename = "Refit")]
    Reconfigured {
        /// The new configuration, as a `<fleet>` element.
        fleet: String,
        /// Seed of the controller's random numbers, if the change makes it start over.
        seed: u64,
    },
    /// A proxy connected.
    #[serde(rename = "Joined")]
    ProxyConnected {
        /// Name of the proxy.
        proxy: String,
        /// Name of its zone.
        zone: String,
        /// Requests per second that it expects.
        #[serde(rename = "rate")]
        request_rate: f64,
        /// Whether it holds no table from an earlier planner.
        #[serde(rename = "fresh")]
        has_no_table: bool,
    },
    /// A proxy's connection ended.
    #[serde(rename = "Left")]
    ProxyDisconnected {
        /// Name of the proxy.
        proxy: String,
    },
    /// A proxy acknowledged a message and all before it.
    #[serde(rename = "Applied")]
    UpdateAcknowledged {
        /// Name of the proxy.
        proxy: String,
        /// Sequence number of the message, as in [`SentUpdate::number`].
        number: u64,
    },
    /// A proxy sent an outcome report.
    Report {
        /// Name of the proxy.
        proxy: String,
        /// Length of the reported window, in microseconds.
        #[serde(rename = "span")]
        window_us: u64,
        /// Outcomes of attempts, by server.
        #[serde(rename = "met")]
        outcomes: Vec<RecordedOutcome>,
        /// Arrived requests, by class.
        #[serde(rename = "came")]
        arrivals: Vec<RecordedArrivals>,
    },
    /// A health check ended.
    #[serde(rename = "Probed")]
    HealthChecked {
        /// Name of the server.
        server: String,
        /// Result, as its index in the order of the controller's `HealthCheckResult`.
        #[serde(rename = "found")]
        result: u8,
        /// Duration of the health check, in microseconds.
        #[serde(rename = "after")]
        elapsed_us: u64,
        /// Load report that came with the answer: the IEEE 754 bits of each value.
        #[serde(rename = "load")]
        load_bits: Vec<u64>,
    },
    /// An operator's edit came into force.
    #[serde(rename = "Edit")]
    EditInForce {
        /// Id of the edit.
        id: String,
        /// User that made the edit.
        #[serde(rename = "who")]
        author: String,
    },
    /// The controller ran one step, with these results. Steps without commands are recorded too, since they advance the
    /// controller's clock.
    #[serde(rename = "Turn")]
    Step {
        /// Duration of the step, in microseconds.
        #[serde(rename = "took")]
        duration_us: u64,
        /// Distinct texts of the messages in `sent`.
        texts: Vec<String>,
        /// Messages that were sent.
        sent: Vec<SentUpdate>,
        /// Names of the servers whose health check was started.
        #[serde(rename = "probes")]
        health_checks: Vec<String>,
        /// Lines that the controller wrote to its log.
        log: Vec<String>,
        /// Commands that the guard rejected, with their reasons, as text.
        #[serde(rename = "refused")]
        rejections: Vec<String>,
    },
    /// Entries are missing here: the disk failed or was too slow, they were too large or are damaged, or their
    /// segment is missing.
    #[serde(rename = "Lost")]
    EntriesLost {
        /// Number of lost entries; 0 if unknown.
        entries: u64,
    },
    /// Outcomes by class from a proxy's report. The controller does not use them.
    #[serde(rename = "Outcomes")]
    ClassOutcomes {
        /// Name of the proxy.
        proxy: String,
        /// Outcomes of attempts, by server and class.
        #[serde(rename = "met")]
        outcomes: Vec<RecordedClassOutcome>,
    },
    /// The control session received hints from an earlier planner process.
    #[serde(rename = "Remembered")]
    WarmStart {
        /// Hints for the servers that anything is known about.
        hints: Vec<RecordedHint>,
    },
}

/// One entry of the log: an event and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Microseconds since the planner's start.
    #[serde(rename = "at")]
    pub at_us: u64,
    /// The event.
    #[serde(rename = "what")]
    pub event: RecordedEvent,
}

impl RecordedEvent {
    /// Returns the kind of the event, as stored in columnar files and shown to operators.
    pub fn kind(&self) -> &'static str {
        match self {
            RecordedEvent::PlannerStarted { .. } => "start",
            RecordedEvent::EndpointsListed { .. } => "listed",
            RecordedEvent::Reconfigured { .. } => "refit",
            RecordedEvent::ProxyConnected { .. } => "joined",
            RecordedEvent::ProxyDisconnected { .. } => "left",
            RecordedEvent::UpdateAcknowledged { .. } => "applied",
            RecordedEvent::Report { .. } => "report",
            RecordedEvent::HealthChecked { .. } => "probed",
            RecordedEvent::EditInForce { .. } => "edit",
            RecordedEvent::Step { .. } => "turn",
            RecordedEvent::EntriesLost { .. } => "lost",
            RecordedEvent::ClassOutcomes { .. } => "outcomes",
            RecordedEvent::WarmStart { .. } => "remembered",
        }
    }

    /// Returns the planner, proxy, server or edit that the event is about; empty if there is none.
    pub fn name(&self) -> &str {
        match self {
            RecordedEvent::PlannerStarted { planner, .. } => planner,
            RecordedEvent::ProxyConnected { proxy, .. }
            | RecordedEvent::ProxyDisconnected { proxy }
            | RecordedEvent::UpdateAcknowledged { proxy, .. }
            | RecordedEvent::ClassOutcomes { proxy, .. }
            | RecordedEvent::Report { proxy, .. } => proxy,
            RecordedEvent::HealthChecked { server, .. } => server,
            RecordedEvent::EditInForce { id, .. } => id,
            _ => "",
        }
    }
}
