//! A recorded day again, in the record's own time and without sockets. With the same setting and build the
//! orders are the same, byte for byte, or it says where they first differ. With another setting it gives what
//! would have been ordered, which rules that would have broken, and an estimate of service with its error.

pub mod estimate;
pub mod exact;
pub mod force;
pub mod infer;
pub mod other;
pub mod page;

use runloom_control_session::ControlSession;
use runloom_event_log::{Entry, RecordedEvent};
use runloom_model::fleet::Fleet;
use runloom_netconf::tree::Element;
use std::time::Duration;

#[derive(Debug, thiserror::Error, PartialEq)]
pub enum Unusable {
    #[error("the record does not begin with a planner's start")]
    NoStart,
    #[error("the fleet cannot be read: {0}")]
    Fleet(String),
}

/// Reads `<fleet>` as a record or a file has it.
pub fn fleet(text: &str) -> Result<Fleet, Unusable> {
    let e = Element::parse(text).map_err(|e| Unusable::Fleet(e.reason))?;
    Fleet::read(&e).map_err(|m| Unusable::Fleet(format!("{}: {}", m.path, m.reason)))
}

/// The driver as it was at the start of a record; another fleet or seed may stand in for the recorded ones.
pub(crate) fn set_out(
    entries: &[Entry],
    other: Option<&Fleet>,
    other_seed: Option<u64>,
) -> Result<ControlSession, Unusable> {
    let Some(RecordedEvent::Start { seed, epoch, fleet: text, .. }) = entries.first().map(|e| &e.what) else {
        return Err(Unusable::NoStart);
    };
    let fleet = other.map_or_else(|| fleet(text), |f| Ok(f.clone()))?;
    let mut driver = ControlSession::new(fleet, other_seed.unwrap_or(*seed), *epoch);
    driver.recorded_events = Some(vec![]);
    Ok(driver)
}

/// What the last call came to, if it was a turn with decisions.
pub(crate) fn turned(driver: &mut ControlSession) -> Option<RecordedEvent> {
    let witness = driver.recorded_events.as_mut()?;
    let last = std::mem::take(witness).pop()?;
    matches!(last.1, RecordedEvent::Turn { .. }).then_some(last.1)
}

pub(crate) fn at(entry: &Entry) -> Duration {
    Duration::from_micros(entry.at)
}

#[cfg(test)]
mod tests;
