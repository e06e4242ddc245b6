//! Operators' words: they overrule what the fleet found, for a time, and the last of them holds.

use crate::packed;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use woadstall_health_reports::Subject;

/// Form of the bytes: raised when what they mean changes.
const FORM: u8 = 1;
const MOST: usize = 16;
/// Words hold for so long at most: what is forgotten must end by itself.
pub const LONGEST_MS: u64 = 24 * 3_600_000;

/// What an operator wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OrderAction {
    /// It is left.
    Evacuate,
    /// It stays in use, whatever is found.
    Keep,
    /// What was said is taken back, and it is returned to.
    Restore,
}

impl OrderAction {
    /// Its word.
    pub fn word(self) -> &'static str {
        match self {
            Self::Evacuate => "leave",
            Self::Keep => "hold",
            Self::Restore => "return",
        }
    }
}

/// A word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// About which place.
    pub subject: Subject,
    /// What.
    pub what: OrderAction,
    /// When it was given, Unix time in milliseconds: the last one holds.
    pub issued_ms: u64,
    /// When it ends.
    pub until_ms: u64,
    /// Drawn when it was given, so that two of one millisecond have an order.
    pub id: u32,
}

/// Bytes that are no orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderError;

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no orders of a form that is known here")
    }
}

impl std::error::Error for OrderError {}

/// All that are in force, the last of each place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderTable {
    all: BTreeMap<Subject, Order>,
}

impl OrderTable {
    /// Takes a word, if it is later than what is known and not over. Whether it was.
    pub fn take(&mut self, now_ms: u64, order: Order) -> bool {
        let until_ms = order
            .until_ms
            .min(order.issued_ms.saturating_add(LONGEST_MS));
        let order = Order { until_ms, ..order };
        // A clock that is ahead must not give words that nobody can overrule for long.
        let ahead = order.issued_ms > now_ms.saturating_add(LONGEST_MS);
        let key = |order: &Order| (order.issued_ms, order.id);
        let known = self
            .all
            .get(&order.subject)
            .is_some_and(|known| key(known) >= key(&order));
        if known || ahead || order.until_ms <= now_ms {
            return false;
        }
        if !self.all.contains_key(&order.subject) && self.all.len() >= MOST {
            return false;
        }
        self.all.insert(order.subject, order);
        true
    }

    /// Forgets those that are over. Whether there were any.
    pub fn forget(&mut self, now_ms: u64) -> bool {
        let before = self.all.len();
        self.all.retain(|_, order| now_ms < order.until_ms);
        before != self.all.len()
    }

    /// The one that holds for a place.
    pub fn of(&self, subject: &Subject) -> Option<&Order> {
        self.all.get(subject)
    }

    /// All, as bytes: as many as fit.
    pub fn write(&self, most: usize) -> Vec<u8> {
        packed::write(FORM, self.all.values(), most)
    }

    /// From bytes.
    pub fn read(bytes: &[u8]) -> Result<Vec<Order>, OrderError> {
        packed::read(FORM, bytes, MOST).ok_or(OrderError)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}
