//! Tests of changes to the active settings.

use super::*;

fn parsed(classes: &[(&str, &str)]) -> (Settings, Names) {
    let class = |(name, effect): &(&str, &str)| {
        let values = serde_json::json!({"AimNs": 1, "DeadlineNs": 2, "Value": 1.0});
        let mut class = serde_json::json!({"Name": name, "Effect": effect});
        class
            .as_object_mut()
            .unwrap()
            .extend(values.as_object().unwrap().clone());
        class
    };
    let text = serde_json::json!({
        "Classes": classes.iter().map(class).collect::<Vec<_>>(), "Discovery": "push", "Layer": 0,
        "Limits": {"Cancelling": true, "ConnectTimeoutNs": 1, "TryLimit": 3}, "Siblings": 1,
        "Safety": {"StartCapacity": 0.3, "TipMultiple": 2.5, "RampTimeNs": 1}, "ValueBy": "request",
        "Tenants": [{"Name": "acme", "QuotaRps": 1.0}], "Zone": 0, "Zones": ["a"],
    })
    .to_string();
    (
        crate::parse_settings(text.as_bytes()).unwrap(),
        crate::parse_names(text.as_bytes()).unwrap(),
    )
}

#[test]
fn classes_keep_their_positions_over_changes() {
    let (settings, names) = parsed(&[("look", "read_like"), ("post", "non_idempotent")]);
    let first = ActiveSettings::new(settings, names);
    let (settings, names) = parsed(&[("pay", "non_idempotent"), ("look", "non_idempotent")]);
    let (second, change) = first.apply(&settings, &names).unwrap();
    assert_eq!(
        (
            second.class("pay"),
            second.class("look"),
            second.class("post")
        ),
        (Some(2), Some(3), None)
    );
    assert_eq!(
        (second.previous_class("post"), second.previous_class("look")),
        (Some(1), Some(0))
    );
    let succession = ClassSuccession {
        class: 3,
        predecessor: 0,
    };
    assert_eq!(
        change.successions,
        [succession],
        "the changed class `look` must succeed the former one"
    );
    let configured = [Effect::Safe, Effect::Unsafe, Effect::Unsafe, Effect::Unsafe];
    for (position, effect) in configured.iter().enumerate() {
        assert_eq!(
            second.effect(position),
            *effect,
            "callers must see each class as it was configured"
        );
    }
    assert_eq!(
        change.settings.classes[0].effect,
        Effect::Unsafe,
        "requests in flight must use the stricter effect"
    );
    let (settings, names) = parsed(&[("look", "read_like")]);
    let (third, change) = second.apply(&settings, &names).unwrap();
    assert_eq!(
        third.class("look"),
        Some(0),
        "a class that returns unchanged must get its former position"
    );
    assert!(change.successions.is_empty() && change.settings.classes.len() == 4);
    assert_eq!(change.settings.classes[0].effect, Effect::Safe);
    assert_eq!(
        change.settings.classes[3].effect,
        Effect::Unsafe,
        "a class that was configured as unsafe must stay unsafe"
    );
}

#[test]
fn the_stricter_effect_allows_only_what_both_effects_allow() {
    let keyed = |scope, window| Effect::Keyed(scope, window);
    let cases = [
        (Effect::Safe, Effect::Safe, Effect::Safe),
        (
            Effect::Safe,
            keyed(DedupScope::Zone, 5),
            keyed(DedupScope::Zone, 5),
        ),
        (
            keyed(DedupScope::All, 9),
            keyed(DedupScope::All, 5),
            keyed(DedupScope::All, 5),
        ),
        (
            keyed(DedupScope::All, 5),
            keyed(DedupScope::Cell, 9),
            keyed(DedupScope::Cell, 5),
        ),
        (
            keyed(DedupScope::Zone, 5),
            keyed(DedupScope::Cell, 5),
            Effect::Unsafe,
        ),
        (keyed(DedupScope::All, 5), Effect::Unsafe, Effect::Unsafe),
    ];
    for (first, second, expected) in cases {
        assert_eq!(
            (stricter(first, second), stricter(second, first)),
            (expected, expected)
        );
    }
}

#[test]
fn a_rejected_change_names_its_key() {
    let (settings, names) = parsed(&[("look", "read_like")]);
    let first = ActiveSettings::new(settings.clone(), names.clone());
    let assert_rejected = |settings: &Settings, names: &Names, text: &str| {
        let error = first.apply(settings, names).expect_err(text);
        assert!(error.to_string().contains(text), "{error}");
    };
    assert_rejected(
        &Settings {
            tier: 1,
            ..settings.clone()
        },
        &names,
        "`Layer`",
    );
    assert_rejected(
        &settings,
        &Names {
            zones: vec!["b".into()],
            ..names.clone()
        },
        "`Zones`",
    );
    assert_rejected(
        &Settings {
            max_attempts: 0,
            ..settings.clone()
        },
        &names,
        "`max_attempts`",
    );
    let (duplicate, duplicate_names) = parsed(&[("look", "read_like"), ("look", "read_like")]);
    assert_rejected(&duplicate, &duplicate_names, "`look` is there twice");
}

/// Guards against unbounded memory use when a class is changed repeatedly.
#[test]
fn the_number_of_classes_over_all_changes_is_bounded() {
    let (settings, names) = parsed(&[("look", "read_like")]);
    let mut active = ActiveSettings::new(settings.clone(), names.clone());
    let mut accepted = 0;
    for deadline in 3..3000 {
        let mut settings = settings.clone();
        settings.classes[0].deadline = deadline;
        match active.apply(&settings, &names) {
            Ok((next, _)) => (active, accepted) = (next, accepted + 1),
            Err(error) => assert!(error.to_string().contains("since the start"), "{error}"),
        }
    }
    assert_eq!(
        (accepted, active.settings().classes.len()),
        (MAX_CLASSES - 1, MAX_CLASSES)
    );
}
