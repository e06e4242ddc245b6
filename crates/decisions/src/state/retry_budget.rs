//! The budget that bounds retries.

use crate::tuning::{RETRY_BUDGET_CAP, RETRY_DEPOSIT};

/// A budget that requests add to and retries take from.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    /// In retries.
    balance: f64,
}

impl RetryBudget {
    pub fn full() -> Self {
        Self {
            balance: RETRY_BUDGET_CAP,
        }
    }

    /// Adds what a request earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRY_DEPOSIT).min(RETRY_BUDGET_CAP);
    }

    /// Takes the price of a retry, if there is as much.
    pub fn withdraw(&mut self, price: f64) -> bool {
        let is_granted = self.balance >= price;
        self.balance -= if is_granted { price } else { 0.0 };
        is_granted
    }
}
