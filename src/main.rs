//! The balancer on real sockets: reads the configuration, starts the parts, ends on a signal.

#![forbid(unsafe_code)]

use std::process::ExitCode;
use tokio::runtime::Builder;
use woadstall::net;

fn main() -> ExitCode {
    let outcome = net::config::Config::load().and_then(|config| {
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
