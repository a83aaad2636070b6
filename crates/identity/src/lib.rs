//! SPIFFE identities, free of I/O, by the SPIFFE-ID, X509-SVID and trust bundle standards.
//!
//! [`id`] parses identities, [`svid`] reads them from certificates, [`bundle`] holds the authorities of trust domains,
//! [`access`] decides who may do what, and [`certificate_status`] whether a certificate in use is still valid.

pub mod access;
pub mod bundle;
pub mod certificate_status;
pub mod denial_log;
pub mod id;
pub mod svid;

#[cfg(test)]
mod tests;
