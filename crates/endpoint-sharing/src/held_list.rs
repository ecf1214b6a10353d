//! One list as an instance holds it.

use crate::limits::MAX_LIST_BYTES;
use crate::message::EndpointListReport;
use crate::timing::Micros;
use crate::version::ListVersion;

/// A list that an instance holds, from discovery or from the agent.
pub(crate) struct HeldList {
    pub(crate) version: ListVersion,
    /// None if the text is too long to be shared.
    pub(crate) text: Option<String>,
    /// The time of the latest evidence, by the instance's clock.
    pub(crate) evidence_at: Micros,
    /// The agent has requested the text.
    pub(crate) text_wanted: bool,
    /// The instance watches discovery, and that watch has delivered this list.
    pub(crate) watches_discovery: bool,
    /// The evidence after which the agent was last asked for later evidence.
    agent_refreshed_after: Option<Micros>,
}

impl HeldList {
    pub(crate) fn new(
        version: ListVersion,
        text: Option<String>,
        evidence_at: Micros,
        watches_discovery: bool,
    ) -> Self {
        HeldList {
            version,
            text,
            evidence_at,
            text_wanted: false,
            watches_discovery,
            agent_refreshed_after: None,
        }
    }

    /// A list from discovery, of which `text` is all. The text is not kept if it is too long to be shared.
    pub(crate) fn from_discovery(
        index: u64,
        text: String,
        evidence_at: Micros,
        watches_discovery: bool,
    ) -> Self {
        let version = ListVersion::of(index, &text);
        let text = (text.len() <= MAX_LIST_BYTES).then_some(text);
        HeldList::new(version, text, evidence_at, watches_discovery)
    }

    /// Whether the text may be sent to an agent that accepts this many bytes.
    pub(crate) fn fits(&self, max_list_bytes: usize) -> bool {
        self.text
            .as_ref()
            .is_some_and(|text| text.len() <= max_list_bytes)
    }

    /// Takes in evidence for the version that is held.
    pub(crate) fn refresh(&mut self, evidence_at: Micros) {
        self.evidence_at = self.evidence_at.max(evidence_at);
    }

    /// The report of this list. Includes the text if the agent has requested it and `may_send_text` is true.
    pub(crate) fn report(
        &mut self,
        now: Micros,
        name: &str,
        may_send_text: bool,
    ) -> EndpointListReport {
        let sends_text = self.text_wanted && may_send_text;
        if sends_text {
            self.text_wanted = false;
        }
        EndpointListReport {
            name: name.into(),
            version: Some(self.version),
            evidence_age: now.saturating_sub(self.evidence_at),
            watches_discovery: self.watches_discovery,
            text: sends_text.then(|| self.text.clone()).flatten(),
        }
    }

    /// Whether the agent should be asked now for later evidence, which is `age` old. True once for each evidence.
    pub(crate) fn take_agent_refresh(&mut self, now: Micros, age: Micros) -> bool {
        let is_old = now >= self.evidence_at.saturating_add(age);
        let is_due = is_old && self.agent_refreshed_after != Some(self.evidence_at);
        if is_due {
            self.agent_refreshed_after = Some(self.evidence_at);
        }
        is_due
    }
}
