//! The budget under messages of any length at any time.

use super::*;
use proptest::prelude::*;

proptest! {
    /// However long each message takes and whenever it comes: no more than the fraction is spent, beyond what was saved.
    #[test]
    fn no_more_is_spent_than_there_is(
        messages in prop::collection::vec((0_u64..2_000_000, 0_u64..3_000_000), 1..400),
    ) {
        let (mut budget, mut now, mut spent, mut longest) =
            (ReceiveBudget::default(), 0_u64, 0_u64, 0);
        for (gap, takes) in messages {
            now += gap;
            if budget.wait(now).is_some() {
                continue;
            }
            now += takes;
            spent += takes;
            longest = longest.max(takes);
            budget.spend(Duration::from_nanos(takes));
            prop_assert!(spent <= now / TIME_DIVISOR + MAX_BURST + longest, "{spent} of {now}");
        }
        if let Some(wait) = budget.wait(now) {
            let later = now + wait.as_nanos() as u64 + TIME_DIVISOR;
            prop_assert!(budget.wait(later).is_none());
        }
    }
}
