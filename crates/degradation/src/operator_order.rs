//! Orders by which operators override the conditions of levels for a time.

use crate::{Micros, OrderError};
use serde::{Deserialize, Serialize};

/// An operator's order. It ends at a set time. It is plain data, so that its owner can store it and apply it again after
/// a restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorOrder {
    /// Who gave it.
    #[serde(rename = "by")]
    pub ordered_by: String,
    /// The level that it applies to; `None` for full service.
    pub level: Option<String>,
    /// What it does to the level.
    #[serde(rename = "pin")]
    pub kind: OrderKind,
    /// When it ends, by the clock that is passed in.
    #[serde(rename = "until")]
    pub expires_at: Micros,
}

/// What an order does to a level. Stored as whether the level is pinned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "bool", into = "bool")]
pub enum OrderKind {
    /// The level is active, whatever the conditions say.
    Pin,
    /// The level is not entered, and left if it is active.
    Bar,
}

impl From<bool> for OrderKind {
    fn from(pins: bool) -> Self {
        if pins { OrderKind::Pin } else { OrderKind::Bar }
    }
}

impl From<OrderKind> for bool {
    fn from(kind: OrderKind) -> Self {
        kind == OrderKind::Pin
    }
}

/// The orders in force: at most one pin, and one bar for each level.
#[derive(Default)]
pub(crate) struct Orders(Vec<OperatorOrder>);

impl Orders {
    /// Adds an order to those for levels of these names. It replaces the former pin, or the former bar of its level.
    pub(crate) fn add(&mut self, order: OperatorOrder, levels: &[&str]) -> Result<(), OrderError> {
        match &order.level {
            Some(name) if !levels.contains(&name.as_str()) => {
                return Err(OrderError::UnknownLevel {
                    name: name.clone(),
                    known: levels.iter().map(|name| name.to_string()).collect(),
                });
            }
            None if order.kind == OrderKind::Bar => return Err(OrderError::FullServiceBarred),
            _ => {}
        }
        self.0.retain(|other| match order.kind {
            OrderKind::Pin => other.kind != OrderKind::Pin,
            OrderKind::Bar => other.kind == OrderKind::Pin || other.level != order.level,
        });
        self.0.push(order);
        Ok(())
    }

    /// Removes the bar of a level, or the pin if none is named. Returns whether there was one.
    pub(crate) fn remove(&mut self, barred: Option<&str>) -> bool {
        let before = self.0.len();
        self.0.retain(|order| match barred {
            None => order.kind != OrderKind::Pin,
            Some(level) => order.kind == OrderKind::Pin || order.level.as_deref() != Some(level),
        });
        self.0.len() < before
    }

    /// Removes orders that have expired.
    pub(crate) fn expire(&mut self, now: Micros) {
        self.0.retain(|order| now < order.expires_at);
    }

    /// Removes orders for levels that are gone.
    pub(crate) fn retain_levels(&mut self, exists: impl Fn(&str) -> bool) {
        self.0
            .retain(|order| order.level.as_deref().is_none_or(&exists));
    }

    /// The pin in force.
    pub(crate) fn pin(&self) -> Option<&OperatorOrder> {
        self.0.iter().find(|order| order.kind == OrderKind::Pin)
    }

    /// The bar of a level, if in force.
    pub(crate) fn bar_of(&self, level: &str) -> Option<&OperatorOrder> {
        self.0
            .iter()
            .find(|order| order.kind == OrderKind::Bar && order.level.as_deref() == Some(level))
    }

    /// All orders, the oldest first.
    pub(crate) fn as_slice(&self) -> &[OperatorOrder] {
        &self.0
    }
}
