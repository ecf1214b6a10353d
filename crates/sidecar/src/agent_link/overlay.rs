//! What of an overlay is for the operator file, and what for the servers of the pools.

use crate::pool::Steering;
use madderloom_fleet::settings::{Key, Overlay, Value};

/// Whether a part of an overlay is a part of the file.
pub(super) fn sets_file(overlay: &Overlay) -> bool {
    overlay.0.keys().any(is_of_file)
}

fn is_of_file(key: &Key) -> bool {
    matches!(key, Key::Limit { .. } | Key::Route(_))
}

pub(super) fn same_in_file(one: &Overlay, other: &Overlay) -> bool {
    fn of_file(overlay: &Overlay) -> impl Iterator<Item = (&Key, &Value)> {
        overlay.0.iter().filter(|(key, _)| is_of_file(key))
    }
    of_file(one).eq(of_file(other))
}

pub(super) fn steering(overlay: &Overlay) -> Steering {
    let mut steering = Steering::default();
    for (key, value) in &overlay.0 {
        match (key, value) {
            (Key::Weight(server), Value::Weight(thousandths)) => steering.weigh(server, *thousandths),
            (Key::Drain(server), Value::Drained(drained)) => steering.drain(server, *drained),
            _ => {}
        }
    }
    steering
}
