//! The `compare` subcommand: prints a cluster run and the emulator's run of the same scenario side by side.

use super::CommandError;
use crate::arguments::CompareArguments;
use std::path::Path;
use woadstall_cluster_test::results::{Comparison, FigurePair, compare as compare_rows};
use woadstall_emulator_cli::report;
use woadstall_emulator_cli::rows::{self, Row};

pub fn compare(arguments: &CompareArguments) -> Result<u8, CommandError> {
    let emulator = last_row(&arguments.emulator)?;
    let processes = last_row(&arguments.processes)?;
    let comparison = compare_rows(&emulator, &processes)?;
    print(&comparison);
    if let Some(plot) = &arguments.plot {
        report::write(plot, &report::page(&[emulator, processes], &[])?)?;
    }
    Ok(u8::from(comparison.mean_distance > arguments.within))
}

fn print(comparison: &Comparison) {
    println!("{:>8} {:>8} {:>8} {:>8}", "until s", "lab", "rig", "apart");
    for step in &comparison.steps {
        let FigurePair {
            emulator,
            processes,
        } = step.served;
        println!(
            "{:>8.0} {emulator:>8.3} {processes:>8.3} {:>+8.3}",
            step.until_s,
            processes - emulator
        );
    }
    let (served, rejected) = (comparison.served, comparison.rejected);
    println!(
        "served   {:.3} in the lab, {:.3} in the rig",
        served.emulator, served.processes
    );
    println!(
        "refused  {:.3} in the lab, {:.3} in the rig",
        rejected.emulator, rejected.processes
    );
    println!(
        "apart    {:.3} on average, {:.3} in the step until {:.0} s",
        comparison.mean_distance, comparison.worst_step.distance, comparison.worst_step.until_s
    );
}

fn last_row(path: &Path) -> Result<Row, CommandError> {
    let last = rows::read(path)?.pop();
    last.ok_or_else(|| format!("{}: file contains no result rows", path.display()).into())
}
