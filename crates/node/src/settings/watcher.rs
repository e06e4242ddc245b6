//! Reloads the settings file when it has changed.

use super::{NodeSettings, SettingsError};
use std::fs;
use std::path::PathBuf;
use std::time::SystemTime;

/// The settings file, and its modification time when it was last read.
#[derive(Debug)]
pub struct SettingsWatcher {
    path: PathBuf,
    modified: Option<SystemTime>,
}

impl SettingsWatcher {
    /// Reads the file that the environment names, and watches it from then on.
    ///
    /// # Errors
    ///
    /// The variable is not set, or the file can't be read or is invalid.
    pub fn load() -> Result<(NodeSettings, Self), SettingsError> {
        let mut watcher = Self {
            path: NodeSettings::path()?,
            modified: None,
        };
        // Taken before the file is read, so that a change in between is noticed.
        watcher.modified = watcher.modification_time();
        Ok((NodeSettings::read(&watcher.path)?, watcher))
    }

    /// Reads the file if it has been modified since it was last read. An invalid file is logged and
    /// ignored.
    pub fn reload_if_modified(&mut self) -> Option<NodeSettings> {
        if self.modification_time() == self.modified {
            return None;
        }
        self.reload()
    }

    /// Reads the file whether or not it has been modified. An invalid file is logged and ignored.
    pub fn reload(&mut self) -> Option<NodeSettings> {
        self.modified = self.modification_time();
        match NodeSettings::read(&self.path) {
            Ok(settings) => {
                log::info!("settings_reloaded seeds={:?}", settings.seeds);
                Some(settings)
            }
            Err(error) => {
                log::error!("settings_rejected error={error}");
                None
            }
        }
    }

    fn modification_time(&self) -> Option<SystemTime> {
        fs::metadata(&self.path).ok()?.modified().ok()
    }
}
