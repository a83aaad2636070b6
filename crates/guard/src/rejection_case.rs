//! All that one rejection depended on, small enough for a log line.

use serde::{Deserialize, Serialize};

/// One entry of the table of a rejected command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RejectionCaseEntry {
    /// The server's index.
    pub server: usize,
    /// Its published weight; 0 if it has no entry.
    pub weight: f64,
    /// Whether proxies may send to it.
    #[serde(rename = "open")]
    pub is_open: bool,
    /// Its weight in the endpoint list.
    #[serde(rename = "listed")]
    pub configured_weight: f64,
    /// Seconds since its start; `None` for long ago.
    #[serde(rename = "age")]
    pub age_seconds: Option<f64>,
}

/// All that one rejection depended on.
///
/// It is written to the log as JSON and read from there by [`crate::replay_case`]: its JSON keys are stable, and
/// `reason` comes first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RejectionCase {
    /// [`crate::RejectionReason::tag`].
    pub reason: String,
    /// The table that the command would have changed.
    pub table: u16,
    /// Its entries.
    #[serde(rename = "lines")]
    pub entries: Vec<RejectionCaseEntry>,
    /// Requests a second of the table's proxies.
    #[serde(rename = "rate")]
    pub request_rate: f64,
    /// Requests a second that a unit of configured weight serves; 0 if that is not known.
    #[serde(rename = "can")]
    pub capacity_per_weight: f64,
    /// See [`crate::GuardConfig::class_count`].
    #[serde(rename = "classes")]
    pub class_count: usize,
    /// See [`crate::GuardConfig::planner_count`].
    #[serde(rename = "planners")]
    pub planner_count: f64,
    /// See [`crate::GuardConfig::initial_capacity`].
    #[serde(rename = "cold_from")]
    pub initial_capacity: f64,
    /// See [`crate::GuardConfig::warm_up`]; in seconds.
    #[serde(rename = "warm_after")]
    pub warm_up_seconds: f64,
    /// See [`crate::GuardConfig::overload_multiple`].
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// See [`crate::GuardConfig::only_draining_binds`].
    #[serde(rename = "only_drains_bind")]
    pub only_draining_binds: bool,
    /// Server and weight of a rejected entry; `None` for other commands.
    #[serde(rename = "line")]
    pub rejected_entry: Option<(usize, f64)>,
    /// The command, as [`crate::command_text::command_text`] words it.
    #[serde(rename = "what")]
    pub command: String,
}
