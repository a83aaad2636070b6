//! `runloom guard explain`: checks a rejection from a planner's log again, and prints what it was based on.

use super::error::{file_error, CommandError};
use runloom_guard::{replay_case, RejectionCase, RejectionCaseEntry};
use std::path::Path;

#[cfg(test)]
mod tests;

/// Start of a rejection case in a line of the log.
const CASE_START: &str = "{\"reason\"";
/// The path that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// The rejection cases in a log: plain JSON in a text log, JSON escaped within a string in a JSON log.
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

/// Prints one rejection of a log: the one with the number, from 1, or the last.
pub fn explain(log: &Path, number: Option<usize>) -> Result<(), CommandError> {
    let cases = rejection_cases(&read_log(log)?);
    let index = number.unwrap_or(cases.len()).checked_sub(1);
    let case = index.and_then(|index| cases.get(index));
    let case = case.ok_or(CommandError::NoSuchRejection { count: cases.len() })?;
    println!("rejected: {} ({})", case.command, case.reason);
    println!(
        "table {}: {:.1} queries/s; known capacity per unit of weight: {:.2} queries/s",
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

/// Checks the case again, and prints whether it is rejected again.
fn print_verdict(case: &RejectionCase) {
    let server = |server: usize| format!("server {server}");
    let proxy = |proxy: usize| format!("proxy {proxy}");
    match replay_case(case) {
        Some(rejection) => {
            println!("checked again: {}", rejection.describe(&server, &proxy));
            println!("safe change: {}", rejection.suggest_safe_change(&server));
        }
        None => println!(
            "checked again: accepted on this table alone; other tables or commands of the batch caused the rejection"
        ),
    }
}
