//! Tests of the phases of a domain, the adoption of decisions, operators' orders, and the decoding
//! of malformed bytes.

use proptest::prelude::*;
use woadstall_evacuation::{
    Alternatives, DomainDecision, DomainState, Order, OrderAction, OrderTable, Phase,
};
use woadstall_health_reports::{Assessment, CallCounts, Reporters, Subject, Symptom};

const SECOND: u64 = 1_000_000_000;
const STEP: u64 = SECOND / 10;
const BETTER: Alternatives = Alternatives {
    has_better: true,
    has_capacity: true,
    is_last: false,
};

fn assessment(strength: f64, failure_rate: f64) -> Assessment {
    Assessment {
        symptom: Symptom::Failing,
        is_unhealthy: strength >= 1.0,
        strength,
        health: 1.0 - strength.min(1.0),
        counts: CallCounts::new(40.0, 40.0 * failure_rate, 0.0, 0),
        reporters: Reporters {
            against: 5,
            in_favor: 0,
        },
        zones: 1,
    }
}

/// Advances a state in steps of `STEP` with the same assessment, and returns the time at the end. All
/// times are in nanoseconds.
fn advance_for(
    state: &mut DomainState,
    from: u64,
    duration: u64,
    assessment: &Assessment,
    alternatives: &Alternatives,
) -> u64 {
    let until = from + duration;
    (from..until)
        .step_by(STEP as usize)
        .for_each(|now| state.advance(now, assessment, alternatives));
    until
}

#[test]
fn a_failing_domain_is_evacuated_at_once_and_a_degraded_one_by_steps() {
    let mut failing = DomainState::default();
    let now = advance_for(
        &mut failing,
        SECOND,
        SECOND / 2,
        &assessment(2.0, 0.9),
        &BETTER,
    );
    assert_eq!(
        (failing.phase, failing.share, failing.epoch),
        (Phase::Evacuated, 0.0, 1)
    );
    let mut degraded = DomainState::default();
    advance_for(
        &mut degraded,
        SECOND,
        SECOND / 2,
        &assessment(2.0, 0.3),
        &BETTER,
    );
    assert_eq!(degraded.phase, Phase::Draining);
    assert!((0.3..1.0).contains(&degraded.share), "{}", degraded.share);
    // The other domains have no capacity for more work, so the domain keeps its reduced share.
    let share = degraded.share;
    let without_capacity = Alternatives {
        has_capacity: false,
        ..BETTER
    };
    advance_for(
        &mut degraded,
        now,
        5 * SECOND,
        &assessment(2.0, 0.3),
        &without_capacity,
    );
    assert_eq!((degraded.phase, degraded.share), (Phase::Draining, share));
    advance_for(
        &mut degraded,
        now + 5 * SECOND,
        3 * SECOND,
        &assessment(2.0, 0.3),
        &BETTER,
    );
    assert_eq!((degraded.phase, degraded.share), (Phase::Evacuated, 0.0));
}

#[test]
fn no_domain_is_drained_without_a_better_one_nor_the_last_one() {
    for alternatives in [
        Alternatives {
            has_better: false,
            ..BETTER
        },
        Alternatives {
            is_last: true,
            ..BETTER
        },
    ] {
        let mut state = DomainState::default();
        advance_for(
            &mut state,
            SECOND,
            20 * SECOND,
            &assessment(3.0, 0.9),
            &alternatives,
        );
        assert_eq!(
            (state.phase, state.share, state.epoch),
            (Phase::Suspected, 1.0, 0)
        );
    }
    // When all domains fail together, the reports about one of them arrive first. A single
    // assessment with a better alternative is therefore not enough to drain a domain.
    let mut state = DomainState::default();
    state.advance(SECOND, &assessment(3.0, 0.9), &BETTER);
    state.advance(
        SECOND + STEP,
        &assessment(3.0, 0.9),
        &Alternatives {
            has_better: false,
            ..BETTER
        },
    );
    advance_for(
        &mut state,
        SECOND + 2 * STEP,
        STEP,
        &assessment(3.0, 0.9),
        &BETTER,
    );
    assert_eq!(state.share, 1.0);
}

/// Each relapse prolongs the time until the next attempt to restore the domain, up to a limit.
#[test]
fn a_flapping_domain_is_restored_later_after_each_relapse() {
    let (mut state, mut now, mut evacuated_s) = (DomainState::default(), SECOND, Vec::new());
    for _ in 0..7 {
        now = advance_for(&mut state, now, SECOND, &assessment(2.0, 0.9), &BETTER);
        assert_eq!(state.phase, Phase::Evacuated);
        let evacuated_at = now;
        while state.phase == Phase::Evacuated {
            now = advance_for(&mut state, now, STEP, &assessment(0.0, 0.0), &BETTER);
        }
        evacuated_s.push((now - evacuated_at) / SECOND);
        now = advance_for(&mut state, now, SECOND / 2, &assessment(0.0, 0.0), &BETTER);
        assert!(state.share < 0.5, "the domain is restored in steps");
    }
    assert!(
        evacuated_s.is_sorted()
            && evacuated_s[3] >= 4 * evacuated_s[0].max(1)
            && *evacuated_s.last().unwrap() <= 33,
        "{evacuated_s:?}"
    );
}

#[test]
fn later_epochs_are_adopted_and_earlier_ones_change_nothing() {
    let mut state = DomainState::default();
    assert!(state.adopt(SECOND, Phase::Evacuated, 3, 0.0));
    let adopted = state;
    for (phase, epoch) in [
        (Phase::InUse, 2),
        (Phase::Evacuated, 3),
        (Phase::Restoring, 3),
        (Phase::InUse, 0),
    ] {
        assert!(
            !state.adopt(2 * SECOND, phase, epoch, 1.0),
            "{phase:?} of {epoch}"
        );
    }
    assert_eq!(state, adopted);
    assert!(state.adopt(3 * SECOND, Phase::Restoring, 4, 0.2));
    assert_eq!((state.phase, state.share), (Phase::Restoring, 0.2));
}

#[test]
fn the_newest_order_is_valid_until_it_ends() {
    let subject = Subject::zone("", "norte");
    let order = |action, issued_ms, until_ms, id| Order {
        subject,
        action,
        issued_ms,
        until_ms,
        id,
    };
    let mut orders = OrderTable::default();
    assert!(
        orders
            .submit(1_000, order(OrderAction::Evacuate, 1_000, 60_000, 7))
            .is_ok()
    );
    // Of two orders issued in the same millisecond, the one with the higher id applies at all
    // members.
    assert!(
        orders
            .submit(1_000, order(OrderAction::Keep, 1_000, 50_000, 9))
            .is_ok()
    );
    assert!(
        orders
            .submit(1_001, order(OrderAction::Evacuate, 1_000, 60_000, 8))
            .is_err()
    );
    assert!(
        orders
            .submit(1_001, order(OrderAction::Evacuate, 999, 60_000, 99))
            .is_err(),
        "issued before the current order"
    );
    assert_eq!(
        orders.get(&subject).map(|order| order.action),
        Some(OrderAction::Keep)
    );
    assert!(
        orders
            .submit(70_000, order(OrderAction::Restore, 2_000, 60_000, 1))
            .is_err(),
        "expired"
    );
    let day = 24 * 3_600_000;
    assert!(
        orders
            .submit(1_000, order(OrderAction::Keep, 3 * day, 9 * day, 1))
            .is_err(),
        "issued by a clock that is several days ahead"
    );
    assert!(
        orders
            .submit(2_000, order(OrderAction::Evacuate, 2_000, u64::MAX, 1))
            .is_ok()
    );
    assert!(
        !orders.remove_expired(2_000 + day - 1) && orders.remove_expired(2_000 + day),
        "no order is valid for longer than a day"
    );
}

proptest! {
    /// For any sequence of assessments, the share stays from 0 to 1, epochs never decrease, and a
    /// domain in use has its full share.
    #[test]
    fn any_history_of_evidence_keeps_to_the_phases(
        history in prop::collection::vec((0.0..3.0_f64, 0.0..=1.0_f64, any::<bool>(), any::<bool>(), any::<bool>(), 1_u64..40), 1..80),
    ) {
        let (mut state, mut now) = (DomainState::default(), SECOND);
        for (strength, failure_rate, has_better, has_capacity, is_last, steps) in history {
            for _ in 0..steps {
                let before = state;
                state.advance(now, &assessment(strength, failure_rate), &Alternatives { has_better, has_capacity, is_last });
                now += STEP;
                prop_assert!((0.0..=1.0).contains(&state.share));
                prop_assert!(state.epoch >= before.epoch);
                let has_grown = state.share > before.share;
                let is_restored = state.phase == Phase::Restoring || before.phase == Phase::Restoring;
                prop_assert!(!has_grown || is_restored || state.epoch > before.epoch, "{:?} {:?}", before, state);
                let is_in_use = matches!(state.phase, Phase::InUse | Phase::Suspected);
                prop_assert!(!is_in_use || state.share >= 1.0, "{:?}", state);
                prop_assert!(state.phase != Phase::Evacuated || state.share < 1.0, "{:?}", state);
                // A domain is never drained if it is the last one or no other domain is better.
                prop_assert!(state.share >= before.share || has_better && !is_last, "{:?} {:?}", before, state);
            }
        }
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300), is_version_valid in any::<bool>()) {
        let mut bytes = bytes;
        if is_version_valid && !bytes.is_empty() {
            bytes[0] = 1;
        }
        if let Ok(decisions) = DomainDecision::decode(&bytes) {
            prop_assert!(decisions.iter().all(|decision| (0.0..=1.0).contains(&decision.share())));
        }
        if let Ok(decoded) = OrderTable::decode(&bytes) {
            let mut orders = OrderTable::default();
            let accepted = decoded.into_iter().filter(|order| orders.submit(1_000, *order).is_ok()).count();
            prop_assert!(orders.encode(256).len() <= 256 && orders.is_empty() == (accepted == 0));
        }
    }
}
