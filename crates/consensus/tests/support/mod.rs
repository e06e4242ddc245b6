//! A group of replicas in virtual time: network, disks, kills and lost disks, with the oracles of the log.

use nanoserde::SerBin;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use woadstall_consensus::{
    DurableState, Entry, EntryPayload, LogPosition, Member, Membership, Message, Output, Record,
    Replica, ReplicaId, Settings, Snapshot, Timing,
};

/// As in the shipped control plane.
const SETTINGS: Settings = Settings {
    timing: Timing {
        heartbeat_interval: 150,
        election_timeout_min: 900,
        election_timeout_max: 1_500,
    },
    min_voters: 3,
};
const TICK: u64 = 50;

/// What the network and the disks do, in parts of 100 and in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    pub lost: u8,
    pub doubled: u8,
    pub delay: u64,
    pub sync: u64,
}

pub const CALM: Weather = Weather {
    lost: 0,
    doubled: 0,
    delay: 5,
    sync: 2,
};
pub const ROUGH: Weather = Weather {
    lost: 10,
    doubled: 5,
    delay: 150,
    sync: 40,
};

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Deliver(usize, u64, usize),
    Synced(usize, u64, u64),
}

struct Machine {
    replica: Option<Replica>,
    /// What a loss of power leaves.
    disk: DurableState,
    /// Written and not synced.
    pending: Vec<(u64, Record)>,
    incarnation: u64,
    applied: Vec<Entry>,
    /// The state machine: the commands applied so far, as its snapshot holds them.
    state: Vec<u8>,
    state_index: u64,
    disk_stalls_until: u64,
}

/// The group.
pub struct Group {
    pub now: u64,
    pub random: fastrand::Rng,
    pub weather: Weather,
    machines: Vec<Machine>,
    messages: Vec<Message>,
    due: BinaryHeap<std::cmp::Reverse<(u64, u64, Due)>>,
    sequence: u64,
    /// Pairs between which nothing passes, in this direction.
    pub cuts: BTreeSet<(usize, usize)>,
    leaders: BTreeMap<u64, ReplicaId>,
    /// The committed entry of each position, as the first replica applied it.
    committed: BTreeMap<u64, Entry>,
    next_id: ReplicaId,
    /// Over all outputs of all replicas, in their order.
    trace: crc32fast::Hasher,
}

impl Group {
    /// A group that is founded by its first three machines; the others join.
    pub fn new(seed: u64, machines: usize, weather: Weather) -> Self {
        let founders: Vec<Member> = (0..3.min(machines))
            .map(|place| member(place as u64 + 1, place))
            .collect();
        let founding = Snapshot {
            index: 1,
            term: 1,
            membership: Membership::new(founders),
            state: Vec::new(),
        };
        let machine = |place: usize| {
            let snapshot = if place < 3 {
                founding.clone()
            } else {
                Snapshot::default()
            };
            Machine {
                replica: None,
                disk: DurableState::new(place as u64 + 1, snapshot),
                pending: Vec::new(),
                incarnation: 0,
                applied: Vec::new(),
                state: Vec::new(),
                state_index: 0,
                disk_stalls_until: 0,
            }
        };
        let mut group = Self {
            now: 0,
            random: fastrand::Rng::with_seed(seed),
            weather,
            machines: (0..machines).map(machine).collect(),
            messages: Vec::new(),
            due: BinaryHeap::new(),
            sequence: 0,
            cuts: BTreeSet::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            next_id: 1_000,
            trace: crc32fast::Hasher::new(),
        };
        (0..machines).for_each(|place| group.start(place));
        group
    }

    pub fn start(&mut self, place: usize) {
        let seed = self.random.u64(..);
        let machine = &mut self.machines[place];
        if machine.replica.is_some() {
            return;
        }
        machine.incarnation += 1;
        (machine.state, machine.state_index, machine.applied) = Default::default();
        machine.replica = Some(Replica::new(machine.disk.clone(), SETTINGS, self.now, seed));
        self.settle(place);
    }

    /// The process ends. What it wrote and did not sync is there, or partly, as after a loss of power.
    pub fn stop(&mut self, place: usize) {
        let kept = self.random.usize(..=self.machines[place].pending.len());
        let machine = &mut self.machines[place];
        machine.replica = None;
        // Reading stops at the first record that is missing or torn.
        for (_, record) in machine.pending.drain(..).take(kept) {
            machine.disk.apply_record(&record);
        }
    }

    /// The process ends and its disk is lost: it comes back under a new identity.
    pub fn wipe(&mut self, place: usize) {
        self.stop(place);
        self.next_id += 1;
        self.machines[place].disk = DurableState::new(self.next_id, Snapshot::default());
    }

    pub fn stall_disk(&mut self, place: usize, time: u64) {
        self.machines[place].disk_stalls_until = self.now + time;
    }

    pub fn len(&self) -> usize {
        self.machines.len()
    }

    pub fn replica(&self, place: usize) -> Option<&Replica> {
        self.machines[place].replica.as_ref()
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |place: &usize| self.replica(*place).is_some_and(Replica::is_leader);
        let leaders = (0..self.len()).filter(leads);
        leaders.max_by_key(|place| self.replica(*place).map(Replica::term))
    }

    /// Proposes a command at a machine; whether it took it.
    pub fn propose(&mut self, place: usize, command: &[u8]) -> Option<LogPosition> {
        let position = self.machines[place]
            .replica
            .as_mut()?
            .propose(command.to_vec())
            .ok();
        self.settle(place);
        position
    }

    pub fn transfer(&mut self, place: usize) {
        self.machines[place]
            .replica
            .as_mut()
            .into_iter()
            .for_each(Replica::transfer_leadership);
        self.settle(place);
    }

    pub fn read(&mut self, place: usize, number: u64) {
        self.machines[place]
            .replica
            .as_mut()
            .into_iter()
            .for_each(|replica| replica.request_read(number));
        self.settle(place);
    }

    /// Whether the entry at a position was committed in this term.
    pub fn is_committed(&self, index: u64, term: u64) -> bool {
        self.committed
            .get(&index)
            .is_some_and(|entry| entry.term == term)
    }

    /// The commands that a machine has applied, in order, as its state machine holds them.
    pub fn state(&self, place: usize) -> &[u8] {
        &self.machines[place].state
    }

    /// Lets time pass.
    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            let next_tick = self.now + TICK - self.now % TICK;
            while self
                .due
                .peek()
                .is_some_and(|std::cmp::Reverse((at, _, _))| *at <= next_tick)
            {
                let Some(std::cmp::Reverse((at, _, due))) = self.due.pop() else {
                    break;
                };
                self.now = self.now.max(at);
                self.happen(due);
            }
            self.now = next_tick;
            for place in 0..self.len() {
                self.tick(place);
            }
        }
    }

    fn tick(&mut self, place: usize) {
        let now = self.now;
        let Some(replica) = self.machines[place].replica.as_mut() else {
            return;
        };
        replica.tick(now);
        let joining = replica.should_join().then(|| member(replica.id(), place));
        self.settle(place);
        if let Some(joining) = joining.filter(|_| now.is_multiple_of(500)) {
            for other in 0..self.len() {
                if let Some(replica) = self.machines[other].replica.as_mut() {
                    replica.add_learner(joining.clone());
                    self.settle(other);
                }
            }
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Deliver(place, incarnation, message) => {
                let now = self.now;
                let machine = &mut self.machines[place];
                if machine.incarnation == incarnation
                    && let Some(replica) = machine.replica.as_mut()
                {
                    replica.handle_message(now, self.messages[message].clone());
                    self.settle(place);
                }
            }
            Due::Synced(place, incarnation, sequence) => {
                let machine = &mut self.machines[place];
                if machine.incarnation != incarnation || machine.replica.is_none() {
                    return;
                }
                let synced = machine
                    .pending
                    .iter()
                    .take_while(|(number, _)| *number <= sequence)
                    .count();
                for (_, record) in machine.pending.drain(..synced) {
                    machine.disk.apply_record(&record);
                }
                if let Some(replica) = machine.replica.as_mut() {
                    replica.handle_persisted(sequence);
                }
                self.settle(place);
            }
        }
    }

    fn schedule(&mut self, after: u64, due: Due) {
        self.sequence += 1;
        self.due
            .push(std::cmp::Reverse((self.now + after, self.sequence, due)));
    }

    fn settle(&mut self, place: usize) {
        loop {
            let Some(replica) = self.machines[place].replica.as_mut() else {
                return;
            };
            let outputs = replica.take_outputs();
            self.note_leader(place);
            if outputs.is_empty() {
                return;
            }
            outputs
                .into_iter()
                .for_each(|output| self.carry_out(place, output));
            self.compact(place);
        }
    }

    fn note_leader(&mut self, place: usize) {
        let Some(replica) = self.machines[place]
            .replica
            .as_ref()
            .filter(|replica| replica.is_leader())
        else {
            return;
        };
        let first = *self.leaders.entry(replica.term()).or_insert(replica.id());
        assert_eq!(
            first,
            replica.id(),
            "two leaders of term {}",
            replica.term()
        );
    }

    fn record(&mut self, place: usize, output: &Output) {
        let (kind, bytes) = match output {
            Output::Persist { sequence, record } => {
                (0, (*sequence, record.clone()).serialize_bin())
            }
            Output::Send(message) => (1, message.serialize_bin()),
            Output::Apply(entry) => (2, entry.serialize_bin()),
            Output::Restore(snapshot) => (3, snapshot.serialize_bin()),
            Output::ReadReady { read_id } => (4, read_id.serialize_bin()),
            Output::ReadFailed { read_id } => (5, read_id.serialize_bin()),
        };
        self.trace.update(&self.now.to_le_bytes());
        self.trace.update(&[place as u8, kind]);
        self.trace.update(&bytes);
    }

    /// A checksum over all outputs of all replicas so far, with their times.
    pub fn trace(&self) -> u32 {
        self.trace.clone().finalize()
    }

    fn carry_out(&mut self, place: usize, output: Output) {
        self.record(place, &output);
        match output {
            Output::Persist { sequence, record } => {
                let stall = self.machines[place]
                    .disk_stalls_until
                    .saturating_sub(self.now);
                let after = stall + self.random.u64(1..=self.weather.sync);
                let machine = &mut self.machines[place];
                machine.pending.push((sequence, record));
                let incarnation = machine.incarnation;
                self.schedule(after, Due::Synced(place, incarnation, sequence));
            }
            Output::Send(message) => self.send(place, message),
            Output::Apply(entry) => self.apply(place, entry),
            Output::Restore(snapshot) => {
                let machine = &mut self.machines[place];
                assert!(
                    snapshot.index >= machine.state_index,
                    "a state machine went back"
                );
                (machine.state, machine.state_index) = (snapshot.state, snapshot.index);
                machine.applied.clear();
            }
            Output::ReadReady { .. } | Output::ReadFailed { .. } => {}
        }
    }

    fn send(&mut self, from: usize, message: Message) {
        let of = |machine: &Machine| machine.replica.as_ref().map(Replica::id) == Some(message.to);
        let Some(to) = self.machines.iter().position(of) else {
            return;
        };
        let percent = self.random.u8(..100);
        if self.cuts.contains(&(from, to)) || percent < self.weather.lost {
            return;
        }
        let copies = 1 + usize::from(percent < self.weather.lost + self.weather.doubled);
        self.messages.push(message);
        let number = self.messages.len() - 1;
        for _ in 0..copies {
            let after = self.random.u64(1..=self.weather.delay);
            let incarnation = self.machines[to].incarnation;
            self.schedule(after, Due::Deliver(to, incarnation, number));
        }
    }

    fn apply(&mut self, place: usize, entry: Entry) {
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        assert_eq!(
            first, &entry,
            "two replicas applied different entries at {}",
            entry.index
        );
        let machine = &mut self.machines[place];
        assert_eq!(
            entry.index,
            machine.state_index + 1,
            "an entry was passed over or applied twice"
        );
        machine.state_index = entry.index;
        if let EntryPayload::Command(command) = &entry.payload {
            machine.state.extend_from_slice(command);
        }
        machine.applied.push(entry);
    }

    fn compact(&mut self, place: usize) {
        const ENTRIES: usize = 40;
        let machine = &mut self.machines[place];
        let Some(replica) = machine.replica.as_mut() else {
            return;
        };
        if replica.log().entries().len() > ENTRIES {
            replica.compact(machine.state_index, machine.state.clone());
        }
    }
}

pub fn member(id: ReplicaId, place: usize) -> Member {
    Member {
        id,
        address: format!("machine-{place}"),
    }
}
