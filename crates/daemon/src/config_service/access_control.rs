//! Who may read and edit the configuration.

use crate::tls_credentials::CertificateHolder;
use runloom_identity::access::{check_access, AccessRule, RequestedAccess};
use runloom_identity::denial_log::{DenialEntry, DenialLog};
use runloom_identity::id::SpiffeId;
use runloom_netconf::error::{RpcError, Tag};
use runloom_netconf::service::Access;
use std::collections::BTreeMap;
use std::time::Duration;

/// Parts of the data that rules are about.
const PARTS: [&str; 3] = ["fleet", "roster", "state"];

/// Authorization by rules on identities; without rules, by the kind of certificate alone.
#[derive(Default)]
pub(super) struct AccessControl {
    pub rules: Vec<AccessRule>,
    /// Whether a client, by its name, is a proxy.
    is_proxy: BTreeMap<String, bool>,
    /// Identities of clients, by name.
    identities: BTreeMap<String, SpiffeId>,
    pub audit: DenialLog,
    /// Entries of the audit that are not logged yet.
    pub entries: Vec<DenialEntry>,
}

fn access_denied(reason: String) -> RpcError {
    RpcError::protocol(Tag::AccessDenied, reason)
}

impl AccessControl {
    /// Remembers what a client's certificate says of it.
    pub(super) fn register_client(&mut self, holder: &CertificateHolder) {
        self.is_proxy.insert(holder.name.clone(), holder.is_proxy);
        if let Some(identity) = &holder.identity {
            self.identities.insert(holder.name.clone(), identity.id.clone());
        }
    }

    /// Audits an access that the rules deny.
    pub(super) fn audit_denial(&mut self, now: Duration, id: &SpiffeId, access: RequestedAccess) {
        if let Err(why) = check_access(&self.rules, id, access) {
            self.entries.extend(self.audit.record(now, id, access, why));
        }
    }

    /// Checks an operation (RFC 8341).
    pub(super) fn check(&mut self, now: Duration, client: &str, access: Access) -> Result<(), RpcError> {
        match access {
            Access::Read => {
                self.check_any(now, client, &PARTS.map(|part| RequestedAccess::Read { part }))?;
            }
            // Which part is edited only shows with the change itself.
            Access::Edit => {
                self.check_any(now, client, &PARTS.map(|part| RequestedAccess::Write { part }))?;
            }
            Access::Kill => self.check_any(now, client, &[RequestedAccess::KillSession])?,
        }
        // A proxy does not edit a planner's configuration; the planner is its client.
        let is_proxy = self.is_proxy.get(client).copied().unwrap_or(true);
        if access != Access::Read && is_proxy {
            return Err(access_denied(format!("{client} may not edit here")));
        }
        Ok(())
    }

    /// Checks that the rules allow at least one of some accesses.
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
