//! Unit tests of `observer`.

use super::*;

const S: Time = SECOND;

/// Three running members that consider each other alive.
fn three_agreeing_members() -> MembershipObserver {
    let mut observer = MembershipObserver::new(3, 5 * S);
    (0..3).for_each(|member| observer.set_running(0, member, true));
    for (viewer, member) in (0..9)
        .map(|pair| (pair / 3, pair % 3))
        .filter(|(viewer, member)| viewer != member)
    {
        observer.record_view(S, viewer, member, MemberView::Alive);
    }
    observer
}

#[test]
fn deaths_are_false_or_known() {
    let mut observer = three_agreeing_members();
    observer.record_view(2 * S, 0, 1, MemberView::Dead);
    observer.record_view(2 * S, 2, 1, MemberView::Dead);
    observer.record_view(3 * S, 0, 1, MemberView::Alive);
    observer.record_view(3 * S, 2, 1, MemberView::Alive);
    observer.set_paused(4 * S, 1, true);
    observer.record_view(10 * S, 0, 1, MemberView::Dead);
    observer.set_paused(11 * S, 1, false);
    observer.record_view(12 * S, 2, 1, MemberView::Dead);
    observer.record_view(13 * S, 0, 1, MemberView::Alive);
    observer.record_view(13 * S, 2, 1, MemberView::Alive);
    observer.set_running(20 * S, 2, false);
    observer.record_view(21 * S, 0, 2, MemberView::Dead);
    observer.record_view(23 * S, 1, 2, MemberView::Dead);
    observer.set_running(60 * S, 2, true);
    let report = observer.end(70 * S, &[7_000, 0, 0], 70 * S);
    assert_eq!(
        (
            report.false_deaths,
            report.false_death_details.len(),
            report.deaths,
            report.never_known
        ),
        (1, 1, 1, 0)
    );
    // The histogram has three significant digits.
    assert!(
        report.known_ms.count == 2 && (3_000.0..3_010.0).contains(&report.known_by_all_ms.max),
        "{report:?}"
    );
    assert_eq!(report.agreement_after(2.5, 1.0), Some(0.5));
    assert_eq!(
        (
            report.agreement_after(14.0, 1.0),
            report.agreement_after(60.0, 5.0)
        ),
        (Some(0.0), None)
    );
    assert_eq!(report.bytes_per_second.1, 100.0);
}

#[test]
fn deaths_never_known_are_counted() {
    let mut observer = three_agreeing_members();
    observer.set_running(2 * S, 0, false);
    observer.record_view(3 * S, 1, 0, MemberView::Dead);
    observer.record_path_reports(
        3 * S,
        [
            (true, true, true),
            (true, true, false),
            (false, false, true),
        ]
        .into_iter(),
    );
    let report = observer.end(40 * S, &[0; 3], S);
    assert_eq!((report.never_known, report.known_by_all_ms.count), (1, 0));
    assert_eq!(report.partitions_reported, [(3.0, 0.0)]);
}
