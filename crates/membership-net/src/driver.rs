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

/// Datagrams that are read before anything else is done.
const DATAGRAM_BATCH: usize = 16;
/// Bytes of the longest datagram there is: a truncated one would look like one under another key.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Time from one connection check of suspected members to the next.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time from one step to the next while the process hangs.
const HUNG_INTERVAL: Duration = Duration::from_millis(100);
/// Nanoseconds from one step to the next at least.
const MIN_SLEEP: u64 = 1_000_000;
/// Nanoseconds from one log line about rejected messages to the next.
const REJECTION_LOG_INTERVAL: u64 = 60_000_000_000;

/// Runs a member until it is told to stop. Where `sockets` is `None`, another process has the
/// address, and the member waits for it.
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

/// Binds the address once it is free; `None` where the member is told to stop before that.
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

/// When the event loop has to go on.
struct Step {
    /// Until the next timer.
    sleep: Duration,
    /// Until anything that was received may be looked at; `None` where it may be now.
    receive_wait: Option<Duration>,
}

/// What the event loop owns.
struct Driver {
    shared: Arc<Shared>,
    datagrams: UdpSocket,
    streams: mpsc::Sender<OutgoingStream>,
    /// Sends and accepts streams; aborted with the driver.
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
            let step = self.step();
            let receive_wait = step.receive_wait;
            tokio::select! {
                biased;
                _ = shutdown.wait_for(Option::is_some) => break,
                () = sleep(step.sleep) => {}
                _ = connection_checks.tick() => self.check_connections(),
                () = self.shared.notified() => {}
                Ok(()) = self.datagrams.readable(), if receive_wait.is_none() => {
                    self.receive_datagrams(&mut buffer);
                }
                () = sleep(receive_wait.unwrap_or_default()), if receive_wait.is_some() => {}
            }
        }
        if *shutdown.borrow() == Some(Shutdown::Graceful) {
            let now = self.shared.now();
            self.shared.endpoint().node.leave(now);
            self.step();
            tokio::task::yield_now().await;
        }
    }

    /// Runs the timers that are due, and sends and logs what came of that.
    fn step(&mut self) -> Step {
        let started_at = Instant::now();
        let (now, mut endpoint) = (self.shared.now(), self.shared.endpoint());
        if self.shared.is_hung(now) {
            endpoint.rejections.hung_steps += 1;
            return Step {
                sleep: HUNG_INTERVAL,
                receive_wait: None,
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
        let sleep = endpoint.node.next_deadline().saturating_sub(now);
        // A flood also costs the steps that come between its messages.
        endpoint.receive_budget.spend(started_at.elapsed());
        Step {
            sleep: Duration::from_nanos(sleep.max(MIN_SLEEP)),
            receive_wait: endpoint.receive_budget.wait(now),
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

    /// Checks the connection to a member at once where it becomes suspected: its host may refuse
    /// it.
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
            // An error may be about an earlier datagram that nobody received.
            match self.datagrams.try_recv_from(buffer) {
                Ok((length, _)) => drop(self.shared.receive(&buffer[..length])),
                Err(_) => break,
            }
        }
        let mut endpoint = self.shared.endpoint();
        endpoint.receive_budget.spend(started_at.elapsed());
    }
}

/// When messages of other keys or versions were last logged, and how many there were.
#[derive(Default)]
struct RejectionLog {
    logged_at: Option<Timestamp>,
    logged: u64,
}

impl RejectionLog {
    fn log_if_due(&mut self, now: Timestamp, endpoint: &Endpoint, log: &LogSink) {
        let rejections = &endpoint.rejections;
        let (other_key, other_version) = (rejections.other_key, rejections.other_version);
        let rejected = other_key + other_version;
        let is_due = self
            .logged_at
            .is_none_or(|at| now >= at + REJECTION_LOG_INTERVAL);
        if rejected > self.logged && is_due {
            log(format_args!(
                "membership: messages rejected other_key={other_key} other_version={other_version}"
            ));
            (self.logged_at, self.logged) = (Some(now), rejected);
        }
    }
}
