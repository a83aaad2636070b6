//! State that all sessions of a planner share: the state machines, which do no I/O, the connected proxies, and the
//! identities of peers.

use super::identities::IdentityTracker;
use crate::config_service::ConfigService;
use crate::wall_ms;
use hdrhistogram::{CreationError, Histogram};
use runloom_control_session::ControlSession;
use runloom_distribution::{Distributor, Transport};
use runloom_event_loop::ConnectionId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Index that the control session gives a proxy.
pub(super) type ProxyId = usize;

/// A proxy that was admitted and receives its tables.
pub(super) struct ConnectedProxy {
    pub connection: ConnectionId,
    pub name: String,
    /// The zone that it reported.
    pub zone: String,
    /// Requests per second, as it reported them on connecting.
    pub request_rate: f64,
    /// How it receives its tables.
    pub transport: Transport,
}

/// How far the batches of accepted edits, numbered from 1, are written to disk.
#[derive(Default)]
pub(super) struct EditBatches {
    /// The last batch handed to the persistence worker.
    pub submitted: u64,
    /// The last batch that is on disk, or that was rolled back.
    pub durable: u64,
}

/// Measurements for the metrics endpoint; all times in microseconds.
pub(super) struct PlannerStatistics {
    /// Time to write one batch of edits to disk.
    pub edit_write_time: Histogram<u64>,
    /// Time from the end of an iteration's events until the commands issued for them are handed to the sockets.
    pub issue_time: Histogram<u64>,
    /// Time from sending a message until its acknowledgement.
    pub acknowledgement_time: Histogram<u64>,
    /// Reports of proxies that could not be parsed.
    pub malformed_reports: u64,
}

/// Highest value of the histograms, in microseconds; longer times count as this.
const MAX_RECORDED_MICROS: u64 = 60_000_000;
/// Significant decimal digits of recorded times.
const HISTOGRAM_DIGITS: u8 = 2;

impl PlannerStatistics {
    pub(super) fn new() -> Result<PlannerStatistics, CreationError> {
        let histogram = || Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, HISTOGRAM_DIGITS);
        Ok(PlannerStatistics {
            edit_write_time: histogram()?,
            issue_time: histogram()?,
            acknowledgement_time: histogram()?,
            malformed_reports: 0,
        })
    }
}

/// Records a time in a histogram of microseconds.
pub(super) fn record_micros(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

/// The planner's state machines.
pub(super) struct PlannerCore {
    /// The planner's name.
    pub name: String,
    /// The controller, and the guard that validates its commands.
    pub control: ControlSession,
    /// Chooses the update that each proxy gets next.
    pub distributor: Distributor,
    /// The configuration and its edit history.
    pub config: ConfigService,
    /// Identities of connected peers.
    pub identities: IdentityTracker,
    /// Admitted proxies, by index.
    pub connected: BTreeMap<ProxyId, ConnectedProxy>,
    pub edit_batches: EditBatches,
    pub statistics: PlannerStatistics,
}

impl PlannerCore {
    /// Sets the time at which the configuration service handles the events that follow.
    pub(super) fn set_time(&mut self, now: Duration) {
        self.config.now = now;
        self.config.wall_ms = wall_ms();
    }

    /// Time within which a proxy has to acknowledge a message.
    pub(super) fn acknowledgement_timeout(&self) -> Duration {
        self.config.fleet().grace.acknowledgement
    }

    /// The connection over which a proxy is connected.
    pub(super) fn connection_of(&self, proxy: ProxyId) -> Option<ConnectionId> {
        self.connected.get(&proxy).map(|connected| connected.connection)
    }

    /// Records that a proxy has applied `update` and all before it; `None`: no further update is complete yet.
    pub(super) fn update_applied(&mut self, now: Duration, proxy: ProxyId, update: Option<u64>) {
        if let Some(update) = update {
            self.control.acknowledge(now, proxy, update);
            self.config.edit_history.acknowledge(proxy, update);
        }
    }

    /// Removes a proxy whose connection ended from the state machines.
    pub(super) fn proxy_disconnected(&mut self, proxy: ProxyId) {
        self.connected.remove(&proxy);
        self.control.disconnect_proxy(proxy);
        self.distributor.disconnect(proxy);
        self.config.edit_history.disconnect_proxy(proxy);
    }
}
