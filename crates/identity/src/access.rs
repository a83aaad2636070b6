//! Who may do what. What no rule allows is refused. In the spirit of RFC 8341, with the program's own few actions.

use crate::id::Id;
use std::collections::BTreeMap;
use std::time::Duration;

/// What one end wishes of the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestedAccess<'a> {
    /// A planner orders this process's tables.
    Order,
    /// A proxy joins and reports under this name.
    Join {
        name: &'a str,
    },
    /// A part of the datastore, by its top node.
    Read {
        part: &'a str,
    },
    Write {
        part: &'a str,
    },
    /// Ends another's session.
    Kill,
}

impl RequestedAccess<'_> {
    fn word(&self) -> String {
        match self {
            RequestedAccess::Order => "order tables".into(),
            RequestedAccess::Join { name } => format!("join as {name}"),
            RequestedAccess::Read { part } => format!("read {part}"),
            RequestedAccess::Write { part } => format!("write {part}"),
            RequestedAccess::Kill => "end another's session".into(),
        }
    }
}

/// Whom a rule is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Principal {
    One(Id),
    /// Every identity one step below this one: `.../proxy/*`.
    Below(Id),
}

impl Principal {
    /// Reads an ID, or one that ends in `/*`.
    pub fn read(text: &str) -> Result<Principal, crate::id::NotAnId> {
        match text.strip_suffix("/*") {
            Some(above) => Id::read(above).map(Principal::Below),
            None => Id::read(text).map(Principal::One),
        }
    }

    fn covers(&self, id: &Id) -> bool {
        match self {
            Principal::One(one) => one == id,
            Principal::Below(above) => {
                let rest = id.path().strip_prefix(above.path()).and_then(|r| r.strip_prefix('/'));
                id.domain() == above.domain() && rest.is_some_and(|r| !r.is_empty() && !r.contains('/'))
            }
        }
    }
}

/// What a rule allows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permission {
    Order,
    /// Join, under the last part of its own path.
    Join,
    /// Parts of the datastore by their top node; `*`: all.
    Read(Vec<String>),
    Write(Vec<String>),
    Kill,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    pub whom: Principal,
    pub may: Permission,
}

/// Why a wish was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AccessDenied {
    /// No rule is about this identity.
    Unknown,
    /// Some are, and none allows it.
    NotAllowed,
    /// It goes by another's name.
    OthersName,
}

impl AccessDenied {
    pub fn word(self) -> &'static str {
        match self {
            AccessDenied::Unknown => "no rule knows it",
            AccessDenied::NotAllowed => "no rule allows it",
            AccessDenied::OthersName => "that is another's name",
        }
    }
}

/// Decides by rules alone; costs some comparisons of texts.
pub fn decide(rules: &[Rule], id: &Id, action: RequestedAccess) -> Result<(), AccessDenied> {
    let mut refused = AccessDenied::Unknown;
    for rule in rules.iter().filter(|r| r.whom.covers(id)) {
        let of = |parts: &[String], part: &str| parts.iter().any(|p| p == "*" || p == part);
        let allowed = match (&rule.may, action) {
            (Permission::Order, RequestedAccess::Order) | (Permission::Kill, RequestedAccess::Kill) => true,
            // An instance speaks for itself alone.
            (Permission::Join, RequestedAccess::Join { name }) if id.name() == Some(name) => true,
            (Permission::Join, RequestedAccess::Join { .. }) => {
                refused = refused.max(AccessDenied::OthersName);
                false
            }
            (Permission::Read(parts), RequestedAccess::Read { part }) => of(parts, part),
            // Who may write a part may read it.
            (Permission::Write(parts), RequestedAccess::Read { part } | RequestedAccess::Write { part }) => {
                of(parts, part)
            }
            _ => false,
        };
        if allowed {
            return Ok(());
        }
        refused = refused.max(AccessDenied::NotAllowed);
    }
    Err(refused)
}

/// One refusal, for people.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    pub at: Duration,
    pub who: String,
    pub wish: String,
    pub reason: &'static str,
    /// Alike ones since, that got no entry of their own.
    pub more: u64,
}

/// What was refused: one who asks a thousand times a second must flood neither the log nor memory.
#[derive(Debug, Default)]
pub struct Audit {
    /// The newest entry of each wish, and alike ones since that were counted alone.
    latest: BTreeMap<(String, String), (Duration, u64)>,
    pub refused: u64,
}

/// Alike refusals get one entry in this time.
const AGAIN: Duration = Duration::from_secs(10);
/// Wishes remembered; past it the oldest are forgotten, and may be told again sooner.
const LATEST_MOST: usize = 512;

impl Audit {
    /// Notes a refusal. The entry to be written, if it is not one of many alike.
    pub fn note(
        &mut self,
        now: Duration,
        id: &Id,
        action: RequestedAccess,
        why: AccessDenied,
    ) -> Option<Entry> {
        self.refused += 1;
        let key = (id.to_string(), action.word());
        if let Some((at, more)) = self.latest.get_mut(&key) {
            if now < *at + AGAIN {
                *more += 1;
                return None;
            }
        }
        if self.latest.len() >= LATEST_MOST {
            let oldest = self.latest.iter().min_by_key(|(_, (at, _))| *at).map(|(key, _)| key.clone());
            oldest.map(|key| self.latest.remove(&key));
        }
        let more = self.latest.insert(key.clone(), (now, 0)).map_or(0, |(_, more)| more);
        Some(Entry { at: now, who: key.0, wish: key.1, reason: why.word(), more })
    }
}
