//! Simulation of a fleet of senders and a destination that is warming up, in virtual time.

use std::collections::VecDeque;
use woadstall_slow_start::{
    Outcome, RateController, ReceivedReport, Report, RequestWeight, Settings, UnmetDemand,
};

const MILLISECOND_NS: u64 = 1_000_000;
const STEP_NS: u64 = 10 * MILLISECOND_NS;
const RUN_TIME_NS: u64 = 10_000 * MILLISECOND_NS;
/// Start of the last part of the run, in which the sent share of the demand is measured.
const FINAL_PHASE_START_NS: u64 = 9_000 * MILLISECOND_NS;
/// Response time above which an answer is late.
const DEADLINE_NS: u64 = 200 * MILLISECOND_NS;
const REPORT_INTERVAL_NS: u64 = 200 * MILLISECOND_NS;
const CHECK_INTERVAL_NS: u64 = 100 * MILLISECOND_NS;
/// Number of consecutive checks during which a lease may still be in use.
const LEASE_CHECKS: usize = 36;
const MAX_REPORT_BYTES: usize = 256;
/// Largest message delay that the stated age of a message does not include.
const MAX_AGE_ERROR_NS: u64 = 900 * MILLISECOND_NS;

/// Parameters of the senders, the destination and the network.
pub struct Fleet {
    /// Demand of each sender in requests per second.
    pub demands: Vec<f64>,
    /// Initial capacity of the destination in requests per second. The capacity doubles every 4 s.
    pub capacity: f64,
    /// Bytes that determine whether each report to a sender is lost, delayed or duplicated.
    pub fault_bytes: Vec<u8>,
    /// Whether the fleet is partitioned into two halves that exchange no messages and each know
    /// only their own senders.
    pub is_partitioned: bool,
}

/// Result of a run.
#[derive(Debug)]
pub struct RunResult {
    /// Largest number of requests sent in any 3 s, as a multiple of the number that the destination
    /// could serve in that time.
    pub peak_load: f64,
    /// Fraction of the demand that was sent in the last second.
    pub final_share: f64,
}

struct Request {
    sender: usize,
    sent_at: u64,
}

struct Delivery {
    arrives_at: u64,
    sent_at: u64,
    from: usize,
    to: usize,
    report: Report,
}

struct Simulation<'a> {
    fleet: &'a Fleet,
    settings: Settings,
    known_senders: usize,
    senders: Vec<RateController>,
    /// Accumulated demand of each sender that has not yet become a request.
    due: Vec<f64>,
    /// Requests at the destination, in first-come, first-served order.
    queue: VecDeque<Request>,
    /// Number of requests that the destination can serve at the moment.
    free_capacity: f64,
    sent_at: Vec<u64>,
    final_demand: u32,
    in_flight: Vec<Delivery>,
    drawn_fault_bytes: usize,
    /// Rates that the senders' own observations justified at the last checks, newest first.
    proven_rates: VecDeque<Vec<f64>>,
}

impl Fleet {
    pub fn run(&self) -> RunResult {
        let mut simulation = Simulation::new(self);
        for now in (0..RUN_TIME_NS).step_by(STEP_NS as usize) {
            simulation.step(now);
        }
        simulation.result()
    }

    fn capacity_at(&self, now: u64) -> f64 {
        self.capacity * (now as f64 / 4e9).exp2()
    }

    fn is_connected(&self, to: usize, from: usize) -> bool {
        !self.is_partitioned || to % 2 == from % 2
    }
}

impl<'a> Simulation<'a> {
    fn new(fleet: &'a Fleet) -> Self {
        let count = fleet.demands.len();
        let settings = Settings {
            probe_rate: 0.4 * fleet.capacity,
            ..Settings::default()
        };
        let known_senders = if fleet.is_partitioned {
            count.div_ceil(2)
        } else {
            count
        };
        let sender = || RateController::new(0, known_senders, settings).unwrap();
        Self {
            fleet,
            settings,
            known_senders,
            senders: (0..count).map(|_| sender()).collect(),
            due: vec![0.0; count],
            queue: VecDeque::new(),
            free_capacity: 0.0,
            sent_at: Vec::new(),
            final_demand: 0,
            in_flight: Vec::new(),
            drawn_fault_bytes: 0,
            proven_rates: VecDeque::new(),
        }
    }

    fn step(&mut self, now: u64) {
        self.serve(now);
        self.send_requests(now);
        if now.is_multiple_of(CHECK_INTERVAL_NS) {
            self.check_sum(now);
        }
        if now.is_multiple_of(REPORT_INTERVAL_NS) {
            self.send_reports(now);
        }
        self.deliver_reports(now);
    }

    fn serve(&mut self, now: u64) {
        let capacity = self.fleet.capacity_at(now);
        let added = capacity * STEP_NS as f64 / 1e9;
        self.free_capacity = (self.free_capacity + added).min(capacity * 0.05 + 1.0);
        while self.free_capacity >= 1.0
            && let Some(request) = self.queue.pop_front()
        {
            let is_on_time = now - request.sent_at <= DEADLINE_NS;
            let outcome = if is_on_time {
                Outcome::OnTime
            } else {
                Outcome::Failed
            };
            self.senders[request.sender].record_outcome(now, outcome);
            self.free_capacity -= 1.0;
        }
    }

    fn send_requests(&mut self, now: u64) {
        for (sender, demand) in self.fleet.demands.iter().enumerate() {
            self.due[sender] += demand * STEP_NS as f64 / 1e9;
            while self.due[sender] >= 1.0 {
                self.due[sender] -= 1.0;
                self.final_demand += u32::from(now >= FINAL_PHASE_START_NS);
                if self.senders[sender].try_send(now, RequestWeight::Light) {
                    self.queue.push_back(Request {
                        sender,
                        sent_at: now,
                    });
                    self.sent_at.push(now);
                }
            }
        }
    }

    /// Asserts that all senders together are allowed at most the sum of the rates that each sender
    /// justified by its own observations while a lease of that rate may be in use.
    fn check_sum(&mut self, now: u64) {
        let min_rate = self.settings.probe_rate / self.known_senders as f64;
        let proven = |sender: &RateController| {
            self.settings.growth_factor * sender.rates().on_time + min_rate
        };
        self.proven_rates
            .push_front(self.senders.iter().map(proven).collect());
        self.proven_rates.truncate(LEASE_CHECKS);
        let peak = |sender: usize| {
            self.proven_rates
                .iter()
                .map(|rates| rates[sender])
                .fold(0.0, f64::max)
        };
        let limit: f64 = (0..self.senders.len()).map(peak).sum();
        let allowed: f64 = self
            .senders
            .iter()
            .map(|sender| sender.allowed_rate(now))
            .sum();
        assert!(
            allowed <= limit + 1e-6,
            "{allowed} requests/s allowed, limit {limit}, at {now} ns"
        );
    }

    fn send_reports(&mut self, now: u64) {
        let unmet: Vec<UnmetDemand> = self
            .senders
            .iter()
            .enumerate()
            .map(|(sender, controller)| UnmetDemand {
                sender: sender as u64,
                rate: controller.unmet_demand(now),
            })
            .collect();
        for from in 0..self.senders.len() {
            self.senders[from].grant_leases(now, &unmet);
            let encoded = self.senders[from].report(now).encode(MAX_REPORT_BYTES);
            let report = Report::decode(&encoded).unwrap();
            for to in (0..self.senders.len()).filter(|to| self.fleet.is_connected(*to, from)) {
                self.send_report(now, from, to, &report);
            }
        }
    }

    fn send_report(&mut self, now: u64, from: usize, to: usize, report: &Report) {
        const COPIES: [u64; 4] = [1, 0, 2, 1];
        let fault_bytes = &self.fleet.fault_bytes;
        let copies =
            COPIES[usize::from(fault_bytes[self.drawn_fault_bytes % fault_bytes.len()] % 4)];
        let delay = u64::from(fault_bytes[(self.drawn_fault_bytes + 1) % fault_bytes.len()])
            * 12
            * MILLISECOND_NS;
        self.drawn_fault_bytes += 1;
        for copy in 1..=copies {
            let arrives_at = now + delay * copy;
            self.in_flight.push(Delivery {
                arrives_at,
                sent_at: now,
                from,
                to,
                report: report.clone(),
            });
        }
    }

    fn deliver_reports(&mut self, now: u64) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let (arrived, in_flight): (Vec<_>, Vec<_>) = in_flight
            .into_iter()
            .partition(|delivery| delivery.arrives_at <= now);
        self.in_flight = in_flight;
        for delivery in arrived {
            let received = ReceivedReport {
                from: delivery.from as u64,
                receiver: delivery.to as u64,
                report: &delivery.report,
                age: (now - delivery.sent_at).saturating_sub(MAX_AGE_ERROR_NS),
            };
            self.senders[delivery.to].apply_report(now, &received);
        }
    }

    fn result(&self) -> RunResult {
        let loads = (0..self.sent_at.len()).map(|first| self.load_from(first));
        let final_sent = self
            .sent_at
            .iter()
            .filter(|at| **at >= FINAL_PHASE_START_NS)
            .count();
        RunResult {
            peak_load: loads.fold(0.0, f64::max),
            final_share: final_sent as f64 / f64::from(self.final_demand.max(1)),
        }
    }

    /// Returns the number of requests sent in the 3 s after a request, as a multiple of the number
    /// that the destination could serve in that time.
    fn load_from(&self, first: usize) -> f64 {
        let start = self.sent_at[first];
        let end = start + 3_000 * MILLISECOND_NS;
        let sent = self.sent_at[first..]
            .iter()
            .take_while(|at| **at < end)
            .count();
        let served_per_100_ms = (0..30)
            .map(|tenth| self.fleet.capacity_at(start + tenth * 100 * MILLISECOND_NS) / 10.0);
        let served: f64 = served_per_100_ms.sum();
        // The first request of each sender is sent before the destination has proven any rate.
        (sent as f64 - self.senders.len() as f64) / served
    }
}
