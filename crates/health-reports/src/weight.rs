//! How much a witness' counts speak for a subject being ill, and what remains of many without the liars.

use crate::counts::CallCounts;

/// Which way a subject is ill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Symptom {
    /// Calls fail.
    Failing,
    /// Answers come far later than usual, or not at all.
    Late,
}

/// Part of the calls that fail, or are late, where something is ill: half of them would carry off the rest.
const BAD: f64 = 0.5;
/// The least and the most that a sound subject's part is taken for: chance alone makes some, and where more than this
/// is usual, nothing is found by what is usual.
const WELL: [(f64, f64); 2] = [(0.02, 0.25), (0.06, 0.35)];
/// The logarithm of the odds at which a subject counts as ill: one wrong in a million looks, ten of them a second, at
/// subjects that share their chance. What shares no chance with the rest is the liars' part.
pub const UNHEALTHY_LOG_ODDS: f64 = 13.8;
/// The same for one nodo: little is lost where it is left for nothing.
pub const SERVER_UNHEALTHY_LOG_ODDS: f64 = 9.2;
/// What one witness' word weighs at most: some failures in a row at one sender may be its own.
const WORD: f64 = 4.0;
/// Part of the witnesses that may lie, or be blind.
const LIARS: f64 = 0.1;

/// How many of so many may lie. One always may, but where there is nobody else.
pub fn max_faulty(of: usize) -> usize {
    if of < 2 {
        0
    } else {
        (of as f64 * LIARS).ceil() as usize
    }
}

/// What is enough from so many that could bear witness, and what the word of one of them weighs at most: a few witnesses
/// that remain without the liars must be able to say it, and a third of them have to.
pub fn enough(enough: f64, of: usize) -> (f64, f64) {
    (enough, WORD.max(enough / (of as f64 / 3.0).max(1.0)))
}

impl Symptom {
    /// The logarithm of the odds that counts give for being ill, where `usual` is the part elsewhere.
    pub fn weigh(self, counts: &CallCounts, usual: f64) -> f64 {
        let (least, most) = WELL[self as usize];
        let well = usual.clamp(least, most);
        let (hits, of) = match self {
            Self::Failing => (counts.failed, counts.tries),
            Self::Late => (counts.failed + counts.late, counts.tries),
        };
        hits * (BAD / well).ln() + (of - hits).max(0.0) * ((1.0 - BAD) / (1.0 - well)).ln()
    }
}

/// The words of many, together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EvidenceSum {
    /// All that speaks for it being ill, without the strongest words of as many as may lie.
    pub bad: f64,
    /// All that speaks for it being well, likewise.
    pub well: f64,
    /// Those who speak against it, and for it.
    pub witnesses: (usize, usize),
}

impl EvidenceSum {
    /// Of others' words, each with how fresh it is (1 for now, 0 for long ago) and cut to `word`, of which `max_faulty` are left
    /// out on either side, and the own one. Old words that it is well do not speak against its being ill now.
    pub fn of(mut others: Vec<(f64, f64)>, own: f64, word: f64, max_faulty: usize) -> Self {
        let cut = |weight: f64| weight.clamp(-word, word);
        others
            .iter_mut()
            .for_each(|(weight, _)| *weight = cut(*weight));
        others.sort_by(|a, b| a.0.total_cmp(&b.0));
        let against = others.iter().filter(|(weight, _)| *weight > 0.0).count();
        let well = others.iter().filter(|(weight, _)| *weight < 0.0).count();
        // Liars cannot be told from those who are right: the strongest words of each side are left out, whoever says them.
        let bad = others[..others.len() - against.min(max_faulty)].iter();
        let bad: f64 = bad
            .map(|(weight, fresh)| {
                if *weight < 0.0 {
                    weight * fresh
                } else {
                    *weight
                }
            })
            .sum();
        let sound: f64 = others[well.min(max_faulty)..]
            .iter()
            .map(|(weight, _)| weight)
            .sum();
        let witnesses = (
            against + usize::from(own > 0.0),
            well + usize::from(own < 0.0),
        );
        Self {
            bad: bad + cut(own),
            well: -(sound + cut(own)),
            witnesses,
        }
    }
}
