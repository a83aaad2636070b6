//! Whether a certificate in use is still valid: its validity period, and whether its authority is still trusted.

use crate::bundle::TrustStore;
use crate::svid::Svid;

/// Clock skew in seconds that is tolerated at the start of a certificate's validity. Its end is exact.
const MAX_CLOCK_SKEW_SECONDS: i64 = 30;
/// A certificate should be renewed once less than one third of its lifetime is left.
const RENEWAL_DIVISOR: i64 = 3;

/// The status of a certificate in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CertificateStatus {
    /// The certificate may be used.
    Valid,
    /// The certificate may be used, but should have been renewed by now.
    RenewalOverdue,
    /// Its validity period is over.
    Expired,
    /// Its validity period has not begun, by this machine's clock.
    NotYetValid,
    /// Its authority is no longer in the bundle of its trust domain.
    AuthorityRemoved,
}

/// A certificate in use, with the authority that its chain was verified against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CertificateInUse {
    /// The certificate's identity and validity period.
    pub svid: Svid,
    /// CA certificate of the authority in DER.
    pub authority: Vec<u8>,
}

impl CertificateInUse {
    /// The status at `now`, in seconds since 1970.
    pub fn status(&self, now: i64, trust: &TrustStore) -> CertificateStatus {
        if !trust.authorities(self.svid.id.trust_domain()).contains(&self.authority) {
            CertificateStatus::AuthorityRemoved
        } else if now > self.svid.not_after {
            CertificateStatus::Expired
        } else if now + MAX_CLOCK_SKEW_SECONDS < self.svid.not_before {
            CertificateStatus::NotYetValid
        } else if self.svid.not_after - now < self.renewal_period_seconds() {
            CertificateStatus::RenewalOverdue
        } else {
            CertificateStatus::Valid
        }
    }

    /// Whether the certificate may be used at `now`, in seconds since 1970.
    pub fn is_valid(&self, now: i64, trust: &TrustStore) -> bool {
        matches!(self.status(now, trust), CertificateStatus::Valid | CertificateStatus::RenewalOverdue)
    }

    /// When to check the status again, in seconds since 1970: at the start of the renewal period, then just after
    /// expiry.
    pub fn next_check(&self, now: i64) -> i64 {
        let renewal_start = self.svid.not_after - self.renewal_period_seconds();
        if now < renewal_start {
            renewal_start
        } else {
            self.svid.not_after + 1
        }
    }

    /// Length of the renewal period before expiry, in seconds; a certificate within it is overdue for renewal.
    fn renewal_period_seconds(&self) -> i64 {
        (self.svid.not_after - self.svid.not_before) / RENEWAL_DIVISOR
    }
}
