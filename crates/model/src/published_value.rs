//! Entries and admission limits as one text each, for transports that publish tables by key.

use crate::table_update::{known_retry_policy, retry_policy_word, AdmissionLimit};

/// The text in place of a rate that admits all requests.
const NO_LIMIT: &str = "-";

/// An entry as text: address and weight.
pub fn format_entry(address: &str, weight: f64) -> String {
    format!("{address} {weight}")
}

/// Reads what [`format_entry`] wrote; `None` unless the weight is finite and above 0.
pub fn parse_entry(text: &str) -> Option<(&str, f64)> {
    let (address, weight) = text.split_once(' ')?;
    let weight = weight.parse().ok().filter(|weight: &f64| weight.is_finite() && *weight > 0.0)?;
    Some((address, weight))
}

/// An admission limit as text: rate and retry policy.
pub fn format_admission_limit(limit: &AdmissionLimit) -> String {
    let retry_policy = retry_policy_word(limit.retry_policy);
    match limit.rate {
        Some(rate) => format!("{rate} {retry_policy}"),
        None => format!("{NO_LIMIT} {retry_policy}"),
    }
}

/// Reads what [`format_admission_limit`] wrote; `None` unless the rate is finite and not negative.
pub fn parse_admission_limit(text: &str) -> Option<AdmissionLimit> {
    let (rate, retry_policy) = text.split_once(' ')?;
    let rate = match rate {
        NO_LIMIT => None,
        rate => Some(rate.parse().ok().filter(|rate: &f64| rate.is_finite() && *rate >= 0.0)?),
    };
    Some(AdmissionLimit { rate, retry_policy: known_retry_policy(retry_policy)? })
}
