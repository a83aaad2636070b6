//! Route tables of a proxy, and how they are read from the datastore that a planner edits.

use runloom_model::table_update::{parse_retry_policy, AdmissionLimit};
use runloom_netconf::tree::Element;
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::fmt;
use std::net::SocketAddr;

/// Weight of each static endpoint.
const EQUAL_WEIGHT: f64 = 1.0;
/// Number of the table of static endpoints.
const STATIC_TABLE_NUMBER: u16 = 0;

/// Why a published table cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableError {
    /// A table's id is missing or not a number.
    InvalidTableId,
    /// An entry's address is missing or cannot be parsed.
    InvalidAddress {
        /// The entry's server.
        server: String,
    },
    /// An entry's weight is missing, or is not a positive finite number.
    InvalidWeight {
        /// The entry's server.
        server: String,
    },
    /// A published entry is malformed.
    MalformedEntry {
        /// The entry's server.
        server: String,
    },
    /// An admission rate is not a number.
    InvalidAdmissionRate,
    /// A published admission limit is malformed.
    MalformedAdmissionLimit {
        /// The limit's class.
        class: String,
    },
    /// The assignment of a class has no valid table number.
    InvalidAssignment,
    /// The table has a key that belongs to another kind of table.
    UnexpectedKey,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            TableError::InvalidTableId => write!(f, "a table's id is not a number"),
            TableError::InvalidAddress { server } => write!(f, "the address of {server} is invalid"),
            TableError::InvalidWeight { server } => write!(f, "the weight of {server} is not positive"),
            TableError::MalformedEntry { server } => write!(f, "the entry of {server} is malformed"),
            TableError::InvalidAdmissionRate => write!(f, "an admission rate is not a number"),
            TableError::MalformedAdmissionLimit { class } => {
                write!(f, "the admission limit of {class} is malformed")
            }
            TableError::InvalidAssignment => write!(f, "the assignment of a class names no table"),
            TableError::UnexpectedKey => write!(f, "the table holds a key of another kind of table"),
        }
    }
}

impl Error for TableError {}

/// One endpoint of a table.
#[derive(Debug, Clone, PartialEq)]
pub struct TableEntry {
    /// The name of the server.
    pub server: String,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// Share of the requests, relative to the weights of the other entries; above 0.
    pub weight: f64,
}

/// One table: the endpoints for the classes that are assigned to it, and the admission limits of these classes.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteTable {
    pub(crate) entries: Vec<TableEntry>,
    /// By class name.
    pub(crate) admission_limits: BTreeMap<String, AdmissionLimit>,
    /// Credit of each entry for weighted round robin, in units of weight.
    pub(crate) credits: Vec<f64>,
}

impl RouteTable {
    pub(crate) fn new(
        entries: Vec<TableEntry>,
        admission_limits: BTreeMap<String, AdmissionLimit>,
    ) -> RouteTable {
        let credits = vec![0.0; entries.len()];
        RouteTable { entries, admission_limits, credits }
    }

    /// Reads `<table>`: its entries and admission limits.
    fn read(element: &Element) -> Result<RouteTable, TableError> {
        let entries = element.named("line").map(|line| read_entry(line));
        let limits = element.named("level").map(|level| read_admission_limit(level));
        Ok(RouteTable::new(entries.collect::<Result<_, _>>()?, limits.collect::<Result<_, _>>()?))
    }
}

/// Reads `<line>`: the address and weight of a server.
fn read_entry(line: &Element) -> Result<TableEntry, TableError> {
    let server = line.text_of("server").unwrap_or_default().to_string();
    let Ok(address) = line.text_of("address").unwrap_or_default().parse() else {
        return Err(TableError::InvalidAddress { server });
    };
    let weight: f64 = line.text_of("weight").and_then(|text| text.parse().ok()).unwrap_or(f64::NAN);
    if !(weight.is_finite() && weight > 0.0) {
        return Err(TableError::InvalidWeight { server });
    }
    Ok(TableEntry { server, address, weight })
}

/// Reads `<level>`: the class, and its limit.
fn read_admission_limit(level: &Element) -> Result<(String, AdmissionLimit), TableError> {
    let class = level.text_of("class").unwrap_or_default().to_string();
    let rate = level.text_of("pace").map(read_admission_rate).transpose()?;
    let retry_policy = parse_retry_policy(level.text_of("further-tries").unwrap_or("none"));
    Ok((class, AdmissionLimit { rate, retry_policy }))
}

/// Reads a rate in requests per second. A rate that is not finite or is negative admits nothing.
fn read_admission_rate(text: &str) -> Result<f64, TableError> {
    let rate: f64 = text.parse().map_err(|_| TableError::InvalidAdmissionRate)?;
    Ok(if rate.is_finite() { rate.max(0.0) } else { 0.0 })
}

/// Reads `<bind>`: the class, and the table that it is assigned to.
fn read_assignment(bind: &Element) -> Result<(String, u16), TableError> {
    let table = bind.text_of("table").and_then(|text| text.parse().ok());
    let class = bind.text_of("class").unwrap_or_default().to_string();
    Ok((class, table.ok_or(TableError::InvalidAssignment)?))
}

/// All route tables of a proxy, with the assignment of classes to tables.
#[derive(Debug, Clone, Default)]
pub struct RouteTables {
    pub(crate) tables: BTreeMap<u16, RouteTable>,
    /// Number of the table that each class, by name, is assigned to.
    pub(crate) assignments: BTreeMap<String, u16>,
    /// Ejected servers: they get no requests, even if a table has an entry of them.
    pub(crate) ejected: BTreeSet<String>,
    pub(crate) from_planner: bool,
}

impl RouteTables {
    /// The tables before a planner publishes any: one table for all classes, with equal weights.
    pub fn from_static_endpoints(classes: &[String], endpoints: &[(String, SocketAddr)]) -> RouteTables {
        let entry = |(server, address): &(String, SocketAddr)| TableEntry {
            server: server.clone(),
            address: *address,
            weight: EQUAL_WEIGHT,
        };
        let table = RouteTable::new(endpoints.iter().map(entry).collect(), BTreeMap::new());
        let assignments = classes.iter().map(|class| (class.clone(), STATIC_TABLE_NUMBER)).collect();
        RouteTables { tables: [(STATIC_TABLE_NUMBER, table)].into(), assignments, ..RouteTables::default() }
    }

    /// Reads the `<tables>` element that a planner wrote. One unusable entry makes all tables unusable.
    pub fn read(element: &Element) -> Result<RouteTables, TableError> {
        let mut tables = BTreeMap::new();
        for table in element.named("table") {
            let id = table.text_of("id").and_then(|text| text.parse().ok());
            tables.insert(id.ok_or(TableError::InvalidTableId)?, RouteTable::read(table)?);
        }
        let assignments = element.named("bind").map(|bind| read_assignment(bind));
        let ejected = element.named("withdrawn").filter_map(|server| server.text_of("server"));
        Ok(RouteTables {
            tables,
            assignments: assignments.collect::<Result<_, _>>()?,
            ejected: ejected.map(str::to_string).collect(),
            from_planner: true,
        })
    }

    /// Whether a planner published these tables; false for static endpoints.
    pub fn is_from_planner(&self) -> bool {
        self.from_planner
    }

    fn table(&self, class: &str) -> Option<&RouteTable> {
        self.tables.get(self.assignments.get(class)?)
    }

    pub(crate) fn table_mut(&mut self, class: &str) -> Option<&mut RouteTable> {
        self.tables.get_mut(self.assignments.get(class)?)
    }

    /// The entries of a class's table, including ejected servers.
    pub(crate) fn entries_with_ejected(&self, class: &str) -> &[TableEntry] {
        self.table(class).map(|table| table.entries.as_slice()).unwrap_or_default()
    }

    pub(crate) fn is_ejected(&self, server: &str) -> bool {
        self.ejected.contains(server)
    }

    /// The entries that requests of a class may be sent to: those of its table, without ejected servers.
    pub fn entries(&self, class: &str) -> Vec<TableEntry> {
        let entries = self.entries_with_ejected(class).iter();
        entries.filter(|entry| !self.is_ejected(&entry.server)).cloned().collect()
    }

    /// The admission limit of a class, if its table has one.
    pub fn admission_limit(&self, class: &str) -> Option<AdmissionLimit> {
        self.table(class)?.admission_limits.get(class).copied()
    }

    /// Whether any table has an entry of this server.
    pub fn contains(&self, server: &str) -> bool {
        let mut entries = self.tables.values().flat_map(|table| &table.entries);
        entries.any(|entry| entry.server == server)
    }
}
