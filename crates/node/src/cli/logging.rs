//! The log of a process: lines on standard error.

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger};
use log::Record;
use std::io::{self, Write};

/// Starts the log. `RUST_LOG` sets the level; `info` by default.
///
/// # Errors
///
/// `RUST_LOG` can't be parsed, or a logger has been set already.
pub(super) fn start() -> Result<(), FlexiLoggerError> {
    let handle = Logger::try_with_env_or_str("info")?
        .format(write_record)
        .log_to_stderr()
        .start()?;
    // Dropping the handle would stop the log.
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
