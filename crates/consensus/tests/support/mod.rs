//! A simulated group of replicas in virtual time, with a network, disks, crashes and disk losses.
//! The simulation checks the guarantees of Raft.

use nanoserde::SerBin;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use woadstall_consensus::{
    DurableReport, DurableState, Entry, EntryPayload, LogPosition, Member, Membership, Message,
    Output, Record, Replica, ReplicaId, Settings, Snapshot, Timing,
};

/// The settings of the control plane.
const SETTINGS: Settings = Settings {
    timing: Timing {
        heartbeat_interval: 150,
        election_timeout_min: 900,
        election_timeout_max: 1_500,
    },
    min_voters: 3,
};
const TICK_MS: u64 = 50;

/// The faults and delays of the network and the disks.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    pub loss_percent: u8,
    pub duplication_percent: u8,
    pub max_delay_ms: u64,
    pub max_sync_ms: u64,
}

pub const HEALTHY: Conditions = Conditions {
    loss_percent: 0,
    duplication_percent: 0,
    max_delay_ms: 5,
    max_sync_ms: 2,
};
pub const ADVERSE: Conditions = Conditions {
    loss_percent: 10,
    duplication_percent: 5,
    max_delay_ms: 150,
    max_sync_ms: 40,
};

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A message arrives at a machine. It is ignored if the machine has restarted since the message
    /// was sent.
    Deliver {
        host: usize,
        incarnation: u64,
        message: usize,
    },
    /// A durable report arrives at a machine. It is ignored if the machine has restarted since the
    /// report was sent.
    DeliverReport {
        host: usize,
        incarnation: u64,
        report: usize,
    },
    /// A machine has synced its records up to a sequence number. The event is ignored if the
    /// machine has restarted since the records were written.
    Synced {
        host: usize,
        incarnation: u64,
        sequence: u64,
    },
}

struct Machine {
    replica: Option<Replica>,
    /// The synced state, which survives a power loss.
    disk: DurableState,
    /// The records that are written but not synced, with their sequence numbers.
    pending: Vec<(u64, Record)>,
    incarnation: u64,
    applied: Vec<Entry>,
    /// The state of the state machine, which is the concatenation of all applied commands.
    state: Vec<u8>,
    /// The index of the last entry that is applied to `state`.
    state_index: u64,
    disk_stalled_until: u64,
}

/// A simulated group of replicas, one on each machine.
pub struct Group {
    pub now: u64,
    pub random: fastrand::Rng,
    pub conditions: Conditions,
    machines: Vec<Machine>,
    messages: Vec<Message>,
    /// Whether leaders send durable reports.
    pub sends_reports: bool,
    /// The durable reports that were sent, with their senders.
    reports: Vec<(ReplicaId, DurableReport)>,
    /// The number of entries that a follower has committed before its leader.
    pub early_commits: usize,
    /// The scheduled events with their due times and sequence numbers, the earliest first.
    events: BinaryHeap<std::cmp::Reverse<(u64, u64, Event)>>,
    /// The number of events scheduled so far.
    sequence: u64,
    /// The pairs of a sending and a receiving machine between which all messages are lost.
    pub partitions: BTreeSet<(usize, usize)>,
    /// The leader of each term.
    leaders: BTreeMap<u64, ReplicaId>,
    /// The committed entry at each index, as the first replica has applied it.
    committed: BTreeMap<u64, Entry>,
    next_id: ReplicaId,
    /// The checksum over all outputs of all replicas, in order.
    trace: crc32fast::Hasher,
}

impl Group {
    /// Creates a group whose first three machines are the founding members. The other machines join
    /// later.
    pub fn new(seed: u64, machines: usize, conditions: Conditions) -> Self {
        let founders: Vec<Member> = (0..3.min(machines))
            .map(|host| member(host as u64 + 1, host))
            .collect();
        let founding = Snapshot {
            index: 1,
            term: 1,
            membership: Membership::new(founders),
            state: Vec::new(),
        };
        let machine = |host: usize| {
            let snapshot = if host < 3 {
                founding.clone()
            } else {
                Snapshot::default()
            };
            Machine {
                replica: None,
                disk: DurableState::new(host as u64 + 1, snapshot),
                pending: Vec::new(),
                incarnation: 0,
                applied: Vec::new(),
                state: Vec::new(),
                state_index: 0,
                disk_stalled_until: 0,
            }
        };
        let mut group = Self {
            now: 0,
            random: fastrand::Rng::with_seed(seed),
            conditions,
            machines: (0..machines).map(machine).collect(),
            messages: Vec::new(),
            sends_reports: false,
            reports: Vec::new(),
            early_commits: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            partitions: BTreeSet::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            next_id: 1_000,
            trace: crc32fast::Hasher::new(),
        };
        (0..machines).for_each(|host| group.start(host));
        group
    }

    pub fn start(&mut self, host: usize) {
        let seed = self.random.u64(..);
        let machine = &mut self.machines[host];
        if machine.replica.is_some() {
            return;
        }
        machine.incarnation += 1;
        (machine.state, machine.state_index, machine.applied) = Default::default();
        machine.replica = Some(Replica::new(machine.disk.clone(), SETTINGS, self.now, seed));
        self.process_outputs(host);
    }

    /// Stops the process on a machine. As after a power loss, a random prefix of the records that
    /// were written but not synced is on disk.
    pub fn stop(&mut self, host: usize) {
        let surviving_records = self.random.usize(..=self.machines[host].pending.len());
        let machine = &mut self.machines[host];
        machine.replica = None;
        // Only a prefix survives, because reading stops at the first missing or torn record.
        for (_, record) in machine.pending.drain(..).take(surviving_records) {
            machine.disk.apply_record(&record);
        }
    }

    /// Stops the process on a machine and erases the disk. The next start has a new identity.
    pub fn lose_disk(&mut self, host: usize) {
        self.stop(host);
        self.next_id += 1;
        self.machines[host].disk = DurableState::new(self.next_id, Snapshot::default());
    }

    pub fn stall_disk(&mut self, host: usize, duration_ms: u64) {
        self.machines[host].disk_stalled_until = self.now + duration_ms;
    }

    pub fn len(&self) -> usize {
        self.machines.len()
    }

    pub fn replica(&self, host: usize) -> Option<&Replica> {
        self.machines[host].replica.as_ref()
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |host: &usize| self.replica(*host).is_some_and(Replica::is_leader);
        let leaders = (0..self.len()).filter(leads);
        leaders.max_by_key(|host| self.replica(*host).map(Replica::term))
    }

    /// Proposes a command on a machine. Returns the position of the command if the machine is a
    /// leader that accepts it.
    pub fn propose(&mut self, host: usize, command: &[u8]) -> Option<LogPosition> {
        let position = self.machines[host]
            .replica
            .as_mut()?
            .propose(command.to_vec())
            .ok();
        self.process_outputs(host);
        position
    }

    pub fn transfer(&mut self, host: usize) {
        self.machines[host]
            .replica
            .as_mut()
            .into_iter()
            .for_each(Replica::transfer_leadership);
        self.process_outputs(host);
    }

    pub fn read(&mut self, host: usize, read_id: u64) {
        self.machines[host]
            .replica
            .as_mut()
            .into_iter()
            .for_each(|replica| replica.request_read(read_id));
        self.process_outputs(host);
    }

    /// Returns whether the entry at this position is committed.
    pub fn is_committed(&self, position: LogPosition) -> bool {
        self.committed
            .get(&position.index)
            .is_some_and(|entry| entry.term == position.term)
    }

    /// Returns the state of a machine's state machine: the concatenation of all applied commands.
    pub fn state(&self, host: usize) -> &[u8] {
        &self.machines[host].state
    }

    /// Runs the simulation for a duration, and handles all events that are due by then.
    pub fn run(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while self.now < end {
            let next_tick = self.now + TICK_MS - self.now % TICK_MS;
            while self
                .events
                .peek()
                .is_some_and(|std::cmp::Reverse((due, _, _))| *due <= next_tick)
            {
                let Some(std::cmp::Reverse((due, _, event))) = self.events.pop() else {
                    break;
                };
                self.now = self.now.max(due);
                self.handle_event(event);
            }
            self.now = next_tick;
            for host in 0..self.len() {
                self.tick(host);
            }
        }
    }

    fn tick(&mut self, host: usize) {
        let now = self.now;
        let Some(replica) = self.machines[host].replica.as_mut() else {
            return;
        };
        replica.tick(now);
        let join_request = replica.should_join().then(|| member(replica.id(), host));
        self.process_outputs(host);
        if let Some(join_request) = join_request.filter(|_| now.is_multiple_of(500)) {
            for other in 0..self.len() {
                if let Some(replica) = self.machines[other].replica.as_mut() {
                    replica.add_learner(join_request.clone());
                    self.process_outputs(other);
                }
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver {
                host,
                incarnation,
                message,
            } => {
                let now = self.now;
                let machine = &mut self.machines[host];
                if machine.incarnation == incarnation
                    && let Some(replica) = machine.replica.as_mut()
                {
                    replica.handle_message(now, self.messages[message].clone());
                    self.process_outputs(host);
                }
            }
            Event::DeliverReport {
                host,
                incarnation,
                report,
            } => {
                if self.machines[host].incarnation == incarnation {
                    self.deliver_report(host, report);
                }
            }
            Event::Synced {
                host,
                incarnation,
                sequence,
            } => {
                let machine = &mut self.machines[host];
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
                self.process_outputs(host);
            }
        }
    }

    fn deliver_report(&mut self, host: usize, report: usize) {
        let now = self.now;
        let (from, report) = self.reports[report].clone();
        if let Some(replica) = self.machines[host].replica.as_mut() {
            replica.observe_durable_report(now, from, report);
            self.process_outputs(host);
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        let due = self.now + delay_ms;
        self.events
            .push(std::cmp::Reverse((due, self.sequence, event)));
    }

    fn process_outputs(&mut self, host: usize) {
        loop {
            let Some(replica) = self.machines[host].replica.as_mut() else {
                return;
            };
            let outputs = replica.take_outputs();
            self.check_single_leader(host);
            if outputs.is_empty() {
                self.send_report(host);
                return;
            }
            outputs
                .into_iter()
                .for_each(|output| self.execute(host, output));
            self.compact(host);
        }
    }

    fn check_single_leader(&mut self, host: usize) {
        let Some(replica) = self.machines[host]
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
            "two leaders in term {}",
            replica.term()
        );
    }

    fn trace_output(&mut self, host: usize, output: &Output) {
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
        self.trace.update(&[host as u8, kind]);
        self.trace.update(&bytes);
    }

    /// Returns a checksum over all outputs of all replicas so far, including the times of the
    /// outputs.
    pub fn trace(&self) -> u32 {
        self.trace.clone().finalize()
    }

    fn execute(&mut self, host: usize, output: Output) {
        self.trace_output(host, &output);
        match output {
            Output::Persist { sequence, record } => {
                let stall = self.machines[host]
                    .disk_stalled_until
                    .saturating_sub(self.now);
                let delay_ms = stall + self.random.u64(1..=self.conditions.max_sync_ms);
                let machine = &mut self.machines[host];
                machine.pending.push((sequence, record));
                let incarnation = machine.incarnation;
                self.schedule(
                    delay_ms,
                    Event::Synced {
                        host,
                        incarnation,
                        sequence,
                    },
                );
            }
            Output::Send(message) => self.send(host, message),
            Output::Apply(entry) => self.apply(host, entry),
            Output::Restore(snapshot) => {
                let machine = &mut self.machines[host];
                assert!(
                    snapshot.index >= machine.state_index,
                    "a snapshot is older than the state of the state machine"
                );
                (machine.state, machine.state_index) = (snapshot.state, snapshot.index);
                machine.applied.clear();
            }
            Output::ReadReady { .. } | Output::ReadFailed { .. } => {}
        }
    }

    fn send(&mut self, from: usize, message: Message) {
        let is_receiver =
            |machine: &Machine| machine.replica.as_ref().map(Replica::id) == Some(message.to);
        let Some(to) = self.machines.iter().position(is_receiver) else {
            return;
        };
        let percent = self.random.u8(..100);
        if self.partitions.contains(&(from, to)) || percent < self.conditions.loss_percent {
            return;
        }
        let deliveries = 1 + usize::from(
            percent < self.conditions.loss_percent + self.conditions.duplication_percent,
        );
        self.messages.push(message);
        let number = self.messages.len() - 1;
        for _ in 0..deliveries {
            let delay_ms = self.random.u64(1..=self.conditions.max_delay_ms);
            let incarnation = self.machines[to].incarnation;
            self.schedule(
                delay_ms,
                Event::Deliver {
                    host: to,
                    incarnation,
                    message: number,
                },
            );
        }
    }

    /// Sends the durable report that is due on a leader to all other machines. Reports are subject
    /// to the same faults and delays as messages.
    fn send_report(&mut self, host: usize) {
        let replica = self.machines[host].replica.as_mut();
        let sender = replica.filter(|_| self.sends_reports);
        let Some((from, report)) =
            sender.and_then(|replica| Some((replica.id(), replica.take_durable_report()?)))
        else {
            return;
        };
        self.reports.push((from, report));
        let report = self.reports.len() - 1;
        for to in (0..self.len()).filter(|to| *to != host) {
            let percent = self.random.u8(..100);
            let Conditions {
                loss_percent,
                duplication_percent,
                max_delay_ms,
                ..
            } = self.conditions;
            if self.partitions.contains(&(host, to)) || percent < loss_percent {
                continue;
            }
            let is_duplicated = percent < loss_percent + duplication_percent;
            for _ in 0..1 + usize::from(is_duplicated) {
                let delay_ms = self.random.u64(1..=max_delay_ms);
                let incarnation = self.machines[to].incarnation;
                self.schedule(
                    delay_ms,
                    Event::DeliverReport {
                        host: to,
                        incarnation,
                        report,
                    },
                );
            }
        }
    }

    /// Counts an applied entry if the machine follows the current leader and that leader has not
    /// committed the entry.
    fn count_early_commit(&mut self, host: usize, index: u64) {
        let leader = self.leader().and_then(|leader| self.replica(leader));
        let is_early = leader.is_some_and(|leader| leader.commit_index() < index);
        let follows = self
            .replica(host)
            .is_some_and(|replica| replica.leader() == leader.map(Replica::id));
        self.early_commits += usize::from(is_early && follows);
    }

    fn apply(&mut self, host: usize, entry: Entry) {
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        assert_eq!(
            first, &entry,
            "two replicas applied different entries at index {}",
            entry.index
        );
        self.count_early_commit(host, entry.index);
        let machine = &mut self.machines[host];
        assert_eq!(
            entry.index,
            machine.state_index + 1,
            "an entry was skipped or applied twice"
        );
        machine.state_index = entry.index;
        if let EntryPayload::Command(command) = &entry.payload {
            machine.state.extend_from_slice(command);
        }
        machine.applied.push(entry);
    }

    fn compact(&mut self, host: usize) {
        const ENTRIES: usize = 40;
        let machine = &mut self.machines[host];
        let Some(replica) = machine.replica.as_mut() else {
            return;
        };
        if replica.log().entries().len() > ENTRIES {
            replica.compact(machine.state_index, machine.state.clone());
        }
    }
}

pub fn member(id: ReplicaId, host: usize) -> Member {
    Member {
        id,
        address: format!("machine-{host}"),
    }
}
