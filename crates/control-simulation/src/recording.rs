//! A digest of everything observable in a simulation, in the order in which it happens: times, bytes of messages and records,
//! answers, commits and final states. It holds numbers and bytes alone, no names of types or fields, so that it stays the
//! same as long as every event does.

use nanoserde::SerBin;
use woadstall_control::machine::{CallResponse, ControlMachine};

/// Offset basis and prime of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// What an observation is about. The numbers are part of the digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A process starts.
    Start = 1,
    /// A process ends.
    End = 2,
    /// A process hands a packet to the network.
    Send = 3,
    /// A packet is delivered to a process.
    Receive = 4,
    /// A connection comes up.
    Connect = 5,
    /// A process asks for a connection, or for its end.
    Address = 6,
    /// A process writes a record.
    Write = 7,
    /// A process writes its registrations.
    WriteRegistrations = 8,
    /// A sync ends, successful or not.
    Sync = 9,
    /// A call is answered.
    Answer = 10,
    /// A packet of a feed is delivered to balancers.
    Deliver = 11,
    /// How a process stands after it was called.
    State = 12,
    /// The state at the end.
    Final = 13,
}

/// The digest so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recording {
    digest: u64,
    observations: u64,
}

impl Default for Recording {
    fn default() -> Self {
        Self {
            digest: FNV_OFFSET,
            observations: 0,
        }
    }
}

impl Recording {
    /// Begins an observation at a time in milliseconds.
    pub fn observe(&mut self, observation: Observation, now: u64) -> &mut Self {
        self.observations += 1;
        self.number(observation as u64).number(now)
    }

    /// Adds a number.
    pub fn number(&mut self, number: u64) -> &mut Self {
        self.hash(&number.to_le_bytes());
        self
    }

    /// Adds bytes and their length.
    pub fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        self.number(bytes.len() as u64);
        self.hash(bytes);
        self
    }

    /// Adds a value as it is encoded.
    pub fn encoded(&mut self, value: &impl SerBin) -> &mut Self {
        self.bytes(&value.serialize_bin())
    }

    /// Adds an answer.
    pub fn answer(&mut self, answer: &CallResponse) -> &mut Self {
        match answer {
            CallResponse::Acknowledged => self.number(1),
            CallResponse::Conflict { current } => self.number(2).number(*current),
            CallResponse::Invalid { findings } => self.number(3).bytes(findings.as_bytes()),
            CallResponse::Document(document) => self.number(4).bytes(document),
            CallResponse::Indeterminate => self.number(5),
        }
    }

    /// Adds how a process stands: its term, leader, commit, and what it has applied.
    pub fn standing(&mut self, machine: &ControlMachine) -> &mut Self {
        let replica = machine.replica();
        self.number(replica.term())
            .number(replica.leader().unwrap_or_default())
            .number(u64::from(replica.is_leader()))
            .number(replica.commit_index())
            .number(replica.log().last_index())
            .number(machine.state().index)
            .number(machine.state().generation())
    }

    /// The digest, and the number of observations that it holds.
    pub fn finish(&self) -> (u64, u64) {
        (self.digest, self.observations)
    }

    fn hash(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.digest = (self.digest ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}
