//! Tests of the inventory and the edit history.

use crate::edit_history::{EditHistory, EditLookup, MAX_EDITS, PUBLICATION_TIMEOUT};
use crate::{Change, Inventory};
use runloom_model::fleet::Fleet;
use runloom_model::listed_server::ListedServer;
use runloom_netconf::tree::Element;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const ZONE: &str = "<zone><name>a</name></zone>";

/// A fleet with these `<zone>` elements and `<server>` overrides.
fn fleet(zones: &str, overrides: &str) -> Fleet {
    let text = format!(
        "<fleet xmlns='urn:runloom:fleet'>{zones}<class><name>q</name><payoff>1</payoff>\
         <soft-limit-ms>500</soft-limit-ms><outer-limit-ms>900</outer-limit-ms><repeats>safe</repeats></class>{overrides}\
         <grace><drain-ms>2000</drain-ms><bare-ms>2000</bare-ms><reply-ms>2000</reply-ms></grace><channel>\
         <lines-per-second>9000</lines-per-second><backlog>9000</backlog><overhead>4</overhead></channel><cold>\
         <from>0.2</from><warm-after-ms>9000</warm-after-ms></cold><proxies><count>2</count><planners>1</planners>\
         <pick>chance</pick><levels>none</levels><probes>true</probes><report-ms>1000</report-ms>\
         <report-lines-per-second>500</report-lines-per-second></proxies><list><only-drains-bind>false\
         </only-drains-bind></list></fleet>"
    );
    Fleet::read(&Element::parse(&text).unwrap()).unwrap()
}

/// Listed servers of weight 1 in zone a.
fn listed(names: &[&str]) -> BTreeMap<String, ListedServer> {
    let server = |name: &&str| {
        let text =
            format!("<server><name>{name}</name><address>127.0.0.1:1</address><zone>a</zone></server>");
        ListedServer::read(&Element::parse(&text).unwrap()).unwrap()
    };
    names.iter().map(server).collect()
}

#[test]
fn a_zones_share_multiplies_the_listed_weight_and_an_operators_weight() {
    // Given two servers.
    let mut inventory = Inventory::default();
    let servers = listed(&["s1", "s2"]);
    inventory.update(&fleet(ZONE, ""), &servers);
    // When their zone gets half a share, and an operator gives one of them a weight.
    let zone = "<zone><name>a</name><share>0.5</share></zone>";
    let overrides = "<server><name>s2</name><weight>3</weight></server>";
    let changes = inventory.update(&fleet(zone, overrides), &servers);
    // Then the share multiplies both the listed weight and the operator's.
    let weight = |(_, change): &(String, Change)| match change {
        Change::Updated(server) => server.weight,
        Change::Removed => 0.0,
    };
    assert_eq!(changes.iter().map(weight).collect::<Vec<_>>(), [0.5, 1.5]);
}

#[test]
fn the_end_of_a_drain_does_not_bring_back_a_removed_server() {
    // Given a server that an operator drains.
    let mut inventory = Inventory::default();
    let drained = fleet(ZONE, "<server><name>s1</name><drain>true</drain></server>");
    inventory.update(&drained, &listed(&["s1", "s2"]));
    // When it is delisted and the drain ends, then it is removed, and only once.
    let changes = inventory.update(&fleet(ZONE, ""), &listed(&["s2"]));
    assert_eq!(changes, [("s1".to_string(), Change::Removed)]);
    assert_eq!(inventory.update(&fleet(ZONE, ""), &listed(&["s2"])), []);
}

#[test]
fn an_id_is_new_repeated_or_conflicting() {
    let mut history = EditHistory::default();
    history.accept(Some("a"), "staff", "d1", 5);
    assert_eq!(history.lookup("a", "d1"), EditLookup::Repeated);
    assert_eq!(history.lookup("a", "d2"), EditLookup::Conflicting);
    assert_eq!(history.lookup("a", ""), EditLookup::Repeated);
    // The lookup is the same after a restart.
    let restored = EditHistory::restore(history.edits().map(|edit| edit.stored.clone()));
    assert_eq!(restored.lookup("a", "d1"), EditLookup::Repeated);
    assert_eq!(restored.lookup("b", "d1"), EditLookup::New);
}

#[test]
fn an_edit_is_in_force_once_all_its_proxies_have_acknowledged() {
    // Given an edit that is not on disk, which the controller does not receive.
    let mut history = EditHistory::default();
    let servers: BTreeSet<String> = ["s1".to_string()].into();
    let id = history.accept(Some("a"), "staff", "d", 5);
    history.record_decided(Duration::from_millis(9), &servers);
    assert_eq!(history.edits().next().unwrap().state(), "accepted");
    // When it is stored, decided and published to two proxies, of which one acknowledges an older message.
    history.record_stored(&[id], Duration::from_millis(9));
    history.record_decided(Duration::from_millis(10), &servers);
    history.record_published(&servers, &[(0, 7), (1, 7)]);
    history.acknowledge(0, 7);
    history.acknowledge(1, 6);
    // Then it is not in force.
    assert_eq!(history.take_completed(Duration::from_secs(9)).len(), 0);
    // When that proxy disconnects, then the edit is in force at the other one.
    history.disconnect_proxy(1);
    let completed = history.take_completed(Duration::from_secs(9));
    assert_eq!(completed[0].acknowledged_count(), 1);
    assert_eq!(completed[0].proxy_count, 1);
    assert_eq!(completed[0].state(), "in-force");
}

#[test]
fn an_edit_that_changes_no_entry_is_in_force_after_the_publication_timeout() {
    let mut history = EditHistory::default();
    let id = history.accept(None, "staff", "d", 5);
    history.record_stored(&[id], Duration::ZERO);
    history.record_decided(Duration::ZERO, &["s1".to_string()].into());
    assert_eq!(history.take_completed(PUBLICATION_TIMEOUT / 2).len(), 0);
    assert_eq!(history.take_completed(PUBLICATION_TIMEOUT).len(), 1);
}

#[test]
fn a_full_history_drops_the_oldest_edit() {
    let mut history = EditHistory::default();
    for k in 0..=MAX_EDITS {
        history.accept(Some(&k.to_string()), "staff", "d", 5);
    }
    assert_eq!(history.lookup("0", "d"), EditLookup::New);
    assert_eq!(history.lookup("1", "d"), EditLookup::Repeated);
}
