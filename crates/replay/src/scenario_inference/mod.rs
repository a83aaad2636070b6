//! Infers a scenario for the testbed from event logs: sizes, traffic, edits, and the faults that the logs show, each
//! with its servers. What a scenario cannot contain is left out and listed.

mod edits;
mod faults;
mod observation;
mod server_faults;
mod server_names;
mod time_series;
mod xml;

use crate::ReplayError;
use faults::{find_global_faults, merge_simultaneous};
use observation::LogObservation;
use runloom_event_log::Entry;
use runloom_model::fleet::Fleet;
use server_faults::ServerFaultFinder;
use server_names::scenario_names;
use std::collections::{BTreeMap, BTreeSet};
use time_series::{median, second_start};

/// Faults of one kind that begin within this many seconds of each other are merged into one, with all their servers.
const SIMULTANEOUS_SECONDS: f64 = 1.5;
/// Shortest failure, slowdown or surge that counts as a fault, in seconds.
const MIN_FAULT_SECONDS: f64 = 2.0;
/// Cores of a server if its utilization is unknown.
const DEFAULT_CORES: usize = 2;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// A fault that the event logs show.
#[derive(Debug, Clone, PartialEq)]
pub struct InferredFault {
    /// Seconds since the planner's first start.
    pub at: f64,
    /// Its kind, under its name in the scenario's XML.
    pub kind: &'static str,
    /// How many seconds it lasts.
    pub duration: f64,
    /// By kind: the factor of the slowdown or of the request rate, or the share (0 to 1) of requests that fail; 1 for
    /// other kinds.
    pub magnitude: f64,
    /// The affected servers under the testbed's names; empty if the fault does not belong to particular servers.
    pub servers: BTreeSet<String>,
    /// How many servers or proxies it affects.
    pub count: usize,
}

impl InferredFault {
    fn of_server(server: &str, kind: &'static str, at: f64, duration: f64, magnitude: f64) -> InferredFault {
        InferredFault { at, kind, duration, magnitude, servers: [server.to_string()].into(), count: 1 }
    }

    fn end(&self) -> f64 {
        self.at + self.duration
    }
}

/// An operator's edit of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct InferredEdit {
    /// Seconds since the planner's first start.
    pub at: f64,
    /// What it changed.
    pub change: FleetChange,
}

/// A change that an operator made to the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetChange {
    /// A zone's share of the traffic.
    ZoneShare {
        /// The zone's name.
        zone: String,
        /// Its new share.
        share: f64,
    },
    /// The start or end of a server's drain.
    Drain {
        /// The server under the testbed's name.
        server: String,
        /// Whether it drains from then on.
        is_draining: bool,
    },
}

/// A scenario that was inferred from event logs.
#[derive(Debug, Clone, PartialEq)]
pub struct InferredScenario {
    /// How long it lasts, in seconds.
    pub seconds: f64,
    /// Servers at the start.
    pub server_count: usize,
    /// Proxies that connected at any time.
    pub proxy_count: usize,
    /// Zones of the servers at the start, at least 1.
    pub zone_count: usize,
    /// Requests a second over all proxies, outside of surges.
    pub request_rate: f64,
    /// Usual latency of the servers in milliseconds, which stands for their service time.
    pub service_time_ms: f64,
    /// Cores of each server, at least 1.
    pub cores: usize,
    /// The first recorded settings.
    pub fleet: Fleet,
    /// Faults in order of time.
    pub faults: Vec<InferredFault>,
    /// Edits in order of time.
    pub edits: Vec<InferredEdit>,
    /// What the logs show and a scenario cannot contain, one phrase each.
    pub omissions: Vec<String>,
}

/// Infers a scenario. `runs` are the event logs of one planner, one for each of its starts, in order.
///
/// # Errors
/// Fails if there is no log, a log does not begin with a planner's start, or a recorded fleet is invalid.
pub fn infer(runs: &[Vec<Entry>]) -> Result<InferredScenario, ReplayError> {
    let observation = LogObservation::new(runs)?;
    let Some((_, fleet)) = observation.fleets.first().cloned() else { return Err(ReplayError::NoStart) };
    let names = scenario_names(&observation);
    let usual_latency_us = usual_latency(&observation);
    let mut omissions = vec![];
    let mut faults = find_server_faults(&observation, &names, usual_latency_us, &mut omissions);
    mark_replacements(&observation, &names, &mut faults, &mut omissions);
    faults.extend(find_global_faults(&observation));
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    let zones: BTreeSet<&String> =
        observation.first_servers.iter().map(|server| &observation.servers[server].zone).collect();
    Ok(InferredScenario {
        seconds: observation.end.max(1.0),
        server_count: observation.first_servers.len(),
        proxy_count: observation.proxies.len(),
        zone_count: zones.len().max(1),
        request_rate: observation.calm_requests_per_second() * fleet.planner_count.max(1.0),
        service_time_ms: usual_latency_us / MICROSECONDS_PER_MILLISECOND,
        cores: infer_cores(&observation, usual_latency_us),
        fleet,
        faults,
        edits: edits::find_edits(&observation, &names),
        omissions,
    })
}

/// Median of the servers' mean latencies, over the seconds without failures and outside of surges; in microseconds.
fn usual_latency(observation: &LogObservation) -> f64 {
    let mut latencies = vec![];
    for server in observation.servers.values() {
        for (second, outcomes) in &server.outcomes_by_second {
            if outcomes.failures == 0 && !observation.is_surging(second_start(*second)) {
                latencies.extend(outcomes.mean_latency());
            }
        }
    }
    median(latencies)
}

/// Estimates the cores of a server. By Little's law the requests in service are the completion rate times the latency;
/// divided by the utilization, they are the cores.
///
/// Latency includes waiting, so that the result is too high rather than too low.
fn infer_cores(observation: &LogObservation, usual_latency_us: f64) -> usize {
    let is_calm = |second: u64| !observation.is_surging(second_start(second));
    let utilizations = observation.utilizations.iter().filter(|(second, _)| is_calm(*second));
    let utilization = median(utilizations.map(|(_, utilization)| *utilization).collect());
    let seconds = observation.servers.values().flat_map(|server| &server.outcomes_by_second);
    let calm_seconds = seconds.filter(|(second, _)| is_calm(**second));
    let successes = median(calm_seconds.map(|(_, outcomes)| outcomes.successes() as f64).collect());
    let requests_in_service = successes * usual_latency_us / MICROSECONDS_PER_SECOND;
    if utilization > 0.0 {
        ((requests_in_service / utilization) as usize).max(1)
    } else {
        DEFAULT_CORES
    }
}

/// Finds the faults of all servers, under the testbed's names. Servers without such a name are listed as omissions.
fn find_server_faults(
    observation: &LogObservation,
    names: &BTreeMap<String, String>,
    usual_latency_us: f64,
    omissions: &mut Vec<String>,
) -> Vec<InferredFault> {
    let mut faults = vec![];
    for (name, server) in &observation.servers {
        let own_faults = ServerFaultFinder { name, server, observation, usual_latency_us }.find();
        match names.get(name) {
            Some(scenario_name) => {
                let servers = BTreeSet::from([scenario_name.clone()]);
                faults.extend(
                    own_faults.into_iter().map(|fault| InferredFault { servers: servers.clone(), ..fault }),
                );
            }
            None if own_faults.is_empty() => {}
            None => {
                omissions.push(format!("faults of {name}, which was not listed at the start"));
            }
        }
    }
    merge_simultaneous(faults)
}

/// Turns a drain into a replacement if at least as many new servers were listed at about the same time.
fn mark_replacements(
    observation: &LogObservation,
    names: &BTreeMap<String, String>,
    faults: &mut [InferredFault],
    omissions: &mut Vec<String>,
) {
    let new_servers = observation.servers.iter().filter(|(name, _)| !names.contains_key(*name));
    let first_listed = new_servers.filter_map(|(_, server)| Some(server.listings.first()?.at));
    let new_server_times: Vec<f64> = first_listed.collect();
    let mut replaced = 0;
    for fault in faults.iter_mut().filter(|fault| fault.kind == "drain") {
        let is_near = |at: &&f64| (**at - fault.at).abs() <= 2.0 * SIMULTANEOUS_SECONDS;
        if new_server_times.iter().filter(is_near).count() >= fault.count {
            fault.kind = "replace";
            replaced += fault.count;
        }
    }
    if new_server_times.len() > replaced {
        let unexplained = new_server_times.len() - replaced;
        omissions.push(format!("{unexplained} new servers that replaced no drained one"));
    }
}
