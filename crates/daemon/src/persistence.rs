//! What outlasts the planner, written by a thread of its own: a disk that is slow holds up no turn. One batch of edits is
//! on its way at a time; the next one gathers meanwhile, so that many edits share one sync.

use crate::planner_runtime::Failed;
use runloom_event_loop::Waker;
use runloom_store::{AcceptedState, Folder, FolderLock, Layout, LearnedServers, StatePatch, Store};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A snapshot after so many bytes of patches: some thousands of edits, read back in milliseconds.
const JOURNAL_MOST: usize = 1 << 20;
pub const EDITS: Layout =
    Layout { name: "edits", version: 1, upgrades: &[], max_journal_bytes: JOURNAL_MOST };
pub const ROSTER: Layout = Layout { name: "roster", version: 1, upgrades: &[], max_journal_bytes: 0 };
pub const LEARNED: Layout = Layout { name: "learned", version: 1, upgrades: &[], max_journal_bytes: 0 };
/// Things that may wait for the thread: one batch, a list, what was learned, and one over.
const WAITING_MOST: usize = 4;

enum Task {
    Edits(Box<StatePatch>),
    Roster(String),
    Learned(LearnedServers),
    /// Whether edits can be kept again.
    Try,
}

/// What came of a batch of edits, or of a try.
#[derive(Debug)]
pub enum PersistenceResult {
    Edits(Result<Duration, String>),
    Tried(Result<(), String>),
    /// The list or what was learned could not be written.
    Lost(&'static str, String),
}

pub struct PersistenceWorker {
    to: Option<SyncSender<Task>>,
    from: Receiver<PersistenceResult>,
    thread: Option<JoinHandle<()>>,
    _lock: FolderLock,
}

/// What was kept by an earlier start.
#[derive(Debug, Default)]
pub struct RestoredState {
    pub accepted: Option<AcceptedState>,
    pub roster: Option<String>,
    pub learned: Option<LearnedServers>,
}

struct Shelves {
    edits: Store<Folder>,
    accepted: AcceptedState,
    roster: Store<Folder>,
    learned: Store<Folder>,
}

fn opened(folder: &Path, layout: Layout) -> Result<(Store<Folder>, runloom_store::OpenedState), Failed> {
    let data = |e: runloom_store::StoreError| Failed::Data(format!("{}: {e}", folder.display()));
    let (store, opened) = Store::open(Folder::open(folder)?, layout).map_err(data)?;
    opened.notes.iter().for_each(|note| tracing::warn!(folder = %folder.display(), note, "read back"));
    Ok((store, opened))
}

/// All that edits came to, out of a snapshot and what came since.
pub fn accepted(opened: &runloom_store::OpenedState) -> Result<Option<AcceptedState>, String> {
    let mut accepted =
        opened.state.as_deref().map(AcceptedState::decode).transpose().map_err(|e| e.to_string())?;
    for entry in &opened.entries {
        let patch = StatePatch::decode(entry).map_err(|e| e.to_string())?;
        accepted.get_or_insert_default().apply(patch).map_err(|e| e.to_string())?;
    }
    Ok(accepted)
}

impl PersistenceWorker {
    /// Takes the folder for this process and reads back what is there. `first` makes what is kept of it, which is
    /// written down before anything else.
    pub fn open(
        folder: &Path,
        waker: Waker,
        first: impl FnOnce(&mut RestoredState) -> Result<AcceptedState, Failed>,
    ) -> Result<(PersistenceWorker, RestoredState), Failed> {
        let lock = FolderLock::acquire(folder)?;
        let (edits, was) = opened(folder, EDITS)?;
        let (roster, list) = opened(folder, ROSTER)?;
        let (learned, book) = opened(folder, LEARNED)?;
        let mut found =
            RestoredState { accepted: accepted(&was).map_err(Failed::Data)?, ..RestoredState::default() };
        found.roster = list.state.and_then(|text| String::from_utf8(text).ok());
        // What was learned is a hint: one that cannot be read is none.
        found.learned = book.state.and_then(|bytes| LearnedServers::decode(&bytes).ok());
        let accepted = first(&mut found)?;
        let mut shelves = Shelves { edits, accepted, roster, learned };
        shelves.edits.snapshot(&shelves.accepted.encode()).map_err(|e| Failed::Data(e.to_string()))?;
        let (to, tasks) = std::sync::mpsc::sync_channel(WAITING_MOST);
        let (done, from) = std::sync::mpsc::sync_channel(WAITING_MOST);
        let work = move || {
            while let Ok(task) = tasks.recv() {
                let sent = shelves.does(task).is_none_or(|what| done.send(what).is_ok());
                waker.wake();
                if !sent {
                    return;
                }
            }
        };
        let thread = std::thread::Builder::new().name("keeper".into()).spawn(work)?;
        Ok((PersistenceWorker { to: Some(to), from, thread: Some(thread), _lock: lock }, found))
    }

    fn send(&self, task: Task) -> bool {
        self.to.as_ref().is_some_and(|to| to.try_send(task).is_ok())
    }

    /// Keeps what a batch of edits changed; its end comes by [`PersistenceWorker::done`]. False: there is no room now.
    pub fn edits(&self, patch: StatePatch) -> bool {
        self.send(Task::Edits(Box::new(patch)))
    }

    pub fn roster(&self, text: String) -> bool {
        self.send(Task::Roster(text))
    }

    pub fn learned(&self, book: LearnedServers) -> bool {
        self.send(Task::Learned(book))
    }

    pub fn try_again(&self) -> bool {
        self.send(Task::Try)
    }

    pub fn done(&self) -> Option<PersistenceResult> {
        match self.from.try_recv() {
            Ok(done) => Some(done),
            Err(TryRecvError::Empty) => None,
            // It ends with the planner only.
            Err(TryRecvError::Disconnected) => None,
        }
    }
}

impl Drop for PersistenceWorker {
    /// What was given to be kept is written before the process ends.
    fn drop(&mut self) {
        self.to = None;
        // It may wait for its words to be taken.
        while self.thread.as_ref().is_some_and(|t| !t.is_finished()) {
            let _ = self.from.recv_timeout(Duration::from_millis(5));
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Shelves {
    fn does(&mut self, task: Task) -> Option<PersistenceResult> {
        match task {
            Task::Edits(patch) => {
                let start = Instant::now();
                let kept = self.edit(*patch).map(|()| start.elapsed());
                Some(PersistenceResult::Edits(kept))
            }
            Task::Try => Some(PersistenceResult::Tried(self.sound())),
            Task::Roster(text) => {
                let kept = self.roster.snapshot(text.as_bytes());
                kept.err().map(|e| PersistenceResult::Lost("the list", e.to_string()))
            }
            Task::Learned(book) => {
                let kept = self.learned.snapshot(&book.encode());
                kept.err().map(|e| PersistenceResult::Lost("what was learned", e.to_string()))
            }
        }
    }

    /// After a write that failed, all that was accepted is written anew; also where the journal has grown long.
    fn sound(&mut self) -> Result<(), String> {
        if self.edits.needs_snapshot() {
            self.edits.snapshot(&self.accepted.encode()).map_err(|e| e.to_string())?;
        }
        Ok(())
    }

    fn edit(&mut self, patch: StatePatch) -> Result<(), String> {
        self.sound()?;
        self.edits.append(&[patch.encode()]).map_err(|e| e.to_string())?;
        // A patch is made of the list that was kept last: it fits.
        self.accepted.apply(patch).map_err(|e| e.to_string())
    }
}
