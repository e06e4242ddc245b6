//! Operators' orders to restore a domain, in a small fleet.

mod fleet;

use fleet::{
    Balancer, Digest, Draws, MS, SERVERS_PER_ZONE, STEP, UNIX_MS, deliver, new_fleet, order,
};
use woadstall_evacuation::OrderAction;
use woadstall_health_reports::SubjectKind;

/// When the order is given, and when the run ends, in steps.
const ORDERED_AT: u64 = 150;
const END: u64 = 185;

/// The first zone fails nearly all calls for good.
fn first_zone_fails(_second: u64, server: u32, _class: usize) -> (u64, u64) {
    if server < SERVERS_PER_ZONE {
        (95, 0)
    } else {
        (1, 1)
    }
}

/// What a balancer tells operators of the zone: the name of its phase and its epoch.
fn zone_status(balancer: &Balancer, now: u64) -> (String, u32) {
    let status = balancer.coordinator.status(now, UNIX_MS + now / MS);
    let mut domains = status.domains.into_iter();
    let zone = domains.find(|domain| domain.name == "zone norte");
    zone.map(|zone| (zone.phase, zone.epoch))
        .expect("it is listed")
}

/// The order holds for 4 s: the zone is tried at once, and again after 2 s and no sooner. Each trial
/// raises its epoch by one when it begins and by one when it fails.
#[test]
fn an_order_to_restore_a_zone_that_goes_on_failing_does_not_make_it_flap() {
    let mut fleet = new_fleet();
    let (mut draws, mut digest) = (Draws(4_711), Digest(0));
    let mut before = None;
    for step in 1..=END {
        let now = step * STEP;
        if step == ORDERED_AT {
            let (phase, epoch) = zone_status(&fleet[1], now);
            assert_eq!(phase, "left", "it is evacuated by then");
            before = Some(epoch);
            order(
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
            fleet[number].calls(now, &mut draws, first_zone_fails);
            fleet[number].step(now, &mut digest);
            deliver(&mut fleet, now);
        }
    }
    let (_, epoch) = zone_status(&fleet[1], END * STEP);
    let changes = epoch - before.expect("the order was given");
    assert!((2..=6).contains(&changes), "{changes} changes in 3.5 s");
}
