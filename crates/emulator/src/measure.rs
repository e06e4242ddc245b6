//! Measures of a run: value served over value offered, and over what a fluid bound allows.

use crate::audit::{Breach, Rule};
use crate::costs::CostRow;
use crate::evacuation::EvacuationReport;
use crate::observer::MembershipReport;
use crate::scenario::{BoundResult, Scenario};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use woadstall_engine::Time;

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Served within its class's aim.
    OnTime,
    /// Served later.
    Late,
    /// Refused to the end.
    Refused,
    /// Failed.
    Failed,
}

/// Counts of calls, attempts and value.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// Calls that callers wished for.
    pub offered: u64,
    /// Requests at balancers, repeats by callers included.
    pub requests: u64,
    /// Served within the aim.
    pub on_time: u64,
    /// Served later.
    pub late: u64,
    /// Refused to the end.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Attempts at upstreams, those of all tiers.
    pub attempts: u64,
    /// Those that were not the first of their request.
    #[serde(rename = "repeats")]
    pub retries: u64,
    /// Those that crossed zones.
    #[serde(rename = "crossings")]
    pub cross_zone_attempts: u64,
    /// Worth of what was offered.
    #[serde(rename = "worth-offered")]
    pub value_offered: f64,
    /// Worth of what was served.
    #[serde(rename = "worth")]
    pub value: f64,
}

/// A step of the timeline.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TimelineStep {
    /// When it ended, in seconds.
    #[serde(rename = "until")]
    pub end_seconds: f64,
    /// What was counted in it.
    pub counts: Counts,
    /// Latency of what was served, in milliseconds.
    pub p50_ms: f64,
    /// The same.
    pub p99_ms: f64,
    /// Latencies of what was served: microseconds, and how many there were of about that.
    #[serde(rename = "latencies")]
    pub latency_histogram_us: Vec<(u64, u64)>,
    /// What each tier's upstreams could do, in workers of sound warm ones.
    #[serde(rename = "speed")]
    pub tier_capacity_workers: Vec<f64>,
    /// Requests and attempts that were open at its end.
    #[serde(rename = "open")]
    pub open_requests_and_attempts: (u64, u64),
    /// Attempts that went to each host.
    #[serde(rename = "hosts")]
    pub attempts_by_host: Vec<u32>,
    /// Lines that balancers logged, by what they are of. Each balancer tells of a matter every 5 s at most.
    #[serde(rename = "lines")]
    pub log_lines_by_topic: BTreeMap<String, u64>,
    /// Balancers and upstreams whose processes ran at its end, where they are processes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "up")]
    pub running_processes: Option<(u64, u64)>,
}

/// Latencies of what was served, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Latencies {
    /// The mean.
    pub mean: f64,
    /// The median.
    pub p50: f64,
    /// Nine in ten are shorter.
    pub p90: f64,
    /// 99 in a hundred are.
    pub p99: f64,
    /// 999 in a thousand are.
    pub p999: f64,
    /// The longest.
    pub max: f64,
}

/// All that a run shows.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunResult {
    /// Calls that came after the warm-up.
    pub counts: Counts,
    /// Worth served over value offered.
    #[serde(rename = "served")]
    pub served_value_fraction: f64,
    /// Worth that the fluid bound allows over value offered.
    #[serde(rename = "bound")]
    pub fluid_bound: f64,
    /// Worth served over what the bound allows.
    pub score: f64,
    /// Latencies.
    pub latency: Latencies,
    /// Breaches of each rule.
    pub breaches: BTreeMap<Rule, u64>,
    /// The first of them in full.
    pub first_breaches: Vec<Breach>,
    /// Most requests that one upstream held.
    pub longest_queue: u32,
    /// Lines that balancers logged.
    pub log_lines: u64,
    /// Events that happened.
    pub events: u64,
    /// The price list.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "prices")]
    pub costs: Vec<CostRow>,
    /// How the scenario's bounds were kept.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bounds: Vec<BoundResult>,
    /// What was seen of membership among balancers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members: Option<MembershipReport>,
    /// What balancers that leave places together made of zones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "evacuated")]
    pub evacuation: Option<EvacuationReport>,
    /// The timeline.
    #[serde(rename = "steps")]
    pub timeline: Vec<TimelineStep>,
    /// The story of the call that was followed: when, in nanoseconds, and what.
    #[serde(rename = "story")]
    pub call_trace: Vec<(Time, String)>,
}

impl RunResult {
    /// Whether each rule and each bound was kept.
    pub fn is_satisfied(&self) -> bool {
        self.breach_count() == 0 && self.bounds.iter().all(|bound| bound.is_met)
    }

    /// Breaches in all.
    pub fn breach_count(&self) -> u64 {
        self.breaches.values().sum()
    }
}

/// What a class of requests is worth, and costs.
#[derive(Clone, Copy)]
struct ClassFigures {
    /// Value of an answer within the latency target.
    value: f64,
    /// Part of it that a late answer earns.
    late_value: f64,
    /// In nanoseconds.
    latency_target: Time,
    /// In nanoseconds.
    deadline: Time,
    /// Mean work of an upstream on one request, in nanoseconds.
    work: f64,
}

/// Calls of a class that came in one step and are not served, as a fluid.
#[derive(Clone, Copy)]
struct Waiting {
    step: usize,
    calls: f64,
}

/// Work that is left in a step, in nanoseconds, and the value that was served so far.
#[derive(Clone, Copy, Default)]
struct Fluid {
    capacity: f64,
    value: f64,
}

/// Counts while a run goes on, simulated or on sockets. Times are nanoseconds from its start.
pub struct Meter {
    classes: Vec<ClassFigures>,
    all: Counts,
    latency: Histogram<u64>,
    /// Sum of the latencies, in nanoseconds.
    took: f64,
    longest_queue: u32,
    step: TimelineStep,
    step_latency: Histogram<u64>,
    steps: Vec<TimelineStep>,
    /// Calls of each class in a step, from the warm-up on.
    came: Vec<u64>,
    all_came: Vec<Vec<u64>>,
    step_length: Time,
    hosts: usize,
    multiple: Vec<f64>,
    log_lines: u64,
}

fn histogram() -> Histogram<u64> {
    // From a microsecond to an hour, to two digits; the bounds are sound, so this does not fail.
    Histogram::new_with_bounds(1, 3_600_000_000, 2).unwrap_or_else(|_| unreachable!("sound bounds"))
}

impl Meter {
    /// Nothing is counted yet.
    pub fn new(scenario: &Scenario) -> Self {
        let classes = scenario.class.iter().map(|class| ClassFigures {
            value: class.value,
            late_value: class.late_value,
            latency_target: class.latency_target.0,
            deadline: class.deadline.0,
            work: class.service.mean(),
        });
        // How many requests of a tier one call of a caller makes.
        let mut multiple = vec![0.0; scenario.tier.len()];
        let (mut at, mut times) = (0, 1.0);
        loop {
            multiple[at] = times;
            let Some(calls) = &scenario.tier[at].calls else {
                break;
            };
            let Some(next) = scenario.tier(&calls.tier) else {
                break;
            };
            (at, times) = (next, times * calls.mean);
        }
        Self {
            came: vec![0; scenario.class.len()],
            classes: classes.collect(),
            all: Counts::default(),
            latency: histogram(),
            took: 0.0,
            longest_queue: 0,
            step: TimelineStep::default(),
            step_latency: histogram(),
            steps: Vec::new(),
            all_came: Vec::new(),
            step_length: scenario.step.0,
            hosts: scenario.process_counts().1 as usize,
            multiple,
            log_lines: 0,
        }
    }

    /// A caller wishes for something; `measured`: after the warm-up.
    pub fn offered(&mut self, class: usize, measured: bool) {
        let value = self.classes[class].value;
        let counts = &mut self.step.counts;
        (counts.offered, counts.value_offered) = (counts.offered + 1, counts.value_offered + value);
        if measured {
            (self.all.offered, self.all.value_offered) =
                (self.all.offered + 1, self.all.value_offered + value);
            self.came[class] += 1;
        }
    }

    /// It asks a balancer.
    pub fn request_sent(&mut self) {
        self.step.counts.requests += 1;
    }

    /// A balancer sends an attempt to a host.
    pub fn sent(&mut self, attempt: u32, crosses: bool, host: u32) {
        let counts = &mut self.step.counts;
        counts.attempts += 1;
        counts.retries += u64::from(attempt > 0);
        counts.cross_zone_attempts += u64::from(crosses);
        let (hosts, host) = (&mut self.step.attempts_by_host, host as usize);
        if hosts.len() <= host {
            hosts.resize(self.hosts.max(host + 1), 0);
        }
        hosts[host] += 1;
    }

    /// A call is over, so long after it came.
    pub fn ended(&mut self, class: usize, outcome: CallOutcome, took: Time, measured: bool) {
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
            self.step_latency.saturating_record(took / 1_000);
        }
        if measured {
            count(&mut self.all);
            if served {
                self.latency.saturating_record(took / 1_000);
                self.took += took as f64;
            }
        }
    }

    /// An upstream holds so many requests.
    pub fn queued(&mut self, held: u32) {
        self.longest_queue = self.longest_queue.max(held);
    }

    /// Counts a line by its first word, which tells what it is of.
    pub fn log_line(&mut self, line: &str) {
        self.log_lines += 1;
        let topic = line.split(' ').next().unwrap_or_default();
        *self
            .step
            .log_lines_by_topic
            .entry(topic.to_owned())
            .or_default() += 1;
    }

    /// A step of the timeline ends: what each tier can do, and what is open.
    pub fn step(&mut self, now: Time, speed: &[f64], requests: usize, attempts: usize) {
        let mut step = std::mem::take(&mut self.step);
        step.end_seconds = now as f64 / 1e9;
        let ms = |part: f64| self.step_latency.value_at_quantile(part) as f64 / 1e3;
        (step.p50_ms, step.p99_ms) = (ms(0.5), ms(0.99));
        let recorded = self.step_latency.iter_recorded();
        step.latency_histogram_us = recorded
            .map(|value| (value.value_iterated_to(), value.count_at_value()))
            .collect();
        step.tier_capacity_workers = speed.to_vec();
        step.open_requests_and_attempts = (requests as u64, attempts as u64);
        self.step_latency.reset();
        self.steps.push(step);
        self.all_came.push(std::mem::replace(
            &mut self.came,
            vec![0; self.classes.len()],
        ));
    }

    /// What can be served at most where work is a fluid: in each step the upstreams' speed goes to the calls of the
    /// highest value for their work, of a class to the oldest that are still in their aim, then to late ones.
    /// Queues within a step, the chance of arrivals and lost work are left out, so it is above what can be done.
    fn bound(&self) -> f64 {
        let mut waiting: Vec<VecDeque<Waiting>> = vec![VecDeque::new(); self.classes.len()];
        let order = self.order_of_value();
        // Until the last are past their time, the speed of the last step goes on.
        let longest = self
            .classes
            .iter()
            .map(|class| class.deadline / self.step_length + 2)
            .max()
            .unwrap_or(0);
        let mut fluid = Fluid::default();
        for at in 0..self.steps.len() + longest as usize {
            self.admit_calls(at, &mut waiting);
            fluid.capacity = self.capacity_of_step(at);
            for &(class, late) in &order {
                self.serve(at, (class, late), &mut waiting[class], &mut fluid);
            }
        }
        fluid.value
    }

    /// Classes, each for calls within their latency target and for late ones, by value for their work.
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

    /// What the slowest tier can do in a step, in nanoseconds of work for calls.
    fn capacity_of_step(&self, at: usize) -> f64 {
        let step = &self.steps[at.min(self.steps.len() - 1)];
        let least = step
            .tier_capacity_workers
            .iter()
            .zip(&self.multiple)
            .filter(|(_, multiple)| **multiple > 0.0)
            .map(|(speed, multiple)| speed / multiple)
            .fold(f64::MAX, f64::min);
        least * self.step_length as f64
    }

    /// The calls that came in a step wait; those past their deadline do no longer.
    fn admit_calls(&self, at: usize, waiting: &mut [VecDeque<Waiting>]) {
        for (class, waiting) in waiting.iter_mut().enumerate() {
            let came = self.all_came.get(at).map_or(0, |came| came[class]);
            waiting.push_back(Waiting {
                step: at,
                calls: came as f64,
            });
            let deadline = (self.classes[class].deadline / self.step_length) as usize + 1;
            while waiting
                .front()
                .is_some_and(|oldest| oldest.step + deadline < at)
            {
                waiting.pop_front();
            }
        }
    }

    /// Serves calls of a class, oldest first, those that are late or those that are not.
    fn serve(
        &self,
        at: usize,
        (class, late): (usize, bool),
        waiting: &mut VecDeque<Waiting>,
        fluid: &mut Fluid,
    ) {
        let figures = &self.classes[class];
        let within = (figures.latency_target / self.step_length) as usize + 1;
        let each = if late {
            figures.value * figures.late_value
        } else {
            figures.value
        };
        for calls in waiting
            .iter_mut()
            .filter(|calls| late == (calls.step + within < at))
        {
            let done = calls.calls.min(fluid.capacity / figures.work);
            calls.calls -= done;
            fluid.capacity -= done * figures.work;
            fluid.value += done * each; // one sum: the order of additions decides the last digits
        }
    }

    /// The result, from the auditor's findings.
    pub fn end(
        self,
        (counts, first_breaches): ([u64; 5], Vec<Breach>),
        events: u64,
        story: Vec<(Time, String)>,
    ) -> RunResult {
        let bound = if self.steps.is_empty() {
            0.0
        } else {
            self.bound()
        };
        let mut all = self.all;
        // Of these it is not known which belong to calls of the warm-up.
        for step in &self.steps {
            all.requests += step.counts.requests;
            all.attempts += step.counts.attempts;
            all.retries += step.counts.retries;
            all.cross_zone_attempts += step.counts.cross_zone_attempts;
        }
        let part = |value: f64, of: f64| if of > 0.0 { value / of } else { 1.0 };
        let ms = |part: f64| self.latency.value_at_quantile(part) as f64 / 1e3;
        RunResult {
            served_value_fraction: part(all.value, all.value_offered),
            fluid_bound: part(bound, all.value_offered).min(1.0),
            score: part(all.value, bound.min(all.value_offered)),
            latency: Latencies {
                mean: self.took / (all.on_time + all.late).max(1) as f64 / 1e6,
                p50: ms(0.5),
                p90: ms(0.9),
                p99: ms(0.99),
                p999: ms(0.999),
                max: self.latency.max() as f64 / 1e3,
            },
            breaches: Rule::ALL.into_iter().zip(counts).collect(),
            first_breaches,
            longest_queue: self.longest_queue,
            log_lines: self.log_lines,
            events,
            counts: all,
            costs: Vec::new(),
            bounds: Vec::new(),
            members: None,
            evacuation: None,
            timeline: self.steps,
            call_trace: story,
        }
    }
}
