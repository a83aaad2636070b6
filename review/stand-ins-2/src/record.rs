//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines to `record.txt` and to standard output.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line to the file only.
    pub fn note(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("the record is not poisoned");
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Writes a line to the file and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.now().as_secs_f64());
        self.note(text);
    }
}
