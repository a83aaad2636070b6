//! Hosts many planners that share nothing and translates between the wire and their interface.

use crate::wire::{Host as HostEntry, In, Out};
use runloom_controller::Controller;
use runloom_controller::IdMap;
use runloom_controller::{
    Command, EndpointRecord, EndpointUpdate, Event, HealthCheckResult, ListedState, RetryPolicy,
};
use runloom_deployment_config::Settings;
use serde_json::Value;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

struct Instance {
    controller: Controller,
    servers: IdMap<u64>,
    proxies: IdMap<u32>,
    zones: IdMap<String>,
    kinds: IdMap<String>,
    classes: IdMap<String>,
    unlimited_rate: f64,
    happened: Vec<Event>,
}

/// The planners of one process and the batch being read.
#[derive(Default)]
pub struct Hosted {
    instances: BTreeMap<u64, Instance>,
}

fn span(seconds: Option<f64>) -> Duration {
    seconds.and_then(|s| Duration::try_from_secs_f64(s).ok()).unwrap_or_default()
}

fn load(values: Option<Vec<Option<f64>>>) -> Vec<f64> {
    values.unwrap_or_default().into_iter().map(|v| v.unwrap_or(f64::NAN)).collect()
}

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.chars().filter_map(|c| c.to_digit(16)).map(|d| d as u8).collect();
    digits.chunks_exact(2).map(|pair| pair[0] * 16 + pair[1]).collect()
}

impl Instance {
    fn new(seed: u64, settings: &Value) -> Self {
        let Settings { config, classes, zones, unlimited_rate, .. } =
            runloom_deployment_config::read(settings);
        Instance {
            controller: Controller::default(),
            servers: IdMap::default(),
            proxies: IdMap::default(),
            zones,
            kinds: IdMap::default(),
            classes,
            unlimited_rate,
            happened: vec![Event::Start { seed, config: Box::new(config) }],
        }
    }

    fn entry(&mut self, host: HostEntry) -> EndpointRecord {
        EndpointRecord {
            server: self.servers.index(host.server),
            zone: self.zones.index(host.az.unwrap_or_default()),
            kind: self.kinds.index(host.sku.unwrap_or_default()),
            cell: host.group.unwrap_or(0),
            state: match host.mode.as_deref() {
                Some("DRAINING") => ListedState::Draining,
                Some("DELETED") => ListedState::Removed,
                _ => ListedState::Ready,
            },
            weight: host.share.unwrap_or(1.0),
            started: host.last_start_s.filter(|s| *s > 0.0).map(|s| span(Some(s))),
        }
    }

    /// One event in the planner's words; `None` where it names a class that is not there.
    fn translate(&mut self, event: In) -> Option<Event> {
        Some(match event {
            In::Discovery { how, hosts, .. } => {
                let how = match how.as_str() {
                    "Partial" => EndpointUpdate::Delta,
                    "Complete" => EndpointUpdate::Snapshot,
                    "Persisted" => EndpointUpdate::Cached,
                    _ => EndpointUpdate::WatchFailed,
                };
                let entries = hosts.unwrap_or_default().into_iter().map(|h| self.entry(h)).collect();
                Event::EndpointsListed { update: how, records: entries }
            }
            In::Traffic { edge, n, covers_s, tier_class, errors, .. } => Event::ArrivalReport {
                proxy: self.proxies.index(edge),
                class: self.classes.get(&tier_class)?,
                requests: n.unwrap_or(0),
                unanswered: errors.unwrap_or(0),
                window: span(covers_s),
            },
            In::SliceLoad { tier_class, table, n, covers_s, errors, .. } => Event::SliceArrivalReport {
                table,
                class: self.classes.get(&tier_class)?,
                requests: n.unwrap_or(0),
                unanswered: errors.unwrap_or(0),
                window: span(covers_s),
            },
            In::Peer { sender, payload, .. } => {
                Event::PeerMessage { peer: sender as usize, bytes: hex(&payload.unwrap_or_default()) }
            }
            In::Timer { token, .. } => Event::TimerFired { token },
            In::TookEffect { edge, gen, elapsed_s, .. } => Event::UpdateAcknowledged {
                proxy: self.proxies.index(edge),
                ack_token: gen,
                elapsed: span(elapsed_s),
            },
            In::StoredLine { table, server, share, .. } => {
                Event::StoredEntry { table, server: self.servers.index(server), weight: share.unwrap_or(1.0) }
            }
            In::Echo { ending, elapsed_s, server, metrics, .. } => Event::HealthChecked {
                server: self.servers.index(server),
                result: match ending.as_str() {
                    "served" => HealthCheckResult::Success,
                    "server_error" => HealthCheckResult::ErrorResponse,
                    "turned_away" => HealthCheckResult::Rejected,
                    "no_answer" => HealthCheckResult::Timeout,
                    "no_connection" | "connection_lost" => HealthCheckResult::ConnectionFailed,
                    _ => HealthCheckResult::Inconclusive,
                },
                elapsed: span(elapsed_s),
                load: load(metrics),
            },
            In::Given { table, set, .. } => Event::SliceOwnership { table, is_owned: set.unwrap_or(false) },
            In::LostStream { edge, .. } => Event::ProxyDisconnected { proxy: self.proxies.index(edge) },
            In::Roundup { az, server, n, errors, elapsed_s, covers_s, metrics, .. } => Event::OutcomeReport {
                zone: self.zones.index(az),
                server: self.servers.index(server),
                attempts: n.unwrap_or(0),
                failures: errors.unwrap_or(0),
                mean_latency: span(elapsed_s),
                window: span(covers_s),
                load: load(metrics),
            },
            In::Joined { az, share, edge, set, .. } => Event::ProxyConnected {
                proxy: self.proxies.index(edge),
                zone: self.zones.index(az),
                request_rate: share.unwrap_or(0.0),
                has_no_table: set.unwrap_or(false),
            },
            In::Frame { .. } | In::Commit | In::Hello { .. } | In::Teardown { .. } | In::Unknown => {
                return None
            }
        })
    }

    /// One order in the wire's words; `None` where it names what the wire has not named before.
    fn put(&self, planner: u64, order: Command) -> Option<Out> {
        let server = |index: usize| self.servers.name(index).copied();
        Some(match order {
            Command::SetEntry { table, server: s, weight } => {
                Out::Endpoint { planner, table, server: server(s)?, share: weight }
            }
            Command::ClearTable { table } => Out::Truncate { planner, table },
            Command::EjectServer { server: s, ejected: out } => {
                Out::Pull { planner, set: out, server: server(s)? }
            }
            Command::AssignTable { proxy, table, class_mask: classes } => {
                Out::AttachTable { planner, edge: *self.proxies.name(proxy)?, table, class_bits: classes }
            }
            Command::SetAdmission { table, class, admission_rate: level, retry_policy: tries } => {
                Out::Throttle {
                    planner,
                    table,
                    class_bits: 1 << class,
                    allowance: level.unwrap_or(self.unlimited_rate),
                    retry_mode: match tries {
                        RetryPolicy::Never => 0,
                        RetryPolicy::IfNotExecuted => 1,
                        RetryPolicy::Once => 2,
                        RetryPolicy::Twice => 3,
                    },
                }
            }
            Command::RequestAck { ack_token: mark, all_proxies: everyone } => {
                Out::FencePost { planner, gen: mark, set: everyone }
            }
            Command::CheckHealth { server: s } => Out::HealthCheck { planner, server: server(s)? },
            Command::SendToPeer { peer, bytes } => Out::MemoTo {
                planner,
                recipient: peer.map_or(Value::from("*"), Value::from),
                payload: bytes.iter().map(|b| format!("{b:02x}")).collect(),
            },
            Command::WatchEndpoints { enabled: on } => Out::Listen { planner, set: on },
            Command::FetchEndpoints => Out::QueryAll { planner },
            Command::SetTimer { after, token } => Out::WakeMe { planner, in_s: after.as_secs_f64(), token },
            Command::LogEjection(report) => {
                let reason_text = report.log_line(&report.server.to_string());
                Out::WriteLog { planner, reason_text }
            }
        })
    }
}

impl Hosted {
    /// Takes in one event of a batch. What can't be used is noted on standard error and left.
    pub fn take(&mut self, event: In) {
        let planner = match &event {
            In::Hello { planner, rng_seed, facts } => {
                let settings = facts.clone().unwrap_or(Value::Null);
                self.instances.insert(*planner, Instance::new(rng_seed.unwrap_or(0), &settings));
                return;
            }
            In::Teardown { planner } => {
                if self.instances.remove(planner).is_none() {
                    eprintln!("runloom-adapter: ignored an end of instance {planner}, which does not run");
                }
                return;
            }
            In::Discovery { planner, .. }
            | In::Traffic { planner, .. }
            | In::Peer { planner, .. }
            | In::Timer { planner, .. }
            | In::TookEffect { planner, .. }
            | In::SliceLoad { planner, .. }
            | In::StoredLine { planner, .. }
            | In::Echo { planner, .. }
            | In::Given { planner, .. }
            | In::LostStream { planner, .. }
            | In::Roundup { planner, .. }
            | In::Joined { planner, .. } => *planner,
            In::Frame { .. } | In::Commit | In::Unknown => return,
        };
        let Some(instance) = self.instances.get_mut(&planner) else {
            eprintln!("runloom-adapter: ignored an event for instance {planner}, which does not run");
            return;
        };
        match instance.translate(event) {
            Some(event) => instance.happened.push(event),
            None => eprintln!("runloom-adapter: ignored an event of instance {planner} on an unknown class"),
        }
    }

    /// Lets every planner with events decide, and gives the reply's lines.
    pub fn reply(&mut self, now: Duration) -> Vec<Out> {
        let mut reply = Vec::new();
        for (&planner, instance) in self.instances.iter_mut().filter(|(_, i)| !i.happened.is_empty()) {
            let happened = std::mem::take(&mut instance.happened);
            let decided = catch_unwind(AssertUnwindSafe(|| instance.controller.step(now, &happened)));
            match decided {
                Ok(orders) => reply.extend(orders.into_iter().filter_map(|o| instance.put(planner, o))),
                Err(cause) => {
                    let text = cause
                        .downcast_ref::<String>()
                        .cloned()
                        .or_else(|| cause.downcast_ref::<&str>().map(|s| s.to_string()))
                        .unwrap_or_else(|| "a panic without a text".into());
                    reply.push(Out::Panic { planner, reason_text: text });
                }
            }
        }
        reply.push(Out::Next);
        reply
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(text: &str) -> In {
        serde_json::from_str(text).expect("a legal line")
    }

    fn started() -> Hosted {
        let mut hosted = Hosted::default();
        hosted.take(line(r#"{"verb":"HELLO","planner":3,"rngSeed":5,"facts":{"classes":[{"name":"a"}]}}"#));
        hosted
    }

    #[test]
    fn an_event_for_an_instance_that_does_not_run_is_never_answered() {
        let mut hosted = started();
        hosted.take(line(r#"{"verb":"TIMER","planner":4,"token":1}"#));
        let reply = serde_json::to_string(&hosted.reply(Duration::ZERO)).unwrap();
        assert!(reply.contains(r#""planner":3"#) && !reply.contains(r#""planner":4"#));
    }

    #[test]
    fn nulls_and_unknown_keys_are_legal() {
        let text = r#"{"verb":"ROUNDUP","planner":3,"az":"z","server":9,"n":1,"metrics":null,"new":[]}"#;
        let mut hosted = started();
        hosted.take(line(text));
        assert_eq!(hosted.instances[&3].happened.len(), 2);
    }
}
