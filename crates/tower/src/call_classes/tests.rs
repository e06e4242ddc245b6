//! Tests of the classes and timeouts of calls.

use super::*;
use http::Request;

fn classes() -> CallClasses {
    let text =
        woadstall_mock_servers::http1::config("127.0.0.1:1".parse().unwrap(), &[])["settings"]
            .to_string();
    let mut settings = woadstall_settings::parse_settings(text.as_bytes()).unwrap();
    let names = woadstall_settings::parse_names(text.as_bytes()).unwrap();
    let methods = [
        ("/p.P/Look".to_owned(), "look".to_owned()),
        ("/p.P/Pay".to_owned(), "pay".to_owned()),
    ];
    CallClasses::new(&mut settings, names, &methods).unwrap()
}

fn requirements(path: &str, headers: &[(&str, &str)], info: Option<CallInfo>) -> CallRequirements {
    let mut request = Request::builder().uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let (mut head, ()) = request.body(()).unwrap().into_parts();
    info.into_iter()
        .for_each(|info| drop(head.extensions.insert(info)));
    classes().requirements(&head)
}

const LOOK: usize = 0;
const PAY: usize = 1;
const NON_IDEMPOTENT: usize = 3;
const UNKNOWN: usize = 6;

/// Guards against a call running twice: only calls of a class that is safe, or keyed and sent with an idempotency key,
/// may be retried after they may have run.
#[test]
fn unknown_calls_are_unsafe() {
    let effects = classes().effects;
    assert!(
        effects[NON_IDEMPOTENT..]
            .iter()
            .all(|effect| *effect == Effect::Unsafe)
    );
    assert_eq!(requirements("/p.P/Look", &[], None).class, LOOK);
    assert_eq!(requirements("/look?x=1", &[], None).class, LOOK);
    assert_eq!(
        requirements("/p.P/Pay", &[("idempotency-key", "k")], None).class,
        PAY
    );
    assert_eq!(
        requirements("/p.P/Pay", &[], None).class,
        NON_IDEMPOTENT + PAY
    );
    assert_eq!(
        requirements("/p.P/Pay", &[("idempotency-key", "")], None).class,
        NON_IDEMPOTENT + PAY
    );
    assert_eq!(requirements("/p.P/Look2", &[], None).class, UNKNOWN);
    assert_eq!(requirements("/", &[], None).class, UNKNOWN);
    let class_with = |info: CallInfo| requirements("/p.P/Look", &[], Some(info)).class;
    assert_eq!(
        class_with(CallInfo {
            class: Some("lok".into()),
            ..Default::default()
        }),
        UNKNOWN
    );
    assert_eq!(
        class_with(CallInfo {
            class: Some("post".into()),
            ..Default::default()
        }),
        2
    );
    assert_eq!(
        class_with(CallInfo {
            non_idempotent: true,
            ..Default::default()
        }),
        NON_IDEMPOTENT + LOOK
    );
    let keyed = CallInfo {
        class: Some("pay".into()),
        key: Some("k".into()),
        ..Default::default()
    };
    assert_eq!(class_with(keyed), PAY);
}

#[test]
fn shortest_timeout_applies() {
    let timeout = |headers: &[(&str, &str)], info: Option<u64>| {
        let info = info.map(|ms| CallInfo {
            timeout: Some(Duration::from_millis(ms)),
            ..Default::default()
        });
        let requirements = requirements("/look", headers, info);
        (
            requirements.timeout.as_millis(),
            requirements.has_caller_timeout,
        )
    };
    assert_eq!(
        timeout(&[], None),
        (60_000, false),
        "the deadline of the class"
    );
    assert_eq!(timeout(&[("grpc-timeout", "80m")], None), (80, true));
    assert_eq!(
        timeout(&[("grpc-timeout", "80m"), ("x-budget", "0.050")], None),
        (50, true)
    );
    assert_eq!(
        timeout(&[("grpc-timeout", "80m"), ("x-budget", "0.050")], Some(7)),
        (7, true)
    );
    assert_eq!(
        timeout(&[("grpc-timeout", "99999999H")], None),
        (3_600_000, true),
        "at most one hour"
    );
    assert_eq!(
        timeout(&[("x-budget", "NaN"), ("grpc-timeout", "oops")], None),
        (60_000, false)
    );
    assert_eq!(timeout(&[("x-budget", "-1")], None), (60_000, false));
    assert_eq!(timeout(&[("x-budget", "0")], None), (0, true));
}

#[test]
fn errors_in_methods_name_the_method() {
    let text =
        woadstall_mock_servers::http1::config("127.0.0.1:1".parse().unwrap(), &[])["settings"]
            .to_string();
    let error_of = |methods: &[(&str, &str)]| {
        let mut settings = woadstall_settings::parse_settings(text.as_bytes()).unwrap();
        let names = woadstall_settings::parse_names(text.as_bytes()).unwrap();
        let methods: Vec<_> = methods
            .iter()
            .map(|(path, class)| (path.to_string(), class.to_string()))
            .collect();
        CallClasses::new(&mut settings, names, &methods)
            .err()
            .unwrap()
            .to_string()
    };
    assert_eq!(
        error_of(&[("/a", "none")]),
        "method /a: the settings have no class \"none\""
    );
    assert_eq!(
        error_of(&[("/a", "look"), ("/a", "pay")]),
        "method /a is listed twice"
    );
}
