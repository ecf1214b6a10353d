//! The settings that hold, as the sockets need them, and how newer ones take their place.
//!
//! A class has a place, by which the module knows it, for as long as any request of it is open. A newer file that drops
//! or changes a class leaves the old one its place until then; what changed gets another, and goes on with what was
//! learned. So the rules of a request are those that it came under, to its end.

use super::counts::{OutcomeCounts, ServiceCounts};
use madderloom_balancer::settings::Site;
use madderloom_balancer::{Class, Micros, RetrySafety, SettingsChange};
use std::rc::Rc;
use std::time::Duration;

/// A class as requests name it. Held by each request of it that is open.
pub(super) struct ClassEntry {
    pub(super) name: String,
    /// Its place in the module's settings.
    pub(super) index: u32,
    pub(super) class: Class,
    pub(super) counts: Rc<OutcomeCounts>,
}

impl ClassEntry {
    pub(super) fn retry_safety(&self) -> RetrySafety {
        self.class.retry_safety
    }
}

/// A place among the classes.
#[derive(Clone)]
pub(super) struct ClassSlot {
    pub(super) entry: Rc<ClassEntry>,
    /// No new request names it.
    pub(super) retired: bool,
}

/// Settings that hold.
pub(super) struct ActiveSettings {
    /// As the file has them, but for the classes, which are by their places.
    pub(super) site: Site,
    /// As the file has them.
    pub(super) configured_site: Site,
    pub(super) class_slots: Vec<ClassSlot>,
    /// The advice on when to come back for requests that do not reach the module.
    pub(super) retry_after: Option<Micros>,
    /// The longest that a client waits.
    pub(super) max_deadline: Duration,
}

impl ActiveSettings {
    /// Those that a service begins with.
    pub(super) fn new(site: Site, counts: &ServiceCounts) -> Self {
        let classes = site.classes.iter().zip(&site.settings.classes).enumerate();
        let place = |(at, (name, class)): (usize, (&String, &Class))| ClassSlot {
            entry: Rc::new(ClassEntry {
                name: name.clone(),
                index: at as u32,
                class: class.clone(),
                counts: counts.class(name),
            }),
            retired: false,
        };
        let places = classes.map(place).collect();
        ActiveSettings::of(site.clone(), site, places)
    }

    fn of(file: Site, site: Site, places: Vec<ClassSlot>) -> Self {
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
            configured_site: file,
            class_slots: places,
        }
    }

    /// Newer ones, and what the module is to be told of them.
    pub(super) fn updated(
        &self,
        mut site: Site,
        counts: &ServiceCounts,
    ) -> (ActiveSettings, SettingsChange) {
        let file = site.clone();
        let mut places: Vec<ClassSlot> = Vec::with_capacity(self.class_slots.len());
        let mut learned: Vec<Option<u32>> = Vec::new();
        let asked: Vec<(String, Class)> = site
            .classes
            .iter()
            .cloned()
            .zip(site.settings.classes.iter().cloned())
            .collect();
        // What stays as it is keeps its place; all else is on its way out.
        for place in &self.class_slots {
            let entry = &place.entry;
            let stays = asked
                .iter()
                .any(|(name, class)| *name == entry.name && *class == entry.class);
            learned.push(Some(entry.index));
            places.push(ClassSlot {
                entry: Rc::clone(entry),
                retired: place.retired || !stays,
            });
        }
        for (name, class) in asked {
            if places
                .iter()
                .any(|place| !place.retired && place.entry.name == name)
            {
                continue;
            }
            let former = self
                .class_slots
                .iter()
                .find(|place| !place.retired && place.entry.name == name);
            let from = former.map(|place| place.entry.index);
            // One here and one in the settings that hold: nobody else has it.
            let free = places
                .iter()
                .position(|place| place.retired && Rc::strong_count(&place.entry) == 2);
            let at = free.unwrap_or(places.len());
            let entry = ClassEntry {
                index: at as u32,
                class,
                counts: counts.class(&name),
                name,
            };
            let place = ClassSlot {
                entry: Rc::new(entry),
                retired: false,
            };
            if at < places.len() {
                (places[at], learned[at]) = (place, from);
            } else {
                places.push(place);
                learned.push(from);
            }
        }
        site.classes = places
            .iter()
            .map(|place| place.entry.name.clone())
            .collect();
        site.settings.classes = places
            .iter()
            .map(|place| place.entry.class.clone())
            .collect();
        let retired = places.iter().map(|place| place.retired).collect();
        let retuned = SettingsChange {
            settings: site.settings.clone(),
            inherited_from: learned,
            retired,
        };
        (ActiveSettings::of(file, site, places), retuned)
    }

    /// The class that new requests name so.
    pub(super) fn class_named(&self, name: &str) -> Option<Rc<ClassEntry>> {
        let place = self
            .class_slots
            .iter()
            .find(|place| !place.retired && place.entry.name == name);
        place.map(|place| Rc::clone(&place.entry))
    }

    /// The class at this place.
    pub(super) fn class_at(&self, place: u32) -> Option<&Rc<ClassEntry>> {
        self.class_slots
            .get(place as usize)
            .map(|place| &place.entry)
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
    fn a_class_keeps_its_place_while_a_request_of_it_is_open() {
        let counts = ServiceCounts::default();
        let first = ActiveSettings::new(
            site(&[("read", "safe", 900_000), ("file", "unsafe", 900_000)]),
            &counts,
        );
        let open = first.class_named("file").expect("it is there");
        // "file" changes its effect, "read" stays, "late" is new.
        let (second, told) = first.updated(
            site(&[
                ("late", "safe", 500_000),
                ("read", "safe", 900_000),
                ("file", "keyed", 900_000),
            ]),
            &counts,
        );
        assert_eq!(
            (open.index, open.retry_safety()),
            (1, RetrySafety::NonIdempotent)
        );
        assert_eq!(told.retired, [false, true, false, false]);
        assert_eq!(told.inherited_from, [Some(0), Some(1), None, Some(1)]);
        assert_eq!(
            told.settings.classes[1].retry_safety,
            RetrySafety::NonIdempotent
        );
        assert_eq!(second.class_named("file").map(|c| c.index), Some(3));
        drop(first);
        // Nobody asks for "late" any more; its place, and that of the request that has ended, are free again.
        drop(open);
        let (third, told) = second.updated(
            site(&[("read", "safe", 900_000), ("new", "safe", 1)]),
            &counts,
        );
        assert_eq!(third.class_named("new").map(|c| c.index), Some(1));
        assert_eq!(told.retired, [false, false, true, true]);
        assert_eq!(told.inherited_from[1], None);
        assert!(third.class_named("late").is_none() && third.class_named("file").is_none());
    }
}
