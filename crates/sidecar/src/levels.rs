//! The degradation levels of a service: collects their signals, notifies the balancer of changes and applies operators' orders.
//! `madderloom_degradation` makes the decisions.

use super::service::Service;
use super::state_writer::LEVEL_ORDERS_PREFIX;
use madderloom_balancer::{DegradationEffects, Event, Micros};
use madderloom_config_reader::Span;
use madderloom_degradation::{
    EVALUATION_INTERVAL, ExternalSignals, FULL_SERVICE, LevelChange, LevelController, LevelPlan,
    OperatorOrder, OrderKind,
};
use madderloom_store::{Batch, Durability};
use madderloom_watchdog::{self as watchdog, TaskKind};
use rustix::time::{ClockId, clock_gettime};
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How often the thread's CPU time is sampled.
const CPU_SAMPLE_INTERVAL: Micros = 1_000_000;
/// Maximum duration of an operator's order: 7 days.
const MAX_ORDER_DURATION: Micros = 7 * 86_400_000_000;
/// Maximum length of the name of the operator who gives an order, in characters.
const MAX_OPERATOR_NAME_CHARS: usize = 64;

/// The CPU usage of the serving thread.
#[derive(Default)]
pub(super) struct CpuUsage {
    /// The time of the last sample, and the thread's CPU time then.
    last_sample: Cell<Option<(Micros, Micros)>>,
    share: Cell<Option<f64>>,
}

impl CpuUsage {
    /// The share of about the last second that the thread used the CPU. None before the second sample.
    fn share(&self, now: Micros) -> Option<f64> {
        if self
            .last_sample
            .get()
            .is_none_or(|(at, _)| now >= at + CPU_SAMPLE_INTERVAL)
        {
            let time = clock_gettime(ClockId::ThreadCPUTime);
            let used = (time.tv_sec as u64).saturating_mul(1_000_000) + time.tv_nsec as u64 / 1_000;
            if let Some((at, before)) = self.last_sample.replace(Some((now, used))) {
                self.share
                    .set(Some(used.saturating_sub(before) as f64 / (now - at) as f64));
            }
        }
        self.share.get()
    }
}

/// Replaces the levels of a service, or removes them. The active level stays active if the new plan has one with its name.
pub(super) fn configure(service: &Rc<Service>, plan: Option<LevelPlan>) {
    let now = service.process.clock.now();
    let mut controller = service.level_controller.borrow_mut();
    let change = match (controller.as_mut(), plan) {
        (Some(controller), Some(plan)) => controller.reconfigure(plan, now),
        (None, Some(plan)) => {
            let names = service.active_settings().site.classes.clone();
            let mut new_controller =
                LevelController::new(plan, names, service.spread_position, now);
            for order in stored_orders(service, now) {
                // The order may name a level of an earlier configuration.
                if let Err(error) = new_controller.apply_order(order) {
                    let prefix = &service.log_prefix;
                    tracing::warn!("{prefix}an order from before the restart is left out: {error}");
                }
            }
            *controller = Some(new_controller);
            let task = watchdog::spawn(TaskKind::DegradationLevels, run(Rc::clone(service)));
            service.track_task(task.abort_handle());
            None
        }
        (Some(_), None) => {
            *controller = None;
            None
        }
        (None, None) => return,
    };
    drop(controller);
    apply_change(service, change.as_ref());
}

async fn run(service: Rc<Service>) {
    while service.level_controller.borrow().is_some() {
        tokio::time::sleep(Duration::from_micros(EVALUATION_INTERVAL)).await;
        evaluate(&service);
    }
}

fn evaluate(service: &Rc<Service>) {
    let now = service.process.clock.now();
    let in_flight = service.request_limits.in_flight();
    let fraction = |used: f64, most: f64| if most > 0.0 { used / most } else { 1.0 };
    let transaction_share = fraction(
        service.transactions.borrow().len() as f64,
        service.active_settings().site.max_open as f64,
    );
    let signals = ExternalSignals {
        failing_servers: service.failing_server_share(now),
        open_requests: Some(
            fraction(in_flight.used as f64, in_flight.part.most as f64).max(transaction_share),
        ),
        cpu: service.process.cpu_usage.share(now),
        list_age: service.list_age(now),
    };
    let change = service
        .level_controller
        .borrow_mut()
        .as_mut()
        .and_then(|controller| controller.evaluate(now, &signals));
    if change.is_some() {
        apply_change(service, change.as_ref());
    }
}

/// Notifies the balancer of the effects of the active level, and logs a change of level.
fn apply_change(service: &Rc<Service>, change: Option<&LevelChange>) {
    let effects = service
        .level_controller
        .borrow()
        .as_ref()
        .map_or_else(DegradationEffects::default, |controller| {
            controller.reduced().clone()
        });
    service.handle(
        service.process.clock.now(),
        Event::DegradationChanged(&effects),
    );
    if let Some(change) = change {
        let (prefix, pool) = (&service.log_prefix, &service.name);
        match change.to {
            Some(_) => tracing::warn!(%pool, "{prefix}{change}"),
            None => tracing::info!(%pool, "{prefix}{change}"),
        }
    }
}

/// An operator's order on a pool's levels, as the admin interface receives it.
#[derive(Deserialize)]
// The response to a malformed order contains this name.
#[serde(deny_unknown_fields, rename = "Asked")]
pub(super) struct OrderRequest {
    order: OrderAction,
    /// The name of a level, or [`FULL_SERVICE`].
    level: Option<String>,
    /// The duration of the order, in microseconds.
    #[serde(default)]
    for_us: Micros,
    /// The name that the operator gives.
    #[serde(default)]
    by: String,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum OrderAction {
    Pin,
    Bar,
    Clear,
}

/// Applies an order of the user with this id. The error says why it is rejected.
pub(super) fn apply_order(
    service: &Service,
    request: OrderRequest,
    user: Option<u32>,
) -> Result<(), String> {
    let now = service.process.clock.now();
    let mut controller = service.level_controller.borrow_mut();
    let controller = controller
        .as_mut()
        .ok_or_else(|| format!("the file has no levels for {}", service.name))?;
    let OrderRequest {
        order,
        level,
        for_us,
        by,
    } = request;
    let by: String = by
        .chars()
        .filter(|c| !c.is_control())
        .take(MAX_OPERATOR_NAME_CHARS)
        .collect();
    let by = user.map_or_else(|| by.clone(), |user| format!("{by} (user {user})"));
    let (prefix, pool) = (&service.log_prefix, &service.name);
    if order == OrderAction::Clear {
        let what = level.as_ref().map_or_else(
            || "the pin".to_string(),
            |level| format!("the bar of {level}"),
        );
        if !controller.withdraw_order(level.as_deref()) {
            return Err(format!(
                "there is nothing to take back: {what} does not hold"
            ));
        }
        tracing::warn!(%pool, %by, "{prefix}service level: {what} is withdrawn by {by}");
        return Ok(());
    }
    if for_us == 0 || for_us > MAX_ORDER_DURATION {
        return Err(format!(
            "an order holds for some time, {} at most",
            Span(MAX_ORDER_DURATION)
        ));
    }
    let name = level.ok_or("names no level")?;
    let (level, is_pin) = (
        Some(name.clone()).filter(|name| name != FULL_SERVICE),
        order == OrderAction::Pin,
    );
    controller
        .apply_order(OperatorOrder {
            ordered_by: by.clone(),
            level,
            kind: OrderKind::from(is_pin),
            expires_at: now + for_us,
        })
        .map_err(|error| error.to_string())?;
    let (what, span) = (if is_pin { "pinned" } else { "barred" }, Span(for_us));
    tracing::warn!(%pool, %by, "{prefix}service level: {name} is {what} for {span} by {by}");
    Ok(())
}

/// The stored orders on a service's levels that have not expired. Unreadable ones are logged and skipped.
fn stored_orders(service: &Service, now: Micros) -> Vec<OperatorOrder> {
    let Some(state_writer) = service.process.state_writer.get() else {
        return Vec::new();
    };
    let read_orders = state_writer
        .level_orders
        .borrow()
        .get(&service.name)
        .map(|stored| serde_json::from_slice(stored));
    let mut orders: Vec<OperatorOrder> = read_orders
        .transpose()
        .unwrap_or_else(|error| {
            tracing::warn!(
                "{}orders from before the restart can't be read: {error}",
                service.log_prefix
            );
            None
        })
        .unwrap_or_default();
    // Their times are those of the balancer's clock, which is set to Unix time at each start.
    orders.retain(|order| now < order.expires_at);
    orders
}

/// Stores a pool's orders if the operator file has a `[state]` section.
pub(super) async fn store_orders(service: &Service) -> Result<(), String> {
    let Some(state_writer) = service.process.state_writer.get() else {
        return Ok(());
    };
    let orders = service
        .level_controller
        .borrow()
        .as_ref()
        .map_or_else(Vec::new, |controller| controller.levels().orders().to_vec());
    let (key, mut batch) = (
        format!("{LEVEL_ORDERS_PREFIX}{}", service.name),
        Batch::new(),
    );
    if orders.is_empty() {
        batch.delete(key);
        state_writer.level_orders.borrow_mut().remove(&service.name);
    } else {
        let value = serde_json::to_vec(&orders).map_err(|e| e.to_string())?;
        state_writer
            .level_orders
            .borrow_mut()
            .insert(service.name.clone(), value.clone());
        batch.put(key, value);
    }
    let result = state_writer.write(batch, Durability::Durable).await;
    result
        .map(drop)
        .map_err(|error| format!("it is taken, but may not survive a restart: {error}"))
}

/// The part of the admin view on a pool's levels; null if it has none.
pub(super) fn view(service: &Service, now: Micros) -> Value {
    let controller = service.level_controller.borrow();
    let Some(controller) = controller.as_ref() else {
        return Value::Null;
    };
    let levels = controller.levels();
    let ago = |at: Micros| now.saturating_sub(at);
    let history = levels.history().map(|change| {
        json!({"ago_us": ago(change.at), "from": change.from, "to": change.to, "cause": change.cause.to_string()})
    });
    let orders = levels.orders().iter().map(|order| {
        let level = order.level.as_deref().unwrap_or(FULL_SERVICE);
        json!({"level": level, "pin": bool::from(order.kind), "by": order.ordered_by, "for_us": order.expires_at.saturating_sub(now)})
    });
    let signals = controller
        .signals()
        .iter()
        .map(|(signal, value)| (signal.to_string(), json!(value)));
    json!({
        "level": levels.current().map_or(FULL_SERVICE, |level| &level.name),
        "since_us": ago(levels.since()),
        "levels": levels.level_names().collect::<Value>(),
        "history": history.collect::<Value>(),
        "orders": orders.collect::<Value>(),
        "signals": signals.collect::<serde_json::Map<_, _>>(),
        "changes_in_ten_minutes": controller.max_changes_in_ten_minutes(),
        "given_up": service.shed_requests(),
    })
}
