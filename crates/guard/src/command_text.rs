//! The text of commands in logs and records.

use runloom_controller::{Command, RetryPolicy};

/// Formats a command for logs and records. The text is stable, since a replay compares its own with the record's.
pub fn command_text(command: &Command) -> String {
    match command {
        Command::SetEntry { table, server, weight } => {
            format!("Line {{ table: {table}, server: {server}, weight: {weight:?} }}")
        }
        Command::ClearTable { table } => format!("Clear {{ table: {table} }}"),
        Command::EjectServer { server, ejected } => {
            format!("Withdraw {{ server: {server}, out: {ejected} }}")
        }
        Command::AssignTable { proxy, table, class_mask } => {
            format!("Bind {{ proxy: {proxy}, table: {table}, classes: {class_mask} }}")
        }
        Command::SetAdmission { table, class, admission_rate, retry_policy } => {
            let tries = retry_policy_text(*retry_policy);
            format!("Level {{ table: {table}, class: {class}, level: {admission_rate:?}, tries: {tries} }}")
        }
        // The guard never rejects the other commands.
        other => format!("{other:?}"),
    }
}

fn retry_policy_text(policy: RetryPolicy) -> &'static str {
    match policy {
        RetryPolicy::Never => "None",
        RetryPolicy::IfNotExecuted => "Unrun",
        RetryPolicy::Once => "One",
        RetryPolicy::Twice => "Two",
    }
}
