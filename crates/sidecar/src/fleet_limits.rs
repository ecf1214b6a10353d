//! Fleet-wide limits at this instance: which requests they apply to, and the quota lease under which requests are admitted.
//! Independent of services, listeners and the agent; [`madderloom_quota_leases::LeaseHolder`] decides.
//!
//! Leases expire by a clock that also runs while the machine is suspended. It is read for each request, since an earlier reading
//! may be from before a suspension.

use super::clock::boottime as now;
use hyper::HeaderMap;
use madderloom_operator_config::FleetLimit;
use madderloom_quota_leases::{
    Capacity, Grant, LeaseChange, LeaseHolder, LeaseRequests, ONE_REQUEST, Rejection, UNBOUNDED,
};
use serde_json::{Value, json};
use smallvec::SmallVec;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The fleet-wide limits of this instance, and its lease.
#[derive(Default)]
pub(super) struct FleetLimits {
    limits: RefCell<Rc<[FleetLimit]>>,
    holder: RefCell<LeaseHolder>,
    /// The number of conflicting grants from a second agent of the same term that was last logged.
    logged_conflicts: Cell<u64>,
}

/// A request or attempt that was admitted. It counts as in flight until this is dropped.
pub(super) struct FleetPermit {
    fleet_limits: Rc<FleetLimits>,
    limits: SmallVec<[Box<str>; 2]>,
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        let mut holder = self.fleet_limits.holder.borrow_mut();
        self.limits.iter().for_each(|limit| holder.release(limit));
    }
}

impl FleetLimits {
    /// Replaces the limits. A valid lease stays valid, and requests in flight stay counted.
    pub(super) fn set_limits(&self, limits: &[FleetLimit]) {
        let named = limits
            .iter()
            .map(|limit| (limit.name.clone(), limit.safe_capacity));
        self.holder.borrow_mut().set_limits(now(), named);
        self.limits.replace(limits.into());
    }

    /// Admits a request under all limits that apply to it, or rejects it.
    ///
    /// # Errors
    /// When to retry, by the first limit that is reached.
    pub(super) fn admit(
        self: &Rc<Self>,
        pool: &str,
        class: Option<&str>,
        headers: &HeaderMap,
    ) -> Result<Option<FleetPermit>, Rejection> {
        let limits = Rc::clone(&self.limits.borrow());
        let applies = |limit: &&FleetLimit| {
            !limit.each_server
                && limit.pool.matches(pool)
                && limit
                    .class
                    .as_ref()
                    .is_none_or(|pattern| class.is_some_and(|class| pattern.matches(class)))
                && limit.header.as_ref().is_none_or(|(name, pattern)| {
                    headers
                        .get(name)
                        .and_then(|value| value.to_str().ok())
                        .is_some_and(|value| pattern.matches(value))
                })
        };
        let mut admitted: Option<FleetPermit> = None;
        for limit in limits.iter().filter(applies) {
            let permit = admitted.get_or_insert_with(|| FleetPermit {
                fleet_limits: Rc::clone(self),
                limits: SmallVec::new(),
            });
            self.holder.borrow_mut().admit(now(), &limit.name)?;
            permit.limits.push(limit.name.as_str().into());
        }
        Ok(admitted)
    }

    /// Admits an attempt to a server under the per-server limits.
    ///
    /// # Errors
    /// The fleet's limit for this server is reached.
    pub(super) fn admit_to_server(
        self: &Rc<Self>,
        pool: &str,
        server: impl Fn() -> Box<str>,
    ) -> Result<Option<FleetPermit>, Rejection> {
        let limits = Rc::clone(&self.limits.borrow());
        let mut admitted: Option<FleetPermit> = None;
        for limit in limits
            .iter()
            .filter(|limit| limit.each_server && limit.pool.matches(pool))
        {
            let permit = admitted.get_or_insert_with(|| FleetPermit {
                fleet_limits: Rc::clone(self),
                limits: SmallVec::new(),
            });
            let server = server();
            self.holder
                .borrow_mut()
                .admit_to_server(now(), &limit.name, &server)?;
            permit
                .limits
                .push(format!("{}/{server}", limit.name).into());
        }
        Ok(admitted)
    }

    /// The lease requests for a report made now; none if this instance has no limits.
    pub(super) fn lease_requests(&self, term: u64) -> Option<LeaseRequests> {
        let mut holder = self.holder.borrow_mut();
        holder.observe_term(term);
        (!holder.is_empty()).then(|| holder.make_report(now()))
    }

    /// Applies a grant of the agent. Returns whether it lowers a limit; the agent then has to be sent a confirmation at once.
    pub(super) fn apply_grant(&self, grant: &Grant) -> bool {
        let lowered = self.holder.borrow_mut().apply_grant(now(), grant);
        self.log_lease_changes();
        lowered
    }

    /// Logs when a lease was acquired or lost, and when a second agent of the same term sends grants.
    pub(super) fn log_lease_changes(&self) {
        let mut holder = self.holder.borrow_mut();
        if holder.is_empty() {
            return;
        }
        let (now, since) = (now(), holder.changed_at());
        match holder.take_lease_change(now) {
            Some(LeaseChange::Acquired) if since > 0 => {
                let without = now.saturating_sub(since) / 1_000;
                tracing::info!(
                    without,
                    "fleet limits: a lease holds again, after {without} ms without one: the safe part no longer applies"
                );
            }
            Some(LeaseChange::Acquired) => tracing::info!("fleet limits: a lease holds"),
            Some(LeaseChange::Lost) => {
                tracing::warn!(
                    "fleet limits: the lease has expired and was not renewed: the safe part holds"
                );
            }
            None => {}
        }
        if holder.conflicting_grants() != self.logged_conflicts.replace(holder.conflicting_grants())
        {
            tracing::warn!(
                "fleet limits: a second agent of the same term grants leases too: its grants are ignored"
            );
        }
    }

    /// The part of the admin view on fleet-wide limits; null if this instance has none.
    pub(super) fn view(&self) -> Value {
        let (holder, now) = (self.holder.borrow(), now());
        if holder.is_empty() {
            return Value::Null;
        }
        let unless_unbounded = |value: u64| Some(value).filter(|value| *value != UNBOUNDED);
        let requests =
            |value: u64| unless_unbounded(value).map(|value| value as f64 / ONE_REQUEST as f64);
        let capacity = |capacity: Capacity| json!({"requests_per_second": requests(capacity.rate), "burst": requests(capacity.burst), "open": unless_unbounded(capacity.in_flight)});
        let limits: serde_json::Map<String, Value> = holder
            .statuses(now)
            .map(|(name, status)| {
                let shown = json!({
                    "may": capacity(status.usable), "whole": capacity(status.total), "open": status.in_flight,
                    "used": requests(status.admitted_rate), "denied": status.rejected,
                });
                (name.to_string(), shown)
            })
            .collect();
        json!({
            "leased": holder.has_valid_grant(now),
            "since_us": now.saturating_sub(holder.changed_at()),
            "ends_us": holder.expires_at().saturating_sub(now),
            "term": holder.server().map(|server| server.term),
            "limits": limits,
        })
    }
}
