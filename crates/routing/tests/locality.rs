//! Tests of region selection.

use rstest::rstest;
use woadstall_routing::{Locality, RegionLoad};

fn region(name: &str, upstreams: usize, healthy: usize, load: f64) -> RegionLoad {
    RegionLoad {
        region: name.to_owned(),
        upstreams,
        healthy,
        load,
    }
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[rstest]
#[case::healthy(region("a", 4, 4, 0.5), Locality::Home)]
#[case::some_unhealthy(region("a", 4, 2, 0.5), Locality::Home)]
#[case::mostly_unhealthy(region("a", 4, 1, 0.5), Locality::OneOf(names(&["b", "c"])))]
#[case::none_healthy(region("a", 4, 0, 0.0), Locality::OneOf(names(&["b", "c"])))]
#[case::overloaded(region("a", 4, 4, 1.2), Locality::OneOf(names(&["b", "c"])))]
fn the_home_region_is_avoided_only_if_it_is_unhealthy_or_overloaded(
    #[case] home: RegionLoad,
    #[case] expected: Locality,
) {
    let regions = [home, region("b", 3, 3, 0.4), region("c", 2, 2, 0.1)];
    assert_eq!(Locality::decide("a", &regions), expected);
}

#[test]
fn the_most_overloaded_region_is_dropped() {
    let regions = [
        region("a", 4, 4, 1.5),
        region("b", 3, 3, 2.0),
        region("c", 2, 2, 1.1),
    ];
    assert_eq!(
        Locality::decide("a", &regions),
        Locality::OneOf(names(&["a", "c"]))
    );
}

#[test]
fn all_regions_are_allowed_where_none_is_available() {
    let regions = [region("a", 4, 0, 0.0), region("b", 3, 0, 0.0)];
    assert_eq!(
        Locality::decide("a", &regions),
        Locality::All(names(&["a", "b"]))
    );
}
