//! The command line: starts the daemon or runs an operator's command.

use clap::{Args, Parser, Subcommand};
use std::error::Error;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};
use woadstall::check::check_files;
use woadstall::net::config::Config;
use woadstall::net::{self, domain_orders, domain_status, membership_report};
use woadstall_evacuation::OrderAction;

/// A layer-7 load balancer for services that call services.
///
/// Without a command it serves, as the environment says: `LB_CONFIG` names its configuration, and `LB_NAME`,
/// `LB_LISTEN` and `LB_DISCOVERY` go before what stands there; `LB_OPERATOR` names the operators' file, if there is
/// one.
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
        command: DomainCommand,
    },
    /// The same for a region.
    Region {
        #[command(subcommand)]
        command: DomainCommand,
    },
    /// The same for a nodo.
    Nodo {
        #[command(subcommand)]
        command: DomainCommand,
    },
}

#[derive(Subcommand)]
enum DomainCommand {
    /// All balancers leave it.
    Leave(OrderArguments),
    /// It stays in use, whatever the fleet finds.
    Hold(OrderArguments),
    /// A word is taken back, and it is returned to.
    Return(OrderArguments),
    /// How it stands, or how all of its kind stand.
    Status {
        /// Its name; all, if it is left out.
        name: Option<String>,
        #[command(flatten)]
        admin: AdminArguments,
    },
}

#[derive(Args)]
struct OrderArguments {
    /// Its name.
    name: String,
    /// How long the word holds, as in 90s or 2h; a day at most.
    #[arg(long = "for", value_name = "HOLDS", default_value = "10m")]
    duration: humantime::Duration,
    #[command(flatten)]
    admin: AdminArguments,
}

#[derive(Args)]
struct AdminArguments {
    /// A balancer's second address; `LB_ADMIN` if absent.
    #[arg(long)]
    admin: Option<SocketAddr>,
}

type CommandResult = Result<(), Box<dyn Error>>;

/// The error of a command without a valid admin address.
#[derive(Debug, thiserror::Error)]
enum AdminAddressError {
    #[error("neither `--admin` nor `LB_ADMIN` says where to ask")]
    Missing,
    #[error("`LB_ADMIN` is not an address with a port: {text:?}")]
    Invalid { text: String },
}

fn main() -> ExitCode {
    if let Some(code) = woadstall_node::cli::run() {
        return code;
    }
    match Arguments::parse().command {
        Some(Command::Check { files }) => check_files(&files, &mut io::stdout().lock()),
        Some(Command::Instances { admin, json }) => exit_code(show_instances(admin, json)),
        Some(Command::Zone { command }) => exit_code(domain_command("zone", command)),
        Some(Command::Region { command }) => exit_code(domain_command("region", command)),
        Some(Command::Nodo { command }) => exit_code(domain_command("nodo", command)),
        None => exit_code(serve()),
    }
}

/// Returns the admin address from the argument, or from `LB_ADMIN` if the argument is absent.
fn admin_address(argument: Option<SocketAddr>) -> Result<SocketAddr, AdminAddressError> {
    if let Some(address) = argument {
        return Ok(address);
    }
    let text = std::env::var("LB_ADMIN").map_err(|_| AdminAddressError::Missing)?;
    text.parse()
        .map_err(|_| AdminAddressError::Invalid { text })
}

fn domain_command(kind: &str, command: DomainCommand) -> CommandResult {
    let (action, order) = match command {
        DomainCommand::Leave(order) => (OrderAction::Evacuate, order),
        DomainCommand::Hold(order) => (OrderAction::Keep, order),
        DomainCommand::Return(order) => (OrderAction::Restore, order),
        DomainCommand::Status { name, admin } => {
            return show_domain_status(kind, name.as_deref(), admin.admin);
        }
    };
    let address = admin_address(order.admin.admin)?;
    let sending = domain_orders::send(address, action, kind, &order.name, *order.duration);
    Ok(runtime()?.block_on(sending)?)
}

fn show_domain_status(kind: &str, name: Option<&str>, admin: Option<SocketAddr>) -> CommandResult {
    let address = admin_address(admin)?;
    let status = runtime()?.block_on(domain_status::fetch(address))?;
    Ok(domain_status::write(
        &status,
        kind,
        name,
        &mut io::stdout().lock(),
    )?)
}

fn show_instances(admin: Option<SocketAddr>, as_json: bool) -> CommandResult {
    let address = admin_address(admin)?;
    let json = runtime()?.block_on(membership_report::fetch(address))?;
    let report = membership_report::read(&json)?;
    let mut stdout = io::stdout().lock();
    if as_json {
        return Ok(stdout.write_all(&json)?);
    }
    Ok(membership_report::write(&report, &mut stdout)?)
}

fn serve() -> CommandResult {
    let config = Config::load()?;
    Ok(runtime()?.block_on(net::run(config))?)
}

fn runtime() -> Result<Runtime, Box<dyn Error>> {
    let runtime = Builder::new_current_thread().enable_all().build();
    Ok(runtime.map_err(|error| format!("cannot start the runtime: {error}"))?)
}

fn exit_code(result: CommandResult) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            net::log(format_args!("{error}"));
            ExitCode::FAILURE
        }
    }
}
