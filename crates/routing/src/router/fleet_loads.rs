//! Load reports that nearby balancers exchange.
//!
//! Each balancer sends only a small share of an upstream's requests. Without reports, every
//! balancer would have to discover by itself that an upstream is prefilling a batch of long prompts
//! or that it has failed. Reports expire within a second and never override a more recent
//! observation by this balancer.

use super::Router;
use crate::placement_log::MAX_REPORT_ENTRIES;
use crate::upstream::{Prompt, ReportedLoad, Upstream};
use std::collections::HashMap;
use woadstall_control::loads::{FleetLoad, FleetLoads, PrefixPlacement, UpstreamLoad};

/// Minimum prefill backlog that is reported, in tokens. An engine prefills a shorter backlog within
/// one step.
const MIN_REPORTED_BACKLOG_TOKENS: u64 = 4_096;

impl Router {
    /// Returns this balancer's load report: the upstreams that have a long prefill backlog or are
    /// failing.
    pub fn upstream_loads(&self, now: u64) -> Vec<UpstreamLoad> {
        let is_reported = |load: &UpstreamLoad| load.pending_prefill_tokens > 0 || load.is_failing;
        let loads = self
            .upstreams
            .values()
            .map(|upstream| self.upstream_load(now, upstream));
        loads.filter(is_reported).take(MAX_REPORT_ENTRIES).collect()
    }

    fn upstream_load(&self, now: u64, upstream: &Upstream) -> UpstreamLoad {
        let is_backlog_reported = upstream.prefill_backlog >= MIN_REPORTED_BACKLOG_TOKENS;
        UpstreamLoad {
            upstream: upstream.id_hash,
            pending_prefill_tokens: if is_backlog_reported {
                saturating_u32(upstream.prefill_backlog)
            } else {
                0
            },
            is_failing: self.is_unresponsive(now, upstream) || upstream.breaker.is_open(now),
        }
    }

    /// Adds a prompt to the model of the prefix cache of the upstream that the prompt is sent to,
    /// and records the placement of its shared prefix. `capacity` is the size of the prefix cache
    /// in tokens, if known.
    ///
    /// Balancers do not report prompts without a shared prefix. The model therefore assumes that
    /// every other balancer sends as many such prompts as this one.
    pub(super) fn record_prompt(
        &mut self,
        now: u64,
        id: &str,
        prompt: &Prompt,
        capacity: Option<u64>,
    ) {
        let number = self.random.u32(..);
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        if let Some(tokens) = capacity {
            upstream.prefix_cache.set_capacity(tokens);
        }
        let unshared_tokens = prompt.total_tokens.saturating_sub(prompt.prefix_tokens);
        let Some(prefix_hash) = prompt.prefix_hash else {
            let balancers = self.fleet.balancers_in(&upstream.region) as u64;
            upstream
                .prefix_cache
                .insert_unshared(unshared_tokens * balancers);
            return;
        };
        upstream
            .prefix_cache
            .insert_prefix(prefix_hash, prompt.prefix_tokens);
        upstream.prefix_cache.insert_unshared(unshared_tokens);
        let placement = PrefixPlacement {
            number,
            upstream: upstream.id_hash,
            prefix: prefix_hash,
            prefix_tokens: saturating_u32(prompt.prefix_tokens),
            suffix_tokens: saturating_u32(unshared_tokens),
        };
        self.placements.record_own(now, placement);
    }

    /// Returns the recent shared-prefix placements of this balancer for its load report, newest
    /// first.
    pub fn recent_placements(&mut self, now: u64) -> Vec<PrefixPlacement> {
        self.placements.recent(now)
    }

    /// Applies a report of the nearby balancers, which replaces the previously reported loads of
    /// all upstreams and adds new prefix placements.
    pub fn set_fleet_loads(&mut self, now: u64, loads: &FleetLoads) {
        self.placements.record_report(now);
        let load_by_upstream: HashMap<u32, FleetLoad> = loads
            .upstreams
            .iter()
            .map(|load| (load.upstream, *load))
            .collect();
        let mut placements_by_upstream: HashMap<u32, Vec<&PrefixPlacement>> = HashMap::new();
        for placement in &loads.placements {
            if self.placements.insert(placement.number) {
                placements_by_upstream
                    .entry(placement.upstream)
                    .or_default()
                    .push(placement);
            }
        }
        for upstream in self.upstreams.values_mut() {
            let load = load_by_upstream.get(&upstream.id_hash);
            upstream.reported_load = load.map(|load| ReportedLoad {
                received_at: now,
                load: *load,
            });
            for placement in placements_by_upstream
                .get(&upstream.id_hash)
                .into_iter()
                .flatten()
            {
                let (prefix_tokens, unshared_tokens) =
                    (placement.prefix_tokens, placement.suffix_tokens);
                upstream
                    .prefix_cache
                    .insert_prefix(placement.prefix, u64::from(prefix_tokens));
                upstream
                    .prefix_cache
                    .insert_unshared(u64::from(unshared_tokens));
            }
        }
    }
}

fn saturating_u32(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
