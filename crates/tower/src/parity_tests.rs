//! The plug-in's engine and the daemon's do the same, to the byte, when they are told the same.

use crate::ask::Classes;
use woadstall_engine::{AttemptEnd, Call, Engine, Input, Outcome, RequestId, Time};

const MS: u64 = 1_000_000;

/// A recorded day: lists, requests, ends, drains, deaths, timers, at recorded times.
fn play(mut engine: Engine<u32, u32>, names: &woadstall_settings::Names, tape: u64) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(tape);
    let mut now: Time = 1_700_000_000_000 * MS;
    let (mut done, mut out, mut next) = (Vec::new(), Vec::new(), 0);
    let listing = |all: bool, members: &[(usize, &str, u64)]| {
        let targets: Vec<_> = members
            .iter()
            .map(|(at, state, boot_ms)| {
                serde_json::json!({"uid": format!("s-{at}"), "endpoint": format!("127.0.0.1:{}", 9000 + at),
                    "az": names.zones[at % names.zones.len()], "state": state, "boot_ms": boot_ms})
            })
            .collect();
        let text = serde_json::json!({"rev": 1, "all": all, "targets": targets});
        serde_json::from_value::<woadstall_discovery::EndpointList>(text)
            .unwrap()
            .entries(names)
    };
    let first: Vec<_> = (0..9).map(|at| (at, "in_service", 0)).collect();
    engine.handle(
        now,
        Input::EndpointsListed {
            entries: &listing(true, &first),
            is_complete: true,
        },
    );
    for _ in 0..4000 {
        now += rng.u64(..8 * MS);
        while let Some(at) = engine.wake_at().filter(|at| *at <= now) {
            engine.handle(at, Input::Tick);
        }
        match rng.u32(..100) {
            0 => {
                let state = ["in_service", "terminating", "terminated"][rng.usize(..3)];
                let boot = if rng.bool() { now / MS } else { 0 };
                let changed = listing(false, &[(rng.usize(..9), state, boot)]);
                engine.handle(
                    now,
                    Input::EndpointsListed {
                        entries: &changed,
                        is_complete: false,
                    },
                );
            }
            1 => engine.handle(now, Input::DiscoveryFailed),
            2..=45 => {
                let (class, deadline) = (
                    rng.usize(..names.classes.len()),
                    now + rng.u64(..2_000 * MS),
                );
                let (id, work) = (RequestId(next), rng.bool().then(|| rng.u64(..90 * MS)));
                let call = Call {
                    id,
                    request: next,
                    class,
                    tenant: 0,
                    work,
                    deadline,
                    max_attempts: u32::MAX,
                };
                next += 1;
                engine.handle(now, Input::Call(call));
            }
            46..=48 => engine.handle(
                now,
                Input::CallerDisconnected(RequestId(rng.u32(..next.max(1)))),
            ),
            _ if !out.is_empty() => {
                let (id, attempt) = out.swap_remove(rng.usize(..out.len()));
                let outcomes = [
                    Outcome::Error,
                    Outcome::Full,
                    Outcome::Reset,
                    Outcome::ConnectFailed,
                ];
                let failed = rng.u32(..10) == 0;
                let outcome = if failed {
                    outcomes[rng.usize(..4)]
                } else {
                    Outcome::Ok
                };
                let ended = AttemptEnd {
                    outcome,
                    response: (!failed).then_some(next),
                    load: None,
                };
                engine.handle(
                    now,
                    Input::AttemptEnded {
                        id,
                        attempt,
                        end: ended,
                    },
                );
            }
            _ => {}
        }
        while let Some(command) = engine.next_command() {
            if let woadstall_engine::Command::SendAttempt(send) = &command {
                out.push((send.id, send.attempt));
            }
            done.push(format!("{now} {command:?}"));
        }
    }
    done
}

#[test]
fn recorded_inputs_give_the_same_commands_in_daemon_and_plug_in() {
    // Both tiers that tell the two apart: only the first sheds, by the classes that there are.
    for tier in [0, 1] {
        for tape in 0..8 {
            let mut config = woadstall_mock_servers::http1::config(([127, 0, 0, 1], 1).into(), &[]);
            config["settings"]["Layer"] = tier.into();
            config["settings"]["Zones"] = serde_json::json!(["a", "b", "c"]);
            for class in config["settings"]["Classes"].as_array_mut().unwrap() {
                class["AimNs"] = 200_000_000_u64.into(); // so that late answers and shedding come up
                class["WindowNs"] = 300_000_000_u64.into();
            }
            let text = config["settings"].to_string();
            let settings = woadstall_settings::parse_settings(text.as_bytes()).unwrap();
            let names = woadstall_settings::parse_names(text.as_bytes()).unwrap();
            let mut extended = settings.clone();
            Classes::new(
                &mut extended,
                names.clone(),
                &[("/p.P/Look".into(), "look".into())],
            )
            .unwrap();
            assert!(extended.classes.len() > settings.classes.len());
            let start = 1_700_000_000_000 * MS;
            let daemon = play(Engine::new(settings, 5, start).unwrap(), &names, tape);
            let plugin = play(Engine::new(extended, 5, start).unwrap(), &names, tape);
            assert!(daemon.len() > 3000, "{} commands", daemon.len());
            let differs = daemon
                .iter()
                .zip(&plugin)
                .find(|(daemon, plugin)| daemon != plugin);
            assert_eq!(
                (differs, daemon.len()),
                (None, plugin.len()),
                "tier {tier}, tape {tape}"
            );
        }
    }
}
