//! The endpoint list, `<roster>`. After an edit only changed entries are validated and parsed.

use super::data::{endpoint_entries, ENDPOINT_LIST_PART};
use super::validation::{invalid_value, SchemaCheck};
use runloom_model::listed_server::ListedServer;
use runloom_model::FLEET_NAMESPACE;
use runloom_netconf::error::RpcError;
use runloom_netconf::tree::Element;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An entry that is new or has changed.
pub(super) struct ChangedEntry {
    element: Arc<Element>,
    pub name: String,
    pub server: ListedServer,
}

/// The difference between two endpoint lists.
#[derive(Default)]
pub(super) struct EndpointListChange {
    pub changed: Vec<ChangedEntry>,
    removed: Vec<String>,
}

impl EndpointListChange {
    /// Whether an entry of the old list is unchanged in the new list.
    pub(super) fn keeps(&self, name: &str) -> bool {
        !self.removed.iter().any(|removed| removed == name)
            && !self.changed.iter().any(|entry| entry.name == name)
    }
}

/// The parsed endpoint list.
#[derive(Default)]
pub(super) struct EndpointList {
    pub servers: BTreeMap<String, ListedServer>,
    /// The elements that the entries were parsed from.
    elements: BTreeMap<String, Arc<Element>>,
}

impl EndpointList {
    /// The change from this list to that in `data`, whose changed entries are validated.
    pub(super) fn difference(
        &self,
        data: &Element,
        schema: &SchemaCheck,
    ) -> Result<EndpointListChange, Vec<RpcError>> {
        let entries = endpoint_entries(data);
        let mut changed = vec![];
        let mut changed_elements = Element::new(FLEET_NAMESPACE, ENDPOINT_LIST_PART);
        let mut known_count = 0;
        for element in entries {
            let known = self.elements.get(element.text_of("name").unwrap_or_default());
            known_count += usize::from(known.is_some());
            if known.is_some_and(|known| Arc::ptr_eq(known, element)) {
                continue;
            }
            changed_elements.children.push(element.clone());
            let (name, server) = ListedServer::read(element).map_err(invalid_value)?;
            changed.push(ChangedEntry { element: element.clone(), name, server });
        }
        if !changed.is_empty() {
            schema.check(&changed_elements)?;
        }
        let removed = if known_count < self.elements.len() { self.names_not_in(entries) } else { vec![] };
        Ok(EndpointListChange { changed, removed })
    }

    fn names_not_in(&self, entries: &[Arc<Element>]) -> Vec<String> {
        let names: BTreeSet<&str> = entries.iter().filter_map(|entry| entry.text_of("name")).collect();
        self.elements.keys().filter(|name| !names.contains(name.as_str())).cloned().collect()
    }

    /// Applies a change. Returns whether any server was added, changed or removed.
    pub(super) fn apply(&mut self, change: EndpointListChange) -> bool {
        let mut is_changed = !change.removed.is_empty();
        for name in change.removed {
            self.servers.remove(&name);
            self.elements.remove(&name);
        }
        for ChangedEntry { element, name, server } in change.changed {
            is_changed |= self.servers.get(&name) != Some(&server);
            self.servers.insert(name.clone(), server);
            self.elements.insert(name, element);
        }
        is_changed
    }
}
