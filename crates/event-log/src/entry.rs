//! Entries of the log. They hold all inputs of a control session, so that a replay can make the same calls.
//!
//! The stored form (postcard) depends on the order of fields and variants; the exported form (JSON) on the names in
//! `serde(rename)`. Kinds of entries are only ever added, after the others.

use serde::{Deserialize, Serialize};

/// Version of what is written.
pub const VERSION: u32 = 3;
/// Oldest version that is read. It has no outcomes by class.
pub const OLDEST_VERSION: u32 = 1;

/// A server as it was listed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedServer {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it finishes its requests and takes no more.
    #[serde(rename = "draining")]
    pub is_draining: bool,
    /// Its weight.
    pub weight: f64,
    /// When its process started, in milliseconds since 1970.
    #[serde(rename = "started")]
    pub started_ms: Option<u64>,
}

/// Outcomes of a proxy's attempts at one server within a report's window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// The server.
    pub server: String,
    /// Attempts that ended.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Those of them that failed.
    #[serde(rename = "failed")]
    pub failures: u64,
    /// Mean latency of the successful ones, in microseconds.
    #[serde(rename = "took")]
    pub mean_latency_us: u64,
    /// Successful ones within the latency objective of their class.
    #[serde(rename = "in_time")]
    pub within_objective: u64,
    /// The server's newest load report: the bits of each value, NaN for a missing one.
    #[serde(rename = "load")]
    pub load_bits: Vec<u64>,
}

/// Requests of one class that arrived at a proxy within a report's window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedArrivals {
    /// The class.
    pub class: String,
    /// Requests that arrived.
    #[serde(rename = "queries")]
    pub requests: u64,
    /// Those of them that got no answer.
    pub unanswered: u64,
}

/// Outcomes of a proxy's attempts at one server with requests of one class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedClassOutcome {
    /// The server.
    pub server: String,
    /// The class.
    pub class: String,
    /// Attempts that ended.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Successful ones within the class's latency objective.
    #[serde(rename = "in_time")]
    pub within_objective: u64,
    /// Successful ones by latency: the number of bits of their microseconds, and how many they are.
    #[serde(rename = "took")]
    pub latency_buckets: Vec<(u8, u64)>,
}

/// A message that was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentUpdate {
    /// The recipient.
    pub proxy: String,
    /// Sequence number at this proxy.
    pub number: u64,
    /// Index of its text among the step's texts.
    #[serde(rename = "text")]
    pub text_index: u32,
    /// Table entries in it.
    #[serde(rename = "lines")]
    pub entries: u32,
}

/// What an earlier process learned of a server. Stored and exported as a tuple.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u64, u64)", into = "(String, u64, u64)")]
pub struct RecordedHint {
    /// The server.
    pub server: String,
    /// Bits of its speed factor.
    pub speed_factor_bits: u64,
    /// Bits of its suspicion.
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

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RecordedEvent {
    /// The planner started.
    #[serde(rename = "Start")]
    PlannerStarted {
        /// The program's build.
        build: String,
        /// The planner's name.
        planner: String,
        /// Seed of the controller.
        seed: u64,
        /// Wall clock at time zero, in milliseconds since 1970.
        #[serde(rename = "epoch")]
        epoch_ms: u64,
        /// The `<fleet>` element.
        fleet: String,
    },
    /// An endpoint list.
    #[serde(rename = "Listed")]
    EndpointsListed {
        /// It is the list as held before the start, and not a change.
        #[serde(rename = "whole")]
        is_complete: bool,
        /// Servers that are new or changed.
        servers: Vec<RecordedServer>,
        /// Names of servers that were removed.
        #[serde(rename = "gone")]
        removed: Vec<String>,
    },
    /// The fleet was edited.
    #[serde(rename = "Refit")]
    Reconfigured {
        /// The new `<fleet>` element.
        fleet: String,
        /// Seed of the controller, if it starts over.
        seed: u64,
    },
    /// A proxy connected.
    #[serde(rename = "Joined")]
    ProxyConnected {
        /// The proxy.
        proxy: String,
        /// Its zone.
        zone: String,
        /// Requests a second that it expects.
        #[serde(rename = "rate")]
        request_rate: f64,
        /// It holds no table of an earlier planner.
        #[serde(rename = "fresh")]
        has_no_table: bool,
    },
    /// A proxy's connection ended.
    #[serde(rename = "Left")]
    ProxyDisconnected {
        /// The proxy.
        proxy: String,
    },
    /// A proxy acknowledged a message and all before it.
    #[serde(rename = "Applied")]
    UpdateAcknowledged {
        /// The proxy.
        proxy: String,
        /// The message.
        number: u64,
    },
    /// A proxy's report.
    Report {
        /// The proxy.
        proxy: String,
        /// The time that it covers, in microseconds.
        #[serde(rename = "span")]
        window_us: u64,
        /// Outcomes by server.
        #[serde(rename = "met")]
        outcomes: Vec<RecordedOutcome>,
        /// Arrivals by class.
        #[serde(rename = "came")]
        arrivals: Vec<RecordedArrivals>,
    },
    /// A health check ended.
    #[serde(rename = "Probed")]
    HealthChecked {
        /// The server.
        server: String,
        /// Number of the result, in the order of `HealthCheckResult`.
        #[serde(rename = "found")]
        result: u8,
        /// How long it took, in microseconds.
        #[serde(rename = "after")]
        elapsed_us: u64,
        /// The load report that came with the answer: the bits of each value.
        #[serde(rename = "load")]
        load_bits: Vec<u64>,
    },
    /// An operator's edit is in force.
    #[serde(rename = "Edit")]
    EditInForce {
        /// The edit.
        id: String,
        /// Who made it.
        #[serde(rename = "who")]
        author: String,
    },
    /// The controller was asked, and what it commanded. A step without commands counts too: it moves the
    /// controller's clock.
    #[serde(rename = "Turn")]
    Step {
        /// How long it took, in microseconds.
        #[serde(rename = "took")]
        duration_us: u64,
        /// Texts of the messages, each once.
        texts: Vec<String>,
        /// The messages sent.
        sent: Vec<SentUpdate>,
        /// Servers whose health is checked.
        #[serde(rename = "probes")]
        health_checks: Vec<String>,
        /// Lines of the log.
        log: Vec<String>,
        /// Commands that the guard rejected, with the reason.
        #[serde(rename = "refused")]
        rejections: Vec<String>,
    },
    /// Entries were lost here, since the disk was full or too slow.
    #[serde(rename = "Lost")]
    EntriesLost {
        /// How many; 0 if that is not known.
        entries: u64,
    },
    /// Outcomes of a report by class. The controller does not use them.
    #[serde(rename = "Outcomes")]
    ClassOutcomes {
        /// The proxy.
        proxy: String,
        /// Outcomes by server and class.
        #[serde(rename = "met")]
        outcomes: Vec<RecordedClassOutcome>,
    },
    /// What an earlier process learned.
    #[serde(rename = "Remembered")]
    WarmStart {
        /// One hint for each server.
        hints: Vec<RecordedHint>,
    },
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Microseconds since the planner's start.
    #[serde(rename = "at")]
    pub at_us: u64,
    /// What happened.
    #[serde(rename = "what")]
    pub event: RecordedEvent,
}

impl RecordedEvent {
    /// The kind of the event, as stored in a column and shown to operators.
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

    /// The planner, proxy, server or edit that the event is about; empty for none.
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
