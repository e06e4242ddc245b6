//! Tests of operators' orders to restore a domain, in a small fleet.

mod fleet;

use fleet::{
    Balancer, Digest, MS, Random, SERVERS_PER_ZONE, STEP, UNIX_MS, deliver, new_fleet, submit_order,
};
use woadstall_evacuation::OrderAction;
use woadstall_health_reports::SubjectKind;

/// The step in which the order is given.
const ORDER_STEP: u64 = 150;
/// The last step of the run.
const LAST_STEP: u64 = 185;

/// Faults for a run in which the first zone permanently fails nearly all calls.
fn first_zone_fails(_second: u64, server: u32, _class: usize) -> (u64, u64) {
    if server < SERVERS_PER_ZONE {
        (95, 0)
    } else {
        (1, 1)
    }
}

/// Returns the name of the phase and the epoch of the zone `norte` in a balancer's status.
fn zone_status(balancer: &Balancer, now: u64) -> (String, u32) {
    let status = balancer.coordinator.status(now, UNIX_MS + now / MS);
    let mut domains = status.domains.into_iter();
    let zone = domains.find(|domain| domain.name == "zone norte");
    zone.map(|zone| (zone.phase, zone.epoch))
        .expect("the status lists the zone")
}

/// The order is valid for 4 s. The zone is restored at once, fails again, and may be restored again
/// only after 2 s. Each restoration raises the epoch by one when it begins and by one when it fails.
#[test]
fn an_order_to_restore_a_zone_that_goes_on_failing_does_not_make_it_flap() {
    let mut fleet = new_fleet();
    let (mut random, mut digest) = (Random(4_711), Digest(0));
    let mut epoch_before = None;
    for step in 1..=LAST_STEP {
        let now = step * STEP;
        if step == ORDER_STEP {
            let (phase, epoch) = zone_status(&fleet[1], now);
            assert_eq!(phase, "left", "the zone is evacuated before the order");
            epoch_before = Some(epoch);
            submit_order(
                &mut fleet,
                now,
                SubjectKind::Zone,
                "norte",
                OrderAction::Restore,
            );
        }
        for number in 0..fleet.len() {
            fleet[number].node.tick(now);
            deliver(&mut fleet, now);
            fleet[number].make_calls(now, &mut random, first_zone_fails);
            fleet[number].step(now, &mut digest);
            deliver(&mut fleet, now);
        }
    }
    let (_, epoch) = zone_status(&fleet[1], LAST_STEP * STEP);
    let changes = epoch - epoch_before.expect("the order was given");
    assert!((2..=6).contains(&changes), "{changes} changes in 3.5 s");
}
