//! The fleet-wide limits of an agent: those of its file, with the changes in effect applied to them.

use crate::Micros;
use crate::change::Layers;
use crate::protocol::Report;
use crate::settings::{FleetFigure, Key, Value};
use madderloom_quota_leases::{Grant, LeaseServer, Limit, MOST, Note, ONE, ServerId, UNBOUNDED};
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

impl FleetLimits {
    pub(crate) fn new(
        now: Micros,
        id: ServerId,
        settings: FleetLimitSettings,
        former: Micros,
        report_interval: Micros,
    ) -> Self {
        let server = LeaseServer::new(now, id, settings.duration, former, report_interval);
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
                let (Some(own), Some(limit)) =
                    (self.settings.limits.get(limit), limits.get_mut(limit))
                else {
                    continue;
                };
                let number = match value {
                    Some(Value::Limit(number)) => Some(*number),
                    _ => None,
                };
                let thousandths = number.map(|number| number.saturating_mul(ONE).min(MOST));
                let (whole, file) = (&mut limit.whole, own.whole);
                match figure {
                    FleetFigure::Rate => whole.rate = thousandths.unwrap_or(file.rate),
                    FleetFigure::Burst => whole.burst = thousandths.unwrap_or(file.burst),
                    FleetFigure::Open => whole.open = number.unwrap_or(file.open),
                }
                // A rate that the file does not bound comes with the burst of one second.
                if whole.rate != UNBOUNDED && whole.burst == UNBOUNDED {
                    whole.burst = whole.rate.max(ONE);
                }
            }
        }
        self.server.set_limits(now, limits);
    }

    pub(crate) fn handle_report(
        &mut self,
        now: Micros,
        zone: &str,
        report: &Report,
    ) -> Option<Grant> {
        let requests = report.asks.as_ref()?;
        self.server
            .handle_report(now, &report.who.name, zone, report.who.start, requests)
    }

    /// Takes the events for the log. The flag says whether the recovery has ended.
    pub(crate) fn notes(&mut self) -> (Vec<Note>, bool) {
        let notes = self.server.notes();
        let recovered = notes.contains(&Note::Recovered);
        (notes, recovered)
    }

    pub(crate) fn lease_duration(&self) -> Micros {
        self.settings.duration
    }

    /// Whether the file has a limit of this name.
    pub(crate) fn has_limit(&self, limit: &str) -> bool {
        self.settings.limits.contains_key(limit)
    }
}
