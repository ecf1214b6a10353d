//! What instances and the agent send each other about shared lists. The serialized names are part of the control
//! protocol; a field whose Rust name differs has a `rename`.

use crate::timing::Micros;
use crate::version::ListVersion;
use serde::{Deserialize, Serialize};

/// A time by the clock of one agent process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(default)]
pub struct AgentTimestamp {
    /// The agent's term.
    pub term: u64,
    /// Drawn at random when the agent starts: two agents may have the same term.
    #[serde(rename = "id")]
    pub incarnation: u64,
    /// The time by that agent's clock.
    pub at: Micros,
}

impl AgentTimestamp {
    /// Whether both times are from the same agent process, and so comparable.
    pub(crate) fn is_same_agent(&self, other: &AgentTimestamp) -> bool {
        (self.term, self.incarnation) == (other.term, other.incarnation)
    }
}

/// An instance's report of one list.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointListReport {
    /// The list's name.
    #[serde(rename = "list")]
    pub name: String,
    /// The version that the instance holds; none until discovery or the agent has given it one.
    pub version: Option<ListVersion>,
    /// The age of the evidence for that version.
    #[serde(rename = "age")]
    pub evidence_age: Micros,
    /// Whether the instance watches discovery itself.
    #[serde(rename = "watches")]
    pub watches_discovery: bool,
    /// The text of the list, if the agent has requested it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

/// The part of an instance's load report that concerns all its lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointListReports {
    /// The number of this report since the instance started, from 1.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// The agent's latest timestamp that the instance has received.
    #[serde(rename = "stamp")]
    pub agent_time: Option<AgentTimestamp>,
    /// The time since that timestamp arrived.
    #[serde(rename = "since")]
    pub since_agent_time: Micros,
    /// One report for each list.
    #[serde(rename = "of")]
    pub lists: Vec<EndpointListReport>,
}

/// What the agent sends an instance about one list.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointListUpdate {
    /// The list's name.
    #[serde(rename = "list")]
    pub name: String,
    /// The version that the agent has.
    pub version: ListVersion,
    /// The age of the evidence for that version when the instance sent the report that this answers.
    #[serde(rename = "ago")]
    pub evidence_age: Micros,
    /// The text of the list, if the instance holds another version.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// The instance holds a newer version and should report its text immediately.
    #[serde(rename = "wanted")]
    pub text_wanted: bool,
    /// The agent has no recent evidence for this list: the instance should call discovery now, on behalf of the fleet.
    #[serde(rename = "call")]
    pub call_discovery: bool,
    /// Enough other instances watch discovery: the instance may end its watch until its evidence is too old again.
    #[serde(rename = "enough")]
    pub may_stop_watching: bool,
}

/// What the agent sends one start of an instance about its lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointListUpdates {
    /// The incarnation of the instance that this is for.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// When the agent sent this.
    #[serde(rename = "stamp")]
    pub sent_at: AgentTimestamp,
    /// The sequence number of the report that the ages are counted from.
    #[serde(rename = "answers")]
    pub answered_sequence: u64,
    /// The longest text of a list that the agent accepts, in bytes. Agents that do not state it leave 0 and accept
    /// [`DEFAULT_ACCEPTED_LIST_BYTES`](crate::DEFAULT_ACCEPTED_LIST_BYTES).
    #[serde(rename = "room")]
    pub max_list_bytes: usize,
    /// One update for each list.
    #[serde(rename = "of")]
    pub lists: Vec<EndpointListUpdate>,
}
