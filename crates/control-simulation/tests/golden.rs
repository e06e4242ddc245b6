//! What happens in fixed days, as a digest over all observable numbers and bytes: changes of names and shape change none of
//! them.

use rstest::rstest;
use woadstall_control::command::Command;
use woadstall_control::registry::UpstreamStatus;
use woadstall_control_simulation::cluster::{Cluster, Layout};
use woadstall_control_simulation::network::{CALM, ROUGH, Weather};
use woadstall_control_simulation::recording::Recording;
use woadstall_control_simulation::scenario::{
    ALL, Event, Kinds, configuration, draw, play, play_in, put, registration, shrink,
};

const STEPS: usize = 60;

const THREE: Layout = Layout {
    machines: 3,
    founders: 3,
    regions: 3,
    tolerated: 1,
};
const FOUR: Layout = Layout {
    machines: 4,
    founders: 3,
    regions: 2,
    tolerated: 1,
};
const SIX: Layout = Layout {
    machines: 6,
    founders: 3,
    regions: 3,
    tolerated: 2,
};
const NARROW: Weather = Weather {
    bytes_per_ms: 20,
    ..ROUGH
};
const BRIEF: Kinds = Kinds {
    processes: true,
    cuts: true,
    stalls: true,
    wipes: false,
    power: false,
};

fn recorded(seed: u64, layout: Layout, weather: Weather) -> Cluster {
    let mut cluster = Cluster::with(seed, layout, weather);
    cluster.recording = Some(Recording::default());
    cluster
}

/// A day's seed, the digest of what happens in it, and the number of observations in the digest.
type Golden = (u64, u64, u64);

/// Days in which a process has several calls open at a moment when it passes them on, or gives them up, are left out: it goes
/// through them in an order that no seed gives.
#[rstest]
#[case::three_in_a_calm_network(THREE, CALM, ALL, [
    (1_000, 0xc535_56e2_6f1e_ced2, 9_516),
    (1_001, 0x08b6_b5d4_04bf_579f, 12_859),
    (1_002, 0x7256_ac97_3d8a_e6fc, 6_830),
    (1_003, 0x6a5e_a539_f71e_b207, 6_969),
    (1_004, 0xdb65_2b3a_ceef_b9d2, 12_925),
])]
#[case::three_with_old_bytes(THREE, ROUGH, ALL, [
    (1_000, 0x6e8d_e53b_3063_e1d4, 13_573),
    (1_001, 0xae60_d2a5_8c4a_c828, 16_919),
    (1_002, 0x3ee5_ccb9_aeaf_85ab, 10_742),
    (1_003, 0x6570_c45a_9952_67ed, 10_907),
    (1_004, 0x161a_004b_5bb2_1199, 16_894),
])]
#[case::four_of_two_regions(FOUR, ROUGH, ALL, [
    (1_000, 0x0951_6547_39ae_ce41, 22_180),
    (1_001, 0xf5ec_ec32_3b91_3851, 27_136),
    (1_002, 0x402a_55a4_1bef_50ed, 17_931),
    (1_003, 0xe653_9925_c236_ad7a, 18_592),
    (1_004, 0x2854_24f3_b9f2_0638, 27_351),
])]
#[case::six(SIX, ROUGH, ALL, [
    (1_000, 0x7e93_9e50_d9e1_f733, 39_826),
    (1_002, 0x5010_cd12_ed2a_bb69, 33_248),
    (1_003, 0x51c9_d44f_975c_1a13, 33_403),
    (1_004, 0x1108_ef13_53d0_2125, 48_824),
    (1_006, 0x6583_530b_6a95_b00e, 31_171),
])]
#[case::six_without_losses(SIX, ROUGH, BRIEF, [
    (1_000, 0xb585_24ec_1a84_a161, 31_292),
    (1_001, 0x2bbd_91ba_3fbc_c936, 35_401),
    (1_002, 0xc4ea_c02b_7671_c22a, 34_559),
    (1_003, 0x3312_d20f_5f8a_b0c4, 34_749),
    (1_004, 0xdfea_4f8f_1126_20b8, 33_326),
])]
#[case::a_narrow_network(THREE, NARROW, ALL, [
    (1_000, 0x899c_c40a_2104_d001, 13_626),
    (1_001, 0x7823_a0e9_db45_ca1c, 16_970),
    (1_002, 0xbb76_ae60_d6e2_4901, 10_757),
    (1_003, 0xa2da_2ff2_675a_b64c, 10_912),
    (1_004, 0xa3e7_9136_3f3b_aada, 16_954),
])]
fn a_drawn_day_holds_the_same_events(
    #[case] layout: Layout,
    #[case] weather: Weather,
    #[case] kinds: Kinds,
    #[case] expected: [Golden; 5],
) {
    for (seed, digest, observations) in expected {
        let events = draw(seed, layout, kinds, STEPS);
        let cluster = recorded(seed, layout, weather);
        let found = play_in(cluster, layout, &events)
            .expect("the day holds")
            .finish_recording();
        assert_eq!(found, (digest, observations), "seed {seed}: {found:#x?}");
    }
}

/// Each kind of an event by its number, with what it holds.
fn add_event(recording: &mut Recording, event: &Event) {
    let numbers: [u64; 4] = match *event {
        Event::Put { place, race } => [1, place as u64, u64::from(race), 0],
        Event::PutAgain { place } => [2, place as u64, 0, 0],
        Event::Evacuate { place, zone } => [3, place as u64, u64::from(zone), 0],
        Event::Return { place, zone } => [4, place as u64, u64::from(zone), 0],
        Event::Read { place } => [5, place as u64, 0, 0],
        Event::Ready { place, upstream } => [6, place as u64, u64::from(upstream), 0],
        Event::Drain { place, upstream } => [7, place as u64, u64::from(upstream), 0],
        Event::Leave { place, upstream } => [8, place as u64, u64::from(upstream), 0],
        Event::Kill { place } => [9, place as u64, 0, 0],
        Event::Terminate { place } => [10, place as u64, 0, 0],
        Event::Start { place } => [11, place as u64, 0, 0],
        Event::PowerOff => [12, 0, 0, 0],
        Event::StartAll => [13, 0, 0, 0],
        Event::Wipe { place } => [14, place as u64, 0, 0],
        Event::WipeAndPowerOff { place } => [15, place as u64, 0, 0],
        Event::Freeze { place, time } => [16, place as u64, time, 0],
        Event::StallDisk { place, time } => [17, place as u64, time, 0],
        Event::RefuseWrites { place, time } => [18, place as u64, time, 0],
        Event::CutOff {
            place,
            to_it,
            from_it,
        } => [19, place as u64, u64::from(to_it), u64::from(from_it)],
        Event::Halves { first } => [20, first as u64, 0, 0],
        Event::Bridge { one, other } => [21, one as u64, other as u64, 0],
        Event::Heal => [22, 0, 0, 0],
        Event::Calm => [23, 0, 0, 0],
        Event::Wait { time } => [24, time, 0, 0],
    };
    for number in numbers {
        recording.number(number);
    }
}

fn digest_of_events(events: &[Event]) -> u64 {
    let mut recording = Recording::default();
    events
        .iter()
        .for_each(|event| add_event(&mut recording, event));
    recording.finish().0
}

#[test]
fn a_seed_draws_the_same_steps() {
    let digest = |seed| digest_of_events(&draw(seed, SIX, ALL, 2_000));
    let found = [1, 2, 3].map(digest);
    assert_eq!(
        found,
        [
            0x508e_d496_e5f8_98eb,
            0xcce1_6191_66d2_045f,
            0x69c0_af9f_3427_431b
        ],
        "{found:x?}"
    );
}

/// Two of three disks are lost at a time, which no group of three bears: the oracles see it, and the steps that it needs are
/// found.
#[test]
fn a_failing_day_fails_and_shrinks_to_the_same_steps() {
    let lost = [
        Event::PowerOff,
        Event::Wipe { place: 0 },
        Event::Wipe { place: 1 },
        Event::StartAll,
    ];
    let mut events = draw(7, THREE, BRIEF, 24);
    events.extend([
        Event::Calm,
        Event::Wait { time: 9_000 },
        Event::Put {
            place: 0,
            race: false,
        },
    ]);
    events.extend([Event::Wait { time: 2_000 }]);
    events.extend(lost);
    assert!(play(7, THREE, CALM, &events).is_err());
    let needed = shrink(7, THREE, CALM, &events);
    assert_eq!(
        (needed.len(), digest_of_events(&needed)),
        (2, 0xca9d_b272_80da_20c4),
        "{needed:?}"
    );
}

/// What no drawn day holds: large configurations and patches, faulty orders, machines that come and go, balancers that come
/// back, a log that is compacted, and a snapshot in chunks over a narrow link.
#[test]
fn a_scripted_day_holds_the_same_events() {
    let mut cluster = recorded(
        5,
        FOUR,
        Weather {
            bytes_per_ms: 100,
            ..CALM
        },
    );
    cluster.run(8_000);
    (0..3).for_each(|place| cluster.subscribe(place, 1));
    cluster.order(
        0,
        Command::Put {
            base: 0,
            body: b"{".to_vec(),
        },
    );
    cluster.order(1, put(3, 4));
    cluster.run(1_000);
    let front = cluster.unsubscribe(1, 1).expect("a balancer reads there");
    cluster.cut_off(2);
    for change in 0..1_100 {
        cluster.order(0, large(change * 2, (change + 1) * 2));
        cluster.run(300);
    }
    cluster.order(1, patch(2_200, 2_202, &["t"]));
    cluster.run(500);
    cluster.order(1, patch(2_200, 2_202, &["s", "t"]));
    cluster.register(1, registration("i-1", 1, UpstreamStatus::Ready));
    cluster.run(1_000);
    cluster.heal();
    cluster.resubscribe(1, 1, front);
    cluster.run(4_000);
    cluster.register(0, registration("i-1", 2, UpstreamStatus::Draining));
    let added = cluster.add();
    cluster.run(10_000);
    cluster.announce_stop(3);
    cluster.run(600);
    cluster.remove(3);
    cluster.run(5_000);
    cluster.wipe(0);
    cluster.run(100);
    cluster.start(0);
    cluster.run(10_000);
    cluster.deregister(added, "i-1");
    cluster.read(added);
    cluster.run(2_000);
    cluster.check_all();
    let newest = cluster
        .machine(added)
        .expect("it runs")
        .state()
        .generation();
    assert_eq!((cluster.oracle.violation.as_ref(), newest), (None, 2_202));
    let found = cluster.finish_recording();
    assert_eq!(found, (0x0279_36db_498e_c3fb, 120_867), "{found:x?}");
}

/// A configuration with 40 kB that can't be compressed much, now and then.
fn large(base: u64, generation: u64) -> Command {
    let mut document: serde_json::Value =
        serde_json::from_slice(&configuration(generation, 0)).expect("it is a document");
    if generation.is_multiple_of(200) {
        let mut random = fastrand::Rng::with_seed(generation);
        let note: String = std::iter::repeat_with(|| random.alphanumeric())
            .take(40_000)
            .collect();
        document["note"] = serde_json::Value::String(note);
    }
    Command::Put {
        base,
        body: serde_json::to_vec(&document).expect("it is a document"),
    }
}

fn patch(base: u64, generation: u64, services: &[&str]) -> Command {
    let services: Vec<_> = services
        .iter()
        .map(|name| serde_json::json!({ "name": name }))
        .collect();
    let document = serde_json::json!({ "generation": generation, "services": services });
    Command::Patch {
        base,
        body: serde_json::to_vec(&document).expect("it is a document"),
    }
}
