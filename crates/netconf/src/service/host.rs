//! What a server needs from its host: datastores, validation, access control and models.

use crate::error::RpcError;
use crate::tree::Element;
use std::sync::Arc;

/// What a client wants to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Read configuration or state.
    Read,
    /// Change configuration.
    Edit,
    /// End another session.
    Kill,
}

/// How an edit's id stands in the edit history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditLookup {
    /// It is not known.
    New,
    /// The same edit was accepted before: it is answered in the same way.
    Repeated,
    /// The id belongs to another edit.
    Conflicting,
}

/// A change that is to be accepted.
#[derive(Debug)]
pub struct Change<'a> {
    /// Name of the client.
    pub client: &'a str,
    /// The client's id for it, if it gave one.
    pub edit_id: Option<&'a str>,
    /// The operation as it came, by which a repeated edit is recognised.
    pub content: &'a str,
    /// The complete datastore with the change.
    pub datastore: &'a Arc<Element>,
    /// What to roll back to if nobody confirms the change; `None`: it is final.
    pub rollback_to: Option<&'a Arc<Element>>,
}

/// The owner of the datastores.
pub trait Host {
    /// The running datastore: a root with the models' top nodes.
    fn running(&self) -> Arc<Element>;
    /// Operational state for `<get>`: top nodes.
    fn state(&mut self) -> Vec<Element>;
    /// Validates a complete datastore without changing anything.
    fn validate_datastore(&mut self, datastore: &Arc<Element>) -> Result<(), Vec<RpcError>>;
    /// Accepts a change: once this returns `Ok`, it outlasts the process.
    fn commit(&mut self, change: &Change) -> Result<(), Vec<RpcError>>;
    /// A confirmed commit was confirmed, or was rolled back by a commit of the former datastore.
    fn confirmed_commit_ended(&mut self) {}
    /// Looks an edit up in the edit history. Empty content matches every edit of the id.
    fn lookup_edit(&self, edit_id: &str, content: &str) -> EditLookup;
    /// Decides whether a client may do something.
    fn authorize(&mut self, client: &str, access: Access) -> Result<(), RpcError>;
    /// The models for `<get-schema>`: identifier, version, text.
    fn schemas(&self) -> &[(&'static str, &'static str, &'static str)];
}
