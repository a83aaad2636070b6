//! Tests of framing, sessions, edits, filters and the server's operations, with input that is split anywhere,
//! malformed or endless.

use proptest::prelude::*;
use runloom_netconf::edit::{apply, ErrorOption, Operation};
use runloom_netconf::error::RpcError;
use runloom_netconf::framing::{frame, Deframer, FramingError};
use runloom_netconf::schema::{NodeKind, Schema};
use runloom_netconf::service::{Access, Change, EditLookup, Host, Reply, Service, ServiceLimits};
use runloom_netconf::session::{Role, Rpc, Session, SessionEvent, SessionLimits};
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const NS: &str = "urn:test";

fn schema() -> Schema {
    let leaf =
        |name: &str| Schema { ns: NS.into(), name: name.into(), kind: NodeKind::Leaf, children: vec![] };
    let node = |name: &str, kind, children| Schema { ns: NS.into(), name: name.into(), kind, children };
    let item = node("item", NodeKind::List(vec!["name".into()]), vec![leaf("name"), leaf("size")]);
    Schema::root(vec![node("top", NodeKind::Container, vec![leaf("first"), item, leaf("last")])])
}

fn config(inner: &str) -> Element {
    Element::parse(&format!("<config xmlns='{BASE}' xmlns:nc='{BASE}'>{inner}</config>")).unwrap()
}

fn top(inner: &str) -> Element {
    config(&format!("<top xmlns='{NS}'>{inner}</top>"))
}

fn data(inner: &str) -> Arc<Element> {
    let empty = Arc::new(Element::new("", "data"));
    let applied = apply(&schema(), &empty, &top(inner), Operation::Merge, ErrorOption::StopOnError);
    assert_eq!(applied.errors, []);
    applied.tree
}

/// A host that keeps its datastore in memory and rejects datastores with an item of size `bad`.
#[derive(Default)]
struct MemoryHost {
    running: Arc<Element>,
    edit_history: BTreeMap<String, String>,
    commits: usize,
}

impl Host for MemoryHost {
    fn running(&self) -> Arc<Element> {
        self.running.clone()
    }
    fn state(&mut self) -> Vec<Element> {
        vec![Element::new("urn:test:state", "state").with_leaf("up", 1)]
    }
    fn validate_datastore(&mut self, datastore: &Arc<Element>) -> Result<(), Vec<RpcError>> {
        if datastore.to_text().contains(">bad<") {
            let error = RpcError::application(runloom_netconf::error::Tag::InvalidValue, "bad size");
            return Err(vec![error.at("/top/item")]);
        }
        Ok(())
    }
    fn commit(&mut self, change: &Change) -> Result<(), Vec<RpcError>> {
        self.validate_datastore(change.datastore)?;
        self.running = change.datastore.clone();
        self.commits += 1;
        if let Some(id) = change.edit_id {
            self.edit_history.insert(id.into(), change.content.into());
        }
        Ok(())
    }
    fn lookup_edit(&self, edit_id: &str, content: &str) -> EditLookup {
        match self.edit_history.get(edit_id) {
            None => EditLookup::New,
            Some(c) if content.is_empty() || c == content => EditLookup::Repeated,
            Some(_) => EditLookup::Conflicting,
        }
    }
    fn authorize(&mut self, _: &str, _: Access) -> Result<(), RpcError> {
        Ok(())
    }
    fn schemas(&self) -> &[(&'static str, &'static str, &'static str)] {
        &[("test", "2026-12-01", "module test {}")]
    }
}

struct Server {
    service: Service,
    host: MemoryHost,
    now: Duration,
}

impl Server {
    /// A server without data, and the ids of two open sessions.
    fn new() -> (Server, u32, u32) {
        let mut service = Service::new(schema(), ServiceLimits { max_sessions: 2, edits_per_second: 100.0 });
        let now = Duration::from_secs(1);
        let (first, second) =
            (service.open_session("a", now).unwrap(), service.open_session("b", now).unwrap());
        let host = MemoryHost { running: Arc::new(Element::new("", "data")), ..MemoryHost::default() };
        (Server { service, host, now }, first, second)
    }

    fn send(&mut self, session: u32, operation: &str) -> Reply {
        self.send_with_id(session, operation, "")
    }

    fn send_with_id(&mut self, session: u32, operation: &str, edit_id: &str) -> Reply {
        let text = format!(
            "<rpc xmlns='{BASE}' xmlns:nc='{BASE}' xmlns:l='urn:runloom:ledger' message-id='1' l:edit-id='{edit_id}'>\
             {operation}</rpc>"
        );
        let mut element = Element::parse(&text).unwrap();
        element.attributes.retain(|a| a.name != "edit-id" || !edit_id.is_empty());
        self.service.handle(self.now, session, &Rpc { element }, &mut self.host)
    }

    /// Number of top-level nodes of the running datastore.
    fn top_node_count(&self) -> usize {
        self.host.running.children.len()
    }

    /// Sends an operation and returns the reply's error tag, or `ok`.
    fn send_for_tag(&mut self, session: u32, operation: &str) -> String {
        error_tag(&self.send(session, operation))
    }
}

/// The error tag of a reply, or the name of its first element, such as `ok`.
fn error_tag(reply: &Reply) -> String {
    let first = &reply.content[0];
    first.text_of("error-tag").unwrap_or(&first.name).to_string()
}

fn edit(target: &str, inner: &str) -> String {
    format!(
        "<edit-config><target><{target}/></target><config><top xmlns='{NS}'>{inner}</top></config></edit-config>"
    )
}

const LOCK_CANDIDATE: &str = "<lock><target><candidate/></target></lock>";
const CONFIRMED_COMMIT: &str = "<commit><confirmed/><confirm-timeout>5</confirm-timeout></commit>";
const ITEM: &str = "<item><name>x</name><size>1</size></item>";

proptest! {
    #[test]
    fn messages_are_reassembled_however_the_bytes_are_split(
        messages in proptest::collection::vec("[ -~\n]{0,80}", 1..6),
        chunk_sizes in proptest::collection::vec(1usize..9, 1..60),
        chunked: bool,
    ) {
        let messages: Vec<String> = messages.into_iter().map(|m| m.replace("]]>]]>", "") + "x").collect();
        let mut bytes = Vec::new();
        messages.iter().for_each(|m| frame(m, chunked, &mut bytes));
        let mut deframer = Deframer::new(1000);
        if chunked { deframer.use_chunked_framing(); }
        let (mut got, mut rest, mut sizes) = (Vec::new(), &bytes[..], chunk_sizes.iter().cycle());
        while !rest.is_empty() {
            let (head, tail) = rest.split_at((*sizes.next().unwrap()).min(rest.len()));
            deframer.push(head);
            while let Some(message) = deframer.next_message().unwrap() {
                got.push(String::from_utf8(message).unwrap());
            }
            rest = tail;
        }
        prop_assert_eq!(got, messages);
        prop_assert_eq!(deframer.buffered_bytes(), 0);
    }

    #[test]
    fn arbitrary_bytes_neither_panic_nor_fill_the_output(bytes in proptest::collection::vec(any::<u8>(), 0..400), opened: bool) {
        let mut session = Session::new(Role::Server { id: 1 }, &[], SessionLimits { max_message_bytes: 300, ..SessionLimits::default() });
        if opened {
            let hello = format!("<hello xmlns='{BASE}'><capabilities><capability>urn:ietf:params:netconf:base:1.1\
                </capability></capabilities></hello>]]>]]>");
            session.receive(hello.as_bytes()).unwrap();
        }
        if session.receive(&bytes).is_ok() {
            prop_assert!(session.unsent_bytes() < 4096);
        }
    }

    /// Applies random operations to a list and, by the rules of RFC 6241, section 7.2, to a map, and compares the two.
    #[test]
    fn edits_of_a_list_match_a_reference_map(
        steps in proptest::collection::vec((0usize..5, 0u8..6, 0u8..9), 1..60),
    ) {
        let (mut tree, mut map) = (data(""), BTreeMap::<u8, u8>::new());
        for (operation, name, size) in steps {
            let operation = ["merge", "replace", "create", "delete", "remove"][operation];
            let item = format!("<item nc:operation='{operation}'><name>n{name}</name><size>{size}</size></item>");
            let applied = apply(&schema(), &tree, &top(&item), Operation::Merge, ErrorOption::StopOnError);
            let exists = map.contains_key(&name);
            let is_rejected = (operation == "create" && exists) || (operation == "delete" && !exists);
            prop_assert_eq!(!applied.errors.is_empty(), is_rejected);
            match operation {
                _ if is_rejected => {}
                "delete" | "remove" => _ = map.remove(&name),
                _ => _ = map.insert(name, size),
            }
            tree = applied.tree;
            let fields = |e: &Arc<Element>| (e.text_of("name").unwrap().to_string(), e.text_of("size").unwrap().to_string());
            let mut got: Vec<_> = tree.children.iter().flat_map(|t| t.named("item")).map(fields).collect();
            got.sort();
            let want: Vec<_> = map.iter().map(|(n, s)| (format!("n{n}"), s.to_string())).collect();
            prop_assert_eq!(got, want);
        }
    }
}

#[test]
fn malformed_chunk_headers_and_endless_messages_are_rejected() {
    for bad in ["x", "\n#0\n", "\n#x\n", "\n#12345678901\n", "\n#4294967296\n", "\n##x", "\n#5", "\n#-1\n"] {
        let mut deframer = Deframer::new(100);
        deframer.use_chunked_framing();
        deframer.push(bad.as_bytes());
        let got = deframer.next_message();
        assert_eq!(
            got,
            if bad == "\n#5" { Ok(None) } else { Err(FramingError::MalformedChunkHeader) },
            "{bad:?}"
        );
    }
    // A message of endless chunks, and one without an end-of-message delimiter.
    for chunked in [true, false] {
        let mut deframer = Deframer::new(1000);
        if chunked {
            deframer.use_chunked_framing();
        }
        let error = (0..10_000).find_map(|_| {
            deframer.push(if chunked { b"\n#3\nabc" } else { b"abcdefg" });
            assert!(deframer.buffered_bytes() < 1100);
            deframer.next_message().err()
        });
        assert_eq!(error, Some(FramingError::MessageTooLarge));
    }
}

#[test]
fn malformed_messages_end_the_session_with_a_malformed_message_error() {
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
        session.receive(hello.as_bytes()).unwrap();
        session.take_output(usize::MAX);
        assert!(session.receive(format!("{bad}]]>]]>").as_bytes()).is_err(), "{bad}");
        let reply = String::from_utf8(session.take_output(usize::MAX)).unwrap();
        assert!(reply.contains("<error-tag>malformed-message</error-tag>"), "{reply}");
    }
}

#[test]
fn an_invalid_hello_ends_the_session() {
    let hello = |inner: &str| format!("<hello xmlns='{BASE}'>{inner}</hello>]]>]]>");
    let base = "<capabilities><capability>urn:ietf:params:netconf:base:1.1</capability></capabilities>";
    for bad in [
        hello(""),
        hello(&format!("{base}<session-id>4</session-id>")),
        "<hello/>]]>]]>".into(),
        "<rpc/>]]>]]>".into(),
    ] {
        assert!(
            Session::new(Role::Server { id: 1 }, &[], SessionLimits::default())
                .receive(bad.as_bytes())
                .is_err(),
            "{bad}"
        );
    }
    assert!(Session::new(Role::Client, &[], SessionLimits::default())
        .receive(hello(base).as_bytes())
        .is_err());
}

#[test]
fn both_sides_use_chunked_framing_after_hello() {
    let mut server = Session::new(Role::Server { id: 9 }, &[], SessionLimits::default());
    let mut client = Session::new(Role::Client, &[], SessionLimits::default());
    server.receive(&client.take_output(usize::MAX)).unwrap();
    let events = client.receive(&server.take_output(usize::MAX)).unwrap();
    assert!(matches!(&events[0], SessionEvent::Open { session_id: Some(9), .. }));
    let id = client.send_rpc_with_id(Element::new(BASE, "get"), Some("e1"));
    let bytes = client.take_output(usize::MAX);
    assert!(bytes.starts_with(b"\n#"));
    let events = server.receive(&bytes).unwrap();
    let SessionEvent::Rpc(rpc) = &events[0] else { panic!("{events:?}") };
    server.reply(rpc, vec![Element::new(BASE, "ok")]);
    let reply = server.take_output(usize::MAX);
    assert!(
        String::from_utf8_lossy(&reply).contains("edit-id=\"e1\""),
        "the reply has the attributes of the request"
    );
    let events = client.receive(&reply).unwrap();
    assert!(matches!(&events[0], SessionEvent::Reply { message_id, .. } if *message_id == id));
}

#[test]
fn rejected_operations_have_the_error_tags_of_the_rfc() {
    let (mut server, session, _) = Server::new();
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
        assert_eq!(server.send_for_tag(session, &operation), tag, "{operation}");
    }
    let reply = server.send(session, &edit("running", "<item nc:operation='delete'><name>y</name></item>"));
    assert_eq!(reply.content[0].text_of("error-path"), Some("/top/item[name='y']"));
}

#[test]
fn a_failed_edit_changes_nothing_without_continue_on_error() {
    let (mut server, session, _) = Server::new();
    let failing_edit = format!("{ITEM}<item nc:operation='delete'><name>y</name></item>");
    assert_eq!(server.send_for_tag(session, &edit("running", &failing_edit)), "data-missing");
    assert_eq!((server.host.commits, server.host.running.children.len()), (0, 0));

    let continue_on_error =
        "<edit-config><target><running/></target><error-option>continue-on-error</error-option><config>\
        <top xmlns='urn:test'><first>1</first></top><odd xmlns='urn:test'/></config></edit-config>";
    assert_eq!(server.send_for_tag(session, continue_on_error), "unknown-element");
    assert_eq!(server.host.running.children[0].text_of("first"), Some("1"));
}

#[test]
fn default_operation_none_requires_an_existing_node() {
    let (mut server, session, _) = Server::new();
    let none =
        edit("running", ITEM).replace("<config>", "<default-operation>none</default-operation><config>");

    assert_eq!(server.send_for_tag(session, &none), "data-missing");
}

#[test]
fn a_test_only_edit_is_not_committed() {
    let (mut server, session, _) = Server::new();
    let test_only = edit("running", ITEM).replace("<config>", "<test-option>test-only</test-option><config>");

    assert_eq!((server.send_for_tag(session, &test_only).as_str(), server.host.commits), ("ok", 0));
}

#[test]
fn a_changed_candidate_cannot_be_locked_until_it_is_discarded() {
    let (mut server, first, second) = Server::new();
    assert_eq!(server.send_for_tag(first, &edit("candidate", ITEM)), "ok");
    assert_eq!(server.host.commits, 0);
    assert_eq!(server.send_for_tag(second, LOCK_CANDIDATE), "lock-denied");

    server.send(first, "<discard-changes/>");

    assert_eq!(server.send_for_tag(second, LOCK_CANDIDATE), "ok");
}

#[test]
fn a_locked_candidate_is_reserved_for_its_session_and_discarded_when_it_closes() {
    let (mut server, first, second) = Server::new();
    assert_eq!(server.send_for_tag(second, LOCK_CANDIDATE), "ok");
    assert_eq!(server.send_for_tag(first, &edit("candidate", ITEM)), "in-use");
    assert_eq!(server.send_for_tag(first, "<commit/>"), "in-use");
    assert_eq!(server.send_for_tag(second, &edit("candidate", ITEM)), "ok");

    server.service.close_session(second, &mut server.host);

    assert_eq!(server.send_for_tag(first, "<commit/>"), "ok");
    assert_eq!(server.host.commits, 0, "closing the session that holds the lock discards the candidate");
}

#[test]
fn an_invalid_candidate_is_rejected_by_validate_and_commit() {
    let (mut server, session, _) = Server::new();
    let invalid = edit("candidate", "<item><name>x</name><size>bad</size></item>");
    assert_eq!(server.send_for_tag(session, &invalid), "ok");

    assert_eq!(
        server.send_for_tag(session, "<validate><source><candidate/></source></validate>"),
        "invalid-value"
    );
    assert_eq!(server.send_for_tag(session, "<commit/>"), "invalid-value");
}

#[test]
fn a_confirmed_commit_is_rolled_back_after_its_timeout() {
    let (mut server, session, _) = Server::new();
    server.send(session, &edit("candidate", ITEM));
    assert_eq!(server.send_for_tag(session, CONFIRMED_COMMIT), "ok");
    assert_eq!(server.top_node_count(), 1);

    let times_out_at = server.service.next_wakeup().unwrap();
    server.service.handle_timeout(times_out_at, &mut server.host);

    assert_eq!(server.top_node_count(), 0);
}

#[test]
fn a_confirmed_commit_blocks_other_sessions_and_is_rolled_back_when_its_session_closes() {
    let (mut server, first, second) = Server::new();
    server.send(first, &edit("candidate", ITEM));
    server.send(first, CONFIRMED_COMMIT);
    assert_eq!(server.send_for_tag(second, &edit("running", ITEM)), "in-use");

    server.service.close_session(first, &mut server.host);

    assert_eq!(server.top_node_count(), 0);
}

#[test]
fn a_confirmed_commit_with_a_persist_id_survives_the_close_of_its_session() {
    let (mut server, first, second) = Server::new();
    server.send(first, &edit("candidate", ITEM));
    server.send(first, "<commit><confirmed/><persist>p</persist></commit>");

    server.service.close_session(first, &mut server.host);

    assert_eq!(server.top_node_count(), 1);
    assert_eq!(server.send_for_tag(second, "<commit><persist-id>q</persist-id></commit>"), "invalid-value");
    assert_eq!(server.send_for_tag(second, "<commit><persist-id>p</persist-id></commit>"), "ok");
    assert_eq!((server.top_node_count(), server.service.next_wakeup()), (1, None));
}

#[test]
fn an_edit_repeated_with_its_id_takes_effect_once() {
    let (mut server, first, second) = Server::new();
    let item = edit("running", "<item nc:operation='create'><name>x</name></item>");
    assert_eq!(error_tag(&server.send_with_id(first, &item, "e1")), "ok");
    assert_eq!(error_tag(&server.send_with_id(second, &item, "e1")), "ok");

    let other = server.send_with_id(second, &edit("running", ITEM), "e1");
    assert_eq!(other.content[0].text_of("error-app-tag"), Some("edit-id-reused"));

    server.send(first, &edit("candidate", "<item><name>z</name></item>"));
    assert_eq!(error_tag(&server.send_with_id(first, "<commit/>", "e2")), "ok");
    assert_eq!(error_tag(&server.send_with_id(second, "<commit/>", "e2")), "ok");
    assert_eq!(server.host.commits, 2);
}

#[test]
fn filters_select_by_name_content_and_xpath() {
    let (mut server, session, _) = Server::new();
    server.host.running =
        data("<first>1</first><item><name>x</name><size>1</size></item><item><name>y</name></item>");
    let mut got = |filter: &str| {
        let reply =
            server.send(session, &format!("<get-config><source><running/></source>{filter}</get-config>"));
        reply.content[0].children.first().map(|t| t.children.len())
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
fn sessions_and_edit_rates_are_limited() {
    let (mut server, session, _) = Server::new();
    assert_eq!(server.service.open_session("c", server.now), None);
    let rejected = (0..150)
        .filter(|_| server.send_for_tag(session, &edit("running", ITEM)) == "resource-denied")
        .count();
    assert_eq!(rejected, 50);
    server.now += Duration::from_secs(1);
    assert_eq!(server.send_for_tag(session, &edit("running", ITEM)), "ok");
}
