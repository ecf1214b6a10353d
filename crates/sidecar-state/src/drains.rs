//! Operators' drains: servers that are to take no new work until an operator says otherwise.

use madderloom_store::{Batch, File, Result, Snapshot};
use serde::{Deserialize, Serialize};

/// The most drains of a service that are read.
pub const MAX_DRAINS: usize = 16_384;

const PREFIX: &str = "drain/";

/// A server that an operator has drained. To be written durably, before the operator is told that it is done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The server's name, the same across restarts.
    pub server: String,
    /// Since when, in microseconds since 1970 by the machine's clock.
    pub since: u64,
    /// Who asked for it.
    pub by: String,
}

fn prefix(service: &str) -> Vec<u8> {
    format!("{PREFIX}{service}\0").into_bytes()
}

impl Drain {
    fn key(service: &str, server: &str) -> Vec<u8> {
        [&prefix(service), server.as_bytes()].concat()
    }

    /// What is to be written to keep it.
    pub fn keep(&self, service: &str) -> Batch {
        let mut batch = Batch::new();
        // Text and numbers always have a JSON form.
        let value = serde_json::to_vec(self).unwrap_or_default();
        batch.put(Drain::key(service, &self.server), value);
        batch
    }

    /// What is to be written to end a server's.
    pub fn end(service: &str, server: &str) -> Batch {
        let mut batch = Batch::new();
        batch.delete(Drain::key(service, server));
        batch
    }

    /// All drains of a service, by the servers' names. One whose record makes no sense still names its server: it
    /// stays drained, by nobody known.
    ///
    /// # Errors
    /// Where the store can't be read.
    pub fn load<F: File>(snapshot: &Snapshot<F>, service: &str) -> Result<Vec<Drain>> {
        let prefix = prefix(service);
        let read = snapshot.scan(&prefix, 0).take(MAX_DRAINS).map(|entry| {
            let (key, value) = entry?;
            let server =
                String::from_utf8_lossy(key.get(prefix.len()..).unwrap_or_default()).into_owned();
            let drain = serde_json::from_slice::<Drain>(&value)
                .ok()
                .filter(|d| d.server == server);
            Ok(drain.unwrap_or(Drain {
                server,
                since: 0,
                by: String::new(),
            }))
        });
        read.collect()
    }
}
