//! The record of a case: what was sent, answered and run.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

/// Writes lines with the time since the start to the file that `RECORD` names.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the record; without `RECORD`, it goes to `record.txt`.
    pub fn open() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = Mutex::new(File::create(path).expect("the record can be created"));
        Self { started: Instant::now(), file }
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{:8.3} {text}", self.started.elapsed().as_secs_f64());
    }
}
