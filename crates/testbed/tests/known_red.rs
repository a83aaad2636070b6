//! The CI check that ignores the failures of listed tests, and no other failures.

use std::path::PathBuf;
use std::process::Command;

const ONE_FAILED: &str = "test a::b ... ok\ntest a::c ... FAILED\n\nfailures:\n    a::c\n\n\
    test result: FAILED. 1 passed; 1 failed\nerror: 1 target failed:\n    `-p runloom --lib`\n";

/// Whether the check passes a test run, and what it prints.
#[derive(Debug, PartialEq)]
struct CheckResult {
    passes: bool,
    output: String,
}

/// Runs the check on the log and the exit code of a test run, with a list of known failures if one is given.
fn check(name: &str, log: &str, exit_code: i32, list: Option<&str>) -> CheckResult {
    let folder = std::env::temp_dir().join(format!("runloom-known-red-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (log_file, list_file) = (folder.join("log"), folder.join("list"));
    std::fs::write(&log_file, log).unwrap();
    if let Some(list) = list {
        std::fs::write(&list_file, list).unwrap();
    }
    let script = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let run = Command::new(script).arg(log_file).arg(exit_code.to_string()).arg(list_file).output().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(run.stderr.is_empty(), "{}", String::from_utf8_lossy(&run.stderr));
    CheckResult { passes: run.status.success(), output: String::from_utf8(run.stdout).unwrap() }
}

#[test]
fn a_run_passes_if_nothing_failed_or_every_failure_is_listed_and_printed() {
    // Given
    let list = Some("a::c | a cut drain | issue 24");

    // When
    let clean = check("clean", "test a::b ... ok\n", 0, None);
    let listed = check("listed", ONE_FAILED, 101, list);
    let fixed = check("mended", "test a::c ... ok\n", 0, list);

    // Then
    assert_eq!(clean, CheckResult { passes: true, output: String::new() });
    assert!(listed.passes && listed.output.contains("a::c: failed, as is known"), "{listed:?}");
    assert!(fixed.passes && fixed.output.contains("a::c: passed"), "{fixed:?}");
}

#[test]
fn a_run_fails_if_a_failure_is_not_listed_or_belongs_to_no_test() {
    // Given
    let other_test = Some("a::b | a cut drain | issue 24\n");
    let failed_test = Some("a::c | a cut drain | issue 24");
    let killed_log = format!("{ONE_FAILED}    `-p runloom-turn --lib`\n");

    // When
    let without_list = check("none", ONE_FAILED, 101, None);
    let unlisted = check("other", ONE_FAILED, 101, other_test);
    let build_failure = check("build", "error: could not compile\n", 101, None);
    let killed_target = check("killed", &killed_log, 101, failed_test);

    // Then
    assert!(!without_list.passes);
    assert!(!unlisted.passes && unlisted.output.contains("a::c: failed, and is not listed"), "{unlisted:?}");
    assert!(!build_failure.passes);
    assert!(!killed_target.passes);
}

#[test]
fn a_list_that_is_too_long_or_incomplete_fails_even_if_all_tests_passed() {
    // Given
    let log = "test a ... ok\ntest b ... ok\ntest c ... ok\ntest d ... ok\n";
    let line = |test: &str| format!("{test} | cause | issue 7\n");
    let invalid_lists = [
        ["a", "b", "c", "d"].map(line).concat(),
        line("a").repeat(2),
        line("e"),
        "a | | issue 7\n".into(),
        "a | cause |\n".into(),
        "a | cause | soon\n".into(),
        " | cause | issue 7\n".into(),
        "a\n".into(),
        String::new(),
    ];

    // When
    let longest_valid = check("three", log, 0, Some(&["a", "b", "c"].map(line).concat()));

    // Then
    assert!(longest_valid.passes);
    for (number, list) in invalid_lists.iter().enumerate() {
        assert!(!check(&format!("bad-{number}"), log, 0, Some(list)).passes, "{list}");
    }
}
