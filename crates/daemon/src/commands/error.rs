//! Why a command fails.

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
        /// Why.
        source: io::Error,
    },
    /// A file is no XML.
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
    /// Standard output, or the state folder.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A result cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Certificates and keys of the client cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The identity of the planner is no SPIFFE id.
    #[error(transparent)]
    PlannerId(#[from] runloom_identity::id::InvalidId),
    /// The planner cannot be reached, or rejected an operation.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The connection failed before the planner answered an edit.
    #[error("{source}; whether it took is not known: send it again with --id {id}")]
    UnknownOutcome {
        /// The edit's id.
        id: String,
        /// How the connection failed.
        source: ClientError,
    },
    /// The options of `edit` do not say what to change.
    #[error("one of --file, --drain, --undrain and --share is wanted")]
    AmbiguousEdit,
    /// The value of `--share` has another form.
    #[error("a share is told as zone=0.5")]
    MalformedShare,
    /// `show` was asked for something else than `state`, `fleet` or `roster`.
    #[error("there is no {0} to show")]
    UnknownSubject(String),
    /// The planner knows no such edit.
    #[error("no edit {0} is known")]
    UnknownEdit(String),
    /// The log has no rejection of that number.
    #[error("{count} refusals are in it")]
    NoSuchRejection {
        /// Rejections in the log.
        count: usize,
    },
    /// Segments of an event log are corrupt.
    #[error("{count} segments are damaged or cannot be read")]
    CorruptSegments {
        /// Their number.
        count: usize,
    },
    /// An event log cannot be read.
    #[error(transparent)]
    EventLog(#[from] runloom_event_log::ReadError),
    /// A recorded day cannot be replayed.
    #[error(transparent)]
    Replay(#[from] runloom_replay::ReplayError),
    /// The page of a comparison cannot be drawn.
    #[error("{0}")]
    Page(String),
    /// The event log holds fewer starts.
    #[error("there is no such start in the record")]
    NoSuchStart,
    /// A replay with the recorded settings gives other commands.
    #[error("it differs: {0}")]
    Diverged(String),
    /// The state folder cannot be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Something stored cannot be read back.
    #[error(transparent)]
    StoredState(#[from] RestoreError),
}

/// The error of a file that cannot be read or written.
pub(super) fn file_error(path: &Path) -> impl FnOnce(io::Error) -> CommandError + '_ {
    move |source| CommandError::File { path: path.to_path_buf(), source }
}
