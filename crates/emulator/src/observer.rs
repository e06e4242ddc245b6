//! Compares the running members of a fleet with the members' views of each other: false deaths, and the time
//! until true deaths are known.

use crate::units::SECOND;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use woadstall_engine::Time;

/// Time after a pause beyond the tolerance, or after complete isolation, during which a report of death may
/// still be in transit and does not count as false.
const PROPAGATION_GRACE: Time = 10 * SECOND;
/// A death that lasts at least this long must become known.
const MIN_DEATH_DURATION: Time = 30 * SECOND;
/// Maximum number of false deaths described in full.
const MAX_DETAILS: usize = 20;
/// Maximum number of recorded changes of agreement.
const MAX_CHANGES: usize = 10_000;

/// View of a member on another member's present incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberView {
    /// The member is not known.
    #[default]
    Unknown,
    /// The member is alive.
    Alive,
    /// The member is suspected to be dead.
    Suspect,
    /// The member is considered dead.
    Dead,
    /// The member has left.
    Left,
}

/// State of a member.
#[derive(Clone, Debug, Default)]
struct Member {
    running: bool,
    paused_since: Option<Time>,
    /// A partition separates the member from all others, in at least one direction.
    unreachable_by_all: bool,
    /// Until this time, a view of the running member as dead does not count as false.
    excused_until: Time,
    /// Some member has come to consider this one dead although it is running; that counts once until the member is
    /// considered alive again.
    falsely_dead: bool,
}

/// Death of a member that has not been started again.
#[derive(Clone, Debug)]
struct Death {
    at: Time,
    /// Number of members that were up at the death and have not learned of it.
    unaware: usize,
}

/// Collects the members' states and their views of each other. Members are identified by their position.
#[derive(Clone, Debug)]
pub struct MembershipObserver {
    members: Vec<Member>,
    /// View of each member on each other one: the entry at `viewer * members.len() + member`.
    views: Vec<MemberView>,
    tolerated_pause: Time,
    deaths: BTreeMap<usize, Death>,
    /// Milliseconds until a death was known, over all members that had to learn of it.
    known: Histogram<u64>,
    /// Milliseconds until a death was known by all members.
    known_by_all: Histogram<u64>,
    death_count: u64,
    never_known: u64,
    false_deaths: u64,
    false_death_details: Vec<String>,
    /// Number of ordered pairs of active members in which the first one does not consider the second one alive.
    disagreements: usize,
    agreement_changes: Vec<(Time, bool)>,
    partitions_reported: Vec<(Time, f64)>,
}

/// Membership results of a run.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct MembershipReport {
    /// Number of times that a running member came to be considered dead.
    pub false_deaths: u64,
    /// Descriptions of the first false deaths.
    #[serde(rename = "stories")]
    pub false_death_details: Vec<String>,
    /// Number of ended member processes.
    pub deaths: u64,
    /// Milliseconds until a death was known, over all members that had to learn of it.
    pub known_ms: Quantiles,
    /// Milliseconds until a death was known by all members.
    pub known_by_all_ms: Quantiles,
    /// Number of times that a member had not learned of a death that lasted for half a minute.
    pub never_known: u64,
    /// Times in seconds at which all running members began or ceased to consider each other alive.
    #[serde(rename = "together")]
    pub agreement_changes: Vec<(f64, bool)>,
    /// Time in seconds of each check, and the fraction of partitioned paths that both ends reported, less the
    /// fraction reported wrongly.
    #[serde(rename = "cuts-named")]
    pub partitions_reported: Vec<(f64, f64)>,
    /// Bytes per second that a member sent: mean and maximum.
    #[serde(rename = "bytes-a-second")]
    pub bytes_per_second: (f64, f64),
}

/// Quantiles of a set of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl Quantiles {
    fn of(times_ms: &Histogram<u64>) -> Self {
        let quantile_ms = |quantile| times_ms.value_at_quantile(quantile) as f64;
        Self {
            count: times_ms.len(),
            p50: quantile_ms(0.5),
            p99: quantile_ms(0.99),
            max: times_ms.max() as f64,
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits will do"))
}

impl MembershipObserver {
    /// Creates an observer of a number of members, none of which is running. Pauses of up to `tolerated_pause`
    /// must not lead to a report of death.
    pub fn new(members: usize, tolerated_pause: Time) -> Self {
        Self {
            members: vec![Member::default(); members],
            views: vec![MemberView::Unknown; members * members],
            tolerated_pause,
            deaths: BTreeMap::new(),
            known: histogram(),
            known_by_all: histogram(),
            death_count: 0,
            never_known: 0,
            false_deaths: 0,
            false_death_details: Vec::new(),
            disagreements: 0,
            agreement_changes: Vec::new(),
            partitions_reported: Vec::new(),
        }
    }

    /// Whether both members are active and the first one does not consider the second one alive.
    fn disagrees(&self, viewer: usize, member: usize) -> bool {
        let view = self.views[viewer * self.members.len() + member];
        viewer != member
            && view != MemberView::Alive
            && self.is_active(viewer)
            && self.is_active(member)
    }

    /// Number of disagreements with this member as either viewer or viewed.
    fn disagreements_with(&self, member: usize) -> usize {
        (0..self.members.len())
            .map(|other| {
                usize::from(self.disagrees(member, other))
                    + usize::from(self.disagrees(other, member))
            })
            .sum()
    }

    /// Applies a change of a member's state or of views that concern it, and updates the disagreements.
    fn update_member(&mut self, now: Time, member: usize, change: impl FnOnce(&mut Self)) {
        let previous = self.disagreements_with(member);
        change(self);
        self.disagreements = self.disagreements + self.disagreements_with(member) - previous;
        self.record_agreement(now);
    }

    fn record_agreement(&mut self, now: Time) {
        let agree = self.disagreements == 0;
        if self
            .agreement_changes
            .last()
            .is_none_or(|(_, last)| *last != agree)
            && self.agreement_changes.len() < MAX_CHANGES
        {
            self.agreement_changes.push((now, agree));
        }
    }

    /// Records that a member's process starts, as a new incarnation, or ends.
    pub fn set_running(&mut self, now: Time, member: usize, running: bool) {
        if self.members[member].running == running {
            return;
        }
        let size = self.members.len();
        self.update_member(now, member, |observer| {
            observer.members[member] = Member {
                running,
                unreachable_by_all: observer.members[member].unreachable_by_all,
                ..Member::default()
            };
            if running {
                for other in 0..size {
                    observer.views[member * size + other] = MemberView::Unknown;
                    observer.views[other * size + member] = MemberView::Unknown;
                }
            }
        });
        if running {
            if let Some(death) = self
                .deaths
                .remove(&member)
                .filter(|death| now >= death.at + MIN_DEATH_DURATION)
            {
                self.never_known += death.unaware as u64;
            }
            return;
        }
        self.death_count += 1;
        // Members that had delisted this one already learn nothing new.
        let is_delisted_by = |viewer: usize| {
            matches!(
                self.views[viewer * size + member],
                MemberView::Dead | MemberView::Left | MemberView::Unknown
            )
        };
        let unaware = (0..size)
            .filter(|&viewer| self.members[viewer].running && !is_delisted_by(viewer))
            .count();
        for (&dead, death) in &mut self.deaths {
            let knows = matches!(
                self.views[member * size + dead],
                MemberView::Dead | MemberView::Left | MemberView::Unknown
            );
            death.unaware -= usize::from(!knows).min(death.unaware);
        }
        self.deaths.insert(member, Death { at: now, unaware });
    }

    /// Records that a member is paused or resumed.
    pub fn set_paused(&mut self, now: Time, member: usize, paused: bool) {
        let tolerated_pause = self.tolerated_pause;
        self.update_member(now, member, |observer| {
            let state = &mut observer.members[member];
            match (paused, state.paused_since) {
                (true, None) => state.paused_since = Some(now),
                (false, Some(since)) => {
                    state.paused_since = None;
                    if now - since > tolerated_pause {
                        state.excused_until = now + PROPAGATION_GRACE;
                    }
                }
                _ => {}
            }
        });
    }

    /// Updates the partitions, given as a test of ordered pairs. A member that can reach no other member, or that no
    /// other member can reach, may be considered dead, as the others cannot know that it is alive.
    pub fn partition(&mut self, now: Time, is_partitioned: impl Fn(usize, usize) -> bool) {
        let size = self.members.len();
        for (member, state) in self.members.iter_mut().enumerate() {
            let mut others = (0..size).filter(|&other| other != member);
            let unreachable = others.clone().all(|other| is_partitioned(member, other))
                || others.all(|other| is_partitioned(other, member));
            if std::mem::replace(&mut state.unreachable_by_all, unreachable) && !unreachable {
                state.excused_until = state.excused_until.max(now + PROPAGATION_GRACE);
            }
        }
    }

    /// Records a member's view on another member's present incarnation.
    pub fn record_view(&mut self, now: Time, viewer: usize, member: usize, view: MemberView) {
        let size = self.members.len();
        let disagreed = self.disagrees(viewer, member);
        let previous = std::mem::replace(&mut self.views[viewer * size + member], view);
        if previous == view {
            return;
        }
        self.disagreements = self.disagreements + usize::from(self.disagrees(viewer, member))
            - usize::from(disagreed);
        self.record_agreement(now);
        let is_delisted = |view| matches!(view, MemberView::Dead | MemberView::Left);
        if self.members[member].running {
            return self.check_false_death(now, viewer, member, view);
        }
        if let Some(death) = self
            .deaths
            .get_mut(&member)
            .filter(|_| is_delisted(view) && !is_delisted(previous))
        {
            let ms = now.saturating_sub(death.at) / 1_000_000;
            self.known.record(ms).ok();
            death.unaware = death.unaware.saturating_sub(1);
            if death.unaware == 0 {
                self.known_by_all.record(ms).ok();
            }
        }
    }

    /// Counts a false death if a view calls a running member dead and nothing excuses the view.
    fn check_false_death(&mut self, now: Time, viewer: usize, member: usize, view: MemberView) {
        let (tolerated_pause, state) = (self.tolerated_pause, &mut self.members[member]);
        if view != MemberView::Dead {
            state.falsely_dead &= view != MemberView::Alive;
            return;
        }
        let paused_too_long = state
            .paused_since
            .is_some_and(|since| now - since > tolerated_pause);
        if state.unreachable_by_all
            || paused_too_long
            || now < state.excused_until
            || std::mem::replace(&mut state.falsely_dead, true)
        {
            return;
        }
        self.false_deaths += 1;
        if self.false_death_details.len() < MAX_DETAILS {
            let seconds = now as f64 / SECOND as f64;
            self.false_death_details.push(format!(
                "{seconds:.3} s: member {viewer} reports member {member} as dead although it is running"
            ));
        }
    }

    /// Records one check of the reported partitions. Each pair of members gives whether the path from the first
    /// to the second is partitioned, and whether the first and the second report it.
    pub fn record_path_reports(
        &mut self,
        now: Time,
        pairs: impl Iterator<Item = (bool, bool, bool)>,
    ) {
        let (mut partitioned, mut reported, mut falsely_reported) = (0_u64, 0_u64, 0_u64);
        for (is_partitioned, by_first, by_second) in pairs {
            partitioned += u64::from(is_partitioned);
            reported += u64::from(is_partitioned && by_first && by_second);
            falsely_reported += u64::from(!is_partitioned && (by_first || by_second));
        }
        if partitioned > 0 {
            self.partitions_reported.push((
                now,
                (reported as f64 - falsely_reported as f64) / partitioned as f64,
            ));
        }
    }

    /// All ordered pairs of active members that have reported their views.
    pub fn pairs(&self, has_reported: impl Fn(usize) -> bool) -> Vec<(usize, usize)> {
        let reporting: Vec<usize> = (0..self.members.len())
            .filter(|&member| self.is_active(member) && has_reported(member))
            .collect();
        let pairs = reporting
            .iter()
            .flat_map(|&from| reporting.iter().map(move |&to| (from, to)));
        pairs.filter(|(from, to)| from != to).collect()
    }

    /// Whether a member is running and not paused.
    pub fn is_active(&self, member: usize) -> bool {
        self.members[member].running && self.members[member].paused_since.is_none()
    }

    /// Finishes the observation. `bytes_sent` are the bytes that each member sent during `duration`.
    pub fn end(mut self, now: Time, bytes_sent: &[u64], duration: Time) -> MembershipReport {
        let unaware: usize = self
            .deaths
            .values()
            .filter(|death| now >= death.at + MIN_DEATH_DURATION)
            .map(|death| death.unaware)
            .sum();
        self.never_known += unaware as u64;
        let seconds = |time: Time| time as f64 / SECOND as f64;
        let rate = |bytes: u64| bytes as f64 / seconds(duration).max(1e-9);
        let mean = rate(bytes_sent.iter().sum()) / bytes_sent.len().max(1) as f64;
        MembershipReport {
            false_deaths: self.false_deaths,
            false_death_details: self.false_death_details,
            deaths: self.death_count,
            known_ms: Quantiles::of(&self.known),
            known_by_all_ms: Quantiles::of(&self.known_by_all),
            never_known: self.never_known,
            agreement_changes: self
                .agreement_changes
                .iter()
                .map(|(time, agree)| (seconds(*time), *agree))
                .collect(),
            partitions_reported: self
                .partitions_reported
                .iter()
                .map(|(time, fraction)| (seconds(*time), *fraction))
                .collect(),
            bytes_per_second: (
                mean,
                bytes_sent
                    .iter()
                    .map(|bytes| rate(*bytes))
                    .fold(0.0, f64::max),
            ),
        }
    }
}

impl MembershipReport {
    /// Seconds after `from` until all running members agreed, if they still agreed `within` seconds after
    /// `from`.
    pub fn agreement_after(&self, from: f64, within: f64) -> Option<f64> {
        let &(changed_at, agree) = self
            .agreement_changes
            .iter()
            .rfind(|(time, _)| *time <= from + within)?;
        agree.then_some((changed_at - from).max(0.0))
    }
}

#[cfg(test)]
mod tests;
