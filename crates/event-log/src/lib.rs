//! The event log of a planner: the inputs and decisions of its controller, on disk.
//!
//! A planner appends to a journal of frames, each with a length and a checksum. A journal that has reached its maximum
//! size is closed and converted to a columnar file (Parquet), which other tools can read too. If the process is killed,
//! all frames that were written completely remain readable; a torn tail is left out and reported.

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
