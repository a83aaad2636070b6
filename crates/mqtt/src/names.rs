//! Topics, and who may have them: `runloom/<planner>/<proxy>/<kind>/<table>` for tables, which the planner alone
//! writes, and `runloom/<planner>/<proxy>/report`, which that proxy alone writes.

use runloom_versioned_publisher::{Topic, TopicFilter, TopicKind};

/// The first level of all topics.
const ROOT: &str = "runloom";

fn word(kind: TopicKind) -> &'static str {
    match kind {
        TopicKind::Weights => "weights",
        TopicKind::Subset => "subset",
        TopicKind::Range => "range",
        TopicKind::Ejections => "withdrawn",
        TopicKind::Assignments => "binds",
    }
}

fn kind(word: &str) -> Option<TopicKind> {
    let all = [
        TopicKind::Weights,
        TopicKind::Subset,
        TopicKind::Range,
        TopicKind::Ejections,
        TopicKind::Assignments,
    ];
    all.into_iter().find(|k| self::word(*k) == word)
}

/// Whether a planner or proxy can be named in a topic: no level's end, no wildcard, no control character, and short.
pub fn fits(name: &str) -> bool {
    // As long as a name in the settings may be.
    const MOST: usize = 128;
    let bad = |c: char| matches!(c, '/' | '+' | '#' | '$') || c.is_control();
    !name.is_empty() && name.len() <= MOST && !name.contains(bad)
}

/// A table's name. A proxy has one table of binds, whatever its number at this planner: 0.
pub fn table(planner: &str, proxy: &str, topic: Topic) -> String {
    let number = if topic.kind == TopicKind::Assignments { 0 } else { topic.table };
    format!("{ROOT}/{planner}/{proxy}/{}/{number}", word(topic.kind))
}

/// All of a proxy's own tables.
pub fn all(planner: &str, proxy: &str) -> String {
    format!("{ROOT}/{planner}/{proxy}/#")
}

/// Its tables of one kind.
pub fn all_of(planner: &str, proxy: &str, kind: TopicKind) -> String {
    format!("{ROOT}/{planner}/{proxy}/{}/+", word(kind))
}

pub fn report(planner: &str, proxy: &str) -> String {
    format!("{ROOT}/{planner}/{proxy}/report")
}

/// The table that a topic's name stands for, if it is one of this proxy's.
pub fn read_table(planner: &str, proxy: &str, name: &str) -> Option<Topic> {
    let rest = name.strip_prefix(ROOT)?.strip_prefix('/')?.strip_prefix(planner)?.strip_prefix('/')?;
    let (kind_of, number) = rest.strip_prefix(proxy)?.strip_prefix('/')?.split_once('/')?;
    // One name for one table: neither 07 nor +7.
    let table: u16 = number.parse().ok().filter(|n: &u16| n.to_string() == number)?;
    Some(Topic { kind: kind(kind_of)?, table })
}

/// Why a filter is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TopicRejected {
    /// It is not a filter by the protocol's rules.
    Invalid,
    /// It reaches what is not the proxy's to read.
    NotIts,
    /// Shared subscriptions would deal one proxy's orders among several.
    Shared,
}

/// By the protocol (MQTT 5, 4.7.1): `#` is the last level and alone in it, `+` is alone in its level.
fn valid(filter: &str) -> bool {
    let levels: Vec<&str> = filter.split('/').collect();
    let last = levels.len() - 1;
    let level = |(k, l): (usize, &&str)| match *l {
        "#" => k == last,
        "+" => true,
        l => !l.contains(['#', '+', '\0']),
    };
    !filter.is_empty() && levels.iter().enumerate().all(level)
}

/// What a proxy asks for with a filter. Its own name and its planner's must stand there in full: a wildcard in their
/// place would reach others' tables, be it that none is published just now.
pub fn wanted(planner: &str, proxy: &str, filter: &str) -> Result<TopicFilter, TopicRejected> {
    if filter.starts_with("$share/") {
        return Err(TopicRejected::Shared);
    }
    if !valid(filter) {
        return Err(TopicRejected::Invalid);
    }
    let levels: Vec<&str> = filter.split('/').collect();
    let own = [ROOT, planner, proxy];
    if levels.len() < 4 || levels[..3] != own {
        return Err(TopicRejected::NotIts);
    }
    let kind_of = |l: &str| match l {
        "+" => Ok(None),
        l => kind(l).map(Some).ok_or(TopicRejected::NotIts),
    };
    let table_of = |l: &str| match l {
        "+" | "#" => Ok(None),
        l => l.parse().ok().filter(|n: &u16| n.to_string() == l).map(Some).ok_or(TopicRejected::NotIts),
    };
    match levels[3..] {
        ["#"] => Ok(TopicFilter { kind: None, table: None }),
        [kind, table] => Ok(TopicFilter { kind: kind_of(kind)?, table: table_of(table)? }),
        _ => Err(TopicRejected::NotIts),
    }
}
