//! Settings that can change while requests are in flight.

use crate::{ChangeError, Names};
use woadstall_decisions::api::{Class, ClassSuccession, DedupScope, Effect, Settings};

#[cfg(test)]
mod tests;

/// Maximum number of distinct classes in all settings since the start of the process. The limit bounds the memory use
/// and the run time of load shedding.
pub const MAX_CLASSES: usize = 1024;

/// The active settings, together with all former classes.
///
/// The decision module identifies a class by its position, and requests in flight refer to that position. Positions
/// therefore keep their meaning: a changed class gets a new position, and the former class stays at its position.
#[derive(Clone, Debug)]
pub struct ActiveSettings {
    /// The active settings with all current and former classes. The effect of a former class is at least as strict as
    /// the effect of the active class of the same name.
    settings: Settings,
    names: Names,
    /// Effects of all classes as they were configured.
    configured_effects: Vec<Effect>,
    /// Positions of the active classes.
    active: Vec<usize>,
    /// Positions of the classes that were active before the latest change.
    previous: Vec<usize>,
}

/// Change of the settings in the form that the decision module expects.
#[derive(Clone, Debug)]
pub struct SettingsChange {
    /// The new settings with all current and former classes.
    pub settings: Settings,
    /// Successions of the new classes whose names belonged to another position before.
    pub successions: Vec<ClassSuccession>,
}

impl ActiveSettings {
    /// Creates the state for the initial settings of the process.
    pub fn new(settings: Settings, names: Names) -> Self {
        Self {
            active: (0..settings.classes.len()).collect(),
            configured_effects: effects(&settings),
            settings,
            names,
            previous: Vec::new(),
        }
    }

    /// Returns the active settings after a change to `new`, and the change for the decision module. Does not modify
    /// `self`.
    ///
    /// # Errors
    ///
    /// Returns an error if the new settings are invalid, change a key that is fixed until the process restarts,
    /// contain two classes of the same name, or exceed [`MAX_CLASSES`].
    pub fn apply(
        &self,
        new: &Settings,
        new_names: &Names,
    ) -> Result<(Self, SettingsChange), ChangeError> {
        new.check().map_err(ChangeError::Invalid)?;
        self.check_fixed_keys(new, new_names)?;
        let mut names = self.names.clone();
        let mut settings = Settings {
            classes: self.configured_classes(),
            ..new.clone()
        };
        let (active, successions) =
            self.position_classes(new, new_names, &mut settings.classes, &mut names.classes)?;
        if settings.classes.len() > MAX_CLASSES {
            return Err(ChangeError::TooManyClasses);
        }
        settings.tenants = self.settings.tenants.clone();
        merge_tenants(new, new_names, &mut settings, &mut names);
        names.connect_timeout = new_names.connect_timeout;
        let mut changed = Self {
            configured_effects: effects(&settings),
            settings,
            names,
            active,
            previous: self.active.clone(),
        };
        changed.tighten_effects();
        let change = SettingsChange {
            settings: changed.settings.clone(),
            successions,
        };
        Ok((changed, change))
    }

    /// Checks that the new settings do not change a key that is fixed until the process restarts.
    fn check_fixed_keys(&self, new: &Settings, new_names: &Names) -> Result<(), ChangeError> {
        let (settings, names) = (&self.settings, &self.names);
        let fixed = [
            ("Zones", new_names.zones != names.zones),
            ("Zone", new.zone != settings.zone),
            ("Layer", new.tier != settings.tier),
            (
                "Discovery",
                new.subscribes_to_discovery != settings.subscribes_to_discovery,
            ),
            (
                "Telemetry.Fields",
                new_names.report_fields != names.report_fields,
            ),
        ];
        match fixed.into_iter().find(|(_, has_changed)| *has_changed) {
            Some((key, _)) => Err(ChangeError::Fixed { key }),
            None => Ok(()),
        }
    }

    /// Finds the position of each new class in `classes` and `class_names`, and appends classes that are not there
    /// yet. Returns these positions and the successions of classes with a new position.
    fn position_classes(
        &self,
        new: &Settings,
        new_names: &Names,
        classes: &mut Vec<Class>,
        class_names: &mut Vec<String>,
    ) -> Result<(Vec<usize>, Vec<ClassSuccession>), ChangeError> {
        let mut active = Vec::new();
        let mut successions = Vec::new();
        for (class, name) in new.classes.iter().zip(&new_names.classes) {
            let is_same =
                |position: &usize| class_names[*position] == *name && classes[*position] == *class;
            let known = (0..classes.len()).find(is_same);
            let position = known.unwrap_or(classes.len());
            if known.is_none() {
                let succession = |predecessor| ClassSuccession {
                    class: position,
                    predecessor,
                };
                successions.extend(self.class(name).map(succession));
                class_names.push(name.clone());
                classes.push(class.clone());
            }
            if active
                .iter()
                .any(|&other: &usize| class_names[other] == *name)
            {
                return Err(ChangeError::DuplicateClass { name: name.clone() });
            }
            active.push(position);
        }
        Ok((active, successions))
    }

    /// Returns all current and former classes with their configured effects.
    fn configured_classes(&self) -> Vec<Class> {
        let classes = self.settings.classes.iter().zip(&self.configured_effects);
        classes
            .map(|(class, effect)| Class {
                effect: *effect,
                ..class.clone()
            })
            .collect()
    }

    /// Makes the effect of each former class at least as strict as the effect of the active class of the same name.
    /// Upstreams may already use the new settings while requests are in flight under the former ones.
    fn tighten_effects(&mut self) {
        for position in 0..self.settings.classes.len() {
            if let Some(active) = self.class(&self.names.classes[position]) {
                let configured = self.configured_effects[position];
                let effect = stricter(configured, self.configured_effects[active]);
                self.settings.classes[position].effect = effect;
            }
        }
    }

    /// Returns the active settings with all current and former classes.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the names of all current and former classes and tenants.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Returns the position of a tenant, as [`Names::tenant`] does.
    pub fn tenant(&self, name: Option<&str>) -> Option<usize> {
        self.names.tenant(name)
    }

    /// Returns the configured effect of a class, which is the effect that its callers rely on.
    ///
    /// # Panics
    ///
    /// Panics if no class has ever had this position.
    pub fn effect(&self, class: usize) -> Effect {
        self.configured_effects[class]
    }

    /// Returns the position of the active class of this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.position_among(&self.active, name)
    }

    /// Returns the position of the class of this name that was active before the latest change.
    pub fn previous_class(&self, name: &str) -> Option<usize> {
        self.position_among(&self.previous, name)
    }

    /// Returns the names of the active classes, in the order of the settings.
    pub fn active_class_names(&self) -> impl Iterator<Item = &str> {
        self.active
            .iter()
            .map(|&position| self.names.classes[position].as_str())
    }

    fn position_among(&self, positions: &[usize], name: &str) -> Option<usize> {
        positions
            .iter()
            .copied()
            .find(|&position| self.names.classes[position] == name)
    }
}

/// Updates known tenants at their positions and appends new ones. A tenant that is missing from the new settings is
/// kept.
fn merge_tenants(new: &Settings, new_names: &Names, settings: &mut Settings, names: &mut Names) {
    for (tenant, name) in new.tenants.iter().zip(&new_names.tenants) {
        match names.tenants.iter().position(|known| known == name) {
            Some(position) => settings.tenants[position] = tenant.clone(),
            None => {
                names.tenants.push(name.clone());
                settings.tenants.push(tenant.clone());
            }
        }
    }
}

fn effects(settings: &Settings) -> Vec<Effect> {
    settings.classes.iter().map(|class| class.effect).collect()
}

/// Returns the effect that allows only the repetitions that both effects allow.
fn stricter(first: Effect, second: Effect) -> Effect {
    match (first, second) {
        (Effect::Unsafe, _) | (_, Effect::Unsafe) => Effect::Unsafe,
        (Effect::Safe, effect) | (effect, Effect::Safe) => effect,
        (Effect::Keyed(scope, window), Effect::Keyed(other_scope, other_window)) => {
            let window = window.min(other_window);
            match (scope, other_scope) {
                (DedupScope::All, narrower) | (narrower, DedupScope::All) => {
                    Effect::Keyed(narrower, window)
                }
                _ if scope == other_scope => Effect::Keyed(scope, window),
                // It is unknown how zones and cells overlap, so no repetition is safe under both scopes.
                _ => Effect::Unsafe,
            }
        }
    }
}
