//! The endpoint list as discovery gives it: complete lists and changes, validated entry by entry.
//!
//! This module is the only one that knows the wire's field names of lists.

use crate::list_revisions::{ListAge, ListRevisions};
use crate::watch_reader::MalformedWatchData;
use crate::NameRegistry;
use runloom_controller::{EndpointRecord, EndpointUpdate, IdMap, ListedState, ServerId};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest id, zone, kind or address, bytes.
const MAX_NAME_BYTES: usize = 128;
/// Zones, and kinds, that are told apart; further ones count as the first.
const MAX_DISTINCT_NAMES: usize = 256;
/// The weight of an entry that gives none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The bytes of the request that watches the list from a revision on.
pub fn watch_request(host: &str, since_revision: u64) -> Vec<u8> {
    let path = format!("/discovery/hosts?follow=1&since={since_revision}");
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

/// Where a list comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListSource {
    /// The bootstrap file: as held before this start.
    Cache,
    /// The watch.
    Watch,
}

/// What a list or a line of changes says that is new.
#[derive(Debug, Clone, PartialEq)]
pub struct ListUpdate {
    /// How it was obtained.
    pub update: EndpointUpdate,
    /// Its records, by server.
    pub records: Vec<EndpointRecord>,
}

/// A list's own fields.
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

/// The list as this planner holds it.
#[derive(Debug, Default)]
pub struct EndpointList {
    revisions: ListRevisions,
    /// Lines and entries that could not be used.
    pub malformed: u64,
    addresses: BTreeMap<ServerId, SocketAddr>,
    /// The last record of each server that is listed.
    records: BTreeMap<ServerId, EndpointRecord>,
    /// The controller's time zero in Unix time, milliseconds.
    epoch_ms: u64,
}

impl EndpointList {
    /// An empty list. `epoch_ms` is the controller's time zero in Unix time, milliseconds; it lies before this start,
    /// as the starts of servers do.
    pub fn new(epoch_ms: u64) -> EndpointList {
        EndpointList { epoch_ms, ..EndpointList::default() }
    }

    /// Where a server listens.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.addresses.get(&server).copied()
    }

    /// Applies a list or a line of changes; `None` where it says nothing new.
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
            ListSource::Cache => self.revisions.accept_cached(header.revision, has_malformed_entry),
            ListSource::Watch => self.revisions.accept(header.revision, has_malformed_entry),
        }
        self.store_records(&records, header.is_complete);
        let update = match source {
            ListSource::Cache => EndpointUpdate::Cached,
            ListSource::Watch if header.is_complete => EndpointUpdate::Snapshot,
            ListSource::Watch => EndpointUpdate::Delta,
        };
        Ok(Some(ListUpdate { update, records: records.into_values().collect() }))
    }

    /// The revision up to which all changes are held.
    pub fn complete_revision(&self) -> u64 {
        self.revisions.complete()
    }

    /// The revision from which on changes are to be asked for; 0 for the complete list.
    pub fn watch_revision(&self) -> u64 {
        self.revisions.watch_from()
    }

    /// Whether the changes since [`EndpointList::watch_revision`] are to be asked for again; true once.
    pub fn take_must_reread(&mut self) -> bool {
        self.revisions.take_must_reread()
    }

    /// Whether a server is on the list.
    pub fn is_listed(&self, server: ServerId) -> bool {
        self.records.contains_key(&server)
    }

    /// The records of a list. Of several entries of one server the last holds.
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
                    // A complete list that mentions a server, however badly, does not say that it is gone.
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

    /// Notes a line that could not be read: an error while it is to be asked for again.
    pub fn note_unreadable_line(&mut self) -> Result<(), MalformedWatchData> {
        self.malformed += 1;
        self.revisions.note_unreadable_line()
    }

    /// Forgets a server whose index may be assigned again.
    pub fn release(&mut self, server: ServerId) {
        self.addresses.remove(&server);
        self.records.remove(&server);
    }

    /// Accepts any revision from now on if only older ones have been received for longer than an agent may lag;
    /// returns whether it did.
    #[must_use]
    pub fn reset_outdated_revision(&mut self, read_until: Duration) -> bool {
        self.revisions.reset_outdated(read_until)
    }

    /// When the revision may be reset.
    pub fn next_timeout(&self) -> Option<Duration> {
        self.revisions.next_timeout()
    }

    /// The record of one entry; `None` for the removal of a server that is not known.
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

    /// An address may change between lists; without one, a listed server cannot be checked.
    fn update_address(&mut self, server: ServerId, state: ListedState, member: &Value) {
        match text_field(member, "host_port").and_then(|address| address.parse().ok()) {
            Some(address) => _ = self.addresses.insert(server, address),
            None if state == ListedState::Removed => {}
            None => _ = self.addresses.remove(&server),
        }
    }

    /// When a server started, on the controller's clock; `None` for a start before its zero.
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
