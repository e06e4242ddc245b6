//! Tests of the notifications with which a control machine passes load reports to the balancers of
//! a region.

mod support;

use support::{MachineBuilder, heartbeat};
use woadstall_control::loads::{FleetLoad, FleetLoads, LoadReport, UpstreamLoad};
use woadstall_control::machine::{Action, ControlMachine};
use woadstall_control::wire::{Packet, SubscribeRequest};

fn machine() -> ControlMachine {
    MachineBuilder::new()
        .zones(&[("n1", "north"), ("n2", "north"), ("s1", "south")])
        .build()
}

/// Subscribes `count` balancers of a zone, with connection numbers from `first` on.
fn subscribe(machine: &mut ControlMachine, first: u64, count: u64, zone: &str) {
    for number in first..first + count {
        let balancer = format!("front-{number}");
        machine.receive_heartbeat(0, heartbeat(&balancer, zone));
        machine.subscribe(
            0,
            number,
            SubscribeRequest {
                balancer,
                epoch: 0,
                offset: 0,
                applied_index: 0,
            },
        );
    }
}

fn report(sequence: u64, zone: &str, pending_tokens: u32) -> Packet {
    let upstreams = vec![UpstreamLoad {
        upstream: 3,
        pending_prefill_tokens: pending_tokens,
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

/// The time in milliseconds, the subscribers and the loads of a notification.
type Notice = (u64, Vec<u64>, FleetLoads);

/// Ticks the machine every 50 ms from `from` until `until`, and returns the notifications.
fn notices(machine: &mut ControlMachine, from: u64, until: u64) -> Vec<Notice> {
    let mut notices = Vec::new();
    for now in (from..until).step_by(50) {
        machine.tick(now);
        for action in machine.take_actions() {
            if let Action::Deliver {
                subscribers,
                packet: Packet::FleetLoads(loads),
            } = action
            {
                notices.push((now, subscribers, loads));
            }
        }
    }
    notices
}

#[test]
fn subscribers_of_a_region_are_notified_with_the_failures_seen_in_their_own_zone() {
    let mut machine = machine();
    subscribe(&mut machine, 1, 1, "n1");
    subscribe(&mut machine, 2, 1, "n2");
    subscribe(&mut machine, 3, 1, "s1");
    assert!(
        notices(&mut machine, 0, 200).is_empty(),
        "no notification without reports"
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
    let first: Vec<(Vec<u64>, FleetLoads)> = notices(&mut machine, 200, 350)
        .into_iter()
        .map(|(_, subscribers, loads)| (subscribers, loads))
        .collect();
    assert_eq!(first, [(vec![1], loads(1)), (vec![2], loads(0))]);
}

#[test]
fn a_notice_is_refreshed_until_its_report_expires() {
    let mut machine = machine();
    subscribe(&mut machine, 1, 1, "n1");
    machine.tick(0);
    machine.receive_packet(10, "10.0.0.9:9", report(1, "n1", 5_000));
    let delivered = notices(&mut machine, 50, 1_500);
    let times: Vec<u64> = delivered.iter().map(|(now, ..)| *now).collect();
    assert!(
        times.len() >= 3,
        "the notice is sent again before the report expires: {times:?}"
    );
    assert!(
        times.windows(2).all(|pair| pair[1] - pair[0] <= 350),
        "{times:?}"
    );
    let (_, _, last_loads) = delivered.last().unwrap();
    assert!(
        last_loads.is_empty(),
        "the last notification is empty because the report has expired"
    );
}

#[test]
fn many_subscribers_are_notified_less_often() {
    let count_notices = |subscribers: u64| {
        let mut machine = machine();
        subscribe(&mut machine, 1, subscribers, "n1");
        machine.tick(0);
        let mut count = 0;
        for step in 1..=20 {
            machine.receive_packet(
                step * 100,
                "10.0.0.9:9",
                report(step, "n1", 5_000 + step as u32),
            );
            count += notices(&mut machine, step * 100, step * 100 + 100).len();
        }
        count
    };
    let (few, many) = (count_notices(40), count_notices(120));
    assert!(
        many * 2 <= few && many > 0,
        "{few} times with 40 subscribers, {many} with 120"
    );
}
