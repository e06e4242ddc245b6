//! Reads the change feed, from two control machines at a time: what one that is cut off does not hear of, the other one
//! tells. Each feed holds all commands behind its beginning in order, so whichever tells of one first may be followed.

use super::Front;
use super::sources::Sources;
use crate::link;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{io, mem};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use woadstall_control::feed::FeedEvent;
use woadstall_control::shards::hash;
use woadstall_control::state::ControlState;
use woadstall_control::wire::Packet;
use woadstall_inbound::lock;

/// Feeds that are read at a time.
const FEEDS: usize = 2;
/// A machine that has told nothing for so long is left: it tells its status twice a second.
const SILENT: Duration = Duration::from_millis(1_800);
/// How many statuses without a quorum a machine may tell before it is left.
const WITHOUT_QUORUM: u32 = 2;
/// Wait before the next machine is tried.
const PAUSE: Duration = Duration::from_millis(150);

/// How far a feed was read.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    epoch: u64,
    offset: u64,
}

/// Starts reading.
pub(super) fn start(front: &Arc<Front>) {
    let sources = Arc::new(Mutex::new(Sources::new(FEEDS)));
    for feed in 0..FEEDS {
        tokio::spawn(follow(front.clone(), feed, sources.clone()));
    }
}

async fn follow(front: Arc<Front>, feed: usize, sources: Arc<Mutex<Sources>>) {
    let mut last: Option<(SocketAddr, Position)> = None;
    loop {
        let preference = candidates(&front, feed);
        let chosen = lock(&sources).choose(Instant::now(), feed, &preference);
        if let Some(address) = chosen {
            let former = last.filter(|(former, _)| *former == address);
            let mut position = former.map(|(_, position)| position).unwrap_or_default();
            if let Err(error) = read_from(&front, address, &mut position).await {
                log::debug!("feed ended from={address}: {error}");
            }
            lock(&sources).leave(Instant::now(), feed);
            last = Some((address, position));
        }
        sleep(PAUSE).await;
    }
}

/// The machines in the order in which a feed prefers them, each balancer in an order of its own: the first feed those of the
/// zone, the others those of the region's other zones, so that bytes between regions are few.
fn candidates(front: &Front, number: usize) -> Vec<SocketAddr> {
    let settings = &front.settings;
    let distance =
        |zone: &str, region: &str| match (zone == settings.zone, region == settings.region) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        };
    let mut ordered: Vec<(u8, u64, SocketAddr)> = Vec::new();
    for machine in front.machines() {
        let Ok(address) = machine.member.address.parse::<SocketAddr>() else {
            continue;
        };
        let rank = match (number, distance(&machine.zone, &machine.region)) {
            (0, distance) => distance,
            (_, 1) => 0,
            (_, _) => 1,
        };
        ordered.push((
            rank,
            hash(&(&settings.node, number, &machine.member.address)),
            address,
        ));
    }
    ordered.sort_unstable();
    let mut all: Vec<SocketAddr> = ordered.into_iter().map(|(_, _, address)| address).collect();
    for address in front.seeds() {
        if !all.contains(&address) {
            all.push(address);
        }
    }
    all
}

async fn read_from(
    front: &Arc<Front>,
    address: SocketAddr,
    position: &mut Position,
) -> io::Result<()> {
    let mut stream: TcpStream = link::connect(address).await?;
    let index = lock(&front.state).index;
    let Position { epoch, offset } = *position;
    let balancer = front.settings.node.clone();
    link::write(
        &mut stream,
        &Packet::Subscribe {
            balancer,
            epoch,
            offset,
            index,
        },
    )
    .await?;
    let mut without_quorum = 0;
    loop {
        let packet = timeout(SILENT, link::read(&mut stream)).await??;
        match packet {
            Packet::Snapshot {
                epoch,
                offset,
                state,
                registrations,
            } => {
                *position = Position { epoch, offset };
                if !state.is_empty() {
                    take_snapshot(front, &state);
                }
                log::info!(
                    "snapshot taken from={address} upstreams={}",
                    registrations.len()
                );
                lock(&front.router).apply_snapshot(front.now(), &registrations);
            }
            Packet::Events { offset, events } => {
                position.offset = offset;
                events
                    .into_iter()
                    .for_each(|event| take_event(front, event));
            }
            Packet::ActiveBalancers(zones) => front.count_balancers(&zones),
            Packet::FleetLoads(loads) => lock(&front.router).set_fleet_loads(front.now(), &loads),
            Packet::MachineStatus {
                in_quorum,
                machines,
            } => {
                without_quorum = if in_quorum { 0 } else { without_quorum + 1 };
                if in_quorum || front.machines().is_empty() {
                    *lock(&front.machines) = machines;
                }
                if without_quorum > WITHOUT_QUORUM {
                    return Ok(());
                }
            }
            other => {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    format!("{:?}", mem::discriminant(&other)),
                ));
            }
        }
    }
}

/// Takes the state over, unless a newer one is in force: versions never go back.
fn take_snapshot(front: &Front, bytes: &[u8]) {
    match ControlState::decode(bytes) {
        Ok(state) => front.update_state(|current| current.replace_if_newer(state)),
        Err(error) => log::error!("snapshot refused: {error}"),
    }
}

fn take_event(front: &Front, event: FeedEvent) {
    match event {
        FeedEvent::Committed { index, command } => {
            front.update_state(|state| state.apply_if_newer(index, &command));
        }
        FeedEvent::Registered(registration) => {
            log::info!(
                "registration id={} service={} status={}",
                registration.id,
                registration.service,
                registration.status
            );
            lock(&front.router).register(front.now(), &registration);
        }
    }
}
