//! The endpoint list from discovery: parses complete lists and changes, and validates each entry on its own.
//!
//! Only this module knows the field names of lists on the wire.

use crate::list_revisions::{ListAge, ListRevisions};
use crate::watch_reader::MalformedWatchData;
use crate::NameRegistry;
use runloom_controller::{EndpointRecord, EndpointUpdate, IdMap, ListedState, ServerId};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum length of an id, zone, kind or address, bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of distinct zones, and of distinct kinds; any further one gets index 0.
const MAX_DISTINCT_NAMES: usize = 256;
/// The weight of an entry without a valid one.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The bytes of the HTTP request that watches the list for changes since a revision; 0 requests the complete list.
pub fn watch_request(host: &str, since_revision: u64) -> Vec<u8> {
    let path = format!("/discovery/hosts?follow=1&since={since_revision}");
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

/// The source of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListSource {
    /// The bootstrap file: the list as held before this start.
    Cache,
    /// The watch of the discovery agent.
    Watch,
}

/// An applied list or line of changes, for the controller.
#[derive(Debug, Clone, PartialEq)]
pub struct ListUpdate {
    /// Whether it is a complete list, changes, or the cached list.
    pub update: EndpointUpdate,
    /// Its records, ordered by server, at most one for each.
    pub records: Vec<EndpointRecord>,
}

/// The fields of a list itself, as opposed to those of its entries.
struct ListHeader<'a> {
    revision: u64,
    is_complete: bool,
    members: &'a [Value],
}

impl ListHeader<'_> {
    fn parse(list: &Value) -> Option<ListHeader<'_>> {
        Some(ListHeader {
            revision: list["revision"].as_u64()?,
            is_complete: list["complete"].as_bool()?,
            members: list["members"].as_array()?,
        })
    }
}

/// The list that this planner holds, with the address of each server.
#[derive(Debug, Default)]
pub struct EndpointList {
    revisions: ListRevisions,
    /// The number of malformed lines and entries received.
    pub malformed: u64,
    addresses: BTreeMap<ServerId, SocketAddr>,
    /// The latest record of each listed server.
    records: BTreeMap<ServerId, EndpointRecord>,
    /// The Unix time, in milliseconds, of the controller's time zero.
    epoch_ms: u64,
}

impl EndpointList {
    /// An empty list. `epoch_ms` is the Unix time, in milliseconds, of the controller's time zero. It lies before the
    /// planner's start, so that earlier starts of servers have a time too.
    pub fn new(epoch_ms: u64) -> EndpointList {
        EndpointList { epoch_ms, ..EndpointList::default() }
    }

    /// The address on which a server listens; `None` if the list gives no valid one.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.addresses.get(&server).copied()
    }

    /// Applies a list or a line of changes; `None` if it is older than the held revision, or consists of changes that
    /// are already held.
    pub fn apply(
        &mut self,
        list: &Value,
        source: ListSource,
        names: &mut NameRegistry,
        now: Duration,
    ) -> Result<Option<ListUpdate>, MalformedWatchData> {
        let header = ListHeader::parse(list).ok_or(MalformedWatchData)?;
        match self.revisions.receive(header.revision, header.is_complete, now) {
            ListAge::Older => return Ok(None),
            ListAge::Held if !header.is_complete && source == ListSource::Watch => return Ok(None),
            ListAge::Held | ListAge::New => {}
        }
        let malformed_before = self.malformed;
        let records = self.parse_members(&header, names);
        let has_malformed_entry = self.malformed > malformed_before;
        match source {
            ListSource::Cache => self.revisions.record_cached(header.revision, has_malformed_entry),
            ListSource::Watch => self.revisions.record_applied(header.revision, has_malformed_entry),
        }
        self.store_records(&records, header.is_complete);
        let update = match source {
            ListSource::Cache => EndpointUpdate::Cached,
            ListSource::Watch if header.is_complete => EndpointUpdate::Snapshot,
            ListSource::Watch => EndpointUpdate::Delta,
        };
        Ok(Some(ListUpdate { update, records: records.into_values().collect() }))
    }

    /// The revision up to which all changes were applied.
    pub fn complete_revision(&self) -> u64 {
        self.revisions.complete()
    }

    /// The revision since which changes have to be requested; 0 requests the complete list.
    pub fn watch_revision(&self) -> u64 {
        self.revisions.watch_from()
    }

    /// Whether the changes since [`EndpointList::watch_revision`] have to be requested again. Resets the flag.
    pub fn take_must_reread(&mut self) -> bool {
        self.revisions.take_must_reread()
    }

    /// Whether a server is on the list as ready or draining.
    pub fn is_listed(&self, server: ServerId) -> bool {
        self.records.contains_key(&server)
    }

    /// Parses the entries of a list. If a server has several entries, the last one counts.
    fn parse_members(
        &mut self,
        header: &ListHeader,
        names: &mut NameRegistry,
    ) -> BTreeMap<ServerId, EndpointRecord> {
        let mut records: BTreeMap<ServerId, EndpointRecord> = BTreeMap::new();
        for member in header.members {
            match self.parse_member(member, names) {
                Ok(Some(record)) => _ = records.insert(record.server, record),
                Ok(None) => {}
                Err(MalformedWatchData) => {
                    self.malformed += 1;
                    // A malformed entry in a complete list does not mean that its server was removed: its last record
                    // is kept.
                    let known = self.known_record(member, names).filter(|_| header.is_complete);
                    if let Some(record) = known {
                        records.entry(record.server).or_insert_with(|| record.clone());
                    }
                }
            }
        }
        records
    }

    fn known_record(&self, member: &Value, names: &NameRegistry) -> Option<&EndpointRecord> {
        let server = names.servers.get(member["id"].as_str()?)?;
        self.records.get(&server)
    }

    fn store_records(&mut self, records: &BTreeMap<ServerId, EndpointRecord>, is_complete: bool) {
        if is_complete {
            self.records.clear();
        }
        self.records.extend(records.iter().map(|(server, record)| (*server, record.clone())));
        self.records.retain(|_, record| record.state != ListedState::Removed);
    }

    /// Counts a line that could not be parsed; an error if it has to be requested again, else it is skipped.
    pub fn note_unreadable_line(&mut self) -> Result<(), MalformedWatchData> {
        self.malformed += 1;
        self.revisions.note_unreadable_line()
    }

    /// Removes a server, since its index may be assigned to another one.
    pub fn release(&mut self, server: ServerId) {
        self.addresses.remove(&server);
        self.records.remove(&server);
    }

    /// Resets the held revision, so that any is accepted, if only older ones have been received for longer than an
    /// agent may lag; returns whether it did.
    #[must_use]
    pub fn reset_outdated_revision(&mut self, read_until: Duration) -> bool {
        self.revisions.reset_outdated(read_until)
    }

    /// When the held revision may next be reset; `None` if the last revision received was not older.
    pub fn next_timeout(&self) -> Option<Duration> {
        self.revisions.next_timeout()
    }

    /// Parses one entry; `None` for the removal of an unknown server.
    fn parse_member(
        &mut self,
        member: &Value,
        names: &mut NameRegistry,
    ) -> Result<Option<EndpointRecord>, MalformedWatchData> {
        let id = text_field(member, "id").ok_or(MalformedWatchData)?;
        let state = match member["phase"].as_str() {
            Some("SERVING") => ListedState::Ready,
            Some("DRAINING") => ListedState::Draining,
            Some("DELETED") => ListedState::Removed,
            _ => return Err(MalformedWatchData),
        };
        if state == ListedState::Removed && names.servers.get(id).is_none() {
            return Ok(None);
        }
        let server = names.servers.index(id.to_string());
        self.update_address(server, state, member);
        let weight = member["size"].as_f64().filter(|weight| weight.is_finite() && *weight > 0.0);
        Ok(Some(EndpointRecord {
            server,
            zone: bounded_index(&mut names.zones, text_field(member, "locality")),
            kind: bounded_index(&mut names.kinds, text_field(member, "flavor")),
            cell: member["cell"].as_u64().unwrap_or(0),
            state,
            weight: weight.unwrap_or(DEFAULT_WEIGHT),
            started: self.start_time(member),
        }))
    }

    /// Updates the address of a server, which may change between lists. Without a valid one, health checks of a listed
    /// server are skipped.
    fn update_address(&mut self, server: ServerId, state: ListedState, member: &Value) {
        match text_field(member, "host_port").and_then(|address| address.parse().ok()) {
            Some(address) => _ = self.addresses.insert(server, address),
            None if state == ListedState::Removed => {}
            None => _ = self.addresses.remove(&server),
        }
    }

    /// When a server started, on the controller's clock; `None` if that is unknown or not after the clock's zero.
    fn start_time(&self, member: &Value) -> Option<Duration> {
        let unix_ms = member["up_since_ms"].as_f64().filter(|ms| *ms > 0.0)?;
        let started = Duration::try_from_secs_f64((unix_ms - self.epoch_ms as f64) / 1000.0).ok()?;
        Some(started).filter(|started| !started.is_zero())
    }

    #[cfg(test)]
    pub(crate) fn address_count(&self) -> usize {
        self.addresses.len()
    }
}

fn text_field<'a>(member: &'a Value, field: &str) -> Option<&'a str> {
    member[field].as_str().filter(|text| !text.is_empty() && text.len() <= MAX_NAME_BYTES)
}

fn bounded_index(ids: &mut IdMap<String>, name: Option<&str>) -> usize {
    let name = name.unwrap_or_default();
    if let Some(index) = ids.get(name) {
        return index;
    }
    if ids.iter().count() < MAX_DISTINCT_NAMES {
        ids.index(name.into())
    } else {
        0
    }
}
