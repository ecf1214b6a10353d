//! The fleet-wide limits of an agent: its file's, with what the fleet has settled on over them.

use crate::Micros;
use crate::change::Layers;
use crate::protocol::Report;
use crate::settings::{FleetFigure, Key, Value};
use madderloom_quota::{Lender, Lent, Limit, MOST, Note, ONE, UNBOUNDED, Who};
use std::collections::BTreeMap;

/// What an agent's file says of fleet-wide limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lending {
    /// By their names.
    pub limits: BTreeMap<String, Limit>,
    /// How long a lease lasts, in microseconds.
    pub lasts: Micros,
}

/// Lends by the file and the layers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Desk {
    file: Lending,
    pub(crate) lender: Lender,
}

impl Desk {
    pub(crate) fn new(now: Micros, who: Who, file: Lending, former: Micros, every: Micros) -> Self {
        let lender = Lender::new(now, who, file.lasts, former, every);
        Desk { file, lender }
    }

    /// The limits are the file's, with what changes for all instances have set.
    pub(crate) fn follow(&mut self, now: Micros, layers: &Layers) {
        let mut limits = self.file.limits.clone();
        for layer in layers.0.iter().filter(|layer| layer.select.is_all()) {
            for (key, value) in &layer.edits {
                let Key::Fleet { limit, figure } = key else { continue };
                let (Some(own), Some(limit)) = (self.file.limits.get(limit), limits.get_mut(limit)) else {
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
                // A rate that the file does not have comes with a burst of a second's worth.
                if whole.rate != UNBOUNDED && whole.burst == UNBOUNDED {
                    whole.burst = whole.rate.max(ONE);
                }
            }
        }
        self.lender.set(now, limits);
    }

    pub(crate) fn report(&mut self, now: Micros, zone: &str, report: &Report) -> Option<Lent> {
        let asks = report.asks.as_ref()?;
        self.lender.report(now, &report.who.name, zone, report.who.start, asks)
    }

    /// For the log, and whether all may be lent from now on.
    pub(crate) fn notes(&mut self) -> (Vec<Note>, bool) {
        let notes = self.lender.notes();
        let learned = notes.contains(&Note::Learned);
        (notes, learned)
    }

    pub(crate) fn lasts(&self) -> Micros {
        self.file.lasts
    }

    /// Whether the file has this limit.
    pub(crate) fn knows(&self, limit: &str) -> bool {
        self.file.limits.contains_key(limit)
    }
}
