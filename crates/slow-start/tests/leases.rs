//! Tests of leases between two senders.

use woadstall_slow_start::{Lease, LeaseTable, ReceivedLease, Settings};

const MILLISECOND_NS: u64 = 1_000_000;
const LENDER: u64 = 1;
const BORROWER: u64 = 7;

fn received(lease: &Lease, age: u64) -> ReceivedLease<'_> {
    ReceivedLease {
        lender: LENDER,
        lease,
        age,
    }
}

/// Guards against a leased rate that both the lender and the borrower use.
///
/// The lender gives up the rate before the borrower can use it, and reclaims it only when the
/// borrower can no longer use it. A duplicated or late lease is rejected.
#[test]
fn a_leased_rate_never_counts_twice() {
    let settings = Settings::default();
    let (mut lender, mut borrower) = (LeaseTable::default(), LeaseTable::default());
    let lease = lender.grant(0, BORROWER, 6.0, &settings);
    assert_eq!(lender.active_grants(0), [lease]);
    assert!(borrower.accept(
        300 * MILLISECOND_NS,
        &received(&lease, 200 * MILLISECOND_NS),
        &settings
    ));
    assert!(
        !borrower.accept(400 * MILLISECOND_NS, &received(&lease, 0), &settings),
        "a duplicate lease is rejected, whatever its age"
    );
    for now in (0..4_000).map(|ms| ms * MILLISECOND_NS) {
        let sum = borrower.borrowed_rate(now) + (6.0 - lender.granted_rate(now));
        assert!(sum <= 6.0, "{sum} at {now}");
    }
    assert!(
        borrower.borrowed_rate(1_900 * MILLISECOND_NS) > 5.9
            && lender.granted_rate(3_100 * MILLISECOND_NS) == 0.0
    );
    let mut expired = LeaseTable::default();
    assert!(!expired.accept(
        9_000 * MILLISECOND_NS,
        &received(&lease, 2_500 * MILLISECOND_NS),
        &settings
    ));
}
