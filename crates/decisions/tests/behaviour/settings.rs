//! Tests of the validation of settings.

use crate::common::*;
use woadstall_decisions::api::*;

#[test]
fn invalid_settings_are_rejected_by_field() {
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
