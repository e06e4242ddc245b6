//! Load probes: if servers report their load only in response to probes, several servers are probed
//! before a call is sent, and the least loaded one gets the call.

use super::zones::Selection;
use crate::api::{Action, LoadReport, Outcome, RequestId, ServerId};
use crate::balancer::Balancer;
use crate::state::{Candidate, LoadComparison, PendingRequest};
use crate::tuning::{MAX_PROBE_COST, MIN_SAMPLES, PROBE_TIMEOUT, PROBE_TOKEN_BIT, PROBED_SERVERS};

impl Balancer {
    /// Whether servers are probed before a call is sent: the settings ask for probes, load reports
    /// carry the in-flight figure, and the probes of a call cost at most [`MAX_PROBE_COST`].
    pub(crate) fn probes_for_load(&self) -> bool {
        let is_affordable = PROBED_SERVERS as f64 * self.settings.probe_cost <= MAX_PROBE_COST;
        let has_figure = self.settings.in_flight_report_field.is_some();
        is_affordable && self.settings.probes_for_load && has_figure
    }

    /// Probes the selected server and the next ones of the round robin, and holds the request until
    /// they have reported or [`PROBE_TIMEOUT`] is over. If there is no other server, the request is
    /// sent at once.
    pub(crate) fn start_load_comparison(
        &mut self,
        id: RequestId,
        request: PendingRequest,
        selection: Selection,
    ) {
        let mut candidates = vec![Candidate {
            server: selection.server,
            in_flight: None,
        }];
        for _ in 0..2 * PROBED_SERVERS {
            let Some(server) = self.pick(selection.pool, &request) else {
                break;
            };
            if candidates.len() == PROBED_SERVERS {
                break;
            }
            // The round robin may pick the same server again: fast servers have more turns.
            if candidates.iter().all(|other| other.server != server) {
                candidates.push(Candidate {
                    server,
                    in_flight: None,
                });
            }
        }
        if candidates.len() == 1 {
            return self.send(id, request, selection.server);
        }
        let probes = candidates
            .iter()
            .map(|it| Action::Probe(self.servers[it.server].id));
        self.actions.extend(probes);
        let token = PROBE_TOKEN_BIT | u64::from(id.0);
        self.actions.push(Action::SetTimer {
            after: PROBE_TIMEOUT,
            token,
        });
        self.comparisons.insert(
            id,
            LoadComparison {
                request,
                candidates,
            },
        );
    }

    /// Records the load report of a probed server, and sends the requests whose candidates have all
    /// reported.
    pub(crate) fn on_probe_ended(
        &mut self,
        server: ServerId,
        outcome: Outcome,
        load: Option<LoadReport>,
    ) {
        let report = load.filter(|_| outcome == Outcome::Ok);
        let Some(in_flight) = report.and_then(|report| self.reported_in_flight(&report)) else {
            return;
        };
        let Some(&index) = self.server_indices.get(&server) else {
            return;
        };
        let mut complete_ids = Vec::new();
        for (&id, comparison) in &mut self.comparisons {
            let candidates = comparison.candidates.iter_mut();
            for candidate in candidates.filter(|candidate| candidate.server == index) {
                candidate.in_flight = Some(in_flight);
            }
            if comparison
                .candidates
                .iter()
                .all(|candidate| candidate.in_flight.is_some())
            {
                complete_ids.push(id);
            }
        }
        complete_ids.sort();
        complete_ids
            .into_iter()
            .for_each(|id| self.finish_load_comparison(id));
    }

    fn reported_in_flight(&self, report: &LoadReport) -> Option<f64> {
        let figures = &report.figures[..report.len];
        figures
            .get(self.settings.in_flight_report_field?)
            .map(|&figure| f64::from(figure))
    }

    /// Sends a request to the ready candidate with the fewest calls in flight per unit of size, or
    /// to the first ready candidate if none has reported.
    pub(crate) fn finish_load_comparison(&mut self, id: RequestId) {
        let Some(comparison) = self.comparisons.remove(&id) else {
            return;
        };
        let LoadComparison {
            mut request,
            candidates,
        } = comparison;
        let load = |candidate: &Candidate| {
            candidate.in_flight.unwrap_or(f64::INFINITY) / self.servers[candidate.server].size
        };
        // Since the probes were sent, a server may have begun to drain, or the deduplication window
        // of a keyed request may have expired.
        let is_harmless = self.is_repeat_harmless(&request);
        let is_ready = |it: &Candidate| is_harmless && self.servers[it.server].ready;
        let ready = candidates.into_iter().filter(is_ready);
        let Some(best) = ready.min_by(|a, b| load(a).total_cmp(&load(b))) else {
            return self.give_up(id, &request);
        };
        request.probed_in_flight = best.in_flight.map_or(0.0, |in_flight| in_flight + 1.0);
        if best.in_flight.is_some() && self.is_too_late(&request) {
            return self.give_up(id, &request);
        }
        self.send(id, request, best.server);
    }

    /// Whether the response is expected after the deadline, given the calls in flight at the
    /// server. Such a call would delay other calls without benefit if its work cannot be cancelled.
    /// Deeper tiers never give up a call for this, because other tiers have already worked on its
    /// request.
    fn is_too_late(&self, request: &PendingRequest) -> bool {
        let time_left = request.deadline.saturating_sub(self.now) as f64;
        let latency = &self.latency_per_in_flight;
        let expected_latency = request.probed_in_flight * latency.mean;
        self.settings.tier == 0 && latency.calls >= MIN_SAMPLES && expected_latency > time_left
    }
}
