//! `<commit>`, `<cancel-commit>` and `<discard-changes>` (RFC 6241, sections 8.3 and 8.4).

use super::datastore::Datastore;
use super::edit_config::is_repeated;
use super::{ok, Change, EditLookup, Host, ReplyContent, Request, Service, SessionId};
use crate::error::{RpcError, Tag};
use crate::tree::Element;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a confirmed commit without `<confirm-timeout>` (RFC 6241, section 8.4.5.1).
const DEFAULT_CONFIRM_TIMEOUT: Duration = Duration::from_secs(600);
/// Maximum value of `<confirm-timeout>`.
const MAX_CONFIRM_TIMEOUT_SECONDS: u64 = 86_400;
/// Client name under which the rollback of a confirmed commit is committed.
const ROLLBACK_CLIENT: &str = "confirmed-commit";

/// A commit that awaits confirmation.
#[derive(Debug)]
pub(super) struct ConfirmedCommit {
    pub(super) session: SessionId,
    /// The `<persist>` value, by which other sessions can confirm or cancel it.
    persist_id: Option<String>,
    times_out_at: Duration,
    /// The running datastore before the commit, or before the first of several unconfirmed ones.
    rollback_datastore: Arc<Element>,
}

impl ConfirmedCommit {
    pub(super) fn times_out_at(&self) -> Duration {
        self.times_out_at
    }

    /// Whether it is rolled back when this session ends: the session requested it, without `<persist>`.
    pub(super) fn is_bound_to(&self, session: SessionId) -> bool {
        self.session == session && self.persist_id.is_none()
    }

    /// Whether `<cancel-commit>` of this session with this persist-id may cancel it.
    fn may_be_cancelled(&self, session: SessionId, persist_id: Option<&str>) -> bool {
        persist_id == self.persist_id.as_deref() && (persist_id.is_some() || self.session == session)
    }

    /// Whether `<commit>` of this session with this persist-id may confirm it.
    fn may_be_confirmed(&self, session: SessionId, persist_id: Option<&str>) -> bool {
        self.is_bound_to(session) || persist_id == self.persist_id.as_deref()
    }
}

fn invalid_persist_id(reason: &str) -> Vec<RpcError> {
    vec![RpcError::protocol(Tag::InvalidValue, reason).with_info("bad-element", "persist-id")]
}

fn read_confirm_timeout(operation: &Element) -> Result<Duration, Vec<RpcError>> {
    let Some(text) = operation.text_of("confirm-timeout") else { return Ok(DEFAULT_CONFIRM_TIMEOUT) };
    match text.parse::<u64>() {
        Ok(seconds) if (1..=MAX_CONFIRM_TIMEOUT_SECONDS).contains(&seconds) => {
            Ok(Duration::from_secs(seconds))
        }
        _ => {
            let error = RpcError::protocol(Tag::InvalidValue, "confirm-timeout takes 1 to 86400 seconds");
            Err(vec![error.with_info("bad-element", "confirm-timeout")])
        }
    }
}

impl Service {
    pub(super) fn discard_changes(&mut self, request: &Request) -> ReplyContent {
        self.check_unlocked(Datastore::Candidate, request.session)?;
        self.candidate = None;
        ok()
    }

    pub(super) fn commit(&mut self, request: &Request, host: &mut dyn Host) -> ReplyContent {
        self.take_edit_token(request)?;
        self.check_unlocked(Datastore::Running, request.session)?;
        self.check_unlocked(Datastore::Candidate, request.session)?;
        self.check_persist_id(request)?;
        let content = self.candidate.as_ref().map(|candidate| candidate.to_text()).unwrap_or_default();
        if self.is_repeated_commit(request, &content, host)? {
            self.candidate = None;
            return ok();
        }
        let timeout = read_confirm_timeout(request.operation)?;
        let is_confirmed = request.operation.child("confirmed").is_some();
        let running = host.running();
        let rollback_datastore =
            self.confirmed_commit.as_ref().map_or(&running, |commit| &commit.rollback_datastore).clone();
        if self.candidate.is_some() || is_confirmed {
            let datastore = self.candidate.as_ref().unwrap_or(&running);
            let Request { client, edit_id, .. } = *request;
            let rollback_to = is_confirmed.then_some(&rollback_datastore);
            host.commit(&Change { client, edit_id, content: &content, datastore, rollback_to })?;
        }
        self.candidate = None;
        self.confirmed_commit = is_confirmed.then(|| ConfirmedCommit {
            session: request.session,
            persist_id: request.operation.text_of("persist").map(str::to_string),
            times_out_at: request.now + timeout,
            rollback_datastore,
        });
        if !is_confirmed {
            host.confirmed_commit_ended();
        }
        ok()
    }

    fn check_persist_id(&self, request: &Request) -> Result<(), Vec<RpcError>> {
        let persist_id = request.operation.text_of("persist-id");
        match &self.confirmed_commit {
            Some(commit) if !commit.may_be_confirmed(request.session, persist_id) => {
                Err(invalid_persist_id("the confirmed commit has another persist-id"))
            }
            None if persist_id.is_some() => Err(invalid_persist_id("no confirmed commit waits")),
            _ => Ok(()),
        }
    }

    /// Whether this commit was accepted before. The content of a commit is the candidate. After the commit there is no
    /// candidate, so a repeated commit is recognized by its edit-id alone.
    fn is_repeated_commit(
        &self,
        request: &Request,
        content: &str,
        host: &dyn Host,
    ) -> Result<bool, Vec<RpcError>> {
        match request.edit_id {
            Some(id) if self.candidate.is_none() => Ok(host.lookup_edit(id, "") != EditLookup::New),
            _ => is_repeated(request, content, host),
        }
    }

    pub(super) fn cancel_commit(&mut self, request: &Request, host: &mut dyn Host) -> ReplyContent {
        let persist_id = request.operation.text_of("persist-id");
        match &self.confirmed_commit {
            None => Err(vec![RpcError::protocol(Tag::OperationFailed, "no confirmed commit waits")]),
            Some(commit) if !commit.may_be_cancelled(request.session, persist_id) => {
                Err(invalid_persist_id("the confirmed commit has another persist-id"))
            }
            Some(_) => {
                self.roll_back(host);
                ok()
            }
        }
    }

    /// Restores the running datastore from before the confirmed commit.
    pub(super) fn roll_back(&mut self, host: &mut dyn Host) {
        if let Some(ConfirmedCommit { rollback_datastore, .. }) = self.confirmed_commit.take() {
            let change = Change {
                client: ROLLBACK_CLIENT,
                edit_id: None,
                content: "",
                datastore: &rollback_datastore,
                rollback_to: None,
            };
            // The previous datastore was valid when it was committed. If it is rejected now, the host logs it.
            let _ = host.commit(&change);
            host.confirmed_commit_ended();
        }
    }

    /// Fails while a confirmed commit is pending that is not bound to this session: its rollback would undo a direct
    /// edit of the running datastore.
    pub(super) fn check_no_confirmed_commit(&self, session: SessionId) -> Result<(), Vec<RpcError>> {
        match &self.confirmed_commit {
            Some(commit) if !commit.is_bound_to(session) => {
                let error = RpcError::protocol(Tag::InUse, "a confirmed commit is not yet confirmed");
                Err(vec![error.with_info("session-id", commit.session.to_string())])
            }
            _ => Ok(()),
        }
    }
}
