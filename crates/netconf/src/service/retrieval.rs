//! `<get>`, `<get-config>`, `<get-schema>` and `<create-subscription>`.

use super::datastore::read_datastore;
use super::{not_supported, ok, Host, ReplyContent, Request, Service};
use crate::error::{RpcError, Tag};
use crate::filter::select;
use crate::tree::Element;
use crate::xpath::select_by_xpath;
use crate::{BASE, MONITORING};
use std::sync::Arc;

impl Service {
    pub(super) fn get(&self, operation: &Element, host: &mut dyn Host) -> ReplyContent {
        let mut data = (*host.running()).clone();
        data.children.extend(host.state().into_iter().map(Arc::new));
        data.children.push(Arc::new(self.netconf_state(host)));
        filtered_data(&data, operation)
    }

    /// `<netconf-state>` (RFC 6022, section 2), with the schemas and sessions.
    fn netconf_state(&self, host: &dyn Host) -> Element {
        let mut schemas = Element::new(MONITORING, "schemas");
        for (identifier, version, _) in host.schemas() {
            let schema = Element::new(MONITORING, "schema").with_leaf("identifier", identifier);
            schemas = schemas.with(schema.with_leaf("version", version).with_leaf("format", "yang"));
        }
        let mut sessions = Element::new(MONITORING, "sessions");
        for (id, client_session) in &self.sessions {
            let session = Element::new(MONITORING, "session").with_leaf("session-id", id);
            let session =
                session.with_leaf("transport", "netconf-tls").with_leaf("username", &client_session.client);
            sessions = sessions.with(session);
        }
        Element::new(MONITORING, "netconf-state").with(schemas).with(sessions)
    }

    pub(super) fn get_config(&self, operation: &Element, host: &dyn Host) -> ReplyContent {
        let data = self.contents(read_datastore(operation, "source")?, host);
        filtered_data(&data, operation)
    }

    pub(super) fn create_subscription(&mut self, request: &Request) -> ReplyContent {
        let operation = request.operation;
        if operation.text_of("stream").is_some_and(|stream| stream != "NETCONF") {
            let error = RpcError::application(Tag::InvalidValue, "there is only the stream NETCONF");
            return Err(vec![error.with_info("bad-element", "stream")]);
        }
        if operation.child("startTime").is_some() {
            return Err(not_supported("replay of notifications"));
        }
        if let Some(session) = self.sessions.get_mut(&request.session) {
            session.subscription = Some(operation.child("filter").cloned());
        }
        ok()
    }
}

pub(super) fn get_schema(operation: &Element, host: &dyn Host) -> ReplyContent {
    let identifier = operation.text_of("identifier").unwrap_or_default();
    let requested_version = operation.text_of("version");
    for (schema_identifier, version, text) in host.schemas() {
        if *schema_identifier == identifier && requested_version.is_none_or(|requested| requested == *version)
        {
            return Ok(vec![Element::leaf(MONITORING, "data", text)]);
        }
    }
    let error = RpcError::application(Tag::InvalidValue, format!("no schema {identifier}"));
    Err(vec![error.with_info("bad-element", "identifier")])
}

/// The reply's `<data>`: all of it, or what the operation's subtree or XPath `<filter>` selects.
fn filtered_data(data: &Element, operation: &Element) -> ReplyContent {
    let selected = match operation.child("filter") {
        None => data.clone(),
        Some(filter) => apply_filter(data, filter)?,
    };
    Ok(vec![Element { children: selected.children, ..Element::new(BASE, "data") }])
}

fn apply_filter(data: &Element, filter: &Element) -> Result<Element, Vec<RpcError>> {
    match filter.attribute("", "type").unwrap_or("subtree") {
        "subtree" => Ok(select(data, filter)),
        "xpath" => {
            let expression = filter.attribute("", "select").unwrap_or_default();
            select_by_xpath(data, expression).map_err(|error| vec![error])
        }
        other => {
            let error = RpcError::protocol(Tag::BadAttribute, format!("unknown kind of filter {other}"));
            Err(vec![error.with_info("bad-attribute", "type").with_info("bad-element", "filter")])
        }
    }
}
