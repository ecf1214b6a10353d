//! What a change can set, and what of it is in effect on an instance.

use crate::{Error, Problem};
use serde::de::{self, Deserializer};
use serde::{Deserialize, Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// The most settings of one change, and the most that are in effect on an instance beside its own file.
pub const MOST_SETTINGS: usize = 1_024;
/// The longest name of an instance, a server, a zone, a label, in bytes.
pub const LONGEST_NAME: usize = 128;
/// The longest text of a route, in bytes.
pub const LONGEST_ROUTE: usize = 4_096;
/// The greatest weight of a server: a hundred times what discovery lists, in thousandths.
pub const GREATEST_WEIGHT: u32 = 100_000;

/// Whether a text can name an instance, a server, a zone, a label: 1 to 128 letters, digits and `. _ : -`.
///
/// # Errors
/// What is wrong with it.
pub fn check_name(text: &str) -> Result<(), Error> {
    let odd = |c: char| !(c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-'));
    if text.is_empty() {
        Err(Error::EmptyName)
    } else if text.len() > LONGEST_NAME {
        Err(Error::NameTooLong { length: text.len() })
    } else if let Some(character) = text.chars().find(|c| odd(*c)) {
        Err(Error::InvalidCharacter { character })
    } else {
        Ok(())
    }
}

/// What is set. Written as a path: `weight/SERVER`, `drain/SERVER`, `limit/SERVICE/LIMIT`, `route/NAME`, `log_level`,
/// and of the agent itself `fleet/LIMIT/FIGURE`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// What a server's listed capacity is multiplied by.
    Weight(String),
    /// Whether a server gets nothing new.
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
    /// The least weighty lines that the log has.
    LogLevel,
    /// A figure of a fleet-wide limit of the agent's file. It is the agent's alone: nothing of it is set on instances.
    Fleet {
        /// The limit.
        limit: String,
        /// Which of its figures.
        figure: FleetFigure,
    },
}

/// A figure of a fleet-wide limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FleetFigure {
    /// Requests a second.
    Rate,
    /// Requests at once.
    Burst,
    /// Requests open at once.
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

/// What a setting is set to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// A factor in thousandths: 1000 is as listed, 0 is none, 100000 the most.
    Weight(u32),
    /// Whether it is drained.
    Drained(bool),
    /// A limit, in the unit that the operator file has for it.
    Limit(u64),
    /// A route, as the operator file has it; checked by the instance.
    Route(String),
    /// A level of the log.
    Level(LogLevel),
}

/// A level of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum LogLevel {
    Off,
    Error,
    Warn,
    Info,
    Debug,
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
    /// The text of [`Value::validate`]'s error, for code that still uses it.
    ///
    /// # Errors
    /// Why the value is invalid.
    pub fn check(&self, key: &Key) -> Result<(), String> {
        self.validate(key).map_err(|error| error.to_string())
    }

    /// Checks whether a setting can have this value.
    ///
    /// # Errors
    /// Why the value is invalid.
    pub fn validate(&self, key: &Key) -> Result<(), Error> {
        match (key, self) {
            (Key::Weight(_), Value::Weight(w)) if *w > GREATEST_WEIGHT => {
                Err(Error::WeightOutOfRange)
            }
            (Key::Route(_), Value::Route(text)) if text.len() > LONGEST_ROUTE => {
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

/// Settings that a change makes; `None` goes back to what the instance's own file says.
pub type Edits = BTreeMap<Key, Option<Value>>;

/// Checks the settings of a change; problems name their field below `set`.
pub fn check_edits(edits: &Edits, problems: &mut Vec<Problem>) {
    if edits.len() > MOST_SETTINGS {
        let problem = format!(
            "{} settings; a change has {MOST_SETTINGS} at most",
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

/// All that is set on an instance beside its own file. It takes effect whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Overlay(pub BTreeMap<Key, Value>);

impl Overlay {
    /// The same for the same settings, whatever made them.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(self)
    }

    /// Sets what is to be set. What is the agent's own is passed over.
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

    /// What differs, a line each: `weight/w7: 1 -> 0.2`; `-` stands for what the instance's own file says.
    pub fn diff(&self, later: &Overlay) -> Vec<String> {
        let keys: std::collections::BTreeSet<&Key> = self.0.keys().chain(later.0.keys()).collect();
        let told = |value: Option<&Value>| value.map_or_else(|| "-".to_string(), Value::to_string);
        keys.into_iter()
            .filter(|key| self.0.get(key) != later.0.get(key))
            .map(|key| {
                format!(
                    "{key}: {} -> {}",
                    told(self.0.get(key)),
                    told(later.0.get(key))
                )
            })
            .collect()
    }
}

/// The first half of a SHA-256 over the canonical JSON of something. Written as 32 hexadecimal digits.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// That of anything that can be written as JSON; maps must be ordered ones.
    pub fn of<T: Serialize>(what: &T) -> Self {
        // What is given here has string keys alone, so that it can always be written.
        let text = serde_json::to_vec(what).unwrap_or_default();
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
