//! Tests of the frame encoding. Each packet round-trips, and each changed byte is rejected with a
//! typed error.

use woadstall_consensus::{
    AppendEntriesRequest, AppendEntriesResponse, Entry, EntryPayload, InstallSnapshotRequest,
    InstallSnapshotResponse, LogPosition, Member, Membership, Message, MessageBody, SnapshotChunk,
    SnapshotMeta, VoteRequest, VoteResponse,
};
use woadstall_control::balancers::{BalancerHeartbeat, BalancerRenewal};
use woadstall_control::command::{Command, CommandOutcome};
use woadstall_control::feed::FeedEvent;
use woadstall_control::loads::{FleetLoad, FleetLoads, LoadReport, PrefixPlacement, UpstreamLoad};
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_control::wire::{
    CallId, HEADER_BYTES, LeaderTime, MAX_FRAME_BYTES, MachineInfo, Packet, Renewal,
    SubscribeRequest, VERSION, WireError, ZoneBalancers, payload_length,
};

fn member() -> Member {
    Member {
        id: 7,
        address: "10.0.0.1:7720".to_owned(),
    }
}

fn machine() -> MachineInfo {
    let (zone, region, control_address) =
        ("z".to_owned(), "r".to_owned(), "10.0.0.1:80".to_owned());
    MachineInfo {
        member: member(),
        zone,
        region,
        control_address,
    }
}

fn registration() -> Registration {
    Registration {
        id: "i-1".to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.9:80".to_owned(),
        zone: "z".to_owned(),
        capacity: 64,
        sequence: 3,
        status: UpstreamStatus::Draining,
        slow_start_remaining_ms: 5,
        termination_remaining_ms: 6,
        age_ms: 7,
    }
}

fn consensus(body: MessageBody) -> Packet {
    Packet::Consensus {
        message: Message {
            from: 1,
            to: 2,
            term: 3,
            body,
        },
        sender_clock_ms: 77,
    }
}

/// Returns a command body that is large enough to be compressed in a frame.
fn large_body() -> Vec<u8> {
    (0..60)
        .flat_map(|number| format!("{{\"name\":\"r-{number}\",\"timeout_ms\":5000}},").into_bytes())
        .collect()
}

#[test]
fn large_payloads_are_compressed_and_an_excessive_claimed_size_is_rejected() {
    let packet = Packet::Events {
        offset: 1,
        events: vec![FeedEvent::Committed {
            index: 1,
            command: Command::Put {
                base: 0,
                body: large_body(),
            },
        }],
    };
    let frame = packet.encode();
    assert!(
        frame.len() < large_body().len() / 2,
        "{} bytes",
        frame.len()
    );
    let mut tampered = frame;
    tampered[HEADER_BYTES..HEADER_BYTES + 4].copy_from_slice(&u32::MAX.to_le_bytes());
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&tampered[2..4]);
    hasher.update(&tampered[HEADER_BYTES..]);
    tampered[8..12].copy_from_slice(&hasher.finalize().to_le_bytes());
    assert_too_long(Packet::decode_datagram(&tampered));
}

/// Asserts that a length of `u32::MAX`, the greatest one that a header can claim, is rejected as
/// too long.
fn assert_too_long<T: std::fmt::Debug>(result: Result<T, WireError>) {
    const LENGTH: usize = u32::MAX as usize;
    assert!(
        matches!(result, Err(WireError::TooLong(LENGTH))),
        "{result:?}"
    );
}

const CALL: CallId = CallId {
    incarnation: 5,
    number: 1,
};

fn heartbeat() -> BalancerHeartbeat {
    BalancerHeartbeat {
        name: "front-1".to_owned(),
        incarnation: 1,
        sequence: 2,
        address: "10.0.0.3:80".to_owned(),
        zone: "z".to_owned(),
        ready: true,
    }
}

fn command(body: Vec<u8>) -> Command {
    Command::Put { base: 1, body }
}

/// Returns at least one packet of each kind.
fn packets() -> Vec<Packet> {
    [
        machine_packets(),
        log_packets(),
        registration_packets(),
        call_packets(),
        feed_packets(),
        load_packets(),
    ]
    .concat()
}

fn machine_packets() -> Vec<Packet> {
    vec![
        Packet::Hello {
            machine: machine(),
            known: vec![machine()],
        },
        Packet::JoinRequest(member()),
        Packet::ReplicaStopping(7),
        Packet::MachineStatus {
            in_quorum: true,
            machines: vec![machine()],
        },
    ]
}

fn log_entries() -> Vec<Entry> {
    let members = Membership {
        voters: vec![member()],
        next_voters: vec![member()],
    };
    vec![
        Entry {
            index: 1,
            term: 1,
            payload: EntryPayload::Blank,
        },
        Entry {
            index: 2,
            term: 1,
            payload: EntryPayload::Command(vec![1, 2, 3]),
        },
        Entry {
            index: 3,
            term: 1,
            payload: EntryPayload::Membership(members),
        },
    ]
}

fn log_packets() -> Vec<Packet> {
    let meta = SnapshotMeta {
        last_log: LogPosition { index: 3, term: 1 },
        size: 20,
        checksum: 7,
    };
    let chunk = SnapshotChunk {
        meta,
        offset: 0,
        bytes: vec![9; 20],
    };
    vec![
        consensus(MessageBody::VoteRequest(VoteRequest {
            pre_vote: true,
            last_log: LogPosition { index: 1, term: 1 },
            leadership_transfer: false,
        })),
        consensus(MessageBody::VoteResponse(VoteResponse {
            pre_vote: false,
            granted: true,
        })),
        consensus(MessageBody::AppendEntriesRequest(AppendEntriesRequest {
            previous: LogPosition { index: 0, term: 0 },
            entries: log_entries(),
            leader_commit: 1,
            heartbeat_round: 9,
        })),
        consensus(MessageBody::AppendEntriesResponse(AppendEntriesResponse {
            success: true,
            last_index: 3,
            heartbeat_round: 9,
        })),
        consensus(MessageBody::InstallSnapshotRequest(
            InstallSnapshotRequest {
                chunk,
                heartbeat_round: 9,
            },
        )),
        consensus(MessageBody::InstallSnapshotResponse(
            InstallSnapshotResponse {
                meta,
                received_bytes: 20,
                heartbeat_round: 9,
            },
        )),
        consensus(MessageBody::TimeoutNow),
    ]
}

fn registration_packets() -> Vec<Packet> {
    vec![
        Packet::Registrations {
            call: CALL,
            registrations: vec![registration()],
        },
        Packet::RegistrationsAck { call: CALL },
        Packet::Renewals(vec![Renewal {
            id: "i-1".to_owned(),
            sequence: 4,
        }]),
        Packet::BalancerHeartbeats(vec![heartbeat()]),
        Packet::BalancerRenewals(vec![BalancerRenewal {
            name: 1,
            incarnation: 2,
            sequence: 3,
        }]),
        Packet::BalancerHeartbeat(heartbeat()),
    ]
}

fn call_packets() -> Vec<Packet> {
    let (call, expires) = (CALL, LeaderTime { term: 3, at: 900 });
    vec![
        Packet::ForwardedCommand {
            call,
            expires,
            command: command(b"{}".to_vec()),
        },
        Packet::ForwardedCommand {
            call,
            expires,
            command: command(large_body()),
        },
        Packet::ForwardedCommandReply {
            call,
            outcome: Some(CommandOutcome::Conflict { current: 4 }),
        },
        Packet::ReadIndexRequest { call },
        Packet::ReadIndexReply {
            call,
            index: Some(4),
        },
    ]
}

fn feed_packets() -> Vec<Packet> {
    let committed = FeedEvent::Committed {
        index: 1,
        command: command(b"{}".to_vec()),
    };
    vec![
        Packet::Subscribe(SubscribeRequest {
            balancer: "front-1".to_owned(),
            epoch: 1,
            offset: 2,
            applied_index: 3,
        }),
        Packet::Snapshot {
            epoch: 1,
            offset: 2,
            state: vec![1],
            registrations: vec![registration()],
        },
        Packet::Events {
            offset: 2,
            events: vec![committed],
        },
        Packet::ActiveBalancers(vec![ZoneBalancers {
            zone: "z".to_owned(),
            balancers: vec![1, 2],
        }]),
    ]
}

fn load_packets() -> Vec<Packet> {
    let placements = vec![PrefixPlacement {
        number: 1,
        upstream: 3,
        prefix: 5,
        prefix_tokens: 9_000,
        suffix_tokens: 20,
    }];
    let load = UpstreamLoad {
        upstream: 3,
        pending_prefill_tokens: 4_000,
        is_failing: true,
    };
    vec![
        Packet::LoadReport(LoadReport {
            balancer: 1,
            sequence: 2,
            zone: "z".to_owned(),
            upstreams: vec![load],
            placements: placements.clone(),
        }),
        Packet::FleetLoads(FleetLoads {
            upstreams: vec![FleetLoad {
                upstream: 3,
                pending_prefill_tokens: 4_000,
                failing_balancers: 2,
            }],
            placements,
        }),
    ]
}

#[test]
fn each_packet_round_trips() {
    for packet in packets() {
        assert_eq!(Packet::decode_datagram(&packet.encode()).unwrap(), packet);
    }
}

#[test]
fn each_changed_byte_is_detected() {
    for packet in packets() {
        let frame = packet.encode();
        for position in 0..frame.len() {
            for change in [1, 0x80, 0xff] {
                let mut changed = frame.clone();
                changed[position] ^= change;
                assert!(
                    Packet::decode_datagram(&changed).is_err(),
                    "byte {position} of {packet:?}"
                );
            }
        }
    }
}

#[test]
fn a_frame_that_is_truncated_or_too_long_is_rejected() {
    for packet in packets() {
        let frame = packet.encode();
        for length in 0..frame.len() {
            assert!(Packet::decode_datagram(&frame[..length]).is_err());
        }
        let mut longer = frame;
        longer.push(0);
        assert!(matches!(
            Packet::decode_datagram(&longer),
            Err(WireError::Length)
        ));
    }
}

#[test]
fn invalid_headers_are_rejected_before_the_payload_is_read() {
    let mut header: [u8; HEADER_BYTES] = packets()[0].encode()[..HEADER_BYTES].try_into().unwrap();
    header[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_too_long(payload_length(&header));
    assert!(MAX_FRAME_BYTES < u32::MAX as usize);
    header[0] = 99;
    assert!(matches!(
        payload_length(&header),
        Err(WireError::Version(99))
    ));
    assert_ne!(VERSION, 99);
}
