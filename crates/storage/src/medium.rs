//! What the ring is written to: a folder of files, or in tests something that loses power.

use crate::{SEGMENT_BYTES, SEGMENTS, StorageError};
use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A few files of fixed size.
pub trait Medium {
    /// Reads at a position; fewer bytes than asked for only at the end.
    fn read(&self, file: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes at a position.
    fn write(&mut self, file: usize, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Waits until all that was written to a file is durable.
    fn sync(&mut self, file: usize) -> io::Result<()>;
    /// The file's name, for errors.
    fn name(&self, file: usize) -> PathBuf;
}

/// Preallocated files in a folder.
#[derive(Debug)]
pub struct Folder {
    files: Vec<(PathBuf, File)>,
}

impl Folder {
    /// Opens or creates the files.
    pub fn open(folder: &Path) -> Result<Self, StorageError> {
        fs::create_dir_all(folder).map_err(StorageError::at(folder))?;
        let files = (0..SEGMENTS)
            .map(|number| open_file(&folder.join(format!("segment-{number}"))))
            .collect::<Result<Vec<_>, _>>()?;
        File::open(folder)
            .and_then(|folder| folder.sync_all())
            .map_err(StorageError::at(folder))?;
        Ok(Self { files })
    }
}

impl Medium for Folder {
    fn read(&self, file: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let mut file = &self.files[file].1;
        file.seek(SeekFrom::Start(offset))?;
        let mut got = 0;
        while got < buffer.len() {
            match file.read(&mut buffer[got..])? {
                0 => break,
                more => got += more,
            }
        }
        Ok(got)
    }

    fn write(&mut self, file: usize, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut file = &self.files[file].1;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)
    }

    fn sync(&mut self, file: usize) -> io::Result<()> {
        self.files[file].1.sync_data()
    }

    fn name(&self, file: usize) -> PathBuf {
        self.files[file].0.clone()
    }
}

fn open_file(path: &Path) -> Result<(PathBuf, File), StorageError> {
    let opened = File::options()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(path);
    let file = opened.map_err(StorageError::at(path))?;
    let length = file.metadata().map_err(StorageError::at(path))?.len();
    if length != SEGMENT_BYTES {
        file.set_len(SEGMENT_BYTES)
            .and_then(|()| file.sync_all())
            .map_err(StorageError::at(path))?;
    }
    Ok((path.to_owned(), file))
}
