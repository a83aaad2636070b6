//! The check that CI lets known failures pass by, and nothing else.

use std::path::PathBuf;
use std::process::Command;

const ONE_FAILED: &str = "test a::b ... ok\ntest a::c ... FAILED\n\nfailures:\n    a::c\n\n\
    test result: FAILED. 1 passed; 1 failed\nerror: 1 target failed:\n    `-p runloom --lib`\n";

/// What the check says of a run, and whether it passes.
fn check(name: &str, log: &str, code: i32, list: Option<&str>) -> (bool, String) {
    let folder = std::env::temp_dir().join(format!("runloom-known-red-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (log_file, list_file) = (folder.join("log"), folder.join("list"));
    std::fs::write(&log_file, log).unwrap();
    if let Some(list) = list {
        std::fs::write(&list_file, list).unwrap();
    }
    let script = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let run = Command::new(script).arg(log_file).arg(code.to_string()).arg(list_file).output().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(run.stderr.is_empty(), "{}", String::from_utf8_lossy(&run.stderr));
    (run.status.success(), String::from_utf8(run.stdout).unwrap())
}

#[test]
fn a_run_passes_where_nothing_failed_or_all_that_failed_is_listed_and_told() {
    assert_eq!(check("clean", "test a::b ... ok\n", 0, None), (true, String::new()));
    let (passes, said) = check("listed", ONE_FAILED, 101, Some("a::c | a cut drain | issue 24\n"));
    assert!(passes && said.contains("a::c: failed, as is known"), "{said}");
    let (passes, said) = check("mended", "test a::c ... ok\n", 0, Some("a::c | a cut drain | issue 24"));
    assert!(passes && said.contains("a::c: passed"), "{said}");
}

#[test]
fn a_failure_that_is_not_listed_or_has_no_test_fails() {
    let list = Some("a::b | a cut drain | issue 24\n");
    assert!(!check("none", ONE_FAILED, 101, None).0);
    let (passes, said) = check("other", ONE_FAILED, 101, list);
    assert!(!passes && said.contains("a::c: failed, and is not listed"), "{said}");
    // It did not build; a part of it was killed amid its tests.
    assert!(!check("build", "error: could not compile\n", 101, None).0);
    let killed = format!("{ONE_FAILED}    `-p runloom-turn --lib`\n");
    assert!(!check("killed", &killed, 101, Some("a::c | a cut drain | issue 24")).0);
}

#[test]
fn a_list_that_is_too_long_or_says_too_little_fails_even_where_all_passed() {
    let log = "test a ... ok\ntest b ... ok\ntest c ... ok\ntest d ... ok\n";
    let line = |test: &str| format!("{test} | cause | issue 7\n");
    assert!(check("three", log, 0, Some(&["a", "b", "c"].map(line).concat())).0);
    let lists = [
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
    for (k, list) in lists.iter().enumerate() {
        assert!(!check(&format!("bad-{k}"), log, 0, Some(list)).0, "{list}");
    }
}
