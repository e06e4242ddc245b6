//! A peer of a measurement in a separate process, so that its CPU time can be measured separately.

use crate::error::BenchmarkError;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

/// The stream to which a program writes its listen address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressSource {
    /// The address ends the first line on standard output.
    Stdout,
    /// The address ends the first line on standard error.
    Stderr,
}

/// A listening process, which is killed when the handle is dropped.
pub struct PeerProcess {
    child: Child,
    /// Address on which the process listens.
    pub address: SocketAddr,
}

impl PeerProcess {
    /// Starts a program and waits until the program writes its listen address.
    ///
    /// # Errors
    ///
    /// Returns [`BenchmarkError::Io`] if the program cannot be started, and [`BenchmarkError::NoAddress`] if its first
    /// line does not end with an address.
    pub fn start(command: &mut Command, source: AddressSource) -> Result<Self, BenchmarkError> {
        command.stdin(Stdio::null());
        match source {
            AddressSource::Stdout => command.stdout(Stdio::piped()),
            AddressSource::Stderr => command.stderr(Stdio::piped()),
        };
        let mut child = command.spawn()?;
        let mut line = String::new();
        match (child.stdout.take(), child.stderr.take()) {
            (Some(stdout), _) => BufReader::new(stdout).read_line(&mut line)?,
            (None, Some(stderr)) => BufReader::new(stderr).read_line(&mut line)?,
            (None, None) => 0,
        };
        let address = line.trim().rsplit(' ').next().unwrap_or_default().parse();
        match address {
            Ok(address) => Ok(Self { child, address }),
            Err(_) => {
                child.kill().ok();
                Err(BenchmarkError::NoAddress { line })
            }
        }
    }

    /// Starts another process of this program with the given arguments.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`PeerProcess::start`].
    pub fn start_self(arguments: &[String]) -> Result<Self, BenchmarkError> {
        let mut command = Command::new(std::env::current_exe()?);
        Self::start(command.args(arguments), AddressSource::Stdout)
    }

    /// Starts `count` upstreams that respond immediately.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`PeerProcess::start`].
    pub fn start_upstreams(count: usize) -> Result<Vec<Self>, BenchmarkError> {
        (0..count)
            .map(|_| Self::start_self(&["upstream".into()]))
            .collect()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for PeerProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
