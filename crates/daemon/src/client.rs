//! A blocking NETCONF client: one session with a planner, whose calls wait for their replies.

use crate::tls_credentials::{server_name, TlsPolicy, PLANNER_DNS_NAME};
use runloom_event_loop::{ConnectionId, ConnectionLimits, EventLoop, IoEvent, Security};
use runloom_netconf::session::{Role, Session, SessionEvent, SessionLimits};
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Why an operation failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The event loop or the connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The session ended. The outcome of an edit without a reply is unknown; it may be sent again under its id.
    #[error("the session ended: {0}")]
    Ended(String),
    /// The planner's hello, a reply or a notification was awaited and did not arrive in time.
    #[error("no answer from the planner within {0:?}")]
    Timeout(Duration),
    /// The planner replied with an error.
    #[error("rejected: {0}")]
    Rejected(String),
}

/// A NETCONF session with a planner.
pub struct Client {
    event_loop: EventLoop,
    connection: ConnectionId,
    session: Session,
    /// Time to wait for each reply.
    timeout: Duration,
    /// Received notifications that no call has returned yet.
    notifications: VecDeque<Element>,
    tls: TlsPolicy,
}

impl Client {
    /// Connects to a planner, and waits until the session is open.
    pub fn open(address: SocketAddr, tls: &TlsPolicy, timeout: Duration) -> Result<Client, ClientError> {
        let mut event_loop = EventLoop::new()?;
        let security = Security::TlsClient(tls.client_config.clone(), server_name(PLANNER_DNS_NAME));
        let connection = event_loop.dial(address, &security, ConnectionLimits::default())?;
        let mut client = Client {
            event_loop,
            connection,
            session: Session::new(Role::Client, &[], SessionLimits::default()),
            timeout,
            notifications: VecDeque::new(),
            tls: tls.clone(),
        };
        client.flush();
        client.wait_for(|event| matches!(event, SessionEvent::Open { .. }).then_some(()))?;
        Ok(client)
    }

    fn flush(&mut self) {
        let bytes = self.session.take_output(usize::MAX);
        self.event_loop.write(self.connection, &bytes);
    }

    /// Waits for the first session event for which `select` returns a value.
    fn wait_for<T>(&mut self, mut select: impl FnMut(&SessionEvent) -> Option<T>) -> Result<T, ClientError> {
        let deadline = self.event_loop.now() + self.timeout;
        while self.event_loop.now() < deadline {
            let mut found = None;
            for event in self.event_loop.wait(Some(deadline))? {
                match event {
                    IoEvent::Open { certificate, .. } => {
                        self.check_planner(&certificate.unwrap_or_default())?;
                    }
                    IoEvent::Bytes { bytes, .. } => {
                        for event in self.receive(&bytes)? {
                            found = found.or_else(|| select(&event));
                        }
                    }
                    IoEvent::Closed { reason, .. } if found.is_none() => {
                        return Err(ClientError::Ended(format!("{reason:?}")));
                    }
                    IoEvent::Closed { .. } | IoEvent::Signal(_) => {}
                }
            }
            if let Some(found) = found {
                return Ok(found);
            }
        }
        Err(ClientError::Timeout(self.timeout))
    }

    /// Ends the connection unless the peer's certificate is a planner's: edits must not go to other holders of
    /// certificates of the same authority.
    fn check_planner(&mut self, certificate: &[u8]) -> Result<(), ClientError> {
        if self.tls.identify(certificate).is_ok_and(|holder| holder.is_planner) {
            return Ok(());
        }
        self.event_loop.abort(self.connection);
        Err(ClientError::Ended("the peer's certificate is not that of the expected planner".into()))
    }

    fn receive(&mut self, bytes: &[u8]) -> Result<Vec<SessionEvent>, ClientError> {
        let events = self.session.receive(bytes).map_err(|error| ClientError::Ended(error.to_string()))?;
        for event in &events {
            if let SessionEvent::Notification(notification) = event {
                self.notifications.push_back(notification.clone());
            }
        }
        Ok(events)
    }

    /// Sends an operation without waiting; returns its message id.
    pub fn send(&mut self, operation: Element, edit_id: Option<&str>) -> String {
        let message_id = self.session.send_rpc_with_id(operation, edit_id);
        self.flush();
        message_id
    }

    /// Waits for the reply to a message; an `<rpc-error>` is returned as an error.
    pub fn wait_for_reply(&mut self, id: &str) -> Result<Element, ClientError> {
        let reply = self.wait_for(|event| match event {
            SessionEvent::Reply { message_id, reply } if message_id == id => Some(reply.clone()),
            _ => None,
        })?;
        match reply.child("rpc-error") {
            None => Ok(reply),
            Some(error) => Err(ClientError::Rejected(rpc_error_text(error))),
        }
    }

    /// Sends an operation, and waits for its reply.
    pub fn call(&mut self, operation: Element, edit_id: Option<&str>) -> Result<Element, ClientError> {
        let message_id = self.send(operation, edit_id);
        self.wait_for_reply(&message_id)
    }

    /// Sends `<edit-config>` for the running datastore, and waits for its reply.
    pub fn edit(&mut self, config: Element, edit_id: Option<&str>) -> Result<Element, ClientError> {
        self.call(edit_config("running", config), edit_id)
    }

    /// Sends `<get>` with a subtree filter, and waits for its reply.
    pub fn get(&mut self, filter: Element) -> Result<Element, ClientError> {
        let filter = Element::new(BASE, "filter").with(filter);
        self.call(Element::new(BASE, "get").with(filter), None)
    }

    /// Returns the first notification that `matches` accepts. If none has been received yet, waits for one and drops
    /// all others received by then.
    pub fn wait_for_notification(
        &mut self,
        matches: impl Fn(&Element) -> bool,
    ) -> Result<Element, ClientError> {
        if let Some(index) = self.notifications.iter().position(&matches) {
            return Ok(self.notifications.remove(index).unwrap_or_default());
        }
        let notification = self.wait_for(|event| match event {
            SessionEvent::Notification(notification) if matches(notification) => Some(notification.clone()),
            _ => None,
        })?;
        self.notifications.clear();
        Ok(notification)
    }

    /// Sends raw bytes, without the session's framing.
    pub fn send_raw(&mut self, bytes: &[u8]) {
        self.event_loop.write(self.connection, bytes);
    }

    /// Closes the session with `<close-session>`.
    pub fn close(mut self) -> Result<(), ClientError> {
        self.call(Element::new(BASE, "close-session"), None).map(|_| ())
    }
}

fn rpc_error_text(error: &Element) -> String {
    let field = |name| error.text_of(name).unwrap_or("-");
    let tag = field("error-tag");
    let app_tag = field("error-app-tag");
    let path = field("error-path");
    let message = field("error-message");
    format!("{tag} ({app_tag}) at {path}: {message}")
}

/// An `<edit-config>` operation for the datastore `target`, with one top-level element.
pub fn edit_config(target: &str, content: Element) -> Element {
    let config = Element::new(BASE, "config").with(content);
    let target = Element::new(BASE, "target").with(Element::new(BASE, target));
    Element::new(BASE, "edit-config").with(target).with(config)
}
