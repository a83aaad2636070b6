//! The operational state that NETCONF's `<get>` returns: the planner's view of servers and proxies, the edits, and the
//! guard's rejections.

use super::core::PlannerCore;
use super::rejection_log::RejectionText;
use runloom_control_session::CLOCK_LEAD;
use runloom_distribution::Transport;
use runloom_guard::Rejection;
use runloom_inventory::edit_history::Edit;
use runloom_model::STATE_NAMESPACE;
use runloom_netconf::tree::Element;
use std::collections::BTreeMap;
use std::time::Duration;

/// Most rejections in the report; the newest come first.
const MAX_REJECTIONS: usize = 20;

/// A server's entry in the published tables.
struct PublishedEntry {
    table: u16,
    weight: f64,
}

fn with_optional_millis(element: Element, name: &str, time: Option<Duration>) -> Element {
    match time {
        Some(time) => element.with_leaf(name, time.as_millis()),
        None => element,
    }
}

/// Builds the `<state>` element; `now` is the time since the planner's start.
pub(super) fn state_report(core: &PlannerCore, now: Duration) -> Element {
    let mut state = Element::new(STATE_NAMESPACE, "state")
        .with_leaf("planner", &core.name)
        .with_leaf("up-ms", now.as_millis())
        .with_leaf("joined", core.connected.len())
        .with_leaf("lines-waiting", core.control.queued_entries());
    for server in server_elements(core) {
        state = state.with(server);
    }
    for proxy in proxy_elements(core, now) {
        state = state.with(proxy);
    }
    for edit in core.config.edit_history.edits() {
        state = state.with(edit_element(edit));
    }
    state.with(guard_element(core, now))
}

fn server_elements(core: &PlannerCore) -> Vec<Element> {
    let mut entries = BTreeMap::new();
    for (table, published) in core.control.published_tables() {
        for (server, weight) in &published.entries {
            entries.insert(*server, PublishedEntry { table: *table, weight: *weight });
        }
    }
    let server_element = |server: &usize, health: &str| {
        let element = Element::new(STATE_NAMESPACE, "server")
            .with_leaf("name", core.control.server_name(*server))
            .with_leaf("standing", health);
        match entries.get(server) {
            Some(PublishedEntry { table, weight }) => {
                element.with_leaf("table", table).with_leaf("weight", format!("{weight:.6}"))
            }
            None => element,
        }
    };
    core.control.endpoint_states().iter().map(|(server, health)| server_element(server, health)).collect()
}

fn proxy_elements(core: &PlannerCore, now: Duration) -> Vec<Element> {
    let age = |at: Option<Duration>| at.map(|at| now.saturating_sub(at));
    let mut elements = vec![];
    for (proxy, member) in core.control.members() {
        let transport = core.connected.get(proxy).map(|connected| connected.transport);
        let delivery = match transport {
            Some(Transport::Published) => "published",
            Some(Transport::Edits) | None => "edits",
        };
        let mut element = Element::new(STATE_NAMESPACE, "proxy")
            .with_leaf("name", core.control.proxy_name(*proxy))
            .with_leaf("zone", &member.zone)
            .with_leaf("told", delivery);
        element = with_optional_millis(element, "ordered-ms", age(member.last_sent_at));
        element = with_optional_millis(element, "applied-ms", age(member.last_acknowledged_at));
        element = with_optional_millis(element, "report-ms", age(member.last_report_at));
        elements.push(element.with_leaf("waiting", member.in_flight_messages()));
    }
    elements
}

fn edit_element(edit: &Edit) -> Element {
    let elapsed = |at: Option<Duration>| at.map(|at| at.saturating_sub(edit.stored_at.unwrap_or(at)));
    let mut element = Element::new(STATE_NAMESPACE, "edit")
        .with_leaf("id", &edit.stored.id)
        .with_leaf("who", &edit.stored.author)
        .with_leaf("accepted", edit.stored.accepted_ms)
        .with_leaf("state", edit.state());
    element = with_optional_millis(element, "decided-ms", elapsed(edit.decided_at));
    element = with_optional_millis(element, "in-force-ms", elapsed(edit.in_force_at));
    element.with_leaf("at", edit.acknowledged_count()).with_leaf("of", edit.proxy_count)
}

fn guard_element(core: &PlannerCore, now: Duration) -> Element {
    let guard = core.control.guard();
    let mut element = Element::new(STATE_NAMESPACE, "guard").with_leaf("judged", guard.validated_batches);
    let raised = core.config.fleet().raised_multiple;
    if let Some(raised) = raised.filter(|raised| raised.until_ms > core.config.wall_ms) {
        element = element.with_leaf("raised-until", raised.until_ms);
    }
    for (reason, count) in guard.rejection_counts() {
        let count =
            Element::new(STATE_NAMESPACE, "count").with_leaf("reason", reason).with_leaf("refused", count);
        element = element.with(count);
    }
    let rejections: Vec<&Rejection> = guard.rejections().collect();
    for rejection in rejections.into_iter().rev().take(MAX_REJECTIONS) {
        element = element.with(rejection_element(core, rejection, now));
    }
    element
}

fn rejection_element(core: &PlannerCore, rejection: &Rejection, now: Duration) -> Element {
    let RejectionText { why, safe, case } = RejectionText::new(&core.control, rejection);
    Element::new(STATE_NAMESPACE, "refusal")
        .with_leaf("ago-ms", (CLOCK_LEAD + now).saturating_sub(rejection.at).as_millis())
        .with_leaf("reason", rejection.reason.tag())
        .with_leaf("rule", rejection.reason.rule())
        .with_leaf("why", why)
        .with_leaf("safe", safe)
        .with_leaf("case", case)
}
