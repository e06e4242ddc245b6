//! The balancer on real sockets: reads the configuration, starts the parts, ends on a signal.

#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};
use woadstall::check;
use woadstall::net::{self, config::Config, members, places};
use woadstall_evacuation::OrderAction;

/// A layer-7 load balancer for services that call services.
///
/// Without a command it serves, as the environment says: `LB_CONFIG` names its configuration, and `LB_NAME`,
/// `LB_LISTEN` and `LB_DISCOVERY` go before what stands there; `LB_OPERATOR` names the operators' file, if there is one.
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
    /// Shows whom a balancer sees of the others: who is there, since when, suspected by whom, and which ways are cut.
    Instances {
        /// The balancer's second address; `LB_ADMIN` if absent.
        #[arg(long)]
        admin: Option<SocketAddr>,
        /// Writes its answer as it came, in JSON.
        #[arg(long)]
        json: bool,
    },
    /// Leaves a zone as a fleet, holds it, returns to it, or shows how it stands.
    Zone {
        #[command(subcommand)]
        word: Word,
    },
    /// The same for a region.
    Region {
        #[command(subcommand)]
        word: Word,
    },
    /// The same for a nodo.
    Nodo {
        #[command(subcommand)]
        word: Word,
    },
}

#[derive(Subcommand)]
enum Word {
    /// All balancers leave it.
    Leave(Given),
    /// It stays in use, whatever the fleet finds.
    Hold(Given),
    /// A word is taken back, and it is returned to.
    Return(Given),
    /// How it stands, or how all of its kind stand.
    Status {
        /// Its name; all, if it is left out.
        name: Option<String>,
        #[command(flatten)]
        admin: Admin,
    },
}

#[derive(Args)]
struct Given {
    /// Its name.
    name: String,
    /// How long the word holds, as in 90s or 2h; a day at most.
    #[arg(long = "for", default_value = "10m")]
    holds: humantime::Duration,
    #[command(flatten)]
    admin: Admin,
}

#[derive(Args)]
struct Admin {
    /// A balancer's second address; `LB_ADMIN` if absent.
    #[arg(long)]
    admin: Option<SocketAddr>,
}

fn main() -> ExitCode {
    if let Some(code) = woadstall_node::cli::run() {
        return code;
    }
    match Arguments::parse().command {
        Some(Command::Check { files }) => check::files(&files, &mut std::io::stdout().lock()),
        Some(Command::Instances { admin, json }) => told(instances(admin, json)),
        Some(Command::Zone { word }) => told(place("zone", word)),
        Some(Command::Region { word }) => told(place("region", word)),
        Some(Command::Nodo { word }) => told(place("nodo", word)),
        None => serve(),
    }
}

/// Where operators ask.
fn address(admin: Option<SocketAddr>) -> Result<SocketAddr, String> {
    let told = || {
        let text = std::env::var("LB_ADMIN")
            .map_err(|_| "neither `--admin` nor `LB_ADMIN` says where to ask")?;
        text.parse()
            .map_err(|_| format!("`LB_ADMIN` is not an address with a port: {text:?}"))
    };
    admin.map_or_else(told, Ok)
}

fn place(kind: &str, word: Word) -> Result<(), String> {
    let (what, given) = match word {
        Word::Leave(given) => (OrderAction::Evacuate, given),
        Word::Hold(given) => (OrderAction::Keep, given),
        Word::Return(given) => (OrderAction::Restore, given),
        Word::Status { name, admin } => {
            let status = start()?.block_on(places::status(address(admin.admin)?))?;
            let out = &mut std::io::stdout().lock();
            return places::write(&status, kind, name.as_deref(), out)
                .map_err(|error| error.to_string());
        }
    };
    let at = address(given.admin.admin)?;
    start()?.block_on(places::give(at, what, kind, &given.name, *given.holds))
}

fn instances(admin: Option<SocketAddr>, json: bool) -> Result<(), String> {
    let at = address(admin)?;
    let answer = start()?.block_on(members::ask(at))?;
    let report = members::read(&answer)?;
    let mut out = std::io::stdout().lock();
    let written = if json {
        out.write_all(&answer)
    } else {
        members::write(&report, &mut out)
    };
    written.map_err(|error| error.to_string())
}

fn start() -> Result<Runtime, String> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| format!("cannot start the runtime: {error}"))
}

fn serve() -> ExitCode {
    told(Config::load().and_then(|config| start()?.block_on(net::run(config))))
}

fn told(outcome: Result<(), String>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            net::log(format_args!("{error}"));
            ExitCode::FAILURE
        }
    }
}
