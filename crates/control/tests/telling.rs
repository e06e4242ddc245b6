//! A control machine passes on what balancers tell of upstreams.

use woadstall_consensus::{DurableState, Member, Snapshot};
use woadstall_control::balancers::BalancerHeartbeat;
use woadstall_control::loads::{FleetLoad, FleetLoads, LoadReport, UpstreamLoad};
use woadstall_control::machine::{Action, ControlMachine, MachineSettings};
use woadstall_control::wire::{MachineInfo, Packet};

const OWN: &str = "10.0.0.1:1";

fn machine() -> ControlMachine {
    let member = Member {
        id: 1,
        address: OWN.to_owned(),
    };
    let own = MachineInfo {
        member,
        zone: "n1".to_owned(),
        region: "north".to_owned(),
        control: "10.0.0.1:2".to_owned(),
    };
    let zones = [("n1", "north"), ("n2", "north"), ("s1", "south")];
    let settings = MachineSettings {
        machine: own,
        seeds: vec![OWN.to_owned()],
        zones: zones
            .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
            .into(),
        heartbeat_ms: 1_200,
        tolerated: 1,
        incarnation: 7,
    };
    ControlMachine::new(settings, DurableState::new(1, Snapshot::default()), 0, 1)
}

/// Readers from this number on, of a zone.
fn subscribe(machine: &mut ControlMachine, first: u64, count: u64, zone: &str) {
    for number in first..first + count {
        let balancer = format!("front-{number}");
        let heartbeat = BalancerHeartbeat {
            name: balancer.clone(),
            incarnation: 1,
            sequence: 1,
            address: "10.0.0.9:80".to_owned(),
            zone: zone.to_owned(),
            ready: true,
        };
        machine.receive_heartbeat(0, heartbeat);
        machine.subscribe(
            0,
            number,
            &Packet::Subscribe {
                balancer,
                epoch: 0,
                offset: 0,
                index: 0,
            },
        );
    }
}

fn report(sequence: u64, zone: &str, unread: u32) -> Packet {
    let upstreams = vec![UpstreamLoad {
        upstream: 3,
        pending_prefill_tokens: unread,
        is_failing: true,
    }];
    Packet::LoadReport(LoadReport {
        balancer: 1,
        sequence,
        zone: zone.to_owned(),
        upstreams,
        ..LoadReport::default()
    })
}

/// What is told between two times, with the readers.
fn told(machine: &mut ControlMachine, from: u64, until: u64) -> Vec<(u64, Vec<u64>, FleetLoads)> {
    let mut told = Vec::new();
    for now in (from..until).step_by(50) {
        machine.tick(now);
        for action in machine.take_actions() {
            if let Action::Deliver {
                subscribers,
                packet: Packet::FleetLoads(loads),
            } = action
            {
                told.push((now, subscribers, loads));
            }
        }
    }
    told
}

#[test]
fn readers_of_a_region_are_told_and_each_zone_hears_its_own_witnesses() {
    let mut machine = machine();
    subscribe(&mut machine, 1, 1, "n1");
    subscribe(&mut machine, 2, 1, "n2");
    subscribe(&mut machine, 3, 1, "s1");
    assert!(
        told(&mut machine, 0, 200).is_empty(),
        "there is nothing to tell"
    );
    machine.receive_packet(200, "10.0.0.9:9", report(1, "n1", 5_000));
    let loads = |failing| FleetLoads {
        upstreams: vec![FleetLoad {
            upstream: 3,
            pending_prefill_tokens: 5_000,
            failing_balancers: failing,
        }],
        ..FleetLoads::default()
    };
    let first: Vec<(Vec<u64>, FleetLoads)> = told(&mut machine, 200, 350)
        .into_iter()
        .map(|(_, readers, loads)| (readers, loads))
        .collect();
    assert_eq!(first, [(vec![1], loads(1)), (vec![2], loads(0))]);
}

#[test]
fn what_is_told_is_repeated_and_ends_with_its_report() {
    let mut machine = machine();
    subscribe(&mut machine, 1, 1, "n1");
    machine.tick(0);
    machine.receive_packet(10, "10.0.0.9:9", report(1, "n1", 5_000));
    let all = told(&mut machine, 50, 1_500);
    let times: Vec<u64> = all.iter().map(|(now, ..)| *now).collect();
    assert!(times.len() >= 3, "told again before it has aged: {times:?}");
    assert!(
        times.windows(2).all(|pair| pair[1] - pair[0] <= 350),
        "{times:?}"
    );
    assert!(
        all.last().unwrap().2.is_empty(),
        "and taken back once the report has aged"
    );
}

#[test]
fn many_readers_are_told_less_often() {
    let news = |readers: u64| {
        let mut machine = machine();
        subscribe(&mut machine, 1, readers, "n1");
        machine.tick(0);
        let mut count = 0;
        for step in 1..=20 {
            machine.receive_packet(
                step * 100,
                "10.0.0.9:9",
                report(step, "n1", 5_000 + step as u32),
            );
            count += told(&mut machine, step * 100, step * 100 + 100).len();
        }
        count
    };
    let (few, many) = (news(40), news(120));
    assert!(
        many * 2 <= few && many > 0,
        "{few} times with 40 readers, {many} with 120"
    );
}
