//! Membership among processes that are killed, suspended, partitioned in one direction, or flooded with datagrams.

mod common;

use common::{
    assert_passed, result, run_command, run_exclusively, run_folders, run_scenario,
    scenario_folder, wait_until,
};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

const EIGHT_BALANCERS: [&str; 2] = ["--set", "tier.0.balancers=8"];
/// Three zones are required: with two zones, no member reaches both sides of a partition.
const NINE_IN_THREE_ZONES: [&str; 4] = [
    "--set",
    "tier.0.balancers=9",
    "--set",
    "zones=[\"a\",\"b\",\"c\"]",
];

/// Half of the members are killed and restart as new incarnations, two members are suspended, and then the links from one
/// zone to another are partitioned. No living member is reported dead, killed members are reported dead, the members at
/// both ends report the partitioned links, and no call violates a rule.
#[test]
fn only_dead_members_are_reported_dead() {
    let _exclusive = run_exclusively();
    let faults = r#"
[members]

[[fault]]
at = "2 s"
until = "6 s"
part = 0.5
what = { restart = { stale = "1 s" } }

[[fault]]
at = "10 s"
until = "12 s"
part = 0.25
what = "stall"

[[fault]]
at = "15 s"
until = "27 s"
zone = "a"
what = { between = { to = "b", cut = true } }

[[bound]]
name = "no false deaths"
what = { false-deaths = { most = 0 } }

[[bound]]
name = "deaths are reported"
what = { deaths-known = { within = "4 s" } }

[[bound]]
name = "members agree after the restart"
what = { together = { from = "6 s", within = "4 s" } }

[[bound]]
name = "members agree after the suspension"
what = { together = { from = "12 s", within = "3 s" } }

[[bound]]
name = "partitioned links are reported"
what = { cuts-named = { at = "26500 ms", least = 0.9 } }

[[bound]]
name = "members agree after the partition"
what = { together = { from = "27 s", within = "3 s" } }
"#;
    let result = run_scenario(31, faults, &NINE_IN_THREE_ZONES);
    assert_passed(&result);
    let members = &result["members"];
    assert_eq!(
        (&members["deaths"], &members["false-deaths"]),
        (&5.into(), &0.into()),
        "{members}"
    );
    assert!(
        members["known-ms"]["count"].as_u64().unwrap() >= 5 * 4,
        "{members}"
    );
}

/// A single member bridges two partitioned halves, then a member restarts repeatedly, then a member is suspended for nine
/// tenths of the time. No living member is reported dead, and all members agree again after each fault.
#[test]
fn bridged_flapping_and_slow_members_cause_no_false_deaths() {
    let _exclusive = run_exclusively();
    let faults = r#"
[members]

[[fault]]
at = "2 s"
until = "14 s"
part = 0.45
what = { between = { cut = true, way = "both", bridges = 1 } }

[[fault]]
at = "17 s"
until = "18 s"
part = 0.12
what = { restart = { stale = "1 s" } }
again = { every = "2 s", times = 3 }

[[fault]]
at = "23 s"
until = "23090 ms"
part = 0.12
what = "stall"
again = { every = "100 ms", times = 50 }

[[bound]]
name = "no false deaths"
what = { false-deaths = { most = 0 } }

[[bound]]
name = "members agree after the bridged partition"
what = { together = { from = "14 s", within = "3 s" } }

[[bound]]
name = "members agree after the restarts"
what = { together = { from = "22 s", within = "3 s" } }

[[bound]]
name = "members agree after the suspensions"
what = { together = { from = "28 s", within = "3 s" } }
"#;
    assert_passed(&run_scenario(32, faults, &NINE_IN_THREE_ZONES));
}

/// Invalid datagrams flood the sockets of the membership protocol. All members stay in the membership, no unknown member
/// appears, calls are served, and the CPU time of the membership thread stays below 15% of a core.
#[test]
fn floods_of_datagrams_change_no_membership() {
    let _exclusive = run_exclusively();
    let additions = "\n[members]\n\n[[bound]]\nname = \"no false deaths\"\nwhat = { false-deaths = { most = 0 } }\n\
        [[bound]]\nname = \"members agree\"\nwhat = { together = { from = \"9 s\", within = \"2 s\" } }\n";
    let folder = scenario_folder(12, additions);
    let run = run_command(folder.path(), &EIGHT_BALANCERS)
        .spawn()
        .unwrap();
    let listen_address = |number: usize| -> Option<SocketAddr> {
        let run_folder = run_folders(folder.path()).pop()?;
        let text =
            std::fs::read_to_string(run_folder.join(format!("balancer-{number:03}/operator.toml")))
                .ok()?;
        text.lines().find_map(|line| {
            line.strip_prefix("listen = ")?
                .trim_matches('"')
                .parse()
                .ok()
        })
    };
    wait_until("all operators' files exist", || {
        (0..8).all(|number| listen_address(number).is_some())
    });
    let addresses: Vec<SocketAddr> = (0..8).filter_map(listen_address).collect();
    let (socket, began, mut datagrams_sent) = (
        UdpSocket::bind("127.0.0.1:0").unwrap(),
        Instant::now(),
        0_u32,
    );
    let mut datagram = [1_u8; 600];
    while began.elapsed() < Duration::from_secs(7) {
        for address in &addresses {
            datagram[1..5].copy_from_slice(&datagrams_sent.to_be_bytes());
            socket.send_to(&datagram, address).ok();
            datagrams_sent += 1;
        }
        std::thread::sleep(Duration::from_micros(500));
    }
    let result = result(&run.wait_with_output().unwrap());
    println!("{datagrams_sent} datagrams sent");
    assert_passed(&result);
    let cores = result["members-cores"].as_array().unwrap();
    assert!(
        cores.len() == 8 && cores.iter().all(|share| share.as_f64().unwrap() < 0.15),
        "{cores:?}"
    );
    assert!(
        result["served"].as_f64().unwrap() > 0.9,
        "{}",
        result["served"]
    );
}
