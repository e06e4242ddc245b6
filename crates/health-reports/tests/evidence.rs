//! Health reports and what they come to: lies, staleness, garbage.

use proptest::prelude::*;
use std::collections::BTreeMap;
use woadstall_decisions::api::{Outcome, ServerId};
use woadstall_health_reports::{
    Assessment, AssessmentQuery, CallCounts, CallStats, CompletedAttempt, HealthReport, Line,
    PendingAttempt, ReportTable, Subject, UNHEALTHY_LOG_ODDS, max_faulty,
};

const MS: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MS;

fn counts(tries: f64, failed: f64, at: u64) -> CallCounts {
    CallCounts::new(tries, failed, 0.0, at)
}

fn tell(hearing: &mut ReportTable, owner: usize, zone: &str, counts: CallCounts, at: u64) {
    let bytes = HealthReport(vec![Line::new(Subject::zone("0", "norte"), &counts)]).write(256);
    hearing
        .hear(&format!("b-{owner}"), zone, at, &bytes)
        .unwrap();
}

/// What a member of a zone finds of `norte`, in a fleet of so many a zone.
fn seen(hearing: &ReportTable, from: &str, each: usize, own: CallCounts, now: u64) -> Assessment {
    let members: BTreeMap<String, usize> = ["norte", "centro", "sur"]
        .map(|zone| (zone.to_owned(), each))
        .into();
    let subject = Subject::zone("0", "norte");
    let usual = [0.0; 2];
    let asked = AssessmentQuery {
        subject,
        home: "norte",
        from,
        own: &own,
        usual,
        enough: UNHEALTHY_LOG_ODDS,
        members: &members,
    };
    hearing.opinion(now, &asked)
}

#[test]
fn witnesses_of_a_zone_convince_all() {
    for each in [3, 8, 100] {
        let mut hearing = ReportTable::default();
        let needed = (0..each).find(|witness| {
            tell(
                &mut hearing,
                *witness,
                "norte",
                counts(4.0, 4.0, SECOND),
                SECOND,
            );
            seen(&hearing, "sur", each, CallCounts::default(), SECOND).is_ill
        });
        let needed = 1 + needed.expect("all of them are enough");
        assert!(needed > max_faulty(each), "{needed} of {each}");
        assert!(
            needed <= 2 + each / 3 + max_faulty(each),
            "{needed} of {each}"
        );
    }
}

/// A witness in one other zone has seen its own way there; two zones that find the same have not.
#[test]
fn one_zone_that_cannot_get_there_is_not_all() {
    let mut hearing = ReportTable::default();
    (0..8).for_each(|witness| {
        tell(
            &mut hearing,
            witness,
            "centro",
            counts(6.0, 6.0, SECOND),
            SECOND,
        )
    });
    assert!(
        seen(&hearing, "centro", 8, CallCounts::default(), SECOND).is_ill,
        "those of its own zone are as badly off"
    );
    assert!(!seen(&hearing, "sur", 8, CallCounts::default(), SECOND).is_ill);
    assert!(
        !seen(&hearing, "norte", 8, CallCounts::default(), SECOND).is_ill,
        "it serves its own"
    );
}

/// The word that something was well a second ago does not outweigh that it fails now.
#[test]
fn old_wellness_does_not_hide_what_fails_now() {
    let mut hearing = ReportTable::default();
    (0..4).for_each(|witness| {
        tell(
            &mut hearing,
            witness,
            "norte",
            counts(40.0, 0.0, SECOND),
            SECOND,
        )
    });
    let now = 3 * SECOND;
    (4..8).for_each(|witness| tell(&mut hearing, witness, "norte", counts(5.0, 5.0, now), now));
    assert!(seen(&hearing, "norte", 8, counts(3.0, 3.0, now), now).is_ill);
}

/// A sender's own calls: what hangs counts before it is given up, once, and successes before it count for nothing.
#[test]
fn what_hangs_is_counted_before_it_ends() {
    let (norte, class) = (
        Subject::zone("0", "norte"),
        Subject::class("0", "norte", "carga"),
    );
    let mut ledger = CallStats::new([(norte, vec![class])].into_iter(), 1);
    let server = ServerId(1);
    ledger.listed(server, "posting-0", 0, 0);
    let saw = |number, outcome, took| CompletedAttempt {
        attempt: (number, 0),
        server,
        class: 0,
        outcome,
        took,
    };
    for number in 0..50 {
        ledger.saw(
            u64::from(number) * 20 * MS,
            &saw(number, Outcome::Ok, 20 * MS),
        );
    }
    assert_eq!(ledger.zone(0, SECOND).failed, 0.0);
    let out = |age| {
        [PendingAttempt {
            attempt: (99, 0),
            server,
            class: 0,
            age,
        }]
        .into_iter()
    };
    ledger.out(SECOND, out(60 * MS));
    assert_eq!(ledger.zone(0, SECOND).late, 0.0);
    ledger.out(SECOND, out(100 * MS));
    ledger.out(SECOND, out(110 * MS));
    let late = ledger.zone(0, SECOND);
    assert_eq!(
        (late.tries, late.failed, late.late),
        (1.0, 0.0, 1.0),
        "since it turned bad"
    );
    ledger.out(SECOND, out(200 * MS));
    ledger.saw(SECOND, &saw(99, Outcome::Timeout, 250 * MS));
    let stuck = ledger.zone(0, SECOND);
    assert_eq!((stuck.tries, stuck.failed, stuck.late), (1.0, 1.0, 0.0));
    // A new process at the address has no part in it; the zone has.
    ledger.listed(server, "posting-0", 7, 0);
    assert!(
        ledger
            .nodos(SECOND)
            .all(|(_, _, _, counts)| counts.tries == 0.0)
    );
    assert_eq!(ledger.zone(0, SECOND).failed, 1.0);
}

proptest! {
    /// As many as may lie change nothing by themselves, whatever they say: neither that all is bad nor that all is well.
    #[test]
    fn so_many_liars_decide_nothing(
        each in 2_usize..60,
        said in prop::collection::vec((0.0..500.0_f64, 0.0..=1.0_f64), 8),
        from in prop::sample::select(vec!["norte", "sur"]),
    ) {
        let mut hearing = ReportTable::default();
        for (witness, (tries, part)) in said.into_iter().take(max_faulty(each)).enumerate() {
            tell(&mut hearing, witness, "norte", counts(tries, tries * part, SECOND), SECOND);
        }
        let opinion = seen(&hearing, from, each, CallCounts::default(), SECOND);
        prop_assert!(!opinion.is_ill, "{:?}", opinion);
        prop_assert!(opinion.wellness <= 0.0, "{:?}", opinion);
    }

    /// Evidence only fades: nothing gets worse by waiting.
    #[test]
    fn evidence_fades(tries in 0.0..50.0_f64, part in 0.0..=1.0_f64, witnesses in 1_usize..8, wait in 0_u64..20) {
        let mut hearing = ReportTable::default();
        (0..witnesses).for_each(|it| tell(&mut hearing, it, "norte", counts(tries, tries * part, SECOND), SECOND));
        let strength = |now| seen(&hearing, "norte", 8, CallCounts::default(), now).strength;
        let (then, later) = (SECOND + wait * 500 * MS, SECOND + (wait + 1) * 500 * MS);
        // Where words differ by a hair from break-even, rounding in quarters shows.
        prop_assert!(strength(later) <= strength(then) + 0.05);
    }

    /// Any bytes are read or refused; what is read says nothing impossible.
    #[test]
    fn bytes_are_read_with_care(bytes in prop::collection::vec(any::<u8>(), 0..300), form in any::<bool>()) {
        let mut bytes = bytes;
        if form && !bytes.is_empty() {
            bytes[0] = 1;
        }
        if let Ok(HealthReport(lines)) = HealthReport::read(&bytes) {
            for line in lines {
                let counts = line.counts(SECOND);
                prop_assert!(counts.failed >= 0.0 && counts.failed + counts.late <= counts.tries);
            }
        }
    }

    #[test]
    fn lines_come_back_as_they_were_told(told in prop::collection::vec((0.0..9000.0_f64, 0.0..=1.0_f64), 0..40)) {
        let line = |(at, (tries, part)): (usize, &(f64, f64))| {
            Line::new(Subject::server(&format!("n-{at}"), 5), &counts(*tries, tries * part, 0))
        };
        let lines: Vec<Line> = told.iter().enumerate().map(line).collect();
        let bytes = HealthReport(lines.clone()).write(256);
        prop_assert!(bytes.len() <= 256);
        let read = HealthReport::read(&bytes).unwrap().0;
        prop_assert_eq!(&read[..], &lines[..read.len()]);
        prop_assert!(read.len() == lines.len() || bytes.len() > 240);
    }
}
