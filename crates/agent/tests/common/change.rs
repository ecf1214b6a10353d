//! Changes of the fleet.

use madderloom_agent::{Client, ClientError};
use madderloom_control_plane::Accepted;
use madderloom_control_plane::change::{Change, Policy, Selector, Share, Then, What};
use madderloom_control_plane::settings::{Edits, Key, Value};

/// A change that sets the weight of a server everywhere, in two waves without a pause.
pub fn change(id: &str, base: u64, server: &str, weight: u32) -> Change {
    let edits = Edits::from([(Key::Weight(server.into()), Some(Value::Weight(weight)))]);
    Change {
        id: id.into(),
        base,
        note: String::new(),
        select: Selector::default(),
        rollout: Policy {
            waves: vec![Share::Percent(20)],
            at_once: 8,
            pause: 0,
            silence: 10_000_000,
            failures: 0,
            then: Then::TakeBack,
            gate: None,
        },
        what: What::Set(edits),
    }
}

/// Pushes a change.
///
/// # Errors
/// The agent declined or rejected it.
pub async fn push(client: &Client, change: &Change) -> Result<Accepted, ClientError> {
    let body = serde_json::to_vec(change).expect("JSON");
    client
        .request(hyper::Method::POST, "/v1/changes", body)
        .await
}
