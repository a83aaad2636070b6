//! How long a stream may go on by the identity that it began with: checked on a timer and before every order.

use crate::bundle::Trust;
use crate::svid::Svid;

/// How a stream stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CertificateStatus {
    Valid,
    /// It ends within its last third: a new one should have come by now.
    Late,
    /// Over: nothing more is ordered, and the stream ends.
    Expired,
    /// Its time has not come, by this clock.
    Early,
    /// The authority that vouched for it is in its domain's bundle no more.
    Struck,
}

/// Clocks of two machines may differ by so many seconds when an identity begins; an end is an end.
const SKEW: i64 = 30;

/// An identity in use: with the authority that the chain went to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InUse {
    pub svid: Svid,
    /// DER.
    pub authority: Vec<u8>,
}

impl InUse {
    /// How it stands at `now`, seconds since 1970.
    pub fn standing(&self, now: i64, trust: &Trust) -> CertificateStatus {
        let Svid { id, from, until, .. } = &self.svid;
        if !trust.authorities(id.domain()).contains(&self.authority) {
            return CertificateStatus::Struck;
        }
        match () {
            () if now > *until => CertificateStatus::Expired,
            () if now + SKEW < *from => CertificateStatus::Early,
            () if *until - now < (*until - *from) / 3 => CertificateStatus::Late,
            () => CertificateStatus::Valid,
        }
    }

    /// Whether orders may pass.
    pub fn holds(&self, now: i64, trust: &Trust) -> bool {
        matches!(self.standing(now, trust), CertificateStatus::Valid | CertificateStatus::Late)
    }

    /// When to look again, seconds since 1970: at its end, or at the third before it.
    pub fn look_at(&self, now: i64) -> i64 {
        let late = self.svid.until - (self.svid.until - self.svid.from) / 3;
        if now < late {
            late
        } else {
            self.svid.until + 1
        }
    }
}
