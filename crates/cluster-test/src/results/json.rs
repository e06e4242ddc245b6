//! JSON form of the result.

use super::{ClusterResult, mean};
use serde_json::{Value, json};
use woadstall_emulator_cli::rows::Row;

/// Converts the complete result to JSON. `row` supplies the scenario, the digest, the seed and the commit.
pub fn json(result: &ClusterResult, row: &Row) -> Value {
    let ClusterResult {
        run_result,
        peak_memory_kb,
        traffic,
        ..
    } = result;
    let requests = run_result.counts.requests.max(1) as f64;
    json!({
        "scenario": row.key.scenario,
        "digest": row.key.digest,
        "seed": row.key.seed,
        "commit": row.commit,
        "kept": result.is_passed(),
        "too-slow": result.too_slow(),
        "served": run_result.served_value_fraction,
        "counts": run_result.counts,
        "latency": run_result.latency,
        "processes": {
            "balancers": result.balancer_count,
            "starts": result.process_starts,
            "nodos": result.upstreams.len(),
            "up-after-s": result.startup_time.as_secs_f64(),
            "crashes": result.failures,
            "memory-kb": {"most": peak_memory_kb.iter().max(), "mean": mean(peak_memory_kb)},
        },
        "breaches": run_result.breaches,
        "first-breaches": run_result.first_breaches,
        "bounds": run_result.bounds,
        "lost": result.unanswered_requests,
        "doubled": result.requests_executed_twice,
        "stood-still": result.overdue_requests_at_suspended,
        "prices": {
            "connections": traffic.streams_opened,
            "connections-a-request": traffic.streams_opened as f64 / requests,
            "bytes": traffic.stream_bytes,
            "list-reads": result.list_reads,
            "attempts-a-request": run_result.counts.attempts as f64 / requests,
        },
        "members": run_result.members,
        "evacuated": run_result.evacuation,
        "members-cores": result.membership_core_shares,
        "lag": {"calls": result.lag, "own": result.late_timer_share, "starved": result.max_core_wait_share},
        "steps": run_result.timeline,
    })
}
