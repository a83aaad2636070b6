//! The check on the estimate: days played against stand-ins under their own setting and under others. What the
//! record of the first says of the second, against what the second came to, on the same span.

use crate::scenario::SHIPPED;
use runloom_event_log::{read_run, Entry, RecordedEvent};
use runloom_replay::other::{compare, Setting};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Days that are played; planners' kills are left out of them, since a record's estimate is of one start.
const DAYS: [&str; 5] = ["deploy", "bad-day", "edits-under-failure", "restart-storm", "surge"];

/// Settings: a name, and what stands in `<fleet>` in place of what.
const OTHERS: [(&str, &[(&str, &str)]); 5] = [
    ("zone z1 at 0.6", &[("<name>z1</name>", "<name>z1</name><share>0.6</share>")]),
    (
        "s2 and s5 at a weight of 0.3",
        &[(
            "<grace>",
            "<server><name>s2</name><weight>0.3</weight></server><server><name>s5</name><weight>0.3\
                       </weight></server><grace>",
        )],
    ),
    (
        "levels the other way",
        &[("<levels>none", "<levels>pa-ce"), ("<levels>pace", "<levels>none"), ("pa-ce", "pace")],
    ),
    (
        "what the list drops, the other way",
        &[("bind>true<", "bind>not<"), ("bind>false<", "bind>true<"), ("bind>not<", "bind>false<")],
    ),
    ("zone z0 at 1.5", &[("<name>z0</name>", "<name>z0</name><share>1.5</share>")]),
];

/// Days played at the same time: each keeps about half a core busy.
const AT_ONCE: usize = 4;

/// Plays one day in a process of its own, and keeps its record in `place`; a record that is there is taken as it is.
fn played(
    own: &Path,
    day: &Path,
    place: &Path,
    fleet: Option<&Path>,
    seed: u64,
) -> Result<Vec<Entry>, String> {
    let record = place.join("record-0");
    if !record.exists() {
        play(own, day, place, fleet, seed)?;
    }
    read_run(&record, 0).map_err(|e| e.to_string())
}

fn play(own: &Path, day: &Path, place: &Path, fleet: Option<&Path>, seed: u64) -> Result<(), String> {
    let mut command = Command::new(own);
    command.args([
        "day",
        &day.display().to_string(),
        "--seed",
        &seed.to_string(),
        "--keep",
        &place.display().to_string(),
    ]);
    fleet.iter().for_each(|f| _ = command.args(["--fleet", &f.display().to_string()]));
    // A broken rule is code 1, and is told with the pair; the record is there all the same.
    command.stdout(Stdio::null()).stderr(Stdio::null()).status().map(|_| ()).map_err(|e| e.to_string())
}

fn fleet_of(entries: &[Entry]) -> Result<String, String> {
    match entries.first().map(|e| &e.event) {
        Some(RecordedEvent::PlannerStarted { fleet, .. }) => Ok(fleet.clone()),
        _ => Err("the record has no start".into()),
    }
}

fn other(text: &str, changes: &[(&str, &str)]) -> String {
    changes.iter().fold(text.to_string(), |text, (from, to)| text.replace(from, to))
}

/// Does `work` for 0 to `count`, some at a time.
fn side_by_side<T: Send>(count: usize, work: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let next = AtomicUsize::new(0);
    let worker = || {
        let mut done = vec![];
        loop {
            let k = next.fetch_add(1, Ordering::Relaxed);
            if k >= count {
                return done;
            }
            done.push((k, work(k)));
        }
    };
    let mut all: Vec<(usize, T)> = std::thread::scope(|s| {
        let threads: Vec<_> = (0..AT_ONCE).map(|_| s.spawn(worker)).collect();
        threads.into_iter().flat_map(|t| t.join().unwrap_or_default()).collect()
    });
    all.sort_by_key(|(k, _)| *k);
    all.into_iter().map(|(_, t)| t).collect()
}

/// One line of the table.
fn pair(
    own: &Path,
    base: &[Entry],
    day: &Path,
    place: &Path,
    changes: &[(&str, &str)],
    seed: u64,
) -> Result<String, String> {
    let text = other(&fleet_of(base)?, changes);
    std::fs::create_dir_all(place).map_err(|e| e.to_string())?;
    let file = place.join("fleet.xml");
    std::fs::write(&file, &text).map_err(|e| e.to_string())?;
    let fleet = runloom_replay::fleet(&text).map_err(|e| e.to_string())?;
    let setting = Setting { fleet: Some(fleet), ..Setting::default() };
    let said = compare(base, &setting).map_err(|e| e.to_string())?.service;
    let entries = played(own, day, place, Some(&file), seed)?;
    let until = (said.carries > 0.0).then(|| Duration::from_secs_f64(said.carries));
    let came =
        compare(&entries, &Setting { until, ..Setting::default() }).map_err(|e| e.to_string())?.service.was;
    let (estimate, verdict) = match said.would {
        None => ("unknown".to_string(), "unknown"),
        Some((value, low, high)) => {
            let held = low <= came && came <= high;
            (format!("{value:.4} ({low:.4} to {high:.4})"), if held { "held" } else { "missed" })
        }
    };
    let (was, carries, support) = (said.was, said.carries, said.support);
    Ok(format!("{was:.4} | {estimate} | {support:.2} | {carries:.0} | {came:.4} | {verdict} |"))
}

/// Plays all days under all settings and prints the table.
pub fn pairs(place: &Path, own: &Path, seed: u64) -> Result<(), String> {
    std::fs::create_dir_all(place).map_err(|e| e.to_string())?;
    let mut files: Vec<PathBuf> = vec![];
    for name in DAYS {
        let text = SHIPPED.iter().find(|(n, _)| *n == name).map(|(_, text)| *text).unwrap_or_default();
        let kept: Vec<&str> = text.lines().filter(|l| !l.contains("planner-kill")).collect();
        let file = place.join(format!("{name}.xml"));
        std::fs::write(&file, kept.join("\n")).map_err(|e| e.to_string())?;
        files.push(file);
    }
    let bases = side_by_side(DAYS.len(), |d| played(own, &files[d], &place.join(DAYS[d]), None, seed));
    let bases = bases.into_iter().collect::<Result<Vec<_>, _>>()?;
    let lines = side_by_side(DAYS.len() * OTHERS.len(), |k| {
        let (d, o) = (k / OTHERS.len(), k % OTHERS.len());
        pair(own, &bases[d], &files[d], &place.join(format!("{}-{o}", DAYS[d])), OTHERS[o].1, seed)
    });
    println!("| day | other setting | was | would be, with bars | support | carries s | came to | |");
    for (k, line) in lines.into_iter().enumerate() {
        println!("| {} | {} | {}", DAYS[k / OTHERS.len()], OTHERS[k % OTHERS.len()].0, line?);
    }
    Ok(())
}
