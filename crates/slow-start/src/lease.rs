//! Leases: a sender cedes a part of its rate to another for a while. The lender does without it
//! from the grant on, until the borrower can no longer be using it, so that the rate never counts
//! twice.

use crate::settings::Settings;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use woadstall_decisions::api::{Duration, Time};

/// Lenders whose leases are known at a time; the smallest leases give way.
const MAX_LENDERS: usize = 64;
/// How long the number of an expired lease is kept to detect duplicates, in nanoseconds.
const DUPLICATE_RETENTION: Duration = 60_000_000_000;

/// A lease, as it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The borrower: a hash of its name and incarnation, so that a restarted process does not use
    /// the leases of its predecessor.
    pub borrower: u64,
    /// Rises with each lease of the lender. Of two leases the greater number counts, and duplicates
    /// are ignored.
    pub number: u32,
    /// The rate in requests a second.
    pub rate: f32,
}

/// A lease that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedLease<'a> {
    /// The lender.
    pub lender: u64,
    /// The lease.
    pub lease: &'a Lease,
    /// How long ago it was granted, in nanoseconds.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    lease: Lease,
    /// When the borrower stops using it.
    expires_at: Time,
    /// When the lender may use the rate again.
    reclaimed_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct BorrowedRate {
    number: u32,
    rate: f64,
    expires_at: Time,
}

/// The leases that a sender has granted and borrowed.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    granted: Vec<GrantedLease>,
    /// By lender.
    borrowed: BTreeMap<u64, BorrowedRate>,
    last_number: u32,
}

impl LeaseTable {
    /// Grants a rate in requests a second. The message that carries the lease must state its age.
    pub fn grant(&mut self, now: Time, borrower: u64, rate: f64, settings: &Settings) -> Lease {
        self.last_number = self.last_number.saturating_add(1);
        // The borrower must not read more than the lender does without.
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

    /// Accepts a lease from another sender; returns whether it is valid and new.
    pub fn accept(&mut self, now: Time, received: &ReceivedLease<'_>, settings: &Settings) -> bool {
        let ReceivedLease { lender, lease, age } = *received;
        let expires_at = now
            .saturating_sub(age)
            .saturating_add(settings.lease_duration);
        let rate = f64::from(lease.rate);
        if self.is_known(lender, lease.number)
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

    fn is_known(&self, lender: u64, number: u32) -> bool {
        let borrowed = self.borrowed.get(&lender);
        borrowed.is_some_and(|borrowed| borrowed.number >= number)
    }

    /// Removes the smallest lease if the table is full and the new rate is greater; returns whether
    /// there is capacity for it.
    fn ensure_capacity(&mut self, lender: u64, rate: f64) -> bool {
        if self.borrowed.len() < MAX_LENDERS || self.borrowed.contains_key(&lender) {
            return true;
        }
        let smallest = self
            .borrowed
            .iter()
            .min_by(|a, b| a.1.rate.total_cmp(&b.1.rate));
        let Some((&smallest, _)) = smallest.filter(|(_, borrowed)| borrowed.rate < rate) else {
            return false;
        };
        self.borrowed.remove(&smallest);
        true
    }

    /// Removes leases that have expired.
    pub fn expire(&mut self, now: Time) {
        self.granted.retain(|granted| now < granted.reclaimed_at);
        self.borrowed
            .retain(|_, borrowed| now < borrowed.expires_at.saturating_add(DUPLICATE_RETENTION));
    }

    /// The rate in requests a second that this sender does without.
    pub fn granted_rate(&self, now: Time) -> f64 {
        let active = self
            .granted
            .iter()
            .filter(|granted| now < granted.reclaimed_at);
        active.map(|granted| f64::from(granted.lease.rate)).sum()
    }

    /// The rate in requests a second that this sender borrows.
    pub fn borrowed_rate(&self, now: Time) -> f64 {
        let active = self
            .borrowed
            .values()
            .filter(|borrowed| now < borrowed.expires_at);
        active.map(|borrowed| borrowed.rate).sum()
    }

    /// The leases to send: those that their borrowers may still use, the latest to each.
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
