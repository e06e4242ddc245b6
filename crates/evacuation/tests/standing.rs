//! How a place goes from state to state, what others' decisions and operators' words do, and garbage.

use proptest::prelude::*;
use woadstall_evacuation::{
    Alternatives, Order, OrderAction, OrderTable, Phase, PlaceDecision, PlaceState,
};
use woadstall_health_reports::{Assessment, CallCounts, Subject, Symptom};

const SECOND: u64 = 1_000_000_000;
const STEP: u64 = SECOND / 10;
const FREE: Alternatives = Alternatives {
    better: true,
    room: true,
    last: false,
};

fn opinion(strength: f64, failing: f64) -> Assessment {
    Assessment {
        ill: Symptom::Failing,
        is_ill: strength >= 1.0,
        strength,
        wellness: 1.0 - strength.min(1.0),
        counts: CallCounts::new(40.0, 40.0 * failing, 0.0, 0),
        witnesses: (5, 0),
        zones: 1,
    }
}

/// Goes on for so long, in steps of a turn; the time after that.
fn go(
    standing: &mut PlaceState,
    from: u64,
    time: u64,
    opinion: &Assessment,
    beside: &Alternatives,
) -> u64 {
    let until = from + time;
    (from..until)
        .step_by(STEP as usize)
        .for_each(|now| standing.go_on(now, opinion, beside));
    until
}

#[test]
fn what_fails_is_left_at_once_and_what_serves_a_part_by_steps() {
    let mut dead = PlaceState::default();
    let now = go(&mut dead, SECOND, SECOND / 2, &opinion(2.0, 0.9), &FREE);
    assert_eq!(
        (dead.state, dead.share, dead.epoch),
        (Phase::Evacuated, 0.0, 1)
    );
    let mut grey = PlaceState::default();
    go(&mut grey, SECOND, SECOND / 2, &opinion(2.0, 0.3), &FREE);
    assert_eq!(grey.state, Phase::Draining);
    assert!((0.3..1.0).contains(&grey.share), "{}", grey.share);
    // Those that remain have no room for more: a part stays.
    let share = grey.share;
    let full = Alternatives {
        room: false,
        ..FREE
    };
    go(&mut grey, now, 5 * SECOND, &opinion(2.0, 0.3), &full);
    assert_eq!((grey.state, grey.share), (Phase::Draining, share));
    go(
        &mut grey,
        now + 5 * SECOND,
        3 * SECOND,
        &opinion(2.0, 0.3),
        &FREE,
    );
    assert_eq!((grey.state, grey.share), (Phase::Evacuated, 0.0));
}

#[test]
fn nothing_is_left_for_what_is_no_better_nor_the_last() {
    for beside in [
        Alternatives {
            better: false,
            ..FREE
        },
        Alternatives { last: true, ..FREE },
    ] {
        let mut standing = PlaceState::default();
        go(
            &mut standing,
            SECOND,
            20 * SECOND,
            &opinion(3.0, 0.9),
            &beside,
        );
        assert_eq!(
            (standing.state, standing.share, standing.epoch),
            (Phase::Suspected, 1.0, 0)
        );
    }
    // A moment's look at one zone before the others are known to be as bad is not enough.
    let mut standing = PlaceState::default();
    standing.go_on(SECOND, &opinion(3.0, 0.9), &FREE);
    standing.go_on(
        SECOND + STEP,
        &opinion(3.0, 0.9),
        &Alternatives {
            better: false,
            ..FREE
        },
    );
    go(
        &mut standing,
        SECOND + 2 * STEP,
        STEP,
        &opinion(3.0, 0.9),
        &FREE,
    );
    assert_eq!(standing.share, 1.0);
}

/// Each relapse makes the next try later, up to a bound.
#[test]
fn a_place_that_flaps_is_tried_ever_later() {
    let (mut standing, mut now, mut waits) = (PlaceState::default(), SECOND, Vec::new());
    for _ in 0..7 {
        now = go(&mut standing, now, SECOND, &opinion(2.0, 0.9), &FREE);
        assert_eq!(standing.state, Phase::Evacuated);
        let left = now;
        while standing.state == Phase::Evacuated {
            now = go(&mut standing, now, STEP, &opinion(0.0, 0.0), &FREE);
        }
        waits.push((now - left) / SECOND);
        now = go(&mut standing, now, SECOND / 2, &opinion(0.0, 0.0), &FREE);
        assert!(standing.share < 0.5, "what comes back does so by steps");
    }
    assert!(
        waits.is_sorted() && waits[3] >= 4 * waits[0].max(1) && *waits.last().unwrap() <= 33,
        "{waits:?}"
    );
}

#[test]
fn later_epochs_hold_and_earlier_ones_change_nothing() {
    let mut standing = PlaceState::default();
    assert!(standing.follow(SECOND, Phase::Evacuated, 3, 0.0));
    let held = standing;
    for (state, epoch) in [
        (Phase::InUse, 2),
        (Phase::Evacuated, 3),
        (Phase::Restoring, 3),
        (Phase::InUse, 0),
    ] {
        assert!(
            !standing.follow(2 * SECOND, state, epoch, 1.0),
            "{state:?} of {epoch}"
        );
    }
    assert_eq!(standing, held);
    assert!(standing.follow(3 * SECOND, Phase::Restoring, 4, 0.2));
    assert_eq!((standing.state, standing.share), (Phase::Restoring, 0.2));
}

#[test]
fn the_last_word_holds_until_it_ends() {
    let subject = Subject::zone("", "norte");
    let order = |what, issued_ms, until_ms, id| Order {
        subject,
        what,
        issued_ms,
        until_ms,
        id,
    };
    let mut orders = OrderTable::default();
    assert!(orders.take(1_000, order(OrderAction::Evacuate, 1_000, 60_000, 7)));
    // Two operators in one millisecond: one of them holds, the same everywhere.
    assert!(orders.take(1_000, order(OrderAction::Keep, 1_000, 50_000, 9)));
    assert!(!orders.take(1_001, order(OrderAction::Evacuate, 1_000, 60_000, 8)));
    assert!(
        !orders.take(1_001, order(OrderAction::Evacuate, 999, 60_000, 99)),
        "given before"
    );
    assert_eq!(
        orders.of(&subject).map(|order| order.what),
        Some(OrderAction::Keep)
    );
    assert!(
        !orders.take(70_000, order(OrderAction::Restore, 2_000, 60_000, 1)),
        "over already"
    );
    let day = 24 * 3_600_000;
    assert!(
        !orders.take(1_000, order(OrderAction::Keep, 3 * day, 9 * day, 1)),
        "of a clock that is days ahead"
    );
    assert!(orders.take(2_000, order(OrderAction::Evacuate, 2_000, u64::MAX, 1)));
    assert!(
        !orders.forget(2_000 + day - 1) && orders.forget(2_000 + day),
        "no word holds for longer than a day"
    );
}

proptest! {
    /// Whatever is seen, the share stays within bounds, epochs only grow, and nothing is in use with a part of its share.
    #[test]
    fn any_course_of_evidence_keeps_to_the_states(
        course in prop::collection::vec((0.0..3.0_f64, 0.0..=1.0_f64, any::<bool>(), any::<bool>(), any::<bool>(), 1_u64..40), 1..80),
    ) {
        let (mut standing, mut now) = (PlaceState::default(), SECOND);
        for (strength, failing, better, room, last, turns) in course {
            for _ in 0..turns {
                let before = standing;
                standing.go_on(now, &opinion(strength, failing), &Alternatives { better, room, last });
                now += STEP;
                prop_assert!((0.0..=1.0).contains(&standing.share));
                prop_assert!(standing.epoch >= before.epoch);
                let grows = standing.share > before.share;
                let by_steps = standing.state == Phase::Restoring || before.state == Phase::Restoring;
                prop_assert!(!grows || by_steps || standing.epoch > before.epoch, "{:?} {:?}", before, standing);
                let whole = matches!(standing.state, Phase::InUse | Phase::Suspected);
                prop_assert!(!whole || standing.share >= 1.0, "{:?}", standing);
                prop_assert!(standing.state != Phase::Evacuated || standing.share < 1.0, "{:?}", standing);
                // Never away from the last place, nor for one that is no better.
                prop_assert!(standing.share >= before.share || better && !last, "{:?} {:?}", before, standing);
            }
        }
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300), form in any::<bool>()) {
        let mut bytes = bytes;
        if form && !bytes.is_empty() {
            bytes[0] = 1;
        }
        if let Ok(place_decisions) = PlaceDecision::read(&bytes) {
            prop_assert!(place_decisions.iter().all(|place_decision| (0.0..=1.0).contains(&place_decision.share())));
        }
        if let Ok(read) = OrderTable::read(&bytes) {
            let mut orders = OrderTable::default();
            let taken = read.into_iter().filter(|order| orders.take(1_000, *order)).count();
            prop_assert!(orders.write(256).len() <= 256 && orders.is_empty() == (taken == 0));
        }
    }
}
