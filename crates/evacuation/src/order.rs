//! Operators' orders. An order overrules the fleet's decision about a domain for a limited time. The
//! newest order for a domain applies.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;
use woadstall_health_reports::Subject;
use woadstall_health_reports::packed_list::{self, PackedListError};

/// The version of the wire format. It is raised when the meaning of the bytes changes.
const VERSION: u8 = 1;
/// The maximum number of domains that have an order at the same time.
const MAX_ORDERS: usize = 16;
/// The longest validity of an order, so that an order that its operator forgets ends by itself.
const MAX_VALIDITY: Duration = Duration::from_secs(24 * 3_600);
const MAX_VALIDITY_MS: u64 = MAX_VALIDITY.as_millis() as u64;

/// The action of an operator's order. The order of the variants is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OrderAction {
    /// The domain gets no new work.
    Evacuate,
    /// The domain keeps its full share regardless of its health reports.
    Keep,
    /// The domain is restored. The order replaces any earlier order for the domain.
    Restore,
}

impl OrderAction {
    /// Returns the name that operators use in commands and see on pages.
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
    /// The domain that the order is for. Zones and regions are identified without a tier, so that
    /// the order applies to all tiers.
    pub subject: Subject,
    /// The ordered action.
    pub action: OrderAction,
    /// The time at which the order was issued, in Unix milliseconds. The newest order for a domain
    /// applies.
    pub issued_ms: u64,
    /// The time at which the order expires, in Unix milliseconds.
    pub until_ms: u64,
    /// A random number drawn when the order is issued. Of two orders issued in the same millisecond,
    /// the one with the higher number applies.
    pub id: u32,
}

/// The bytes are not an encoded list of orders.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("cannot decode orders")]
pub struct OrderError(#[from] PackedListError);

/// The reason why an order is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// The order table already has this order or a newer one for the domain.
    #[error("the domain already has this order or a newer one")]
    Superseded,
    /// The order was issued more than 24 hours in the future. Until then, no other order could
    /// overrule it.
    #[error("the order was issued more than 24 hours in the future")]
    IssuedInFuture,
    /// The order has already expired.
    #[error("the order has expired")]
    Expired,
    /// The maximum number of other domains already have orders.
    #[error("too many domains have orders")]
    TooMany,
}

/// All orders in effect: the newest order for each domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderTable {
    by_subject: BTreeMap<Subject, Order>,
}

impl OrderTable {
    /// Adds an order. Its validity is limited to 24 hours.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the table unchanged, if the domain's current order is the same
    /// or newer, if the new order is not valid at `now_ms`, or if too many domains have orders.
    pub fn submit(&mut self, now_ms: u64, order: Order) -> Result<(), SubmitError> {
        let until_ms = order
            .until_ms
            .min(order.issued_ms.saturating_add(MAX_VALIDITY_MS));
        let order = Order { until_ms, ..order };
        let issue_key = |order: &Order| (order.issued_ms, order.id);
        let known = self.by_subject.get(&order.subject);
        if known.is_some_and(|known| issue_key(known) >= issue_key(&order)) {
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

    /// Removes expired orders and returns whether there were any.
    pub fn remove_expired(&mut self, now_ms: u64) -> bool {
        let before = self.by_subject.len();
        self.by_subject.retain(|_, order| now_ms < order.until_ms);
        before != self.by_subject.len()
    }

    /// Returns the order in effect for a domain.
    pub fn get(&self, subject: &Subject) -> Option<&Order> {
        self.by_subject.get(subject)
    }

    /// Encodes the leading orders, sorted by subject, that fit into `max_bytes`.
    pub fn encode(&self, max_bytes: usize) -> Vec<u8> {
        packed_list::encode(VERSION, self.by_subject.values(), max_bytes)
    }

    /// Decodes a list of orders.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are empty, of another version, or malformed.
    pub fn decode(bytes: &[u8]) -> Result<Vec<Order>, OrderError> {
        Ok(packed_list::decode(VERSION, bytes, MAX_ORDERS)?)
    }

    /// Returns whether no domain has an order.
    pub fn is_empty(&self) -> bool {
        self.by_subject.is_empty()
    }
}
