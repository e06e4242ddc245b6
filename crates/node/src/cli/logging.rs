//! Logger of the processes, which writes lines to standard error.

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger};
use log::Record;
use std::io::{self, Write};

/// Starts the logger. `RUST_LOG` sets the log level; the default is `info`.
///
/// # Errors
///
/// Fails if `RUST_LOG` can't be parsed or if a logger is already installed.
pub(super) fn start() -> Result<(), FlexiLoggerError> {
    let handle = Logger::try_with_env_or_str("info")?
        .format(write_record)
        .log_to_stderr()
        .start()?;
    // Dropping the handle would stop the logger.
    std::mem::forget(handle);
    Ok(())
}

fn write_record(
    output: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let time = now.now().format("%H:%M:%S%.3f");
    write!(output, "{time} {} {}", record.level(), record.args())
}
