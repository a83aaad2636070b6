use super::edit_history::{EditHistory, EditLookup, BEAT};
use super::*;
use runloom_netconf::tree::Element;
use std::collections::BTreeSet;
use std::time::Duration;

fn fleet(shares: &str, words: &str) -> Fleet {
    let text = format!(
        "<fleet xmlns='urn:runloom:fleet'>{shares}<class><name>q</name><payoff>1</payoff>\
         <soft-limit-ms>500</soft-limit-ms><outer-limit-ms>900</outer-limit-ms><repeats>safe</repeats></class>{words}\
         <grace><drain-ms>2000</drain-ms><bare-ms>2000</bare-ms><reply-ms>2000</reply-ms></grace><channel>\
         <lines-per-second>9000</lines-per-second><backlog>9000</backlog><overhead>4</overhead></channel><cold>\
         <from>0.2</from><warm-after-ms>9000</warm-after-ms></cold><proxies><count>2</count><planners>1</planners>\
         <pick>chance</pick><levels>none</levels><probes>true</probes><report-ms>1000</report-ms>\
         <report-lines-per-second>500</report-lines-per-second></proxies><list><only-drains-bind>false\
         </only-drains-bind></list></fleet>"
    );
    Fleet::read(&Element::parse(&text).unwrap()).unwrap()
}

fn listed(names: &[&str]) -> BTreeMap<String, ListedServer> {
    let one = |name: &&str| {
        let text =
            format!("<server><name>{name}</name><address>127.0.0.1:1</address><zone>a</zone></server>");
        ListedServer::read(&Element::parse(&text).unwrap()).unwrap()
    };
    names.iter().map(one).collect()
}

const ZONE: &str = "<zone><name>a</name></zone>";

#[test]
fn a_zones_share_and_an_operators_weight_make_the_listed_weight() {
    let mut roster = Inventory::default();
    roster.update(&fleet(ZONE, ""), &listed(&["s1", "s2"]));
    let words = "<server><name>s2</name><weight>3</weight></server>";
    let changed =
        roster.update(&fleet("<zone><name>a</name><share>0.5</share></zone>", words), &listed(&["s1", "s2"]));
    let weight = |c: &(String, Change)| match &c.1 {
        Change::Is(server) => server.weight,
        Change::Gone => 0.0,
    };
    assert_eq!(changed.iter().map(weight).collect::<Vec<_>>(), [0.5, 1.5]);
}

#[test]
fn an_undrain_does_not_bring_back_what_is_gone() {
    let mut roster = Inventory::default();
    roster
        .update(&fleet(ZONE, "<server><name>s1</name><drain>true</drain></server>"), &listed(&["s1", "s2"]));
    let gone = roster.update(&fleet(ZONE, ""), &listed(&["s2"]));
    assert_eq!(gone, [("s1".to_string(), Change::Gone)]);
    assert_eq!(roster.update(&fleet(ZONE, ""), &listed(&["s2"])), []);
}

#[test]
fn an_id_is_new_the_same_or_anothers() {
    let mut ledger = EditHistory::default();
    ledger.accept(Some("a"), "staff", "d1", 5);
    assert_eq!(
        ["d1", "d2", ""].map(|d| ledger.known("a", d)),
        [EditLookup::Same, EditLookup::Other, EditLookup::Same]
    );
    let noted = |e: &edit_history::Edit| (e.id.clone(), e.who.clone(), e.digest.clone(), e.accepted);
    let kept = EditHistory::of(ledger.edits().map(noted));
    assert_eq!((kept.known("a", "d1"), kept.known("b", "d1")), (EditLookup::Same, EditLookup::New));
}

#[test]
fn an_edit_is_in_force_once_all_that_were_ordered_have_confirmed() {
    let mut ledger = EditHistory::default();
    let servers: BTreeSet<String> = ["s1".to_string()].into();
    let id = ledger.accept(Some("a"), "staff", "d", 5);
    // Not on disk yet: the decisions are not told.
    ledger.decided(Duration::from_millis(9), &servers);
    assert_eq!(ledger.edits().next().unwrap().state(), "accepted");
    ledger.kept(&[id], Duration::from_millis(9));
    ledger.decided(Duration::from_millis(10), &servers);
    ledger.ordered(&servers, &[(0, 7), (1, 7)]);
    ledger.applied(0, 7);
    ledger.applied(1, 6);
    assert_eq!(ledger.settle(Duration::from_secs(9)).len(), 0);
    ledger.left(1);
    let settled = ledger.settle(Duration::from_secs(9));
    assert_eq!((settled[0].at(), settled[0].of, settled[0].state()), (1, 1, "in-force"));
}

#[test]
fn an_edit_that_changes_no_line_is_in_force_after_a_beat() {
    let mut ledger = EditHistory::default();
    let id = ledger.accept(None, "staff", "d", 5);
    ledger.kept(&[id], Duration::ZERO);
    ledger.decided(Duration::ZERO, &["s1".to_string()].into());
    assert_eq!(ledger.settle(BEAT / 2).len(), 0);
    assert_eq!(ledger.settle(BEAT).len(), 1);
}

#[test]
fn a_full_ledger_forgets_the_oldest() {
    let mut ledger = EditHistory::default();
    (0..=edit_history::KEPT_MOST).for_each(|k| _ = ledger.accept(Some(&k.to_string()), "staff", "d", 5));
    assert_eq!((ledger.known("0", "d"), ledger.known("1", "d")), (EditLookup::New, EditLookup::Same));
}
