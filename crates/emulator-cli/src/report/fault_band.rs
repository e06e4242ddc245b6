//! The times of a scenario's faults, as plots shade them.

use woadstall_emulator::{Fault, Scenario};

/// The time of a fault, as plots shade it.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultBand {
    /// Its begin, in seconds from the start of the run.
    pub from: f64,
    /// Its end, in seconds from the start of the run.
    pub until: f64,
    /// The fault: its kind, where it was, and which part of that it hit.
    pub name: String,
}

impl FaultBand {
    /// The faults of a scenario.
    pub fn of(scenario: &Scenario) -> Vec<Self> {
        let band = |fault: &Fault| Self {
            from: fault.at.seconds(),
            until: fault.until.unwrap_or(scenario.duration).seconds(),
            name: fault_name(fault),
        };
        scenario.fault.iter().map(band).collect()
    }
}

fn fault_name(fault: &Fault) -> String {
    let place: Vec<&str> = [&fault.tier, &fault.zone]
        .into_iter()
        .flatten()
        .map(String::as_str)
        .collect();
    let fraction = if fault.part < 1.0 {
        format!(", {:.0}%", 100.0 * fault.part)
    } else {
        String::new()
    };
    let name = format!("{} {}{fraction}", fault_kind(fault), place.join(" "));
    name.trim().to_owned()
}

/// The kind of a fault, as scenario files write it.
fn fault_kind(fault: &Fault) -> String {
    match toml::Value::try_from(&fault.kind) {
        Ok(toml::Value::String(name)) => name,
        Ok(toml::Value::Table(table)) => table.keys().next().cloned().unwrap_or_default(),
        _ => String::new(),
    }
}
