//! Tests of the log lines, each an event name followed by fields.

mod support;

use rstest::rstest;
use support::{members, registration};
use woadstall_consensus::Membership;
use woadstall_control::command::CommandOutcome;
use woadstall_control::machine::LogEvent;
use woadstall_control::registry::UpstreamStatus;

fn members_changed() -> LogEvent {
    let mut membership = Membership::new(members(2));
    membership.next_voters = members(1);
    LogEvent::MembersChanged {
        index: 7,
        membership,
    }
}

#[rstest]
#[case(LogEvent::QuorumLost { term: 3 }, "quorum_lost term=3")]
#[case(LogEvent::LeaderElected { term: 3, id: 255 }, "leader_elected term=3 id=ff")]
#[case(LogEvent::LeadershipEnded { term: 3, id: 255 }, "leadership_ended term=3 id=ff")]
#[case(
    members_changed(),
    "members_changed index=7 voters=10.0.0.1:7720,10.0.0.2:7720 next=10.0.0.1:7720"
)]
#[case(LogEvent::CommandApplied { index: 7, outcome: CommandOutcome::Accepted, generation: 5 }, "command_applied index=7 outcome=Accepted generation=5")]
#[case(LogEvent::SnapshotRejected { index: 7, error: "damaged".to_owned() }, "snapshot_rejected index=7 error=damaged")]
#[case(LogEvent::EntryRejected { index: 7, error: "damaged".to_owned() }, "entry_rejected index=7 error=damaged")]
#[case(
    LogEvent::RegistrationChanged(registration(4, UpstreamStatus::Deregistered)),
    "registration_changed upstream=i-1 service=s status=Gone slow_start_ms=0 sequence=4"
)]
#[case(
    LogEvent::UpstreamRestored(registration(4, UpstreamStatus::Ready)),
    "upstream_restored upstream=i-1 service=s sequence=4"
)]
#[case(LogEvent::UpstreamTimedOut { registration: registration(4, UpstreamStatus::TimedOut), timeout_ms: 5_100 }, "upstream_timed_out upstream=i-1 service=s timeout_ms=5100")]
fn an_event_is_one_line_with_its_fields(#[case] event: LogEvent, #[case] line: &str) {
    assert_eq!(event.to_string(), line);
}
