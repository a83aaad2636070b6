//! Errors of commands.

use crate::client::ClientError;
use crate::persistence::RestoreError;
use crate::tls_credentials::TlsError;
use runloom_store::StoreError;
use std::io;
use std::path::{Path, PathBuf};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A file cannot be read or written.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// A file is not well-formed XML.
    #[error("{path}:{line}:{column}: {reason}", path = path.display())]
    MalformedXml {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// What is wrong there.
        reason: String,
    },
    /// Standard output cannot be written, or the state folder cannot be read or locked.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A result cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The client's certificate, its key or the trusted authorities cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The identity of the planner is not a valid SPIFFE id.
    #[error(transparent)]
    PlannerId(#[from] runloom_identity::id::InvalidId),
    /// The planner cannot be reached, or rejected an operation.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The connection failed before the planner answered an edit.
    #[error("{source}; the outcome of the edit is unknown: send it again with --id {id}")]
    UnknownOutcome {
        /// The edit's id.
        id: String,
        /// How the connection failed.
        source: ClientError,
    },
    /// None or several of the options of `edit` say what to change.
    #[error("exactly one of --file, --drain, --undrain and --share is required")]
    AmbiguousEdit,
    /// The value of `--share` has no `=`.
    #[error("the value of --share must have the form zone=0.5")]
    MalformedShare,
    /// The subject of `show` is not `state`, `fleet` or `roster`.
    #[error("show: unknown subject {0}; it must be state, fleet or roster")]
    UnknownSubject(String),
    /// The planner knows no such edit.
    #[error("no edit {0} is known")]
    UnknownEdit(String),
    /// The log has no rejection of that number.
    #[error("no such rejection: the log has {count}")]
    NoSuchRejection {
        /// Number of rejections in the log.
        count: usize,
    },
    /// Segments of an event log are corrupt or cannot be read.
    #[error("{count} segments are damaged or cannot be read")]
    CorruptSegments {
        /// Their number.
        count: usize,
    },
    /// An event log cannot be read.
    #[error(transparent)]
    EventLog(#[from] runloom_event_log::ReadError),
    /// An event log cannot be replayed.
    #[error(transparent)]
    Replay(#[from] runloom_replay::ReplayError),
    /// The HTML page of a comparison cannot be rendered.
    #[error("{0}")]
    Page(String),
    /// The event log holds fewer starts of the planner than `--back` asks for.
    #[error("the event log holds fewer starts of the planner than --back asks for")]
    NoSuchStart,
    /// A replay with the recorded settings issues other commands than the event log holds.
    #[error("the replay differs from the event log: {0}")]
    Diverged(String),
    /// The state folder cannot be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Stored state cannot be restored.
    #[error(transparent)]
    StoredState(#[from] RestoreError),
}

/// The error of a file that cannot be read or written.
pub(super) fn file_error(path: &Path) -> impl FnOnce(io::Error) -> CommandError + '_ {
    move |source| CommandError::File { path: path.to_path_buf(), source }
}
