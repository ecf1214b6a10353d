//! A process of the model: an instance's state machine, and the settings that it has in effect.

use super::hashed::Hashed;
use crate::explore::state_hash::hash_of;
use crate::protocol::{FencingToken, InstanceId, Order};
use crate::selector::Attributes;
use crate::settings::{Fingerprint, Key, Value};
use crate::{Instance, PersistedInstance};
use std::collections::BTreeMap;

/// An order as it was carried out: the id of its change, its revision, and the fingerprint of its settings.
pub(super) type ExecutedOrder = (String, u64, Fingerprint);

/// One start of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Process {
    /// The number of its name.
    pub(super) name: usize,
    pub(super) machine: Instance,
    /// The settings in effect, apart from what the state machine reports.
    pub(super) effective: BTreeMap<Key, Value>,
    /// The order that it carries out.
    pub(super) in_progress: Option<Order>,
    /// What it has persisted.
    pub(super) memory: PersistedInstance,
    /// The last order that was carried out.
    pub(super) last_executed: Option<ExecutedOrder>,
    /// The greatest stamp that this start has obeyed.
    pub(super) obeyed: FencingToken,
    /// The greatest term that this start has obeyed, or a former one whose memory it has.
    pub(super) obeyed_term: u64,
}

impl Process {
    /// A process that starts with a memory, under the name of this number.
    pub(super) fn new(
        name: usize,
        start: u64,
        incarnation: u64,
        memory: PersistedInstance,
    ) -> Self {
        let who = InstanceId {
            name: format!("i{name}"),
            start,
            incarnation,
        };
        let machine = Instance::new(0, who, Attributes::default(), memory.clone())
            .with_max_unanswered_reports(1);
        Process {
            name,
            machine,
            effective: memory.overlay.0.clone(),
            in_progress: None,
            memory,
            last_executed: None,
            obeyed: FencingToken::default(),
            obeyed_term: 0,
        }
    }

    /// The process with its hash. The name is left out of the hash: the place of the process determines it.
    pub(super) fn hashed(self) -> Hashed<Process> {
        let mut nameless = self.clone();
        nameless.name = 0;
        nameless.machine.forget_name();
        let hash = hash_of(&nameless);
        Hashed::new(self, hash)
    }
}
