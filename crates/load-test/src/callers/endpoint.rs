//! Balancer endpoints, and the choice of an endpoint by zone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The endpoint of a balancer daemon as known to callers.
#[derive(Clone)]
pub struct BalancerEndpoint {
    /// Address of the balancer.
    pub address: SocketAddr,
    /// Index of the balancer's zone.
    pub zone: u8,
    /// Whether callers may use the balancer.
    pub open: Arc<AtomicBool>,
}

impl BalancerEndpoint {
    /// Creates an endpoint that callers may use.
    pub fn new(address: SocketAddr, zone: u8) -> Self {
        Self {
            address,
            zone,
            open: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Returns whether callers may use the balancer.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Relaxed)
    }

    /// Sets whether callers may use the balancer.
    pub fn set_open(&self, open: bool) {
        self.open.store(open, Ordering::Relaxed);
    }

    /// Returns the balancer's zone, or `None` if callers may not use the balancer.
    pub fn open_zone(&self) -> Option<u8> {
        self.is_open().then_some(self.zone)
    }
}

/// Chooses an item of `zone`, or of the next of the `zone_count` zones with any items. The lower 32 bits of the random
/// number `draw` select the item within the zone.
pub fn choose_in_zone<T>(
    items: &[T],
    zone_count: usize,
    zone: u8,
    draw: u64,
    zone_of: impl Fn(&T) -> Option<u8>,
) -> Option<&T> {
    (0..zone_count).find_map(|step| {
        let zone = (usize::from(zone) + step) % zone_count;
        let in_zone: Vec<&T> = items
            .iter()
            .filter(|item| zone_of(item).map(usize::from) == Some(zone))
            .collect();
        let index = draw as u32 as usize % in_zone.len().max(1);
        in_zone.get(index).copied()
    })
}
