//! Tests of operator orders to evacuate failure domains: an order at one balancer applies to all balancers,
//! and expires by itself.

mod common;

use common::*;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;
use woadstall_mock_servers::http1::{
    Reaction, Upstream, config, ok_response, refused_address, target,
};

fn directory(name: &str) -> PathBuf {
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    std::fs::write(path.join("key"), "00112233445566778899aabbccddeeff\n").unwrap();
    path
}

/// Starts one upstream in each of two zones; each upstream responds with the name of its zone.
fn upstreams() -> (Vec<Upstream>, serde_json::Value) {
    let zones: [&'static str; 2] = ["a", "b"];
    let upstreams: Vec<Upstream> = zones
        .into_iter()
        .map(|zone| Upstream::start(move |_| Reaction::Respond(ok_response(zone))))
        .collect();
    let targets: Vec<String> = upstreams
        .iter()
        .zip(zones)
        .map(|(upstream, zone)| {
            target(&format!("nodo-{zone}"), upstream.address, "in_service")
                .replace(r#""az":"a""#, &format!(r#""az":"{zone}""#))
        })
        .collect();
    let mut config = config(refused_address(), &targets);
    config["settings"]["Zones"] = serde_json::json!(zones);
    (upstreams, config)
}

/// Starts a balancer with an operator file; returns the program, its admin client and its membership address.
fn start(
    directory: &Path,
    name: &str,
    seeds: &str,
    config: &serde_json::Value,
) -> (Program, AdminClient, String) {
    let membership_address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let text = format!(
        "[instances]\nlisten = \"{membership_address}\"\nkey_file = \"key\"\nseeds = [{seeds}]\n\
         [evacuation]\n[evacuation.regions]\na = \"west\"\nb = \"east\"\n"
    );
    let file = directory.join(format!("{name}.toml"));
    std::fs::write(&file, text).unwrap();
    let environment = [
        ("LB_OPERATOR", file.to_str().unwrap().to_owned()),
        ("LB_NAME", name.to_owned()),
    ];
    let (program, admin) = Program::start_with_admin_and_env(config, &environment);
    (program, admin, membership_address)
}

/// Runs an operator's command; returns whether it succeeded, and its output or its error message.
fn run_domain_command(admin: &AdminClient, arguments: &[&str]) -> (bool, String) {
    let address = admin.address.to_string();
    let output = Command::new(common::program::program_path())
        .args(arguments)
        .args(["--admin", &address])
        .output()
        .unwrap();
    let output_bytes = if output.status.success() {
        output.stdout
    } else {
        output.stderr
    };
    (
        output.status.success(),
        String::from_utf8(output_bytes).unwrap(),
    )
}

/// Returns the zone whose upstream responds to a call.
fn responding_zone(program: &Program) -> String {
    String::from_utf8(program.call("look").body).unwrap()
}

fn assert_invalid_commands_are_rejected(admin: &AdminClient) {
    let (is_accepted, text) = run_domain_command(admin, &["zone", "leave", "c"]);
    assert!(!is_accepted && text.contains("no zone c"), "{text}");
    let (is_accepted, text) = run_domain_command(admin, &["nodo", "leave", "a/b"]);
    assert!(
        !is_accepted && text.contains("is no name of a nodo"),
        "{text}"
    );
    let (is_accepted, text) = run_domain_command(admin, &["zone", "leave", "a", "--for", "soon"]);
    assert!(!is_accepted && text.contains("--for"), "{text}");
    assert_eq!(admin.post("/control/places/leave/zone/a").status(), 400);
    assert_eq!(admin.post("/control/places/burn/zone/a/10").status(), 400);
    assert_eq!(admin.get("/control/places/leave/zone/a/10").status(), 404);
}

#[test]
fn an_order_at_one_balancer_is_followed_by_all() {
    let directory = directory("orders");
    let (_upstreams, config) = upstreams();
    let (first, admin, address) = start(&directory, "balancer-one", "", &config);
    let (mut second, other_admin, _) =
        start(&directory, "balancer-two", &format!("{address:?}"), &config);
    wait_until("the balancers discover each other", || {
        [&admin, &other_admin]
            .iter()
            .all(|admin| admin.metrics()[r#"balancer_members{state="alive"}"#] == 1.0)
    });
    assert!((0..10).all(|_| responding_zone(&first) == "a" && responding_zone(&second) == "a"));
    let (_, text) = run_domain_command(&other_admin, &["zone", "status"]);
    assert!(
        text.contains("zone a: in use, epoch 0, share 100%, 1 nodos in service"),
        "{text}"
    );

    assert_eq!(
        run_domain_command(&admin, &["zone", "leave", "a", "--for", "5m"]),
        (true, String::new())
    );
    wait_until("both balancers leave zone a", || {
        responding_zone(&first) == "b" && responding_zone(&second) == "b"
    });
    assert!((0..20).all(|_| responding_zone(&second) == "b"));
    second.wait_for_log("places: zone a: an operator's word, leave, for ");
    let (_, text) = run_domain_command(&other_admin, &["zone", "status", "a"]);
    assert!(
        text.contains("share 0%") && text.contains("an operator's word: leave, for "),
        "{text}"
    );
    assert_eq!(
        other_admin.metrics()[r#"balancer_place_share{place="zone a"}"#],
        0.0
    );

    // The latest order wins, whichever balancer receives it. An evacuation of both regions is ignored, so
    // that some domain always stays in use.
    assert!(run_domain_command(&other_admin, &["zone", "hold", "a", "--for", "1m"]).0);
    wait_until("the latest order applies", || {
        responding_zone(&first) == "a" && responding_zone(&second) == "a"
    });
    assert!(run_domain_command(&other_admin, &["region", "leave", "west", "--for", "1m"]).0);
    wait_until("an order for a region applies to its zones", || {
        responding_zone(&first) == "b"
    });
    assert!(run_domain_command(&other_admin, &["region", "leave", "east", "--for", "1m"]).0);
    wait_until("an evacuation of all regions is ignored", || {
        responding_zone(&first) == "a"
    });
    assert!(
        run_domain_command(&other_admin, &["region", "return", "east"]).0
            && run_domain_command(&admin, &["region", "return", "west"]).0
    );
    // An order ends when its time expires.
    assert!(run_domain_command(&admin, &["zone", "leave", "a", "--for", "1s"]).0);
    wait_until("the balancer leaves zone a", || {
        responding_zone(&second) == "b"
    });
    wait_until("the order expires", || {
        responding_zone(&second) == "a" && responding_zone(&first) == "a"
    });

    assert_invalid_commands_are_rejected(&admin);
    std::fs::remove_dir_all(directory).unwrap();
}

/// Without the section `[evacuation]`, the operator API has no such calls and metrics, and the commands fail
/// with the reason.
#[test]
fn without_the_section_there_are_no_calls_and_no_metrics() {
    let (_upstreams, config) = upstreams();
    let (_program, admin) = Program::start_with_admin(&config);
    assert_eq!(admin.get("/control/places").status(), 404);
    assert!(!admin.metrics().keys().any(|name| name.contains("place")));
    let (is_accepted, text) = run_domain_command(&admin, &["zone", "status"]);
    assert!(
        !is_accepted && text.contains("no `[evacuation]` in its operators' file"),
        "{text}"
    );
    let (is_accepted, _) = run_domain_command(&admin, &["zone", "leave", "a"]);
    assert!(!is_accepted);
}
