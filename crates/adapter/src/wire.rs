//! The wire's own words, as serde types. Nothing here decides anything.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One line of input.
#[derive(Debug, Deserialize)]
#[serde(tag = "verb")]
pub enum In {
    #[serde(rename = "FRAME", rename_all = "camelCase")]
    Frame { clock_s: f64 },
    #[serde(rename = "COMMIT")]
    Commit,
    #[serde(rename = "HELLO", rename_all = "camelCase")]
    Hello { planner: u64, rng_seed: Option<u64>, facts: Option<Value> },
    #[serde(rename = "DISCOVERY")]
    Discovery { planner: u64, how: String, hosts: Option<Vec<Host>> },
    #[serde(rename = "TEARDOWN")]
    Teardown { planner: u64 },
    #[serde(rename = "TRAFFIC", rename_all = "camelCase")]
    Traffic {
        planner: u64,
        edge: u32,
        n: Option<u64>,
        covers_s: Option<f64>,
        tier_class: String,
        errors: Option<u64>,
    },
    #[serde(rename = "PEER")]
    Peer { planner: u64, sender: u64, payload: Option<String> },
    #[serde(rename = "TIMER")]
    Timer { planner: u64, token: u64 },
    #[serde(rename = "TOOK_EFFECT", rename_all = "camelCase")]
    TookEffect { planner: u64, edge: u32, gen: u16, elapsed_s: Option<f64> },
    #[serde(rename = "SLICE_LOAD", rename_all = "camelCase")]
    SliceLoad {
        planner: u64,
        tier_class: String,
        table: u16,
        n: Option<u64>,
        covers_s: Option<f64>,
        errors: Option<u64>,
    },
    #[serde(rename = "STORED_LINE")]
    StoredLine { planner: u64, table: u16, server: u64, share: Option<f64> },
    #[serde(rename = "ECHO", rename_all = "camelCase")]
    Echo {
        planner: u64,
        ending: String,
        elapsed_s: Option<f64>,
        server: u64,
        metrics: Option<Vec<Option<f64>>>,
    },
    #[serde(rename = "GIVEN")]
    Given { planner: u64, table: u16, set: Option<bool> },
    #[serde(rename = "LOST_STREAM")]
    LostStream { planner: u64, edge: u32 },
    #[serde(rename = "ROUNDUP", rename_all = "camelCase")]
    Roundup {
        planner: u64,
        az: String,
        server: u64,
        n: Option<u64>,
        errors: Option<u64>,
        elapsed_s: Option<f64>,
        covers_s: Option<f64>,
        metrics: Option<Vec<Option<f64>>>,
    },
    #[serde(rename = "JOINED")]
    Joined { planner: u64, az: String, share: Option<f64>, edge: u32, set: Option<bool> },
    #[serde(other)]
    Unknown,
}

/// One entry of a list.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Host {
    pub server: u64,
    pub az: Option<String>,
    pub sku: Option<String>,
    pub group: Option<u64>,
    pub mode: Option<String>,
    pub share: Option<f64>,
    pub last_start_s: Option<f64>,
}

/// One line of a reply.
#[derive(Debug, Serialize)]
#[serde(tag = "verb")]
pub enum Out {
    #[serde(rename = "PULL")]
    Pull { planner: u64, set: bool, server: u64 },
    #[serde(rename = "MEMO_TO")]
    MemoTo { planner: u64, recipient: Value, payload: String },
    #[serde(rename = "FENCE_POST")]
    FencePost { planner: u64, gen: u16, set: bool },
    #[serde(rename = "PANIC", rename_all = "camelCase")]
    Panic { planner: u64, reason_text: String },
    #[serde(rename = "ENDPOINT")]
    Endpoint { planner: u64, table: u16, server: u64, share: f64 },
    #[serde(rename = "TRUNCATE")]
    Truncate { planner: u64, table: u16 },
    #[serde(rename = "QUERY_ALL")]
    QueryAll { planner: u64 },
    #[serde(rename = "HEALTH_CHECK")]
    HealthCheck { planner: u64, server: u64 },
    #[serde(rename = "ATTACH_TABLE", rename_all = "camelCase")]
    AttachTable { planner: u64, edge: u32, table: u16, class_bits: u64 },
    #[serde(rename = "WAKE_ME", rename_all = "camelCase")]
    WakeMe { planner: u64, in_s: f64, token: u64 },
    #[serde(rename = "WRITE_LOG", rename_all = "camelCase")]
    WriteLog { planner: u64, reason_text: String },
    #[serde(rename = "LISTEN")]
    Listen { planner: u64, set: bool },
    #[serde(rename = "THROTTLE", rename_all = "camelCase")]
    Throttle { planner: u64, table: u16, class_bits: u64, allowance: f64, retry_mode: u8 },
    #[serde(rename = "NEXT")]
    Next,
}
