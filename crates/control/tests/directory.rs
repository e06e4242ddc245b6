//! Where clients are sent: near balancers first, and never out of the regions that their requests are bound to.

use rstest::rstest;
use serde_json::json;
use std::collections::BTreeMap;
use woadstall_consensus::{DurableState, Member};
use woadstall_control::balancers::BalancerHeartbeat;
use woadstall_control::command::Command;
use woadstall_control::machine::{
    Action, ControlMachine, MachineSettings, ResolveRequest, founding_snapshot,
};
use woadstall_control::wire::MachineInfo;

const ADDRESS: &str = "10.0.0.1:7720";

/// A machine that leads a group of one, in a deployment of three regions with one zone each.
fn machine() -> ControlMachine {
    let member = Member {
        id: 1,
        address: ADDRESS.to_owned(),
    };
    let zones =
        ["north", "east", "south"].map(|region| (format!("{region}-zone"), region.to_owned()));
    let settings = MachineSettings {
        machine: MachineInfo {
            member: member.clone(),
            zone: "north-zone".to_owned(),
            region: "north".to_owned(),
            control: String::new(),
        },
        seeds: vec![ADDRESS.to_owned()],
        zones: BTreeMap::from(zones),
        heartbeat_ms: 1_200,
        tolerated: 0,
        incarnation: 1,
    };
    let mut machine = ControlMachine::new(
        settings,
        DurableState::new(1, founding_snapshot(&[member])),
        0,
        1,
    );
    for now in (0..2_000).step_by(50) {
        machine.tick(now);
        sync(&mut machine, now);
    }
    machine
}

fn sync(machine: &mut ControlMachine, now: u64) {
    for action in machine.take_actions() {
        if let Action::Persist { sequence, .. } = action {
            machine.persisted(now, sequence);
        }
    }
}

/// Routes of the hosts `bound` (each bound to the regions of one text) and `free`, in force from 2,000 ms on.
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
    sync(machine, 2_000);
    assert_eq!(machine.state().generation(), 1);
}

fn hear(machine: &mut ControlMachine, now: u64, region: &str, ready: bool) {
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

/// The regions whose balancers a client is named.
fn named(machine: &ControlMachine, host: &str, region: &str) -> Vec<String> {
    let question = ResolveRequest {
        client: "10.9.0.1".to_owned(),
        host: host.to_owned(),
        zone: format!("{region}-zone"),
        region: region.to_owned(),
    };
    let mut addresses = machine.resolve(&question).addresses;
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
fn a_client_whose_region_has_no_ready_balancer_goes_where_its_requests_may_go(
    #[case] allowed: &[&str],
    #[case] region: &str,
    #[case] expected: &[&str],
) {
    let mut machine = machine();
    configure(&mut machine, allowed);
    hear(&mut machine, 2_100, "north", true);
    hear(&mut machine, 2_100, "south", true);
    // The only balancer of its region is being stopped.
    hear(&mut machine, 2_100, "east", false);
    assert_eq!(named(&machine, "bound", region), expected);
}

#[rstest]
#[case::a_free_host("free")]
#[case::an_unknown_host("nobody.example")]
fn a_client_that_is_not_bound_goes_anywhere_when_its_region_has_none(#[case] host: &str) {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    hear(&mut machine, 2_100, "north", true);
    hear(&mut machine, 2_100, "south", true);
    assert_eq!(named(&machine, host, "east"), ["north", "south"]);
}

#[test]
fn a_bound_client_is_named_any_balancer_when_nothing_else_is_left() {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    hear(&mut machine, 2_100, "south", true);
    assert_eq!(named(&machine, "bound", "east"), ["south"]);
}

#[test]
fn a_balancer_that_starts_again_and_one_that_falls_silent_are_followed() {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    hear(&mut machine, 2_100, "north", true);
    hear(&mut machine, 2_100, "east", false);
    assert_eq!(named(&machine, "bound", "east"), ["north"]);
    hear(&mut machine, 2_200, "east", true);
    assert_eq!(named(&machine, "bound", "east"), ["east"]);
    hear(&mut machine, 3_250, "north", true);
    machine.tick(3_350);
    assert_eq!(
        named(&machine, "bound", "east"),
        ["north"],
        "nothing was heard of it for 1.1 s"
    );
}

#[test]
fn without_a_configuration_the_nearest_are_named() {
    let mut machine = machine();
    hear(&mut machine, 2_100, "north", true);
    hear(&mut machine, 2_100, "south", true);
    assert_eq!(named(&machine, "bound", "south"), ["south"]);
    assert_eq!(named(&machine, "bound", "east"), ["north", "south"]);
}

#[test]
fn a_bound_client_goes_to_a_balancer_that_is_being_stopped_before_it_leaves_its_routes_regions() {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    for region in ["north", "east", "south"] {
        hear(&mut machine, 2_100, region, true);
    }
    // Machines of both regions are stopped one after the other, each while the one before it is still ending.
    hear(&mut machine, 2_500, "north", false);
    hear(&mut machine, 3_000, "east", false);
    hear(&mut machine, 3_000, "south", true);
    hear(&mut machine, 3_100, "north", false);
    assert_eq!(named(&machine, "bound", "east"), ["east", "north"]);
    assert_eq!(
        named(&machine, "free", "east"),
        ["south"],
        "others go where it is ready"
    );
    // They take nobody any more, and one that starts has nothing to go by yet.
    hear(&mut machine, 5_500, "north", false);
    hear(&mut machine, 5_500, "east", false);
    hear(&mut machine, 5_500, "south", true);
    assert_eq!(named(&machine, "bound", "east"), ["south"]);
}

#[test]
fn a_balancer_that_has_only_started_is_not_taken_for_one_that_is_being_stopped() {
    let mut machine = machine();
    configure(&mut machine, &["north"]);
    hear(&mut machine, 2_100, "south", true);
    hear(&mut machine, 2_100, "north", false);
    assert_eq!(named(&machine, "bound", "east"), ["south"]);
}
