//! Leases between two senders.

use woadstall_slow_start::{Lease, LeaseTable, ReceivedLease, Settings};

const MILLISECOND: u64 = 1_000_000;
const LENDER: u64 = 1;
const BORROWER: u64 = 7;

fn received(lease: &Lease, age: u64) -> ReceivedLease<'_> {
    ReceivedLease {
        lender: LENDER,
        lease,
        age,
    }
}

/// The lender does without the rate before the borrower uses it and until it can no longer do so. A
/// lease that is duplicated or late is not used.
#[test]
fn a_leased_rate_never_counts_twice() {
    let settings = Settings::default();
    let (mut lender, mut borrower) = (LeaseTable::default(), LeaseTable::default());
    let lease = lender.grant(0, BORROWER, 6.0, &settings);
    assert_eq!(lender.active_grants(0), [lease]);
    assert!(borrower.accept(
        300 * MILLISECOND,
        &received(&lease, 200 * MILLISECOND),
        &settings
    ));
    assert!(
        !borrower.accept(400 * MILLISECOND, &received(&lease, 0), &settings),
        "a duplicate, whatever its age"
    );
    for now in (0..4_000).map(|ms| ms * MILLISECOND) {
        let sum = borrower.borrowed_rate(now) + (6.0 - lender.granted_rate(now));
        assert!(sum <= 6.0, "{sum} at {now}");
    }
    assert!(
        borrower.borrowed_rate(1_900 * MILLISECOND) > 5.9
            && lender.granted_rate(3_100 * MILLISECOND) == 0.0
    );
    let mut expired = LeaseTable::default();
    assert!(!expired.accept(
        9_000 * MILLISECOND,
        &received(&lease, 2_500 * MILLISECOND),
        &settings
    ));
}
