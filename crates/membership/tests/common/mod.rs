//! A fleet in simulated time, with faults for each ordered pair of members.

#![allow(dead_code, reason = "each test program uses some of it")]

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use woadstall_membership::{
    Event, Generation, MemberMetadata, Name, Node, OutgoingMessage, PathState, Settings, Verdict,
};

pub const MS: u64 = 1_000_000;
pub const SECOND: u64 = 1_000 * MS;
const ZONES: [&str; 3] = ["norte", "centro", "sur"];
const FIRST_PORT: u16 = 10_000;
/// Delay of a stream until lost data is retransmitted.
const RETRANSMISSION_DELAY: u64 = 200 * MS;
/// Number of datagrams that the socket of a paused process holds.
const SOCKET_BUFFER: usize = 2_000;

/// One direction between two members. All times are in nanoseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    pub is_partitioned: bool,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is delivered twice.
    pub duplication: f64,
    /// Minimum delivery time in nanoseconds.
    pub delay: u64,
    /// Maximum additional delivery time in nanoseconds.
    pub jitter: u64,
}

impl Link {
    fn draw_delay(&self, rng: &mut ChaCha8Rng) -> u64 {
        self.delay + (rng.random::<f64>() * self.jitter as f64) as u64
    }
}

enum ScheduledEvent {
    /// The next deadline of a member, ignored if a later generation of the member has started.
    Deadline { member: usize, generation: u64 },
    /// The arrival of a message.
    Delivery { to: usize, bytes: Vec<u8> },
    /// A refusal of a connection by the host of a dead member.
    Refusal { dead: usize, to: usize },
}

/// A sent message with its sender and the time of sending.
pub struct Sent {
    pub sent_at: u64,
    pub from: usize,
    pub message: OutgoingMessage,
}

pub struct SimulatedFleet {
    pub now: u64,
    pub nodes: Vec<Option<Node>>,
    pub names: Vec<Name>,
    pub settings: Settings,
    /// Whether the hosts of dead members refuse connections.
    pub hosts_refuse: bool,
    /// Time, observing member and event.
    pub events: Vec<(u64, usize, Event)>,
    /// All sent messages if `is_recording`.
    pub sent: Vec<Sent>,
    pub is_recording: bool,
    /// Total length of all sent messages in bytes.
    pub bytes_sent: u64,
    default_link: Link,
    links: BTreeMap<(usize, usize), Link>,
    /// Messages queued for each member that is paused; `None` for members that run.
    paused: Vec<Option<Vec<Vec<u8>>>>,
    /// Events by their time and, at the same time, in the order in which they were scheduled.
    scheduled_events: BTreeMap<(u64, u64), ScheduledEvent>,
    scheduled_count: u64,
    rng: ChaCha8Rng,
    zones: usize,
}

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn address(member: usize) -> SocketAddr {
    ([127, 0, 0, 1], FIRST_PORT + member as u16).into()
}

pub fn metadata(member: usize, name: Name, started_ms: u64, id: u64) -> MemberMetadata {
    metadata_in(member, name, Generation { started_ms, id }, ZONES.len())
}

fn metadata_in(member: usize, name: Name, generation: Generation, zones: usize) -> MemberMetadata {
    MemberMetadata {
        name,
        generation,
        address: address(member),
        zone: self::name(ZONES[member % zones]),
        region: None,
    }
}

impl SimulatedFleet {
    /// Creates members in three zones that start with the addresses of two seeds and have
    /// discovered each other.
    pub fn new(members: usize, seed: u64) -> Self {
        Self::in_zones(members, seed, ZONES.len())
    }

    /// Creates a fleet like [`Self::new`], in the given number of zones.
    pub fn in_zones(members: usize, seed: u64, zones: usize) -> Self {
        println!("seed {seed}");
        let mut fleet = Self {
            now: 0,
            nodes: Vec::new(),
            names: Vec::new(),
            settings: Settings::default(),
            hosts_refuse: true,
            events: Vec::new(),
            sent: Vec::new(),
            is_recording: false,
            bytes_sent: 0,
            default_link: Link {
                delay: MS / 4,
                jitter: MS,
                ..Link::default()
            },
            links: BTreeMap::new(),
            paused: Vec::new(),
            scheduled_events: BTreeMap::new(),
            scheduled_count: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            zones,
        };
        for member in 0..members {
            fleet.nodes.push(None);
            fleet.paused.push(None);
            fleet.names.push(name(&format!("b-{member}")));
            fleet.start(member, 1_000_000, member as u64 + 1);
        }
        fleet.run(10 * SECOND);
        fleet.events.clear();
        fleet
    }

    /// Starts a generation of a member.
    pub fn start(&mut self, member: usize, started_ms: u64, id: u64) {
        let generation = Generation { started_ms, id };
        let metadata = metadata_in(member, self.names[member].clone(), generation, self.zones);
        let seeds = vec![address(0), address(1)];
        let settings = self.settings.clone();
        let node = Node::new(metadata, seeds, settings, id ^ 0x5eed, self.now).unwrap();
        self.nodes[member] = Some(node);
        self.paused[member] = None;
        self.flush(member);
    }

    pub fn kill(&mut self, member: usize) {
        self.nodes[member] = None;
    }

    pub fn pause(&mut self, member: usize) {
        self.paused[member] = Some(Vec::new());
    }

    /// Resumes a paused member, which first processes all queued messages.
    pub fn resume(&mut self, member: usize) {
        for bytes in self.paused[member].take().into_iter().flatten() {
            self.deliver(member, &bytes);
        }
        if let Some(node) = &mut self.nodes[member] {
            node.tick(self.now);
        }
        self.flush(member);
    }

    pub fn set_default_link(&mut self, link: Link) {
        self.default_link = link;
    }

    pub fn link(&mut self, from: usize, to: usize) -> &mut Link {
        let default_link = self.default_link;
        self.links.entry((from, to)).or_insert(default_link)
    }

    fn link_state(&self, from: usize, to: usize) -> Link {
        let link = self.links.get(&(from, to));
        link.copied().unwrap_or(self.default_link)
    }

    pub fn restore_links(&mut self) {
        self.links.clear();
    }

    /// The node of a running member.
    pub fn node(&self, member: usize) -> &Node {
        self.nodes[member].as_ref().unwrap()
    }

    /// The node of a running member. Its messages are sent by [`flush`](Self::flush).
    pub fn node_mut(&mut self, member: usize) -> &mut Node {
        self.nodes[member].as_mut().unwrap()
    }

    fn schedule(&mut self, due_at: u64, event: ScheduledEvent) {
        self.scheduled_count += 1;
        self.scheduled_events
            .insert((due_at, self.scheduled_count), event);
    }

    fn deliver(&mut self, to: usize, bytes: &[u8]) {
        match (&mut self.paused[to], &mut self.nodes[to]) {
            (Some(queued), _) if queued.len() < SOCKET_BUFFER => queued.push(bytes.to_vec()),
            (Some(_), _) | (None, None) => {}
            (None, Some(node)) => {
                node.receive(self.now, bytes).unwrap();
                self.flush(to);
            }
        }
    }

    /// Sends a member's outgoing messages and schedules its next deadline.
    pub fn flush(&mut self, member: usize) {
        let Some(mut node) = self.nodes[member].take() else {
            return;
        };
        while let Some(message) = node.next_outgoing() {
            self.send(member, message);
        }
        while let Some(event) = node.next_event() {
            self.events.push((self.now, member, event));
        }
        let generation = node.local().generation.id;
        let deadline = node.next_deadline().max(self.now + MS / 10);
        self.nodes[member] = Some(node);
        self.schedule(deadline, ScheduledEvent::Deadline { member, generation });
    }

    fn send(&mut self, from: usize, message: OutgoingMessage) {
        let bytes = message.bytes.len();
        self.bytes_sent += bytes as u64;
        if self.is_recording {
            self.sent.push(Sent {
                sent_at: self.now,
                from,
                message: message.clone(),
            });
        }
        let max_bytes = self.settings.max_datagram_bytes;
        assert!(message.reliable || bytes <= max_bytes, "{bytes}");
        let to = usize::from(message.to.port() - FIRST_PORT);
        let (link, return_link) = (self.link_state(from, to), self.link_state(to, from));
        // All random draws are made for every message, so that one fault does not change which
        // messages other faults affect.
        let is_lost = self.rng.random::<f64>() < link.loss;
        let is_duplicated = self.rng.random::<f64>() < link.duplication;
        let first_delay = link.draw_delay(&mut self.rng);
        let second_delay = link.draw_delay(&mut self.rng);
        // A stream needs both directions and retransmits lost data.
        let is_partitioned = link.is_partitioned || message.reliable && return_link.is_partitioned;
        if is_partitioned || is_lost && !message.reliable {
            return;
        }
        let is_unreachable = to >= self.nodes.len() || self.nodes[to].is_none() && to != from;
        if is_unreachable && (to >= self.nodes.len() || self.hosts_refuse) {
            if to < self.nodes.len() && !return_link.is_partitioned {
                let refusal = ScheduledEvent::Refusal { dead: to, to: from };
                self.schedule(self.now + first_delay + second_delay, refusal);
            }
            return;
        }
        let is_retransmitted = message.reliable && is_lost;
        let first_delay = first_delay
            + if is_retransmitted {
                RETRANSMISSION_DELAY
            } else {
                0
            };
        let bytes = message.bytes;
        if is_duplicated && !message.reliable {
            let bytes = bytes.clone();
            self.schedule(
                self.now + second_delay,
                ScheduledEvent::Delivery { to, bytes },
            );
        }
        self.schedule(
            self.now + first_delay,
            ScheduledEvent::Delivery { to, bytes },
        );
    }

    /// Simulates the given duration.
    pub fn run(&mut self, duration_ns: u64) {
        let until = self.now + duration_ns;
        while let Some(entry) = self.scheduled_events.first_entry() {
            let (due_at, _) = *entry.key();
            if due_at > until {
                break;
            }
            let event = entry.remove();
            self.now = due_at;
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: ScheduledEvent) {
        let now = self.now;
        match event {
            ScheduledEvent::Delivery { to, bytes } => self.deliver(to, &bytes),
            ScheduledEvent::Refusal { dead, to } => {
                let is_paused = self.paused[to].is_some();
                if let Some(node) = self.nodes[to].as_mut().filter(|_| !is_paused) {
                    node.report_connection_refused(now, address(dead));
                    self.flush(to);
                }
            }
            ScheduledEvent::Deadline { member, generation } => {
                let is_paused = self.paused[member].is_some();
                let is_due = |node: &&mut Node| {
                    let is_current = node.local().generation.id == generation;
                    !is_paused && is_current && node.next_deadline() <= now
                };
                if let Some(node) = self.nodes[member].as_mut().filter(is_due) {
                    node.tick(now);
                    self.flush(member);
                }
            }
        }
    }

    /// The verdict of one member on another.
    pub fn verdict(&self, member: usize, observer: usize) -> Option<Verdict> {
        let node = self.nodes[observer].as_ref()?;
        node.verdict(&self.names[member], self.now)
    }

    /// State of the direction between two members as observed by the sender.
    pub fn outbound(&self, from: usize, to: usize) -> PathState {
        let (outbound, _) = self.node(from).path_states(&self.names[to], self.now);
        outbound
    }

    /// State of the direction between two members as observed by the receiver.
    pub fn inbound(&self, from: usize, to: usize) -> PathState {
        let (_, inbound) = self.node(to).path_states(&self.names[from], self.now);
        inbound
    }

    /// Whether every running member finds all other `members` alive, even if some paths to them are
    /// partitioned.
    pub fn all_alive(&self, members: impl Iterator<Item = usize> + Clone) -> bool {
        let is_alive =
            |verdict| matches!(verdict, Some(Verdict::Alive | Verdict::Partitioned { .. }));
        let running = (0..self.nodes.len()).filter(|member| self.nodes[*member].is_some());
        running.clone().all(|observer| {
            let mut others = members.clone().filter(|member| *member != observer);
            others.all(|member| is_alive(self.verdict(member, observer)))
        })
    }

    /// Names of the members declared dead by any member since the last call.
    pub fn take_deaths(&mut self) -> Vec<Name> {
        let events = self.events.drain(..);
        let deaths = events.filter_map(|(_, _, event)| match event {
            Event::Dead { name, .. } => Some(name),
            _ => None,
        });
        let mut deaths: Vec<Name> = deaths.collect();
        deaths.sort();
        deaths.dedup();
        deaths
    }
}
