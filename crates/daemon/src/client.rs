//! An operator's NETCONF client: one session, operations one after the other, answers waited for.

use crate::tls_credentials::{server_name, TlsPolicy, PLANNER};
use runloom_event_loop::{BufferLimits, ConnectionId, EventLoop, IoEvent, Security};
use runloom_netconf::session::{Role, Session, SessionEvent, SessionLimits as SessionBounds};
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Debug, thiserror::Error)]
pub enum Failed {
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Whether the last operation took is not known: ask again under the same edit-id.
    #[error("the session ended: {0}")]
    Ended(String),
    #[error("no answer within {0:?}")]
    Late(Duration),
    #[error("refused: {0}")]
    Refused(String),
}

pub struct Client {
    turn: EventLoop,
    conn: ConnectionId,
    session: Session,
    patience: Duration,
    notices: VecDeque<Element>,
    terms: TlsPolicy,
}

impl Client {
    /// Dials a planner, and waits until the session stands.
    pub fn open(to: SocketAddr, terms: &TlsPolicy, patience: Duration) -> Result<Client, Failed> {
        let mut turn = EventLoop::new()?;
        let security = Security::TlsClient(terms.starts.clone(), server_name(PLANNER));
        let conn = turn.dial(to, &security, BufferLimits::default())?;
        let session = Session::new(Role::Client, &[], SessionBounds::default());
        let (notices, terms) = (VecDeque::new(), terms.clone());
        let mut client = Client { turn, conn, session, patience, notices, terms };
        client.flush();
        client.until(|heard| matches!(heard, SessionEvent::Open { .. }).then(|| Element::new("", "open")))?;
        Ok(client)
    }

    fn flush(&mut self) {
        let bytes = self.session.output(usize::MAX);
        self.turn.write(self.conn, &bytes);
    }

    fn until(&mut self, mut wanted: impl FnMut(&SessionEvent) -> Option<Element>) -> Result<Element, Failed> {
        let end = self.turn.now() + self.patience;
        let mut found = None;
        while found.is_none() {
            if self.turn.now() >= end {
                return Err(Failed::Late(self.patience));
            }
            for h in self.turn.wait(Some(end))? {
                match h {
                    IoEvent::Open { certificate, .. } => {
                        // Edits go to a planner and to nobody else, whoever has a certificate of the same authority.
                        let who = self.terms.holder(&certificate.unwrap_or_default());
                        if !who.is_ok_and(|who| who.planner) {
                            self.turn.cut(self.conn);
                            return Err(Failed::Ended("who answered is not that planner".into()));
                        }
                    }
                    IoEvent::Bytes { bytes, .. } => {
                        for heard in self.session.take(&bytes).map_err(|b| Failed::Ended(b.to_string()))? {
                            if let SessionEvent::Notified(event) = &heard {
                                self.notices.push_back(event.clone());
                            }
                            found = found.or_else(|| wanted(&heard));
                        }
                    }
                    IoEvent::Closed { reason: why, .. } if found.is_none() => {
                        return Err(Failed::Ended(format!("{why:?}")))
                    }
                    _ => {}
                }
            }
        }
        found.ok_or(Failed::Late(self.patience))
    }

    /// Sends one operation without waiting; gives its message-id.
    pub fn send(&mut self, operation: Element, edit_id: Option<&str>) -> String {
        let id = self.session.ask_with(operation, edit_id);
        self.flush();
        id
    }

    /// Waits for the reply to a message; an `<rpc-error>` is an error.
    pub fn reply(&mut self, id: &str) -> Result<Element, Failed> {
        let reply = self.until(|heard| match heard {
            SessionEvent::Reply { message_id, reply } if message_id == id => Some(reply.clone()),
            _ => None,
        })?;
        match reply.child("rpc-error") {
            None => Ok(reply),
            Some(error) => {
                let part = |name| error.text_of(name).unwrap_or("-").to_string();
                let (tag, app, path) = (part("error-tag"), part("error-app-tag"), part("error-path"));
                Err(Failed::Refused(format!("{tag} ({app}) at {path}: {}", part("error-message"))))
            }
        }
    }

    pub fn ask(&mut self, operation: Element, edit_id: Option<&str>) -> Result<Element, Failed> {
        let id = self.send(operation, edit_id);
        self.reply(&id)
    }

    /// `<edit-config>` on running.
    pub fn edit(&mut self, config: Element, edit_id: Option<&str>) -> Result<Element, Failed> {
        self.ask(edit_config("running", config), edit_id)
    }

    /// `<get>` of one top node.
    pub fn get(&mut self, wish: Element) -> Result<Element, Failed> {
        let filter = Element::new(BASE, "filter").with(wish);
        self.ask(Element::new(BASE, "get").with(filter), None)
    }

    /// Waits for a notification that `wanted` accepts.
    pub fn notice(&mut self, wanted: impl Fn(&Element) -> bool) -> Result<Element, Failed> {
        if let Some(place) = self.notices.iter().position(&wanted) {
            return Ok(self.notices.remove(place).unwrap_or_default());
        }
        let found = self.until(|heard| match heard {
            SessionEvent::Notified(event) if wanted(event) => Some(event.clone()),
            _ => None,
        })?;
        self.notices.clear();
        Ok(found)
    }

    /// Sends bytes as they are, well-formed or not.
    pub fn send_raw(&mut self, bytes: &[u8]) {
        self.turn.write(self.conn, bytes);
    }

    /// Ends the session in order.
    pub fn close(mut self) -> Result<(), Failed> {
        self.ask(Element::new(BASE, "close-session"), None).map(|_| ())
    }
}

/// `<edit-config>` on a datastore, the config's top nodes as given.
pub fn edit_config(target: &str, top: Element) -> Element {
    let config = Element::new(BASE, "config").with(top);
    let target = Element::new(BASE, "target").with(Element::new(BASE, target));
    Element::new(BASE, "edit-config").with(target).with(config)
}
