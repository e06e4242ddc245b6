//! Which regions a request may go to: its own, unless that region's health says otherwise.

/// The part of a region's upstreams that have tripped from which on it is left.
const BLACKOUT: f64 = 0.75;
/// Load, as requests under way over places, from which on a region spills.
const LOAD: f64 = 1.0;
/// Healthy upstreams below which a region is left.
const MINIMUM_HEALTHY: usize = 1;

/// How one region stands, for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionLoad {
    /// The region's name.
    pub region: String,
    /// Upstreams that may be used at all.
    pub upstreams: usize,
    /// Those of them that have not tripped.
    pub healthy: usize,
    /// Requests under way over places, estimated from this balancer's own.
    pub load: f64,
}

impl RegionLoad {
    fn tripped(&self) -> f64 {
        1.0 - self.healthy as f64 / self.upstreams.max(1) as f64
    }

    fn is_healthy(&self) -> bool {
        self.healthy >= MINIMUM_HEALTHY && self.tripped() < BLACKOUT && self.load < LOAD
    }
}

/// Which regions a request may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Locality {
    /// Its own region alone.
    Home,
    /// These regions together.
    All(Vec<String>),
    /// One of these, drawn at random: another one was dropped.
    OneOf(Vec<String>),
}

impl Locality {
    /// Decides for a request whose own region is `home`, among the regions that it may go to.
    pub fn decide(home: &str, regions: &[RegionLoad]) -> Self {
        if regions
            .iter()
            .any(|load| load.region == home && load.is_healthy())
        {
            return Self::Home;
        }
        let usable: Vec<&RegionLoad> = regions
            .iter()
            .filter(|load| load.healthy >= MINIMUM_HEALTHY && load.tripped() < BLACKOUT)
            .collect();
        let worst = usable
            .iter()
            .filter(|load| load.load >= LOAD)
            .max_by(|a, b| a.load.total_cmp(&b.load))
            .map(|load| load.region.clone());
        let dropped = usable.len() < regions.len() || worst.is_some();
        let others = usable.iter().map(|load| load.region.clone());
        let remaining: Vec<String> = others
            .filter(|region| Some(region) != worst.as_ref())
            .collect();
        match (remaining.is_empty(), dropped) {
            (true, _) => Self::All(regions.iter().map(|load| load.region.clone()).collect()),
            (false, true) => Self::OneOf(remaining),
            (false, false) => Self::All(remaining),
        }
    }
}
