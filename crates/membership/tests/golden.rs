//! The bytes of each message, and what a small fleet sends and finds with fixed seeds: both stay what they are, so that
//! members of this version and of the next understand each other.
//!
//! Each file of `tests/golden/` holds what one form was when it was written down, as hexadecimal digits or as text.

mod common;

use common::{Link, MS, Net, SECOND, address, name};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::path::PathBuf;
use woadstall_membership::message::{Body, MemberUpdate, ProbeOrigin, RecordUpdate};
use woadstall_membership::{
    Event, Generation, MemberMetadata, MemberState, MemberStatus, Message, MessageError, Name,
    Node, PARTITIONS_KEY, Settings, Verdict,
};

fn fixture(form: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(form);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(form: &str) -> Vec<u8> {
    let text = fixture(form);
    let digits = text.trim().as_bytes();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks_exact(2).map(byte).collect()
}

fn assert_golden(form: &str, bytes: &[u8]) {
    assert_eq!(hexadecimal(bytes), fixture(form).trim(), "{form}");
}

fn assert_golden_text(form: &str, text: &str) {
    assert_eq!(text, fixture(form), "{form}");
}

fn member(number: u64, region: Option<&str>, at: &str) -> MemberMetadata {
    MemberMetadata {
        name: name(&format!("b-{number}")),
        generation: Generation {
            started_ms: 1_764_000_000_000 + number,
            id: 0x0123_4567_89ab_cdef ^ number,
        },
        address: at.parse().unwrap(),
        zone: name("norte"),
        region: region.map(name),
    }
}

fn first() -> MemberMetadata {
    member(1, Some("europa"), "127.0.0.1:7946")
}

fn second() -> MemberMetadata {
    member(2, None, "[2001:db8::2]:7947")
}

fn third() -> MemberMetadata {
    member(3, Some("asia"), "10.1.2.3:65535")
}

fn status(metadata: &MemberMetadata, incarnation: u32, state: MemberState) -> MemberStatus {
    MemberStatus {
        generation: metadata.generation,
        incarnation,
        state,
    }
}

/// From the first to the second, with nothing beside the body.
fn message_with(body: Body) -> Message {
    let to = Some((second().name, second().generation));
    Message {
        from: first(),
        incarnation: 300,
        to,
        body,
        updates: Vec::new(),
        records: Vec::new(),
    }
}

/// The bytes are what they were, and what they were is read as the same value.
fn assert_golden_message(form: &str, message: &Message) {
    assert_golden(form, &message.encode());
    assert_eq!(
        &Message::decode(&bytes_of(form), 256).unwrap(),
        message,
        "{form}"
    );
}

#[test]
fn ping() {
    assert_golden_message(
        "ping.hex",
        &message_with(Body::Ping {
            sequence: 1,
            origin: None,
        }),
    );
}

#[test]
fn ping_for_another() {
    let origin = Some(ProbeOrigin {
        metadata: third(),
        sequence: 70_000,
    });
    assert_golden_message(
        "ping-for-another.hex",
        &message_with(Body::Ping {
            sequence: u64::MAX,
            origin,
        }),
    );
}

#[test]
fn ack() {
    assert_golden_message(
        "ack.hex",
        &message_with(Body::Ack {
            sequence: 9,
            last_direct_sequence: 8,
        }),
    );
}

#[test]
fn indirect_ping() {
    assert_golden_message(
        "indirect-ping.hex",
        &message_with(Body::IndirectPing {
            sequence: 10,
            target: third(),
        }),
    );
}

#[test]
fn relayed_ack() {
    assert_golden_message(
        "relayed-ack.hex",
        &message_with(Body::RelayedAck {
            sequence: 11,
            last_direct_sequence: 300,
        }),
    );
}

#[test]
fn no_answer() {
    assert_golden_message("no-answer.hex", &message_with(Body::Nack { sequence: 12 }));
}

#[test]
fn ask_without_a_receiver() {
    assert_golden_message(
        "ask.hex",
        &Message {
            to: None,
            ..message_with(Body::StateRequest)
        },
    );
}

#[test]
fn digests() {
    let digests = (0..64_u64)
        .map(|part| part.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .collect();
    assert_golden_message("sums.hex", &message_with(Body::ShardDigests(digests)));
}

#[test]
fn parts() {
    for (form, wants_reply) in [("parts-once.hex", false), ("parts-again.hex", true)] {
        assert_golden_message(
            form,
            &message_with(Body::ShardState {
                shards: vec![0, 17, 63],
                wants_reply,
            }),
        );
    }
}

/// Each state of a member, with and without who says so, and facts.
#[test]
fn news_and_facts() {
    let updates = vec![
        MemberUpdate {
            metadata: second(),
            status: status(&second(), 0, MemberState::Alive),
            by: None,
        },
        MemberUpdate {
            metadata: third(),
            status: status(&third(), 1, MemberState::Suspect),
            by: Some(name("b-1")),
        },
        MemberUpdate {
            metadata: third(),
            status: status(&third(), 70_000, MemberState::Dead),
            by: Some(name("b-2")),
        },
        MemberUpdate {
            metadata: third(),
            status: status(&third(), 2, MemberState::Left),
            by: None,
        },
        MemberUpdate {
            metadata: second(),
            status: MemberStatus::left(second().generation),
            by: None,
        },
    ];
    let record = |key: &str, priority, age_ms, bytes: &[u8]| RecordUpdate {
        owner: name("b-2"),
        generation: second().generation,
        version: 129,
        key: name(key),
        priority,
        age_ms,
        value: bytes.to_vec(),
    };
    let records = vec![
        record("load", 0, 0, b""),
        record("zone-left", 200, u32::MAX, b"\x00\xffsur"),
    ];
    assert_golden_message(
        "news-and-facts.hex",
        &Message {
            updates,
            records,
            ..message_with(Body::Gossip)
        },
    );
}

#[test]
fn forms_that_are_refused() {
    let mut bytes = bytes_of("ping.hex");
    bytes[0] = 2;
    let version = Message::decode(&bytes, 256).unwrap_err();
    assert_eq!(version, MessageError::UnsupportedVersion(2));
    assert_eq!(version.to_string(), "a message of version 2, not 1");
    let form = Message::decode(&[1, 0], 256).unwrap_err();
    assert_eq!(form, MessageError::Malformed);
    assert_eq!(form.to_string(), "not a message");
}

/// The lines that name a setting at fault are what operators read.
#[test]
fn settings_at_fault() {
    let usual = Settings::default;
    let (period, half) = (usual().probe_interval, usual().probe_interval / 2);
    let wrong = [
        Settings {
            probe_interval: half / 100,
            ..usual()
        },
        Settings {
            probe_timeout: period,
            ..usual()
        },
        Settings {
            suspicion_timeout: half,
            ..usual()
        },
        Settings {
            refusal_timeout: usual().suspicion_timeout * 2,
            ..usual()
        },
        Settings {
            pause_threshold: half,
            ..usual()
        },
        Settings {
            unconfirmed_multiplier: 0.5,
            ..usual()
        },
        Settings {
            max_datagram_bytes: 100,
            ..usual()
        },
        Settings {
            max_record_bytes: 601,
            ..usual()
        },
        Settings {
            max_members: 1,
            ..usual()
        },
    ];
    let lines: String = wrong
        .iter()
        .map(|wrong| format!("{}\n", wrong.check().unwrap_err()))
        .collect();
    assert_golden_text("settings-at-fault.txt", &lines);
}

/// A member that cannot reach two others tells so as a fact of those bytes.
#[test]
fn cuts_told() {
    let mut net = Net::new(9, 21);
    for to in [2, 5] {
        net.way(0, to).cut = true;
    }
    net.run(60 * SECOND);
    let node = net.nodes[0].as_ref().unwrap();
    let record = node.record(&net.names[0], &name(PARTITIONS_KEY)).unwrap();
    assert_golden("cuts-told.hex", &record.value);
}

/// Those bytes from another are read as the cuts between its zone and the one that it names.
#[test]
fn cuts_heard() {
    let me = member(9, None, "127.0.0.1:9");
    let mut node = Node::new(me, vec![address(1)], Settings::default(), 1, 0).unwrap();
    let mut far = second();
    far.zone = name("sur");
    let record = RecordUpdate {
        owner: first().name,
        generation: first().generation,
        version: 1,
        key: name(PARTITIONS_KEY),
        priority: 64,
        age_ms: 0,
        value: bytes_of("cuts-heard.hex"),
    };
    let updates = vec![MemberUpdate {
        status: status(&far, 0, MemberState::Alive),
        metadata: far,
        by: None,
    }];
    let message = Message {
        to: None,
        updates,
        records: vec![record],
        ..message_with(Body::Gossip)
    };
    node.receive(SECOND, &message.encode()).unwrap();
    let cuts = node.zone_paths(SECOND);
    let cut: Vec<(&str, &str, u64, u64)> = cuts
        .iter()
        .map(|((from, to), between)| {
            (
                from.as_str(),
                to.as_str(),
                between.total,
                between.partitioned,
            )
        })
        .collect();
    assert_eq!(
        cut,
        [
            ("norte", "norte", 2, 0),
            ("norte", "sur", 2, 1),
            ("sur", "norte", 2, 2)
        ]
    );
}

/// All that happens in a fleet, as numbers and names.
#[derive(Default)]
struct Digest(SipHasher13);

impl Digest {
    fn number(&mut self, number: u64) {
        self.0.write(&number.to_be_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.0.write(bytes);
    }

    fn name(&mut self, name: &Name) {
        self.bytes(name.as_str().as_bytes());
    }

    fn optional_name(&mut self, name: Option<&Name>) {
        self.number(u64::from(name.is_some()));
        name.into_iter().for_each(|name| self.name(name));
    }

    fn address(&mut self, at: SocketAddr) {
        self.bytes(at.to_string().as_bytes());
    }

    fn metadata(&mut self, metadata: &MemberMetadata) {
        self.name(&metadata.name);
        self.number(metadata.generation.started_ms);
        self.number(metadata.generation.id);
        self.address(metadata.address);
        self.name(&metadata.zone);
        self.optional_name(metadata.region.as_ref());
    }

    fn event(&mut self, event: &Event) {
        match event {
            Event::Joined(metadata) => {
                self.number(1);
                self.metadata(metadata);
            }
            Event::Recovered(name) => {
                self.number(2);
                self.name(name);
            }
            Event::Suspected { name, by } => {
                self.number(3);
                self.name(name);
                self.optional_name(by.as_ref());
            }
            Event::Dead { name, by } => {
                self.number(4);
                self.name(name);
                self.optional_name(by.as_ref());
            }
            Event::Left(name) => {
                self.number(5);
                self.name(name);
            }
            Event::ProcessPaused(time) => {
                self.number(6);
                self.number(time.as_nanos() as u64);
            }
            Event::NameConflict { name, addresses } => {
                self.number(7);
                self.name(name);
                addresses.iter().for_each(|address| self.address(*address));
            }
            Event::IsolationChanged { is_isolated } => {
                self.number(8);
                self.number(u64::from(*is_isolated));
            }
        }
    }

    fn way(&mut self, way: woadstall_membership::PathState) {
        self.number(match way {
            woadstall_membership::PathState::Unknown => 0,
            woadstall_membership::PathState::Open => 1,
            woadstall_membership::PathState::Partitioned => 2,
        });
    }

    fn verdict(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Alive => self.number(1),
            Verdict::Suspect => self.number(2),
            Verdict::Partitioned { outbound, inbound } => {
                self.number(3);
                self.way(outbound);
                self.way(inbound);
            }
            Verdict::Dead => self.number(4),
            Verdict::Left => self.number(5),
            Verdict::UnknownSince(since) => {
                self.number(6);
                self.number(since);
            }
        }
    }

    /// What a member finds of all others, of itself and of the zones.
    fn verdicts(&mut self, node: &Node, now: u64) {
        self.metadata(node.local());
        for seen in node.observations(now) {
            self.metadata(seen.metadata);
            self.verdict(seen.verdict);
            self.number(seen.since);
            self.number(seen.last_reached_at.map_or(0, |at| at + 1));
            seen.suspected_by.iter().for_each(|by| self.name(by));
            let (to, from) = node.path_states(&seen.metadata.name, now);
            self.way(to);
            self.way(from);
            let status = node.status(&seen.metadata.name).unwrap();
            self.number(u64::from(status.incarnation));
        }
        let (size, confidence, counters) =
            (node.fleet_size(), node.confidence(now), node.counters());
        self.number(size.min as u64);
        self.number(size.max as u64);
        self.number(confidence.own_zone.to_bits());
        self.number(confidence.other_zones.to_bits());
        self.number(u64::from(confidence.is_isolated));
        self.number(u64::from(node.health_multiplier()));
        for count in [
            counters.messages_received,
            counters.messages_rejected,
            counters.messages_sent,
            counters.bytes_sent,
            counters.members_rejected,
            counters.records_dropped,
            counters.process_pauses,
        ] {
            self.number(count);
        }
        for ((from, to), between) in node.zone_paths(now) {
            self.name(&from);
            self.name(&to);
            self.number(between.total);
            self.number(between.partitioned);
        }
        for (owner, key, record) in node.records() {
            self.name(owner);
            self.name(key);
            self.number(record.generation.id);
            self.number(record.version);
            self.number(u64::from(record.priority));
            self.number(record.published_at);
            self.bytes(&record.value);
        }
        self.number(node.next_deadline());
        node.connection_check_targets(now)
            .for_each(|metadata| self.name(&metadata.name));
    }
}

/// What is sent since the last look, what changed, and what all find.
fn digest(digest: &mut Digest, net: &mut Net) {
    for (at, from, out) in net.sent.drain(..) {
        digest.number(at);
        digest.number(from as u64);
        digest.address(out.to);
        digest.number(u64::from(out.reliable));
        digest.bytes(&out.bytes);
    }
    for (at, by, event) in std::mem::take(&mut net.events) {
        digest.number(at);
        digest.number(by as u64);
        digest.event(&event);
    }
    for node in net.nodes.iter().flatten() {
        digest.verdicts(node, net.now);
    }
}

/// Two zones and three, plain SWIM as well: losses, a death, a pause, a cut one way, halves, facts, a name used twice, a
/// leave. All bytes sent and all that is found is the same as ever.
#[test]
fn a_small_fleet_sends_and_finds_the_same() {
    let mut lines = BTreeMap::new();
    for (zones, plain_swim) in [(2, false), (3, false), (3, true)] {
        let mut all = Digest::default();
        let mut net = Net::in_zones(12, 77, zones);
        net.keeps_sent = true;
        net.settings.plain_swim = plain_swim;
        if plain_swim {
            (0..12).for_each(|at| net.start(at, 2_000_000, 100 + at as u64));
        }
        net.usual(Link {
            loss: 0.1,
            doubled: 0.1,
            delay: MS,
            jitter: 20 * MS,
            cut: false,
        });
        net.run(20 * SECOND);
        digest(&mut all, &mut net);
        for number in 0..5_u8 {
            let now = net.now;
            let key = name(&format!("k-{number}"));
            let node = net.nodes[usize::from(number)].as_mut().unwrap();
            node.publish(now, key, 60 * number, vec![number; 40])
                .unwrap();
            net.after(usize::from(number));
        }
        net.kill(5);
        net.run(5 * SECOND);
        digest(&mut all, &mut net);
        net.hosts_answer = false;
        net.pause(3, true);
        net.kill(6);
        net.run(5 * SECOND);
        net.pause(3, false);
        net.run(15 * SECOND);
        digest(&mut all, &mut net);
        net.start(5, 3_000_000, 500);
        net.start(6, 500, 600);
        (1..6).for_each(|to| net.way(0, to).cut = true);
        net.run(40 * SECOND);
        digest(&mut all, &mut net);
        net.heal();
        for (a, b) in (0..6).flat_map(|a| (6..12).map(move |b| (a, b))) {
            (net.way(a, b).cut, net.way(b, a).cut) = (true, true);
        }
        net.run(30 * SECOND);
        digest(&mut all, &mut net);
        net.heal();
        net.names[11] = net.names[2].clone();
        net.start(11, 9_000_000, 99);
        net.run(40 * SECOND);
        digest(&mut all, &mut net);
        let now = net.now;
        net.nodes[7].as_mut().unwrap().leave(now);
        net.after(7);
        net.kill(7);
        net.run(5 * SECOND);
        digest(&mut all, &mut net);
        let hash = all.0.finish128();
        lines.insert(
            (zones, plain_swim),
            format!("{:016x}{:016x} {} bytes", hash.h1, hash.h2, net.bytes),
        );
    }
    let lines: String = lines
        .iter()
        .map(|((zones, plain_swim), line)| format!("{zones} zones, plain {plain_swim}: {line}\n"))
        .collect();
    assert_golden_text("small-fleet.txt", &lines);
}
