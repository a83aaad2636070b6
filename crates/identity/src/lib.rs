//! SPIFFE identities according to the SPIFFE-ID, X509-SVID and trust bundle standards. Performs no I/O.
//!
//! [`id`] parses SPIFFE IDs, [`svid`] reads them from certificates, [`bundle`] holds the certificate authorities of
//! each trust domain, [`access`] evaluates access rules, [`denial_log`] rate-limits the log of denied access, and
//! [`certificate_status`] tells whether a certificate in use is still valid.

pub mod access;
pub mod bundle;
pub mod certificate_status;
pub mod denial_log;
pub mod id;
pub mod svid;

#[cfg(test)]
mod tests;
