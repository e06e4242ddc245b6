//! Tests of the checks: each reports a fabricated violation, and accepts the allowed case next to it.

use super::history::{
    Arrival, ConnectionEnd, Event, GRACE_PERIOD, History, Outcome, Request, Response, Rule,
    Shutdown,
};
use std::time::Duration;

const MILLISECOND: Duration = Duration::from_millis(1);

fn at(milliseconds: u32) -> Duration {
    MILLISECOND * milliseconds
}

fn event(number: u32) -> Event {
    Event {
        number,
        request_id: "r".to_owned(),
    }
}

fn success(events: Vec<Event>) -> Outcome {
    Outcome::Response(Response {
        status: 200,
        request_id: Some("r".to_owned()),
        events,
    })
}

fn reset() -> Outcome {
    Outcome::NoResponse {
        end: ConnectionEnd::Reset,
        status: Some(200),
    }
}

fn request(outcome: Outcome) -> Request {
    Request {
        id: "r".to_owned(),
        front: 0,
        events: 2,
        is_resumable: false,
        deadline: at(60_000),
        head_sent: at(900),
        sent: at(1_000),
        ended: at(1_100),
        outcome,
    }
}

fn arrival(done: Duration) -> Arrival {
    Arrival {
        resumed_after: None,
        done,
    }
}

/// Returns the broken rules of one request that reached the given upstreams.
fn rules(request: Request, arrivals: Vec<Arrival>, shutdowns: Vec<Shutdown>) -> Vec<Rule> {
    let history = History {
        arrivals: [(request.id.clone(), arrivals)].into(),
        requests: vec![request],
        shutdowns,
    };
    let violations = history.violations();
    violations
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn a_complete_stream_breaks_no_rule() {
    let request = request(success(vec![event(1), event(2)]));
    assert_eq!(rules(request, vec![arrival(at(1_050))], vec![]), []);
}

#[test]
fn a_forwarded_request_without_a_response_is_lost() {
    let arrivals = vec![arrival(at(5_000))];
    assert_eq!(rules(request(reset()), arrivals, vec![]), [Rule::Lost]);
}

#[test]
fn a_request_that_was_not_forwarded_is_lost_only_after_the_slack() {
    let mut request = request(reset());
    assert_eq!(rules(request.clone(), vec![], vec![]), []);
    request.ended = request.sent + at(201);
    assert_eq!(rules(request, vec![], vec![]), [Rule::Lost]);
}

#[test]
fn a_request_that_its_client_gave_up_or_whose_deadline_has_passed_is_not_lost() {
    let arrivals = || vec![arrival(at(90_000))];
    let given_up = request(Outcome::NoResponse {
        end: ConnectionEnd::ByClient,
        status: None,
    });
    assert_eq!(rules(given_up, arrivals(), vec![]), []);
    let mut late = request(reset());
    late.ended = late.head_sent + late.deadline;
    assert_eq!(rules(late.clone(), arrivals(), vec![]), []);
    late.ended -= MILLISECOND;
    assert_eq!(rules(late, arrivals(), vec![]), [Rule::Lost]);
}

#[test]
fn the_grace_period_excuses_only_work_that_is_under_way_in_its_second_half() {
    let shutdown = Shutdown {
        front: 0,
        began: at(1_000),
    };
    let aborted = |sent: u32, ended: Duration, done: u32, front: u8| {
        let mut request = request(reset());
        request.sent = at(sent);
        request.ended = ended;
        request.front = front;
        rules(request, vec![arrival(at(done))], vec![shutdown])
    };
    let end = shutdown.began + GRACE_PERIOD;
    assert_eq!(aborted(2_000, end, 20_000, 0), []);
    assert_eq!(
        aborted(2_000, at(4_999), 20_000, 0),
        [Rule::Lost],
        "first half"
    );
    assert_eq!(aborted(4_001, end, 20_000, 0), [Rule::Lost], "sent late");
    assert_eq!(
        aborted(2_000, end, 8_000, 0),
        [Rule::Lost],
        "the upstream was done"
    );
    assert_eq!(
        aborted(2_000, end, 20_000, 1),
        [Rule::Lost],
        "another front"
    );
}

#[test]
fn a_stream_that_lacks_repeats_or_swaps_events_is_out_of_order() {
    for numbers in [vec![1], vec![1, 1, 2], vec![2, 1], vec![1, 2, 3]] {
        let events = numbers.into_iter().map(event).collect();
        let arrivals = vec![arrival(at(1_050))];
        assert_eq!(
            rules(request(success(events)), arrivals, vec![]),
            [Rule::Order]
        );
    }
}

#[test]
fn a_response_or_an_event_of_another_request_is_mixed() {
    let mut foreign = event(2);
    foreign.request_id = "s".to_owned();
    let foreign_event = request(success(vec![event(1), foreign]));
    assert_eq!(
        rules(foreign_event, vec![arrival(at(1_050))], vec![]),
        [Rule::Mixed]
    );
    for request_id in [None, Some("s".to_owned())] {
        let response = Response {
            status: 200,
            request_id,
            events: vec![event(1), event(2)],
        };
        let foreign_response = request(Outcome::Response(response));
        assert_eq!(
            rules(foreign_response, vec![arrival(at(1_050))], vec![]),
            [Rule::Mixed]
        );
    }
}

#[test]
fn a_second_arrival_is_allowed_only_to_resume_a_stream() {
    let mut request = request(success(vec![event(1), event(2)]));
    let arrivals = |resumed_after| {
        let mut second = arrival(at(1_080));
        second.resumed_after = resumed_after;
        vec![arrival(at(1_050)), second]
    };
    assert_eq!(
        rules(request.clone(), arrivals(Some(1)), vec![]),
        [Rule::Twice]
    );
    request.is_resumable = true;
    assert_eq!(rules(request.clone(), arrivals(Some(1)), vec![]), []);
    assert_eq!(rules(request, arrivals(None), vec![]), [Rule::Twice]);
}

#[test]
fn a_rejected_request_that_was_forwarded_breaks_the_promise() {
    let rejection = Outcome::Response(Response {
        status: 503,
        ..Response::default()
    });
    assert_eq!(rules(request(rejection.clone()), vec![], vec![]), []);
    let arrivals = vec![arrival(at(1_050))];
    assert_eq!(rules(request(rejection), arrivals, vec![]), [Rule::Refused]);
}
