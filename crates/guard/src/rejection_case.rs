//! The inputs of one rejection, small enough for a log line.

use serde::{Deserialize, Serialize};

/// One entry of a rejected command's table, with the state of its server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RejectionCaseEntry {
    /// Index of the server.
    pub server: usize,
    /// Published weight; 0 if the table has no entry for the server.
    pub weight: f64,
    /// Whether proxies may send to the server: it is neither closed nor ejected.
    #[serde(rename = "open")]
    pub is_open: bool,
    /// Weight of the server in the endpoint list.
    #[serde(rename = "listed")]
    pub configured_weight: f64,
    /// Seconds since the server's start; `None` counts as long ago.
    #[serde(rename = "age")]
    pub age_seconds: Option<f64>,
}

/// The inputs of one rejection.
///
/// It is written to the log as JSON, and read from there to be validated again by [`crate::replay_case`]. Its JSON
/// keys are therefore stable, and `reason` comes first: readers find a case in a log line by it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RejectionCase {
    /// See [`crate::RejectionReason::tag`].
    pub reason: String,
    /// See [`crate::Rejection::table`].
    pub table: u16,
    /// The table's published entries, with one of weight 0 for a server that the command would have added.
    #[serde(rename = "lines")]
    pub entries: Vec<RejectionCaseEntry>,
    /// Requests per second of the table's proxies.
    #[serde(rename = "rate")]
    pub request_rate: f64,
    /// Requests per second that a unit of configured weight can serve; 0 if that is not known.
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
    /// [`crate::GuardConfig::warm_up`] in seconds.
    #[serde(rename = "warm_after")]
    pub warm_up_seconds: f64,
    /// See [`crate::GuardConfig::overload_multiple`].
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// See [`crate::GuardConfig::only_draining_binds`].
    #[serde(rename = "only_drains_bind")]
    pub only_draining_binds: bool,
    /// Server and weight of a rejected [`runloom_controller::Command::SetEntry`]; `None` for other commands.
    #[serde(rename = "line")]
    pub rejected_entry: Option<(usize, f64)>,
    /// The command as text, see [`crate::command_text::command_text`].
    #[serde(rename = "what")]
    pub command: String,
}
