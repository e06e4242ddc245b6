//! Golden tests of the wire format, the stored formats and the hashes that determine ownership. A
//! difference means that processes of different versions no longer understand each other, or that
//! stored data can no longer be read.
//!
//! Each line of a fixture holds the name of an encoded value and its bytes in hexadecimal.

use nanoserde::{DeBin, SerBin};
use rstest::rstest;
use std::fmt::{Debug, Write};
use woadstall_consensus::{
    AppendEntriesRequest, AppendEntriesResponse, Entry, EntryPayload, InstallSnapshotRequest,
    InstallSnapshotResponse, LogPosition, Member, Membership, Message, MessageBody, SnapshotChunk,
    SnapshotMeta, VoteRequest, VoteResponse,
};
use woadstall_control::balancers::{BalancerHeartbeat, BalancerRenewal};
use woadstall_control::command::{Command, CommandOutcome};
use woadstall_control::configuration::Configuration;
use woadstall_control::feed::FeedEvent;
use woadstall_control::loads::{FleetLoad, FleetLoads, LoadReport, PrefixPlacement, UpstreamLoad};
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_control::shards::{monitors, replica_group, shard_of, short_hash};
use woadstall_control::state::ControlState;
use woadstall_control::wire::{
    CallId, HEADER_BYTES, LeaderTime, MAX_FRAME_BYTES, MachineInfo, Packet, Renewal,
    SubscribeRequest, VERSION, ZoneBalancers, decode_frame, encode_frame,
};

const FRAMES: &str = include_str!("golden/frames.txt");
const STORED: &str = include_str!("golden/stored.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

/// Returns the bytes of the encoded value with a name in a fixture.
fn golden(fixture: &str, name: &str) -> Vec<u8> {
    let digits = fixture
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let digits = digits.unwrap_or_else(|| panic!("the fixture has no value named {name}"));
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

fn assert_golden(fixture: &str, name: &str, bytes: &[u8]) {
    assert_eq!(
        hex(bytes),
        hex(&golden(fixture, name)),
        "the encoding of {name} has changed"
    );
}

/// Asserts that a packet is encoded as the frame in the fixture, and that the frame decodes to the
/// packet.
fn assert_golden_frame(name: &str, packet: &Packet) {
    assert_golden(FRAMES, name, &packet.encode());
    assert_eq!(
        Packet::decode_datagram(&golden(FRAMES, name)).unwrap(),
        *packet
    );
}

/// Asserts that a value is encoded as the bytes in the fixture, and that the bytes decode to the
/// value.
fn assert_golden_value<T: SerBin + DeBin + PartialEq + Debug>(name: &str, value: &T) {
    assert_golden(STORED, name, &value.serialize_bin());
    assert_eq!(T::deserialize_bin(&golden(STORED, name)).unwrap(), *value);
}

fn text(text: &str) -> String {
    text.to_owned()
}

fn member(id: u64) -> Member {
    Member {
        id,
        address: format!("10.0.0.{id}:7720"),
    }
}

fn control_machine(id: u64) -> MachineInfo {
    MachineInfo {
        member: member(id),
        zone: text("zone-1"),
        region: text("region-1"),
        control_address: format!("10.0.0.{id}:80"),
    }
}

fn registration(status: UpstreamStatus) -> Registration {
    Registration {
        id: text("i-1"),
        service: text("chat"),
        address: text("10.0.1.9:8000"),
        zone: text("zone-1"),
        capacity: 64,
        sequence: 3,
        status,
        slow_start_remaining_ms: 5_000,
        termination_remaining_ms: 6_000,
        age_ms: 7,
    }
}

fn heartbeat() -> BalancerHeartbeat {
    BalancerHeartbeat {
        name: text("front-1"),
        incarnation: 11,
        sequence: 12,
        address: text("10.0.2.3:80"),
        zone: text("zone-1"),
        ready: true,
    }
}

fn placement() -> PrefixPlacement {
    PrefixPlacement {
        number: 1,
        upstream: 0xdead_beef,
        prefix: 5,
        prefix_tokens: 9_000,
        suffix_tokens: 20,
    }
}

const CALL: CallId = CallId {
    incarnation: 0x1122_3344_5566_7788,
    number: 9,
};

/// Returns a configuration that is large enough to be compressed in a frame.
fn large_body() -> Vec<u8> {
    let item = |number| format!("{{\"name\":\"r-{number}\",\"timeout_ms\":5000}},");
    (0..60).map(item).collect::<String>().into_bytes()
}

fn put(body: &[u8]) -> Command {
    Command::Put {
        base: 1,
        body: body.to_vec(),
    }
}

fn forwarded_command(command: Command) -> Packet {
    Packet::ForwardedCommand {
        call: CALL,
        expires: LeaderTime { term: 3, at: 900 },
        command,
    }
}

fn forwarded_command_reply(outcome: Option<CommandOutcome>) -> Packet {
    Packet::ForwardedCommandReply {
        call: CALL,
        outcome,
    }
}

fn events(events: Vec<FeedEvent>) -> Packet {
    Packet::Events { offset: 2, events }
}

#[rstest]
#[case::hello("hello", Packet::Hello { machine: control_machine(1), known: vec![control_machine(1), control_machine(2)] })]
#[case::join_request("join", Packet::JoinRequest(member(4)))]
#[case::replica_stopping("leaves", Packet::ReplicaStopping(4))]
#[case::registrations("registrations", Packet::Registrations { call: CALL, registrations: vec![
    registration(UpstreamStatus::Ready),
    registration(UpstreamStatus::TimedOut),
    registration(UpstreamStatus::Draining),
    registration(UpstreamStatus::Deregistered),
] })]
#[case::registrations_ack("registrations_taken", Packet::RegistrationsAck { call: CALL })]
#[case::renewals("renewals", Packet::Renewals(vec![Renewal { id: text("i-1"), sequence: 4 }]))]
#[case::balancer_heartbeats("balancers", Packet::BalancerHeartbeats(vec![heartbeat()]))]
#[case::balancer_renewals("balancers_still_there", Packet::BalancerRenewals(vec![
    BalancerRenewal { name: 1, incarnation: 2, sequence: 3 },
]))]
#[case::forwarded_put("order_put", forwarded_command(put(b"{}")))]
#[case::forwarded_put_compressed("order_put_compressed", forwarded_command(put(&large_body())))]
#[case::forwarded_patch("order_patch", forwarded_command(Command::Patch { base: 2, body: b"{\"generation\":3}".to_vec() }))]
#[case::forwarded_evacuate("order_evacuate", forwarded_command(Command::Evacuate { zone: text("zone-1") }))]
#[case::forwarded_end_evacuation("order_return", forwarded_command(Command::EndEvacuation { zone: text("zone-1") }))]
#[case::forwarded_reply_indeterminate("order_done_unclear", forwarded_command_reply(None))]
#[case::forwarded_reply_accepted(
    "order_done_accepted",
    forwarded_command_reply(Some(CommandOutcome::Accepted))
)]
#[case::forwarded_reply_conflict("order_done_conflict", forwarded_command_reply(Some(CommandOutcome::Conflict { current: 4 })))]
#[case::forwarded_reply_invalid("order_done_invalid", forwarded_command_reply(Some(CommandOutcome::Invalid { findings: text("a: is missing\n") })))]
#[case::read_index_request("read", Packet::ReadIndexRequest { call: CALL })]
#[case::read_index_reply("read_done", Packet::ReadIndexReply { call: CALL, index: Some(4) })]
#[case::read_index_reply_none("read_done_unclear", Packet::ReadIndexReply { call: CALL, index: None })]
#[case::subscribe("subscribe", Packet::Subscribe(SubscribeRequest { balancer: text("front-1"), epoch: 1, offset: 2, applied_index: 3 }))]
#[case::snapshot("snapshot", Packet::Snapshot {
    epoch: 1,
    offset: 2,
    state: vec![1, 2, 3],
    registrations: vec![registration(UpstreamStatus::Ready)],
})]
#[case::event_committed("event_committed", events(vec![FeedEvent::Committed { index: 1, command: put(b"{}") }]))]
#[case::event_registered("event_registered", events(vec![FeedEvent::Registered(registration(UpstreamStatus::Draining))]))]
#[case::events_compressed("events_compressed", events(vec![FeedEvent::Committed { index: 1, command: put(&large_body()) }]))]
#[case::machine_status("status", Packet::MachineStatus { in_quorum: true, machines: vec![control_machine(1)] })]
#[case::active_balancers("balancing", Packet::ActiveBalancers(vec![ZoneBalancers { zone: text("zone-1"), balancers: vec![1, 2] }]))]
#[case::heartbeat("heartbeat", Packet::BalancerHeartbeat(heartbeat()))]
#[case::load_report("load", Packet::LoadReport(LoadReport {
    balancer: 1,
    sequence: 2,
    zone: text("zone-1"),
    upstreams: vec![UpstreamLoad { upstream: 3, pending_prefill_tokens: 4_000, is_failing: true }],
    placements: vec![placement()],
}))]
#[case::fleet_loads("loads", Packet::FleetLoads(FleetLoads {
    upstreams: vec![FleetLoad { upstream: 3, pending_prefill_tokens: 4_000, failing_balancers: 2 }],
    placements: vec![placement()],
}))]
fn packets_have_their_golden_frames(#[case] name: &str, #[case] packet: Packet) {
    assert_golden_frame(name, &packet);
}

fn entries() -> Vec<Entry> {
    let members = Membership {
        voters: vec![member(1), member(2)],
        next_voters: vec![member(3)],
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

const SNAPSHOT_META: SnapshotMeta = SnapshotMeta {
    last_log: LogPosition { index: 3, term: 1 },
    size: 20,
    checksum: 7,
};

#[rstest]
#[case::vote("vote", MessageBody::VoteRequest(VoteRequest { pre_vote: true, last_log: LogPosition { index: 5, term: 2 }, leadership_transfer: false }))]
#[case::vote_reply("vote_reply", MessageBody::VoteResponse(VoteResponse { pre_vote: false, granted: true }))]
#[case::append("append", MessageBody::AppendEntriesRequest(AppendEntriesRequest { previous: LogPosition { index: 4, term: 1 }, entries: entries(), leader_commit: 1, heartbeat_round: 9 }))]
#[case::append_reply("append_reply", MessageBody::AppendEntriesResponse(AppendEntriesResponse { success: true, last_index: 3, heartbeat_round: 9 }))]
#[case::install("install", MessageBody::InstallSnapshotRequest(InstallSnapshotRequest { chunk: SnapshotChunk { meta: SNAPSHOT_META, offset: 8, bytes: vec![9; 12] }, heartbeat_round: 9 }))]
#[case::install_reply("install_reply", MessageBody::InstallSnapshotResponse(InstallSnapshotResponse { meta: SNAPSHOT_META, received_bytes: 20, heartbeat_round: 9 }))]
#[case::timeout_now("elect", MessageBody::TimeoutNow)]
fn messages_of_the_log_have_their_golden_frames(#[case] name: &str, #[case] body: MessageBody) {
    let message = Message {
        from: 1,
        to: 2,
        term: 3,
        body,
    };
    assert_golden_frame(
        &format!("consensus_{name}"),
        &Packet::Consensus {
            message,
            sender_clock_ms: 77,
        },
    );
}

#[test]
fn values_beside_packets_have_their_golden_frames() {
    let value = registration(UpstreamStatus::Ready);
    assert_golden(FRAMES, "value_registration", &encode_frame(&value));
    assert_eq!(
        decode_frame::<Registration>(&golden(FRAMES, "value_registration")).unwrap(),
        value
    );
    let registrations = vec![registration(UpstreamStatus::Draining); 40];
    assert_golden(
        FRAMES,
        "value_registrations_compressed",
        &encode_frame(&registrations),
    );
    let fixture = golden(FRAMES, "value_registrations_compressed");
    assert_eq!(
        decode_frame::<Vec<Registration>>(&fixture).unwrap(),
        registrations
    );
}

#[test]
fn a_frame_has_its_golden_limits() {
    assert_eq!(
        (VERSION, HEADER_BYTES, MAX_FRAME_BYTES),
        (3, 12, 16_777_216)
    );
}

#[rstest]
#[case::put(
    "command_put",
    put(b"{\"generation\":2}"),
    0x021a_bba3_3304_d51e_fa14_90e0_9dfc_cdf7
)]
#[case::patch("command_patch", Command::Patch { base: 2, body: b"{}".to_vec() }, 0x6884_c946_4412_61ac_7da5_603a_5d28_2c43)]
#[case::evacuate("command_evacuate", Command::Evacuate { zone: text("zone-1") }, 0xf300_7e87_a6b8_8da2_a194_1db3_0edb_a766)]
#[case::end_evacuation("command_return", Command::EndEvacuation { zone: text("zone-1") }, 0xb852_55e1_18d0_abd6_b4bc_94bd_d1ce_35bf)]
fn commands_have_their_golden_entries_and_digests(
    #[case] name: &str,
    #[case] command: Command,
    #[case] digest: u128,
) {
    assert_golden_value(name, &command);
    assert_eq!(command.digest(), digest, "{:#034x}", command.digest());
}

#[rstest]
#[case::ready("registration_ready", UpstreamStatus::Ready)]
#[case::timed_out("registration_silent", UpstreamStatus::TimedOut)]
#[case::draining("registration_draining", UpstreamStatus::Draining)]
#[case::deregistered("registration_gone", UpstreamStatus::Deregistered)]
fn registrations_have_their_golden_bytes(#[case] name: &str, #[case] status: UpstreamStatus) {
    assert_golden_value(name, &registration(status));
}

/// A configuration with all known fields and one unknown field.
const DOCUMENT: &str = concat!(
    r#"{"generation":5,"limits":{"header_timeout_ms":3000,"idle_timeout_ms":15000,"max_body_bytes":4096,"#,
    r#""max_header_bytes":1024},"routes":[{"allowed_regions":["region-1"],"gap_aim_ms":400,"host":"Chat.Example","#,
    r#""max_attempts":3,"name":"r-1","path_prefix":"/v1/","priority":1,"resumable":true,"route_type":"streaming","#,
    r#""session_affinity":true,"target_latency_ms":800,"timeout_ms":60000,"traffic_split":[{"service":"chat","weight":9}]}],"#,
    r#""services":[{"cold_start_s":2.5,"engine":{"capacity":8,"kv_capacity_tokens":100000},"health_check":"/health","#,
    r#""max_connections":50,"name":"chat","warmup_per_s":1.5}],"unknown":{"a":[1,2.5,null]}}"#
);

fn state() -> ControlState {
    let mut state = ControlState::default();
    let put = Command::Put {
        base: 0,
        body: DOCUMENT.as_bytes().to_vec(),
    };
    assert_eq!(state.apply(2, &put), CommandOutcome::Accepted);
    assert_eq!(
        state.apply(
            3,
            &Command::Evacuate {
                zone: text("zone-2")
            }
        ),
        CommandOutcome::Accepted
    );
    assert_eq!(
        state.apply(
            4,
            &Command::Evacuate {
                zone: text("zone-1")
            }
        ),
        CommandOutcome::Accepted
    );
    let patch = Command::Patch {
        base: 5,
        body: b"{\"generation\":6}".to_vec(),
    };
    assert_eq!(state.apply(5, &patch), CommandOutcome::Accepted);
    state
}

#[test]
fn an_empty_state_has_its_golden_snapshot() {
    let state = ControlState::default();
    assert_golden(STORED, "state_empty", &state.encode());
    let decoded = ControlState::decode(&golden(STORED, "state_empty")).unwrap();
    assert_eq!(
        (
            decoded.index,
            decoded.generation(),
            decoded.evacuated_zones.len()
        ),
        (0, 0, 0)
    );
}

#[test]
fn a_state_has_its_golden_snapshot() {
    let state = state();
    assert_golden(STORED, "state", &state.encode());
    let mut decoded = ControlState::decode(&golden(STORED, "state")).unwrap();
    assert_eq!(hex(&decoded.encode()), hex(&state.encode()));
    assert_eq!((decoded.index, decoded.generation()), (5, 6));
    assert_eq!(decoded.configuration, state.configuration);
    assert_eq!(decoded.document(), state.document());
    assert_eq!(
        decoded.evacuated_zones.iter().collect::<Vec<_>>(),
        ["zone-1", "zone-2"]
    );
    // A command that was accepted before is acknowledged again, although its base generation is no
    // longer the current one.
    let repeated = Command::Put {
        base: 0,
        body: DOCUMENT.as_bytes().to_vec(),
    };
    assert_eq!(decoded.apply(6, &repeated), CommandOutcome::Accepted);
    assert_eq!(decoded.generation(), 6);
}

#[test]
fn a_configuration_is_read_back_as_its_golden_document() {
    let expected = DOCUMENT.replacen(r#""generation":5"#, r#""generation":6"#, 1);
    assert_eq!(state().document(), expected);
}

#[test]
fn findings_have_their_golden_lines() {
    let document = serde_json::json!({
        "generation": -1,
        "limits": { "max_body_bytes": "many" },
        "services": [{ "name": "chat", "cold_start_s": -1 }, { "name": "chat" }],
        "routes": [
            { "name": "r", "host": "h", "path_prefix": "/a", "route_type": "odd", "timeout_ms": 0, "service": "nobody" },
            { "name": "r", "host": "h", "path_prefix": "/a", "route_type": "safe", "timeout_ms": 5, "resumable": 1,
              "traffic_split": [{ "service": "chat", "weight": 0 }], "allowed_regions": "all" },
        ],
    });
    let findings = Configuration::read(&document).unwrap_err();
    assert_eq!(findings.to_string(), include_str!("golden/findings.txt"));
}

#[test]
fn ownership_has_its_golden_hashes() {
    let machines = [
        "10.0.0.1:7720",
        "10.0.0.2:7720",
        "10.0.0.3:7720",
        "10.0.0.4:7720",
    ];
    let shards: Vec<u32> = ["chat", "embed", "rank"].map(shard_of).to_vec();
    let names: Vec<u32> = ["front-1", "front-2"].map(short_hash).to_vec();
    let groups: Vec<Vec<&str>> = [0, 1, 63]
        .map(|shard| replica_group(shard, machines, 3))
        .to_vec();
    let monitor_groups: Vec<Vec<&str>> = ["front-1", "front-2"]
        .map(|name| monitors(name, machines, 3))
        .to_vec();
    let lines = format!("{shards:?}\n{names:?}\n{groups:?}\n{monitor_groups:?}\n");
    assert_eq!(lines, include_str!("golden/ownership.txt"));
}

/// The names of statuses appear in the log and in the JSON of a machine's status.
#[test]
fn statuses_have_their_golden_names() {
    let statuses = [
        UpstreamStatus::Ready,
        UpstreamStatus::TimedOut,
        UpstreamStatus::Draining,
        UpstreamStatus::Deregistered,
    ];
    assert_eq!(
        statuses.map(|status| status.to_string()),
        ["Ready", "Silent", "Draining", "Gone"]
    );
}
