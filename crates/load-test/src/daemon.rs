//! A balancer daemon on a dedicated thread with its own runtime, as in a separate process.

use crate::error::LoadError;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;
use tokio::sync::oneshot;
use woadstall::net::Daemon;
use woadstall::net::config::Config;

type Started = Result<SocketAddr, LoadError>;

/// A running daemon, which shuts down when the handle is dropped.
pub struct DaemonThread {
    /// Address on which the daemon listens.
    pub address: SocketAddr,
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl DaemonThread {
    /// Starts a daemon, and returns once the daemon listens.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not start.
    pub fn start(config: Config) -> Result<Self, LoadError> {
        let (shutdown, shutdown_requested) = oneshot::channel();
        let (report, started) = mpsc::channel();
        let thread = std::thread::spawn(move || serve(config, &report, shutdown_requested));
        let address = started.recv().map_err(|_| LoadError::DaemonThreadEnded)??;
        Ok(Self {
            address,
            shutdown: Some(shutdown),
            thread: Some(thread),
        })
    }
}

/// Starts a daemon, reports its address or start error, and runs the daemon until shutdown is requested.
fn serve(config: Config, report: &mpsc::Sender<Started>, shutdown: oneshot::Receiver<()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            report.send(Err(LoadError::DaemonRuntime(error))).ok();
            return;
        }
    };
    runtime.block_on(async {
        match Daemon::start(config).await {
            Ok(daemon) => {
                report.send(Ok(daemon.address())).ok();
                shutdown.await.ok();
                daemon.stop().await.ok();
            }
            Err(error) => {
                report.send(Err(LoadError::Daemon(error.to_string()))).ok();
            }
        }
    });
}

impl Drop for DaemonThread {
    fn drop(&mut self) {
        drop(self.shutdown.take());
        self.thread.take().map(JoinHandle::join);
    }
}
