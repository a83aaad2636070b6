//! Value checks: weights and admission rates that no table may hold.

use crate::rejection::{Rejection, RejectionReason};
use runloom_controller::{Command, TableId};

/// Largest weight of an entry: listed weights are at most 1,000, and zones and speeds multiply them by a few
/// hundred.
const MAX_WEIGHT: f64 = 1e9;
/// Smallest admission rate, in requests per second: one in ten minutes. Less leaves a class without service
/// (rule 1).
const MIN_ADMISSION_RATE: f64 = 1.0 / 600.0;

/// Rejects a weight or admission rate that is not a number, out of range or too low.
pub(super) fn check(command: &Command) -> Option<Rejection> {
    match command {
        Command::SetEntry { table, weight, .. } if !is_usable_weight(*weight) => {
            Some(rejection(RejectionReason::Malformed, command, *table))
        }
        Command::SetAdmission { table, admission_rate: Some(rate), .. } if !rate.is_finite() => {
            Some(rejection(RejectionReason::Malformed, command, *table))
        }
        Command::SetAdmission { table, admission_rate: Some(rate), .. } if *rate < MIN_ADMISSION_RATE => {
            Some(rejection(RejectionReason::AdmissionRateTooLow, command, *table))
        }
        _ => None,
    }
}

fn is_usable_weight(weight: f64) -> bool {
    (0.0..=MAX_WEIGHT).contains(&weight)
}

fn rejection(reason: RejectionReason, command: &Command, table: TableId) -> Rejection {
    Rejection::new(reason, command, table, &[], std::iter::empty())
}
