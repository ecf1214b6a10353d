//! The attributes of an instance, and the selectors that choose instances by them.

use crate::Problem;
use crate::bounds::{MAX_NAME_BYTES, MAX_PATTERNS, MAX_SELECTED_NAMES};
use crate::settings::{Fingerprint, check_name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The attributes of an instance, which selectors match.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Attributes {
    /// The zone; may be empty.
    pub zone: String,
    /// Labels, such as `tier` = `canary`; at most [`MAX_PATTERNS`].
    pub labels: BTreeMap<String, String>,
    /// The build that runs.
    pub build: String,
    /// The fingerprint of the instance's own operator file.
    pub file: Fingerprint,
}

impl Attributes {
    /// Checks the attributes that an instance has sent.
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
        if self.labels.len() > MAX_PATTERNS {
            return Err(problem(
                "labels",
                format!(
                    "{} of them; there are {MAX_PATTERNS} at most",
                    self.labels.len()
                ),
            ));
        }
        for (label, value) in &self.labels {
            check_name(label)
                .and_then(|()| check_name(value))
                .map_err(|error| problem("labels", error.to_string()))?;
        }
        if self.build.len() > MAX_NAME_BYTES {
            return Err(problem("build", "is too long".into()));
        }
        Ok(())
    }
}

/// Selects the instances that a change is for: those that match every part that is given. An empty selector matches
/// all of them.
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
    /// Selects exactly the instances with these names.
    pub fn named(names: impl IntoIterator<Item = String>) -> Self {
        Selector {
            names: names.into_iter().collect(),
            ..Selector::default()
        }
    }

    /// Whether the selector matches every instance.
    pub fn is_all(&self) -> bool {
        self.names.is_empty() && self.labels.is_empty() && self.zones.is_empty()
    }

    /// Whether the selector matches an instance.
    pub fn matches(&self, name: &str, attributes: &Attributes) -> bool {
        let named = |pattern: &String| madderloom_quota_leases::matches_pattern(pattern, name);
        (self.names.is_empty() || self.names.iter().any(named))
            && (self.zones.is_empty() || self.zones.contains(&attributes.zone))
            && self
                .labels
                .iter()
                .all(|(label, value)| attributes.labels.get(label) == Some(value))
    }

    /// Adds all problems of the selector, by the names that its fields have in a change document.
    pub(crate) fn check(&self, problems: &mut Vec<Problem>) {
        self.check_lengths(problems);
        let mut add = |field: String, problem: String| problems.push(Problem { field, problem });
        for (index, pattern) in self.names.iter().enumerate() {
            let prefix = pattern.strip_suffix('*').unwrap_or(pattern);
            // A star alone matches all names, as an empty list does.
            if pattern != "*"
                && let Err(error) = check_name(prefix)
            {
                add(format!("select.names[{index}]"), error.to_string());
            }
        }
        for (index, zone) in self.zones.iter().enumerate() {
            if let Err(error) = check_name(zone) {
                add(format!("select.zones[{index}]"), error.to_string());
            }
        }
        for (label, value) in &self.labels {
            if let Err(error) = check_name(label).and_then(|()| check_name(value)) {
                add(format!("select.labels.{label}"), error.to_string());
            }
        }
    }

    fn check_lengths(&self, problems: &mut Vec<Problem>) {
        let lists = [
            ("names", self.names.len(), MAX_SELECTED_NAMES),
            ("labels", self.labels.len(), MAX_PATTERNS),
            ("zones", self.zones.len(), MAX_SELECTED_NAMES),
        ];
        for (field, count, max) in lists {
            if count > max {
                problems.push(Problem {
                    field: format!("select.{field}"),
                    problem: format!("{count} of them; there are {max} at most"),
                });
            }
        }
    }
}
