//! Whether what breaks a rule is found, and nothing where nothing does.

mod common;

use common::{SMALL, all_kept, alone, broken, folder_of, play, play_folder};

const ROLL: &str = "\n[[fault]]\nat = \"500 ms\"\nuntil = \"2 s\"\npart = 0.34\nwhat = \"roll\"\n";

/// A release of a third of the nodos: four saboteurs, and none. Each is found by its rule alone.
#[test]
fn each_saboteur_is_found() {
    let _alone = alone();
    let near = |more: &str| format!("{more}\n[network]\nwithin = \"0 s\"\nacross = \"0 s\"\n");
    let sound = play(4, &near(ROLL), &[]);
    all_kept(&sound);
    assert_eq!(
        (sound["lost"].as_u64(), sound["doubled"].as_u64()),
        (Some(0), Some(0))
    );
    assert!(
        sound["served"].as_f64().unwrap() > 0.95,
        "{}",
        sound["served"]
    );
    // A flood matters where nodos are cold, and takes three seconds to push one over.
    for (kind, rule, seconds, set) in [
        ("swallow", "one-answer", 2, "tier.0.cold=false"),
        ("repeat", "no-effect-twice", 2, "tier.0.cold=false"),
        ("deaf", "drained", 3, "tier.0.cold=false"),
        ("flood", "cold", 5, "tier.0.cold=true"),
    ] {
        let told = play(seconds, &near(ROLL), &["--sabotage", kind, "--set", set]);
        assert!(broken(&told, rule) > 0, "{kind}: {}", told["breaches"]);
        assert_eq!(told["kept"], false);
        let others = ["one-answer", "no-effect-twice", "drained", "cold"]
            .into_iter()
            .filter(|other| *other != rule);
        // What a flood pushes over answers nothing for a while, which is not a rule of its own.
        others.for_each(|other| {
            assert_eq!(
                broken(&told, other),
                0,
                "{kind}: {}",
                told["first-breaches"]
            )
        });
    }
}

/// Balancers that stand still amid their calls: what they held is late and booked as theirs, and what came to the
/// others is served.
#[test]
fn calls_at_a_stopped_balancer_are_booked_as_its_own() {
    let _alone = alone();
    let stall = "\n[[fault]]\nat = \"500 ms\"\nuntil = \"3500 ms\"\npart = 0.5\nwhat = \"stall\"\n";
    let told = play(4, stall, &[]);
    all_kept(&told);
    let (lost, still) = (
        told["lost"].as_u64().unwrap(),
        told["stood-still"].as_u64().unwrap(),
    );
    assert!(
        still > 0 && lost <= still,
        "{lost} lost, {still} since their balancer stood still"
    );
    let counts = &told["counts"];
    assert!(
        counts["on-time"].as_u64() > counts["offered"].as_u64().map(|offered| offered / 3),
        "{counts}"
    );
}

/// The same seed twice: the same calls, the same faults at the same points, the same verdict.
#[test]
fn a_seed_gives_the_same_run() {
    let _alone = alone();
    let faults = "\n[[fault]]\nat = \"1500 ms\"\nuntil = \"2500 ms\"\npart = 0.34\nwhat = { kill = {} }\n\
        [[fault]]\nat = \"1500 ms\"\nuntil = \"2500 ms\"\npart = 0.5\nwhat = { restart = { stale = \"1 s\" } }\n\
        [[bound]]\nname = \"back\"\nwhat = { back = { from = \"3 s\", part = 0.9, within = \"1 s\" } }\n";
    let [one, other] = [
        play(4, faults, &["--seed", "7"]),
        play(4, faults, &["--seed", "7"]),
    ];
    for told in [&one, &other] {
        all_kept(told);
        assert_eq!(told["processes"]["starts"], 6, "two of four started again");
        assert_eq!(told["bounds"][0]["name"], "back");
    }
    assert_eq!(one["counts"]["offered"], other["counts"]["offered"]);
    let ups = |told: &serde_json::Value| {
        told["steps"]
            .as_array()
            .unwrap()
            .iter()
            .map(|step| step["up"].clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(ups(&one)[1], serde_json::json!([2, 4]), "{:?}", ups(&one));
    assert_eq!(ups(&one)[..4], ups(&other)[..4]);
}

/// A bound that does not hold is told, and is the verdict.
#[test]
fn a_broken_bound_is_told() {
    let _alone = alone();
    let silent = "\n[[fault]]\nat = \"0 s\"\nwhat = \"silent\"\n[[bound]]\nname = \"served\"\n\
        what = { served = { from = \"0 s\", until = \"2 s\", least = 0.5 } }\n\
        [[bound]]\nname = \"told\"\nwhat = { told = { topic = \"zone\", from = \"0 s\", least = 1, within = \"3 s\" } }\n";
    // Logs are read at whole seconds: the calls time out between two of them, not at one.
    let scenario = SMALL
        .replace("time = \"4 s\"", "time = \"3 s\"")
        .replace("deadline = \"2 s\"", "deadline = \"1500 ms\"");
    let told = play_folder(&folder_of(&(scenario + silent)), &[]);
    assert_eq!(
        (&told["kept"], &told["bounds"][0]["kept"]),
        (&false.into(), &false.into())
    );
    assert_eq!(told["bounds"][0]["seen"], 0.0);
    assert_eq!(
        told["bounds"][1]["kept"], true,
        "a balancer says that it leaves its zone: {}",
        told["bounds"]
    );
    let rules = told["breaches"].as_object().unwrap();
    assert!(
        rules.values().all(|count| count == 0),
        "{}",
        told["first-breaches"]
    );
}
