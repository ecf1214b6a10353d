//! One list as the agent stores it.

use crate::instance_table::PRESENCE_TIMEOUT;
use crate::timing::Micros;
use crate::version::ListVersion;

/// If the evidence for a list is older than this, or there is no list, the agent asks one instance at a time to call
/// discovery. This is earlier than any instance has to call by itself, and longer than two watching instances take to
/// report at the usual interval.
const STALE_EVIDENCE_AGE: Micros = 4_000_000;
/// Evidence that follows a gap of this length is pushed to all instances immediately instead of with the answers to their
/// next reports: instances that are about to call discovery wait for it.
const EVIDENCE_GAP: Micros = PRESENCE_TIMEOUT;

/// The newest known version of a list.
pub(crate) struct StoredList {
    pub(crate) version: ListVersion,
    pub(crate) text: String,
    /// The time of the latest evidence, by the agent's clock.
    pub(crate) evidence_at: Micros,
}

/// What the report of one list leads to.
pub(crate) enum ReportEffect {
    /// Nothing that other instances need before their next reports.
    Unchanged,
    /// There is a new version, or evidence after a gap: other instances are sent it immediately.
    Updated,
    /// The instance holds a newer version, whose text the agent needs.
    TextWanted,
}

impl StoredList {
    /// Takes in evidence for the version that is stored.
    pub(crate) fn refresh(&mut self, now: Micros, evidence_at: Option<Micros>) -> ReportEffect {
        let Some(evidence_at) = evidence_at else {
            return ReportEffect::Unchanged;
        };
        let had_gap = now.saturating_sub(self.evidence_at) > EVIDENCE_GAP;
        let ends_gap = now.saturating_sub(evidence_at) <= EVIDENCE_GAP;
        self.evidence_at = self.evidence_at.max(evidence_at);
        if had_gap && ends_gap {
            ReportEffect::Updated
        } else {
            ReportEffect::Unchanged
        }
    }

    /// Whether the evidence is recent enough that no instance has to call discovery for the fleet.
    pub(crate) fn is_fresh(&self, now: Micros) -> bool {
        now.saturating_sub(self.evidence_at) <= STALE_EVIDENCE_AGE
    }
}
