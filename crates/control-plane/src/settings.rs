//! The settings that a change can make, and those that are in effect on an instance.

use crate::bounds::{MAX_NAME_BYTES, MAX_ROUTE_BYTES, MAX_SETTINGS, MAX_WEIGHT};
use crate::{Error, Problem};
use serde::de::{self, Deserializer};
use serde::{Deserialize, Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// Checks whether a text can name an instance, a server, a zone or a label: 1 to [`MAX_NAME_BYTES`] ASCII letters,
/// digits and `. _ : -`.
///
/// # Errors
/// Why it is no name.
pub fn check_name(text: &str) -> Result<(), Error> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    if text.is_empty() {
        Err(Error::EmptyName)
    } else if text.len() > MAX_NAME_BYTES {
        Err(Error::NameTooLong { length: text.len() })
    } else if let Some(character) = text.chars().find(|c| !is_allowed(*c)) {
        Err(Error::InvalidCharacter { character })
    } else {
        Ok(())
    }
}

/// The key of a setting. Its text is a path: `weight/SERVER`, `drain/SERVER`, `limit/SERVICE/LIMIT`, `route/NAME`,
/// `log_level`, and for settings of the agent itself `fleet/LIMIT/FIGURE`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The factor that multiplies the listed capacity of a server.
    Weight(String),
    /// Whether a server is drained: it receives no new requests.
    Drain(String),
    /// A limit of a service, as the operator file names both.
    Limit {
        /// The service.
        service: String,
        /// The limit.
        limit: String,
    },
    /// A route of the operator file.
    Route(String),
    /// The lowest level that is logged.
    LogLevel,
    /// A figure of a fleet-wide limit of the agent's file. Only the agent applies it; it is in no overlay.
    Fleet {
        /// The limit.
        limit: String,
        /// The figure.
        figure: FleetFigure,
    },
}

/// A figure of a fleet-wide limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FleetFigure {
    /// Requests a second.
    Rate,
    /// Requests in a burst.
    Burst,
    /// Concurrent requests.
    Open,
}

impl FleetFigure {
    const ALL: [(FleetFigure, &str); 3] = [
        (FleetFigure::Rate, "requests_per_second"),
        (FleetFigure::Burst, "burst"),
        (FleetFigure::Open, "open"),
    ];
}

impl fmt::Display for FleetFigure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = FleetFigure::ALL
            .iter()
            .find(|(figure, _)| figure == self)
            .map_or("", |(_, name)| name);
        f.write_str(name)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Key::Weight(server) => write!(f, "weight/{server}"),
            Key::Drain(server) => write!(f, "drain/{server}"),
            Key::Limit { service, limit } => write!(f, "limit/{service}/{limit}"),
            Key::Route(name) => write!(f, "route/{name}"),
            Key::LogLevel => f.write_str("log_level"),
            Key::Fleet { limit, figure } => write!(f, "fleet/{limit}/{figure}"),
        }
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut parts = text.split('/');
        let kind = parts.next().unwrap_or_default();
        let rest: Vec<&str> = parts.collect();
        for name in &rest {
            check_name(name).map_err(|error| Error::InvalidKeyPart {
                key: text.to_string(),
                part: name.to_string(),
                source: Box::new(error),
            })?;
        }
        match (kind, rest.as_slice()) {
            ("weight", [server]) => Ok(Key::Weight(server.to_string())),
            ("drain", [server]) => Ok(Key::Drain(server.to_string())),
            ("limit", [service, limit]) => Ok(Key::Limit {
                service: service.to_string(),
                limit: limit.to_string(),
            }),
            ("route", [name]) => Ok(Key::Route(name.to_string())),
            ("log_level", []) => Ok(Key::LogLevel),
            ("fleet", [limit, figure]) => {
                let known = FleetFigure::ALL.iter().find(|(_, name)| name == figure);
                let (figure, _) = known.ok_or_else(|| Error::UnknownFigure {
                    key: text.to_string(),
                    figure: figure.to_string(),
                })?;
                Ok(Key::Fleet {
                    limit: limit.to_string(),
                    figure: *figure,
                })
            }
            _ => Err(Error::UnknownSetting {
                key: text.to_string(),
            }),
        }
    }
}

impl Serialize for Key {
    fn serialize<S: Serializer>(&self, writer: S) -> Result<S::Ok, S::Error> {
        writer.collect_str(self)
    }
}

impl<'a> Deserialize<'a> for Key {
    fn deserialize<D: Deserializer<'a>>(reader: D) -> Result<Self, D::Error> {
        String::deserialize(reader)?
            .parse()
            .map_err(de::Error::custom)
    }
}

/// The value of a setting.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// A factor in thousandths: 1000 leaves the listed capacity, 0 sends no requests; [`MAX_WEIGHT`] at most.
    Weight(u32),
    /// Whether the server is drained.
    Drained(bool),
    /// A limit, in the unit of the same limit in the operator file.
    Limit(u64),
    /// A route, in the syntax of the operator file. The instance checks it.
    Route(String),
    /// A level of the log.
    Level(LogLevel),
}

/// A level of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Nothing is logged.
    Off,
    /// Errors.
    Error,
    /// Warnings and errors.
    Warn,
    /// Ordinary events, and all above.
    Info,
    /// Details for debugging, and all above.
    Debug,
    /// Everything.
    Trace,
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Weight(thousandths) => write!(f, "{}", f64::from(*thousandths) / 1e3),
            Value::Drained(drained) => write!(f, "{drained}"),
            Value::Limit(limit) => write!(f, "{limit}"),
            Value::Route(text) => write!(f, "{text:?}"),
            Value::Level(level) => write!(f, "{}", format!("{level:?}").to_lowercase()),
        }
    }
}

impl Value {
    /// Checks whether a setting can have this value.
    ///
    /// # Errors
    /// Why the value is invalid.
    pub fn validate(&self, key: &Key) -> Result<(), Error> {
        match (key, self) {
            (Key::Weight(_), Value::Weight(w)) if *w > MAX_WEIGHT => Err(Error::WeightOutOfRange),
            (Key::Route(_), Value::Route(text)) if text.len() > MAX_ROUTE_BYTES => {
                Err(Error::RouteTooLong { length: text.len() })
            }
            (Key::Weight(_), Value::Weight(_))
            | (Key::Drain(_), Value::Drained(_))
            | (Key::Limit { .. } | Key::Fleet { .. }, Value::Limit(_))
            | (Key::Route(_), Value::Route(_))
            | (Key::LogLevel, Value::Level(_)) => Ok(()),
            (Key::Weight(_), _) => Err(Error::NotAWeight),
            (Key::Drain(_), _) => Err(Error::NotABoolean),
            (Key::Limit { .. } | Key::Fleet { .. }, _) => Err(Error::NotAWholeNumber),
            (Key::Route(_), _) => Err(Error::NotARoute),
            (Key::LogLevel, _) => Err(Error::NotALogLevel),
        }
    }
}

/// The settings of a change; `None` restores the value of the instance's own file.
pub type Edits = BTreeMap<Key, Option<Value>>;

/// Checks the settings of a change, and adds all problems. Their fields begin with `set`.
pub fn check_edits(edits: &Edits, problems: &mut Vec<Problem>) {
    if edits.len() > MAX_SETTINGS {
        let problem = format!(
            "{} settings; a change has {MAX_SETTINGS} at most",
            edits.len()
        );
        problems.push(Problem {
            field: "set".into(),
            problem,
        });
    }
    for (key, value) in edits {
        if let Err(error) = value.as_ref().map_or(Ok(()), |value| value.validate(key)) {
            problems.push(Problem {
                field: format!("set.{key}"),
                problem: error.to_string(),
            });
        }
    }
}

/// All settings of an instance beside its own file. An overlay takes effect completely or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Overlay(pub BTreeMap<Key, Value>);

impl Overlay {
    /// A hash that is the same for the same settings, whichever changes made them.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(self)
    }

    /// Applies the settings of a change. Those of the agent itself are skipped.
    pub fn apply(&mut self, edits: &Edits) {
        for (key, value) in edits
            .iter()
            .filter(|(key, _)| !matches!(key, Key::Fleet { .. }))
        {
            match value {
                Some(value) => self.0.insert(key.clone(), value.clone()),
                None => self.0.remove(key),
            };
        }
    }

    /// The differences to a later overlay, one line each: `weight/w7: 1 -> 0.2`; `-` stands for the value of the
    /// instance's own file.
    pub fn diff(&self, later: &Overlay) -> Vec<String> {
        let keys: std::collections::BTreeSet<&Key> = self.0.keys().chain(later.0.keys()).collect();
        let text = |value: Option<&Value>| value.map_or_else(|| "-".to_string(), Value::to_string);
        keys.into_iter()
            .filter(|key| self.0.get(key) != later.0.get(key))
            .map(|key| {
                format!(
                    "{key}: {} -> {}",
                    text(self.0.get(key)),
                    text(later.0.get(key))
                )
            })
            .collect()
    }
}

/// The first half of a SHA-256 hash over the JSON of a value. Its text has 32 hexadecimal digits.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The fingerprint of a value. All maps in it must be ordered and have string keys.
    pub fn of<T: Serialize>(value: &T) -> Self {
        // Maps with string keys can always be serialized.
        let text = serde_json::to_vec(value).unwrap_or_default();
        let hash = Sha256::digest(&text);
        let half = hash
            .iter()
            .take(16)
            .fold(0u128, |all, byte| all << 8 | u128::from(*byte));
        Fingerprint(half)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0 >> 96)
    }
}

impl Serialize for Fingerprint {
    fn serialize<S: Serializer>(&self, writer: S) -> Result<S::Ok, S::Error> {
        writer.collect_str(self)
    }
}

impl<'a> Deserialize<'a> for Fingerprint {
    fn deserialize<D: Deserializer<'a>>(reader: D) -> Result<Self, D::Error> {
        let text = String::deserialize(reader)?;
        u128::from_str_radix(&text, 16)
            .map(Fingerprint)
            .map_err(|_| de::Error::custom(format!("{text:?} is no fingerprint")))
    }
}
