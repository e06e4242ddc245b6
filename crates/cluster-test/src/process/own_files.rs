//! The files that a process has written itself, and faults to them.

use super::{MEMBERSHIP_FILES, Process};
use std::io;
use std::path::{Path, PathBuf};
use woadstall_emulator::StoredFiles;

impl Process {
    /// All in its folder but its inputs and its log.
    fn own_files(&self) -> io::Result<Vec<PathBuf>> {
        let entries = std::fs::read_dir(&self.folder)?.map(|entry| Ok(entry?.path()));
        let entries = entries.collect::<io::Result<Vec<PathBuf>>>()?;
        let inputs = MEMBERSHIP_FILES.map(|name| self.folder.join(name));
        let is_own = |path: &PathBuf| {
            *path != self.config() && *path != self.log() && !inputs.contains(path)
        };
        Ok(entries.into_iter().filter(is_own).collect())
    }

    /// Damages the files that the next process finds. A socket is treated as a file: what replaces it has its name.
    ///
    /// # Errors
    ///
    /// Where a file cannot be listed, removed or written.
    pub fn damage_files(&self, damage: StoredFiles, stranger: &Self) -> io::Result<()> {
        let mut foreign_files = stranger.own_files()?.into_iter();
        for path in self.own_files()? {
            let content = std::fs::read(&path).unwrap_or_default();
            match damage {
                StoredFiles::Kept => {}
                _ if path.is_dir() => std::fs::remove_dir_all(&path)?,
                StoredFiles::Lost => std::fs::remove_file(&path)?,
                StoredFiles::Torn => replace(&path, &content[..content.len() / 2])?,
                StoredFiles::Empty => replace(&path, b"")?,
                StoredFiles::OtherBalancer => match foreign_files.next() {
                    Some(foreign) => {
                        std::fs::remove_file(&path)?;
                        std::os::unix::fs::symlink(foreign, &path)?;
                    }
                    None => replace(&path, b"")?,
                },
            }
        }
        Ok(())
    }
}

fn replace(path: &Path, content: &[u8]) -> io::Result<()> {
    std::fs::remove_file(path)?;
    std::fs::write(path, content)
}
