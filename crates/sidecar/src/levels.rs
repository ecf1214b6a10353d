//! The levels of a service at work: their signals are gathered, the module is told of changes, and operators' orders
//! are taken. What is decided is decided in `madderloom_degradation`.

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

/// The processor time of the thread is looked at this often, in microseconds.
const PROCESSOR: Micros = 1_000_000;
/// The longest that an order may hold, in microseconds.
const LONGEST: Micros = 7 * 86_400_000_000;
/// The longest name of who gives one, in letters.
const NAME: usize = 64;

/// How busy the one thread is.
#[derive(Default)]
pub(super) struct CpuUsage {
    /// When it was last looked at, and the thread's time then.
    seen: Cell<Option<(Micros, Micros)>>,
    share: Cell<Option<f64>>,
}

impl CpuUsage {
    /// The share of the last second, about, that the thread was at work. None until that is known.
    fn share(&self, now: Micros) -> Option<f64> {
        if self.seen.get().is_none_or(|(at, _)| now >= at + PROCESSOR) {
            let time = clock_gettime(ClockId::ThreadCPUTime);
            let used = (time.tv_sec as u64).saturating_mul(1_000_000) + time.tv_nsec as u64 / 1_000;
            if let Some((at, before)) = self.seen.replace(Some((now, used))) {
                self.share
                    .set(Some(used.saturating_sub(before) as f64 / (now - at) as f64));
            }
        }
        self.share.get()
    }
}

/// Gives a service the levels of a file, or none. The level that holds goes on where the file has one of its name.
pub(super) fn configure(service: &Rc<Service>, checked: Option<LevelPlan>) {
    let now = service.process.clock.now();
    let mut keeper = service.level_controller.borrow_mut();
    let change = match (keeper.as_mut(), checked) {
        (Some(keeper), Some(checked)) => keeper.reconfigure(checked, now),
        (None, Some(checked)) => {
            let names = service.active_settings().site.classes.clone();
            let mut fresh = LevelController::new(checked, names, service.spread_position, now);
            for order in kept_orders(service, now) {
                // The level may be of an older file.
                if let Err(problem) = fresh.apply_order(order) {
                    let of = &service.log_prefix;
                    tracing::warn!("{of}an order from before the restart is left out: {problem}");
                }
            }
            *keeper = Some(fresh);
            let task = watchdog::spawn(TaskKind::Levels, run(Rc::clone(service)));
            service.track_task(task.abort_handle());
            None
        }
        (Some(_), None) => {
            *keeper = None;
            None
        }
        (None, None) => return,
    };
    drop(keeper);
    tell(service, change.as_ref());
}

async fn run(service: Rc<Service>) {
    while service.level_controller.borrow().is_some() {
        tokio::time::sleep(Duration::from_micros(EVALUATION_INTERVAL)).await;
        look(&service);
    }
}

fn look(service: &Rc<Service>) {
    let now = service.process.clock.now();
    let numbers = service.request_limits.in_flight();
    let part = |used: f64, most: f64| if most > 0.0 { used / most } else { 1.0 };
    let own = part(
        service.transactions.borrow().len() as f64,
        service.active_settings().site.max_open as f64,
    );
    let outside = ExternalSignals {
        failing_servers: service.failing_server_share(now),
        open_requests: Some(part(numbers.used as f64, numbers.part.most as f64).max(own)),
        cpu: service.process.processor.share(now),
        list_age: service.list_age(now),
    };
    let change = service
        .level_controller
        .borrow_mut()
        .as_mut()
        .and_then(|keeper| keeper.evaluate(now, &outside));
    if change.is_some() {
        tell(service, change.as_ref());
    }
}

/// Tells the module what to give up from now on, and the log why.
fn tell(service: &Rc<Service>, change: Option<&LevelChange>) {
    let reduced = service
        .level_controller
        .borrow()
        .as_ref()
        .map_or_else(DegradationEffects::default, |k| k.reduced().clone());
    service.handle(
        service.process.clock.now(),
        Event::DegradationChanged(&reduced),
    );
    if let Some(change) = change {
        let (of, pool) = (&service.log_prefix, &service.name);
        match change.to {
            Some(_) => tracing::warn!(%pool, "{of}{change}"),
            None => tracing::info!(%pool, "{of}{change}"),
        }
    }
}

/// What an operator asks of a pool's levels.
#[derive(Deserialize)]
// Answers to malformed orders show this name.
#[serde(deny_unknown_fields, rename = "Asked")]
pub(super) struct OrderRequest {
    order: Kind,
    /// [`FULL_SERVICE`] stands for full service.
    level: Option<String>,
    /// How long it is to hold, in microseconds.
    #[serde(default)]
    for_us: Micros,
    /// Who asks, as they call themselves.
    #[serde(default)]
    by: String,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Pin,
    Bar,
    Clear,
}

/// Takes an order of a user with this number. An error says why it is not taken.
pub(super) fn apply_order(
    service: &Service,
    asked: OrderRequest,
    user: Option<u32>,
) -> Result<(), String> {
    let now = service.process.clock.now();
    let mut keeper = service.level_controller.borrow_mut();
    let keeper = keeper
        .as_mut()
        .ok_or_else(|| format!("the file has no levels for {}", service.name))?;
    let OrderRequest {
        order,
        level,
        for_us,
        by,
    } = asked;
    let by: String = by.chars().filter(|c| !c.is_control()).take(NAME).collect();
    let by = user.map_or_else(|| by.clone(), |user| format!("{by} (user {user})"));
    let (of, pool) = (&service.log_prefix, &service.name);
    if order == Kind::Clear {
        let what = level.as_ref().map_or_else(
            || "the pin".to_string(),
            |level| format!("the bar of {level}"),
        );
        if !keeper.withdraw_order(level.as_deref()) {
            return Err(format!(
                "there is nothing to take back: {what} does not hold"
            ));
        }
        tracing::warn!(%pool, %by, "{of}service level: {what} is taken back by {by}");
        return Ok(());
    }
    if for_us == 0 || for_us > LONGEST {
        return Err(format!(
            "an order holds for some time, {} at most",
            Span(LONGEST)
        ));
    }
    let name = level.ok_or("names no level")?;
    let (level, pin) = (
        Some(name.clone()).filter(|name| name != FULL_SERVICE),
        order == Kind::Pin,
    );
    keeper
        .apply_order(OperatorOrder {
            ordered_by: by.clone(),
            level,
            kind: OrderKind::from(pin),
            expires_at: now + for_us,
        })
        .map_err(|error| error.to_string())?;
    let (what, span) = (if pin { "pinned" } else { "barred" }, Span(for_us));
    tracing::warn!(%pool, %by, "{of}service level: {name} is {what} for {span} by {by}");
    Ok(())
}

/// The orders on a service's level that were written down and have not ended. What can't be read is told and left.
fn kept_orders(service: &Service, now: Micros) -> Vec<OperatorOrder> {
    let Some(state) = service.process.state_writer.get() else {
        return Vec::new();
    };
    let read = state
        .level_orders
        .borrow()
        .get(&service.name)
        .map(|kept| serde_json::from_slice(kept));
    let mut orders: Vec<OperatorOrder> = read
        .transpose()
        .unwrap_or_else(|problem| {
            tracing::warn!(
                "{}orders from before the restart can't be read: {problem}",
                service.log_prefix
            );
            None
        })
        .unwrap_or_default();
    // Their times are of the module's clock, which reads as Unix time does at each start.
    orders.retain(|order| now < order.expires_at);
    orders
}

/// Writes a pool's orders down, where the file has a `[state]`.
pub(super) async fn store_orders(service: &Service) -> Result<(), String> {
    let Some(state) = service.process.state_writer.get() else {
        return Ok(());
    };
    let orders = service
        .level_controller
        .borrow()
        .as_ref()
        .map_or_else(Vec::new, |k| k.levels().orders().to_vec());
    let (key, mut batch) = (
        format!("{LEVEL_ORDERS_PREFIX}{}", service.name),
        Batch::new(),
    );
    if orders.is_empty() {
        batch.delete(key);
        state.level_orders.borrow_mut().remove(&service.name);
    } else {
        let value = serde_json::to_vec(&orders).map_err(|e| e.to_string())?;
        state
            .level_orders
            .borrow_mut()
            .insert(service.name.clone(), value.clone());
        batch.put(key, value);
    }
    let kept = state.write(batch, Durability::Durable).await;
    kept.map(drop)
        .map_err(|problem| format!("it is taken, but may not survive a restart: {problem}"))
}

/// What there is to see of a pool's levels; null where it has none.
pub(super) fn view(service: &Service, now: Micros) -> Value {
    let keeper = service.level_controller.borrow();
    let Some(keeper) = keeper.as_ref() else {
        return Value::Null;
    };
    let levels = keeper.levels();
    let ago = |at: Micros| now.saturating_sub(at);
    let history = levels.history().map(|change| {
        json!({"ago_us": ago(change.at), "from": change.from, "to": change.to, "cause": change.cause.to_string()})
    });
    let orders = levels.orders().iter().map(|order| {
        let level = order.level.as_deref().unwrap_or(FULL_SERVICE);
        json!({"level": level, "pin": bool::from(order.kind), "by": order.ordered_by, "for_us": order.expires_at.saturating_sub(now)})
    });
    let signals = keeper
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
        "changes_in_ten_minutes": keeper.max_changes_in_ten_minutes(),
        "given_up": service.shed_requests(),
    })
}
