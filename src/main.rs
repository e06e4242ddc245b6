//! The balancer on real sockets: reads the configuration, starts the parts, ends on a signal.

#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::Builder;
use woadstall::check;
use woadstall::net::{self, config::Config};

/// A layer-7 load balancer for services that call services.
///
/// Without a command it serves, as the environment says: `LB_CONFIG` names its configuration, and `LB_NAME`,
/// `LB_LISTEN` and `LB_DISCOVERY` go before what stands there.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Checks configurations (`.json`) and operator files (`.toml`), and exits with 1 if any has a fault.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Some(Command::Check { files }) => check::files(&files, &mut std::io::stdout().lock()),
        None => serve(),
    }
}

fn serve() -> ExitCode {
    let outcome = Config::load().and_then(|config| {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| format!("cannot start the runtime: {error}"))?;
        runtime.block_on(net::run(config))
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            net::log(format_args!("{error}"));
            ExitCode::FAILURE
        }
    }
}
