//! The top-level elements of the configuration data: `<fleet>` and `<roster>`.

use runloom_netconf::tree::Element;
use std::sync::Arc;

/// Name of the element of the fleet.
pub(super) const FLEET_PART: &str = "fleet";
/// Name of the element of the endpoint list.
pub(super) const ENDPOINT_LIST_PART: &str = "roster";

/// A top-level element by its name.
pub(super) fn part<'a>(data: &'a Element, name: &str) -> Option<&'a Arc<Element>> {
    data.children.iter().find(|child| child.name == name)
}

/// The entries of the fleet; none without a fleet.
pub(super) fn fleet_entries(data: &Element) -> &[Arc<Element>] {
    part(data, FLEET_PART).map(|fleet| fleet.children.as_slice()).unwrap_or_default()
}

/// The entries of the fleet as text.
pub(super) fn fleet_entry_texts(data: &Element) -> Vec<String> {
    fleet_entries(data).iter().map(|entry| entry.to_text()).collect()
}

/// The entries of the endpoint list; none without a list.
pub(super) fn endpoint_entries(data: &Element) -> &[Arc<Element>] {
    part(data, ENDPOINT_LIST_PART).map(|roster| roster.children.as_slice()).unwrap_or_default()
}

/// Whether a top-level element is equal in two versions of the data, or missing in both.
pub(super) fn is_same_part(a: &Element, b: &Element, name: &str) -> bool {
    match (part(a, name), part(b, name)) {
        (Some(a), Some(b)) => Arc::ptr_eq(a, b) || a == b,
        (a, b) => a.is_none() && b.is_none(),
    }
}
