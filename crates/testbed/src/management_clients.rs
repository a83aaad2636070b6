//! The NETCONF clients of the planners: the feed, which sends the endpoint list, and the operators, who send edits.
//!
//! Each client runs on its own thread, and opens a new session when one ends.

use crate::scenario::ScheduledEdit;
use runloom_daemon::client::{edit_config, Client, ClientError};
use runloom_daemon::tls_credentials::TlsPolicy;
use runloom_model::listed_server::ListedServer;
use runloom_model::tls_files::TlsFiles;
use runloom_model::{FLEET_NAMESPACE, STATE_NAMESPACE};
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Timeout of one request; longer than a planner takes to start.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between attempts, and between queries whether an edit is in force.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks of the feed for a new list.
const FEED_INTERVAL: Duration = Duration::from_millis(20);

/// An endpoint list: servers by name.
pub type ServerList = BTreeMap<String, ListedServer>;

/// The state of a server that a planner was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotifiedState {
    /// The server accepts requests.
    Ready,
    /// The server is to get no more requests.
    Draining,
    /// The server is no longer on the endpoint list.
    Removed,
}

impl fmt::Display for NotifiedState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NotifiedState::Ready => "ready",
            NotifiedState::Draining => "draining",
            NotifiedState::Removed => "removed",
        })
    }
}

/// A change of a server's state that a planner was told and acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notification {
    /// When the planner's reply arrived.
    pub at: Duration,
    /// The planner's index.
    pub planner: usize,
    /// The server's name.
    pub server: String,
    /// The server's new state.
    pub state: NotifiedState,
    /// Whether an operator's edit sent it; if not, the feed did.
    pub is_by_operator: bool,
}

/// The outcome of one edit at one planner.
#[derive(Debug, Clone)]
pub struct EditOutcome {
    /// The id under which the edit was sent.
    pub id: String,
    /// When the first attempt began.
    pub sent_at: Duration,
    /// When the planner's reply that accepts it arrived; `None` if none did.
    pub accepted_at: Option<Duration>,
    /// Whether all proxies applied it.
    pub is_in_force: bool,
    /// Milliseconds from acceptance until it was in force, as reported by the planner; `None` while it is not in force.
    pub in_force_ms: Option<u64>,
    /// Number of times that it was sent.
    pub attempts: u32,
    /// The cause of the rejection; `None` if it was not rejected.
    pub rejection: Option<String>,
}

impl EditOutcome {
    fn new(id: &str, sent_at: Duration) -> EditOutcome {
        EditOutcome {
            id: id.to_string(),
            sent_at,
            accepted_at: None,
            is_in_force: false,
            in_force_ms: None,
            attempts: 0,
            rejection: None,
        }
    }

    fn is_final(&self) -> bool {
        self.is_in_force || self.rejection.is_some()
    }
}

/// State that the testbed and the threads of its management clients share.
#[derive(Default)]
pub struct ManagementState {
    /// Endpoint lists with the times from which the feed sends them.
    lists: Mutex<Vec<(Duration, ServerList)>>,
    notifications: Mutex<Vec<Notification>>,
    edit_outcomes: Mutex<Vec<EditOutcome>>,
    /// Whether the feed sends no lists.
    pub is_feed_suspended: AtomicBool,
    /// Whether all clients are to end.
    pub is_finished: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ManagementState {
    /// Adds a list, which the feed sends from the time `from` on.
    pub fn publish_list(&self, from: Duration, list: ServerList) {
        lock(&self.lists).push((from, list));
    }

    /// The list that was added last; `None` if none was.
    pub fn newest_list(&self) -> Option<ServerList> {
        lock(&self.lists).last().map(|(_, list)| list.clone())
    }

    /// All notifications up to now, in order of time for each planner and sender.
    pub fn notifications(&self) -> Vec<Notification> {
        lock(&self.notifications).clone()
    }

    /// The outcomes of the edits whose processing has ended.
    pub fn edit_outcomes(&self) -> Vec<EditOutcome> {
        lock(&self.edit_outcomes).clone()
    }

    fn list_at(&self, now: Duration) -> Option<ServerList> {
        let lists = lock(&self.lists);
        lists.iter().rev().find(|(from, _)| *from <= now).map(|(_, list)| list.clone())
    }

    fn is_finished(&self) -> bool {
        self.is_finished.load(Ordering::Relaxed)
    }
}

/// What a client needs to open sessions with one planner.
struct PlannerEndpoint {
    index: usize,
    address: SocketAddr,
    policy: TlsPolicy,
    state: Arc<ManagementState>,
    /// Times count from here.
    epoch: Instant,
}

impl PlannerEndpoint {
    fn connect(&self) -> Result<Client, ClientError> {
        Client::open(self.address, &self.policy, REQUEST_TIMEOUT)
    }
}

/// Starts the feed of one planner, which sends the endpoint list: a snapshot at the start of each session, then deltas.
///
/// `planner` is the planner's index; times count from `epoch`.
pub fn spawn_feed(
    planner: usize,
    address: SocketAddr,
    credentials: TlsFiles,
    state: Arc<ManagementState>,
    epoch: Instant,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let Ok(policy) = TlsPolicy::load(&credentials) else { return };
        let endpoint = PlannerEndpoint { index: planner, address, policy, state, epoch };
        while !endpoint.state.is_finished() {
            if let Err(error) = run_feed_session(&endpoint) {
                tracing::debug!(planner, error = %error, "the feed's session ended; reconnecting");
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
    })
}

fn run_feed_session(planner: &PlannerEndpoint) -> Result<(), ClientError> {
    let mut client = planner.connect()?;
    let mut sent: Option<ServerList> = None;
    while !planner.state.is_finished() {
        std::thread::sleep(FEED_INTERVAL);
        if planner.state.is_feed_suspended.load(Ordering::Relaxed) {
            continue;
        }
        let Some(list) = planner.state.list_at(planner.epoch.elapsed()) else { continue };
        if sent.as_ref() == Some(&list) {
            continue;
        }
        let edit = match &sent {
            Some(previous) => delta_edit(previous, &list),
            None => snapshot_edit(&list),
        };
        client.edit(edit, None)?;
        record_notifications(planner, &sent.unwrap_or_default(), &list);
        sent = Some(list);
    }
    Ok(())
}

fn delta_edit(previous: &ServerList, list: &ServerList) -> Element {
    let mut roster = Element::new(FLEET_NAMESPACE, "roster");
    for (name, listed) in list.iter().filter(|(name, listed)| previous.get(*name) != Some(listed)) {
        roster = roster.with(listed.to_element(name).with_attribute(BASE, "operation", "replace"));
    }
    for name in previous.keys().filter(|name| !list.contains_key(*name)) {
        let removed = Element::new(FLEET_NAMESPACE, "server").with_attribute(BASE, "operation", "remove");
        roster = roster.with(removed.with_leaf("name", name));
    }
    roster
}

fn snapshot_edit(list: &ServerList) -> Element {
    let roster = Element::new(FLEET_NAMESPACE, "roster").with_attribute(BASE, "operation", "replace");
    list.iter().fold(roster, |roster, (name, listed)| roster.with(listed.to_element(name)))
}

/// Records the changes between two lists, which the planner has just acknowledged.
fn record_notifications(planner: &PlannerEndpoint, previous: &ServerList, list: &ServerList) {
    let at = planner.epoch.elapsed();
    let notification = |server: &str, state| Notification {
        at,
        planner: planner.index,
        server: server.to_string(),
        state,
        is_by_operator: false,
    };
    let mut notifications = lock(&planner.state.notifications);
    for (server, listed) in list.iter().filter(|(server, listed)| previous.get(*server) != Some(listed)) {
        let state = if listed.is_draining { NotifiedState::Draining } else { NotifiedState::Ready };
        notifications.push(notification(server, state));
    }
    for server in previous.keys().filter(|server| !list.contains_key(*server)) {
        notifications.push(notification(server, NotifiedState::Removed));
    }
}

/// Starts an operator, who sends one edit to the planners one after the other, and waits until it is in force at each.
///
/// A failed attempt is repeated under the same id until it is known whether the edit was accepted. Times count from
/// `epoch`.
pub fn spawn_edit(
    planners: Vec<SocketAddr>,
    credentials: TlsFiles,
    edit: ScheduledEdit,
    state: Arc<ManagementState>,
    epoch: Instant,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let Ok(policy) = TlsPolicy::load(&credentials) else { return };
        for (index, address) in planners.into_iter().enumerate() {
            let (policy, state) = (policy.clone(), state.clone());
            let endpoint = PlannerEndpoint { index, address, policy, state, epoch };
            let outcome = apply_edit(&endpoint, &edit);
            lock(&endpoint.state.edit_outcomes).push(outcome);
        }
    })
}

fn apply_edit(planner: &PlannerEndpoint, edit: &ScheduledEdit) -> EditOutcome {
    let mut outcome = EditOutcome::new(&edit.id, planner.epoch.elapsed());
    while !planner.state.is_finished() && !outcome.is_final() {
        match run_edit_session(planner, edit, &mut outcome) {
            Ok(()) => {}
            Err(ClientError::Rejected(reason)) => outcome.rejection = Some(reason),
            Err(error) => {
                tracing::debug!(edit = %edit.id, error = %error, "edit session failed; retrying under the same id");
            }
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
    outcome
}

/// Runs one session: sends the edit unless it is known to be accepted, then queries the planner until it is in force.
fn run_edit_session(
    planner: &PlannerEndpoint,
    edit: &ScheduledEdit,
    outcome: &mut EditOutcome,
) -> Result<(), ClientError> {
    let mut client = planner.connect()?;
    if outcome.accepted_at.is_none() {
        send_edit(planner, edit, &mut client, outcome)?;
    }
    while !outcome.is_in_force && !planner.state.is_finished() {
        update_in_force(&mut client, &edit.id, outcome)?;
        std::thread::sleep(RETRY_INTERVAL);
    }
    Ok(())
}

fn send_edit(
    planner: &PlannerEndpoint,
    edit: &ScheduledEdit,
    client: &mut Client,
    outcome: &mut EditOutcome,
) -> Result<(), ClientError> {
    outcome.attempts += 1;
    let operation = edit_config("running", fleet_edit(edit));
    if edit.drops_connection && outcome.attempts == 1 {
        client.send(operation, Some(&edit.id));
        return Err(ClientError::Ended("the scenario drops this connection".into()));
    }
    client.call(operation, Some(&edit.id))?;
    let at = planner.epoch.elapsed();
    outcome.accepted_at = Some(at);
    if let Some((server, is_draining)) = &edit.drain {
        lock(&planner.state.notifications).push(Notification {
            at,
            planner: planner.index,
            server: server.clone(),
            state: if *is_draining { NotifiedState::Draining } else { NotifiedState::Ready },
            is_by_operator: true,
        });
    }
    Ok(())
}

fn fleet_edit(edit: &ScheduledEdit) -> Element {
    let mut fleet = Element::new(FLEET_NAMESPACE, "fleet");
    if let Some((zone, share)) = &edit.zone_share {
        fleet = fleet
            .with(Element::new(FLEET_NAMESPACE, "zone").with_leaf("name", zone).with_leaf("share", share));
    }
    if let Some((server, drain)) = &edit.drain {
        fleet = fleet.with(
            Element::new(FLEET_NAMESPACE, "server").with_leaf("name", server).with_leaf("drain", drain),
        );
    }
    fleet
}

/// Queries whether the edit is in force, and updates its outcome.
fn update_in_force(client: &mut Client, id: &str, outcome: &mut EditOutcome) -> Result<(), ClientError> {
    let reply =
        client.get(Element::new(STATE_NAMESPACE, "state").with(Element::new(STATE_NAMESPACE, "edit")))?;
    let state = reply.child("data").and_then(|data| data.child("state"));
    let edit = state.and_then(|s| s.named("edit").find(|e| e.text_of("id") == Some(id)).cloned());
    if let Some(edit) = edit.filter(|e| e.text_of("state") == Some("in-force")) {
        outcome.is_in_force = true;
        outcome.in_force_ms = edit.text_of("in-force-ms").and_then(|t| t.parse().ok());
    }
    Ok(())
}
