//! [`Recorder`]: writes the journal of a log, closes segments, and removes old ones.

use crate::entry::{Entry, RecordedEvent};
use crate::error::ConversionError;
use crate::framing;
use crate::segment::{convert_to_columns, journal_path, list_segments, Segment};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime};

/// Time between attempts to write after a failure of the disk.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);
const DAY: Duration = Duration::from_secs(86_400);

/// Limits of a log, and how often it is synced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecorderConfig {
    /// Size in bytes at which a journal is closed and the next one begins.
    pub max_segment_bytes: u64,
    /// Total size in bytes of all segments beyond which the oldest ones are removed.
    pub max_total_bytes: u64,
    /// Age beyond which segments are removed.
    pub max_age: Duration,
    /// Time between syncs. A power cut may lose the entries of this time; a killed process loses nothing that was
    /// written.
    pub sync_interval: Duration,
    /// Bytes that may wait to be written. Further entries are dropped and counted as lost.
    pub max_buffered_bytes: usize,
}

impl Default for RecorderConfig {
    fn default() -> Self {
        RecorderConfig {
            max_segment_bytes: 16 << 20,
            max_total_bytes: 2 << 30,
            max_age: 7 * DAY,
            sync_interval: Duration::from_secs(1),
            max_buffered_bytes: 32 << 20,
        }
    }
}

/// The journal that entries are written to.
struct OpenJournal {
    file: File,
    /// Size in bytes of the header and all complete frames.
    size: u64,
}

/// Writes a log. A failing disk does not block the planner: entries are buffered up to a limit and dropped beyond that,
/// and the log then has an entry with the number of lost ones.
pub struct Recorder {
    folder: PathBuf,
    config: RecorderConfig,
    /// Number of the open segment, or of the next one if none is open.
    number: u64,
    journal: Option<OpenJournal>,
    buffer: Vec<u8>,
    lost_entries: u64,
    /// Number of lost entries that the log does not mention yet.
    unreported_losses: u64,
    last_sync: Duration,
    next_attempt: Duration,
    /// Why the last write failed; `None` if it succeeded.
    failure: Option<String>,
    converters: Vec<JoinHandle<()>>,
    /// Errors from the converters, for journals that could not be converted.
    conversion_errors: Receiver<ConversionError>,
    error_sender: Sender<ConversionError>,
}

impl Recorder {
    /// Opens a folder, creating it if needed. Entries go to a new segment; journals of earlier runs are converted.
    pub fn open(folder: &Path, config: RecorderConfig) -> io::Result<Recorder> {
        fs::create_dir_all(folder)?;
        let earlier = list_segments(folder)?;
        let (error_sender, conversion_errors) = channel();
        let mut recorder = Recorder {
            folder: folder.to_path_buf(),
            config,
            number: earlier.last().map_or(0, |segment| segment.number) + 1,
            journal: None,
            buffer: vec![],
            lost_entries: 0,
            unreported_losses: 0,
            last_sync: Duration::ZERO,
            next_attempt: Duration::ZERO,
            failure: None,
            converters: vec![],
            conversion_errors,
            error_sender,
        };
        for segment in earlier.into_iter().filter(|segment| !segment.is_columnar) {
            recorder.start_conversion(segment);
        }
        Ok(recorder)
    }

    /// Returns why nothing can be written at the moment; `None` if the last write succeeded.
    pub fn failure(&self) -> Option<&str> {
        self.failure.as_deref()
    }

    /// Returns the number of entries lost since the start.
    pub fn lost_entries(&self) -> u64 {
        self.lost_entries
    }

    /// Returns the failed conversions since the last call.
    pub fn take_conversion_errors(&mut self) -> Vec<ConversionError> {
        self.conversion_errors.try_iter().collect()
    }

    /// Adds an entry to the buffer, or counts it as lost if the buffer is full or the entry is too large.
    pub fn push(&mut self, at: Duration, event: RecordedEvent) {
        let at_us = at.as_micros() as u64;
        if self.buffer.len() >= self.config.max_buffered_bytes {
            self.count_loss();
            return;
        }
        if self.unreported_losses > 0 {
            let entries = std::mem::take(&mut self.unreported_losses);
            let loss = Entry { at_us, event: RecordedEvent::EntriesLost { entries } };
            let _ = framing::append_frame(&loss, &mut self.buffer);
        }
        if framing::append_frame(&Entry { at_us, event }, &mut self.buffer).is_err() {
            self.count_loss();
        }
    }

    fn count_loss(&mut self) {
        self.unreported_losses += 1;
        self.lost_entries += 1;
    }

    /// Writes the buffer to disk. After a failure, does nothing until `RETRY_INTERVAL` has passed.
    pub fn write(&mut self, now: Duration) {
        if self.buffer.is_empty() || (self.failure.is_some() && now < self.next_attempt) {
            return;
        }
        match self.write_buffer(now) {
            Ok(()) => self.failure = None,
            Err(e) => {
                self.abandon_journal();
                self.failure = Some(e.to_string());
                self.next_attempt = now + RETRY_INTERVAL;
            }
        }
    }

    /// Truncates a frame that may be half written. The buffer will be written to a new segment.
    fn abandon_journal(&mut self) {
        if let Some(journal) = self.journal.take() {
            let _ = journal.file.set_len(journal.size);
            self.number += 1;
        }
    }

    fn write_buffer(&mut self, now: Duration) -> io::Result<()> {
        if self.journal.is_none() {
            self.journal = Some(self.create_journal()?);
        }
        let Some(journal) = &mut self.journal else { return Ok(()) };
        journal.file.write_all(&self.buffer)?;
        journal.size += self.buffer.len() as u64;
        self.buffer.clear();
        if now >= self.last_sync + self.config.sync_interval {
            journal.file.sync_data()?;
            self.last_sync = now;
        }
        if journal.size >= self.config.max_segment_bytes {
            self.close_journal()?;
        }
        Ok(())
    }

    /// Creates the next journal. If its header cannot be written, the file is removed, so that the next attempt can
    /// use the same number. If it cannot be removed either, the next attempt fails since the file exists, and the one
    /// after that uses the next number.
    fn create_journal(&mut self) -> io::Result<OpenJournal> {
        let path = journal_path(&self.folder, self.number);
        let created = OpenOptions::new().create_new(true).append(true).open(&path);
        if created.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::AlreadyExists) {
            self.number += 1;
        }
        let mut file = created?;
        let header = framing::header();
        if let Err(error) = file.write_all(&header) {
            let _ = fs::remove_file(&path);
            return Err(error);
        }
        Ok(OpenJournal { file, size: header.len() as u64 })
    }

    fn close_journal(&mut self) -> io::Result<()> {
        let Some(journal) = &self.journal else { return Ok(()) };
        journal.file.sync_data()?;
        let segment = Segment {
            number: self.number,
            path: journal_path(&self.folder, self.number),
            size: journal.size,
            is_columnar: false,
        };
        self.journal = None;
        self.start_conversion(segment);
        self.number += 1;
        self.remove_old_segments();
        Ok(())
    }

    /// Converts a closed journal to a columnar file on a separate thread, since that takes longer than an iteration
    /// of the event loop may. A journal that cannot be converted is kept, and remains readable.
    fn start_conversion(&mut self, segment: Segment) {
        self.converters.retain(|converter| !converter.is_finished());
        let errors = self.error_sender.clone();
        self.converters.push(std::thread::spawn(move || {
            if let Err(error) = convert_to_columns(&segment) {
                // If the recorder has ended, nobody receives the error; the next one tries the conversion again.
                let _ = errors.send(error);
            }
        }));
    }

    /// Removes closed segments beyond the limits of total size and age, oldest first.
    fn remove_old_segments(&mut self) {
        let Ok(segments) = list_segments(&self.folder) else { return };
        let mut total_bytes: u64 = segments.iter().map(|segment| segment.size).sum();
        for segment in segments.iter().filter(|segment| segment.number < self.number) {
            if total_bytes > self.config.max_total_bytes || age(segment) > self.config.max_age {
                total_bytes -= segment.size;
                let _ = fs::remove_file(&segment.path);
            }
        }
    }

    /// Writes what is buffered, waits for all conversions, and ends the log. Returns the failed conversions. The buffer
    /// is lost if the disk fails, or failed less than `RETRY_INTERVAL` ago.
    pub fn finish(mut self, now: Duration) -> Vec<ConversionError> {
        self.write(now);
        if let Some(journal) = &self.journal {
            let _ = journal.file.sync_data();
        }
        for converter in std::mem::take(&mut self.converters) {
            let _ = converter.join();
        }
        // A small columnar file is larger than its journal, so the limit may be exceeded again.
        self.remove_old_segments();
        self.take_conversion_errors()
    }
}

/// Returns the time since a segment was last written; 0 if unknown.
fn age(segment: &Segment) -> Duration {
    let modified = fs::metadata(&segment.path).and_then(|metadata| metadata.modified()).ok();
    modified.and_then(|at| SystemTime::now().duration_since(at).ok()).unwrap_or_default()
}
