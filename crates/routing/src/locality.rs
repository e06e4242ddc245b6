//! Region selection, which keeps a request in its home region unless that region is unhealthy or
//! overloaded.

/// Fraction of unhealthy upstreams from which a region is avoided.
const UNHEALTHY_REGION_FRACTION: f64 = 0.75;
/// Load at which a region's requests spill over to other regions.
const SPILLOVER_LOAD: f64 = 1.0;
/// Minimum number of healthy upstreams; a region with fewer is avoided.
const MIN_HEALTHY: usize = 1;

/// Health and load of one service's upstreams in one region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionLoad {
    /// Name of the region.
    pub region: String,
    /// Number of upstreams that the request may go to.
    pub upstreams: usize,
    /// Number of these upstreams that are healthy.
    pub healthy: usize,
    /// Ratio of requests in flight to capacity, estimated from the requests of this balancer.
    pub load: f64,
}

impl RegionLoad {
    /// Whether enough upstreams of the region are healthy.
    fn is_available(&self) -> bool {
        let unhealthy = 1.0 - self.healthy as f64 / self.upstreams.max(1) as f64;
        self.healthy >= MIN_HEALTHY && unhealthy < UNHEALTHY_REGION_FRACTION
    }

    fn is_overloaded(&self) -> bool {
        self.load >= SPILLOVER_LOAD
    }
}

/// Regions that a request may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Locality {
    /// The home region only.
    Home,
    /// All listed regions together.
    All(Vec<String>),
    /// One of the listed regions, drawn at random, because at least one other region was excluded.
    OneOf(Vec<String>),
}

impl Locality {
    /// Selects the regions for a request whose home region is `home`. `regions` describes every
    /// region that has upstreams for the request.
    ///
    /// The home region is used while it is available and not overloaded. Otherwise, unavailable
    /// regions and the most loaded of the overloaded regions are excluded. If no region remains,
    /// all regions are allowed.
    pub fn decide(home: &str, regions: &[RegionLoad]) -> Self {
        let is_usable_home =
            |load: &RegionLoad| load.region == home && load.is_available() && !load.is_overloaded();
        if regions.iter().any(is_usable_home) {
            return Self::Home;
        }
        let available: Vec<&RegionLoad> =
            regions.iter().filter(|load| load.is_available()).collect();
        let overloaded = available.iter().filter(|load| load.is_overloaded());
        let most_loaded = overloaded
            .max_by(|a, b| a.load.total_cmp(&b.load))
            .map(|load| &load.region);
        let remaining: Vec<String> = available
            .iter()
            .map(|load| &load.region)
            .filter(|region| Some(*region) != most_loaded)
            .cloned()
            .collect();
        let is_any_excluded = available.len() < regions.len() || most_loaded.is_some();
        match (remaining.is_empty(), is_any_excluded) {
            (true, _) => Self::All(regions.iter().map(|load| load.region.clone()).collect()),
            (false, true) => Self::OneOf(remaining),
            (false, false) => Self::All(remaining),
        }
    }
}
