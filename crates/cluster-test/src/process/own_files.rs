//! Files written by a process, and faults that damage them.

use super::{MEMBERSHIP_FILES, Process};
use std::io;
use std::path::{Path, PathBuf};
use woadstall_emulator::StoredFiles;

impl Process {
    /// Returns all files in the directory of the process except its inputs and its log.
    fn own_files(&self) -> io::Result<Vec<PathBuf>> {
        let entries = std::fs::read_dir(&self.directory)?.map(|entry| Ok(entry?.path()));
        let entries = entries.collect::<io::Result<Vec<PathBuf>>>()?;
        let inputs = MEMBERSHIP_FILES.map(|name| self.directory.join(name));
        let is_own = |path: &PathBuf| {
            *path != self.config() && *path != self.log() && !inputs.contains(path)
        };
        Ok(entries.into_iter().filter(is_own).collect())
    }

    /// Damages the files that the next incarnation of the process finds. With
    /// [`StoredFiles::OtherBalancer`], links to files of `donor` replace the files. Sockets are treated like files: a
    /// regular file or a link of the same name replaces the socket.
    ///
    /// # Errors
    ///
    /// If a file cannot be listed, removed or written.
    pub fn damage_files(&self, damage: StoredFiles, donor: &Self) -> io::Result<()> {
        let mut donor_files = donor.own_files()?.into_iter();
        for path in self.own_files()? {
            let content = std::fs::read(&path).unwrap_or_default();
            match damage {
                StoredFiles::Kept => {}
                _ if path.is_dir() => std::fs::remove_dir_all(&path)?,
                StoredFiles::Lost => std::fs::remove_file(&path)?,
                StoredFiles::Torn => replace(&path, &content[..content.len() / 2])?,
                StoredFiles::Empty => replace(&path, b"")?,
                StoredFiles::OtherBalancer => match donor_files.next() {
                    Some(donor_file) => {
                        std::fs::remove_file(&path)?;
                        std::os::unix::fs::symlink(donor_file, &path)?;
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
