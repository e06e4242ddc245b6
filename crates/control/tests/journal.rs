//! Tests of the event journal.

mod support;

use support::registration;
use woadstall_control::command::Command;
use woadstall_control::feed::{EventJournal, FeedEvent};
use woadstall_control::registry::UpstreamStatus;

fn event(number: u64) -> FeedEvent {
    FeedEvent::Registered(registration(number, UpstreamStatus::Ready))
}

#[test]
fn events_are_read_from_an_offset_of_the_epoch() {
    let mut journal = EventJournal::new(7);
    (1..=5).for_each(|number| journal.append(event(number)));
    assert_eq!(journal.events_since(7, 3).unwrap(), [event(4), event(5)]);
    assert!(journal.events_since(7, 5).unwrap().is_empty());
    assert_eq!(
        journal.events_since(7, 6),
        None,
        "an offset after the last event"
    );
    assert_eq!(journal.events_since(8, 3), None, "another epoch");
}

#[test]
fn events_beyond_the_retention_are_dropped() {
    const BYTES: usize = 600 << 10;
    let mut journal = EventJournal::new(7);
    for index in 1..=6 {
        journal.append(FeedEvent::Committed {
            index,
            command: Command::Put {
                base: 0,
                body: vec![0; BYTES],
            },
        });
    }
    assert_eq!(journal.end_offset(), 6);
    assert_eq!(journal.events_since(7, 0), None);
    assert_eq!(journal.events_since(7, 5).unwrap().len(), 1);
}
