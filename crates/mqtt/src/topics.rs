//! MQTT topics, and which of them a proxy may use. Only the planner publishes tables, on
//! `runloom/<planner>/<proxy>/<kind>/<table>`; only the proxy publishes its reports, on
//! `runloom/<planner>/<proxy>/report`.

use runloom_versioned_publisher::{Topic, TopicFilter, TopicKind};

/// The first level of all topics.
const ROOT: &str = "runloom";
/// Maximum length of a planner's or proxy's name in bytes, the same as in the settings.
const MAX_NAME_BYTES: usize = 128;
/// Prefix of the filters of shared subscriptions (MQTT 5, 4.8.2).
const SHARED_PREFIX: &str = "$share/";
/// The table number in the topic of a proxy's assignments. A proxy has only one table of assignments, so that the
/// planner's number for it is not used.
const ASSIGNMENTS_TABLE: u16 = 0;

const KINDS: [TopicKind; 5] =
    [TopicKind::Weights, TopicKind::Subset, TopicKind::Range, TopicKind::Ejections, TopicKind::Assignments];

/// The topic level of a kind of table.
fn kind_level(kind: TopicKind) -> &'static str {
    match kind {
        TopicKind::Weights => "weights",
        TopicKind::Subset => "subset",
        TopicKind::Range => "range",
        TopicKind::Ejections => "withdrawn",
        TopicKind::Assignments => "binds",
    }
}

fn parse_kind(level: &str) -> Option<TopicKind> {
    KINDS.into_iter().find(|kind| kind_level(*kind) == level)
}

/// Parses a table number. Leading zeros and signs are rejected, so that each table has exactly one topic.
fn parse_number(level: &str) -> Option<u16> {
    level.parse().ok().filter(|number: &u16| number.to_string() == level)
}

/// Whether the name of a planner or proxy can be a topic level: not empty, not too long, and without separators,
/// wildcards, `$` and control characters.
pub fn is_valid_name(name: &str) -> bool {
    let is_invalid = |c: char| matches!(c, '/' | '+' | '#' | '$') || c.is_control();
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.contains(is_invalid)
}

/// The topic of a proxy's table.
pub fn table_topic(planner: &str, proxy: &str, topic: Topic) -> String {
    let number = if topic.kind == TopicKind::Assignments { ASSIGNMENTS_TABLE } else { topic.table };
    format!("{ROOT}/{planner}/{proxy}/{}/{number}", kind_level(topic.kind))
}

/// The filter that matches all of a proxy's tables of one kind.
pub fn kind_filter(planner: &str, proxy: &str, kind: TopicKind) -> String {
    format!("{ROOT}/{planner}/{proxy}/{}/+", kind_level(kind))
}

/// The topic of a proxy's reports.
pub fn report_topic(planner: &str, proxy: &str) -> String {
    format!("{ROOT}/{planner}/{proxy}/report")
}

/// Parses the name of a table topic; `None` if it is not a topic of this proxy's tables.
pub fn parse_table_topic(planner: &str, proxy: &str, name: &str) -> Option<Topic> {
    let rest = name.strip_prefix(ROOT)?.strip_prefix('/')?.strip_prefix(planner)?.strip_prefix('/')?;
    let (kind, number) = rest.strip_prefix(proxy)?.strip_prefix('/')?.split_once('/')?;
    let table = parse_number(number)?;
    Some(Topic { kind: parse_kind(kind)?, table })
}

/// Why a filter is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FilterError {
    /// It is not a valid MQTT topic filter.
    Invalid,
    /// It matches topics that the proxy may not subscribe to.
    NotOwn,
    /// It is a shared subscription, which would distribute one proxy's updates among several.
    Shared,
}

/// Whether a filter is valid by MQTT 5, 4.7.1: `#` and `+` occupy a complete level, and `#` is the last level.
fn is_valid_filter(filter: &str) -> bool {
    let levels: Vec<&str> = filter.split('/').collect();
    let last = levels.len() - 1;
    let is_valid_level = |(index, level): (usize, &&str)| match *level {
        "#" => index == last,
        "+" => true,
        level => !level.contains(['#', '+', '\0']),
    };
    !filter.is_empty() && levels.iter().enumerate().all(is_valid_level)
}

/// Parses a proxy's filter. It must contain the names of the planner and the proxy: a wildcard in their place would
/// match the tables of others, even if none is published now.
pub fn parse_filter(planner: &str, proxy: &str, filter: &str) -> Result<TopicFilter, FilterError> {
    if filter.starts_with(SHARED_PREFIX) {
        return Err(FilterError::Shared);
    }
    if !is_valid_filter(filter) {
        return Err(FilterError::Invalid);
    }
    let levels: Vec<&str> = filter.split('/').collect();
    match levels[..] {
        [ROOT, filter_planner, filter_proxy, ref table @ ..]
            if filter_planner == planner && filter_proxy == proxy =>
        {
            parse_table_filter(table)
        }
        _ => Err(FilterError::NotOwn),
    }
}

/// Parses the levels of a filter after the proxy's name.
fn parse_table_filter(levels: &[&str]) -> Result<TopicFilter, FilterError> {
    match levels {
        ["#"] => Ok(TopicFilter::ALL),
        [kind, table] => {
            Ok(TopicFilter { kind: parse_kind_filter(kind)?, table: parse_number_filter(table)? })
        }
        _ => Err(FilterError::NotOwn),
    }
}

fn parse_kind_filter(level: &str) -> Result<Option<TopicKind>, FilterError> {
    match level {
        "+" => Ok(None),
        level => parse_kind(level).map(Some).ok_or(FilterError::NotOwn),
    }
}

fn parse_number_filter(level: &str) -> Result<Option<u16>, FilterError> {
    match level {
        "+" | "#" => Ok(None),
        level => parse_number(level).map(Some).ok_or(FilterError::NotOwn),
    }
}
