//! Tests of load shedding: its beginning, its end, and the choice of the requests that are
//! rejected.

use crate::common::*;
use woadstall_decisions::api::*;

/// Guards against late shedding: the latency of past responses shows an overload late, while the
/// ratio of pending requests to responses shows it at once.
#[test]
fn shedding_starts_while_congestion_builds_up_and_ends_with_it() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    harness.warm_up(200);
    let mut pending = std::collections::VecDeque::new();
    let mut first_rejection = None;
    for _ in 0..400 {
        harness.now += 5 * MS;
        for _ in 0..2 {
            let (id, actions) = harness.request(SAFE);
            match sent_to(&actions) {
                Some(_) => pending.push_back((id, harness.now)),
                None => first_rejection = first_rejection.or(Some(harness.now)),
            }
        }
        if pending
            .front()
            .is_some_and(|(_, sent_at)| harness.now - sent_at > 20 * MS)
        {
            let (id, sent_at) = pending.pop_front().expect("a call is pending");
            harness.end(id, 0, Outcome::Ok, harness.now - sent_at);
        }
    }
    let longest_wait = pending
        .front()
        .map_or(0, |(_, sent_at)| harness.now - sent_at);
    assert!(
        first_rejection.is_some() && longest_wait < 500 * MS,
        "the oldest call waits {} ms",
        longest_wait / MS
    );
    while let Some((id, sent_at)) = pending.pop_front() {
        harness.now += 2 * MS;
        harness.end(id, 0, Outcome::Ok, harness.now - sent_at);
    }
    harness.warm_up(40);
    assert!((0..20).all(|_| harness.serve(SAFE, 20 * MS).is_some()));
}

/// Guards against counting rejected calls as fast responses: a tier whose servers rejected most
/// calls looked fast, and no load was shed.
#[test]
fn fast_failures_do_not_count_as_fast_responses() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    harness.warm_up(200);
    let mut pending = std::collections::VecDeque::new();
    let mut shed = 0;
    for call in 0..600 {
        harness.now += 2 * MS;
        let (id, mut actions) = harness.request(SAFE);
        shed += u32::from(sent_to(&actions).is_none());
        let mut attempt = 0;
        // Servers reject all attempts of four in five calls; the fifth call is in flight for long.
        while sent_to(&actions).is_some() {
            if call % 5 == 0 {
                pending.push_back((id, attempt, harness.now));
                break;
            }
            actions = harness.end(id, attempt, Outcome::Full, MS / 10);
            attempt += 1;
        }
        if pending
            .front()
            .is_some_and(|(_, _, sent_at)| harness.now - sent_at > 450 * MS)
        {
            let (id, attempt, sent_at) = pending.pop_front().expect("a call is pending");
            harness.end(id, attempt, Outcome::Ok, harness.now - sent_at);
        }
    }
    assert!(shed > 100, "{shed} of 600 were shed");
}

/// Guards against random rejections at a balancer with one or two calls per second, whose response
/// window held only one or two responses.
#[test]
fn balancer_with_few_calls_sheds_none_by_chance() {
    let mut harness = Harness::new(settings(), &zones(1, 6));
    for call in 0..200u64 {
        harness.now += 500 * MS;
        let latency = [60, 450, 150, 300][call as usize % 4] * MS;
        assert!(
            harness.serve(SAFE, latency).is_some(),
            "call {call} was rejected"
        );
    }
}

/// Guards against missing an overload in which no responses arrive at all: a relative latency
/// computed from responses showed no overload then, and no load was shed.
#[test]
fn overload_without_any_response_is_shed() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    harness.warm_up(200);
    harness.now += 3 * SECOND; // the responses before the overload have decayed
    let mut accepted = 0;
    for _ in 0..400 {
        harness.now += 5 * MS;
        accepted += u32::from(sent_to(&harness.request(SAFE).1).is_some());
    }
    assert!(accepted < 200, "{accepted} of 400 calls were accepted");
}

/// Guards against shedding without overload: calls whose usual latency is a third of their target
/// were shed without any gain.
#[test]
fn calls_that_take_a_third_of_their_target_without_load_are_not_shed() {
    let mut harness = Harness::new(settings(), &zones(1, 12));
    let (mut pending, mut rejections) = (std::collections::VecDeque::new(), 0);
    for step in 0..2000 {
        harness.now += 10 * MS;
        while pending
            .front()
            .is_some_and(|(_, sent_at)| harness.now - sent_at >= 180 * MS)
        {
            let (id, sent_at): (RequestId, u64) = pending.pop_front().expect("a call is pending");
            harness.end(id, 0, Outcome::Ok, harness.now - sent_at);
        }
        let (id, actions) = harness.request(SAFE);
        // In the first seconds, no rate is known yet.
        rejections += u32::from(step > 200 && is_rejected(&actions));
        pending.push_back((id, harness.now));
    }
    assert_eq!(rejections, 0);
}

/// Guards against shedding by chance with calls of very different lengths. At ten calls per second
/// and a mean latency a little under half of the target, one in fifty calls was rejected, because
/// the mean length of the few calls in a second varies at random.
#[test]
fn few_calls_of_different_lengths_are_hardly_shed() {
    let (mut harness, mut rng) = (
        Harness::new(settings(), &zones(1, 12)),
        fastrand::Rng::with_seed(7),
    );
    let (mut pending, mut rejections, mut calls) = (Vec::new(), 0, 0);
    for step in 0..20_000 {
        harness.now += 10 * MS;
        pending.retain(|&(id, sent_at, latency)| {
            let has_ended = harness.now - sent_at >= latency;
            if has_ended {
                harness.end(id, 0, Outcome::Ok, latency);
            }
            !has_ended
        });
        if rng.u32(0..10) == 0 {
            let (id, actions) = harness.request(SAFE);
            let is_counted = step > 500; // in the first seconds, no rate is known yet
            calls += u32::from(is_counted);
            rejections += u32::from(is_counted && is_rejected(&actions));
            pending.push((id, harness.now, rng.u64(40..=400) * MS));
        }
    }
    assert!(
        rejections * 200 < calls,
        "{rejections} of {calls} were rejected"
    );
}

/// Guards load shedding with hundreds of balancers. Each balancer gets a few requests per second,
/// and too few responses in one second to detect an overload; all balancers together continued to
/// send until no call was served in time.
#[test]
fn balancer_with_few_calls_sheds_in_an_overload() {
    let long = |class: Class| Class {
        latency_target: 2 * SECOND,
        deadline: 8 * SECOND,
        ..class
    };
    let settings = Settings {
        classes: settings().classes.into_iter().map(long).collect(),
        ..settings()
    };
    let mut harness = Harness::new(settings, &zones(1, 12));
    let (mut pending, mut rejections) = (std::collections::VecDeque::new(), 0);
    for step in 0..300 {
        // Three calls per second. Responses take 250 ms at first, and in the overload 3 s with a
        // latency target of 2 s.
        let latency = if step < 100 { 250 * MS } else { 3 * SECOND };
        harness.now += 333 * MS;
        while pending
            .front()
            .is_some_and(|&(_, _, due)| harness.now >= due)
        {
            let (id, sent_at, _): (RequestId, u64, u64) =
                pending.pop_front().expect("a call is pending");
            harness.end(id, 0, Outcome::Ok, harness.now - sent_at);
        }
        let id = RequestId(harness.next_id);
        harness.next_id += 1;
        let parameters = RequestParameters {
            class: SAFE,
            tenant: 0,
            time_left: 8 * SECOND,
            work: None,
            max_attempts: u32::MAX,
        };
        let actions = harness.handle(Event::Request(id, parameters));
        rejections += u32::from(is_rejected(&actions));
        assert!(step >= 100 || rejections == 0, "rejected without load");
        if sent_to(&actions).is_some() {
            pending.push_back((id, harness.now, harness.now + latency));
        }
    }
    assert!(rejections > 20, "{rejections} of 200");
}

/// Guards against shedding because of failed responses: they arrive as fast as successful ones, and
/// no request is waiting.
#[test]
fn failed_responses_do_not_cause_shedding() {
    let mut harness = Harness::new(settings(), &zones(3, 4));
    let mut open = std::collections::VecDeque::new();
    for call in 0..600 {
        harness.now += 10 * MS;
        let (id, actions) = harness.request(UNSAFE);
        assert!(!is_rejected(&actions), "call {call}");
        open.push_back(id);
        if open.len() > 14 {
            let outcome = if call % 2 == 0 {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            harness.end(open.pop_front().unwrap(), 0, outcome, 140 * MS);
        }
    }
}

#[test]
fn overload_sheds_the_least_valuable_first() {
    let mut harness = Harness::new(settings(), &zones(1, 4));
    harness.warm_up(100);
    let mut pending = std::collections::VecDeque::new();
    let mut served = [0, 0];
    // 400 requests per second of each class, and 100 responses per second.
    for step in 0..2000 {
        harness.now += 5 * MS;
        for class in [SAFE, UNSAFE, SAFE, UNSAFE] {
            let (id, actions) = harness.request(class);
            if sent_to(&actions).is_some() {
                pending.push_back((id, harness.now));
                served[class] += u32::from(step > 400);
            }
        }
        if let (0, Some((id, sent_at))) = (step % 2, pending.front().copied()) {
            pending.pop_front();
            harness.end(id, 0, Outcome::Ok, harness.now - sent_at);
        }
    }
    assert!(served[SAFE] * 10 < served[UNSAFE], "{served:?}");
    assert!(
        pending.len() < 100,
        "{} pending at 100 responses a second and a latency target of 500 ms",
        pending.len()
    );
}

/// Guards tenants against the surge of another tenant. Rejected callers retry, so all tenants
/// exceeded their quotas; the surging tenant was told apart only by chance, and a third of the
/// calls of the others were rejected.
#[test]
fn a_tenant_that_surges_is_shed_before_the_others() {
    let tenants = vec![Tenant { quota_rps: 160.0 }; 4];
    let mut harness = Harness::new(
        Settings {
            tenants,
            value_by_work: true,
            ..settings()
        },
        &zones(1, 4),
    );
    harness.warm_up(100);
    let mut pending = std::collections::VecDeque::new();
    // Time, tenant and number of the tries of rejected calls that are tried again.
    let mut retries = std::collections::VecDeque::<(u64, usize, u32)>::new();
    let (mut requested, mut served) = ([0; 4], [0; 4]);
    // 220 responses per second. Three tenants send 50 calls per second each, while this balancer's
    // part of their quotas is 40; the first tenant sends 1,000. Each call is tried up to three
    // times.
    for step in 0..8000 {
        harness.now += 5 * MS / 2;
        let mut calls: Vec<(usize, u32)> = [0, 0, 0, 0, 0]
            .into_iter()
            .take(step % 4 + 1)
            .map(|tenant| (tenant, 1))
            .collect();
        if step % 8 < 3 {
            calls.push((step % 8 + 1, 1));
        }
        while retries.front().is_some_and(|&(due, ..)| due <= harness.now) {
            let retry = retries.pop_front();
            calls.extend(retry.map(|(_, tenant, tries)| (tenant, tries)));
        }
        for (tenant, tries) in calls {
            let id = RequestId(harness.next_id);
            harness.next_id += 1;
            let parameters = RequestParameters {
                class: KEYED_ALL,
                tenant,
                time_left: 2 * SECOND,
                work: None,
                max_attempts: 9,
            };
            let actions = harness.handle(Event::Request(id, parameters));
            let is_accepted = sent_to(&actions).is_some();
            requested[tenant] += u32::from(step > 2000 && tries == 1);
            if is_accepted {
                pending.push_back((id, harness.now));
                served[tenant] += u32::from(step > 2000 && tries == 1);
            } else if tries < 3 {
                retries.push_back((harness.now + 50 * MS, tenant, tries + 1));
            }
        }
        if let (true, Some((id, sent_at))) = (step % 20 < 11, pending.front().copied()) {
            pending.pop_front();
            harness.end(id, 0, Outcome::Ok, harness.now - sent_at);
        }
    }
    for tenant in 1..4 {
        assert!(
            served[tenant] * 20 > requested[tenant] * 19,
            "{served:?} of {requested:?}"
        );
    }
    assert!(served[0] * 4 < requested[0], "{served:?} of {requested:?}");
}
