//! SPIFFE identities, free of I/O: what an ID is ([`id`]), which certificates carry one ([`svid`]), whom a trust domain
//! vouches for ([`bundle`]), who may do what ([`access`]), and how long a stream may go on by it ([`standing`]). The rules
//! are those of the SPIFFE-ID, X509-SVID and trust bundle standards.

pub mod access;
pub mod bundle;
pub mod id;
pub mod standing;
pub mod svid;

#[cfg(test)]
mod tests;
