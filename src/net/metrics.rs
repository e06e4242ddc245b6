//! Metrics of the daemon in the Prometheus text format. Names and help texts must match the operators' documentation.

mod evacuation;
mod membership;
#[cfg(test)]
mod tests;

use self::evacuation::EvacuationMetrics;
use self::membership::MembershipMetrics;
use super::evacuation::EvacuationTask;
use hyper::StatusCode;
use prometheus::core::Collector;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use std::sync::Arc;
use woadstall_membership_net::Membership;
use woadstall_runtime::DiscoveryStatus;
use woadstall_socket_options::{SocketOption, failures};

/// The error of a metric that could not be registered or encoded.
#[derive(Debug, thiserror::Error)]
#[error("metrics: {0}")]
pub struct MetricsError(#[from] prometheus::Error);

/// Metrics of the daemon; counters start at zero with the process.
pub struct Metrics {
    registry: Registry,
    served: IntCounterVec,
    rejected: IntCounterVec,
    failed: IntCounterVec,
    attempts: IntCounter,
    active: IntGauge,
    upstreams: IntGauge,
    ejected_upstreams: IntGauge,
    /// Number of configurations applied after SIGHUP.
    pub configs_applied: IntCounter,
    /// Number of configurations rejected after SIGHUP.
    pub configs_rejected: IntCounter,
    list_age: IntGauge,
    discovery_failures: IntCounter,
    socket_option_failures: IntCounterVec,
    membership: Option<MembershipMetrics>,
    evacuation: Option<EvacuationMetrics>,
}

/// Values that are read when metrics are encoded, instead of being counted as events occur.
pub struct LoadBalancerStatus {
    /// Number of attempts that were written completely, since the start of the process.
    pub attempts: u64,
    /// Number of listed upstreams.
    pub upstreams: usize,
    /// Number of listed upstreams that are ejected.
    pub ejected: usize,
    /// Age of the endpoint list, and number of failed discovery calls.
    pub discovery: DiscoveryStatus,
}

/// Registers a metric and returns a handle to it.
fn register<M: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<M>,
) -> prometheus::Result<M> {
    let metric = metric?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

/// Increases a counter to a count that is maintained elsewhere.
fn raise_to(counter: &IntCounter, count: u64) {
    counter.inc_by(count.saturating_sub(counter.get()));
}

impl Metrics {
    /// Creates metrics with all values at zero, with a label value for each class.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be registered.
    pub fn new<'a>(classes: impl Iterator<Item = &'a str>) -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let options = |name: &str, help: &str| Opts::new(format!("balancer_{name}"), help);
        let by_class = |name, help| {
            register(
                &registry,
                IntCounterVec::new(options(name, help), &["kind"]),
            )
        };
        let counter = |name, help| register(&registry, IntCounter::with_opts(options(name, help)));
        let gauge = |name, help| register(&registry, IntGauge::with_opts(options(name, help)));
        let metrics = Self {
            served: by_class("ok", "Requests served, by class.")?,
            rejected: by_class("shed", "Requests refused, by class.")?,
            failed: by_class("errors", "Requests failed, by class.")?,
            attempts: counter("tries", "Attempts written whole to upstreams.")?,
            active: gauge("active", "Requests taken and not yet ended.")?,
            upstreams: gauge("pool_size", "Upstreams in the list.")?,
            ejected_upstreams: gauge(
                "pool_ejected",
                "Listed upstreams that are avoided at present.",
            )?,
            configs_applied: counter("config_applied", "Configurations taken at SIGHUP.")?,
            configs_rejected: counter("config_rejected", "Configurations turned down at SIGHUP.")?,
            list_age: gauge(
                "list_age_seconds",
                "Time since discovery last answered, or since the start if it never has.",
            )?,
            discovery_failures: counter("discovery_failures", "Calls to discovery that failed.")?,
            socket_option_failures: register(
                &registry,
                IntCounterVec::new(
                    options(
                        "socket_option_failures",
                        "Optional socket options that could not be set, by option.",
                    ),
                    &["option"],
                ),
            )?,
            membership: None,
            evacuation: None,
            registry,
        };
        metrics.add_classes(classes);
        Ok(metrics)
    }

    /// Adds the metrics of the membership, if it is configured.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be registered.
    pub fn register_membership(
        &mut self,
        membership: Option<Membership>,
    ) -> Result<(), MetricsError> {
        let register = |membership| MembershipMetrics::register(&self.registry, membership);
        self.membership = membership.map(register).transpose()?;
        Ok(())
    }

    /// Adds the metrics of failure domains, if evacuation is configured.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be registered.
    pub fn register_evacuation(
        &mut self,
        evacuation: Option<EvacuationTask>,
    ) -> Result<(), MetricsError> {
        let register = |evacuation| EvacuationMetrics::register(&self.registry, evacuation);
        self.evacuation = evacuation.map(register).transpose()?;
        Ok(())
    }

    /// Adds label values for classes, so that classes without requests are exported with zero.
    pub fn add_classes<'a>(&self, classes: impl Iterator<Item = &'a str>) {
        for class in classes {
            for counter in [&self.served, &self.rejected, &self.failed] {
                counter.with_label_values(&[class]);
            }
        }
    }

    /// Counts the final response to a request of a class.
    pub fn count_response(&self, class: &str, status: StatusCode) {
        let counter = match status {
            StatusCode::OK => &self.served,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => &self.rejected,
            _ => &self.failed,
        };
        counter.with_label_values(&[class]).inc();
    }

    /// Counts a request as active until the returned value is dropped.
    pub fn start_request(&self) -> ActiveRequest {
        self.active.inc();
        ActiveRequest(self.active.clone())
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn encode(&self, status: &LoadBalancerStatus) -> prometheus::Result<String> {
        raise_to(&self.attempts, status.attempts);
        raise_to(&self.discovery_failures, status.discovery.failed_calls);
        self.list_age
            .set(status.discovery.list_age.as_secs() as i64);
        for option in SocketOption::ALL {
            let counter = self
                .socket_option_failures
                .with_label_values(&[option.name()]);
            raise_to(&counter, failures(option));
        }
        self.upstreams.set(status.upstreams as i64);
        self.ejected_upstreams.set(status.ejected as i64);
        if let Some(membership) = &self.membership {
            membership.update();
        }
        if let Some(evacuation) = &self.evacuation {
            evacuation.update();
        }
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

/// An active request; dropping the value ends the request.
pub struct ActiveRequest(IntGauge);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// A request whose response is being streamed. Counts as served if the response completes, and as failed if the value
/// is dropped before.
pub struct StreamingRequest {
    metrics: Arc<Metrics>,
    class: String,
    is_complete: bool,
    _active: ActiveRequest,
}

impl StreamingRequest {
    pub fn new(metrics: Arc<Metrics>, class: String) -> Self {
        let active = metrics.start_request();
        Self {
            metrics,
            class,
            is_complete: false,
            _active: active,
        }
    }

    /// Records that the response has been streamed completely.
    pub fn complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for StreamingRequest {
    fn drop(&mut self) {
        let status = if self.is_complete {
            StatusCode::OK
        } else {
            StatusCode::BAD_GATEWAY
        };
        self.metrics.count_response(&self.class, status);
    }
}
