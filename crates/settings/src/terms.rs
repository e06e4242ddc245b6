//! Settings that change while requests are under way.

use crate::Names;
use woadstall_decisions::api::{Class, ClassSuccession, Effect, Group, Settings};

/// Positions of classes at most, over all changes: guards the memory, and the time that shedding takes.
pub const MOST_CLASSES: usize = 1024;

/// The settings in force, and the classes that were before. A class is known to the decisions by its position, so
/// positions keep their meaning: a class with new terms gets a new one.
#[derive(Clone, Debug)]
pub struct Terms {
    settings: Settings,
    names: Names,
    /// The effects of all classes as they were set; those in the settings are as strict as any later ones.
    effects: Vec<Effect>,
    /// Positions of the classes in force, and of those that were before the latest change.
    in_force: Vec<usize>,
    former: Vec<usize>,
}

/// What changes for the decisions.
#[derive(Clone, Debug)]
pub struct Change {
    /// The settings with all classes that ever were.
    pub settings: Settings,
    /// Classes that are new and had another position under their names before.
    pub successions: Vec<ClassSuccession>,
}

impl Terms {
    /// The first settings.
    pub fn new(settings: Settings, names: Names) -> Self {
        let in_force = (0..settings.classes.len()).collect();
        let effects = effects(&settings);
        Self {
            settings,
            names,
            effects,
            in_force,
            former: Vec::new(),
        }
    }

    /// The same with new settings, and what to tell the decisions. The error is one line that names what cannot
    /// change, or is at fault.
    pub fn retune(&self, new: &Settings, names: &Names) -> Result<(Self, Change), String> {
        new.check().map_err(|error| format!("settings: {error}"))?;
        let fixed = [
            ("Zones", names.zones != self.names.zones),
            ("Zone", new.zone != self.settings.zone),
            ("Layer", new.tier != self.settings.tier),
            (
                "Discovery",
                new.ask_discovery != self.settings.ask_discovery,
            ),
            (
                "Telemetry.Fields",
                names.report_fields != self.names.report_fields,
            ),
        ];
        if let Some((field, _)) = fixed.into_iter().find(|(_, changed)| *changed) {
            return Err(format!(
                "settings: `{field}` cannot change without a new start"
            ));
        }
        let (mut settings, mut all) = (new.clone(), self.names.clone());
        settings.classes = self.as_set();
        let (mut in_force, mut successions) = (Vec::new(), Vec::new());
        for (class, name) in new.classes.iter().zip(&names.classes) {
            let same = |at: &usize| all.classes[*at] == *name && settings.classes[*at] == *class;
            let at = (0..all.classes.len()).find(same).unwrap_or_else(|| {
                let position = all.classes.len();
                let succession = |predecessor| ClassSuccession {
                    class: position,
                    predecessor,
                };
                successions.extend(self.class(name).map(succession));
                all.classes.push(name.clone());
                settings.classes.push(class.clone());
                position
            });
            if in_force
                .iter()
                .any(|&other: &usize| all.classes[other] == *name)
            {
                return Err(format!("settings: class `{name}` is there twice"));
            }
            in_force.push(at);
        }
        if settings.classes.len() > MOST_CLASSES {
            return Err(format!(
                "settings: over {MOST_CLASSES} classes since the start, one is needed anew"
            ));
        }
        settings.tenants = self.settings.tenants.clone();
        for (tenant, name) in new.tenants.iter().zip(&names.tenants) {
            match all.tenants.iter().position(|known| known == name) {
                Some(at) => settings.tenants[at] = tenant.clone(),
                None => {
                    all.tenants.push(name.clone());
                    settings.tenants.push(tenant.clone());
                }
            }
        }
        all.connect_timeout = names.connect_timeout;
        let former = self.in_force.clone();
        let mut terms = Self {
            effects: effects(&settings),
            settings,
            names: all,
            in_force,
            former,
        };
        terms.tighten();
        let change = Change {
            settings: terms.settings.clone(),
            successions,
        };
        Ok((terms, change))
    }

    /// All classes that ever were, as they were set.
    fn as_set(&self) -> Vec<Class> {
        let classes = self.settings.classes.iter().zip(&self.effects);
        classes
            .map(|(class, effect)| Class {
                effect: *effect,
                ..class.clone()
            })
            .collect()
    }

    /// Requests that came under former settings go by what is stricter, theirs or the effect in force: upstreams may go
    /// by the new one already.
    fn tighten(&mut self) {
        for at in 0..self.settings.classes.len() {
            if let Some(now) = self.class(&self.names.classes[at]) {
                let effect = stricter(self.effects[at], self.effects[now]);
                self.settings.classes[at].effect = effect;
            }
        }
    }

    /// All classes that ever were, and the rest of the settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The names of all that ever were.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The tenant of this name, as a position. Where no tenants are told apart, any name will do.
    pub fn tenant(&self, name: Option<&str>) -> Option<usize> {
        self.names.tenant(name)
    }

    /// The effect of a class as callers of it know it.
    pub fn effect(&self, class: usize) -> Effect {
        self.effects[class]
    }

    /// The position of the class of this name that is in force.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.named(&self.in_force, name)
    }

    /// The position of the class of this name that was in force before the latest change.
    pub fn former(&self, name: &str) -> Option<usize> {
        self.named(&self.former, name)
    }

    /// Names of the classes in force.
    pub fn in_force(&self) -> impl Iterator<Item = &str> {
        self.in_force
            .iter()
            .map(|&at| self.names.classes[at].as_str())
    }

    fn named(&self, positions: &[usize], name: &str) -> Option<usize> {
        positions
            .iter()
            .copied()
            .find(|&at| self.names.classes[at] == name)
    }
}

fn effects(settings: &Settings) -> Vec<Effect> {
    settings.classes.iter().map(|class| class.effect).collect()
}

/// The effect that allows only what both allow.
fn stricter(one: Effect, other: Effect) -> Effect {
    match (one, other) {
        (Effect::Unsafe, _) | (_, Effect::Unsafe) => Effect::Unsafe,
        (Effect::Safe, effect) | (effect, Effect::Safe) => effect,
        (Effect::Keyed(group, window), Effect::Keyed(other, other_window)) => {
            let window = window.min(other_window);
            match (group, other) {
                (Group::All, narrower) | (narrower, Group::All) => Effect::Keyed(narrower, window),
                _ if group == other => Effect::Keyed(group, window),
                // Nothing is known of how zones and cells overlap.
                _ => Effect::Unsafe,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn terms(classes: &[(&str, &str)]) -> (Settings, Names) {
        let class = |(name, effect): &(&str, &str)| {
            let figures = serde_json::json!({"AimNs": 1, "DeadlineNs": 2, "Value": 1.0});
            let mut class = serde_json::json!({"Name": name, "Effect": effect});
            class
                .as_object_mut()
                .unwrap()
                .extend(figures.as_object().unwrap().clone());
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
            crate::settings(text.as_bytes()).unwrap(),
            crate::names(text.as_bytes()).unwrap(),
        )
    }

    #[test]
    fn positions_keep_their_meaning() {
        let (settings, names) = terms(&[("look", "read_like"), ("post", "non_idempotent")]);
        let first = Terms::new(settings, names);
        let (settings, names) = terms(&[("pay", "non_idempotent"), ("look", "non_idempotent")]);
        let (second, change) = first.retune(&settings, &names).unwrap();
        assert_eq!(
            (
                second.class("pay"),
                second.class("look"),
                second.class("post")
            ),
            (Some(2), Some(3), None)
        );
        assert_eq!(
            (second.former("post"), second.former("look")),
            (Some(1), Some(0))
        );
        let succession = ClassSuccession {
            class: 3,
            predecessor: 0,
        };
        assert_eq!(
            change.successions,
            [succession],
            "what is known of `look` goes on"
        );
        let set = [Effect::Safe, Effect::Unsafe, Effect::Unsafe, Effect::Unsafe];
        for (at, effect) in set.iter().enumerate() {
            assert_eq!(
                second.effect(at),
                *effect,
                "callers know each class as it was set"
            );
        }
        assert_eq!(
            change.settings.classes[0].effect,
            Effect::Unsafe,
            "requests under way go by what is stricter"
        );
        let (settings, names) = terms(&[("look", "read_like")]);
        let (third, change) = second.retune(&settings, &names).unwrap();
        assert_eq!(third.class("look"), Some(0), "it comes back as it was");
        assert!(change.successions.is_empty() && change.settings.classes.len() == 4);
        assert_eq!(change.settings.classes[0].effect, Effect::Safe);
        assert_eq!(
            change.settings.classes[3].effect,
            Effect::Unsafe,
            "what came as unsafe stays so"
        );
    }

    #[test]
    fn the_stricter_effect_allows_only_what_both_allow() {
        let keyed = |group, window| Effect::Keyed(group, window);
        let cases = [
            (Effect::Safe, Effect::Safe, Effect::Safe),
            (Effect::Safe, keyed(Group::Zone, 5), keyed(Group::Zone, 5)),
            (
                keyed(Group::All, 9),
                keyed(Group::All, 5),
                keyed(Group::All, 5),
            ),
            (
                keyed(Group::All, 5),
                keyed(Group::Cell, 9),
                keyed(Group::Cell, 5),
            ),
            (keyed(Group::Zone, 5), keyed(Group::Cell, 5), Effect::Unsafe),
            (keyed(Group::All, 5), Effect::Unsafe, Effect::Unsafe),
        ];
        for (one, other, both) in cases {
            assert_eq!((stricter(one, other), stricter(other, one)), (both, both));
        }
    }

    #[test]
    fn what_cannot_change_or_makes_no_sense_is_named() {
        let (settings, names) = terms(&[("look", "read_like")]);
        let first = Terms::new(settings.clone(), names.clone());
        let wrong = |settings: &Settings, names: &Names, text: &str| {
            let error = first.retune(settings, names).expect_err(text);
            assert!(error.contains(text), "{error}");
        };
        wrong(
            &Settings {
                tier: 1,
                ..settings.clone()
            },
            &names,
            "`Layer`",
        );
        wrong(
            &settings,
            &Names {
                zones: vec!["b".into()],
                ..names.clone()
            },
            "`Zones`",
        );
        wrong(
            &Settings {
                max_attempts: 0,
                ..settings.clone()
            },
            &names,
            "`max_attempts`",
        );
        let (twice, twice_names) = terms(&[("look", "read_like"), ("look", "read_like")]);
        wrong(&twice, &twice_names, "`look` is there twice");
    }

    /// Guards the memory where somebody changes a class again and again.
    #[test]
    fn positions_are_bounded() {
        let (settings, names) = terms(&[("look", "read_like")]);
        let mut now = Terms::new(settings.clone(), names.clone());
        let mut taken = 0;
        for deadline in 3..3000 {
            let mut settings = settings.clone();
            settings.classes[0].deadline = deadline;
            match now.retune(&settings, &names) {
                Ok((next, _)) => (now, taken) = (next, taken + 1),
                Err(error) => assert!(error.contains("since the start"), "{error}"),
            }
        }
        assert_eq!(
            (taken, now.settings().classes.len()),
            (MOST_CLASSES - 1, MOST_CLASSES)
        );
    }
}
