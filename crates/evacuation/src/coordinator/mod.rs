//! The coordinator. It connects a member of the fleet, the health reports, the engine and the
//! decision module.
//!
//! Each [`Coordinator::step`] receives the records that other members have published (`receive`),
//! runs the engine, finds members with contradicting reports (`contradictions`), publishes this
//! balancer's health report, decisions and orders (`publish`, `report_selection`), and returns log
//! lines (`status_view`) and verdicts for the decision module (`verdicts`).

mod contradictions;
mod publish;
mod receive;
mod report_selection;
mod status_view;
mod verdicts;

use self::contradictions::Contradictions;
use self::publish::PublishedRecords;
use self::receive::{RecordKey, RecordVersion};
use self::verdicts::IssuedVerdict;
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

/// The settings of a coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorSettings {
    /// The zones, regions and classes of the deployment.
    pub topology: Topology,
    /// The position of this balancer's zone in the topology.
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

/// The result of a step of the coordinator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CoordinatorOutput {
    /// The new and renewed verdicts for the decision module, sorted by domain.
    pub verdicts: Vec<HealthVerdict>,
    /// The log lines for operators: one for each logged change of a domain, each order received from
    /// another member and each member found to contradict the others.
    pub lines: Vec<LogLine>,
}

/// A server in the balancer's list of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedServer<'a> {
    /// The server's id in the decision module.
    pub server: ServerId,
    /// The server's name, which is the same at all balancers.
    pub name: &'a str,
    /// The time at which the server's process started, in Unix milliseconds.
    pub boot_ms: u64,
    /// The position of the server's zone in the topology.
    pub zone: usize,
    /// The server's size relative to other servers; `None` if the server is not in service.
    pub size: Option<f64>,
}

/// A listed server of a known zone.
#[derive(Clone, Debug)]
struct Server {
    name: String,
    subject: Subject,
    zone: usize,
    is_in_service: bool,
}

/// Coordinates one balancer's evacuation decisions with the rest of the fleet.
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
    /// The sum of the sizes of the servers in service, by position of the zone.
    zone_sizes: Vec<f64>,
    /// The version of the newest record received for each owner and key.
    received_versions: BTreeMap<(Name, RecordKey), RecordVersion>,
    member_decisions: BTreeMap<String, MemberDecisions>,
    published: PublishedRecords,
    /// The newest verdict returned for each domain with a reduced share.
    reduced_verdicts: BTreeMap<FailureDomain, IssuedVerdict>,
    contradictions: Contradictions,
    /// Log lines about received records that the next step returns.
    pending_lines: Vec<LogLine>,
    /// The number of received health reports that could not be decoded.
    malformed_reports: u64,
    /// The decayed count of this balancer's recent calls to all servers.
    calls: CallCounts,
}

impl Coordinator {
    /// Creates a coordinator without servers, calls and reports.
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
            received_versions: BTreeMap::new(),
            member_decisions: BTreeMap::new(),
            published: PublishedRecords::default(),
            reduced_verdicts: BTreeMap::new(),
            contradictions: Contradictions::default(),
            pending_lines: Vec::new(),
            malformed_reports: 0,
            calls: CallCounts::default(),
            settings,
        }
    }

    /// Replaces the list of servers. Servers of unknown zones are ignored.
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
        self.reduced_verdicts.retain(|domain, _| match domain {
            FailureDomain::Server(server) => servers.contains_key(server),
            FailureDomain::Zone(..) => true,
        });
    }

    /// Returns the position of a listed server's zone.
    pub fn zone_of(&self, server: ServerId) -> Option<usize> {
        self.servers.get(&server).map(|server| server.zone)
    }

    /// Records the outcome of a completed attempt of this balancer.
    pub fn record_completed(&mut self, now: Time, completed: &CompletedAttempt) {
        self.calls.add(now, false, false);
        self.stats.record_completed(now, completed);
    }

    /// Records the pending attempts of this balancer. `pending` must contain all of them.
    pub fn record_pending(&mut self, now: Time, pending: impl Iterator<Item = PendingAttempt>) {
        self.stats.record_pending(now, pending);
    }

    /// Adds an operator's order and publishes it with the next step.
    ///
    /// # Errors
    ///
    /// Returns an error if the order is rejected, see [`OrderTable::submit`].
    pub fn submit_order(&mut self, now_ms: u64, order: Order) -> Result<(), SubmitError> {
        self.orders.submit(now_ms, order)?;
        self.published.is_order_update_pending = true;
        Ok(())
    }

    /// Receives the records of other members, decides, and publishes this balancer's records. `now`
    /// is on the node's clock, in nanoseconds, as in [`Self::record_completed`]; `now_ms` is Unix
    /// time in milliseconds. An isolated balancer returns no verdicts.
    pub fn step(&mut self, now: Time, now_ms: u64, node: &mut Node) -> CoordinatorOutput {
        let members_per_zone = self.receive(now, now_ms, node);
        self.published.is_order_update_pending |= self.orders.remove_expired(now_ms);
        let is_passive = node.confidence(now).is_isolated;
        let input = EngineInput {
            topology: &self.settings.topology,
            own_zone: self.settings.zone,
            stats: &self.stats,
            reports: &self.reports,
            zone_sizes: &self.zone_sizes,
            server_sizes: &self.server_sizes,
            members_per_zone: &members_per_zone,
            member_decisions: &self.member_decisions,
            orders: &self.orders,
            is_passive,
        };
        self.engine.step(now, &input);
        self.find_contradictions(now);
        let lines = self.take_lines();
        self.publish(now, node, &members_per_zone);
        let verdicts = if is_passive {
            Vec::new()
        } else {
            self.new_verdicts(now, node)
        };
        CoordinatorOutput { verdicts, lines }
    }

    /// Returns the order in effect for a domain.
    fn order_for(&self, subject: &Subject) -> Option<&Order> {
        self.orders
            .get(&self.settings.topology.order_subject(subject))
    }

    /// Returns the share of its usual new work that a domain gets according to its order and the
    /// engine's decision, apart from trials.
    fn share(&self, subject: &Subject) -> f64 {
        match self.order_for(subject).map(|order| order.action) {
            Some(OrderAction::Evacuate) => 0.0,
            Some(OrderAction::Keep) => 1.0,
            Some(OrderAction::Restore) | None => self.engine.state(subject).share,
        }
    }

    /// Returns the subject of an order for the domain with this kind and name, if the domain is
    /// known. There are no orders for classes.
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
