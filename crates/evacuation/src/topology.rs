//! The zones, regions and classes of a deployment, and the subjects that stand for them.

use woadstall_health_reports::Subject;

/// A zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Its region, if zones are grouped into regions.
    pub region: Option<String>,
    pub(crate) subject: Subject,
    pub(crate) region_subject: Option<Subject>,
    /// The subjects of its classes, in the order of the settings.
    pub(crate) classes: Vec<Subject>,
    /// What operators' orders name: the zone and the region in all tiers.
    pub(crate) order_subject: Subject,
    pub(crate) region_order_subject: Option<Subject>,
}

/// All domains of a deployment, as the balancers that send to one tier see them.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    /// Zones, in the order of the settings.
    pub zones: Vec<Zone>,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
}

impl Topology {
    /// A tier's zones, each with its region if it has one, and its classes.
    pub fn new(tier: &str, zones: &[(String, Option<String>)], classes: &[String]) -> Self {
        let zone = |(name, region): &(String, Option<String>)| Zone {
            name: name.clone(),
            region: region.clone(),
            subject: Subject::zone(tier, name),
            region_subject: region.as_ref().map(|name| Subject::region(tier, name)),
            classes: classes
                .iter()
                .map(|class| Subject::class(tier, name, class))
                .collect(),
            order_subject: Subject::zone("", name),
            region_order_subject: region.as_ref().map(|name| Subject::region("", name)),
        };
        Self {
            zones: zones.iter().map(zone).collect(),
            classes: classes.to_vec(),
        }
    }

    /// The name of a zone; empty for one that is not known.
    pub(crate) fn zone_name(&self, zone: usize) -> &str {
        self.zones.get(zone).map_or("", |zone| zone.name.as_str())
    }

    /// The position of the zone that a subject is or lies in, or of the first zone of a region.
    pub(crate) fn home_zone(&self, subject: &Subject) -> Option<usize> {
        self.zones.iter().position(|zone| {
            zone.subject == *subject
                || zone.region_subject == Some(*subject)
                || zone.classes.contains(subject)
        })
    }

    /// The subject that operators' orders name a domain by.
    pub(crate) fn order_subject(&self, subject: &Subject) -> Subject {
        let zone = self.zones.iter().find(|zone| zone.subject == *subject);
        let region = || {
            self.zones
                .iter()
                .find(|zone| zone.region_subject == Some(*subject))
        };
        zone.map(|zone| zone.order_subject)
            .or_else(|| region()?.region_order_subject)
            .unwrap_or(*subject)
    }

    /// The subject of the domain that an order is about.
    pub(crate) fn ordered_domain(&self, order_subject: &Subject) -> Subject {
        let zone = self
            .zones
            .iter()
            .find(|zone| zone.order_subject == *order_subject);
        let region = || {
            self.zones
                .iter()
                .find(|zone| zone.region_order_subject == Some(*order_subject))
        };
        zone.map(|zone| zone.subject)
            .or_else(|| region()?.region_subject)
            .unwrap_or(*order_subject)
    }

    /// The position of a subject among the classes, if it is a class.
    pub(crate) fn class_position(&self, subject: &Subject) -> Option<usize> {
        self.zones
            .iter()
            .find_map(|zone| zone.classes.iter().position(|class| class == subject))
    }

    /// The name of a zone, class or region, for operators.
    pub fn name_of(&self, subject: &Subject) -> Option<String> {
        self.zones.iter().find_map(|zone| {
            if zone.subject == *subject {
                return Some(format!("zone {}", zone.name));
            }
            if let Some(class) = zone.classes.iter().position(|class| class == subject) {
                return Some(format!("{} at zone {}", self.classes[class], zone.name));
            }
            let region = zone
                .region
                .as_ref()
                .filter(|_| zone.region_subject == Some(*subject))?;
            Some(format!("region {region}"))
        })
    }
}
