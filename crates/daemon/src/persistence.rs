//! The planner's persistent state, written by a thread of its own so that a slow disk does not delay the event loop.
//! One batch of edits is written at a time; the edits accepted meanwhile share the next batch and its sync.

use runloom_event_loop::Waker;
use runloom_store::{
    AcceptedState, DecodeError, Folder, FolderLock, Layout, LearnedServers, OpenedState, PatchError,
    StatePatch, Store, StoreError,
};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Size of the journal of patches beyond which a snapshot is written, in bytes.
const MAX_JOURNAL_BYTES: usize = 1 << 20;
/// Files of the accepted edits: snapshots, and journals of patches.
pub const EDITS: Layout =
    Layout { name: "edits", version: 1, upgrades: &[], max_journal_bytes: MAX_JOURNAL_BYTES };
/// Files of the endpoint list: snapshots only.
pub const ENDPOINT_LIST: Layout = Layout { name: "roster", version: 1, upgrades: &[], max_journal_bytes: 0 };
/// Files of the learned state of servers: snapshots only.
pub const LEARNED: Layout = Layout { name: "learned", version: 1, upgrades: &[], max_journal_bytes: 0 };
/// Capacity of the task queue: a batch of edits, an endpoint list, learned state, and one more.
const MAX_QUEUED_TASKS: usize = 4;
/// Interval at which the shutdown checks whether the thread has ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

enum Task {
    WriteEdits(Box<StatePatch>),
    WriteEndpointList(String),
    WriteLearned(LearnedServers),
    /// Checks whether edits can be written again after a failed write.
    Probe,
}

/// Why stored state cannot be restored.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    /// A snapshot or a patch cannot be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// A patch does not apply to the state before it.
    #[error(transparent)]
    Patch(#[from] PatchError),
}

/// Why a state folder cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The folder cannot be read or locked, or the writer thread cannot be started.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file of the folder cannot be opened or written.
    #[error("{folder}: {source}", folder = folder.display())]
    Store {
        /// The state folder.
        folder: PathBuf,
        /// What is wrong with the file.
        source: StoreError,
    },
    /// The stored edits cannot be restored.
    #[error("{folder}: the stored edits are corrupt: {source}", folder = folder.display())]
    StoredEdits {
        /// The state folder.
        folder: PathBuf,
        /// What is wrong with them.
        source: RestoreError,
    },
}

/// Why a batch of edits could not be written.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The journal or a snapshot cannot be written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The patch does not apply to the state that was written last.
    #[error(transparent)]
    Patch(#[from] PatchError),
}

/// Result of a task of the writer thread.
#[derive(Debug)]
pub enum PersistenceResult {
    /// A batch of edits was written, with the time that this took, or could not be written.
    EditsWritten(Result<Duration, WriteError>),
    /// Whether edits can be written again.
    Probed(Result<(), StoreError>),
    /// The endpoint list or the learned state could not be written.
    WriteFailed {
        /// Which of the two.
        what: &'static str,
        /// Why.
        error: StoreError,
    },
}

/// Handle of the writer thread. Holds the lock of the state folder.
pub struct PersistenceWorker {
    /// `None` once the thread has to end: it ends when the channel is closed.
    tasks: Option<SyncSender<Task>>,
    results: Receiver<PersistenceResult>,
    thread: Option<JoinHandle<()>>,
    _lock: FolderLock,
}

/// State that an earlier start of the planner stored; `None` for what is missing.
#[derive(Debug, Default)]
pub struct RestoredState {
    /// Accepted edits.
    pub accepted: Option<AcceptedState>,
    /// The endpoint list, as XML.
    pub endpoint_list: Option<String>,
    /// Learned state of servers.
    pub learned: Option<LearnedServers>,
}

/// An opened state folder, before the writer thread is started.
pub struct OpenedFolder {
    path: PathBuf,
    lock: FolderLock,
    edits: Store<Folder>,
    endpoint_list: Store<Folder>,
    learned: Store<Folder>,
}

fn open_store(folder: &Path, layout: Layout) -> Result<(Store<Folder>, OpenedState), OpenError> {
    let (store, opened) =
        Store::open(Folder::open(folder)?, layout).map_err(|error| store_error(folder, error))?;
    for note in &opened.notes {
        tracing::warn!(folder = %folder.display(), note, "the stored state was damaged or incomplete");
    }
    Ok((store, opened))
}

fn store_error(folder: &Path, source: StoreError) -> OpenError {
    OpenError::Store { folder: folder.to_path_buf(), source }
}

/// The accepted state: the snapshot with the patches of the journal applied; `None` if there is neither.
pub fn restore_accepted(opened: &OpenedState) -> Result<Option<AcceptedState>, RestoreError> {
    let mut accepted = opened.state.as_deref().map(AcceptedState::decode).transpose()?;
    for entry in &opened.entries {
        accepted.get_or_insert_default().apply(StatePatch::decode(entry)?)?;
    }
    Ok(accepted)
}

impl PersistenceWorker {
    /// Locks the state folder for this process, and reads the state that an earlier start stored.
    pub fn open(folder: &Path) -> Result<(OpenedFolder, RestoredState), OpenError> {
        let lock = FolderLock::acquire(folder)?;
        let (edits, opened_edits) = open_store(folder, EDITS)?;
        let (endpoint_list, opened_list) = open_store(folder, ENDPOINT_LIST)?;
        let (learned, opened_learned) = open_store(folder, LEARNED)?;
        let accepted = restore_accepted(&opened_edits)
            .map_err(|source| OpenError::StoredEdits { folder: folder.to_path_buf(), source })?;
        let restored = RestoredState {
            accepted,
            endpoint_list: opened_list.state.and_then(|text| String::from_utf8(text).ok()),
            // Learned state only serves as hints: if it cannot be decoded, the planner learns again.
            learned: opened_learned.state.and_then(|bytes| LearnedServers::decode(&bytes).ok()),
        };
        Ok((OpenedFolder { path: folder.to_path_buf(), lock, edits, endpoint_list, learned }, restored))
    }

    fn send(&self, task: Task) -> bool {
        self.tasks.as_ref().is_some_and(|tasks| tasks.try_send(task).is_ok())
    }

    /// Queues a batch of edits; [`PersistenceWorker::poll_result`] returns its result. False if the queue is full.
    #[must_use]
    pub fn write_edits(&self, patch: StatePatch) -> bool {
        self.send(Task::WriteEdits(Box::new(patch)))
    }

    /// Queues the endpoint list, as XML. False if the queue is full.
    #[must_use]
    pub fn write_endpoint_list(&self, text: String) -> bool {
        self.send(Task::WriteEndpointList(text))
    }

    /// Queues the learned state. False if the queue is full.
    #[must_use]
    pub fn write_learned(&self, learned: LearnedServers) -> bool {
        self.send(Task::WriteLearned(learned))
    }

    /// Queues a check whether edits can be written again. Does nothing if the queue is full.
    pub fn probe(&self) {
        self.send(Task::Probe);
    }

    /// The next available result. Does not block.
    pub fn poll_result(&self) -> Option<PersistenceResult> {
        self.results.try_recv().ok()
    }
}

impl Drop for PersistenceWorker {
    /// Waits until all queued tasks are done.
    fn drop(&mut self) {
        self.tasks = None;
        // The thread may be blocked until its results are received.
        while self.thread.as_ref().is_some_and(|thread| !thread.is_finished()) {
            let _ = self.results.recv_timeout(SHUTDOWN_POLL_INTERVAL);
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl OpenedFolder {
    /// Writes a snapshot of the state that the planner starts from, and starts the writer thread. `waker` wakes
    /// the event loop after each task.
    pub fn start(self, accepted: AcceptedState, waker: Waker) -> Result<PersistenceWorker, OpenError> {
        let OpenedFolder { path, lock, edits, endpoint_list, learned } = self;
        let mut stores = Stores { edits, accepted, endpoint_list, learned };
        stores.write_snapshot().map_err(|error| store_error(&path, error))?;
        let (tasks, queued_tasks) = sync_channel(MAX_QUEUED_TASKS);
        let (result_sender, results) = sync_channel(MAX_QUEUED_TASKS);
        let perform_tasks = move || {
            while let Ok(task) = queued_tasks.recv() {
                let is_received =
                    stores.perform(task).is_none_or(|result| result_sender.send(result).is_ok());
                waker.wake();
                if !is_received {
                    return;
                }
            }
        };
        let thread = std::thread::Builder::new().name("persistence".into()).spawn(perform_tasks)?;
        Ok(PersistenceWorker { tasks: Some(tasks), results, thread: Some(thread), _lock: lock })
    }
}

/// The files that the writer thread writes.
struct Stores {
    edits: Store<Folder>,
    /// The state that the snapshot and the journal of edits hold.
    accepted: AcceptedState,
    endpoint_list: Store<Folder>,
    learned: Store<Folder>,
}

impl Stores {
    fn perform(&mut self, task: Task) -> Option<PersistenceResult> {
        match task {
            Task::WriteEdits(patch) => {
                let start = Instant::now();
                let written = self.append(*patch).map(|()| start.elapsed());
                Some(PersistenceResult::EditsWritten(written))
            }
            Task::Probe => Some(PersistenceResult::Probed(self.write_snapshot_if_needed())),
            Task::WriteEndpointList(text) => {
                write_failure("the endpoint list", self.endpoint_list.snapshot(text.as_bytes()))
            }
            Task::WriteLearned(learned) => {
                write_failure("the learned state", self.learned.snapshot(&learned.encode()))
            }
        }
    }

    fn write_snapshot(&mut self) -> Result<(), StoreError> {
        self.edits.snapshot(&self.accepted.encode())
    }

    /// A snapshot is needed after a failed write, and once the journal has grown long.
    fn write_snapshot_if_needed(&mut self) -> Result<(), StoreError> {
        if self.edits.needs_snapshot() {
            self.write_snapshot()?;
        }
        Ok(())
    }

    fn append(&mut self, patch: StatePatch) -> Result<(), WriteError> {
        self.write_snapshot_if_needed()?;
        self.edits.append(&[patch.encode()])?;
        // The patch was made against the state written last, so it applies.
        Ok(self.accepted.apply(patch)?)
    }
}

fn write_failure(what: &'static str, written: Result<(), StoreError>) -> Option<PersistenceResult> {
    written.err().map(|error| PersistenceResult::WriteFailed { what, error })
}
