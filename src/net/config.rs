//! What a sidecar is told at its start: the `RELAY_*` variables and the JSON file that one of them names.

use super::pool::Listing;
use crate::settings::Site;
use serde::{Deserialize, Deserializer, de::Error};
use std::net::SocketAddr;

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
    /// For random numbers; new with each start.
    #[serde(deserialize_with = "hex")]
    pub seed: u64,
    /// What the platform lets it have.
    #[serde(default)]
    pub limits: Limits,
    /// The server list as this sidecar had it last; it may be old.
    #[serde(default)]
    pub(super) known: Listing,
    /// The site.
    pub settings: Site,
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
fn allowed_descriptors() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|l| l.strip_prefix("Max open files"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(usize::MAX)
}

fn usual_sockets() -> usize {
    1024
}

fn usual_memory() -> usize {
    64
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: usual_sockets(), memory_mb: usual_memory() }
    }
}

impl Config {
    /// Reads the file that `RELAY_CONFIG` names. Other `RELAY_*` variables go before what it says.
    pub fn load() -> Result<Self, String> {
        let mut config = Config::read()?;
        for (variable, address) in
            [("RELAY_LISTEN", &mut config.listen), ("RELAY_DISCOVERY", &mut config.discovery)]
        {
            if let Ok(value) = std::env::var(variable) {
                *address = value.parse().map_err(|e| format!("{variable}: {e}: {value}"))?;
            }
        }
        config.limits.sockets = config.limits.sockets.min(allowed_descriptors());
        config.name = std::env::var("RELAY_NAME").unwrap_or(config.name);
        Ok(config)
    }

    /// Reads the file alone. At its change it is newer than the variables, which stay as they were.
    pub(super) fn read() -> Result<Self, String> {
        let path = std::env::var("RELAY_CONFIG").map_err(|e| format!("RELAY_CONFIG: {e}"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("RELAY_CONFIG: {path}: {e}"))?;
        Config::from_json(&text)
    }

    /// Reads the file's text; an error is one line that names the field.
    fn from_json(text: &str) -> Result<Self, String> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let config: Config = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| format!("configuration: {e}").replace(['\n', '\r'], " "))?;
        reader.end().map_err(|e| format!("configuration: {e}"))?;
        Ok(config)
    }
}

/// A number that is written as hex digits.
fn hex<'a, D: Deserializer<'a>>(reader: D) -> Result<u64, D::Error> {
    let digits = String::deserialize(reader)?;
    u64::from_str_radix(&digits, 16).map_err(|e| D::Error::custom(format_args!("{e}: {digits:?}")))
}
