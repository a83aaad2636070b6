//! Who may do what. What no rule allows is denied. Modelled on RFC 8341, with the few actions of this program.

use crate::id::{InvalidId, SpiffeId};
use std::fmt;

/// Stands for every part of the datastore.
const ALL_PARTS: &str = "*";
/// Ends a principal that stands for all identities one segment below.
const CHILDREN_SUFFIX: &str = "/*";

/// What a peer asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestedAccess<'a> {
    /// A planner sends commands to this process.
    Command,
    /// A proxy connects and reports under a name.
    Connect {
        /// The name.
        name: &'a str,
    },
    /// A part of the datastore is read.
    Read {
        /// The part's top element.
        part: &'a str,
    },
    /// A part of the datastore is changed.
    Write {
        /// The part's top element.
        part: &'a str,
    },
    /// Another's session is ended.
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

/// The identities that a rule is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Principal {
    /// This identity.
    Exact(SpiffeId),
    /// Every identity one segment below this one: `.../proxy/*`.
    ChildrenOf(SpiffeId),
}

impl Principal {
    /// Parses an identity, or one that ends in `/*`.
    ///
    /// # Errors
    /// Returns why the text is no identity.
    pub fn parse(text: &str) -> Result<Principal, InvalidId> {
        match text.strip_suffix(CHILDREN_SUFFIX) {
            Some(parent) => SpiffeId::parse(parent).map(Principal::ChildrenOf),
            None => SpiffeId::parse(text).map(Principal::Exact),
        }
    }

    fn includes(&self, id: &SpiffeId) -> bool {
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
    /// To send commands.
    Command,
    /// To connect under the last segment of one's own path.
    Connect,
    /// To read parts of the datastore, by their top elements; `*` for all.
    Read(Vec<String>),
    /// To change and read parts of the datastore, likewise.
    Write(Vec<String>),
    /// To end others' sessions.
    KillSession,
}

/// A permission of some identities.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccessRule {
    /// Whom it is about.
    pub principal: Principal,
    /// What it allows.
    pub permission: Permission,
}

/// Why access was denied. Later variants take precedence where several apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AccessDenied {
    /// No rule is about this identity.
    UnknownIdentity,
    /// No rule about this identity allows it.
    NotAllowed,
    /// It connects under another's name.
    NameMismatch,
}

impl AccessDenied {
    /// The reason as text.
    pub fn reason(self) -> &'static str {
        match self {
            AccessDenied::UnknownIdentity => "no rule knows it",
            AccessDenied::NotAllowed => "no rule allows it",
            AccessDenied::NameMismatch => "that is another's name",
        }
    }
}

/// Decides by rules alone.
///
/// # Errors
/// Returns the most specific reason of the rules about this identity.
pub fn check_access(
    rules: &[AccessRule],
    id: &SpiffeId,
    access: RequestedAccess,
) -> Result<(), AccessDenied> {
    let mut denied = AccessDenied::UnknownIdentity;
    for rule in rules.iter().filter(|rule| rule.principal.includes(id)) {
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
    let includes = |parts: &[String], part: &str| parts.iter().any(|p| p == ALL_PARTS || p == part);
    let is_allowed = match (permission, access) {
        (Permission::Command, RequestedAccess::Command)
        | (Permission::KillSession, RequestedAccess::KillSession) => true,
        (Permission::Connect, RequestedAccess::Connect { name }) if id.name() == Some(name) => true,
        (Permission::Connect, RequestedAccess::Connect { .. }) => return Err(AccessDenied::NameMismatch),
        (Permission::Read(parts), RequestedAccess::Read { part }) => includes(parts, part),
        (Permission::Write(parts), RequestedAccess::Read { part } | RequestedAccess::Write { part }) => {
            includes(parts, part)
        }
        _ => false,
    };
    if is_allowed {
        Ok(())
    } else {
        Err(AccessDenied::NotAllowed)
    }
}
