//! What was sent, answered and run, with the time since the script began.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("the record cannot be written: {error}");
            std::process::exit(2);
        });
        Record {
            begun: Instant::now(),
            file: Mutex::new(file),
        }
    }

    /// Returns the milliseconds since the script began.
    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().expect("lock");
        let _ = writeln!(file, "{:3}.{:03} {text}", now / 1000, now % 1000);
    }
}

/// Returns the time of day in ms since 1970.
pub fn unix() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
