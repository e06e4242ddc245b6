//! What the decisions go by: averages and counts that events update.
//!
//! Nothing here decides anything; the modules in `policy` read what is measured here.

mod failures;
mod latency;
mod load;
mod verdicts;
mod warmth;
