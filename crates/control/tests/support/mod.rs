//! Control machines in virtual time: links, disks, kills, calls, and balancers that read the feed.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use woadstall_consensus::{DurableState, Member, Record, Snapshot};
use woadstall_control::command::Command;
use woadstall_control::feed::Event;
use woadstall_control::machine::{Action, Answer, Machine, MachineSettings, founding_snapshot};
use woadstall_control::registry::{Registration, Status};
use woadstall_control::state::ControlState;
use woadstall_control::wire::{ControlMachine, Packet};

const TICK: u64 = 50;
const DELAY: u64 = 60;
const SYNC: u64 = 5;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Packet { to: usize, incarnation: u64, from: usize, number: usize },
    Synced { place: usize, incarnation: u64, sequence: u64 },
}

struct Host {
    machine: Option<Machine>,
    disk: DurableState,
    pending: Vec<(u64, Record)>,
    incarnation: u64,
    linked: BTreeSet<usize>,
    readers: BTreeMap<u64, Reader>,
}

/// A balancer that folds the feed.
#[derive(Default)]
pub struct Reader {
    pub state: ControlState,
    pub statuses: BTreeMap<String, Status>,
    /// Versions in the order in which they came into force.
    pub generations: Vec<u64>,
}

impl Reader {
    fn take(&mut self, packet: Packet) {
        match packet {
            Packet::Snapshot { state, registrations, .. } => {
                if !state.is_empty() {
                    let state = ControlState::decode(&state).unwrap();
                    if state.index > self.state.index {
                        self.state = state;
                    }
                }
                registrations.into_iter().for_each(|registration| self.register(registration));
            }
            Packet::Events { events, .. } => {
                for event in events {
                    match event {
                        Event::Committed { index, command } if index > self.state.index => {
                            self.state.apply(index, &command);
                        }
                        Event::Committed { .. } => {}
                        Event::Registered(registration) => self.register(registration),
                    }
                }
            }
            _ => {}
        }
        self.generations.push(self.state.generation());
    }

    fn register(&mut self, registration: Registration) {
        self.statuses.insert(registration.id, registration.status);
    }
}

/// The machines.
pub struct Cluster {
    pub now: u64,
    pub random: fastrand::Rng,
    hosts: Vec<Host>,
    packets: Vec<Packet>,
    due: BinaryHeap<std::cmp::Reverse<(u64, u64, Due)>>,
    sequence: u64,
    pub cut_off: BTreeSet<usize>,
    pub answers: BTreeMap<u64, Answer>,
    next_token: u64,
    next_id: u64,
}

pub fn address(place: usize) -> String {
    format!("10.0.{place}.1:7720")
}

impl Cluster {
    pub fn new(seed: u64, machines: usize) -> Self {
        let founders: Vec<Member> =
            (0..machines).map(|place| Member { id: place as u64 + 1, address: address(place) }).collect();
        let host = |place: usize| Host {
            machine: None,
            disk: DurableState::new(place as u64 + 1, founding_snapshot(&founders)),
            pending: Vec::new(),
            incarnation: 0,
            linked: BTreeSet::new(),
            readers: BTreeMap::new(),
        };
        let mut cluster = Self {
            now: 0,
            random: fastrand::Rng::with_seed(seed),
            hosts: (0..machines).map(host).collect(),
            packets: Vec::new(),
            due: BinaryHeap::new(),
            sequence: 0,
            cut_off: BTreeSet::new(),
            answers: BTreeMap::new(),
            next_token: 0,
            next_id: 1_000,
        };
        (0..machines).for_each(|place| cluster.start(place));
        cluster
    }

    pub fn start(&mut self, place: usize) {
        if self.hosts[place].machine.is_some() {
            return;
        }
        let seeds = (0..self.hosts.len()).map(address).collect();
        let (epoch, seed) = (self.random.u64(1..), self.random.u64(..));
        let host = &mut self.hosts[place];
        host.incarnation += 1;
        host.linked.clear();
        let member = Member { id: host.disk.id, address: address(place) };
        let (zone, region, control) = (format!("zone-{place}"), format!("region-{place}"), String::new());
        let settings = MachineSettings {
            machine: ControlMachine { member, zone, region, control },
            seeds,
            zones: BTreeMap::new(),
            heartbeat_ms: 1_200,
            tolerated: 1,
            epoch,
        };
        host.machine = Some(Machine::new(settings, host.disk.clone(), self.now, seed));
        self.settle(place);
    }

    /// Ends a process; what was not synced is lost.
    pub fn stop(&mut self, place: usize) {
        let host = &mut self.hosts[place];
        (host.machine, host.readers) = (None, BTreeMap::new());
        host.pending.clear();
        for other in &mut self.hosts {
            other.linked.remove(&place);
        }
    }

    pub fn wipe(&mut self, place: usize) {
        self.stop(place);
        self.next_id += 1;
        self.hosts[place].disk = DurableState::new(self.next_id, Snapshot::default());
    }

    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    pub fn machine(&self, place: usize) -> Option<&Machine> {
        self.hosts[place].machine.as_ref()
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.len())
            .find(|place| self.machine(*place).is_some_and(|machine| machine.replica().is_leader()))
    }

    pub fn call(&mut self, place: usize, call: impl FnOnce(&mut Machine, u64, u64)) -> u64 {
        self.next_token += 1;
        let (now, token) = (self.now, self.next_token);
        if let Some(machine) = self.hosts[place].machine.as_mut() {
            call(machine, now, token);
            self.settle(place);
        }
        token
    }

    pub fn order(&mut self, place: usize, command: Command) -> u64 {
        self.call(place, |machine, now, token| machine.order(now, token, command))
    }

    pub fn subscribe(&mut self, place: usize, subscriber: u64) {
        self.hosts[place].readers.insert(subscriber, Reader::default());
        let packet = Packet::Subscribe { balancer: "front".to_owned(), epoch: 0, offset: 0, index: 0 };
        self.call(place, |machine, now, _| machine.subscribe(now, subscriber, &packet));
    }

    pub fn reader(&self, place: usize, subscriber: u64) -> &Reader {
        &self.hosts[place].readers[&subscriber]
    }

    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            let next_tick = self.now + TICK - self.now % TICK;
            while self.due.peek().is_some_and(|std::cmp::Reverse((at, _, _))| *at <= next_tick) {
                let Some(std::cmp::Reverse((at, _, due))) = self.due.pop() else { break };
                self.now = self.now.max(at);
                self.happen(due);
            }
            self.now = next_tick;
            for place in 0..self.len() {
                self.link(place);
                let now = self.now;
                if let Some(machine) = self.hosts[place].machine.as_mut() {
                    machine.tick(now);
                    self.settle(place);
                }
            }
        }
    }

    /// Links come up once both ends are there and nothing cuts them.
    fn link(&mut self, place: usize) {
        for other in (0..self.len()).filter(|other| *other != place) {
            let passes = self.passes(place, other) && self.hosts[other].machine.is_some();
            if !passes {
                self.hosts[place].linked.remove(&other);
            } else if self.hosts[place].machine.is_some() && self.hosts[place].linked.insert(other) {
                self.call(place, |machine, now, _| machine.link_up(now, &address(other)));
            }
        }
    }

    fn passes(&self, one: usize, other: usize) -> bool {
        !self.cut_off.contains(&one) && !self.cut_off.contains(&other)
    }

    fn happen(&mut self, due: Due) {
        let now = self.now;
        match due {
            Due::Packet { to, incarnation, from, number } => {
                let host = &mut self.hosts[to];
                if host.incarnation == incarnation
                    && let Some(machine) = host.machine.as_mut()
                {
                    machine.packet(now, &address(from), self.packets[number].clone());
                    self.settle(to);
                }
            }
            Due::Synced { place, incarnation, sequence } => {
                let host = &mut self.hosts[place];
                if host.incarnation != incarnation || host.machine.is_none() {
                    return;
                }
                let synced = host.pending.iter().take_while(|(number, _)| *number <= sequence).count();
                host.pending.drain(..synced).for_each(|(_, record)| host.disk.fold(&record));
                if let Some(machine) = host.machine.as_mut() {
                    machine.persisted(now, sequence);
                }
                self.settle(place);
            }
        }
    }

    fn schedule(&mut self, after: u64, due: Due) {
        self.sequence += 1;
        self.due.push(std::cmp::Reverse((self.now + after, self.sequence, due)));
    }

    fn settle(&mut self, place: usize) {
        loop {
            let Some(machine) = self.hosts[place].machine.as_mut() else { return };
            let actions = machine.take_actions();
            if actions.is_empty() {
                return;
            }
            actions.into_iter().for_each(|action| self.carry_out(place, action));
        }
    }

    fn carry_out(&mut self, place: usize, action: Action) {
        match action {
            Action::Connect { .. } | Action::Disconnect { .. } | Action::Log(_) => {}
            Action::Send { address: to, packet } => {
                let Some(to) = (0..self.len()).find(|other| address(*other) == to) else { return };
                if self.hosts[place].linked.contains(&to) && self.passes(place, to) {
                    self.packets.push(packet);
                    let (number, incarnation) = (self.packets.len() - 1, self.hosts[to].incarnation);
                    // A link keeps the order of its packets.
                    self.schedule(DELAY, Due::Packet { to, incarnation, from: place, number });
                }
            }
            Action::Persist { sequence, record } => {
                let host = &mut self.hosts[place];
                host.pending.push((sequence, record));
                let incarnation = host.incarnation;
                self.schedule(SYNC, Due::Synced { place, incarnation, sequence });
            }
            Action::Answer { token, answer } => {
                let former = self.answers.insert(token, answer);
                assert!(former.is_none(), "call {token} was answered twice");
            }
            Action::Deliver { subscribers, packet } => {
                for subscriber in subscribers {
                    if let Some(reader) = self.hosts[place].readers.get_mut(&subscriber) {
                        reader.take(packet.clone());
                    }
                }
            }
        }
    }
}
