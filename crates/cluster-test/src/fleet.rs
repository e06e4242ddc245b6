//! Everything of a scenario but its callers: nodos, balancers with their agents, the ways between them, the list.

use crate::agents::{Agent, Turns};
use crate::balancers::{Balancer, Port, address, free};
use crate::keeper::{Keeper, Process};
use crate::members::Mates;
use crate::sabotage::{Proxy, Sabotage};
use crate::ways::{self, Ends, InForce, between};
use rand::RngExt;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use woadstall_emulator::{Actor, FaultKind, MemberLink, Scenario, stream};
use woadstall_fault_proxy::FaultProxy;
use woadstall_load_test::callers::Door;
use woadstall_load_test::judge::Judge;
use woadstall_load_test::lock;
use woadstall_load_test::nodo::{Listing, Next, Socketed};
use woadstall_load_test::script::Script;
use woadstall_load_test::settings::Place;

/// What a process that begins needs to hear its list, at the most, once its agent has it.
const HEARS: Duration = Duration::from_secs(1);

/// What a fault hits, by numbers among all, in their order.
#[derive(Clone, Debug)]
pub struct Hit {
    pub nodos: Vec<u32>,
    pub balancers: Vec<u32>,
}

/// Waits for all to end, and ends with the first that failed.
pub async fn all_end(mut all: JoinSet<Result<(), String>>) -> Result<(), String> {
    while let Some(ended) = all.join_next().await {
        ended.map_err(|error| error.to_string())??;
    }
    Ok(())
}

/// See the module's documentation.
pub struct Fleet {
    pub scenario: Arc<Scenario>,
    pub script: Script,
    pub judge: Arc<Judge>,
    pub seed: u64,
    pub fabric: FaultProxy,
    pub keeper: Arc<Keeper>,
    pub nodos: Vec<Arc<Socketed>>,
    pub balancers: Vec<Arc<Balancer>>,
    /// The first nodo of each tier, and behind the last.
    bounds: Vec<usize>,
    /// The lists that there were, with the times from which on they held.
    history: Mutex<Vec<(Instant, Vec<Listing>)>>,
    /// How many faults silence the agents now.
    pub silent: Mutex<u32>,
    /// What each fault hits, while it is in force.
    pub in_force: Mutex<Vec<Option<Hit>>>,
    /// Membership among the balancers, if there is any.
    pub mates: Option<Mates>,
    sabotage: Option<Sabotage>,
    _proxies: Vec<Proxy>,
}

impl Fleet {
    /// Starts all nodos and balancers, those last: they find everything in its place.
    pub async fn start(
        scenario: Arc<Scenario>,
        judge: Arc<Judge>,
        keeper: Arc<Keeper>,
        (seed, start): (u64, Instant),
        sabotage: Option<Sabotage>,
    ) -> Result<Self, String> {
        let fabric = FaultProxy::new(seed);
        let (mut nodos, mut bounds) = (Vec::new(), vec![0]);
        for (at, tier) in scenario.tier.iter().enumerate() {
            for number in 0..tier.upstreams {
                let numbers = (number, nodos.len() as u32);
                let nodo = Socketed::start(&scenario, &judge, start, at, numbers, seed).await;
                nodos.push(nodo.map_err(|error| format!("nodo {}: {error}", numbers.1))?);
            }
            bounds.push(nodos.len());
        }
        let mut proxies = Vec::new();
        let targets = addresses(&nodos, sabotage, &mut proxies).await?;
        let first: Vec<Listing> = nodos.iter().map(|nodo| nodo.listing()).collect();
        let asked = scenario.registry.queries.clone();
        let turns = asked.map(|asked| Arc::new(Turns::new(asked)));
        let mut fleet = Self {
            history: Mutex::new(vec![(Instant::now(), first)]),
            silent: Mutex::new(0),
            in_force: Mutex::new(vec![None; scenario.fault.len()]),
            mates: None,
            balancers: Vec::new(),
            script: Script::new(scenario.clone(), start),
            scenario,
            judge,
            seed,
            fabric,
            keeper,
            nodos,
            bounds,
            sabotage,
            _proxies: Vec::new(),
        };
        for place in fleet.places() {
            let added = fleet
                .add(place, &targets, turns.clone(), &mut proxies)
                .await;
            fleet.balancers.push(Arc::new(added?));
        }
        fleet._proxies = proxies;
        if let Some(members) = &fleet.scenario.members {
            let zones = &fleet.scenario.zones;
            let mates = Mates::new(
                members,
                (&fleet.fabric, &fleet.balancers),
                (seed, start),
                zones,
            )
            .await;
            fleet.mates = Some(mates.map_err(|error| format!("members: {error}"))?);
        }
        fleet.link_tiers();
        fleet.set_ways();
        let all: Vec<u32> = (0..fleet.balancers.len() as u32).collect();
        fleet.start_balancers(&all, Duration::ZERO).await?;
        Ok(fleet)
    }

    /// Tier, zone and the nodo beside, of each balancer, in the order in which the lab numbers them.
    fn places(&self) -> Vec<(usize, u8, Option<u32>)> {
        let (scenario, mut places) = (&self.scenario, Vec::new());
        for (at, tier) in scenario.tier.iter().enumerate() {
            if !tier.sidecar {
                let alone = |number| (at, scenario.zone_in_turn(number), None);
                places.extend((0..tier.balancers).map(alone));
                continue;
            }
            let Some(above) = scenario.caller_of(at) else {
                continue;
            };
            let beside = |host: u32| (at, self.nodos[host as usize].listing().zone, Some(host));
            places.extend(self.of_tier(above).map(beside));
        }
        places
    }

    async fn add(
        &self,
        (tier, zone, beside): (usize, u8, Option<u32>),
        targets: &[SocketAddr],
        turns: Option<Arc<Turns>>,
        proxies: &mut Vec<Proxy>,
    ) -> Result<Balancer, String> {
        let number = self.balancers.len() as u32;
        let (me, mine) = (ways::balancer(number), ways::agent(number));
        let failed = |error: std::io::Error| format!("balancer {number}: {error}");
        let listen = address(number).await.map_err(failed)?;
        let mut ways = Vec::new();
        for host in self.of_tier(tier) {
            let way = self
                .fabric
                .proxy_tcp(me, ways::nodo(host), targets[host as usize])
                .await;
            ways.push(way.map_err(failed)?);
        }
        let ahead_ms = self.ahead_ms(number);
        let first = self.entries(tier, &ways, ahead_ms, &self.listings());
        let agent = Agent::start(number, self.seed, first, turns)
            .await
            .map_err(failed)?;
        let agent_at = self
            .fabric
            .proxy_tcp(me, mine, agent.address)
            .await
            .map_err(failed)?;
        // What stands beside a nodo is called by it alone, without a network between.
        let door = match beside {
            Some(_) => listen,
            None => {
                let mut target = listen;
                if let Some(kind) = self.sabotage.filter(|kind| kind.is_before_balancers()) {
                    let proxy = Proxy::start(kind, listen).await.map_err(failed)?;
                    target = proxy.address;
                    proxies.push(proxy);
                }
                self.fabric
                    .proxy_tcp(ways::callers(zone), me, target)
                    .await
                    .map_err(failed)?
            }
        };
        let door = Door::new(door, zone);
        door.open.store(false, Ordering::Relaxed);
        let name = format!("balancer-{number:03}");
        let process = Process::new(&self.keeper, name).map_err(failed)?;
        let place = Place {
            tier,
            zone,
            number,
            listen,
        };
        let mut added = Balancer::new(
            place,
            beside,
            door,
            process,
            (agent, agent_at),
            ways,
            ahead_ms,
        );
        if self.scenario.members.is_some() {
            added.admin = Some(free(listen.ip(), Port::Operators).await.map_err(failed)?);
        }
        Ok(added)
    }

    /// By how much a balancer's clock is ahead: the lab's draw.
    fn ahead_ms(&self, number: u32) -> i64 {
        let offset = self.scenario.clocks.offset.0 as i64;
        let mut clock = stream(self.seed, Actor::Balancer, number);
        if offset > 0 {
            clock.random_range(-offset..=offset) / 1_000_000
        } else {
            0
        }
    }

    /// Nodos that call a next tier learn by whom.
    fn link_tiers(&self) {
        for (at, tier) in self.scenario.tier.iter().enumerate() {
            let Some(calls) = &tier.calls else { continue };
            let Some(next) = self.scenario.tier(&calls.tier) else {
                continue;
            };
            let senders = || {
                self.balancers
                    .iter()
                    .filter(|balancer| balancer.place.tier == next)
            };
            for host in self.bounds[at]..self.bounds[at + 1] {
                let own = senders().find(|balancer| balancer.beside == Some(host as u32));
                let doors = match own {
                    Some(own) => vec![own.door.clone()],
                    None => senders().map(|balancer| balancer.door.clone()).collect(),
                };
                self.nodos[host].calls(Next {
                    mean: calls.mean,
                    doors,
                });
            }
        }
    }

    /// Where callers call.
    pub fn doors(&self) -> Vec<Door> {
        let first = self
            .balancers
            .iter()
            .filter(|balancer| balancer.place.tier == 0);
        first.map(|balancer| balancer.door.clone()).collect()
    }

    /// Sets all ways as the faults that are in force have them.
    pub fn set_ways(&self) {
        let in_force = lock(&self.in_force);
        let faults = || self.faults(&in_force, |hit| &hit.nodos);
        for balancer in &self.balancers {
            let Place {
                tier, zone, number, ..
            } = balancer.place;
            for host in self.bounds[tier]..self.bounds[tier + 1] {
                let (me, other) = (ways::balancer(number), ways::nodo(host as u32));
                let ends = |there| Ends {
                    balancer: zone,
                    nodo: self.nodos[host].listing().zone,
                    host: host as u32,
                    there,
                };
                self.fabric.set_conditions(
                    me,
                    other,
                    between(&self.scenario, ends(true), faults()),
                );
                self.fabric.set_conditions(
                    other,
                    me,
                    between(&self.scenario, ends(false), faults()),
                );
            }
        }
        if let Some(mates) = &self.mates {
            mates.set_ways(&self.fabric, &self.scenario, |from, to| {
                self.among(&in_force, from, to)
            });
        }
    }

    /// The faults that are in force, each with what it hits of a kind.
    fn faults<'a>(
        &'a self,
        in_force: &'a [Option<Hit>],
        of: impl Fn(&Hit) -> &[u32] + 'a,
    ) -> impl Iterator<Item = InForce<'a>> {
        let hits = self.scenario.fault.iter().zip(in_force);
        hits.filter_map(move |(fault, hit)| Some((fault, of(hit.as_ref()?))))
    }

    /// What goes from one balancer to another, under what is in force.
    pub fn among(&self, in_force: &[Option<Hit>], from: usize, to: usize) -> MemberLink {
        let end = |of: usize| (of as u32, self.balancers[of].place.zone);
        let faults = self.faults(in_force, |hit| &hit.balancers);
        self.scenario
            .among(end(from), end(to), self.balancers.len(), faults)
    }

    /// The list as a balancer is to find it.
    fn list_for(&self, balancer: &Balancer, list: &[Listing]) -> Vec<Value> {
        self.entries(balancer.place.tier, &balancer.ways, balancer.ahead_ms, list)
    }

    /// The nodos of a tier as one finds them at some addresses, whose clock is ahead by so much.
    fn entries(
        &self,
        tier: usize,
        ways: &[SocketAddr],
        ahead_ms: i64,
        list: &[Listing],
    ) -> Vec<Value> {
        let mine = &list[self.bounds[tier]..self.bounds[tier + 1]];
        let entry = |(listing, at): (&Listing, &SocketAddr)| {
            listing.seen_from(ahead_ms).entry(&self.scenario.zones, *at)
        };
        mine.iter().zip(ways).map(entry).collect()
    }

    fn listings(&self) -> Vec<Listing> {
        self.nodos.iter().map(|nodo| nodo.listing()).collect()
    }

    /// Tells a new list to all agents. Returns when the last of them has it.
    fn tell(&self) -> Instant {
        let list = self.listings();
        let rev = {
            let mut history = lock(&self.history);
            history.push((Instant::now(), list.clone()));
            history.len() as u64
        };
        // Those of the first half stand in all zones.
        let half = self.balancers.len() as u32 / 2;
        let deaf = |number: u32| self.sabotage == Some(Sabotage::Deaf) && number < half;
        let due = self
            .balancers
            .iter()
            .map(|balancer| match deaf(balancer.place.number) {
                true => Instant::now(),
                false => balancer.agent.tell(
                    rev,
                    self.list_for(balancer, &list),
                    &self.scenario.registry,
                ),
            });
        due.max().unwrap_or_else(Instant::now)
    }

    /// A nodo is listed otherwise from now on.
    pub fn list(&self, nodo: u32, state: &'static str) {
        let drains = state == "terminating";
        self.nodos[nodo as usize].list(state, None);
        let due = self.tell();
        // While agents say nothing, nobody is told.
        if drains && *lock(&self.silent) == 0 {
            self.nodos[nodo as usize].list(state, Some(due));
        }
    }

    /// Agents fall silent, or one fault that silenced them is over. What they have kept back counts as told then.
    pub fn silence(&self, silent: bool) {
        let mut count = lock(&self.silent);
        *count = if silent { *count + 1 } else { *count - 1 };
        self.balancers
            .iter()
            .for_each(|balancer| balancer.agent.silence(*count > 0));
        for nodo in self.nodos.iter().filter(|_| *count == 0) {
            if nodo.listing().state == "terminating" {
                nodo.list("terminating", Some(Instant::now()));
            }
        }
    }

    /// A nodo's process dies, and that of a balancer beside it.
    pub fn kill_nodo(&self, nodo: u32) {
        self.fabric.set_running(ways::nodo(nodo), false);
        self.nodos[nodo as usize].kill();
        self.beside(nodo)
            .for_each(|balancer| self.kill_balancer(balancer.place.number));
    }

    /// A nodo's process is started anew, and that of a balancer beside it.
    pub async fn boot_nodo(&self, nodo: u32) -> Result<(), String> {
        self.nodos[nodo as usize].clone().boot().await;
        self.fabric.set_running(ways::nodo(nodo), true);
        self.list(nodo, "in_service");
        let beside: Vec<u32> = self
            .beside(nodo)
            .map(|balancer| balancer.place.number)
            .collect();
        self.start_balancers(&beside, Duration::ZERO).await
    }

    fn beside(&self, nodo: u32) -> impl Iterator<Item = &Arc<Balancer>> {
        self.balancers
            .iter()
            .filter(move |balancer| balancer.beside == Some(nodo))
    }

    /// A balancer's process is killed.
    pub fn kill_balancer(&self, number: u32) {
        let balancer = &self.balancers[number as usize];
        balancer.kill();
        // What stands beside a nodo is not called through a relay; saying so of it does no harm.
        self.fabric.set_running(ways::balancer(number), false);
        self.ends_as_member(number);
    }

    /// A balancer's process has ended, or is about to.
    pub fn ends_as_member(&self, number: u32) {
        if let Some(mates) = &self.mates {
            self.fabric.set_running(ways::member(number), false);
            mates.runs(number, false);
        }
    }

    /// Starts balancers that do not run, all at once, with the list that there was so long ago.
    pub async fn start_balancers(&self, numbers: &[u32], stale: Duration) -> Result<(), String> {
        let then = Instant::now()
            .checked_sub(stale)
            .unwrap_or(self.script.start);
        let ((rev, list), (last_rev, last)) = {
            let history = lock(&self.history);
            let at = history
                .partition_point(|(since, _)| *since <= then)
                .saturating_sub(1);
            let last = history.len() - 1;
            (
                (at as u64 + 1, history[at].1.clone()),
                (last as u64 + 1, history[last].1.clone()),
            )
        };
        let (mut starting, mut told) = (JoinSet::new(), Instant::now());
        for &number in numbers {
            let balancer = self.balancers[number as usize].clone();
            let known = self.list_for(&balancer, &list);
            if rev < last_rev {
                // Its agent has no more than it has, and hears of the rest in its own time.
                balancer.agent.begin(rev, known.clone());
                let last = self.list_for(&balancer, &last);
                told = told.max(balancer.agent.tell(last_rev, last, &self.scenario.registry));
            }
            self.fabric.set_running(ways::balancer(number), true);
            if let Some(mates) = &self.mates {
                let written = mates.write(&self.scenario, &balancer);
                written.map_err(|error| format!("{}: {error}", balancer.process.name))?;
                self.fabric.set_running(ways::member(number), true);
                mates.runs(number, true);
            }
            let (scenario, seed) = (self.scenario.clone(), self.seed);
            let keeper = self.keeper.clone();
            starting.spawn(async move { balancer.start(&keeper, &scenario, seed, &known).await });
        }
        // A process that has not heard its list has not been told of drains.
        for nodo in self
            .nodos
            .iter()
            .filter(|nodo| nodo.listing().state == "terminating")
        {
            nodo.told_no_sooner(told + HEARS);
        }
        all_end(starting).await
    }

    /// What the nodos of each tier can do at present, in workers of sound warm ones, and the attempts that each
    /// nodo got since the last look.
    pub fn look(&self) -> (Vec<f64>, Vec<u32>) {
        let (speeds, attempts): (Vec<f64>, Vec<u32>) =
            self.nodos.iter().map(|nodo| nodo.look()).unzip();
        (
            self.bounds
                .windows(2)
                .map(|tier| speeds[tier[0]..tier[1]].iter().sum())
                .collect(),
            attempts,
        )
    }

    /// The nodos of a tier.
    pub fn of_tier(&self, tier: usize) -> impl Iterator<Item = u32> + use<> {
        self.bounds[tier] as u32..self.bounds[tier + 1] as u32
    }

    /// How many balancers and nodos run.
    pub fn up(&self) -> (u64, u64) {
        let open = |balancer: &&Arc<Balancer>| balancer.door.open.load(Ordering::Relaxed);
        let balancers = self.balancers.iter().filter(open).count();
        (
            balancers as u64,
            self.nodos.iter().filter(|nodo| nodo.is_alive()).count() as u64,
        )
    }

    /// Whether a fault is one of the ways between balancers and nodos.
    pub fn is_of_ways(what: &FaultKind) -> bool {
        matches!(
            what,
            FaultKind::PartitionTo
                | FaultKind::PartitionFrom
                | FaultKind::SlowLink(_)
                | FaultKind::Link(_)
                | FaultKind::Between(_)
        )
    }
}

/// Where balancers are led to find each nodo.
async fn addresses(
    nodos: &[Arc<Socketed>],
    sabotage: Option<Sabotage>,
    proxies: &mut Vec<Proxy>,
) -> Result<Vec<SocketAddr>, String> {
    let mut addresses = Vec::new();
    for nodo in nodos {
        let mut address = nodo.address;
        if let Some(kind) = sabotage.filter(|kind| kind.is_before_nodos()) {
            let proxy = Proxy::start(kind, address)
                .await
                .map_err(|error| error.to_string())?;
            address = proxy.address;
            proxies.push(proxy);
        }
        addresses.push(address);
    }
    Ok(addresses)
}
