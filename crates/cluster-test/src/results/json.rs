//! The result as JSON, for programs.

use super::{ClusterResult, mean};
use serde_json::{Value, json};
use woadstall_emulator_cli::rows::Row;

/// The whole result. `row` has the timeline in the emulator's form.
pub fn json(result: &ClusterResult, row: &Row) -> Value {
    let ClusterResult {
        end,
        peak_memory_kb,
        traffic,
        ..
    } = result;
    let requests = end.counts.requests.max(1) as f64;
    json!({
        "scenario": row.key.scenario,
        "digest": row.key.digest,
        "seed": row.key.seed,
        "commit": row.commit,
        "kept": result.is_passed(),
        "too-slow": result.too_slow(),
        "served": end.served_value_fraction,
        "counts": end.counts,
        "latency": end.latency,
        "processes": {
            "balancers": result.balancers,
            "starts": result.starts,
            "nodos": result.upstreams.len(),
            "up-after-s": result.up_after.as_secs_f64(),
            "crashes": result.failures,
            "memory-kb": {"most": peak_memory_kb.iter().max(), "mean": mean(peak_memory_kb)},
        },
        "breaches": end.breaches,
        "first-breaches": end.first_breaches,
        "bounds": end.bounds,
        "lost": result.unanswered,
        "doubled": result.ran_twice,
        "stood-still": result.overdue_at_suspended,
        "prices": {
            "connections": traffic.streams_opened,
            "connections-a-request": traffic.streams_opened as f64 / requests,
            "bytes": traffic.stream_bytes,
            "list-reads": result.list_queries,
            "attempts-a-request": end.counts.attempts as f64 / requests,
        },
        "members": end.members,
        "evacuated": end.evacuation,
        "members-cores": result.membership_cores,
        "lag": {"calls": result.lag, "own": result.timer_lag, "starved": result.starved},
        "steps": end.timeline,
    })
}
