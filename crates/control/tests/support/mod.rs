//! Test fixtures: control machines, and the packets and commands that they receive.

#![allow(dead_code, reason = "each test file uses a part of it")]

use woadstall_consensus::{
    AppendEntriesRequest, AppendEntriesResponse, DurableState, Entry, LogPosition, Member, Message,
    MessageBody, Snapshot, VoteResponse,
};
use woadstall_control::balancers::BalancerHeartbeat;
use woadstall_control::command::Command;
use woadstall_control::machine::{
    Action, CallResponse, ControlMachine, MachineSettings, founding_snapshot,
};
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_control::wire::{MachineInfo, Packet};

/// The incarnation of the process under test.
pub const INCARNATION: u64 = 77;
/// The incarnation of an earlier process of the machine under test.
pub const EARLIER_INCARNATION: u64 = 76;
/// The term in which [`follower`] has a leader.
pub const TERM: u64 = 4;
/// The clock of the leader of [`follower`] when the follower's own clock is 1,000 ms.
pub const LEADER_CLOCK: u64 = 50_000;
/// The log position of the founding snapshot.
pub const FOUNDING_POSITION: LogPosition = LogPosition { index: 1, term: 1 };
/// The token of the call under test.
pub const TOKEN: u64 = 9;

/// Returns the internal address of a machine.
pub fn address(id: u64) -> String {
    format!("10.0.0.{id}:7720")
}

/// Returns the members of a group with the ids from 1 to `count`.
pub fn members(count: u64) -> Vec<Member> {
    (1..=count)
        .map(|id| Member {
            id,
            address: address(id),
        })
        .collect()
}

/// A builder of machine 1, which is in the first zone of its deployment.
pub struct MachineBuilder {
    zones: Vec<(String, String)>,
    founders: u64,
    tolerated_failures: usize,
}

impl MachineBuilder {
    /// Starts with a deployment of one zone and a machine that is not a member of any group.
    pub fn new() -> Self {
        let zones = vec![("zone-1".to_owned(), "region-1".to_owned())];
        Self {
            zones,
            founders: 0,
            tolerated_failures: 1,
        }
    }

    /// Sets the zones of the deployment and their regions.
    pub fn zones(mut self, zones: &[(&str, &str)]) -> Self {
        let owned = |(zone, region): &(&str, &str)| ((*zone).to_owned(), (*region).to_owned());
        self.zones = zones.iter().map(owned).collect();
        self
    }

    /// Sets the number of machines that founded the group, including machine 1.
    pub fn founders(mut self, count: u64) -> Self {
        self.founders = count;
        self
    }

    /// Sets the number of machines that may fail at the same time.
    pub fn tolerated_failures(mut self, count: usize) -> Self {
        self.tolerated_failures = count;
        self
    }

    /// Creates the machine at time 0.
    pub fn build(self) -> ControlMachine {
        let (zone, region) = self.zones[0].clone();
        let member = Member {
            id: 1,
            address: address(1),
        };
        let settings = MachineSettings {
            machine: MachineInfo {
                member,
                zone,
                region,
                control_address: String::new(),
            },
            seeds: (1..=self.founders.max(1)).map(address).collect(),
            zones: self.zones.into_iter().collect(),
            heartbeat_ms: 1_200,
            tolerated_failures: self.tolerated_failures,
            incarnation: INCARNATION,
        };
        let snapshot = match self.founders {
            0 => Snapshot::default(),
            count => founding_snapshot(&members(count)),
        };
        ControlMachine::new(settings, DurableState::new(1, snapshot), 0, 1)
    }
}

/// Returns machine 1 of a group of three.
pub fn machine() -> ControlMachine {
    let mut machine = MachineBuilder::new().founders(3).build();
    machine.take_actions();
    machine
}

/// Returns machine 1 as a follower of machine 2 from time 1,000 ms on.
pub fn follower() -> ControlMachine {
    let mut machine = machine();
    receive_from_leader(&mut machine, 1_000, LEADER_CLOCK);
    machine
}

/// Returns machine 1 as the leader of a term, with the first entry of the term committed.
pub fn leader() -> ControlMachine {
    let mut machine = machine();
    machine.receive_packet(
        1_000,
        &address(2),
        consensus(2, TERM, MessageBody::TimeoutNow),
    );
    persist_all(&mut machine, 1_000);
    let term = machine.replica().term();
    let vote = MessageBody::VoteResponse(VoteResponse {
        pre_vote: false,
        granted: true,
    });
    machine.receive_packet(1_010, &address(2), consensus(2, term, vote));
    persist_all(&mut machine, 1_010);
    let reply = append_response(2, 1);
    machine.receive_packet(1_020, &address(2), consensus(2, term, reply));
    persist_all(&mut machine, 1_020);
    assert!(machine.replica().is_leader() && machine.replica().commit_index() == 2);
    machine
}

/// Returns a consensus message to machine 1 with the sender's clock at 0.
pub fn consensus(from: u64, term: u64, body: MessageBody) -> Packet {
    consensus_at(0, from, term, body)
}

/// Returns a consensus message to machine 1 with the given clock of its sender.
pub fn consensus_at(sender_clock_ms: u64, from: u64, term: u64, body: MessageBody) -> Packet {
    Packet::Consensus {
        message: Message {
            from,
            to: 1,
            term,
            body,
        },
        sender_clock_ms,
    }
}

/// Returns an append request without entries after the founding snapshot.
pub fn empty_append() -> MessageBody {
    append_entries(FOUNDING_POSITION, Vec::new(), 1)
}

/// Returns an append request with entries after a log position.
pub fn append_entries(
    previous: LogPosition,
    entries: Vec<Entry>,
    leader_commit: u64,
) -> MessageBody {
    MessageBody::AppendEntriesRequest(AppendEntriesRequest {
        previous,
        entries,
        leader_commit,
        heartbeat_round: 1,
    })
}

/// Returns a follower's response that confirms the leader's log up to `last_index`.
pub fn append_response(last_index: u64, heartbeat_round: u64) -> MessageBody {
    MessageBody::AppendEntriesResponse(AppendEntriesResponse {
        success: true,
        last_index,
        heartbeat_round,
    })
}

/// Delivers an empty append request from machine 2 as the leader, with the given clock of machine
/// 2.
pub fn receive_from_leader(machine: &mut ControlMachine, now: u64, sender_clock_ms: u64) {
    let packet = consensus_at(sender_clock_ms, 2, TERM, empty_append());
    machine.receive_packet(now, &address(2), packet);
    persist_all(machine, now);
}

/// Completes all writes to disk, and returns the other actions.
pub fn persist_all(machine: &mut ControlMachine, now: u64) -> Vec<Action> {
    let mut others = Vec::new();
    loop {
        let actions = machine.take_actions();
        if actions.is_empty() {
            return others;
        }
        for action in actions {
            match action {
                Action::Persist { sequence, .. } => machine.persisted(now, sequence),
                Action::PersistRegistrations { number } => {
                    machine.registrations_persisted(now, number)
                }
                other => others.push(other),
            }
        }
    }
}

/// Returns the responses to calls.
pub fn responses(actions: &[Action]) -> Vec<&CallResponse> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Respond { response, .. } => Some(response),
            _ => None,
        })
        .collect()
}

/// Returns the packets sent to a machine.
pub fn sent_to(actions: &[Action], id: u64) -> Vec<Packet> {
    let to = address(id);
    let packet = |action: &Action| match action {
        Action::Send { address, packet } if *address == to => Some(packet.clone()),
        _ => None,
    };
    actions.iter().filter_map(packet).collect()
}

/// Returns a command that evacuates the zone `z`.
pub fn evacuate() -> Command {
    Command::Evacuate {
        zone: "z".to_owned(),
    }
}

/// Returns a registration of the upstream `i-1`.
pub fn registration(sequence: u64, status: UpstreamStatus) -> Registration {
    Registration {
        id: "i-1".to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "z".to_owned(),
        capacity: 4,
        sequence,
        status,
        slow_start_remaining_ms: 0,
        termination_remaining_ms: 0,
        age_ms: 0,
    }
}

/// Returns the heartbeat of a ready balancer.
pub fn heartbeat(name: &str, zone: &str) -> BalancerHeartbeat {
    BalancerHeartbeat {
        name: name.to_owned(),
        incarnation: 1,
        sequence: 1,
        address: "10.0.0.9:80".to_owned(),
        zone: zone.to_owned(),
        ready: true,
    }
}
