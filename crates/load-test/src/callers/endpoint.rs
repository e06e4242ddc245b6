//! A balancer as its callers see it, and the choice of one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A balancer as its callers see it.
#[derive(Clone)]
pub struct BalancerEndpoint {
    /// Where it is called.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: u8,
    /// Whether it may be called.
    pub open: Arc<AtomicBool>,
}

impl BalancerEndpoint {
    /// A balancer that may be called.
    pub fn new(address: SocketAddr, zone: u8) -> Self {
        Self {
            address,
            zone,
            open: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Whether it may be called.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Relaxed)
    }

    /// Whether it may be called from now on.
    pub fn set_open(&self, open: bool) {
        self.open.store(open, Ordering::Relaxed);
    }

    /// Its zone, while it may be called.
    pub fn open_zone(&self) -> Option<u8> {
        self.is_open().then_some(self.zone)
    }
}

/// Chooses one of a zone, or of the next zone that has any. The lower half of `draw` decides which.
pub fn choose_in_zone<T>(
    all: &[T],
    zones: usize,
    zone: u8,
    draw: u64,
    zone_of: impl Fn(&T) -> Option<u8>,
) -> Option<&T> {
    (0..zones).find_map(|step| {
        let zone = (usize::from(zone) + step) % zones;
        let in_zone: Vec<&T> = all
            .iter()
            .filter(|one| zone_of(one).map(usize::from) == Some(zone))
            .collect();
        let index = draw as u32 as usize % in_zone.len().max(1);
        in_zone.get(index).copied()
    })
}
