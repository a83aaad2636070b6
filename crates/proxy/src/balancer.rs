//! Load balancing: how an endpoint is selected among the candidates of a route table.

use crate::route_tables::{RouteTable, TableEntry};
use nanorand::{Rng, WyRand};

/// How an endpoint is selected among the candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionMethod {
    /// At random, in proportion to weight.
    WeightedRandom,
    /// In rotation, in proportion to weight.
    RoundRobin,
    /// Two endpoints are drawn at random by weight, and the one with fewer of this proxy's requests in flight is
    /// selected.
    LeastRequestsOfTwo,
}

impl SelectionMethod {
    /// Parses a method's name in the settings. Unknown names, which the schema does not admit, select at random.
    pub fn from_settings(name: &str) -> SelectionMethod {
        match name {
            "turns" => SelectionMethod::RoundRobin,
            "less-busy" => SelectionMethod::LeastRequestsOfTwo,
            _ => SelectionMethod::WeightedRandom,
        }
    }
}

/// Draws one of `candidates` (indexes of `entries`) at random, in proportion to weight.
pub(crate) fn draw_weighted(entries: &[TableEntry], candidates: &[usize], rng: &mut WyRand) -> Option<usize> {
    let total_weight: f64 = candidates.iter().map(|index| entries[*index].weight).sum();
    let mut remaining = random_fraction(rng) * total_weight;
    for index in candidates {
        remaining -= entries[*index].weight;
        if remaining < 0.0 {
            return Some(*index);
        }
    }
    // Rounding may leave a remainder after the last candidate.
    candidates.last().copied()
}

/// Returns a random number in [0, 1), with the 53 bits of precision of an `f64`.
fn random_fraction(rng: &mut WyRand) -> f64 {
    (rng.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
}

impl RouteTable {
    /// Selects one of `candidates` (indexes of entries) by smooth weighted round robin: each candidate's credit rises
    /// by its weight, and the one with the most credit is selected and loses the total weight in credit.
    pub(crate) fn select_round_robin(&mut self, candidates: &[usize]) -> Option<usize> {
        let total_weight: f64 = candidates.iter().map(|index| self.entries[*index].weight).sum();
        for index in candidates {
            self.credits[*index] += self.entries[*index].weight;
        }
        let by_credit = |a: &usize, b: &usize| self.credits[*a].total_cmp(&self.credits[*b]);
        let selected = candidates.iter().copied().max_by(by_credit)?;
        self.credits[selected] -= total_weight;
        Some(selected)
    }
}
