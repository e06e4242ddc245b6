//! Files that configure the membership of a process.

use super::Membership;
use crate::balancer::Balancer;
use crate::process::{KEY_FILE, OPERATOR_FILE};
use std::fmt::Write;
use std::io;
use woadstall_emulator::{MembershipConfig, Scenario, Span};

/// Number of seed members that a new member can join through.
const MAX_SEED_MEMBERS: usize = 3;

impl Membership {
    /// Writes the key file and the operators' file for the next process of a balancer.
    ///
    /// # Errors
    ///
    /// If a file cannot be written.
    pub fn write_settings(&self, scenario: &Scenario, balancer: &Balancer) -> io::Result<()> {
        let Some(members) = &scenario.members else {
            return Ok(());
        };
        let mut text = self.instances_section(scenario, members, balancer);
        text += &evacuation_section(scenario);
        let directory = &balancer.process.directory;
        std::fs::write(directory.join(KEY_FILE), format!("{}\n", self.key))?;
        std::fs::write(directory.join(OPERATOR_FILE), text)
    }

    fn instances_section(
        &self,
        scenario: &Scenario,
        members: &MembershipConfig,
        balancer: &Balancer,
    ) -> String {
        let address = &self.addresses[balancer.placement.number as usize];
        let seeds: Vec<String> = self
            .addresses
            .iter()
            .take(MAX_SEED_MEMBERS)
            .filter(|seed| seed.advertised != address.advertised)
            .map(|seed| format!("{:?}", seed.advertised.to_string()))
            .collect();
        let mut text = format!(
            "[instances]\nlisten = \"{}\"\nadvertise = \"{}\"\nseeds = [{}]\nkey_file = {KEY_FILE:?}\n",
            address.listen,
            address.advertised,
            seeds.join(", ")
        );
        let zone = &scenario.zones[usize::from(balancer.placement.zone)];
        if let Some(region) = scenario.regions.get(zone) {
            let _ = writeln!(text, "region = {region:?}");
        }
        let _ = writeln!(
            text,
            "period_ms = {}\npatience_ms = {}\nsuspicion_ms = {}",
            millis(members.period),
            millis(members.timeout),
            millis(members.suspicion)
        );
        text
    }
}

/// Returns the `[evacuation]` section of the operators' file, or an empty string if the scenario has no evacuation.
fn evacuation_section(scenario: &Scenario) -> String {
    let mut text = String::new();
    let Some(evacuation) = &scenario.evacuation else {
        return text;
    };
    let interval_ms = millis(evacuation.interval);
    let _ = writeln!(text, "[evacuation]\nevery_ms = {interval_ms}");
    let _ = writeln!(text, "[evacuation.regions]");
    for (zone, region) in &scenario.regions {
        let _ = writeln!(text, "{zone:?} = {region:?}");
    }
    text
}

fn millis(span: Span) -> u64 {
    span.0 / 1_000_000
}
