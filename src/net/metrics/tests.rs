//! Tests of the encoded metrics.

use super::*;
use std::time::Duration;

#[test]
fn responses_are_counted_by_class_and_status() {
    let metrics = Metrics::new(["look", "pay"].into_iter()).unwrap();
    let active = metrics.start_request();
    for status in [200, 200, 503, 429, 502, 404] {
        metrics.count_response("look", StatusCode::from_u16(status).unwrap());
    }
    let status = LoadBalancerStatus {
        attempts: 7,
        upstreams: 3,
        ejected: 1,
        discovery: DiscoveryStatus {
            list_age: Duration::from_millis(41_900),
            failed_calls: 12,
        },
    };
    let text = metrics.encode(&status).unwrap();
    let lines = [
        r#"balancer_ok{kind="look"} 2"#,
        r#"balancer_shed{kind="look"} 2"#,
        r#"balancer_errors{kind="look"} 2"#,
        r#"balancer_ok{kind="pay"} 0"#,
        "balancer_tries 7",
        "balancer_active 1",
        "balancer_pool_size 3",
        "balancer_pool_ejected 1",
        "balancer_config_applied 0",
        "balancer_list_age_seconds 41",
        "balancer_discovery_failures 12",
        r#"balancer_socket_option_failures{option="nodelay"} 0"#,
    ];
    for line in lines {
        assert!(
            text.lines().any(|found| found == line),
            "{line} is not in\n{text}"
        );
    }
    drop(active);
    let text = metrics.encode(&status).unwrap();
    assert!(
        text.contains("balancer_active 0") && text.contains("balancer_tries 7"),
        "{text}"
    );
}
