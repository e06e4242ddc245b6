//! Traffic counters of the proxies.

use std::sync::atomic::{AtomicU64, Ordering};

/// Traffic through all proxies since their start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Number of streams that were established.
    pub streams_opened: u64,
    /// Number of streams that are open now.
    pub streams_open: u64,
    /// Stream bytes received from both sides.
    pub stream_bytes: u64,
    /// Number of datagrams forwarded; a duplicated datagram counts twice.
    pub datagrams_forwarded: u64,
    /// Number of datagrams dropped because of loss, a partition, or a full window.
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
    /// Counts a stream as opened. The stream counts as open until the returned guard is dropped.
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

/// Guard for a stream that is counted as open.
pub(crate) struct OpenStream<'a>(&'a Counters);

impl Drop for OpenStream<'_> {
    fn drop(&mut self) {
        self.0.streams_open.fetch_sub(1, Ordering::Relaxed);
    }
}
