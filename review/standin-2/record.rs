//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A file with a line for each event and the time since the start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Arc<Record> {
        Arc::new(Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("record can be written")),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("file");
        writeln!(file, "{at:9.4} {text}").expect("record can be written");
    }

    /// Writes a line, and shows it.
    pub fn say(&self, text: &str) {
        // Nobody may read it.
        let _ = writeln!(std::io::stdout(), "{text}");
        self.line(text);
    }
}
