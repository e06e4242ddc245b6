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
        life: Generation {
            started: 1_764_000_000_000 + number,
            id: 0x0123_4567_89ab_cdef ^ number,
        },
        at: at.parse().unwrap(),
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

fn claim(card: &MemberMetadata, incarnation: u32, said: MemberState) -> MemberStatus {
    MemberStatus {
        life: card.life,
        incarnation,
        said,
    }
}

/// From the first to the second, with nothing beside the body.
fn plain(body: Body) -> Message {
    let to = Some((second().name, second().life));
    Message {
        from: first(),
        incarnation: 300,
        to,
        body,
        news: Vec::new(),
        facts: Vec::new(),
    }
}

/// The bytes are what they were, and what they were is read as the same value.
fn assert_golden_message(form: &str, message: &Message) {
    assert_golden(form, &message.write());
    assert_eq!(
        &Message::read(&bytes_of(form), 256).unwrap(),
        message,
        "{form}"
    );
}

#[test]
fn ping() {
    assert_golden_message(
        "ping.hex",
        &plain(Body::Ping {
            number: 1,
            origin: None,
        }),
    );
}

#[test]
fn ping_for_another() {
    let origin = Some(ProbeOrigin {
        card: third(),
        number: 70_000,
    });
    assert_golden_message(
        "ping-for-another.hex",
        &plain(Body::Ping {
            number: u64::MAX,
            origin,
        }),
    );
}

#[test]
fn ack() {
    assert_golden_message(
        "ack.hex",
        &plain(Body::Ack {
            number: 9,
            heard: 8,
        }),
    );
}

#[test]
fn indirect_ping() {
    assert_golden_message(
        "indirect-ping.hex",
        &plain(Body::IndirectPing {
            number: 10,
            target: third(),
        }),
    );
}

#[test]
fn relayed_ack() {
    assert_golden_message(
        "relayed-ack.hex",
        &plain(Body::RelayedAck {
            number: 11,
            heard: 300,
        }),
    );
}

#[test]
fn no_answer() {
    assert_golden_message("no-answer.hex", &plain(Body::Nack { number: 12 }));
}

#[test]
fn ask_without_a_receiver() {
    assert_golden_message(
        "ask.hex",
        &Message {
            to: None,
            ..plain(Body::StateRequest)
        },
    );
}

#[test]
fn sums() {
    let sums = (0..64_u64)
        .map(|part| part.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .collect();
    assert_golden_message("sums.hex", &plain(Body::ShardDigests(sums)));
}

#[test]
fn parts() {
    for (form, again) in [("parts-once.hex", false), ("parts-again.hex", true)] {
        assert_golden_message(
            form,
            &plain(Body::ShardState {
                parts: vec![0, 17, 63],
                again,
            }),
        );
    }
}

/// Each state of a member, with and without who says so, and facts.
#[test]
fn news_and_facts() {
    let news = vec![
        MemberUpdate {
            card: second(),
            claim: claim(&second(), 0, MemberState::Alive),
            by: None,
        },
        MemberUpdate {
            card: third(),
            claim: claim(&third(), 1, MemberState::Suspect),
            by: Some(name("b-1")),
        },
        MemberUpdate {
            card: third(),
            claim: claim(&third(), 70_000, MemberState::Dead),
            by: Some(name("b-2")),
        },
        MemberUpdate {
            card: third(),
            claim: claim(&third(), 2, MemberState::Left),
            by: None,
        },
        MemberUpdate {
            card: second(),
            claim: MemberStatus::left(second().life),
            by: None,
        },
    ];
    let fact = |key: &str, priority, age_ms, bytes: &[u8]| RecordUpdate {
        owner: name("b-2"),
        life: second().life,
        counter: 129,
        key: name(key),
        priority,
        age_ms,
        bytes: bytes.to_vec(),
    };
    let facts = vec![
        fact("load", 0, 0, b""),
        fact("zone-left", 200, u32::MAX, b"\x00\xffsur"),
    ];
    assert_golden_message(
        "news-and-facts.hex",
        &Message {
            news,
            facts,
            ..plain(Body::Gossip)
        },
    );
}

#[test]
fn forms_that_are_refused() {
    let mut bytes = bytes_of("ping.hex");
    bytes[0] = 2;
    let version = Message::read(&bytes, 256).unwrap_err();
    assert_eq!(version, MessageError::Version(2));
    assert_eq!(version.to_string(), "a message of version 2, not 1");
    let form = Message::read(&[1, 0], 256).unwrap_err();
    assert_eq!(form, MessageError::Form);
    assert_eq!(form.to_string(), "not a message");
}

/// The lines that name a setting at fault are what operators read.
#[test]
fn settings_at_fault() {
    let usual = Settings::default;
    let (period, half) = (usual().period, usual().period / 2);
    let wrong = [
        Settings {
            period: half / 100,
            ..usual()
        },
        Settings {
            patience: period,
            ..usual()
        },
        Settings {
            suspicion: half,
            ..usual()
        },
        Settings {
            refused: usual().suspicion * 2,
            ..usual()
        },
        Settings {
            stall: half,
            ..usual()
        },
        Settings {
            unconfirmed: 0.5,
            ..usual()
        },
        Settings {
            datagram: 100,
            ..usual()
        },
        Settings {
            fact_bytes: 601,
            ..usual()
        },
        Settings {
            members: 1,
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
    let fact = node.fact(&net.names[0], &name(PARTITIONS_KEY)).unwrap();
    assert_golden("cuts-told.hex", &fact.bytes);
}

/// Those bytes from another are read as the cuts between its zone and the one that it names.
#[test]
fn cuts_heard() {
    let me = member(9, None, "127.0.0.1:9");
    let mut node = Node::new(me, vec![address(1)], Settings::default(), 1, 0).unwrap();
    let mut far = second();
    far.zone = name("sur");
    let fact = RecordUpdate {
        owner: first().name,
        life: first().life,
        counter: 1,
        key: name(PARTITIONS_KEY),
        priority: 64,
        age_ms: 0,
        bytes: bytes_of("cuts-heard.hex"),
    };
    let news = vec![MemberUpdate {
        claim: claim(&far, 0, MemberState::Alive),
        card: far,
        by: None,
    }];
    let message = Message {
        to: None,
        news,
        facts: vec![fact],
        ..plain(Body::Gossip)
    };
    node.heard(SECOND, &message.write()).unwrap();
    let cuts = node.cuts(SECOND);
    let cut: Vec<(&str, &str, u64, u64)> = cuts
        .iter()
        .map(|((from, to), between)| (from.as_str(), to.as_str(), between.of, between.cut))
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

    fn card(&mut self, card: &MemberMetadata) {
        self.name(&card.name);
        self.number(card.life.started);
        self.number(card.life.id);
        self.address(card.at);
        self.name(&card.zone);
        self.optional_name(card.region.as_ref());
    }

    fn event(&mut self, event: &Event) {
        match event {
            Event::Joined(card) => {
                self.number(1);
                self.card(card);
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
            Event::NameConflict { name, at } => {
                self.number(7);
                self.name(name);
                at.iter().for_each(|at| self.address(*at));
            }
            Event::IsolationChanged(cut_off) => {
                self.number(8);
                self.number(u64::from(*cut_off));
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

    fn state(&mut self, state: Verdict) {
        match state {
            Verdict::Alive => self.number(1),
            Verdict::Suspect => self.number(2),
            Verdict::Partitioned { to, from } => {
                self.number(3);
                self.way(to);
                self.way(from);
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
        self.card(node.me());
        for seen in node.members(now) {
            self.card(seen.card);
            self.state(seen.state);
            self.number(seen.since);
            self.number(seen.found_at.map_or(0, |at| at + 1));
            seen.suspected_by.iter().for_each(|by| self.name(by));
            let (to, from) = node.ways(&seen.card.name, now);
            self.way(to);
            self.way(from);
            let claim = node.claim(&seen.card.name).unwrap();
            self.number(u64::from(claim.incarnation));
        }
        let (size, sure, tallies) = (node.size(), node.sure(now), node.tallies());
        self.number(size.least as u64);
        self.number(size.most as u64);
        self.number(sure.own_zone.to_bits());
        self.number(sure.others.to_bits());
        self.number(u64::from(sure.cut_off));
        self.number(u64::from(node.times()));
        for count in [
            tallies.came,
            tallies.not_understood,
            tallies.sent,
            tallies.bytes,
            tallies.no_place,
            tallies.facts_dropped,
            tallies.stalls,
        ] {
            self.number(count);
        }
        for ((from, to), between) in node.cuts(now) {
            self.name(&from);
            self.name(&to);
            self.number(between.of);
            self.number(between.cut);
        }
        for (owner, key, fact) in node.facts() {
            self.name(owner);
            self.name(key);
            self.number(fact.life.id);
            self.number(fact.counter);
            self.number(u64::from(fact.priority));
            self.number(fact.said_at);
            self.bytes(&fact.bytes);
        }
        self.number(node.wake_at());
        node.to_look_for(now).for_each(|card| self.name(&card.name));
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
    for (zones, plain) in [(2, false), (3, false), (3, true)] {
        let mut all = Digest::default();
        let mut net = Net::in_zones(12, 77, zones);
        net.keeps_sent = true;
        net.settings.plain = plain;
        if plain {
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
            node.say(now, key, 60 * number, vec![number; 40]).unwrap();
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
            (zones, plain),
            format!("{:016x}{:016x} {} bytes", hash.h1, hash.h2, net.bytes),
        );
    }
    let lines: String = lines
        .iter()
        .map(|((zones, plain), line)| format!("{zones} zones, plain {plain}: {line}\n"))
        .collect();
    assert_golden_text("small-fleet.txt", &lines);
}
