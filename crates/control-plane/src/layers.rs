//! The changes in effect, as layers on top of each other.

use crate::Error;
use crate::bounds::UNDOABLE;
use crate::selector::{Selector, Traits};
use crate::settings::{Edits, Overlay};
use serde::{Deserialize, Serialize};

/// A change in effect.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Layer {
    /// The revision that it made.
    pub revision: u64,
    /// The change's id.
    pub id: String,
    /// The instances that have it: those selected or, where the rollout was stopped, those that had it by then.
    pub select: Selector,
    /// What it sets.
    pub edits: Edits,
}

/// The changes in effect: layers, each applied on top of those before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Layers(pub Vec<Layer>);

impl Layers {
    /// The settings of an instance, and the newest layer that applies to it.
    pub fn overlay(&self, name: &str, traits: &Traits) -> (Overlay, Option<&Layer>) {
        let mut overlay = Overlay::default();
        let mut newest = None;
        for layer in self
            .0
            .iter()
            .filter(|layer| layer.select.matches(name, traits))
        {
            overlay.apply(&layer.edits);
            newest = Some(layer);
        }
        (overlay, newest)
    }

    /// Adds a layer on top, and drops those that have no effect and that no undo can uncover.
    pub fn add(&mut self, layer: Layer) {
        self.0.push(layer);
        let fixed = self.0.len().saturating_sub(UNDOABLE);
        let hidden = |at: usize| {
            let layer = &self.0[at];
            let over = &self.0[at + 1..fixed];
            let covers = |over: &&Layer| over.select.is_all() || over.select == layer.select;
            layer.edits.keys().all(|key| {
                over.iter()
                    .filter(covers)
                    .any(|over| over.edits.contains_key(key))
            })
        };
        let keep: Vec<bool> = (0..self.0.len())
            .map(|at| at >= fixed || !hidden(at))
            .collect();
        let mut keep = keep.into_iter();
        self.0.retain(|_| keep.next().unwrap_or(true));
    }

    /// The layers without that of a change.
    pub fn without(&self, id: &str) -> Layers {
        Layers(
            self.0
                .iter()
                .filter(|layer| layer.id != id)
                .cloned()
                .collect(),
        )
    }

    /// The layer of a change that can be undone.
    ///
    /// # Errors
    /// Why it cannot be undone.
    pub fn undoable(&self, id: &str) -> Result<&Layer, Error> {
        let place = self.0.iter().position(|layer| layer.id == id);
        match place {
            None => Err(Error::NotInEffect { id: id.to_string() }),
            Some(place) if self.0.len() - place > UNDOABLE => {
                Err(Error::TooOldToUndo { id: id.to_string() })
            }
            Some(place) => Ok(&self.0[place]),
        }
    }
}
