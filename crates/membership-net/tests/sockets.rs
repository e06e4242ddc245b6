//! Members on loopback sockets in a single process, for behaviour that only shows on sockets. The
//! cluster test covers multiple processes.

use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tempfile::TempDir;
use woadstall_membership::{Name, Settings};
use woadstall_membership_net::{LogSink, Membership, MembershipConfig, StateReport};

const KEY: &str = "00112233445566778899aabbccddeeff";
const OTHER_KEY: &str = "ffeeddccbbaa99887766554433221100";
const TIMEOUT: Duration = Duration::from_secs(20);

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn config(name: &str, key_file: &Path, seeds: &[SocketAddr]) -> MembershipConfig {
    MembershipConfig {
        name: self::name(name),
        zone: self::name("a"),
        region: None,
        listen: "127.0.0.1:0".parse().unwrap(),
        advertise: None,
        seeds: seeds.to_vec(),
        seeds_file: None,
        key_file: Some(key_file.to_owned()),
        insecure: false,
        settings: Settings::default(),
    }
}

fn start(config: MembershipConfig) -> Membership {
    Membership::start(config, Arc::new(|line| eprintln!("{line}"))).unwrap()
}

fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TIMEOUT, "{description}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// State of the member `name` as reported by another member.
fn state(reporter: &Membership, name: &str) -> Option<StateReport> {
    let members = reporter.report().members;
    let member = members.into_iter().find(|member| member.name == name);
    member.map(|member| member.state)
}

fn is_alive(reporter: &Membership, name: &str) -> bool {
    state(reporter, name) == Some(StateReport::Alive)
}

/// Number of alive members as reported by a member, including itself.
fn fleet_size(reporter: &Membership) -> usize {
    reporter.report().min_size
}

fn write_key_file(folder: &Path, text: &str) -> PathBuf {
    let path = folder.join("key");
    std::fs::write(&path, text).unwrap();
    path
}

/// Members discover each other, and a record reaches all of them. A member whose sockets close
/// without a message is declared dead, since its host refuses connections. A member that announces
/// its leave is reported as left.
#[test]
fn members_join_publish_die_and_leave() {
    let folder = tempfile::tempdir().unwrap();
    let key = write_key_file(folder.path(), KEY);
    let first = start(config("b-0", &key, &[]));
    let seeds = [first.address()];
    let others: Vec<Membership> = (1..5)
        .map(|number| start(config(&format!("b-{number}"), &key, &seeds)))
        .collect();
    wait_until("all members discover each other", || {
        let mut members = others.iter().chain([&first]);
        members.all(|member| fleet_size(member) == 5)
    });
    first.publish(name("load"), 9, b"17".to_vec()).unwrap();
    let has_record = |member: &Membership| {
        member.with_node(|node, _| {
            let record = node.record(&name("b-0"), &name("load"));
            record.is_some_and(|record| record.value == b"17")
        })
    };
    wait_until("a record reaches all members", || {
        others.iter().all(has_record)
    });
    let mut others = others.into_iter();
    let (dying, leaving) = (others.next().unwrap(), others.next().unwrap());
    let mut remaining: Vec<Membership> = others.collect();
    remaining.push(first);
    drop(dying);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    runtime.block_on(leaving.leave());
    for (name, expected) in [("b-1", StateReport::Dead), ("b-2", StateReport::Left)] {
        wait_until(name, || {
            let mut states = remaining.iter().map(|member| state(member, name));
            states.all(|state| state == Some(expected))
        });
    }
}

/// Garbage, forged and replayed messages neither add nor remove a member, and the cost of
/// processing them is bounded.
#[test]
fn floods_of_forged_messages_are_survived() {
    let folder = tempfile::tempdir().unwrap();
    let key = write_key_file(folder.path(), KEY);
    let first = start(config("b-0", &key, &[]));
    let second = start(config("b-1", &key, &[first.address()]));
    let outsider_folder = tempfile::tempdir().unwrap();
    let outsider_key = write_key_file(outsider_folder.path(), OTHER_KEY);
    let seeds = [first.address(), second.address()];
    let outsider = start(config("b-9", &outsider_key, &seeds));
    wait_until("two members with the same key discover each other", || {
        fleet_size(&first) == 2 && fleet_size(&second) == 2
    });
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let started_at = Instant::now();
    let mut datagram = [1_u8; 1_000];
    for number in 0..60_000_u32 {
        datagram[1..5].copy_from_slice(&number.to_be_bytes());
        socket.send_to(&datagram, first.address()).ok();
    }
    eprintln!("60,000 forged datagrams in {:?}", started_at.elapsed());
    wait_until("some forged datagrams are rejected", || {
        first.report().rejections.other_key > 100
    });
    wait_until("both members are alive after the flood", || {
        is_alive(&first, "b-1") && is_alive(&second, "b-0")
    });
    assert_eq!(
        (state(&first, "b-9"), state(&outsider, "b-0")),
        (None, None)
    );
}

/// The shared key is rotated on one member after another while all members keep running: the new
/// key is added, moved to the first place, and the old key is removed.
#[test]
fn keys_change_while_members_run() {
    let folders: Vec<TempDir> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
    let mut members: Vec<Membership> = Vec::new();
    for (number, folder) in folders.iter().enumerate() {
        let seeds: Vec<SocketAddr> = members
            .first()
            .iter()
            .map(|first| first.address())
            .collect();
        let key = write_key_file(folder.path(), KEY);
        members.push(start(config(&format!("b-{number}"), &key, &seeds)));
    }
    wait_until("all members discover each other", || {
        members.iter().all(|member| fleet_size(member) == 3)
    });
    let steps = [
        format!("{KEY}\n{OTHER_KEY}\n"),
        format!("{OTHER_KEY}\n{KEY}\n"),
        format!("# new\n{OTHER_KEY}\n"),
    ];
    let received = |member: &Membership| member.report().messages_received;
    for keys in steps {
        for (member, folder) in members.iter().zip(&folders) {
            write_key_file(folder.path(), &keys);
            member.reload().unwrap();
        }
        let counts_before: Vec<u64> = members.iter().map(received).collect();
        wait_until("members receive each other's messages", || {
            let mut counts = members.iter().map(received).zip(&counts_before);
            counts.all(|(count, count_before)| count > count_before + 3)
        });
        let is_unaffected = |member: &Membership| {
            let report = member.report();
            report.min_size == 3 && report.rejections.other_key == 0
        };
        assert!(members.iter().all(is_unaffected));
    }
    write_key_file(folders[0].path(), "not a key");
    let error = members[0].reload().unwrap_err().to_string();
    assert!(
        error.contains("`key_file`") && error.contains("line 1"),
        "{error}"
    );
    assert!(fleet_size(&members[0]) == 3);
}

/// A log sink and the lines that it received.
fn recording_log() -> (LogSink, Arc<Mutex<Vec<String>>>) {
    let lines = Arc::new(Mutex::new(Vec::new()));
    let recorded = lines.clone();
    let log: LogSink = Arc::new(move |line| recorded.lock().unwrap().push(line.to_string()));
    (log, lines)
}

/// A successor process waits for the address of its predecessor, and a member whose process hangs
/// is no longer reported as alive.
#[test]
fn a_successor_waits_and_a_hung_process_is_suspected() {
    let folder = tempfile::tempdir().unwrap();
    let key = write_key_file(folder.path(), KEY);
    let (log, lines) = recording_log();
    let predecessor = start(config("b-0", &key, &[]));
    let other = start(config("b-1", &key, &[predecessor.address()]));
    wait_until("the predecessor is alive", || is_alive(&other, "b-0"));
    // Generations are ordered by their start time in milliseconds.
    let predecessor_started_ms = other.report().members[0].started_ms;
    let now_ms = || {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis()
    };
    wait_until("the start time of the predecessor is in the past", || {
        now_ms() > predecessor_started_ms.into()
    });
    let mut successor_config = config("b-0", &key, &[other.address()]);
    successor_config.listen = predecessor.address();
    let successor = Membership::start(successor_config, log).unwrap();
    wait_until("the successor waits", || {
        let lines = lines.lock().unwrap();
        lines
            .iter()
            .any(|line| line.contains("address in use, waiting"))
    });
    assert!(!successor.is_bound());
    wait_until("the predecessor is still alive", || is_alive(&other, "b-0"));
    drop(predecessor);
    wait_until("the successor binds the address", || successor.is_bound());
    wait_until("the successor is known", || {
        other.report().members[0].started_ms > predecessor_started_ms
    });
    successor.heartbeat();
    wait_until("the hung process is suspected", || !is_alive(&other, "b-0"));
    wait_until("the member counts hung steps", || {
        successor.report().rejections.hung_steps > 0
    });
    let started_at = Instant::now();
    wait_until("the member is alive again", || {
        successor.heartbeat();
        is_alive(&other, "b-0")
    });
    eprintln!("alive again after {:?}", started_at.elapsed());
}
