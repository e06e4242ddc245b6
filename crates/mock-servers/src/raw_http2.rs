//! An HTTP/2 server that writes raw frames (RFC 9113, section 4.1), so that it can violate the protocol. It counts the
//! streams that are opened on a connection, and acts as scripted at a given number.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};

const HEADERS: u8 = 0x1;
const RST_STREAM: u8 = 0x3;
const SETTINGS: u8 = 0x4;
const PING: u8 = 0x6;
const GOAWAY: u8 = 0x7;
const ACK: u8 = 0x1;
/// Length of the client's connection preface in bytes (RFC 9113, section 3.4).
const PREFACE_BYTES: usize = 24;

/// The server's action when the given number of streams has been opened on a connection.
#[derive(Clone, Debug)]
pub enum ScriptedAction {
    /// Sends GOAWAY and shuts down the sending side of the connection.
    GoAway {
        /// Number of streams, in the order of their opening, that GOAWAY declares as possibly processed.
        processed_streams: u32,
    },
    /// Resets all streams and keeps the connection open.
    ResetAll {
        /// Error code of the resets (RFC 9113, section 7).
        error: u32,
    },
    /// Closes the connection without sending a frame.
    Close,
    /// Keeps the connection open without responding.
    Stall,
}

/// An HTTP/2 server that writes raw frames.
pub struct RawHttp2Server {
    /// Listen address.
    pub address: SocketAddr,
    /// Receives the id of each stream when it is opened, on any connection.
    pub opened: Receiver<u32>,
}

impl RawHttp2Server {
    /// Starts a server that takes the action once `stream_count` streams have been opened on a connection.
    pub fn start(stream_count: usize, action: ScriptedAction) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (id_sender, opened) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (id_sender, action) = (id_sender.clone(), action.clone());
                std::thread::spawn(move || serve(stream, stream_count, &action, &id_sender));
            }
        });
        Self { address, opened }
    }

    /// Waits until `stream_count` more streams have been opened, and returns their ids.
    pub fn wait_for(&self, stream_count: usize) -> Vec<u32> {
        let next = || {
            self.opened
                .recv_timeout(crate::http1::TEST_TIMEOUT)
                .expect("one more stream")
        };
        (0..stream_count).map(|_| next()).collect()
    }
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

fn serve(
    mut stream: TcpStream,
    stream_count: usize,
    action: &ScriptedAction,
    id_sender: &Sender<u32>,
) -> Option<()> {
    let mut preface = [0; PREFACE_BYTES];
    stream.read_exact(&mut preface).ok()?;
    stream.write_all(&frame(SETTINGS, 0, 0, &[])).ok()?;
    let mut opened = Vec::new();
    loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        let id = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        let mut payload = vec![0; length];
        stream.read_exact(&mut payload).ok()?;
        match head[3] {
            SETTINGS if head[4] & ACK == 0 => {
                stream.write_all(&frame(SETTINGS, ACK, 0, &[])).ok()?
            }
            PING if head[4] & ACK == 0 => stream.write_all(&frame(PING, ACK, 0, &payload)).ok()?,
            HEADERS => {
                opened.push(id);
                id_sender.send(id).ok();
                if opened.len() == stream_count {
                    take_action(&mut stream, &opened, action)?;
                }
            }
            _ => {}
        }
    }
}

fn take_action(stream: &mut TcpStream, opened: &[u32], action: &ScriptedAction) -> Option<()> {
    match *action {
        ScriptedAction::GoAway { processed_streams } => {
            let last_stream_id = opened
                .get((processed_streams as usize).wrapping_sub(1))
                .copied()
                .unwrap_or(0);
            let mut payload = last_stream_id.to_be_bytes().to_vec();
            payload.extend(0_u32.to_be_bytes()); // NO_ERROR
            stream.write_all(&frame(GOAWAY, 0, 0, &payload)).ok()?;
            stream.shutdown(Shutdown::Write).ok()?;
            None
        }
        ScriptedAction::ResetAll { error } => {
            for &id in opened {
                stream
                    .write_all(&frame(RST_STREAM, 0, id, &error.to_be_bytes()))
                    .ok()?;
            }
            Some(())
        }
        ScriptedAction::Close => {
            stream.shutdown(Shutdown::Both).ok();
            None
        }
        ScriptedAction::Stall => Some(()),
    }
}
