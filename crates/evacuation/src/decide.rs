//! From what all have told to where each place stands.

use crate::coordinator::Topology;
use crate::order::{OrderAction, OrderTable};
use crate::place_decision::PlaceDecision;
use crate::standing::{Alternatives, Cause, Phase, PlaceState};
use std::collections::{BTreeMap, HashMap};
use woadstall_decisions::api::{ServerId, Time};
use woadstall_health_reports::{
    Assessment, AssessmentQuery, CallCounts, CallStats, ReportTable, SERVER_UNHEALTHY_LOG_ODDS,
    Subject, SubjectKind, Symptom, UNHEALTHY_LOG_ODDS, max_faulty,
};

/// A place is better than another where at worst so small a part of the other's calls fails there.
const BETTER: f64 = 0.6;
/// Part of a class' spoilt calls that all others together have at most, where it is the class and not the zone.
const ONE_CLASS: f64 = 0.15;
/// Calls that have to be known of a place that is to be better.
const KNOWN: f64 = 8.0;
/// Part of their answers that may be late at those that are to take more.
const ROOM_LATE: f64 = 0.2;
/// Part of a zone's size that may be left by nodos alone; beyond that it is the zone.
const ZONE_PART: f64 = 1.0 / 3.0;
/// Part of a region's size that is left before the region is.
const REGION_PART: f64 = 0.5;

/// What is looked at.
#[derive(Clone, Copy)]
pub struct EngineInput<'a> {
    /// Names of zones, regions and classes.
    pub places: &'a Topology,
    /// The zone of this balancer, by position.
    pub zone: usize,
    /// What its own calls came to.
    pub ledger: &'a CallStats,
    /// What others tell.
    pub hearing: &'a ReportTable,
    /// Size of what is in service in each zone.
    pub sizes: &'a [f64],
    /// Size of each nodo that is in service.
    pub nodos: &'a HashMap<ServerId, f64>,
    /// How many members each zone has, this balancer included.
    pub members: &'a BTreeMap<String, usize>,
    /// What others have found, by owner, each with its zone.
    pub place_decisions: &'a BTreeMap<String, (String, Vec<PlaceDecision>)>,
    /// Operators' words.
    pub orders: &'a OrderTable,
    /// It is cut off, or has just woken: it proposes nothing and follows nobody.
    pub quiet: bool,
}

/// A place's state or epoch has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateChange {
    /// Which place.
    pub subject: Subject,
    /// As it stands now.
    pub standing: PlaceState,
    /// What that rests on.
    pub witnesses: (usize, usize),
}

/// Where all places stand, as this balancer has found.
#[derive(Clone, Debug, Default)]
pub struct EvacuationEngine {
    standings: BTreeMap<Subject, PlaceState>,
    opinions: BTreeMap<Subject, Assessment>,
    changes: Vec<StateChange>,
}

impl EvacuationEngine {
    /// How a place stands.
    pub fn standing(&self, subject: &Subject) -> PlaceState {
        self.standings.get(subject).copied().unwrap_or_default()
    }

    /// What was last found of a place.
    pub fn opinion(&self, subject: &Subject) -> Option<&Assessment> {
        self.opinions.get(subject)
    }

    /// All places of which something was found.
    pub fn standings(&self) -> impl Iterator<Item = (&Subject, &PlaceState)> {
        self.standings.iter()
    }

    /// What has changed since this was asked last.
    pub fn take_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changes)
    }

    /// Looks at everything once.
    pub fn turn(&mut self, now: Time, scene: &EngineInput<'_>) {
        if scene.quiet {
            return;
        }
        self.follow(now, scene);
        self.zones(now, scene);
        self.classes(now, scene);
        self.nodos(now, scene);
        self.regions(now, scene);
        self.by_word(now, scene);
        self.forget(now, scene);
    }

    fn change(&mut self, subject: Subject, to: PlaceState, witnesses: (usize, usize)) {
        let was = self.standings.insert(subject, to).unwrap_or_default();
        if (was.state, was.epoch) != (to.state, to.epoch) {
            self.changes.push(StateChange {
                subject,
                standing: to,
                witnesses,
            });
        }
    }

    /// Takes from several others what is later than the own. One alone may lie; as many as may lie and one more do not. Those
    /// of the own zone look from the same place, and those of a place's own zone know it best.
    fn follow(&mut self, now: Time, scene: &EngineInput<'_>) {
        let nodos: HashMap<Subject, usize> = scene
            .ledger
            .nodos(now)
            .map(|(_, subject, zone, _)| (subject, zone))
            .collect();
        let name = |zone: usize| {
            scene
                .places
                .zones
                .get(zone)
                .map_or("", |zone| zone.name.as_str())
        };
        let own = name(scene.zone);
        let mut said: BTreeMap<(Subject, &str), Vec<&PlaceDecision>> = BTreeMap::new();
        for (zone, place_decisions) in scene.place_decisions.values() {
            for place_decision in place_decisions {
                let home = match place_decision.subject.kind {
                    SubjectKind::Server => nodos.get(&place_decision.subject).copied(),
                    _ => scene.places.home(&place_decision.subject),
                };
                if home.is_some_and(|home| zone == own || zone == name(home)) {
                    said.entry((place_decision.subject, zone))
                        .or_default()
                        .push(place_decision);
                }
            }
        }
        for ((subject, zone), mut place_decisions) in said {
            let needed = max_faulty(scene.members.get(zone).copied().unwrap_or(1)) + 1;
            // The latest that so many have reached: whoever went on has been there, too.
            place_decisions.sort_by_key(|place_decision| {
                std::cmp::Reverse((place_decision.epoch, place_decision.state))
            });
            let Some(place_decision) = place_decisions.get(needed - 1) else {
                continue;
            };
            let mut standing = self.standing(&subject);
            if standing.follow(
                now,
                place_decision.state,
                place_decision.epoch,
                place_decision.share(),
            ) {
                self.change(subject, standing, (place_decisions.len(), 0));
            }
        }
    }

    fn zones(&mut self, now: Time, scene: &EngineInput<'_>) {
        let count = scene.places.zones.len();
        let subjects: Vec<Subject> = scene.places.zones.iter().map(|zone| zone.subject).collect();
        let own: Vec<CallCounts> = (0..count)
            .map(|zone| scene.ledger.zone(zone, now))
            .collect();
        let opinions = self.opinions(now, scene, &subjects, &own);
        for zone in 0..count {
            let others: Vec<usize> = (0..count)
                .filter(|other| *other != zone && scene.sizes[*other] > 0.0)
                .collect();
            let mut beside = self.beside(zone, &others, &subjects, &opinions);
            beside.better &= !opinions[zone].is_ill || !Self::is_one_class(now, scene, zone);
            self.go_on(now, subjects[zone], &opinions[zone], &beside);
        }
    }

    /// What is found of what lies in each zone, beside what is usual in the others.
    fn opinions(
        &self,
        now: Time,
        scene: &EngineInput<'_>,
        subjects: &[Subject],
        own: &[CallCounts],
    ) -> Vec<Assessment> {
        let count = subjects.len();
        // What was left already says nothing of what is usual: a second zone that dies looked hardly worse than it.
        let in_use = |zone: &usize| {
            let places = [&subjects[*zone], &scene.places.zones[*zone].subject];
            places
                .iter()
                .all(|subject| self.standing(subject).share >= 1.0)
        };
        let of = |zone: usize| {
            let others = || (0..count).filter(move |other| *other != zone);
            let used: Vec<usize> = others().filter(in_use).collect();
            let others = if used.is_empty() {
                others().collect()
            } else {
                used
            }
            .into_iter();
            let usual = scene
                .hearing
                .usual(now, others.map(|other| (subjects[other], &own[other])));
            self.ask(
                now,
                scene,
                subjects[zone],
                zone,
                &own[zone],
                usual,
                UNHEALTHY_LOG_ODDS,
            )
        };
        (0..count).map(of).collect()
    }

    /// Whether a zone's calls fail in one class alone: that is left, and the rest stays.
    fn is_one_class(now: Time, scene: &EngineInput<'_>, zone: usize) -> bool {
        let subjects = scene.places.zones[zone].classes.iter().enumerate();
        let counts = subjects.map(|(class, subject)| {
            scene
                .ledger
                .class(zone, class, now)
                .and(&scene.hearing.counts(now, subject))
        });
        let mut counts: Vec<CallCounts> = counts.collect();
        counts.sort_by(|a, b| a.failed.total_cmp(&b.failed));
        let Some(worst) = counts.pop() else {
            return false;
        };
        let rest = counts
            .into_iter()
            .fold(CallCounts::default(), |all, counts| all.and(&counts));
        rest.tries >= KNOWN && rest.failed < ONE_CLASS * worst.failed
    }

    /// What there is beside a place, of those that are like it.
    fn beside(
        &self,
        of: usize,
        others: &[usize],
        subjects: &[Subject],
        opinions: &[Assessment],
    ) -> Alternatives {
        let (_, ill, _) = opinions[of].counts.failing();
        let (_, late, _) = opinions[of].counts.spoilt();
        let in_use = |other: &usize| self.standing(&subjects[*other]).share >= 1.0;
        let better = |other: usize| {
            // At worst: of few calls none may have failed by chance.
            let (_, _, failing) = opinions[other].counts.failing();
            let (_, _, lagging) = opinions[other].counts.spoilt();
            // It has to be seen: what all zones depend on fails in one of them first. Where calls fail, a place whose
            // answers come late is better all the same.
            let known = opinions[other].counts.tries >= KNOWN;
            known
                && match opinions[of].ill {
                    Symptom::Failing => failing < ill * BETTER,
                    Symptom::Late => !opinions[other].is_ill && lagging < late * BETTER,
                }
        };
        let used: Vec<usize> = others.iter().copied().filter(in_use).collect();
        let better = used.iter().any(|other| better(*other));
        let lagging = used
            .iter()
            .map(|other| opinions[*other].counts)
            .fold(CallCounts::default(), |a, b| a.and(&b));
        let room = lagging.tries < 1.0 || lagging.spoilt().1 < ROOM_LATE;
        Alternatives {
            better,
            room,
            last: used.is_empty(),
        }
    }

    #[allow(clippy::too_many_arguments)] // one question, and where it is asked
    fn ask(
        &self,
        now: Time,
        scene: &EngineInput<'_>,
        subject: Subject,
        zone: usize,
        own: &CallCounts,
        usual: [f64; 2],
        enough: f64,
    ) -> Assessment {
        let name = |zone: usize| {
            scene
                .places
                .zones
                .get(zone)
                .map_or("", |zone| zone.name.as_str())
        };
        let (home, from, members) = (name(zone), name(scene.zone), scene.members);
        let asked = AssessmentQuery {
            subject,
            home,
            from,
            own,
            usual,
            enough,
            members,
        };
        scene.hearing.opinion(now, &asked)
    }

    fn go_on(&mut self, now: Time, subject: Subject, opinion: &Assessment, beside: &Alternatives) {
        self.opinions.insert(subject, *opinion);
        let mut standing = self.standing(&subject);
        standing.go_on(now, opinion, beside);
        self.change(subject, standing, opinion.witnesses);
    }

    /// A class that fails at a zone, where the zone as a whole does not.
    fn classes(&mut self, now: Time, scene: &EngineInput<'_>) {
        let count = scene.places.zones.len();
        for class in 0..scene.places.classes.len() {
            let subjects: Vec<Subject> = scene
                .places
                .zones
                .iter()
                .map(|zone| zone.classes[class])
                .collect();
            let own: Vec<CallCounts> = (0..count)
                .map(|zone| scene.ledger.class(zone, class, now))
                .collect();
            let quiet = |zone: usize| {
                own[zone].failed < 0.5
                    && !scene.hearing.speaks_against(&subjects[zone], now)
                    && !self.standings.contains_key(&subjects[zone])
            };
            if (0..count).all(quiet) {
                continue;
            }
            let opinions = self.opinions(now, scene, &subjects, &own);
            for zone in 0..count {
                let others: Vec<usize> = (0..count)
                    .filter(|other| *other != zone && scene.sizes[*other] > 0.0)
                    .collect();
                let mut beside = self.beside(zone, &others, &subjects, &opinions);
                // What is left as a whole needs nothing more, and comes back as a whole.
                if self.standing(&scene.places.zones[zone].subject).share < 1.0 {
                    self.standings.remove(&subjects[zone]);
                    continue;
                }
                // Late answers of a class are its size.
                beside.better &= opinions[zone].ill == Symptom::Failing;
                self.go_on(now, subjects[zone], &opinions[zone], &beside);
            }
        }
    }

    fn nodos(&mut self, now: Time, scene: &EngineInput<'_>) {
        // How much of each zone is left by its nodos alone.
        let mut left = vec![0.0; scene.places.zones.len()];
        let (mut asked, mut known) = (Vec::new(), Vec::new());
        for (server, subject, zone, own) in scene.ledger.nodos(now) {
            let Some(size) = scene.nodos.get(&server) else {
                continue;
            };
            // Where the zone as a whole is found ill, its nodos are no better or worse than the rest of it.
            let of_zone = scene
                .places
                .zones
                .get(zone)
                .map(|zone| self.standing(&zone.subject).share);
            if of_zone.is_none_or(|share| share < 1.0) {
                continue;
            }
            known.push(subject);
            let standing = self.standings.get(&subject);
            if let (Some(standing), Some(left)) = (standing, left.get_mut(zone)) {
                *left += size * (1.0 - standing.share);
            }
            if standing.is_some()
                || own.failed + own.late >= 0.5
                || scene.hearing.speaks_against(&subject, now)
            {
                asked.push((subject, zone, own, *size));
            }
        }
        // The same order everywhere, so that the same are left where not all may be.
        asked.sort_by_key(|(subject, ..)| *subject);
        for (subject, zone, own, size) in asked {
            let (Some(place), Some(all)) = (scene.places.zones.get(zone), scene.sizes.get(zone))
            else {
                continue;
            };
            let usual = scene.hearing.usual(
                now,
                std::iter::once((place.subject, &scene.ledger.zone(zone, now))),
            );
            let opinion = self.ask(
                now,
                scene,
                subject,
                zone,
                &own,
                usual,
                SERVER_UNHEALTHY_LOG_ODDS,
            );
            let room = left[zone] + size <= all * ZONE_PART;
            let (_, failing, _) = opinion.counts.failing();
            let (_, lagging, _) = opinion.counts.spoilt();
            let worse = match opinion.ill {
                Symptom::Failing => usual[0] < failing * BETTER,
                Symptom::Late => usual[1] < lagging * BETTER,
            };
            let was = self.standing(&subject).share;
            self.go_on(
                now,
                subject,
                &opinion,
                &Alternatives {
                    better: worse,
                    room: true,
                    last: !room && was >= 1.0,
                },
            );
            left[zone] += size * (was - self.standing(&subject).share).max(0.0);
        }
        known.sort();
        self.standings.retain(|subject, _| {
            subject.kind != SubjectKind::Server || known.binary_search(subject).is_ok()
        });
        self.opinions.retain(|subject, _| {
            subject.kind != SubjectKind::Server || known.binary_search(subject).is_ok()
        });
    }

    /// A region most of which is left is left as a whole, where there is another; in one step and not zone by zone.
    fn regions(&mut self, now: Time, scene: &EngineInput<'_>) {
        let mut regions: BTreeMap<Subject, (f64, f64)> = BTreeMap::new();
        for (zone, size) in scene.places.zones.iter().zip(scene.sizes) {
            let Some(region) = zone.region_subject else {
                continue;
            };
            let (all, used) = regions.entry(region).or_default();
            (*all, *used) = (
                *all + size,
                *used + size * self.standing(&zone.subject).share,
            );
        }
        let sound = |(all, used): &(f64, f64)| *all > 0.0 && *used > all * REGION_PART;
        let others = |of: &Subject| {
            regions
                .iter()
                .any(|(other, sizes)| other != of && sound(sizes))
        };
        let found: Vec<(Subject, bool)> = regions
            .iter()
            .map(|(of, sizes)| (*of, sizes.0 > 0.0 && !sound(sizes) && others(of)))
            .collect();
        for (subject, gone) in found {
            let mut standing = self.standing(&subject);
            let state = if gone { Phase::Evacuated } else { Phase::InUse };
            if gone == (standing.share < 1.0) {
                continue;
            }
            standing.state = state;
            (standing.epoch, standing.since, standing.share) =
                (standing.epoch + 1, now, f64::from(u8::from(!gone)));
            standing.cause = Cause::Evidence(Symptom::Failing);
            self.change(subject, standing, (0, 0));
        }
    }

    /// What operators have returned begins to.
    fn by_word(&mut self, now: Time, scene: &EngineInput<'_>) {
        let returned: Vec<(Subject, PlaceState)> = self
            .standings
            .iter()
            .filter(|(subject, standing)| {
                let word = scene
                    .orders
                    .of(&scene.places.word(subject))
                    .map(|order| order.what);
                word == Some(OrderAction::Restore)
                    && matches!(standing.state, Phase::Evacuated | Phase::Draining)
            })
            .map(|(subject, standing)| (*subject, *standing))
            .collect();
        for (subject, mut standing) in returned {
            // Once: what fails again after it is left again.
            if standing.cause != Cause::Operator {
                standing.return_by_word(now);
                self.change(subject, standing, (0, 0));
            }
        }
    }

    /// What is to be told to those who were not there: of all that has ever changed, the latest first.
    pub fn place_decisions(&self) -> Vec<PlaceDecision> {
        let told = self
            .standings
            .iter()
            .filter(|(_, standing)| standing.epoch > 0);
        let mut told: Vec<(&Subject, &PlaceState)> = told.collect();
        told.sort_by_key(|(subject, standing)| {
            (
                standing.share >= 1.0,
                std::cmp::Reverse(standing.since),
                **subject,
            )
        });
        told.into_iter()
            .map(|(subject, standing)| PlaceDecision::new(*subject, standing))
            .collect()
    }

    /// Forgets what stands as if nothing had been.
    fn forget(&mut self, now: Time, scene: &EngineInput<'_>) {
        let spoken = |subject: &Subject| scene.hearing.speaks_against(subject, now);
        self.standings.retain(|subject, standing| {
            let old = now >= standing.since.saturating_add(120_000_000_000);
            subject.kind != SubjectKind::Server || standing.share < 1.0 || !old || spoken(subject)
        });
    }
}
