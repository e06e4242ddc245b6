//! Measurements of a run: the value served, relative to the value offered and to a fluid bound, which is an upper
//! bound of the value that any policy could serve.

use crate::audit::{Breach, Rule};
use crate::costs::CostRow;
use crate::evacuation::EvacuationReport;
use crate::observer::MembershipReport;
use crate::scenario::{BoundResult, Scenario};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use woadstall_engine::Time;

/// Final outcome of a client call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Served within the latency target of its class.
    OnTime,
    /// Served after the latency target.
    Late,
    /// Refused, even after all retries of the caller.
    Refused,
    /// Failed without a usable answer.
    Failed,
}

/// Counts of calls, attempts and value.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// Calls that callers wanted to make.
    pub offered: u64,
    /// Requests at balancers, including callers' retries.
    pub requests: u64,
    /// Calls served within the latency target.
    pub on_time: u64,
    /// Calls served after the latency target.
    pub late: u64,
    /// Calls refused even after all retries of the caller.
    pub refused: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Attempts at upstreams of all tiers.
    pub attempts: u64,
    /// Attempts after the first one of their request.
    #[serde(rename = "repeats")]
    pub retries: u64,
    /// Attempts from one zone to another.
    #[serde(rename = "crossings")]
    pub cross_zone_attempts: u64,
    /// Value of the offered calls.
    #[serde(rename = "worth-offered")]
    pub value_offered: f64,
    /// Value of the served calls.
    #[serde(rename = "worth")]
    pub value: f64,
}

/// A step of the timeline.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TimelineStep {
    /// End of the step, in seconds since the start of the run.
    #[serde(rename = "until")]
    pub end_seconds: f64,
    /// Counts of this step.
    pub counts: Counts,
    /// Median latency of served calls, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of served calls, in milliseconds.
    pub p99_ms: f64,
    /// Latency histogram of served calls: upper end of the bucket in microseconds, and count.
    #[serde(rename = "latencies")]
    pub latency_histogram_us: Vec<(u64, u64)>,
    /// Capacity of each tier's upstreams, in workers of healthy warm upstreams.
    #[serde(rename = "speed")]
    pub tier_capacity_workers: Vec<f64>,
    /// Requests and attempts that were open at the end of the step.
    #[serde(rename = "open")]
    pub open_requests_and_attempts: (u64, u64),
    /// Number of attempts by host.
    #[serde(rename = "hosts")]
    pub attempts_by_host: Vec<u32>,
    /// Log lines of balancers by topic. Each balancer logs a topic at most once in 5 s.
    #[serde(rename = "lines")]
    pub log_lines_by_topic: BTreeMap<String, u64>,
    /// Balancers and upstreams that were running at the end of the step; only for runs with real processes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "up")]
    pub running_processes: Option<(u64, u64)>,
}

/// Latencies of served calls, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Latencies {
    /// Mean latency.
    pub mean: f64,
    /// Median latency.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum latency.
    pub max: f64,
}

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunResult {
    /// Counts of the calls that arrived after the warm-up.
    pub counts: Counts,
    /// Value served relative to the value offered.
    #[serde(rename = "served")]
    pub served_value_fraction: f64,
    /// Value that the fluid bound allows relative to the value offered.
    #[serde(rename = "bound")]
    pub fluid_bound: f64,
    /// Value served relative to the value that the fluid bound allows.
    pub score: f64,
    /// Latencies of served calls.
    pub latency: Latencies,
    /// Number of breaches by rule.
    pub breaches: BTreeMap<Rule, u64>,
    /// The first breaches in full.
    pub first_breaches: Vec<Breach>,
    /// Largest number of requests that one upstream held at a time.
    pub longest_queue: u32,
    /// Number of log lines of all balancers.
    pub log_lines: u64,
    /// Number of simulated events.
    pub events: u64,
    /// Costs by tier.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "prices")]
    pub costs: Vec<CostRow>,
    /// Results of the scenario's bounds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bounds: Vec<BoundResult>,
    /// Report on membership among balancers, if the scenario has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members: Option<MembershipReport>,
    /// Report on the evacuation of zones, if the scenario has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "evacuated")]
    pub evacuation: Option<EvacuationReport>,
    /// Steps of the run.
    #[serde(rename = "steps")]
    pub timeline: Vec<TimelineStep>,
    /// Trace of the selected call: time in nanoseconds, and text.
    #[serde(rename = "story")]
    pub call_trace: Vec<(Time, String)>,
}

impl RunResult {
    /// Whether no rule was broken and all bounds were met.
    pub fn is_satisfied(&self) -> bool {
        self.breach_count() == 0 && self.bounds.iter().all(|bound| bound.is_met)
    }

    /// Number of breaches of all rules.
    pub fn breach_count(&self) -> u64 {
        self.breaches.values().sum()
    }
}

/// Value, latency target and work of a class of requests.
#[derive(Clone, Copy)]
struct ClassFigures {
    /// Value of an answer within the latency target.
    value: f64,
    /// Fraction of the value for a late answer.
    late_value: f64,
    /// Latency target, in nanoseconds.
    latency_target: Time,
    /// Deadline, in nanoseconds.
    deadline: Time,
    /// Mean work of an upstream on one request, in nanoseconds.
    work: f64,
}

/// Calls of a class that arrived in one step and are not served yet, as a fluid.
#[derive(Clone, Copy)]
struct WaitingCalls {
    /// Index of the step in which the calls arrived.
    step: usize,
    calls: f64,
}

/// State of the computation of the fluid bound.
#[derive(Clone, Copy, Default)]
struct FluidState {
    /// Capacity left in the current step, in nanoseconds of work.
    capacity: f64,
    /// Value served so far.
    value: f64,
}

/// Collects the measurements of a run, simulated or on sockets. Times are nanoseconds since the start of the
/// run.
pub struct Meter {
    classes: Vec<ClassFigures>,
    totals: Counts,
    latency: Histogram<u64>,
    /// Sum of the latencies of served calls, in nanoseconds.
    latency_sum: f64,
    longest_queue: u32,
    step: TimelineStep,
    step_latency: Histogram<u64>,
    steps: Vec<TimelineStep>,
    /// Calls of each class in the present step, from the warm-up on.
    arrivals: Vec<u64>,
    /// Finished values of `arrivals`, by step and class.
    arrivals_by_step: Vec<Vec<u64>>,
    step_length: Time,
    host_count: usize,
    /// Mean number of requests to each tier per client call; 0 for a tier that no call reaches.
    requests_per_call: Vec<f64>,
    log_lines: u64,
}

fn histogram() -> Histogram<u64> {
    // 1 µs to 1 h with two significant digits; these bounds are valid, so construction cannot fail.
    Histogram::new_with_bounds(1, 3_600_000_000, 2).unwrap_or_else(|_| unreachable!("valid bounds"))
}

impl Meter {
    /// Creates a meter with all counts at 0.
    pub fn new(scenario: &Scenario) -> Self {
        let classes = scenario.class.iter().map(|class| ClassFigures {
            value: class.value,
            late_value: class.late_value,
            latency_target: class.latency_target.0,
            deadline: class.deadline.0,
            work: class.service.mean(),
        });
        let mut requests_per_call = vec![0.0; scenario.tier.len()];
        let (mut tier, mut requests) = (0, 1.0);
        loop {
            requests_per_call[tier] = requests;
            let Some(calls) = &scenario.tier[tier].calls else {
                break;
            };
            let Some(called_tier) = scenario.tier(&calls.tier) else {
                break;
            };
            (tier, requests) = (called_tier, requests * calls.mean);
        }
        Self {
            arrivals: vec![0; scenario.class.len()],
            classes: classes.collect(),
            totals: Counts::default(),
            latency: histogram(),
            latency_sum: 0.0,
            longest_queue: 0,
            step: TimelineStep::default(),
            step_latency: histogram(),
            steps: Vec::new(),
            arrivals_by_step: Vec::new(),
            step_length: scenario.step.0,
            host_count: scenario.process_counts().1 as usize,
            requests_per_call,
            log_lines: 0,
        }
    }

    /// Counts an offered call. `measured` means that the call arrived after the warm-up.
    pub fn offered(&mut self, class: usize, measured: bool) {
        let value = self.classes[class].value;
        let counts = &mut self.step.counts;
        (counts.offered, counts.value_offered) = (counts.offered + 1, counts.value_offered + value);
        if measured {
            (self.totals.offered, self.totals.value_offered) =
                (self.totals.offered + 1, self.totals.value_offered + value);
            self.arrivals[class] += 1;
        }
    }

    /// Counts a request that a caller sends to a balancer.
    pub fn request_sent(&mut self) {
        self.step.counts.requests += 1;
    }

    /// Counts an attempt that a balancer sends to a host.
    pub fn sent(&mut self, attempt: u32, crosses_zones: bool, host: u32) {
        let counts = &mut self.step.counts;
        counts.attempts += 1;
        counts.retries += u64::from(attempt > 0);
        counts.cross_zone_attempts += u64::from(crosses_zones);
        let (hosts, host) = (&mut self.step.attempts_by_host, host as usize);
        if hosts.len() <= host {
            hosts.resize(self.host_count.max(host + 1), 0);
        }
        hosts[host] += 1;
    }

    /// Counts a finished call, with its total latency.
    pub fn ended(&mut self, class: usize, outcome: CallOutcome, latency: Time, measured: bool) {
        let ClassFigures {
            value, late_value, ..
        } = self.classes[class];
        let count = |counts: &mut Counts| match outcome {
            CallOutcome::OnTime => {
                (counts.on_time, counts.value) = (counts.on_time + 1, counts.value + value)
            }
            CallOutcome::Late => {
                (counts.late, counts.value) = (counts.late + 1, counts.value + value * late_value);
            }
            CallOutcome::Refused => counts.refused += 1,
            CallOutcome::Failed => counts.failed += 1,
        };
        count(&mut self.step.counts);
        let served = matches!(outcome, CallOutcome::OnTime | CallOutcome::Late);
        if served {
            self.step_latency.saturating_record(latency / 1_000);
        }
        if measured {
            count(&mut self.totals);
            if served {
                self.latency.saturating_record(latency / 1_000);
                self.latency_sum += latency as f64;
            }
        }
    }

    /// Records the number of requests that an upstream holds.
    pub fn queued(&mut self, request_count: u32) {
        self.longest_queue = self.longest_queue.max(request_count);
    }

    /// Counts a log line by its first word, which is its topic.
    pub fn log_line(&mut self, line: &str) {
        self.log_lines += 1;
        let topic = line.split(' ').next().unwrap_or_default();
        *self
            .step
            .log_lines_by_topic
            .entry(topic.to_owned())
            .or_default() += 1;
    }

    /// Ends a step of the timeline, with the present capacity of each tier and the open requests and attempts.
    pub fn step(
        &mut self,
        now: Time,
        tier_capacity: &[f64],
        open_requests: usize,
        open_attempts: usize,
    ) {
        let mut step = std::mem::take(&mut self.step);
        step.end_seconds = now as f64 / 1e9;
        let quantile_ms =
            |quantile: f64| self.step_latency.value_at_quantile(quantile) as f64 / 1e3;
        (step.p50_ms, step.p99_ms) = (quantile_ms(0.5), quantile_ms(0.99));
        let recorded = self.step_latency.iter_recorded();
        step.latency_histogram_us = recorded
            .map(|value| (value.value_iterated_to(), value.count_at_value()))
            .collect();
        step.tier_capacity_workers = tier_capacity.to_vec();
        step.open_requests_and_attempts = (open_requests as u64, open_attempts as u64);
        self.step_latency.reset();
        self.steps.push(step);
        self.arrivals_by_step.push(std::mem::replace(
            &mut self.arrivals,
            vec![0; self.classes.len()],
        ));
    }

    /// Upper bound of the value that can be served, with work as a fluid: in each step, the capacity goes to
    /// the calls with the highest value per work. Within a class, the oldest calls within the latency target
    /// come first, and late calls after them. The bound ignores queues within a step, random arrivals and lost
    /// work, so it is above the achievable value.
    fn fluid_bound(&self) -> f64 {
        let mut waiting: Vec<VecDeque<WaitingCalls>> = vec![VecDeque::new(); self.classes.len()];
        let classes_by_value = self.order_of_value();
        // The capacity of the last step continues until the deadlines of the last calls have passed.
        let deadline_steps = self
            .classes
            .iter()
            .map(|class| class.deadline / self.step_length + 2)
            .max()
            .unwrap_or(0);
        let mut fluid = FluidState::default();
        for step in 0..self.steps.len() + deadline_steps as usize {
            self.admit_calls(step, &mut waiting);
            fluid.capacity = self.capacity_of_step(step);
            for &(class, late) in &classes_by_value {
                self.serve(step, (class, late), &mut waiting[class], &mut fluid);
            }
        }
        fluid.value
    }

    /// Pairs of class and lateness in descending order of value per work.
    fn order_of_value(&self) -> Vec<(usize, bool)> {
        let mut order: Vec<(usize, bool)> = (0..self.classes.len())
            .flat_map(|class| [(class, false), (class, true)])
            .collect();
        let value_per_work = |&(class, late): &(usize, bool)| {
            let figures = &self.classes[class];
            figures.value * if late { figures.late_value } else { 1.0 } / figures.work
        };
        order.sort_by(|a, b| value_per_work(b).total_cmp(&value_per_work(a)));
        order
    }

    /// Capacity of the slowest tier in a step, in nanoseconds of work on client calls.
    fn capacity_of_step(&self, step_index: usize) -> f64 {
        let step = &self.steps[step_index.min(self.steps.len() - 1)];
        let slowest_tier = step
            .tier_capacity_workers
            .iter()
            .zip(&self.requests_per_call)
            .filter(|(_, requests)| **requests > 0.0)
            .map(|(capacity, requests)| capacity / requests)
            .fold(f64::MAX, f64::min);
        slowest_tier * self.step_length as f64
    }

    /// Adds the calls that arrived in a step, and drops those past their deadline.
    fn admit_calls(&self, step: usize, waiting: &mut [VecDeque<WaitingCalls>]) {
        for (class, waiting) in waiting.iter_mut().enumerate() {
            let arrived = self
                .arrivals_by_step
                .get(step)
                .map_or(0, |arrivals| arrivals[class]);
            waiting.push_back(WaitingCalls {
                step,
                calls: arrived as f64,
            });
            let deadline_steps = (self.classes[class].deadline / self.step_length) as usize + 1;
            while waiting
                .front()
                .is_some_and(|oldest| oldest.step + deadline_steps < step)
            {
                waiting.pop_front();
            }
        }
    }

    /// Serves waiting calls of a class, oldest first; `late` selects the calls past or within the latency
    /// target.
    fn serve(
        &self,
        step: usize,
        (class, late): (usize, bool),
        waiting: &mut VecDeque<WaitingCalls>,
        fluid: &mut FluidState,
    ) {
        let figures = &self.classes[class];
        let target_steps = (figures.latency_target / self.step_length) as usize + 1;
        let value_per_call = if late {
            figures.value * figures.late_value
        } else {
            figures.value
        };
        for calls in waiting
            .iter_mut()
            .filter(|calls| late == (calls.step + target_steps < step))
        {
            let served = calls.calls.min(fluid.capacity / figures.work);
            calls.calls -= served;
            fluid.capacity -= served * figures.work;
            // A single running sum: the order of the additions affects the last digits.
            fluid.value += served * value_per_call;
        }
    }

    /// Finishes the measurements, with the auditor's findings.
    pub fn end(
        self,
        (breach_counts, first_breaches): ([u64; 5], Vec<Breach>),
        events: u64,
        call_trace: Vec<(Time, String)>,
    ) -> RunResult {
        let bound = if self.steps.is_empty() {
            0.0
        } else {
            self.fluid_bound()
        };
        let mut totals = self.totals;
        // Requests and attempts are not attributed to calls, so the ones of the warm-up are included.
        for step in &self.steps {
            totals.requests += step.counts.requests;
            totals.attempts += step.counts.attempts;
            totals.retries += step.counts.retries;
            totals.cross_zone_attempts += step.counts.cross_zone_attempts;
        }
        let ratio = |value: f64, whole: f64| if whole > 0.0 { value / whole } else { 1.0 };
        let quantile_ms = |quantile: f64| self.latency.value_at_quantile(quantile) as f64 / 1e3;
        RunResult {
            served_value_fraction: ratio(totals.value, totals.value_offered),
            fluid_bound: ratio(bound, totals.value_offered).min(1.0),
            score: ratio(totals.value, bound.min(totals.value_offered)),
            latency: Latencies {
                mean: self.latency_sum / (totals.on_time + totals.late).max(1) as f64 / 1e6,
                p50: quantile_ms(0.5),
                p90: quantile_ms(0.9),
                p99: quantile_ms(0.99),
                p999: quantile_ms(0.999),
                max: self.latency.max() as f64 / 1e3,
            },
            breaches: Rule::ALL.into_iter().zip(breach_counts).collect(),
            first_breaches,
            longest_queue: self.longest_queue,
            log_lines: self.log_lines,
            events,
            counts: totals,
            costs: Vec::new(),
            bounds: Vec::new(),
            members: None,
            evacuation: None,
            timeline: self.steps,
            call_trace,
        }
    }
}
