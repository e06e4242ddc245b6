//! Days as lists of steps: drawn from a seed, played, and shrunk to the steps that a failure needs.

use crate::cluster::{Cluster, Layout};
use crate::network::Weather;
use serde_json::json;
use std::collections::BTreeSet;
use woadstall_control::command::Command;
use woadstall_control::machine::CallResponse;
use woadstall_control::registry::{Registration, UpstreamStatus};

/// What happens in a day.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(
    missing_docs,
    reason = "the fields are named in the text of their variant"
)]
pub enum Event {
    /// An operator sends a configuration on top of the newest version that it knows; `race` sends another one on the same
    /// version at the next machine.
    Put { place: usize, race: bool },
    /// The last configuration is sent once more, unchanged.
    PutAgain { place: usize },
    /// A zone is evacuated.
    Evacuate { place: usize, zone: u8 },
    /// A zone is taken back.
    Return { place: usize, zone: u8 },
    /// The configuration is read.
    Read { place: usize },
    /// An upstream says that it is there.
    Ready { place: usize, upstream: u8 },
    /// An upstream says that it drains.
    Drain { place: usize, upstream: u8 },
    /// An upstream leaves, perhaps without having drained.
    Leave { place: usize, upstream: u8 },
    /// A process is killed.
    Kill { place: usize },
    /// A process is told to end, and ends a little later.
    Terminate { place: usize },
    /// A process starts.
    Start { place: usize },
    /// All processes lose power.
    PowerOff,
    /// All processes start.
    StartAll,
    /// A machine loses its disk and starts again.
    Wipe { place: usize },
    /// All lose power, one its disk; then all start.
    WipeAndPowerOff { place: usize },
    /// A process stands still.
    Freeze { place: usize, time: u64 },
    /// A disk stands still.
    StallDisk { place: usize, time: u64 },
    /// A disk refuses all writes.
    RefuseWrites { place: usize, time: u64 },
    /// A machine is cut off from all others, or in one direction.
    CutOff {
        place: usize,
        to_it: bool,
        from_it: bool,
    },
    /// The machines are cut into two halves.
    Halves { first: usize },
    /// Two machines can't reach each other.
    Bridge { one: usize, other: usize },
    /// All cuts end.
    Heal,
    /// All troubles end, and all processes run.
    Calm,
    /// Time passes.
    Wait { time: u64 },
}

/// What a day may hold.
#[derive(Clone, Copy, Debug)]
pub struct Kinds {
    /// Processes are killed, told to end and frozen.
    pub processes: bool,
    /// Links are cut.
    pub cuts: bool,
    /// Disks stall.
    pub stalls: bool,
    /// Disks are lost, as many at a time as the group bears, each with time to catch up.
    pub wipes: bool,
    /// All lose power.
    pub power: bool,
}

/// All of them.
pub const ALL: Kinds = Kinds {
    processes: true,
    cuts: true,
    stalls: true,
    wipes: true,
    power: true,
};

/// Milliseconds that a machine with a new disk has before the next loss.
const CATCH_UP: u64 = 9_000;
/// Milliseconds after which all is well again behind the last trouble.
const RECOVERY: u64 = 15_000;
/// Zones of the deployment that are evacuated, and upstreams that are there.
const ZONES: u8 = 3;
const UPSTREAMS: u8 = 12;

/// A drawn day.
pub fn draw(seed: u64, layout: Layout, kinds: Kinds, steps: usize) -> Vec<Event> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut events = Vec::new();
    while events.len() < steps {
        let place = random.usize(..layout.machines);
        match random.u8(..32) {
            0..=5 => events.push(Event::Put {
                place,
                race: random.u8(..4) == 0,
            }),
            6..=7 => events.push(Event::PutAgain { place }),
            8 => events.push(Event::Evacuate {
                place,
                zone: random.u8(..ZONES),
            }),
            9 => events.push(Event::Return {
                place,
                zone: random.u8(..ZONES),
            }),
            10..=11 => events.push(Event::Read { place }),
            12..=13 => events.push(Event::Ready {
                place,
                upstream: random.u8(..UPSTREAMS),
            }),
            14 => events.push(Event::Drain {
                place,
                upstream: random.u8(..UPSTREAMS),
            }),
            15 => events.push(Event::Leave {
                place,
                upstream: random.u8(..UPSTREAMS),
            }),
            16 if kinds.processes => events.push(Event::Kill { place }),
            17 if kinds.processes => events.push(Event::Terminate { place }),
            18..=19 => events.push(Event::StartAll),
            20 if kinds.processes => events.push(Event::Freeze {
                place,
                time: random.u64(200..20_000),
            }),
            21 if kinds.stalls && random.bool() => {
                events.push(Event::RefuseWrites {
                    place,
                    time: random.u64(200..8_000),
                });
            }
            21 if kinds.stalls => events.push(Event::StallDisk {
                place,
                time: random.u64(200..8_000),
            }),
            22 if kinds.cuts => {
                let way = random.u8(..3);
                events.push(Event::CutOff {
                    place,
                    to_it: way != 0,
                    from_it: way != 1,
                });
            }
            23 if kinds.cuts => events.push(Event::Halves {
                first: random.usize(1..layout.machines),
            }),
            24 if kinds.cuts => {
                let other = (place + random.usize(1..layout.machines)) % layout.machines;
                events.push(Event::Bridge { one: place, other });
            }
            25..=26 => events.push(Event::Heal),
            27 if kinds.power => events.extend([Event::PowerOff, Event::StartAll]),
            28 if kinds.wipes && random.u8(..2) == 0 => {
                // A disk is lost while nothing else is, and the next loss comes once it has caught up.
                let loss = match kinds.power && random.bool() {
                    true => Event::WipeAndPowerOff { place },
                    false => Event::Wipe { place },
                };
                let all_well = [Event::Calm, Event::Wait { time: CATCH_UP }];
                events.extend(all_well.clone());
                events.extend([loss]);
                events.extend(all_well);
            }
            _ => events.push(Event::Wait {
                time: random.u64(10..3_000),
            }),
        }
        events.push(Event::Wait {
            time: random.u64(1..250),
        });
    }
    events
}

/// A configuration that differs by its version and a mark.
pub fn configuration(generation: u64, mark: u64) -> Vec<u8> {
    let document = json!({
        "generation": generation, "services": [{ "name": "s" }],
        "routes": [{
            "name": "r", "host": "h", "path_prefix": "/", "route_type": "safe", "timeout_ms": generation + mark,
            "service": "s",
        }],
    });
    serde_json::to_vec(&document).unwrap_or_default()
}

/// An order that puts the configuration of a version on top of another one.
pub fn put(base: u64, generation: u64) -> Command {
    Command::Put {
        base,
        body: configuration(generation, 0),
    }
}

/// An upstream's registration.
pub fn registration(id: &str, sequence: u64, status: UpstreamStatus) -> Registration {
    Registration {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "10.1.0.1:80".to_owned(),
        zone: "zone-0".to_owned(),
        capacity: 4,
        sequence,
        status,
        slow_start_remaining_ms: 0,
        remaining_ms: 0,
        age_ms: 0,
    }
}

/// Those who call: an operator that builds on what it knows to be in force, and upstreams.
#[derive(Debug, Default)]
struct Operator {
    /// Upstreams that have said that they drain.
    drained: BTreeSet<String>,
    /// The versions that it sent, by call.
    sent: Vec<(u64, u64)>,
    newest: u64,
    mark: u64,
    last: Option<Command>,
}

impl Operator {
    fn next(&mut self) -> Command {
        self.mark += 1;
        let generation = self.newest + 2;
        let command = Command::Put {
            base: self.newest,
            body: configuration(generation, self.mark),
        };
        self.last = Some(command.clone());
        command
    }

    fn learn(&mut self, cluster: &Cluster) {
        for (token, generation) in &self.sent {
            match cluster.answers.get(token) {
                Some(CallResponse::Acknowledged) => self.newest = self.newest.max(*generation),
                Some(CallResponse::Conflict { current }) => self.newest = self.newest.max(*current),
                _ => {}
            }
        }
    }

    fn send(&mut self, cluster: &mut Cluster, place: usize, command: Command) {
        let generation = self.newest + 2;
        let token = cluster.order(place, command);
        self.sent.push((token, generation));
    }
}

/// Plays a day, heals everything, and tells what did not hold.
pub fn play(
    seed: u64,
    layout: Layout,
    weather: Weather,
    events: &[Event],
) -> Result<Cluster, String> {
    play_in(Cluster::with(seed, layout, weather), layout, events)
}

/// Plays a day with machines that were just started.
pub fn play_in(mut cluster: Cluster, layout: Layout, events: &[Event]) -> Result<Cluster, String> {
    let mut operator = Operator::default();
    let mut sequence = 0;
    cluster.run(6_000);
    (0..layout.machines).for_each(|place| cluster.subscribe(place, 1));
    for event in events {
        operator.learn(&cluster);
        sequence += 1;
        happen(&mut cluster, &mut operator, sequence, event);
        if let Some(violation) = cluster.oracle.violation.take() {
            return Err(violation);
        }
    }
    recover(&mut cluster, &mut operator, layout)?;
    Ok(cluster)
}

/// All troubles end: within a bounded time an order is taken, and each machine answers reads.
fn recover(cluster: &mut Cluster, operator: &mut Operator, layout: Layout) -> Result<(), String> {
    cluster.calm();
    cluster.run(RECOVERY + cluster.network.weather.strays);
    operator.learn(cluster);
    for _ in 0..3 {
        let command = operator.next();
        operator.send(cluster, 0, command);
        cluster.run(2_000);
        operator.learn(cluster);
    }
    let (token, _) = operator.sent[operator.sent.len() - 1];
    if cluster.answers.get(&token) != Some(&CallResponse::Acknowledged) {
        return Err(format!(
            "no order is taken after all troubles: {:?}",
            cluster.answers.get(&token)
        ));
    }
    for place in 0..layout.machines {
        let token = cluster.read(place);
        cluster.run(1_100);
        if !matches!(cluster.answers.get(&token), Some(CallResponse::Document(_))) {
            return Err(format!(
                "machine {place} can't tell the configuration after all troubles"
            ));
        }
    }
    cluster.check_all();
    cluster.oracle.violation.take().map_or(Ok(()), Err)
}

fn happen(cluster: &mut Cluster, operator: &mut Operator, sequence: u64, event: &Event) {
    let id = |upstream: u8| format!("i-{upstream}");
    let zone = |zone: u8| format!("zone-{zone}");
    match *event {
        Event::Put { place, race } => {
            let command = operator.next();
            operator.send(cluster, place, command);
            if race {
                let command = operator.next();
                operator.send(cluster, (place + 1) % cluster.len(), command);
            }
        }
        Event::PutAgain { place } => {
            if let Some(command) = operator.last.clone() {
                cluster.order(place, command);
            }
        }
        Event::Evacuate {
            place,
            zone: number,
        } => {
            cluster.order(place, Command::Evacuate { zone: zone(number) });
        }
        Event::Return {
            place,
            zone: number,
        } => {
            cluster.order(place, Command::EndEvacuation { zone: zone(number) });
        }
        Event::Read { place } => drop(cluster.read(place)),
        Event::Ready { place, upstream } => {
            let id = format!("{}-{}", id(upstream), sequence / 64);
            // One that drains says nothing else any more.
            if !operator.drained.contains(&id) {
                cluster.register(place, registration(&id, sequence, UpstreamStatus::Ready));
            }
        }
        Event::Drain { place, upstream } => {
            let id = format!("{}-{}", id(upstream), sequence / 64);
            operator.drained.insert(id.clone());
            cluster.register(place, registration(&id, sequence, UpstreamStatus::Draining));
        }
        Event::Leave { place, upstream } => {
            let id = format!("{}-{}", id(upstream), sequence / 64);
            cluster.deregister(place, &id);
        }
        Event::Kill { place } => cluster.kill(place),
        Event::Terminate { place } => {
            cluster.announce_stop(place);
            cluster.run(600);
            cluster.stop(place);
        }
        Event::Start { place } => cluster.start(place),
        Event::PowerOff => (0..cluster.len()).for_each(|place| cluster.kill(place)),
        Event::StartAll => (0..cluster.len()).for_each(|place| cluster.start(place)),
        Event::Wipe { place } => {
            cluster.wipe(place);
            cluster.start(place);
        }
        Event::WipeAndPowerOff { place } => {
            (0..cluster.len())
                .filter(|other| *other != place)
                .for_each(|other| cluster.kill(other));
            cluster.wipe(place);
            (0..cluster.len()).for_each(|other| cluster.start(other));
        }
        Event::Freeze { place, time } => cluster.freeze(place, time),
        Event::RefuseWrites { place, time } => cluster.refuse_writes(place, time),
        Event::StallDisk { place, time } => cluster.stall_disk(place, time),
        Event::CutOff {
            place,
            to_it,
            from_it,
        } => {
            for other in (0..cluster.len()).filter(|other| *other != place) {
                if to_it {
                    cluster.network.cut(other, place);
                }
                if from_it {
                    cluster.network.cut(place, other);
                }
            }
        }
        Event::Halves { first } => {
            for one in 0..first {
                for other in first..cluster.len() {
                    cluster.network.cut_both(one, other);
                }
            }
        }
        Event::Bridge { one, other } => {
            cluster.network.cut_both(one, other);
        }
        Event::Heal => cluster.heal(),
        Event::Calm => cluster.calm(),
        Event::Wait { time } => cluster.run(time),
    }
}

/// The steps that a failing day needs: each run of steps is left out that the failure does without.
pub fn shrink(seed: u64, layout: Layout, weather: Weather, events: &[Event]) -> Vec<Event> {
    let fails = |events: &[Event]| play(seed, layout, weather, events).is_err();
    let mut needed = events.to_vec();
    let mut size = needed.len().div_ceil(2);
    while size > 0 {
        let mut at = 0;
        while at < needed.len() {
            let end = needed.len().min(at + size);
            let without: Vec<Event> = [&needed[..at], &needed[end..]].concat();
            if fails(&without) {
                needed = without;
            } else {
                at += size;
            }
        }
        size /= 2;
    }
    needed
}

/// Plays a drawn day. A failing one is shrunk and told as a list of its steps.
pub fn hunt(
    seed: u64,
    layout: Layout,
    weather: Weather,
    kinds: Kinds,
    steps: usize,
) -> Result<Cluster, String> {
    let events = draw(seed, layout, kinds, steps);
    play(seed, layout, weather, &events).map_err(|violation| {
        let needed = shrink(seed, layout, weather, &events);
        let steps: Vec<String> = needed.iter().map(|event| format!("  {event:?}")).collect();
        format!(
            "seed {seed}: {violation}\nit needs these {} steps:\n{}",
            needed.len(),
            steps.join("\n")
        )
    })
}
