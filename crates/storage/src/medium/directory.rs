//! Preallocated files in a directory.

use super::StorageMedium;
use crate::error::MediumError;
use crate::{SEGMENT_BYTES, SEGMENT_COUNT};
use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

#[derive(Debug)]
struct SegmentFile {
    path: PathBuf,
    file: File,
}

/// The files `segment-0`, `segment-1`, ... of a directory.
#[derive(Debug)]
pub struct DirectoryMedium {
    files: Vec<SegmentFile>,
}

impl DirectoryMedium {
    /// Opens the files of a directory; creates what is missing.
    ///
    /// # Errors
    ///
    /// [`MediumError`] if the directory or a file can't be created, opened or resized.
    pub fn open(directory: &Path) -> Result<Self, MediumError> {
        fs::create_dir_all(directory).map_err(MediumError::at(directory))?;
        let files = (0..SEGMENT_COUNT)
            .map(|number| SegmentFile::open(directory.join(format!("segment-{number}"))))
            .collect::<Result<Vec<_>, _>>()?;
        sync_directory(directory).map_err(MediumError::at(directory))?;
        Ok(Self { files })
    }
}

impl StorageMedium for DirectoryMedium {
    fn read_at(&self, file: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let mut file = &self.files[file].file;
        file.seek(SeekFrom::Start(offset))?;
        let mut filled = 0;
        while filled < buffer.len() {
            match file.read(&mut buffer[filled..])? {
                0 => break,
                read => filled += read,
            }
        }
        Ok(filled)
    }

    fn write_at(&mut self, file: usize, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut file = &self.files[file].file;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)
    }

    fn sync(&mut self, file: usize) -> io::Result<()> {
        self.files[file].file.sync_data()
    }

    fn path(&self, file: usize) -> PathBuf {
        self.files[file].path.clone()
    }
}

impl SegmentFile {
    /// Opens a file; creates it or changes its size if needed.
    fn open(path: PathBuf) -> Result<Self, MediumError> {
        let file = open_preallocated(&path).map_err(MediumError::at(&path))?;
        Ok(Self { path, file })
    }
}

fn open_preallocated(path: &Path) -> io::Result<File> {
    let file = File::options()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)?;
    if file.metadata()?.len() != SEGMENT_BYTES {
        file.set_len(SEGMENT_BYTES)?;
        file.sync_all()?;
    }
    Ok(file)
}

/// Makes the names of new files durable.
fn sync_directory(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}
