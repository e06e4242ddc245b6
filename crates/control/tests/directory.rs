//! Tests of the selection of balancers for clients. Near balancers come first, and requests
//! restricted to regions are not sent elsewhere as long as a balancer may serve them.

mod support;

use rstest::rstest;
use serde_json::json;
use support::{MachineBuilder, persist_all};
use woadstall_control::balancers::BalancerHeartbeat;
use woadstall_control::command::Command;
use woadstall_control::machine::{ControlMachine, ResolveRequest};

/// Returns the leader of a single-machine group in a deployment of three regions with one zone
/// each.
fn machine() -> ControlMachine {
    let zones = [
        ("north-zone", "north"),
        ("east-zone", "east"),
        ("south-zone", "south"),
    ];
    let mut machine = MachineBuilder::new()
        .zones(&zones)
        .founders(1)
        .tolerated_failures(0)
        .build();
    for now in (0..2_000).step_by(50) {
        machine.tick(now);
        persist_all(&mut machine, now);
    }
    machine
}

/// Puts a configuration in force at 2,000 ms. It has one restricted route of the host `restricted`
/// per element of `allowed`, which lists the route's regions separated by spaces, and one
/// unrestricted route each of the hosts `unrestricted` and `restricted`.
fn configure(machine: &mut ControlMachine, allowed: &[&str]) {
    let route = |number: usize, host: &str, regions: Vec<&str>| {
        json!({
            "name": format!("r{number}"), "host": host, "path_prefix": format!("/{number}/"), "route_type": "safe",
            "timeout_ms": 1_000, "service": "s", "allowed_regions": regions,
        })
    };
    let restricted = allowed
        .iter()
        .enumerate()
        .map(|(number, regions)| route(number, "restricted", regions.split(' ').collect()));
    let routes: Vec<_> = restricted
        .chain([
            route(99, "unrestricted", Vec::new()),
            route(98, "restricted", Vec::new()),
        ])
        .collect();
    let document = json!({ "generation": 1, "services": [{ "name": "s" }], "routes": routes });
    machine.submit_command(
        2_000,
        1,
        Command::Put {
            base: 0,
            body: serde_json::to_vec(&document).unwrap(),
        },
    );
    persist_all(machine, 2_000);
    assert_eq!(machine.state().generation(), 1);
}

fn receive_heartbeat(machine: &mut ControlMachine, now: u64, region: &str, ready: bool) {
    machine.receive_heartbeat(
        now,
        BalancerHeartbeat {
            name: format!("front-{region}"),
            incarnation: 1,
            sequence: now,
            address: region.to_owned(),
            zone: format!("{region}-zone"),
            ready,
        },
    );
}

/// Returns the regions of the balancers that a client gets.
fn resolved(machine: &ControlMachine, host: &str, region: &str) -> Vec<String> {
    let request = ResolveRequest {
        client: "10.9.0.1".to_owned(),
        host: host.to_owned(),
        zone: format!("{region}-zone"),
        region: region.to_owned(),
    };
    let mut addresses = machine.resolve(&request).addresses;
    addresses.sort();
    addresses
}

#[rstest]
#[case::one_other_region(&["north"], "east", &["north"])]
#[case::own_region_and_another(&["north east"], "east", &["north"])]
#[case::region_common_to_all_routes(&["north south", "south"], "east", &["south"])]
#[case::no_common_region(&["north", "south"], "east", &["north", "south"])]
#[case::no_restricted_route(&[], "east", &["north", "south"])]
#[case::ready_balancer_in_own_region(&["north"], "south", &["south"])]
fn a_client_without_a_balancer_in_its_region_is_sent_to_the_allowed_regions(
    #[case] allowed: &[&str],
    #[case] region: &str,
    #[case] expected: &[&str],
) {
    let mut machine = machine();
    configure(&mut machine, allowed);
    receive_heartbeat(&mut machine, 2_100, "north", true);
    receive_heartbeat(&mut machine, 2_100, "south", true);
    // The only balancer in the region `east` is shutting down.
    receive_heartbeat(&mut machine, 2_100, "east", false);
    assert_eq!(resolved(&machine, "restricted", region), expected);
}

#[rstest]
#[case::unrestricted_host("unrestricted")]
#[case::unknown_host("unknown.example")]
fn an_unrestricted_client_without_a_balancer_in_its_region_gets_all(#[case] host: &str) {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    receive_heartbeat(&mut machine, 2_100, "north", true);
    receive_heartbeat(&mut machine, 2_100, "south", true);
    assert_eq!(resolved(&machine, host, "east"), ["north", "south"]);
}

#[test]
fn a_restricted_client_is_sent_to_any_balancer_when_no_other_is_left() {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    receive_heartbeat(&mut machine, 2_100, "south", true);
    assert_eq!(resolved(&machine, "restricted", "east"), ["south"]);
}

#[test]
fn a_client_is_sent_elsewhere_while_the_balancer_of_its_region_is_unavailable() {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    receive_heartbeat(&mut machine, 2_100, "north", true);
    receive_heartbeat(&mut machine, 2_100, "east", false);
    assert_eq!(resolved(&machine, "restricted", "east"), ["north"]);
    receive_heartbeat(&mut machine, 2_200, "east", true);
    assert_eq!(resolved(&machine, "restricted", "east"), ["east"]);
    receive_heartbeat(&mut machine, 3_250, "north", true);
    machine.tick(3_350);
    assert_eq!(
        resolved(&machine, "restricted", "east"),
        ["north"],
        "the balancer in the region has timed out after 1.1 s"
    );
}

#[test]
fn without_a_configuration_clients_are_sent_to_the_nearest_balancers() {
    let mut machine = machine();
    receive_heartbeat(&mut machine, 2_100, "north", true);
    receive_heartbeat(&mut machine, 2_100, "south", true);
    assert_eq!(resolved(&machine, "restricted", "south"), ["south"]);
    assert_eq!(resolved(&machine, "restricted", "east"), ["north", "south"]);
}

#[test]
fn a_restricted_client_is_sent_to_a_stopping_balancer_before_one_outside_its_regions() {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    for region in ["north", "east", "south"] {
        receive_heartbeat(&mut machine, 2_100, region, true);
    }
    // The balancers of both regions shut down one after the other. The second shutdown begins while
    // the first balancer still accepts clients.
    receive_heartbeat(&mut machine, 2_500, "north", false);
    receive_heartbeat(&mut machine, 3_000, "east", false);
    receive_heartbeat(&mut machine, 3_000, "south", true);
    receive_heartbeat(&mut machine, 3_100, "north", false);
    assert_eq!(resolved(&machine, "restricted", "east"), ["east", "north"]);
    assert_eq!(
        resolved(&machine, "unrestricted", "east"),
        ["south"],
        "an unrestricted client is sent to a ready balancer"
    );
    // The balancers that shut down have stopped accepting clients.
    receive_heartbeat(&mut machine, 5_500, "north", false);
    receive_heartbeat(&mut machine, 5_500, "east", false);
    receive_heartbeat(&mut machine, 5_500, "south", true);
    assert_eq!(resolved(&machine, "restricted", "east"), ["south"]);
}

#[test]
fn a_starting_balancer_is_not_treated_as_stopping() {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    receive_heartbeat(&mut machine, 2_100, "south", true);
    receive_heartbeat(&mut machine, 2_100, "north", false);
    assert_eq!(resolved(&machine, "restricted", "east"), ["south"]);
}
