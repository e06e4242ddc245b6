//! Operators' words on places, as the daemon takes them: told at one, carried out by all, ended by themselves.

mod common;

use common::*;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;
use woadstall_mock_servers::http1::{
    Reaction, Upstream, config, ok_response, refused_address, target,
};

fn folder(name: &str) -> PathBuf {
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    std::fs::write(path.join("key"), "00112233445566778899aabbccddeeff\n").unwrap();
    path
}

/// Two zones with an upstream each, which says where it is.
fn upstreams() -> (Vec<Upstream>, serde_json::Value) {
    let zones: [&'static str; 2] = ["a", "b"];
    let all: Vec<Upstream> = zones
        .into_iter()
        .map(|zone| Upstream::start(move |_| Reaction::Respond(ok_response(zone))))
        .collect();
    let targets: Vec<String> = all
        .iter()
        .zip(zones)
        .map(|(upstream, zone)| {
            target(&format!("nodo-{zone}"), upstream.address, "in_service")
                .replace(r#""az":"a""#, &format!(r#""az":"{zone}""#))
        })
        .collect();
    let mut config = config(refused_address(), &targets);
    config["settings"]["Zones"] = serde_json::json!(zones);
    (all, config)
}

fn start(
    folder: &Path,
    name: &str,
    seeds: &str,
    config: &serde_json::Value,
) -> (Program, Operators, String) {
    let free = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let text = format!(
        "[instances]\nlisten = \"{free}\"\nkey_file = \"key\"\nseeds = [{seeds}]\n\
         [evacuation]\n[evacuation.regions]\na = \"west\"\nb = \"east\"\n"
    );
    let file = folder.join(format!("{name}.toml"));
    std::fs::write(&file, text).unwrap();
    let environment = [
        ("LB_OPERATOR", file.to_str().unwrap().to_owned()),
        ("LB_NAME", name.to_owned()),
    ];
    let (program, admin) = Program::start_in(config, &environment);
    (program, admin, free)
}

fn run_domain_command(admin: &Operators, words: &[&str]) -> (bool, String) {
    let at = admin.address.to_string();
    let output = Command::new(common::program::program_path())
        .args(words)
        .args(["--admin", &at])
        .output()
        .unwrap();
    let said = if output.status.success() {
        output.stdout
    } else {
        output.stderr
    };
    (output.status.success(), String::from_utf8(said).unwrap())
}

fn zone_of(program: &Program) -> String {
    String::from_utf8(program.call("look").body).unwrap()
}

#[test]
fn an_order_at_one_balancer_is_followed_by_all() {
    let folder = folder("words");
    let (_upstreams, config) = upstreams();
    let (one, admin, at) = start(&folder, "balancer-one", "", &config);
    let (mut two, other, _) = start(&folder, "balancer-two", &format!("{at:?}"), &config);
    until("they find each other", || {
        [&admin, &other]
            .iter()
            .all(|admin| admin.figures()[r#"balancer_members{state="alive"}"#] == 1.0)
    });
    assert!((0..10).all(|_| zone_of(&one) == "a" && zone_of(&two) == "a"));
    let (_, text) = run_domain_command(&other, &["zone", "status"]);
    assert!(
        text.contains("zone a: in use, epoch 0, share 100%, 1 nodos in service"),
        "{text}"
    );

    assert_eq!(
        run_domain_command(&admin, &["zone", "leave", "a", "--for", "5m"]),
        (true, String::new())
    );
    until("all are out", || {
        zone_of(&one) == "b" && zone_of(&two) == "b"
    });
    assert!((0..20).all(|_| zone_of(&two) == "b"));
    two.logged("places: zone a: an operator's word, leave, for ");
    let (_, text) = run_domain_command(&other, &["zone", "status", "a"]);
    assert!(
        text.contains("share 0%") && text.contains("an operator's word: leave, for "),
        "{text}"
    );
    assert_eq!(
        other.figures()[r#"balancer_place_share{place="zone a"}"#],
        0.0
    );

    // Another operator, elsewhere, later: the last word holds. Never all places: where both are left, none is.
    assert!(run_domain_command(&other, &["zone", "hold", "a", "--for", "1m"]).0);
    until("the last word holds", || {
        zone_of(&one) == "a" && zone_of(&two) == "a"
    });
    assert!(run_domain_command(&other, &["region", "leave", "west", "--for", "1m"]).0);
    until("a region is its zones", || zone_of(&one) == "b");
    assert!(run_domain_command(&other, &["region", "leave", "east", "--for", "1m"]).0);
    until("all is left, so nothing is", || zone_of(&one) == "a");
    assert!(
        run_domain_command(&other, &["region", "return", "east"]).0
            && run_domain_command(&admin, &["region", "return", "west"]).0
    );
    // A word that is over is over.
    assert!(run_domain_command(&admin, &["zone", "leave", "a", "--for", "1s"]).0);
    until("it is left", || zone_of(&two) == "b");
    until("it ends by itself", || {
        zone_of(&two) == "a" && zone_of(&one) == "a"
    });

    let (sound, text) = run_domain_command(&admin, &["zone", "leave", "c"]);
    assert!(!sound && text.contains("no zone c"), "{text}");
    let (sound, text) = run_domain_command(&admin, &["nodo", "leave", "a/b"]);
    assert!(!sound && text.contains("is no name of a nodo"), "{text}");
    let (sound, text) = run_domain_command(&admin, &["zone", "leave", "a", "--for", "soon"]);
    assert!(!sound && text.contains("--for"), "{text}");
    assert_eq!(admin.post("/control/places/leave/zone/a").status(), 400);
    assert_eq!(admin.post("/control/places/burn/zone/a/10").status(), 400);
    assert_eq!(admin.get("/control/places/leave/zone/a/10").status(), 404);
    std::fs::remove_dir_all(folder).unwrap();
}

/// Without the section there is no such call, no figure, and the command says why; without members it is refused.
#[test]
fn absent_there_is_nothing_of_it() {
    let (_upstreams, config) = upstreams();
    let (_program, admin) = Program::start_with_admin(&config);
    assert_eq!(admin.get("/control/places").status(), 404);
    assert!(!admin.figures().keys().any(|name| name.contains("place")));
    let (sound, text) = run_domain_command(&admin, &["zone", "status"]);
    assert!(
        !sound && text.contains("no `[evacuation]` in its operators' file"),
        "{text}"
    );
    let (sound, _) = run_domain_command(&admin, &["zone", "leave", "a"]);
    assert!(!sound);
}
