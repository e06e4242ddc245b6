//! Reloads the settings file after it was modified.

use super::{NodeSettings, SettingsError};
use std::fs;
use std::path::PathBuf;
use std::time::SystemTime;

/// Path of the settings file and its modification time at the last read.
#[derive(Debug)]
pub struct SettingsWatcher {
    path: PathBuf,
    modified: Option<SystemTime>,
}

impl SettingsWatcher {
    /// Reads the settings file given by the environment and returns its settings with a watcher.
    ///
    /// # Errors
    ///
    /// Fails if the environment variable is not set, or if the file can't be read or is invalid.
    pub fn load() -> Result<(NodeSettings, Self), SettingsError> {
        let mut watcher = Self {
            path: NodeSettings::path()?,
            modified: None,
        };
        // Taken before the file is read, so that a concurrent modification is detected later.
        watcher.modified = watcher.modification_time();
        Ok((NodeSettings::read(&watcher.path)?, watcher))
    }

    /// Reads the file again if it was modified since the last read. Returns `None` if it was not
    /// modified. An invalid file is logged and ignored.
    pub fn reload_if_modified(&mut self) -> Option<NodeSettings> {
        if self.modification_time() == self.modified {
            return None;
        }
        self.reload()
    }

    /// Reads the file again, even if it was not modified. An invalid file is logged and ignored.
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
