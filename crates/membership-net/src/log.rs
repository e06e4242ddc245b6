//! Log lines: an event name followed by its fields as `key=value`.

use std::fmt;
use std::sync::Arc;
use woadstall_membership::{Event, Name, Node};

/// Receiver of log lines.
pub type LogSink = Arc<dyn Fn(fmt::Arguments<'_>) + Send + Sync>;

/// The member that raised a suspicion or declared a death, as a log field.
struct Reporter<'a> {
    name: Option<&'a Name>,
    local_name: &'a Name,
}

impl<'a> Reporter<'a> {
    fn new(name: Option<&'a Name>, local_name: &'a Name) -> Self {
        Self { name, local_name }
    }
}

impl fmt::Display for Reporter<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.name {
            Some(name) if name == self.local_name => f.write_str("local"),
            Some(name) => write!(f, "{name}"),
            None => f.write_str("unknown"),
        }
    }
}

/// Logs an event in a single line.
pub fn log_event(log: &LogSink, event: &Event, node: &Node) {
    let local_name = &node.local().name;
    match event {
        Event::Joined(member) => {
            let (name, zone, address) = (&member.name, &member.zone, member.address);
            log(format_args!(
                "membership: member joined name={name} zone={zone} address={address}"
            ));
        }
        Event::Recovered(name) => log(format_args!("membership: member recovered name={name}")),
        Event::Suspected { name, by } => {
            let by = Reporter::new(by.as_ref(), local_name);
            log(format_args!(
                "membership: member suspected name={name} by={by}"
            ));
        }
        Event::Dead { name, by } => {
            let by = Reporter::new(by.as_ref(), local_name);
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
            addresses: [own_address, other_address],
        } => {
            log(format_args!(
                "membership: name conflict name={name} address={own_address} other_address={other_address}"
            ));
        }
        Event::IsolationChanged { is_isolated } => {
            log(format_args!(
                "membership: isolation changed isolated={is_isolated}"
            ));
        }
    }
}
