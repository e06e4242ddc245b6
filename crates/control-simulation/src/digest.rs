//! A digest of everything observable in a simulation, in the order in which it happens: times,
//! bytes of messages and records, responses, commits and final states. It covers numbers and bytes
//! alone, no names of types or fields, so that it stays the same as long as every event does.

use crate::NodeIndex;
use nanoserde::SerBin;
use woadstall_control::machine::{CallResponse, ControlMachine};

/// Offset basis and prime of 64-bit FNV-1a (RFC 9923).
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// What an observation is about. The numbers are part of the digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A process starts.
    Start = 1,
    /// A process ends.
    End = 2,
    /// A process sends a packet.
    Send = 3,
    /// A packet is delivered to a process.
    Receive = 4,
    /// A connection comes up.
    Connect = 5,
    /// A process requests a connection or its end.
    ConnectionRequest = 6,
    /// A process writes a record.
    WriteRecord = 7,
    /// A process writes its registrations.
    WriteRegistrations = 8,
    /// A sync ends, successful or not.
    Sync = 9,
    /// A request is answered.
    Respond = 10,
    /// A packet of a feed is delivered to balancers.
    Deliver = 11,
    /// The state of a replica after its process has handled an event.
    ReplicaState = 12,
    /// The state at the end.
    Final = 13,
}

/// A digest that observations are added to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventDigest {
    hash: u64,
    observations: u64,
}

impl Default for EventDigest {
    fn default() -> Self {
        Self {
            hash: FNV_OFFSET,
            observations: 0,
        }
    }
}

impl EventDigest {
    /// Begins an observation at a time in milliseconds.
    pub fn observe(&mut self, observation: Observation, now_ms: u64) -> &mut Self {
        self.observations += 1;
        self.number(observation as u64).number(now_ms)
    }

    /// Adds a number.
    pub fn number(&mut self, number: u64) -> &mut Self {
        self.add(&number.to_le_bytes());
        self
    }

    /// Adds several numbers.
    pub fn numbers(&mut self, numbers: &[u64]) -> &mut Self {
        for number in numbers {
            self.number(*number);
        }
        self
    }

    /// Adds the number of a node.
    pub fn node(&mut self, node: NodeIndex) -> &mut Self {
        self.number(node as u64)
    }

    /// Adds a flag.
    pub fn flag(&mut self, flag: bool) -> &mut Self {
        self.number(u64::from(flag))
    }

    /// Adds bytes and their length.
    pub fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        self.number(bytes.len() as u64);
        self.add(bytes);
        self
    }

    /// Adds a value as it is encoded on the wire or on disk.
    pub fn encoded(&mut self, value: &impl SerBin) -> &mut Self {
        self.bytes(&value.serialize_bin())
    }

    /// Adds the encodings of several values.
    pub fn all_encoded<'a, T: SerBin + 'a>(
        &mut self,
        values: impl IntoIterator<Item = &'a T>,
    ) -> &mut Self {
        for value in values {
            self.encoded(value);
        }
        self
    }

    /// Adds a response.
    pub fn response(&mut self, response: &CallResponse) -> &mut Self {
        match response {
            CallResponse::Acknowledged => self.number(1),
            CallResponse::Conflict { current } => self.number(2).number(*current),
            CallResponse::Invalid { findings } => self.number(3).bytes(findings.as_bytes()),
            CallResponse::Document(document) => self.number(4).bytes(document),
            CallResponse::Indeterminate => self.number(5),
        }
    }

    /// Adds the state of a process's replica: its term, leader, commit index, and what it has
    /// applied.
    pub fn replica_state(&mut self, process: &ControlMachine) -> &mut Self {
        let replica = process.replica();
        self.number(replica.term())
            .number(replica.leader().unwrap_or_default())
            .flag(replica.is_leader())
            .number(replica.commit_index())
            .number(replica.log().last_index())
            .number(process.state().index)
            .number(process.state().generation())
    }

    /// The hash, and the number of observations that it covers.
    pub fn finish(&self) -> (u64, u64) {
        (self.hash, self.observations)
    }

    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}
