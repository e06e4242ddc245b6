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
const MIN_KNOWN_DEATH: Time = 30 * SECOND;
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

#[derive(Clone, Debug, Default)]
struct Member {
    up: bool,
    paused_since: Option<Time>,
    unreachable_by_all: bool,
    /// Until this time, a view of the running member as dead does not count as false.
    excused_until: Time,
    /// Some member considers this one dead although it is running.
    falsely_dead: bool,
}

#[derive(Clone, Debug)]
struct Death {
    at: Time,
    /// Number of members that were up at the death and have not learned of it.
    unaware: usize,
}

/// Collects the members' states and their views of each other.
#[derive(Clone, Debug)]
pub struct MembershipObserver {
    members: Vec<Member>,
    views: Vec<MemberView>,
    tolerated_pause: Time,
    deaths: BTreeMap<usize, Death>,
    known: Histogram<u64>,
    known_by_all: Histogram<u64>,
    death_count: u64,
    never_known: u64,
    false_deaths: u64,
    false_death_details: Vec<String>,
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
    fn of(times: &Histogram<u64>) -> Self {
        let at = |part| times.value_at_quantile(part) as f64;
        Self {
            count: times.len(),
            p50: at(0.5),
            p99: at(0.99),
            max: times.max() as f64,
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

    fn disagrees(&self, by: usize, of: usize) -> bool {
        let view = self.views[by * self.members.len() + of];
        by != of && view != MemberView::Alive && self.is_active(by) && self.is_active(of)
    }

    /// Number of ordered pairs with this member in which one running member does not consider the other alive.
    fn disagreements_with(&self, who: usize) -> usize {
        let all = 0..self.members.len();
        all.map(|other| {
            usize::from(self.disagrees(who, other)) + usize::from(self.disagrees(other, who))
        })
        .sum()
    }

    fn update_member(&mut self, now: Time, who: usize, change: impl FnOnce(&mut Self)) {
        let before = self.disagreements_with(who);
        change(self);
        self.disagreements = self.disagreements + self.disagreements_with(who) - before;
        self.record_agreement(now);
    }

    fn record_agreement(&mut self, now: Time) {
        let together = self.disagreements == 0;
        if self
            .agreement_changes
            .last()
            .is_none_or(|(_, last)| *last != together)
            && self.agreement_changes.len() < MAX_CHANGES
        {
            self.agreement_changes.push((now, together));
        }
    }

    /// Records that a member's process starts, as a new incarnation, or ends.
    pub fn set_running(&mut self, now: Time, who: usize, up: bool) {
        if self.members[who].up == up {
            return;
        }
        let size = self.members.len();
        self.update_member(now, who, |all| {
            all.members[who] = Member {
                up,
                unreachable_by_all: all.members[who].unreachable_by_all,
                ..Member::default()
            };
            if up {
                for other in 0..size {
                    all.views[who * size + other] = MemberView::Unknown;
                    all.views[other * size + who] = MemberView::Unknown;
                }
            }
        });
        if up {
            if let Some(death) = self
                .deaths
                .remove(&who)
                .filter(|death| now >= death.at + MIN_KNOWN_DEATH)
            {
                self.never_known += death.unaware as u64;
            }
            return;
        }
        self.death_count += 1;
        // Members that had delisted this one already learn nothing new.
        let is_delisted = |by: usize| {
            matches!(
                self.views[by * size + who],
                MemberView::Dead | MemberView::Left | MemberView::Unknown
            )
        };
        let needed = (0..size)
            .filter(|&by| self.members[by].up && !is_delisted(by))
            .count();
        for (&of, death) in &mut self.deaths {
            let knows = matches!(
                self.views[who * size + of],
                MemberView::Dead | MemberView::Left | MemberView::Unknown
            );
            death.unaware -= usize::from(!knows).min(death.unaware);
        }
        self.deaths.insert(
            who,
            Death {
                at: now,
                unaware: needed,
            },
        );
    }

    /// Records that a member is paused or resumed.
    pub fn set_paused(&mut self, now: Time, who: usize, still: bool) {
        let tolerated_pause = self.tolerated_pause;
        self.update_member(now, who, |all| {
            let member = &mut all.members[who];
            match (still, member.paused_since) {
                (true, None) => member.paused_since = Some(now),
                (false, Some(since)) => {
                    member.paused_since = None;
                    if now - since > tolerated_pause {
                        member.excused_until = now + PROPAGATION_GRACE;
                    }
                }
                _ => {}
            }
        });
    }

    /// Updates the partitions, given as a test of ordered pairs. Other members cannot know that a member is
    /// alive if it cannot reach anybody or be reached by anybody.
    pub fn partition(&mut self, now: Time, is_partitioned: impl Fn(usize, usize) -> bool) {
        let size = self.members.len();
        for (who, member) in self.members.iter_mut().enumerate() {
            let mut others = (0..size).filter(|&other| other != who);
            let off = others.clone().all(|other| is_partitioned(who, other))
                || others.all(|other| is_partitioned(other, who));
            if std::mem::replace(&mut member.unreachable_by_all, off) && !off {
                member.excused_until = member.excused_until.max(now + PROPAGATION_GRACE);
            }
        }
    }

    /// Records a member's view on another member's present incarnation.
    pub fn record_view(&mut self, now: Time, by: usize, of: usize, view: MemberView) {
        let size = self.members.len();
        let disagreements = self.disagrees(by, of);
        let was = std::mem::replace(&mut self.views[by * size + of], view);
        if was == view {
            return;
        }
        self.disagreements =
            self.disagreements + usize::from(self.disagrees(by, of)) - usize::from(disagreements);
        self.record_agreement(now);
        let is_delisted = |view| matches!(view, MemberView::Dead | MemberView::Left);
        if self.members[of].up {
            return self.check_false_death(now, by, of, view);
        }
        if let Some(death) = self
            .deaths
            .get_mut(&of)
            .filter(|_| is_delisted(view) && !is_delisted(was))
        {
            let ms = now.saturating_sub(death.at) / 1_000_000;
            self.known.record(ms).ok();
            death.unaware = death.unaware.saturating_sub(1);
            if death.unaware == 0 {
                self.known_by_all.record(ms).ok();
            }
        }
    }

    fn check_false_death(&mut self, now: Time, by: usize, of: usize, view: MemberView) {
        let (tolerated_pause, member) = (self.tolerated_pause, &mut self.members[of]);
        if view != MemberView::Dead {
            member.falsely_dead &= view != MemberView::Alive;
            return;
        }
        let sleeps = member
            .paused_since
            .is_some_and(|since| now - since > tolerated_pause);
        if member.unreachable_by_all
            || sleeps
            || now < member.excused_until
            || std::mem::replace(&mut member.falsely_dead, true)
        {
            return;
        }
        self.false_deaths += 1;
        if self.false_death_details.len() < MAX_DETAILS {
            let at = now as f64 / SECOND as f64;
            self.false_death_details.push(format!(
                "{at:.3} s: {by} record_view {of} for dead, which is there"
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
        let (mut partitioned, mut named, mut wrongly) = (0_u64, 0_u64, 0_u64);
        for (is_partitioned, by_first, by_second) in pairs {
            partitioned += u64::from(is_partitioned);
            named += u64::from(is_partitioned && by_first && by_second);
            wrongly += u64::from(!is_partitioned && (by_first || by_second));
        }
        if partitioned > 0 {
            self.partitions_reported
                .push((now, (named as f64 - wrongly as f64) / partitioned as f64));
        }
    }

    /// All ordered pairs of active members that have spoken.
    pub fn pairs(&self, has_spoken: impl Fn(usize) -> bool) -> Vec<(usize, usize)> {
        let there: Vec<usize> = (0..self.members.len())
            .filter(|&who| self.is_active(who) && has_spoken(who))
            .collect();
        let pairs = there
            .iter()
            .flat_map(|&from| there.iter().map(move |&to| (from, to)));
        pairs.filter(|(from, to)| from != to).collect()
    }

    /// Whether a member is running and not paused.
    pub fn is_active(&self, who: usize) -> bool {
        self.members[who].up && self.members[who].paused_since.is_none()
    }

    /// Finishes the observation. `bytes` are the bytes that each member sent during `over`.
    pub fn end(mut self, now: Time, bytes: &[u64], over: Time) -> MembershipReport {
        let open: usize = self
            .deaths
            .values()
            .filter(|death| now >= death.at + MIN_KNOWN_DEATH)
            .map(|death| death.unaware)
            .sum();
        self.never_known += open as u64;
        let seconds = |time: Time| time as f64 / SECOND as f64;
        let rate = |bytes: u64| bytes as f64 / seconds(over).max(1e-9);
        let mean = rate(bytes.iter().sum()) / bytes.len().max(1) as f64;
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
                .map(|(at, is)| (seconds(*at), *is))
                .collect(),
            partitions_reported: self
                .partitions_reported
                .iter()
                .map(|(at, part)| (seconds(*at), *part))
                .collect(),
            bytes_per_second: (
                mean,
                bytes.iter().map(|bytes| rate(*bytes)).fold(0.0, f64::max),
            ),
        }
    }
}

impl MembershipReport {
    /// Seconds after `from` until all running members agreed, if they still agreed `within` seconds after
    /// `from`.
    pub fn agreement_after(&self, from: f64, within: f64) -> Option<f64> {
        let last = self
            .agreement_changes
            .iter()
            .rfind(|(at, _)| *at <= from + within)?;
        last.1.then_some((last.0 - from).max(0.0))
    }
}

#[cfg(test)]
mod tests;
