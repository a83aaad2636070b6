//! Access rules: which SPIFFE identity may do what. Access that no rule allows is denied.
//!
//! Modelled on NACM (RFC 8341), reduced to the operations of this program.

use crate::id::{InvalidId, SpiffeId};
use std::fmt;

/// In [`Permission::Read`] and [`Permission::Write`]: every part of the datastore.
const ANY_PART: &str = "*";
/// Suffix of a principal that stands for all identities one path segment below.
const CHILDREN_SUFFIX: &str = "/*";

/// An operation that a peer requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestedAccess<'a> {
    /// A planner sends table updates to this process.
    Command,
    /// A proxy connects and reports under a name.
    Connect {
        /// The name that the proxy claims.
        name: &'a str,
    },
    /// Reads a part of the datastore.
    Read {
        /// Name of the part's top-level element.
        part: &'a str,
    },
    /// Changes a part of the datastore.
    Write {
        /// Name of the part's top-level element.
        part: &'a str,
    },
    /// Ends the session of another client (`<kill-session>`).
    KillSession,
}

impl fmt::Display for RequestedAccess<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestedAccess::Command => f.write_str("order tables"),
            RequestedAccess::Connect { name } => write!(f, "join as {name}"),
            RequestedAccess::Read { part } => write!(f, "read {part}"),
            RequestedAccess::Write { part } => write!(f, "write {part}"),
            RequestedAccess::KillSession => f.write_str("end another's session"),
        }
    }
}

/// The identities that a rule applies to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Principal {
    /// Exactly this identity.
    Exact(SpiffeId),
    /// Every identity one path segment below this one, written `.../proxy/*`.
    ChildrenOf(SpiffeId),
}

impl Principal {
    /// Parses a SPIFFE ID, or one followed by `/*`.
    ///
    /// # Errors
    /// Returns why the text, without a final `/*`, is not a SPIFFE ID.
    pub fn parse(text: &str) -> Result<Principal, InvalidId> {
        match text.strip_suffix(CHILDREN_SUFFIX) {
            Some(parent) => SpiffeId::parse(parent).map(Principal::ChildrenOf),
            None => SpiffeId::parse(text).map(Principal::Exact),
        }
    }

    fn matches(&self, id: &SpiffeId) -> bool {
        match self {
            Principal::Exact(exact) => exact == id,
            Principal::ChildrenOf(parent) => {
                let child = id.path().strip_prefix(parent.path()).and_then(|rest| rest.strip_prefix('/'));
                let is_one_segment = child.is_some_and(|child| !child.is_empty() && !child.contains('/'));
                id.trust_domain() == parent.trust_domain() && is_one_segment
            }
        }
    }
}

/// What a rule allows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permission {
    /// To send table updates.
    Command,
    /// To connect as a proxy whose name is the last path segment of the identity.
    Connect,
    /// To read these parts of the datastore, by the names of their top-level elements; `*` for all.
    Read(Vec<String>),
    /// To change and read these parts of the datastore, named likewise.
    Write(Vec<String>),
    /// To end sessions of other clients.
    KillSession,
}

/// Grants one permission to one or more identities.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccessRule {
    /// The identities that have the permission.
    pub principal: Principal,
    /// What they may do.
    pub permission: Permission,
}

/// Why access was denied. Later variants take precedence where several apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AccessDenied {
    /// No rule applies to this identity.
    UnknownIdentity,
    /// Rules apply to this identity, and none of them allows the access.
    NotAllowed,
    /// The identity may connect, but not under this name.
    NameMismatch,
}

impl AccessDenied {
    /// The reason as text, for error messages to the peer and for the log.
    pub fn reason(self) -> &'static str {
        match self {
            AccessDenied::UnknownIdentity => "no rule knows it",
            AccessDenied::NotAllowed => "no rule allows it",
            AccessDenied::NameMismatch => "that is another's name",
        }
    }
}

/// Allows the access if at least one rule allows it; the order of the rules does not matter.
///
/// # Errors
/// Returns the highest-ranking reason for the denial among the rules that apply to this identity.
pub fn check_access(
    rules: &[AccessRule],
    id: &SpiffeId,
    access: RequestedAccess,
) -> Result<(), AccessDenied> {
    let mut denied = AccessDenied::UnknownIdentity;
    for rule in rules.iter().filter(|rule| rule.principal.matches(id)) {
        match check_permission(&rule.permission, id, access) {
            Ok(()) => return Ok(()),
            Err(reason) => denied = denied.max(reason),
        }
    }
    Err(denied)
}

fn check_permission(
    permission: &Permission,
    id: &SpiffeId,
    access: RequestedAccess,
) -> Result<(), AccessDenied> {
    let includes_part = |parts: &[String], part: &str| parts.iter().any(|p| p == ANY_PART || p == part);
    let is_allowed = match (permission, access) {
        (Permission::Command, RequestedAccess::Command)
        | (Permission::KillSession, RequestedAccess::KillSession) => true,
        (Permission::Connect, RequestedAccess::Connect { name }) if id.name() == Some(name) => true,
        (Permission::Connect, RequestedAccess::Connect { .. }) => return Err(AccessDenied::NameMismatch),
        (Permission::Read(parts), RequestedAccess::Read { part }) => includes_part(parts, part),
        (Permission::Write(parts), RequestedAccess::Read { part } | RequestedAccess::Write { part }) => {
            includes_part(parts, part)
        }
        _ => false,
    };
    if is_allowed {
        Ok(())
    } else {
        Err(AccessDenied::NotAllowed)
    }
}
