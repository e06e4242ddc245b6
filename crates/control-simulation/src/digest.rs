//! A digest of all observable events of a simulation, in order: times, bytes of packets and
//! records, responses, commits and final states. The digest covers only numbers and bytes. Names of
//! types and fields are left out, so that renames don't change it.

use crate::NodeIndex;
use nanoserde::SerBin;
use woadstall_control::machine::{CallResponse, ControlMachine};

/// Offset basis and prime of 64-bit FNV-1a (RFC 9923).
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The kind of an observation. The numbers are part of the digest and must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A process starts, for the first time or again.
    Start = 1,
    /// A process ends by a stop or a crash.
    End = 2,
    /// A process sends a packet.
    Send = 3,
    /// A packet is delivered to a process.
    Receive = 4,
    /// A connection is established.
    Connect = 5,
    /// A process requests that a connection be opened or closed.
    ConnectionRequest = 6,
    /// A process writes a record.
    WriteRecord = 7,
    /// A process writes its registrations.
    WriteRegistrations = 8,
    /// A sync ends, with or without success.
    Sync = 9,
    /// A request is answered.
    Respond = 10,
    /// A packet of a feed is delivered to balancers.
    Deliver = 11,
    /// The state of a replica after its process has handled an event.
    ReplicaState = 12,
    /// The state of the cluster or of a node at the end of the simulation.
    Final = 13,
}

/// Accumulates observations into a digest.
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
    /// Starts an observation, with the virtual time in milliseconds.
    pub fn observe(&mut self, observation: Observation, now_ms: u64) -> &mut Self {
        self.observations += 1;
        self.number(observation as u64).number(now_ms)
    }

    /// Adds a number.
    pub fn number(&mut self, number: u64) -> &mut Self {
        self.add(&number.to_le_bytes());
        self
    }

    /// Adds several numbers, without their count.
    pub fn numbers(&mut self, numbers: &[u64]) -> &mut Self {
        for number in numbers {
            self.number(*number);
        }
        self
    }

    /// Adds the index of a node.
    pub fn node(&mut self, node: NodeIndex) -> &mut Self {
        self.number(node as u64)
    }

    /// Adds a flag as 0 or 1.
    pub fn flag(&mut self, flag: bool) -> &mut Self {
        self.number(u64::from(flag))
    }

    /// Adds the number of the bytes and the bytes.
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

    /// Adds the kind of a response and its contents.
    pub fn response(&mut self, response: &CallResponse) -> &mut Self {
        match response {
            CallResponse::Acknowledged => self.number(1),
            CallResponse::Conflict { current } => self.number(2).number(*current),
            CallResponse::Invalid { findings } => self.number(3).bytes(findings.as_bytes()),
            CallResponse::Document(document) => self.number(4).bytes(document),
            CallResponse::Indeterminate => self.number(5),
        }
    }

    /// Adds the state of a process's replica: term, leader, log and commit indexes, and the index
    /// and generation of the applied state.
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

    /// The hash and the number of observations that it covers.
    pub fn finish(&self) -> (u64, u64) {
        (self.hash, self.observations)
    }

    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}
