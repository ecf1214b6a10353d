//! What the explorer needs of the agent: hashes of its state, and a way to set its clock back.

use super::Fleet;
use crate::Micros;
use crate::change::Layer;
use crate::rollout::Rollout;
use std::collections::BTreeMap;

impl Fleet {
    /// Hashes for the explorer: one of the state that concerns no instance, and one for each name.
    pub(crate) fn parts(&self) -> (u64, BTreeMap<String, u64>) {
        use foldhash::quality::FixedState;
        use std::hash::{BuildHasher, Hash};
        fn hash(value: impl Hash) -> u64 {
            FixedState::with_seed(5).hash_one(value)
        }
        let Fleet {
            term,
            stood_down,
            newest,
            history,
            noted_phase,
            highest_number,
            spread,
            ..
        } = self;
        let layers = self.layers.0.iter().map(|layer| {
            let mut layer = layer.clone();
            layer.select.names.clear();
            layer
        });
        let head = self.rollout.as_ref().map(|rollout| {
            let Rollout {
                change,
                revision,
                back_revision,
                by,
                phase,
                why,
                watch,
                targets,
                ..
            } = rollout;
            (
                change,
                revision,
                back_revision,
                by,
                phase,
                why,
                watch,
                targets.len(),
            )
        });
        let layers: Vec<Layer> = layers.collect();
        let common = hash((
            term,
            stood_down,
            newest,
            history,
            noted_phase,
            highest_number,
            spread,
            layers,
            head,
        ));
        let names = self
            .membership
            .iter()
            .map(|(name, _)| name)
            .chain(self.instances.keys());
        let mut parts = BTreeMap::new();
        for name in names {
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
                .map(|(at, of)| (at, of.get(name)))
                .collect();
            let layers: Vec<bool> = self
                .layers
                .0
                .iter()
                .map(|layer| layer.select.names.contains(name))
                .collect();
            parts.insert(name.clone(), hash((own, results, layers)));
        }
        (common, parts)
    }

    pub(crate) fn rebase(&mut self, by: Micros) {
        self.membership.rebase(by);
        self.spread.rebase(by);
        self.rollout
            .iter_mut()
            .for_each(|rollout| rollout.rebase(by));
    }
}
