//! The time ranges of a scenario's faults, which plots shade.

use woadstall_emulator::{Fault, Scenario};

/// The time range of one fault.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultBand {
    /// Start of the fault, in seconds since the start of the run.
    pub from: f64,
    /// End of the fault, in seconds since the start of the run.
    pub until: f64,
    /// Description of the fault: its kind, the tier and zone, and the percentage of hosts affected.
    pub name: String,
}

impl FaultBand {
    /// Returns the time ranges of all faults of a scenario.
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
    let scope: Vec<&str> = [&fault.tier, &fault.zone]
        .into_iter()
        .flatten()
        .map(String::as_str)
        .collect();
    let fraction = if fault.part < 1.0 {
        format!(", {:.0}%", 100.0 * fault.part)
    } else {
        String::new()
    };
    let name = format!("{} {}{fraction}", fault_kind(fault), scope.join(" "));
    name.trim().to_owned()
}

/// Returns the kind of a fault as it is spelled in scenario files.
fn fault_kind(fault: &Fault) -> String {
    match toml::Value::try_from(&fault.kind) {
        Ok(toml::Value::String(name)) => name,
        Ok(toml::Value::Table(table)) => table.keys().next().cloned().unwrap_or_default(),
        _ => String::new(),
    }
}
