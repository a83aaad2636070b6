//! Receives route tables on a planner's session, as NETCONF edits or over an MQTT subscription.

use super::datastore::count_entries;
use super::planner_link::{PlannerLink, PlannerProtocol};
use super::{AppliedUpdate, ProxyRuntime};
use runloom_event_loop::EventLoop;
use runloom_model::PROXY_NAMESPACE;
use runloom_mqtt::client::{Client, ClientEvent};
use runloom_netconf::session::SessionEvent;
use runloom_netconf::tree::Element;
use runloom_proxy::published_tables::tables_after_update;
use runloom_versioned_publisher::ReadOutcome;
use runloom_versioned_publisher::UpdatePart;
use std::time::Duration;

impl ProxyRuntime {
    /// Handles bytes received on the planner's session, or keeps them while a test makes the proxy unresponsive.
    pub(super) fn planner_bytes_received(&mut self, event_loop: &mut EventLoop, bytes: &[u8]) {
        if !self.planner_link.is_unresponsive {
            return self.read_planner(event_loop, bytes);
        }
        self.planner_link.unread.extend_from_slice(bytes);
        if let Some(session) = &self.planner_link.session {
            event_loop.pause_reading(session.connection, true);
        }
    }

    pub(super) fn read_planner(&mut self, event_loop: &mut EventLoop, bytes: &[u8]) {
        if self.end_untrusted_session(event_loop, false) {
            return;
        }
        match self.planner_link.protocol_mut() {
            Some(PlannerProtocol::Netconf { .. }) => self.read_netconf(event_loop, bytes),
            Some(PlannerProtocol::Mqtt(_)) => self.read_mqtt(event_loop, bytes),
            None => {}
        }
    }

    fn read_netconf(&mut self, event_loop: &mut EventLoop, bytes: &[u8]) {
        let Some(PlannerProtocol::Netconf { session, .. }) = self.planner_link.protocol_mut() else { return };
        let mut received = session.receive(bytes);
        loop {
            let events = match received {
                Ok(events) => events,
                Err(error) => {
                    tracing::warn!(forwarder = %self.settings.name, reason = %error, "stream ends");
                    self.write_planner(event_loop);
                    return self.abort_planner_session(event_loop);
                }
            };
            let event_count = events.len();
            for event in events {
                self.handle_netconf_event(event_loop.now(), event);
            }
            match self.planner_link.protocol_mut() {
                Some(PlannerProtocol::Netconf { session, .. }) if session.may_have_more(event_count) => {
                    received = session.receive_buffered();
                }
                _ => break,
            }
        }
        self.write_planner(event_loop);
    }

    fn handle_netconf_event(&mut self, now: Duration, event: SessionEvent) {
        let SessionEvent::Rpc(rpc) = event else { return };
        if rpc.operation().name == "get" {
            let state = self.operational_state();
            self.planner_link.datastore.set_state(state);
        }
        let PlannerLink { session, service, datastore, .. } = &mut self.planner_link;
        let protocol = session.as_mut().map(|session| &mut session.protocol);
        let Some(PlannerProtocol::Netconf { session, id }) = protocol else { return };
        let answer = service.handle(now, *id, &rpc, datastore);
        session.reply(&rpc, answer.content);
        if let Some(tables) = datastore.take_accepted() {
            let edited = rpc.operation().child("config").and_then(|config| config.child("tables"));
            let entries = edited.map_or(0, count_entries);
            self.applied_updates.push(AppliedUpdate { entries, version: None });
            self.proxy.replace_tables(tables);
        }
    }

    /// The operational state that `<get>` returns.
    fn operational_state(&self) -> Element {
        Element::new(PROXY_NAMESPACE, "proxy")
            .with_leaf("name", &self.settings.name)
            .with_leaf("zone", &self.settings.zone)
            .with_leaf("rate", format!("{:.3}", self.reporter.arrival_rate()))
            .with_leaf("fresh", !self.proxy.tables().is_from_planner())
    }

    fn read_mqtt(&mut self, event_loop: &mut EventLoop, bytes: &[u8]) {
        let now = event_loop.now();
        let Some(client) = self.planner_link.mqtt_client_mut() else { return };
        for event in client.receive(now, bytes) {
            let ClientEvent::Part { packet_id, part } = event else { continue };
            let is_usable = self.apply_part(&part);
            match self.planner_link.mqtt_client_mut() {
                Some(client) if is_usable => client.acknowledge(now, packet_id),
                Some(client) => client.reject(now, packet_id),
                None => {}
            }
        }
        self.write_mqtt(event_loop);
    }

    /// Applies a part of a published update. Returns false if it cannot be used and the planner has to send a snapshot.
    fn apply_part(&mut self, part: &UpdatePart) -> bool {
        let reader = &mut self.planner_link.published;
        let version = match reader.read(part) {
            ReadOutcome::Pending => return true,
            ReadOutcome::NeedsSnapshot | ReadOutcome::Stale => return false,
            ReadOutcome::Applied(version) => version,
        };
        match tables_after_update(reader, part.topic) {
            Ok(tables) => {
                let entries = part.changes.len();
                let version = Some((part.topic, version));
                self.applied_updates.push(AppliedUpdate { entries, version });
                if let Some(tables) = tables {
                    self.proxy.replace_tables(tables);
                }
                true
            }
            Err(unusable) => {
                let why = unusable.error.to_string();
                let name = &self.settings.name;
                tracing::warn!(forwarder = %name, table = ?unusable.topic, why, "a published table is invalid");
                reader.drop_table(unusable.topic);
                false
            }
        }
    }

    /// Handles the MQTT session's timers that are due.
    pub(super) fn run_session_timers(&mut self, event_loop: &mut EventLoop, now: Duration) {
        let Some(client) = self.planner_link.mqtt_client_mut() else { return };
        if client.next_wakeup().is_some_and(|at| now >= at) {
            client.handle_timeout(now);
            self.write_mqtt(event_loop);
        }
    }

    /// Writes the MQTT client's output, and aborts the session if the client has ended it.
    fn write_mqtt(&mut self, event_loop: &mut EventLoop) {
        self.write_planner(event_loop);
        let end = self.planner_link.mqtt_client().and_then(Client::end);
        if let Some(end) = end {
            tracing::info!(forwarder = %self.settings.name, over = ?end, "stream ends; tables stay in force");
            self.abort_planner_session(event_loop);
        }
    }
}
