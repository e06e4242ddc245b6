//! A segment, which is the content of one file of the ring: its format, its writer and its reader.

mod header;
mod reader;
mod record;
mod writer;

pub(crate) use header::SegmentHeader;
pub(crate) use reader::SegmentReader;
pub(crate) use writer::SegmentWriter;
