//! The proxy's NETCONF datastore, which a planner edits. Each edit is validated and applied as a whole.

use runloom_model::YANG_MODULES;
use runloom_netconf::error::{RpcError, Tag};
use runloom_netconf::service::{Access, Change, EditLookup, Host};
use runloom_netconf::tree::Element;
use runloom_proxy::RouteTables;
use std::sync::Arc;

/// The running datastore, and the operational state that `<get>` returns.
pub(super) struct Datastore {
    running: Arc<Element>,
    /// Tables of an accepted edit that the proxy does not use yet.
    accepted: Option<RouteTables>,
    state: Element,
}

impl Datastore {
    pub(super) fn new() -> Datastore {
        Datastore { running: Arc::new(Element::new("", "data")), accepted: None, state: Element::default() }
    }

    pub(super) fn set_state(&mut self, state: Element) {
        self.state = state;
    }

    /// Takes the tables of the last edit that was accepted since the last call; `None` if there was none.
    pub(super) fn take_accepted(&mut self) -> Option<RouteTables> {
        self.accepted.take()
    }
}

fn read_tables(datastore: &Element) -> Result<RouteTables, Vec<RpcError>> {
    let Some(tables) = datastore.child("tables") else { return Ok(RouteTables::default()) };
    RouteTables::read(tables)
        .map_err(|error| vec![RpcError::application(Tag::InvalidValue, error.to_string()).at("/tables")])
}

impl Host for Datastore {
    fn running(&self) -> Arc<Element> {
        self.running.clone()
    }

    fn state(&mut self) -> Vec<Element> {
        vec![self.state.clone()]
    }

    fn validate_datastore(&mut self, datastore: &Arc<Element>) -> Result<(), Vec<RpcError>> {
        read_tables(datastore).map(|_| ())
    }

    fn commit(&mut self, change: &Change) -> Result<(), Vec<RpcError>> {
        self.accepted = Some(read_tables(change.datastore)?);
        self.running = change.datastore.clone();
        Ok(())
    }

    fn lookup_edit(&self, _: &str, _: &str) -> EditLookup {
        EditLookup::New
    }

    fn authorize(&mut self, _: &str, _: Access) -> Result<(), RpcError> {
        Ok(())
    }

    fn schemas(&self) -> &[(&'static str, &'static str, &'static str)] {
        &YANG_MODULES
    }
}

/// Counts the table entries, admission limits, assignments and ejections in `<tables>`.
pub(super) fn count_entries(tables: &Element) -> usize {
    let in_table = |table: &Arc<Element>| table.children.iter().filter(|child| child.name != "id").count();
    let outside_tables = tables.children.iter().filter(|child| child.name != "table").count();
    tables.named("table").map(in_table).sum::<usize>() + outside_tables
}
