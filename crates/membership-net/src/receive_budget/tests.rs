//! Tests of the budget with messages of any processing time at any time of arrival.

use super::*;
use proptest::prelude::*;

proptest! {
    /// The spent time stays within the permitted fraction plus the maximum burst and one message,
    /// whatever the processing times and arrival times.
    #[test]
    fn spending_stays_within_the_budget(
        messages in prop::collection::vec((0_u64..2_000_000, 0_u64..3_000_000), 1..400),
    ) {
        let (mut budget, mut now, mut spent, mut longest) =
            (ReceiveBudget::default(), 0_u64, 0_u64, 0);
        for (gap, processing_ns) in messages {
            now += gap;
            if budget.wait(now).is_some() {
                continue;
            }
            now += processing_ns;
            spent += processing_ns;
            longest = longest.max(processing_ns);
            budget.spend(Duration::from_nanos(processing_ns));
            prop_assert!(spent <= now / TIME_DIVISOR + MAX_BURST_NS + longest, "{spent} of {now}");
        }
        if let Some(wait) = budget.wait(now) {
            let later = now + wait.as_nanos() as u64 + TIME_DIVISOR;
            prop_assert!(budget.wait(later).is_none());
        }
    }
}
