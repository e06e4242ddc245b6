//! Golden tests of the bytes on sockets, with datagrams and streams of a member without a key, and
//! of the messages that operators read if a member cannot be started.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use woadstall_membership::message::Body;
use woadstall_membership::{Generation, MemberMetadata, Message, Name, Settings};
use woadstall_membership_net::{Membership, MembershipConfig};

fn fixture(file_name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file_name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn config() -> MembershipConfig {
    MembershipConfig {
        name: name("b-0"),
        zone: name("norte"),
        region: None,
        listen: "127.0.0.1:0".parse().unwrap(),
        advertise: None,
        seeds: Vec::new(),
        seeds_file: None,
        key_file: None,
        insecure: true,
        settings: Settings::default(),
    }
}

fn start(config: MembershipConfig) -> Membership {
    Membership::start(config, Arc::new(|line| eprintln!("{line}"))).unwrap()
}

/// A peer that speaks the protocol at its own address.
struct Peer {
    datagrams: UdpSocket,
    streams: TcpListener,
    metadata: MemberMetadata,
}

impl Peer {
    fn new() -> Self {
        let streams = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = streams.local_addr().unwrap();
        let datagrams = UdpSocket::bind(address).unwrap();
        datagrams
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        let metadata = MemberMetadata {
            name: name("b-1"),
            generation: Generation {
                started_ms: 5,
                id: 6,
            },
            address,
            zone: name("sur"),
            region: None,
        };
        Self {
            datagrams,
            streams,
            metadata,
        }
    }

    fn message(&self, body: Body) -> Vec<u8> {
        let (from, updates, records) = (self.metadata.clone(), Vec::new(), Vec::new());
        Message {
            from,
            incarnation: 0,
            to: None,
            body,
            updates,
            records,
        }
        .encode()
    }
}

/// A datagram holds exactly one message: a ping is answered by an acknowledgement with the ping's
/// sequence number.
#[test]
fn datagrams_hold_one_message() {
    let (peer, member) = (Peer::new(), start(config()));
    let ping = Body::Ping {
        sequence: 41,
        origin: None,
    };
    peer.datagrams
        .send_to(&peer.message(ping), member.address())
        .unwrap();
    let mut buffer = [0; 65_536];
    let answer = loop {
        let (length, from) = peer.datagrams.recv_from(&mut buffer).unwrap();
        assert_eq!(from, member.address());
        let message = Message::decode(&buffer[..length], 256).unwrap();
        if matches!(message.body, Body::Ack { .. }) {
            break message;
        }
    };
    assert_eq!(
        answer.body,
        Body::Ack {
            sequence: 41,
            last_direct_sequence: 41
        }
    );
    assert_eq!(answer.from.name, name("b-0"));
    assert_eq!(
        answer.to,
        Some((
            name("b-1"),
            Generation {
                started_ms: 5,
                id: 6
            }
        ))
    );
}

/// A stream holds messages, each preceded by a four-byte length in network byte order, and ends
/// after the last message.
#[test]
fn outgoing_streams_hold_lengths_and_messages() {
    let (peer, member) = (Peer::new(), start(config()));
    peer.datagrams
        .send_to(&peer.message(Body::StateRequest), member.address())
        .unwrap();
    let received = loop {
        let (mut stream, _) = peer.streams.accept().unwrap();
        let mut received = Vec::new();
        stream.read_to_end(&mut received).unwrap();
        // A stream without data is a connection check.
        if !received.is_empty() {
            break received;
        }
    };
    let (length, bytes) = received.split_first_chunk::<4>().unwrap();
    assert_eq!(u32::from_be_bytes(*length) as usize, bytes.len());
    let message = Message::decode(bytes, 256).unwrap();
    assert_eq!(
        message.body,
        Body::ShardState {
            shards: (0..64).collect(),
            wants_reply: false
        }
    );
    assert_eq!(message.updates.len(), 2);
}

/// Two messages on one stream are both received.
#[test]
fn incoming_streams_hold_lengths_and_messages() {
    let (peer, member) = (Peer::new(), start(config()));
    let mut stream = TcpStream::connect(member.address()).unwrap();
    for body in [Body::Gossip, Body::StateRequest] {
        let message = peer.message(body);
        stream
            .write_all(&(message.len() as u32).to_be_bytes())
            .unwrap();
        stream.write_all(&message).unwrap();
    }
    let started_at = Instant::now();
    while member.report().messages_received < 2 {
        assert!(
            started_at.elapsed() < Duration::from_secs(10),
            "{:?}",
            member.report()
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(member.report().members[0].name, "b-1");
    assert_eq!(member.report().rejections.malformed, 0);
}

/// Operators read the messages about invalid fields, so the messages must not change.
#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn invalid_configs() {
    let folder = tempfile::tempdir().unwrap();
    let file = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        Some(path)
    };
    let address = |text: &str| -> SocketAddr { text.parse().unwrap() };
    let seeds = |count: u16| {
        (1..=count)
            .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
            .collect()
    };
    let keyed = |key_file| MembershipConfig {
        insecure: false,
        key_file,
        ..config()
    };
    let invalid = [
        MembershipConfig {
            insecure: false,
            ..config()
        },
        MembershipConfig {
            insecure: true,
            ..keyed(file("key", ""))
        },
        MembershipConfig {
            listen: address("0.0.0.0:7946"),
            ..config()
        },
        MembershipConfig {
            advertise: Some(address("0.0.0.0:7946")),
            ..config()
        },
        MembershipConfig {
            advertise: Some(address("127.0.0.1:0")),
            ..config()
        },
        MembershipConfig {
            seeds: seeds(65),
            ..config()
        },
        MembershipConfig {
            settings: Settings {
                max_datagram_bytes: 1,
                ..Settings::default()
            },
            ..config()
        },
        keyed(file("no-key", "# none\n")),
        keyed(file("bad-key", "\nxyz\n")),
        keyed(file("long-key", &"# remark\n".repeat(8_000))),
        keyed(Some(folder.path().join("absent"))),
        MembershipConfig {
            seeds_file: file("bad-seeds", "127.0.0.1:1 # one\n\n127.0.0.1\n"),
            ..config()
        },
        MembershipConfig {
            seeds: seeds(64),
            seeds_file: file("more-seeds", "127.0.0.1:1000\n"),
            ..config()
        },
    ];
    let line = |invalid: &MembershipConfig| {
        let error = invalid
            .check()
            .and_then(|()| invalid.load_keys().map(|_| ()))
            .and_then(|()| invalid.load_seeds().map(|_| ()));
        let error = error.unwrap_err().to_string();
        format!(
            "{}\n",
            error.replace(&folder.path().display().to_string(), "FOLDER")
        )
    };
    let lines: String = invalid.iter().map(line).collect();
    assert_eq!(lines, fixture("setups-at-fault.txt"));
}
