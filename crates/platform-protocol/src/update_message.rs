//! Updates for one proxy, and how they are written.
//!
//! This module is the only one that knows the wire's field names of updates.

use crate::framing;
use crate::NameRegistry;
use runloom_controller::{RetryPolicy, ServerId};
use serde::Serialize;

/// The protocol's limit of parts in one update.
const MAX_PARTS: usize = 64;
/// Table entries in one part. With the longest names that discovery may give, 128 bytes, and a weight beside each,
/// that is some 600 KiB of the 1 MiB that a part may have.
const MAX_ENTRIES_PER_PART: usize = 4096;
/// Traffic classes are one bit each.
const MAX_CLASSES: usize = 64;

/// What a proxy admits of a class, and when it retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Requests a second (or a share) that the proxy admits; `None` admits all.
    pub admission_rate: Option<f64>,
    /// When the proxy retries.
    pub retry_policy: RetryPolicy,
}

/// One part of an update.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UpdatePart {
    /// The classes that it changes, one bit each; 0 for all.
    pub class_mask: u64,
    /// Whether its entries replace the complete table of these classes.
    pub replaces_table: bool,
    /// Servers and their weights; weight 0 removes the entry.
    pub entries: Vec<(ServerId, f64)>,
    /// New admission settings of these classes.
    pub admission: Option<AdmissionSettings>,
    /// Servers ejected from all tables.
    pub ejected: Vec<ServerId>,
    /// Servers readmitted to all tables.
    pub readmitted: Vec<ServerId>,
    /// The token with which the proxy acknowledges the update.
    pub ack_token: Option<u16>,
}

impl UpdatePart {
    /// Whether it changes neither entries nor ejections.
    fn has_no_entries(&self) -> bool {
        !self.replaces_table
            && self.entries.is_empty()
            && self.ejected.is_empty()
            && self.readmitted.is_empty()
    }

    /// The part in chunks of at most [`MAX_ENTRIES_PER_PART`] entries.
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

/// Appends admission settings of some classes to an update: in its last part, if that has the same settings and
/// nothing else, or in a part of their own.
pub(crate) fn push_admission(parts: &mut Vec<UpdatePart>, class_mask: u64, admission: AdmissionSettings) {
    let last = parts.last_mut().filter(|part| part.admission == Some(admission) && part.has_no_entries());
    match last {
        Some(part) => part.class_mask |= class_mask,
        None => parts.push(UpdatePart { class_mask, admission: Some(admission), ..UpdatePart::default() }),
    }
}

/// Some of a part's entries. The first chunk says whether the table is replaced; the last carries everything else.
struct UpdateChunk<'a> {
    part: &'a UpdatePart,
    entries: &'a [(ServerId, f64)],
    is_first: bool,
    is_last: bool,
}

/// The wire's form of a chunk.
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

/// Writes updates as the protocol has them.
#[derive(Debug, Default)]
pub(crate) struct UpdateEncoder {
    class_count: usize,
    /// How "admit all" is written as an admission rate.
    unlimited_rate: f64,
}

impl UpdateEncoder {
    pub(crate) fn new(class_count: usize, unlimited_rate: f64) -> UpdateEncoder {
        UpdateEncoder { class_count: class_count.min(MAX_CLASSES), unlimited_rate }
    }

    pub(crate) fn class_count(&self) -> usize {
        self.class_count
    }

    /// One bit for each class.
    pub(crate) fn all_classes(&self) -> u64 {
        if self.class_count >= MAX_CLASSES {
            u64::MAX
        } else {
            (1 << self.class_count) - 1
        }
    }

    /// The classes of a mask.
    pub(crate) fn classes_in(&self, class_mask: u64) -> impl Iterator<Item = usize> {
        (0..self.class_count).filter(move |class| class_mask >> class & 1 == 1)
    }

    /// The frames of an update.
    ///
    /// A server whose name is no longer known is left out, as are parts beyond the protocol's limit; the controller's
    /// updates come nowhere near either.
    pub(crate) fn encode(&self, parts: &[UpdatePart], names: &NameRegistry) -> Vec<u8> {
        let chunks: Vec<UpdateChunk> = parts.iter().flat_map(UpdatePart::chunks).take(MAX_PARTS).collect();
        let mut frames = Vec::new();
        for (index, chunk) in chunks.iter().enumerate() {
            let has_more_parts = index + 1 < chunks.len();
            let message = self.config_message(chunk, has_more_parts, names);
            // Strings and finite numbers can always be serialized.
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

    /// The names of a mask's classes; `None` where it stands for all classes.
    fn class_names<'a>(&self, class_mask: u64, names: &'a NameRegistry) -> Option<Vec<&'a str>> {
        if class_mask == 0 || class_mask == self.all_classes() {
            return None;
        }
        let class_name = |class| names.classes.name(class).map(String::as_str);
        Some(self.classes_in(class_mask).filter_map(class_name).collect())
    }
}
