//! Whether a certificate in use is still valid.

use crate::bundle::TrustStore;
use crate::svid::Svid;

/// Seconds by which the clocks of two machines may differ when a certificate becomes valid. Its end is exact.
const MAX_CLOCK_SKEW_SECONDS: i64 = 30;
/// A certificate should be renewed when less than this part of its lifetime is left: a third.
const RENEWAL_DIVISOR: i64 = 3;

/// The state of a certificate in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CertificateStatus {
    /// It may be used.
    Valid,
    /// It may be used, and a new one should have come by now.
    RenewalOverdue,
    /// Its time is over.
    Expired,
    /// Its time has not come, by this clock.
    NotYetValid,
    /// Its authority is no longer in its trust domain's bundle.
    AuthorityRemoved,
}

/// A certificate in use, with the authority that its chain ended at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CertificateInUse {
    /// The certificate's identity and times.
    pub svid: Svid,
    /// DER certificate of the authority.
    pub authority: Vec<u8>,
}

impl CertificateInUse {
    /// The state at `now`, in seconds since 1970.
    pub fn status(&self, now: i64, trust: &TrustStore) -> CertificateStatus {
        if !trust.authorities(self.svid.id.trust_domain()).contains(&self.authority) {
            CertificateStatus::AuthorityRemoved
        } else if now > self.svid.not_after {
            CertificateStatus::Expired
        } else if now + MAX_CLOCK_SKEW_SECONDS < self.svid.not_before {
            CertificateStatus::NotYetValid
        } else if self.svid.not_after - now < self.renewal_seconds() {
            CertificateStatus::RenewalOverdue
        } else {
            CertificateStatus::Valid
        }
    }

    /// Whether it may be used at `now`.
    pub fn is_valid(&self, now: i64, trust: &TrustStore) -> bool {
        matches!(self.status(now, trust), CertificateStatus::Valid | CertificateStatus::RenewalOverdue)
    }

    /// When the state changes next by time alone, in seconds since 1970.
    pub fn next_check(&self, now: i64) -> i64 {
        let renewal = self.svid.not_after - self.renewal_seconds();
        if now < renewal {
            renewal
        } else {
            self.svid.not_after + 1
        }
    }

    /// Seconds before the end from which on a renewal is overdue.
    fn renewal_seconds(&self) -> i64 {
        (self.svid.not_after - self.svid.not_before) / RENEWAL_DIVISOR
    }
}
