//! Behaviour tests of the balancer, with one module per concern.

#[path = "../common/mod.rs"]
mod common;

mod breakers;
mod connections;
mod discovery;
mod handover;
mod health_verdicts;
mod load_probes;
mod load_shedding;
mod log;
mod retries;
mod round_robin;
mod rules;
mod settings;
mod slow_start;
mod zones;
