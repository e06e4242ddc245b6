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
const SEEDS: u32 = 3;
/// Interval at which a node checks whether its suspects still accept connections.
const CONNECTION_CHECK_INTERVAL: Time = SECOND;
/// Delay of a reliable message whose first transmission was lost.
const RETRANSMISSION_DELAY: Time = 200 * MS;
const PORT: u16 = 7_946;

/// A membership message in transit.
struct PendingMessage {
    to: u32,
    bytes: Vec<u8>,
}

/// Membership nodes of all balancers, with their messages in transit.
pub(super) struct MembershipSimulation {
    settings: Settings,
    nodes: Vec<Option<Node>>,
    planned_ticks: Vec<Time>,
    /// Whether a connection check is scheduled, by balancer.
    check_planned: Vec<bool>,
    /// Whether a balancer's machine has power. A machine with power refuses connections to a process that has
    /// ended.
    machine_powered: Vec<bool>,
    rngs: Vec<ChaCha8Rng>,
    by_name: std::collections::HashMap<Name, u32>,
    messages: SequenceMap<PendingMessage>,
    observer: MembershipObserver,
    /// Latest incarnation of each member.
    last_incarnation: Vec<Option<Generation>>,
    /// Bytes that each member's earlier incarnations sent.
    former_bytes_sent: Vec<u64>,
}

fn name(of: u32) -> Name {
    Name::new(&format!("balancer-{of}")).unwrap_or_else(|_| unreachable!("short, without blanks"))
}

fn address(of: u32) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 | of)), PORT)
}

fn number(at: SocketAddr) -> Option<u32> {
    match at.ip() {
        IpAddr::V4(ip) => u32::from(ip).checked_sub(0x0a00_0000),
        IpAddr::V6(_) => None,
    }
}

/// Number of each balancer, by its member name.
type NumbersByName = std::collections::HashMap<Name, u32>;

/// Drains a node's events. Returns whether the node newly suspects a member, and its present status of each
/// member that an event names.
fn drain_events(
    node: &mut Node,
    by_name: &NumbersByName,
) -> (bool, Vec<(usize, Option<MemberStatus>)>) {
    let (mut suspects, mut found) = (false, Vec::new());
    while let Some(event) = node.next_event() {
        suspects |= matches!(event, MembershipEvent::Suspected { .. });
        let of = match event {
            MembershipEvent::Joined(member) => member.name,
            MembershipEvent::Recovered(of) | MembershipEvent::Left(of) => of,
            MembershipEvent::Suspected { name, .. } | MembershipEvent::Dead { name, .. } => name,
            _ => continue,
        };
        // A member may be reported as joined and as dead in one batch; the latest status counts.
        if let Some(&number) = by_name.get(&of) {
            found.push((number as usize, node.status(&of)));
        }
    }
    (suspects, found)
}

impl MembershipSimulation {
    pub(super) fn new(of: &crate::scenario::MembershipConfig, count: usize, seed: u64) -> Self {
        let time = |span: Span| std::time::Duration::from_nanos(span.0);
        let settings = Settings {
            probe_interval: time(of.period),
            probe_timeout: time(of.timeout),
            suspicion_timeout: time(of.suspicion),
            plain_swim: of.plain_swim,
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
                .map(|of| stream(seed, Actor::Member, of))
                .collect(),
            by_name: numbers.map(|of| (name(of), of)).collect(),
            messages: SequenceMap::default(),
            observer: MembershipObserver::new(count, of.tolerated_pause.0),
            last_incarnation: vec![None; count],
            former_bytes_sent: vec![0; count],
        }
    }

    /// Maps a status to a view of the member's current incarnation. A status of an earlier incarnation counts
    /// as unknown.
    fn view_of_current_incarnation(&self, of: usize, status: Option<MemberStatus>) -> MemberView {
        let present = self.nodes[of].as_ref();
        let incarnation = present
            .map(|node| node.local().generation)
            .or(self.last_incarnation[of]);
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
    pub(super) fn take_node(&mut self, at: usize) -> Option<Node> {
        self.nodes[at].take()
    }

    pub(super) fn put_node(&mut self, at: usize, node: Node) {
        self.nodes[at] = Some(node);
    }

    /// Compares the partitions that running members report with the actual ones.
    fn record_path_reports(&mut self, now: Time, is_partitioned: impl Fn(usize, usize) -> bool) {
        let pairs = self.observer.pairs(|of| self.nodes[of].is_some());
        let reported_paths = |by: usize, of: usize| {
            self.nodes[by]
                .as_ref()
                .map(|node| node.path_states(&name(of as u32), now))
                .unwrap_or_default()
        };
        let named = pairs.into_iter().map(|(from, to)| {
            (
                is_partitioned(from, to),
                reported_paths(from, to).0 == PathState::Partitioned,
                reported_paths(to, from).1 == PathState::Partitioned,
            )
        });
        self.observer.record_path_reports(now, named);
    }
}

impl Simulation<'_> {
    /// Starts all members.
    pub(super) fn start_members(&mut self) {
        let Some(of) = &self.scenario.members else {
            return;
        };
        self.members = Some(MembershipSimulation::new(
            of,
            self.balancers.len(),
            self.seed,
        ));
        (0..self.balancers.len()).for_each(|at| self.start_member(at));
        for bound in &self.scenario.bound {
            if let crate::scenario::Requirement::PartitionsReported { at, .. } = bound.requirement {
                self.event_queue.at(at.0, Event::RecordPathReports);
            }
        }
    }

    /// Starts a member's process, which knows only its seed addresses.
    pub(super) fn start_member(&mut self, at: usize) {
        let now = self.event_queue.now();
        let (zone, local) = (self.balancers[at].zone, self.balancers[at].local_time(now));
        let Some(members) = &mut self.members else {
            return;
        };
        let zones = &self.scenario.zones;
        let label = |text: &str| Name::new(text).unwrap_or_else(|_| name(u32::from(zone)));
        let zone = &zones[usize::from(zone)];
        let rng = &mut members.rngs[at];
        let me = MemberMetadata {
            name: name(at as u32),
            generation: Generation {
                started_ms: local / MS,
                id: rng.next_u64(),
            },
            address: address(at as u32),
            zone: label(zone),
            region: self.scenario.regions.get(zone).map(|region| label(region)),
        };
        let seeds = (0..SEEDS.min(members.nodes.len() as u32))
            .map(address)
            .collect();
        // Settings that the node would refuse were refused with the scenario.
        let node = Node::new(me, seeds, members.settings.clone(), rng.next_u64(), now).ok();
        members.last_incarnation[at] = node.as_ref().map(|node| node.local().generation);
        members.nodes[at] = node;
        (members.planned_ticks[at], members.check_planned[at]) = (Time::MAX, false);
        members.machine_powered[at] = true;
        members.observer.set_running(now, at, true);
        self.flush_member(at);
        self.reset_coordinator(at);
    }

    /// Ends a member's process. `leaves` announces the departure first; `power` tells whether the machine keeps
    /// its power.
    pub(super) fn stop_member(&mut self, at: usize, leaves: bool, power: bool) {
        let now = self.event_queue.now();
        if leaves
            && let Some(node) = self
                .members
                .as_mut()
                .and_then(|members| members.nodes[at].as_mut())
        {
            node.leave(now);
            self.flush_member(at);
        }
        let Some(members) = &mut self.members else {
            return;
        };
        if let Some(node) = members.nodes[at].take() {
            members.former_bytes_sent[at] += node.counters().bytes_sent;
            members.last_incarnation[at] = Some(node.local().generation);
            members.machine_powered[at] = power;
        }
        members.observer.set_running(now, at, false);
    }

    /// Pauses or resumes member processes.
    pub(super) fn set_members_paused(&mut self, who: &[u32], paused: bool) {
        let now = self.event_queue.now();
        let Some(members) = &mut self.members else {
            return;
        };
        who.iter()
            .for_each(|&of| members.observer.set_paused(now, of as usize, paused));
    }

    pub(super) fn member_timer(&mut self, at: usize, planned: Time) {
        let paused = self.paused_until(at);
        let Some(members) = &mut self.members else {
            return;
        };
        if members.planned_ticks[at] != planned || members.nodes[at].is_none() {
            return; // superseded by an earlier timer
        }
        members.planned_ticks[at] = Time::MAX;
        if let Some(until) = paused {
            members.planned_ticks[at] = until;
            return self.event_queue.at(
                until,
                Event::MemberTimer {
                    balancer: at as u32,
                    at: until,
                },
            );
        }
        let now = self.event_queue.now();
        if let Some(node) = &mut members.nodes[at] {
            node.tick(now);
        }
        self.flush_member(at);
    }

    /// Delivers a message. While the process is paused, the machine buffers the message.
    pub(super) fn receive_member_message(&mut self, messages: u64) {
        let now = self.event_queue.now();
        let to = self
            .members
            .as_ref()
            .and_then(|members| members.messages.get(messages))
            .map(|messages| messages.to);
        let Some(to) = to.map(|to| to as usize) else {
            return;
        };
        if let Some(until) = self.paused_until(to) {
            return self.event_queue.at(until, Event::MessageArrives(messages));
        }
        let Some(members) = &mut self.members else {
            return;
        };
        let Some(messages) = members.messages.take(messages) else {
            return;
        };
        let Some(node) = &mut members.nodes[to] else {
            return;
        };
        let understood = node.receive(now, &messages.bytes);
        debug_assert!(understood.is_ok(), "{understood:?}");
        self.flush_member(to);
    }

    /// Checks whether a process listens at each suspect's address, and reports refused connections to the node.
    pub(super) fn check_suspects(&mut self, at: usize) {
        let (now, paused) = (self.event_queue.now(), self.paused_until(at));
        let Some(members) = &mut self.members else {
            return;
        };
        members.check_planned[at] = false;
        let Some(node) = members.nodes[at].as_ref().filter(|_| paused.is_none()) else {
            return;
        };
        let sought: Vec<SocketAddr> = node
            .connection_check_targets(now)
            .map(|member| member.address)
            .collect();
        let refuses = |address: &SocketAddr| {
            let of = number(*address)
                .map(|of| of as usize)
                .filter(|&of| members.nodes[of].is_none());
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
            of.is_some_and(|of| {
                members.machine_powered[of] && !is_partitioned(at, of) && !is_partitioned(of, at)
            })
        };
        let refused: Vec<SocketAddr> = sought.into_iter().filter(refuses).collect();
        if let Some(node) = &mut members.nodes[at] {
            refused
                .into_iter()
                .for_each(|at| node.report_connection_refused(now, at));
        }
        self.flush_member(at);
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
        let in_force = scenario
            .fault
            .iter()
            .zip(faults)
            .filter(|(fault, _)| fault.is_active(now));
        let in_force = in_force.map(|(fault, targets)| (fault, targets.balancers.as_slice()));
        let end = |of: usize| (of as u32, balancers[of].zone);
        scenario.member_link(end(from), end(to), balancers.len(), in_force)
    }

    /// Sends a node's outgoing messages, schedules its timers, and records the changes of its views.
    pub(super) fn flush_member(&mut self, at: usize) {
        let now = self.event_queue.now();
        let Some(members) = &mut self.members else {
            return;
        };
        let Some(node) = &mut members.nodes[at] else {
            return;
        };
        let (suspects, found) = drain_events(node, &members.by_name);
        let outs: Vec<woadstall_membership::OutgoingMessage> =
            std::iter::from_fn(|| node.next_outgoing()).collect();
        let deadline = node.next_deadline().max(now + MS);
        let has_targets = node.connection_check_targets(now).next().is_some();
        let balancer = at as u32;
        if suspects && !std::mem::replace(&mut members.check_planned[at], true) {
            let wait = 2 * self.scenario.network.between_zones.0;
            self.event_queue.after(wait, Event::CheckSuspects(balancer));
        } else if !members.check_planned[at] && has_targets {
            members.check_planned[at] = true;
            self.event_queue
                .after(CONNECTION_CHECK_INTERVAL, Event::CheckSuspects(balancer));
        }
        if deadline < members.planned_ticks[at] {
            members.planned_ticks[at] = deadline;
            let event = Event::MemberTimer {
                balancer,
                at: deadline,
            };
            self.event_queue.at(deadline, event);
        }
        for (of, status) in found {
            let view = members.view_of_current_incarnation(of, status);
            members.observer.record_view(now, at, of, view);
        }
        for out in outs {
            let Some(to) = number(out.to).filter(|to| (*to as usize) < self.balancers.len()) else {
                continue;
            };
            self.send_member_message(at, to as usize, out.bytes, out.reliable);
        }
    }

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
            let again = members.messages.add(PendingMessage {
                to: to as u32,
                bytes: bytes.clone(),
            });
            self.event_queue
                .after(2 * delay, Event::MessageArrives(again));
        }
        let messages = members.messages.add(PendingMessage {
            to: to as u32,
            bytes,
        });
        self.event_queue
            .after(delay, Event::MessageArrives(messages));
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
            .map(|(before, node)| {
                before + node.as_ref().map_or(0, |node| node.counters().bytes_sent)
            })
            .collect();
        let now = self.event_queue.now();
        Some(members.observer.end(now, &bytes, now))
    }
}
