use super::*;
use crate::accepted::{pieces, AcceptedState, ListPiece, StatePatch};
use crate::learned::{LearnedServer, LearnedServers};
use proptest::prelude::*;

/// A disk that may lose, cut and reorder what was not synced: each file has what is sure to be there and what was
/// written since; names are changed by a list of deeds, of which any may be missing after a cut until the folder is
/// synced.
#[derive(Debug, Clone, Default)]
struct Flaky {
    files: Vec<(Vec<u8>, Vec<u8>)>,
    names: BTreeMap<String, usize>,
    kept: BTreeMap<String, usize>,
    pending: Vec<Naming>,
    /// Deeds so far; the deed of this number and all after it fail: the power is gone.
    done: usize,
    cut_at: Option<usize>,
    /// These deeds fail, half done, and the machine goes on.
    faults: Vec<usize>,
}

#[derive(Debug, Clone)]
enum Naming {
    Is(String, usize),
    Moved(String, String),
    Gone(String),
}

fn apply(names: &mut BTreeMap<String, usize>, naming: &Naming) {
    match naming {
        Naming::Is(name, file) => _ = names.insert(name.clone(), *file),
        Naming::Moved(from, to) => {
            if let Some(file) = names.remove(from) {
                names.insert(to.clone(), file);
            }
        }
        Naming::Gone(name) => _ = names.remove(name),
    }
}

impl Flaky {
    /// Counts a deed; `Err(true)`: it fails, half done.
    fn deed(&mut self) -> Result<(), bool> {
        self.done += 1;
        match self.cut_at {
            Some(at) if self.done > at => Err(false),
            _ if self.faults.contains(&self.done) => Err(true),
            _ => Ok(()),
        }
    }

    fn naming(&mut self, naming: Naming) -> io::Result<()> {
        if self.deed().is_err() {
            return Err(io::Error::other("fault"));
        }
        apply(&mut self.names, &naming);
        self.pending.push(naming);
        Ok(())
    }

    /// The disk after a cut: of names' changes those that `names` picks, of each file's unsynced bytes `part(length)`.
    fn cut(&self, names: u32, part: impl Fn(usize, usize) -> usize) -> Flaky {
        let mut kept = self.kept.clone();
        let picked = self.pending.iter().enumerate().filter(|(k, _)| names & (1 << k) != 0);
        picked.for_each(|(_, naming)| apply(&mut kept, naming));
        let file = |(k, (sure, new)): (usize, &(Vec<u8>, Vec<u8>))| {
            let mut sure = sure.clone();
            sure.extend_from_slice(&new[..part(k, new.len()).min(new.len())]);
            (sure, vec![])
        };
        let files = self.files.iter().enumerate().map(file).collect();
        Flaky { files, names: kept.clone(), kept, ..Flaky::default() }
    }
}

impl Disk for Flaky {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let file = self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok([self.files[*file].0.as_slice(), &self.files[*file].1].concat())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.files.push(Default::default());
        self.naming(Naming::Is(name.to_string(), self.files.len() - 1))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let fault = self.deed();
        let file = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        match fault {
            Ok(()) => self.files[file].1.extend_from_slice(bytes),
            // A full disk takes a part.
            Err(true) => self.files[file].1.extend_from_slice(&bytes[..bytes.len() / 2]),
            Err(false) => {}
        }
        fault.map_err(|_| io::Error::other("fault"))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        if self.deed().is_err() {
            return Err(io::Error::other("fault"));
        }
        let file = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        let (sure, new) = &mut self.files[file];
        sure.append(new);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        if self.deed().is_err() {
            return Err(io::Error::other("fault"));
        }
        (self.kept, self.pending) = (self.names.clone(), vec![]);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.naming(Naming::Moved(from.to_string(), to.to_string()))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.naming(Naming::Gone(name.to_string()))
    }
}

const LAYOUT: Layout = Layout { name: "edits", version: 2, upgrades: &[(same, same)], journal_most: 60 };

fn same(bytes: Vec<u8>) -> Result<Vec<u8>, String> {
    Ok(bytes)
}

/// What a planner has in mind: numbers accepted, in their order.
fn whole(state: Option<Vec<u8>>, entries: &[Vec<u8>]) -> Vec<u8> {
    let mut all = state.unwrap_or_default();
    entries.iter().for_each(|e| all.extend_from_slice(e));
    all
}

/// Accepts numbers one batch after the other, as a planner does: those that could not be kept are taken back, and a
/// snapshot comes before the next. Gives what was said to be kept, and what may be there besides.
fn accept(disk: Flaky, batches: &[usize]) -> (Flaky, Vec<u8>, Vec<u8>) {
    let (mut kept, mut maybe, mut next) = (vec![], vec![], 0u8);
    let Ok((mut store, opened)) = Store::open(disk, LAYOUT) else { panic!("nothing is there yet") };
    assert_eq!(opened, OpenedState::default());
    for count in batches {
        if store.wants_snapshot() {
            if store.snapshot(&kept).is_err() {
                continue;
            }
            // Told anew without what could not be kept.
            maybe.clear();
        }
        let entries: Vec<Vec<u8>> = (0..*count).map(|k| vec![next + k as u8]).collect();
        next += *count as u8;
        match store.append(&entries) {
            Ok(()) => kept.extend(entries.concat()),
            Err(_) => maybe = entries.concat(),
        }
    }
    (store.disk, kept, maybe)
}

/// Everything that was said to be kept, once and in order; besides it at most what was on its way.
fn check(disk: Flaky, kept: &[u8], maybe: &[u8], what: &str) {
    let (_, opened) = Store::open(disk, LAYOUT).unwrap_or_else(|e| panic!("{what}: {e}"));
    let all = whole(opened.state, &opened.entries);
    let rest = all.strip_prefix(kept).unwrap_or_else(|| panic!("{what}: {all:?} for {kept:?}"));
    assert!(maybe.starts_with(rest), "{what}: {all:?} for {kept:?} and {maybe:?}");
}

/// The power goes at each deed of a history with three snapshots; then any of the names' changes since the folder's last
/// sync may be missing, and of any one file's unsynced bytes any number, of the others none or all.
#[test]
fn whatever_a_power_cut_leaves_what_was_kept_is_there_once() {
    let batches = [1, 2, 3, 1, 5, 2, 1, 6, 1, 3, 2, 4, 1, 1, 2, 5, 3, 1];
    let (whole_run, _, _) = accept(Flaky::default(), &batches);
    let (mut cases, mut snapshots) = (0, 0);
    for at in 0..=whole_run.done {
        let (disk, kept, maybe) = accept(Flaky { cut_at: Some(at), ..Flaky::default() }, &batches);
        // The batch that the cut fell into was on its way; those after it were never begun.
        snapshots += usize::from(disk.names.keys().any(|n| n == "edits.state.3"));
        for names in 0..1u32 << disk.pending.len() {
            let unsynced: Vec<usize> =
                (0..disk.files.len()).filter(|k| !disk.files[*k].1.is_empty()).collect();
            let lengths = |k: &usize| (0..=disk.files[*k].1.len()).map(|n| (*k, n)).collect::<Vec<_>>();
            let mut parts: Vec<(usize, usize)> = unsynced.iter().flat_map(lengths).collect();
            parts.push((usize::MAX, 0));
            for (file, length) in parts {
                for others in [0, usize::MAX] {
                    let left = disk.cut(names, |k, _| if k == file { length } else { others });
                    check(
                        left,
                        &kept,
                        &maybe,
                        &format!("cut at {at}, names {names:b}, file {file} at {length}"),
                    );
                    cases += 1;
                }
            }
        }
    }
    assert!(cases > 4_000 && snapshots > 10, "{cases} cases, {snapshots} with a third snapshot");
}

proptest! {
    /// Deeds that fail half done while the machine goes on (a full disk, a sync that fails), then a cut.
    #[test]
    fn faults_lose_nothing_that_was_kept(
        batches in prop::collection::vec(1usize..4, 1..25), faults in prop::collection::vec(1usize..120, 0..12),
        cut in prop::option::of(1usize..120), names: u32, part in 0usize..200,
    ) {
        let disk = Flaky { faults, cut_at: cut, ..Flaky::default() };
        let (disk, kept, maybe) = accept(disk, &batches);
        check(disk.cut(names, |_, _| part), &kept, &maybe, "faults");
        check(disk.cut(u32::MAX, |_, _| usize::MAX), &kept, &maybe, "all written");
    }

    /// Lists of entries that become one another by patches; what is written is read back.
    #[test]
    fn patches_make_one_list_of_another(lists in prop::collection::vec(prop::collection::vec(0u32..30, 0..20), 1..12)) {
        let mut all = AcceptedState::default();
        for (k, list) in lists.iter().enumerate() {
            let place = |entry: &u32| {
                let text = format!("<e>{entry}</e>");
                all.entries.iter().position(|old| *old == text).map(|at| at as u32).ok_or(text)
            };
            let patch = StatePatch { pieces: Some(pieces(list.iter().map(place))), ..StatePatch::default() };
            let patch = StatePatch { before: (k % 3 == 0).then(|| Some(vec!["b".into()])), ..patch };
            all.take(StatePatch::read(&patch.write()).unwrap()).unwrap();
            let texts: Vec<String> = list.iter().map(|e| format!("<e>{e}</e>")).collect();
            prop_assert_eq!(&all.entries, &texts);
            prop_assert_eq!(&AcceptedState::read(&all.write()).unwrap(), &all);
        }
        let other = StatePatch { pieces: Some(vec![ListPiece::Old { from: 19, count: 9 }]), ..StatePatch::default() };
        prop_assert!(all.take(other).is_err());
    }

    /// Any bytes in place of a file: never a panic, and never something that was not written.
    #[test]
    fn any_bytes_are_borne(bytes in prop::collection::vec(any::<u8>(), 0..200), at in 0usize..100, journal: bool) {
        let (mut disk, kept, _) = accept(Flaky::default(), &[2, 2]);
        let file = disk.names[if journal { "edits.journal.1" } else { "edits.state.1" }];
        let content = &mut disk.files[file].0;
        let at = at.min(content.len());
        content.splice(at.., bytes);
        if let Ok((_, opened)) = Store::open(disk, LAYOUT) {
            let all = whole(opened.state, &opened.entries);
            prop_assert!(kept.starts_with(&all) || all == kept, "{:?}", all);
        }
    }
}

#[test]
fn a_broken_snapshot_is_set_aside_and_the_one_before_it_has_all() {
    let (mut disk, kept, _) = accept(Flaky::default(), &[3, 3, 3, 3, 2]);
    let newest = disk.names.keys().filter(|n| n.contains("state")).max().cloned().unwrap();
    assert_eq!(
        disk.names.keys().filter(|n| n.contains("state")).count(),
        2,
        "two generations: {:?}",
        disk.names
    );
    let file = disk.names[&newest];
    let last = disk.files[file].0.len() - 1;
    disk.files[file].0[last] ^= 1;
    let (mut store, opened) = Store::open(disk, LAYOUT).unwrap();
    assert!(
        opened.notes[0].contains("broken")
            && store.disk().list().unwrap().iter().any(|n| n.ends_with(".broken"))
    );
    assert_eq!(whole(opened.state, &opened.entries), kept);
    // The next one does not take the broken one's number.
    store.snapshot(&kept).unwrap();
    assert!(!store.disk().list().unwrap().contains(&newest));
}

#[test]
fn a_newer_version_is_refused_and_an_older_one_brought_up_step_by_step() {
    fn two(bytes: Vec<u8>) -> Result<Vec<u8>, String> {
        Ok([bytes, b"+2".to_vec()].concat())
    }
    fn three(bytes: Vec<u8>) -> Result<Vec<u8>, String> {
        Ok([bytes, b"+3".to_vec()].concat())
    }
    let old = Layout { version: 1, upgrades: &[], ..LAYOUT };
    let (mut store, _) = Store::open(Flaky::default(), old).unwrap();
    store.snapshot(b"s").unwrap();
    store.append(&[b"e".to_vec()]).unwrap();
    let disk = store.disk;
    let new = Layout { version: 3, upgrades: &[(two, two), (three, three)], ..LAYOUT };
    let (mut store, opened) = Store::open(disk, new).unwrap();
    assert_eq!((opened.state.unwrap(), &opened.entries[0]), (b"s+2+3".to_vec(), &b"e+2+3".to_vec()));
    store.snapshot(b"now").unwrap();
    let refused = Store::open(store.disk, LAYOUT).err().unwrap();
    assert!(matches!(refused, StoreError::Newer { found: 3, known: 2, .. }), "{refused}");
}

#[test]
fn after_a_write_that_failed_nothing_is_kept_before_a_snapshot() {
    let (mut store, _) = Store::open(Flaky::default(), LAYOUT).unwrap();
    assert!(
        matches!(store.append(&[vec![1]]), Err(StoreError::Unknown)),
        "not before the first snapshot either"
    );
    store.snapshot(&[]).unwrap();
    let next = store.disk().done + 2;
    store.disk().faults = vec![next];
    assert!(store.append(&[vec![1]]).is_err() && store.wants_snapshot());
    assert!(matches!(store.append(&[vec![2]]), Err(StoreError::Unknown)));
    store.snapshot(&[7]).unwrap();
    store.append(&[vec![8]]).unwrap();
    let (_, opened) = Store::open(store.disk, LAYOUT).unwrap();
    assert_eq!(whole(opened.state, &opened.entries), [7, 8]);
}

/// A folder of the file system: a file that was replaced under the planner is noticed, and a second planner turned away.
#[test]
fn a_replaced_file_and_a_second_planner_are_noticed() {
    let path = std::env::temp_dir().join(format!("runloom-store-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let lock = disk::Lock::take(&path).unwrap();
    assert_eq!(disk::Lock::take(&path).unwrap_err().kind(), io::ErrorKind::AddrInUse);
    let (mut store, _) = Store::open(disk::Folder::open(&path).unwrap(), LAYOUT).unwrap();
    store.snapshot(&[1]).unwrap();
    store.append(&[vec![2]]).unwrap();
    std::fs::remove_dir_all(&path).unwrap();
    assert!(store.append(&[vec![3]]).is_err());
    assert!(store.snapshot(&[1, 2]).is_err(), "there is no folder");
    std::fs::create_dir_all(&path).unwrap();
    store.snapshot(&[1, 2]).unwrap();
    store.append(&[vec![4]]).unwrap();
    drop(lock);
    let (_, opened) = Store::open(disk::Folder::open(&path).unwrap(), LAYOUT).unwrap();
    assert_eq!(whole(opened.state, &opened.entries), [1, 2, 4]);
    let described = describe(&disk::Folder::there(&path).unwrap()).unwrap();
    assert!(described.iter().all(|d| d.rest == 0 && d.head.is_some_and(|h| h.0 == 2)), "{described:?}");
    std::fs::remove_dir_all(&path).unwrap();
}

#[test]
fn what_was_learned_ages_and_another_machine_or_start_is_a_new_server() {
    const HOUR: u64 = 3_600_000;
    let now = 500_000 * HOUR;
    let server = |name: &str, swift, failed: Option<u64>, held| LearnedServer {
        name: name.into(),
        address: "10.0.0.1:80".into(),
        started: Some(7),
        swift,
        failed,
        held,
    };
    let servers = vec![
        server("slow", 0.5, None, false),
        server("bad", 1.0, Some(now), false),
        server("worse", 1.0, Some(now), true),
    ];
    let book = LearnedServers::read(&LearnedServers { written: now, servers }.write()).unwrap();
    let hint = |at: u64, name: &str| book.hint(at, name, "10.0.0.1:80", Some(7));
    assert_eq!(hint(now, "slow").map(|h| (h.swift, h.doubt)), Some((0.5, 0.0)));
    assert_eq!(hint(now, "bad").map(|h| (h.swift, h.doubt)), Some((1.0, 1.0)));
    assert!((hint(now + 120_000, "bad").unwrap().doubt - 0.5).abs() < 1e-9);
    assert!(hint(now + 120_000, "worse").unwrap().doubt > 0.7);
    assert!((hint(now + 600_000, "slow").unwrap().swift - 0.5f64.sqrt()).abs() < 1e-9);
    for name in ["slow", "bad", "worse"] {
        assert_eq!(hint(now + 6 * HOUR, name), None, "six hours later");
        assert_eq!(hint(now - HOUR, name), None, "the clock was set back");
        assert_eq!(book.hint(now, name, "10.0.0.2:80", Some(7)), None, "another machine");
        assert_eq!(book.hint(now, name, "10.0.0.1:80", Some(8)), None, "another start");
    }
    // Started again before it has seen anything: what failed is not forgotten, until it counts no more.
    let again = LearnedServers { written: now + 4_000, servers: vec![] }.renewed(&book);
    assert!(again.hint(now + 4_000, "bad", "10.0.0.1:80", Some(7)).unwrap().doubt > 0.9);
    assert_eq!(again.servers.len(), 2, "swiftness alone is the newer start's to tell");
    let seen = vec![server("bad", 0.8, Some(now + 3_000), true)];
    let again = LearnedServers { written: now + 4_000, servers: seen.clone() }.renewed(&book);
    assert_eq!(again.servers[0], seen[0], "the newer word counts");
    assert_eq!(LearnedServers { written: now + HOUR, servers: vec![] }.renewed(&book).servers, []);
    assert!(hint(now, "new").is_none() && LearnedServers::read(b"\xff\xff").is_err());
}
