//! Why a message's body cannot be read.

use std::error::Error;
use std::fmt;

/// Why a message's body cannot be read.
#[derive(Debug)]
pub enum DecodeError {
    /// It is not the JSON that is expected.
    Json(serde_json::Error),
    /// Its part numbers or versions contradict each other, or a part is too large.
    InconsistentPart,
    /// It names more servers or classes than a fleet may have.
    TooManyEntries,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DecodeError::Json(error) => write!(f, "the body is not the expected JSON: {error}"),
            DecodeError::InconsistentPart => write!(f, "the part's numbers are inconsistent"),
            DecodeError::TooManyEntries => write!(f, "the report has more entries than a fleet may have"),
        }
    }
}

impl Error for DecodeError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            DecodeError::Json(error) => Some(error),
            DecodeError::InconsistentPart | DecodeError::TooManyEntries => None,
        }
    }
}

impl From<serde_json::Error> for DecodeError {
    fn from(error: serde_json::Error) -> DecodeError {
        DecodeError::Json(error)
    }
}
