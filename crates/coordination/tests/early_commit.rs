//! The latency of a call on a voter in another region than the leader, in virtual time. The voter
//! must respond after one round trip to the leader, without waiting for the leader's next commit
//! index.

use std::collections::BTreeMap;
use woadstall_consensus::{DurableState, Member};
use woadstall_coordination::command::{Call, Command};
use woadstall_coordination::machine::{
    Action, CoordinationMachine, MachineSettings, Response, initial_snapshot,
};
use woadstall_coordination::wire::{MachineInfo, Packet};

/// The number of failures that a group of five voters tolerates.
const TOLERATED_FAILURES: usize = 2;
const MACHINES: usize = 5;
/// The region of each voter, starting with the leader.
const REGIONS: [usize; MACHINES] = [0, 0, 1, 1, 2];
/// The one-way delay of packets between regions, in milliseconds.
const DELAY_BETWEEN_REGIONS_MS: u64 = 55;
/// The one-way delay of packets within a region, in milliseconds.
const DELAY_IN_REGION_MS: u64 = 1;
/// The duration of a disk sync, in milliseconds.
const SYNC_MS: u64 = 1;
/// The time for the group to elect a leader, in milliseconds. It exceeds the duration of an
/// election.
const START_MS: u64 = 5_000;
const CALLS: u64 = 20;
const CALL_INTERVAL_MS: u64 = 250;

/// A simulated event on a machine.
enum Event {
    Packet { from: usize, packet: Packet },
    Persisted(u64),
}

struct Group {
    now: u64,
    machines: Vec<CoordinationMachine>,
    regions: [usize; MACHINES],
    /// The scheduled events by due time and scheduling order, with their machines.
    events: BTreeMap<(u64, u64), (usize, Event)>,
    /// The number of events scheduled so far.
    scheduled: u64,
    /// The arrival time of the response to each token.
    responses: BTreeMap<u64, u64>,
}

fn address(machine: usize) -> String {
    format!("machine-{machine}")
}

fn member(machine: usize) -> Member {
    Member {
        id: machine as u64 + 1,
        address: address(machine),
    }
}

impl Group {
    fn new(seed: u64) -> Self {
        let members: Vec<Member> = (0..MACHINES).map(member).collect();
        let start = |machine: usize| {
            let settings = MachineSettings {
                machine: MachineInfo {
                    member: member(machine),
                    zone: address(machine),
                    region: address(machine),
                },
                seeds: (0..MACHINES).map(address).collect(),
                tolerated_failures: TOLERATED_FAILURES,
                history_ms: 20_000,
                incarnation: machine as u64 + 1,
            };
            let disk = DurableState::new(machine as u64 + 1, initial_snapshot(&members));
            CoordinationMachine::new(settings, disk, 0, seed + machine as u64)
        };
        Self {
            now: 0,
            machines: (0..MACHINES).map(start).collect(),
            regions: [0; MACHINES],
            events: BTreeMap::new(),
            scheduled: 0,
            responses: BTreeMap::new(),
        }
    }

    fn schedule(&mut self, due: u64, machine: usize, event: Event) {
        self.scheduled += 1;
        self.events.insert((due, self.scheduled), (machine, event));
    }

    fn delay(&self, from: usize, to: usize) -> u64 {
        if self.regions[from] == self.regions[to] {
            DELAY_IN_REGION_MS
        } else {
            DELAY_BETWEEN_REGIONS_MS
        }
    }

    fn carry_out_actions(&mut self, machine: usize) {
        for action in self.machines[machine].take_actions() {
            match action {
                Action::Connect { address } => {
                    self.machines[machine].connection_established(self.now, &address);
                    self.carry_out_actions(machine);
                }
                Action::Send {
                    address: to,
                    packet,
                } => {
                    let to = (0..MACHINES).find(|other| address(*other) == to);
                    let to = to.expect("a machine of the group");
                    let arrival = self.now + self.delay(machine, to);
                    let from = machine;
                    self.schedule(arrival, to, Event::Packet { from, packet });
                }
                Action::Persist { sequence, .. } => {
                    self.schedule(self.now + SYNC_MS, machine, Event::Persisted(sequence));
                }
                Action::Respond { token, response } => {
                    assert!(matches!(response, Response::Executed(_)), "{response:?}");
                    self.responses.insert(token, self.now);
                }
                Action::Disconnect { .. } | Action::Log(_) => {}
            }
        }
    }

    fn run(&mut self, time: u64) {
        for now in self.now..self.now + time {
            self.now = now;
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= now
            {
                let (machine, event) = entry.remove();
                match event {
                    Event::Packet { from, packet } => {
                        self.machines[machine].receive_packet(now, &address(from), packet);
                    }
                    Event::Persisted(sequence) => self.machines[machine].persisted(now, sequence),
                }
                self.carry_out_actions(machine);
            }
            for machine in 0..MACHINES {
                self.machines[machine].tick(now);
                self.carry_out_actions(machine);
            }
        }
    }

    fn leader(&self) -> usize {
        let leads = |machine: &usize| self.machines[*machine].replica().is_leader();
        (0..MACHINES).find(leads).expect("a leader")
    }
}

#[test]
fn a_voter_responds_to_its_call_after_one_round_trip_to_the_leader() {
    for seed in 0..10 {
        println!("seed {seed}");
        let mut group = Group::new(seed);
        group.run(START_MS);
        let leader = group.leader();
        for (offset, region) in REGIONS.into_iter().enumerate() {
            group.regions[(leader + offset) % MACHINES] = region;
        }
        group.run(START_MS);
        for number in 0..CALLS {
            let caller = (leader + 2 + number as usize % 3) % MACHINES;
            let begin = group.now;
            let call = Call::Command(Command::NextNumber {
                sequence: "n".to_owned(),
            });
            group.machines[caller].submit(begin, number, call);
            group.carry_out_actions(caller);
            group.run(CALL_INTERVAL_MS);
            let end = group.responses.get(&number).expect("a response in time");
            let elapsed = end - begin;
            assert!(
                elapsed < 3 * DELAY_BETWEEN_REGIONS_MS,
                "{elapsed} ms at a voter in another region"
            );
        }
        assert_eq!(group.leader(), leader);
    }
}
