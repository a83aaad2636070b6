//! The datastores, and the parameters of operations that name them.

use super::{Host, Service};
use crate::edit::{apply, ErrorOption, Operation};
use crate::error::{RpcError, Tag};
use crate::tree::Element;
use std::fmt;
use std::sync::Arc;

/// A configuration datastore (RFC 6241, section 5.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Datastore {
    Candidate,
    Running,
}

impl fmt::Display for Datastore {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Datastore::Candidate => "candidate",
            Datastore::Running => "running",
        })
    }
}

/// Reads the datastore that the parameter `<target>` or `<source>` of an operation names.
pub(super) fn read_datastore(operation: &Element, parameter: &str) -> Result<Datastore, Vec<RpcError>> {
    let Some(named) = operation.child(parameter).and_then(|element| element.children.first()) else {
        let error = RpcError::protocol(Tag::MissingElement, format!("<{parameter}> is missing"));
        return Err(vec![error.with_info("bad-element", parameter)]);
    };
    match named.name.as_str() {
        "running" => Ok(Datastore::Running),
        "candidate" => Ok(Datastore::Candidate),
        other => {
            let error = RpcError::protocol(Tag::InvalidValue, format!("there is no datastore {other}"));
            Err(vec![error.with_info("bad-element", other)])
        }
    }
}

/// A datastore without data.
pub(super) fn empty_datastore() -> Arc<Element> {
    Arc::new(Element::new("", "data"))
}

impl Service {
    /// The contents of a datastore; an unchanged candidate has those of the running datastore.
    pub(super) fn contents(&self, datastore: Datastore, host: &dyn Host) -> Arc<Element> {
        match (&self.candidate, datastore) {
            (Some(candidate), Datastore::Candidate) => candidate.clone(),
            _ => host.running(),
        }
    }

    /// The contents of `<source>`: of the datastore that it names, or an inline `<config>` as a complete datastore.
    pub(super) fn source_contents(
        &self,
        operation: &Element,
        host: &dyn Host,
    ) -> Result<Arc<Element>, Vec<RpcError>> {
        let inline = operation.child("source").and_then(|source| source.child("config"));
        let Some(config) = inline else {
            return Ok(self.contents(read_datastore(operation, "source")?, host));
        };
        let applied =
            apply(&self.schema, &empty_datastore(), config, Operation::Merge, ErrorOption::StopOnError);
        if applied.errors.is_empty() {
            Ok(applied.tree)
        } else {
            Err(applied.errors)
        }
    }
}
