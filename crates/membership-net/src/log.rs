//! Log lines: an event and its fields, as `key=value`.

use std::fmt;
use std::sync::Arc;
use woadstall_membership::{Event, Name, Node};

/// Where log lines go.
pub type LogSink = Arc<dyn Fn(fmt::Arguments<'_>) + Send + Sync>;

/// The source of a suspicion or death, as a log field.
struct Source<'a> {
    by: Option<&'a Name>,
    local: &'a Name,
}

impl<'a> Source<'a> {
    fn new(by: Option<&'a Name>, local: &'a Name) -> Self {
        Self { by, local }
    }
}

impl fmt::Display for Source<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.by {
            Some(by) if by == self.local => f.write_str("local"),
            Some(by) => write!(f, "{by}"),
            None => f.write_str("unknown"),
        }
    }
}

/// Logs an event, a line each.
pub fn log_event(log: &LogSink, event: &Event, node: &Node) {
    let local = &node.local().name;
    match event {
        Event::Joined(member) => {
            let (name, zone, address) = (&member.name, &member.zone, member.address);
            log(format_args!(
                "membership: member joined name={name} zone={zone} address={address}"
            ));
        }
        Event::Recovered(name) => log(format_args!("membership: member recovered name={name}")),
        Event::Suspected { name, by } => {
            let by = Source::new(by.as_ref(), local);
            log(format_args!(
                "membership: member suspected name={name} by={by}"
            ));
        }
        Event::Dead { name, by } => {
            let by = Source::new(by.as_ref(), local);
            log(format_args!("membership: member dead name={name} by={by}"));
        }
        Event::Left(name) => log(format_args!("membership: member left name={name}")),
        Event::ProcessPaused(pause) => {
            let pause_ms = pause.as_millis();
            log(format_args!(
                "membership: process paused pause_ms={pause_ms}"
            ));
        }
        Event::NameConflict {
            name,
            addresses: [own, other],
        } => {
            log(format_args!(
                "membership: name conflict name={name} address={own} other_address={other}"
            ));
        }
        Event::IsolationChanged { is_isolated } => {
            log(format_args!(
                "membership: isolation changed isolated={is_isolated}"
            ));
        }
    }
}
