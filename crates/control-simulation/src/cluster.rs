//! The machines: their processes, disks and links, the calls that they get, and the balancers that read their feeds.

use crate::disk::{Disk, Synced};
use crate::front::Front;
use crate::history::{Call, History, Reply};
use crate::network::{CALM, Fate, Network, Weather};
use crate::oracle::{Oracle, holds_generation};
use crate::recording::{Observation, Recording};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use woadstall_consensus::{DurableState, Member, Snapshot};
use woadstall_control::command::Command;
use woadstall_control::machine::{
    Action, CallResponse, ControlMachine, MachineSettings, founding_snapshot,
};
use woadstall_control::registry::{Registration, UpstreamStatus};
use woadstall_control::wire::{MachineInfo, Packet};

/// How often a process is told the time, in milliseconds.
pub const TICK: u64 = 50;
/// How long a sync takes, in milliseconds.
const SYNC: u64 = 5;
/// How long the process waits before it tries again what the disk has refused.
const RETRY: u64 = 200;

/// How a deployment is made.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Its control machines, each in a zone of its own.
    pub machines: usize,
    /// How many of them found the group, the first ones.
    pub founders: usize,
    /// Regions that they are spread over in turn.
    pub regions: usize,
    /// Machines that may be lost at a time.
    pub tolerated: usize,
}

/// A process's life ends at the next one's beginning.
type Incarnation = u64;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Packet {
        to: usize,
        incarnation: Option<Incarnation>,
        from: usize,
        number: usize,
    },
    Synced {
        place: usize,
        incarnation: Incarnation,
    },
}

struct Host {
    machine: Option<ControlMachine>,
    disk: Disk,
    incarnation: Incarnation,
    frozen_until: u64,
    fronts: BTreeMap<u64, Front>,
    /// Whether it has ever run in this deployment.
    is_there: bool,
}

impl Host {
    /// A machine whose process does not run yet.
    fn new(durable: DurableState) -> Self {
        Self {
            machine: None,
            disk: Disk::new(durable),
            incarnation: 0,
            frozen_until: 0,
            fronts: BTreeMap::new(),
            is_there: true,
        }
    }
}

/// The machines.
pub struct Cluster {
    /// The time in milliseconds.
    pub now: u64,
    /// All chance.
    pub random: fastrand::Rng,
    /// What passes between machines.
    pub network: Network,
    /// What must hold.
    pub oracle: Oracle,
    /// The calls of operators.
    pub history: History,
    layout: Layout,
    hosts: Vec<Host>,
    packets: Vec<Packet>,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    sequence: u64,
    /// What the machines have logged, with times.
    pub log: Vec<(u64, String)>,
    /// The answers so far, by call.
    pub answers: BTreeMap<u64, CallResponse>,
    /// The digest of all that happens, where it is wanted.
    pub recording: Option<Recording>,
    leaving_calls: BTreeMap<u64, String>,
    next_token: u64,
    next_id: u64,
}

/// The internal address of a machine.
pub fn address(place: usize) -> String {
    format!("10.0.{place}.1:7720")
}

impl Cluster {
    /// So many machines, which found the group together in a calm network.
    pub fn new(seed: u64, machines: usize) -> Self {
        let layout = Layout {
            machines,
            founders: machines,
            regions: machines,
            tolerated: (machines - 1) / 2,
        };
        Self::with(seed, layout, CALM)
    }

    /// A deployment in a network.
    pub fn with(seed: u64, layout: Layout, weather: Weather) -> Self {
        let founders: Vec<Member> = (0..layout.founders)
            .map(|place| Member {
                id: place as u64 + 1,
                address: address(place),
            })
            .collect();
        let host = |place: usize| {
            let snapshot = if place < layout.founders {
                founding_snapshot(&founders)
            } else {
                Snapshot::default()
            };
            Host::new(DurableState::new(place as u64 + 1, snapshot))
        };
        let mut cluster = Self {
            now: 0,
            random: fastrand::Rng::with_seed(seed),
            network: Network::new(weather),
            oracle: Oracle::default(),
            history: History::default(),
            layout,
            hosts: (0..layout.machines).map(host).collect(),
            packets: Vec::new(),
            due: BinaryHeap::new(),
            sequence: 0,
            log: Vec::new(),
            answers: BTreeMap::new(),
            recording: None,
            leaving_calls: BTreeMap::new(),
            next_token: 0,
            next_id: 1_000,
        };
        (0..layout.machines).for_each(|place| cluster.start(place));
        cluster
    }

    /// Starts a process with what its disk holds.
    pub fn start(&mut self, place: usize) {
        if self.hosts[place].machine.is_some() || !self.hosts[place].is_there {
            return;
        }
        let seeds = (0..self.layout.founders).map(address).collect();
        let (incarnation, seed) = (self.random.u64(1..), self.random.u64(..));
        let host = &mut self.hosts[place];
        host.incarnation += 1;
        host.frozen_until = 0;
        let member = Member {
            id: host.disk.durable().id,
            address: address(place),
        };
        let zone = format!("zone-{place}");
        let region = format!("region-{}", place % self.layout.regions);
        let settings = MachineSettings {
            machine: MachineInfo {
                member,
                zone,
                region,
                control: String::new(),
            },
            seeds,
            zones: BTreeMap::new(),
            heartbeat_ms: 1_200,
            tolerated: self.layout.tolerated,
            incarnation,
        };
        let mut machine =
            ControlMachine::new(settings, host.disk.durable().clone(), self.now, seed);
        machine.restore_registrations(host.disk.registrations.clone());
        host.machine = Some(machine);
        self.record(Observation::Start, |recording| {
            recording
                .number(place as u64)
                .number(incarnation)
                .number(seed)
        });
        self.settle(place);
    }

    /// Ends a process; what was not begun to be written is lost.
    pub fn stop(&mut self, place: usize) {
        self.end(place, 0);
    }

    /// Ends a process by a loss of power; some of what was not synced is there all the same, or torn.
    pub fn kill(&mut self, place: usize) {
        let begun = self.random.usize(..=self.hosts[place].disk.pending());
        self.end(place, begun);
    }

    fn end(&mut self, place: usize, begun: usize) {
        self.record(Observation::End, |recording| {
            recording.number(place as u64).number(begun as u64)
        });
        let host = &mut self.hosts[place];
        host.machine = None;
        host.fronts = BTreeMap::new();
        host.disk.lose_power(begun, &mut self.random);
        for other in 0..self.len() {
            self.network.reset(self.now, place, other);
            self.network.reset(self.now, other, place);
        }
    }

    /// Ends a process and empties its disk: it comes back under a new identity.
    pub fn wipe(&mut self, place: usize) {
        self.stop(place);
        self.hosts[place].disk = Disk::new(self.first_state_of_an_empty_disk());
    }

    /// What a machine with an empty disk begins with: a new identity.
    fn first_state_of_an_empty_disk(&mut self) -> DurableState {
        self.next_id += 1;
        DurableState::new(self.next_id, Snapshot::default())
    }

    /// Takes a machine away for good.
    pub fn remove(&mut self, place: usize) {
        self.stop(place);
        self.hosts[place].is_there = false;
    }

    /// Adds a machine with an empty disk; gives its place.
    pub fn add(&mut self) -> usize {
        let durable = self.first_state_of_an_empty_disk();
        self.hosts.push(Host::new(durable));
        let place = self.len() - 1;
        self.start(place);
        place
    }

    /// A process stands still for so long; what comes waits.
    pub fn freeze(&mut self, place: usize, time: u64) {
        self.hosts[place].frozen_until = self.now + time;
    }

    /// A disk syncs nothing for so long.
    pub fn stall_disk(&mut self, place: usize, time: u64) {
        self.hosts[place].disk.stalls_until = self.now + time;
    }

    /// A disk refuses all writes for so long.
    pub fn refuse_writes(&mut self, place: usize, time: u64) {
        self.hosts[place].disk.refuses_until = self.now + time;
    }

    /// Tells a process that it is about to be stopped.
    pub fn announce_stop(&mut self, place: usize) {
        self.call(place, |machine, now, _| machine.begin_shutdown(now));
    }

    /// The number of places, also of those without a machine.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether there is no place.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Whether a machine was not taken away.
    pub fn is_there(&self, place: usize) -> bool {
        self.hosts[place].is_there
    }

    /// A machine's process, if it runs.
    pub fn machine(&self, place: usize) -> Option<&ControlMachine> {
        self.hosts[place].machine.as_ref()
    }

    /// The state on a machine's disk.
    pub fn disk(&self, place: usize) -> &Disk {
        &self.hosts[place].disk
    }

    /// The leader of the newest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |place: &usize| {
            self.machine(*place)
                .is_some_and(|machine| machine.replica().is_leader())
        };
        let term = |place: &usize| self.machine(*place).map(|machine| machine.replica().term());
        (0..self.len()).filter(leads).max_by_key(term)
    }

    /// A call to a machine; gives the call's token. Where no process runs, nobody answers.
    pub fn call(&mut self, place: usize, call: impl FnOnce(&mut ControlMachine, u64, u64)) -> u64 {
        self.next_token += 1;
        let (now, token) = (self.now, self.next_token);
        if self.is_frozen(place) {
            return token;
        }
        if let Some(machine) = self.hosts[place].machine.as_mut() {
            call(machine, now, token);
            self.settle(place);
        }
        token
    }

    /// An operator's order.
    pub fn order(&mut self, place: usize, command: Command) -> u64 {
        let token = self.next_token + 1;
        self.history.begin(token, self.now, Call::of(&command));
        self.call(place, |machine, now, token| {
            machine.submit_command(now, token, command)
        })
    }

    /// An operator's read.
    pub fn read(&mut self, place: usize) -> u64 {
        let token = self.next_token + 1;
        self.history.begin(token, self.now, Call::Read);
        self.call(place, |machine, now, token| {
            machine.read_configuration(now, token)
        })
    }

    /// An upstream's heartbeat.
    pub fn register(&mut self, place: usize, registration: Registration) -> u64 {
        if registration.status.is_terminating() {
            self.leaving_calls
                .insert(self.next_token + 1, registration.id.clone());
        }
        self.call(place, |machine, now, token| {
            machine.register(now, token, registration)
        })
    }

    /// An upstream leaves.
    pub fn deregister(&mut self, place: usize, id: &str) -> u64 {
        self.leaving_calls
            .insert(self.next_token + 1, id.to_owned());
        self.call(place, |machine, now, token| {
            machine.deregister(now, token, id)
        })
    }

    /// A balancer reads a machine's feed.
    pub fn subscribe(&mut self, place: usize, subscriber: u64) {
        self.hosts[place]
            .fronts
            .insert(subscriber, Front::default());
        let packet = Packet::Subscribe {
            balancer: "front".to_owned(),
            epoch: 0,
            offset: 0,
            index: 0,
        };
        self.call(place, |machine, now, _| {
            machine.subscribe(now, subscriber, &packet)
        });
    }

    /// A balancer's connection ends; the balancer stays.
    pub fn unsubscribe(&mut self, place: usize, subscriber: u64) -> Option<Front> {
        self.call(place, |machine, _, _| machine.unsubscribe(subscriber));
        self.hosts[place].fronts.remove(&subscriber)
    }

    /// A balancer comes back and reads on from where it was.
    pub fn resubscribe(&mut self, place: usize, subscriber: u64, front: Front) {
        let (epoch, offset, index) = (front.epoch, front.offset, front.state.index);
        self.hosts[place].fronts.insert(subscriber, front);
        let packet = Packet::Subscribe {
            balancer: "front".to_owned(),
            epoch,
            offset,
            index,
        };
        self.call(place, |machine, now, _| {
            machine.subscribe(now, subscriber, &packet)
        });
    }

    /// A balancer that reads a machine's feed.
    pub fn reader(&self, place: usize, subscriber: u64) -> &Front {
        &self.hosts[place].fronts[&subscriber]
    }

    /// Lets time pass.
    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            let next_tick = self.now + TICK - self.now % TICK;
            while self
                .due
                .peek()
                .is_some_and(|Reverse((at, _, _))| *at <= next_tick)
            {
                let Some(Reverse((at, _, due))) = self.due.pop() else {
                    break;
                };
                self.now = self.now.max(at);
                self.happen(due);
            }
            self.now = next_tick;
            self.tend_network();
            for place in 0..self.len() {
                self.tick(place);
            }
        }
    }

    fn is_frozen(&self, place: usize) -> bool {
        self.now < self.hosts[place].frozen_until
    }

    fn tick(&mut self, place: usize) {
        let now = self.now;
        if self.is_frozen(place) {
            return;
        }
        if let Some(machine) = self.hosts[place].machine.as_mut() {
            machine.tick(now);
            self.settle(place);
        }
    }

    /// Packets that a cut held up come, connections that are silent end, and others come up.
    fn tend_network(&mut self) {
        for (from, to, packets) in self.network.released() {
            for number in packets {
                let incarnation = Some(self.hosts[to].incarnation);
                self.schedule(
                    1,
                    Due::Packet {
                        to,
                        incarnation,
                        from,
                        number,
                    },
                );
            }
        }
        for (from, to) in self.network.overdue(self.now) {
            let held = self.network.reset(self.now, from, to);
            self.send_strays(from, to, held);
        }
        for from in 0..self.len() {
            for to in (0..self.len()).filter(|to| *to != from) {
                self.connect(from, to);
            }
        }
    }

    /// Nothing passes from and to a machine any more.
    pub fn cut_off(&mut self, place: usize) {
        for other in (0..self.len()).filter(|other| *other != place) {
            self.network.cut_both(place, other);
        }
    }

    /// All cuts end, processes and disks go on, and all machines run.
    pub fn calm(&mut self) {
        self.heal();
        for host in &mut self.hosts {
            host.frozen_until = 0;
            (host.disk.stalls_until, host.disk.refuses_until) = (0, 0);
        }
        (0..self.len()).for_each(|place| self.start(place));
    }

    /// All cuts end.
    pub fn heal(&mut self) {
        self.network.heal();
    }

    fn connect(&mut self, from: usize, to: usize) {
        let run = self.hosts[from].machine.is_some() && self.hosts[to].machine.is_some();
        if run && !self.is_frozen(from) && self.network.connect(self.now, from, to) {
            self.record(Observation::Connect, |recording| {
                recording.number(from as u64).number(to as u64)
            });
            self.call(from, |machine, now, _| machine.link_up(now, &address(to)));
        }
    }

    /// Bytes that their sender gave up may still arrive, late and over a former connection.
    fn send_strays(&mut self, from: usize, to: usize, packets: Vec<usize>) {
        let strays = self.network.weather.strays;
        if strays == 0 {
            return;
        }
        let after = self.random.u64(..strays);
        for number in packets {
            self.schedule(
                after,
                Due::Packet {
                    to,
                    incarnation: None,
                    from,
                    number,
                },
            );
        }
    }

    fn happen(&mut self, due: Due) {
        let now = self.now;
        match due {
            Due::Packet {
                to,
                incarnation,
                from,
                number,
            } => {
                let host = &mut self.hosts[to];
                if incarnation.is_some_and(|incarnation| incarnation != host.incarnation) {
                    return;
                }
                if now < host.frozen_until {
                    let wait = host.frozen_until - now;
                    self.schedule(
                        wait,
                        Due::Packet {
                            to,
                            incarnation,
                            from,
                            number,
                        },
                    );
                } else if let Some(machine) = host.machine.as_mut() {
                    if let Some(recording) = &mut self.recording {
                        let observed = recording.observe(Observation::Receive, now);
                        observed
                            .number(to as u64)
                            .number(from as u64)
                            .bytes(&self.packets[number].frame());
                    }
                    machine.receive_packet(now, &address(from), self.packets[number].clone());
                    self.settle(to);
                }
            }
            Due::Synced { place, incarnation } => self.sync(place, incarnation),
        }
    }

    fn sync(&mut self, place: usize, incarnation: Incarnation) {
        let now = self.now;
        let host = &mut self.hosts[place];
        if host.incarnation != incarnation || host.machine.is_none() {
            return;
        }
        let stalled_until = host.disk.stalls_until.max(host.frozen_until);
        if now < stalled_until {
            self.schedule(stalled_until - now, Due::Synced { place, incarnation });
            return;
        }
        let synced = host.disk.sync(now);
        if let Some(recording) = &mut self.recording {
            let (kind, number) = match synced {
                Some(Synced::Records(sequence)) => (1, sequence),
                Some(Synced::Registrations(number)) => (2, number),
                None => (0, 0),
            };
            recording
                .observe(Observation::Sync, now)
                .number(place as u64)
                .number(kind)
                .number(number);
        }
        if let (Some(synced), Some(machine)) = (synced, host.machine.as_mut()) {
            match synced {
                Synced::Records(sequence) => machine.persisted(now, sequence),
                Synced::Registrations(number) => machine.registrations_persisted(now, number),
            }
        }
        if synced.is_none() && (host.disk.has_refused() || host.disk.pending() > 0) {
            self.schedule(RETRY, Due::Synced { place, incarnation });
        }
        self.settle(place);
    }

    fn schedule(&mut self, after: u64, due: Due) {
        self.sequence += 1;
        self.due
            .push(Reverse((self.now + after, self.sequence, due)));
    }

    fn settle(&mut self, place: usize) {
        loop {
            let Some(machine) = self.hosts[place].machine.as_mut() else {
                return;
            };
            let actions = machine.take_actions();
            if actions.is_empty() {
                break;
            }
            actions
                .into_iter()
                .for_each(|action| self.carry_out(place, action));
        }
        let host = &self.hosts[place];
        if let Some(machine) = &host.machine {
            self.oracle.look_at(place, host.incarnation, machine);
            if let Some(recording) = &mut self.recording {
                recording
                    .observe(Observation::State, self.now)
                    .number(place as u64)
                    .standing(machine);
            }
        }
    }

    fn carry_out(&mut self, place: usize, action: Action) {
        self.record_action(place, &action);
        match action {
            Action::Connect { .. } | Action::Disconnect { .. } => {}
            Action::Log(line) => self
                .log
                .push((self.now, format!("machine {place}: {line}"))),
            Action::Send {
                address: to,
                packet,
            } => self.send(place, &to, packet),
            Action::Persist { sequence, record } => {
                self.hosts[place].disk.write(sequence, record);
                self.schedule_sync(place);
            }
            Action::PersistRegistrations { number } => {
                let registrations = self
                    .machine(place)
                    .map(ControlMachine::registrations)
                    .unwrap_or_default();
                self.hosts[place].disk.keep(number, registrations);
                self.schedule_sync(place);
            }
            Action::Respond {
                token,
                response: answer,
            } => self.take_answer(place, token, answer),
            Action::Deliver {
                subscribers,
                packet,
            } => {
                for subscriber in subscribers {
                    if let Some(front) = self.hosts[place].fronts.get_mut(&subscriber) {
                        front.take(packet.clone());
                        self.oracle
                            .look_at_front(&format!("{place}/{subscriber}"), front);
                    }
                }
            }
        }
    }

    fn record(
        &mut self,
        observation: Observation,
        add: impl FnOnce(&mut Recording) -> &mut Recording,
    ) {
        let now = self.now;
        if let Some(recording) = &mut self.recording {
            add(recording.observe(observation, now));
        }
    }

    fn record_action(&mut self, place: usize, action: &Action) {
        let Some(recording) = &mut self.recording else {
            return;
        };
        let (now, place) = (self.now, place as u64);
        match action {
            Action::Log(_) => {}
            Action::Connect { address } => {
                let observed = recording.observe(Observation::Address, now);
                observed.number(place).number(1).bytes(address.as_bytes());
            }
            Action::Disconnect { address } => {
                let observed = recording.observe(Observation::Address, now);
                observed.number(place).number(0).bytes(address.as_bytes());
            }
            Action::Send { address, packet } => {
                let observed = recording.observe(Observation::Send, now);
                observed
                    .number(place)
                    .bytes(address.as_bytes())
                    .bytes(&packet.frame());
            }
            Action::Persist { sequence, record } => {
                let observed = recording.observe(Observation::Write, now);
                observed.number(place).number(*sequence).encoded(record);
            }
            Action::PersistRegistrations { number } => {
                recording
                    .observe(Observation::WriteRegistrations, now)
                    .number(place)
                    .number(*number);
            }
            Action::Respond {
                token,
                response: answer,
            } => {
                recording
                    .observe(Observation::Answer, now)
                    .number(place)
                    .number(*token)
                    .answer(answer);
            }
            Action::Deliver {
                subscribers,
                packet,
            } => {
                let observed = recording.observe(Observation::Deliver, now).number(place);
                for subscriber in subscribers.iter() {
                    observed.number(*subscriber);
                }
                observed.bytes(&packet.frame());
            }
        }
    }

    /// The digest of all that has happened since it was wanted, of the states in which the machines and balancers are now, and
    /// of the oracles' verdict; and the number of observations that it holds.
    pub fn finish_recording(&mut self) -> (u64, u64) {
        let mut recording = self.recording.take().unwrap_or_default();
        let verdict = u64::from(self.oracle.violation.is_none())
            + 2 * u64::from(self.history.check().is_ok());
        let chance = self.random.u64(..);
        let all = recording
            .observe(Observation::Final, self.now)
            .number(verdict)
            .number(chance);
        all.number(self.history.answered() as u64)
            .number(self.packets.len() as u64)
            .number(self.sequence);
        for host in &self.hosts {
            record_host(&mut recording, host, self.now);
        }
        recording.finish()
    }

    fn schedule_sync(&mut self, place: usize) {
        let incarnation = self.hosts[place].incarnation;
        self.schedule(SYNC, Due::Synced { place, incarnation });
    }

    fn send(&mut self, from: usize, to: &str, packet: Packet) {
        let Some(to) = (0..self.len()).find(|other| address(*other) == to) else {
            return;
        };
        if !self.network.is_up(from, to) {
            return;
        }
        let is_narrow = self.network.weather.bytes_per_ms > 0;
        let bytes = if is_narrow {
            packet.frame().len() as u64
        } else {
            0
        };
        let (shortest, longest) = self.network.weather.delay;
        let delay = self.random.u64(shortest..=longest);
        self.packets.push(packet);
        let number = self.packets.len() - 1;
        if let Fate::Arrives(at) = self.network.send(self.now, from, to, number, bytes, delay) {
            let incarnation = Some(self.hosts[to].incarnation);
            self.schedule(
                at - self.now,
                Due::Packet {
                    to,
                    incarnation,
                    from,
                    number,
                },
            );
        }
    }

    fn take_answer(&mut self, place: usize, token: u64, answer: CallResponse) {
        if let Some(id) = self.leaving_calls.remove(&token)
            && answer == CallResponse::Acknowledged
        {
            self.oracle.note_leaving(&id);
        }
        let state = self.machine(place).map(|machine| {
            (
                machine.state().generation(),
                machine.state().evacuated.clone(),
            )
        });
        if let Some((generation, evacuated)) = state {
            let reply = Reply::of(&answer, generation, evacuated);
            self.check_majority_of_disks(token, &reply);
            self.history.end(token, self.now, reply);
        }
        if self.answers.insert(token, answer).is_some() {
            self.oracle.fail(format!("call {token} was answered twice"));
        }
    }

    /// A configuration that is acknowledged is on the disks of a quorum.
    fn check_majority_of_disks(&mut self, token: u64, reply: &Reply) {
        let Some(Call::Put { generation, .. }) = self.history.call(token) else {
            return;
        };
        let generation = *generation;
        if *reply != Reply::Done {
            return;
        }
        let newest = (0..self.len()).filter_map(|place| self.machine(place));
        let Some(newest) = newest.max_by_key(|machine| machine.replica().commit_index()) else {
            return;
        };
        let members = newest.replica().membership().clone();
        let holds = |member: &Member| {
            let of_member = self
                .hosts
                .iter()
                .find(|host| host.disk.durable().id == member.id);
            of_member.is_some_and(|host| holds_generation(host.disk.durable(), generation))
        };
        if !members.is_quorum(holds) {
            self.oracle.fail(format!(
                "version {generation} was acknowledged and is on too few disks"
            ));
        }
    }

    /// What the machines have logged, and how they stand.
    pub fn describe(&self) -> String {
        let logged = self.log.iter().map(|(at, line)| format!("{at} {line}"));
        let stand = (0..self.len()).filter_map(|place| {
            self.machine(place)
                .map(|machine| (place, machine.replica()))
        });
        let stand = stand.map(|(place, replica)| {
            let (term, leader, commit) = (replica.term(), replica.leader(), replica.commit_index());
            format!(
                "machine {place}: term {term} leader {leader:?} commit {commit} {:?}",
                replica.membership()
            )
        });
        logged.chain(stand).collect::<Vec<_>>().join("\n")
    }

    /// After a calm time: each machine and balancer knows what was acknowledged, and the history of orders and reads is that of
    /// one machine.
    pub fn check_all(&mut self) {
        for place in 0..self.len() {
            let Some(machine) = self.machine(place) else {
                continue;
            };
            let statuses: BTreeMap<String, UpstreamStatus> = machine
                .registrations()
                .into_iter()
                .map(|registration| (registration.id, registration.status))
                .collect();
            self.oracle.check_acknowledged(place, &statuses);
            let fronts: Vec<BTreeMap<String, UpstreamStatus>> = self.hosts[place]
                .fronts
                .values()
                .map(|front| front.statuses.clone())
                .collect();
            for statuses in fronts {
                self.oracle.check_acknowledged(place, &statuses);
            }
        }
        if let Err(what) = self.history.check() {
            self.oracle.fail(what);
        }
    }
}

/// Adds what a machine's disk, its process and its balancers hold at the end.
fn record_host(recording: &mut Recording, host: &Host, now: u64) {
    let durable = host.disk.durable();
    let all = recording.observe(Observation::Final, now);
    all.number(host.incarnation)
        .number(u64::from(host.is_there))
        .number(host.frozen_until);
    all.number(durable.id)
        .number(durable.term)
        .number(durable.vote)
        .number(durable.commit);
    all.encoded(durable.log.snapshot());
    for entry in durable.log.entries().iter() {
        all.encoded(entry);
    }
    for registration in host.disk.registrations.iter() {
        all.encoded(registration);
    }
    all.number(host.disk.pending() as u64)
        .number(u64::from(host.machine.is_some()));
    if let Some(machine) = &host.machine {
        all.standing(machine).bytes(&machine.state().encode());
        for registration in machine.registrations().iter() {
            all.encoded(registration);
        }
        for entry in machine.replica().log().entries().iter() {
            all.encoded(entry);
        }
    }
    for (subscriber, front) in &host.fronts {
        all.number(*subscriber).bytes(&front.state.encode());
        all.number(front.epoch)
            .number(front.offset)
            .number(u64::from(front.in_quorum));
        for generation in front.generations.iter() {
            all.number(*generation);
        }
        for (id, status) in &front.statuses {
            all.bytes(id.as_bytes()).encoded(status);
        }
    }
}
