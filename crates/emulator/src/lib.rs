//! An emulator of whole fleets in simulated time, round the real engine and module.
//!
//! A [`Scenario`] says what there is, what comes and what goes wrong; [`run`] plays it with the real engine or a
//! rival ([`Policy`]) in the balancers. An auditor that trusts nobody's word holds the four rules against each
//! request. One scenario, policy and seed give one result, to the byte, wherever it runs. Nothing here does
//! input or output.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agenda;
mod audit;
mod discovery;
mod evacuated;
mod front;
mod measure;
mod mind;
mod nodo;
mod policy;
mod prices;
mod random;
mod rivals;
mod scenario;
mod units;
mod witness;
mod world;

pub use agenda::{Agenda, Numbered};
pub use audit::{Auditor, Breach, Rule};
pub use evacuated::{Evacuated, EvacuatedEnd, Move};
pub use measure::{Counts, End, Latencies, Meter, Outcome, Step};
pub use mind::{BoxedMind, Mind, Ticket};
pub use nodo::{Ills, Nodo, Taken};
pub use policy::Policy;
pub use prices::{Price, PriceRow};
pub use random::{Actor, Dist, chance, gap, sample, stream};
pub use rivals::{Limit, Pick, Retries, Rival, Style};
pub use scenario::*;
pub use units::Span;
pub use witness::{Held, MembersEnd, Quantiles, Witness};
pub use woadstall_engine as engine;
pub use world::{EPOCH, World, Wrap};

/// Plays a scenario to its end.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> End {
    World::new(scenario, policy, seed).run()
}
