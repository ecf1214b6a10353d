//! Changes of the endpoint list.

use super::EndpointHistory;
use super::endpoint::Endpoint;
use crate::{EndpointEvent, ListedEndpoint, Micros};
use madderloom_balancer::ServerId;

impl EndpointHistory {
    /// An endpoint is listed, or its entry in the list has changed. After a restart its former baseline is used until
    /// it has learned a new one. If there is no room for a new endpoint, it is ignored.
    pub fn endpoint_listed(&mut self, now: Micros, server: ServerId, listed: ListedEndpoint) {
        let is_known = self.endpoints.contains_key(&server);
        if !is_known && !self.make_room(now) {
            return;
        }
        let endpoint = self
            .endpoints
            .entry(server)
            .or_insert_with(|| Endpoint::new(now, listed));
        endpoint.zone = listed.zone;
        endpoint.machine_kind = listed.machine_kind;
        endpoint.warming_up_until = listed.warming_up_until;
        if endpoint.left_at.take().is_some() || !is_known {
            endpoint.timeline.record_event(now, EndpointEvent::Joined);
        }
        if listed.restarted {
            endpoint
                .timeline
                .record_event(now, EndpointEvent::Restarted);
            endpoint.restart(now, listed);
        }
    }

    /// An endpoint was removed from the list. It is remembered for the configured time.
    pub fn endpoint_left(&mut self, now: Micros, server: ServerId) {
        let endpoint = self
            .endpoints
            .get_mut(&server)
            .filter(|endpoint| endpoint.left_at.is_none());
        if let Some(endpoint) = endpoint {
            endpoint.left_at = Some(now);
            endpoint.timeline.record_event(now, EndpointEvent::Left);
        }
    }

    /// Makes room for one more endpoint, if necessary by forgetting the one that left first. Returns whether there is
    /// room.
    fn make_room(&mut self, now: Micros) -> bool {
        self.forget_departed(now);
        if self.endpoints.len() < self.settings.max_endpoints {
            return true;
        }
        let first_to_leave = self
            .endpoints
            .iter()
            .filter_map(|(server, endpoint)| Some((endpoint.left_at?, *server)))
            .min();
        let Some((_, server)) = first_to_leave else {
            return false;
        };
        self.endpoints.remove(&server);
        true
    }

    /// Forgets endpoints that left longer ago than the settings say.
    pub(super) fn forget_departed(&mut self, now: Micros) {
        let retention = self.settings.retention_after_leaving;
        self.endpoints.retain(|_, endpoint| {
            endpoint
                .left_at
                .is_none_or(|left_at| now.saturating_sub(left_at) < retention)
        });
    }
}
