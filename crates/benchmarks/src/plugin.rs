//! Compares the plug-in with `tower::balance::p2c` and direct calls over HTTP/2.

use crate::callers::{CallerLoad, measure_alternately};
use crate::clients::CallMethod;
use crate::error::BenchmarkError;
use crate::measurement::{Measurement, MeasurementPlan, table_header};
use crate::process::PeerProcess;

/// Measures each call method with 1 caller, with 64 callers, and with 64 callers at 1,400 calls per second, and prints
/// a table for each load.
///
/// # Errors
///
/// Returns the errors of [`measure_alternately`], and [`BenchmarkError::NoAddress`] if an upstream does not start.
pub fn run(plan: MeasurementPlan) -> Result<(), BenchmarkError> {
    let upstreams = PeerProcess::start_upstreams(2)?;
    let methods = [
        CallMethod::Direct,
        CallMethod::P2c,
        CallMethod::P2cEach,
        CallMethod::Plugin,
    ];
    for (tasks, rate) in [(1, 0), (64, 0), (64, 1_400)] {
        let load_name = if rate > 0 {
            format!("{rate} calls/s")
        } else {
            "unlimited rate".to_owned()
        };
        println!(
            "\n{tasks} callers, {load_name}, 2 threads, 2 upstreams\n{}",
            table_header()
        );
        let load = CallerLoad {
            tasks,
            threads: 2,
            rate,
        };
        let medians = measure_alternately(plan, &methods, load, &upstreams)?;
        for (method, median) in methods.iter().zip(&medians) {
            println!("{}", median.table_row(&format!("{method:?}")));
        }
        if let [direct, p2c, p2c_each, plugin] = &medians[..] {
            print_comparison(direct, p2c, p2c_each, plugin);
        }
    }
    Ok(())
}

fn print_comparison(
    direct: &Measurement,
    p2c: &Measurement,
    p2c_each: &Measurement,
    plugin: &Measurement,
) {
    println!(
        "CPU added to a direct call: p2c {:.1} us, p2c each {:.1} us, plug-in {:.1} us; p99 over direct {:+.0} us",
        p2c.cpu_us - direct.cpu_us,
        p2c_each.cpu_us - direct.cpu_us,
        plugin.cpu_us - direct.cpu_us,
        plugin.p99_us - direct.p99_us,
    );
    println!(
        "plug-in / p2c: CPU {:.2}, p99 {:.2}",
        plugin.cpu_us / p2c.cpu_us,
        plugin.p99_us / p2c.p99_us
    );
}

/// Measures 1, 4 and 16 tasks that share one plug-in, and the same numbers of tasks with direct calls.
///
/// # Errors
///
/// Returns the errors of [`run`].
pub fn run_contention(plan: MeasurementPlan) -> Result<(), BenchmarkError> {
    let upstreams = PeerProcess::start_upstreams(1)?;
    println!(
        "1, 4 and 16 tasks on one plug-in, 3 threads, 1 upstream\n{}",
        table_header()
    );
    let methods = [CallMethod::Direct, CallMethod::Plugin];
    for tasks in [1, 4, 16] {
        let load = CallerLoad {
            tasks,
            threads: 3,
            rate: 0,
        };
        let medians = measure_alternately(plan, &methods, load, &upstreams)?;
        for (method, median) in methods.iter().zip(&medians) {
            println!(
                "{}",
                median.table_row(&format!("{method:?}, {tasks} tasks"))
            );
        }
    }
    Ok(())
}
