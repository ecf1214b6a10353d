//! The lease server of fleet-wide limits.

use super::event::FleetEvent;
use super::record::{LEASE_DURATION_KEY, Record};
use super::{Fleet, FleetOutput, Time};
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
    ) -> FleetOutput {
        let mut out = FleetOutput::default();
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
            self.settings.report_interval,
        );
        fleet_limits.apply_layers(time.now, &self.layers);
        self.fleet_limits = Some(Box::new(fleet_limits));
        // The next start must wait for the leases of this one and of those before it.
        self.outstanding_duration = self.outstanding_duration.max(duration);
        self.save_outstanding_duration(&mut out);
        out
    }

    /// The lease server; none where there is no fleet-wide limit, or where a later agent has taken over.
    pub fn lease_server(&self) -> Option<&LeaseServer> {
        self.fleet_limits
            .as_ref()
            .map(|fleet_limits| &fleet_limits.server)
    }

    /// Moves the events of the lease server into an output.
    pub(super) fn collect_lease_events(&mut self, out: &mut FleetOutput) {
        let Some(fleet_limits) = &mut self.fleet_limits else {
            return;
        };
        let events = fleet_limits.take_events();
        let duration = fleet_limits.lease_duration();
        out.events
            .extend(events.events.into_iter().map(FleetEvent::Leases));
        if events.has_recovered && self.outstanding_duration != duration {
            // Leases of a longer duration have expired.
            self.outstanding_duration = duration;
            self.save_outstanding_duration(out);
        }
    }

    fn save_outstanding_duration(&self, out: &mut FleetOutput) {
        let record = Record::LeaseDuration(self.outstanding_duration);
        out.save(LEASE_DURATION_KEY, record);
    }
}
