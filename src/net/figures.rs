//! What operators read of a daemon that serves, in the text form of Prometheus.

use super::evacuation::Evacuating;
use hyper::StatusCode;
use prometheus::{
    GaugeVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};
use woadstall_membership_net::Membership;

/// The figures since the start of this process.
pub struct Figures {
    registry: Registry,
    ok: IntCounterVec,
    shed: IntCounterVec,
    errors: IntCounterVec,
    tries: IntCounter,
    active: IntGauge,
    pool_size: IntGauge,
    pool_ejected: IntGauge,
    /// Configurations taken at SIGHUP.
    pub applied: IntCounter,
    /// Configurations turned down at SIGHUP.
    pub rejected: IntCounter,
    members: Option<Members>,
    places: Option<Places>,
}

/// Figures of the places that the fleet leaves; there are none where it does not.
struct Places {
    evacuating: Evacuating,
    share: GaugeVec,
    epoch: IntGaugeVec,
    against: IntGaugeVec,
}

impl Places {
    fn register(registry: &Registry, evacuating: Evacuating) -> prometheus::Result<Self> {
        let options = |name: &str, help: &str| Opts::new(format!("balancer_place_{name}"), help);
        let gauge = |name, help| {
            let gauge = IntGaugeVec::new(options(name, help), &["place"])?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let share = GaugeVec::new(
            options("share", "Part of its new work that a place gets, by name."),
            &["place"],
        )?;
        registry.register(Box::new(share.clone()))?;
        Ok(Self {
            evacuating,
            share,
            epoch: gauge("epoch", "Raised with each change of a place.")?,
            against: gauge("against", "Balancers that speak against a place.")?,
        })
    }

    fn look(&self) {
        // Places come and go: those that are in use again are shown no more.
        self.share.reset();
        self.epoch.reset();
        self.against.reset();
        for place in self.evacuating.status().places {
            let name = [place.name.as_str()];
            self.share.with_label_values(&name).set(place.share);
            self.epoch.with_label_values(&name).set(place.epoch.into());
            self.against
                .with_label_values(&name)
                .set(place.reporters_against as i64);
        }
    }
}

/// Figures of the membership among balancers; there are none where there is none.
struct Members {
    instances: Membership,
    members: IntGaugeVec,
    cut_ways: IntGauge,
    cut_off: IntGauge,
    stalls: IntGauge,
    bytes: IntGauge,
    not_believed: IntGauge,
}

/// All states of a member, so that each is there from the start.
const STATES: [&str; 6] = ["alive", "suspect", "cut", "dead", "left", "unknown"];

impl Members {
    fn register(registry: &Registry, instances: Membership) -> prometheus::Result<Self> {
        let options = |name: &str, help: &str| Opts::new(format!("balancer_members{name}"), help);
        let gauge = |name, help| {
            let gauge = IntGauge::with_opts(options(name, help))?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let members = IntGaugeVec::new(
            options("", "Other balancers, by their state as seen here."),
            &["state"],
        )?;
        registry.register(Box::new(members.clone()))?;
        Ok(Self {
            instances,
            members,
            cut_ways: gauge(
                "_cut_ways",
                "Ways between balancers that are cut, as all tell of them.",
            )?,
            cut_off: gauge(
                "_cut_off",
                "1 while this balancer judges nobody, as it is cut off or has just woken.",
            )?,
            stalls: gauge(
                "_stalls",
                "How often this balancer stood still since its start.",
            )?,
            bytes: gauge(
                "_bytes",
                "Bytes sent to other balancers since the start, without seals.",
            )?,
            not_believed: gauge(
                "_not_believed",
                "Messages since the start that were not believed or understood.",
            )?,
        })
    }

    fn look(&self) {
        let report = self.instances.report();
        for state in STATES {
            let count = report
                .members
                .iter()
                .filter(|member| member.state.as_str() == state)
                .count();
            self.members.with_label_values(&[state]).set(count as i64);
        }
        self.cut_ways.set(
            report
                .zone_paths
                .iter()
                .map(|paths| paths.partitioned)
                .sum::<u64>() as i64,
        );
        self.cut_off.set(report.is_isolated.into());
        self.stalls.set(report.process_pauses as i64);
        self.bytes.set(report.bytes_sent as i64);
        let rejections = report.rejections;
        let not = rejections.other_key
            + rejections.other_version
            + rejections.malformed
            + rejections.replayed;
        self.not_believed.set(not as i64);
    }
}

/// What changes without being counted at once.
pub struct Now {
    /// Attempts written to their last byte.
    pub tries: u64,
    /// Upstreams in the list.
    pub listed: usize,
    /// Those among them that are avoided.
    pub avoided: usize,
}

impl Figures {
    /// All at nothing, with these classes. The error is one line.
    pub fn new<'a>(classes: impl Iterator<Item = &'a str>) -> Result<Self, String> {
        Self::register(classes).map_err(|error| format!("figures: {error}"))
    }

    fn register<'a>(classes: impl Iterator<Item = &'a str>) -> prometheus::Result<Self> {
        let registry = Registry::new();
        let options = |name: &str, help: &str| Opts::new(format!("balancer_{name}"), help);
        let by_kind = |name, help| {
            let counter = IntCounterVec::new(options(name, help), &["kind"])?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let counter = |name, help| {
            let counter = IntCounter::with_opts(options(name, help))?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let gauge = |name, help| {
            let gauge = IntGauge::with_opts(options(name, help))?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let figures = Self {
            ok: by_kind("ok", "Requests served, by class.")?,
            shed: by_kind("shed", "Requests refused, by class.")?,
            errors: by_kind("errors", "Requests failed, by class.")?,
            tries: counter("tries", "Attempts written whole to upstreams.")?,
            active: gauge("active", "Requests taken and not yet ended.")?,
            pool_size: gauge("pool_size", "Upstreams in the list.")?,
            pool_ejected: gauge(
                "pool_ejected",
                "Listed upstreams that are avoided at present.",
            )?,
            applied: counter("config_applied", "Configurations taken at SIGHUP.")?,
            rejected: counter("config_rejected", "Configurations turned down at SIGHUP.")?,
            members: None,
            places: None,
            registry,
        };
        figures.know(classes);
        Ok(figures)
    }

    /// Shows the membership among balancers from now on. The error is one line.
    pub fn show_members(&mut self, instances: Membership) -> Result<(), String> {
        let members = Members::register(&self.registry, instances);
        self.members = Some(members.map_err(|error| format!("figures: {error}"))?);
        Ok(())
    }

    /// Shows the places that the fleet leaves from now on. The error is one line.
    pub fn show_places(&mut self, evacuating: Evacuating) -> Result<(), String> {
        let places = Places::register(&self.registry, evacuating);
        self.places = Some(places.map_err(|error| format!("figures: {error}"))?);
        Ok(())
    }

    /// Shows classes from now on, also those that nobody has asked for.
    pub fn know<'a>(&self, classes: impl Iterator<Item = &'a str>) {
        for class in classes {
            for counter in [&self.ok, &self.shed, &self.errors] {
                counter.with_label_values(&[class]);
            }
        }
    }

    /// A request of a class got its final answer.
    pub fn answered(&self, class: &str, status: StatusCode) {
        let counter = match status {
            StatusCode::OK => &self.ok,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => &self.shed,
            _ => &self.errors,
        };
        counter.with_label_values(&[class]).inc();
    }

    /// A request is taken, until this is dropped.
    pub fn taken(&self) -> Taken {
        self.active.inc();
        Taken(self.active.clone())
    }

    /// All as text.
    pub fn text(&self, now: &Now) -> Result<String, String> {
        self.tries
            .inc_by(now.tries.saturating_sub(self.tries.get()));
        self.pool_size.set(now.listed as i64);
        self.pool_ejected.set(now.avoided as i64);
        self.members.iter().for_each(Members::look);
        self.places.iter().for_each(Places::look);
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|error| error.to_string())
    }
}

/// A request whose answer has begun: it counts as served once that has ended, and as failed if it breaks off.
pub struct Begun {
    figures: std::sync::Arc<Figures>,
    class: String,
    whole: bool,
    _taken: Taken,
}

impl Begun {
    pub fn new(figures: std::sync::Arc<Figures>, class: String) -> Self {
        let _taken = figures.taken();
        Self {
            figures,
            class,
            whole: false,
            _taken,
        }
    }

    /// The answer has come to its end.
    pub fn whole(&mut self) {
        self.whole = true;
    }
}

impl Drop for Begun {
    fn drop(&mut self) {
        let status = if self.whole {
            StatusCode::OK
        } else {
            StatusCode::BAD_GATEWAY
        };
        self.figures.answered(&self.class, status);
    }
}

/// A request that is taken and has not ended.
pub struct Taken(IntGauge);

impl Drop for Taken {
    fn drop(&mut self) {
        self.0.dec();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_what_callers_got_by_class() {
        let figures = Figures::new(["look", "pay"].into_iter()).unwrap();
        let taken = figures.taken();
        for status in [200, 200, 503, 429, 502, 404] {
            figures.answered("look", StatusCode::from_u16(status).unwrap());
        }
        let now = Now {
            tries: 7,
            listed: 3,
            avoided: 1,
        };
        let text = figures.text(&now).unwrap();
        let lines = [
            r#"balancer_ok{kind="look"} 2"#,
            r#"balancer_shed{kind="look"} 2"#,
            r#"balancer_errors{kind="look"} 2"#,
            r#"balancer_ok{kind="pay"} 0"#,
            "balancer_tries 7",
            "balancer_active 1",
            "balancer_pool_size 3",
            "balancer_pool_ejected 1",
            "balancer_config_applied 0",
        ];
        for line in lines {
            assert!(
                text.lines().any(|there| there == line),
                "{line} is not in\n{text}"
            );
        }
        drop(taken);
        let text = figures.text(&now).unwrap();
        assert!(
            text.contains("balancer_active 0") && text.contains("balancer_tries 7"),
            "{text}"
        );
    }
}
