//! Threads that report of members and start and end them at the same time.

use super::*;
use std::sync::mpsc::channel;
use std::thread::spawn;
use std::time::Duration;

/// How often each thread does its part: with two locks taken in two orders, they meet within some hundreds.
const ROUNDS: usize = 20_000;
/// Far longer than the rounds take.
const PATIENCE: Duration = Duration::from_secs(60);

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
fn members_that_start_and_end_do_not_block_those_who_report() {
    let membership = Arc::new(membership_of_two());
    let (ended, has_ended) = channel();
    let parts: [fn(&Membership, usize); 3] = [
        |membership, round| membership.set_running(0, round % 2 == 0),
        |membership, _| membership.record_partitions(|_, _| false),
        |membership, _| drop(membership.members_end()),
    ];
    for part in parts {
        let (membership, ended) = (membership.clone(), ended.clone());
        spawn(move || {
            (0..ROUNDS).for_each(|round| part(&membership, round));
            ended.send(()).ok();
        });
    }
    for _ in parts {
        has_ended
            .recv_timeout(PATIENCE)
            .expect("no thread waits for another for ever");
    }
}
