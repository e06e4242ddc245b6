//! The event loop of the member's thread: sockets, timers and log lines.

use crate::endpoint::Endpoint;
use crate::log::{LogSink, log_event};
use crate::shared::{Shared, Shutdown};
use crate::sockets::Sockets;
use crate::streams::{OUTGOING_QUEUE, OutgoingStream, accept_streams, send_streams};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;
use woadstall_membership::{Event, OutgoingMessage, Timestamp};

/// Maximum number of datagrams read before the event loop runs due timers and other work.
const DATAGRAM_BATCH: usize = 16;
/// Length in bytes of the longest possible datagram. A shorter buffer would truncate datagrams, and
/// truncated datagrams would fail authentication and be counted as messages of another key.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Interval between two rounds of connection checks of suspected members.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two steps of the event loop while the process is hung.
const HUNG_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum sleep in nanoseconds between two steps of the event loop.
const MIN_SLEEP_NS: u64 = 1_000_000;
/// Minimum time in nanoseconds between two log lines about rejected messages.
const REJECTION_LOG_INTERVAL_NS: u64 = 60_000_000_000;

/// Runs a member until shutdown is requested. `sockets` is `None` if another process holds the
/// address; the member then waits for the address to become free.
pub async fn run(shared: Arc<Shared>, sockets: Option<Sockets>, listen: SocketAddr, log: LogSink) {
    let sockets = match sockets {
        Some(sockets) => Some(sockets),
        None => wait_for_address(&shared, listen, &log).await,
    };
    let Some(sockets) = sockets else {
        return;
    };
    shared.set_bound();
    let address = sockets.address;
    match Driver::new(shared, sockets, log.clone()) {
        Ok(driver) => driver.run().await,
        Err(error) => log(format_args!(
            "membership: listen failed listen={address} error=\"{error}\""
        )),
    }
}

/// Binds the address once it is free. Returns `None` if shutdown is requested before that.
async fn wait_for_address(shared: &Shared, listen: SocketAddr, log: &LogSink) -> Option<Sockets> {
    log(format_args!(
        "membership: address in use, waiting listen={listen}"
    ));
    let mut shutdown = shared.shutdown_requests();
    tokio::select! {
        sockets = Sockets::bind_when_free(listen, log) => Some(sockets),
        _ = shutdown.wait_for(Option::is_some) => None,
    }
}

/// Waiting times of the event loop after a step.
struct StepWaits {
    /// Time until the next timer.
    until_timer: Duration,
    /// Time until received messages may be processed, or `None` if they may be processed now.
    until_receive: Option<Duration>,
}

/// State of the event loop.
struct Driver {
    shared: Arc<Shared>,
    datagrams: UdpSocket,
    streams: mpsc::Sender<OutgoingStream>,
    /// Tasks that send and accept streams, aborted when the driver is dropped.
    _stream_tasks: JoinSet<()>,
    rejection_log: RejectionLog,
    log: LogSink,
}

impl Driver {
    fn new(shared: Arc<Shared>, sockets: Sockets, log: LogSink) -> io::Result<Self> {
        let datagrams = UdpSocket::from_std(sockets.datagrams)?;
        let listener = TcpListener::from_std(sockets.streams)?;
        let (listen, address) = (sockets.address, shared.endpoint().node.local().address);
        log(format_args!(
            "membership: listening listen={listen} address={address}"
        ));
        let (streams, queue) = mpsc::channel(OUTGOING_QUEUE);
        let mut stream_tasks = JoinSet::new();
        stream_tasks.spawn(send_streams(shared.clone(), queue, listen.ip()));
        stream_tasks.spawn(accept_streams(shared.clone(), listener));
        Ok(Self {
            shared,
            datagrams,
            streams,
            _stream_tasks: stream_tasks,
            rejection_log: RejectionLog::default(),
            log,
        })
    }

    async fn run(mut self) {
        let mut shutdown = self.shared.shutdown_requests();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut connection_checks = tokio::time::interval(CONNECTION_CHECK_INTERVAL);
        loop {
            let StepWaits {
                until_timer,
                until_receive,
            } = self.step();
            tokio::select! {
                biased;
                _ = shutdown.wait_for(Option::is_some) => break,
                () = sleep(until_timer) => {}
                _ = connection_checks.tick() => self.check_connections(),
                () = self.shared.notified() => {}
                Ok(()) = self.datagrams.readable(), if until_receive.is_none() => {
                    self.receive_datagrams(&mut buffer);
                }
                () = sleep(until_receive.unwrap_or_default()), if until_receive.is_some() => {}
            }
        }
        if *shutdown.borrow() == Some(Shutdown::Graceful) {
            let now = self.shared.now();
            self.shared.endpoint().node.leave(now);
            self.step();
            tokio::task::yield_now().await;
        }
    }

    /// Runs the due timers, sends the resulting messages and logs the resulting events.
    fn step(&mut self) -> StepWaits {
        let started_at = Instant::now();
        let (now, mut endpoint) = (self.shared.now(), self.shared.endpoint());
        if self.shared.is_hung(now) {
            endpoint.rejections.hung_steps += 1;
            return StepWaits {
                until_timer: HUNG_INTERVAL,
                until_receive: None,
            };
        }
        endpoint.node.tick(now);
        while let Some(message) = endpoint.node.next_outgoing() {
            self.send(&mut endpoint, message);
        }
        while let Some(event) = endpoint.node.next_event() {
            self.check_suspect(&endpoint, &event);
            log_event(&self.log, &event, &endpoint.node);
        }
        self.rejection_log.log_if_due(now, &endpoint, &self.log);
        let until_deadline_ns = endpoint.node.next_deadline().saturating_sub(now);
        // A flood of messages also costs processing time in the steps between its messages.
        endpoint.receive_budget.spend(started_at.elapsed());
        StepWaits {
            until_timer: Duration::from_nanos(until_deadline_ns.max(MIN_SLEEP_NS)),
            until_receive: endpoint.receive_budget.wait(now),
        }
    }

    fn send(&self, endpoint: &mut Endpoint, message: OutgoingMessage) {
        let (to, frame) = (message.to, endpoint.sign(message.bytes));
        let is_sent = match message.reliable {
            true => self.streams.try_send(OutgoingStream { to, frame }).is_ok(),
            false => self.datagrams.try_send_to(&frame, to).is_ok(),
        };
        endpoint.rejections.not_sent += u64::from(!is_sent);
    }

    /// Checks the connection to a newly suspected member immediately, since its host may refuse the
    /// connection.
    fn check_suspect(&self, endpoint: &Endpoint, event: &Event) {
        let Event::Suspected { name, .. } = event else {
            return;
        };
        let mut suspects = endpoint.node.suspects();
        if let Some(suspect) = suspects.find(|suspect| suspect.name == *name) {
            self.check_connection(suspect.address);
        }
    }

    fn check_connections(&self) {
        let now = self.shared.now();
        for to in self.shared.endpoint().connection_checks(now) {
            self.check_connection(to);
        }
    }

    fn check_connection(&self, to: SocketAddr) {
        let check = OutgoingStream::connection_check(to);
        self.streams.try_send(check).ok();
    }

    fn receive_datagrams(&self, buffer: &mut [u8]) {
        let started_at = Instant::now();
        for _ in 0..DATAGRAM_BATCH {
            // A receive error may refer to an earlier datagram that was sent to a closed port.
            match self.datagrams.try_recv_from(buffer) {
                Ok((length, _)) => drop(self.shared.receive(&buffer[..length])),
                Err(_) => break,
            }
        }
        let mut endpoint = self.shared.endpoint();
        endpoint.receive_budget.spend(started_at.elapsed());
    }
}

/// Rate limit of the log line about messages of other keys or versions: the time of the last line
/// and the number of messages it counted.
#[derive(Default)]
struct RejectionLog {
    logged_at: Option<Timestamp>,
    logged_count: u64,
}

impl RejectionLog {
    fn log_if_due(&mut self, now: Timestamp, endpoint: &Endpoint, log: &LogSink) {
        let rejections = &endpoint.rejections;
        let (other_key, other_version) = (rejections.other_key, rejections.other_version);
        let rejected = other_key + other_version;
        let is_due = self
            .logged_at
            .is_none_or(|at| now >= at + REJECTION_LOG_INTERVAL_NS);
        if rejected > self.logged_count && is_due {
            log(format_args!(
                "membership: messages rejected other_key={other_key} other_version={other_version}"
            ));
            (self.logged_at, self.logged_count) = (Some(now), rejected);
        }
    }
}
