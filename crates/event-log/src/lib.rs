//! What happened and what was ordered, on disk. A planner writes an append-only journal of frames, each with its
//! length and checksum; a segment that is closed becomes a columnar file (Parquet) that other tools read too.
//! Killed at any moment, what was written before the last frame is there; a torn tail is cut, and told.

pub mod columns;
pub mod entry;
pub mod folder;
pub mod framing;
pub mod writer;

pub use entry::{Entry, RecordedEvent};
pub use folder::{Recorder, RecorderConfig, Segment};
pub use writer::Writer;

#[cfg(test)]
mod tests;
