//! A network of members in simulated time: what is wrong is said for each ordered pair.

#![allow(dead_code)] // each test program uses some of it

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use woadstall_membership::{
    Event, Generation, MemberMetadata, Name, Node, OutgoingMessage, Settings, Verdict,
};

pub const MS: u64 = 1_000_000;
pub const SECOND: u64 = 1_000 * MS;
const ZONES: [&str; 3] = ["norte", "centro", "sur"];

/// One direction between two.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    pub cut: bool,
    pub loss: f64,
    pub doubled: f64,
    pub delay: u64,
    pub jitter: u64,
}

enum What {
    Wake(usize, u64),
    Arrive(usize, Vec<u8>),
    Refuse(usize, usize),
}

pub struct Net {
    pub now: u64,
    pub nodes: Vec<Option<Node>>,
    pub names: Vec<Name>,
    pub settings: Settings,
    /// Whether the hosts of the dead say so.
    pub hosts_answer: bool,
    pub events: Vec<(u64, usize, Event)>,
    /// When and by whom each message was sent, where that is to be kept.
    pub sent: Vec<(u64, usize, OutgoingMessage)>,
    pub keeps_sent: bool,
    usual: Link,
    ways: BTreeMap<(usize, usize), Link>,
    paused: Vec<Option<Vec<Vec<u8>>>>,
    agenda: BTreeMap<(u64, u64), What>,
    next: u64,
    rng: ChaCha8Rng,
    pub bytes: u64,
    zones: usize,
}

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn address(of: usize) -> SocketAddr {
    ([127, 0, 0, 1], 10_000 + of as u16).into()
}

pub fn card(of: usize, name: Name, started: u64, id: u64) -> MemberMetadata {
    card_in(of, name, started, id, ZONES.len())
}

fn card_in(of: usize, name: Name, started: u64, id: u64, zones: usize) -> MemberMetadata {
    let zone = self::name(ZONES[of % zones]);
    MemberMetadata {
        name,
        life: Generation { started, id },
        at: address(of),
        zone,
        region: None,
    }
}

impl Net {
    /// So many members that know the first alone, and have found each other.
    pub fn new(count: usize, seed: u64) -> Self {
        Self::in_zones(count, seed, ZONES.len())
    }

    /// The same in so many zones.
    pub fn in_zones(count: usize, seed: u64, zones: usize) -> Self {
        println!("seed {seed}");
        let mut net = Self {
            now: 0,
            nodes: Vec::new(),
            names: Vec::new(),
            settings: Settings::default(),
            hosts_answer: true,
            events: Vec::new(),
            sent: Vec::new(),
            keeps_sent: false,
            usual: Link {
                delay: MS / 4,
                jitter: MS,
                ..Link::default()
            },
            ways: BTreeMap::new(),
            paused: Vec::new(),
            agenda: BTreeMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            bytes: 0,
            zones,
        };
        for at in 0..count {
            net.nodes.push(None);
            net.paused.push(None);
            net.names.push(name(&format!("b-{at}")));
            net.start(at, 1_000_000, at as u64 + 1);
        }
        net.run(10 * SECOND);
        net.events.clear();
        net
    }

    /// A life of a member begins.
    pub fn start(&mut self, at: usize, started: u64, id: u64) {
        let card = card_in(at, self.names[at].clone(), started, id, self.zones);
        let seeds = vec![address(0), address(1)];
        let node = Node::new(card, seeds, self.settings.clone(), id ^ 0x5eed, self.now).unwrap();
        self.nodes[at] = Some(node);
        self.paused[at] = None;
        self.after(at);
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at] = None;
    }

    /// Stands still, or goes on with all that has come meanwhile.
    pub fn pause(&mut self, at: usize, paused: bool) {
        if paused {
            self.paused[at] = Some(Vec::new());
            return;
        }
        for bytes in self.paused[at].take().into_iter().flatten() {
            self.arrive(at, &bytes);
        }
        if let Some(node) = &mut self.nodes[at] {
            node.tick(self.now);
        }
        self.after(at);
    }

    pub fn usual(&mut self, way: Link) {
        self.usual = way;
    }

    pub fn way(&mut self, from: usize, to: usize) -> &mut Link {
        let usual = self.usual;
        self.ways.entry((from, to)).or_insert(usual)
    }

    pub fn heal(&mut self) {
        self.ways.clear();
    }

    fn at(&mut self, at: u64, what: What) {
        self.next += 1;
        self.agenda.insert((at, self.next), what);
    }

    fn arrive(&mut self, at: usize, bytes: &[u8]) {
        match (&mut self.paused[at], &mut self.nodes[at]) {
            (Some(waiting), _) if waiting.len() < 2_000 => waiting.push(bytes.to_vec()),
            (Some(_), _) | (None, None) => {}
            (None, Some(node)) => {
                node.heard(self.now, bytes).unwrap();
                self.after(at);
            }
        }
    }

    /// Takes what a member has to say, and plans its next turn.
    pub fn after(&mut self, at: usize) {
        let Some(mut node) = self.nodes[at].take() else {
            return;
        };
        while let Some(out) = node.next_out() {
            let to = usize::from(out.to.port() - 10_000);
            self.bytes += out.bytes.len() as u64;
            if self.keeps_sent {
                self.sent.push((self.now, at, out.clone()));
            }
            assert!(
                out.reliable || out.bytes.len() <= self.settings.datagram,
                "{}",
                out.bytes.len()
            );
            let way = self.ways.get(&(at, to)).copied().unwrap_or(self.usual);
            let back = self.ways.get(&(to, at)).copied().unwrap_or(self.usual);
            // All draws are made, so that one fault does not change what another hits.
            let (lost, doubled) = (
                self.rng.random::<f64>() < way.loss,
                self.rng.random::<f64>() < way.doubled,
            );
            let late =
                |rng: &mut ChaCha8Rng| way.delay + (rng.random::<f64>() * way.jitter as f64) as u64;
            let (first, second) = (late(&mut self.rng), late(&mut self.rng));
            // A stream comes up by both ways, and its losses are made up for in time.
            let cut = way.cut || out.reliable && back.cut;
            if cut || lost && !out.reliable {
                continue;
            }
            if to >= self.nodes.len() || self.nodes[to].is_none() && to != at && self.hosts_answer {
                if to < self.nodes.len() && !back.cut {
                    self.at(self.now + first + second, What::Refuse(at, to));
                }
                continue;
            }
            let first = if out.reliable && lost {
                first + 200 * MS
            } else {
                first
            };
            if doubled && !out.reliable {
                self.at(self.now + second, What::Arrive(to, out.bytes.clone()));
            }
            self.at(self.now + first, What::Arrive(to, out.bytes));
        }
        while let Some(event) = node.next_event() {
            self.events.push((self.now, at, event));
        }
        let (wake, life) = (node.wake_at(), node.me().life.id);
        self.nodes[at] = Some(node);
        self.at(wake.max(self.now + MS / 10), What::Wake(at, life));
    }

    /// Lets time pass.
    pub fn run(&mut self, time: u64) {
        let until = self.now + time;
        while let Some(((at, _), _)) = self
            .agenda
            .first_key_value()
            .filter(|((at, _), _)| *at <= until)
        {
            self.now = *at;
            let Some((_, what)) = self.agenda.pop_first() else {
                break;
            };
            match what {
                What::Arrive(to, bytes) => self.arrive(to, &bytes),
                What::Refuse(at, by) => {
                    if let Some(node) = self.nodes[at]
                        .as_mut()
                        .filter(|_| self.paused[at].is_none())
                    {
                        node.refused(self.now, address(by));
                        self.after(at);
                    }
                }
                What::Wake(at, life) => {
                    let (now, paused) = (self.now, self.paused[at].is_some());
                    let due = |node: &&mut Node| node.me().life.id == life && node.wake_at() <= now;
                    if let Some(node) = self.nodes[at].as_mut().filter(|_| !paused).filter(due) {
                        node.tick(now);
                        self.after(at);
                    }
                }
            }
        }
        self.now = until;
    }

    pub fn state(&self, of: usize, by: usize) -> Option<Verdict> {
        self.nodes[by].as_ref()?.state(&self.names[of], self.now)
    }

    /// How many live members hold each of those that `of` says for alive.
    pub fn all_alive(&self, of: impl Iterator<Item = usize> + Clone) -> bool {
        let live = (0..self.nodes.len()).filter(|at| self.nodes[*at].is_some());
        live.clone().all(|by| {
            of.clone().filter(|of| *of != by).all(|of| {
                matches!(
                    self.state(of, by),
                    Some(Verdict::Alive | Verdict::Partitioned { .. })
                )
            })
        })
    }

    /// Who was called dead, since the last look, by those that were there.
    pub fn dead(&mut self) -> Vec<Name> {
        let dead = self
            .events
            .drain(..)
            .filter_map(|(_, _, event)| match event {
                Event::Dead { name, .. } => Some(name),
                _ => None,
            });
        let mut dead: Vec<Name> = dead.collect();
        dead.sort();
        dead.dedup();
        dead
    }
}
