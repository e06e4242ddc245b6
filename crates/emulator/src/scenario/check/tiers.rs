//! Checks of tiers, their sizes and their calls to each other.

use super::*;
use crate::scenario::Tier;
use std::collections::HashSet;

/// Most upstreams in all tiers of a scenario.
const MAX_UPSTREAMS: u32 = 100_000;
/// Most balancers in all tiers of a scenario.
const MAX_BALANCERS: u32 = 20_000;
/// Most round trips until a connection is up.
const MAX_HANDSHAKE_LATENCIES: u32 = 10;

impl Scenario {
    pub(super) fn check_sizes(&self) -> Check {
        let (balancers, upstreams) = self.process_counts();
        if upstreams > u64::from(MAX_UPSTREAMS) || balancers > u64::from(MAX_BALANCERS) {
            return Err(ScenarioError::TooManyProcesses {
                upstreams: MAX_UPSTREAMS,
                balancers: MAX_BALANCERS,
            });
        }
        Ok(())
    }

    pub(super) fn check_each_tier(&self) -> Check {
        self.tier.iter().enumerate().try_for_each(|(at, tier)| {
            let part = || ScenarioPart::Tier(tier.name.clone());
            self.check_tier(at, tier)
                .map_err(|error| error.within(part()))
        })
    }

    fn check_tier(&self, at: usize, tier: &Tier) -> Check {
        if tier.workers == 0 || tier.cells == 0 {
            return inconsistent("`workers` and `cells` must not be 0");
        }
        self.check_balancers_of(at, tier)?;
        if tier.connections.handshake_round_trips > MAX_HANDSHAKE_LATENCIES {
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

    /// A tier has balancers of its own, or sidecars of the upstreams that call it.
    fn check_balancers_of(&self, at: usize, tier: &Tier) -> Check {
        match (tier.sidecar, self.caller_of(at)) {
            (true, None) => inconsistent("`beside`: no tier calls it"),
            (true, Some(_)) if tier.balancers > 0 => {
                inconsistent("`balancers`: with `beside` there are as many as nodos that call")
            }
            (false, _) if tier.balancers == 0 => inconsistent("`balancers` must not be 0"),
            _ => Ok(()),
        }
    }

    /// Each tier calls another one at most, and no tier is come to twice.
    pub(super) fn check_call_chain(&self) -> Check {
        for tier in &self.tier {
            let (mut seen, mut next) = (HashSet::from([&tier.name]), tier);
            while let Some(calls) = &next.calls {
                let Some(at) = self.tier(&calls.tier) else {
                    let unknown = ScenarioError::UnknownName {
                        key: "calls",
                        kind: "tier",
                        name: calls.tier.clone(),
                    };
                    return Err(unknown.within(ScenarioPart::Tier(next.name.clone())));
                };
                if !seen.insert(&calls.tier) {
                    let cycle = ScenarioError::CallCycle(calls.tier.clone());
                    return Err(cycle.within(ScenarioPart::Tier(tier.name.clone())));
                }
                next = &self.tier[at];
            }
        }
        Ok(())
    }
}
