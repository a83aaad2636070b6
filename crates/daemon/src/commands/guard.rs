//! `runloom guard explain`: checks a rejection of a planner's log again, step by step.

use super::error::{file_error, CommandError};
use runloom_guard::{replay_case, RejectionCase, RejectionCaseEntry};
use std::path::Path;

#[cfg(test)]
mod tests;

/// Where a case begins in the log.
const CASE_START: &str = "{\"reason\"";
/// The path that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// The rejection cases in a log. They are JSON; in a JSON log, JSON within a string.
fn rejection_cases(log: &str) -> Vec<RejectionCase> {
    log.lines().filter_map(rejection_case).collect()
}

fn rejection_case(line: &str) -> Option<RejectionCase> {
    let unescaped = line.replace("\\\"", "\"");
    let start = unescaped.find(CASE_START)?;
    let mut cases = serde_json::Deserializer::from_str(&unescaped[start..]).into_iter::<RejectionCase>();
    cases.next()?.ok()
}

fn read_log(log: &Path) -> Result<String, CommandError> {
    let text = if log == Path::new(STANDARD_INPUT) {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(log)
    };
    text.map_err(file_error(log))
}

/// Prints one rejection of a log: by its number from 1, or the last.
pub fn explain(log: &Path, number: Option<usize>) -> Result<(), CommandError> {
    let cases = rejection_cases(&read_log(log)?);
    let index = number.unwrap_or(cases.len()).checked_sub(1);
    let case = index.and_then(|index| cases.get(index));
    let case = case.ok_or(CommandError::NoSuchRejection { count: cases.len() })?;
    println!("refused: {} ({})", case.command, case.reason);
    println!(
        "table {}, {:.1} queries/s on it; a unit of weight is known to take {:.2}",
        case.table, case.request_rate, case.capacity_per_weight
    );
    case.entries.iter().for_each(print_entry);
    print_verdict(case);
    Ok(())
}

fn print_entry(entry: &RejectionCaseEntry) {
    let state = if entry.is_open { "open" } else { "not open" };
    let age = entry.age_seconds.map_or("warm".into(), |seconds| format!("{seconds:.1} s old"));
    println!(
        "  server {}: weight {}, {state}, listed at {}, {age}",
        entry.server, entry.weight, entry.configured_weight
    );
}

/// Checks the case again, and prints the result.
fn print_verdict(case: &RejectionCase) {
    let server = |server: usize| format!("server {server}");
    let proxy = |proxy: usize| format!("proxy {proxy}");
    match replay_case(case) {
        Some(rejection) => {
            println!("judged anew: {}", rejection.describe(&server, &proxy));
            println!("safe: {}", rejection.suggest_safe_change(&server));
        }
        None => println!(
            "judged anew on this table alone it would pass: other tables or orders of the batch weighed in"
        ),
    }
}
