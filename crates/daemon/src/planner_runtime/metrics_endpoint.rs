//! Serves metrics in Prometheus' text format over plain HTTP.

use super::core::PlannerCore;
use crate::http::{serialize_response, MessageReader};
use crate::wall_ms;
use hdrhistogram::Histogram;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use runloom_distribution::Transport;
use runloom_event_loop::{ConnectionId, EventLoop};
use std::collections::BTreeMap;

const CONTENT_TYPE: &str = "text/plain; version=0.0.4";
const MICROS_PER_SECOND: f64 = 1e6;

/// Connections of clients that read the metrics, and the recorder that renders them.
pub(super) struct MetricsEndpoint {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    clients: BTreeMap<ConnectionId, MessageReader>,
}

impl MetricsEndpoint {
    pub(super) fn new() -> MetricsEndpoint {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        MetricsEndpoint { recorder, handle, clients: BTreeMap::new() }
    }

    pub(super) fn connections(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        self.clients.keys().copied()
    }

    pub(super) fn contains(&self, connection: ConnectionId) -> bool {
        self.clients.contains_key(&connection)
    }

    pub(super) fn open(&mut self, connection: ConnectionId) {
        self.clients.insert(connection, MessageReader::requests());
    }

    pub(super) fn handle_close(&mut self, connection: ConnectionId) {
        self.clients.remove(&connection);
    }

    /// Responds to one request, and closes the connection.
    pub(super) fn handle_bytes(
        &mut self,
        core: &PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        bytes: &[u8],
    ) {
        let Some(reader) = self.clients.get_mut(&connection) else { return };
        reader.push(bytes);
        let response = match reader.next_message() {
            Ok(None) => return,
            Ok(Some(request)) if request.path == "/metrics" => {
                let headers = [("content-type".to_string(), CONTENT_TYPE.to_string())];
                serialize_response(200, &headers, self.render(core, event_loop).as_bytes())
            }
            Ok(Some(_)) => serialize_response(404, &[], b""),
            Err(_) => serialize_response(400, &[], b""),
        };
        event_loop.write(connection, &response);
        event_loop.finish(connection);
    }

    fn render(&self, core: &PlannerCore, event_loop: &EventLoop) -> String {
        metrics::with_local_recorder(&self.recorder, || {
            record_proxies(core);
            record_delivery(core);
            record_edits(core);
            record_times(core, event_loop);
            record_rejections_and_servers(core);
        });
        self.handle.render()
    }
}

fn gauge(name: &'static str, value: f64) {
    metrics::gauge!(name).set(value);
}

fn quantile_seconds(micros: &Histogram<u64>, quantile: f64) -> f64 {
    micros.value_at_quantile(quantile) as f64 / MICROS_PER_SECOND
}

fn record_proxies(core: &PlannerCore) {
    let subscribers = core.connected.values().filter(|proxy| proxy.transport == Transport::Published).count();
    gauge("runloom_proxies_joined", core.connected.len() as f64);
    gauge("runloom_proxies_published_to", subscribers as f64);
    gauge("runloom_proxies_to_be_let_in", core.distributor.waiting_count() as f64);
    metrics::counter!("runloom_proxies_doubted_total").absolute(core.distributor.resync_count());
    metrics::counter!("runloom_reports_unread_total").absolute(core.statistics.malformed_reports);
    if let Some(own) = core.identities.tls().own_identity() {
        gauge("runloom_identity_ends_seconds", (own.not_after - (wall_ms() / 1000) as i64) as f64);
    }
}

fn record_delivery(core: &PlannerCore) {
    gauge("runloom_messages_flying", core.distributor.publisher().messages_in_flight() as f64);
    gauge("runloom_lines_waiting", core.control.queued_entries() as f64);
    gauge("runloom_lines_waiting_most", core.control.max_queued_entries as f64);
    metrics::counter!("runloom_late_removals_total").absolute(core.control.delayed_removals);
    metrics::counter!("runloom_lines_sent_total").absolute(core.control.entries_sent);
    metrics::counter!("runloom_messages_sent_total").absolute(core.control.messages_sent);
}

fn record_edits(core: &PlannerCore) {
    let can_persist = core.config.unavailable_reason.is_none();
    metrics::counter!("runloom_not_allowed_total").absolute(core.config.denied_count());
    gauge("runloom_edits_kept_seconds_p99", quantile_seconds(&core.statistics.edit_write_time, 0.99));
    gauge("runloom_edits_can_be_kept", f64::from(u8::from(can_persist)));
}

fn record_times(core: &PlannerCore, event_loop: &EventLoop) {
    let statistics = &core.statistics;
    let acknowledgement_seconds = |quantile| quantile_seconds(&statistics.acknowledgement_time, quantile);
    gauge("runloom_order_written_seconds_p99", quantile_seconds(&statistics.issue_time, 0.99));
    gauge("runloom_order_confirmed_seconds_p50", acknowledgement_seconds(0.5));
    gauge("runloom_order_confirmed_seconds_p99", acknowledgement_seconds(0.99));
    gauge("runloom_turn_seconds_p99", quantile_seconds(&event_loop.iteration_micros, 0.99));
    gauge("runloom_turn_seconds_max", event_loop.iteration_micros.max() as f64 / MICROS_PER_SECOND);
}

fn record_rejections_and_servers(core: &PlannerCore) {
    for (reason, count) in core.control.guard().rejection_counts() {
        metrics::counter!("runloom_refused_total", "reason" => *reason).absolute(*count);
    }
    let mut servers_by_health: BTreeMap<&'static str, f64> = BTreeMap::new();
    for health in core.control.endpoint_states().values() {
        *servers_by_health.entry(*health).or_default() += 1.0;
    }
    for (health, count) in servers_by_health {
        metrics::gauge!("runloom_servers", "listed" => health).set(count);
    }
}
