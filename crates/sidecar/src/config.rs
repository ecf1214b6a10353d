//! The platform's configuration of a sidecar: the `RELAY_*` variables and the JSON file that one of them names.

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

/// A sidecar's configuration from the platform.
#[derive(Deserialize)]
pub struct Config {
    /// The sidecar's name, which stays the same after a restart.
    #[serde(default)]
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The control address for on-call staff and the platform, if there is one.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// The listening socket for clients, where the platform holds it and passes it to this process.
    #[serde(skip)]
    pub(super) inherited_socket: Option<TcpListener>,
    /// Seed for random numbers; different at each start.
    #[serde(deserialize_with = "hex")]
    pub seed: u64,
    /// The platform's limits on the sidecar's resources.
    #[serde(default)]
    pub limits: Limits,
    /// The last server list that this sidecar had, which may be out of date.
    #[serde(default)]
    pub(super) known: ListUpdate,
    /// The settings of the site.
    pub settings: Site,
    /// The keys of the file.
    #[serde(skip)]
    pub(super) keys: ConfigKeys,
}

/// The keys of a configuration's file.
#[derive(Default)]
pub(super) struct ConfigKeys(serde_json::Value);

/// Keys that a reloaded file may omit although the former file had them: they are written only where they apply.
const OPTIONAL_KEYS: [&str; 4] = ["known", "control", "aim_stretch", "domain"];

impl ConfigKeys {
    fn of(text: &str) -> Self {
        let mut keys: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
        // The longest value by far, and never compared.
        if let Some(keys) = keys.as_object_mut() {
            keys.remove("known");
        }
        ConfigKeys(keys)
    }

    /// The first key of the former file that this one lacks.
    fn missing_key(&self, former: &ConfigKeys) -> Option<String> {
        missing_key(&self.0, &former.0, "")
    }
}

fn missing_key(
    present: &serde_json::Value,
    former: &serde_json::Value,
    path: &str,
) -> Option<String> {
    use serde_json::Value::{Array, Object};
    match (present, former) {
        (Object(present), Object(former)) => former.iter().find_map(|(key, value)| {
            if OPTIONAL_KEYS.contains(&key.as_str()) {
                return None;
            }
            let field = if path.is_empty() {
                key.clone()
            } else {
                format!("{path}.{key}")
            };
            match present.get(key) {
                Some(present) => missing_key(present, value, &field),
                None => Some(field),
            }
        }),
        // The entries may differ from the former ones, but each must have the keys that all of those had.
        (Array(present), Array(former)) => {
            let (first, rest) = former.split_first()?;
            let mut shared_keys = first.as_object()?.clone();
            shared_keys.retain(|key, _| rest.iter().all(|other| other.get(key).is_some()));
            shared_keys
                .values_mut()
                .for_each(|value| *value = serde_json::Value::Null);
            let shared_keys = Object(shared_keys);
            present.iter().enumerate().find_map(|(index, entry)| {
                missing_key(entry, &shared_keys, &format!("{path}[{index}]"))
            })
        }
        (_, Object(_)) => Some(path.to_string()),
        _ => None,
    }
}

/// The platform's limits on a sidecar's resources.
#[derive(Deserialize)]
pub struct Limits {
    /// File descriptors.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// Memory in MiB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
}

/// The system's limit on file descriptors of this process, which may be lower than the platform's.
pub(super) fn descriptor_limit() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits
        .lines()
        .find_map(|l| l.strip_prefix("Max open files"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(usize::MAX)
}

fn default_sockets() -> usize {
    1024
}

fn default_memory_mb() -> usize {
    64
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: default_sockets(),
            memory_mb: default_memory_mb(),
        }
    }
}

impl Config {
    /// Reads the file that `RELAY_CONFIG` names. Other `RELAY_*` variables override the file. To be called before the
    /// process opens any socket, because `RELAY_ACCEPT_FD` gives the number of an inherited one.
    pub fn load() -> Result<Self, String> {
        let mut config = Config::read()?;
        for (variable, address) in [
            ("RELAY_LISTEN", &mut config.listen),
            ("RELAY_DISCOVERY", &mut config.discovery),
        ] {
            if let Some(value) = environment_variable(variable)? {
                *address = value
                    .parse()
                    .map_err(|e| format!("{variable}: {e}: {value}"))?;
            }
        }
        if let Some(value) = environment_variable("RELAY_CONTROL")? {
            let address = value
                .parse()
                .map_err(|e| format!("RELAY_CONTROL: {e}: {value}"))?;
            config.control = Some(address);
        }
        if let Some(number) = environment_variable("RELAY_ACCEPT_FD")? {
            let socket = madderloom_socket_activation::listener(&number, config.listen);
            config.inherited_socket = Some(socket.map_err(|e| format!("RELAY_ACCEPT_FD: {e}"))?);
        }
        config.limits.sockets = config.limits.sockets.min(descriptor_limit());
        config.name = environment_variable("RELAY_NAME")?.unwrap_or(config.name);
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

    /// Reads the file again, without the variables, because the file is newer than they are. The file must have all keys
    /// that the former one had: otherwise it has not been written completely.
    pub(super) fn reload(former: &ConfigKeys) -> Result<Self, String> {
        let config = Config::read()?;
        match config.keys.missing_key(former) {
            Some(field) => Err(format!(
                "configuration: {field}: is missing, but the former file had it"
            )),
            None => Ok(config),
        }
    }

    /// Parses and validates the text of the file.
    pub fn from_json(text: &str) -> Result<Self, ConfigError> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let config: Config = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let (line, column) = (e.inner().line(), e.inner().column());
            ConfigError::from_json(e.path().to_string(), line, column, e.inner())
        })?;
        reader
            .end()
            .map_err(|e| ConfigError::from_json(".".into(), e.line(), e.column(), &e))?;
        let mut names = std::collections::BTreeSet::new();
        if let Some(index) = config
            .settings
            .classes
            .iter()
            .position(|name| !names.insert(name))
        {
            let field = format!("settings.services[{index}].name");
            let (line, column) = line_and_column(text, &field);
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
            let (line, column) = line_and_column(text, &field);
            ConfigError {
                field,
                line,
                column,
                problem: e.problem,
            }
        })?;
        Ok(config)
    }

    /// A one-line summary of the classes, zones and servers.
    pub fn summary(&self) -> String {
        let site = &self.settings;
        let (classes, zones) = (site.classes.join(", "), site.zones.join(", "));
        format!(
            "classes {classes}; zones {zones}; {} servers known",
            self.known.len()
        )
    }
}

/// The value of an environment variable; `None` if it is not set. A value that is not Unicode is an error.
fn environment_variable(name: &str) -> Result<Option<String>, String> {
    match std::env::var(name) {
        Ok(value) => Ok(Some(value)),
        Err(VarError::NotPresent) => Ok(None),
        Err(problem @ VarError::NotUnicode(_)) => Err(format!("{name}: {problem}")),
    }
}

/// Why a configuration is invalid, and where.
#[derive(Debug, Serialize)]
pub struct ConfigError {
    /// The path of the invalid field from the top of the file; `.` for the whole file.
    pub field: String,
    /// The line of the field, or the line where reading stopped, counted from 1.
    pub line: usize,
    /// The column in bytes, counted from 1.
    pub column: usize,
    /// What is wrong with the field.
    pub problem: String,
}

impl ConfigError {
    fn from_json(field: String, line: usize, column: usize, error: &serde_json::Error) -> Self {
        let problem = error.to_string().replace(['\n', '\r'], " ");
        // The line and column are separate fields, so they are cut from the text.
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

/// The line and column, counted from 1, at which the value of a field such as `a.b[2].c` begins. If the field is missing,
/// those of the innermost parent that is present.
fn line_and_column(text: &str, field: &str) -> (usize, usize) {
    let mut value = text;
    for step in field
        .split(['.', '['])
        .map(|step| step.trim_end_matches(']'))
    {
        let inner = match step.parse::<usize>() {
            Ok(index) => serde_json::from_str::<Vec<&RawValue>>(value)
                .ok()
                .and_then(|list| Some(list.get(index)?.get())),
            Err(_) => serde_json::from_str::<BTreeMap<Cow<'_, str>, &RawValue>>(value)
                .ok()
                .and_then(|object| Some(object.get(step)?.get())),
        };
        let Some(inner) = inner else { break };
        value = inner;
    }
    // The innermost value is a slice of the text.
    let offset = value.as_ptr() as usize - text.as_ptr() as usize;
    let before = &text[..offset.min(text.len())];
    let line_start = before.rfind('\n').map_or(0, |end| end + 1);
    (
        before.matches('\n').count() + 1,
        before.len() - line_start + 1,
    )
}

/// Reads a number that is written in hexadecimal digits.
fn hex<'a, D: Deserializer<'a>>(reader: D) -> Result<u64, D::Error> {
    let digits = String::deserialize(reader)?;
    u64::from_str_radix(&digits, 16).map_err(|e| D::Error::custom(format_args!("{e}: {digits:?}")))
}

#[cfg(test)]
#[path = "config_keys_tests.rs"]
mod config_keys_tests;

#[cfg(test)]
mod tests {
    use super::{Config, ConfigKeys, line_and_column};

    const VALID: &str = include_str!("../../../examples/operations/config.json");

    /// The file may be read while it is still being written.
    #[test]
    fn a_file_truncated_at_any_byte_is_rejected() {
        let text = VALID.trim_end();
        assert!(Config::from_json(text).is_ok());
        for end in 0..text.len() {
            assert!(
                Config::from_json(&text[..end]).is_err(),
                "truncated at {end}"
            );
        }
    }

    #[test]
    fn a_missing_key_that_the_former_file_had_is_named() {
        let former = ConfigKeys::of(VALID);
        assert_eq!(ConfigKeys::of(VALID).missing_key(&former), None);
        for (key, field) in [
            ("seed", "seed"),
            ("settings", "settings"),
            ("safety", "settings.safety"),
            ("cold_from", "settings.safety.cold_from"),
            ("max_attempts", "settings.limits.max_attempts"),
            ("give_up", "settings.services[0].give_up"),
        ] {
            let present = VALID.replacen(&format!("\"{key}\""), "\"other\"", 1);
            assert_eq!(
                ConfigKeys::of(&present).missing_key(&former).as_deref(),
                Some(field)
            );
        }
        // A key that only some of the former entries had, and an optional key.
        let present =
            VALID
                .replacen("\"key_scope\"", "\"other\"", 1)
                .replacen("\"known\"", "\"other\"", 1);
        assert_eq!(ConfigKeys::of(&present).missing_key(&former), None);
    }

    #[test]
    fn the_line_and_column_of_a_field_are_where_its_value_begins() {
        let text = "{\"a\": 1,\n \"b\": [{\"c\": 2},\n  {\"c\": 3, \"\\u0064\": 4}]}";
        for (field, expected) in [
            ("a", (1, 7)),
            ("b[0].c", (2, 14)),
            ("b[1].c", (3, 9)),
            ("b[1].d", (3, 22)),
        ] {
            assert_eq!(line_and_column(text, field), expected, "{field}");
        }
        // A missing field has the position of the innermost parent that is present.
        assert_eq!(line_and_column(text, "b[1].x"), (3, 3));
    }
}
