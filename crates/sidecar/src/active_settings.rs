//! The settings in effect, in the form that the socket code needs, and how newer settings replace them.
//!
//! A class keeps its slot, whose index the balancer knows it by, as long as any request of the class is in flight. When a
//! newer file drops or changes a class, the old one keeps its slot until then. A changed class gets another slot and inherits
//! what was measured of the old one. A request is thus handled to its end by the rules under which it arrived.

use super::counts::{OutcomeCounts, ServiceCounts};
use madderloom_balancer::settings::Site;
use madderloom_balancer::{Class, Micros, RetrySafety, SettingsChange};
use std::rc::Rc;
use std::time::Duration;

/// A request class. Each request of the class that is in flight holds a reference.
pub(super) struct ClassEntry {
    pub(super) name: String,
    /// Its index in the balancer's settings.
    pub(super) index: u32,
    pub(super) class: Class,
    pub(super) counts: Rc<OutcomeCounts>,
}

impl ClassEntry {
    pub(super) fn retry_safety(&self) -> RetrySafety {
        self.class.retry_safety
    }
}

/// A slot for a class.
#[derive(Clone)]
pub(super) struct ClassSlot {
    pub(super) entry: Rc<ClassEntry>,
    /// Whether new requests can no longer use the class.
    pub(super) retired: bool,
}

/// The settings in effect.
pub(super) struct ActiveSettings {
    /// The settings as configured, except that classes are in the order of their slots.
    pub(super) site: Site,
    /// The settings as configured.
    pub(super) configured_site: Site,
    pub(super) class_slots: Vec<ClassSlot>,
    /// The `Retry-After` time for requests that are rejected before they reach the balancer.
    pub(super) retry_after: Option<Micros>,
    /// The longest client deadline of all classes.
    pub(super) max_deadline: Duration,
}

impl ActiveSettings {
    /// The settings that a service starts with.
    pub(super) fn new(site: Site, counts: &ServiceCounts) -> Self {
        let classes = site.classes.iter().zip(&site.settings.classes).enumerate();
        let slot = |(index, (name, class)): (usize, (&String, &Class))| ClassSlot {
            entry: Rc::new(ClassEntry {
                name: name.clone(),
                index: index as u32,
                class: class.clone(),
                counts: counts.class(name),
            }),
            retired: false,
        };
        let class_slots = classes.map(slot).collect();
        ActiveSettings::of(site.clone(), site, class_slots)
    }

    fn of(configured_site: Site, site: Site, class_slots: Vec<ClassSlot>) -> Self {
        let limits = &site.settings.limits;
        let max_deadline = site
            .settings
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or(0);
        ActiveSettings {
            retry_after: limits.retry_after.then_some(limits.max_retry_after),
            max_deadline: Duration::from_micros(max_deadline),
            site,
            configured_site,
            class_slots,
        }
    }

    /// The settings after an update to `site`, and the change to pass to the balancer.
    pub(super) fn updated(
        &self,
        mut site: Site,
        counts: &ServiceCounts,
    ) -> (ActiveSettings, SettingsChange) {
        let configured_site = site.clone();
        let mut class_slots: Vec<ClassSlot> = Vec::with_capacity(self.class_slots.len());
        let mut inherited_from: Vec<Option<u32>> = Vec::new();
        let configured_classes: Vec<(String, Class)> = site
            .classes
            .iter()
            .cloned()
            .zip(site.settings.classes.iter().cloned())
            .collect();
        // Unchanged classes keep their slots; all others are retired.
        for slot in &self.class_slots {
            let entry = &slot.entry;
            let unchanged = configured_classes
                .iter()
                .any(|(name, class)| *name == entry.name && *class == entry.class);
            inherited_from.push(Some(entry.index));
            class_slots.push(ClassSlot {
                entry: Rc::clone(entry),
                retired: slot.retired || !unchanged,
            });
        }
        for (name, class) in configured_classes {
            if class_slots
                .iter()
                .any(|slot| !slot.retired && slot.entry.name == name)
            {
                continue;
            }
            let former = self
                .class_slots
                .iter()
                .find(|slot| !slot.retired && slot.entry.name == name);
            let former_index = former.map(|slot| slot.entry.index);
            // The only references left are the one here and the one in the settings that are being replaced.
            let free = class_slots
                .iter()
                .position(|slot| slot.retired && Rc::strong_count(&slot.entry) == 2);
            let index = free.unwrap_or(class_slots.len());
            let entry = ClassEntry {
                index: index as u32,
                class,
                counts: counts.class(&name),
                name,
            };
            let slot = ClassSlot {
                entry: Rc::new(entry),
                retired: false,
            };
            if index < class_slots.len() {
                (class_slots[index], inherited_from[index]) = (slot, former_index);
            } else {
                class_slots.push(slot);
                inherited_from.push(former_index);
            }
        }
        site.classes = class_slots
            .iter()
            .map(|slot| slot.entry.name.clone())
            .collect();
        site.settings.classes = class_slots
            .iter()
            .map(|slot| slot.entry.class.clone())
            .collect();
        let retired = class_slots.iter().map(|slot| slot.retired).collect();
        let change = SettingsChange {
            settings: site.settings.clone(),
            inherited_from,
            retired,
        };
        (
            ActiveSettings::of(configured_site, site, class_slots),
            change,
        )
    }

    /// The class of this name for new requests.
    pub(super) fn class_named(&self, name: &str) -> Option<Rc<ClassEntry>> {
        let slot = self
            .class_slots
            .iter()
            .find(|slot| !slot.retired && slot.entry.name == name);
        slot.map(|slot| Rc::clone(&slot.entry))
    }

    /// The class with this index, which may be retired.
    pub(super) fn class_at(&self, index: u32) -> Option<&Rc<ClassEntry>> {
        self.class_slots.get(index as usize).map(|slot| &slot.entry)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn site(classes: &[(&str, &str, u64)]) -> Site {
        let class = |(name, effect, give_up): &(&str, &str, u64)| {
            format!(
                r#"{{"name":"{name}","effect":"{effect}","on_time":400000,"give_up":{give_up},"worth":1,"window":1}}"#
            )
        };
        let classes: Vec<String> = classes.iter().map(class).collect();
        let json = format!(
            r#"{{"group_size":1,"my_zone":0,"period":5000,"discovery":"subscribe","services":[{}],
            "limits":{{"cancel":true,"max_attempts":3}},"safety":{{"cold":1,"cold_from":0.3,"fall":1}}}}"#,
            classes.join(",")
        );
        Site::from_json(&json).expect("a site")
    }

    #[test]
    fn a_class_keeps_its_slot_while_a_request_of_it_is_in_flight() {
        let counts = ServiceCounts::default();
        let first = ActiveSettings::new(
            site(&[("read", "safe", 900_000), ("file", "unsafe", 900_000)]),
            &counts,
        );
        let held_by_request = first.class_named("file").expect("the class exists");
        // "file" changes its retry safety, "read" stays as it is, "late" is new.
        let (second, change) = first.updated(
            site(&[
                ("late", "safe", 500_000),
                ("read", "safe", 900_000),
                ("file", "keyed", 900_000),
            ]),
            &counts,
        );
        assert_eq!(
            (held_by_request.index, held_by_request.retry_safety()),
            (1, RetrySafety::NonIdempotent)
        );
        assert_eq!(change.retired, [false, true, false, false]);
        assert_eq!(change.inherited_from, [Some(0), Some(1), None, Some(1)]);
        assert_eq!(
            change.settings.classes[1].retry_safety,
            RetrySafety::NonIdempotent
        );
        assert_eq!(second.class_named("file").map(|c| c.index), Some(3));
        drop(first);
        // "late" is no longer configured. Its slot, and that of the request that has ended, are free again.
        drop(held_by_request);
        let (third, change) = second.updated(
            site(&[("read", "safe", 900_000), ("new", "safe", 1)]),
            &counts,
        );
        assert_eq!(third.class_named("new").map(|c| c.index), Some(1));
        assert_eq!(change.retired, [false, false, true, true]);
        assert_eq!(change.inherited_from[1], None);
        assert!(third.class_named("late").is_none() && third.class_named("file").is_none());
    }
}
