//! The steps of the mechanism and the four rules, on the module alone.

mod common;
use common::*;
use std::collections::BTreeMap;
use woadstall_decisions::api::*;

fn counts(servers: impl IntoIterator<Item = u32>) -> BTreeMap<u32, u32> {
    let mut counts = BTreeMap::new();
    for server in servers {
        *counts.entry(server).or_insert(0) += 1;
    }
    counts
}

#[test]
fn healthy_own_zone_keeps_all_calls_and_gives_even_turns() {
    let mut rig = Rig::new(settings(), &zones(3, 4));
    let turns = counts((0..400).filter_map(|_| rig.serve(SAFE, 20 * MS)));
    assert_eq!(turns.keys().copied().collect::<Vec<_>>(), [0, 1, 2, 3]);
    assert!(
        turns.values().all(|&n| (90..=110).contains(&n)),
        "{turns:?}"
    );
}

/// Guards small fleets: a zone of one sound server is no zone in trouble.
#[test]
fn zone_is_left_only_when_none_of_its_servers_is_healthy() {
    for own in [1, 0] {
        let mut list = zones(3, 4);
        list.retain(|entry| entry.zone.0 != 0 || entry.server.0 < own);
        let mut rig = Rig::new(settings(), &list);
        let turns = counts((0..90).filter_map(|_| rig.serve(SAFE, 20 * MS)));
        assert_eq!(turns.len(), if own == 1 { 1 } else { 8 }, "{turns:?}");
    }
}

/// Guards work against being shed for answers that are spoilt: they come as fast as others, and nothing waits.
#[test]
fn failed_answers_are_no_jam() {
    let mut rig = Rig::new(settings(), &zones(3, 4));
    let mut open = std::collections::VecDeque::new();
    for call in 0..600 {
        rig.now += 10 * MS;
        let (id, actions) = rig.demand(UNSAFE);
        assert!(!refused(&actions), "call {call}");
        open.push_back(id);
        if open.len() > 14 {
            let outcome = if call % 2 == 0 {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            rig.end(open.pop_front().unwrap(), 0, outcome, 140 * MS);
        }
    }
}

#[test]
fn blackout_of_half_the_zone_leaves_it() {
    let mut rig = Rig::new(settings(), &zones(3, 4));
    rig.warm_up(40);
    for _ in 0..60 {
        rig.run(SAFE, |server| {
            if server < 2 {
                Outcome::Error
            } else {
                Outcome::Ok
            }
        });
    }
    let turns = counts((0..60).filter_map(|_| rig.serve(UNSAFE, 5 * MS)));
    assert!(turns.keys().any(|&server| server >= 4), "{turns:?}");
}

#[test]
fn zone_that_holds_twice_its_calm_calls_is_left() {
    let mut rig = Rig::new(settings(), &zones(3, 4));
    rig.warm_up(200);
    let servers: Vec<u32> = (0..40).filter_map(|_| sent(&rig.demand(SAFE).1)).collect();
    assert!(servers[..4].iter().all(|&server| server < 4), "{servers:?}");
    assert!(servers.iter().any(|&server| server >= 4), "{servers:?}");
}

#[test]
fn fully_tripped_zone_is_dropped_by_avoidance() {
    let mut rig = Rig::new(settings(), &zones(3, 3));
    rig.warm_up(40);
    rig.now += 2 * SECOND; // dead for so long that no answer tells otherwise
    for _ in 0..40 {
        rig.run(SAFE, |server| {
            if server < 3 {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            }
        });
    }
    // Unsafe calls are no trials, so that what is left are the ordinary picks.
    let turns = counts((0..60).filter_map(|_| rig.serve(UNSAFE, MS)));
    assert!(turns.keys().all(|&server| server >= 3), "{turns:?}");
    assert!(
        turns.keys().any(|&server| server < 6) && turns.keys().any(|&server| server >= 6),
        "{turns:?}"
    );
}

#[test]
fn server_at_its_limit_is_passed_over() {
    let mut rig = Rig::new(settings(), &zones(1, 4));
    rig.warm_up(100);
    let held = sent(&rig.demand(SAFE).1).expect("a server is free");
    let turns = counts((0..12).filter_map(|_| rig.serve(SAFE, MS)));
    assert!(!turns.contains_key(&held), "{held} in {turns:?}");
}

#[test]
fn all_at_the_limit_still_sends_at_once() {
    let mut rig = Rig::new(settings(), &zones(1, 2));
    rig.warm_up(50);
    let sends = (0..4)
        .filter(|_| sent(&rig.demand(UNSAFE).1).is_some())
        .count();
    assert_eq!(sends, 4);
}

#[test]
fn breaker_opens_after_failures_in_a_row_and_closes_by_a_trial() {
    let mut rig = Rig::new(settings(), &zones(1, 4));
    rig.warm_up(100);
    for _ in 0..20 {
        rig.run(SAFE, |server| {
            if server == 2 {
                Outcome::Reset
            } else {
                Outcome::Ok
            }
        });
    }
    let open = counts((0..20).filter_map(|_| rig.serve(UNSAFE, MS)));
    assert!(!open.contains_key(&2), "{open:?}");
    rig.now += 10 * SECOND;
    let healed = counts((0..40).filter_map(|_| rig.serve(SAFE, 20 * MS)));
    assert!(healed.contains_key(&2), "{healed:?}");
}

#[test]
fn half_open_breaker_lets_one_trial_out() {
    let mut rig = Rig::new(settings(), &zones(1, 4));
    rig.warm_up(100);
    for _ in 0..20 {
        rig.run(SAFE, |server| {
            if server == 2 {
                Outcome::Reset
            } else {
                Outcome::Ok
            }
        });
    }
    rig.now += 10 * SECOND;
    let first: Vec<u32> = (0..8).filter_map(|_| sent(&rig.demand(SAFE).1)).collect();
    assert_eq!(
        first.iter().filter(|&&server| server == 2).count(),
        1,
        "{first:?}"
    );
}

#[test]
fn refusals_as_full_do_not_trip_a_breaker() {
    let mut rig = Rig::new(settings(), &zones(1, 2));
    rig.warm_up(50);
    for _ in 0..30 {
        rig.run(SAFE, |server| {
            if server == 1 {
                Outcome::Full
            } else {
                Outcome::Ok
            }
        });
    }
    rig.now += SECOND / 2;
    let turns = counts((0..10).filter_map(|_| rig.serve(UNSAFE, 20 * MS)));
    assert!(turns.contains_key(&1), "{turns:?}");
}

#[test]
fn rule_1_every_request_is_answered_once() {
    let mut rig = Rig::new(settings(), &zones(3, 2));
    for outcome in [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Full,
        Outcome::Moot,
    ] {
        for class in [SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL] {
            let (tried, answer) = rig.run(class, |_| outcome);
            assert!(tried.len() <= 4);
            assert!(
                matches!(answer, Some(Action::Reject { .. } | Action::Fail(_))),
                "{outcome:?} {answer:?}"
            );
        }
    }
}

#[test]
fn rule_1_nothing_to_send_to_is_refused_at_once() {
    let mut rig = Rig::new(settings(), &[]);
    assert!(refused(&rig.demand(UNSAFE).1));
}

#[test]
fn rule_2_unsafe_work_that_may_have_run_is_failed_not_refused_or_repeated() {
    let mut rig = Rig::new(settings(), &zones(1, 4));
    let (tried, answer) = rig.run(UNSAFE, |_| Outcome::Reset);
    assert_eq!((tried.len(), answer), (1, Some(Action::Fail(RequestId(0)))));
    let (tried, _) = rig.run(UNSAFE, |_| Outcome::Full);
    assert_eq!(tried.len(), 4);
}

#[test]
fn rule_2_keyed_work_is_repeated_inside_its_group_and_window_only() {
    let mut rig = Rig::new(settings(), &zones(3, 4));
    let (tried, _) = rig.run(KEYED_ZONE, |_| Outcome::Error);
    assert!(
        tried.len() > 1 && tried.iter().all(|server| server / 4 == tried[0] / 4),
        "{tried:?}"
    );
    let (tried, _) = rig.run(KEYED_CELL, |_| Outcome::Error);
    assert!(
        tried.len() > 1 && tried.iter().all(|server| server % 2 == tried[0] % 2),
        "{tried:?}"
    );
    let (id, _) = rig.demand(KEYED_ALL);
    rig.now += SECOND + MS;
    assert_eq!(
        rig.end(id, 0, Outcome::Error, SECOND + MS),
        [Action::Fail(id)]
    );
}

#[test]
fn rule_3_drained_and_gone_servers_get_nothing_new() {
    let mut rig = Rig::new(settings(), &zones(1, 3));
    let mut drained = entry(1, 0);
    drained.lifecycle = Lifecycle::Draining;
    rig.tell(Event::ServerListChange(&[drained]));
    rig.tell(Event::ServerList(&[
        entry(0, 0),
        ServerEntry {
            lifecycle: Lifecycle::Draining,
            ..entry(1, 0)
        },
    ]));
    let turns = counts((0..30).filter_map(|_| sent(&rig.demand(UNSAFE).1)));
    assert_eq!(turns.keys().copied().collect::<Vec<_>>(), [0]);
}

#[test]
fn rule_4_cold_server_gets_its_warm_share_of_calls_times_its_warmth_at_most() {
    let mut list = zones(1, 4);
    let mut rig = Rig::new(settings(), &list);
    rig.warm_up(500);
    list[3].started = Some(rig.now);
    rig.tell(Event::ServerListChange(&list[3..]));
    let turns = counts((0..100).filter_map(|_| rig.serve(SAFE, 20 * MS)));
    let cold = turns.get(&3).copied().unwrap_or(0);
    assert!((1..=11).contains(&cold), "{turns:?}");
}

#[test]
fn rule_4_zone_back_cold_as_a_whole_is_spared_by_the_fallback_too() {
    let mut list = zones(3, 4);
    let mut rig = Rig::new(settings(), &list);
    rig.warm_up(500);
    for server in &mut list[..4] {
        server.started = Some(rig.now);
    }
    rig.tell(Event::ServerList(&list));
    let turns = counts((0..100).filter_map(|_| rig.serve(SAFE, 20 * MS)));
    let cold: u32 = turns.range(..4).map(|(_, n)| n).sum();
    assert!((1..=45).contains(&cold), "{turns:?}");
    assert_eq!(turns.values().sum::<u32>(), 100);
}

#[test]
fn safe_work_is_retried_elsewhere_within_the_retry_budget() {
    let mut rig = Rig::new(settings(), &zones(1, 8));
    let (tried, _) = rig.run(SAFE, |_| Outcome::Error);
    assert_eq!(tried.len(), 4);
    assert!(tried.windows(2).all(|pair| pair[0] != pair[1]), "{tried:?}");
    let attempts: usize = (0..200)
        .map(|_| rig.run(SAFE, |_| Outcome::Error).0.len())
        .sum();
    assert!(
        (200..=260).contains(&attempts),
        "{attempts} attempts for 200 requests"
    );
}

#[test]
fn discovery_is_asked_once_and_again_after_a_jittered_wait() {
    let mut rig = Rig {
        balancer: woadstall_decisions::Balancer::new(asked(), 5, 0).unwrap(),
        now: 0,
        next_id: 0,
    };
    let first = rig.tell(Event::ServerList(&zones(1, 2)));
    let [Action::SetTimer { token, .. }] = first[..] else {
        panic!("{first:?}")
    };
    assert_eq!(rig.tell(Event::Timer(token)), [Action::Subscribe]);
    assert_eq!(rig.tell(Event::ServerListChange(&[])), []);
    let again = rig.tell(Event::SubscriptionFailed);
    assert!(
        matches!(again[..], [Action::SetTimer { after, .. }, Action::Log(_)] if after <= SECOND),
        "{again:?}"
    );
}

/// A change counts as told 6 s after discovery had it: no wait sleeps over that, however often it failed before.
#[test]
fn discovery_is_asked_again_soon_however_often_it_failed() {
    for seed in 0..20 {
        let balancer = woadstall_decisions::Balancer::new(asked(), seed, 0).unwrap();
        let mut rig = Rig {
            balancer,
            now: 0,
            next_id: 0,
        };
        rig.tell(Event::ServerList(&zones(1, 2)));
        for failures in 1..=20 {
            rig.now += 10 * SECOND;
            let actions = rig.tell(Event::SubscriptionFailed);
            let after = actions.iter().find_map(|action| match action {
                Action::SetTimer { after, .. } => Some(*after),
                _ => None,
            });
            assert!(
                after.is_some_and(|after| after <= 2 * SECOND),
                "seed {seed}, {failures} failures: {after:?}"
            );
        }
    }
}

fn asked() -> Settings {
    Settings {
        subscribes_to_discovery: true,
        ..settings()
    }
}

#[test]
fn client_that_left_gets_no_answer_and_its_attempt_is_cancelled() {
    let mut rig = Rig::new(settings(), &zones(1, 2));
    let (id, _) = rig.demand(SAFE);
    assert_eq!(
        rig.tell(Event::ClientDisconnected(id)),
        [Action::Cancel { id, attempt: 0 }]
    );
    assert_eq!(rig.tell(Event::ClientDisconnected(id)), []);
    assert_eq!(rig.end(id, 0, Outcome::Cancelled, MS), []);
}

#[test]
fn overload_sheds_the_lowest_worth_first() {
    let mut rig = Rig::new(settings(), &zones(1, 4));
    rig.warm_up(100);
    let mut out = std::collections::VecDeque::new();
    let mut served = [0, 0];
    // 400 requests a second of each class; 100 answers a second.
    for step in 0..2000 {
        rig.now += 5 * MS;
        for class in [SAFE, UNSAFE, SAFE, UNSAFE] {
            let (id, actions) = rig.demand(class);
            if sent(&actions).is_some() {
                out.push_back((id, rig.now));
                served[class] += u32::from(step > 400);
            }
        }
        if let (0, Some((id, at))) = (step % 2, out.front().copied()) {
            out.pop_front();
            rig.end(id, 0, Outcome::Ok, rig.now - at);
        }
    }
    assert!(served[SAFE] * 10 < served[UNSAFE], "{served:?}");
    assert!(
        out.len() < 100,
        "{} held at 100 answers a second and an aim of 500 ms",
        out.len()
    );
}

/// Callers that are refused come again, and so all tenants came to more than their quotas: the one that surged
/// was told from the others by chance alone, and a third of these were refused for it.
#[test]
fn a_tenant_that_surges_is_shed_before_the_others() {
    let tenants = vec![Tenant { quota_rps: 160.0 }; 4];
    let mut rig = Rig::new(
        Settings {
            tenants,
            value_by_work: true,
            ..settings()
        },
        &zones(1, 4),
    );
    rig.warm_up(100);
    let mut out = std::collections::VecDeque::new();
    let mut again = std::collections::VecDeque::<(u64, usize, u32)>::new();
    let (mut asked, mut served) = ([0; 4], [0; 4]);
    // 220 answers a second. Three tenants want 50 calls a second each, of the 40 that are this balancer's part of
    // their quotas, the first one wants 1,000; all try three times.
    for step in 0..8000 {
        rig.now += 5 * MS / 2;
        let mut calls: Vec<(usize, u32)> = [0, 0, 0, 0, 0]
            .into_iter()
            .take(step % 4 + 1)
            .map(|t| (t, 1))
            .collect();
        if step % 8 < 3 {
            calls.push((step % 8 + 1, 1));
        }
        while again.front().is_some_and(|&(at, ..)| at <= rig.now) {
            calls.extend(again.pop_front().map(|(_, tenant, tries)| (tenant, tries)));
        }
        for (tenant, tries) in calls {
            let id = RequestId(rig.next_id);
            rig.next_id += 1;
            let demand = RequestParameters {
                class: KEYED_ALL,
                tenant,
                time_left: 2 * SECOND,
                work: None,
                max_attempts: 9,
            };
            let actions = rig.tell(Event::Request(id, demand));
            let taken = sent(&actions).is_some();
            asked[tenant] += u32::from(step > 2000 && tries == 1);
            if taken {
                out.push_back((id, rig.now));
                served[tenant] += u32::from(step > 2000 && tries == 1);
            } else if tries < 3 {
                again.push_back((rig.now + 50 * MS, tenant, tries + 1));
            }
        }
        if let (true, Some((id, at))) = (step % 20 < 11, out.front().copied()) {
            out.pop_front();
            rig.end(id, 0, Outcome::Ok, rig.now - at);
        }
    }
    for tenant in 1..4 {
        assert!(
            served[tenant] * 20 > asked[tenant] * 19,
            "{served:?} of {asked:?}"
        );
    }
    assert!(served[0] * 4 < asked[0], "{served:?} of {asked:?}");
}

#[test]
fn unequal_servers_take_turns_by_size() {
    let mut list = zones(1, 4);
    list[0].size = 0.5;
    let mut rig = Rig::new(settings(), &list);
    let turns = counts((0..350).filter_map(|_| rig.serve(SAFE, 20 * MS)));
    assert!(
        (40..=60).contains(&turns[&0]) && (90..=110).contains(&turns[&1]),
        "{turns:?}"
    );
}

#[test]
fn log_lines_tell_what_happens_without_flooding() {
    let log = |actions: &[Action], part: &str| {
        actions
            .iter()
            .filter(|a| matches!(a, Action::Log(text) if text.contains(part)))
            .count()
    };
    let mut rig = Rig::new(settings(), &zones(2, 4));
    rig.warm_up(100);
    let mut all = Vec::new();
    for _ in 0..100 {
        let (id, mut actions) = rig.demand(SAFE);
        for attempt in 0..4 {
            all.extend(actions.clone());
            let Some(server) = sent(&actions) else { break };
            rig.now += 10 * MS;
            let outcome = if server < 4 {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            actions = rig.end(id, attempt, outcome, 10 * MS);
        }
        all.extend(actions);
    }
    let lines = [log(&all, "breaker of server"), log(&all, "zone left")];
    assert!(lines.iter().all(|n| (1..=2).contains(n)), "{lines:?}");
    let failed = rig.tell(Event::SubscriptionFailed);
    assert_eq!(log(&failed, "discovery failed 1 times"), 1);
}

/// Guards restarts during a release: a balancer that knows nothing yet still uses servers that are all cold.
#[test]
fn fresh_balancer_uses_a_fleet_that_is_cold() {
    let mut list = zones(3, 1);
    list.iter_mut()
        .for_each(|entry| entry.started = Some(SECOND / 2));
    let mut rig = Rig::new(settings(), &list);
    let served = (0..200).filter_map(|_| rig.serve(SAFE, 20 * MS)).count();
    assert!(
        served > 40,
        "{served} of 200 calls in 4 s, at a quarter of the capacity and more"
    );
}

#[test]
fn unsound_settings_are_refused_by_field() {
    let check = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        woadstall_decisions::Balancer::new(settings, 1, 0)
            .map(|_| ())
            .unwrap_err()
            .to_string()
    };
    assert_eq!(check(|s| s.classes.clear()), "`classes` is empty");
    assert_eq!(check(|s| s.zone = ZoneId(3)), "`zone` is 3 of 3 zones");
    assert_eq!(
        check(|s| s.slow_start_capacity = f64::NAN),
        "`start_capacity` is NaN, not between 0 and 1"
    );
    assert_eq!(
        check(|s| s.over_quota_value = f64::INFINITY),
        "`over_quota_worth` is inf"
    );
    assert_eq!(
        check(|s| s.classes[2].late_value = -1.0),
        "`classes[2].late_worth` is -1"
    );
    assert_eq!(
        check(|s| s.tenants = vec![Tenant {
            quota_rps: f64::NAN
        }]),
        "`tenants[0].quota_rps` is NaN"
    );
}

/// Guards against leaving a zone for good: dropped once all of its breakers were open, none of them ever got
/// the trial that closes it, until the list named other processes.
#[test]
fn fully_tripped_zone_is_tried_again_and_taken_again() {
    for servers in [1, 3] {
        let mut list = zones(3, 3);
        list.retain(|entry| entry.zone.0 != 0 || entry.server.0 < servers);
        let mut rig = Rig::new(settings(), &list);
        rig.warm_up(40);
        rig.now += 2 * SECOND;
        for _ in 0..40 {
            rig.run(SAFE, |server| {
                if server < servers {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Ok
                }
            });
        }
        // Its servers are well again. What is known of failures fades within some ten seconds.
        let home = |rig: &mut Rig| {
            (0..100)
                .filter_map(|_| rig.serve(SAFE, 50 * MS))
                .filter(|at| *at < servers)
                .count()
        };
        for _ in 0..10 {
            home(&mut rig);
        }
        assert!(home(&mut rig) > 90, "{servers} servers");
    }
}
