//! The record of a run, with the time of each line.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Lines with the time since the start.
pub struct Record {
    started_at: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            started_at: Instant::now(),
            lines: Mutex::new(Vec::new()),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn add(&self, line: String) {
        let now = self.now();
        println!("{:8.3} {line}", now.as_secs_f64());
        self.lines.lock().unwrap().push((now, line));
    }

    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:8.3} {line}\n", at.as_secs_f64()))
            .collect();
        std::fs::write(path, text)
    }
}

impl Record {
    /// Adds the lines to another record.
    pub fn copy_to(&self, other: &Record) {
        let offset = other.now().saturating_sub(self.now());
        let lines = self.lines.lock().unwrap().clone();
        let lines = lines.into_iter().map(|(at, line)| (at + offset, line));
        other.lines.lock().unwrap().extend(lines);
    }
}
