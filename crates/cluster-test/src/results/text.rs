//! Human-readable text form of the result.

use super::{ClusterResult, mean};
use std::fmt::{self, Write};
use woadstall_emulator::{EvacuationReport, MembershipReport};
use woadstall_emulator_cli::report;
use woadstall_emulator_cli::rows::Row;

/// Formats a summary of the result. `row` supplies the scenario, the seed and the overridden settings.
pub fn text(result: &ClusterResult, row: &Row) -> String {
    let mut text = String::new();
    // Writing to a `String` cannot fail.
    let _ = write_result(&mut text, result, row);
    text
}

fn write_result(output: &mut String, result: &ClusterResult, row: &Row) -> fmt::Result {
    let run_result = &result.run_result;
    let balancers = result.balancer_count;
    let (scenario, seed, set) = (&row.key.scenario, row.key.seed, row.set());
    writeln!(
        output,
        "{scenario}, {balancers} balancers, seed {seed} {set}"
    )?;
    write_calls(output, result)?;
    write_processes(output, result)?;
    if let Some(members) = &run_result.members {
        write_members(output, members, &result.membership_core_shares)?;
    }
    if let Some(evacuated) = &run_result.evacuation {
        write_evacuations(output, evacuated)?;
    }
    for line in report::rule_lines(run_result) {
        writeln!(output, "{line}")?;
    }
    for breach in &run_result.first_breaches {
        writeln!(
            output,
            "    {:.3} s: {}",
            breach.at as f64 / 1e9,
            breach.text
        )?;
    }
    for failure in &result.failures {
        writeln!(output, "  CRASHED: {failure}")?;
    }
    Ok(())
}

fn write_calls(output: &mut String, result: &ClusterResult) -> fmt::Result {
    let (counts, latency) = (&result.run_result.counts, &result.run_result.latency);
    writeln!(
        output,
        "  worth served   {:.3} of what was offered",
        result.run_result.served_value_fraction
    )?;
    writeln!(
        output,
        "  calls          {} offered, {} on time, {} late, {} refused, {} failed",
        counts.offered, counts.on_time, counts.late, counts.refused, counts.failed
    )?;
    writeln!(
        output,
        "  attempts       {} for {} requests",
        counts.attempts, counts.requests
    )?;
    writeln!(
        output,
        "  latency        p50 {:.0} ms, p90 {:.0}, p99 {:.0}, longest {:.0}",
        latency.p50, latency.p90, latency.p99, latency.max
    )
}

fn write_processes(output: &mut String, result: &ClusterResult) -> fmt::Result {
    writeln!(
        output,
        "  processes      {} starts, up after {:.1} s, {} kB of memory at most, {} on average",
        result.process_starts,
        result.startup_time.as_secs_f64(),
        result.peak_memory_kb.iter().max().unwrap_or(&0),
        mean(&result.peak_memory_kb)
    )?;
    writeln!(
        output,
        "  paid           {} connections through the fabric, {} kB, {} list reads",
        result.traffic.streams_opened,
        result.traffic.stream_bytes / 1_000,
        result.list_reads
    )?;
    writeln!(
        output,
        "  unanswered     {}, of these and late ones {} at stopped balancers; {} ran twice",
        result.unanswered_requests,
        result.overdue_requests_at_suspended,
        result.requests_executed_twice
    )?;
    writeln!(
        output,
        "  the rig itself {} of {} calls late, {:.1}% of its timers, a balancer without a core {:.1}% of its time",
        result.lag.late,
        result.lag.calls,
        100.0 * result.late_timer_share,
        100.0 * result.max_core_wait_share
    )
}

fn write_members(
    output: &mut String,
    members: &MembershipReport,
    core_shares: &[f64],
) -> fmt::Result {
    let known = &members.known_by_all_ms;
    let (mean_bytes_per_second, max_bytes_per_second) = members.bytes_per_second;
    writeln!(
        output,
        "  members        {} false deaths; {} deaths, known by all after {:.0} ms (p50), {:.0} at most, {} never",
        members.false_deaths, members.deaths, known.p50, known.max, members.never_known
    )?;
    let mean_core_share = core_shares.iter().sum::<f64>() / core_shares.len().max(1) as f64;
    let max_core_share = core_shares.iter().copied().fold(0.0, f64::max);
    writeln!(
        output,
        "                 {:.0} bytes/s each, {:.0} at most; {:.2}% of a core, {:.2}% at most",
        mean_bytes_per_second,
        max_bytes_per_second,
        100.0 * mean_core_share,
        100.0 * max_core_share
    )?;
    for detail in &members.false_death_details {
        writeln!(output, "    {detail}")?;
    }
    Ok(())
}

fn write_evacuations(output: &mut String, evacuated: &EvacuationReport) -> fmt::Result {
    let diverted_zones: Vec<String> = evacuated
        .diverted_share_seconds
        .iter()
        .map(|(zone, seconds)| format!("{zone} {seconds:.1}"))
        .collect();
    writeln!(
        output,
        "  left           {} moves; seconds without, a balancer: {}",
        evacuated.share_changes,
        diverted_zones.join(", ")
    )
}
