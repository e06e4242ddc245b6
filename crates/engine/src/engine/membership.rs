//! Processing of upstream lists from discovery.

use super::Engine;
use crate::messages::Command;
use crate::upstreams::UpstreamEntry;
use woadstall_decisions::api::{Event, Lifecycle};

impl<R, A> Engine<R, A> {
    pub(super) fn on_listed(&mut self, entries: &[UpstreamEntry], is_complete: bool) {
        let mut listed = Vec::with_capacity(entries.len());
        for entry in entries {
            if entry.address.is_none() {
                self.log(format!("upstream_address_invalid upstream={}", entry.name));
            }
            let inserted = self.upstreams.insert(entry);
            if inserted.retires_connections {
                self.commands
                    .push_back(Command::RetireConnections(inserted.entry.server));
            }
            listed.push(inserted.entry);
        }
        if is_complete {
            self.notify(Event::ServerList(&listed));
        } else if !listed.is_empty() {
            self.notify(Event::ServerListChange(&listed));
        }
        for server in self.upstreams.remove_delisted(entries, is_complete) {
            self.commands.push_back(Command::RetireConnections(server));
        }
        self.is_ready |= listed
            .iter()
            .any(|entry| entry.lifecycle == Lifecycle::Ready);
    }
}
