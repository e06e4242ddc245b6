//! Counters of what goes through the proxies.

use std::sync::atomic::{AtomicU64, Ordering};

/// What has gone through the proxies so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Streams that came up.
    pub streams_opened: u64,
    /// Those that are open now.
    pub streams_open: u64,
    /// Bytes of streams, in both directions.
    pub stream_bytes: u64,
    /// Datagrams that were forwarded.
    pub datagrams_forwarded: u64,
    /// Datagrams that were dropped on purpose.
    pub datagrams_dropped: u64,
}

#[derive(Default)]
pub(crate) struct Counters {
    streams_opened: AtomicU64,
    streams_open: AtomicU64,
    stream_bytes: AtomicU64,
    datagrams_forwarded: AtomicU64,
    datagrams_dropped: AtomicU64,
}

impl Counters {
    /// Counts a stream, which is open until the guard is dropped.
    pub(crate) fn open_stream(&self) -> OpenStream<'_> {
        self.streams_opened.fetch_add(1, Ordering::Relaxed);
        self.streams_open.fetch_add(1, Ordering::Relaxed);
        OpenStream(self)
    }

    pub(crate) fn add_stream_bytes(&self, bytes: usize) {
        self.stream_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_forwarded_datagram(&self) {
        self.datagrams_forwarded.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_dropped_datagram(&self) {
        self.datagrams_dropped.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn read(&self) -> TrafficCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        TrafficCounts {
            streams_opened: read(&self.streams_opened),
            streams_open: read(&self.streams_open),
            stream_bytes: read(&self.stream_bytes),
            datagrams_forwarded: read(&self.datagrams_forwarded),
            datagrams_dropped: read(&self.datagrams_dropped),
        }
    }
}

/// A stream that is counted as open.
pub(crate) struct OpenStream<'a>(&'a Counters);

impl Drop for OpenStream<'_> {
    fn drop(&mut self) {
        self.0.streams_open.fetch_sub(1, Ordering::Relaxed);
    }
}
