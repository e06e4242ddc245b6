//! Retry budget: limits retries to a fraction of the requests.

use crate::tuning::{RETRY_BUDGET_CAP, RETRY_DEPOSIT};

/// A token bucket to which requests add and from which retries take.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    /// Balance, in retries; at most [`RETRY_BUDGET_CAP`].
    balance: f64,
}

impl RetryBudget {
    pub fn full() -> Self {
        Self {
            balance: RETRY_BUDGET_CAP,
        }
    }

    /// Adds the deposit of one request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRY_DEPOSIT).min(RETRY_BUDGET_CAP);
    }

    /// Takes the cost of a retry from the budget. Returns false and takes nothing if the balance is
    /// too low.
    pub fn withdraw(&mut self, cost: f64) -> bool {
        let is_granted = self.balance >= cost;
        self.balance -= if is_granted { cost } else { 0.0 };
        is_granted
    }
}
