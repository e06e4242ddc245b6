//! Reads the change feeds of two core machines at a time, so that changes still arrive if one of
//! the machines is partitioned. Each feed delivers all commands after its starting point in order.
//! Each change is applied from the feed that delivers the change first.

use super::feed_sources::FeedSources;
use super::state::Front;
use crate::packet_stream::{self, read_packet, write_packet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{io, mem};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use woadstall_control::feed::FeedEvent;
use woadstall_control::shards::hash;
use woadstall_control::state::ControlState;
use woadstall_control::wire::{MachineInfo, Packet, SubscribeRequest};
use woadstall_inbound::lock;

/// Number of feeds that are read concurrently.
const FEED_COUNT: usize = 2;
/// A machine that sends nothing for this long is abandoned. Machines send their status twice a
/// second.
const READ_TIMEOUT: Duration = Duration::from_millis(1_800);
/// A machine is abandoned after more than this many consecutive statuses without a quorum.
const MAX_STATUSES_WITHOUT_QUORUM: u32 = 2;
/// Pause between attempts to read a feed.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Position in the change feed of a machine.
#[derive(Clone, Copy, Debug, Default)]
struct FeedPosition {
    /// Epoch of the machine's journal; 0 before the first snapshot.
    epoch: u64,
    /// Offset in the journal after the last event.
    offset: u64,
}

/// Spawns a task for each feed.
pub(super) fn start(front: &Arc<Front>) {
    let sources = Arc::new(Mutex::new(FeedSources::new(FEED_COUNT)));
    for feed in 0..FEED_COUNT {
        tokio::spawn(follow_feed(front.clone(), feed, sources.clone()));
    }
}

async fn follow_feed(front: Arc<Front>, feed: usize, sources: Arc<Mutex<FeedSources>>) {
    let mut last_read: Option<(SocketAddr, FeedPosition)> = None;
    loop {
        let preference = machines_by_preference(&front, feed);
        let selected = lock(&sources).select(Instant::now(), feed, &preference);
        if let Some(address) = selected {
            let mut position = match last_read {
                Some((last_address, position)) if last_address == address => position,
                _ => FeedPosition::default(),
            };
            if let Err(error) = read_feed(&front, address, &mut position).await {
                log::debug!("feed_ended peer={address} error={error}");
            }
            lock(&sources).abandon(Instant::now(), feed);
            last_read = Some((address, position));
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Returns the addresses of the known machines in order of preference, followed by the seeds. The
/// first feed prefers machines of this zone, the others prefer machines of the region's other
/// zones, so that little traffic crosses regions. The order of machines with equal rank differs
/// between balancers.
fn machines_by_preference(front: &Front, feed: usize) -> Vec<SocketAddr> {
    let mut ranked: Vec<(u8, u64, SocketAddr)> = Vec::new();
    for machine in front.core_machines() {
        let Ok(address) = machine.member.address.parse::<SocketAddr>() else {
            continue;
        };
        let tie_breaker = hash(&(&front.settings.node, feed, &machine.member.address));
        ranked.push((rank(front, feed, &machine), tie_breaker, address));
    }
    ranked.sort_unstable();
    let mut addresses: Vec<SocketAddr> =
        ranked.into_iter().map(|(_, _, address)| address).collect();
    for address in front.seeds() {
        if !addresses.contains(&address) {
            addresses.push(address);
        }
    }
    addresses
}

/// Returns the rank of a machine for a feed; 0 is preferred most.
fn rank(front: &Front, feed: usize, machine: &MachineInfo) -> u8 {
    let same_zone = machine.zone == front.settings.zone;
    let same_region = machine.region == front.settings.region;
    match (feed, same_zone, same_region) {
        (0, true, _) => 0,
        (0, false, true) => 1,
        (0, false, false) => 2,
        (_, false, true) => 0,
        (_, _, _) => 1,
    }
}

/// Subscribes to a machine's feed and applies the received changes until the machine has lost its
/// quorum (`Ok`) or the connection fails (`Err`).
async fn read_feed(
    front: &Arc<Front>,
    address: SocketAddr,
    position: &mut FeedPosition,
) -> io::Result<()> {
    let mut stream: TcpStream = packet_stream::connect(address).await?;
    let subscribe = Packet::Subscribe(SubscribeRequest {
        balancer: front.settings.node.clone(),
        epoch: position.epoch,
        offset: position.offset,
        applied_index: front.applied_index(),
    });
    write_packet(&mut stream, &subscribe).await?;
    let mut statuses_without_quorum = 0;
    loop {
        let packet = timeout(READ_TIMEOUT, read_packet(&mut stream)).await??;
        match packet {
            Packet::Snapshot {
                epoch,
                offset,
                state,
                registrations,
            } => {
                *position = FeedPosition { epoch, offset };
                if !state.is_empty() {
                    apply_snapshot(front, &state);
                }
                log::info!(
                    "snapshot_applied peer={address} upstreams={}",
                    registrations.len()
                );
                lock(&front.router).apply_snapshot(front.now(), &registrations);
            }
            Packet::Events { offset, events } => {
                position.offset = offset;
                for event in events {
                    apply_event(front, event);
                }
            }
            Packet::ActiveBalancers(zones) => front.update_balancers(&zones),
            Packet::FleetLoads(loads) => lock(&front.router).set_fleet_loads(front.now(), &loads),
            Packet::MachineStatus {
                in_quorum,
                machines,
            } => {
                statuses_without_quorum = if in_quorum {
                    0
                } else {
                    statuses_without_quorum + 1
                };
                if in_quorum || front.core_machines().is_empty() {
                    front.set_core_machines(machines);
                }
                if statuses_without_quorum > MAX_STATUSES_WITHOUT_QUORUM {
                    return Ok(());
                }
            }
            other => return Err(unexpected_packet(&other)),
        }
    }
}

fn unexpected_packet(packet: &Packet) -> io::Error {
    let kind = format!("{:?}", mem::discriminant(packet));
    io::Error::new(io::ErrorKind::InvalidData, kind)
}

/// Replaces the configuration and evacuations by a snapshot unless a newer state is already
/// applied.
fn apply_snapshot(front: &Front, bytes: &[u8]) {
    match ControlState::decode(bytes) {
        Ok(state) => front.update_control_state(|current| current.replace_if_newer(state)),
        Err(error) => log::error!("snapshot_rejected error={error}"),
    }
}

fn apply_event(front: &Front, event: FeedEvent) {
    match event {
        FeedEvent::Committed { index, command } => {
            front.update_control_state(|state| state.apply_if_newer(index, &command));
        }
        FeedEvent::Registered(registration) => {
            log::info!(
                "registration_applied upstream={} service={} status={}",
                registration.id,
                registration.service,
                registration.status
            );
            lock(&front.router).register(front.now(), &registration);
        }
    }
}
