//! Assigns one of the testbed's servers to each recorded one.

use super::observation::LogObservation;
use std::collections::{BTreeMap, BTreeSet};

/// The testbed's name for each server of the first endpoint list, by its recorded name.
///
/// The testbed numbers its servers and assigns them to the zones in turn. Recorded servers keep their zones as far as
/// the zones are of equal size; the rest take the free numbers.
pub(super) fn scenario_names(observation: &LogObservation) -> BTreeMap<String, String> {
    let server_count = observation.first_servers.len();
    let zones: BTreeSet<&str> =
        observation.first_servers.iter().map(|server| zone_of(observation, server)).collect();
    let mut names = BTreeMap::new();
    let mut taken = BTreeSet::new();
    let mut unplaced = vec![];
    for (zone_number, zone) in zones.iter().enumerate() {
        for (position, server) in servers_of_zone(observation, zone).into_iter().enumerate() {
            let number = position * zones.len() + zone_number;
            if number < server_count {
                taken.insert(number);
                names.insert(server.clone(), scenario_name(number));
            } else {
                unplaced.push(server.clone());
            }
        }
    }
    let free = (0..server_count).filter(|number| !taken.contains(number));
    names.extend(unplaced.into_iter().zip(free.map(scenario_name)));
    names
}

fn zone_of<'a>(observation: &'a LogObservation, server: &str) -> &'a str {
    observation.servers[server].zone.as_str()
}

/// Servers of a zone, sorted by the length of their names and then by name, so that `s2` comes before `s10`.
fn servers_of_zone<'a>(observation: &'a LogObservation, zone: &str) -> Vec<&'a String> {
    let all = observation.first_servers.iter();
    let mut servers: Vec<&String> = all.filter(|server| zone_of(observation, server) == zone).collect();
    servers.sort_by_key(|server| (server.len(), (*server).clone()));
    servers
}

fn scenario_name(number: usize) -> String {
    format!("s{number}")
}
