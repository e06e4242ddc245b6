//! Settings that change while requests are in flight.

use crate::{ChangeError, Names};
use woadstall_decisions::api::{Class, ClassSuccession, DedupScope, Effect, Settings};

#[cfg(test)]
mod tests;

/// Most classes over all changes since the start. Bounds the memory, and the time that load shedding takes.
pub const MAX_CLASSES: usize = 1024;

/// The active settings, and the classes that were before.
///
/// The decision module knows a class by its position, and requests in flight refer to it. So positions keep their
/// meaning: a class that changes gets a new one, and the former one stays.
#[derive(Clone, Debug)]
pub struct ActiveSettings {
    /// The active settings, with all classes that ever were. Their effects are as strict as any later ones.
    settings: Settings,
    names: Names,
    /// The effects of all classes as they were configured.
    configured_effects: Vec<Effect>,
    /// Positions of the active classes.
    active: Vec<usize>,
    /// Positions of the classes that were active before the latest change.
    previous: Vec<usize>,
}

/// What a change of the settings means for the decision module.
#[derive(Clone, Debug)]
pub struct SettingsChange {
    /// The new settings, with all classes that ever were.
    pub settings: Settings,
    /// Classes that are new, and had another position under the same name before.
    pub successions: Vec<ClassSuccession>,
}

impl ActiveSettings {
    /// The first settings.
    pub fn new(settings: Settings, names: Names) -> Self {
        Self {
            active: (0..settings.classes.len()).collect(),
            configured_effects: effects(&settings),
            settings,
            names,
            previous: Vec::new(),
        }
    }

    /// The active settings after a change to `new`, and what the decision module needs to know of it.
    ///
    /// # Errors
    ///
    /// Fails if the new settings make no sense, change what is fixed from the start on, name a class twice, or if there
    /// have been too many classes.
    pub fn apply(
        &self,
        new: &Settings,
        new_names: &Names,
    ) -> Result<(Self, SettingsChange), ChangeError> {
        new.check().map_err(ChangeError::Invalid)?;
        self.check_fixed_keys(new, new_names)?;
        let mut names = self.names.clone();
        let mut settings = Settings {
            classes: self.classes_as_configured(),
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

    /// Checks that nothing changes that is fixed from the start of the process on.
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
        match fixed.into_iter().find(|(_, changed)| *changed) {
            Some((key, _)) => Err(ChangeError::Fixed { key }),
            None => Ok(()),
        }
    }

    /// Finds or makes the position of each new class in `classes` and `class_names`. Returns these positions, and the
    /// successions of classes that have moved.
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
            let is_same = |at: &usize| class_names[*at] == *name && classes[*at] == *class;
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

    /// All classes that ever were, as they were configured.
    fn classes_as_configured(&self) -> Vec<Class> {
        let classes = self.settings.classes.iter().zip(&self.configured_effects);
        classes
            .map(|(class, effect)| Class {
                effect: *effect,
                ..class.clone()
            })
            .collect()
    }

    /// Makes the effect of each former class as strict as that of the active class of its name: upstreams may go by the
    /// new settings already while requests are in flight under the former ones.
    fn tighten_effects(&mut self) {
        for position in 0..self.settings.classes.len() {
            if let Some(active) = self.class(&self.names.classes[position]) {
                let configured = self.configured_effects[position];
                let effect = stricter(configured, self.configured_effects[active]);
                self.settings.classes[position].effect = effect;
            }
        }
    }

    /// The active settings, with all classes that ever were.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The names of all that ever were.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The position of the tenant of a name, see [`Names::tenant`].
    pub fn tenant(&self, name: Option<&str>) -> Option<usize> {
        self.names.tenant(name)
    }

    /// The effect of a class as it was configured, and as its callers know it.
    ///
    /// # Panics
    ///
    /// Panics if there never was a class at this position.
    pub fn effect(&self, class: usize) -> Effect {
        self.configured_effects[class]
    }

    /// The position of the active class of a name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.position_among(&self.active, name)
    }

    /// The position of the class of a name that was active before the latest change.
    pub fn previous_class(&self, name: &str) -> Option<usize> {
        self.position_among(&self.previous, name)
    }

    /// The names of the active classes.
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

/// Takes over the new tenants: known ones at their positions, others behind them. A tenant that is named no more stays.
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

/// The effect that allows only what both effects allow.
fn stricter(one: Effect, other: Effect) -> Effect {
    match (one, other) {
        (Effect::Unsafe, _) | (_, Effect::Unsafe) => Effect::Unsafe,
        (Effect::Safe, effect) | (effect, Effect::Safe) => effect,
        (Effect::Keyed(group, window), Effect::Keyed(other_group, other_window)) => {
            let window = window.min(other_window);
            match (group, other_group) {
                (DedupScope::All, narrower) | (narrower, DedupScope::All) => {
                    Effect::Keyed(narrower, window)
                }
                _ if group == other_group => Effect::Keyed(group, window),
                // Nothing is known of how zones and cells overlap.
                _ => Effect::Unsafe,
            }
        }
    }
}
