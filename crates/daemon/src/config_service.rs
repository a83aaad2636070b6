//! The configuration behind the planner's NETCONF server: `<fleet>`, which operators edit, and `<roster>`, the endpoint
//! list that the inventory feed edits. Free of I/O: the planner writes what [`ConfigService::take_patch`] returns to
//! disk before any reply leaves, and rolls it back if that fails.

mod access_control;
mod data;
mod endpoint_list;
mod error;
mod guard_check;
mod validation;

pub use error::ConfigError;

use crate::tls_credentials::CertificateHolder;
use access_control::AccessControl;
use data::{fleet_entries, fleet_entry_texts, is_same_part, part, ENDPOINT_LIST_PART, FLEET_PART};
use endpoint_list::{EndpointList, EndpointListChange};
use runloom_identity::access::{AccessRule, RequestedAccess};
use runloom_identity::denial_log::DenialEntry;
use runloom_identity::id::SpiffeId;
use runloom_inventory::edit_history::{self, EditHistory};
use runloom_model::fleet::Fleet;
use runloom_model::listed_server::ListedServer;
use runloom_model::schema_derivation::derive_schema;
use runloom_model::{Schema, FLEET_NAMESPACE, FLEET_XSD, YANG_MODULES};
use runloom_netconf::error::{RpcError, Tag};
use runloom_netconf::service::{Access, Change, EditLookup, Host};
use runloom_netconf::tree::Element;
use runloom_store::{list_chunks, AcceptedEdit, AcceptedState, EntrySource, ListChunk, StatePatch};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use validation::{invalid_value, SchemaCheck};

/// The schema of what can be edited: `<fleet>` and `<roster>`.
pub fn schema() -> Result<Schema, ConfigError> {
    derive_schema(FLEET_XSD, &[FLEET_PART, ENDPOINT_LIST_PART]).map(Schema::root).map_err(ConfigError::Schema)
}

/// The configuration at one time.
#[derive(Clone)]
struct Revision {
    data: Arc<Element>,
    /// The parsed `<fleet>` of the data.
    fleet: Fleet,
    /// The data that a confirmed commit returns to unless it is confirmed (RFC 6241, section 8.4).
    before: Option<Arc<Element>>,
}

impl Revision {
    fn fleet_texts_before(&self) -> Option<Vec<String>> {
        self.before.as_deref().map(fleet_entry_texts)
    }
}

/// A patch that is being written.
struct InFlightPatch {
    /// The configuration once it is written.
    revision: Revision,
    /// The edits that it makes durable.
    edit_ids: Vec<String>,
}

/// The configuration, and the edits that led to it.
pub struct ConfigService {
    schema: SchemaCheck,
    accepted: Revision,
    endpoints: EndpointList,
    /// The edits, and where they are in force.
    pub edit_history: EditHistory,
    /// The configuration that is on disk.
    persisted: Revision,
    in_flight: Option<InFlightPatch>,
    /// Ids of accepted edits that no patch holds yet.
    unsaved_edit_ids: Vec<String>,
    is_unsaved: bool,
    /// The fleet or the endpoint list has changed since the decisions were told.
    pub is_list_changed: bool,
    /// The operational state that the next `<get>` returns.
    pub state_reply: Vec<Element>,
    /// Time since the start of the planner.
    pub now: Duration,
    /// Milliseconds since 1970.
    pub wall_ms: u64,
    /// Why no edit can be accepted at present, if so.
    pub unavailable_reason: Option<String>,
    access: AccessControl,
}

fn stored_edit(edit: &edit_history::Edit) -> AcceptedEdit {
    let stored = edit.stored.clone();
    AcceptedEdit {
        id: stored.id,
        author: stored.author,
        digest: stored.digest,
        accepted_ms: stored.accepted_ms,
    }
}

/// Identifies the content of an edit: SHA-256 in hexadecimal.
fn digest(content: &str) -> String {
    let hash = ring::digest::digest(&ring::digest::SHA256, content.as_bytes());
    hash.as_ref().iter().map(|byte| format!("{byte:02x}")).collect()
}

impl ConfigService {
    /// Starts from a configuration, which has to be valid.
    pub fn new(data: Arc<Element>, edit_history: EditHistory) -> Result<ConfigService, ConfigError> {
        let schema = SchemaCheck::new()?;
        let fleet = part(&data, FLEET_PART).ok_or(ConfigError::MissingFleet)?;
        if let Some(violation) = schema.first_violation(fleet) {
            return Err(ConfigError::SchemaViolation(violation.to_string()));
        }
        let fleet = Fleet::read(fleet)
            .map_err(|invalid| ConfigError::InvalidValue { path: invalid.path, reason: invalid.reason })?;
        let revision = Revision { data, fleet, before: None };
        let mut config = ConfigService {
            schema,
            accepted: revision.clone(),
            endpoints: EndpointList::default(),
            edit_history,
            persisted: revision,
            in_flight: None,
            unsaved_edit_ids: vec![],
            is_unsaved: false,
            is_list_changed: true,
            state_reply: vec![],
            now: Duration::ZERO,
            wall_ms: 0,
            unavailable_reason: None,
            access: AccessControl::default(),
        };
        config.load_endpoints()?;
        Ok(config)
    }

    fn load_endpoints(&mut self) -> Result<(), ConfigError> {
        let first_message =
            |errors: Vec<RpcError>| errors.first().map_or_else(String::new, |error| error.message.clone());
        let list = self.endpoints.difference(&self.accepted.data, &self.schema);
        let list = list.map_err(|errors| ConfigError::EndpointList(first_message(errors)))?;
        let mut entries = list.changed.iter();
        let invalid =
            entries.find_map(|entry| entry.server.check_zone(&entry.name, &self.accepted.fleet).err());
        if let Some(invalid) = invalid {
            return Err(ConfigError::InvalidValue { path: invalid.path, reason: invalid.reason });
        }
        self.endpoints.apply(list);
        Ok(())
    }

    /// The fleet as it was accepted last.
    pub fn fleet(&self) -> &Fleet {
        &self.accepted.fleet
    }

    /// The fleet that is on disk. The decisions are told of no other.
    pub fn persisted_fleet(&self) -> &Fleet {
        &self.persisted.fleet
    }

    /// The `<fleet>` that is on disk, as text.
    pub fn persisted_fleet_text(&self) -> String {
        part(&self.persisted.data, FLEET_PART).map(|fleet| fleet.to_text()).unwrap_or_default()
    }

    /// The endpoint list.
    pub fn listed(&self) -> &BTreeMap<String, ListedServer> {
        &self.endpoints.servers
    }

    /// The endpoint list as an element, for the file that a restart reads.
    pub fn endpoint_list_element(&self) -> Element {
        let roster = part(&self.accepted.data, ENDPOINT_LIST_PART);
        roster.map_or_else(|| Element::new(FLEET_NAMESPACE, ENDPOINT_LIST_PART), |roster| (**roster).clone())
    }

    // Access.

    /// Sets who may do what, by identity. Without rules the kind of certificate alone decides.
    pub fn set_rules(&mut self, rules: Vec<AccessRule>) {
        self.access.rules = rules;
    }

    /// Remembers what a client's certificate says of it, when its session begins.
    pub fn register_client(&mut self, holder: &CertificateHolder) {
        self.access.register_client(holder);
    }

    /// Audits an access that the rules deny.
    pub fn audit_denial(&mut self, id: &SpiffeId, access: RequestedAccess) {
        self.access.audit_denial(self.now, id, access);
    }

    /// Takes the entries of the audit that are to be logged.
    pub fn take_audit_entries(&mut self) -> Vec<DenialEntry> {
        std::mem::take(&mut self.access.entries)
    }

    /// Number of denied accesses.
    pub fn denied_count(&self) -> u64 {
        self.access.audit.denied
    }

    // Persistence.

    /// Whether something was accepted that no patch holds yet.
    pub fn has_unsaved_changes(&self) -> bool {
        self.is_unsaved
    }

    /// Whether a patch is being written.
    pub fn has_write_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// All that has to be durable, as it stands.
    pub fn accepted_state(&self) -> AcceptedState {
        AcceptedState {
            entries: fleet_entry_texts(&self.accepted.data),
            rollback_entries: self.accepted.fleet_texts_before(),
            edits: self.edit_history.edits().map(stored_edit).collect(),
        }
    }

    /// What has to be on disk before any client learns that it was accepted. One patch is in flight at a time.
    pub fn take_patch(&mut self) -> Option<StatePatch> {
        if !self.is_unsaved || self.in_flight.is_some() {
            return None;
        }
        let edit_ids = std::mem::take(&mut self.unsaved_edit_ids);
        let before = self.accepted.fleet_texts_before();
        let edits = self.edit_history.edits().filter(|edit| edit_ids.contains(&edit.stored.id));
        let patch = StatePatch {
            chunks: self.changed_chunks(),
            edits: edits.map(stored_edit).collect(),
            rollback_entries: (before != self.persisted.fleet_texts_before()).then_some(before),
        };
        self.in_flight = Some(InFlightPatch { revision: self.accepted.clone(), edit_ids });
        self.is_unsaved = false;
        Some(patch)
    }

    /// The entries of the fleet as references to those on disk, or as text where they are new; `None` if all are the
    /// same.
    fn changed_chunks(&self) -> Option<Vec<ListChunk>> {
        let old = fleet_entries(&self.persisted.data);
        let new = fleet_entries(&self.accepted.data);
        let is_same = old.len() == new.len() && old.iter().zip(new).all(|(old, new)| Arc::ptr_eq(old, new));
        if is_same {
            return None;
        }
        let indexed = old.iter().enumerate().map(|(index, entry)| (Arc::as_ptr(entry), index as u32));
        let old_indexes: BTreeMap<*const Element, u32> = indexed.collect();
        let source = |entry: &Arc<Element>| {
            let index = old_indexes.get(&Arc::as_ptr(entry)).copied();
            index.map_or_else(|| EntrySource::New(entry.to_text()), EntrySource::Existing)
        };
        Some(list_chunks(new.iter().map(source)))
    }

    /// The patch in flight is on disk.
    pub fn patch_written(&mut self) {
        if let Some(InFlightPatch { revision, edit_ids }) = self.in_flight.take() {
            self.is_list_changed |= revision.fleet != self.persisted.fleet || !edit_ids.is_empty();
            self.edit_history.record_stored(&edit_ids, self.now);
            self.persisted = revision;
        }
        self.unavailable_reason = None;
    }

    /// The patch in flight could not be written: returns to what is on disk, and drops what was accepted since. The
    /// endpoint list needs no disk and stays.
    pub fn roll_back(&mut self, why: String) {
        let roster = part(&self.accepted.data, ENDPOINT_LIST_PART).cloned();
        let mut data = (*self.persisted.data).clone();
        data.children.retain(|child| child.name != ENDPOINT_LIST_PART);
        data.children.extend(roster);
        self.accepted = Revision { data: Arc::new(data), ..self.persisted.clone() };
        if let Some(InFlightPatch { edit_ids, .. }) = self.in_flight.take() {
            self.edit_history.remove(&edit_ids);
        }
        self.edit_history.remove(&std::mem::take(&mut self.unsaved_edit_ids));
        self.is_unsaved = false;
        self.is_list_changed = true;
        self.unavailable_reason = Some(why);
    }

    // Validation.

    /// Validates wanted data. Returns the fleet, if it changed, and the change of the endpoint list.
    fn validate(&self, wanted: &Element) -> Result<(Option<Fleet>, EndpointListChange), Vec<RpcError>> {
        let Some(fleet_element) = part(wanted, FLEET_PART) else {
            let error = RpcError::application(Tag::DataMissing, "there must be a <fleet>");
            return Err(vec![error.at("/fleet")]);
        };
        let mut fleet = None;
        if !is_same_part(wanted, &self.accepted.data, FLEET_PART) {
            self.schema.check(&self.without_valid_servers(fleet_element))?;
            fleet = Some(Fleet::read(fleet_element).map_err(invalid_value)?);
        }
        let endpoints = if is_same_part(wanted, &self.accepted.data, ENDPOINT_LIST_PART) {
            EndpointListChange::default()
        } else {
            self.endpoints.difference(wanted, &self.schema)?
        };
        self.check_endpoints_fit(fleet.as_ref(), &endpoints)?;
        if let Some(fleet) = &fleet {
            self.check_guard(fleet, &endpoints)?;
        }
        Ok((fleet, endpoints))
    }

    /// The fleet without the `<server>` elements that were validated before: the rest is small.
    fn without_valid_servers(&self, fleet: &Element) -> Element {
        let valid = fleet_entries(&self.accepted.data).iter().filter(|entry| entry.name == "server");
        let valid: std::collections::BTreeSet<*const Element> = valid.map(Arc::as_ptr).collect();
        let is_unchecked =
            |entry: &&Arc<Element>| entry.name != "server" || !valid.contains(&Arc::as_ptr(entry));
        let children = fleet.children.iter().filter(is_unchecked).cloned().collect();
        Element { children, ..Element::new(FLEET_NAMESPACE, FLEET_PART) }
    }

    /// Checks that listed servers fit the fleet. With an unchanged fleet only changed entries can fail.
    fn check_endpoints_fit(
        &self,
        changed_fleet: Option<&Fleet>,
        endpoints: &EndpointListChange,
    ) -> Result<(), Vec<RpcError>> {
        let fleet = changed_fleet.unwrap_or(&self.accepted.fleet);
        let changed = endpoints.changed.iter().map(|entry| (&entry.name, &entry.server));
        let kept = self.endpoints.servers.iter();
        let kept = kept.filter(|(name, _)| changed_fleet.is_some() && endpoints.keeps(name));
        match changed.chain(kept).find_map(|(name, server)| server.check_zone(name, fleet).err()) {
            Some(invalid) => Err(invalid_value(invalid)),
            None => Ok(()),
        }
    }

    /// Checks an edit of operators against the guard's rules. The inventory feed reports facts, which are not checked.
    fn check_guard(&self, fleet: &Fleet, endpoints: &EndpointListChange) -> Result<(), Vec<RpcError>> {
        guard_check::check_raised_limit(&self.accepted.fleet, fleet, self.wall_ms)?;
        let listed = self.endpoints.servers.iter();
        let before = guard_check::servers_seen(&self.accepted.fleet, listed.clone(), self.wall_ms);
        let changed = endpoints.changed.iter().map(|entry| (&entry.name, &entry.server));
        let after = changed.chain(listed.filter(|(name, _)| endpoints.keeps(name)));
        let after = guard_check::servers_seen(fleet, after, self.wall_ms);
        guard_check::check_servers_left(&before, &after)
    }

    fn check_write_access(&mut self, change: &Change) -> Result<(), Vec<RpcError>> {
        for part in [FLEET_PART, ENDPOINT_LIST_PART] {
            if !is_same_part(change.wanted, &self.accepted.data, part) {
                let write = [RequestedAccess::Write { part }];
                self.access.check_any(self.now, change.who, &write).map_err(|error| vec![error])?;
            }
        }
        Ok(())
    }

    /// Checks that an edit can be made durable. A rollback to what was accepted before is on disk already.
    fn check_available(&self, change: &Change) -> Result<(), Vec<RpcError>> {
        let is_rollback = change.content.is_empty() && change.edit_id.is_none();
        match &self.unavailable_reason {
            Some(why) if !is_rollback => {
                let why = format!("edits cannot be written: {why}");
                Err(vec![RpcError::application(Tag::ResourceDenied, why).app("not-durable")])
            }
            _ => Ok(()),
        }
    }
}

impl Host for ConfigService {
    fn running(&self) -> Arc<Element> {
        self.accepted.data.clone()
    }

    fn state(&mut self) -> Vec<Element> {
        std::mem::take(&mut self.state_reply)
    }

    fn validate_datastore(&mut self, wanted: &Arc<Element>) -> Result<(), Vec<RpcError>> {
        self.validate(wanted).map(|_| ())
    }

    fn commit(&mut self, change: &Change) -> Result<(), Vec<RpcError>> {
        self.check_write_access(change)?;
        let (fleet, endpoints) = self.validate(change.wanted)?;
        // The endpoint list needs no disk: a restarted planner uses the last list on disk until the feed connects.
        let is_durable = fleet.is_some() || change.edit_id.is_some() || change.before.is_some();
        if is_durable {
            self.check_available(change)?;
        }
        self.is_list_changed |= self.endpoints.apply(endpoints);
        if let Some(fleet) = fleet {
            // The decisions are told once it is on disk.
            self.accepted.fleet = fleet;
        }
        self.accepted.data = change.wanted.clone();
        self.accepted.before = change.before.cloned();
        if is_durable {
            let digest = digest(change.content);
            let id = self.edit_history.accept(change.edit_id, change.who, &digest, self.wall_ms);
            self.unsaved_edit_ids.push(id);
            self.is_unsaved = true;
        }
        Ok(())
    }

    fn confirmed_commit_ended(&mut self) {
        self.is_unsaved |= self.accepted.before.take().is_some();
    }

    fn lookup_edit(&self, edit_id: &str, content: &str) -> EditLookup {
        let digest = if content.is_empty() { String::new() } else { digest(content) };
        match self.edit_history.lookup(edit_id, &digest) {
            edit_history::EditLookup::New => EditLookup::New,
            edit_history::EditLookup::Repeated => EditLookup::Repeated,
            edit_history::EditLookup::Conflicting => EditLookup::Conflicting,
        }
    }

    fn authorize(&mut self, who: &str, access: Access) -> Result<(), RpcError> {
        self.access.check(self.now, who, access)
    }

    fn schemas(&self) -> &[(&'static str, &'static str, &'static str)] {
        &YANG_MODULES
    }
}
