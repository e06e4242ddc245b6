//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Result<Self, String> {
        let path = format!("{folder}/record.txt");
        let file = File::create(&path).map_err(|error| format!("{path}: {error}"))?;
        Ok(Self {
            file: Mutex::new(file),
            started: Instant::now(),
        })
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}\n", self.seconds(), text.as_ref());
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        file.write_all(line.as_bytes()).ok();
    }
}
