//! Captures the inputs of a rejection as a [`RejectionCase`].

use crate::command_text::command_text;
use crate::fleet_state::FleetState;
use crate::rejection::Rejection;
use crate::rejection_case::{RejectionCase, RejectionCaseEntry};
use crate::tracked_table::TrackedTable;
use runloom_controller::{Command, ServerId};
use std::time::Duration;

impl RejectionCase {
    /// Captures the table of a rejected command with its servers, before the batch is published.
    pub(crate) fn capture(state: &FleetState, now: Duration, rejection: &Rejection) -> RejectionCase {
        let config = &state.servers.config;
        let rejected_entry = match &rejection.command {
            Command::SetEntry { server, weight, .. } => Some((*server, *weight)),
            _ => None,
        };
        let mut published = state.entries(rejection.table);
        if let Some((server, _)) = rejected_entry {
            published.entry(server).or_insert(0.0);
        }
        let entries = published.iter().map(|(server, weight)| capture_entry(state, now, *server, *weight));
        RejectionCase {
            reason: rejection.reason.tag().into(),
            table: rejection.table,
            entries: entries.collect(),
            request_rate: state.tables.get(&rejection.table).map_or(0.0, TrackedTable::request_rate),
            capacity_per_weight: state.estimated_capacity_per_weight().unwrap_or(0.0),
            class_count: config.class_count,
            planner_count: config.planner_count,
            initial_capacity: config.initial_capacity,
            warm_up_seconds: config.warm_up.as_secs_f64(),
            overload_multiple: config.overload_multiple,
            only_draining_binds: config.only_draining_binds,
            rejected_entry,
            command: command_text(&rejection.command),
        }
    }
}

fn capture_entry(state: &FleetState, now: Duration, server: ServerId, weight: f64) -> RejectionCaseEntry {
    let tracked = state.servers.get(server).cloned().unwrap_or_default();
    RejectionCaseEntry {
        server,
        weight,
        is_open: state.is_open(server) && !state.ejected.contains(&server),
        configured_weight: tracked.configured_weight,
        age_seconds: tracked.started.map(|started| now.saturating_sub(started).as_secs_f64()),
    }
}
