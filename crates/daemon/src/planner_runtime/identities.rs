//! The identities of connected peers: when they expire, and whether their authority is still trusted. Also warns when
//! the planner's own certificate expires soon.

use crate::tls_credentials::{CertificateHolder, TlsPolicy};
use crate::wall_ms;
use runloom_event_loop::ConnectionId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Shortest time between two warnings that the planner's own identity expires soon.
const EXPIRY_WARNING_INTERVAL: Duration = Duration::from_secs(60);
/// Renewal of the planner's certificate is due in the last third of its lifetime: once less than the lifetime divided
/// by this is left.
const RENEWAL_DUE_DIVISOR: i64 = 3;

/// A peer's certificate (DER), and its holder.
struct PeerCertificate {
    holder: CertificateHolder,
    der: Vec<u8>,
}

/// A connection whose identity is no longer valid.
pub(super) struct InvalidIdentity {
    pub connection: ConnectionId,
    pub holder: String,
}

/// Identities of connected peers, and the planner's TLS policy.
pub(super) struct IdentityTracker {
    tls: TlsPolicy,
    peers: BTreeMap<ConnectionId, PeerCertificate>,
    last_expiry_warning: Option<Duration>,
}

/// Seconds since 1970.
pub(super) fn wall_seconds() -> i64 {
    (wall_ms() / 1000) as i64
}

impl IdentityTracker {
    pub(super) fn new(tls: TlsPolicy) -> IdentityTracker {
        IdentityTracker { tls, peers: BTreeMap::new(), last_expiry_warning: None }
    }

    pub(super) fn tls(&self) -> &TlsPolicy {
        &self.tls
    }

    /// Tracks a connection if its certificate holds an identity, which expires.
    pub(super) fn track(&mut self, connection: ConnectionId, holder: &CertificateHolder, der: &[u8]) {
        if holder.identity.is_some() {
            let certificate = PeerCertificate { holder: holder.clone(), der: der.to_vec() };
            self.peers.insert(connection, certificate);
        }
    }

    pub(super) fn forget(&mut self, connection: ConnectionId) {
        self.peers.remove(&connection);
    }

    /// Whether a connection's identity has expired by `wall`, in seconds since 1970.
    pub(super) fn has_expired(&self, connection: ConnectionId, wall: i64) -> bool {
        self.peers.get(&connection).is_some_and(|peer| peer.holder.has_expired(wall))
    }

    /// Reloads certificates that changed, and returns the connections to end: those whose identity has expired or whose
    /// authority is no longer trusted.
    #[must_use]
    pub(super) fn check(&mut self, now: Duration) -> Vec<InvalidIdentity> {
        let is_reloaded = self.reload();
        let wall = wall_seconds();
        self.warn_of_expiry(now, wall);
        let is_invalid = |peer: &PeerCertificate| {
            peer.holder.has_expired(wall) || (is_reloaded && !self.tls.still_trusts(&peer.der))
        };
        let invalid = self.peers.iter().filter(|(_, peer)| is_invalid(peer));
        invalid
            .map(|(connection, peer)| InvalidIdentity {
                connection: *connection,
                holder: peer.holder.name.clone(),
            })
            .collect()
    }

    fn reload(&mut self) -> bool {
        match self.tls.reload() {
            Ok(true) => {
                tracing::info!("new certificates are in force, for connections from now on");
                true
            }
            Ok(false) => false,
            Err(why) => {
                tracing::error!(%why, "new certificates cannot be used: the previous ones stay in force");
                false
            }
        }
    }

    fn warn_of_expiry(&mut self, now: Duration, wall: i64) {
        let Some(own) = self.tls.own_identity() else { return };
        let seconds_left = own.not_after - wall;
        let is_renewal_due = seconds_left < (own.not_after - own.not_before) / RENEWAL_DUE_DIVISOR;
        let may_warn = self.last_expiry_warning.is_none_or(|at| now >= at + EXPIRY_WARNING_INTERVAL);
        if is_renewal_due && may_warn {
            self.last_expiry_warning = Some(now);
            tracing::warn!(identity = %own.id, seconds = seconds_left, "this planner's identity expires soon");
        }
    }
}
