//! The author of a change.

use serde::{Deserialize, Serialize};

/// The operator who pushed, stopped or undid a change, and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Author {
    /// The name in the operator's certificate.
    #[serde(rename = "who")]
    pub name: String,
    /// Wall-clock time of the agent, in milliseconds since 1970.
    pub at: u64,
}
