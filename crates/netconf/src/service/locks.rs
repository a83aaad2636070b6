//! `<lock>`, `<unlock>` and `<kill-session>` (RFC 6241, sections 7.5, 7.6 and 7.9).

use super::datastore::{read_datastore, Datastore};
use super::{ok, Reply, ReplyContent, Request, Service, SessionId};
use crate::error::{RpcError, Tag};

/// The session-id in a `lock-denied` error if no NETCONF session holds the lock (RFC 6241, appendix A).
const NO_SESSION: SessionId = 0;

fn lock_denied(holder: SessionId, reason: &str) -> Vec<RpcError> {
    let error = RpcError::protocol(Tag::LockDenied, reason);
    vec![error.with_info("session-id", holder.to_string())]
}

impl Service {
    /// Fails if another session holds the lock of the datastore.
    pub(super) fn check_unlocked(
        &self,
        datastore: Datastore,
        session: SessionId,
    ) -> Result<(), Vec<RpcError>> {
        match self.locks.get(&datastore) {
            Some(holder) if *holder != session => {
                let reason = format!("{datastore} is locked by session {holder}");
                let error = RpcError::protocol(Tag::InUse, reason);
                Err(vec![error.with_info("session-id", holder.to_string())])
            }
            _ => Ok(()),
        }
    }

    pub(super) fn lock(&mut self, request: &Request) -> ReplyContent {
        let datastore = read_datastore(request.operation, "target")?;
        if let Some(holder) = self.locks.get(&datastore) {
            return Err(lock_denied(*holder, "the lock is held"));
        }
        if datastore == Datastore::Candidate && self.candidate.is_some() {
            return Err(lock_denied(NO_SESSION, "the candidate has changes that are not committed"));
        }
        let confirmed_commit = self.confirmed_commit.as_ref().filter(|_| datastore == Datastore::Running);
        if let Some(commit) = confirmed_commit.filter(|commit| commit.session != request.session) {
            return Err(lock_denied(commit.session, "a confirmed commit is not yet confirmed"));
        }
        self.locks.insert(datastore, request.session);
        ok()
    }

    pub(super) fn unlock(&mut self, request: &Request) -> ReplyContent {
        let datastore = read_datastore(request.operation, "target")?;
        if self.locks.get(&datastore) != Some(&request.session) {
            let error = RpcError::protocol(Tag::OperationFailed, "this session does not hold that lock");
            return Err(vec![error]);
        }
        self.locks.remove(&datastore);
        if datastore == Datastore::Candidate {
            // RFC 6241, section 8.3.5.2: releasing the lock discards uncommitted changes.
            self.candidate = None;
        }
        ok()
    }

    pub(super) fn kill_session(&mut self, request: &Request, reply: &mut Reply) -> ReplyContent {
        let killed = request.operation.text_of("session-id").and_then(|text| text.parse().ok());
        match killed {
            Some(other) if other != request.session && self.sessions.contains_key(&other) => {
                reply.killed_sessions.push(other);
                ok()
            }
            _ => {
                let error = RpcError::protocol(Tag::InvalidValue, "no such other session");
                Err(vec![error.with_info("bad-element", "session-id")])
            }
        }
    }
}
