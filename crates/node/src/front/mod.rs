//! The front process: forwards clients' requests to upstreams.
//!
//! Each request passes through these modules: [`clients`] accepts the connection,
//! [`client_connection`] reads the request, [`forward`] finds the route and loops over attempts,
//! [`retry`] decides on each further attempt, [`attempt`] sends the request over a connection of
//! the [`pool`], and [`stream`] forwards a streamed response. [`memory`] limits what bodies occupy. The router (`woadstall-routing`)
//! chooses the upstreams.
//!
//! [`feeds`] reads the change feeds of core machines and keeps the router up to date. [`heartbeat`]
//! and [`load_reports`] report the state and the load of this balancer to core machines.

mod attempt;
mod client_connection;
mod client_queue;
mod clients;
mod connection_end;
mod datagrams;
mod error;
mod event_buffer;
mod feed_sources;
mod feeds;
mod forward;
mod heartbeat;
mod load_reports;
mod memory;
mod pool;
mod prompt;
mod readiness;
mod request_reports;
mod response;
mod resumption;
mod retry;
mod shutdown;
mod state;
mod stream;

pub use error::FrontError;

use crate::error::SetupError;
use crate::settings::{Endpoint, NodeSettings, SettingsWatcher};
use state::Front;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};
use woadstall_inbound::listen;

/// Interval at which expired state is removed and the settings file is checked for changes.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the front until SIGTERM, then until all accepted requests are answered or the grace period
/// ends. Logs at most `reports_per_second` reports of requests that were late, rejected, failed or
/// retried; 0 turns the reports off.
///
/// # Errors
///
/// Fails if the settings lack a required field or if the operating system refuses a socket or a
/// signal handler.
pub fn run(
    settings: NodeSettings,
    watcher: SettingsWatcher,
    reports_per_second: u64,
) -> Result<(), FrontError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(SetupError::during("start the async runtime"))?;
    let result = runtime.block_on(serve(settings, watcher, reports_per_second));
    runtime.shutdown_background();
    result
}

async fn serve(
    settings: NodeSettings,
    mut watcher: SettingsWatcher,
    reports_per_second: u64,
) -> Result<(), FrontError> {
    let address = settings
        .listen_address(Endpoint::Front)
        .ok_or(FrontError::MissingSetting("listen.front"))?;
    let front = Arc::new(Front::new(settings, reports_per_second));
    let mut terminate = signal(SignalKind::terminate())
        .map_err(SetupError::during("install the SIGTERM handler"))?;
    let mut hangup =
        signal(SignalKind::hangup()).map_err(SetupError::during("install the SIGHUP handler"))?;
    let listener = listen(address).map_err(SetupError::during(format!(
        "listen for clients on {address}"
    )))?;
    if let Some(address) = front.settings.listen_address(Endpoint::Readiness) {
        readiness::start(address, front.clone())?;
    }
    log::info!("front_started address={address}");
    feeds::start(&front);
    heartbeat::start(&front);
    load_reports::start(&front);
    let clients = tokio::spawn(clients::serve(front.clone(), listener));
    let mut sweeps = interval(SWEEP_INTERVAL);
    sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = sweeps.tick() => {
                front.sweep();
                front.apply_settings(watcher.reload_if_modified());
            }
            _ = hangup.recv() => front.apply_settings(watcher.reload()),
            _ = terminate.recv() => break,
        }
    }
    shut_down(&front, clients).await;
    Ok(())
}

/// Reports the balancer as not ready to core machines and waits until all accepted requests are
/// answered or the grace period ends.
async fn shut_down(front: &Front, clients: JoinHandle<()>) {
    front.shutdown.start();
    log::info!("shutdown_started signal=SIGTERM");
    front.heartbeat_due.notify_one();
    front
        .shutdown
        .run(front.settings.grace_period, clients)
        .await;
}

#[cfg(test)]
mod golden_tests;
