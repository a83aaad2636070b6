//! The feed and the staff: NETCONF clients on threads of their own, one session after the other.

use crate::scenario::Edit;
use runloom_daemon::client::{edit_config, Client, ClientError};
use runloom_daemon::tls_credentials::TlsPolicy;
use runloom_model::listed_server::ListedServer;
use runloom_model::tls_files::TlsFiles;
use runloom_model::{FLEET, STATE};
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What the feed holds a list to be, and from when on it says so.
pub type List = BTreeMap<String, ListedServer>;

/// What a planner was told of a server, and when it said that it knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    pub at: Duration,
    pub planner: usize,
    pub server: String,
    /// `ready`, `draining`, `gone`.
    pub mode: &'static str,
    /// By an operator's edit; else by the feed.
    pub staff: bool,
}

/// What became of one edit.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    pub sent: Duration,
    pub accepted: Option<Duration>,
    pub in_force: bool,
    pub in_force_ms: Option<u64>,
    pub tries: u32,
    pub refused: Option<String>,
}

#[derive(Default)]
pub struct Shared {
    /// Lists by the time from which they hold, the newest last.
    pub lists: Mutex<Vec<(Duration, List)>>,
    pub told: Mutex<Vec<Told>>,
    pub outcomes: Mutex<Vec<Outcome>>,
    pub cut: AtomicBool,
    pub done: AtomicBool,
}

/// Longer than a planner takes to start.
const PATIENCE: Duration = Duration::from_secs(5);
/// Between tries at a planner that is not there.
const AGAIN: Duration = Duration::from_millis(100);

fn changes(old: &List, new: &List) -> Element {
    let mut roster = Element::new(FLEET, "roster");
    for (name, listed) in new.iter().filter(|(name, listed)| old.get(*name) != Some(listed)) {
        roster = roster.with(listed.to_element(name).with_attribute(BASE, "operation", "replace"));
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        let gone = Element::new(FLEET, "server").with_attribute(BASE, "operation", "remove");
        roster = roster.with(gone.with_leaf("name", name));
    }
    roster
}

fn whole(list: &List) -> Element {
    let roster = Element::new(FLEET, "roster").with_attribute(BASE, "operation", "replace");
    list.iter().fold(roster, |r, (name, listed)| r.with(listed.to_element(name)))
}

/// Tells a planner the list as it changes, late as the lists' times say; the whole of it after each start.
pub fn feed(
    planner: usize,
    at: SocketAddr,
    papers: TlsFiles,
    shared: Arc<Shared>,
    start: Instant,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let Ok(terms) = TlsPolicy::load(&papers) else { return };
        while !shared.done.load(Ordering::Relaxed) {
            if let Err(e) = feed_session(planner, at, &terms, &shared, start) {
                tracing::debug!(planner, error = %e, "the feed dials again");
            }
            std::thread::sleep(AGAIN);
        }
    })
}

fn feed_session(
    planner: usize,
    at: SocketAddr,
    terms: &TlsPolicy,
    shared: &Shared,
    start: Instant,
) -> Result<(), ClientError> {
    let mut client = Client::open(at, terms, PATIENCE)?;
    let mut known: Option<List> = None;
    while !shared.done.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(20));
        if shared.cut.load(Ordering::Relaxed) {
            continue;
        }
        let now = start.elapsed();
        let list = {
            let lists = shared.lists.lock().unwrap_or_else(|e| e.into_inner());
            lists.iter().rev().find(|(from, _)| *from <= now).map(|(_, list)| list.clone())
        };
        let Some(list) = list.filter(|l| known.as_ref() != Some(l)) else { continue };
        let top = known.as_ref().map_or_else(|| whole(&list), |old| changes(old, &list));
        client.edit(top, None)?;
        let (at, old) = (start.elapsed(), known.unwrap_or_default());
        let mut told = shared.told.lock().unwrap_or_else(|e| e.into_inner());
        for (server, listed) in &list {
            let mode = if listed.is_draining { "draining" } else { "ready" };
            if old.get(server).is_none_or(|o| o != listed) {
                told.push(Told { at, planner, server: server.clone(), mode, staff: false });
            }
        }
        for server in old.keys().filter(|s| !list.contains_key(*s)) {
            told.push(Told { at, planner, server: server.clone(), mode: "gone", staff: false });
        }
        drop(told);
        known = Some(list);
    }
    Ok(())
}

/// Sends one edit to each planner, again under the same id until it is known whether it took, and waits until it is in force.
pub fn edit(
    planners: Vec<SocketAddr>,
    papers: TlsFiles,
    edit: Edit,
    shared: Arc<Shared>,
    start: Instant,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let Ok(terms) = TlsPolicy::load(&papers) else { return };
        for (planner, at) in planners.into_iter().enumerate() {
            let outcome = one(planner, at, &terms, &edit, &shared, start);
            shared.outcomes.lock().unwrap_or_else(|e| e.into_inner()).push(outcome);
        }
    })
}

fn top(edit: &Edit) -> Element {
    let mut fleet = Element::new(FLEET, "fleet");
    if let Some((zone, share)) = &edit.share {
        fleet = fleet.with(Element::new(FLEET, "zone").with_leaf("name", zone).with_leaf("share", share));
    }
    if let Some((server, drain)) = &edit.drain {
        fleet = fleet.with(Element::new(FLEET, "server").with_leaf("name", server).with_leaf("drain", drain));
    }
    fleet
}

fn one(
    planner: usize,
    at: SocketAddr,
    terms: &TlsPolicy,
    edit: &Edit,
    shared: &Shared,
    start: Instant,
) -> Outcome {
    let mut outcome = Outcome {
        id: edit.id.clone(),
        sent: start.elapsed(),
        accepted: None,
        in_force: false,
        in_force_ms: None,
        tries: 0,
        refused: None,
    };
    while !shared.done.load(Ordering::Relaxed) && !outcome.in_force && outcome.refused.is_none() {
        match session(planner, at, terms, edit, shared, start, &mut outcome) {
            Ok(()) => {}
            Err(ClientError::Rejected(why)) => outcome.refused = Some(why),
            Err(e) => tracing::debug!(edit = %edit.id, error = %e, "asked again under the same id"),
        }
        std::thread::sleep(AGAIN);
    }
    outcome
}

/// One session: sends the edit unless it is known to be accepted, then asks until it is in force.
fn session(
    planner: usize,
    at: SocketAddr,
    terms: &TlsPolicy,
    edit: &Edit,
    shared: &Shared,
    start: Instant,
    outcome: &mut Outcome,
) -> Result<(), ClientError> {
    let mut client = Client::open(at, terms, PATIENCE)?;
    if outcome.accepted.is_none() {
        outcome.tries += 1;
        let operation = edit_config("running", top(edit));
        if edit.dropped && outcome.tries == 1 {
            // The session drops between the edit and its reply.
            client.send(operation, Some(&edit.id));
            return Err(ClientError::Ended("dropped on purpose".into()));
        }
        client.ask(operation, Some(&edit.id))?;
        let now = start.elapsed();
        outcome.accepted = Some(now);
        if let Some((server, drain)) = &edit.drain {
            let mode = if *drain { "draining" } else { "ready" };
            let told = Told { at: now, planner, server: server.clone(), mode, staff: true };
            shared.told.lock().unwrap_or_else(|e| e.into_inner()).push(told);
        }
    }
    while !outcome.in_force && !shared.done.load(Ordering::Relaxed) {
        let reply = client.get(Element::new(STATE, "state").with(Element::new(STATE, "edit")))?;
        let state = reply.child("data").and_then(|d| d.child("state"));
        let found = state.and_then(|s| s.named("edit").find(|e| e.text_of("id") == Some(&edit.id)).cloned());
        if let Some(e) = found.filter(|e| e.text_of("state") == Some("in-force")) {
            outcome.in_force = true;
            outcome.in_force_ms = e.text_of("in-force-ms").and_then(|t| t.parse().ok());
        }
        std::thread::sleep(AGAIN);
    }
    Ok(())
}
