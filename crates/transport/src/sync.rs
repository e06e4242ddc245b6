//! Locking of mutexes.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, including one poisoned by a panic in another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
