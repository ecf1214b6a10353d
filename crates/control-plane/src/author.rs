//! The author of a change.

use serde::{Deserialize, Serialize};

/// Who did something, and when by the wall clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct By {
    /// The name in the certificate.
    pub who: String,
    /// Milliseconds since 1970.
    pub at: u64,
}
