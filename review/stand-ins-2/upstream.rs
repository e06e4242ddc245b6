//! Stand-ins of upstreams. Each registers itself, sends heartbeats, turns requests for other instances away with 421, and
//! hands all others to its behaviour.

use crate::http::{self, Connection, Message};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

fn set_option(socket: &impl AsRawFd, name: i32, value: &[i32]) {
    let length = std::mem::size_of_val(value) as u32;
    // SAFETY: the pointer and the length describe `value`, which lives during the call.
    unsafe {
        setsockopt(
            socket.as_raw_fd(),
            SOL_SOCKET,
            name,
            value.as_ptr().cast(),
            length,
        )
    };
}

/// Makes the end of a connection reset it, as the end of a process with unread bytes does.
pub fn reset_at_end(stream: &TcpStream) {
    set_option(stream, SO_LINGER, &[1, 0]);
}

/// What an upstream does with a request whose head it has read. An error ends the connection.
pub type Behaviour = Arc<dyn Fn(&Message, &mut Connection) -> io::Result<()> + Send + Sync>;

/// An upstream in a thread of this process.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: String,
    is_down: Arc<AtomicBool>,
}

impl Upstream {
    pub fn start(ip: &str, id: &str, behaviour: Behaviour) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
        let address = listener
            .local_addr()
            .map_err(|error| error.to_string())?
            .to_string();
        let upstream = Self {
            id: id.to_owned(),
            address,
            is_down: Arc::default(),
        };
        let server = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.is_down() {
                    reset_at_end(&stream);
                    continue;
                }
                let (server, behaviour) = (server.clone(), behaviour.clone());
                thread::spawn(move || server.serve(Connection::new(stream), &behaviour));
            }
        });
        Ok(upstream)
    }

    /// Whether the upstream has crashed.
    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Crashes the upstream: its behaviours end their connections, and new ones are reset.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
    }

    fn serve(&self, mut connection: Connection, behaviour: &Behaviour) {
        while let Ok(head) = connection.read_head() {
            let is_expected = head
                .header("expect-instance")
                .is_none_or(|id| id == self.id);
            let served = if is_expected {
                behaviour(&head, &mut connection)
            } else {
                turn_away(&head, &mut connection)
            };
            if served.is_err() || self.is_down() {
                break;
            }
        }
        if self.is_down() {
            reset_at_end(&connection.stream);
        }
    }
}

fn turn_away(head: &Message, connection: &mut Connection) -> io::Result<()> {
    connection.read_body(head)?;
    let id = head.header("request-id").unwrap_or("");
    let answer = format!(
        "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    );
    connection.send(answer.as_bytes())
}

/// The whole answer to a request that has run.
pub fn answer(head: &Message, body: &str) -> Vec<u8> {
    let id = head.header("request-id").unwrap_or("");
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s.{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The head of a stream of events.
pub fn stream_head(head: &Message) -> Vec<u8> {
    let id = head.header("request-id").unwrap_or("");
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s.{id}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes()
}

/// An event of a stream as a chunk.
pub fn event(number: u64) -> Vec<u8> {
    let event = format!("id: {number}\ndata: piece {number}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
}

/// The registration of an upstream.
pub struct Registration {
    pub id: String,
    pub address: String,
    pub service: String,
    pub zone: String,
    pub capacity: u64,
}

impl Registration {
    /// Sends the first heartbeat, and then one each 1.2 s while `is_alive` holds.
    pub fn keep(
        self,
        controls: Vec<String>,
        is_alive: impl Fn() -> bool + Send + 'static,
    ) -> Result<(), String> {
        let mut target = controls[0].clone();
        if !(1..20).any(|sequence| self.beat(&mut target, &controls, sequence)) {
            return Err(format!("{} can't register", self.id));
        }
        thread::spawn(move || {
            for sequence in 100.. {
                thread::sleep(Duration::from_millis(1_200));
                if !is_alive() {
                    return;
                }
                self.beat(&mut target, &controls, sequence);
            }
        });
        Ok(())
    }

    /// Sends the first heartbeat, then late ones at the given distances, each followed by one in time, and then one each
    /// 1.2 s. `tell` gets the distance and whether the heartbeat was acknowledged.
    pub fn keep_late(
        self,
        controls: Vec<String>,
        late: Vec<Duration>,
        tell: impl Fn(Duration, bool) + Send + 'static,
    ) -> Result<(), String> {
        let mut target = controls[0].clone();
        if !(1..20).any(|sequence| self.beat(&mut target, &controls, sequence)) {
            return Err(format!("{} can't register", self.id));
        }
        let usual = Duration::from_millis(1_200);
        thread::spawn(move || {
            let pauses = late.into_iter().flat_map(|late| [usual, late]);
            let pauses = [usual; 4].into_iter().chain(pauses);
            for (sequence, pause) in (100..).zip(pauses.chain(std::iter::repeat(usual))) {
                thread::sleep(pause);
                tell(pause, self.beat(&mut target, &controls, sequence));
            }
        });
        Ok(())
    }

    /// Sends a heartbeat. After a failure the next one goes to another core machine.
    fn beat(&self, target: &mut String, controls: &[String], sequence: u64) -> bool {
        let Self {
            id,
            address,
            service,
            zone,
            capacity,
        } = self;
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","generation":"v1","capacity":{capacity},
"state":"ready","cold_remaining_ms":0,"sequence":{sequence}}}"#
        );
        let headers = "Host: control\r\nContent-Type: application/json\r\n";
        let path = format!("/v1/instances/{id}");
        match http::call(
            target,
            "PUT",
            &path,
            headers,
            body.as_bytes(),
            Duration::from_secs(1),
        ) {
            Ok(answer) if answer.status() == 200 => {
                let text = answer.text();
                let url = text
                    .split('"')
                    .nth(3)
                    .filter(|_| text.contains("heartbeat_url"));
                if let Some(url) = url {
                    *target = url.to_owned();
                }
                true
            }
            _ => {
                let position = controls
                    .iter()
                    .position(|control| control == target)
                    .unwrap_or(0);
                *target = controls[(position + 1) % controls.len()].clone();
                thread::sleep(Duration::from_millis(200));
                false
            }
        }
    }
}
