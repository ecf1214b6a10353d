//! The attributes of an instance, and the selectors that choose instances by them.

use crate::Problem;
use crate::bounds::{LONGEST_NAME, MOST_NAMES, MOST_PATTERNS};
use crate::settings::{Fingerprint, check_name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The traits of an instance, by which it can be selected.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Traits {
    /// Its zone; may be empty.
    pub zone: String,
    /// Labels, such as `tier` = `canary`; at most 256.
    pub labels: BTreeMap<String, String>,
    /// The build that runs.
    pub build: String,
    /// Fingerprint of its own operator file.
    pub file: Fingerprint,
}

impl Traits {
    /// Checks the traits that an instance has sent.
    ///
    /// # Errors
    /// The invalid field, and why.
    pub fn check(&self) -> Result<(), Problem> {
        let problem = |field: &str, problem: String| Problem {
            field: field.into(),
            problem,
        };
        if !self.zone.is_empty() {
            check_name(&self.zone).map_err(|error| problem("zone", error.to_string()))?;
        }
        if self.labels.len() > MOST_PATTERNS {
            return Err(problem(
                "labels",
                format!(
                    "{} of them; there are {MOST_PATTERNS} at most",
                    self.labels.len()
                ),
            ));
        }
        for (label, value) in &self.labels {
            check_name(label)
                .and_then(|()| check_name(value))
                .map_err(|error| problem("labels", error.to_string()))?;
        }
        if self.build.len() > LONGEST_NAME {
            return Err(problem("build", "is too long".into()));
        }
        Ok(())
    }
}

/// The instances that a change is for: those that match every part that is given. An empty selector matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Selector {
    /// Names; a name that ends in `*` matches every name with that prefix.
    pub names: Vec<String>,
    /// Labels with the value that they must have.
    pub labels: BTreeMap<String, String>,
    /// Zones.
    pub zones: Vec<String>,
}

impl Selector {
    /// Selects exactly these instances.
    pub fn named(names: impl IntoIterator<Item = String>) -> Self {
        Selector {
            names: names.into_iter().collect(),
            ..Selector::default()
        }
    }

    /// Whether it matches every instance.
    pub fn is_all(&self) -> bool {
        self.names.is_empty() && self.labels.is_empty() && self.zones.is_empty()
    }

    /// Whether it matches an instance.
    pub fn matches(&self, name: &str, traits: &Traits) -> bool {
        let named = |pattern: &String| madderloom_quota_leases::fits(pattern, name);
        (self.names.is_empty() || self.names.iter().any(named))
            && (self.zones.is_empty() || self.zones.contains(&traits.zone))
            && self
                .labels
                .iter()
                .all(|(label, value)| traits.labels.get(label) == Some(value))
    }

    pub(crate) fn check(&self, problems: &mut Vec<Problem>) {
        let mut add = |field: String, problem: String| problems.push(Problem { field, problem });
        let lists = [
            ("names", self.names.len(), MOST_NAMES),
            ("labels", self.labels.len(), MOST_PATTERNS),
            ("zones", self.zones.len(), MOST_NAMES),
        ];
        for (field, count, most) in lists {
            if count > most {
                add(
                    format!("select.{field}"),
                    format!("{count} of them; there are {most} at most"),
                );
            }
        }
        for (at, pattern) in self.names.iter().enumerate() {
            let begin = pattern.strip_suffix('*').unwrap_or(pattern);
            if let Err(error) = check_name(begin) {
                // A lone star matches all, as an empty list does.
                if pattern != "*" {
                    add(format!("select.names[{at}]"), error.to_string());
                }
            }
        }
        for (at, zone) in self.zones.iter().enumerate() {
            if let Err(error) = check_name(zone) {
                add(format!("select.zones[{at}]"), error.to_string());
            }
        }
        for (label, value) in &self.labels {
            if let Err(error) = check_name(label).and_then(|()| check_name(value)) {
                add(format!("select.labels.{label}"), error.to_string());
            }
        }
    }
}
