//! What a snapshot contains, and how it is stored. The serialized names are part of the stored format; a field whose Rust
//! name differs has a `rename`.

use super::keys::SnapshotKeys;
use madderloom_store::{File, Result, Snapshot};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The most servers of a service that are stored. Further ones are left out.
pub const MAX_SERVERS: usize = 16_384;
/// The most request classes of a service that are stored. Further ones are left out.
pub const MAX_CLASSES: usize = 256;
/// The longest name of a server or class that is stored, in bytes. Those with longer names are left out.
pub const MAX_NAME_BYTES: usize = 255;

/// What was measured of a server. Durations are in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerSnapshot {
    /// Its name, which is the same across restarts.
    pub name: String,
    /// Its entry in the endpoint list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listed: Option<ListedServer>,
    /// When its present incarnation started, according to the endpoint list. The measurements are of this incarnation only.
    #[serde(default, rename = "started", skip_serializing_if = "Option::is_none")]
    pub incarnation_started_at: Option<u64>,
    /// The decayed sum of the work that it has answered. `work` divided by `attempt_time` is its throughput; their size says
    /// how much was observed.
    pub work: f64,
    /// The decayed sum of the time that its attempts took.
    #[serde(rename = "time")]
    pub attempt_time: f64,
    /// Its consecutive failures.
    #[serde(default, rename = "failures", skip_serializing_if = "is_no_failure")]
    pub consecutive_failures: u32,
    /// How much longer it is ejected; 0 if it is not.
    #[serde(default, rename = "ejected", skip_serializing_if = "is_zero")]
    pub ejection_left: u64,
    /// The whole length of that ejection. The next ejection is twice as long.
    #[serde(default, rename = "ejection", skip_serializing_if = "is_zero")]
    pub ejection_time: u64,
}

/// A server's entry in the endpoint list. It is used until there is a new list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Its address.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The name of its machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// The number of its group.
    pub group: u32,
    /// Its capacity relative to the other servers.
    pub weight: f64,
}

fn is_no_failure(failures: &u32) -> bool {
    *failures == 0
}

fn is_zero(duration: &u64) -> bool {
    *duration == 0
}

/// What was measured of a request class. Durations are in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassSnapshot {
    /// Its name.
    pub name: String,
    /// The usual work of a request.
    #[serde(rename = "cost")]
    pub usual_work: f64,
    /// The time of its slow answers.
    #[serde(rename = "slow")]
    pub slow_time: f64,
}

/// Means over all requests of a service, in microseconds. Stored as an array of two numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct Means {
    /// The mean work of a request.
    pub work: f64,
    /// The mean time of an answer.
    pub answer_time: f64,
}

impl From<(f64, f64)> for Means {
    fn from((work, answer_time): (f64, f64)) -> Self {
        Means { work, answer_time }
    }
}

impl From<Means> for (f64, f64) {
    fn from(means: Means) -> Self {
        (means.work, means.answer_time)
    }
}

/// What was known of a service at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WarmStartSnapshot {
    /// When it was taken: microseconds since 1970 by the machine's clock.
    pub taken_at: u64,
    /// The means over all requests.
    pub means: Means,
    /// The servers.
    pub servers: Vec<ServerSnapshot>,
    /// The request classes.
    pub classes: Vec<ClassSnapshot>,
}

/// The part of a snapshot that is stored under one key.
#[derive(Serialize, Deserialize)]
pub(super) struct SnapshotHeader {
    #[serde(rename = "taken")]
    pub(super) taken_at: u64,
    pub(super) means: Means,
}

impl WarmStartSnapshot {
    /// The stored snapshot of a service; none if there is none or its header cannot be read. Servers and classes that
    /// cannot be read, or have impossible values, are left out.
    ///
    /// # Errors
    /// The store cannot be read.
    pub fn load<F: File>(store: &Snapshot<F>, service: &str) -> Result<Option<Self>> {
        let keys = SnapshotKeys::of(service);
        let Some(header) = store.get(&keys.header, 0)? else {
            return Ok(None);
        };
        let Ok(header) = serde_json::from_slice::<SnapshotHeader>(&header) else {
            return Ok(None);
        };
        let mut servers: Vec<ServerSnapshot> = load_all(store, &keys.servers, MAX_SERVERS)?;
        servers.retain(ServerSnapshot::is_valid);
        let mut classes: Vec<ClassSnapshot> = load_all(store, &keys.classes, MAX_CLASSES)?;
        classes.retain(ClassSnapshot::is_valid);
        Ok(Some(WarmStartSnapshot {
            taken_at: header.taken_at,
            means: header.means,
            servers,
            classes,
        }))
    }
}

/// Reads the first values whose keys begin with a prefix. Those that cannot be parsed are left out.
fn load_all<F: File, T: DeserializeOwned>(
    store: &Snapshot<F>,
    prefix: &[u8],
    max_values: usize,
) -> Result<Vec<T>> {
    let mut values = Vec::new();
    for entry in store.scan(prefix, 0).take(max_values) {
        let (_, value) = entry?;
        values.extend(serde_json::from_slice::<T>(&value).ok());
    }
    Ok(values)
}

impl ServerSnapshot {
    /// Whether the values are possible. Another program may have written the store.
    pub(super) fn is_valid(&self) -> bool {
        let is_sum = |x: f64| x.is_finite() && x >= 0.0;
        self.name.len() <= MAX_NAME_BYTES && is_sum(self.work) && is_sum(self.attempt_time)
    }
}

impl ClassSnapshot {
    /// Whether the values are possible. Another program may have written the store.
    pub(super) fn is_valid(&self) -> bool {
        let is_duration = |x: f64| x.is_finite() && x > 0.0;
        self.name.len() <= MAX_NAME_BYTES
            && is_duration(self.usual_work)
            && is_duration(self.slow_time)
    }
}
