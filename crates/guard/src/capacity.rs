//! The listed servers and the capacity estimate. A server's capacity is its configured weight times the highest
//! recent success rate per unit of weight, scaled down while it warms up.

use crate::config::GuardConfig;
use runloom_controller::{ListedState, ServerId};
use std::time::Duration;

/// Weight of the newest rate in the moving average of a server's success rate.
const SUCCESS_RATE_SMOOTHING: f64 = 0.3;
/// Half-life of the highest observed success rate, in seconds: without the decay, a fleet that shrank would be
/// credited with its former capacity.
const CAPACITY_HALF_LIFE_SECONDS: f64 = 60.0;
/// Lower bound of a configured weight as a divisor.
const MIN_CONFIGURED_WEIGHT: f64 = 1e-9;

/// A server's record in the endpoint list, and its recent success rate.
#[derive(Debug, Clone, Default)]
pub(crate) struct TrackedServer {
    /// `None` for a server that was never listed.
    pub state: Option<ListedState>,
    /// Its weight in the endpoint list.
    pub configured_weight: f64,
    /// When its process started; `None` counts as long ago.
    pub started: Option<Duration>,
    /// Moving average of its successful responses per second to this planner's proxies.
    success_rate: f64,
}

/// An operator's override of [`GuardConfig::overload_multiple`].
#[derive(Debug, Clone, Copy)]
struct RaisedMultiple {
    multiple: f64,
    until: Duration,
}

/// All servers that were ever listed or reported on, and the estimate of their capacity.
#[derive(Debug)]
pub(crate) struct Servers {
    pub config: GuardConfig,
    servers: Vec<TrackedServer>,
    /// Highest recent requests per second that warm servers served per unit of configured weight, which decays by
    /// [`CAPACITY_HALF_LIFE_SECONDS`]; 0 if none was observed.
    capacity_per_weight: f64,
    capacity_updated_at: Duration,
    raised_multiple: Option<RaisedMultiple>,
}

impl Servers {
    /// Creates an empty set of servers, of unknown capacity.
    pub fn new(config: GuardConfig) -> Servers {
        Servers {
            config,
            servers: vec![],
            capacity_per_weight: 0.0,
            capacity_updated_at: Duration::ZERO,
            raised_multiple: None,
        }
    }

    /// Indices of all servers; some of them may never have been listed.
    pub fn ids(&self) -> std::ops::Range<ServerId> {
        0..self.servers.len()
    }

    /// A server by its index; `None` if it is beyond [`Servers::ids`].
    pub fn get(&self, server: ServerId) -> Option<&TrackedServer> {
        self.servers.get(server)
    }

    fn get_mut(&mut self, server: ServerId) -> &mut TrackedServer {
        if self.servers.len() <= server {
            self.servers.resize_with(server + 1, TrackedServer::default);
        }
        &mut self.servers[server]
    }

    /// Replaces a server's record in the endpoint list; `None` for `started` counts as long ago.
    pub fn update(
        &mut self,
        server: ServerId,
        state: ListedState,
        configured_weight: f64,
        started: Option<Duration>,
    ) {
        let tracked = self.get_mut(server);
        tracked.state = Some(state);
        tracked.configured_weight = configured_weight;
        tracked.started = started;
    }

    /// Overrides the configured overload multiple up to the time `until`.
    pub fn raise_overload_multiple(&mut self, multiple: f64, until: Duration) {
        self.raised_multiple = Some(RaisedMultiple { multiple, until });
    }

    /// Sets the capacity of a unit of configured weight, in requests per second.
    pub fn set_capacity_per_weight(&mut self, capacity_per_weight: f64) {
        self.capacity_per_weight = capacity_per_weight;
    }

    /// Updates a server's average success rate, in requests per second over all of this planner's proxies. Only a
    /// warm server updates the capacity estimate.
    pub fn record_success_rate(&mut self, now: Duration, server: ServerId, success_rate: f64) {
        let tracked = self.get_mut(server);
        let smoothing = if tracked.success_rate > 0.0 { SUCCESS_RATE_SMOOTHING } else { 1.0 };
        tracked.success_rate += (success_rate - tracked.success_rate) * smoothing;
        let started = tracked.started;
        let rate_per_weight = tracked.success_rate / tracked.configured_weight.max(MIN_CONFIGURED_WEIGHT);
        if self.config.warm_fraction(started, now) >= 1.0 {
            let elapsed = now.saturating_sub(self.capacity_updated_at).as_secs_f64();
            self.capacity_updated_at = now;
            let decay = 0.5f64.powf(elapsed / CAPACITY_HALF_LIFE_SECONDS);
            self.capacity_per_weight = (self.capacity_per_weight * decay).max(rate_per_weight);
        }
    }

    /// Whether proxies may send to a server: it is listed as ready, or it was removed from the list and
    /// [`GuardConfig::only_draining_binds`] is set.
    pub fn is_open(&self, server: ServerId) -> bool {
        match self.servers.get(server).and_then(|tracked| tracked.state) {
            Some(ListedState::Ready) => true,
            Some(ListedState::Removed) => self.config.only_draining_binds,
            Some(ListedState::Draining) | None => false,
        }
    }

    /// The fraction of its full capacity (0 to 1) that a server is sure to have at its age; 1 if it is unknown.
    pub fn warm_fraction(&self, server: ServerId, now: Duration) -> f64 {
        let tracked = self.servers.get(server);
        tracked.map_or(1.0, |tracked| self.config.warm_fraction(tracked.started, now))
    }

    /// Whether a server is still warming up.
    pub fn is_cold(&self, server: ServerId, now: Duration) -> bool {
        self.warm_fraction(server, now) < 1.0
    }

    /// Requests per second that a unit of configured weight can serve: the observed estimate, or an even share of
    /// `request_rate` among the ready servers if that is more. `None` if nothing is known.
    pub fn estimated_capacity_per_weight(&self, request_rate: f64) -> Option<f64> {
        let ready = self.servers.iter().filter(|tracked| tracked.state == Some(ListedState::Ready));
        let ready_weight: f64 = ready.map(|tracked| tracked.configured_weight).sum();
        let even_share = if ready_weight > 0.0 { request_rate / ready_weight } else { 0.0 };
        let capacity = self.capacity_per_weight.max(even_share);
        (capacity > 0.0).then_some(capacity)
    }

    /// Limit on the requests per second that this planner's proxies may send to a cold server; `None` if the
    /// server is unknown.
    ///
    /// Planners do not exchange their loads: each of the others is assumed to send the server as much as a
    /// warm one of its weight gets from this planner.
    pub fn load_limit(&self, server: ServerId, now: Duration, capacity_per_weight: f64) -> Option<f64> {
        let tracked = self.servers.get(server)?;
        let raised = self.raised_multiple.filter(|raised| now < raised.until);
        let multiple = raised.map_or(self.config.overload_multiple, |raised| raised.multiple);
        let planners = self.config.planner_count;
        let limit_for_all_planners = multiple * self.config.warm_fraction(tracked.started, now) * planners;
        Some((limit_for_all_planners - (planners - 1.0)) * capacity_per_weight * tracked.configured_weight)
    }
}
