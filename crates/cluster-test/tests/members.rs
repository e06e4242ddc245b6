//! Processes that speak with each other: killed, asleep, cut off on one side, flooded.

mod common;

use common::{all_kept, alone, folder, play, run, runs, told, until};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

const EIGHT: [&str; 2] = ["--set", "tier.0.balancers=8"];
/// Three zones: between two alone nobody is left who finds both sides of a cut.
const NINE: [&str; 4] = [
    "--set",
    "tier.0.balancers=9",
    "--set",
    "zones=[\"a\",\"b\",\"c\"]",
];

/// Half of them die and come back as new lives, two sleep, then one zone is not heard by the other: nobody is held for
/// dead who is there, the dead are known, the cut ways are named on both sides, and calls keep their rules.
#[test]
fn the_dead_are_known_and_nobody_else_is_called_dead() {
    let _alone = alone();
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
name = "nobody"
what = { false-deaths = { most = 0 } }

[[bound]]
name = "deaths"
what = { deaths-known = { within = "4 s" } }

[[bound]]
name = "back"
what = { together = { from = "6 s", within = "4 s" } }

[[bound]]
name = "awake"
what = { together = { from = "12 s", within = "3 s" } }

[[bound]]
name = "cuts"
what = { cuts-named = { at = "26500 ms", least = 0.9 } }

[[bound]]
name = "healed"
what = { together = { from = "27 s", within = "3 s" } }
"#;
    let told = play(31, faults, &NINE);
    all_kept(&told);
    let members = &told["members"];
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

/// One alone sees two halves, another comes and goes, a third gets a tenth of its time: nobody is called dead who is there,
/// and all are together again each time.
#[test]
fn odd_members_kill_nobody() {
    let _alone = alone();
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
name = "nobody"
what = { false-deaths = { most = 0 } }

[[bound]]
name = "bridged"
what = { together = { from = "14 s", within = "3 s" } }

[[bound]]
name = "flapped"
what = { together = { from = "22 s", within = "3 s" } }

[[bound]]
name = "slow"
what = { together = { from = "28 s", within = "3 s" } }
"#;
    all_kept(&play(32, faults, &NINE));
}

/// Whatever comes to the sockets on which they speak, members stay, nobody new is there, calls go on, and what it costs
/// is bounded.
#[test]
fn floods_change_nothing() {
    let _alone = alone();
    let more = "\n[members]\n\n[[bound]]\nname = \"nobody\"\nwhat = { false-deaths = { most = 0 } }\n\
        [[bound]]\nname = \"together\"\nwhat = { together = { from = \"9 s\", within = \"2 s\" } }\n";
    let folder = folder(12, more);
    let rig = run(folder.path(), &EIGHT).spawn().unwrap();
    let listens = |number: usize| -> Option<SocketAddr> {
        let run = runs(folder.path()).pop()?;
        let text = std::fs::read_to_string(run.join(format!("balancer-{number:03}/operator.toml")))
            .ok()?;
        text.lines().find_map(|line| {
            line.strip_prefix("listen = ")?
                .trim_matches('"')
                .parse()
                .ok()
        })
    };
    until("all are told where to listen", || {
        (0..8).all(|number| listens(number).is_some())
    });
    let at: Vec<SocketAddr> = (0..8).filter_map(listens).collect();
    let (socket, began, mut sent) = (
        UdpSocket::bind("127.0.0.1:0").unwrap(),
        Instant::now(),
        0_u32,
    );
    let mut datagram = [1_u8; 600];
    while began.elapsed() < Duration::from_secs(7) {
        for to in &at {
            datagram[1..5].copy_from_slice(&sent.to_be_bytes());
            socket.send_to(&datagram, to).ok();
            sent += 1;
        }
        std::thread::sleep(Duration::from_micros(500));
    }
    let told = told(&rig.wait_with_output().unwrap());
    println!("{sent} datagrams");
    all_kept(&told);
    let cores = told["members-cores"].as_array().unwrap();
    assert!(
        cores.len() == 8 && cores.iter().all(|part| part.as_f64().unwrap() < 0.15),
        "{cores:?}"
    );
    assert!(told["served"].as_f64().unwrap() > 0.9, "{}", told["served"]);
}
