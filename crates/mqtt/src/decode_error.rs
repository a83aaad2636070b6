//! The error of decoding a message body.

use std::error::Error;
use std::fmt;

/// Why the body of a message cannot be decoded.
#[derive(Debug)]
pub enum DecodeError {
    /// The body is not JSON, or not of the expected structure.
    Json(serde_json::Error),
    /// The part numbers or versions contradict each other, or the part has too many changes.
    InconsistentPart,
    /// The report lists more servers or classes than a fleet may have.
    TooManyEntries,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DecodeError::Json(error) => write!(f, "the body is not the expected JSON: {error}"),
            DecodeError::InconsistentPart => write!(f, "the part numbers, versions or size are inconsistent"),
            DecodeError::TooManyEntries => {
                write!(f, "the report lists more servers or classes than a fleet may have")
            }
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
