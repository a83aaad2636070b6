//! The folder of a record: one open journal, closed segments, and how many of them are kept.

use crate::entry::{Entry, RecordedEvent};
use crate::{columns, framing};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// How a record is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecorderConfig {
    /// Bytes of a journal until it is closed and made columnar: some minutes of a fleet of hundreds.
    pub segment: u64,
    /// All files together: past it the oldest closed ones go.
    pub most: u64,
    /// Older ones go.
    pub age: Duration,
    /// A journal is synced this often: a power cut loses no more. A killed process loses nothing it had written.
    pub sync: Duration,
    /// Bytes that wait to be written, at the most; past it entries are lost, and counted.
    pub waiting: usize,
}

impl Default for RecorderConfig {
    fn default() -> Self {
        let day = Duration::from_secs(86_400);
        RecorderConfig {
            segment: 16 << 20,
            most: 2 << 30,
            age: 7 * day,
            sync: Duration::from_secs(1),
            waiting: 32 << 20,
        }
    }
}

/// Between tries to write again on a disk that was full.
const AGAIN: Duration = Duration::from_secs(5);

/// One file of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    pub number: u64,
    pub path: PathBuf,
    pub bytes: u64,
    pub columnar: bool,
}

#[derive(Debug, thiserror::Error)]
pub enum Unreadable {
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    #[error("{0}: {1}")]
    Journal(PathBuf, framing::Unreadable),
    #[error("{0}: {1}")]
    Columns(PathBuf, columns::ColumnError),
}

/// The segments of a folder, in order. What was half made columnar is left out: its journal is still there.
pub fn segments(folder: &Path) -> io::Result<Vec<Segment>> {
    let mut found: Vec<Segment> = Vec::new();
    for file in fs::read_dir(folder)? {
        let file = file?;
        let name = file.file_name().to_string_lossy().into_owned();
        let Some((stem, kind)) = name.split_once('.') else { continue };
        let Ok(number) = stem.parse::<u64>() else { continue };
        if kind == "journal" || kind == "parquet" {
            // Its planner may have made it columnar since the folder was read: it is there under its other name.
            let bytes = file.metadata().map_or(0, |m| m.len());
            found.push(Segment { number, path: file.path(), bytes, columnar: kind == "parquet" });
        }
    }
    found.sort_by_key(|s| (s.number, !s.columnar));
    // Both of one number: killed between making it columnar and removing the journal.
    found.dedup_by_key(|s| s.number);
    Ok(found)
}

/// The entries of one segment, and the bytes of a torn tail.
pub fn read(segment: &Segment) -> Result<(Vec<Entry>, usize), Unreadable> {
    let io = |e| Unreadable::Io(segment.path.clone(), e);
    let mut file = File::open(&segment.path).map_err(io)?;
    if segment.columnar {
        let entries = columns::read(file).map_err(|e| Unreadable::Columns(segment.path.clone(), e))?;
        return Ok((entries, 0));
    }
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes).map_err(io)?;
    let read = framing::read(&bytes).map_err(|e| Unreadable::Journal(segment.path.clone(), e))?;
    Ok((read.entries, read.torn))
}

/// Makes a closed journal columnar: written beside, synced, renamed, and only then is the journal removed.
pub fn close(segment: &Segment) -> Result<PathBuf, Unreadable> {
    let io = |e| Unreadable::Io(segment.path.clone(), e);
    let (entries, _) = read(segment)?;
    let (beside, place) = (segment.path.with_extension("making"), segment.path.with_extension("parquet"));
    let file = File::create(&beside).map_err(io)?;
    columns::write(&entries, &file).map_err(|e| Unreadable::Columns(beside.clone(), e))?;
    file.sync_all().map_err(io)?;
    fs::rename(&beside, &place).map_err(io)?;
    fs::remove_file(&segment.path).map_err(io)?;
    Ok(place)
}

/// Writes a record. It never holds up its planner: what cannot be written waits within a bound, and is lost
/// past it, which the record then says.
pub struct Recorder {
    folder: PathBuf,
    terms: RecorderConfig,
    number: u64,
    file: Option<File>,
    written: u64,
    waiting: Vec<u8>,
    /// Entries lost since the last that was written.
    untold: u64,
    lost: u64,
    synced: Duration,
    again: Duration,
    why: Option<String>,
    makers: Vec<std::thread::JoinHandle<()>>,
}

impl Recorder {
    /// Opens a folder: a new segment begins, those of before are closed.
    pub fn open(folder: &Path, terms: RecorderConfig) -> io::Result<Recorder> {
        fs::create_dir_all(folder)?;
        let old = segments(folder)?;
        let number = old.last().map_or(0, |s| s.number) + 1;
        let mut recorder = Recorder {
            folder: folder.to_path_buf(),
            terms,
            number,
            file: None,
            written: 0,
            waiting: vec![],
            untold: 0,
            lost: 0,
            synced: Duration::ZERO,
            again: Duration::ZERO,
            why: None,
            makers: vec![],
        };
        old.into_iter().filter(|s| !s.columnar).for_each(|s| recorder.make(s));
        Ok(recorder)
    }

    /// Why nothing is recorded at the moment, if so.
    pub fn stopped(&self) -> Option<&str> {
        self.why.as_deref()
    }

    /// Entries lost since the start.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Takes an entry in.
    pub fn push(&mut self, at: Duration, what: RecordedEvent) {
        let at = at.as_micros() as u64;
        if self.waiting.len() >= self.terms.waiting {
            (self.untold, self.lost) = (self.untold + 1, self.lost + 1);
            return;
        }
        if self.untold > 0 {
            let lost = Entry { at, what: RecordedEvent::Lost { entries: std::mem::take(&mut self.untold) } };
            let _ = framing::push(&lost, &mut self.waiting);
        }
        if framing::push(&Entry { at, what }, &mut self.waiting).is_err() {
            (self.untold, self.lost) = (self.untold + 1, self.lost + 1);
        }
    }

    /// Writes what waits. To be called once a turn.
    pub fn write(&mut self, now: Duration) {
        if self.waiting.is_empty() || (self.why.is_some() && now < self.again) {
            return;
        }
        match self.write_out(now) {
            Ok(()) => self.why = None,
            Err(e) => {
                // A frame may be half written there: what waits goes, whole, into a new segment.
                if let Some(file) = self.file.take() {
                    let _ = file.set_len(self.written);
                    self.number += 1;
                }
                (self.why, self.again) = (Some(e.to_string()), now + AGAIN);
            }
        }
    }

    fn write_out(&mut self, now: Duration) -> io::Result<()> {
        if self.file.is_none() {
            let path = self.folder.join(format!("{:08}.journal", self.number));
            let mut file = OpenOptions::new().create_new(true).append(true).open(path)?;
            file.write_all(&framing::head())?;
            self.written = framing::head().len() as u64;
            self.file = Some(file);
        }
        let Some(file) = &mut self.file else { return Ok(()) };
        file.write_all(&self.waiting)?;
        self.written += self.waiting.len() as u64;
        self.waiting.clear();
        if now >= self.synced + self.terms.sync {
            file.sync_data()?;
            self.synced = now;
        }
        if self.written >= self.terms.segment {
            file.sync_data()?;
            self.file = None;
            let path = self.folder.join(format!("{:08}.journal", self.number));
            self.make(Segment { number: self.number, path, bytes: self.written, columnar: false });
            self.number += 1;
            self.retain();
        }
        Ok(())
    }

    /// On a thread of its own: it takes longer than a turn may. It reads and writes files that nobody else does.
    fn make(&mut self, segment: Segment) {
        self.makers.retain(|m| !m.is_finished());
        self.makers.push(std::thread::spawn(move || {
            // What cannot be made columnar stays a journal, and is read as well.
            let _ = close(&segment);
        }));
    }

    /// Removes the oldest closed segments past the bounds of size and age.
    fn retain(&mut self) {
        let Ok(all) = segments(&self.folder) else { return };
        let mut bytes: u64 = all.iter().map(|s| s.bytes).sum();
        for segment in all.iter().filter(|s| s.number < self.number) {
            let age = fs::metadata(&segment.path).and_then(|m| m.modified()).ok();
            let age = age.and_then(|at| SystemTime::now().duration_since(at).ok()).unwrap_or_default();
            if bytes > self.terms.most || age > self.terms.age {
                bytes -= segment.bytes;
                let _ = fs::remove_file(&segment.path);
            }
        }
    }

    /// Ends the record in order: all is written, and what was closed is columnar.
    pub fn finish(mut self, now: Duration) {
        self.write(now);
        if let Some(file) = &self.file {
            let _ = file.sync_data();
        }
        for maker in std::mem::take(&mut self.makers) {
            let _ = maker.join();
        }
        // Columnar files of small segments are larger than their journals were.
        self.retain();
    }
}

/// What of a folder's record belongs to the planner's last start, or the last but so many.
pub fn day(folder: &Path, back: usize) -> Result<Vec<Entry>, Unreadable> {
    let mut days = days(folder)?;
    let place = days.len().checked_sub(back + 1);
    Ok(place.map(|p| days.swap_remove(p)).unwrap_or_default())
}

/// The whole record, a list of entries for each start of the planner; the first may lack its start, if that was old.
pub fn days(folder: &Path) -> Result<Vec<Vec<Entry>>, Unreadable> {
    let mut days: Vec<Vec<Entry>> = Vec::new();
    walk(folder, &mut |day, entry| {
        days.resize_with(days.len().max(day + 1), Vec::new);
        days[day].push(entry);
        true
    })?;
    Ok(days)
}

/// The entries of the planner's last start, or the last but so many, one after the other while `take` wants more. No more
/// than one segment is held in memory, however long the day was.
pub fn each(folder: &Path, back: usize, take: &mut dyn FnMut(Entry) -> bool) -> Result<(), Unreadable> {
    let mut last = None;
    walk(folder, &mut |day, _| {
        last = Some(day);
        true
    })?;
    let Some(wanted) = last.and_then(|last| last.checked_sub(back)) else { return Ok(()) };
    walk(folder, &mut |day, entry| if day == wanted { take(entry) } else { day < wanted })
}

/// All entries in order, each with the number of its start, until `take` wants no more.
fn walk(folder: &Path, take: &mut dyn FnMut(usize, Entry) -> bool) -> Result<(), Unreadable> {
    let all = segments(folder).map_err(|e| Unreadable::Io(folder.to_path_buf(), e))?;
    let (mut day, mut last): (Option<usize>, Option<&Segment>) = (None, None);
    for segment in &all {
        let Some(entries) = read_meanwhile(segment)? else { continue };
        // A segment that is missing in the middle of a day is a gap in it; the count is not known.
        let gap = last.is_some_and(|l| l.number + 1 != segment.number);
        last = Some(segment);
        if let Some((day, first)) = day.zip(entries.first()).filter(|_| gap) {
            if !take(day, Entry { at: first.at, what: RecordedEvent::Lost { entries: 0 } }) {
                return Ok(());
            }
        }
        for entry in entries {
            let now = match day {
                None => 0,
                Some(day) => day + usize::from(matches!(entry.what, RecordedEvent::Start { .. })),
            };
            day = Some(now);
            if !take(now, entry) {
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Its planner goes on meanwhile: a segment may have been made columnar, or have gone for its age, after the folder
/// was read.
fn read_meanwhile(segment: &Segment) -> Result<Option<Vec<Entry>>, Unreadable> {
    match read(segment) {
        Ok((entries, _)) => Ok(Some(entries)),
        Err(Unreadable::Io(path, e)) if e.kind() == io::ErrorKind::NotFound => {
            let path = path.with_extension("parquet");
            match File::open(&path) {
                Ok(file) => columns::read(file).map(Some).map_err(|e| Unreadable::Columns(path, e)),
                Err(_) => Ok(None),
            }
        }
        Err(e) => Err(e),
    }
}
