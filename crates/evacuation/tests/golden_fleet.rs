//! A golden test of the decisions of a small fleet in a fixed sequence of failures. The verdicts, the
//! number of log lines and the final status of all coordinators are combined into one digest, which
//! refactorings must not change.

mod fleet;

use fleet::{
    Digest, MS, Random, SERVERS_PER_ZONE, STEP, UNIX_MS, deliver, new_fleet, submit_order,
};
use woadstall_evacuation::OrderAction;
use woadstall_health_reports::SubjectKind;

const STEPS: u64 = 900;

/// Returns the percentage of a server's calls that fail and the percentage that are slow, in a given
/// second of the run.
fn faults(second: u64, server: u32, class: usize) -> (u64, u64) {
    let zone = server / SERVERS_PER_ZONE;
    match second {
        10..22 if zone == 0 => (90, 5),
        30..38 if server == 5 => (80, 0),
        40..52 if zone == 1 && class == 1 => (70, 0),
        55..63 if zone == 2 => (0, 70),
        66..72 if zone < 2 => (100, 0),
        _ => (1, 1),
    }
}

#[test]
fn a_fleet_takes_the_golden_decisions_in_a_fixed_sequence_of_failures() {
    let mut fleet = new_fleet();
    let mut random = Random(4_711);
    let mut digest = Digest(0xcbf2_9ce4_8422_2325);
    let mut verdicts = 0;
    for step in 1..=STEPS {
        let now = step * STEP;
        match step {
            765 => submit_order(
                &mut fleet,
                now,
                SubjectKind::Zone,
                "sur",
                OrderAction::Evacuate,
            ),
            770 => submit_order(
                &mut fleet,
                now,
                SubjectKind::Region,
                "litoral",
                OrderAction::Keep,
            ),
            775 => submit_order(
                &mut fleet,
                now,
                SubjectKind::Server,
                "nodo-3",
                OrderAction::Evacuate,
            ),
            155 => submit_order(
                &mut fleet,
                now,
                SubjectKind::Zone,
                "norte",
                OrderAction::Restore,
            ),
            _ => {}
        }
        for number in 0..fleet.len() {
            fleet[number].node.tick(now);
            deliver(&mut fleet, now);
            fleet[number].make_calls(now, &mut random, faults);
            verdicts += fleet[number].step(now, &mut digest);
            deliver(&mut fleet, now);
        }
    }
    for balancer in &fleet {
        let status = balancer
            .coordinator
            .status(STEPS * STEP, UNIX_MS + STEPS * STEP / MS);
        digest.bytes(serde_json::to_string(&status).unwrap().as_bytes());
    }
    assert!(verdicts > 1_000, "{verdicts} verdicts");
    assert_eq!(format!("{:016x}", digest.0), "3f51a7c56a1996f3");
}
