//! What a sidecar is told at its start: the `RELAY_*` variables and the JSON file that one of them names.

use super::pool::ListUpdate;
use madderloom_balancer::settings::{Site, settings_key};
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::env::VarError;
use std::fmt;
use std::net::{SocketAddr, TcpListener};

/// A sidecar's configuration.
#[derive(Deserialize)]
pub struct Config {
    /// Its name, the same after a restart.
    #[serde(default)]
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where on-call staff and the platform ask it, if they do.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// The clients' listening socket, where the platform holds it and has left it open for this process.
    #[serde(skip)]
    pub(super) inherited_socket: Option<TcpListener>,
    /// For random numbers; new with each start.
    #[serde(deserialize_with = "hex")]
    pub seed: u64,
    /// What the platform lets it have.
    #[serde(default)]
    pub limits: Limits,
    /// The server list as this sidecar had it last; it may be old.
    #[serde(default)]
    pub(super) known: ListUpdate,
    /// The site.
    pub settings: Site,
    /// Which keys the file has.
    #[serde(skip)]
    pub(super) keys: ConfigKeys,
}

/// The keys of a configuration's file.
#[derive(Default)]
pub(super) struct ConfigKeys(serde_json::Value);

/// What a file may leave out that another had: figures that are told only where they mean something.
const MAY_BE_ABSENT: [&str; 4] = ["known", "control", "aim_stretch", "domain"];

impl ConfigKeys {
    fn of(text: &str) -> Self {
        let mut keys: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
        // By far the longest, and never compared.
        if let Some(keys) = keys.as_object_mut() {
            keys.remove("known");
        }
        ConfigKeys(keys)
    }

    /// The first key of the former file that is not here.
    fn lacks(&self, former: &ConfigKeys) -> Option<String> {
        lacks(&self.0, &former.0, "")
    }
}

fn lacks(present: &serde_json::Value, former: &serde_json::Value, at: &str) -> Option<String> {
    use serde_json::Value::{Array, Object};
    match (present, former) {
        (Object(present), Object(former)) => former.iter().find_map(|(key, value)| {
            if MAY_BE_ABSENT.contains(&key.as_str()) {
                return None;
            }
            let field = if at.is_empty() {
                key.clone()
            } else {
                format!("{at}.{key}")
            };
            match present.get(key) {
                Some(present) => lacks(present, value, &field),
                None => Some(field),
            }
        }),
        // Entries may be others; each has what all of the former had.
        (Array(present), Array(former)) => {
            let (first, rest) = former.split_first()?;
            let mut shared_keys = first.as_object()?.clone();
            shared_keys.retain(|key, _| rest.iter().all(|other| other.get(key).is_some()));
            shared_keys
                .values_mut()
                .for_each(|value| *value = serde_json::Value::Null);
            let shared_keys = Object(shared_keys);
            present
                .iter()
                .enumerate()
                .find_map(|(place, entry)| lacks(entry, &shared_keys, &format!("{at}[{place}]")))
        }
        (_, Object(_)) => Some(at.to_string()),
        _ => None,
    }
}

/// What the platform lets a sidecar have.
#[derive(Deserialize)]
pub struct Limits {
    /// File descriptors.
    #[serde(default = "usual_sockets")]
    pub sockets: usize,
    /// Memory.
    #[serde(default = "usual_memory")]
    pub memory_mb: usize,
}

/// What the system lets this process have: it may be less than the platform says.
pub(super) fn descriptor_limit() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits
        .lines()
        .find_map(|l| l.strip_prefix("Max open files"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(usize::MAX)
}

fn usual_sockets() -> usize {
    1024
}

fn usual_memory() -> usize {
    64
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: usual_sockets(),
            memory_mb: usual_memory(),
        }
    }
}

impl Config {
    /// Reads the file that `RELAY_CONFIG` names. Other `RELAY_*` variables go before what it says. To be called before
    /// the process listens anywhere: `RELAY_ACCEPT_FD` names a socket that was left open for it by its number.
    pub fn load() -> Result<Self, String> {
        let mut config = Config::read()?;
        for (variable, address) in [
            ("RELAY_LISTEN", &mut config.listen),
            ("RELAY_DISCOVERY", &mut config.discovery),
        ] {
            if let Some(value) = variable_set(variable)? {
                *address = value
                    .parse()
                    .map_err(|e| format!("{variable}: {e}: {value}"))?;
            }
        }
        if let Some(value) = variable_set("RELAY_CONTROL")? {
            let address = value
                .parse()
                .map_err(|e| format!("RELAY_CONTROL: {e}: {value}"))?;
            config.control = Some(address);
        }
        if let Some(number) = variable_set("RELAY_ACCEPT_FD")? {
            let socket = madderloom_socket_activation::listener(&number, config.listen);
            config.inherited_socket = Some(socket.map_err(|e| format!("RELAY_ACCEPT_FD: {e}"))?);
        }
        config.limits.sockets = config.limits.sockets.min(descriptor_limit());
        config.name = variable_set("RELAY_NAME")?.unwrap_or(config.name);
        Ok(config)
    }

    fn read() -> Result<Self, String> {
        let path = std::env::var("RELAY_CONFIG").map_err(|e| format!("RELAY_CONFIG: {e}"))?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("RELAY_CONFIG: {path}: {e}"))?;
        let mut config = Config::from_json(&text).map_err(|e| e.to_string())?;
        config.keys = ConfigKeys::of(&text);
        Ok(config)
    }

    /// Reads the file alone, in place of one that was read before. It is newer than the variables, which stay as they
    /// were. A key that the former one had must be there: a file that lacks one was not written to its end.
    pub(super) fn reload(former: &ConfigKeys) -> Result<Self, String> {
        let config = Config::read()?;
        match config.keys.lacks(former) {
            Some(field) => Err(format!(
                "configuration: {field}: is missing, and was there before"
            )),
            None => Ok(config),
        }
    }

    /// Reads the file's text.
    pub fn from_json(text: &str) -> Result<Self, ConfigError> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let config: Config = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let (line, column) = (e.inner().line(), e.inner().column());
            ConfigError::at(e.path().to_string(), line, column, e.inner())
        })?;
        reader
            .end()
            .map_err(|e| ConfigError::at(".".into(), e.line(), e.column(), &e))?;
        let mut names = std::collections::BTreeSet::new();
        if let Some(at) = config
            .settings
            .classes
            .iter()
            .position(|name| !names.insert(name))
        {
            let field = format!("settings.services[{at}].name");
            let (line, column) = place(text, &field);
            let problem = "another class has this name".to_string();
            return Err(ConfigError {
                field,
                line,
                column,
                problem,
            });
        }
        config.settings.settings.validate().map_err(|e| {
            let field = format!("settings.{}", settings_key(&e.field));
            let (line, column) = place(text, &field);
            ConfigError {
                field,
                line,
                column,
                problem: e.problem,
            }
        })?;
        Ok(config)
    }

    /// What it configures, in a few words.
    pub fn summary(&self) -> String {
        let site = &self.settings;
        let (classes, zones) = (site.classes.join(", "), site.zones.join(", "));
        format!(
            "classes {classes}; zones {zones}; {} servers known",
            self.known.len()
        )
    }
}

/// What a variable of the environment says; none where it is not set. One that cannot be read is not as good as absent.
fn variable_set(name: &str) -> Result<Option<String>, String> {
    match std::env::var(name) {
        Ok(value) => Ok(Some(value)),
        Err(VarError::NotPresent) => Ok(None),
        Err(problem @ VarError::NotUnicode(_)) => Err(format!("{name}: {problem}")),
    }
}

/// Why a configuration makes no sense, and where.
#[derive(Debug, Serialize)]
pub struct ConfigError {
    /// The field at fault, from the top of the file; `.` for the whole of it.
    pub field: String,
    /// Its line, counted from 1, or that where reading stopped.
    pub line: usize,
    /// Its column in bytes, counted from 1.
    pub column: usize,
    /// What is wrong with it.
    pub problem: String,
}

impl ConfigError {
    fn at(field: String, line: usize, column: usize, problem: &serde_json::Error) -> Self {
        let problem = problem.to_string().replace(['\n', '\r'], " ");
        // The place is told apart from the words.
        let problem = problem
            .split(" at line ")
            .next()
            .unwrap_or_default()
            .to_string();
        ConfigError {
            field,
            line,
            column,
            problem,
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConfigError {
            field,
            line,
            column,
            problem,
        } = self;
        write!(
            f,
            "configuration: {field}: {problem} at line {line} column {column}"
        )
    }
}

/// Line and column, from 1, at which the value of a field such as `a.b[2].c` begins, or the last of those above
/// it that is there.
fn place(text: &str, field: &str) -> (usize, usize) {
    let mut at = text;
    for step in field
        .split(['.', '['])
        .map(|step| step.trim_end_matches(']'))
    {
        let inner = match step.parse::<usize>() {
            Ok(number) => serde_json::from_str::<Vec<&RawValue>>(at)
                .ok()
                .and_then(|list| Some(list.get(number)?.get())),
            Err(_) => serde_json::from_str::<BTreeMap<Cow<'_, str>, &RawValue>>(at)
                .ok()
                .and_then(|object| Some(object.get(step)?.get())),
        };
        let Some(inner) = inner else { break };
        at = inner;
    }
    // The innermost value is a part of the text itself.
    let offset = at.as_ptr() as usize - text.as_ptr() as usize;
    let before = &text[..offset.min(text.len())];
    let line_start = before.rfind('\n').map_or(0, |end| end + 1);
    (
        before.matches('\n').count() + 1,
        before.len() - line_start + 1,
    )
}

/// A number that is written as hex digits.
fn hex<'a, D: Deserializer<'a>>(reader: D) -> Result<u64, D::Error> {
    let digits = String::deserialize(reader)?;
    u64::from_str_radix(&digits, 16).map_err(|e| D::Error::custom(format_args!("{e}: {digits:?}")))
}

#[cfg(test)]
#[path = "config_keys_tests.rs"]
mod config_keys_tests;

#[cfg(test)]
mod tests {
    use super::{Config, ConfigKeys, place};

    const SOUND: &str = include_str!("../../../examples/operations/config.json");

    /// A file that is caught while it is written.
    #[test]
    fn a_file_that_is_cut_at_any_byte_is_turned_down() {
        let text = SOUND.trim_end();
        assert!(Config::from_json(text).is_ok());
        for end in 0..text.len() {
            assert!(Config::from_json(&text[..end]).is_err(), "cut at {end}");
        }
    }

    #[test]
    fn a_key_that_the_former_file_had_is_missed_and_named() {
        let former = ConfigKeys::of(SOUND);
        assert_eq!(ConfigKeys::of(SOUND).lacks(&former), None);
        for (key, field) in [
            ("seed", "seed"),
            ("settings", "settings"),
            ("safety", "settings.safety"),
            ("cold_from", "settings.safety.cold_from"),
            ("max_attempts", "settings.limits.max_attempts"),
            ("give_up", "settings.services[0].give_up"),
        ] {
            let present = SOUND.replacen(&format!("\"{key}\""), "\"other\"", 1);
            assert_eq!(
                ConfigKeys::of(&present).lacks(&former).as_deref(),
                Some(field)
            );
        }
        // What only some of the former had, and what need not be told.
        let present =
            SOUND
                .replacen("\"key_scope\"", "\"other\"", 1)
                .replacen("\"known\"", "\"other\"", 1);
        assert_eq!(ConfigKeys::of(&present).lacks(&former), None);
    }

    #[test]
    fn the_place_of_a_field_is_where_its_value_begins() {
        let text = "{\"a\": 1,\n \"b\": [{\"c\": 2},\n  {\"c\": 3, \"\\u0064\": 4}]}";
        for (field, expected) in [
            ("a", (1, 7)),
            ("b[0].c", (2, 14)),
            ("b[1].c", (3, 9)),
            ("b[1].d", (3, 22)),
        ] {
            assert_eq!(place(text, field), expected, "{field}");
        }
        // Of what is not there, the innermost that is.
        assert_eq!(place(text, "b[1].x"), (3, 3));
    }
}
