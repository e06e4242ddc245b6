//! Measurements: averages and counts that are updated by events and read by the modules in
//! `policy`.
//!
//! This module makes no decisions.

mod failures;
mod latency;
mod load;
mod verdicts;
mod warmth;
