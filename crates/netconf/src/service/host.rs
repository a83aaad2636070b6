//! The interface to the owner of the datastores, who also provides validation, access control and models.

use crate::error::RpcError;
use crate::tree::Element;
use std::sync::Arc;

/// The kind of access that an operation needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Reads configuration or state.
    Read,
    /// Changes, locks or commits configuration.
    Edit,
    /// Ends another session with `<kill-session>`.
    Kill,
}

/// The result of looking up an edit-id in the edit history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditLookup {
    /// The id is unknown.
    New,
    /// The same edit was accepted before; it gets the same reply and is not applied again.
    Repeated,
    /// The id was used for another edit.
    Conflicting,
}

/// A change of the running datastore, to be committed.
#[derive(Debug)]
pub struct Change<'a> {
    /// Name of the client that requested it.
    pub client: &'a str,
    /// The edit-id that the client gave it, if any.
    pub edit_id: Option<&'a str>,
    /// The requested operation, or the candidate of a `<commit>`, as XML; a repeated edit is recognized by it. Empty
    /// for a rollback, and for a `<commit>` without a changed candidate.
    pub content: &'a str,
    /// The complete running datastore after the change.
    pub datastore: &'a Arc<Element>,
    /// The datastore to roll back to if the change is not confirmed; `None` if it needs no confirmation.
    pub rollback_to: Option<&'a Arc<Element>>,
}

/// The owner of the running datastore and of operational state.
pub trait Host {
    /// The running datastore: a root with the models' top-level nodes.
    fn running(&self) -> Arc<Element>;
    /// The operational state for `<get>`, as top-level nodes.
    fn state(&mut self) -> Vec<Element>;
    /// Validates a complete datastore without changing anything.
    fn validate_datastore(&mut self, datastore: &Arc<Element>) -> Result<(), Vec<RpcError>>;
    /// Commits a change. Once this returns `Ok`, the change survives a restart of the process.
    fn commit(&mut self, change: &Change) -> Result<(), Vec<RpcError>>;
    /// Called when no confirmed commit is pending any more: after a `<commit>` without `<confirmed>`, and after a
    /// rollback, which commits the previous datastore.
    fn confirmed_commit_ended(&mut self) {}
    /// Looks up an edit-id in the edit history. Empty `content` matches any edit with this id.
    fn lookup_edit(&self, edit_id: &str, content: &str) -> EditLookup;
    /// Fails if the client of this name does not have this access.
    fn authorize(&mut self, client: &str, access: Access) -> Result<(), RpcError>;
    /// The models for `<get-schema>`: identifier, version and YANG text of each.
    fn schemas(&self) -> &[(&'static str, &'static str, &'static str)];
}
