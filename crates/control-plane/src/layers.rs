//! The changes in effect, as layers on top of each other.

use crate::Error;
use crate::bounds::MAX_UNDOABLE_LAYERS;
use crate::selector::{Attributes, Selector};
use crate::settings::{Edits, Overlay};
use serde::{Deserialize, Serialize};

/// A change in effect.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Layer {
    /// The revision that the change made.
    pub revision: u64,
    /// The id of the change.
    pub id: String,
    /// The instances that have the change: those it selected or, if the rollout was stopped, those that had it by then.
    pub select: Selector,
    /// The settings of the change.
    pub edits: Edits,
}

/// The changes in effect: layers, each applied on top of those before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Layers(pub Vec<Layer>);

impl Layers {
    /// The desired settings of an instance, and the newest layer that applies to it.
    pub fn overlay(&self, name: &str, attributes: &Attributes) -> (Overlay, Option<&Layer>) {
        let mut overlay = Overlay::default();
        let mut newest = None;
        for layer in self
            .0
            .iter()
            .filter(|layer| layer.select.matches(name, attributes))
        {
            overlay.apply(&layer.edits);
            newest = Some(layer);
        }
        (overlay, newest)
    }

    /// Adds a layer on top, and drops the layers that have no effect and that no undo can uncover.
    pub fn add(&mut self, layer: Layer) {
        self.0.push(layer);
        let undoable_start = self.0.len().saturating_sub(MAX_UNDOABLE_LAYERS);
        let keep: Vec<bool> = (0..self.0.len())
            .map(|index| index >= undoable_start || !self.is_hidden(index, undoable_start))
            .collect();
        let mut keep = keep.into_iter();
        self.0.retain(|_| keep.next().unwrap_or(true));
    }

    /// Whether later layers, up to one that can be undone, set everything that a layer sets on all of its instances.
    fn is_hidden(&self, index: usize, undoable_start: usize) -> bool {
        let layer = &self.0[index];
        let covering: Vec<&Layer> = self.0[index + 1..undoable_start]
            .iter()
            .filter(|later| later.select.is_all() || later.select == layer.select)
            .collect();
        layer
            .edits
            .keys()
            .all(|key| covering.iter().any(|later| later.edits.contains_key(key)))
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
            Some(place) if self.0.len() - place > MAX_UNDOABLE_LAYERS => {
                Err(Error::TooOldToUndo { id: id.to_string() })
            }
            Some(place) => Ok(&self.0[place]),
        }
    }
}
