//! The simulator's wire format as serde types. No other module uses its keywords.

use runloom_controller::RetryPolicy;
use serde::{Deserialize, Serialize, Serializer};
use serde_json::Value;

/// One line of input.
#[derive(Debug, Deserialize)]
#[serde(tag = "verb")]
pub enum Input {
    /// Starts a batch of events.
    #[serde(rename = "FRAME")]
    BatchStart(BatchStart),
    /// Ends a batch, and requests the reply.
    #[serde(rename = "COMMIT")]
    BatchEnd,
    /// Starts a planner, or restarts it without its state.
    #[serde(rename = "HELLO")]
    PlannerStarted(PlannerStarted),
    /// Stops a planner.
    #[serde(rename = "TEARDOWN")]
    PlannerStopped { planner: u64 },
    /// The endpoint list, or a change of it.
    #[serde(rename = "DISCOVERY")]
    EndpointList(EndpointList),
    /// Requests of one class that arrived at a proxy.
    #[serde(rename = "TRAFFIC")]
    Arrivals(Arrivals),
    /// Requests of one class that arrived for a slice.
    #[serde(rename = "SLICE_LOAD")]
    SliceArrivals(SliceArrivals),
    /// A message from another planner.
    #[serde(rename = "PEER")]
    PeerMessage(PeerMessage),
    /// A timer fired.
    #[serde(rename = "TIMER")]
    TimerFired { planner: u64, token: u64 },
    /// A proxy applied the update with this ack token, and all updates before it.
    #[serde(rename = "TOOK_EFFECT")]
    UpdateAcknowledged(UpdateAcknowledged),
    /// An entry of a slice's table in the shared store.
    #[serde(rename = "STORED_LINE")]
    StoredEntry(StoredEntry),
    /// A health check ended.
    #[serde(rename = "ECHO")]
    HealthChecked(HealthChecked),
    /// A slice was assigned to the planner, or withdrawn from it.
    #[serde(rename = "GIVEN")]
    SliceOwnership(SliceOwnership),
    /// A proxy disconnected.
    #[serde(rename = "LOST_STREAM")]
    ProxyDisconnected {
        planner: u64,
        #[serde(rename = "edge")]
        proxy: u32,
    },
    /// Outcomes of attempts from a zone at an endpoint.
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
    /// The planner that the event is for; `None` if it concerns the whole batch, or is unknown.
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

/// Fields of [`Input::BatchStart`]; the clock is the time of all events of the batch.
#[derive(Debug, Deserialize)]
pub struct BatchStart {
    #[serde(rename = "clockS")]
    pub clock_seconds: f64,
}

/// Fields of [`Input::PlannerStarted`].
#[derive(Debug, Deserialize)]
pub struct PlannerStarted {
    pub planner: u64,
    #[serde(rename = "rngSeed")]
    pub seed: Option<u64>,
    #[serde(rename = "facts")]
    pub settings: Option<Value>,
}

/// Fields of [`Input::EndpointList`].
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    pub planner: u64,
    #[serde(rename = "how")]
    pub source: ListSource,
    pub hosts: Option<Vec<ListedEndpoint>>,
}

/// How an endpoint list was obtained; an unknown keyword counts as a failure.
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

/// One entry of an endpoint list; a field that is missing was not listed.
#[derive(Debug, Deserialize)]
pub struct ListedEndpoint {
    pub server: u64,
    #[serde(rename = "az")]
    pub zone: Option<String>,
    #[serde(rename = "sku")]
    pub kind: Option<String>,
    #[serde(rename = "group")]
    pub cell: Option<u64>,
    #[serde(rename = "mode")]
    pub state: Option<EndpointState>,
    #[serde(rename = "share")]
    pub weight: Option<f64>,
    #[serde(rename = "lastStartS")]
    pub started_seconds: Option<f64>,
}

/// State of an endpoint in the list; an unknown keyword means ready.
#[derive(Debug, Deserialize)]
pub enum EndpointState {
    #[serde(rename = "DRAINING")]
    Draining,
    #[serde(rename = "DELETED")]
    Removed,
    #[serde(other)]
    Ready,
}

/// Fields of [`Input::Arrivals`].
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

/// Fields of [`Input::SliceArrivals`]; `table` is the slice's table.
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

/// Fields of [`Input::PeerMessage`].
#[derive(Debug, Deserialize)]
pub struct PeerMessage {
    pub planner: u64,
    pub sender: u64,
    /// Bytes as hexadecimal digits.
    pub payload: Option<String>,
}

/// Fields of [`Input::UpdateAcknowledged`].
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

/// Fields of [`Input::StoredEntry`].
#[derive(Debug, Deserialize)]
pub struct StoredEntry {
    pub planner: u64,
    pub table: u16,
    pub server: u64,
    #[serde(rename = "share")]
    pub weight: Option<f64>,
}

/// Fields of [`Input::HealthChecked`].
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

/// Result of a health check; an unknown keyword is inconclusive.
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

/// Fields of [`Input::SliceOwnership`]; `table` is the slice's table.
#[derive(Debug, Deserialize)]
pub struct SliceOwnership {
    pub planner: u64,
    pub table: u16,
    #[serde(rename = "set")]
    pub is_owned: Option<bool>,
}

/// Fields of [`Input::OutcomeReport`].
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

/// Fields of [`Input::ProxyConnected`].
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
        /// Bytes as hexadecimal digits.
        payload: String,
    },
    /// Asks each proxy that gets a message from this step to acknowledge it. With `all_proxies`, proxies for which the
    /// step changes nothing get a message too.
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
    /// Sets the weight of an endpoint in a table; 0 removes the endpoint.
    #[serde(rename = "ENDPOINT")]
    SetEntry {
        planner: u64,
        table: u16,
        server: u64,
        #[serde(rename = "share")]
        weight: f64,
    },
    /// Removes all entries of a table.
    #[serde(rename = "TRUNCATE")]
    ClearTable { planner: u64, table: u16 },
    /// Fetches the endpoint list.
    #[serde(rename = "QUERY_ALL")]
    FetchEndpoints { planner: u64 },
    /// Checks an endpoint's health.
    #[serde(rename = "HEALTH_CHECK")]
    CheckHealth { planner: u64, server: u64 },
    /// Assigns a table to a proxy for the classes of a bit mask.
    #[serde(rename = "ATTACH_TABLE")]
    AssignTable {
        planner: u64,
        #[serde(rename = "edge")]
        proxy: u32,
        table: u16,
        #[serde(rename = "classBits")]
        class_mask: u64,
    },
    /// Sets a timer that fires as [`Input::TimerFired`].
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
    /// Starts or stops the watch of the endpoint list.
    #[serde(rename = "LISTEN")]
    WatchEndpoints {
        planner: u64,
        #[serde(rename = "set")]
        enabled: bool,
    },
    /// Sets the admission rate and retry policy of a class in a table.
    #[serde(rename = "THROTTLE")]
    SetAdmission {
        planner: u64,
        table: u16,
        #[serde(rename = "classBits")]
        class_mask: u64,
        #[serde(rename = "allowance")]
        admission_rate: f64,
        #[serde(rename = "retryMode", serialize_with = "serialize_retry_policy")]
        retry_policy: RetryPolicy,
    },
    /// The reply is complete.
    #[serde(rename = "NEXT")]
    EndOfReply,
}

/// Recipient of a message from a planner.
#[derive(Debug)]
pub enum Recipient {
    /// One other planner.
    Planner(usize),
    /// All other planners, written `*`.
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

fn serialize_retry_policy<S: Serializer>(policy: &RetryPolicy, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u8(match policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
        RetryPolicy::Once => 2,
        RetryPolicy::Twice => 3,
    })
}

#[cfg(test)]
mod tests;
