//! The batch protocol: each batch is a start line, events and an end line, and gets one reply.

use crate::host::PlannerHost;
use crate::wire::{BatchStart, Input, Output};
use std::fmt;
use std::io::{self, BufRead, BufWriter, Write};
use std::time::{Duration, TryFromFloatSecsError};

/// Why the adapter stopped. Line numbers start at 1.
#[derive(Debug)]
pub enum AdapterError {
    /// A line of input could not be read.
    Read { line: usize, source: io::Error },
    /// A line is not a valid event.
    Malformed { line: usize, source: serde_json::Error },
    /// The time of a batch is negative, not finite or too large.
    InvalidClock { line: usize, source: TryFromFloatSecsError },
    /// A batch starts before the previous one has ended.
    NestedBatch { line: usize },
    /// An event or the end of a batch came outside a batch.
    OutsideBatch { line: usize },
    /// A reply could not be written.
    Reply(io::Error),
    /// The input ended before the end of a batch.
    UnfinishedBatch,
}

impl fmt::Display for AdapterError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdapterError::Read { line, source } => {
                write!(formatter, "line {line}: cannot be read: {source}")
            }
            AdapterError::Malformed { line, source } => {
                write!(formatter, "line {line}: malformed: {source}")
            }
            AdapterError::InvalidClock { line, source } => {
                write!(formatter, "line {line}: invalid clock value: {source}")
            }
            AdapterError::NestedBatch { line } => {
                write!(formatter, "line {line}: a batch starts before the previous one has ended")
            }
            AdapterError::OutsideBatch { line } => {
                write!(formatter, "line {line}: event outside a batch")
            }
            AdapterError::Reply(source) => write!(formatter, "cannot write the reply: {source}"),
            AdapterError::UnfinishedBatch => formatter.write_str("the input ends inside a batch"),
        }
    }
}

impl std::error::Error for AdapterError {}

/// Reads batches and writes a reply to each, until the input ends.
pub fn run(input: impl BufRead, output: impl Write) -> Result<(), AdapterError> {
    let mut session = Session { host: PlannerHost::default(), clock: None, output: BufWriter::new(output) };
    for (index, line) in input.lines().enumerate() {
        let number = index + 1;
        let line = line.map_err(|source| AdapterError::Read { line: number, source })?;
        if !line.trim().is_empty() {
            session.handle_line(number, &line)?;
        }
    }
    match session.clock {
        Some(_) => Err(AdapterError::UnfinishedBatch),
        None => Ok(()),
    }
}

struct Session<W: Write> {
    host: PlannerHost,
    /// The time of the current batch; `None` between batches.
    clock: Option<Duration>,
    output: BufWriter<W>,
}

impl<W: Write> Session<W> {
    fn handle_line(&mut self, line: usize, text: &str) -> Result<(), AdapterError> {
        let input: Input =
            serde_json::from_str(text).map_err(|source| AdapterError::Malformed { line, source })?;
        match (input, self.clock) {
            (Input::BatchStart(start), None) => self.start_batch(line, &start)?,
            (Input::BatchStart(_), Some(_)) => return Err(AdapterError::NestedBatch { line }),
            (_, None) => return Err(AdapterError::OutsideBatch { line }),
            (Input::BatchEnd, Some(now)) => self.end_batch(now)?,
            (Input::Unknown, Some(_)) => {
                eprintln!("runloom-adapter: line {line}: ignored an event of an unknown kind");
            }
            (event, Some(_)) => self.host.handle(event),
        }
        Ok(())
    }

    fn start_batch(&mut self, line: usize, start: &BatchStart) -> Result<(), AdapterError> {
        let now = Duration::try_from_secs_f64(start.clock_seconds)
            .map_err(|source| AdapterError::InvalidClock { line, source })?;
        self.clock = Some(now);
        Ok(())
    }

    fn end_batch(&mut self, now: Duration) -> Result<(), AdapterError> {
        for output in self.host.reply(now) {
            self.write(&output).map_err(AdapterError::Reply)?;
        }
        self.output.flush().map_err(AdapterError::Reply)?;
        self.clock = None;
        Ok(())
    }

    fn write(&mut self, output: &Output) -> io::Result<()> {
        serde_json::to_writer(&mut self.output, output)?;
        self.output.write_all(b"\n")
    }
}

#[cfg(test)]
mod tests;
