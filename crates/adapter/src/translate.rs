//! Translates the simulator's events for the controller, and the controller's commands for the simulator.

use crate::wire::{self, Input, Output, Recipient};
use runloom_controller::{
    Command, EndpointRecord, EndpointUpdate, Event, HealthCheckResult, IdMap, ListedState,
};
use std::time::Duration;

/// The weight of an endpoint or stored entry that comes without one.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Maps the names that one planner has seen to the indices that its controller uses.
#[derive(Debug)]
pub struct Translator {
    servers: IdMap<u64>,
    proxies: IdMap<u32>,
    zones: IdMap<String>,
    kinds: IdMap<String>,
    classes: IdMap<String>,
    /// The admission rate that means no limit on the wire.
    unlimited_rate: f64,
}

impl Translator {
    /// A translator that knows the zones and classes of the settings, and no servers, proxies and kinds yet.
    pub fn new(zones: IdMap<String>, classes: IdMap<String>, unlimited_rate: f64) -> Translator {
        Translator {
            servers: IdMap::default(),
            proxies: IdMap::default(),
            zones,
            kinds: IdMap::default(),
            classes,
            unlimited_rate,
        }
    }

    /// Translates an event; `None` if its class is unknown, or if it is not an event for a running planner's
    /// controller.
    pub fn event(&mut self, input: Input) -> Option<Event> {
        Some(match input {
            Input::EndpointList(list) => self.endpoints_listed(list),
            Input::Arrivals(arrivals) => self.arrival_report(arrivals)?,
            Input::SliceArrivals(arrivals) => self.slice_arrival_report(arrivals)?,
            Input::PeerMessage(message) => peer_message(&message),
            Input::TimerFired { token, .. } => Event::TimerFired { token },
            Input::UpdateAcknowledged(acknowledged) => self.update_acknowledged(&acknowledged),
            Input::StoredEntry(entry) => self.stored_entry(&entry),
            Input::HealthChecked(check) => self.health_checked(check),
            Input::SliceOwnership(ownership) => Event::SliceOwnership {
                table: ownership.table,
                is_owned: ownership.is_owned.unwrap_or(false),
            },
            Input::ProxyDisconnected { proxy, .. } => {
                Event::ProxyDisconnected { proxy: self.proxies.index(proxy) }
            }
            Input::OutcomeReport(report) => self.outcome_report(report),
            Input::ProxyConnected(connected) => self.proxy_connected(connected),
            Input::BatchStart(_)
            | Input::BatchEnd
            | Input::PlannerStarted(_)
            | Input::PlannerStopped { .. }
            | Input::Unknown => return None,
        })
    }

    fn endpoints_listed(&mut self, list: wire::EndpointList) -> Event {
        let update = match list.source {
            wire::ListSource::Delta => EndpointUpdate::Delta,
            wire::ListSource::Snapshot => EndpointUpdate::Snapshot,
            wire::ListSource::Cached => EndpointUpdate::Cached,
            wire::ListSource::Failed => EndpointUpdate::WatchFailed,
        };
        let endpoints = list.hosts.unwrap_or_default();
        let records = endpoints.into_iter().map(|endpoint| self.endpoint_record(endpoint)).collect();
        Event::EndpointsListed { update, records }
    }

    fn endpoint_record(&mut self, endpoint: wire::ListedEndpoint) -> EndpointRecord {
        EndpointRecord {
            server: self.servers.index(endpoint.server),
            zone: self.zones.index(endpoint.zone.unwrap_or_default()),
            kind: self.kinds.index(endpoint.kind.unwrap_or_default()),
            cell: endpoint.cell.unwrap_or(0),
            state: match endpoint.state {
                Some(wire::EndpointState::Draining) => ListedState::Draining,
                Some(wire::EndpointState::Removed) => ListedState::Removed,
                Some(wire::EndpointState::Ready) | None => ListedState::Ready,
            },
            weight: endpoint.weight.unwrap_or(DEFAULT_WEIGHT),
            started: endpoint.started_seconds.filter(|seconds| *seconds > 0.0).map(duration),
        }
    }

    fn arrival_report(&mut self, arrivals: wire::Arrivals) -> Option<Event> {
        Some(Event::ArrivalReport {
            proxy: self.proxies.index(arrivals.proxy),
            class: self.classes.get(&arrivals.class)?,
            requests: arrivals.requests.unwrap_or(0),
            unanswered: arrivals.unanswered.unwrap_or(0),
            window: optional_duration(arrivals.window_seconds),
        })
    }

    fn slice_arrival_report(&self, arrivals: wire::SliceArrivals) -> Option<Event> {
        Some(Event::SliceArrivalReport {
            table: arrivals.table,
            class: self.classes.get(&arrivals.class)?,
            requests: arrivals.requests.unwrap_or(0),
            unanswered: arrivals.unanswered.unwrap_or(0),
            window: optional_duration(arrivals.window_seconds),
        })
    }

    fn update_acknowledged(&mut self, acknowledged: &wire::UpdateAcknowledged) -> Event {
        Event::UpdateAcknowledged {
            proxy: self.proxies.index(acknowledged.proxy),
            ack_token: acknowledged.ack_token,
            elapsed: optional_duration(acknowledged.elapsed_seconds),
        }
    }

    fn stored_entry(&mut self, entry: &wire::StoredEntry) -> Event {
        Event::StoredEntry {
            table: entry.table,
            server: self.servers.index(entry.server),
            weight: entry.weight.unwrap_or(DEFAULT_WEIGHT),
        }
    }

    fn health_checked(&mut self, check: wire::HealthChecked) -> Event {
        Event::HealthChecked {
            server: self.servers.index(check.server),
            result: match check.result {
                wire::HealthCheckResult::Success => HealthCheckResult::Success,
                wire::HealthCheckResult::ErrorResponse => HealthCheckResult::ErrorResponse,
                wire::HealthCheckResult::Rejected => HealthCheckResult::Rejected,
                wire::HealthCheckResult::Timeout => HealthCheckResult::Timeout,
                wire::HealthCheckResult::ConnectionFailed => HealthCheckResult::ConnectionFailed,
                wire::HealthCheckResult::Inconclusive => HealthCheckResult::Inconclusive,
            },
            elapsed: optional_duration(check.elapsed_seconds),
            load: load_report(check.load),
        }
    }

    fn outcome_report(&mut self, report: wire::OutcomeReport) -> Event {
        Event::OutcomeReport {
            zone: self.zones.index(report.zone),
            server: self.servers.index(report.server),
            attempts: report.attempts.unwrap_or(0),
            failures: report.failures.unwrap_or(0),
            mean_latency: optional_duration(report.mean_latency_seconds),
            window: optional_duration(report.window_seconds),
            load: load_report(report.load),
        }
    }

    fn proxy_connected(&mut self, connected: wire::ProxyConnected) -> Event {
        Event::ProxyConnected {
            proxy: self.proxies.index(connected.proxy),
            zone: self.zones.index(connected.zone),
            request_rate: connected.request_rate.unwrap_or(0.0),
            has_no_table: connected.has_no_table.unwrap_or(false),
        }
    }

    /// Translates a command; `None` if it refers to a server or proxy that no event has named, or to a class beyond
    /// the 64 bits of a class mask.
    pub fn command(&self, planner: u64, command: Command) -> Option<Output> {
        Some(match command {
            Command::SetEntry { table, server, weight } => {
                Output::SetEntry { planner, table, server: self.server_id(server)?, weight }
            }
            Command::ClearTable { table } => Output::ClearTable { planner, table },
            Command::EjectServer { server, ejected } => {
                Output::EjectServer { planner, ejected, server: self.server_id(server)? }
            }
            Command::AssignTable { proxy, table, class_mask } => {
                Output::AssignTable { planner, proxy: *self.proxies.name(proxy)?, table, class_mask }
            }
            Command::SetAdmission { table, class, admission_rate, retry_policy } => Output::SetAdmission {
                planner,
                table,
                class_mask: 1u64.checked_shl(u32::try_from(class).ok()?)?,
                admission_rate: admission_rate.unwrap_or(self.unlimited_rate),
                retry_policy,
            },
            Command::RequestAck { ack_token, all_proxies } => {
                Output::RequestAck { planner, ack_token, all_proxies }
            }
            Command::CheckHealth { server } => {
                Output::CheckHealth { planner, server: self.server_id(server)? }
            }
            Command::SendToPeer { peer, bytes } => {
                let recipient = peer.map_or(Recipient::All, Recipient::Planner);
                Output::SendToPeer { planner, recipient, payload: encode_hex(&bytes) }
            }
            Command::WatchEndpoints { enabled } => Output::WatchEndpoints { planner, enabled },
            Command::FetchEndpoints => Output::FetchEndpoints { planner },
            Command::SetTimer { after, token } => {
                Output::SetTimer { planner, after_seconds: after.as_secs_f64(), token }
            }
            Command::LogEjection(report) => {
                Output::Log { planner, text: report.log_line(&report.server.to_string()) }
            }
            Command::LogQueueShortage(shortage) => Output::Log { planner, text: shortage.log_line() },
            Command::LogDelayedRemovals(delay) => Output::Log { planner, text: delay.log_line() },
        })
    }

    fn server_id(&self, index: usize) -> Option<u64> {
        self.servers.name(index).copied()
    }
}

fn peer_message(message: &wire::PeerMessage) -> Event {
    let payload = message.payload.as_deref().unwrap_or_default();
    Event::PeerMessage { peer: message.sender as usize, bytes: decode_hex(payload) }
}

/// A duration in seconds; one that is negative, not finite or too large is zero.
fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

fn optional_duration(seconds: Option<f64>) -> Duration {
    seconds.map(duration).unwrap_or_default()
}

/// The values of a load report, with NaN for a missing one; empty without a report.
fn load_report(values: Option<Vec<Option<f64>>>) -> Vec<f64> {
    values.unwrap_or_default().into_iter().map(|value| value.unwrap_or(f64::NAN)).collect()
}

/// Bytes from pairs of hexadecimal digits. Other characters and an odd last digit are ignored.
fn decode_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.chars().filter_map(|c| c.to_digit(16)).map(|digit| digit as u8).collect();
    digits.chunks_exact(2).map(|pair| pair[0] * 16 + pair[1]).collect()
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
