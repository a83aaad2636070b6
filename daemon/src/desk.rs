//! The planner's datastore behind NETCONF: what is accepted, by whom, under which id. Free of I/O: the shell
//! writes what [`Desk::unsaved`] gives to disk before any reply leaves, and takes it back where it can't.

use crate::papers::Holder;
use runloom_model::fleet::{misfit, Fleet, Listed, Misfit};
use runloom_model::schema::{derive, Judge};
use runloom_model::{Schema, FLEET, FLEET_XSD, YANG};
use runloom_netconf::error::{RpcError, Tag};
use runloom_netconf::service::{Access, Change, Host, Known};
use runloom_netconf::tree::Element;
use runloom_roster::ledger::{self, Ledger};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub struct Desk {
    judge: Judge,
    data: Arc<Element>,
    fleet: Fleet,
    /// The roster's entries, and the elements they were read from: unchanged ones are not read again.
    listed: BTreeMap<String, Listed>,
    read: BTreeMap<String, Arc<Element>>,
    pub ledger: Ledger,
    /// What a confirmed commit goes back to.
    before: Option<Arc<Element>>,
    /// As it was on disk last.
    saved: (Arc<Element>, Fleet, Option<Arc<Element>>),
    fresh_ids: Vec<String>,
    dirty: bool,
    pub list_changed: bool,
    pub state: Vec<Element>,
    pub now: Duration,
    pub wall: u64,
    /// Why nothing can be accepted at the moment, if so.
    pub refuses: Option<String>,
    proxies: BTreeMap<String, bool>,
}

/// The edit's schema: `<fleet>` and `<roster>`.
pub fn schema() -> Result<Schema, String> {
    derive(FLEET_XSD, &["fleet", "roster"]).map(Schema::root)
}

fn invalid(m: Misfit) -> Vec<RpcError> {
    vec![RpcError::application(Tag::InvalidValue, m.reason).at(m.path)]
}

fn top<'a>(data: &'a Element, name: &str) -> Option<&'a Arc<Element>> {
    data.children.iter().find(|c| c.name == name)
}

fn same(a: &Element, b: &Element, name: &str) -> bool {
    match (top(a, name), top(b, name)) {
        (Some(a), Some(b)) => Arc::ptr_eq(a, b) || a == b,
        (a, b) => a.is_none() && b.is_none(),
    }
}

type Entries = (BTreeMap<String, Listed>, BTreeMap<String, Arc<Element>>);

impl Desk {
    /// Starts from a datastore that is valid; the error says why it is not.
    pub fn new(data: Arc<Element>, ledger: Ledger) -> Result<Desk, String> {
        let judge = Judge::new(FLEET_XSD)?;
        let fleet = top(&data, "fleet").ok_or("there is no <fleet>")?;
        if let Some(fault) = judge.faults(&fleet.to_text()).first() {
            return Err(fault.to_string());
        }
        let fleet = Fleet::read(fleet).map_err(|m| format!("{}: {}", m.path, m.reason))?;
        let mut desk = Desk {
            judge,
            saved: (data.clone(), fleet.clone(), None),
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
        };
        let told = |e: Vec<RpcError>| e.first().map_or_else(String::new, |e| e.message.clone());
        let data = desk.data.clone();
        (desk.listed, desk.read) = desk.entries(&data).map_err(told)?;
        Ok(desk)
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub fn listed(&self) -> &BTreeMap<String, Listed> {
        &self.listed
    }

    /// A client's session began: who may edit is known by its certificate.
    pub fn met(&mut self, holder: &Holder) {
        self.proxies.insert(holder.name.clone(), holder.proxy);
    }

    /// The roster as an element, for the file that a restart reads.
    pub fn roster(&self) -> Element {
        top(&self.data, "roster").map_or_else(|| Element::new(FLEET, "roster"), |r| (**r).clone())
    }

    /// What must be on disk before anybody is told that it was accepted.
    pub fn unsaved(&self) -> Option<Element> {
        if !self.dirty {
            return None;
        }
        let part = |data: &Element| top(data, "fleet").map(|f| (**f).clone()).unwrap_or_default();
        let mut file = Element::new("", "accepted").with(part(&self.data)).with(self.ledger.element());
        if let Some(before) = &self.before {
            file = file.with(Element::new("", "before").with(part(before)));
        }
        Some(file)
    }

    /// It is on disk.
    pub fn saved(&mut self) {
        self.saved = (self.data.clone(), self.fleet.clone(), self.before.clone());
        self.fresh_ids.clear();
        (self.dirty, self.refuses) = (false, None);
    }

    /// It could not be written: as if it had not been asked. The roster's part needs no disk, and stays.
    pub fn take_back(&mut self, why: String) {
        let roster = top(&self.data, "roster").cloned();
        let mut data = (*self.saved.0).clone();
        data.children.retain(|c| c.name != "roster");
        data.children.extend(roster);
        (self.data, self.fleet, self.before) = (Arc::new(data), self.saved.1.clone(), self.saved.2.clone());
        self.ledger.forget(&std::mem::take(&mut self.fresh_ids));
        (self.dirty, self.list_changed, self.refuses) = (false, true, Some(why));
    }

    /// The roster's entries of a datastore; only those that changed are judged and read.
    fn entries(&self, data: &Element) -> Result<Entries, Vec<RpcError>> {
        let (mut listed, mut read, mut changed) =
            (BTreeMap::new(), BTreeMap::new(), Element::new(FLEET, "roster"));
        for e in top(data, "roster").map(|r| r.children.as_slice()).unwrap_or_default() {
            let name = e.text_of("name").unwrap_or_default();
            let old = self.read.get(name).filter(|old| Arc::ptr_eq(old, e)).and(self.listed.get(name));
            let entry = match old {
                Some(entry) => entry.clone(),
                None => {
                    changed.children.push(e.clone());
                    Listed::read(e).map_err(invalid)?.1
                }
            };
            listed.insert(name.to_string(), entry);
            read.insert(name.to_string(), e.clone());
        }
        if !changed.children.is_empty() {
            self.valid(&changed)?;
        }
        Ok((listed, read))
    }

    fn valid(&self, part: &Element) -> Result<(), Vec<RpcError>> {
        let faults = self.judge.faults(&part.to_text());
        let error = |f: &runloom_model::schema::Fault| {
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

    fn judged(&self, wanted: &Arc<Element>) -> Result<(Fleet, Entries), Vec<RpcError>> {
        let Some(part) = top(wanted, "fleet") else {
            return Err(
                vec![RpcError::application(Tag::DataMissing, "there must be a <fleet>").at("/fleet")],
            );
        };
        let fleet = if same(wanted, &self.data, "fleet") {
            self.fleet.clone()
        } else {
            self.valid(part)?;
            Fleet::read(part).map_err(invalid)?
        };
        let entries = if same(wanted, &self.data, "roster") {
            (self.listed.clone(), self.read.clone())
        } else {
            self.entries(wanted)?
        };
        match misfit(&fleet, &entries.0) {
            Some(m) => Err(invalid(m)),
            None => Ok((fleet, entries)),
        }
    }
}

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
        let (fleet, (listed, read)) = self.judged(change.wanted)?;
        let touched = !same(change.wanted, &self.data, "fleet");
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
        self.list_changed |= listed != self.listed || fleet != self.fleet;
        (self.fleet, self.listed, self.read) = (fleet, listed, read);
        self.data = change.wanted.clone();
        self.before = change.before.cloned();
        if keeps {
            let digest = digest(change.content);
            let id = self.ledger.accept(change.edit_id, change.who, &digest, self.wall, self.now);
            self.fresh_ids.push(id);
            self.dirty = true;
        }
        Ok(())
    }

    fn settled(&mut self) {
        self.dirty |= self.before.take().is_some();
    }

    fn known(&self, edit_id: &str, content: &str) -> Known {
        let digest = if content.is_empty() { String::new() } else { digest(content) };
        match self.ledger.known(edit_id, &digest) {
            ledger::Known::New => Known::New,
            ledger::Known::Same => Known::Same,
            ledger::Known::Other => Known::Other,
        }
    }

    fn may(&mut self, who: &str, access: Access) -> Result<(), RpcError> {
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
