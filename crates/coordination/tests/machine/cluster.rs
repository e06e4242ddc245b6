//! A group of machines with a network, disks and a clock under the control of the test.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use woadstall_consensus::{DurableState, Member};
use woadstall_coordination::command::{Call, Command};
use woadstall_coordination::machine::{
    Action, CoordinationMachine, LogEvent, MachineSettings, Response, WatchRequest,
    initial_snapshot,
};
use woadstall_coordination::outcome::Outcome;
use woadstall_coordination::wire::{MachineInfo, Packet};

use crate::calls_support::HISTORY_MS;

/// The delay of packets and the interval between ticks, in milliseconds.
pub const STEP_MS: u64 = 5;
/// The maximum time, in milliseconds, until a group has a leader that has applied its first entry.
const ELECTION_MS: u64 = 6_000;
/// The maximum time, in milliseconds, until connected machines have identical states.
const CONVERGENCE_MS: u64 = 2_000;

/// A packet in transit.
struct InFlight {
    from: u64,
    to: u64,
    packet: Packet,
}

/// Whether a packet from one machine to another is dropped.
type Filter = Box<dyn Fn(u64, u64, &Packet) -> bool>;

struct Host {
    machine: CoordinationMachine,
    durable: DurableState,
    incarnation: u64,
    /// The difference between the machine's clock and the group's time, in milliseconds.
    clock_offset_ms: u64,
    is_frozen: bool,
    is_down: bool,
}

/// A group of machines. The replica identifiers are 1 to the number of machines.
pub struct Cluster {
    hosts: BTreeMap<u64, Host>,
    /// Milliseconds since the start of the group.
    pub now: u64,
    in_flight: VecDeque<InFlight>,
    isolated: BTreeSet<u64>,
    filter: Option<Filter>,
    last_token: u64,
    responses: BTreeMap<u64, Response>,
    /// All packets sent so far, including dropped packets, as (sender, receiver, packet).
    pub sent: Vec<(u64, u64, Packet)>,
    pub log: Vec<LogEvent>,
}

fn address(id: u64) -> String {
    format!("10.0.0.{id}:7730")
}

fn id_of(address: &str, count: u64) -> Option<u64> {
    (1..=count).find(|id| self::address(*id) == address)
}

fn member(id: u64) -> Member {
    Member {
        id,
        address: address(id),
    }
}

fn settings(id: u64, count: u64, incarnation: u64) -> MachineSettings {
    MachineSettings {
        machine: MachineInfo {
            member: member(id),
            zone: format!("zone-{id}"),
            region: format!("region-{id}"),
        },
        seeds: (1..=count).map(address).collect(),
        tolerated_failures: (count as usize - 1) / 2,
        history_ms: HISTORY_MS,
        incarnation,
    }
}

impl Cluster {
    /// Starts a new group. The clocks of the machines differ.
    pub fn new(count: u64) -> Self {
        let members: Vec<Member> = (1..=count).map(member).collect();
        let mut cluster = Self {
            hosts: BTreeMap::new(),
            now: 0,
            in_flight: VecDeque::new(),
            isolated: BTreeSet::new(),
            filter: None,
            last_token: 0,
            responses: BTreeMap::new(),
            sent: Vec::new(),
            log: Vec::new(),
        };
        for id in 1..=count {
            let durable = DurableState::new(id, initial_snapshot(&members));
            let clock_offset_ms = 1_000_000 * (count - id);
            cluster.start(id, count, durable, 100 + id, clock_offset_ms);
        }
        cluster.carry_out_all();
        cluster
    }

    /// Starts a new group and waits for a leader that has applied its first entry. Returns the
    /// group and the leader.
    pub fn with_leader(count: u64) -> (Self, u64) {
        let mut cluster = Self::new(count);
        let leader = cluster.await_leader();
        (cluster, leader)
    }

    fn start(&mut self, id: u64, count: u64, durable: DurableState, incarnation: u64, offset: u64) {
        let settings = settings(id, count, incarnation);
        let now = self.now + offset;
        let machine = CoordinationMachine::new(settings, durable.clone(), now, id);
        let host = Host {
            machine,
            durable,
            incarnation,
            clock_offset_ms: offset,
            is_frozen: false,
            is_down: false,
        };
        self.hosts.insert(id, host);
    }

    fn count(&self) -> u64 {
        self.hosts.len() as u64
    }

    pub fn machine(&self, id: u64) -> &CoordinationMachine {
        &self.hosts[&id].machine
    }

    /// The machines that are neither frozen nor stopped.
    pub fn running(&self) -> Vec<u64> {
        let hosts = self.hosts.iter();
        let running = hosts.filter(|(_, host)| !host.is_frozen && !host.is_down);
        running.map(|(id, _)| *id).collect()
    }

    /// A running machine that does not lead.
    pub fn follower(&self) -> u64 {
        let running = self.running();
        let is_follower = |id: &u64| !self.machine(*id).replica().is_leader();
        running.into_iter().find(is_follower).unwrap()
    }

    /// Runs until all running machines that are not isolated follow the same leader with a quorum
    /// and have committed the leader's first entry. Returns the leader.
    pub fn await_leader(&mut self) -> u64 {
        let end = self.now + ELECTION_MS;
        while self.now < end {
            self.run(STEP_MS);
            if let Some(leader) = self.agreed_leader() {
                return leader;
            }
        }
        panic!("no leader after {ELECTION_MS} ms");
    }

    fn agreed_leader(&self) -> Option<u64> {
        let reachable = self.running().into_iter();
        let reachable: Vec<u64> = reachable.filter(|id| !self.isolated.contains(id)).collect();
        let leads = |id: &u64| self.machine(*id).replica().is_leader();
        let leader = reachable.iter().copied().find(leads)?;
        let term = self.machine(leader).replica().term();
        let follows = |id: &u64| {
            let machine = self.machine(*id);
            let replica = machine.replica();
            let is_caught_up = replica.commit_index() >= replica.log().last_index();
            replica.leader() == Some(leader)
                && replica.term() == term
                && machine.in_quorum()
                && is_caught_up
        };
        reachable.iter().all(follows).then_some(leader)
    }

    /// Advances the time, delivers packets and ticks the running machines.
    pub fn run(&mut self, milliseconds: u64) {
        let end = self.now + milliseconds;
        while self.now < end {
            self.now = (self.now + STEP_MS).min(end);
            self.deliver();
            for id in self.running() {
                let now = self.clock(id);
                self.host(id).machine.tick(now);
            }
            self.carry_out_all();
        }
    }

    /// Runs until all running machines have identical states.
    pub fn await_convergence(&mut self) {
        let end = self.now + CONVERGENCE_MS;
        while self.now < end {
            self.run(STEP_MS);
            let running = self.running();
            let states = running.iter().map(|id| self.machine(*id).state().encode());
            let states: Vec<Vec<u8>> = states.collect();
            if states.windows(2).all(|pair| pair[0] == pair[1]) {
                return;
            }
        }
        panic!("the states differ after {CONVERGENCE_MS} ms");
    }

    /// Runs until a response has arrived, but no longer than `milliseconds`. Removes and returns
    /// the response.
    pub fn await_response(&mut self, token: u64, milliseconds: u64) -> Option<Response> {
        let end = self.now + milliseconds;
        while self.now < end && !self.responses.contains_key(&token) {
            self.run(STEP_MS);
        }
        self.responses.remove(&token)
    }

    pub fn response(&mut self, token: u64) -> Option<Response> {
        self.responses.remove(&token)
    }

    /// Submits a call to a machine. Returns the token of the call.
    pub fn submit(&mut self, id: u64, call: Call) -> u64 {
        self.last_token += 1;
        let (now, token) = (self.clock(id), self.last_token);
        self.host(id).machine.submit(now, token, call);
        self.carry_out(id);
        token
    }

    pub fn submit_command(&mut self, id: u64, command: Command) -> u64 {
        self.submit(id, Call::Command(command))
    }

    /// Submits a command and waits for its outcome.
    pub fn execute(&mut self, id: u64, command: Command) -> Outcome {
        let token = self.submit_command(id, command);
        match self.await_response(token, 1_000) {
            Some(Response::Executed(outcome)) => outcome,
            other => panic!("the call was not executed: {other:?}"),
        }
    }

    pub fn watch(&mut self, id: u64, group: &str, after: u64, wait_ms: u64) -> u64 {
        self.last_token += 1;
        let (now, token) = (self.clock(id), self.last_token);
        let group = group.to_owned();
        let request = WatchRequest {
            group,
            after,
            wait_ms,
        };
        self.host(id).machine.watch(now, token, request);
        self.carry_out(id);
        token
    }

    pub fn begin_shutdown(&mut self, id: u64) {
        let now = self.clock(id);
        self.host(id).machine.begin_shutdown(now);
        self.carry_out(id);
    }

    /// Disconnects a machine from all others. Packets in transit to or from it are lost.
    pub fn isolate(&mut self, id: u64) {
        self.isolated.insert(id);
        self.in_flight.retain(|one| one.from != id && one.to != id);
    }

    pub fn heal(&mut self, id: u64) {
        self.isolated.remove(&id);
        for other in self.running() {
            if other != id {
                self.reset_connection(id, other);
            }
        }
    }

    /// Resets the connection between two machines. Packets in transit between them are lost.
    pub fn reset_connection(&mut self, first: u64, second: u64) {
        self.in_flight.retain(|packet| {
            ![(first, second), (second, first)].contains(&(packet.from, packet.to))
        });
        for (id, peer) in [(first, second), (second, first)] {
            let now = self.clock(id);
            self.host(id)
                .machine
                .connection_established(now, &address(peer));
            self.carry_out(id);
        }
    }

    /// Suspends a machine. Packets for the machine are delivered after it is resumed.
    pub fn freeze(&mut self, id: u64) {
        self.host(id).is_frozen = true;
    }

    pub fn resume(&mut self, id: u64) {
        self.host(id).is_frozen = false;
    }

    /// Stops a machine as a power failure would. Its disk is preserved.
    pub fn stop(&mut self, id: u64) {
        self.host(id).is_down = true;
        self.in_flight.retain(|one| one.from != id && one.to != id);
    }

    /// Restarts a stopped machine from its disk.
    pub fn restart(&mut self, id: u64) {
        let host = &self.hosts[&id];
        let (durable, incarnation) = (host.durable.clone(), host.incarnation + 1_000);
        let count = self.count();
        self.start(id, count, durable, incarnation, 7);
        self.carry_out(id);
        self.heal(id);
    }

    /// Drops the packets that match a filter from now on.
    pub fn drop_packets(&mut self, filter: impl Fn(u64, u64, &Packet) -> bool + 'static) {
        self.filter = Some(Box::new(filter));
    }

    pub fn clear_packet_filter(&mut self) {
        self.filter = None;
    }

    /// Delivers a packet to a machine immediately.
    pub fn deliver_packet(&mut self, from: u64, to: u64, packet: Packet) {
        let now = self.clock(to);
        let host = self.host(to);
        host.machine.receive_packet(now, &address(from), packet);
        self.carry_out(to);
    }

    /// All sent packets that carry forwarded calls.
    pub fn forwarded_calls(&self) -> Vec<Packet> {
        let packets = self.sent.iter().map(|(_, _, packet)| packet);
        let calls = packets.filter(|packet| matches!(packet, Packet::Calls(_)));
        calls.cloned().collect()
    }

    /// The clock of a machine, in milliseconds.
    pub fn clock(&self, id: u64) -> u64 {
        self.now + self.hosts[&id].clock_offset_ms
    }

    fn host(&mut self, id: u64) -> &mut Host {
        self.hosts.get_mut(&id).unwrap()
    }

    fn deliver(&mut self) {
        let arriving = std::mem::take(&mut self.in_flight);
        for packet in arriving {
            let host = &self.hosts[&packet.to];
            if host.is_down {
                continue;
            }
            if host.is_frozen {
                self.in_flight.push_back(packet);
                continue;
            }
            self.deliver_packet(packet.from, packet.to, packet.packet);
        }
    }

    fn carry_out_all(&mut self) {
        for id in self.running() {
            self.carry_out(id);
        }
    }

    /// Carries out the actions of a machine. Disk writes take effect immediately.
    fn carry_out(&mut self, id: u64) {
        loop {
            let actions = self.host(id).machine.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.carry_out_action(id, action);
            }
        }
    }

    fn carry_out_action(&mut self, id: u64, action: Action) {
        let now = self.clock(id);
        match action {
            Action::Connect { address } => {
                self.host(id).machine.connection_established(now, &address)
            }
            Action::Disconnect { .. } => {}
            Action::Send { address, packet } => {
                let to = id_of(&address, self.count());
                if let Some(to) = to {
                    self.send(id, to, packet);
                }
            }
            Action::Persist { sequence, record } => {
                let host = self.host(id);
                host.durable.apply_record(&record);
                host.machine.persisted(now, sequence);
            }
            Action::Respond { token, response } => {
                let former = self.responses.insert(token, response);
                assert_eq!(former, None, "two responses to call {token}");
            }
            Action::Log(event) => self.log.push(event),
        }
    }

    fn send(&mut self, from: u64, to: u64, packet: Packet) {
        let is_dropped = |filter: &Filter| filter(from, to, &packet);
        let is_isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        self.sent.push((from, to, packet.clone()));
        if is_isolated || self.filter.as_ref().is_some_and(is_dropped) {
            return;
        }
        self.in_flight.push_back(InFlight { from, to, packet });
    }
}
