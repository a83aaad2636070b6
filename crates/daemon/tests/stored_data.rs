//! Snapshots of the output of commands that read data stored by an earlier build. A planner wrote the fixtures in a
//! short scripted run with edits, a kill, failing servers and an overload. The event logs of versions 1 and 2 lack the
//! kinds of entries that those versions did not have.
//!
//! `UPDATE_SNAPSHOTS=1` rewrites the snapshots.

use std::path::{Path, PathBuf};
use std::process::Command;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// The output and the exit code of `runloom`, without the path of the fixtures, which differs between machines.
fn runloom(arguments: &[&str]) -> String {
    let run = Command::new(env!("CARGO_BIN_EXE_runloom")).args(arguments).output().unwrap();
    let printed = String::from_utf8(run.stdout).unwrap() + &String::from_utf8(run.stderr).unwrap();
    let relative = printed.replace(fixture("").to_str().unwrap(), "");
    format!("{relative}code {}\n", run.status.code().unwrap())
}

fn assert_unchanged(name: &str, output: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/snapshots").join(name);
    if std::env::var_os("UPDATE_SNAPSHOTS").is_some() {
        std::fs::write(&path, output).unwrap();
    }
    assert_eq!(output, std::fs::read_to_string(&path).unwrap(), "{}", path.display());
}

/// A copy of the fixture's state folder, so that the commands under test cannot change the fixture.
fn state_folder(name: &str) -> PathBuf {
    let copy = std::env::temp_dir().join(format!("runloom-stored-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&copy);
    std::fs::create_dir_all(&copy).unwrap();
    for file in std::fs::read_dir(fixture("state")).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), copy.join(file.file_name())).unwrap();
    }
    copy
}

/// Removes what depends on the time now: `16 s ago` becomes `N s ago`, and hints, which decay with age, are cut off.
fn without_ages(text: &str) -> String {
    let lines = text.lines().map(|line| line.split("  counts ").next().unwrap());
    let text: String = lines.flat_map(|line| [line, "\n"]).collect();
    let mut words: Vec<&str> = text.split(' ').collect();
    for index in 2..words.len() {
        if words[index].starts_with("ago") && words[index - 1] == "s" {
            words[index - 2] = "N";
        }
    }
    words.join(" ")
}

#[test]
fn a_state_folder_of_an_earlier_build_is_read() {
    let folder = state_folder("state");
    let path = folder.to_str().unwrap();
    let output: String = ["ls", "show", "verify"].map(|command| runloom(&["state", command, path])).concat();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_unchanged("state.txt", &without_ages(&output));
}

/// FNV-1a, 64 bits.
fn digest(text: &str) -> u64 {
    text.bytes().fold(0xcbf29ce484222325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x100000001b3))
}

/// The first entries as JSON, and the number and a digest of all entries.
fn export(folder: &str) -> String {
    let entries = runloom(&["record", "export", folder]);
    let first_entries: String = entries.lines().take(40).flat_map(|line| [line, "\n"]).collect();
    format!("{first_entries}{} lines, digest {:016x}\n", entries.lines().count(), digest(&entries))
}

#[test]
fn event_logs_of_all_versions_are_read() {
    for version in ["1", "2", "3"] {
        let folder = fixture("record").join(version);
        let path = folder.to_str().unwrap();
        let output: String = ["ls", "verify"].map(|command| runloom(&["record", command, path])).concat();
        let shown = runloom(&["record", "show", path, "--name", "f1"]);
        assert_unchanged(&format!("record-{version}.txt"), &(output + &shown + &export(path)));
    }
}

#[test]
fn a_replayed_event_log_gives_the_same_commands() {
    let folder = fixture("record/3");
    let path = folder.to_str().unwrap();
    let output =
        runloom(&["replay", "--folder", path]) + &runloom(&["replay", "--folder", path, "--back", "1"]);
    assert_unchanged("replay.txt", &output);
}

#[test]
fn settings_are_checked_with_the_same_output() {
    let names = ["valid", "bad-weight", "unknown-element", "not-xml"];
    let files = names.map(|name| fixture(&format!("settings/{name}.xml")));
    let output: String = files.iter().map(|file| runloom(&["check", file.to_str().unwrap()])).collect();
    assert_unchanged("check.txt", &output);
}

/// Guards against an option or sub-command whose name changes. Descriptions are not compared.
#[test]
fn the_command_line_keeps_its_names() {
    let commands: [&[&str]; 17] = [
        &[],
        &["planner"],
        &["platform"],
        &["forwarder"],
        &["check"],
        &["edit"],
        &["show"],
        &["replay"],
        &["guard"],
        &["guard", "explain"],
        &["state"],
        &["state", "ls"],
        &["state", "prune"],
        &["record"],
        &["record", "show"],
        &["record", "export"],
        &["record", "verify"],
    ];
    let mut output = String::new();
    for command in commands {
        let help = runloom(&[command, &["--help"]].concat());
        let is_name = |word: &&str| word.starts_with(['-', '<', '[']);
        let first =
            |line: &str| line.strip_prefix("  ").and_then(|l| l.split_whitespace().next().map(String::from));
        let names = help.split_whitespace().filter(is_name).map(String::from);
        let mut names: Vec<String> = names.chain(help.lines().filter_map(first)).collect();
        names.retain(|name| name.chars().next().is_some_and(|c| !c.is_uppercase()));
        names.sort();
        names.dedup();
        output += &format!("{}: {}\n", command.join(" "), names.join(" "));
    }
    assert_unchanged("command-line.txt", &output);
}
