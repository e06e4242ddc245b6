//! The coordinator: connects a member of the fleet, the health reports, the engine and the decision
//! module.
//!
//! Each [`Coordinator::step`] receives what the other members have published, runs the engine,
//! publishes what others may not know, and returns the verdicts for the decision module. The parts
//! are `receive`, `publish` (with `report_selection`), `verdicts`, `contradictions` and
//! `status_view`.

mod contradictions;
mod publish;
mod receive;
mod report_selection;
mod status_view;
mod verdicts;

use self::contradictions::Contradictions;
use self::publish::Published;
use self::receive::{FactKey, FactStamp};
use self::verdicts::GivenVerdict;
use crate::engine::{EngineInput, EvacuationEngine, MemberDecisions};
use crate::order::{Order, OrderAction, OrderTable, SubmitError};
use crate::topology::Topology;
use std::collections::BTreeMap;
use std::fmt;
use woadstall_decisions::api::{FailureDomain, HealthVerdict, ServerId, Time};
use woadstall_health_reports::{
    CallCounts, CallStats, CompletedAttempt, PendingAttempt, ReportTable, Subject, SubjectKind,
};
use woadstall_membership::{Name, Node};

/// What a coordinator starts with.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorSettings {
    /// Zones, regions and classes.
    pub topology: Topology,
    /// The position of this balancer's zone.
    pub zone: usize,
}

/// A log line for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine(String);

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The result of a step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CoordinatorOutput {
    /// The verdicts for the decision module.
    pub verdicts: Vec<HealthVerdict>,
    /// The log lines, one for each change.
    pub lines: Vec<LogLine>,
}

/// A server as it is listed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedServer<'a> {
    /// Its id.
    pub server: ServerId,
    /// Its name.
    pub name: &'a str,
    /// When its process started, in Unix milliseconds.
    pub boot_ms: u64,
    /// The position of its zone.
    pub zone: usize,
    /// Its size, if it is in service.
    pub size: Option<f64>,
}

#[derive(Clone, Debug)]
struct Server {
    name: String,
    subject: Subject,
    zone: usize,
    is_in_service: bool,
}

/// Coordinates the evacuations of one balancer with those of the fleet.
#[derive(Clone, Debug)]
pub struct Coordinator {
    settings: CoordinatorSettings,
    stats: CallStats,
    reports: ReportTable,
    engine: EvacuationEngine,
    orders: OrderTable,
    servers: BTreeMap<ServerId, Server>,
    /// The sizes of the servers in service.
    server_sizes: BTreeMap<ServerId, f64>,
    /// Their sums, by zone.
    zone_sizes: Vec<f64>,
    /// The stamps of the facts that were received, by owner and key.
    received: BTreeMap<(Name, FactKey), FactStamp>,
    member_decisions: BTreeMap<String, MemberDecisions>,
    published: Published,
    /// The verdicts that hold at the decision module.
    given: BTreeMap<FailureDomain, GivenVerdict>,
    contradictions: Contradictions,
    /// Log lines of what was received since the last step.
    pending_lines: Vec<LogLine>,
    /// Health reports that could not be decoded.
    malformed_reports: u64,
    /// All recent calls of this balancer.
    calls: CallCounts,
}

impl Coordinator {
    /// A coordinator without servers, calls and reports.
    pub fn new(settings: CoordinatorSettings) -> Self {
        let Topology { zones, classes } = &settings.topology;
        let zone_subjects = zones
            .iter()
            .map(|zone| (zone.subject, zone.classes.clone()));
        Self {
            stats: CallStats::new(zone_subjects, classes.len()),
            reports: ReportTable::default(),
            engine: EvacuationEngine::default(),
            orders: OrderTable::default(),
            servers: BTreeMap::new(),
            server_sizes: BTreeMap::new(),
            zone_sizes: vec![0.0; zones.len()],
            received: BTreeMap::new(),
            member_decisions: BTreeMap::new(),
            published: Published::default(),
            given: BTreeMap::new(),
            contradictions: Contradictions::default(),
            pending_lines: Vec::new(),
            malformed_reports: 0,
            calls: CallCounts::default(),
            settings,
        }
    }

    /// Replaces the list of servers. Those of unknown zones are ignored.
    pub fn set_servers<'a>(&mut self, listed: impl Iterator<Item = ListedServer<'a>>) {
        self.servers.clear();
        self.server_sizes.clear();
        self.zone_sizes.fill(0.0);
        for ListedServer {
            server,
            name,
            boot_ms,
            zone,
            size,
        } in listed
        {
            if zone >= self.zone_sizes.len() {
                continue;
            }
            self.stats.upsert_server(server, name, boot_ms, zone);
            if let Some(size) = size {
                self.server_sizes.insert(server, size);
                self.zone_sizes[zone] += size;
            }
            let subject = Subject::server(name, boot_ms);
            let is_in_service = size.is_some_and(|size| size > 0.0);
            self.servers.insert(
                server,
                Server {
                    name: name.to_owned(),
                    subject,
                    zone,
                    is_in_service,
                },
            );
        }
        let servers = &self.servers;
        self.stats
            .retain_servers(|server| servers.contains_key(&server));
        self.given.retain(|domain, _| match domain {
            FailureDomain::Server(server) => servers.contains_key(server),
            FailureDomain::Zone(..) => true,
        });
    }

    /// The position of a listed server's zone.
    pub fn zone_of(&self, server: ServerId) -> Option<usize> {
        self.servers.get(&server).map(|server| server.zone)
    }

    /// Records an attempt of this balancer that has ended.
    pub fn record_completed(&mut self, now: Time, completed: &CompletedAttempt) {
        self.calls.add(now, false, false);
        self.stats.record_completed(now, completed);
    }

    /// Records all pending attempts of this balancer.
    pub fn record_pending(&mut self, now: Time, pending: impl Iterator<Item = PendingAttempt>) {
        self.stats.record_pending(now, pending);
    }

    /// Takes an operator's order that was given to this balancer.
    ///
    /// # Errors
    ///
    /// Returns an error if the order does not hold, see [`OrderTable::submit`].
    pub fn submit_order(&mut self, now_ms: u64, order: Order) -> Result<(), SubmitError> {
        self.orders.submit(now_ms, order)?;
        self.published.are_orders_stale = true;
        Ok(())
    }

    /// Receives, decides and publishes. `now` is on the node's clock, as in
    /// [`Self::record_completed`]; `now_ms` is Unix time.
    pub fn step(&mut self, now: Time, now_ms: u64, node: &mut Node) -> CoordinatorOutput {
        let members = self.receive(now, now_ms, node);
        self.published.are_orders_stale |= self.orders.remove_expired(now_ms);
        let is_passive = node.confidence(now).is_isolated;
        let input = EngineInput {
            topology: &self.settings.topology,
            own_zone: self.settings.zone,
            stats: &self.stats,
            reports: &self.reports,
            zone_sizes: &self.zone_sizes,
            server_sizes: &self.server_sizes,
            members: &members,
            member_decisions: &self.member_decisions,
            orders: &self.orders,
            is_passive,
        };
        self.engine.step(now, &input);
        self.find_contradictions(now);
        let lines = self.take_lines();
        self.publish(now, node, &members);
        let verdicts = if is_passive {
            Vec::new()
        } else {
            self.new_verdicts(now, node)
        };
        CoordinatorOutput { verdicts, lines }
    }

    /// The order that holds for a domain.
    fn order_for(&self, subject: &Subject) -> Option<&Order> {
        self.orders
            .get(&self.settings.topology.order_subject(subject))
    }

    /// The share of its usual new work that a domain gets by orders and by the engine's decision,
    /// apart from trials.
    fn share(&self, subject: &Subject) -> f64 {
        match self.order_for(subject).map(|order| order.action) {
            Some(OrderAction::Evacuate) => 0.0,
            Some(OrderAction::Keep) => 1.0,
            Some(OrderAction::Restore) | None => self.engine.state(subject).share,
        }
    }

    /// The subject of an order for a domain, by the domain's name. There are no orders for classes.
    pub fn order_subject(&self, kind: SubjectKind, name: &str) -> Option<Subject> {
        let zones = &self.settings.topology.zones;
        match kind {
            SubjectKind::Zone => zones
                .iter()
                .find(|zone| zone.name == name)
                .map(|zone| zone.order_subject),
            SubjectKind::Region => {
                zones
                    .iter()
                    .find(|zone| zone.region.as_deref() == Some(name))?
                    .region_order_subject
            }
            SubjectKind::Server => self
                .servers
                .values()
                .find(|server| server.name == name)
                .map(|server| server.subject),
            SubjectKind::Class => None,
        }
    }
}
