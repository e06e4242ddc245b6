//! Notices that the settings file has changed, with or without a signal.

use crate::settings::{NodeSettings, SettingsError};
use std::fs;
use std::path::PathBuf;
use std::time::SystemTime;

/// The file, and its state when it was last read.
#[derive(Debug)]
pub struct SettingsWatch {
    path: PathBuf,
    modified: Option<SystemTime>,
}

impl SettingsWatch {
    /// Reads the file that the environment names, and watches it from then on.
    pub fn load() -> Result<(NodeSettings, Self), SettingsError> {
        let mut watch = Self {
            path: NodeSettings::path()?,
            modified: None,
        };
        // As of before it is read: a change in between is noticed.
        watch.modified = watch.modification();
        Ok((NodeSettings::read(&watch.path)?, watch))
    }

    /// The settings, if the file has changed since it was last read, or if `at_once` whatever it is. A file at fault is logged
    /// and changes nothing.
    pub fn changed(&mut self, at_once: bool) -> Option<NodeSettings> {
        let modified = self.modification();
        if !at_once && modified == self.modified {
            return None;
        }
        self.modified = modified;
        match NodeSettings::read(&self.path) {
            Ok(settings) => Some(settings),
            Err(error) => {
                log::error!("new settings refused: {error}");
                None
            }
        }
    }

    fn modification(&self) -> Option<SystemTime> {
        fs::metadata(&self.path).ok()?.modified().ok()
    }
}
