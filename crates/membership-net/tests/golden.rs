//! What goes over sockets, byte for byte: datagrams and streams of a member without a key, and what operators read where
//! a member cannot be started.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use woadstall_membership::message::Body;
use woadstall_membership::{Generation, MemberMetadata, Message, Name, Settings};
use woadstall_membership_net::{Instances, Setup};

fn fixture(form: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(form);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn setup() -> Setup {
    Setup {
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

fn start(setup: Setup) -> Instances {
    Instances::start(setup, Arc::new(|line| eprintln!("{line}"))).unwrap()
}

/// A peer that is no member, at an address of its own.
struct Peer {
    datagrams: UdpSocket,
    streams: TcpListener,
    card: MemberMetadata,
}

impl Peer {
    fn new() -> Self {
        let streams = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = streams.local_addr().unwrap();
        let datagrams = UdpSocket::bind(at).unwrap();
        datagrams
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        let card = MemberMetadata {
            name: name("b-1"),
            life: Generation { started: 5, id: 6 },
            at,
            zone: name("sur"),
            region: None,
        };
        Self {
            datagrams,
            streams,
            card,
        }
    }

    fn message(&self, body: Body) -> Vec<u8> {
        let (from, news, facts) = (self.card.clone(), Vec::new(), Vec::new());
        Message {
            from,
            incarnation: 0,
            to: None,
            body,
            news,
            facts,
        }
        .write()
    }
}

/// A datagram is a message and nothing else: a ping is answered by an acknowledgement of its number.
#[test]
fn datagrams_are_messages() {
    let (peer, member) = (Peer::new(), start(setup()));
    let ping = Body::Ping {
        number: 41,
        origin: None,
    };
    peer.datagrams
        .send_to(&peer.message(ping), member.address())
        .unwrap();
    let mut buffer = [0; 65_536];
    let answer = loop {
        let (length, from) = peer.datagrams.recv_from(&mut buffer).unwrap();
        assert_eq!(from, member.address());
        let message = Message::read(&buffer[..length], 256).unwrap();
        if matches!(message.body, Body::Ack { .. }) {
            break message;
        }
    };
    assert_eq!(
        answer.body,
        Body::Ack {
            number: 41,
            heard: 41
        }
    );
    assert_eq!(answer.from.name, name("b-0"));
    assert_eq!(
        answer.to,
        Some((name("b-1"), Generation { started: 5, id: 6 }))
    );
}

/// A stream holds messages, each behind its length in four bytes, the highest first, and ends after the last.
#[test]
fn streams_out_hold_lengths_and_messages() {
    let (peer, member) = (Peer::new(), start(setup()));
    peer.datagrams
        .send_to(&peer.message(Body::StateRequest), member.address())
        .unwrap();
    let all = loop {
        let (mut stream, _) = peer.streams.accept().unwrap();
        let mut all = Vec::new();
        stream.read_to_end(&mut all).unwrap();
        // One that carries nothing only asks whether somebody listens.
        if !all.is_empty() {
            break all;
        }
    };
    let (length, bytes) = all.split_first_chunk::<4>().unwrap();
    assert_eq!(u32::from_be_bytes(*length) as usize, bytes.len());
    let message = Message::read(bytes, 256).unwrap();
    assert_eq!(
        message.body,
        Body::ShardState {
            parts: (0..64).collect(),
            again: false
        }
    );
    assert_eq!(message.news.len(), 2);
}

/// Two messages on one stream are both read.
#[test]
fn streams_in_hold_lengths_and_messages() {
    let (peer, member) = (Peer::new(), start(setup()));
    let mut stream = TcpStream::connect(member.address()).unwrap();
    for body in [Body::Gossip, Body::StateRequest] {
        let message = peer.message(body);
        stream
            .write_all(&(message.len() as u32).to_be_bytes())
            .unwrap();
        stream.write_all(&message).unwrap();
    }
    let began = Instant::now();
    while member.report().came < 2 {
        assert!(
            began.elapsed() < Duration::from_secs(10),
            "{:?}",
            member.report()
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(member.report().members[0].name, "b-1");
    assert_eq!(member.report().counts.no_message, 0);
}

/// The lines that name a field at fault are what operators read.
#[test]
fn setups_at_fault() {
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
    let keyed = |key_file| Setup {
        insecure: false,
        key_file,
        ..setup()
    };
    let wrong = [
        Setup {
            insecure: false,
            ..setup()
        },
        Setup {
            insecure: true,
            ..keyed(file("key", ""))
        },
        Setup {
            listen: address("0.0.0.0:7946"),
            ..setup()
        },
        Setup {
            advertise: Some(address("0.0.0.0:7946")),
            ..setup()
        },
        Setup {
            advertise: Some(address("127.0.0.1:0")),
            ..setup()
        },
        Setup {
            seeds: seeds(65),
            ..setup()
        },
        Setup {
            settings: Settings {
                datagram: 1,
                ..Settings::default()
            },
            ..setup()
        },
        keyed(file("no-key", "# none\n")),
        keyed(file("bad-key", "\nxyz\n")),
        keyed(file("long-key", &"# remark\n".repeat(8_000))),
        keyed(Some(folder.path().join("absent"))),
        Setup {
            seeds_file: file("bad-seeds", "127.0.0.1:1 # one\n\n127.0.0.1\n"),
            ..setup()
        },
        Setup {
            seeds: seeds(64),
            seeds_file: file("more-seeds", "127.0.0.1:1000\n"),
            ..setup()
        },
    ];
    let line = |wrong: &Setup| {
        let error = wrong
            .check()
            .and_then(|()| wrong.keys().map(|_| ()))
            .and_then(|()| wrong.all_seeds().map(|_| ()));
        let error = error.unwrap_err().to_string();
        format!(
            "{}\n",
            error.replace(&folder.path().display().to_string(), "FOLDER")
        )
    };
    let lines: String = wrong.iter().map(line).collect();
    assert_eq!(lines, fixture("setups-at-fault.txt"));
}
