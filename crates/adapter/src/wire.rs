//! The simulator's wire format as serde types: the only module that knows its words.

use runloom_controller::RetryPolicy;
use serde::{Deserialize, Serialize, Serializer};
use serde_json::Value;

/// One line of input.
#[derive(Debug, Deserialize)]
#[serde(tag = "verb")]
pub enum Input {
    /// A batch of events begins.
    #[serde(rename = "FRAME")]
    BatchStart(BatchStart),
    /// The batch is complete and is to be answered.
    #[serde(rename = "COMMIT")]
    BatchEnd,
    /// A planner starts, or starts over.
    #[serde(rename = "HELLO")]
    PlannerStarted(PlannerStarted),
    /// A planner ends.
    #[serde(rename = "TEARDOWN")]
    PlannerStopped { planner: u64 },
    /// An endpoint list.
    #[serde(rename = "DISCOVERY")]
    EndpointList(EndpointList),
    /// Arrivals at a proxy.
    #[serde(rename = "TRAFFIC")]
    Arrivals(Arrivals),
    /// Arrivals for a slice.
    #[serde(rename = "SLICE_LOAD")]
    SliceArrivals(SliceArrivals),
    /// A message of another planner.
    #[serde(rename = "PEER")]
    PeerMessage(PeerMessage),
    /// A timer fired.
    #[serde(rename = "TIMER")]
    TimerFired { planner: u64, token: u64 },
    /// A proxy applied an update.
    #[serde(rename = "TOOK_EFFECT")]
    UpdateAcknowledged(UpdateAcknowledged),
    /// An entry of the shared store.
    #[serde(rename = "STORED_LINE")]
    StoredEntry(StoredEntry),
    /// A health check ended.
    #[serde(rename = "ECHO")]
    HealthChecked(HealthChecked),
    /// A slice was given to the planner, or taken from it.
    #[serde(rename = "GIVEN")]
    SliceOwnership(SliceOwnership),
    /// A proxy disconnected.
    #[serde(rename = "LOST_STREAM")]
    ProxyDisconnected {
        planner: u64,
        #[serde(rename = "edge")]
        proxy: u32,
    },
    /// Outcomes of a zone's attempts at an endpoint.
    #[serde(rename = "ROUNDUP")]
    OutcomeReport(OutcomeReport),
    /// A proxy connected.
    #[serde(rename = "JOINED")]
    ProxyConnected(ProxyConnected),
    /// A kind of event that this version does not know.
    #[serde(other)]
    Unknown,
}

impl Input {
    /// The planner that an event is for.
    pub fn planner(&self) -> Option<u64> {
        Some(match self {
            Input::BatchStart(_) | Input::BatchEnd | Input::Unknown => return None,
            Input::PlannerStarted(input) => input.planner,
            Input::EndpointList(input) => input.planner,
            Input::Arrivals(input) => input.planner,
            Input::SliceArrivals(input) => input.planner,
            Input::PeerMessage(input) => input.planner,
            Input::UpdateAcknowledged(input) => input.planner,
            Input::StoredEntry(input) => input.planner,
            Input::HealthChecked(input) => input.planner,
            Input::SliceOwnership(input) => input.planner,
            Input::OutcomeReport(input) => input.planner,
            Input::ProxyConnected(input) => input.planner,
            Input::PlannerStopped { planner }
            | Input::TimerFired { planner, .. }
            | Input::ProxyDisconnected { planner, .. } => *planner,
        })
    }
}

/// The start of a batch.
#[derive(Debug, Deserialize)]
pub struct BatchStart {
    #[serde(rename = "clockS")]
    pub clock_seconds: f64,
}

/// The start of a planner.
#[derive(Debug, Deserialize)]
pub struct PlannerStarted {
    pub planner: u64,
    #[serde(rename = "rngSeed")]
    pub seed: Option<u64>,
    #[serde(rename = "facts")]
    pub settings: Option<Value>,
}

/// An endpoint list.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    pub planner: u64,
    #[serde(rename = "how")]
    pub source: ListSource,
    pub hosts: Option<Vec<Host>>,
}

/// How an endpoint list was obtained.
#[derive(Debug, Deserialize)]
pub enum ListSource {
    #[serde(rename = "Partial")]
    Delta,
    #[serde(rename = "Complete")]
    Snapshot,
    #[serde(rename = "Persisted")]
    Cached,
    #[serde(other)]
    Failed,
}

/// One entry of an endpoint list.
#[derive(Debug, Deserialize)]
pub struct Host {
    pub server: u64,
    #[serde(rename = "az")]
    pub zone: Option<String>,
    #[serde(rename = "sku")]
    pub kind: Option<String>,
    #[serde(rename = "group")]
    pub cell: Option<u64>,
    #[serde(rename = "mode")]
    pub state: Option<HostState>,
    #[serde(rename = "share")]
    pub weight: Option<f64>,
    #[serde(rename = "lastStartS")]
    pub started_seconds: Option<f64>,
}

/// What a list says of an endpoint.
#[derive(Debug, Deserialize)]
pub enum HostState {
    #[serde(rename = "DRAINING")]
    Draining,
    #[serde(rename = "DELETED")]
    Removed,
    #[serde(other)]
    Ready,
}

/// Arrivals at a proxy.
#[derive(Debug, Deserialize)]
pub struct Arrivals {
    pub planner: u64,
    #[serde(rename = "edge")]
    pub proxy: u32,
    #[serde(rename = "n")]
    pub requests: Option<u64>,
    #[serde(rename = "coversS")]
    pub window_seconds: Option<f64>,
    #[serde(rename = "tierClass")]
    pub class: String,
    #[serde(rename = "errors")]
    pub unanswered: Option<u64>,
}

/// Arrivals for a slice.
#[derive(Debug, Deserialize)]
pub struct SliceArrivals {
    pub planner: u64,
    #[serde(rename = "tierClass")]
    pub class: String,
    pub table: u16,
    #[serde(rename = "n")]
    pub requests: Option<u64>,
    #[serde(rename = "coversS")]
    pub window_seconds: Option<f64>,
    #[serde(rename = "errors")]
    pub unanswered: Option<u64>,
}

/// A message of another planner.
#[derive(Debug, Deserialize)]
pub struct PeerMessage {
    pub planner: u64,
    pub sender: u64,
    /// Hexadecimal digits.
    pub payload: Option<String>,
}

/// A proxy applied an update.
#[derive(Debug, Deserialize)]
pub struct UpdateAcknowledged {
    pub planner: u64,
    #[serde(rename = "edge")]
    pub proxy: u32,
    #[serde(rename = "gen")]
    pub ack_token: u16,
    #[serde(rename = "elapsedS")]
    pub elapsed_seconds: Option<f64>,
}

/// An entry of the shared store.
#[derive(Debug, Deserialize)]
pub struct StoredEntry {
    pub planner: u64,
    pub table: u16,
    pub server: u64,
    #[serde(rename = "share")]
    pub weight: Option<f64>,
}

/// The end of a health check.
#[derive(Debug, Deserialize)]
pub struct HealthChecked {
    pub planner: u64,
    #[serde(rename = "ending")]
    pub result: HealthCheckResult,
    #[serde(rename = "elapsedS")]
    pub elapsed_seconds: Option<f64>,
    pub server: u64,
    #[serde(rename = "metrics")]
    pub load: Option<Vec<Option<f64>>>,
}

/// What came of a health check.
#[derive(Debug, Deserialize)]
pub enum HealthCheckResult {
    #[serde(rename = "served")]
    Success,
    #[serde(rename = "server_error")]
    ErrorResponse,
    #[serde(rename = "turned_away")]
    Rejected,
    #[serde(rename = "no_answer")]
    Timeout,
    #[serde(rename = "no_connection", alias = "connection_lost")]
    ConnectionFailed,
    #[serde(other)]
    Inconclusive,
}

/// A slice was given to the planner, or taken from it.
#[derive(Debug, Deserialize)]
pub struct SliceOwnership {
    pub planner: u64,
    pub table: u16,
    #[serde(rename = "set")]
    pub is_owned: Option<bool>,
}

/// Outcomes of a zone's attempts at an endpoint.
#[derive(Debug, Deserialize)]
pub struct OutcomeReport {
    pub planner: u64,
    #[serde(rename = "az")]
    pub zone: String,
    pub server: u64,
    #[serde(rename = "n")]
    pub attempts: Option<u64>,
    #[serde(rename = "errors")]
    pub failures: Option<u64>,
    #[serde(rename = "elapsedS")]
    pub mean_latency_seconds: Option<f64>,
    #[serde(rename = "coversS")]
    pub window_seconds: Option<f64>,
    #[serde(rename = "metrics")]
    pub load: Option<Vec<Option<f64>>>,
}

/// A proxy connected.
#[derive(Debug, Deserialize)]
pub struct ProxyConnected {
    pub planner: u64,
    #[serde(rename = "az")]
    pub zone: String,
    #[serde(rename = "share")]
    pub request_rate: Option<f64>,
    #[serde(rename = "edge")]
    pub proxy: u32,
    #[serde(rename = "set")]
    pub has_no_table: Option<bool>,
}

/// One line of a reply.
#[derive(Debug, Serialize)]
#[serde(tag = "verb")]
pub enum Output {
    /// Ejects or readmits an endpoint.
    #[serde(rename = "PULL")]
    EjectServer {
        planner: u64,
        #[serde(rename = "set")]
        ejected: bool,
        server: u64,
    },
    /// Sends bytes to another planner.
    #[serde(rename = "MEMO_TO")]
    SendToPeer {
        planner: u64,
        recipient: Recipient,
        /// Hexadecimal digits.
        payload: String,
    },
    /// Asks proxies for an acknowledgement.
    #[serde(rename = "FENCE_POST")]
    RequestAck {
        planner: u64,
        #[serde(rename = "gen")]
        ack_token: u16,
        #[serde(rename = "set")]
        all_proxies: bool,
    },
    /// The planner's controller panicked.
    #[serde(rename = "PANIC")]
    Panicked {
        planner: u64,
        #[serde(rename = "reasonText")]
        reason: String,
    },
    /// Sets an entry of a table.
    #[serde(rename = "ENDPOINT")]
    SetEntry {
        planner: u64,
        table: u16,
        server: u64,
        #[serde(rename = "share")]
        weight: f64,
    },
    /// Clears a table.
    #[serde(rename = "TRUNCATE")]
    ClearTable { planner: u64, table: u16 },
    /// Fetches the endpoint list.
    #[serde(rename = "QUERY_ALL")]
    FetchEndpoints { planner: u64 },
    /// Checks an endpoint's health.
    #[serde(rename = "HEALTH_CHECK")]
    CheckHealth { planner: u64, server: u64 },
    /// Assigns a table to a proxy.
    #[serde(rename = "ATTACH_TABLE")]
    AssignTable {
        planner: u64,
        #[serde(rename = "edge")]
        proxy: u32,
        table: u16,
        #[serde(rename = "classBits")]
        class_mask: u64,
    },
    /// Sets a timer.
    #[serde(rename = "WAKE_ME")]
    SetTimer {
        planner: u64,
        #[serde(rename = "inS")]
        after_seconds: f64,
        token: u64,
    },
    /// Writes a line to the log.
    #[serde(rename = "WRITE_LOG")]
    Log {
        planner: u64,
        #[serde(rename = "reasonText")]
        text: String,
    },
    /// Starts or ends the watch of the endpoint list.
    #[serde(rename = "LISTEN")]
    WatchEndpoints {
        planner: u64,
        #[serde(rename = "set")]
        enabled: bool,
    },
    /// Sets the admission of a class.
    #[serde(rename = "THROTTLE")]
    SetAdmission {
        planner: u64,
        table: u16,
        #[serde(rename = "classBits")]
        class_mask: u64,
        #[serde(rename = "allowance")]
        admission_rate: f64,
        #[serde(rename = "retryMode", serialize_with = "retry_mode")]
        retry_policy: RetryPolicy,
    },
    /// The reply is complete.
    #[serde(rename = "NEXT")]
    EndOfReply,
}

/// Who gets a message of a planner.
#[derive(Debug)]
pub enum Recipient {
    /// One planner.
    Planner(usize),
    /// All other planners.
    All,
}

impl Serialize for Recipient {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Recipient::Planner(planner) => planner.serialize(serializer),
            Recipient::All => serializer.serialize_str("*"),
        }
    }
}

fn retry_mode<S: Serializer>(policy: &RetryPolicy, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u8(match policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
        RetryPolicy::Once => 2,
        RetryPolicy::Twice => 3,
    })
}

#[cfg(test)]
mod tests;
