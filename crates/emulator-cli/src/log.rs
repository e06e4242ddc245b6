//! Logging of the commands to standard error.

use clap::ValueEnum;
use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// For people.
    Text,
    /// A JSON object a line.
    Json,
}

impl LogFormat {
    /// Installs the subscriber that writes log lines in this format to standard error. The environment variable
    /// `WOADSTALL_LOG` holds the filter, for example `info` or `warn`; the default is `info`.
    ///
    /// # Panics
    ///
    /// Panics if a subscriber is installed already.
    pub fn start(self) {
        let filter =
            EnvFilter::try_from_env("WOADSTALL_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
        let log = tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_writer(std::io::stderr);
        match self {
            Self::Json => log.json().init(),
            Self::Text => {
                log.with_target(false)
                    .with_ansi(std::io::stderr().is_terminal())
                    .without_time()
                    .init();
            }
        }
    }
}
