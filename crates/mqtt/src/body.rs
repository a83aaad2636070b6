//! A part of an update as JSON, for proxies in any language; its topic is the message's.

use runloom_versioned_publisher::{Change, Key, Topic, UpdatePart, MAX_CHANGES_PER_PART};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
struct Body {
    epoch: u64,
    /// None: a snapshot.
    from: Option<u64>,
    to: u64,
    part: usize,
    of: usize,
    changes: Vec<(What, String, Option<String>)>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum What {
    Withdrawn,
    Line,
    Level,
    Bind,
}

/// Parts of one update: a table of 8,192 keys, twice what a fleet may have.
const PARTS_MOST: usize = 64;

pub fn write(part: &UpdatePart) -> Vec<u8> {
    let change = |c: &Change| {
        let (what, name) = match &c.key {
            Key::Ejection(name) => (What::Withdrawn, name),
            Key::Entry(name) => (What::Line, name),
            Key::AdmissionLimit(name) => (What::Level, name),
            Key::Assignment(class) => (What::Bind, class),
        };
        (what, name.clone(), c.value.as_deref().map(String::from))
    };
    let changes = part.changes.iter().map(change).collect();
    let UpdatePart { epoch, base_version: from, version: to, part, part_count: of, .. } = *part;
    // Numbers, texts and lists of them are JSON whatever they hold.
    serde_json::to_vec(&Body { epoch, from, to, part, of, changes }).unwrap_or_default()
}

/// Reads what [`write`] wrote; an error in words for what is none.
pub fn read(topic: Topic, bytes: &[u8]) -> Result<UpdatePart, String> {
    let body: Body = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    let Body { epoch, from, to, part, of, changes } = body;
    if part >= of
        || of > PARTS_MOST
        || changes.len() > MAX_CHANGES_PER_PART
        || from.is_some_and(|from| from >= to)
    {
        return Err("its numbers do not fit together".into());
    }
    let change = |(what, name, value): (What, String, Option<String>)| {
        let key = match what {
            What::Withdrawn => Key::Ejection(name),
            What::Line => Key::Entry(name),
            What::Level => Key::AdmissionLimit(name),
            What::Bind => Key::Assignment(name),
        };
        Change { key, value: value.map(|v| v.as_str().into()) }
    };
    let changes: Vec<Change> = changes.into_iter().map(change).collect();
    Ok(UpdatePart {
        topic,
        epoch,
        base_version: from,
        version: to,
        part,
        part_count: of,
        changes: changes.into(),
    })
}
