//! The zones, regions and classes of a deployment, and the subjects that identify them in health
//! reports and orders.

use woadstall_health_reports::Subject;

/// A zone with the subjects that identify the zone, its region and its classes.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// The name of the zone in the settings.
    pub name: String,
    /// The name of the zone's region, if zones are grouped into regions.
    pub region: Option<String>,
    pub(crate) subject: Subject,
    pub(crate) region_subject: Option<Subject>,
    /// The subjects of the classes at this zone, in the order of the settings.
    pub(crate) classes: Vec<Subject>,
    /// The subject of the zone in operators' orders, which apply to all tiers.
    pub(crate) order_subject: Subject,
    /// The subject of the region in operators' orders, which apply to all tiers.
    pub(crate) region_order_subject: Option<Subject>,
}

/// The zones, regions and classes of a deployment, from the view of the balancers that send to one
/// tier.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    /// All zones, in the order of the settings.
    pub zones: Vec<Zone>,
    /// The names of the classes, in the order of the settings.
    pub classes: Vec<String>,
}

impl Topology {
    /// Creates the topology of a tier from pairs of a zone's name and its region's name, if it has a
    /// region, and from the names of the classes.
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

    /// Returns the name of the zone at a position; empty if the position is out of range.
    pub(crate) fn zone_name(&self, zone: usize) -> &str {
        self.zones.get(zone).map_or("", |zone| zone.name.as_str())
    }

    /// Returns the position of a subject's zone: the zone itself, the zone of a class, or the first
    /// zone of a region.
    pub(crate) fn home_zone(&self, subject: &Subject) -> Option<usize> {
        self.zones.iter().position(|zone| {
            zone.subject == *subject
                || zone.region_subject == Some(*subject)
                || zone.classes.contains(subject)
        })
    }

    /// Returns the subject that identifies a domain in operators' orders.
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

    /// Returns the subject, in this tier, of the domain that an order is for.
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

    /// Returns the position of a subject's class in the settings, if the subject is a class.
    pub(crate) fn class_position(&self, subject: &Subject) -> Option<usize> {
        self.zones
            .iter()
            .find_map(|zone| zone.classes.iter().position(|class| class == subject))
    }

    /// Returns the name that operators see for a zone, class or region; `None` for other subjects.
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
