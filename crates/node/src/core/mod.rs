//! The core process: connects a control machine (`woadstall-control`) to its sockets and its disk.
//!
//! One task ([`process::Process`]) owns the machine and executes the machine's actions. The task
//! receives [`event::Event`]s from the peer connections ([`peers`], [`listener`], [`datagrams`]),
//! the HTTP API ([`api`]) and the disk thread ([`disk`]). The coordination service
//! ([`coordination`]) has a separate task, port and storage.

mod api;
mod api_server;
mod bootstrap;
mod coordination;
mod datagrams;
mod disk;
mod error;
mod event;
mod frame_queue;
mod listener;
mod log_writer;
mod peers;
mod pending_requests;
mod process;
mod registration_store;
mod signals;
mod stall;

pub use error::CoreError;

use crate::error::SetupError;
use crate::settings::{Endpoint, NodeSettings, SettingsWatcher};
use crate::time::unix_time;
use api_server::RequestQueues;
use disk::Disk;
use process::Process;
use registration_store::RegistrationStore;
use signals::Signals;
use std::net::SocketAddr;
use std::path::Path;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use woadstall_consensus::{DurableState, Member};
use woadstall_control::machine::{ControlMachine, MachineSettings};
use woadstall_control::wire::MachineInfo;
use woadstall_storage::Storage;

/// Runs a core process until it has shut down after SIGTERM.
///
/// # Errors
///
/// Fails if the settings lack a required field, if the storage can't be opened, or if the operating
/// system refuses a socket or a signal handler.
pub fn run(settings: &NodeSettings, watcher: SettingsWatcher) -> Result<(), CoreError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(SetupError::during("start the async runtime"))?;
    runtime.block_on(serve(settings, watcher))
}

async fn serve(settings: &NodeSettings, watcher: SettingsWatcher) -> Result<(), CoreError> {
    let signals = Signals::install()?;
    let control_address = settings
        .listen_address(Endpoint::Control)
        .ok_or(CoreError::MissingSetting("listen.control"))?;
    let data_dir = settings
        .data_dir
        .as_ref()
        .ok_or(CoreError::MissingSetting("data_dir"))?;
    let (storage, durable) = open_storage(data_dir, settings, control_address)?;
    let internal_address = settings.internal_address();
    log::info!(
        "core_started id={:x} address={internal_address} last_index={}",
        durable.id,
        durable.log.last_index()
    );
    let member = Member {
        id: durable.id,
        address: internal_address.to_string(),
    };
    let machine_settings = machine_settings(settings, member, control_address);
    let (events, event_queue) = mpsc::unbounded_channel();
    let listener = TcpListener::bind(internal_address)
        .await
        .map_err(SetupError::during("bind the internal TCP address"))?;
    let datagram_socket = UdpSocket::bind(internal_address)
        .await
        .map_err(SetupError::during("bind the internal UDP address"))?;
    tokio::spawn(listener::run(listener, events.clone()));
    tokio::spawn(datagrams::run(datagram_socket, events.clone()));
    let coordination = coordination::start(settings, control_address, data_dir).await?;
    let queues = RequestQueues {
        control: events.clone(),
        coordination: coordination.clone(),
    };
    api_server::start(settings, control_address, queues).await?;
    let (store, registrations) = RegistrationStore::open(data_dir, unix_time());
    let mut machine = ControlMachine::new(machine_settings, durable, 0, fastrand::u64(..));
    log::info!("registrations_loaded count={}", registrations.len());
    machine.restore_registrations(registrations);
    let disk = Disk::start(storage, store, events.clone());
    let process = Process::new(machine, disk, watcher, events, coordination);
    process.run(event_queue, signals).await
}

/// Opens the storage of the replicated log and initializes an empty storage.
fn open_storage(
    data_dir: &Path,
    settings: &NodeSettings,
    control_address: SocketAddr,
) -> Result<(Storage, DurableState), CoreError> {
    let mut storage = Storage::open(data_dir)?;
    let durable = match storage.state() {
        Some(state) => state.clone(),
        None => {
            let state = bootstrap::initial_state(settings, control_address);
            storage.initialize(state.clone())?;
            state
        }
    };
    Ok((storage, durable))
}

fn machine_settings(
    settings: &NodeSettings,
    member: Member,
    control_address: SocketAddr,
) -> MachineSettings {
    let machine = MachineInfo {
        member,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        control_address: control_address.to_string(),
    };
    MachineSettings {
        machine,
        seeds: addresses(&settings.internal_seeds()),
        zones: settings.zones.clone(),
        heartbeat_ms: settings.heartbeat_ms,
        tolerated_failures: settings.tolerated_failures,
        incarnation: fastrand::u64(1..),
    }
}

/// Formats addresses as strings for the internal protocol.
fn addresses(addresses: &[SocketAddr]) -> Vec<String> {
    addresses.iter().map(SocketAddr::to_string).collect()
}

#[cfg(test)]
mod golden_tests;
