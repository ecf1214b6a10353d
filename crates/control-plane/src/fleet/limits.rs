//! The lease server of fleet-wide limits.

use super::note::Note;
use super::record::Record;
use super::{Fleet, Output, Time};
use crate::fleet_limits::{FleetLimitSettings, FleetLimits};
use madderloom_quota_leases::{LeaseServer, ServerId};

impl Fleet {
    /// Starts to serve leases of the limits of the agent's file. Must be called once, right after [`Fleet::restore`].
    /// `id` must be random. The records of the output must be durable before any lease is granted.
    pub fn serve_fleet_limits(
        &mut self,
        time: Time,
        settings: FleetLimitSettings,
        id: u64,
    ) -> Output {
        let mut out = Output::default();
        if settings.limits.is_empty() && self.outstanding_duration == 0 {
            return out;
        }
        let id = ServerId {
            term: self.term,
            id,
        };
        let duration = settings.duration;
        let mut fleet_limits = FleetLimits::new(
            time.now,
            id,
            settings,
            self.outstanding_duration,
            self.rules.every,
        );
        fleet_limits.apply_layers(time.now, &self.layers);
        self.fleet_limits = Some(Box::new(fleet_limits));
        // The next start must wait for the leases of this one and of those before it.
        self.outstanding_duration = self.outstanding_duration.max(duration);
        out.saves.insert(
            "lending".into(),
            Some(Record::LeaseDuration(self.outstanding_duration)),
        );
        out
    }

    /// The lease server; none where there is no fleet-wide limit, or where a later agent has taken over.
    pub fn lender(&self) -> Option<&LeaseServer> {
        self.fleet_limits
            .as_ref()
            .map(|fleet_limits| &fleet_limits.server)
    }

    pub(super) fn collect_lease_notes(&mut self, out: &mut Output) {
        let Some(fleet_limits) = &mut self.fleet_limits else {
            return;
        };
        let (notes, recovered) = fleet_limits.notes();
        if recovered && self.outstanding_duration != fleet_limits.lease_duration() {
            // Leases of a longer duration have expired.
            self.outstanding_duration = fleet_limits.lease_duration();
            out.saves.insert(
                "lending".into(),
                Some(Record::LeaseDuration(self.outstanding_duration)),
            );
        }
        out.notes.extend(notes.into_iter().map(Note::Leases));
    }
}
