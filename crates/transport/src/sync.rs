//! Locks.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks, also where a thread has panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
