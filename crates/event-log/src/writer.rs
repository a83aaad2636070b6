//! A recorder on a thread of its own, so that a disk that stalls does not block the planner.
//!
//! What waits for the thread is limited by bytes; entries beyond that are lost, and counted in the log.

use crate::entry::RecordedEvent;
use crate::error::ConversionError;
use crate::recorder::Recorder;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Bytes that may wait for the thread: some seconds of a fleet of hundreds of proxies while all tables change.
const MAX_QUEUED_BYTES: usize = 32 << 20;
/// With nothing to write, the thread retries a failed disk this often.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Entries of this time are written together. A killed planner loses no more, and the thread need not be woken for
/// each iteration.
const GATHER_INTERVAL: Duration = Duration::from_millis(100);
/// Estimated bytes of a name or a few numbers, with their allocation.
const FIELD_SIZE: usize = 64;

/// The entries of one iteration.
struct Batch {
    now: Duration,
    events: Vec<(Duration, RecordedEvent)>,
    /// Estimated size in bytes.
    size: usize,
}

/// The state of a log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WriterStatus {
    /// Why nothing is recorded at the moment, if so.
    pub failure: Option<String>,
    /// Entries lost since the start.
    pub lost_entries: u64,
}

/// Passes entries to a recorder on another thread.
pub struct BackgroundWriter {
    /// `None` once it is finished.
    sender: Option<Sender<Batch>>,
    thread: Option<JoinHandle<()>>,
    max_queued_bytes: usize,
    queued_bytes: Arc<AtomicUsize>,
    recorder_status: Arc<Mutex<WriterStatus>>,
    conversion_errors: Receiver<ConversionError>,
    /// Entries that found no room since the start.
    lost_entries: u64,
    /// Those of them that the log does not mention yet.
    unreported_losses: u64,
}

impl BackgroundWriter {
    /// Starts the thread.
    pub fn new(recorder: Recorder) -> BackgroundWriter {
        BackgroundWriter::with_limit(recorder, MAX_QUEUED_BYTES)
    }

    pub(crate) fn with_limit(recorder: Recorder, max_queued_bytes: usize) -> BackgroundWriter {
        let (sender, receiver) = channel();
        let (error_sender, conversion_errors) = channel();
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let recorder_status = Arc::new(Mutex::new(WriterStatus::default()));
        let worker = Worker {
            recorder,
            receiver,
            queued_bytes: queued_bytes.clone(),
            status: recorder_status.clone(),
            conversion_errors: error_sender,
        };
        BackgroundWriter {
            sender: Some(sender),
            thread: Some(std::thread::spawn(move || worker.run())),
            max_queued_bytes,
            queued_bytes,
            recorder_status,
            conversion_errors,
            lost_entries: 0,
            unreported_losses: 0,
        }
    }

    /// Adds the entries of one iteration.
    pub fn push(&mut self, now: Duration, mut events: Vec<(Duration, RecordedEvent)>) {
        let Some((first_at, _)) = events.first() else { return };
        let first_at = *first_at;
        let size: usize = events.iter().map(|(_, event)| estimate_size(event)).sum();
        let is_full = self.queued_bytes() + size > self.max_queued_bytes;
        let Some(sender) = self.sender.as_ref().filter(|_| !is_full) else {
            return self.count_losses(events.len());
        };
        if self.unreported_losses > 0 {
            let loss = RecordedEvent::EntriesLost { entries: self.unreported_losses };
            events.insert(0, (first_at, loss));
        }
        self.queued_bytes.fetch_add(size, Ordering::Relaxed);
        let count = events.len();
        match sender.send(Batch { now, events, size }) {
            Ok(()) => self.unreported_losses = 0,
            // The thread has panicked, which shows as a failure.
            Err(_) => self.count_losses(count),
        }
    }

    fn count_losses(&mut self, entries: usize) {
        self.unreported_losses += entries as u64;
        self.lost_entries += entries as u64;
    }

    /// Estimated bytes that wait for the thread.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::Relaxed)
    }

    /// The state of the log.
    pub fn status(&self) -> WriterStatus {
        let mut status = self.recorder_status.lock().unwrap_or_else(PoisonError::into_inner).clone();
        status.lost_entries += self.lost_entries;
        if status.failure.is_none() && self.unreported_losses > 0 {
            status.failure = Some("the disk is slower than what happens".into());
        }
        status
    }

    /// The journals that could not be made columnar since the last call.
    pub fn take_conversion_errors(&mut self) -> Vec<ConversionError> {
        self.conversion_errors.try_iter().collect()
    }

    /// Ends the log in order; returns the journals that could not be made columnar.
    pub fn finish(mut self) -> Vec<ConversionError> {
        self.sender = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.take_conversion_errors()
    }
}

/// What the thread owns.
struct Worker {
    recorder: Recorder,
    receiver: Receiver<Batch>,
    queued_bytes: Arc<AtomicUsize>,
    status: Arc<Mutex<WriterStatus>>,
    conversion_errors: Sender<ConversionError>,
}

impl Worker {
    fn run(mut self) {
        let mut now = Duration::ZERO;
        loop {
            let mut written_bytes = 0;
            match self.receiver.recv_timeout(IDLE_INTERVAL) {
                Ok(first) => {
                    std::thread::sleep(GATHER_INTERVAL);
                    for batch in std::iter::once(first).chain(self.receiver.try_iter()) {
                        now = batch.now;
                        written_bytes += batch.size;
                        for (at, event) in batch.events {
                            self.recorder.push(at, event);
                        }
                    }
                }
                Err(RecvTimeoutError::Timeout) => now += IDLE_INTERVAL,
                Err(RecvTimeoutError::Disconnected) => {
                    let Worker { recorder, conversion_errors, .. } = self;
                    return report(recorder.finish(now), &conversion_errors);
                }
            }
            self.recorder.write(now);
            self.queued_bytes.fetch_sub(written_bytes, Ordering::Relaxed);
            self.update_status();
            report(self.recorder.take_conversion_errors(), &self.conversion_errors);
        }
    }

    fn update_status(&self) {
        let status = WriterStatus {
            failure: self.recorder.failure().map(String::from),
            lost_entries: self.recorder.lost_entries(),
        };
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }
}

fn report(errors: Vec<ConversionError>, receiver: &Sender<ConversionError>) {
    for error in errors {
        // The planner has ended without waiting for the thread.
        let _ = receiver.send(error);
    }
}

/// About how many bytes an event takes while it waits.
fn estimate_size(event: &RecordedEvent) -> usize {
    match event {
        RecordedEvent::Step { texts, sent, health_checks, log, rejections, .. } => {
            let texts = texts.iter().chain(log).chain(rejections);
            let texts_size: usize = texts.map(|text| text.len() + FIELD_SIZE).sum();
            texts_size + FIELD_SIZE * (2 + sent.len() + health_checks.len())
        }
        RecordedEvent::Report { outcomes, arrivals, .. } => {
            FIELD_SIZE * (2 + 2 * outcomes.len() + arrivals.len())
        }
        RecordedEvent::ClassOutcomes { outcomes, .. } => FIELD_SIZE * (2 + 3 * outcomes.len()),
        RecordedEvent::WarmStart { hints } => FIELD_SIZE * (2 + hints.len()),
        RecordedEvent::EndpointsListed { servers, removed, .. } => {
            FIELD_SIZE * (2 + 4 * servers.len() + removed.len())
        }
        RecordedEvent::PlannerStarted { fleet, .. } | RecordedEvent::Reconfigured { fleet, .. } => {
            FIELD_SIZE * 2 + fleet.len()
        }
        _ => FIELD_SIZE * 2,
    }
}
