//! The planner's datastore behind NETCONF: what is accepted, by whom, under which id. Free of I/O: the shell
//! writes what [`Desk::unsaved`] gives to disk before any reply leaves, and takes it back where it can't.

use crate::tls_credentials::CertificateHolder;
use runloom_guard::edit_validation::{validate_edit, PoolServer};
use runloom_identity::access::{decide, Audit, Entry, RequestedAccess, Rule};
use runloom_identity::id::Id;
use runloom_inventory::edit_history::{self, EditHistory};
use runloom_inventory::merge_overrides;
use runloom_model::fleet::{misfit, Fleet, InvalidSettings, ListedServer};
use runloom_model::schema::{derive, SchemaValidator};
use runloom_model::{Schema, FLEET, FLEET_XSD, YANG};
use runloom_netconf::error::{RpcError, Tag};
use runloom_netconf::service::{Access, Change, EditLookup, Host};
use runloom_netconf::tree::Element;
use runloom_store::accepted::{pieces, AcceptedEdit, AcceptedState, StatePatch};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// What edits came to at a time: all data, the fleet in it, and what a confirmed commit goes back to.
type Point = (Arc<Element>, Fleet, Option<Arc<Element>>);

pub struct Desk {
    judge: SchemaValidator,
    data: Arc<Element>,
    fleet: Fleet,
    /// The roster's entries, and the elements they were read from: unchanged ones are not read again.
    listed: BTreeMap<String, ListedServer>,
    read: BTreeMap<String, Arc<Element>>,
    pub ledger: EditHistory,
    /// What a confirmed commit goes back to.
    before: Option<Arc<Element>>,
    /// As it is on disk.
    saved: Point,
    /// As it will be once what is on its way to disk is there, and the edits that this brings.
    sent: Option<(Point, Vec<String>)>,
    fresh_ids: Vec<String>,
    dirty: bool,
    pub list_changed: bool,
    pub state: Vec<Element>,
    pub now: Duration,
    pub wall: u64,
    /// Why nothing can be accepted at the moment, if so.
    pub refuses: Option<String>,
    proxies: BTreeMap<String, bool>,
    /// Who may do what, by identities; none: by the kind of certificate alone.
    pub rules: Vec<Rule>,
    ids: BTreeMap<String, Id>,
    /// What was refused for want of a rule; and what of that is to be told.
    pub audit: Audit,
    pub audited: Vec<Entry>,
}

/// The edit's schema: `<fleet>` and `<roster>`.
pub fn schema() -> Result<Schema, String> {
    derive(FLEET_XSD, &["fleet", "roster"]).map(Schema::root)
}

fn invalid(m: InvalidSettings) -> Vec<RpcError> {
    vec![RpcError::application(Tag::InvalidValue, m.reason).at(m.path)]
}

fn top<'a>(data: &'a Element, name: &str) -> Option<&'a Arc<Element>> {
    data.children.iter().find(|c| c.name == name)
}

/// The fleet's entries.
fn fleet_of(data: &Element) -> &[Arc<Element>] {
    top(data, "fleet").map(|f| f.children.as_slice()).unwrap_or_default()
}

fn noted(e: &edit_history::Edit) -> AcceptedEdit {
    let edit = e.stored.clone();
    AcceptedEdit { id: edit.id, who: edit.author, digest: edit.digest, accepted: edit.accepted_ms }
}

fn same(a: &Element, b: &Element, name: &str) -> bool {
    match (top(a, name), top(b, name)) {
        (Some(a), Some(b)) => Arc::ptr_eq(a, b) || a == b,
        (a, b) => a.is_none() && b.is_none(),
    }
}

/// Entries of the roster that are new or other than before, and the names of those that are gone.
#[derive(Default)]
struct RosterChange {
    put: Vec<(Arc<Element>, (String, ListedServer))>,
    gone: Vec<String>,
}

impl Desk {
    /// Starts from a datastore that is valid; the error says why it is not.
    pub fn new(data: Arc<Element>, ledger: EditHistory) -> Result<Desk, String> {
        let judge = SchemaValidator::new(FLEET_XSD)?;
        let fleet = top(&data, "fleet").ok_or("there is no <fleet>")?;
        if let Some(fault) = judge.faults(&fleet.to_text()).first() {
            return Err(fault.to_string());
        }
        let fleet = Fleet::read(fleet).map_err(|m| format!("{}: {}", m.path, m.reason))?;
        let mut desk = Desk {
            judge,
            saved: (data.clone(), fleet.clone(), None),
            sent: None,
            data,
            fleet,
            listed: BTreeMap::new(),
            read: BTreeMap::new(),
            ledger,
            before: None,
            fresh_ids: vec![],
            dirty: false,
            list_changed: true,
            state: vec![],
            now: Duration::ZERO,
            wall: 0,
            refuses: None,
            proxies: BTreeMap::new(),
            rules: vec![],
            ids: BTreeMap::new(),
            audit: Audit::default(),
            audited: vec![],
        };
        let told = |e: Vec<RpcError>| e.first().map_or_else(String::new, |e| e.message.clone());
        let change = desk.roster_change(&desk.data.clone()).map_err(told)?;
        if let Some(m) = change.put.iter().find_map(|(_, (name, listed))| misfit(&desk.fleet, name, listed)) {
            return Err(format!("{}: {}", m.path, m.reason));
        }
        desk.take_roster(change);
        desk.list_changed = true;
        Ok(desk)
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// `<fleet>` as it is on disk, as text.
    pub fn fleet_text(&self) -> String {
        top(&self.saved.0, "fleet").map(|f| f.to_text()).unwrap_or_default()
    }

    pub fn listed(&self) -> &BTreeMap<String, ListedServer> {
        &self.listed
    }

    /// A client's session began: who may edit is known by its certificate.
    pub fn met(&mut self, holder: &CertificateHolder) {
        self.proxies.insert(holder.name.clone(), holder.proxy);
        if let Some((id, _)) = &holder.id {
            self.ids.insert(holder.name.clone(), id.clone());
        }
    }

    /// Notes what an identity wished and may not.
    pub fn refused(&mut self, id: &Id, action: RequestedAccess) {
        if let Err(why) = decide(&self.rules, id, action) {
            self.audited.extend(self.audit.note(self.now, id, action, why));
        }
    }

    /// Whether one may do something by the rules; where there are none, by what else is asked of it.
    fn allowed(&mut self, who: &str, actions: &[RequestedAccess]) -> Result<(), RpcError> {
        if self.rules.is_empty() {
            return Ok(());
        }
        let denied = || RpcError::protocol(Tag::AccessDenied, format!("{who} may not do this here"));
        let id = self.ids.get(who).cloned().ok_or_else(denied)?;
        if actions.iter().any(|action| decide(&self.rules, &id, *action).is_ok()) {
            return Ok(());
        }
        actions.first().into_iter().for_each(|action| self.refused(&id, *action));
        Err(denied())
    }

    /// The roster as an element, for the file that a restart reads.
    pub fn roster(&self) -> Element {
        top(&self.data, "roster").map_or_else(|| Element::new(FLEET, "roster"), |r| (**r).clone())
    }

    /// The fleet that is on disk: the decisions hear of no other.
    pub fn kept_fleet(&self) -> &Fleet {
        &self.saved.1
    }

    /// Something was accepted that is not on disk yet, and not on its way there.
    pub fn is_dirty(&self) -> bool {
        self.dirty
    }

    /// Something is on its way to disk.
    pub fn is_sending(&self) -> bool {
        self.sent.is_some()
    }

    /// All that is to be kept, as it stands.
    pub fn accepted(&self) -> AcceptedState {
        let entries = fleet_of(&self.data).iter().map(|e| e.to_text()).collect();
        let before = self.before.as_ref().map(|b| fleet_of(b).iter().map(|e| e.to_text()).collect());
        AcceptedState { entries, before, noted: self.ledger.edits().map(noted).collect() }
    }

    /// What must be on disk before anybody is told that it was accepted: one batch at a time.
    pub fn unsaved(&mut self) -> Option<StatePatch> {
        if !self.dirty || self.sent.is_some() {
            return None;
        }
        let old = fleet_of(&self.saved.0);
        let places: BTreeMap<*const Element, u32> =
            old.iter().enumerate().map(|(k, e)| (Arc::as_ptr(e), k as u32)).collect();
        let new = fleet_of(&self.data);
        let place = |e: &Arc<Element>| places.get(&Arc::as_ptr(e)).copied().ok_or_else(|| e.to_text());
        let same = old.len() == new.len() && old.iter().zip(new).all(|(a, b)| Arc::ptr_eq(a, b));
        let before = |b: &Option<Arc<Element>>| {
            b.as_ref().map(|b| fleet_of(b).iter().map(|e| e.to_text()).collect::<Vec<_>>())
        };
        let ids = std::mem::take(&mut self.fresh_ids);
        let patch = StatePatch {
            pieces: (!same).then(|| pieces(new.iter().map(place))),
            noted: self.ledger.edits().filter(|e| ids.contains(&e.stored.id)).map(noted).collect(),
            before: (before(&self.before) != before(&self.saved.2)).then(|| before(&self.before)),
        };
        self.sent = Some(((self.data.clone(), self.fleet.clone(), self.before.clone()), ids));
        self.dirty = false;
        Some(patch)
    }

    /// What was on its way is on disk.
    pub fn saved(&mut self) {
        if let Some((point, ids)) = self.sent.take() {
            self.list_changed |= point.1 != self.saved.1 || !ids.is_empty();
            self.ledger.record_stored(&ids, self.now);
            self.saved = point;
        }
        self.refuses = None;
    }

    /// It could not be written: as if it had not been asked, nor what came since. The roster's part needs no disk, and
    /// stays.
    pub fn take_back(&mut self, why: String) {
        let roster = top(&self.data, "roster").cloned();
        let mut data = (*self.saved.0).clone();
        data.children.retain(|c| c.name != "roster");
        data.children.extend(roster);
        (self.data, self.fleet, self.before) = (Arc::new(data), self.saved.1.clone(), self.saved.2.clone());
        let sent = self.sent.take().map(|(_, ids)| ids).unwrap_or_default();
        self.ledger.remove(&sent);
        self.ledger.remove(&std::mem::take(&mut self.fresh_ids));
        (self.dirty, self.list_changed, self.refuses) = (false, true, Some(why));
    }

    /// What of the roster changed; only that is judged and read.
    fn roster_change(&self, data: &Element) -> Result<RosterChange, Vec<RpcError>> {
        let (mut put, mut changed, mut kept) = (vec![], Element::new(FLEET, "roster"), 0);
        let entries = top(data, "roster").map(|r| r.children.as_slice()).unwrap_or_default();
        for e in entries {
            let name = e.text_of("name").unwrap_or_default();
            match self.read.get(name) {
                Some(old) if Arc::ptr_eq(old, e) => kept += 1,
                old => {
                    kept += usize::from(old.is_some());
                    changed.children.push(e.clone());
                    put.push((e.clone(), ListedServer::read(e).map_err(invalid)?));
                }
            }
        }
        if !put.is_empty() {
            self.valid(&changed)?;
        }
        let mut gone = vec![];
        if kept < self.read.len() {
            let named: BTreeSet<&str> = entries.iter().filter_map(|e| e.text_of("name")).collect();
            gone = self.read.keys().filter(|n| !named.contains(n.as_str())).cloned().collect();
        }
        Ok(RosterChange { put, gone })
    }

    fn take_roster(&mut self, change: RosterChange) {
        for name in change.gone {
            self.listed.remove(&name);
            self.read.remove(&name);
            self.list_changed = true;
        }
        for (element, (name, entry)) in change.put {
            self.list_changed |= self.listed.get(&name) != Some(&entry);
            self.listed.insert(name.clone(), entry);
            self.read.insert(name, element);
        }
    }

    fn valid(&self, part: &Element) -> Result<(), Vec<RpcError>> {
        let faults = self.judge.faults(&part.to_text());
        let error = |f: &runloom_model::schema::SchemaViolation| {
            let path = format!("/{}//{}", part.name, f.element);
            RpcError::application(Tag::InvalidValue, f.reason.clone())
                .at(path)
                .with("bad-element", f.element.clone())
        };
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults.iter().map(error).collect())
        }
    }

    /// The fleet without those words on servers that were valid before: the rest is small.
    fn changed_words(&self, fleet: &Element) -> Element {
        let old: BTreeSet<*const Element> =
            top(&self.data, "fleet").into_iter().flat_map(|f| f.named("server")).map(Arc::as_ptr).collect();
        let kept = |c: &&Arc<Element>| c.name != "server" || !old.contains(&Arc::as_ptr(c));
        let children = fleet.children.iter().filter(kept).cloned().collect();
        Element { children, ..Element::new(FLEET, "fleet") }
    }

    /// The fleet, if it changed, and what of the roster did.
    fn judged(&self, wanted: &Arc<Element>) -> Result<(Option<Fleet>, RosterChange), Vec<RpcError>> {
        let Some(part) = top(wanted, "fleet") else {
            return Err(
                vec![RpcError::application(Tag::DataMissing, "there must be a <fleet>").at("/fleet")],
            );
        };
        let mut fleet = None;
        if !same(wanted, &self.data, "fleet") {
            self.valid(&self.changed_words(part))?;
            fleet = Some(Fleet::read(part).map_err(invalid)?);
        }
        let change = if same(wanted, &self.data, "roster") {
            RosterChange::default()
        } else {
            self.roster_change(wanted)?
        };
        let zones = fleet.as_ref().unwrap_or(&self.fleet);
        let put = change.put.iter().map(|(_, (name, listed))| (name, listed));
        let stay = self.listed.iter().filter(|(name, _)| fleet.is_some() && !change.gone.contains(name));
        // One that is put in its place is judged as it is put.
        let stay = stay.filter(|(name, _)| !change.put.iter().any(|(_, (n, _))| n == *name));
        if let Some(m) = put.chain(stay).find_map(|(name, listed)| misfit(zones, name, listed)) {
            return Err(invalid(m));
        }
        if let Some(fleet) = &fleet {
            self.guarded(fleet, &change)?;
        }
        Ok((fleet, change))
    }
}

impl Desk {
    /// What operators wish passes the guard; what the feed tells is no wish but what is.
    fn guarded(&self, fleet: &Fleet, change: &RosterChange) -> Result<(), Vec<RpcError>> {
        if let Some((_, until)) = fleet.raised.filter(|raised| self.fleet.raised != Some(*raised)) {
            if until > self.wall + RAISED_MOST || until <= self.wall {
                let error =
                    RpcError::application(Tag::InvalidValue, "a bound is raised for an hour at the most");
                return Err(vec![error.at("/fleet/guard/until").app("guard-until")]);
            }
        }
        let after = change.put.iter().map(|(_, (name, listed))| (name, listed));
        let stays =
            |name: &String| !change.gone.contains(name) && !change.put.iter().any(|(_, (n, _))| n == name);
        let after = after.chain(self.listed.iter().filter(|(name, _)| stays(name)));
        let before = self.seen(&self.fleet, self.listed.iter());
        validate_edit(&before, &self.seen(fleet, after)).map_err(|empties| {
            let mut takes = empties.removed_servers.iter();
            let first = takes.next().cloned().unwrap_or_default();
            let why = format!(
                "no open server would be left: one of {} has to stay",
                empties.removed_servers.join(", ")
            );
            let error = RpcError::application(Tag::OperationFailed, why).app("empties-pool");
            vec![error.at(format!("/fleet/server[name='{first}']")).with("bad-element", "drain")]
        })
    }

    fn seen<'a>(
        &self,
        fleet: &Fleet,
        listed: impl Iterator<Item = (&'a String, &'a ListedServer)>,
    ) -> Vec<PoolServer> {
        let warm_after = fleet.warm_after.as_millis() as u64;
        let seen = listed.map(|(name, listed)| {
            let server = merge_overrides(name, listed, fleet);
            let warm = server.started_ms.is_none_or(|at| at + warm_after <= self.wall);
            PoolServer {
                name: name.clone(),
                is_draining: server.is_draining,
                is_warm: warm,
                weight: server.weight,
            }
        });
        seen.collect()
    }
}

/// A raised bound of the guard ends by itself within an hour: a mass restart is over by then.
const RAISED_MOST: u64 = 3_600_000;

/// By which the same edit is known again.
fn digest(content: &str) -> String {
    let hash = ring::digest::digest(&ring::digest::SHA256, content.as_bytes());
    hash.as_ref().iter().map(|b| format!("{b:02x}")).collect()
}

impl Host for Desk {
    fn running(&self) -> Arc<Element> {
        self.data.clone()
    }

    fn state(&mut self) -> Vec<Element> {
        std::mem::take(&mut self.state)
    }

    fn check(&mut self, wanted: &Arc<Element>) -> Result<(), Vec<RpcError>> {
        self.judged(wanted).map(|_| ())
    }

    fn commit(&mut self, change: &Change) -> Result<(), Vec<RpcError>> {
        for part in ["fleet", "roster"] {
            if !same(change.wanted, &self.data, part) {
                self.allowed(change.who, &[RequestedAccess::Write { part }]).map_err(|e| vec![e])?;
            }
        }
        let (fleet, roster) = self.judged(change.wanted)?;
        let touched = fleet.is_some();
        // The feed's list needs no disk: a planner restarts from the last one that it wrote, and asks again.
        let keeps = touched || change.edit_id.is_some() || change.before.is_some();
        if keeps {
            // Going back to what was accepted before is never refused: it is on disk already.
            let back = change.content.is_empty() && change.edit_id.is_none();
            if let Some(why) = self.refuses.as_ref().filter(|_| !back) {
                let error =
                    RpcError::application(Tag::ResourceDenied, format!("edits cannot be kept: {why}"));
                return Err(vec![error.app("not-durable")]);
            }
        }
        self.take_roster(roster);
        if let Some(fleet) = fleet {
            // The decisions hear of it once it is on disk.
            self.fleet = fleet;
        }
        self.data = change.wanted.clone();
        self.before = change.before.cloned();
        if keeps {
            let digest = digest(change.content);
            let id = self.ledger.accept(change.edit_id, change.who, &digest, self.wall);
            self.fresh_ids.push(id);
            self.dirty = true;
        }
        Ok(())
    }

    fn settled(&mut self) {
        self.dirty |= self.before.take().is_some();
    }

    fn known(&self, edit_id: &str, content: &str) -> EditLookup {
        let digest = if content.is_empty() { String::new() } else { digest(content) };
        match self.ledger.lookup(edit_id, &digest) {
            edit_history::EditLookup::New => EditLookup::New,
            edit_history::EditLookup::Repeated => EditLookup::Same,
            edit_history::EditLookup::Conflicting => EditLookup::Other,
        }
    }

    fn may(&mut self, who: &str, access: Access) -> Result<(), RpcError> {
        let parts = ["fleet", "roster", "state"];
        match access {
            Access::Read => self.allowed(who, &parts.map(|part| RequestedAccess::Read { part }))?,
            // Which part it is shows with the change itself.
            Access::Edit => self.allowed(who, &parts.map(|part| RequestedAccess::Write { part }))?,
            Access::Kill => self.allowed(who, &[RequestedAccess::Kill])?,
        }
        // A proxy orders nothing; it is the planner that asks it.
        if access != Access::Read && self.proxies.get(who).copied().unwrap_or(true) {
            return Err(RpcError::protocol(Tag::AccessDenied, format!("{who} may not edit here")));
        }
        Ok(())
    }

    fn schemas(&self) -> &[(&'static str, &'static str, &'static str)] {
        &YANG
    }
}
