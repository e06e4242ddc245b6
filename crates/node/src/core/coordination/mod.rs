//! Coordination service of a core process: runs a machine of the coordination group
//! (`woadstall-coordination`) in a separate task with a separate port and storage.

mod bootstrap;
mod disk;
mod event;
mod listener;
mod process;

pub(super) use event::{CoordinationRequest, Event, EventSender};

use super::CoreError;
use crate::error::SetupError;
use crate::settings::NodeSettings;
use crate::time::millis;
use bootstrap::initial_state;
use disk::Disk;
use process::Process;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use woadstall_consensus::{DurableState, Member};
use woadstall_coordination::machine::{CoordinationMachine, MachineSettings};
use woadstall_coordination::wire::MachineInfo;
use woadstall_storage::Storage;

/// Subdirectory of the process's data directory that holds the storage of the group.
const STORAGE_FOLDER: &str = "coordination";
/// Size of a storage file: a state of 4 MB, the same amount of log entries that wait to be
/// compacted or committed, and a reserve.
const SEGMENT_BYTES: u64 = 12 << 20;
/// The key history is kept for this multiple of the configured period plus [`HISTORY_SLACK_MS`], so
/// that a watch that resumes within the configured period always finds its history.
const HISTORY_FACTOR: u64 = 2;
/// Fixed time added to the retention of the key history, in milliseconds; see [`HISTORY_FACTOR`].
const HISTORY_SLACK_MS: u64 = 10_000;

/// Handle with which the process communicates with the service.
#[derive(Clone, Debug)]
pub(super) struct CoordinationHandle {
    events: EventSender,
    /// Port of the service's internal protocol, which is the same on all machines.
    port: u16,
    is_being_replaced: Arc<AtomicBool>,
}

impl CoordinationHandle {
    /// Sends an event to the service.
    pub fn send(&self, event: Event) {
        if self.events.send(event).is_err() {
            log::error!("coordination_task_ended");
        }
    }

    /// Returns the port of the service's internal protocol, which is the same on all machines.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// Returns whether another machine is taking over the vote of this machine.
    pub fn is_being_replaced(&self) -> bool {
        self.is_being_replaced.load(Ordering::Relaxed)
    }
}

/// Starts the service. Logs a warning and returns `None` if the settings provide no port for it.
///
/// # Errors
///
/// Fails if the storage can't be opened or if the port can't be bound.
pub(super) async fn start(
    settings: &NodeSettings,
    control_address: SocketAddr,
    data_dir: &Path,
) -> Result<Option<CoordinationHandle>, CoreError> {
    let Some(address) = settings.coordination_address() else {
        log::warn!("coordination_disabled reason=\"ephemeral_ports holds one port\"");
        return Ok(None);
    };
    let (storage, durable) = open_storage(data_dir, settings, control_address)?;
    log::info!(
        "coordination_started id={:x} address={address} last_index={}",
        durable.id,
        durable.log.last_index()
    );
    let listener = TcpListener::bind(address)
        .await
        .map_err(SetupError::during("bind the coordination address"))?;
    let (events, event_queue) = mpsc::unbounded_channel();
    tokio::spawn(listener::run(listener, events.clone()));
    let machine_settings = machine_settings(settings, address, durable.id);
    let machine = CoordinationMachine::new(machine_settings, durable, 0, fastrand::u64(..));
    let disk = Disk::start(storage, events.clone());
    let handle = CoordinationHandle {
        events: events.clone(),
        port: address.port(),
        is_being_replaced: Arc::default(),
    };
    let process = Process::new(machine, disk, events, handle.is_being_replaced.clone());
    tokio::spawn(process.run(event_queue));
    Ok(Some(handle))
}

/// Opens the storage of the group's log and initializes an empty storage.
fn open_storage(
    data_dir: &Path,
    settings: &NodeSettings,
    control_address: SocketAddr,
) -> Result<(Storage, DurableState), CoreError> {
    let mut storage = Storage::open_sized(&data_dir.join(STORAGE_FOLDER), SEGMENT_BYTES)?;
    let durable = match storage.state() {
        Some(state) => state.clone(),
        None => {
            let state = initial_state(settings, control_address);
            storage.initialize(state.clone())?;
            state
        }
    };
    Ok((storage, durable))
}

fn machine_settings(settings: &NodeSettings, address: SocketAddr, id: u64) -> MachineSettings {
    let member = Member {
        id,
        address: address.to_string(),
    };
    MachineSettings {
        machine: MachineInfo {
            member,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        },
        seeds: super::addresses(&settings.coordination_seeds()),
        tolerated_failures: settings.tolerated_failures,
        history_ms: HISTORY_FACTOR * millis(settings.history_period) + HISTORY_SLACK_MS,
        incarnation: fastrand::u64(1..),
    }
}
