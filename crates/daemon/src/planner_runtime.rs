//! The planner's runtime: connects the state machines, which do no I/O, to sockets, files and the clock. One event loop
//! serves operators' NETCONF sessions, proxies, health checks and metrics requests.

mod call_home;
mod core;
mod durability;
mod event_recording;
mod health_checks;
mod identities;
mod listeners;
mod metrics_endpoint;
mod netconf_sessions;
mod operator_sessions;
mod proxy_event;
mod proxy_session;
mod proxy_sessions;
mod reconfiguration;
mod rejection_log;
mod restore;
mod startup;
mod state_report;
mod subscriber;
mod test_hooks;

pub use event_recording::BUILD;
pub use listeners::ListenAddresses;
pub use test_hooks::{CrashPoint, TestHooks};

use self::core::{record_micros, PlannerCore};
use crate::config_service::schema;
use crate::earliest;
use crate::error::StartError;
use crate::tls_credentials::CertificateHolder;
use durability::Durability;
use event_recording::{note_event, EventRecording};
use health_checks::HealthChecks;
use listeners::{ListenerKind, Listeners};
use metrics_endpoint::MetricsEndpoint;
use netconf_sessions::NetconfSessions;
use operator_sessions::OperatorSessions;
use proxy_sessions::ProxySessions;
use reconfiguration::Reconfiguration;
use rejection_log::RejectionLog;
use runloom_control_session::Action;
use runloom_event_log::RecordedEvent;
use runloom_event_loop::{CloseReason, ConnectionId, EventLoop, IoEvent};
use runloom_identity::access::RequestedAccess;
use runloom_inventory::edit_history::Edit;
use runloom_model::planner_settings::PlannerSettings;
use runloom_model::STATE_NAMESPACE;
use runloom_netconf::tree::Element;
use signal_hook::consts::SIGHUP;
use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

/// Time between two checks of identities, silent subscribers and unacknowledged messages.
const SESSION_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for connections to write their output and close when the planner stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// A running planner: its state machines, its connections and its files.
pub struct PlannerRuntime {
    core: PlannerCore,
    reconfiguration: Reconfiguration,
    listeners: Listeners,
    operators: OperatorSessions,
    proxies: ProxySessions,
    health_checks: HealthChecks,
    metrics: MetricsEndpoint,
    durability: Durability,
    recording: EventRecording,
    rejection_log: RejectionLog,
    /// `None`: the check runs in the next iteration.
    last_session_check: Option<Duration>,
    is_stopping: bool,
}

impl PlannerRuntime {
    /// Starts a planner with the configuration that its state folder holds, or else with that of the settings, and
    /// returns it with the addresses that it listens on.
    pub fn start(
        event_loop: &mut EventLoop,
        settings: &PlannerSettings,
        seed: u64,
    ) -> Result<(PlannerRuntime, ListenAddresses), StartError> {
        let started = startup::start(event_loop, settings, seed)?;
        let addresses = started.listeners.addresses;
        let planner = PlannerRuntime {
            core: started.core,
            reconfiguration: started.reconfiguration,
            listeners: started.listeners,
            operators: OperatorSessions::new(schema()?),
            proxies: ProxySessions::default(),
            health_checks: HealthChecks::default(),
            metrics: MetricsEndpoint::new(),
            durability: started.durability,
            recording: started.recording,
            rejection_log: RejectionLog::default(),
            last_session_check: Some(Duration::ZERO),
            is_stopping: false,
        };
        tracing::info!(
            planner = %settings.name,
            edits = %addresses.operators,
            home = %addresses.call_home,
            "planner started"
        );
        Ok((planner, addresses))
    }

    /// Injects faults, for tests.
    pub fn apply_test_hooks(&mut self, hooks: TestHooks) {
        self.durability.crash_point = hooks.crash_point;
        self.core.control.is_guarded = !hooks.skip_guard;
        self.core.control.tamper = hooks.command_tamper;
    }

    /// Runs until a signal asks the planner to stop and its connections are closed, or the time for that is over.
    pub fn run(&mut self, event_loop: &mut EventLoop) -> io::Result<()> {
        let mut stop_by: Option<Duration> = None;
        loop {
            for event in event_loop.wait(earliest([self.next_wakeup(), stop_by]))? {
                self.handle_event(event_loop, event);
            }
            self.finish_iteration(event_loop);
            if self.is_stopping && stop_by.is_none() {
                self.close_connections(event_loop);
                stop_by = Some(event_loop.now() + SHUTDOWN_TIMEOUT);
            }
            if stop_by.is_some_and(|end| event_loop.now() >= end || self.connections().is_empty()) {
                self.durability.write_learned(&self.core, self.reconfiguration.inventory());
                self.recording.finish();
                return Ok(());
            }
        }
    }

    fn connections(&self) -> BTreeSet<ConnectionId> {
        let sessions = self.operators.connections().chain(self.proxies.connections());
        sessions.chain(self.health_checks.connections()).chain(self.metrics.connections()).collect()
    }

    /// Closes the listeners, and each connection once its output is written. Proxies keep their tables.
    fn close_connections(&self, event_loop: &mut EventLoop) {
        tracing::info!("stopping: proxies keep their tables");
        event_loop.close_listeners();
        for connection in self.connections() {
            event_loop.finish(connection);
        }
    }

    fn next_wakeup(&self) -> Option<Duration> {
        earliest([
            self.core.control.next_wakeup(),
            self.core.distributor.next_wakeup(),
            self.operators.next_wakeup(),
            self.core.config.edit_history.next_wakeup(),
            Some(self.durability.next_wakeup()),
        ])
    }

    // Events of the event loop.

    fn handle_event(&mut self, event_loop: &mut EventLoop, event: IoEvent) {
        match event {
            IoEvent::Signal(SIGHUP) => self.reload_certificates(),
            IoEvent::Signal(_) => self.is_stopping = true,
            IoEvent::Open { conn, listener, certificate } => {
                self.handle_open(event_loop, conn, listener, certificate);
            }
            IoEvent::Bytes { conn, bytes } => self.handle_bytes(event_loop, conn, &bytes),
            IoEvent::Closed { conn, reason } => self.handle_close(event_loop, conn, reason),
        }
    }

    /// Reloads certificates in this iteration instead of at the next check. The fleet's configuration is not reloaded:
    /// it changes by edits only.
    fn reload_certificates(&mut self) {
        tracing::info!("SIGHUP: certificates are read again; settings apply from the next start");
        self.last_session_check = None;
    }

    fn handle_open(
        &mut self,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        listener: Option<ConnectionId>,
        certificate: Option<Vec<u8>>,
    ) {
        let holder = match certificate.as_deref().map(|der| self.core.identities.tls().identify(der)) {
            Some(Err(why)) => {
                tracing::warn!(%why, "connection rejected: the certificate names no holder");
                return event_loop.abort(connection);
            }
            Some(Ok(holder)) => Some(holder),
            None => None,
        };
        if let (Some(holder), Some(der)) = (&holder, &certificate) {
            self.core.identities.track(connection, holder, der);
        }
        let Some(listener) = listener else {
            return HealthChecks::send_request(event_loop, connection);
        };
        match (self.listeners.kind(listener), holder) {
            (Some(ListenerKind::Metrics), _) => self.metrics.open(connection),
            (Some(ListenerKind::Operators), Some(holder)) => {
                self.operators.open(&mut self.core, event_loop, connection, &holder);
            }
            (Some(ListenerKind::CallHome), Some(holder)) if holder.is_proxy => {
                self.proxies.open_call_home(event_loop, connection, holder);
            }
            (Some(ListenerKind::Subscribers), Some(holder)) if holder.is_proxy => {
                self.proxies.open_subscriber(event_loop, &self.core.name, connection, holder);
            }
            (_, holder) => self.reject(event_loop, connection, holder),
        }
    }

    /// Aborts a connection whose peer may not use the listener's service, and audits the denial.
    fn reject(
        &mut self,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        holder: Option<CertificateHolder>,
    ) {
        if let Some(identity) = holder.as_ref().and_then(|holder| holder.identity.as_ref()) {
            let name = identity.id.name().unwrap_or_default();
            self.core.config.audit_denial(&identity.id, RequestedAccess::Connect { name });
        }
        tracing::warn!(who = ?holder, "connection rejected: the certificate's holder may not use this listener");
        self.core.identities.forget(connection);
        event_loop.abort(connection);
    }

    fn handle_bytes(&mut self, event_loop: &mut EventLoop, connection: ConnectionId, bytes: &[u8]) {
        if self.operators.contains(connection) {
            self.operators.handle_netconf_bytes(&mut self.core, event_loop, connection, bytes);
        } else if self.health_checks.contains(connection) {
            self.health_checks.handle_bytes(&mut self.core.control, event_loop, connection, bytes);
        } else if self.metrics.contains(connection) {
            self.metrics.handle_bytes(&self.core, event_loop, connection, bytes);
        } else {
            self.proxies.handle_bytes(&mut self.core, event_loop, connection, bytes);
        }
    }

    fn handle_close(&mut self, event_loop: &mut EventLoop, connection: ConnectionId, reason: CloseReason) {
        if self.operators.contains(connection) {
            self.operators.handle_close(&mut self.core, event_loop, connection, reason);
        } else if self.health_checks.contains(connection) {
            let now = event_loop.now();
            self.health_checks.handle_close(&mut self.core.control, connection, reason, now);
        } else if self.metrics.contains(connection) {
            self.metrics.handle_close(connection);
        } else {
            self.proxies.handle_close(&mut self.core, event_loop, connection, reason);
        }
    }

    // The steps after the events of an iteration.

    /// Runs the steps that follow the events of an iteration.
    ///
    /// The order matters: accepted edits go to the persistence worker first, and no reply is sent before what it
    /// promises is stored; the inventory and the connected proxies are up to date before the controller runs.
    fn finish_iteration(&mut self, event_loop: &mut EventLoop) {
        let now = event_loop.now();
        self.core.set_time(now);
        self.operators.handle_timeouts(&mut self.core, now);
        self.durability.write_edits(&mut self.core, &mut self.operators, event_loop, now);
        self.durability.write_learned_if_due(&self.core, self.reconfiguration.inventory(), now);
        self.reconfiguration.apply(&mut self.core, &mut self.durability, now);
        self.close_unresponsive(event_loop, now);
        self.proxies.admit(&mut self.core, event_loop, now);
        self.step_control(event_loop, now);
        self.rejection_log.log_new(&self.core.control, now);
        self.announce_edits_in_force();
        self.operators.write_replies(&self.core, event_loop);
        self.durability.replies_sent();
        self.durability.write_list_if_due(&self.core, now);
        self.recording.write(&mut self.core.control, event_loop.now(), now);
        self.log_denials();
    }

    /// Runs the controller, and sends the commands that it issues.
    fn step_control(&mut self, event_loop: &mut EventLoop, now: Duration) {
        let (actions, issued) = self.core.control.step(now);
        self.core.config.edit_history.record_published(&issued.servers, &issued.messages);
        let has_commands = actions.iter().any(|action| matches!(action, Action::Send { .. }));
        for action in actions {
            self.perform(event_loop, action);
        }
        self.proxies.deliver_updates(&mut self.core, event_loop);
        if has_commands {
            let elapsed = event_loop.now().saturating_sub(now);
            record_micros(&mut self.core.statistics.issue_time, elapsed);
        }
    }

    fn perform(&mut self, event_loop: &mut EventLoop, action: Action) {
        match action {
            Action::UpdateTable { table, edit } => self.core.distributor.update_table(table, &edit),
            Action::UpdateEjections { servers } => self.core.distributor.update_ejections(&servers),
            Action::Send { proxy, number, message, entries } => {
                tracing::debug!(proxy, number, lines = entries, "command issued");
                self.core.distributor.issue_command(proxy, number, &message);
            }
            Action::CheckHealth { server, address } => {
                self.health_checks.start(&mut self.core.control, event_loop, server, address);
            }
            Action::Log { text } => tracing::info!("{text}"),
        }
    }

    /// Ends sessions of peers that do not acknowledge or answer in time, or whose identity is no longer valid.
    fn close_unresponsive(&mut self, event_loop: &mut EventLoop, now: Duration) {
        self.proxies.close_unacknowledged_updates(&mut self.core, event_loop, now);
        if self.last_session_check.is_none_or(|checked_at| now >= checked_at + SESSION_CHECK_INTERVAL) {
            self.last_session_check = Some(now);
            self.close_invalid_identities(event_loop, now);
            self.proxies.close_silent(&mut self.core, event_loop, now);
            self.proxies.close_unacknowledged_messages(&mut self.core, event_loop, now);
        }
        self.health_checks.time_out(&mut self.core.control, event_loop, now);
    }

    fn close_invalid_identities(&mut self, event_loop: &mut EventLoop, now: Duration) {
        for invalid in self.core.identities.check(now) {
            tracing::warn!(
                who = invalid.holder,
                "its identity has ended, or its authority was struck: the stream ends"
            );
            event_loop.abort(invalid.connection);
            self.handle_close(event_loop, invalid.connection, CloseReason::Untrusted);
        }
    }

    /// Records and logs edits that have come into force, and notifies subscribed operators.
    fn announce_edits_in_force(&mut self) {
        let now = self.core.config.now;
        for edit in self.core.config.edit_history.take_completed(now) {
            let event =
                RecordedEvent::EditInForce { id: edit.stored.id.clone(), author: edit.stored.author.clone() };
            note_event(&mut self.core.control, now, event);
            let elapsed = now.saturating_sub(edit.stored_at.unwrap_or(now));
            tracing::info!(
                edit = %edit.stored.id,
                who = %edit.stored.author,
                at = edit.acknowledged_count(),
                of = edit.proxy_count,
                after_ms = elapsed.as_millis() as u64,
                "the edit is in force"
            );
            self.operators.notify(&edit_in_force_notification(&edit, elapsed));
        }
    }

    fn log_denials(&mut self) {
        for entry in self.core.config.take_audit_entries() {
            tracing::warn!(
                who = %entry.identity,
                wish = %entry.access,
                reason = entry.reason,
                more = entry.suppressed,
                "access denied"
            );
        }
    }
}

/// The notification that an edit is in force; `elapsed` is the time since it was stored.
fn edit_in_force_notification(edit: &Edit, elapsed: Duration) -> Element {
    Element::new(STATE_NAMESPACE, "edit-in-force")
        .with_leaf("id", &edit.stored.id)
        .with_leaf("at", edit.acknowledged_count())
        .with_leaf("of", edit.proxy_count)
        .with_leaf("after-ms", elapsed.as_millis())
}
