//! Framing, edits, filters and a server's operations; bytes split anywhere, malformed and endless input.

use proptest::prelude::*;
use runloom_netconf::edit::{apply, Kind, Operation, Schema};
use runloom_netconf::error::RpcError;
use runloom_netconf::framing::{frame, Deframer, FramingError};
use runloom_netconf::service::{Access, Answer, Change, EditLookup, Host, Limits, Service};
use runloom_netconf::session::{Role, Rpc, Session, SessionEvent, SessionLimits};
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const NS: &str = "urn:test";

fn schema() -> Schema {
    let leaf = |name: &str| Schema { ns: NS.into(), name: name.into(), kind: Kind::Leaf, children: vec![] };
    let node = |name: &str, kind, children| Schema { ns: NS.into(), name: name.into(), kind, children };
    let item = node("item", Kind::List(vec!["name".into()]), vec![leaf("name"), leaf("size")]);
    Schema::root(vec![node("top", Kind::Container, vec![leaf("first"), item, leaf("last")])])
}

fn config(inner: &str) -> Element {
    Element::parse(&format!("<config xmlns='{BASE}' xmlns:nc='{BASE}'>{inner}</config>")).unwrap()
}

fn top(inner: &str) -> Element {
    config(&format!("<top xmlns='{NS}'>{inner}</top>"))
}

fn data(inner: &str) -> Arc<Element> {
    let empty = Arc::new(Element::new("", "data"));
    let (made, faults) = apply(&schema(), &empty, &top(inner), Operation::Merge, false);
    assert_eq!(faults, []);
    made
}

/// A host that keeps what it is given, and refuses what holds an item of size `bad`.
#[derive(Default)]
struct Kept {
    running: Arc<Element>,
    ledger: BTreeMap<String, String>,
    commits: usize,
}

impl Host for Kept {
    fn running(&self) -> Arc<Element> {
        self.running.clone()
    }
    fn state(&mut self) -> Vec<Element> {
        vec![Element::new("urn:test:state", "state").with_leaf("up", 1)]
    }
    fn check(&mut self, wanted: &Arc<Element>) -> Result<(), Vec<RpcError>> {
        if wanted.to_text().contains(">bad<") {
            let error = RpcError::application(runloom_netconf::error::Tag::InvalidValue, "bad size");
            return Err(vec![error.at("/top/item")]);
        }
        Ok(())
    }
    fn commit(&mut self, change: &Change) -> Result<(), Vec<RpcError>> {
        self.check(change.wanted)?;
        self.running = change.wanted.clone();
        self.commits += 1;
        if let Some(id) = change.edit_id {
            self.ledger.insert(id.into(), change.content.into());
        }
        Ok(())
    }
    fn known(&self, edit_id: &str, content: &str) -> EditLookup {
        match self.ledger.get(edit_id) {
            None => EditLookup::New,
            Some(c) if content.is_empty() || c == content => EditLookup::Same,
            Some(_) => EditLookup::Other,
        }
    }
    fn may(&mut self, _: &str, _: Access) -> Result<(), RpcError> {
        Ok(())
    }
    fn schemas(&self) -> &[(&'static str, &'static str, &'static str)] {
        &[("test", "2026-12-01", "module test {}")]
    }
}

struct Desk {
    service: Service,
    host: Kept,
    now: Duration,
}

impl Desk {
    fn new() -> (Desk, u32, u32) {
        let mut service = Service::new(schema(), Limits { sessions: 2, edits: 100.0 });
        let now = Duration::from_secs(1);
        let (a, b) = (service.open("a", now).unwrap(), service.open("b", now).unwrap());
        let host = Kept { running: Arc::new(Element::new("", "data")), ..Kept::default() };
        (Desk { service, host, now }, a, b)
    }

    fn ask(&mut self, session: u32, operation: &str) -> Answer {
        self.ask_as(session, operation, "")
    }

    fn ask_as(&mut self, session: u32, operation: &str, edit_id: &str) -> Answer {
        let text = format!(
            "<rpc xmlns='{BASE}' xmlns:nc='{BASE}' xmlns:l='urn:runloom:ledger' message-id='1' l:edit-id='{edit_id}'>\
             {operation}</rpc>"
        );
        let mut rpc = Element::parse(&text).unwrap();
        rpc.attributes.retain(|a| a.name != "edit-id" || !edit_id.is_empty());
        self.service.handle(self.now, session, &Rpc { rpc }, &mut self.host)
    }

    /// The reply's error tag, or `ok`.
    fn tag(&mut self, session: u32, operation: &str) -> String {
        outcome(&self.ask(session, operation))
    }
}

fn outcome(answer: &Answer) -> String {
    let first = &answer.content[0];
    first.text_of("error-tag").unwrap_or(&first.name).to_string()
}

fn edit(target: &str, inner: &str) -> String {
    format!(
        "<edit-config><target><{target}/></target><config><top xmlns='{NS}'>{inner}</top></config></edit-config>"
    )
}

const ITEM: &str = "<item><name>x</name><size>1</size></item>";

proptest! {
    #[test]
    fn messages_come_whole_however_the_bytes_are_split(
        messages in proptest::collection::vec("[ -~\n]{0,80}", 1..6),
        cuts in proptest::collection::vec(1usize..9, 1..60),
        chunked: bool,
    ) {
        let messages: Vec<String> = messages.into_iter().map(|m| m.replace("]]>]]>", "") + "x").collect();
        let mut bytes = Vec::new();
        messages.iter().for_each(|m| frame(m, chunked, &mut bytes));
        let mut deframer = Deframer::new(1000);
        if chunked { deframer.chunk(); }
        let (mut got, mut rest, mut cut) = (Vec::new(), &bytes[..], cuts.iter().cycle());
        while !rest.is_empty() {
            let (head, tail) = rest.split_at((*cut.next().unwrap()).min(rest.len()));
            deframer.push(head);
            while let Some(message) = deframer.next_message().unwrap() {
                got.push(String::from_utf8(message).unwrap());
            }
            rest = tail;
        }
        prop_assert_eq!(got, messages);
        prop_assert_eq!(deframer.held(), 0);
    }

    #[test]
    fn a_session_survives_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400), opened: bool) {
        let mut session = Session::new(Role::Server { id: 1 }, &[], SessionLimits { message: 300, ..SessionLimits::default() });
        if opened {
            let hello = format!("<hello xmlns='{BASE}'><capabilities><capability>urn:ietf:params:netconf:base:1.1\
                </capability></capabilities></hello>]]>]]>");
            session.take(hello.as_bytes()).unwrap();
        }
        if session.take(&bytes).is_ok() {
            prop_assert!(session.waiting() < 4096);
        }
    }

    /// Random edits of a list against a plain map that does what the RFC says.
    #[test]
    fn edits_do_what_they_do_to_a_plain_map(
        steps in proptest::collection::vec((0usize..5, 0u8..6, 0u8..9), 1..60),
    ) {
        let (mut tree, mut map) = (data(""), BTreeMap::<u8, u8>::new());
        for (operation, name, size) in steps {
            let word = ["merge", "replace", "create", "delete", "remove"][operation];
            let item = format!("<item nc:operation='{word}'><name>n{name}</name><size>{size}</size></item>");
            let (changed, faults) = apply(&schema(), &tree, &top(&item), Operation::Merge, false);
            let there = map.contains_key(&name);
            let refused = (word == "create" && there) || (word == "delete" && !there);
            prop_assert_eq!(!faults.is_empty(), refused);
            match word {
                _ if refused => {}
                "delete" | "remove" => _ = map.remove(&name),
                _ => _ = map.insert(name, size),
            }
            tree = changed;
            let item = |e: &Arc<Element>| (e.text_of("name").unwrap().to_string(), e.text_of("size").unwrap().to_string());
            let mut got: Vec<_> = tree.children.iter().flat_map(|t| t.named("item")).map(item).collect();
            got.sort();
            let want: Vec<_> = map.iter().map(|(n, s)| (format!("n{n}"), s.to_string())).collect();
            prop_assert_eq!(got, want);
        }
    }
}

#[test]
fn frames_that_cannot_be_are_refused_and_endless_ones_bounded() {
    for bad in ["x", "\n#0\n", "\n#x\n", "\n#12345678901\n", "\n#4294967296\n", "\n##x", "\n#5", "\n#-1\n"] {
        let mut deframer = Deframer::new(100);
        deframer.chunk();
        deframer.push(bad.as_bytes());
        let got = deframer.next_message();
        assert_eq!(got, if bad == "\n#5" { Ok(None) } else { Err(FramingError::BadChunk) }, "{bad:?}");
    }
    // Chunks that never end, and a message that never ends.
    for chunked in [true, false] {
        let mut deframer = Deframer::new(1000);
        if chunked {
            deframer.chunk();
        }
        let torn = (0..10_000).find_map(|_| {
            deframer.push(if chunked { b"\n#3\nabc" } else { b"abcdefg" });
            assert!(deframer.held() < 1100);
            deframer.next_message().err()
        });
        assert_eq!(torn, Some(FramingError::TooBig));
    }
}

#[test]
fn malformed_messages_end_the_session_with_the_error_of_the_rfc() {
    let deep = "<a>".repeat(100);
    let entities = "<!DOCTYPE x [<!ENTITY a 'aaaa'><!ENTITY b '&a;&a;'>]><rpc>&b;</rpc>";
    for bad in
        ["", "<rpc", "<rpc></rcp>", "\u{0}", "<rpc xmlns='x'>&unknown;</rpc>", "<p:rpc/>", &deep, entities]
    {
        let mut session = Session::new(Role::Server { id: 1 }, &[], SessionLimits::default());
        let hello = format!(
            "<hello xmlns='{BASE}'><capabilities><capability>urn:ietf:params:netconf:base:1.0</capability>\
             </capabilities></hello>]]>]]>"
        );
        session.take(hello.as_bytes()).unwrap();
        session.output(usize::MAX);
        assert!(session.take(format!("{bad}]]>]]>").as_bytes()).is_err(), "{bad}");
        let reply = String::from_utf8(session.output(usize::MAX)).unwrap();
        assert!(reply.contains("<error-tag>malformed-message</error-tag>"), "{reply}");
    }
}

#[test]
fn a_hello_that_is_none_ends_the_session() {
    let with = |inner: &str| format!("<hello xmlns='{BASE}'>{inner}</hello>]]>]]>");
    let base = "<capabilities><capability>urn:ietf:params:netconf:base:1.1</capability></capabilities>";
    for bad in [
        with(""),
        with(&format!("{base}<session-id>4</session-id>")),
        "<hello/>]]>]]>".into(),
        "<rpc/>]]>]]>".into(),
    ] {
        assert!(
            Session::new(Role::Server { id: 1 }, &[], SessionLimits::default()).take(bad.as_bytes()).is_err(),
            "{bad}"
        );
    }
    assert!(Session::new(Role::Client, &[], SessionLimits::default()).take(with(base).as_bytes()).is_err());
}

#[test]
fn two_sides_speak_chunks_after_their_hellos() {
    let mut server = Session::new(Role::Server { id: 9 }, &[], SessionLimits::default());
    let mut client = Session::new(Role::Client, &[], SessionLimits::default());
    server.take(&client.output(usize::MAX)).unwrap();
    let heard = client.take(&server.output(usize::MAX)).unwrap();
    assert!(matches!(&heard[0], SessionEvent::Open { session: Some(9), .. }));
    let id = client.ask_with(Element::new(BASE, "get"), Some("e1"));
    let bytes = client.output(usize::MAX);
    assert!(bytes.starts_with(b"\n#"));
    let heard = server.take(&bytes).unwrap();
    let SessionEvent::Rpc(rpc) = &heard[0] else { panic!("{heard:?}") };
    server.reply(rpc, vec![Element::new(BASE, "ok")]);
    let reply = server.output(usize::MAX);
    assert!(String::from_utf8_lossy(&reply).contains("edit-id=\"e1\""), "attributes come back");
    let heard = client.take(&reply).unwrap();
    assert!(matches!(&heard[0], SessionEvent::Reply { message_id, .. } if *message_id == id));
}

#[test]
fn faults_of_edits_have_the_tags_of_the_rfc() {
    let (mut desk, a, _) = Desk::new();
    let cases = [
        (edit("running", ITEM), "ok"),
        (edit("running", "<item nc:operation='create'><name>x</name></item>"), "data-exists"),
        (edit("running", "<item nc:operation='delete'><name>y</name></item>"), "data-missing"),
        (edit("running", "<item nc:operation='remove'><name>y</name></item>"), "ok"),
        (edit("running", "<item nc:operation='twist'><name>y</name></item>"), "bad-attribute"),
        (edit("running", "<item><size>1</size></item>"), "missing-element"),
        (edit("running", "<thing/>"), "unknown-element"),
        (edit("running", "<thing xmlns='urn:other'/>"), "unknown-namespace"),
        (edit("running", "<item><name>x</name><size>bad</size></item>"), "invalid-value"),
        (edit("startup", ITEM), "invalid-value"),
        ("<edit-config><config/></edit-config>".into(), "missing-element"),
        ("<edit-config><target><running/></target></edit-config>".into(), "missing-element"),
        ("<delete-config><target><candidate/></target></delete-config>".into(), "operation-not-supported"),
        ("<partial-lock/>".into(), "operation-not-supported"),
        ("<thing xmlns='urn:other'/>".into(), "unknown-namespace"),
        ("<kill-session><session-id>77</session-id></kill-session>".into(), "invalid-value"),
        ("<unlock><target><running/></target></unlock>".into(), "operation-failed"),
        ("<cancel-commit/>".into(), "operation-failed"),
        ("<get><filter type='odd'/></get>".into(), "bad-attribute"),
        ("<get-schema xmlns='urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring'><identifier>x</identifier></get-schema>"
            .into(), "invalid-value"),
    ];
    for (operation, tag) in cases {
        assert_eq!(desk.tag(a, &operation), tag, "{operation}");
    }
    let answer = desk.ask(a, &edit("running", "<item nc:operation='delete'><name>y</name></item>"));
    assert_eq!(answer.content[0].text_of("error-path"), Some("/top/item[name='y']"));
}

#[test]
fn an_edit_that_fails_changes_nothing_and_one_that_goes_on_changes_the_rest() {
    let (mut desk, a, _) = Desk::new();
    let two = format!("{ITEM}<item nc:operation='delete'><name>y</name></item>");
    assert_eq!(desk.tag(a, &edit("running", &two)), "data-missing");
    assert_eq!((desk.host.commits, desk.host.running.children.len()), (0, 0));
    let go_on =
        "<edit-config><target><running/></target><error-option>continue-on-error</error-option><config>\
        <top xmlns='urn:test'><first>1</first></top><odd xmlns='urn:test'/></config></edit-config>";
    assert_eq!(desk.tag(a, go_on), "unknown-element");
    assert_eq!(desk.host.running.children[0].text_of("first"), Some("1"));
    let none =
        edit("running", ITEM).replace("<config>", "<default-operation>none</default-operation><config>");
    assert_eq!(desk.tag(a, &none), "data-missing");
    let only = edit("running", ITEM).replace("<config>", "<test-option>test-only</test-option><config>");
    assert_eq!((desk.tag(a, &only).as_str(), desk.host.commits), ("ok", 1));
}

#[test]
fn a_candidate_is_committed_whole_or_discarded() {
    let (mut desk, a, b) = Desk::new();
    assert_eq!(desk.tag(a, &edit("candidate", ITEM)), "ok");
    assert_eq!(desk.host.commits, 0);
    assert_eq!(desk.tag(b, "<lock><target><candidate/></target></lock>"), "lock-denied");
    desk.ask(a, "<discard-changes/>");
    assert_eq!(desk.tag(b, "<lock><target><candidate/></target></lock>"), "ok");
    assert_eq!(desk.tag(a, &edit("candidate", ITEM)), "in-use");
    assert_eq!(desk.tag(a, "<commit/>"), "in-use");
    assert_eq!(desk.tag(b, &edit("candidate", ITEM)), "ok");
    desk.service.left(b, &mut desk.host);
    assert_eq!(desk.tag(a, "<commit/>"), "ok");
    assert_eq!(desk.host.commits, 0, "what was not committed went with the lock's session");
    assert_eq!(desk.tag(a, &edit("candidate", "<item><name>x</name><size>bad</size></item>")), "ok");
    assert_eq!(desk.tag(a, "<validate><source><candidate/></source></validate>"), "invalid-value");
    assert_eq!(desk.tag(a, "<commit/>"), "invalid-value");
}

#[test]
fn a_confirmed_commit_is_taken_back_by_time_by_the_session_or_by_word() {
    let first = |desk: &Desk| desk.host.running.children.len();
    let confirmed = "<commit><confirmed/><confirm-timeout>5</confirm-timeout></commit>";
    let (mut desk, a, _) = Desk::new();
    desk.ask(a, &edit("candidate", ITEM));
    assert_eq!(desk.tag(a, confirmed), "ok");
    assert_eq!(first(&desk), 1);
    let due = desk.service.wakes_at().unwrap();
    desk.service.due(due, &mut desk.host);
    assert_eq!(first(&desk), 0);

    let (mut desk, a, b) = Desk::new();
    desk.ask(a, &edit("candidate", ITEM));
    desk.ask(a, confirmed);
    assert_eq!(desk.tag(b, &edit("running", ITEM)), "in-use");
    desk.service.left(a, &mut desk.host);
    assert_eq!(first(&desk), 0);

    let (mut desk, a, b) = Desk::new();
    desk.ask(a, &edit("candidate", ITEM));
    desk.ask(a, "<commit><confirmed/><persist>p</persist></commit>");
    desk.service.left(a, &mut desk.host);
    assert_eq!(first(&desk), 1, "one with a persist-id outlives its session");
    assert_eq!(desk.tag(b, "<commit><persist-id>q</persist-id></commit>"), "invalid-value");
    assert_eq!(desk.tag(b, "<commit><persist-id>p</persist-id></commit>"), "ok");
    assert_eq!((first(&desk), desk.service.wakes_at()), (1, None));
}

#[test]
fn an_edit_sent_again_under_its_id_takes_effect_once() {
    let (mut desk, a, b) = Desk::new();
    let item = edit("running", "<item nc:operation='create'><name>x</name></item>");
    assert_eq!(outcome(&desk.ask_as(a, &item, "e1")), "ok");
    assert_eq!(outcome(&desk.ask_as(b, &item, "e1")), "ok");
    let other = desk.ask_as(b, &edit("running", ITEM), "e1");
    assert_eq!(other.content[0].text_of("error-app-tag"), Some("edit-id-reused"));
    desk.ask(a, &edit("candidate", "<item><name>z</name></item>"));
    assert_eq!(outcome(&desk.ask_as(a, "<commit/>", "e2")), "ok");
    assert_eq!(outcome(&desk.ask_as(b, "<commit/>", "e2")), "ok");
    assert_eq!(desk.host.commits, 2);
}

#[test]
fn filters_select_by_name_content_and_xpath() {
    let (mut desk, a, _) = Desk::new();
    desk.host.running =
        data("<first>1</first><item><name>x</name><size>1</size></item><item><name>y</name></item>");
    let mut got = |filter: &str| {
        let answer = desk.ask(a, &format!("<get-config><source><running/></source>{filter}</get-config>"));
        answer.content[0].children.first().map(|t| t.children.len())
    };
    assert_eq!(got(""), Some(3));
    assert_eq!(got("<filter/>"), None);
    assert_eq!(got("<filter><top xmlns='urn:test'/></filter>"), Some(3));
    assert_eq!(got("<filter><top xmlns='urn:other'/></filter>"), None);
    assert_eq!(got("<filter><top xmlns='urn:test'><item><name>x</name></item></top></filter>"), Some(1));
    assert_eq!(got("<filter><top xmlns='urn:test'><item><name/></item></top></filter>"), Some(2));
    assert_eq!(got("<filter type='xpath' select=\"/data/top/item[name='y']\"/>"), Some(1));
}

#[test]
fn sessions_and_edits_are_bounded() {
    let (mut desk, a, _) = Desk::new();
    assert_eq!(desk.service.open("c", desk.now), None);
    let refused = (0..150).filter(|_| desk.tag(a, &edit("running", ITEM)) == "resource-denied").count();
    assert_eq!(refused, 50);
    desk.now += Duration::from_secs(1);
    assert_eq!(desk.tag(a, &edit("running", ITEM)), "ok");
}
