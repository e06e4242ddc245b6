//! Renders the status of a control machine as JSON for `woadstall status`. The keys are documented
//! in `docs/system-operators.md`.

use serde_json::{Value, json};
use woadstall_control::machine::ControlMachine;

/// Returns the status of a machine as JSON. `now` is the machine's clock in milliseconds.
pub(in crate::core) fn status(machine: &ControlMachine, now: u64) -> String {
    let replica = machine.replica();
    json!({
        "id": format!("{:x}", replica.id()),
        "leader": replica.leader().map(|leader| format!("{leader:x}")),
        "in_quorum": machine.in_quorum(),
        "term": replica.term(),
        "commit": replica.commit_index(),
        "last": replica.log().last_index(),
        "generation": machine.state().generation(),
        "evacuated": machine.state().evacuated_zones,
        "members": members(machine),
        "machines": machines(machine),
        "readers": machine.subscriber_names().collect::<Vec<_>>(),
        "upstreams": upstreams(machine, now),
    })
    .to_string()
}

fn members(machine: &ControlMachine) -> Vec<Value> {
    machine
        .replica()
        .membership()
        .all_voters()
        .map(|member| json!({ "id": format!("{:x}", member.id), "address": member.address }))
        .collect()
}

fn machines(machine: &ControlMachine) -> Vec<Value> {
    machine
        .machines()
        .iter()
        .map(|other| {
            json!({
                "address": other.member.address,
                "zone": other.zone,
                "control": other.control_address,
            })
        })
        .collect()
}

fn upstreams(machine: &ControlMachine, now: u64) -> Vec<Value> {
    machine
        .registry()
        .all(now)
        .iter()
        .map(|upstream| {
            json!({
                "id": upstream.id,
                "service": upstream.service,
                "address": upstream.address,
                "zone": upstream.zone,
                "status": upstream.status.to_string(),
                "cold_remaining_ms": upstream.slow_start_remaining_ms,
            })
        })
        .collect()
}
