//! A part of a table update as JSON, which proxies in any language can read. The topic is not in the body: it is the
//! topic of the MQTT message.

use crate::decode_error::DecodeError;
use runloom_versioned_publisher::{Change, Key, Topic, UpdatePart, Version, MAX_CHANGES_PER_PART};
use serde::{Deserialize, Serialize};

/// Maximum number of parts of one update: enough for a table of 8,192 keys, twice as many as a fleet may have.
const MAX_PARTS: usize = 64;

/// The JSON object of a part.
#[derive(Serialize, Deserialize)]
struct PartBody {
    epoch: u64,
    /// The version that the changes apply to; `None` for a snapshot.
    #[serde(rename = "from")]
    base_version: Option<Version>,
    #[serde(rename = "to")]
    version: Version,
    part: usize,
    #[serde(rename = "of")]
    part_count: usize,
    changes: Vec<ChangeBody>,
}

/// A change as a JSON array: the kind of the key, its name, and the value; `None` removes the key.
#[derive(Serialize, Deserialize)]
struct ChangeBody(KeyKind, String, Option<String>);

#[derive(Serialize, Deserialize)]
enum KeyKind {
    #[serde(rename = "withdrawn")]
    Ejection,
    #[serde(rename = "line")]
    Entry,
    #[serde(rename = "level")]
    AdmissionLimit,
    #[serde(rename = "bind")]
    Assignment,
}

impl PartBody {
    /// Whether the part numbers, the versions and the size are valid.
    fn is_consistent(&self) -> bool {
        let goes_forward = self.base_version.is_none_or(|base_version| base_version < self.version);
        self.part < self.part_count
            && self.part_count <= MAX_PARTS
            && self.changes.len() <= MAX_CHANGES_PER_PART
            && goes_forward
    }
}

impl From<&Change> for ChangeBody {
    fn from(change: &Change) -> ChangeBody {
        let (kind, name) = match &change.key {
            Key::Ejection(server) => (KeyKind::Ejection, server),
            Key::Entry(server) => (KeyKind::Entry, server),
            Key::AdmissionLimit(class) => (KeyKind::AdmissionLimit, class),
            Key::Assignment(class) => (KeyKind::Assignment, class),
        };
        ChangeBody(kind, name.clone(), change.value.as_deref().map(String::from))
    }
}

impl From<ChangeBody> for Change {
    fn from(ChangeBody(kind, name, value): ChangeBody) -> Change {
        let key = match kind {
            KeyKind::Ejection => Key::Ejection(name),
            KeyKind::Entry => Key::Entry(name),
            KeyKind::AdmissionLimit => Key::AdmissionLimit(name),
            KeyKind::Assignment => Key::Assignment(name),
        };
        Change { key, value: value.map(|value| value.as_str().into()) }
    }
}

/// Encodes a part as the payload of an MQTT message.
pub fn encode(part: &UpdatePart) -> Vec<u8> {
    let body = PartBody {
        epoch: part.epoch,
        base_version: part.base_version,
        version: part.version,
        part: part.part_index,
        part_count: part.part_count,
        changes: part.changes.iter().map(ChangeBody::from).collect(),
    };
    // Numbers, strings and lists of them can always be serialized to JSON.
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Decodes a payload of [`encode`] that was received on a topic.
pub fn decode(topic: Topic, bytes: &[u8]) -> Result<UpdatePart, DecodeError> {
    let body: PartBody = serde_json::from_slice(bytes)?;
    if !body.is_consistent() {
        return Err(DecodeError::InconsistentPart);
    }
    let changes: Vec<Change> = body.changes.into_iter().map(Change::from).collect();
    Ok(UpdatePart {
        topic,
        epoch: body.epoch,
        base_version: body.base_version,
        version: body.version,
        part_index: body.part,
        part_count: body.part_count,
        changes: changes.into(),
    })
}
