//! Text form of table entries and admission limits, for transports that publish tables as keys and values.

use crate::table_update::{format_retry_policy, parse_known_retry_policy, AdmissionLimit};

/// Stands for the rate of a limit that admits all requests.
const NO_LIMIT: &str = "-";

/// Writes an entry as `ADDRESS WEIGHT`.
pub fn format_entry(address: &str, weight: f64) -> String {
    format!("{address} {weight}")
}

/// Parses what [`format_entry`] wrote; `None` unless the weight is finite and above 0.
pub fn parse_entry(text: &str) -> Option<(&str, f64)> {
    let (address, weight) = text.split_once(' ')?;
    let weight = weight.parse().ok().filter(|weight: &f64| weight.is_finite() && *weight > 0.0)?;
    Some((address, weight))
}

/// Writes an admission limit as `RATE RETRY-POLICY`, with `-` for no rate limit.
pub fn format_admission_limit(limit: &AdmissionLimit) -> String {
    let retry_policy = format_retry_policy(limit.retry_policy);
    match limit.rate {
        Some(rate) => format!("{rate} {retry_policy}"),
        None => format!("{NO_LIMIT} {retry_policy}"),
    }
}

/// Parses what [`format_admission_limit`] wrote; `None` unless the rate is finite and not negative, and the retry
/// policy is known.
pub fn parse_admission_limit(text: &str) -> Option<AdmissionLimit> {
    let (rate, retry_policy) = text.split_once(' ')?;
    let rate = match rate {
        NO_LIMIT => None,
        rate => Some(rate.parse().ok().filter(|rate: &f64| rate.is_finite() && *rate >= 0.0)?),
    };
    Some(AdmissionLimit { rate, retry_policy: parse_known_retry_policy(retry_policy)? })
}
