//! The result of a call to the agent's state machine.

use super::{FleetEvent, Record};
use crate::protocol::ToInstance;
use std::collections::BTreeMap;

/// The result of a call. The records must be durable, all or none, before any message or answer is sent. Where they
/// cannot be made durable, the state machine must be dropped and restored from the durable records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetOutput {
    /// Records to store, or to delete, by key.
    pub records: BTreeMap<String, Option<Record>>,
    /// Messages to instances, by name. A message that cannot be sent is dropped.
    pub messages: Vec<(String, ToInstance)>,
    /// Events for the log.
    pub events: Vec<FleetEvent>,
}

impl FleetOutput {
    /// Stores a record.
    pub(super) fn save(&mut self, key: impl Into<String>, record: Record) {
        self.records.insert(key.into(), Some(record));
    }

    /// Deletes a record.
    pub(super) fn delete(&mut self, key: impl Into<String>) {
        self.records.insert(key.into(), None);
    }

    /// Sends a message to an instance.
    pub(super) fn send(&mut self, name: &str, message: ToInstance) {
        self.messages.push((name.to_string(), message));
    }
}
