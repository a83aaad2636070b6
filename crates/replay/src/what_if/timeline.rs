//! Counts and service of both sides over time, and their servers' shares at the end.

use crate::rule_tracker::RuleTracker;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

/// A count of both sides at the end of a second; an array of three numbers in JSON.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(into = "(f64, f64, f64)")]
pub struct TimelinePoint {
    /// Whole seconds since the planner's start.
    pub seconds: f64,
    /// Under the recorded settings.
    pub recorded: f64,
    /// Under the other settings.
    pub changed: f64,
}

impl From<TimelinePoint> for (f64, f64, f64) {
    fn from(point: TimelinePoint) -> Self {
        (point.seconds, point.recorded, point.changed)
    }
}

/// Service (0 to 1) of one block of time; an array of two numbers, and a third or null, in JSON.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(into = "(f64, f64, Option<f64>)")]
pub struct ServiceEstimatePoint {
    /// Seconds from the planner's start to the start of the block.
    pub seconds: f64,
    /// Under the recorded settings.
    pub recorded: f64,
    /// Under the other settings; `None` where the estimate is not valid.
    pub changed: Option<f64>,
}

impl From<ServiceEstimatePoint> for (f64, f64, Option<f64>) {
    fn from(point: ServiceEstimatePoint) -> Self {
        (point.seconds, point.recorded, point.changed)
    }
}

/// A server's share (0 to 1) of all tables; an array of the name and two numbers in JSON.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(into = "(String, f64, f64)")]
pub struct ServerShare {
    /// The server's name.
    pub server: String,
    /// Under the recorded settings.
    pub recorded: f64,
    /// Under the other settings.
    pub changed: f64,
}

impl From<ServerShare> for (String, f64, f64) {
    fn from(share: ServerShare) -> Self {
        (share.server, share.recorded, share.changed)
    }
}

/// A count of both sides over time, with one point for each second that has a record.
#[derive(Default)]
pub(super) struct Timeline {
    pub points: Vec<TimelinePoint>,
}

impl Timeline {
    /// Records both counts at a time in microseconds. The last record of a second becomes its point.
    pub fn record(&mut self, at: u64, recorded: u64, changed: u64) {
        let point = TimelinePoint {
            seconds: (at / MICROSECONDS_PER_SECOND) as f64,
            recorded: recorded as f64,
            changed: changed as f64,
        };
        match self.points.last_mut().filter(|last| last.seconds == point.seconds) {
            Some(last) => *last = point,
            None => self.points.push(point),
        }
    }
}

/// Each server's share of all tables in force, on both sides, sorted by name.
pub(super) fn server_shares(recorded: &RuleTracker, changed: &RuleTracker) -> Vec<ServerShare> {
    let recorded = recorded.server_shares();
    let changed = changed.server_shares();
    let servers: BTreeSet<&String> = recorded.keys().chain(changed.keys()).collect();
    let share = |shares: &BTreeMap<String, f64>, server: &String| shares.get(server).copied().unwrap_or(0.0);
    servers
        .into_iter()
        .map(|server| ServerShare {
            server: server.clone(),
            recorded: share(&recorded, server),
            changed: share(&changed, server),
        })
        .collect()
}
