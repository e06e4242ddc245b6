//! Forwarding of one direction of a stream.

use crate::schedule::StreamSchedule;
use crate::state::{LinkState, SharedState};
use bytes::{Buf, Bytes, BytesMut};
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;
use std::collections::VecDeque;
use std::io;
use std::net::Shutdown;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep_until;

/// Maximum number of bytes in flight in one direction of a stream. At the limit the sender has to
/// wait, as with a full TCP window.
const WINDOW_BYTES: usize = 256 << 10;
/// Buffer space that is reserved for each read.
const SEGMENT_BYTES: usize = 16 << 10;

/// Bytes in flight with their delivery time.
struct Segment {
    delivery_ns: u64,
    bytes: Bytes,
}

/// Forwards one direction of a stream.
pub(super) struct Forwarder {
    state: Arc<SharedState>,
    link: watch::Receiver<LinkState>,
    schedule: StreamSchedule,
    rng: ChaCha8Rng,
    buffer: BytesMut,
    /// Result of the sender's end of stream: a shutdown or an error. It is delivered after all
    /// bytes in flight. `None` while the sender's direction is open.
    ended: Option<io::Result<()>>,
    in_flight: VecDeque<Segment>,
    in_flight_bytes: usize,
}

/// The next event of a forwarder.
enum Event {
    /// Bytes were read into the buffer; 0 bytes at the end of the stream.
    Read(io::Result<usize>),
    /// The first segment in flight is due.
    DeliveryDue,
    /// The state of the link has changed.
    LinkChanged,
}

impl Forwarder {
    pub(super) fn new(state: Arc<SharedState>, link: watch::Receiver<LinkState>) -> Self {
        Self {
            rng: state.new_rng(),
            state,
            link,
            schedule: StreamSchedule::default(),
            buffer: BytesMut::new(),
            ended: None,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
        }
    }

    /// Forwards bytes until the sender's end of stream has been delivered.
    pub(super) async fn run(&mut self, from: &TcpStream, to: &TcpStream) -> io::Result<()> {
        loop {
            let is_partitioned = self.link.borrow_and_update().conditions.partitioned;
            if self.in_flight.is_empty()
                && !is_partitioned
                && let Some(ended) = self.ended.take()
            {
                return ended.and_then(|()| SockRef::from(to).shutdown(Shutdown::Write));
            }
            match self.next_event(from, is_partitioned).await? {
                Event::LinkChanged => {}
                Event::Read(read) => self.on_read(read, to).await?,
                Event::DeliveryDue => self.deliver_next(to).await?,
            }
        }
    }

    async fn next_event(&mut self, from: &TcpStream, is_partitioned: bool) -> io::Result<Event> {
        let first = self.in_flight.front().filter(|_| !is_partitioned);
        let due_ns = first.map(|segment| segment.delivery_ns);
        let now_ns = self.state.now_ns();
        if due_ns.is_some_and(|due_ns| due_ns <= now_ns) {
            return Ok(Event::DeliveryDue);
        }
        let due = self.state.instant(due_ns.unwrap_or_default());
        let may_read = self.ended.is_none() && self.in_flight_bytes < WINDOW_BYTES;
        tokio::select! {
            ready = from.readable(), if may_read => {
                self.buffer.reserve(SEGMENT_BYTES);
                Ok(Event::Read(ready.and_then(|()| from.try_read_buf(&mut self.buffer))))
            }
            () = sleep_until(due.into()), if due_ns.is_some() => Ok(Event::DeliveryDue),
            changed = self.link.changed() => match changed {
                Ok(()) => Ok(Event::LinkChanged),
                Err(_) => Err(io::ErrorKind::BrokenPipe.into()),
            },
        }
    }

    async fn on_read(&mut self, read: io::Result<usize>, to: &TcpStream) -> io::Result<()> {
        match read {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => self.ended = Some(Err(error)),
            Ok(0) => self.ended = Some(Ok(())),
            Ok(length) => self.forward_buffer(length, to).await?,
        }
        Ok(())
    }

    /// Writes the read bytes at once if the link is perfect, and schedules their delivery
    /// otherwise.
    async fn forward_buffer(&mut self, length: usize, to: &TcpStream) -> io::Result<()> {
        self.state.counters.add_stream_bytes(length);
        let bytes = self.buffer.split().freeze();
        // The current conditions apply: they may have changed while the forwarder waited for bytes.
        let conditions = self.link.borrow().conditions.clone();
        if conditions.is_perfect() && self.in_flight.is_empty() {
            return write_all(to, bytes).await;
        }
        let now_ns = self.state.now_ns();
        let delivery_ns =
            self.schedule
                .delivery_time_ns(now_ns, length, &conditions, &mut self.rng);
        self.in_flight_bytes += length;
        self.in_flight.push_back(Segment { delivery_ns, bytes });
        Ok(())
    }

    async fn deliver_next(&mut self, to: &TcpStream) -> io::Result<()> {
        let Some(segment) = self.in_flight.pop_front() else {
            return Ok(());
        };
        self.in_flight_bytes -= segment.bytes.len();
        write_all(to, segment.bytes).await
    }
}

async fn write_all(to: &TcpStream, mut bytes: Bytes) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(&bytes) {
            Ok(written) => bytes.advance(written),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
