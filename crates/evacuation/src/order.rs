//! Operators' orders: they overrule what the fleet has decided, for a time, and the newest of them
//! holds.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;
use woadstall_health_reports::Subject;
use woadstall_health_reports::packed_list::{self, PackedListError};

/// The version of the format: raised when the meaning of the bytes changes.
const VERSION: u8 = 1;
/// The most domains that have an order.
const MAX_ORDERS: usize = 16;
/// The longest validity of an order: one that is forgotten must end by itself.
const MAX_VALIDITY: Duration = Duration::from_secs(24 * 3_600);
const MAX_VALIDITY_MS: u64 = MAX_VALIDITY.as_millis() as u64;

/// What an operator orders. The order of the variants is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OrderAction {
    /// The domain gets no new work.
    Evacuate,
    /// The domain stays in use, whatever is observed.
    Keep,
    /// Former orders are revoked, and the domain is restored.
    Restore,
}

impl OrderAction {
    /// Its name in operators' commands and pages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Evacuate => "leave",
            Self::Keep => "hold",
            Self::Restore => "return",
        }
    }
}

/// An operator's order. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The domain.
    pub subject: Subject,
    /// What is ordered.
    pub action: OrderAction,
    /// When it was given, in Unix milliseconds: the newest order holds.
    pub issued_ms: u64,
    /// When it ends, in Unix milliseconds.
    pub until_ms: u64,
    /// Drawn at random when it was given, to order two orders of one millisecond.
    pub id: u32,
}

/// The bytes are no orders.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("cannot decode orders")]
pub struct OrderError(#[from] PackedListError);

/// Why an order is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// A newer order for the domain, or the same one, is known.
    #[error("a newer order holds")]
    Superseded,
    /// Its time of issue is too far in the future: nobody could overrule it for long.
    #[error("the order's time of issue is too far in the future")]
    IssuedInFuture,
    /// It has ended already.
    #[error("the order has ended")]
    Expired,
    /// Too many other domains have orders.
    #[error("there are too many orders")]
    TooMany,
}

/// All orders that hold, the newest of each domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderTable {
    by_subject: BTreeMap<Subject, Order>,
}

impl OrderTable {
    /// Takes an order. It ends after 24 hours at the latest.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if the order is not newer than the known one, not
    /// valid, or one too many.
    pub fn submit(&mut self, now_ms: u64, order: Order) -> Result<(), SubmitError> {
        let until_ms = order
            .until_ms
            .min(order.issued_ms.saturating_add(MAX_VALIDITY_MS));
        let order = Order { until_ms, ..order };
        let age_of = |order: &Order| (order.issued_ms, order.id);
        let known = self.by_subject.get(&order.subject);
        if known.is_some_and(|known| age_of(known) >= age_of(&order)) {
            return Err(SubmitError::Superseded);
        }
        if order.issued_ms > now_ms.saturating_add(MAX_VALIDITY_MS) {
            return Err(SubmitError::IssuedInFuture);
        }
        if order.until_ms <= now_ms {
            return Err(SubmitError::Expired);
        }
        if known.is_none() && self.by_subject.len() >= MAX_ORDERS {
            return Err(SubmitError::TooMany);
        }
        self.by_subject.insert(order.subject, order);
        Ok(())
    }

    /// Removes the orders that have ended and returns whether there were any.
    pub fn remove_expired(&mut self, now_ms: u64) -> bool {
        let before = self.by_subject.len();
        self.by_subject.retain(|_, order| now_ms < order.until_ms);
        before != self.by_subject.len()
    }

    /// The order that holds for a domain.
    pub fn get(&self, subject: &Subject) -> Option<&Order> {
        self.by_subject.get(subject)
    }

    /// Encodes the orders that fit into `max_bytes`.
    pub fn encode(&self, max_bytes: usize) -> Vec<u8> {
        packed_list::encode(VERSION, self.by_subject.values(), max_bytes)
    }

    /// Decodes a list of orders.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no list of this version.
    pub fn decode(bytes: &[u8]) -> Result<Vec<Order>, OrderError> {
        Ok(packed_list::decode(VERSION, bytes, MAX_ORDERS)?)
    }

    /// Whether no order holds.
    pub fn is_empty(&self) -> bool {
        self.by_subject.is_empty()
    }
}
