//! Infers operators' edits from the differences between each recorded fleet and the next.

use super::observation::LogObservation;
use super::{FleetChange, InferredEdit};
use runloom_model::fleet::Fleet;
use std::collections::{BTreeMap, BTreeSet};

/// Finds the edits, with servers under the testbed's names. Drains of servers without such a name are left out.
pub(super) fn find_edits(
    observation: &LogObservation,
    names: &BTreeMap<String, String>,
) -> Vec<InferredEdit> {
    let mut edits = vec![];
    for pair in observation.fleets.windows(2) {
        let ((_, old), (at, new)) = (&pair[0], &pair[1]);
        let changes = zone_share_changes(old, new).into_iter().chain(drain_changes(old, new, names));
        edits.extend(changes.map(|change| InferredEdit { at: at.max(0.0), change }));
    }
    edits
}

fn zone_share_changes(old: &Fleet, new: &Fleet) -> Vec<FleetChange> {
    let changed = new.zones.iter().filter(|zone| old.zone_share(&zone.name) != zone.share);
    changed.map(|zone| FleetChange::ZoneShare { zone: zone.name.clone(), share: zone.share }).collect()
}

fn drain_changes(old: &Fleet, new: &Fleet, names: &BTreeMap<String, String>) -> Vec<FleetChange> {
    let drains = |fleet: &Fleet, name: &str| fleet.overrides.get(name).is_some_and(|entry| entry.is_draining);
    let servers: BTreeSet<&String> = old.overrides.keys().chain(new.overrides.keys()).collect();
    let mut changes = vec![];
    for server in servers {
        let is_draining = drains(new, server);
        let Some(name) = names.get(server) else { continue };
        if drains(old, server) != is_draining {
            changes.push(FleetChange::Drain { server: name.clone(), is_draining });
        }
    }
    changes
}
