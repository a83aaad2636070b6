//! The tables as a proxy holds them: read from the datastore that the planner edits.

use runloom_model::order::{tries, AdmissionLimit};
use runloom_netconf::tree::Element;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How a line is picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionMethod {
    /// At random by weight.
    Chance,
    /// Evenly by weight, one after the other.
    Turns,
    /// Of two drawn at random by weight, the one with fewer own queries out.
    LessBusy,
}

impl SelectionMethod {
    pub fn named(word: &str) -> SelectionMethod {
        match word {
            "turns" => SelectionMethod::Turns,
            "less-busy" => SelectionMethod::LessBusy,
            _ => SelectionMethod::Chance,
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct TableEntry {
    pub server: String,
    pub address: SocketAddr,
    pub weight: f64,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    pub(crate) lines: Vec<TableEntry>,
    pub(crate) levels: BTreeMap<String, AdmissionLimit>,
    /// For turns: what each line has saved up.
    pub(crate) credit: Vec<f64>,
}

/// All that a proxy holds.
#[derive(Debug, Clone, Default)]
pub struct HeldTables {
    pub(crate) tables: BTreeMap<u16, Table>,
    pub(crate) binds: BTreeMap<String, u16>,
    pub(crate) withdrawn: BTreeSet<String>,
    /// It was ordered by a planner.
    pub ordered: bool,
}

impl HeldTables {
    /// What it starts with: one table of even lines for all classes.
    pub fn standing(classes: &[String], lines: &[(String, SocketAddr)]) -> HeldTables {
        let line = |(server, address): &(String, SocketAddr)| TableEntry {
            server: server.clone(),
            address: *address,
            weight: 1.0,
        };
        let lines: Vec<TableEntry> = lines.iter().map(line).collect();
        let table = Table { credit: vec![0.0; lines.len()], lines, ..Table::default() };
        let binds = classes.iter().map(|c| (c.clone(), 0)).collect();
        HeldTables { tables: [(0, table)].into(), binds, ..HeldTables::default() }
    }

    /// Reads `<tables>`. An edit is whole or refused: the error names what cannot be used.
    pub fn read(tables: &Element) -> Result<HeldTables, String> {
        let mut held = HeldTables { ordered: true, ..HeldTables::default() };
        for e in tables.named("table") {
            let id = e.text_of("id").and_then(|t| t.parse().ok()).ok_or("a table's id is no number")?;
            let mut table = Table::default();
            for l in e.named("line") {
                let server = l.text_of("server").unwrap_or_default().to_string();
                let weight: f64 = l.text_of("weight").and_then(|w| w.parse().ok()).unwrap_or(f64::NAN);
                let address = l.text_of("address").unwrap_or_default().parse();
                let address = address.map_err(|_| format!("the address of {server} cannot be used"))?;
                if !(weight.is_finite() && weight > 0.0) {
                    return Err(format!("the weight of {server} is no positive number"));
                }
                table.lines.push(TableEntry { server, address, weight });
            }
            for l in e.named("level") {
                let pace = l.text_of("pace").map(|p| p.parse::<f64>().map_err(|_| "a pace is no number"));
                let pace = pace.transpose()?.map(|p| if p.is_finite() { p.max(0.0) } else { 0.0 });
                let level = (pace, tries(l.text_of("further-tries").unwrap_or("none")));
                table.levels.insert(l.text_of("class").unwrap_or_default().to_string(), level);
            }
            table.credit = vec![0.0; table.lines.len()];
            held.tables.insert(id, table);
        }
        for b in tables.named("bind") {
            let table = b.text_of("table").and_then(|t| t.parse().ok()).ok_or("a bind names no table")?;
            held.binds.insert(b.text_of("class").unwrap_or_default().to_string(), table);
        }
        let out = tables.named("withdrawn").filter_map(|w| w.text_of("server").map(str::to_string));
        held.withdrawn = out.collect();
        Ok(held)
    }

    fn table(&self, class: &str) -> Option<&Table> {
        self.tables.get(self.binds.get(class)?)
    }

    /// The lines for a class, withdrawn servers left out.
    pub fn lines(&self, class: &str) -> Vec<TableEntry> {
        let lines = self.table(class).map(|t| t.lines.as_slice()).unwrap_or_default();
        lines.iter().filter(|l| !self.withdrawn.contains(&l.server)).cloned().collect()
    }

    pub fn level(&self, class: &str) -> Option<AdmissionLimit> {
        self.table(class)?.levels.get(class).copied()
    }

    pub fn names(&self, server: &str) -> bool {
        self.tables.values().any(|t| t.lines.iter().any(|l| l.server == server))
    }

    /// The next in turn among the open ones of [`HeldTables::lines`]: each saves its weight up, the richest pays.
    pub fn turn(&mut self, class: &str, open: &[usize]) -> Option<(String, SocketAddr)> {
        let withdrawn = &self.withdrawn;
        let table = self.tables.get_mut(self.binds.get(class)?)?;
        let kept: Vec<usize> =
            (0..table.lines.len()).filter(|k| !withdrawn.contains(&table.lines[*k].server)).collect();
        let open: Vec<usize> = open.iter().filter_map(|k| kept.get(*k).copied()).collect();
        let all: f64 = open.iter().map(|k| table.lines[*k].weight).sum();
        for k in &open {
            table.credit[*k] += table.lines[*k].weight;
        }
        let found = open.into_iter().max_by(|a, b| table.credit[*a].total_cmp(&table.credit[*b]))?;
        table.credit[found] -= all;
        Some((table.lines[found].server.clone(), table.lines[found].address))
    }
}
