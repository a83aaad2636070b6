//! Updates for one proxy, and their encoding.
//!
//! Only this module knows the field names of updates on the wire.

use crate::framing;
use crate::NameRegistry;
use runloom_controller::{RetryPolicy, ServerId};
use serde::Serialize;

/// The protocol's limit on the number of messages, in its terms parts, of one update. Each message is an
/// [`UpdateChunk`].
const MAX_PARTS: usize = 64;
/// Maximum number of table entries in one such message. With names of 128 bytes, the longest that discovery may give,
/// and a weight for each, they take some 600 KiB of the 1 MiB that a message may have.
const MAX_ENTRIES_PER_PART: usize = 4096;
/// Maximum number of traffic classes: a class mask has one bit for each.
const MAX_CLASSES: usize = 64;

/// The admission limit and the retry policy of a class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// The requests per second, or the share of requests, that the proxy admits; `None` admits all.
    pub admission_rate: Option<f64>,
    /// Whether and when the proxy retries.
    pub retry_policy: RetryPolicy,
}

/// One part of an update: changes for the same classes. It is sent as one message, or as several if it has too many
/// entries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UpdatePart {
    /// The classes that the part changes, one bit each; 0 for all.
    pub class_mask: u64,
    /// Whether the entries replace the complete table of these classes.
    pub replaces_table: bool,
    /// Servers and their weights; weight 0 removes a server's entry.
    pub entries: Vec<(ServerId, f64)>,
    /// New admission settings of these classes; `None` leaves them unchanged.
    pub admission: Option<AdmissionSettings>,
    /// Servers ejected from all tables.
    pub ejected: Vec<ServerId>,
    /// Servers readmitted to all tables.
    pub readmitted: Vec<ServerId>,
    /// The token with which the proxy acknowledges the update; `None` requests no acknowledgement.
    pub ack_token: Option<u16>,
}

impl UpdatePart {
    /// Whether the part changes neither entries nor ejections.
    fn has_no_entries(&self) -> bool {
        !self.replaces_table
            && self.entries.is_empty()
            && self.ejected.is_empty()
            && self.readmitted.is_empty()
    }

    /// Splits the part into chunks of at most [`MAX_ENTRIES_PER_PART`] entries.
    fn chunks(&self) -> impl Iterator<Item = UpdateChunk<'_>> {
        let count = self.entries.len().div_ceil(MAX_ENTRIES_PER_PART).max(1);
        (0..count).map(move |index| {
            let start = index * MAX_ENTRIES_PER_PART;
            let end = self.entries.len().min(start + MAX_ENTRIES_PER_PART);
            UpdateChunk {
                part: self,
                entries: &self.entries[start..end],
                is_first: index == 0,
                is_last: index + 1 == count,
            }
        })
    }
}

/// Adds admission settings of some classes to an update: to its last part if that has the same settings and changes
/// neither entries nor ejections, else as a new part.
pub(crate) fn push_admission(parts: &mut Vec<UpdatePart>, class_mask: u64, admission: AdmissionSettings) {
    let last = parts.last_mut().filter(|part| part.admission == Some(admission) && part.has_no_entries());
    match last {
        Some(part) => part.class_mask |= class_mask,
        None => parts.push(UpdatePart { class_mask, admission: Some(admission), ..UpdatePart::default() }),
    }
}

/// A range of the entries of an [`UpdatePart`], sent as one message. The first chunk says whether the table is
/// replaced; the last one contains all other fields of the part.
struct UpdateChunk<'a> {
    part: &'a UpdatePart,
    entries: &'a [(ServerId, f64)],
    is_first: bool,
    is_last: bool,
}

/// A chunk as serialized on the wire.
#[derive(Serialize, Default)]
struct ConfigMessage<'a> {
    #[serde(rename = "t")]
    message_type: &'static str,
    #[serde(rename = "for", skip_serializing_if = "Option::is_none")]
    classes: Option<Vec<&'a str>>,
    #[serde(rename = "replace", skip_serializing_if = "Option::is_none")]
    replaces_table: Option<bool>,
    #[serde(rename = "rows", skip_serializing_if = "Option::is_none")]
    entries: Option<Vec<(&'a str, f64)>>,
    #[serde(rename = "gate", skip_serializing_if = "Option::is_none")]
    admission_rate: Option<f64>,
    #[serde(rename = "again", skip_serializing_if = "Option::is_none")]
    retry_policy: Option<u8>,
    #[serde(rename = "drop", skip_serializing_if = "Vec::is_empty")]
    ejected: Vec<&'a str>,
    #[serde(rename = "undrop", skip_serializing_if = "Vec::is_empty")]
    readmitted: Vec<&'a str>,
    #[serde(rename = "stamp", skip_serializing_if = "Option::is_none")]
    ack_token: Option<u16>,
    #[serde(rename = "part", skip_serializing_if = "Option::is_none")]
    has_more_parts: Option<bool>,
}

/// Encodes updates as frames of the protocol.
#[derive(Debug, Default)]
pub(crate) struct UpdateEncoder {
    class_count: usize,
    /// The admission rate that stands for "admit all" on the wire.
    unlimited_rate: f64,
}

impl UpdateEncoder {
    pub(crate) fn new(class_count: usize, unlimited_rate: f64) -> UpdateEncoder {
        UpdateEncoder { class_count: class_count.min(MAX_CLASSES), unlimited_rate }
    }

    pub(crate) fn class_count(&self) -> usize {
        self.class_count
    }

    /// The mask of all classes.
    pub(crate) fn all_classes(&self) -> u64 {
        if self.class_count >= MAX_CLASSES {
            u64::MAX
        } else {
            (1 << self.class_count) - 1
        }
    }

    /// The classes whose bit is set in a mask.
    pub(crate) fn classes_in(&self, class_mask: u64) -> impl Iterator<Item = usize> {
        (0..self.class_count).filter(move |class| class_mask >> class & 1 == 1)
    }

    /// Encodes an update as frames.
    ///
    /// Servers whose name is no longer known and messages beyond the protocol's limit are left out. Neither occurs with
    /// the controller's updates.
    pub(crate) fn encode(&self, parts: &[UpdatePart], names: &NameRegistry) -> Vec<u8> {
        let chunks: Vec<UpdateChunk> = parts.iter().flat_map(UpdatePart::chunks).take(MAX_PARTS).collect();
        let mut frames = Vec::new();
        for (index, chunk) in chunks.iter().enumerate() {
            let has_more_parts = index + 1 < chunks.len();
            let message = self.config_message(chunk, has_more_parts, names);
            // Serialization cannot fail: the message has only strings, booleans and finite numbers.
            framing::write_frame(&mut frames, &serde_json::to_vec(&message).unwrap_or_default());
        }
        frames
    }

    fn config_message<'a>(
        &self,
        chunk: &UpdateChunk,
        has_more_parts: bool,
        names: &'a NameRegistry,
    ) -> ConfigMessage<'a> {
        let UpdateChunk { part, entries, is_first, is_last } = *chunk;
        let server_name = |server: &ServerId| names.servers.name(*server).map(String::as_str);
        let named_entries =
            entries.iter().filter_map(|(server, weight)| Some((server_name(server)?, *weight)));
        let in_last_chunk =
            |servers: &[ServerId]| servers.iter().filter(|_| is_last).filter_map(server_name).collect();
        let admission = part.admission.filter(|_| is_last);
        ConfigMessage {
            message_type: "CONFIG",
            classes: self.class_names(part.class_mask, names),
            replaces_table: (part.replaces_table && is_first).then_some(true),
            entries: (part.replaces_table || !entries.is_empty()).then(|| named_entries.collect()),
            admission_rate: admission
                .map(|admission| admission.admission_rate.unwrap_or(self.unlimited_rate)),
            retry_policy: admission.map(|admission| admission.retry_policy as u8),
            ejected: in_last_chunk(&part.ejected),
            readmitted: in_last_chunk(&part.readmitted),
            ack_token: part.ack_token.filter(|_| is_last),
            has_more_parts: has_more_parts.then_some(true),
        }
    }

    /// The names of the classes in a mask; `None` if it stands for all classes.
    fn class_names<'a>(&self, class_mask: u64, names: &'a NameRegistry) -> Option<Vec<&'a str>> {
        if class_mask == 0 || class_mask == self.all_classes() {
            return None;
        }
        let class_name = |class| names.classes.name(class).map(String::as_str);
        Some(self.classes_in(class_mask).filter_map(class_name).collect())
    }
}
