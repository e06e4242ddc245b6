//! Members on loopback sockets, in one process: what only sockets show. Many processes are the rig's.

use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use woadstall_membership::{Name, Settings};
use woadstall_membership_net::{Instances, Log, Setup};

const KEY: &str = "00112233445566778899aabbccddeeff";
const OTHER: &str = "ffeeddccbbaa99887766554433221100";

fn setup(name: &str, key: &Path, seeds: &[SocketAddr]) -> Setup {
    Setup {
        name: Name::new(name).unwrap(),
        zone: Name::new("a").unwrap(),
        region: None,
        listen: "127.0.0.1:0".parse().unwrap(),
        advertise: None,
        seeds: seeds.to_vec(),
        seeds_file: None,
        key_file: Some(key.to_owned()),
        insecure: false,
        settings: Settings::default(),
    }
}

fn start(setup: Setup) -> Instances {
    Instances::start(setup, Arc::new(|line| eprintln!("{line}"))).unwrap()
}

fn until(what: &str, mut there: impl FnMut() -> bool) {
    let began = Instant::now();
    while !there() {
        assert!(began.elapsed() < Duration::from_secs(20), "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn sees(by: &Instances, name: &str) -> Option<String> {
    let report = by.report();
    report
        .members
        .into_iter()
        .find(|row| row.name == name)
        .map(|row| row.state)
}

fn key(folder: &Path, text: &str) -> std::path::PathBuf {
    let path = folder.join("key");
    std::fs::write(&path, text).unwrap();
    path
}

/// They find each other; one whose sockets close without a word is dead, as its machine says so; one that says that
/// it leaves has left; a fact gets round.
#[test]
fn they_come_and_go() {
    let folder = tempfile::tempdir().unwrap();
    let key = key(folder.path(), KEY);
    let first = start(setup("b-0", &key, &[]));
    let others: Vec<Instances> = (1..5)
        .map(|at| start(setup(&format!("b-{at}"), &key, &[first.address()])))
        .collect();
    until("all find each other", || {
        others
            .iter()
            .chain([&first])
            .all(|one| one.report().least == 5)
    });
    first
        .publish(Name::new("load").unwrap(), 9, b"17".to_vec())
        .unwrap();
    let told = |one: &Instances| {
        let (owner, key) = (Name::new("b-0").unwrap(), Name::new("load").unwrap());
        one.look(|node, _| {
            node.record(&owner, &key)
                .is_some_and(|record| record.value == b"17")
        })
    };
    until("a fact is told", || others.iter().all(told));
    let mut others = others.into_iter();
    let (gone, leaves) = (others.next().unwrap(), others.next().unwrap());
    let left: Vec<Instances> = others.collect();
    drop(gone);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    runtime.block_on(leaves.leave());
    for (name, state) in [("b-1", "dead"), ("b-2", "left")] {
        until(name, || {
            left.iter()
                .chain([&first])
                .all(|one| sees(one, name).as_deref() == Some(state))
        });
    }
}

/// Garbage, forged messages, true ones again: nobody is there for it, the true ones stay, and what it costs is bounded.
#[test]
fn floods_are_borne() {
    let folder = tempfile::tempdir().unwrap();
    let key = key(folder.path(), KEY);
    let (one, stranger_folder) = (start(setup("b-0", &key, &[])), tempfile::tempdir().unwrap());
    let stranger_key = self::key(stranger_folder.path(), OTHER);
    let other = start(setup("b-1", &key, &[one.address()]));
    let stranger = start(setup(
        "b-9",
        &stranger_key,
        &[one.address(), other.address()],
    ));
    until("two of a key find each other", || {
        one.report().least == 2 && other.report().least == 2
    });
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let began = Instant::now();
    let mut datagram = [1_u8; 1_000];
    for number in 0..60_000_u32 {
        datagram[1..5].copy_from_slice(&number.to_be_bytes());
        socket.send_to(&datagram, one.address()).ok();
    }
    eprintln!("60,000 forged datagrams in {:?}", began.elapsed());
    until("some are looked at", || one.report().counts.other_key > 100);
    until("both are there after it", || {
        let alive = |by, of| sees(by, of).as_deref() == Some("alive");
        alive(&one, "b-1") && alive(&other, "b-0")
    });
    assert_eq!((sees(&one, "b-9"), sees(&stranger, "b-0")), (None, None));
}

/// A key is changed on one after another while all go on: added, moved up, the old one dropped.
#[test]
fn a_key_changes() {
    let folders: Vec<tempfile::TempDir> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
    let mut all: Vec<Instances> = Vec::new();
    for (at, folder) in folders.iter().enumerate() {
        let seeds: Vec<SocketAddr> = all.first().iter().map(|first| first.address()).collect();
        all.push(start(setup(
            &format!("b-{at}"),
            &key(folder.path(), KEY),
            &seeds,
        )));
    }
    until("all find each other", || {
        all.iter().all(|one| one.report().least == 3)
    });
    let steps = [
        format!("{KEY}\n{OTHER}\n"),
        format!("{OTHER}\n{KEY}\n"),
        format!("# new\n{OTHER}\n"),
    ];
    for keys in steps {
        for (one, folder) in all.iter().zip(&folders) {
            key(folder.path(), &keys);
            one.reload().unwrap();
        }
        let came: Vec<u64> = all.iter().map(|one| one.report().came).collect();
        until("they hear each other", || {
            all.iter()
                .zip(&came)
                .all(|(one, came)| one.report().came > came + 3)
        });
        assert!(
            all.iter()
                .all(|one| one.report().least == 3 && one.report().counts.other_key == 0)
        );
    }
    key(folders[0].path(), "not a key");
    let error = all[0].reload().unwrap_err();
    assert!(
        error.contains("`key_file`") && error.contains("line 1"),
        "{error}"
    );
    assert!(all[0].report().least == 3);
}

/// A successor waits for the address; and one whose calls stand still is no longer held for well.
#[test]
fn a_successor_waits_and_a_hung_one_is_suspected() {
    let folder = tempfile::tempdir().unwrap();
    let key = key(folder.path(), KEY);
    let lines = Arc::new(Mutex::new(Vec::new()));
    let heard = lines.clone();
    let log: Log = Arc::new(move |line| heard.lock().unwrap().push(line.to_string()));
    let before = start(setup("b-0", &key, &[]));
    let other = start(setup("b-1", &key, &[before.address()]));
    until("the predecessor is there", || {
        sees(&other, "b-0").as_deref() == Some("alive")
    });
    // A life begins with a millisecond, and the next is to be told from it by that.
    let started = other.report().members[0].started_ms;
    let now = || {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis()
    };
    until("a millisecond is over", || now() > started.into());
    let mut next = setup("b-0", &key, &[other.address()]);
    next.listen = before.address();
    let next = Instances::start(next, log).unwrap();
    until("it waits", || {
        lines
            .lock()
            .unwrap()
            .iter()
            .any(|line| line.contains("another process holds"))
    });
    assert!(!next.is_bound());
    until("the predecessor is still there", || {
        sees(&other, "b-0").as_deref() == Some("alive")
    });
    drop(before);
    until("it takes its place", || next.is_bound());
    until("it is known", || {
        other.report().members[0].started_ms > started
    });
    next.beat();
    until("a hung one is suspected", || {
        sees(&other, "b-0").as_deref() != Some("alive")
    });
    until("it is told that it stood still", || {
        next.report().counts.held_back > 0
    });
    let began = Instant::now();
    until("it is back", || {
        next.beat();
        sees(&other, "b-0").as_deref() == Some("alive")
    });
    eprintln!("back after {:?}", began.elapsed());
}
