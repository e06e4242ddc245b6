//! Leases, with which a sender cedes a part of its rate to another sender for a limited time.
//!
//! The lender does not use the leased rate from the grant until the borrower can no longer use it,
//! so that the rate never counts twice.

use crate::settings::Settings;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use woadstall_decisions::api::{Duration, Time};

/// Maximum number of lenders whose leases are kept. The smallest lease is dropped first.
const MAX_LENDERS: usize = 64;
/// How long the number of an expired lease is kept to detect duplicates, in nanoseconds.
const DUPLICATE_RETENTION_NS: Duration = 60_000_000_000;

/// A lease in the form in which it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the borrower: a hash of its name and incarnation, so that a restarted process does not
    /// use the leases of its predecessor.
    pub borrower: u64,
    /// Sequence number of the lease, which increases with each lease of the lender. A borrower
    /// accepts a lease only if its number is higher than that of the last accepted lease of the
    /// lender, which rejects duplicates.
    pub number: u32,
    /// Leased rate in requests per second.
    pub rate: f32,
}

/// A received lease.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedLease<'a> {
    /// Id of the lender.
    pub lender: u64,
    /// The lease as it was sent.
    pub lease: &'a Lease,
    /// Time since the lease was granted, in nanoseconds.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    lease: Lease,
    /// Time at which the borrower stops using the lease.
    expires_at: Time,
    /// Time from which the lender may use the rate again.
    reclaimed_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct BorrowedRate {
    number: u32,
    rate: f64,
    expires_at: Time,
}

/// Leases that a sender has granted and borrowed.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    granted: Vec<GrantedLease>,
    /// Newest accepted lease by lender, including expired leases that are kept to detect
    /// duplicates.
    borrowed: BTreeMap<u64, BorrowedRate>,
    last_number: u32,
}

impl LeaseTable {
    /// Grants a lease of a rate in requests per second. The message that carries the lease must
    /// state its age.
    pub fn grant(&mut self, now: Time, borrower: u64, rate: f64, settings: &Settings) -> Lease {
        self.last_number = self.last_number.saturating_add(1);
        // Rounding to `f32` must not give the borrower a higher rate than the lender cedes.
        let rate = (rate as f32).next_down().max(0.0);
        let lease = Lease {
            borrower,
            number: self.last_number,
            rate,
        };
        let expires_at = now.saturating_add(settings.lease_duration);
        let reclaimed_at = expires_at.saturating_add(settings.lease_margin);
        self.granted.push(GrantedLease {
            lease,
            expires_at,
            reclaimed_at,
        });
        lease
    }

    /// Accepts a lease from another sender, and returns whether the lease is valid and new.
    pub fn accept(&mut self, now: Time, received: &ReceivedLease<'_>, settings: &Settings) -> bool {
        let ReceivedLease { lender, lease, age } = *received;
        let expires_at = now
            .saturating_sub(age)
            .saturating_add(settings.lease_duration);
        let rate = f64::from(lease.rate);
        if self.is_stale(lender, lease.number)
            || now >= expires_at
            || !rate.is_finite()
            || rate <= 0.0
        {
            return false;
        }
        self.expire(now);
        if !self.ensure_capacity(lender, rate) {
            return false;
        }
        let borrowed = BorrowedRate {
            number: lease.number,
            rate,
            expires_at,
        };
        self.borrowed.insert(lender, borrowed);
        true
    }

    /// Whether the lease is a duplicate of, or older than, the last accepted lease of the lender.
    fn is_stale(&self, lender: u64, number: u32) -> bool {
        let borrowed = self.borrowed.get(&lender);
        borrowed.is_some_and(|borrowed| borrowed.number >= number)
    }

    /// Makes room for a lease of `rate` from `lender`, and returns whether there is room. If the
    /// table is full, the smallest lease is removed if its rate is lower.
    fn ensure_capacity(&mut self, lender: u64, rate: f64) -> bool {
        if self.borrowed.len() < MAX_LENDERS || self.borrowed.contains_key(&lender) {
            return true;
        }
        let smallest = self
            .borrowed
            .iter()
            .min_by(|(_, a), (_, b)| a.rate.total_cmp(&b.rate));
        let Some((&smallest, _)) = smallest.filter(|(_, borrowed)| borrowed.rate < rate) else {
            return false;
        };
        self.borrowed.remove(&smallest);
        true
    }

    /// Removes granted leases that are reclaimed, and borrowed leases whose numbers are no longer
    /// needed to detect duplicates.
    pub fn expire(&mut self, now: Time) {
        self.granted.retain(|granted| now < granted.reclaimed_at);
        self.borrowed
            .retain(|_, borrowed| now < borrowed.expires_at.saturating_add(DUPLICATE_RETENTION_NS));
    }

    /// Returns the rate that this sender has leased to others and must not use itself, in requests
    /// per second.
    pub fn granted_rate(&self, now: Time) -> f64 {
        let active = self
            .granted
            .iter()
            .filter(|granted| now < granted.reclaimed_at);
        active.map(|granted| f64::from(granted.lease.rate)).sum()
    }

    /// Returns the rate that this sender borrows, in requests per second.
    pub fn borrowed_rate(&self, now: Time) -> f64 {
        let active = self
            .borrowed
            .values()
            .filter(|borrowed| now < borrowed.expires_at);
        active.map(|borrowed| borrowed.rate).sum()
    }

    /// Returns the leases to include in a report: for each borrower, the latest lease that it may
    /// still use.
    pub fn active_grants(&self, now: Time) -> Vec<Lease> {
        let mut latest: BTreeMap<u64, Lease> = BTreeMap::new();
        for granted in self
            .granted
            .iter()
            .filter(|granted| now < granted.expires_at)
        {
            latest.insert(granted.lease.borrower, granted.lease);
        }
        latest.into_values().collect()
    }
}
