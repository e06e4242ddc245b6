//! Health evidence of the fleet: the share of traffic that it leaves zones, classes and servers.

use crate::api::{FailureDomain, HealthVerdict, ZoneId};
use crate::balancer::Balancer;
use crate::state::{ServerIndex, TrafficShare};

impl Balancer {
    /// Applies health verdicts. Verdicts on unknown zones, classes or servers are ignored.
    pub(crate) fn on_health_verdicts(&mut self, verdicts: &[HealthVerdict]) {
        for verdict in verdicts {
            let share = f64::from(verdict.share).clamp(0.0, 1.0);
            let share = TrafficShare {
                share,
                expires_at: verdict.until,
            };
            match verdict.domain {
                FailureDomain::Zone(zone, class) => self.set_zone_share(zone, class, share),
                FailureDomain::Server(id) => {
                    if let Some(&index) = self.server_indices.get(&id) {
                        self.servers[index].traffic_share = share;
                    }
                }
            }
        }
    }

    fn set_zone_share(&mut self, zone: ZoneId, class: Option<usize>, share: TrafficShare) {
        let (zone, classes) = (usize::from(zone.0), self.settings.classes.len());
        if zone >= self.settings.zones {
            return;
        }
        let pool = &mut self.pools[zone];
        match class {
            None => pool.traffic_share = share,
            Some(class) if class < classes => {
                pool.class_traffic_shares
                    .resize(classes, TrafficShare::default());
                pool.class_traffic_shares[class] = share;
            }
            Some(_) => {}
        }
    }

    /// Share of its usual traffic that the health evidence leaves a server, from 0 to 1.
    pub(crate) fn traffic_share_of_server(&self, index: ServerIndex) -> f64 {
        self.servers[index].traffic_share.get(self.now)
    }
}
