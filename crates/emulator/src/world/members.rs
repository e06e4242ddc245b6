//! Membership: each balancer runs a node of the shipped crate over the simulated network.

use super::*;
use crate::observer::{MemberView, MembershipObserver, MembershipReport};
use crate::units::Span;
use std::net::IpAddr;
use woadstall_membership::{
    Event as MembershipEvent, Generation, MemberMetadata, MemberState, MemberStatus, Name, Node,
    PathState, Settings,
};

/// Number of members that a new node contacts first.
const SEED_COUNT: u32 = 3;
/// Interval at which a node checks whether its suspects still accept connections.
const CONNECTION_CHECK_INTERVAL: Time = SECOND;
/// Delay of a reliable message whose first transmission was lost.
const RETRANSMISSION_DELAY: Time = 200 * MS;
/// Port in the members' simulated addresses.
const MEMBER_PORT: u16 = 7_946;

/// A membership message in transit.
struct PendingMessage {
    /// Number of the receiving balancer.
    to: u32,
    bytes: Vec<u8>,
}

/// Membership nodes of all balancers, with their messages in transit.
pub(super) struct MembershipSimulation {
    settings: Settings,
    nodes: Vec<Option<Node>>,
    /// Time at which each node's timer is due; `Time::MAX` if none is scheduled.
    planned_ticks: Vec<Time>,
    /// Whether a connection check is scheduled, by balancer.
    check_planned: Vec<bool>,
    /// Whether a balancer's machine has power. A machine with power refuses connections to a process that has
    /// ended.
    machine_powered: Vec<bool>,
    rngs: Vec<ChaCha8Rng>,
    numbers_by_name: NumbersByName,
    messages: SequenceMap<PendingMessage>,
    observer: MembershipObserver,
    /// Latest incarnation of each member.
    last_incarnation: Vec<Option<Generation>>,
    /// Bytes that each member's earlier incarnations sent.
    former_bytes_sent: Vec<u64>,
}

fn member_name(number: u32) -> Name {
    Name::new(&format!("balancer-{number}"))
        .unwrap_or_else(|_| unreachable!("short, without blanks"))
}

fn member_address(number: u32) -> SocketAddr {
    SocketAddr::new(
        IpAddr::V4(Ipv4Addr::from(0x0a00_0000 | number)),
        MEMBER_PORT,
    )
}

/// Number of the balancer with a simulated address; the inverse of [`member_address`].
fn member_number(address: SocketAddr) -> Option<u32> {
    match address.ip() {
        IpAddr::V4(ip) => u32::from(ip).checked_sub(0x0a00_0000),
        IpAddr::V6(_) => None,
    }
}

/// Number of each balancer, by its member name.
type NumbersByName = std::collections::HashMap<Name, u32>;

/// Drains a node's events. Returns whether the node newly suspects a member, and, for each member that an event
/// names, the member's number and the status that the node now holds for it.
fn drain_events(
    node: &mut Node,
    numbers_by_name: &NumbersByName,
) -> (bool, Vec<(usize, Option<MemberStatus>)>) {
    let (mut has_new_suspect, mut statuses) = (false, Vec::new());
    while let Some(event) = node.next_event() {
        has_new_suspect |= matches!(event, MembershipEvent::Suspected { .. });
        let name = match event {
            MembershipEvent::Joined(member) => member.name,
            MembershipEvent::Recovered(name) | MembershipEvent::Left(name) => name,
            MembershipEvent::Suspected { name, .. } | MembershipEvent::Dead { name, .. } => name,
            _ => continue,
        };
        // A member may be reported as joined and as dead in one batch; the latest status counts.
        if let Some(&number) = numbers_by_name.get(&name) {
            statuses.push((number as usize, node.status(&name)));
        }
    }
    (has_new_suspect, statuses)
}

impl MembershipSimulation {
    pub(super) fn new(config: &crate::scenario::MembershipConfig, count: usize, seed: u64) -> Self {
        let time = |span: Span| std::time::Duration::from_nanos(span.0);
        let settings = Settings {
            probe_interval: time(config.period),
            probe_timeout: time(config.timeout),
            suspicion_timeout: time(config.suspicion),
            plain_swim: config.plain_swim,
            ..Settings::default()
        };
        let numbers = 0..count as u32;
        Self {
            settings,
            nodes: numbers.clone().map(|_| None).collect(),
            planned_ticks: vec![Time::MAX; count],
            check_planned: vec![false; count],
            machine_powered: vec![true; count],
            rngs: numbers
                .clone()
                .map(|number| stream(seed, Actor::Member, number))
                .collect(),
            numbers_by_name: numbers
                .map(|number| (member_name(number), number))
                .collect(),
            messages: SequenceMap::default(),
            observer: MembershipObserver::new(count, config.tolerated_pause.0),
            last_incarnation: vec![None; count],
            former_bytes_sent: vec![0; count],
        }
    }

    /// Maps a status to a view of the member's current incarnation. A status of an earlier incarnation counts
    /// as unknown.
    fn view_of_current_incarnation(
        &self,
        member: usize,
        status: Option<MemberStatus>,
    ) -> MemberView {
        let node = self.nodes[member].as_ref();
        let incarnation = node
            .map(|node| node.local().generation)
            .or(self.last_incarnation[member]);
        let status = status.filter(|status| Some(status.generation) == incarnation);
        match status.map(|status| status.state) {
            Some(MemberState::Alive) => MemberView::Alive,
            Some(MemberState::Suspect) => MemberView::Suspect,
            Some(MemberState::Dead) => MemberView::Dead,
            Some(MemberState::Left) => MemberView::Left,
            None => MemberView::Unknown,
        }
    }

    /// Takes a node out temporarily; the caller puts it back with [`Self::put_node`].
    pub(super) fn take_node(&mut self, balancer: usize) -> Option<Node> {
        self.nodes[balancer].take()
    }

    pub(super) fn put_node(&mut self, balancer: usize, node: Node) {
        self.nodes[balancer] = Some(node);
    }

    /// Compares the partitions that running members report with the actual ones.
    fn record_path_reports(&mut self, now: Time, is_partitioned: impl Fn(usize, usize) -> bool) {
        let pairs = self
            .observer
            .pairs(|balancer| self.nodes[balancer].is_some());
        let reported_paths = |reporter: usize, other: usize| {
            self.nodes[reporter]
                .as_ref()
                .map(|node| node.path_states(&member_name(other as u32), now))
                .unwrap_or_default()
        };
        let reports = pairs.into_iter().map(|(from, to)| {
            let (outbound, _) = reported_paths(from, to);
            let (_, inbound) = reported_paths(to, from);
            (
                is_partitioned(from, to),
                outbound == PathState::Partitioned,
                inbound == PathState::Partitioned,
            )
        });
        self.observer.record_path_reports(now, reports);
    }
}

impl Simulation<'_> {
    /// Starts all members.
    pub(super) fn start_members(&mut self) {
        let Some(config) = &self.scenario.members else {
            return;
        };
        self.members = Some(MembershipSimulation::new(
            config,
            self.balancers.len(),
            self.seed,
        ));
        (0..self.balancers.len()).for_each(|balancer| self.start_member(balancer));
        for bound in &self.scenario.bound {
            if let crate::scenario::Requirement::PartitionsReported { at, .. } = bound.requirement {
                self.event_queue.at(at.0, Event::RecordPathReports);
            }
        }
    }

    /// Starts a member's process, which knows only its seed addresses.
    pub(super) fn start_member(&mut self, balancer: usize) {
        let now = self.event_queue.now();
        let (zone, local) = (
            self.balancers[balancer].zone,
            self.balancers[balancer].local_time(now),
        );
        let Some(members) = &mut self.members else {
            return;
        };
        let zones = &self.scenario.zones;
        // A zone or region whose name is not valid as a label gets one from the number of the zone.
        let label = |text: &str| Name::new(text).unwrap_or_else(|_| member_name(u32::from(zone)));
        let zone = &zones[usize::from(zone)];
        let rng = &mut members.rngs[balancer];
        let metadata = MemberMetadata {
            name: member_name(balancer as u32),
            generation: Generation {
                started_ms: local / MS,
                id: rng.next_u64(),
            },
            address: member_address(balancer as u32),
            zone: label(zone),
            region: self.scenario.regions.get(zone).map(|region| label(region)),
        };
        let seeds = (0..SEED_COUNT.min(members.nodes.len() as u32))
            .map(member_address)
            .collect();
        // Settings that the node would refuse were refused with the scenario.
        let node = Node::new(
            metadata,
            seeds,
            members.settings.clone(),
            rng.next_u64(),
            now,
        )
        .ok();
        members.last_incarnation[balancer] = node.as_ref().map(|node| node.local().generation);
        members.nodes[balancer] = node;
        (
            members.planned_ticks[balancer],
            members.check_planned[balancer],
        ) = (Time::MAX, false);
        members.machine_powered[balancer] = true;
        members.observer.set_running(now, balancer, true);
        self.flush_member(balancer);
        self.reset_coordinator(balancer);
    }

    /// Ends a member's process. With `announces_leave`, the member tells the others first; `keeps_power` tells
    /// whether its machine keeps its power.
    pub(super) fn stop_member(
        &mut self,
        balancer: usize,
        announces_leave: bool,
        keeps_power: bool,
    ) {
        let now = self.event_queue.now();
        if announces_leave
            && let Some(node) = self
                .members
                .as_mut()
                .and_then(|members| members.nodes[balancer].as_mut())
        {
            node.leave(now);
            self.flush_member(balancer);
        }
        let Some(members) = &mut self.members else {
            return;
        };
        if let Some(node) = members.nodes[balancer].take() {
            members.former_bytes_sent[balancer] += node.counters().bytes_sent;
            members.last_incarnation[balancer] = Some(node.local().generation);
            members.machine_powered[balancer] = keeps_power;
        }
        members.observer.set_running(now, balancer, false);
    }

    /// Pauses or resumes member processes.
    pub(super) fn set_members_paused(&mut self, balancers: &[u32], paused: bool) {
        let now = self.event_queue.now();
        let Some(members) = &mut self.members else {
            return;
        };
        balancers
            .iter()
            .for_each(|&balancer| members.observer.set_paused(now, balancer as usize, paused));
    }

    /// Handles the timer of a balancer's node, or postpones it to the end of a pause.
    pub(super) fn member_timer(&mut self, balancer: usize, planned: Time) {
        let resume_at = self.paused_until(balancer);
        let Some(members) = &mut self.members else {
            return;
        };
        if members.planned_ticks[balancer] != planned || members.nodes[balancer].is_none() {
            return; // superseded by an earlier timer
        }
        members.planned_ticks[balancer] = Time::MAX;
        if let Some(resume_at) = resume_at {
            members.planned_ticks[balancer] = resume_at;
            return self.event_queue.at(
                resume_at,
                Event::MemberTimer {
                    balancer: balancer as u32,
                    at: resume_at,
                },
            );
        }
        let now = self.event_queue.now();
        if let Some(node) = &mut members.nodes[balancer] {
            node.tick(now);
        }
        self.flush_member(balancer);
    }

    /// Delivers a message. While the process is paused, the machine buffers the message.
    pub(super) fn receive_member_message(&mut self, number: u64) {
        let now = self.event_queue.now();
        let to = self
            .members
            .as_ref()
            .and_then(|members| members.messages.get(number))
            .map(|message| message.to);
        let Some(to) = to.map(|to| to as usize) else {
            return;
        };
        if let Some(until) = self.paused_until(to) {
            return self.event_queue.at(until, Event::MessageArrives(number));
        }
        let Some(members) = &mut self.members else {
            return;
        };
        let Some(message) = members.messages.take(number) else {
            return;
        };
        let Some(node) = &mut members.nodes[to] else {
            return;
        };
        let understood = node.receive(now, &message.bytes);
        debug_assert!(understood.is_ok(), "{understood:?}");
        self.flush_member(to);
    }

    /// Checks whether a process listens at the address of each member that a balancer suspects, and reports refused
    /// connections to the balancer's node.
    pub(super) fn check_suspects(&mut self, balancer: usize) {
        let (now, paused) = (self.event_queue.now(), self.paused_until(balancer));
        let Some(members) = &mut self.members else {
            return;
        };
        members.check_planned[balancer] = false;
        let Some(node) = members.nodes[balancer]
            .as_ref()
            .filter(|_| paused.is_none())
        else {
            return;
        };
        let suspect_addresses: Vec<SocketAddr> = node
            .connection_check_targets(now)
            .map(|member| member.address)
            .collect();
        let refuses = |address: &SocketAddr| {
            let suspect = member_number(*address)
                .map(|number| number as usize)
                .filter(|&suspect| members.nodes[suspect].is_none());
            let is_partitioned = |from, to| {
                Self::link_between(
                    self.scenario,
                    &self.balancers,
                    &self.fault_targets,
                    now,
                    from,
                    to,
                )
                .partitioned
            };
            suspect.is_some_and(|suspect| {
                members.machine_powered[suspect]
                    && !is_partitioned(balancer, suspect)
                    && !is_partitioned(suspect, balancer)
            })
        };
        let refused: Vec<SocketAddr> = suspect_addresses.into_iter().filter(refuses).collect();
        if let Some(node) = &mut members.nodes[balancer] {
            refused
                .into_iter()
                .for_each(|address| node.report_connection_refused(now, address));
        }
        self.flush_member(balancer);
    }

    /// Condition of the path between two balancers under all active faults.
    fn link_between(
        scenario: &Scenario,
        balancers: &[Balancer],
        faults: &[FaultTargets],
        now: Time,
        from: usize,
        to: usize,
    ) -> crate::scenario::MemberLink {
        let active_faults = scenario
            .fault
            .iter()
            .zip(faults)
            .filter(|(fault, _)| fault.is_active(now));
        let active_faults =
            active_faults.map(|(fault, targets)| (fault, targets.balancers.as_slice()));
        let number_and_zone = |balancer: usize| (balancer as u32, balancers[balancer].zone);
        scenario.member_link(
            number_and_zone(from),
            number_and_zone(to),
            balancers.len(),
            active_faults,
        )
    }

    /// Sends a balancer's outgoing membership messages, schedules the timers of its node, and records the changes of
    /// the node's views.
    pub(super) fn flush_member(&mut self, balancer: usize) {
        let now = self.event_queue.now();
        let Some(members) = &mut self.members else {
            return;
        };
        let Some(node) = &mut members.nodes[balancer] else {
            return;
        };
        let (has_new_suspect, statuses) = drain_events(node, &members.numbers_by_name);
        let outgoing: Vec<woadstall_membership::OutgoingMessage> =
            std::iter::from_fn(|| node.next_outgoing()).collect();
        let deadline = node.next_deadline().max(now + MS);
        let has_targets = node.connection_check_targets(now).next().is_some();
        if has_new_suspect && !std::mem::replace(&mut members.check_planned[balancer], true) {
            let wait = 2 * self.scenario.network.between_zones.0;
            self.event_queue
                .after(wait, Event::CheckSuspects(balancer as u32));
        } else if !members.check_planned[balancer] && has_targets {
            members.check_planned[balancer] = true;
            self.event_queue.after(
                CONNECTION_CHECK_INTERVAL,
                Event::CheckSuspects(balancer as u32),
            );
        }
        if deadline < members.planned_ticks[balancer] {
            members.planned_ticks[balancer] = deadline;
            let event = Event::MemberTimer {
                balancer: balancer as u32,
                at: deadline,
            };
            self.event_queue.at(deadline, event);
        }
        for (member, status) in statuses {
            let view = members.view_of_current_incarnation(member, status);
            members.observer.record_view(now, balancer, member, view);
        }
        for message in outgoing {
            let receiver = member_number(message.to);
            let Some(receiver) = receiver.filter(|to| (*to as usize) < self.balancers.len()) else {
                continue;
            };
            self.send_member_message(balancer, receiver as usize, message.bytes, message.reliable);
        }
    }

    /// Sends a membership message over the network, which may delay, lose, duplicate or reorder it. A reliable message is
    /// only delayed, unless the path is partitioned.
    fn send_member_message(&mut self, from: usize, to: usize, bytes: Vec<u8>, reliable: bool) {
        let now = self.event_queue.now();
        let link = Self::link_between(
            self.scenario,
            &self.balancers,
            &self.fault_targets,
            now,
            from,
            to,
        );
        let jitter = self.scenario.network.jitter;
        let Some(members) = &mut self.members else {
            return;
        };
        let rng = &mut members.rngs[from];
        // All draws are made for each message, so that one fault does not change which messages another fault
        // affects.
        let (loss_draw, duplicate_draw, reorder_draw, jitter_draw): (f64, f64, f64, f64) =
            rng.random();
        let mut delay = (link.delay as f64 * (1.0 + jitter * jitter_draw)) as Time;
        if link.partitioned || !reliable && loss_draw < link.loss {
            return;
        }
        if reliable {
            // Connection handshake and retransmission.
            delay = 3 * delay
                + if loss_draw < link.loss {
                    RETRANSMISSION_DELAY
                } else {
                    0
                };
        } else if reorder_draw < link.reordered {
            delay = (2 * delay).max(delay + MS);
        }
        if !reliable && duplicate_draw < link.duplicated {
            let duplicate = members.messages.add(PendingMessage {
                to: to as u32,
                bytes: bytes.clone(),
            });
            self.event_queue
                .after(2 * delay, Event::MessageArrives(duplicate));
        }
        let message = members.messages.add(PendingMessage {
            to: to as u32,
            bytes,
        });
        self.event_queue
            .after(delay, Event::MessageArrives(message));
    }

    /// Records how well the members report the present partitions.
    pub(super) fn record_member_path_reports(&mut self) {
        let now = self.event_queue.now();
        let (scenario, balancers, faults) = (self.scenario, &self.balancers, &self.fault_targets);
        let is_partitioned =
            |from, to| Self::link_between(scenario, balancers, faults, now, from, to).partitioned;
        self.members
            .iter_mut()
            .for_each(|members| members.record_path_reports(now, is_partitioned));
    }

    /// Updates the observer after a fault between members has begun or ended.
    pub(super) fn update_member_partitions(&mut self) {
        let now = self.event_queue.now();
        let (scenario, balancers, faults) = (self.scenario, &self.balancers, &self.fault_targets);
        let is_partitioned =
            |from, to| Self::link_between(scenario, balancers, faults, now, from, to).partitioned;
        self.members
            .iter_mut()
            .for_each(|members| members.observer.partition(now, is_partitioned));
    }

    /// Report on membership at the end of the run.
    pub(super) fn finish_members(&mut self) -> Option<MembershipReport> {
        let members = self.members.take()?;
        let bytes: Vec<u64> = members
            .former_bytes_sent
            .iter()
            .zip(&members.nodes)
            .map(|(former, node)| {
                former + node.as_ref().map_or(0, |node| node.counters().bytes_sent)
            })
            .collect();
        let now = self.event_queue.now();
        Some(members.observer.end(now, &bytes, now))
    }
}
