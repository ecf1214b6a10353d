//! The fleet-wide limits of an agent: those of its file, with the changes in effect applied to them.

use crate::Micros;
use crate::layers::Layers;
use crate::protocol::Report;
use crate::settings::{FleetFigure, Key, Value};
use madderloom_quota_leases::{
    Capacity, Grant, LeaseServer, LeaseServerEvent, Limit, MAX_RATE_OR_BURST, ONE_REQUEST,
    ServerId, UNBOUNDED,
};
use std::collections::BTreeMap;

/// The fleet-wide limits of an agent's file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FleetLimitSettings {
    /// The limits by name.
    pub limits: BTreeMap<String, Limit>,
    /// The duration of a lease, in microseconds.
    pub duration: Micros,
}

/// The limits in effect, and the server that grants leases of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FleetLimits {
    settings: FleetLimitSettings,
    pub(crate) server: LeaseServer,
}

/// The events of the lease server since they were last taken.
pub(crate) struct LeaseEvents {
    pub(crate) events: Vec<LeaseServerEvent>,
    /// Whether the recovery has ended: the leases of former servers have expired.
    pub(crate) has_recovered: bool,
}

impl FleetLimits {
    /// Starts a lease server. `former_duration` is the longest duration of the leases of former servers.
    pub(crate) fn new(
        now: Micros,
        id: ServerId,
        settings: FleetLimitSettings,
        former_duration: Micros,
        report_interval: Micros,
    ) -> Self {
        let server = LeaseServer::new(now, id, settings.duration, former_duration, report_interval);
        FleetLimits { settings, server }
    }

    /// Applies the changes for all instances to the limits of the file.
    pub(crate) fn apply_layers(&mut self, now: Micros, layers: &Layers) {
        let mut limits = self.settings.limits.clone();
        for layer in layers.0.iter().filter(|layer| layer.select.is_all()) {
            for (key, value) in &layer.edits {
                let Key::Fleet { limit, figure } = key else {
                    continue;
                };
                if let (Some(file), Some(limit)) =
                    (self.settings.limits.get(limit), limits.get_mut(limit))
                {
                    set_figure(&mut limit.total, *figure, value.as_ref(), file.total);
                }
            }
        }
        self.server.set_limits(now, limits);
    }

    /// Grants the leases that a report requests.
    pub(crate) fn handle_report(
        &mut self,
        now: Micros,
        zone: &str,
        report: &Report,
    ) -> Option<Grant> {
        let requests = report.lease_requests.as_ref()?;
        self.server
            .handle_report(now, &report.id.name, zone, report.id.start, requests)
    }

    /// Takes the events for the log.
    pub(crate) fn take_events(&mut self) -> LeaseEvents {
        let events = self.server.take_events();
        LeaseEvents {
            has_recovered: events.contains(&LeaseServerEvent::Recovered),
            events,
        }
    }

    /// The duration of the leases that are granted, in microseconds.
    pub(crate) fn lease_duration(&self) -> Micros {
        self.settings.duration
    }

    /// Whether the file has a limit of this name.
    pub(crate) fn has_limit(&self, limit: &str) -> bool {
        self.settings.limits.contains_key(limit)
    }
}

/// Sets a figure of a limit; without a value, to that of the file.
fn set_figure(limit: &mut Capacity, figure: FleetFigure, value: Option<&Value>, file: Capacity) {
    let number = match value {
        Some(Value::Limit(number)) => Some(*number),
        _ => None,
    };
    let thousandths =
        number.map(|number| number.saturating_mul(ONE_REQUEST).min(MAX_RATE_OR_BURST));
    match figure {
        FleetFigure::Rate => limit.rate = thousandths.unwrap_or(file.rate),
        FleetFigure::Burst => limit.burst = thousandths.unwrap_or(file.burst),
        FleetFigure::Open => limit.in_flight = number.unwrap_or(file.in_flight),
    }
    // A rate that the file does not bound comes with the burst of one second.
    if limit.rate != UNBOUNDED && limit.burst == UNBOUNDED {
        limit.burst = limit.rate.max(ONE_REQUEST);
    }
}
