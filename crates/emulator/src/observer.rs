//! Compares which members run with what members hold of each other: false deaths, and how long true ones take to
//! be known.

use crate::units::SECOND;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use woadstall_engine::Time;

/// After a pause that was too long, or a cut from all, the news of a death may still be under way for so long.
const EXCUSED: Time = 10 * SECOND;
/// A death that lasted for so long has to be known.
const LASTS: Time = 30 * SECOND;
/// Stories that are kept.
const STORIES: usize = 20;
/// Changes between together and not that are kept.
const CHANGES: usize = 10_000;

/// What a member holds of the present incarnation of another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberView {
    /// It has not heard of it.
    #[default]
    Unknown,
    /// It is there.
    Alive,
    /// It may be gone.
    Suspect,
    /// It is gone.
    Dead,
    /// It has left.
    Left,
}

#[derive(Clone, Debug, Default)]
struct Member {
    up: bool,
    still_since: Option<Time>,
    unreachable_by_all: bool,
    /// Until when it may be held for dead though it is there.
    excused: Time,
    /// Held for dead by some though it is there.
    wronged: bool,
}

#[derive(Clone, Debug)]
struct Death {
    at: Time,
    /// Those that were up then and have not heard of it.
    needed: usize,
}

/// See the module's documentation.
#[derive(Clone, Debug)]
pub struct MembershipObserver {
    members: Vec<Member>,
    views: Vec<MemberView>,
    tolerated_pause: Time,
    deaths: BTreeMap<usize, Death>,
    known: Histogram<u64>,
    known_by_all: Histogram<u64>,
    died: u64,
    never_known: u64,
    false_deaths: u64,
    stories: Vec<String>,
    disagreements: usize,
    together: Vec<(Time, bool)>,
    partitions_reported: Vec<(Time, f64)>,
}

/// What a run showed of membership.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct MembershipReport {
    /// Members that were held for dead though they were there, each as often as that began.
    pub false_deaths: u64,
    /// The first of them in words.
    #[serde(rename = "stories")]
    pub false_death_details: Vec<String>,
    /// Members whose process ended.
    pub deaths: u64,
    /// Milliseconds until a death was known, over all that had to hear of it.
    pub known_ms: Quantiles,
    /// Milliseconds until a death was known by all.
    pub known_by_all_ms: Quantiles,
    /// How often one had not heard of a death that lasted for half a minute.
    pub never_known: u64,
    /// Times in seconds at which all that run began to hold all others for there, or ceased to.
    #[serde(rename = "together")]
    pub agreement_changes: Vec<(f64, bool)>,
    /// Parts of the cut ways that were named right by both sides, less those that were named and are not cut, by the
    /// second at which that was looked at.
    #[serde(rename = "cuts-named")]
    pub partitions_reported: Vec<(f64, f64)>,
    /// Bytes a second that a member sent, on average and the most.
    #[serde(rename = "bytes-a-second")]
    pub bytes_per_second: (f64, f64),
}

/// Of some times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Quantiles {
    /// How many there were.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// 99 in a hundred are shorter.
    pub p99: f64,
    /// The longest.
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

fn times() -> Histogram<u64> {
    Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits will do"))
}

impl MembershipObserver {
    /// Of so many members, none of which runs yet; pauses of up to this are to be borne.
    pub fn new(members: usize, tolerated_pause: Time) -> Self {
        Self {
            members: vec![Member::default(); members],
            views: vec![MemberView::Unknown; members * members],
            tolerated_pause,
            deaths: BTreeMap::new(),
            known: times(),
            known_by_all: times(),
            died: 0,
            never_known: 0,
            false_deaths: 0,
            stories: Vec::new(),
            disagreements: 0,
            together: Vec::new(),
            partitions_reported: Vec::new(),
        }
    }

    fn disagrees(&self, by: usize, of: usize) -> bool {
        let view = self.views[by * self.members.len() + of];
        by != of && view != MemberView::Alive && self.is_active(by) && self.is_active(of)
    }

    /// How many pairs with one member are not as they should be.
    fn disagreements_with(&self, who: usize) -> usize {
        let all = 0..self.members.len();
        all.map(|other| {
            usize::from(self.disagrees(who, other)) + usize::from(self.disagrees(other, who))
        })
        .sum()
    }

    fn change(&mut self, now: Time, who: usize, change: impl FnOnce(&mut Self)) {
        let before = self.disagreements_with(who);
        change(self);
        self.disagreements = self.disagreements + self.disagreements_with(who) - before;
        self.record_agreement(now);
    }

    fn record_agreement(&mut self, now: Time) {
        let together = self.disagreements == 0;
        if self
            .together
            .last()
            .is_none_or(|(_, last)| *last != together)
            && self.together.len() < CHANGES
        {
            self.together.push((now, together));
        }
    }

    /// A member's process begins, as a new incarnation of it, or ends.
    pub fn set_running(&mut self, now: Time, who: usize, up: bool) {
        if self.members[who].up == up {
            return;
        }
        let size = self.members.len();
        self.change(now, who, |all| {
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
                .filter(|death| now >= death.at + LASTS)
            {
                self.never_known += death.needed as u64;
            }
            return;
        }
        self.died += 1;
        // Those that held it for gone already hear nothing new.
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
            death.needed -= usize::from(!knows).min(death.needed);
        }
        self.deaths.insert(who, Death { at: now, needed });
    }

    /// A member stands still, or goes on.
    pub fn set_paused(&mut self, now: Time, who: usize, still: bool) {
        let tolerated_pause = self.tolerated_pause;
        self.change(now, who, |all| {
            let member = &mut all.members[who];
            match (still, member.still_since) {
                (true, None) => member.still_since = Some(now),
                (false, Some(since)) => {
                    member.still_since = None;
                    if now - since > tolerated_pause {
                        member.excused = now + EXCUSED;
                    }
                }
                _ => {}
            }
        });
    }

    /// Ways are cut from now on, each from the first to the second. Of one that nobody hears, or that hears nobody,
    /// others cannot know that it is there.
    pub fn partition(&mut self, now: Time, is_partitioned: impl Fn(usize, usize) -> bool) {
        let size = self.members.len();
        for (who, member) in self.members.iter_mut().enumerate() {
            let mut others = (0..size).filter(|&other| other != who);
            let off = others.clone().all(|other| is_partitioned(who, other))
                || others.all(|other| is_partitioned(other, who));
            if std::mem::replace(&mut member.unreachable_by_all, off) && !off {
                member.excused = member.excused.max(now + EXCUSED);
            }
        }
    }

    /// What a member holds of the present incarnation of another.
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
            return self.view_of_running(now, by, of, view);
        }
        if let Some(death) = self
            .deaths
            .get_mut(&of)
            .filter(|_| is_delisted(view) && !is_delisted(was))
        {
            let ms = now.saturating_sub(death.at) / 1_000_000;
            self.known.record(ms).ok();
            death.needed = death.needed.saturating_sub(1);
            if death.needed == 0 {
                self.known_by_all.record(ms).ok();
            }
        }
    }

    fn view_of_running(&mut self, now: Time, by: usize, of: usize, view: MemberView) {
        let (tolerated_pause, member) = (self.tolerated_pause, &mut self.members[of]);
        if view != MemberView::Dead {
            member.wronged &= view != MemberView::Alive;
            return;
        }
        let sleeps = member
            .still_since
            .is_some_and(|since| now - since > tolerated_pause);
        if member.unreachable_by_all
            || sleeps
            || now < member.excused
            || std::mem::replace(&mut member.wronged, true)
        {
            return;
        }
        self.false_deaths += 1;
        if self.stories.len() < STORIES {
            let at = now as f64 / SECOND as f64;
            self.stories.push(format!(
                "{at:.3} s: {by} record_view {of} for dead, which is there"
            ));
        }
    }

    /// How the ways are named, looked at once: pairs of members with whether the way from the first to the second is
    /// cut, and whether each of the two says so.
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

    /// All ordered pairs of those that are there and have spoken.
    pub fn pairs(&self, has_spoken: impl Fn(usize) -> bool) -> Vec<(usize, usize)> {
        let there: Vec<usize> = (0..self.members.len())
            .filter(|&who| self.is_active(who) && has_spoken(who))
            .collect();
        let pairs = there
            .iter()
            .flat_map(|&from| there.iter().map(move |&to| (from, to)));
        pairs.filter(|(from, to)| from != to).collect()
    }

    /// Whether a member runs and does not stand still.
    pub fn is_active(&self, who: usize) -> bool {
        self.members[who].up && self.members[who].still_since.is_none()
    }

    /// All that was seen; `bytes` are those that each member sent, over so long.
    pub fn end(mut self, now: Time, bytes: &[u64], over: Time) -> MembershipReport {
        let open: usize = self
            .deaths
            .values()
            .filter(|death| now >= death.at + LASTS)
            .map(|death| death.needed)
            .sum();
        self.never_known += open as u64;
        let seconds = |time: Time| time as f64 / SECOND as f64;
        let rate = |bytes: u64| bytes as f64 / seconds(over).max(1e-9);
        let mean = rate(bytes.iter().sum()) / bytes.len().max(1) as f64;
        MembershipReport {
            false_deaths: self.false_deaths,
            false_death_details: self.stories,
            deaths: self.died,
            known_ms: Quantiles::of(&self.known),
            known_by_all_ms: Quantiles::of(&self.known_by_all),
            never_known: self.never_known,
            agreement_changes: self
                .together
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
    /// How long after a second all that ran held all others for there, as they still did when so many seconds had passed.
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
