//! The record of a played case.

use std::{fs::File, io::Write, time::Instant};

pub struct Record {
    file: File,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file, started: Instant::now() }
    }

    /// Writes a line with the time since the start.
    pub fn line(&mut self, text: String) {
        let seconds = self.started.elapsed().as_secs_f64();
        writeln!(self.file, "{seconds:7.3} s  {text}").expect("the record can be written");
    }
}
