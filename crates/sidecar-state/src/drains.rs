//! Drains: servers that get no new requests until an operator ends the drain.

use madderloom_store::{Batch, File, Result, Snapshot};
use serde::{Deserialize, Serialize};

/// The most drains of one service that are read.
pub const MAX_DRAINS: usize = 16_384;

/// The beginning of every key of a drain: `drain/SERVICE\0SERVER`.
const KEY_PREFIX: &str = "drain/";

/// A server that an operator has drained. Its batches have to be written durably before the operator gets an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The server's name, which is the same across restarts.
    pub server: String,
    /// When the drain began: microseconds since 1970 by the machine's clock. 0 if it is not known.
    #[serde(rename = "since")]
    pub drained_at: u64,
    /// The operator who requested it; empty if not known.
    #[serde(rename = "by")]
    pub requested_by: String,
}

impl Drain {
    fn service_prefix(service: &str) -> Vec<u8> {
        format!("{KEY_PREFIX}{service}\0").into_bytes()
    }

    fn key(service: &str, server: &str) -> Vec<u8> {
        [&Drain::service_prefix(service), server.as_bytes()].concat()
    }

    /// The batch that stores the drain.
    pub fn put_batch(&self, service: &str) -> Batch {
        let mut batch = Batch::new();
        // Strings and integers always have a JSON form.
        let value = serde_json::to_vec(self).unwrap_or_default();
        batch.put(Drain::key(service, &self.server), value);
        batch
    }

    /// The batch that ends the drain of a server.
    pub fn delete_batch(service: &str, server: &str) -> Batch {
        let mut batch = Batch::new();
        batch.delete(Drain::key(service, server));
        batch
    }

    /// The stored drains of a service, by the servers' names; at most [`MAX_DRAINS`]. A server whose record cannot be read
    /// remains drained, since an unknown time and by an unknown operator.
    ///
    /// # Errors
    /// The store cannot be read.
    pub fn load<F: File>(snapshot: &Snapshot<F>, service: &str) -> Result<Vec<Drain>> {
        let prefix = Drain::service_prefix(service);
        let entries = snapshot.scan(&prefix, 0).take(MAX_DRAINS);
        let drains = entries.map(|entry| {
            let (key, value) = entry?;
            let server = key.get(prefix.len()..).unwrap_or_default();
            let server = String::from_utf8_lossy(server).into_owned();
            Ok(Drain::parse(server, &value))
        });
        drains.collect()
    }

    fn parse(server: String, value: &[u8]) -> Drain {
        let drain = serde_json::from_slice::<Drain>(value).ok();
        let drain = drain.filter(|drain| drain.server == server);
        drain.unwrap_or(Drain {
            server,
            drained_at: 0,
            requested_by: String::new(),
        })
    }
}
