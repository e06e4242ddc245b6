//! Tests of `ask`.

use super::*;
use http::Request;
use woadstall_transport::grpc_timeout_of;

fn classes() -> Classes {
    let text =
        woadstall_mock_servers::http1::config("127.0.0.1:1".parse().unwrap(), &[])["settings"]
            .to_string();
    let mut settings = woadstall_settings::parse_settings(text.as_bytes()).unwrap();
    let names = woadstall_settings::parse_names(text.as_bytes()).unwrap();
    let methods = [
        ("/p.P/Look".to_owned(), "look".to_owned()),
        ("/p.P/Pay".to_owned(), "pay".to_owned()),
    ];
    Classes::new(&mut settings, names, &methods).unwrap()
}

fn ask(path: &str, headers: &[(&str, &str)], info: Option<CallInfo>) -> Asked {
    let mut request = Request::builder().uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let (mut head, ()) = request.body(()).unwrap().into_parts();
    info.into_iter()
        .for_each(|info| drop(head.extensions.insert(info)));
    classes().ask(&head)
}

const LOOK: usize = 0;
const PAY: usize = 1;
const TWINS: usize = 3;
const UNKNOWN: usize = 6;

/// Guards rule 2: what nobody has said to be safe, or keyed with a key, is never sent twice.
#[test]
fn what_is_not_known_is_unsafe() {
    let effects = classes().effects;
    assert!(
        effects[TWINS..]
            .iter()
            .all(|effect| *effect == Effect::Unsafe)
    );
    assert_eq!(ask("/p.P/Look", &[], None).class, LOOK);
    assert_eq!(ask("/look?x=1", &[], None).class, LOOK);
    assert_eq!(
        ask("/p.P/Pay", &[("idempotency-key", "k")], None).class,
        PAY
    );
    assert_eq!(ask("/p.P/Pay", &[], None).class, TWINS + PAY);
    assert_eq!(
        ask("/p.P/Pay", &[("idempotency-key", "")], None).class,
        TWINS + PAY
    );
    assert_eq!(ask("/p.P/Look2", &[], None).class, UNKNOWN);
    assert_eq!(ask("/", &[], None).class, UNKNOWN);
    let info = |info: CallInfo| ask("/p.P/Look", &[], Some(info)).class;
    assert_eq!(
        info(CallInfo {
            class: Some("lok".into()),
            ..Default::default()
        }),
        UNKNOWN
    );
    assert_eq!(
        info(CallInfo {
            class: Some("post".into()),
            ..Default::default()
        }),
        2
    );
    assert_eq!(
        info(CallInfo {
            never_twice: true,
            ..Default::default()
        }),
        TWINS + LOOK
    );
    let keyed = CallInfo {
        class: Some("pay".into()),
        key: Some("k".into()),
        ..Default::default()
    };
    assert_eq!(info(keyed), PAY);
}

#[test]
fn the_least_time_counts() {
    let within = |headers: &[(&str, &str)], info: Option<u64>| {
        let info = info.map(|ms| CallInfo {
            within: Some(Duration::from_millis(ms)),
            ..Default::default()
        });
        let asked = ask("/look", headers, info);
        (asked.within.as_millis(), asked.told)
    };
    assert_eq!(within(&[], None), (60_000, false), "the class's own");
    assert_eq!(within(&[("grpc-timeout", "80m")], None), (80, true));
    assert_eq!(
        within(&[("grpc-timeout", "80m"), ("x-budget", "0.050")], None),
        (50, true)
    );
    assert_eq!(
        within(&[("grpc-timeout", "80m"), ("x-budget", "0.050")], Some(7)),
        (7, true)
    );
    assert_eq!(
        within(&[("grpc-timeout", "99999999H")], None),
        (3_600_000, true),
        "bounded"
    );
    for unreadable in ["", "m", "123456789m", "-1m", "1 m", "1x", "é", "1µ"] {
        assert_eq!(grpc_timeout(unreadable), None, "{unreadable:?}");
    }
    assert_eq!(
        within(&[("x-budget", "NaN"), ("grpc-timeout", "oops")], None),
        (60_000, false)
    );
    assert_eq!(within(&[("x-budget", "-1")], None), (60_000, false));
    assert_eq!(within(&[("x-budget", "0")], None), (0, true));
}

/// What goes upstream must never say more than is left, and stay within eight digits.
#[test]
fn a_time_is_written_as_it_is_read() {
    for nanos in [
        0,
        1,
        99_999_999,
        100_000_000,
        123_456_789_012,
        7 << 50,
        u64::MAX,
    ] {
        let text = grpc_timeout_of(nanos);
        let read = grpc_timeout(&text).unwrap().as_nanos() as u64;
        assert!(
            text.len() <= 9 && read <= nanos && (nanos - read) as f64 <= nanos as f64 * 1e-4,
            "{text}"
        );
    }
}

#[test]
fn faults_in_methods_are_named() {
    let text =
        woadstall_mock_servers::http1::config("127.0.0.1:1".parse().unwrap(), &[])["settings"]
            .to_string();
    let build = |methods: &[(&str, &str)]| {
        let mut settings = woadstall_settings::parse_settings(text.as_bytes()).unwrap();
        let names = woadstall_settings::parse_names(text.as_bytes()).unwrap();
        let methods: Vec<_> = methods
            .iter()
            .map(|(a, b)| (a.to_string(), b.to_string()))
            .collect();
        Classes::new(&mut settings, names, &methods).err().unwrap()
    };
    assert_eq!(
        build(&[("/a", "none")]),
        "method /a: the settings have no class \"none\""
    );
    assert_eq!(
        build(&[("/a", "look"), ("/a", "pay")]),
        "method /a is there twice"
    );
}
