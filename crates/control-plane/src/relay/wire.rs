//! The messages between a relay and its parent. They carry the messages of version 1 of the [protocol](crate::protocol)
//! for many instances at a time; a parent that does not know relays answers that there is no such path.

use crate::protocol::{ToAgent, ToInstance};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The most messages in one batch.
pub const MAX_BATCH: usize = 256;
/// The largest batch, in bytes, beyond its first message. A batch ends with the message that reaches it.
pub const LARGEST_BATCH: usize = 4 << 20;

/// Messages of several instances, at most [`MAX_BATCH`], at most one of each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Batch {
    /// The messages, in the order in which they are to be handled.
    pub messages: Vec<ToAgent>,
}

/// A message for one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Addressed {
    /// The name of the instance.
    pub name: String,
    /// The message; it contains the start that it is for.
    pub message: ToInstance,
}

/// The parent's answer to a batch. Orders and lists are not in it: they come over the relay's watch, one a line, so that
/// an answer stays small.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BatchAnswer {
    /// The parent's term.
    pub term: u64,
    /// The messages.
    pub messages: Vec<Addressed>,
}

impl BatchAnswer {
    /// Makes the answer to a batch from what its messages have led to, by name. Returns it with what goes over watches:
    /// orders and lists, which may be long, and messages for instances that are not in the batch.
    pub fn new(
        term: u64,
        batch: &Batch,
        sends: Vec<(String, ToInstance)>,
    ) -> (Self, Vec<(String, ToInstance)>) {
        let names: BTreeSet<&str> = batch
            .messages
            .iter()
            .map(|message| message.who().name.as_str())
            .collect();
        let is_short =
            |message: &ToInstance| !matches!(message, ToInstance::Order(_) | ToInstance::Lists(_));
        let is_answer = |(name, message): &(String, ToInstance)| {
            is_short(message) && names.contains(name.as_str())
        };
        let (own, others): (Vec<_>, Vec<_>) = sends.into_iter().partition(is_answer);
        let messages = own
            .into_iter()
            .map(|(name, message)| Addressed { name, message })
            .collect();
        (BatchAnswer { term, messages }, others)
    }

    /// The starts that hold their names, by name and start.
    pub fn accepted(&self) -> BTreeSet<(&str, u64)> {
        let accepted = self
            .messages
            .iter()
            .filter(|addressed| addressed.message.is_acceptance());
        accepted
            .map(|addressed| (addressed.name.as_str(), addressed.message.start()))
            .collect()
    }
}

/// One line of the relay's watch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchLine {
    /// The first line: the parent takes batches of this relay from now on.
    Connected {
        /// The parent's term.
        term: u64,
    },
    /// A message for an instance behind the relay.
    Message(Addressed),
}
