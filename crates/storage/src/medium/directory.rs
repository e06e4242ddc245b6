//! A storage medium of preallocated files in a directory.

use super::StorageMedium;
use crate::SEGMENT_COUNT;
use crate::error::MediumError;
use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

#[derive(Debug)]
struct SegmentFile {
    path: PathBuf,
    file: File,
}

/// The preallocated files `segment-0`, `segment-1`, ... of a directory.
#[derive(Debug)]
pub struct DirectoryMedium {
    files: Vec<SegmentFile>,
    segment_bytes: u64,
}

impl DirectoryMedium {
    /// Opens the files of a directory. A missing directory or file is created, and each file is
    /// resized to `segment_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`MediumError`] if the directory or a file can't be created, opened, resized or
    /// synced.
    pub fn open(directory: &Path, segment_bytes: u64) -> Result<Self, MediumError> {
        fs::create_dir_all(directory).map_err(MediumError::at(directory))?;
        let files = (0..SEGMENT_COUNT)
            .map(|number| {
                let path = directory.join(format!("segment-{number}"));
                SegmentFile::open(path, segment_bytes)
            })
            .collect::<Result<Vec<_>, _>>()?;
        sync_directory(directory).map_err(MediumError::at(directory))?;
        if let Some(parent) = directory.parent().filter(|parent| parent.is_dir()) {
            sync_directory(parent).map_err(MediumError::at(parent))?;
        }
        Ok(Self {
            files,
            segment_bytes,
        })
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

    fn segment_bytes(&self) -> u64 {
        self.segment_bytes
    }

    fn path(&self, file: usize) -> PathBuf {
        self.files[file].path.clone()
    }
}

impl SegmentFile {
    /// Opens a file of the ring. The file is created or resized if needed.
    fn open(path: PathBuf, bytes: u64) -> Result<Self, MediumError> {
        let file = open_preallocated(&path, bytes).map_err(MediumError::at(&path))?;
        Ok(Self { path, file })
    }
}

fn open_preallocated(path: &Path, bytes: u64) -> io::Result<File> {
    let file = File::options()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)?;
    if file.metadata()?.len() != bytes {
        file.set_len(bytes)?;
        file.sync_all()?;
    }
    Ok(file)
}

/// Makes the directory entries of new files durable.
fn sync_directory(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}
