//! Refuses scenarios that make no sense, each by the name of its key.

use super::*;

const MOST_NODOS: u32 = 100_000;
const MOST_BALANCERS: u32 = 20_000;

impl Scenario {
    pub(super) fn faults(&self) -> Result<(), String> {
        if self.time.0 == 0 || self.step.0 == 0 {
            return Err("`time` and `step` must not be 0".into());
        }
        if self.warm_up >= self.time {
            return Err("`warm-up` must be shorter than `time`".into());
        }
        if self.time.0 / self.step.0 > 100_000 {
            return Err("`step`: more than 100,000 steps in `time`".into());
        }
        for (what, count) in [
            ("zones", self.zones.len()),
            ("class", self.class.len()),
            ("tier", self.tier.len()),
        ] {
            if count == 0 {
                return Err(format!("`{what}` is empty"));
            }
        }
        if self.zones.len() > 64 {
            return Err("`zones`: more than 64".into());
        }
        unique("zones", self.zones.iter())?;
        unique("class", self.class.iter().map(|class| &class.name))?;
        unique("tier", self.tier.iter().map(|tier| &tier.name))?;
        unique("callers", self.callers.iter().map(|callers| &callers.name))?;
        unique("tenant", self.tenant.iter().map(|tenant| &tenant.name))?;
        for class in &self.class {
            let wrong = |text: String| Err(format!("class {}: {text}", class.name));
            class
                .service
                .check()
                .or_else(|text| wrong(format!("`service`: {text}")))?;
            if class.latency_target.0 == 0 || class.deadline < class.latency_target {
                return wrong("`aim` must not be 0, nor `deadline` shorter".into());
            }
            if class.effect == CallEffect::Keyed && class.window.0 == 0 {
                return wrong("`window` is missing: the class is keyed".into());
            }
            number("worth", class.value, 0.0, 1e6).or_else(wrong)?;
            number("bytes", class.bytes, 0.0, 1e9).or_else(wrong)?;
            number("late-worth", class.late_value, 0.0, 1.0).or_else(wrong)?;
        }
        for tenant in &self.tenant {
            number("quota", tenant.quota, 0.0, 1e9)
                .map_err(|text| format!("tenant {}: {text}", tenant.name))?;
        }
        self.check_evacuation()?;
        let (balancers, upstreams) = self.sizes();
        if upstreams > u64::from(MOST_NODOS) || balancers > u64::from(MOST_BALANCERS) {
            return Err(format!(
                "`tier`: at most {MOST_NODOS} nodos and {MOST_BALANCERS} balancers in all"
            ));
        }
        for (at, tier) in self.tier.iter().enumerate() {
            let wrong = |text: String| Err(format!("tier {}: {text}", tier.name));
            if tier.workers == 0 || tier.cells == 0 {
                return wrong("`workers` and `cells` must not be 0".into());
            }
            match (tier.sidecar, self.caller_of(at)) {
                (true, None) => return wrong("`beside`: no tier calls it".into()),
                (true, Some(_)) if tier.balancers > 0 => {
                    return wrong(
                        "`balancers`: with `beside` there are as many as nodos that call".into(),
                    );
                }
                (false, _) if tier.balancers == 0 => {
                    return wrong("`balancers` must not be 0".into());
                }
                _ => {}
            }
            if tier.connections.trips > 10 {
                return wrong("`connections.trips` is over 10".into());
            }
            if let Some(probed) = &tier.probed {
                number("probed.price", probed.price, 0.0, 1.0).or_else(wrong)?;
                if probed.timeout.0 == 0 {
                    return wrong("`probed.patience` is 0".into());
                }
            }
            number("start-capacity", tier.start_capacity, 0.01, 1.0).or_else(wrong)?;
            number("tip-multiple", tier.overload_multiple, 0.1, 1e6).or_else(wrong)?;
            if let Some(calls) = &tier.calls {
                number("calls.mean", calls.mean, 0.0, 100.0).or_else(wrong)?;
            }
        }
        self.check_tiers()?;
        for callers in &self.callers {
            let wrong = |text: String| Err(format!("callers {}: {text}", callers.name));
            callers
                .load
                .check()
                .or_else(|text| wrong(format!("`load`: {text}")))?;
            number("heeds-advice", callers.honors_retry_after, 0.0, 1.0).or_else(wrong)?;
            for (class, share) in &callers.classes {
                if self.class(class).is_none() {
                    return wrong(format!("`classes`: there is no class {class}"));
                }
                number(class, *share, 0.0, 1e9).or_else(wrong)?;
            }
            if callers.classes.values().sum::<f64>() <= 0.0 {
                return wrong("`classes`: none has a share".into());
            }
            if let Some(tenant) = &callers.tenant
                && !self.tenant.iter().any(|known| known.name == *tenant)
            {
                return wrong(format!("`tenant`: there is no tenant {tenant}"));
            }
            self.zone(&callers.zone).map(drop).or_else(wrong)?;
            if callers.again != CallerRetries::Never
                && matches!(callers.load, Load::Closed { think: Span(0), .. })
            {
                return wrong("`load`: a crowd that asks again needs a `think` over 0".into());
            }
        }
        let calls: f64 = self
            .callers
            .iter()
            .map(|callers| callers.load.most() * self.time.seconds())
            .sum();
        if calls > MOST_CALLS {
            return Err(format!(
                "`callers`: {calls:.0} calls, of {MOST_CALLS:.0} that one run may have"
            ));
        }
        number("network.jitter", self.network.jitter, 0.0, 100.0)?;
        number("network.loss", self.network.loss, 0.0, 1.0)?;
        number("network.resets", self.network.resets, 0.0, 1.0)?;
        number(
            "network.bytes-per-second",
            self.network.bytes_per_second,
            0.0,
            1e12,
        )?;
        if let Some(front) = &self.front {
            number("front.uneven", front.uneven, 1.0, 1e4)?;
        }
        if let Some(queries) = &self.registry.queries {
            number("padron.asked.reads", queries.reads_per_second, 0.001, 1e9)?;
            if queries.timeout.0 == 0 || queries.within.0 == 0 {
                return Err("`padron.asked`: `patience` and `within` must not be 0".into());
            }
        }
        number("clocks.drift", self.clocks.drift, 0.0, 0.1)?;
        number("limits.cross-price", self.limits.cross_zone_cost, 0.0, 1.0)?;
        number(
            "limits.over-quota-worth",
            self.limits.over_quota_value,
            0.0,
            1.0,
        )?;
        if self.limits.attempts == 0 {
            return Err("`limits.attempts` is 0".into());
        }
        for (at, fault) in self.fault.iter().enumerate() {
            let wrong = |text: String| Err(format!("fault {}: {text}", at + 1));
            number("part", fault.part, 0.0, 1.0).or_else(wrong)?;
            if fault.until.is_some_and(|until| until <= fault.at) {
                return wrong("`until` is not after `at`".into());
            }
            self.zone(&fault.zone).map(drop).or_else(wrong)?;
            if let Some(tier) = &fault.tier
                && self.tier(tier).is_none()
            {
                return wrong(format!("`tier`: there is no tier {tier}"));
            }
            match &fault.what {
                FaultKind::Slow(times) | FaultKind::SlowLink(times) => {
                    number("what", *times, 0.01, 1e4).or_else(wrong)?
                }
                FaultKind::Lost(part) | FaultKind::Resets(part) => {
                    number("what", *part, 0.0, 1.0).or_else(wrong)?
                }
                FaultKind::Errors { share, class } => {
                    number("share", *share, 0.0, 1.0).or_else(wrong)?;
                    if let Some(class) = class
                        && self.class(class).is_none()
                    {
                        return wrong(format!("`class`: there is no class {class}"));
                    }
                }
                FaultKind::RollBalancers if fault.until.is_none() => {
                    return wrong("`until` is missing: a roll has an end".into());
                }
                FaultKind::Restart { .. } | FaultKind::RollBalancers | FaultKind::Stall
                    if fault
                        .tier
                        .as_ref()
                        .and_then(|name| self.tier(name))
                        .is_some_and(|at| self.tier[at].sidecar) =>
                {
                    return wrong("`tier`: its balancers go with their nodos".into());
                }
                FaultKind::PartitionTo | FaultKind::PartitionFrom | FaultKind::Link(_)
                    if fault.zone.is_none() =>
                {
                    return wrong(
                        "`zone` is missing: a cut has one, and a link begins in one".into(),
                    );
                }
                FaultKind::Link(link) => {
                    self.zone(&Some(link.to.clone())).map(drop).or_else(wrong)?;
                    number("loss", link.loss, 0.0, 1.0).or_else(wrong)?;
                }
                FaultKind::Between(_) if self.members.is_none() => {
                    return wrong("there is no `[members]`: balancers do not speak".into());
                }
                FaultKind::Between(ill) => ill.check(self).or_else(wrong)?,
                FaultKind::PowerLoss { .. } | FaultKind::Stop if fault.until.is_none() => {
                    return wrong(
                        "`until` is missing: power comes back, and what stands still goes on"
                            .into(),
                    );
                }
                _ => {}
            }
        }
        if let Some(members) = &self.members {
            let (period, timeout, suspicion) =
                (members.period.0, members.timeout.0, members.suspicion.0);
            if period == 0 || timeout == 0 || timeout > period / 2 || suspicion < period {
                return Err(
                    "`members`: `patience` up to half of `period`, `suspicion` no shorter".into(),
                );
            }
        }
        for zone in self.regions.keys() {
            self.zone(&Some(zone.clone()))
                .map_err(|text| format!("`regions`: {text}"))?;
        }
        unique("bound", self.bound.iter().map(|bound| &bound.name))?;
        for bound in &self.bound {
            bound
                .check(self)
                .map_err(|text| format!("bound {}: {text}", bound.name))?;
        }
        for (zone, _) in self.zones.iter().enumerate() {
            self.settings(0, zone as u8)
                .check()
                .map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    /// Each tier calls another one at most, and no tier is come to twice.
    fn check_tiers(&self) -> Result<(), String> {
        for tier in &self.tier {
            let (mut seen, mut next) = (HashSet::from([&tier.name]), tier);
            while let Some(calls) = &next.calls {
                let Some(at) = self.tier(&calls.tier) else {
                    return Err(format!(
                        "tier {}: `calls`: there is no tier {}",
                        next.name, calls.tier
                    ));
                };
                if !seen.insert(&calls.tier) {
                    return Err(format!(
                        "tier {}: `calls` goes in a circle by {}",
                        tier.name, calls.tier
                    ));
                }
                next = &self.tier[at];
            }
        }
        Ok(())
    }
}

fn unique<'a>(what: &str, names: impl Iterator<Item = &'a String>) -> Result<(), String> {
    let mut seen = HashSet::new();
    for name in names {
        if name.is_empty() || !seen.insert(name) {
            return Err(format!(
                "`{what}`: the name {name:?} is empty or there twice"
            ));
        }
    }
    Ok(())
}

pub(super) fn number(key: &str, number: f64, least: f64, most: f64) -> Result<(), String> {
    match number.is_finite() && (least..=most).contains(&number) {
        true => Ok(()),
        false => Err(format!("`{key}` is {number}, not from {least} to {most}")),
    }
}
