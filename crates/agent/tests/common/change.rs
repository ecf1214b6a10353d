//! Changes of the fleet.

use madderloom_agent::{Client, ClientError};
use madderloom_control_plane::Accepted;
use madderloom_control_plane::change::{Change, Operation};
use madderloom_control_plane::policy::{FailureAction, RolloutPolicy, StageSize};
use madderloom_control_plane::selector::Selector;
use madderloom_control_plane::settings::{Edits, Key, Value};

/// A change that sets the weight of a server everywhere, in two waves without a pause.
pub fn change(id: &str, base: u64, server: &str, weight: u32) -> Change {
    let edits = Edits::from([(Key::Weight(server.into()), Some(Value::Weight(weight)))]);
    Change {
        id: id.into(),
        base,
        note: String::new(),
        select: Selector::default(),
        rollout: RolloutPolicy {
            stages: vec![StageSize::Percent(20)],
            max_in_flight: 8,
            stage_pause: 0,
            answer_timeout: 10_000_000,
            max_failures: 0,
            on_failure: FailureAction::RollBack,
            gate: None,
        },
        operation: Operation::Set(edits),
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
