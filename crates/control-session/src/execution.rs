//! Execution of the controller's commands: the guard validates them, the tables change, and the proxies get messages.

use crate::published_tables::OutgoingMessage;
use crate::session::UNKNOWN_NAME;
use crate::table_message::IndexNames;
use crate::{Action, ControlSession, IssuedUpdate, CLOCK_LEAD};
use runloom_controller::{ClassId, Command, Event, ProxyId, TableId};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The controller's request for acknowledgements of a step's messages.
#[derive(Debug, Clone, Copy)]
struct AckRequest {
    /// Token that the controller gets back with each acknowledgement.
    token: u16,
    /// All proxies get a message, not only those that a change affects.
    all_proxies: bool,
}

/// Results of the commands of one step that were executed so far.
#[derive(Debug, Default)]
struct Execution {
    actions: Vec<Action>,
    issued: IssuedUpdate,
    ack_request: Option<AckRequest>,
}

/// A step's commands after validation.
struct AcceptedCommands {
    commands: Vec<Command>,
    /// Proxies that the rejected commands would have affected.
    affected_by_rejected: BTreeSet<ProxyId>,
}

impl ControlSession {
    /// Executes the commands of one step, and returns the actions for the runtime and what was published.
    pub(crate) fn execute(&mut self, now: Duration, commands: Vec<Command>) -> (Vec<Action>, IssuedUpdate) {
        let accepted = self.validate(now, commands);
        let mut execution = Execution::default();
        for command in accepted.commands {
            self.execute_command(now, command, &mut execution);
        }
        let recipients = self.required_recipients(execution.ack_request, accepted.affected_by_rejected);
        self.send_messages(now, &recipients, &mut execution);
        (execution.actions, execution.issued)
    }

    /// Has the guard validate the commands. The next step tells the controller of the rejected ones.
    fn validate(&mut self, now: Duration, commands: Vec<Command>) -> AcceptedCommands {
        if !self.is_guarded || !commands.iter().any(affects_proxies) {
            return AcceptedCommands { commands, affected_by_rejected: BTreeSet::new() };
        }
        let validated = self.guard.validate(CLOCK_LEAD + now, commands);
        let rejected = validated.rejected.into_iter().map(|rejected| Event::CommandRejected {
            command: rejected.command,
            published_weight: rejected.published_weight,
        });
        self.pending_events.extend(rejected);
        AcceptedCommands { commands: validated.accepted, affected_by_rejected: validated.affected_proxies }
    }

    fn execute_command(&mut self, now: Duration, command: Command, execution: &mut Execution) {
        match command {
            Command::SetEntry { table, server, weight } => {
                execution.issued.servers.insert(self.server_name(server).to_string());
                self.tables.set_entry(table, server, weight);
            }
            Command::ClearTable { table } => self.tables.clear(table),
            Command::EjectServer { server, ejected } => self.tables.set_ejected(server, ejected),
            Command::AssignTable { proxy, table, class_mask } => self.assign_table(proxy, table, class_mask),
            Command::SetAdmission { table, class, admission_rate, retry_policy } => {
                self.tables.set_admission(table, class, admission_rate, retry_policy);
            }
            Command::RequestAck { ack_token, all_proxies } => {
                execution.ack_request = Some(AckRequest { token: ack_token, all_proxies });
            }
            Command::CheckHealth { server } => {
                let address = self.endpoints.address(server);
                execution.actions.extend(address.map(|address| Action::CheckHealth { server, address }));
            }
            Command::SetTimer { after, token } => self.timers.push(Reverse((now + after, token))),
            Command::LogEjection(report) => {
                let text = report.log_line(self.server_name(report.server));
                execution.actions.push(Action::Log { text });
            }
            Command::LogQueueShortage(shortage) => {
                execution.actions.push(Action::Log { text: shortage.log_line() });
            }
            Command::LogDelayedRemovals(delay) => {
                self.delayed_removals += 1;
                execution.actions.push(Action::Log { text: delay.log_line() });
            }
            // Endpoint lists arrive without a request, and a planner has no peers.
            Command::WatchEndpoints { .. } | Command::FetchEndpoints | Command::SendToPeer { .. } => {}
        }
    }

    /// Assigns a proxy's classes in the bit mask `class_mask` to a table; a mask of 0 stands for all classes.
    fn assign_table(&mut self, proxy: ProxyId, table: TableId, class_mask: u64) {
        let is_assigned = |class: &ClassId| class_mask == 0 || class_mask & (1 << class) != 0;
        let classes = (0..self.fleet.classes.len()).filter(is_assigned);
        self.tables.assign(proxy, table, classes);
    }

    /// The proxies that get a message even if nothing changed for them: the controller waits for an acknowledgement
    /// from every proxy that its commands affect, rejected commands included.
    fn required_recipients(
        &self,
        ack_request: Option<AckRequest>,
        affected_by_rejected: BTreeSet<ProxyId>,
    ) -> BTreeSet<ProxyId> {
        match ack_request {
            None => BTreeSet::new(),
            Some(AckRequest { all_proxies: true, .. }) => self.members.keys().copied().collect(),
            Some(AckRequest { all_proxies: false, .. }) => affected_by_rejected,
        }
    }

    /// Sends one message to each proxy that the changes affect, and to each of `required`.
    fn send_messages(&mut self, now: Duration, required: &BTreeSet<ProxyId>, execution: &mut Execution) {
        let names = IndexNames {
            server: &|server| self.endpoints.name(server),
            address: &|server| address_text(self.endpoints.address(server)),
            class: &|class| self.fleet.classes.get(class).map_or(UNKNOWN_NAME, |class| class.name.as_str()),
        };
        for (table, edit) in self.tables.table_changes(&names) {
            execution.actions.push(Action::UpdateTable { table, edit });
        }
        let ejections = self.tables.ejection_changes(&names);
        if !ejections.is_empty() {
            execution.actions.push(Action::UpdateEjections { servers: ejections });
        }
        let members: Vec<ProxyId> = self.members.keys().copied().collect();
        let messages = self.tables.take_messages(&members, required, &names);
        for message in messages {
            self.send(now, message, execution);
        }
        self.max_queued_entries = self.max_queued_entries.max(self.queued_entries());
    }

    fn send(&mut self, now: Duration, outgoing: OutgoingMessage, execution: &mut Execution) {
        let OutgoingMessage { proxy, message, entries } = outgoing;
        let Some(member) = self.members.get_mut(&proxy) else { return };
        let number = member.send(now, execution.ack_request.map(|request| request.token), entries);
        self.guard.record_sent(proxy, number);
        self.entries_sent += entries as u64;
        self.messages_sent += 1;
        execution.issued.messages.push((proxy, number));
        execution.actions.push(Action::Send { proxy, number, message, entries });
    }
}

/// Whether a command may change what proxies hold. A step without such a command is not validated by the guard.
fn affects_proxies(command: &Command) -> bool {
    !matches!(
        command,
        Command::CheckHealth { .. }
            | Command::SetTimer { .. }
            | Command::LogEjection(_)
            | Command::LogQueueShortage(_)
            | Command::LogDelayedRemovals(_)
    )
}

/// The address as text; empty if there is none.
fn address_text(address: Option<SocketAddr>) -> String {
    address.map(|address| address.to_string()).unwrap_or_default()
}
