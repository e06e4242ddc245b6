//! What a run showed, as JSON and as text, and how it compares with the lab's.

use crate::play::Played;
use serde_json::{Value, json};
use std::fmt::Write;
use woadstall_emulator_cli::report;
use woadstall_emulator_cli::rows::Row;

fn mean(of: &[u64]) -> u64 {
    of.iter().sum::<u64>() / (of.len() as u64).max(1)
}

/// Everything, for programs. `row` has the timeline in the lab's form.
pub fn json(played: &Played, row: &Row) -> Value {
    let Played {
        end,
        peak_kb,
        fabric,
        ..
    } = played;
    let requests = end.counts.requests.max(1) as f64;
    json!({
        "scenario": row.key.scenario, "digest": row.key.digest, "seed": row.key.seed, "commit": row.commit,
        "kept": played.is_kept(), "too-slow": played.too_slow(),
        "served": end.served, "counts": end.counts, "latency": end.latency,
        "processes": {
            "balancers": played.balancers, "starts": played.starts, "nodos": played.nodos.len(),
            "up-after-s": played.up_after.as_secs_f64(), "crashes": played.crashes,
            "memory-kb": {"most": peak_kb.iter().max(), "mean": mean(peak_kb)},
        },
        "breaches": end.breaches, "first-breaches": end.first_breaches, "bounds": end.bounds,
        "lost": played.lost, "doubled": played.doubled, "stood-still": played.stood_still,
        "prices": {
            "connections": fabric.streams_opened, "connections-a-request": fabric.streams_opened as f64 / requests,
            "bytes": fabric.stream_bytes, "list-reads": played.reads,
            "attempts-a-request": end.counts.attempts as f64 / requests,
        },
        "members": end.members, "evacuated": end.evacuated, "members-cores": played.members_cores,
        "lag": {"calls": played.lag, "own": played.own_lag, "starved": played.starved},
        "steps": end.steps,
    })
}

/// The same, shorter, for people.
pub fn text(played: &Played, row: &Row) -> String {
    let Played {
        end,
        lag,
        peak_kb,
        fabric,
        ..
    } = played;
    let (counts, latency) = (&end.counts, &end.latency);
    let mut text = String::new();
    let mut line = |line: String| {
        let _ = writeln!(text, "{line}");
    };
    line(format!(
        "{}, {} balancers, seed {} {}",
        row.key.scenario,
        played.balancers,
        row.key.seed,
        row.set()
    ));
    line(format!(
        "  worth served   {:.3} of what was offered",
        end.served
    ));
    line(format!(
        "  calls          {} offered, {} on time, {} late, {} refused, {} failed",
        counts.offered, counts.on_time, counts.late, counts.refused, counts.failed
    ));
    line(format!(
        "  attempts       {} for {} requests",
        counts.attempts, counts.requests
    ));
    line(format!(
        "  latency        p50 {:.0} ms, p90 {:.0}, p99 {:.0}, longest {:.0}",
        latency.p50, latency.p90, latency.p99, latency.max
    ));
    line(format!(
        "  processes      {} starts, up after {:.1} s, {} kB of memory at most, {} on average",
        played.starts,
        played.up_after.as_secs_f64(),
        peak_kb.iter().max().unwrap_or(&0),
        mean(peak_kb)
    ));
    line(format!(
        "  paid           {} connections through the fabric, {} kB, {} list reads",
        fabric.streams_opened,
        fabric.stream_bytes / 1_000,
        played.reads
    ));
    line(format!(
        "  unanswered     {}, of these and late ones {} at stopped balancers; {} ran twice",
        played.lost, played.stood_still, played.doubled
    ));
    line(format!(
        "  the rig itself {} of {} calls late, {:.1}% of its timers, a balancer without a core {:.1}% of its time",
        lag.late,
        lag.calls,
        100.0 * played.own_lag,
        100.0 * played.starved
    ));
    if let Some(members) = &end.members {
        let (known, cores) = (members.known_by_all_ms, &played.members_cores);
        line(format!(
            "  members        {} false deaths; {} deaths, known by all after {:.0} ms (p50), {:.0} at most, {} never",
            members.false_deaths, members.deaths, known.p50, known.max, members.never_known
        ));
        line(format!(
            "                 {:.0} bytes/s each, {:.0} at most; {:.2}% of a core, {:.2}% at most",
            members.bytes_a_second.0,
            members.bytes_a_second.1,
            100.0 * cores.iter().sum::<f64>() / cores.len().max(1) as f64,
            100.0 * cores.iter().copied().fold(0.0, f64::max)
        ));
        members
            .stories
            .iter()
            .for_each(|story| line(format!("    {story}")));
    }
    if let Some(evacuated) = &end.evacuated {
        let moved: Vec<String> = evacuated
            .moved
            .iter()
            .map(|(zone, seconds)| format!("{zone} {seconds:.1}"))
            .collect();
        line(format!(
            "  left           {} moves; seconds without, a balancer: {}",
            evacuated.moves,
            moved.join(", ")
        ));
    }
    report::kept(end).for_each(&mut line);
    for breach in &end.first_breaches {
        line(format!(
            "    {:.3} s: {}",
            breach.at as f64 / 1e9,
            breach.text
        ));
    }
    played
        .crashes
        .iter()
        .for_each(|crash| line(format!("  CRASHED: {crash}")));
    text
}

/// One scenario from the lab and from the rig, second by second.
#[derive(Debug)]
pub struct Distance {
    /// End of a step, and the part of the worth that each served in it.
    pub steps: Vec<(f64, f64, f64)>,
    /// The mean distance of the parts.
    pub mean: f64,
    /// The step in which they are furthest apart, by its end.
    pub worst: (f64, f64),
    /// Parts that were served in all.
    pub served: (f64, f64),
    /// Parts that were refused to the end.
    pub refused: (f64, f64),
}

/// Compares two rows that have a timeline.
pub fn compare(lab: &Row, rig: &Row) -> Result<Distance, String> {
    if (&lab.key.scenario, &lab.key.digest) != (&rig.key.scenario, &rig.key.digest) {
        return Err(format!(
            "not of one scenario: {} and {}",
            lab.key.scenario, rig.key.scenario
        ));
    }
    let part = |counts: &woadstall_emulator::Counts| match counts.value_offered > 0.0 {
        true => counts.value / counts.value_offered,
        false => 1.0,
    };
    let pairs = lab.end.steps.iter().zip(&rig.end.steps);
    let steps: Vec<(f64, f64, f64)> = pairs
        .map(|(lab, rig)| (lab.until, part(&lab.counts), part(&rig.counts)))
        .collect();
    if steps.is_empty() {
        return Err(
            "no timeline: write rows with `woadstall-emulator-cli run --json` and `woadstall-cluster-test run --out`"
                .into(),
        );
    }
    let apart = |(_, lab, rig): &(f64, f64, f64)| (lab - rig).abs();
    let mean = steps.iter().map(apart).sum::<f64>() / steps.len() as f64;
    let worst = steps
        .iter()
        .max_by(|a, b| apart(a).total_cmp(&apart(b)))
        .map(|step| (step.0, apart(step)));
    let refused = |row: &Row| row.end.counts.refused as f64 / row.end.counts.offered.max(1) as f64;
    Ok(Distance {
        mean,
        worst: worst.unwrap_or_default(),
        served: (lab.end.served, rig.end.served),
        refused: (refused(lab), refused(rig)),
        steps,
    })
}
