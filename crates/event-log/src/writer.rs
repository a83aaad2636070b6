//! A recorder on a thread of its own, so that a disk that stalls holds up no planner. What waits for it is bounded
//! by bytes; past the bound entries are lost, counted, and the record says so.

use crate::entry::RecordedEvent;
use crate::folder::Recorder;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Bytes that wait for the thread, at the most: some seconds of a fleet of hundreds while all tables change.
const WAITING_MOST: usize = 32 << 20;
/// With nothing to write the thread looks after the disk this often.
const IDLE: Duration = Duration::from_secs(1);

/// What happens within this span is written together: a killed planner loses no more. One write for some dozens of
/// turns, and the loop need not wake the thread for each.
const GATHER: Duration = Duration::from_millis(100);

type Batch = (Duration, Vec<(Duration, RecordedEvent)>, usize);

/// How the record does.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WriterStatus {
    /// Why nothing is recorded at the moment, if so.
    pub stopped: Option<String>,
    /// Entries lost since the start.
    pub lost: u64,
}

pub struct Writer {
    to: Option<Sender<Batch>>,
    waiting: Arc<AtomicUsize>,
    standing: Arc<Mutex<WriterStatus>>,
    thread: Option<JoinHandle<()>>,
    /// Entries that found no room since the last that did, and since the start.
    untold: u64,
    lost: u64,
    most: usize,
}

/// About how many bytes an entry takes while it waits.
fn weight(what: &RecordedEvent) -> usize {
    // A name, a number or two, and the allocation of each.
    const PIECE: usize = 64;
    match what {
        RecordedEvent::Turn { texts, sent, probes, log, refused, .. } => {
            let texts = texts.iter().chain(log).chain(refused).map(|t| t.len() + PIECE).sum::<usize>();
            texts + PIECE * (2 + sent.len() + probes.len())
        }
        RecordedEvent::Report { met, came, .. } => PIECE * (2 + 2 * met.len() + came.len()),
        RecordedEvent::Outcomes { met, .. } => PIECE * (2 + 3 * met.len()),
        RecordedEvent::Remembered { hints } => PIECE * (2 + hints.len()),
        RecordedEvent::Listed { servers, gone, .. } => PIECE * (2 + 4 * servers.len() + gone.len()),
        RecordedEvent::Start { fleet, .. } | RecordedEvent::Refit { fleet, .. } => PIECE * 2 + fleet.len(),
        _ => PIECE * 2,
    }
}

fn write(
    mut recorder: Recorder,
    from: &Receiver<Batch>,
    waiting: &AtomicUsize,
    standing: &Mutex<WriterStatus>,
) {
    let mut last = Duration::ZERO;
    loop {
        let mut done = 0;
        match from.recv_timeout(IDLE) {
            Ok(first) => {
                std::thread::sleep(GATHER);
                for (now, batch, weight) in std::iter::once(first).chain(from.try_iter()) {
                    (last, done) = (now, done + weight);
                    batch.into_iter().for_each(|(at, what)| recorder.push(at, what));
                }
            }
            Err(RecvTimeoutError::Timeout) => last += IDLE,
            Err(RecvTimeoutError::Disconnected) => return recorder.finish(last),
        }
        recorder.write(last);
        waiting.fetch_sub(done, Ordering::Relaxed);
        let now = WriterStatus { stopped: recorder.stopped().map(String::from), lost: recorder.lost() };
        *standing.lock().unwrap_or_else(PoisonError::into_inner) = now;
    }
}

impl Writer {
    pub fn new(recorder: Recorder) -> Writer {
        Writer::bounded(recorder, WAITING_MOST)
    }

    fn bounded(recorder: Recorder, most: usize) -> Writer {
        let (to, from) = channel();
        let (waiting, standing) =
            (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(WriterStatus::default())));
        let (theirs, told) = (waiting.clone(), standing.clone());
        let thread = std::thread::spawn(move || write(recorder, &from, &theirs, &told));
        Writer { to: Some(to), waiting, standing, thread: Some(thread), untold: 0, lost: 0, most }
    }

    /// Takes in what happened in one turn.
    pub fn push(&mut self, now: Duration, mut batch: Vec<(Duration, RecordedEvent)>) {
        if batch.is_empty() {
            return;
        }
        let weight: usize = batch.iter().map(|(_, what)| weight(what)).sum();
        let full = self.waiting.load(Ordering::Relaxed) + weight > self.most;
        let Some(to) = self.to.as_ref().filter(|_| !full) else { return self.lose(batch.len()) };
        if self.untold > 0 {
            batch.insert(0, (batch[0].0, RecordedEvent::Lost { entries: self.untold }));
        }
        self.waiting.fetch_add(weight, Ordering::Relaxed);
        let count = batch.len();
        match to.send((now, batch, weight)) {
            Ok(()) => self.untold = 0,
            // The thread is gone: it panicked, which is told as a stop.
            Err(_) => self.lose(count),
        }
    }

    fn lose(&mut self, entries: usize) {
        self.untold += entries as u64;
        self.lost += entries as u64;
    }

    pub fn standing(&self) -> WriterStatus {
        let mut standing = self.standing.lock().unwrap_or_else(PoisonError::into_inner).clone();
        standing.lost += self.lost;
        if standing.stopped.is_none() && self.untold > 0 {
            standing.stopped = Some("the disk is slower than what happens".into());
        }
        standing
    }

    /// Ends the record in order.
    pub fn finish(mut self) {
        self.to = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::folder::{day, RecorderConfig};

    fn left(k: usize) -> RecordedEvent {
        RecordedEvent::Left { proxy: format!("f{k}") }
    }

    /// Everything is there in order after the end; and of what finds no room the record tells how much it was.
    #[test]
    fn what_is_taken_in_is_written_in_order_and_what_found_no_room_is_counted() {
        let folder = std::env::temp_dir().join(format!("runloom-writer-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let recorder = Recorder::open(&folder, RecorderConfig::default()).unwrap();
        let mut writer = Writer::bounded(recorder, 1000);
        let at = Duration::from_millis;
        // More than the bound at once never fits.
        writer.push(at(1), (0..100).map(|k| (at(1), left(k))).collect());
        assert!(writer.standing().lost == 100 && writer.standing().stopped.is_some());
        for k in 0..50u64 {
            // Waits for room, as a turn that follows would find it.
            while writer.waiting.load(Ordering::Relaxed) > 500 {
                std::thread::yield_now();
            }
            writer.push(at(k + 2), vec![(at(k + 2), left(k as usize))]);
        }
        assert_eq!(writer.standing().lost, 100);
        writer.finish();
        let read = day(&folder, 0).unwrap();
        assert_eq!(read[0].what, RecordedEvent::Lost { entries: 100 });
        assert!(read[1..].iter().enumerate().all(|(k, e)| e.what == left(k)) && read.len() == 51);
        let _ = std::fs::remove_dir_all(&folder);
    }
}
