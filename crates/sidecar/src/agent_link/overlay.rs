//! The parts of an overlay: those that change the operator file, and those that steer servers.

use crate::pool::ServerOverrides;
use madderloom_control_plane::settings::{Key, Overlay, Value};

/// Whether an overlay changes a part of the operator file.
pub(super) fn changes_file(overlay: &Overlay) -> bool {
    overlay.0.keys().any(is_in_file)
}

fn is_in_file(key: &Key) -> bool {
    matches!(key, Key::Limit { .. } | Key::Route(_))
}

pub(super) fn same_in_file(one: &Overlay, other: &Overlay) -> bool {
    fn of_file(overlay: &Overlay) -> impl Iterator<Item = (&Key, &Value)> {
        overlay.0.iter().filter(|(key, _)| is_in_file(key))
    }
    of_file(one).eq(of_file(other))
}

pub(super) fn steering(overlay: &Overlay) -> ServerOverrides {
    let mut steering = ServerOverrides::default();
    for (key, value) in &overlay.0 {
        match (key, value) {
            (Key::Weight(server), Value::Weight(thousandths)) => {
                steering.set_weight(server, *thousandths)
            }
            (Key::Drain(server), Value::Drained(drained)) => steering.set_drained(server, *drained),
            _ => {}
        }
    }
    steering
}
