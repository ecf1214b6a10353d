//! What a sidecar is told at its start: the `RELAY_*` variables and the JSON file that one of them names.

use super::pool::Listing;
use crate::settings::Site;
use serde::Deserialize;
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
    /// For random numbers, as hex digits; new with each start.
    pub seed: String,
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
}

fn usual_sockets() -> usize {
    1024
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: usual_sockets() }
    }
}

impl Config {
    /// Reads the file that `RELAY_CONFIG` names. Other `RELAY_*` variables go before what it says.
    pub fn load() -> Result<Self, String> {
        let path = std::env::var("RELAY_CONFIG").map_err(|e| format!("RELAY_CONFIG: {e}"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("RELAY_CONFIG: {path}: {e}"))?;
        let mut config = Config::from_json(&text)?;
        for (variable, address) in
            [("RELAY_LISTEN", &mut config.listen), ("RELAY_DISCOVERY", &mut config.discovery)]
        {
            if let Ok(value) = std::env::var(variable) {
                *address = value.parse().map_err(|e| format!("{variable}: {e}: {value}"))?;
            }
        }
        config.name = std::env::var("RELAY_NAME").unwrap_or(config.name);
        Ok(config)
    }

    /// Reads the file's text; an error is one line that names the field.
    fn from_json(text: &str) -> Result<Self, String> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let config: Config = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| format!("configuration: {e}").replace(['\n', '\r'], " "))?;
        reader.end().map_err(|e| format!("configuration: {e}"))?;
        config.seed()?;
        Ok(config)
    }

    /// The seed as a number.
    pub(super) fn seed(&self) -> Result<u64, String> {
        u64::from_str_radix(&self.seed, 16).map_err(|e| format!("configuration: seed: {e}: {}", self.seed))
    }
}
