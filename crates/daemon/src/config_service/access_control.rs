//! Access control: which clients may read and edit the configuration.

use crate::tls_credentials::CertificateHolder;
use runloom_identity::access::{check_access, AccessRule, RequestedAccess};
use runloom_identity::denial_log::{DenialEntry, DenialLog};
use runloom_identity::id::SpiffeId;
use runloom_netconf::error::{RpcError, Tag};
use runloom_netconf::service::Access;
use std::collections::BTreeMap;
use std::time::Duration;

/// Parts of the data for which rules grant access.
const PARTS: [&str; 3] = ["fleet", "roster", "state"];

/// Authorizes clients by rules on their identities; without rules, only by the role in their certificates.
#[derive(Default)]
pub(super) struct AccessControl {
    pub rules: Vec<AccessRule>,
    /// Whether a client is a proxy, by its name. An unknown client counts as a proxy, and so may not edit.
    is_proxy: BTreeMap<String, bool>,
    /// Identities of clients, by name.
    identities: BTreeMap<String, SpiffeId>,
    pub denials: DenialLog,
    /// Denials that have to be logged.
    pub unlogged_denials: Vec<DenialEntry>,
}

fn access_denied(reason: String) -> RpcError {
    RpcError::protocol(Tag::AccessDenied, reason)
}

impl AccessControl {
    /// Stores a client's role and identity from its certificate.
    pub(super) fn register_client(&mut self, holder: &CertificateHolder) {
        self.is_proxy.insert(holder.name.clone(), holder.is_proxy);
        if let Some(identity) = &holder.identity {
            self.identities.insert(holder.name.clone(), identity.id.clone());
        }
    }

    /// Records an access in the audit log if the rules deny it.
    pub(super) fn audit_denial(&mut self, now: Duration, id: &SpiffeId, access: RequestedAccess) {
        if let Err(reason) = check_access(&self.rules, id, access) {
            self.unlogged_denials.extend(self.denials.record(now, id, access, reason));
        }
    }

    /// Checks whether a client may perform an operation (RFC 8341).
    pub(super) fn check(&mut self, now: Duration, client: &str, access: Access) -> Result<(), RpcError> {
        match access {
            Access::Read => {
                self.check_any(now, client, &PARTS.map(|part| RequestedAccess::Read { part }))?;
            }
            // Which part is edited is known, and checked, only once the change is committed.
            Access::Edit => {
                self.check_any(now, client, &PARTS.map(|part| RequestedAccess::Write { part }))?;
            }
            Access::Kill => self.check_any(now, client, &[RequestedAccess::KillSession])?,
        }
        // Proxies may not edit a planner's configuration: the planner is the NETCONF client of its proxies.
        let is_proxy = self.is_proxy.get(client).copied().unwrap_or(true);
        if access != Access::Read && is_proxy {
            return Err(access_denied(format!("{client} may not edit here")));
        }
        Ok(())
    }

    /// Checks that the rules allow at least one of the accesses; without rules all are allowed. If none is allowed, the
    /// first one is recorded as denied; a client without an identity is denied without a record.
    pub(super) fn check_any(
        &mut self,
        now: Duration,
        client: &str,
        accesses: &[RequestedAccess],
    ) -> Result<(), RpcError> {
        if self.rules.is_empty() {
            return Ok(());
        }
        let denied = || access_denied(format!("{client} may not do this here"));
        let id = self.identities.get(client).cloned().ok_or_else(denied)?;
        if accesses.iter().any(|access| check_access(&self.rules, &id, *access).is_ok()) {
            return Ok(());
        }
        if let Some(access) = accesses.first() {
            self.audit_denial(now, &id, *access);
        }
        Err(denied())
    }
}
