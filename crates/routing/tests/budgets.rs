//! Tests that the retry budgets and warm-up quotas of all balancers together stay within their
//! bounds.

use proptest::prelude::*;
use std::collections::VecDeque;
use woadstall_routing::{QuotaGroup, RetryBudget, WarmupQuota};

proptest! {
    #[test]
    fn quotas_of_a_group_add_up_to_its_total_and_stay_within_the_bound(
        local in prop::collection::btree_set(any::<u32>(), 1..120),
        remote in prop::collection::btree_set(any::<u32>(), 0..120),
        bound in 1.0_f64..200.0,
        upstream in "[a-z]{8}",
    ) {
        let local: Vec<u32> = local.into_iter().collect();
        let remote: Vec<u32> = remote.into_iter().filter(|balancer| !local.contains(balancer)).collect();
        let sum_of_quotas = |group: QuotaGroup, members: &[u32]| -> usize {
            let has_other_group = group == QuotaGroup::Remote || !remote.is_empty();
            let total = WarmupQuota::group_total(bound, group, has_other_group);
            let quota = |own: &u32| WarmupQuota::of_balancer(total, &upstream, *own, members);
            let quotas: usize = members.iter().map(|own| quota(own).per_second).sum();
            assert_quota_sum(quotas, if members.is_empty() { 0 } else { total });
            quotas
        };
        let (local, remote) = (sum_of_quotas(QuotaGroup::Local, &local), sum_of_quotas(QuotaGroup::Remote, &remote));
        prop_assert!((local + remote) as f64 <= bound);
    }

    #[test]
    fn a_quota_bounds_the_requests_of_any_second(
        pauses in prop::collection::vec(0..700_u64, 1..200),
        per_second in 0..12_usize,
    ) {
        let quota = WarmupQuota { per_second };
        let (mut now, mut sends) = (10_000, VecDeque::new());
        for pause in pauses {
            now += pause;
            if quota.allows(now, &sends) {
                sends.push_back(now);
            }
        }
        for begin in &sends {
            let within = sends.iter().filter(|at| (*begin..=begin + 1_000).contains(at)).count();
            prop_assert!(within <= per_second);
        }
    }

    #[test]
    fn retries_of_all_balancers_stay_within_the_budget_of_any_window(
        histories in prop::collection::vec(prop::collection::vec((0..400_u64, any::<bool>()), 1..250), 1..6),
    ) {
        const RATIO: f64 = 0.2;
        const WINDOW_MS: u64 = 10_000;
        const SLACK: f64 = 56.0;
        let balancers = histories.len();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for history in histories {
            let (mut budget, mut now) = (RetryBudget::new(RATIO, WINDOW_MS), 0);
            for (pause, fails) in history {
                now += pause;
                budget.deposit(now);
                requests.push(now);
                if fails && budget.try_withdraw(now, SLACK, balancers) {
                    retries.push(now);
                }
            }
        }
        for end in &retries {
            let begin = end.saturating_sub(WINDOW_MS);
            let count = |times: &[u64], from: u64, to: u64| times.iter().filter(|at| (from..=to).contains(at)).count();
            let earning_requests = count(&requests, begin, *end).max(count(&requests, begin.saturating_sub(WINDOW_MS), begin));
            let max_retries = RATIO * earning_requests as f64 + SLACK;
            prop_assert!(count(&retries, begin, *end) as f64 <= max_retries);
        }
    }
}

fn assert_quota_sum(sum: usize, expected: usize) {
    assert_eq!(
        sum, expected,
        "the quotas do not add up to the total of the group"
    );
}

#[test]
fn a_budget_refills_as_its_window_passes() {
    let mut budget = RetryBudget::new(0.0, 10_000);
    let taken = (0..20).filter(|_| budget.try_withdraw(0, 10.0, 1)).count();
    assert_eq!(taken, 7);
    assert!(!budget.try_withdraw(9_000, 10.0, 1));
    assert!(budget.try_withdraw(11_000, 10.0, 1));
}
