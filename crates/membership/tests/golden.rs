//! Golden tests of the encoding of each message, and of the messages and conclusions of small
//! fleets with fixed random seeds. Encodings and protocol behaviour must not change, so that
//! members of different versions interoperate.
//!
//! Each file of `tests/golden/` holds one encoding as first released, in hexadecimal digits or as
//! text.

mod common;

use common::{Link, MS, SECOND, SimulatedFleet, address, name};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;
use std::net::SocketAddr;
use std::path::PathBuf;
use woadstall_membership::message::{Body, MemberUpdate, ProbeOrigin, RecordUpdate};
use woadstall_membership::{
    Event, Generation, MemberMetadata, MemberState, MemberStatus, Message, MessageError, Name,
    Node, PARTITIONS_KEY, PathState, Settings, Verdict,
};

fn fixture(file_name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file_name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(file_name: &str) -> Vec<u8> {
    let text = fixture(file_name);
    let digits = text.trim().as_bytes();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks_exact(2).map(byte).collect()
}

fn assert_golden(file_name: &str, bytes: &[u8]) {
    assert_eq!(hexadecimal(bytes), fixture(file_name).trim(), "{file_name}");
}

fn assert_golden_text(file_name: &str, text: &str) {
    assert_eq!(text, fixture(file_name), "{file_name}");
}

fn member(number: u64, region: Option<&str>, address: &str) -> MemberMetadata {
    MemberMetadata {
        name: name(&format!("b-{number}")),
        generation: Generation {
            started_ms: 1_764_000_000_000 + number,
            id: 0x0123_4567_89ab_cdef ^ number,
        },
        address: address.parse().unwrap(),
        zone: name("norte"),
        region: region.map(name),
    }
}

fn first_member() -> MemberMetadata {
    member(1, Some("europa"), "127.0.0.1:7946")
}

fn second_member() -> MemberMetadata {
    member(2, None, "[2001:db8::2]:7947")
}

fn third_member() -> MemberMetadata {
    member(3, Some("asia"), "10.1.2.3:65535")
}

fn status(metadata: &MemberMetadata, incarnation: u32, state: MemberState) -> MemberStatus {
    MemberStatus {
        generation: metadata.generation,
        incarnation,
        state,
    }
}

/// A message from the first to the second member, without updates.
fn message_with(body: Body) -> Message {
    let to = Some((second_member().name, second_member().generation));
    Message {
        from: first_member(),
        incarnation: 300,
        to,
        body,
        updates: Vec::new(),
        records: Vec::new(),
    }
}

/// Checks that the message encodes to the golden bytes, and that the golden bytes decode to the
/// same message.
fn assert_golden_message(file_name: &str, message: &Message) {
    assert_golden(file_name, &message.encode());
    assert_eq!(
        &Message::decode(&bytes_of(file_name), 256).unwrap(),
        message,
        "{file_name}"
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
        metadata: third_member(),
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
            target: third_member(),
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
fn nack() {
    assert_golden_message("no-answer.hex", &message_with(Body::Nack { sequence: 12 }));
}

#[test]
fn state_request_without_a_receiver() {
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
        .map(|shard| shard.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .collect();
    assert_golden_message("sums.hex", &message_with(Body::ShardDigests(digests)));
}

#[test]
fn shard_state() {
    for (file_name, wants_reply) in [("parts-once.hex", false), ("parts-again.hex", true)] {
        assert_golden_message(
            file_name,
            &message_with(Body::ShardState {
                shards: vec![0, 17, 63],
                wants_reply,
            }),
        );
    }
}

/// Each member state with and without a reporting member, and records.
#[test]
fn updates_and_records() {
    let updates = vec![
        MemberUpdate {
            metadata: second_member(),
            status: status(&second_member(), 0, MemberState::Alive),
            by: None,
        },
        MemberUpdate {
            metadata: third_member(),
            status: status(&third_member(), 1, MemberState::Suspect),
            by: Some(name("b-1")),
        },
        MemberUpdate {
            metadata: third_member(),
            status: status(&third_member(), 70_000, MemberState::Dead),
            by: Some(name("b-2")),
        },
        MemberUpdate {
            metadata: third_member(),
            status: status(&third_member(), 2, MemberState::Left),
            by: None,
        },
        MemberUpdate {
            metadata: second_member(),
            status: MemberStatus::left(second_member().generation),
            by: None,
        },
    ];
    let record = |key: &str, priority, age_ms, value: &[u8]| RecordUpdate {
        owner: name("b-2"),
        generation: second_member().generation,
        version: 129,
        key: name(key),
        priority,
        age_ms,
        value: value.to_vec(),
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
fn rejected_messages() {
    let mut bytes = bytes_of("ping.hex");
    bytes[0] = 2;
    let unsupported = Message::decode(&bytes, 256).unwrap_err();
    assert_eq!(unsupported, MessageError::UnsupportedVersion(2));
    assert_eq!(
        unsupported.to_string(),
        "unsupported message version 2, expected 1"
    );
    let malformed = Message::decode(&[1, 0], 256).unwrap_err();
    assert_eq!(malformed, MessageError::Malformed);
    assert_eq!(malformed.to_string(), "malformed message");
}

/// Operators read the messages about invalid settings, so the messages must not change.
#[test]
fn invalid_settings() {
    let defaults = Settings::default;
    let (period, half) = (defaults().probe_interval, defaults().probe_interval / 2);
    let invalid = [
        Settings {
            probe_interval: half / 100,
            ..defaults()
        },
        Settings {
            probe_timeout: period,
            ..defaults()
        },
        Settings {
            suspicion_timeout: half,
            ..defaults()
        },
        Settings {
            refusal_timeout: defaults().suspicion_timeout * 2,
            ..defaults()
        },
        Settings {
            pause_threshold: half,
            ..defaults()
        },
        Settings {
            unconfirmed_multiplier: 0.5,
            ..defaults()
        },
        Settings {
            max_datagram_bytes: 100,
            ..defaults()
        },
        Settings {
            max_record_bytes: 601,
            ..defaults()
        },
        Settings {
            max_members: 1,
            ..defaults()
        },
    ];
    let lines: String = invalid
        .iter()
        .map(|invalid| format!("{}\n", invalid.check().unwrap_err()))
        .collect();
    assert_golden_text("settings-at-fault.txt", &lines);
}

/// A member with a partition to two other members publishes a record of the golden bytes.
#[test]
fn published_partitions() {
    let mut fleet = SimulatedFleet::new(9, 21);
    for to in [2, 5] {
        fleet.link(0, to).is_partitioned = true;
    }
    fleet.run(60 * SECOND);
    let node = fleet.node(0);
    let record = node.record(&fleet.names[0], &name(PARTITIONS_KEY)).unwrap();
    assert_golden("cuts-told.hex", &record.value);
}

/// A record of the golden bytes from another member yields the partitions between the owner's zone
/// and the zone in the record.
#[test]
fn received_partitions() {
    let local = member(9, None, "127.0.0.1:9");
    let mut node = Node::new(local, vec![address(1)], Settings::default(), 1, 0).unwrap();
    let mut remote = second_member();
    remote.zone = name("sur");
    let record = RecordUpdate {
        owner: first_member().name,
        generation: first_member().generation,
        version: 1,
        key: name(PARTITIONS_KEY),
        priority: 64,
        age_ms: 0,
        value: bytes_of("cuts-heard.hex"),
    };
    let updates = vec![MemberUpdate {
        status: status(&remote, 0, MemberState::Alive),
        metadata: remote,
        by: None,
    }];
    let message = Message {
        to: None,
        updates,
        records: vec![record],
        ..message_with(Body::Gossip)
    };
    node.receive(SECOND, &message.encode()).unwrap();
    let paths = node.zone_paths(SECOND);
    let counts: Vec<(&str, &str, u64, u64)> = paths
        .iter()
        .map(|((from, to), counts)| (from.as_str(), to.as_str(), counts.total, counts.partitioned))
        .collect();
    assert_eq!(
        counts,
        [
            ("norte", "norte", 2, 0),
            ("norte", "sur", 2, 1),
            ("sur", "norte", 2, 2)
        ]
    );
}

/// A hash of all events, messages and conclusions in a fleet, fed with numbers and names.
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

    fn address(&mut self, address: SocketAddr) {
        self.bytes(address.to_string().as_bytes());
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
            Event::ProcessPaused(duration) => {
                self.number(6);
                self.number(duration.as_nanos() as u64);
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

    fn path_state(&mut self, state: PathState) {
        self.number(match state {
            PathState::Unknown => 0,
            PathState::Open => 1,
            PathState::Partitioned => 2,
        });
    }

    fn verdict(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Alive => self.number(1),
            Verdict::Suspect => self.number(2),
            Verdict::Partitioned { outbound, inbound } => {
                self.number(3);
                self.path_state(outbound);
                self.path_state(inbound);
            }
            Verdict::Dead => self.number(4),
            Verdict::Left => self.number(5),
            Verdict::UnknownSince(since) => {
                self.number(6);
                self.number(since);
            }
        }
    }

    /// Adds a member's conclusions about other members, itself and the zones.
    fn verdicts(&mut self, node: &Node, now: u64) {
        self.metadata(node.local());
        for observation in node.observations(now) {
            self.metadata(observation.metadata);
            self.verdict(observation.verdict);
            self.number(observation.since);
            self.number(observation.last_reached_at.map_or(0, |at| at + 1));
            observation.suspected_by.iter().for_each(|by| self.name(by));
            let (outbound, inbound) = node.path_states(&observation.metadata.name, now);
            self.path_state(outbound);
            self.path_state(inbound);
            let status = node.status(&observation.metadata.name).unwrap();
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
        for ((from, to), counts) in node.zone_paths(now) {
            self.name(&from);
            self.name(&to);
            self.number(counts.total);
            self.number(counts.partitioned);
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

impl Digest {
    /// Adds the messages and events since the last call, and the current conclusions of all
    /// members.
    fn fleet(&mut self, fleet: &mut SimulatedFleet) {
        for sent in fleet.sent.drain(..) {
            self.number(sent.sent_at);
            self.number(sent.from as u64);
            self.address(sent.message.to);
            self.number(u64::from(sent.message.reliable));
            self.bytes(&sent.message.bytes);
        }
        for (observed_at, observer, event) in std::mem::take(&mut fleet.events) {
            self.number(observed_at);
            self.number(observer as u64);
            self.event(&event);
        }
        for node in fleet.nodes.iter().flatten() {
            self.verdicts(node, fleet.now);
        }
    }
}

/// Runs a fleet through records, deaths, a pause, restarts, a one-way partition, a split into
/// halves, a duplicate name and a leave.
fn run_faults(fleet: &mut SimulatedFleet, digest: &mut Digest) {
    for number in 0..5_u8 {
        let now = fleet.now;
        let key = name(&format!("k-{number}"));
        let node = fleet.node_mut(usize::from(number));
        node.publish(now, key, 60 * number, vec![number; 40])
            .unwrap();
        fleet.flush(usize::from(number));
    }
    fleet.kill(5);
    fleet.run(5 * SECOND);
    digest.fleet(fleet);
    fleet.hosts_refuse = false;
    fleet.pause(3);
    fleet.kill(6);
    fleet.run(5 * SECOND);
    fleet.resume(3);
    fleet.run(15 * SECOND);
    digest.fleet(fleet);
    fleet.start(5, 3_000_000, 500);
    fleet.start(6, 500, 600);
    (1..6).for_each(|to| fleet.link(0, to).is_partitioned = true);
    fleet.run(40 * SECOND);
    digest.fleet(fleet);
    fleet.restore_links();
    for (a, b) in (0..6).flat_map(|a| (6..12).map(move |b| (a, b))) {
        fleet.link(a, b).is_partitioned = true;
        fleet.link(b, a).is_partitioned = true;
    }
    fleet.run(30 * SECOND);
    digest.fleet(fleet);
    fleet.restore_links();
    fleet.names[11] = fleet.names[2].clone();
    fleet.start(11, 9_000_000, 99);
    fleet.run(40 * SECOND);
    digest.fleet(fleet);
    let now = fleet.now;
    fleet.node_mut(7).leave(now);
    fleet.flush(7);
    fleet.kill(7);
    fleet.run(5 * SECOND);
    digest.fleet(fleet);
}

/// Digest of a run of twelve members with message loss and faults, and the number of bytes sent.
fn fleet_digest(zones: usize, plain_swim: bool) -> String {
    let mut digest = Digest::default();
    let mut fleet = SimulatedFleet::in_zones(12, 77, zones);
    fleet.is_recording = true;
    fleet.settings.plain_swim = plain_swim;
    if plain_swim {
        (0..12).for_each(|member| fleet.start(member, 2_000_000, 100 + member as u64));
    }
    fleet.set_default_link(Link {
        loss: 0.1,
        duplication: 0.1,
        delay: MS,
        jitter: 20 * MS,
        is_partitioned: false,
    });
    fleet.run(20 * SECOND);
    digest.fleet(&mut fleet);
    run_faults(&mut fleet, &mut digest);
    let hash = digest.0.finish128();
    format!(
        "{:016x}{:016x} {} bytes",
        hash.h1, hash.h2, fleet.bytes_sent
    )
}

/// Sent bytes and conclusions stay the same in two and three zones, and with plain SWIM.
#[test]
fn small_fleets_send_and_conclude_the_same() {
    let fleets = [(2, false), (3, false), (3, true)];
    let line = |(zones, plain_swim)| {
        let digest = fleet_digest(zones, plain_swim);
        format!("{zones} zones, plain {plain_swim}: {digest}\n")
    };
    let lines: String = fleets.into_iter().map(line).collect();
    assert_golden_text("small-fleet.txt", &lines);
}
