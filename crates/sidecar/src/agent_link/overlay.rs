//! The parts of an overlay: those that change the operator file, and those that steer servers.

use crate::pool::ServerOverrides;
use madderloom_control_plane::settings::{Key, Overlay, Value};

/// Whether an overlay changes a part of the operator file.
pub(super) fn changes_operator_file(overlay: &Overlay) -> bool {
    overlay.0.keys().any(is_in_operator_file)
}

fn is_in_operator_file(key: &Key) -> bool {
    matches!(key, Key::Limit { .. } | Key::Route(_))
}

pub(super) fn same_operator_file_changes(one: &Overlay, other: &Overlay) -> bool {
    fn of_file(overlay: &Overlay) -> impl Iterator<Item = (&Key, &Value)> {
        overlay.0.iter().filter(|(key, _)| is_in_operator_file(key))
    }
    of_file(one).eq(of_file(other))
}

pub(super) fn server_overrides(overlay: &Overlay) -> ServerOverrides {
    let mut server_overrides = ServerOverrides::default();
    for (key, value) in &overlay.0 {
        match (key, value) {
            (Key::Weight(server), Value::Weight(thousandths)) => {
                server_overrides.set_weight(server, *thousandths)
            }
            (Key::Drain(server), Value::Drained(drained)) => {
                server_overrides.set_drained(server, *drained)
            }
            _ => {}
        }
    }
    server_overrides
}
