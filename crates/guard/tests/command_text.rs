//! The text of commands in records and logs is stable, so that earlier records can be compared with a replay.

use runloom_controller::{Command, RetryPolicy};
use runloom_guard::command_text::command_text;

#[test]
fn commands_have_the_same_text_as_in_earlier_records() {
    let cases = [
        (Command::SetEntry { table: 1, server: 2, weight: 0.0 }, "Line { table: 1, server: 2, weight: 0.0 }"),
        (Command::ClearTable { table: 3 }, "Clear { table: 3 }"),
        (Command::EjectServer { server: 4, ejected: true }, "Withdraw { server: 4, out: true }"),
        (
            Command::AssignTable { proxy: 5, table: 6, class_mask: 3 },
            "Bind { proxy: 5, table: 6, classes: 3 }",
        ),
        (
            Command::SetAdmission {
                table: 7,
                class: 1,
                admission_rate: Some(2.5),
                retry_policy: RetryPolicy::Never,
            },
            "Level { table: 7, class: 1, level: Some(2.5), tries: None }",
        ),
        (
            Command::SetAdmission {
                table: 7,
                class: 1,
                admission_rate: None,
                retry_policy: RetryPolicy::IfNotExecuted,
            },
            "Level { table: 7, class: 1, level: None, tries: Unrun }",
        ),
    ];
    for (command, text) in cases {
        assert_eq!(command_text(&command), text);
    }
}
