//! Which balancers clients are sent to: near ones first, and never out of the regions that their
//! requests are restricted to.

mod support;

use rstest::rstest;
use serde_json::json;
use support::{MachineBuilder, persist_all};
use woadstall_control::balancers::BalancerHeartbeat;
use woadstall_control::command::Command;
use woadstall_control::machine::{ControlMachine, ResolveRequest};

/// A machine that leads a group of one, in a deployment of three regions with one zone each.
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

/// Routes of the hosts `bound` (each restricted to the regions that one text lists) and `free`, in
/// force from 2,000 ms on.
fn configure(machine: &mut ControlMachine, allowed: &[&str]) {
    let route = |number: usize, host: &str, regions: Vec<&str>| {
        json!({
            "name": format!("r{number}"), "host": host, "path_prefix": format!("/{number}/"), "route_type": "safe",
            "timeout_ms": 1_000, "service": "s", "allowed_regions": regions,
        })
    };
    let bound = allowed
        .iter()
        .enumerate()
        .map(|(number, regions)| route(number, "bound", regions.split(' ').collect()));
    let routes: Vec<_> = bound
        .chain([
            route(99, "free", Vec::new()),
            route(98, "bound", Vec::new()),
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

fn receive(machine: &mut ControlMachine, now: u64, region: &str, ready: bool) {
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

/// The regions to whose balancers a client is sent.
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
#[case::bound_to_one_other(&["north"], "east", &["north"])]
#[case::bound_to_its_own_and_another(&["north east"], "east", &["north"])]
#[case::what_all_routes_have_in_common(&["north south", "south"], "east", &["south"])]
#[case::nothing_in_common(&["north", "south"], "east", &["north", "south"])]
#[case::no_route_is_bound(&[], "east", &["north", "south"])]
#[case::its_own_balancer_is_there(&["north"], "south", &["south"])]
fn a_client_whose_region_has_no_ready_balancer_is_sent_where_its_requests_may_be_served(
    #[case] allowed: &[&str],
    #[case] region: &str,
    #[case] expected: &[&str],
) {
    let mut machine = machine();
    configure(&mut machine, allowed);
    receive(&mut machine, 2_100, "north", true);
    receive(&mut machine, 2_100, "south", true);
    // The only balancer of its region is stopping.
    receive(&mut machine, 2_100, "east", false);
    assert_eq!(resolved(&machine, "bound", region), expected);
}

#[rstest]
#[case::a_free_host("free")]
#[case::an_unknown_host("nobody.example")]
fn an_unrestricted_client_is_sent_anywhere_when_its_region_has_none(#[case] host: &str) {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    receive(&mut machine, 2_100, "north", true);
    receive(&mut machine, 2_100, "south", true);
    assert_eq!(resolved(&machine, host, "east"), ["north", "south"]);
}

#[test]
fn a_restricted_client_is_sent_to_any_balancer_when_no_other_is_left() {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    receive(&mut machine, 2_100, "south", true);
    assert_eq!(resolved(&machine, "bound", "east"), ["south"]);
}

#[test]
fn restarts_and_time_outs_of_balancers_are_followed() {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    receive(&mut machine, 2_100, "north", true);
    receive(&mut machine, 2_100, "east", false);
    assert_eq!(resolved(&machine, "bound", "east"), ["north"]);
    receive(&mut machine, 2_200, "east", true);
    assert_eq!(resolved(&machine, "bound", "east"), ["east"]);
    receive(&mut machine, 3_250, "north", true);
    machine.tick(3_350);
    assert_eq!(
        resolved(&machine, "bound", "east"),
        ["north"],
        "it has timed out after 1.1 s"
    );
}

#[test]
fn without_a_configuration_clients_are_sent_to_the_nearest() {
    let mut machine = machine();
    receive(&mut machine, 2_100, "north", true);
    receive(&mut machine, 2_100, "south", true);
    assert_eq!(resolved(&machine, "bound", "south"), ["south"]);
    assert_eq!(resolved(&machine, "bound", "east"), ["north", "south"]);
}

#[test]
fn a_restricted_client_is_sent_to_a_stopping_balancer_before_one_outside_its_regions() {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    for region in ["north", "east", "south"] {
        receive(&mut machine, 2_100, region, true);
    }
    // Balancers of both regions shut down one after the other, each while the one before it is
    // still stopping.
    receive(&mut machine, 2_500, "north", false);
    receive(&mut machine, 3_000, "east", false);
    receive(&mut machine, 3_000, "south", true);
    receive(&mut machine, 3_100, "north", false);
    assert_eq!(resolved(&machine, "bound", "east"), ["east", "north"]);
    assert_eq!(
        resolved(&machine, "free", "east"),
        ["south"],
        "others go to a ready one"
    );
    // They accept no clients any more.
    receive(&mut machine, 5_500, "north", false);
    receive(&mut machine, 5_500, "east", false);
    receive(&mut machine, 5_500, "south", true);
    assert_eq!(resolved(&machine, "bound", "east"), ["south"]);
}

#[test]
fn a_starting_balancer_is_not_taken_for_a_stopping_one() {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    receive(&mut machine, 2_100, "south", true);
    receive(&mut machine, 2_100, "north", false);
    assert_eq!(resolved(&machine, "bound", "east"), ["south"]);
}
