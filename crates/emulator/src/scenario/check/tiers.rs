//! Validation of tiers, their sizes and their calls to each other.

use super::*;
use crate::scenario::Tier;
use std::collections::HashSet;

/// Maximum number of upstreams in all tiers.
const MAX_UPSTREAMS: u32 = 100_000;
/// Maximum number of balancers in all tiers.
const MAX_BALANCERS: u32 = 20_000;
/// Maximum number of round trips until a connection is open.
const MAX_HANDSHAKE_ROUND_TRIPS: u32 = 10;

impl Scenario {
    pub(super) fn check_sizes(&self) -> CheckResult {
        let (balancers, upstreams) = self.process_counts();
        if upstreams > u64::from(MAX_UPSTREAMS) || balancers > u64::from(MAX_BALANCERS) {
            return Err(ScenarioError::TooManyProcesses {
                upstreams: MAX_UPSTREAMS,
                balancers: MAX_BALANCERS,
            });
        }
        Ok(())
    }

    pub(super) fn check_each_tier(&self) -> CheckResult {
        self.tier
            .iter()
            .enumerate()
            .try_for_each(|(position, tier)| {
                let part = || ScenarioPart::Tier(tier.name.clone());
                self.check_tier(position, tier)
                    .map_err(|error| error.within(part()))
            })
    }

    fn check_tier(&self, position: usize, tier: &Tier) -> CheckResult {
        if tier.workers == 0 || tier.cells == 0 {
            return inconsistent("`workers` and `cells` must not be 0");
        }
        self.check_balancers_of(position, tier)?;
        if tier.connections.handshake_round_trips > MAX_HANDSHAKE_ROUND_TRIPS {
            return inconsistent("`connections.trips` is over 10");
        }
        if let Some(probed) = &tier.probed {
            in_range("probed.price", probed.cost, 0.0, 1.0)?;
            if probed.timeout.0 == 0 {
                return inconsistent("`probed.patience` is 0");
            }
        }
        in_range("start-capacity", tier.start_capacity, 0.01, 1.0)?;
        in_range("tip-multiple", tier.overload_multiple, 0.1, 1e6)?;
        match &tier.calls {
            Some(calls) => in_range("calls.mean", calls.mean, 0.0, 100.0),
            None => Ok(()),
        }
    }

    /// A tier needs either its own balancers, or a calling tier whose upstreams have sidecars.
    fn check_balancers_of(&self, position: usize, tier: &Tier) -> CheckResult {
        match (tier.sidecar, self.caller_of(position)) {
            (true, None) => inconsistent("`beside`: no tier calls it"),
            (true, Some(_)) if tier.balancers > 0 => {
                inconsistent("`balancers`: with `beside` there are as many as nodos that call")
            }
            (false, _) if tier.balancers == 0 => inconsistent("`balancers` must not be 0"),
            _ => Ok(()),
        }
    }

    /// Fails if the calls from one tier to the next form a cycle.
    pub(super) fn check_call_chain(&self) -> CheckResult {
        for tier in &self.tier {
            let (mut visited, mut next) = (HashSet::from([&tier.name]), tier);
            while let Some(calls) = &next.calls {
                let Some(position) = self.tier(&calls.tier) else {
                    let unknown = ScenarioError::UnknownName {
                        key: "calls",
                        kind: "tier",
                        name: calls.tier.clone(),
                    };
                    return Err(unknown.within(ScenarioPart::Tier(next.name.clone())));
                };
                if !visited.insert(&calls.tier) {
                    let cycle = ScenarioError::CallCycle(calls.tier.clone());
                    return Err(cycle.within(ScenarioPart::Tier(tier.name.clone())));
                }
                next = &self.tier[position];
            }
        }
        Ok(())
    }
}
