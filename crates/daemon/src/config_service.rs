//! The configuration datastore of the planner's NETCONF server: `<fleet>`, which operators edit, and `<roster>`, the
//! endpoint list that the inventory feed edits. Does no I/O: the planner writes the patch that
//! [`ConfigService::take_patch`] returns to disk before it sends any reply, and rolls the patch back if that fails.

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
use runloom_store::{chunk_entries, AcceptedEdit, AcceptedState, EntrySource, ListChunk, StatePatch};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use validation::{invalid_value, SchemaCheck};

/// The schema of the data that can be edited: `<fleet>` and `<roster>`.
pub fn schema() -> Result<Schema, ConfigError> {
    derive_schema(FLEET_XSD, &[FLEET_PART, ENDPOINT_LIST_PART]).map(Schema::root).map_err(ConfigError::Schema)
}

/// One version of the configuration.
#[derive(Clone)]
struct Revision {
    data: Arc<Element>,
    /// The parsed `<fleet>` of the data.
    fleet: Fleet,
    /// The data to roll back to unless a confirmed commit is confirmed (RFC 6241, section 8.4); `None` if no confirmed
    /// commit is pending.
    rollback_data: Option<Arc<Element>>,
}

impl Revision {
    fn rollback_entries(&self) -> Option<Vec<String>> {
        self.rollback_data.as_deref().map(fleet_entry_texts)
    }
}

/// A patch that is being written to disk.
struct InFlightPatch {
    /// The configuration that is on disk once the patch is written.
    revision: Revision,
    /// Ids of the edits in it.
    edit_ids: Vec<String>,
}

/// The configuration and its edit history: accepted edits, and the state that is on disk.
pub struct ConfigService {
    schema: SchemaCheck,
    /// The configuration with all accepted edits.
    accepted: Revision,
    endpoints: EndpointList,
    /// Accepted edits, and at which proxies they are in force.
    pub edit_history: EditHistory,
    /// The configuration that is on disk.
    persisted: Revision,
    in_flight: Option<InFlightPatch>,
    /// Ids of accepted edits that are in no patch yet.
    unsaved_edit_ids: Vec<String>,
    is_unsaved: bool,
    /// Whether the fleet on disk or the endpoint list may have changed since the controller was last updated.
    pub has_unapplied_changes: bool,
    /// The operational state that the next `<get>` returns.
    pub state_reply: Vec<Element>,
    /// The time now, since the start of the planner.
    pub now: Duration,
    /// The time now, in milliseconds since 1970.
    pub wall_ms: u64,
    /// Why edits cannot be written to disk; `None` while they can. No edit is accepted meanwhile.
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

/// The SHA-256 of an edit's content in hexadecimal, which distinguishes a repeated edit from another one under its id.
fn digest(content: &str) -> String {
    let hash = ring::digest::digest(&ring::digest::SHA256, content.as_bytes());
    hash.as_ref().iter().map(|byte| format!("{byte:02x}")).collect()
}

impl ConfigService {
    /// Starts from a configuration; fails if it is not valid.
    pub fn new(data: Arc<Element>, edit_history: EditHistory) -> Result<ConfigService, ConfigError> {
        let schema = SchemaCheck::new()?;
        let fleet = part(&data, FLEET_PART).ok_or(ConfigError::MissingFleet)?;
        if let Some(violation) = schema.first_violation(fleet) {
            return Err(ConfigError::SchemaViolation(violation.to_string()));
        }
        let fleet = Fleet::read(fleet)
            .map_err(|invalid| ConfigError::InvalidValue { path: invalid.path, reason: invalid.reason })?;
        let revision = Revision { data, fleet, rollback_data: None };
        let mut config = ConfigService {
            schema,
            accepted: revision.clone(),
            endpoints: EndpointList::default(),
            edit_history,
            persisted: revision,
            in_flight: None,
            unsaved_edit_ids: vec![],
            is_unsaved: false,
            has_unapplied_changes: true,
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

    /// The fleet with all accepted edits.
    pub fn fleet(&self) -> &Fleet {
        &self.accepted.fleet
    }

    /// The fleet that is on disk. The controller is only given this one.
    pub fn persisted_fleet(&self) -> &Fleet {
        &self.persisted.fleet
    }

    /// The `<fleet>` that is on disk, as text.
    pub fn persisted_fleet_text(&self) -> String {
        part(&self.persisted.data, FLEET_PART).map(|fleet| fleet.to_text()).unwrap_or_default()
    }

    /// The listed servers by name.
    pub fn listed(&self) -> &BTreeMap<String, ListedServer> {
        &self.endpoints.servers
    }

    /// The endpoint list as an element, to be stored for a restart.
    pub fn endpoint_list_element(&self) -> Element {
        let roster = part(&self.accepted.data, ENDPOINT_LIST_PART);
        roster.map_or_else(|| Element::new(FLEET_NAMESPACE, ENDPOINT_LIST_PART), |roster| (**roster).clone())
    }

    // Access control.

    /// Sets the access rules for identities. Without rules, access depends only on the role in a certificate.
    pub fn set_rules(&mut self, rules: Vec<AccessRule>) {
        self.access.rules = rules;
    }

    /// Stores a client's role and identity from its certificate, when its session begins.
    pub fn register_client(&mut self, holder: &CertificateHolder) {
        self.access.register_client(holder);
    }

    /// Records an access in the audit log if the rules deny it.
    pub fn audit_denial(&mut self, id: &SpiffeId, access: RequestedAccess) {
        self.access.audit_denial(self.now, id, access);
    }

    /// Takes the entries of the audit log that have not been logged yet.
    pub fn take_audit_entries(&mut self) -> Vec<DenialEntry> {
        std::mem::take(&mut self.access.unlogged_denials)
    }

    /// Number of denied accesses since the start.
    pub fn denied_count(&self) -> u64 {
        self.access.denials.denied
    }

    // Persistence.

    /// Whether accepted changes are in no patch yet.
    pub fn has_unsaved_changes(&self) -> bool {
        self.is_unsaved
    }

    /// Whether a patch is being written to disk.
    pub fn has_write_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// The accepted state that has to be durable, for a snapshot.
    pub fn accepted_state(&self) -> AcceptedState {
        AcceptedState {
            entries: fleet_entry_texts(&self.accepted.data),
            rollback_entries: self.accepted.rollback_entries(),
            edits: self.edit_history.edits().map(stored_edit).collect(),
        }
    }

    /// Takes the accepted changes, which have to be on disk before any client is told that they are accepted. `None` if
    /// there are none, or while an earlier patch is in flight.
    pub fn take_patch(&mut self) -> Option<StatePatch> {
        if !self.is_unsaved || self.in_flight.is_some() {
            return None;
        }
        let edit_ids = std::mem::take(&mut self.unsaved_edit_ids);
        let rollback_entries = self.accepted.rollback_entries();
        let edits = self.edit_history.edits().filter(|edit| edit_ids.contains(&edit.stored.id));
        let patch = StatePatch {
            chunks: self.changed_chunks(),
            edits: edits.map(stored_edit).collect(),
            rollback_entries: (rollback_entries != self.persisted.rollback_entries())
                .then_some(rollback_entries),
        };
        self.in_flight = Some(InFlightPatch { revision: self.accepted.clone(), edit_ids });
        self.is_unsaved = false;
        Some(patch)
    }

    /// The entries of the fleet: unchanged ones as references to those on disk, others as text. `None` if all are
    /// unchanged.
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
        Some(chunk_entries(new.iter().map(source)))
    }

    /// Notes that the patch in flight is on disk.
    pub fn patch_written(&mut self) {
        if let Some(InFlightPatch { revision, edit_ids }) = self.in_flight.take() {
            self.has_unapplied_changes |= revision.fleet != self.persisted.fleet || !edit_ids.is_empty();
            self.edit_history.record_stored(&edit_ids, self.now);
            self.persisted = revision;
        }
        self.unavailable_reason = None;
    }

    /// Returns to the configuration on disk, since the patch in flight could not be written, and drops all edits
    /// accepted since. The endpoint list is kept: it need not be durable.
    pub fn roll_back(&mut self, reason: String) {
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
        self.has_unapplied_changes = true;
        self.unavailable_reason = Some(reason);
    }

    // Validation.

    /// Validates a new datastore. Returns the fleet, if it changed, and the change of the endpoint list.
    fn validate(&self, datastore: &Element) -> Result<(Option<Fleet>, EndpointListChange), Vec<RpcError>> {
        let Some(fleet_element) = part(datastore, FLEET_PART) else {
            let error = RpcError::application(Tag::DataMissing, "there must be a <fleet>");
            return Err(vec![error.at("/fleet")]);
        };
        let mut fleet = None;
        if !is_same_part(datastore, &self.accepted.data, FLEET_PART) {
            self.schema.check(&self.without_valid_servers(fleet_element))?;
            fleet = Some(Fleet::read(fleet_element).map_err(invalid_value)?);
        }
        let endpoints = if is_same_part(datastore, &self.accepted.data, ENDPOINT_LIST_PART) {
            EndpointListChange::default()
        } else {
            self.endpoints.difference(datastore, &self.schema)?
        };
        self.check_endpoints_fit(fleet.as_ref(), &endpoints)?;
        if let Some(fleet) = &fleet {
            self.check_guard(fleet, &endpoints)?;
        }
        Ok((fleet, endpoints))
    }

    /// The fleet without the `<server>` elements that were validated before, so that only a small part is validated
    /// again.
    fn without_valid_servers(&self, fleet: &Element) -> Element {
        let valid = fleet_entries(&self.accepted.data).iter().filter(|entry| entry.name == "server");
        let valid: std::collections::BTreeSet<*const Element> = valid.map(Arc::as_ptr).collect();
        let is_unchecked =
            |entry: &&Arc<Element>| entry.name != "server" || !valid.contains(&Arc::as_ptr(entry));
        let children = fleet.children.iter().filter(is_unchecked).cloned().collect();
        Element { children, ..Element::new(FLEET_NAMESPACE, FLEET_PART) }
    }

    /// Checks that the fleet has the zones of listed servers. With an unchanged fleet only changed entries can fail.
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

    /// Checks an operator's edit of the fleet against the guard's rules. Edits of the endpoint list alone are not
    /// checked: the inventory feed reports facts.
    fn check_guard(&self, fleet: &Fleet, endpoints: &EndpointListChange) -> Result<(), Vec<RpcError>> {
        guard_check::check_raised_limit(&self.accepted.fleet, fleet, self.wall_ms)?;
        let listed = self.endpoints.servers.iter();
        let before = guard_check::pool_servers(&self.accepted.fleet, listed.clone(), self.wall_ms);
        let changed = endpoints.changed.iter().map(|entry| (&entry.name, &entry.server));
        let after = changed.chain(listed.filter(|(name, _)| endpoints.keeps(name)));
        let after = guard_check::pool_servers(fleet, after, self.wall_ms);
        guard_check::check_servers_remain(&before, &after)
    }

    fn check_write_access(&mut self, change: &Change) -> Result<(), Vec<RpcError>> {
        for part in [FLEET_PART, ENDPOINT_LIST_PART] {
            if !is_same_part(change.datastore, &self.accepted.data, part) {
                let write = [RequestedAccess::Write { part }];
                self.access.check_any(self.now, change.client, &write).map_err(|error| vec![error])?;
            }
        }
        Ok(())
    }

    /// Checks that an edit can be made durable. A rollback is never rejected: it returns to an accepted state, which is
    /// on disk already.
    fn check_available(&self, change: &Change) -> Result<(), Vec<RpcError>> {
        let is_rollback = change.content.is_empty() && change.edit_id.is_none();
        match &self.unavailable_reason {
            Some(reason) if !is_rollback => {
                let message = format!("edits cannot be written: {reason}");
                Err(vec![RpcError::application(Tag::ResourceDenied, message).with_app_tag("not-durable")])
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

    fn validate_datastore(&mut self, datastore: &Arc<Element>) -> Result<(), Vec<RpcError>> {
        self.validate(datastore).map(|_| ())
    }

    fn commit(&mut self, change: &Change) -> Result<(), Vec<RpcError>> {
        self.check_write_access(change)?;
        let (fleet, endpoints) = self.validate(change.datastore)?;
        // The endpoint list need not be durable: a restarted planner uses the last one on disk until the feed connects.
        let is_durable = fleet.is_some() || change.edit_id.is_some() || change.rollback_to.is_some();
        if is_durable {
            self.check_available(change)?;
        }
        self.has_unapplied_changes |= self.endpoints.apply(endpoints);
        if let Some(fleet) = fleet {
            // The controller gets it once it is on disk.
            self.accepted.fleet = fleet;
        }
        self.accepted.data = change.datastore.clone();
        self.accepted.rollback_data = change.rollback_to.cloned();
        if is_durable {
            let digest = digest(change.content);
            let id = self.edit_history.accept(change.edit_id, change.client, &digest, self.wall_ms);
            self.unsaved_edit_ids.push(id);
            self.is_unsaved = true;
        }
        Ok(())
    }

    fn confirmed_commit_ended(&mut self) {
        self.is_unsaved |= self.accepted.rollback_data.take().is_some();
    }

    fn lookup_edit(&self, edit_id: &str, content: &str) -> EditLookup {
        let digest = if content.is_empty() { String::new() } else { digest(content) };
        match self.edit_history.lookup(edit_id, &digest) {
            edit_history::EditLookup::New => EditLookup::New,
            edit_history::EditLookup::Repeated => EditLookup::Repeated,
            edit_history::EditLookup::Conflicting => EditLookup::Conflicting,
        }
    }

    fn authorize(&mut self, client: &str, access: Access) -> Result<(), RpcError> {
        self.access.check(self.now, client, access)
    }

    fn schemas(&self) -> &[(&'static str, &'static str, &'static str)] {
        &YANG_MODULES
    }
}
