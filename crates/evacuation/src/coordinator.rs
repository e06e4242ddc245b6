//! Between a member, the evidence and the decision module: takes what was seen, tells and hears, and says what the
//! module is to be told.

use crate::decide::{EngineInput, EvacuationEngine};
use crate::order::{Order, OrderAction, OrderTable};
use crate::place_decision::PlaceDecision;
use crate::standing::Phase;
use crate::status::{PlaceStatus, Status};
use siphasher::sip::SipHasher24;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::hash::Hasher;
use woadstall_decisions::api::{FailureDomain, HealthVerdict, ServerId, Time, ZoneId};
use woadstall_health_reports::{
    CallCounts, CallStats, CompletedAttempt, HealthReport, Line as Told, PendingAttempt,
    ReportTable, Subject, SubjectKind, Symptom, UNHEALTHY_LOG_ODDS,
};
use woadstall_membership::{Name, Node, Verdict as Presence};

const SECOND: Time = 1_000_000_000;
/// Verdicts hold for so long: where nothing renews them, the module goes by its own eyes again.
const HOLDS: Time = 4 * SECOND;
/// They are renewed this often.
const RENEWED: Time = SECOND;
/// Health reports follow each other no sooner.
const TELLS: Time = 200_000_000;
/// What others doubt too is told again this often, though it has hardly changed.
const TELLS_AGAIN: Time = 2 * SECOND;
/// By how much the weight of a line must have changed to be told anew: one more failure.
const NEWS: f64 = 2.5;
/// Weight from which something is told: one failure, or two answers that come late.
const SPEAKS: f64 = 3.0;
/// Part of what is enough against a place at which those who find it well say so.
const DISCUSSED: f64 = 0.2;
/// Calls that are known of a place, beyond which nobody adds that it is well so that others can be compared with it.
const COMPARED: f64 = 10.0;
/// The same of a place that is not in use: one success.
const TRIED: f64 = 0.5;
/// Weight of the own calls that speak for a place, from which another's word against it is odd; and how often that has to
/// be before it is named.
const ODD: f64 = 4.0;
const NAMED: u32 = 3;
/// Priorities of facts: operators' words, the first to find something, evidence that changes, the rest.
const ORDER: u8 = 250;
const FIRST: u8 = 220;
const EVIDENCE: u8 = 200;
const LATER: u8 = 40;
/// Part of its calls that a member tries a left place with at most, if it is one of those that do.
pub const TRIAL: f64 = 0.25;
/// Members of a zone that try what it has left: at least so many, or a part of them; and how many calls a second they try
/// it with, all together. Few are lost to a place that is still ill, and some seconds show that it is well again.
const TRIERS: (usize, f64) = (5, 0.05);
const TRIES: f64 = 6.0;

/// A zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Its region, if zones lie in some.
    pub region: Option<String>,
    pub(crate) subject: Subject,
    pub(crate) classes: Vec<Subject>,
    /// What operators' words name: the zone and the region in all tiers.
    pub(crate) words: (Subject, Option<Subject>),
    pub(crate) region_subject: Option<Subject>,
}

/// What there is in a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    /// Zones, in the order of the settings.
    pub zones: Vec<Zone>,
    /// Classes, likewise.
    pub classes: Vec<String>,
}

impl Topology {
    /// Of a tier's zones, each with its region if it lies in one, and classes.
    pub fn new(tier: &str, zones: &[(String, Option<String>)], classes: &[String]) -> Self {
        let zone = |(name, region): &(String, Option<String>)| Zone {
            name: name.clone(),
            region: region.clone(),
            subject: Subject::zone(tier, name),
            classes: classes
                .iter()
                .map(|class| Subject::class(tier, name, class))
                .collect(),
            words: (
                Subject::zone("", name),
                region.as_ref().map(|name| Subject::region("", name)),
            ),
            region_subject: region.as_ref().map(|name| Subject::region(tier, name)),
        };
        Self {
            zones: zones.iter().map(zone).collect(),
            classes: classes.to_vec(),
        }
    }

    /// The zone that a zone or class lies in, or one of a region's, by position; nothing for what is not here.
    pub(crate) fn home(&self, subject: &Subject) -> Option<usize> {
        self.zones.iter().position(|zone| {
            zone.subject == *subject
                || zone.region_subject == Some(*subject)
                || zone.classes.contains(subject)
        })
    }

    /// What operators' words name a place by.
    pub(crate) fn word(&self, subject: &Subject) -> Subject {
        let zone = self
            .zones
            .iter()
            .find(|zone| zone.subject == *subject)
            .map(|zone| zone.words.0);
        let region = self
            .zones
            .iter()
            .find(|zone| zone.region_subject == Some(*subject));
        zone.or(region.and_then(|zone| zone.words.1))
            .unwrap_or(*subject)
    }

    /// The name of a zone, class or region.
    pub fn name_of(&self, subject: &Subject) -> Option<String> {
        let zones = self.zones.iter();
        zones
            .flat_map(|zone| {
                let classes = zone.classes.iter().zip(&self.classes);
                let classes = classes
                    .map(|(subject, class)| (*subject, format!("{class} at zone {}", zone.name)));
                let region = zone.region_subject.iter().zip(&zone.region);
                let region = region.map(|(subject, name)| (*subject, format!("region {name}")));
                std::iter::once((zone.subject, format!("zone {}", zone.name)))
                    .chain(classes)
                    .chain(region)
            })
            .find(|(known, _)| known == subject)
            .map(|(_, name)| name)
    }
}

/// What a coordinator starts from.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// What there is.
    pub places: Topology,
    /// The zone of this balancer, by position.
    pub zone: usize,
}

/// A line for operators: one for each change.
#[derive(Clone, Debug, PartialEq)]
pub struct Line(String);

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What came of a turn.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CoordinatorOutput {
    /// What the module is to be told.
    pub verdicts: Vec<HealthVerdict>,
    /// What operators are.
    pub lines: Vec<Line>,
}

#[derive(Clone, Debug)]
struct Listed {
    name: String,
    subject: Subject,
    zone: usize,
    size: f64,
}

/// See the module's documentation.
#[derive(Clone, Debug)]
pub struct Coordinator {
    settings: Settings,
    ledger: CallStats,
    hearing: ReportTable,
    evacuation: EvacuationEngine,
    orders: OrderTable,
    orders_changed: bool,
    listed: HashMap<ServerId, Listed>,
    in_service: HashMap<ServerId, f64>,
    sizes: Vec<f64>,
    /// Counters of the facts that were taken, by owner and key.
    heard: HashMap<(Name, &'static str), (u64, u64)>,
    place_decisions: BTreeMap<String, (String, Vec<PlaceDecision>)>,
    /// What was told last of each subject, in weight, and when.
    told: BTreeMap<Subject, f64>,
    told_at: Time,
    told_place_decisions: Vec<u8>,
    /// Verdicts as the module has them, and when they were given.
    given: HashMap<FailureDomain, (f32, Time)>,
    /// How often what one said was the opposite of what was found, and when it said the last such thing.
    odd: BTreeMap<String, (u32, Time)>,
    /// Lines that are waiting.
    waiting: Vec<Line>,
    keys: [Name; 3],
    /// Facts that could not be read.
    unread: u64,
    /// Calls of late.
    calls: CallCounts,
}

const KEYS: [&str; 3] = ["evidence", "places", "orders"];

impl Coordinator {
    /// One that has seen and heard nothing.
    pub fn new(settings: Settings) -> Self {
        let Topology { zones, classes } = &settings.places;
        let subjects = zones
            .iter()
            .map(|zone| (zone.subject, zone.classes.clone()));
        let key = |text| Name::new(text).unwrap_or_else(|_| unreachable!("short, without blanks"));
        Self {
            ledger: CallStats::new(subjects, classes.len()),
            hearing: ReportTable::default(),
            evacuation: EvacuationEngine::default(),
            orders: OrderTable::default(),
            orders_changed: false,
            listed: HashMap::new(),
            in_service: HashMap::new(),
            sizes: vec![0.0; zones.len()],
            heard: HashMap::new(),
            place_decisions: BTreeMap::new(),
            told: BTreeMap::new(),
            told_at: 0,
            told_place_decisions: Vec::new(),
            given: HashMap::new(),
            odd: BTreeMap::new(),
            waiting: Vec::new(),
            keys: KEYS.map(key),
            unread: 0,
            calls: CallCounts::default(),
            settings,
        }
    }

    /// The list of nodos as it is: number, name, start, zone by position, size; those in service alone have one.
    pub fn listed<'a>(
        &mut self,
        all: impl Iterator<Item = (ServerId, &'a str, u64, usize, Option<f64>)>,
    ) {
        self.listed.clear();
        self.in_service.clear();
        self.sizes.fill(0.0);
        for (server, name, boot_ms, zone, size) in all {
            if zone >= self.sizes.len() {
                continue;
            }
            self.ledger.listed(server, name, boot_ms, zone);
            let subject = Subject::server(name, boot_ms);
            let listed = Listed {
                name: name.to_owned(),
                subject,
                zone,
                size: size.unwrap_or(0.0),
            };
            if let Some(size) = size {
                self.in_service.insert(server, size);
                self.sizes[zone] += size;
            }
            self.listed.insert(server, listed);
        }
        let listed = &self.listed;
        self.ledger.retain(|server| listed.contains_key(&server));
        self.given.retain(|place, _| match place {
            FailureDomain::Server(server) => listed.contains_key(server),
            FailureDomain::Zone(..) => true,
        });
    }

    /// The zone of a listed nodo, by position.
    pub fn zone_of(&self, server: ServerId) -> Option<usize> {
        self.listed.get(&server).map(|listed| listed.zone)
    }

    /// An attempt of this balancer has ended.
    pub fn saw(&mut self, now: Time, saw: &CompletedAttempt) {
        self.calls.add(now, false, false);
        self.ledger.saw(now, saw);
    }

    /// The attempts of this balancer that are out.
    pub fn out(&mut self, now: Time, all: impl Iterator<Item = PendingAttempt>) {
        self.ledger.out(now, all);
    }

    /// An operator's word, given here. `now_ms` is Unix time.
    pub fn order(&mut self, now_ms: u64, order: Order) -> bool {
        let taken = self.orders.take(now_ms, order);
        self.orders_changed |= taken;
        taken
    }

    /// A line on an operator's word.
    fn tells(&self, order: &Order, now_ms: u64) -> String {
        let zones = &self.settings.places.zones;
        let zone = zones
            .iter()
            .find(|zone| zone.words.0 == order.subject)
            .map(|zone| zone.subject);
        let region = zones
            .iter()
            .find(|zone| zone.words.1 == Some(order.subject));
        let subject = zone
            .or(region.and_then(|zone| zone.region_subject))
            .unwrap_or(order.subject);
        let holds = order.until_ms.saturating_sub(now_ms) / 1_000;
        format!(
            "{}: an operator's word, {}, for {holds} s",
            self.name_of(&subject),
            order.what.word()
        )
    }

    /// Finds those who say of a place the opposite of what was found of it, by those who look from where they do.
    fn find_odd(&mut self, now: Time) {
        for (at, zone) in self.settings.places.zones.iter().enumerate() {
            let here = &self.settings.places.zones[self.settings.zone].name;
            let own = Symptom::Failing.weigh(&self.ledger.zone(at, now), 0.0);
            let well = self
                .evacuation
                .opinion(&zone.subject)
                .is_some_and(|opinion| opinion.wellness >= 0.5);
            for (owner, of, said_at, counts) in self.hearing.words(&zone.subject) {
                let says = Symptom::Failing.weigh(counts, 0.0);
                // Others have had the time to say the same.
                let old = now >= said_at.saturating_add(SECOND)
                    && now < said_at.saturating_add(3 * SECOND);
                let opposite = says >= SPEAKS && (well || own <= -ODD) && here == of;
                let known = self.odd.get(owner).copied().unwrap_or_default();
                if old && opposite && known.1 < said_at {
                    let times = known.0 + 1;
                    self.odd.insert(owner.to_owned(), (times, said_at));
                    if times == NAMED {
                        let name = &zone.name;
                        let text = format!(
                            "{owner} says again and again that zone {name} fails, which nobody else finds"
                        );
                        self.waiting.push(Line(text));
                    }
                }
            }
        }
    }

    /// Hears, decides, tells. `now` is of the node's clock, which `saw` has, too; `now_ms` is Unix time.
    pub fn turn(&mut self, now: Time, now_ms: u64, node: &mut Node) -> CoordinatorOutput {
        let members = self.hear(now, now_ms, node);
        self.orders_changed |= self.orders.forget(now_ms);
        let quiet = node.sure(now).cut_off;
        let scene = EngineInput {
            places: &self.settings.places,
            zone: self.settings.zone,
            ledger: &self.ledger,
            hearing: &self.hearing,
            sizes: &self.sizes,
            nodos: &self.in_service,
            members: &members,
            place_decisions: &self.place_decisions,
            orders: &self.orders,
            quiet,
        };
        self.evacuation.turn(now, &scene);
        self.find_odd(now);
        let lines = self.lines();
        self.tell(now, node, &members);
        let verdicts = if quiet {
            Vec::new()
        } else {
            self.verdicts(now, node)
        };
        CoordinatorOutput { verdicts, lines }
    }

    /// Takes what others have told since. How many members each zone has.
    fn hear(&mut self, now: Time, now_ms: u64, node: &Node) -> BTreeMap<String, usize> {
        let mut members: BTreeMap<String, usize> = BTreeMap::new();
        let mut zones: HashMap<&Name, &Name> = HashMap::new();
        *members
            .entry(node.me().zone.as_str().to_owned())
            .or_default() += 1;
        for seen in node.members(now) {
            if matches!(seen.state, Presence::Dead | Presence::Left) {
                continue;
            }
            zones.insert(&seen.card.name, &seen.card.zone);
            // Whoever is not heard cannot bear witness here.
            if !matches!(seen.state, Presence::Alive | Presence::Partitioned { .. }) {
                continue;
            }
            *members
                .entry(seen.card.zone.as_str().to_owned())
                .or_default() += 1;
        }
        for (owner, key, fact) in node.facts() {
            let Some(zone) = zones.get(owner) else {
                continue;
            };
            let Some(key) = KEYS.into_iter().find(|known| *known == key.as_str()) else {
                continue;
            };
            let stamp = (fact.life.id, fact.counter);
            if self.heard.insert((owner.clone(), key), stamp) == Some(stamp) {
                continue;
            }
            // What cannot be read is nobody's evidence.
            match key {
                "evidence" => {
                    let heard =
                        self.hearing
                            .hear(owner.as_str(), zone.as_str(), fact.said_at, &fact.bytes);
                    self.unread += u64::from(heard.is_err());
                }
                "orders" => {
                    for order in OrderTable::read(&fact.bytes).unwrap_or_default() {
                        if self.orders.take(now_ms, order) {
                            self.orders_changed = true;
                            self.waiting.push(Line(self.tells(&order, now_ms)));
                        }
                    }
                }
                _ => {
                    let place_decisions = PlaceDecision::read(&fact.bytes).unwrap_or_default();
                    self.place_decisions.insert(
                        owner.as_str().to_owned(),
                        (zone.as_str().to_owned(), place_decisions),
                    );
                }
            }
        }
        if self.heard.len() > 4 * zones.len() + 16 {
            self.heard.retain(|(owner, _), _| zones.contains_key(owner));
        }
        let there: std::collections::HashSet<&str> =
            zones.keys().map(|name| name.as_str()).collect();
        self.hearing.retain(|owner| there.contains(owner));
        self.place_decisions
            .retain(|owner, _| there.contains(owner.as_str()));
        self.odd.retain(|owner, _| there.contains(owner.as_str()));
        members
    }

    fn lines(&mut self) -> Vec<Line> {
        let waiting = std::mem::take(&mut self.waiting);
        let changes = self.evacuation.take_changes();
        let told = changes.iter().filter(|change| {
            // That a nodo is doubted or not is for `status`.
            !matches!(change.standing.state, Phase::Suspected | Phase::InUse)
                || change.subject.kind != SubjectKind::Server
        });
        told.filter(|change| change.standing.epoch > 0 || change.standing.state == Phase::Suspected)
            .map(|change| {
                let standing = &change.standing;
                let name = self.name_of(&change.subject);
                let (state, epoch) = (standing.state.word(), standing.epoch);
                let share = 100.0 * standing.share;
                let why = self.why(&change.subject);
                let (against, by) = change.witnesses;
                Line(format!("{name} {state}, epoch {epoch}, share {share:.0}%: {why}; {against} against it, {by} for it"))
            })
            .chain(waiting)
            .collect()
    }

    fn name_of(&self, subject: &Subject) -> String {
        let listed = || {
            let nodo = self
                .listed
                .values()
                .find(|listed| listed.subject == *subject)?;
            Some(format!("nodo {}", nodo.name))
        };
        self.settings
            .places
            .name_of(subject)
            .or_else(listed)
            .unwrap_or_else(|| "a place not listed here".to_owned())
    }

    /// What a place's standing rests on, in words.
    fn why(&self, subject: &Subject) -> String {
        let word = self
            .order_of(subject)
            .map(|order| format!("an operator's word, {}", order.what.word()));
        let Some(opinion) = self.evacuation.opinion(subject) else {
            return word.unwrap_or_else(|| "as several others found".to_owned());
        };
        let (_, failing, _) = opinion.counts.failing();
        let (_, late, _) = opinion.counts.spoilt();
        let seen = match opinion.ill {
            Symptom::Failing => format!(
                "{:.0}% of {:.0} calls fail",
                100.0 * failing,
                opinion.counts.tries
            ),
            Symptom::Late => {
                format!(
                    "{:.0}% of {:.0} calls fail or come late",
                    100.0 * late,
                    opinion.counts.tries
                )
            }
        };
        match word {
            Some(word) => format!("{word}; {seen}"),
            None => seen,
        }
    }

    /// Tells what others may not know: the worst first, and nothing where nothing is wrong.
    fn tell(&mut self, now: Time, node: &mut Node, members: &BTreeMap<String, usize>) {
        self.tell_evidence(now, node, members);
        let all = self.evacuation.place_decisions();
        let place_decisions = PlaceDecision::write(&all, node.fact_room());
        if place_decisions != self.told_place_decisions
            && (place_decisions.len() > 1 || !self.told_place_decisions.is_empty())
        {
            // The first few to say that a zone is left, or not, are waited for by those who were not there; who else
            // follows, and what nodos do, is for operators.
            let own = node.me().zone.as_str();
            let needed =
                woadstall_health_reports::max_faulty(members.get(own).copied().unwrap_or(1)) + 2;
            let told = |place_decision: &&PlaceDecision| {
                let said = self
                    .place_decisions
                    .values()
                    .filter(|(zone, _)| zone == own);
                let is_said = |of: &PlaceDecision| {
                    of.subject == place_decision.subject && of.epoch >= place_decision.epoch
                };
                said.filter(|(_, known)| known.iter().any(is_said)).count() >= needed
            };
            let first = all
                .iter()
                .filter(|place_decision| place_decision.subject.kind != SubjectKind::Server)
                .any(|place_decision| !told(&place_decision));
            let priority = if first { FIRST } else { LATER };
            if node
                .say(now, self.keys[1].clone(), priority, place_decisions.clone())
                .is_ok()
            {
                self.told_place_decisions = place_decisions;
            }
        }
        if std::mem::take(&mut self.orders_changed) {
            let bytes = self.orders.write(node.fact_room());
            self.orders_changed = node.say(now, self.keys[2].clone(), ORDER, bytes).is_err();
        }
    }

    fn tell_evidence(&mut self, now: Time, node: &mut Node, members: &BTreeMap<String, usize>) {
        if now < self.told_at.saturating_add(TELLS) {
            return;
        }
        let weight = |counts: &CallCounts| {
            let (failing, late) = (
                Symptom::Failing.weigh(counts, 0.0),
                Symptom::Late.weigh(counts, 0.0),
            );
            if late.max(failing) > 0.0 {
                late.max(failing)
            } else {
                failing
            }
        };
        let mut lines: Vec<(Subject, CallCounts, f64)> = Vec::new();
        for (subject, counts, fresh) in self.ledger.all(now) {
            if counts.tries < 0.25 {
                continue;
            }
            let weight = weight(&counts);
            // What is well is told where somebody finds it ill.
            // Of what is only tried each success counts.
            let least = if self.evacuation.standing(&subject).share < 1.0 {
                TRIED
            } else {
                NEWS
            };
            let asked = fresh && weight < -least && self.is_open(&subject, now);
            if weight >= SPEAKS || asked {
                lines.push((subject, counts, weight));
            }
        }
        // Where a zone is ill, its nodos tell nothing more, and short words go round sooner.
        let ill_zone = |zone: usize| {
            let subject = self
                .settings
                .places
                .zones
                .get(zone)
                .map(|zone| zone.subject);
            lines
                .iter()
                .any(|(known, _, weight)| Some(*known) == subject && *weight >= SPEAKS)
        };
        let ill: Vec<bool> = (0..self.sizes.len()).map(ill_zone).collect();
        let spared: std::collections::HashSet<Subject> = self
            .listed
            .values()
            .filter(|listed| ill.get(listed.zone).copied().unwrap_or(false))
            .map(|listed| listed.subject)
            .collect();
        lines.retain(|(subject, ..)| {
            subject.kind != SubjectKind::Server || !spared.contains(subject)
        });
        // A zone that is ill in one class only is told by the others.
        for zone in &self.settings.places.zones {
            let ill = lines
                .iter()
                .any(|(subject, _, weight)| *subject == zone.subject && *weight > 0.0);
            let missing = |subject: &Subject| lines.iter().all(|(known, ..)| known != subject);
            let of = self.ledger.all(now).filter(|(subject, counts, _)| {
                ill && counts.tries >= 1.0 && zone.classes.contains(subject) && missing(subject)
            });
            let of: Vec<_> = of
                .map(|(subject, counts, _)| (subject, counts, weight(&counts)))
                .collect();
            lines.extend(of);
        }
        // What weighs no more to others is no news.
        let own = members.get(node.me().zone.as_str()).copied().unwrap_or(1);
        let (_, most) = woadstall_health_reports::enough(UNHEALTHY_LOG_ODDS, own);
        let again = now >= self.told_at.saturating_add(TELLS_AGAIN);
        let changed = lines.iter().any(|(subject, _, weight)| {
            let known = self.told.get(subject).copied().unwrap_or(0.0);
            let word = |weight: f64| weight.clamp(-most, most);
            // What all have found already needs no more witnesses.
            let decided = self.evacuation.opinion(subject).is_some_and(|opinion| {
                if *weight > 0.0 {
                    opinion.strength > 1.5
                } else {
                    opinion.wellness > 1.5
                }
            });
            let least = if self.evacuation.standing(subject).share < 1.0 {
                TRIED
            } else {
                NEWS
            };
            !decided
                && ((word(*weight) - word(known)).abs() >= least || again && weight.abs() >= NEWS)
        });
        if !changed {
            return;
        }
        // Zones before classes before nodos, each the worst first.
        let rank = |subject: &Subject| match subject.kind {
            SubjectKind::Zone | SubjectKind::Region => 0,
            SubjectKind::Class => 1,
            SubjectKind::Server => 2,
        };
        lines.sort_by(|a, b| {
            let order =
                |(subject, _, weight): &(Subject, CallCounts, f64)| (rank(subject), *weight <= 0.0);
            order(a)
                .cmp(&order(b))
                .then(b.2.abs().total_cmp(&a.2.abs()))
                .then(a.0.cmp(&b.0))
        });
        let told = HealthReport(
            lines
                .iter()
                .map(|(subject, counts, _)| Told::new(*subject, counts))
                .collect(),
        );
        let bytes = told.write(node.fact_room());
        if node.say(now, self.keys[0].clone(), EVIDENCE, bytes).is_ok() {
            self.told = lines
                .into_iter()
                .map(|(subject, _, weight)| (subject, weight))
                .collect();
            self.told_at = now;
        }
    }

    /// Whether a place is under discussion: more speaks against it than one word, it is not in use, or another one is
    /// doubted and nobody knows yet whether this one is better.
    fn is_open(&self, subject: &Subject, now: Time) -> bool {
        let opinion = |subject: &Subject| self.evacuation.opinion(subject);
        let doubted = |subject: &Subject| {
            let strength = opinion(subject).map_or(0.0, |opinion| opinion.strength);
            strength >= DISCUSSED || self.evacuation.standing(subject).share < 1.0
        };
        let known = self.hearing.counts(now, subject).tries >= COMPARED;
        let zones = &self.settings.places.zones;
        let class = || {
            zones
                .iter()
                .find_map(|zone| zone.classes.iter().position(|of| of == subject))
        };
        let mut others = zones.iter().map(|zone| match subject.kind {
            SubjectKind::Class => class().map(|class| zone.classes[class]),
            SubjectKind::Zone => Some(zone.subject),
            SubjectKind::Server | SubjectKind::Region => None,
        });
        doubted(subject) || !known && others.any(|other| other.is_some_and(|other| doubted(&other)))
    }

    /// The shares that the module is to go by, as far as they are new to it or have to be renewed.
    fn verdicts(&mut self, now: Time, node: &Node) -> Vec<HealthVerdict> {
        let mut shares: Vec<(FailureDomain, f64)> = Vec::new();
        let zones = &self.settings.places.zones;
        let share = |subject: &Subject| self.share(subject);
        let tried = |subject: &Subject, share: f64| {
            let word = self.order_of(subject).is_some();
            let epoch = self.evacuation.standing(subject).epoch;
            if share >= TRIAL || word {
                return share;
            }
            let Some(triers) = triers(node, now, subject, epoch) else {
                return share;
            };
            let each = TRIES / triers as f64 / self.calls.a_second(now).max(TRIES);
            share.max(each.min(TRIAL))
        };
        let region = |subject: &Option<Subject>| subject.as_ref().map_or(1.0, share);
        // Never all places: where nothing is left to go to, everything is as if nothing had been found.
        let any = zones
            .iter()
            .any(|zone| share(&zone.subject).min(region(&zone.region_subject)) >= 1.0);
        for (at, zone) in zones.iter().enumerate() {
            let of_zone = share(&zone.subject);
            let given = tried(&zone.subject, of_zone.min(region(&zone.region_subject)));
            let id = ZoneId(at as u8);
            shares.push((FailureDomain::Zone(id, None), if any { given } else { 1.0 }));
            for (class, subject) in zone.classes.iter().enumerate() {
                let all = zones.iter().all(|zone| share(&zone.classes[class]) < 1.0);
                let given = tried(subject, share(subject));
                shares.push((
                    FailureDomain::Zone(id, Some(class)),
                    if all { 1.0 } else { given },
                ));
            }
        }
        for (server, listed) in self.listed.iter().filter(|(_, listed)| listed.size > 0.0) {
            let of_nodo = share(&listed.subject);
            if of_nodo < 1.0 || self.given.contains_key(&FailureDomain::Server(*server)) {
                shares.push((
                    FailureDomain::Server(*server),
                    tried(&listed.subject, of_nodo),
                ));
            }
        }
        shares.sort_by_key(|(place, _)| *place);
        let mut verdicts = Vec::new();
        for (place, share) in shares {
            let share = share as f32;
            let known = self.given.get(&place).copied();
            let renew =
                known.is_some_and(|(_, at)| share < 1.0 && now >= at.saturating_add(RENEWED));
            if known.map_or(1.0, |(share, _)| share) != share || renew {
                verdicts.push(HealthVerdict {
                    domain: place,
                    share,
                    until: now.saturating_add(HOLDS),
                });
                match share < 1.0 {
                    true => drop(self.given.insert(place, (share, now))),
                    false => drop(self.given.remove(&place)),
                }
            }
        }
        verdicts
    }

    /// All that operators may want to see.
    pub fn status(&self, now: Time, now_ms: u64) -> Status {
        let zone_nodos = |zone: usize| {
            self.listed
                .values()
                .filter(move |listed| listed.zone == zone && listed.size > 0.0)
                .count()
        };
        let place = |subject: &Subject, nodos: usize| {
            let standing = self.evacuation.standing(subject);
            let opinion = self.evacuation.opinion(subject);
            let has = |place_decision: &PlaceDecision| {
                place_decision.subject == *subject && place_decision.epoch == standing.epoch
            };
            let own = &self.settings.places.zones[self.settings.zone].name;
            let behind = |(zone, all): &(String, Vec<PlaceDecision>)| {
                zone == own && standing.epoch > 0 && !all.iter().any(has)
            };
            let order = self.order_of(subject);
            PlaceStatus {
                name: self.name_of(subject),
                state: standing.state.word().to_owned(),
                epoch: standing.epoch,
                for_s: if standing.since > 0 {
                    now.saturating_sub(standing.since) as f64 / 1e9
                } else {
                    0.0
                },
                share: self.share(subject),
                why: self.why(subject),
                against: opinion.map_or(0, |opinion| opinion.witnesses.0),
                for_it: opinion.map_or(0, |opinion| opinion.witnesses.1),
                relapses: standing.relapses,
                nodos,
                order: order.map(|order| order.what.word().to_owned()),
                order_ends_s: order.map(|order| order.until_ms.saturating_sub(now_ms) as f64 / 1e3),
                not_followed: self
                    .place_decisions
                    .iter()
                    .filter(|(_, all)| behind(all))
                    .map(|(name, _)| name.clone())
                    .collect(),
            }
        };
        let zones = self.settings.places.zones.iter().enumerate();
        let mut places: Vec<PlaceStatus> = zones
            .map(|(at, zone)| place(&zone.subject, zone_nodos(at)))
            .collect();
        let mut regions: Vec<Subject> = self
            .settings
            .places
            .zones
            .iter()
            .filter_map(|zone| zone.region_subject)
            .collect();
        regions.sort();
        regions.dedup();
        places.extend(regions.iter().map(|region| place(region, 0)));
        let rest = self.evacuation.standings().filter(|(subject, standing)| {
            matches!(subject.kind, SubjectKind::Server | SubjectKind::Class)
                && standing.state != Phase::InUse
        });
        places.extend(rest.map(|(subject, _)| place(subject, 0)));
        let odd = self.odd.iter().filter(|(_, (times, _))| *times >= NAMED);
        let odd = odd
            .map(|(name, (times, _))| (name.clone(), *times))
            .collect();
        Status {
            places,
            odd,
            unread: self.unread,
        }
    }

    fn order_of(&self, subject: &Subject) -> Option<&Order> {
        self.orders.of(&self.settings.places.word(subject))
    }

    /// The share of a place under operators' words and the fleet's finding.
    fn share(&self, subject: &Subject) -> f64 {
        match self.order_of(subject).map(|order| order.what) {
            Some(OrderAction::Evacuate) => 0.0,
            Some(OrderAction::Keep) => 1.0,
            Some(OrderAction::Restore) | None => self.evacuation.standing(subject).share,
        }
    }

    /// What an operator's word is about, by the name of a place.
    pub fn place(&self, kind: SubjectKind, name: &str) -> Option<Subject> {
        match kind {
            SubjectKind::Zone => self
                .settings
                .places
                .zones
                .iter()
                .find(|zone| zone.name == name)
                .map(|zone| zone.words.0),
            SubjectKind::Region => {
                let is = |zone: &&Zone| zone.region.as_deref() == Some(name);
                self.settings
                    .places
                    .zones
                    .iter()
                    .find(is)
                    .and_then(|zone| zone.words.1)
            }
            SubjectKind::Server => self
                .listed
                .values()
                .find(|listed| listed.name == name)
                .map(|listed| listed.subject),
            SubjectKind::Class => None,
        }
    }
}

/// How many members of its zone try a place, if this member is one of them: those whose names come first in an order that
/// each place and epoch has of its own, so that nobody has to be asked.
fn triers(node: &Node, now: Time, subject: &Subject, epoch: u32) -> Option<usize> {
    let rank = |name: &Name| {
        let mut hasher = SipHasher24::new_with_keys(u64::from(epoch), 1);
        hasher.write(name.as_str().as_bytes());
        std::hash::Hash::hash(subject, &mut hasher);
        hasher.finish()
    };
    let me = node.me();
    let own = rank(&me.name);
    let (mut of, mut before) = (1, 0);
    for seen in node.members(now) {
        if seen.card.zone == me.zone
            && matches!(seen.state, Presence::Alive | Presence::Partitioned { .. })
        {
            of += 1;
            before += usize::from(rank(&seen.card.name) < own);
        }
    }
    let triers = TRIERS.0.max((of as f64 * TRIERS.1) as usize).min(of);
    (before < triers).then_some(triers)
}
