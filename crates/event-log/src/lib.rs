//! The event log of a planner: what happened, and what the controller decided, on disk.
//!
//! A planner appends to a journal of frames, each with its length and checksum. A journal that is long enough is
//! closed and becomes a columnar file (Parquet), which other tools read too. After a kill at any moment all that
//! was written before the last frame is there; a torn tail is left out and reported.

pub mod columns;
pub mod entry;
mod error;
pub mod framing;
mod reader;
mod recorder;
mod segment;
mod writer;

pub use entry::{Entry, RecordedEvent};
pub use error::{ConversionError, ReadError};
pub use reader::{for_each_entry, read_run, read_runs};
pub use recorder::{Recorder, RecorderConfig};
pub use segment::{convert_to_columns, list_segments, read_segment, Segment, SegmentContent};
pub use writer::{BackgroundWriter, WriterStatus};

#[cfg(test)]
mod tests;
