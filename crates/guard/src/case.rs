//! All that one verdict went by, small enough for a log line, so that it can be judged again.

use crate::refusal::{Rejection, RejectionReason};
use crate::{GuardConfig, SafetyGuard};
use runloom_controller::{Command, ListedState};
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RejectionCaseEntry {
    pub server: usize,
    pub weight: f64,
    pub open: bool,
    pub listed: f64,
    /// Age, seconds; none: warm.
    pub age: Option<f64>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RejectionCase {
    pub reason: String,
    pub table: u16,
    pub lines: Vec<RejectionCaseEntry>,
    /// Queries a second on the table.
    pub rate: f64,
    pub can: f64,
    pub classes: usize,
    pub planners: f64,
    pub cold_from: f64,
    pub warm_after: f64,
    pub multiple: f64,
    pub only_drains_bind: bool,
    /// The order: server and weight of a line; none for what is no line.
    pub line: Option<(usize, f64)>,
    pub what: String,
}

impl RejectionCase {
    pub(crate) fn of(guard: &SafetyGuard, now: Duration, refusal: &Rejection) -> RejectionCase {
        let watched = guard.tables.get(&refusal.table);
        let mut lines = guard.lines(refusal.table);
        let line = match &refusal.order {
            Command::SetEntry { server, weight, .. } => Some((*server, *weight)),
            _ => None,
        };
        if let Some((server, _)) = line {
            lines.entry(server).or_insert(0.0);
        }
        let line_of = |(server, weight): (&usize, &f64)| {
            let known = guard.servers.get(*server).cloned().unwrap_or_default();
            RejectionCaseEntry {
                server: *server,
                weight: *weight,
                open: guard.open(*server) && !guard.withdrawn.contains(server),
                listed: known.weight,
                age: known.started.map(|s| now.saturating_sub(s).as_secs_f64()),
            }
        };
        let rate: f64 = watched.map_or(0.0, |w| w.load_of_all());
        RejectionCase {
            reason: refusal.reason.word().into(),
            table: refusal.table,
            lines: lines.iter().map(line_of).collect(),
            rate,
            can: guard.reckoned_can().unwrap_or(0.0),
            classes: guard.terms.classes,
            planners: guard.terms.planners,
            cold_from: guard.terms.cold_from,
            warm_after: guard.terms.warm_after.as_secs_f64(),
            multiple: guard.terms.multiple,
            only_drains_bind: guard.terms.only_drains_bind,
            line,
            what: crate::command_text::command_text(&refusal.order),
        }
    }

    /// Judges the case anew, on a guard that knows no more than it holds: the refusal, if it is refused again.
    pub fn replay(&self) -> Option<Rejection> {
        let warm_after = Duration::from_secs_f64(self.warm_after.clamp(0.001, 1e6));
        let mut guard = SafetyGuard::new(GuardConfig {
            classes: self.classes.max(1),
            planners: self.planners,
            cold_from: self.cold_from,
            warm_after,
            multiple: self.multiple,
            only_drains_bind: self.only_drains_bind,
        });
        // Far enough on the clock that every age fits.
        let now = Duration::from_secs(10_000_000);
        let mut first = Vec::new();
        for line in &self.lines {
            let mode = if line.open { ListedState::Ready } else { ListedState::Draining };
            let age = line.age.map(|a| now.saturating_sub(Duration::from_secs_f64(a.clamp(0.0, 1e6))));
            guard.listed(line.server, mode, line.listed, age);
            if line.weight > 0.0 {
                first.push(Command::SetEntry { table: self.table, server: line.server, weight: line.weight });
            }
        }
        guard.can = self.can;
        guard.joined(0, self.rate);
        // What stood is taken as it was, judged or not.
        let lines = first.into_iter().filter_map(|o| match o {
            Command::SetEntry { server, weight, .. } => Some((server, weight)),
            _ => None,
        });
        guard.tables.entry(self.table).or_default().version(lines.collect(), &Default::default());
        guard.bind(0, self.table, 0);
        let order = match (self.line, self.reason.as_str()) {
            (Some((server, weight)), _) => Command::SetEntry { table: self.table, server, weight },
            _ => Command::ClearTable { table: self.table },
        };
        guard.judge(now, vec![order]);
        guard.kept.pop_back()
    }

    /// The reason, as a word that the log has.
    pub fn is(&self, reason: RejectionReason) -> bool {
        self.reason == reason.word()
    }
}
