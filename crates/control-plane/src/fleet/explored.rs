//! What the explorer needs of the agent: hashes of its state, and an operation that sets its clock back.

use super::Fleet;
use crate::Micros;
use crate::layers::Layer;
use foldhash::quality::FixedState;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hash};

fn hash_of(value: impl Hash) -> u64 {
    FixedState::with_seed(5).hash_one(value)
}

impl Fleet {
    /// Hashes for the explorer: one of the state that concerns no instance, and one for each name.
    pub(crate) fn parts(&self) -> (u64, BTreeMap<String, u64>) {
        let names = self
            .membership
            .iter()
            .map(|(name, _)| name)
            .chain(self.instances.keys());
        let parts = names
            .map(|name| (name.clone(), self.instance_hash(name)))
            .collect();
        (self.common_hash(), parts)
    }

    /// The hash of the state that concerns no single instance.
    fn common_hash(&self) -> u64 {
        let layers = self.layers.0.iter().map(|layer| {
            let mut layer = layer.clone();
            layer.select.names.clear();
            layer
        });
        let head = self.rollout.as_ref().map(|rollout| {
            (
                &rollout.change,
                &rollout.revision,
                &rollout.rollback_revision,
                &rollout.by,
                &rollout.phase,
                &rollout.reason,
                &rollout.observation,
                rollout.targets.len(),
            )
        });
        hash_of((
            self.term,
            self.superseded_by,
            self.newest_revision,
            &self.history,
            &self.reported_phase,
            self.highest_order_number,
            &self.registrations,
            layers.collect::<Vec<Layer>>(),
            head,
        ))
    }

    /// The hash of the state that concerns one instance.
    fn instance_hash(&self, name: &str) -> u64 {
        let rollout = self.rollout.as_ref();
        let own = (
            self.membership.get(name),
            self.instances.get(name),
            rollout.and_then(|rollout| rollout.targets.get(name)),
            rollout.and_then(|rollout| rollout.others.get(name)),
        );
        let results: Vec<_> = self
            .results
            .iter()
            .map(|(revision, targets)| (revision, targets.get(name)))
            .collect();
        let layers: Vec<bool> = self
            .layers
            .0
            .iter()
            .map(|layer| layer.select.names.iter().any(|own| own == name))
            .collect();
        hash_of((own, results, layers))
    }

    /// Sets the clock back by so many microseconds.
    pub(crate) fn rebase(&mut self, by: Micros) {
        self.membership.rebase(by);
        self.registrations.rebase(by);
        self.rollout
            .iter_mut()
            .for_each(|rollout| rollout.rebase(by));
    }
}
