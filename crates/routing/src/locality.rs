//! Region selection: a request stays in its home region unless that region's health says otherwise.

/// The fraction of a region's upstreams that are unhealthy from which on the region is avoided.
const BLACKOUT_FRACTION: f64 = 0.75;
/// The load from which on a region spills over to others.
const SPILLOVER_LOAD: f64 = 1.0;
/// The number of healthy upstreams below which a region is avoided.
const MIN_HEALTHY: usize = 1;

/// The state of one region's upstreams of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionLoad {
    /// The region's name.
    pub region: String,
    /// Upstreams that the request may go to.
    pub upstreams: usize,
    /// How many of them are healthy.
    pub healthy: usize,
    /// Requests in flight over capacity, estimated from this balancer's own requests.
    pub load: f64,
}

impl RegionLoad {
    /// Whether enough of its upstreams are healthy.
    fn is_available(&self) -> bool {
        let unhealthy = 1.0 - self.healthy as f64 / self.upstreams.max(1) as f64;
        self.healthy >= MIN_HEALTHY && unhealthy < BLACKOUT_FRACTION
    }

    fn is_overloaded(&self) -> bool {
        self.load >= SPILLOVER_LOAD
    }
}

/// The regions that a request may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Locality {
    /// Its home region alone.
    Home,
    /// These regions together.
    All(Vec<String>),
    /// One of these regions, drawn at random, since another one was dropped.
    OneOf(Vec<String>),
}

impl Locality {
    /// Decides for a request whose home region is `home`, among the `regions` that have upstreams
    /// for it.
    ///
    /// The home region is kept while it is available and has capacity. Otherwise unavailable
    /// regions are dropped, and so is the most loaded of the overloaded ones; where that leaves
    /// nothing, all regions are allowed.
    pub fn decide(home: &str, regions: &[RegionLoad]) -> Self {
        let is_sound_home =
            |load: &RegionLoad| load.region == home && load.is_available() && !load.is_overloaded();
        if regions.iter().any(is_sound_home) {
            return Self::Home;
        }
        let available: Vec<&RegionLoad> =
            regions.iter().filter(|load| load.is_available()).collect();
        let overloaded = available.iter().filter(|load| load.is_overloaded());
        let worst = overloaded
            .max_by(|a, b| a.load.total_cmp(&b.load))
            .map(|load| &load.region);
        let remaining: Vec<String> = available
            .iter()
            .map(|load| &load.region)
            .filter(|region| Some(*region) != worst)
            .cloned()
            .collect();
        let is_any_dropped = available.len() < regions.len() || worst.is_some();
        match (remaining.is_empty(), is_any_dropped) {
            (true, _) => Self::All(regions.iter().map(|load| load.region.clone()).collect()),
            (false, true) => Self::OneOf(remaining),
            (false, false) => Self::All(remaining),
        }
    }
}
