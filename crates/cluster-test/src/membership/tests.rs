//! Concurrent reports, starts and stops of members.

use super::*;
use std::sync::mpsc::channel;
use std::thread::spawn;
use std::time::Duration;

/// Iterations of each thread. With two mutexes locked in opposite orders, a deadlock occurs within a few hundred
/// iterations.
const ITERATIONS: usize = 20_000;
/// Time limit for all iterations, far longer than they take.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);

fn membership_of_two() -> Membership {
    Membership {
        addresses: Vec::new(),
        key: String::new(),
        views: Mutex::new(MemberViews {
            observer: MembershipObserver::new(2, 1_000_000_000),
            reported: vec![ReportedState::default(); 2],
        }),
        evacuations: Mutex::new(EvacuationTracker::new(Vec::new(), 2)),
        unpowered: Mutex::default(),
        start: Instant::now(),
    }
}

#[test]
fn starts_and_stops_do_not_deadlock_with_reports() {
    let membership = Arc::new(membership_of_two());
    let (ended, has_ended) = channel();
    let operations: [fn(&Membership, usize); 3] = [
        |membership, round| membership.set_running(0, round % 2 == 0),
        |membership, _| membership.record_partitions(|_, _| false),
        |membership, _| drop(membership.membership_report()),
    ];
    for operation in operations {
        let (membership, ended) = (membership.clone(), ended.clone());
        spawn(move || {
            (0..ITERATIONS).for_each(|round| operation(&membership, round));
            ended.send(()).ok();
        });
    }
    for _ in operations {
        has_ended
            .recv_timeout(JOIN_TIMEOUT)
            .expect("every thread finishes without a deadlock");
    }
}
