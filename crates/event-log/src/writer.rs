//! [`BackgroundWriter`]: runs a recorder on a separate thread, so that a stalled disk does not block the planner.
//!
//! The queue to the thread is limited in bytes. Entries beyond the limit are dropped, and the log has their number.

use crate::entry::RecordedEvent;
use crate::error::ConversionError;
use crate::recorder::Recorder;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Bytes that may be queued: some seconds of entries from a fleet of hundreds of proxies while all tables change.
const MAX_QUEUED_BYTES: usize = 32 << 20;
/// How often the thread wakes up without new entries, to retry writes to a failed disk.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Entries of this interval are written together, so that the thread need not be woken for each iteration of the event
/// loop. A killed planner loses no more than these.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Estimated size in bytes of a name or a few numbers, including their allocation.
const ESTIMATED_FIELD_SIZE: usize = 64;

/// The events of one iteration of the event loop.
struct Batch {
    now: Duration,
    events: Vec<(Duration, RecordedEvent)>,
    /// Estimated size in bytes.
    size: usize,
}

/// Whether a log is being written, and what it lost.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WriterStatus {
    /// Why entries are not being written or are dropped at the moment; `None` if recording works.
    pub failure: Option<String>,
    /// Number of entries lost since the start.
    pub lost_entries: u64,
}

/// Passes events to a [`Recorder`] on another thread.
pub struct BackgroundWriter {
    /// `None` once the writer is finished, which ends the thread.
    sender: Option<Sender<Batch>>,
    thread: Option<JoinHandle<()>>,
    max_queued_bytes: usize,
    queued_bytes: Arc<AtomicUsize>,
    recorder_status: Arc<Mutex<WriterStatus>>,
    conversion_errors: Receiver<ConversionError>,
    /// Number of entries dropped since the start because the queue was full or the thread had ended.
    lost_entries: u64,
    /// Number of those that the log does not mention yet.
    unreported_losses: u64,
}

impl BackgroundWriter {
    /// Starts the thread, which takes over the recorder.
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

    /// Queues the events of one iteration, each with its time, or drops them all if they exceed the queue's limit.
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
            // The thread has panicked. The unreported losses make `status` return a failure.
            Err(_) => self.count_losses(count),
        }
    }

    fn count_losses(&mut self, entries: usize) {
        self.unreported_losses += entries as u64;
        self.lost_entries += entries as u64;
    }

    /// Returns the estimated size of the queue in bytes.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::Relaxed)
    }

    /// Returns the status as of the thread's last write, with the losses on this side of the queue.
    pub fn status(&self) -> WriterStatus {
        let mut status = self.recorder_status.lock().unwrap_or_else(PoisonError::into_inner).clone();
        status.lost_entries += self.lost_entries;
        if status.failure.is_none() && self.unreported_losses > 0 {
            status.failure = Some("the disk is too slow for the events to be recorded".into());
        }
        status
    }

    /// Returns the failed conversions of journals since the last call.
    pub fn take_conversion_errors(&mut self) -> Vec<ConversionError> {
        self.conversion_errors.try_iter().collect()
    }

    /// Writes what is queued, waits for the thread, and returns the failed conversions of journals.
    pub fn finish(mut self) -> Vec<ConversionError> {
        self.sender = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.take_conversion_errors()
    }
}

/// State of the writer thread.
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
                    std::thread::sleep(BATCH_INTERVAL);
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
                    return send_errors(recorder.finish(now), &conversion_errors);
                }
            }
            self.recorder.write(now);
            self.queued_bytes.fetch_sub(written_bytes, Ordering::Relaxed);
            self.update_status();
            send_errors(self.recorder.take_conversion_errors(), &self.conversion_errors);
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

fn send_errors(errors: Vec<ConversionError>, sender: &Sender<ConversionError>) {
    for error in errors {
        // Fails if the planner has ended without waiting for the thread.
        let _ = sender.send(error);
    }
}

/// Estimates the memory that an event takes while it is queued, in bytes.
fn estimate_size(event: &RecordedEvent) -> usize {
    match event {
        RecordedEvent::Step { texts, sent, health_checks, log, rejections, .. } => {
            let texts = texts.iter().chain(log).chain(rejections);
            let texts_size: usize = texts.map(|text| text.len() + ESTIMATED_FIELD_SIZE).sum();
            texts_size + ESTIMATED_FIELD_SIZE * (2 + sent.len() + health_checks.len())
        }
        RecordedEvent::Report { outcomes, arrivals, .. } => {
            ESTIMATED_FIELD_SIZE * (2 + 2 * outcomes.len() + arrivals.len())
        }
        RecordedEvent::ClassOutcomes { outcomes, .. } => ESTIMATED_FIELD_SIZE * (2 + 3 * outcomes.len()),
        RecordedEvent::WarmStart { hints } => ESTIMATED_FIELD_SIZE * (2 + hints.len()),
        RecordedEvent::EndpointsListed { servers, removed, .. } => {
            ESTIMATED_FIELD_SIZE * (2 + 4 * servers.len() + removed.len())
        }
        RecordedEvent::PlannerStarted { fleet, .. } | RecordedEvent::Reconfigured { fleet, .. } => {
            ESTIMATED_FIELD_SIZE * 2 + fleet.len()
        }
        _ => ESTIMATED_FIELD_SIZE * 2,
    }
}
