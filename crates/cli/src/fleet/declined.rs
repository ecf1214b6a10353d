//! Why a change was declined, with what to do.

use super::text::{ended, when};
use madderloom_control_plane::Declined;
use std::io::Write;

/// Tells why a change was declined, with what to do.
pub(super) fn explain(declined: &Declined) {
    let mut text = format!("madderloom: declined: {declined}");
    if let Declined::Conflict {
        base,
        newest,
        since,
        more,
    } = declined
    {
        text =
            format!("madderloom: declined: made on revision {base}, but the fleet is at {newest}");
        if *more {
            text += "\n  (what came right after it is no longer remembered)";
        }
        for since in since {
            let end = since.end.map_or("rolling out", ended);
            text += &format!(
                "\n  revision {}: {} by {}, {}, {end}",
                since.revision,
                since.id,
                since.by.who,
                when(since.by.at)
            );
            for line in &since.difference {
                text += &format!("\n    {line}");
            }
        }
        text +=
            &format!("\nlook whether the change is still right, then push it with base = {newest}");
    }
    let _ = writeln!(std::io::stderr(), "{text}");
}
