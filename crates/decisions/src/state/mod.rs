//! State of a balancer: plain records and running averages.
//!
//! This module makes no decisions. Gains, windows and decay times of the averages are passed in by
//! the callers.

mod averages;
mod idle_risk;
mod load;
mod pool;
mod request;
mod retry_budget;
mod server;

pub(crate) use averages::{DecayingSum, FailureRate, LatencyEstimate};
pub(crate) use idle_risk::IdleRisk;
pub(crate) use load::{LoadMeter, TenantLoad};
pub(crate) use pool::{Pool, pools_of};
pub(crate) use request::{
    AttemptDelay, Candidate, InFlightChange, LoadComparison, PendingRequest, SentAttempt, WorkedOn,
};
pub(crate) use retry_budget::RetryBudget;
pub(crate) use server::{
    CircuitBreaker, ConnectionLimit, PoolIndex, Server, ServerIndex, TrafficShare,
};
