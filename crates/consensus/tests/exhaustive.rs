//! A model checker explores the reachable states of a small group of replicas, up to a limit.
//! Messages are delivered in any order and at any later time, or are lost. Elections, commands,
//! membership changes, reads and restarts happen at any time. Durable reports are delivered in any
//! order and at any later time, once, several times or never. The time is constant, so that no
//! timer changes a replica.

use nanoserde::{DeBin, SerBin};
use rstest::rstest;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use woadstall_consensus::{
    DurableReport, DurableState, Entry, Member, Membership, Message, MessageBody, Output, Replica,
    ReplicaId, Settings, Snapshot, Timing,
};

const SETTINGS: Settings = Settings {
    timing: Timing {
        heartbeat_interval: 150,
        election_timeout_min: 900,
        election_timeout_max: 1_500,
    },
    min_voters: 1,
};
/// The seed of all replicas. It has no effect, because the constant time reaches no election
/// time-out.
const SEED: u64 = 1;
const NOW: u64 = 0;

/// The number of events of each kind that may happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Events {
    elections: u8,
    commands: u8,
    changes: u8,
    reads: u8,
    restarts: u8,
    reports: u8,
}

/// A small group: its voters, the voters after the change, and the limits on events.
#[derive(Clone, Debug)]
struct Group {
    voters: Vec<ReplicaId>,
    next_voters: Vec<ReplicaId>,
    limits: Events,
    /// Whether the initial state has a command that only the leader and one other replica hold, and
    /// the leader's durable report of that command.
    begins_with_report: bool,
}

/// A replica and its durable state.
#[derive(Clone, Debug)]
struct Node {
    replica: Replica,
    disk: DurableState,
}

/// A durable report that was sent to a voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SentReport {
    from: ReplicaId,
    to: ReplicaId,
    /// The encoded report.
    bytes: Vec<u8>,
}

/// The state of the group.
#[derive(Clone, Debug)]
struct State {
    nodes: Vec<Node>,
    /// The encoded messages in flight.
    network: BTreeSet<Vec<u8>>,
    /// The reports that were sent. A delivered report stays in the set, so that it can be delivered
    /// again.
    reports: BTreeSet<SentReport>,
    /// The number of events of each kind that may still happen.
    remaining: Events,
    /// The leader of each term.
    leaders: BTreeMap<u64, ReplicaId>,
    /// The committed entry at each index, as the first replica has applied it.
    committed: BTreeMap<u64, Entry>,
    /// The newest committed index at the time of each read request, by the identifier of the read.
    read_floors: BTreeMap<u64, u64>,
    violation: Option<String>,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key().hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Campaign(usize),
    Deliver(Vec<u8>),
    DeliverReport(SentReport),
    Command(usize),
    Change(usize),
    Complete(usize),
    Read(usize),
    Restart(usize),
}

fn member(id: ReplicaId) -> Member {
    Member {
        id,
        address: format!("machine-{id}"),
    }
}

fn members(ids: &[ReplicaId]) -> Vec<Member> {
    ids.iter().copied().map(member).collect()
}

/// The parts of a state by which the model checker distinguishes states.
#[derive(PartialEq, Hash)]
struct Key<'a> {
    nodes: Vec<String>,
    network: &'a BTreeSet<Vec<u8>>,
    reports: &'a BTreeSet<SentReport>,
    remaining: Events,
    read_floors: &'a BTreeMap<u64, u64>,
}

impl State {
    fn key(&self) -> Key<'_> {
        let nodes = self
            .nodes
            .iter()
            .map(|node| node.replica.state_key())
            .collect();
        Key {
            nodes,
            network: &self.network,
            reports: &self.reports,
            remaining: self.remaining,
            read_floors: &self.read_floors,
        }
    }

    fn record_violation(&mut self, description: String) {
        self.violation.get_or_insert(description);
    }

    /// Executes the outputs of a replica. Each record becomes durable immediately.
    fn process_outputs(&mut self, index: usize) {
        loop {
            let outputs = self.nodes[index].replica.take_outputs();
            if outputs.is_empty() {
                break;
            }
            outputs
                .into_iter()
                .for_each(|output| self.execute(index, output));
        }
        self.send_report(index);
        let replica = &self.nodes[index].replica;
        if replica.is_leader() {
            let (term, id) = (replica.term(), replica.id());
            let first = *self.leaders.entry(term).or_insert(id);
            if first != id {
                self.record_violation(format!("term {term} has two leaders: {first} and {id}"));
            }
        }
    }

    fn send_report(&mut self, index: usize) {
        if self.remaining.reports == 0 {
            return;
        }
        let replica = &mut self.nodes[index].replica;
        let Some(report) = replica.take_durable_report() else {
            return;
        };
        self.remaining.reports -= 1;
        let voters = replica.membership().all_voters().map(|voter| voter.id);
        let receivers = voters.filter(|voter| !report.holders.contains(voter));
        self.reports.extend(receivers.map(|to| SentReport {
            from: replica.id(),
            to,
            bytes: report.serialize_bin(),
        }));
    }

    fn execute(&mut self, index: usize, output: Output) {
        let node = &mut self.nodes[index];
        match output {
            Output::Persist { sequence, record } => {
                node.disk.apply_record(&record);
                node.replica.handle_persisted(sequence);
            }
            Output::Send(message) => drop(self.network.insert(message.serialize_bin())),
            Output::Apply(entry) => {
                self.check_held_by_quorum(index, &entry);
                let first = self
                    .committed
                    .entry(entry.index)
                    .or_insert_with(|| entry.clone());
                if *first != entry {
                    let index = entry.index;
                    self.record_violation(format!(
                        "two different entries are committed at index {index}"
                    ));
                }
            }
            Output::ReadReady { read_id } => {
                let (read_floor, last_index) =
                    (self.read_floors[&read_id], node.replica.log().last_index());
                if last_index < read_floor {
                    self.record_violation(format!(
                        "a read is confirmed at index {last_index}, but index {read_floor} was committed before the request"
                    ));
                }
            }
            Output::ReadFailed { .. } | Output::Restore(_) => {}
        }
    }

    /// Checks that a quorum holds a newly committed entry on disk. The first replica that applies
    /// an entry has counted the quorum by its own newest membership, so the check uses that
    /// membership.
    fn check_held_by_quorum(&mut self, index: usize, entry: &Entry) {
        if self.committed.contains_key(&entry.index) {
            return;
        }
        let holds = |member: &Member| {
            let node = self.index_of(member.id).map(|index| &self.nodes[index]);
            node.is_some_and(|node| {
                let log = &node.disk.log;
                log.snapshot().index >= entry.index || log.get(entry.index) == Some(entry)
            })
        };
        let replica = &self.nodes[index].replica;
        if !replica.membership().is_quorum(holds) {
            let (id, position) = (replica.id(), entry.position());
            self.record_violation(format!(
                "replica {id} commits the entry at {position:?} without a quorum"
            ));
        }
    }

    fn newest_committed(&self) -> u64 {
        self.committed
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default()
    }

    fn index_of(&self, id: ReplicaId) -> Option<usize> {
        self.nodes.iter().position(|node| node.replica.id() == id)
    }
}

impl Group {
    fn ids(&self) -> BTreeSet<ReplicaId> {
        self.voters
            .iter()
            .chain(&self.next_voters)
            .copied()
            .collect()
    }

    /// Creates a state in which replica 1 is the leader and its first entry is replicated to all
    /// voters.
    fn initial_state(&self) -> State {
        let membership = Membership::new(members(&self.voters));
        let founding = Snapshot {
            index: 1,
            term: 1,
            membership,
            state: Vec::new(),
        };
        let node = |id: ReplicaId| {
            let disk = DurableState::new(id, founding.clone());
            Node {
                replica: Replica::new(disk.clone(), SETTINGS, NOW, SEED),
                disk,
            }
        };
        let mut state = State {
            nodes: self.ids().into_iter().map(node).collect(),
            network: BTreeSet::new(),
            reports: BTreeSet::new(),
            remaining: Events::default(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            read_floors: BTreeMap::new(),
            violation: None,
        };
        (0..state.nodes.len()).for_each(|index| state.process_outputs(index));
        state.network.clear();
        campaign(&mut state, 0);
        while let Some(bytes) = state.network.pop_first() {
            deliver(&mut state, &bytes);
        }
        assert!(state.nodes[0].replica.is_leader() && state.nodes[0].replica.commit_index() == 2);
        state.remaining = self.limits;
        if self.begins_with_report {
            begin_with_report(&mut state);
        }
        state
    }
}

/// Adds a command that only the leader and replica 2 hold, and the leader's durable report of the
/// command.
fn begin_with_report(state: &mut State) {
    const HOLDERS: [ReplicaId; 2] = [1, 2];
    let command = vec![u8::MAX];
    state.nodes[0]
        .replica
        .propose(command)
        .expect("replica 1 is the leader");
    state.process_outputs(0);
    while let Some(bytes) = state.network.pop_first() {
        let message = Message::deserialize_bin(&bytes).expect("a valid message");
        if HOLDERS.contains(&message.to) {
            deliver(state, &bytes);
        }
    }
    assert!(!state.reports.is_empty());
}

fn campaign(state: &mut State, index: usize) {
    let replica = &mut state.nodes[index].replica;
    let (id, term) = (replica.id(), replica.term());
    replica.handle_message(
        NOW,
        Message {
            from: id,
            to: id,
            term,
            body: MessageBody::TimeoutNow,
        },
    );
    state.process_outputs(index);
}

fn deliver(state: &mut State, bytes: &[u8]) {
    let message = Message::deserialize_bin(bytes).expect("a valid message");
    if let Some(index) = state.index_of(message.to) {
        state.nodes[index].replica.handle_message(NOW, message);
        state.process_outputs(index);
    }
}

fn deliver_report(state: &mut State, sent: &SentReport) {
    let report = DurableReport::deserialize_bin(&sent.bytes).expect("a valid report");
    if let Some(index) = state.index_of(sent.to) {
        let replica = &mut state.nodes[index].replica;
        replica.observe_durable_report(NOW, sent.from, report);
        state.process_outputs(index);
    }
}

impl Model for Group {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.initial_state()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let remaining = state.remaining;
        actions.extend(state.network.iter().cloned().map(Action::Deliver));
        actions.extend(state.reports.iter().cloned().map(Action::DeliverReport));
        for (index, node) in state.nodes.iter().enumerate() {
            let replica = &node.replica;
            let is_leader = replica.is_leader();
            if remaining.elections > 0 && replica.membership().is_voter(replica.id()) && !is_leader
            {
                actions.push(Action::Campaign(index));
            }
            if remaining.commands > 0 && is_leader {
                actions.push(Action::Command(index));
            }
            if remaining.changes > 0 && is_leader && !replica.membership().is_joint() {
                actions.push(Action::Change(index));
            }
            if is_leader && replica.membership().is_joint() {
                actions.push(Action::Complete(index));
            }
            if remaining.reads > 0 && is_leader {
                actions.push(Action::Read(index));
            }
            if remaining.restarts > 0 {
                actions.push(Action::Restart(index));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Deliver(bytes) => {
                state.network.remove(&bytes);
                deliver(&mut state, &bytes);
            }
            Action::DeliverReport(report) => deliver_report(&mut state, &report),
            Action::Campaign(index) => {
                state.remaining.elections -= 1;
                campaign(&mut state, index);
            }
            Action::Command(index) => {
                state.remaining.commands -= 1;
                state.nodes[index]
                    .replica
                    .propose(vec![state.remaining.commands])
                    .ok()?;
                state.process_outputs(index);
            }
            Action::Change(index) => {
                state.remaining.changes -= 1;
                state.nodes[index]
                    .replica
                    .change_voters(members(&self.next_voters))
                    .ok()?;
                state.process_outputs(index);
            }
            Action::Complete(index) => {
                state.nodes[index].replica.tick(NOW);
                state.process_outputs(index);
            }
            Action::Read(index) => {
                state.remaining.reads -= 1;
                let number = u64::from(state.remaining.reads);
                let read_floor = state.newest_committed();
                state.read_floors.insert(number, read_floor);
                state.nodes[index].replica.request_read(number);
                state.process_outputs(index);
            }
            Action::Restart(index) => {
                state.remaining.restarts -= 1;
                let disk = state.nodes[index].disk.clone();
                state.nodes[index].replica = Replica::new(disk, SETTINGS, NOW, SEED);
                state.process_outputs(index);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            "one leader per term, one committed entry per index, no stale reads",
            |_, state: &State| state.violation.is_none(),
        )]
    }
}

/// Returns the number of states to explore: `WOADSTALL_STATES`, or a default.
fn max_states() -> usize {
    const STATES: usize = 300_000;
    std::env::var("WOADSTALL_STATES")
        .ok()
        .and_then(|states| states.parse().ok())
        .unwrap_or(STATES)
}

#[rstest]
#[case::elections_and_commands(&[1, 2, 3], &[1, 2, 3], Events { elections: 2, commands: 2, ..Events::default() })]
#[case::reads_while_leaders_change(&[1, 2, 3], &[1, 2, 3], Events { elections: 1, commands: 1, reads: 1, ..Events::default() })]
#[case::restarts(&[1, 2, 3], &[1, 2, 3], Events { elections: 1, commands: 1, restarts: 1, ..Events::default() })]
#[case::one_of_three_is_replaced(&[1, 2, 3], &[1, 2, 4], Events { elections: 1, commands: 1, changes: 1, ..Events::default() })]
#[case::two_of_three_are_replaced(&[1, 2, 3], &[1, 4, 5], Events { elections: 1, changes: 1, ..Events::default() })]
#[case::the_leader_is_replaced(&[1, 2, 3], &[2, 3, 4], Events { elections: 1, changes: 1, ..Events::default() })]
#[case::three_become_five(&[1, 2, 3], &[1, 2, 3, 4, 5], Events { elections: 1, changes: 1, ..Events::default() })]
#[case::reports_and_reads_while_leaders_change(&[1, 2, 3], &[1, 2, 3], Events { elections: 1, commands: 1, reads: 1, reports: 1, ..Events::default() })]
#[case::reports_while_one_of_three_is_replaced(&[1, 2, 3], &[1, 2, 4], Events { elections: 1, commands: 1, changes: 1, reports: 2, ..Events::default() })]
fn safety_holds_in_all_reachable_states(
    #[case] voters: &[ReplicaId],
    #[case] next_voters: &[ReplicaId],
    #[case] limits: Events,
) {
    assert_safe(&Group {
        voters: voters.to_vec(),
        next_voters: next_voters.to_vec(),
        limits,
        begins_with_report: false,
    });
}

#[rstest]
#[case::one_election(Events { elections: 1, reports: 1, ..Events::default() })]
#[case::a_restart(Events { elections: 1, restarts: 1, reports: 1, ..Events::default() })]
fn safety_holds_after_a_report_of_two_of_five(#[case] limits: Events) {
    const VOTERS: [ReplicaId; 5] = [1, 2, 3, 4, 5];
    assert_safe(&Group {
        voters: VOTERS.to_vec(),
        next_voters: VOTERS.to_vec(),
        limits,
        begins_with_report: true,
    });
}

fn assert_safe(group: &Group) {
    let checker = group
        .clone()
        .checker()
        .target_state_count(max_states())
        .threads(2)
        .spawn_bfs()
        .join();
    println!(
        "{} states explored, {} unique states, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000);
}
