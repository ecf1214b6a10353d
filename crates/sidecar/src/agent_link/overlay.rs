//! The parts of an overlay: settings that change the operator file, and server overrides (weight and drain).

use crate::pool::ServerOverrides;
use madderloom_control_plane::settings::{Key, Overlay, Value};

/// Whether an overlay changes settings of the operator file.
pub(super) fn changes_operator_file(overlay: &Overlay) -> bool {
    overlay.0.keys().any(is_in_operator_file)
}

fn is_in_operator_file(key: &Key) -> bool {
    matches!(key, Key::Limit { .. } | Key::Route(_))
}

pub(super) fn same_operator_file_changes(one: &Overlay, other: &Overlay) -> bool {
    fn file_settings(overlay: &Overlay) -> impl Iterator<Item = (&Key, &Value)> {
        overlay.0.iter().filter(|(key, _)| is_in_operator_file(key))
    }
    file_settings(one).eq(file_settings(other))
}

pub(super) fn overrides(overlay: &Overlay) -> ServerOverrides {
    let mut overrides = ServerOverrides::default();
    for (key, value) in &overlay.0 {
        match (key, value) {
            (Key::Weight(server), Value::Weight(thousandths)) => {
                overrides.set_weight(server, *thousandths)
            }
            (Key::Drain(server), Value::Drained(drained)) => {
                overrides.set_drained(server, *drained)
            }
            _ => {}
        }
    }
    overrides
}
