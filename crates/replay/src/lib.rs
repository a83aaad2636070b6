//! Replay of an event log with its recorded times and without sockets.
//!
//! With the same settings and build, the commands are the same byte for byte ([`exact`]). With other settings, a replay
//! shows which commands would have been issued, which rules would have been broken, and an estimate of service with its
//! error ([`what_if`]). A log can also be turned into a scenario for the testbed ([`scenario_inference`]).

pub mod estimate;
pub mod exact;
pub mod html_report;
pub mod rule_tracker;
pub mod scenario_inference;
pub mod what_if;

use runloom_control_session::ControlSession;
use runloom_event_log::{Entry, RecordedEvent};
use runloom_model::fleet::Fleet;
use runloom_netconf::tree::Element;
use std::time::Duration;

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Why an event log cannot be replayed.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum ReplayError {
    /// It has no entries, or its first entry is not a planner's start.
    #[error("the record does not begin with a planner's start")]
    NoStart,
    /// A recorded or given `<fleet>` is invalid.
    #[error("the <fleet> configuration is invalid: {0}")]
    InvalidFleet(String),
}

/// Parses a `<fleet>` element, as event logs and configuration files contain it.
///
/// # Errors
/// Returns [`ReplayError::InvalidFleet`] if the text is not well-formed XML, or with the path of an invalid element.
pub fn parse_fleet(text: &str) -> Result<Fleet, ReplayError> {
    let element = Element::parse(text).map_err(|e| ReplayError::InvalidFleet(e.reason))?;
    Fleet::read(&element).map_err(|e| ReplayError::InvalidFleet(format!("{}: {}", e.path, e.reason)))
}

/// A control session in the state at the start of a log, with the recorded fleet and seed unless others are given.
pub(crate) fn start_session(
    entries: &[Entry],
    other_fleet: Option<&Fleet>,
    other_seed: Option<u64>,
) -> Result<ControlSession, ReplayError> {
    let Some(RecordedEvent::PlannerStarted { seed, epoch_ms, fleet, .. }) =
        entries.first().map(|entry| &entry.event)
    else {
        return Err(ReplayError::NoStart);
    };
    let fleet = match other_fleet {
        Some(fleet) => fleet.clone(),
        None => parse_fleet(fleet)?,
    };
    let mut session = ControlSession::new(fleet, other_seed.unwrap_or(*seed), *epoch_ms);
    session.recorded_events = Some(vec![]);
    Ok(session)
}

/// Takes the events that the session recorded and returns the last one, if it is a step. There is none if the session
/// did not ask the controller for commands.
pub(crate) fn take_recorded_step(session: &mut ControlSession) -> Option<RecordedEvent> {
    let recorded = session.recorded_events.as_mut()?;
    let (_, event) = std::mem::take(recorded).pop()?;
    matches!(event, RecordedEvent::Step { .. }).then_some(event)
}

/// Time of an entry since the planner's start.
pub(crate) fn time_of(entry: &Entry) -> Duration {
    Duration::from_micros(entry.at_us)
}

/// Seconds of an entry since the planner's start.
pub(crate) fn seconds_of(entry: &Entry) -> f64 {
    entry.at_us as f64 / MICROSECONDS_PER_SECOND
}

#[cfg(test)]
mod tests;
