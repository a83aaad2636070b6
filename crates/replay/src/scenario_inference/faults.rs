//! Finds faults that do not belong to particular servers, and merges faults that belong together.

use super::observation::LogObservation;
use super::{InferredFault, SIMULTANEOUS_SECONDS};
use std::collections::BTreeSet;

/// Streams that have to end at about the same time to count as a break; fewer may be single proxies that end.
const MIN_BROKEN_STREAMS: usize = 3;

/// Merges faults of one kind that begin and end at about the same time. Sorts them by time.
pub(super) fn merge_simultaneous(mut faults: Vec<InferredFault>) -> Vec<InferredFault> {
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut merged: Vec<InferredFault> = vec![];
    for fault in faults {
        match merged.iter_mut().rev().find(|earlier| earlier.is_simultaneous(&fault)) {
            Some(earlier) => earlier.merge(fault),
            None => merged.push(fault),
        }
    }
    merged
}

impl InferredFault {
    /// Whether another fault, which does not begin earlier, is of the same kind and begins and ends at about the same
    /// time.
    fn is_simultaneous(&self, other: &InferredFault) -> bool {
        self.kind == other.kind
            && other.at <= self.at + SIMULTANEOUS_SECONDS
            && (self.at + self.duration - other.at - other.duration).abs() <= 2.0 * SIMULTANEOUS_SECONDS
    }

    fn merge(&mut self, other: InferredFault) {
        let count = self.count as f64;
        self.magnitude = (self.magnitude * count + other.magnitude) / (self.count + 1) as f64;
        self.duration = self.duration.max(other.end() - self.at);
        self.count += 1;
        self.servers.extend(other.servers);
    }

    /// A fault that does not belong to particular servers, with magnitude 1.
    fn global(kind: &'static str, at: f64, duration: f64) -> InferredFault {
        InferredFault { at, kind, duration, magnitude: 1.0, servers: BTreeSet::new(), count: 1 }
    }
}

/// Finds planner outages, surges, stream breaks and stalled readers.
pub(super) fn find_global_faults(observation: &LogObservation) -> Vec<InferredFault> {
    let mut found: Vec<InferredFault> = vec![];
    for outage in &observation.planner_outages {
        found.push(InferredFault::global("planner-kill", outage.from, outage.duration()));
    }
    for surge in &observation.surges {
        let fault = InferredFault::global("surge", surge.range.from, surge.range.duration());
        found.push(InferredFault { magnitude: surge.factor, ..fault });
    }
    found.extend(find_stream_breaks(observation));
    found.extend(find_stalled_readers(observation));
    found
}

/// Stream breaks: at least [`MIN_BROKEN_STREAMS`] proxies that disconnect one shortly after the other.
fn find_stream_breaks(observation: &LogObservation) -> Vec<InferredFault> {
    let mut disconnects = observation.disconnects.clone();
    disconnects.sort_by(f64::total_cmp);
    let groups = disconnects.chunk_by(|a, b| b - a <= SIMULTANEOUS_SECONDS);
    let breaks = groups.filter(|group| group.len() >= MIN_BROKEN_STREAMS);
    let to_fault = |group: &[f64]| {
        let fault = InferredFault::global("stream-break", group[0], 0.0);
        InferredFault { count: group.len(), ..fault }
    };
    breaks.map(to_fault).collect()
}

/// Stalled readers: proxies that stop acknowledging one shortly after the other.
fn find_stalled_readers(observation: &LogObservation) -> Vec<InferredFault> {
    let mut stalls = observation.stalls.clone();
    stalls.sort_by(|a, b| a.from.total_cmp(&b.from));
    let mut found = vec![];
    for group in stalls.chunk_by(|a, b| b.from - a.from <= SIMULTANEOUS_SECONDS) {
        let duration = group.iter().fold(0.0, |longest: f64, stall| longest.max(stall.duration()));
        let fault = InferredFault::global("deaf", group[0].from, duration);
        found.push(InferredFault { count: group.len(), ..fault });
    }
    found
}
