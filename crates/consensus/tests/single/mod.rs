//! A single replica whose disk is quick.

use woadstall_consensus::{Message, Output, Replica, Settings, Timing};

/// As in the shipped control plane.
pub const SETTINGS: Settings = Settings {
    timing: Timing {
        heartbeat_interval: 150,
        election_timeout_min: 900,
        election_timeout_max: 1_500,
    },
    min_voters: 3,
};

/// Makes all records durable, and gives the messages sent so far.
pub fn settled(replica: &mut Replica) -> Vec<Message> {
    let mut sent = Vec::new();
    loop {
        let outputs = replica.take_outputs();
        if outputs.is_empty() {
            return sent;
        }
        for output in outputs {
            match output {
                Output::Persist { sequence, .. } => replica.handle_persisted(sequence),
                Output::Send(message) => sent.push(message),
                _ => {}
            }
        }
    }
}
