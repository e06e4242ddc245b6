//! Tests of health reports and their assessment: faulty reporters, old evidence, overdue calls and
//! malformed bytes.

use proptest::prelude::*;
use std::collections::BTreeMap;
use woadstall_decisions::api::{Outcome, ServerId};
use woadstall_health_reports::{
    Assessment, AssessmentQuery, AttemptId, Baseline, CallCounts, CallStats, CompletedAttempt,
    HealthReport, PendingAttempt, ReportEntry, ReportTable, Subject, UNHEALTHY_LOG_ODDS,
    max_faulty,
};

const MS: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MS;

fn counts(attempts: f64, failed: f64, as_of: u64) -> CallCounts {
    CallCounts::new(attempts, failed, 0.0, as_of)
}

/// Inserts a member's report on the zone `norte` into the table.
fn report(table: &mut ReportTable, owner: usize, zone: &str, counts: CallCounts, reported_at: u64) {
    let entries = vec![ReportEntry::new(Subject::zone("0", "norte"), &counts)];
    let bytes = HealthReport { entries }.encode(256);
    table
        .insert(&format!("b-{owner}"), zone, reported_at, &bytes)
        .unwrap();
}

/// Returns the assessment of the zone `norte` by a member of `observer_zone`, in a fleet with the
/// same number of members in each of three zones.
fn assess(
    table: &ReportTable,
    observer_zone: &str,
    members_per_zone: usize,
    own_counts: CallCounts,
    now: u64,
) -> Assessment {
    let members: BTreeMap<String, usize> = ["norte", "centro", "sur"]
        .map(|zone| (zone.to_owned(), members_per_zone))
        .into();
    let query = AssessmentQuery {
        subject: Subject::zone("0", "norte"),
        home_zone: "norte",
        observer_zone,
        own_counts: &own_counts,
        baseline: Baseline::default(),
        needed_log_odds: UNHEALTHY_LOG_ODDS,
        members_per_zone: &members,
    };
    table.assess(now, &query)
}

#[test]
fn the_reporters_of_a_zone_convince_all_others() {
    for members_per_zone in [3, 8, 100] {
        let mut table = ReportTable::default();
        let last_reporter = (0..members_per_zone).find(|reporter| {
            report(
                &mut table,
                *reporter,
                "norte",
                counts(4.0, 4.0, SECOND),
                SECOND,
            );
            assess(
                &table,
                "sur",
                members_per_zone,
                CallCounts::default(),
                SECOND,
            )
            .is_unhealthy
        });
        let needed = 1 + last_reporter.expect("the reports of all members are enough");
        assert!(
            needed > max_faulty(members_per_zone),
            "{needed} of {members_per_zone}"
        );
        assert!(
            needed <= 2 + members_per_zone / 3 + max_faulty(members_per_zone),
            "{needed} of {members_per_zone}"
        );
    }
}

/// If the reporters of a single other zone find the subject unhealthy, the fault may be in their own
/// network, so their reports do not convince the other zones. Two agreeing zones would.
#[test]
fn one_zone_that_is_partitioned_does_not_convince_the_others() {
    let mut table = ReportTable::default();
    (0..8).for_each(|reporter| {
        report(
            &mut table,
            reporter,
            "centro",
            counts(6.0, 6.0, SECOND),
            SECOND,
        )
    });
    let is_unhealthy =
        |observer: &str| assess(&table, observer, 8, CallCounts::default(), SECOND).is_unhealthy;
    assert!(
        is_unhealthy("centro"),
        "the other members of the zone are partitioned as well"
    );
    assert!(!is_unhealthy("sur"));
    assert!(
        !is_unhealthy("norte"),
        "the zone still serves its own calls"
    );
}

#[test]
fn older_evidence_of_health_does_not_outweigh_present_failures() {
    let mut table = ReportTable::default();
    (0..4).for_each(|reporter| {
        report(
            &mut table,
            reporter,
            "norte",
            counts(40.0, 0.0, SECOND),
            SECOND,
        )
    });
    let now = 3 * SECOND;
    (4..8).for_each(|reporter| report(&mut table, reporter, "norte", counts(5.0, 5.0, now), now));
    assert!(assess(&table, "norte", 8, counts(3.0, 3.0, now), now).is_unhealthy);
}

/// A balancer counts its own hanging call before it times out, and only once: first as slow, then as
/// failed. Successful calls before the subject degraded are left out of the counts.
#[test]
fn a_hanging_call_is_counted_before_it_ends() {
    let (norte, class) = (
        Subject::zone("0", "norte"),
        Subject::class("0", "norte", "carga"),
    );
    let mut stats = CallStats::new([(norte, vec![class])].into_iter(), 1);
    let server = ServerId(1);
    stats.upsert_server(server, "posting-0", 0, 0);
    let id = |request| AttemptId {
        request,
        attempt: 0,
    };
    let completed = |request, outcome, duration_ns| CompletedAttempt {
        id: id(request),
        server,
        class: 0,
        outcome,
        duration_ns,
    };
    for request in 0..50 {
        let now = u64::from(request) * 20 * MS;
        stats.record_completed(now, &completed(request, Outcome::Ok, 20 * MS));
    }
    assert_eq!(stats.zone(0, SECOND).failed, 0.0);
    let pending = |age_ns| {
        [PendingAttempt {
            id: id(99),
            server,
            class: 0,
            age_ns,
        }]
        .into_iter()
    };
    stats.record_pending(SECOND, pending(60 * MS));
    assert_eq!(stats.zone(0, SECOND).slow, 0.0);
    stats.record_pending(SECOND, pending(100 * MS));
    stats.record_pending(SECOND, pending(110 * MS));
    let slow = stats.zone(0, SECOND);
    assert_eq!(
        (slow.attempts, slow.failed, slow.slow),
        (1.0, 0.0, 1.0),
        "only calls since the subject degraded are counted"
    );
    stats.record_pending(SECOND, pending(200 * MS));
    stats.record_completed(SECOND, &completed(99, Outcome::Timeout, 250 * MS));
    let failed = stats.zone(0, SECOND);
    assert_eq!(
        (failed.attempts, failed.failed, failed.slow),
        (1.0, 1.0, 0.0)
    );
    // A new process of the server does not inherit the failure, but the zone keeps it.
    stats.upsert_server(server, "posting-0", 7, 0);
    assert!(
        stats
            .servers(SECOND)
            .all(|listed| listed.counts.attempts == 0.0)
    );
    assert_eq!(stats.zone(0, SECOND).failed, 1.0);
}

proptest! {
    /// As many reporters as may be faulty cannot make a subject count as unhealthy or as healthy by
    /// themselves.
    #[test]
    fn faulty_reporters_alone_decide_nothing(
        members_per_zone in 2_usize..60,
        reported in prop::collection::vec((0.0..500.0_f64, 0.0..=1.0_f64), 8),
        observer in prop::sample::select(vec!["norte", "sur"]),
    ) {
        let mut table = ReportTable::default();
        for (reporter, (attempts, rate)) in reported.into_iter().take(max_faulty(members_per_zone)).enumerate() {
            report(&mut table, reporter, "norte", counts(attempts, attempts * rate, SECOND), SECOND);
        }
        let assessment = assess(&table, observer, members_per_zone, CallCounts::default(), SECOND);
        prop_assert!(!assessment.is_unhealthy, "{:?}", assessment);
        prop_assert!(assessment.health <= 0.0, "{:?}", assessment);
    }

    /// Without new reports, the evidence against a subject does not get stronger over time.
    #[test]
    fn evidence_decays(
        attempts in 0.0..50.0_f64,
        rate in 0.0..=1.0_f64,
        reporters in 1_usize..8,
        wait in 0_u64..20,
    ) {
        let mut table = ReportTable::default();
        let counts = counts(attempts, attempts * rate, SECOND);
        (0..reporters).for_each(|reporter| report(&mut table, reporter, "norte", counts, SECOND));
        let strength = |now| assess(&table, "norte", 8, CallCounts::default(), now).strength;
        let (earlier, later) = (SECOND + wait * 500 * MS, SECOND + (wait + 1) * 500 * MS);
        // The tolerance covers the rounding of counts to quarters, which matters when the log odds
        // are close to 0.
        prop_assert!(strength(later) <= strength(earlier) + 0.05);
    }

    /// Any bytes are decoded or rejected, and decoded counts never have more failed and slow calls
    /// than attempts.
    #[test]
    fn malformed_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300), is_version_valid in any::<bool>()) {
        let mut bytes = bytes;
        if is_version_valid && !bytes.is_empty() {
            bytes[0] = 1;
        }
        if let Ok(HealthReport { entries }) = HealthReport::decode(&bytes) {
            for entry in entries {
                let counts = entry.counts(SECOND);
                prop_assert!(counts.failed >= 0.0 && counts.failed + counts.slow <= counts.attempts);
            }
        }
    }

    #[test]
    fn entries_are_decoded_as_they_were_encoded(reported in prop::collection::vec((0.0..9000.0_f64, 0.0..=1.0_f64), 0..40)) {
        let entry = |(number, (attempts, rate)): (usize, &(f64, f64))| {
            ReportEntry::new(Subject::server(&format!("n-{number}"), 5), &counts(*attempts, attempts * rate, 0))
        };
        let entries: Vec<ReportEntry> = reported.iter().enumerate().map(entry).collect();
        let bytes = HealthReport { entries: entries.clone() }.encode(256);
        prop_assert!(bytes.len() <= 256);
        let decoded = HealthReport::decode(&bytes).unwrap().entries;
        prop_assert_eq!(&decoded[..], &entries[..decoded.len()]);
        prop_assert!(decoded.len() == entries.len() || bytes.len() > 240);
    }
}
