//! Unit tests of `observer`.

use super::*;

const S: Time = SECOND;

/// Three running members that consider each other alive.
fn three() -> MembershipObserver {
    let mut all = MembershipObserver::new(3, 5 * S);
    (0..3).for_each(|who| all.set_running(0, who, true));
    for (by, of) in (0..9)
        .map(|pair| (pair / 3, pair % 3))
        .filter(|(by, of)| by != of)
    {
        all.record_view(S, by, of, MemberView::Alive);
    }
    all
}

#[test]
fn deaths_are_false_or_known() {
    let mut all = three();
    all.record_view(2 * S, 0, 1, MemberView::Dead);
    all.record_view(2 * S, 2, 1, MemberView::Dead);
    all.record_view(3 * S, 0, 1, MemberView::Alive);
    all.record_view(3 * S, 2, 1, MemberView::Alive);
    all.set_paused(4 * S, 1, true);
    all.record_view(10 * S, 0, 1, MemberView::Dead);
    all.set_paused(11 * S, 1, false);
    all.record_view(12 * S, 2, 1, MemberView::Dead);
    all.record_view(13 * S, 0, 1, MemberView::Alive);
    all.record_view(13 * S, 2, 1, MemberView::Alive);
    all.set_running(20 * S, 2, false);
    all.record_view(21 * S, 0, 2, MemberView::Dead);
    all.record_view(23 * S, 1, 2, MemberView::Dead);
    all.set_running(60 * S, 2, true);
    let end = all.end(70 * S, &[7_000, 0, 0], 70 * S);
    assert_eq!(
        (
            end.false_deaths,
            end.false_death_details.len(),
            end.deaths,
            end.never_known
        ),
        (1, 1, 1, 0)
    );
    // The histogram has three significant digits.
    assert!(
        end.known_ms.count == 2 && (3_000.0..3_010.0).contains(&end.known_by_all_ms.max),
        "{end:?}"
    );
    assert_eq!(end.agreement_after(2.5, 1.0), Some(0.5));
    assert_eq!(
        (
            end.agreement_after(14.0, 1.0),
            end.agreement_after(60.0, 5.0)
        ),
        (Some(0.0), None)
    );
    assert_eq!(end.bytes_per_second.1, 100.0);
}

#[test]
fn deaths_never_known_are_counted() {
    let mut all = three();
    all.set_running(2 * S, 0, false);
    all.record_view(3 * S, 1, 0, MemberView::Dead);
    all.record_path_reports(
        3 * S,
        [
            (true, true, true),
            (true, true, false),
            (false, false, true),
        ]
        .into_iter(),
    );
    let end = all.end(40 * S, &[0; 3], S);
    assert_eq!((end.never_known, end.known_by_all_ms.count), (1, 0));
    assert_eq!(end.partitions_reported, [(3.0, 0.0)]);
}
