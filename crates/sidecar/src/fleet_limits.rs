//! Fleet-wide limits at this instance: which requests they are for, and the lease under which these are let in. It knows
//! nothing of services, listeners or the agent; what decides is [`madderloom_quota_leases::LeaseHolder`].
//!
//! Leases end by a clock that also runs while the machine is suspended, read anew for each request: whoever stood still
//! in between must not go by what the clock said before.

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

/// The limits that this instance takes part in, and its lease.
#[derive(Default)]
pub(super) struct FleetLimits {
    limits: RefCell<Rc<[FleetLimit]>>,
    holder: RefCell<LeaseHolder>,
    /// Words of a second agent of one term, as they were last told of.
    strange: Cell<u64>,
}

/// What was let in; it is open until this is dropped.
pub(super) struct FleetPermit {
    by: Rc<FleetLimits>,
    limits: SmallVec<[Box<str>; 2]>,
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        let mut holder = self.by.holder.borrow_mut();
        self.limits.iter().for_each(|limit| holder.release(limit));
    }
}

impl FleetLimits {
    /// Takes part in these from now on. A lease that holds stays, and what is open stays counted.
    pub(super) fn set_limits(&self, limits: &[FleetLimit]) {
        let named = limits.iter().map(|limit| (limit.name.clone(), limit.safe));
        self.holder.borrow_mut().set_limits(now(), named);
        self.limits.replace(limits.into());
    }

    /// Lets a request in under all limits that are for it, or under none.
    ///
    /// # Errors
    /// When to come again, by the first limit that has no room.
    pub(super) fn admit(
        self: &Rc<Self>,
        pool: &str,
        class: Option<&str>,
        headers: &HeaderMap,
    ) -> Result<Option<FleetPermit>, Rejection> {
        let limits = Rc::clone(&self.limits.borrow());
        let is_for = |limit: &&FleetLimit| {
            !limit.each_server
                && limit.pool.fits(pool)
                && limit
                    .class
                    .as_ref()
                    .is_none_or(|of| class.is_some_and(|class| of.fits(class)))
                && limit.header.as_ref().is_none_or(|(name, of)| {
                    headers
                        .get(name)
                        .and_then(|value| value.to_str().ok())
                        .is_some_and(|value| of.fits(value))
                })
        };
        let mut let_in: Option<FleetPermit> = None;
        for limit in limits.iter().filter(is_for) {
            let all = let_in.get_or_insert_with(|| FleetPermit {
                by: Rc::clone(self),
                limits: SmallVec::new(),
            });
            self.holder.borrow_mut().admit(now(), &limit.name)?;
            all.limits.push(limit.name.as_str().into());
        }
        Ok(let_in)
    }

    /// Lets an attempt at a server through under the limits for each server.
    ///
    /// # Errors
    /// The server may have no more of this fleet now.
    pub(super) fn admit_to_server(
        self: &Rc<Self>,
        pool: &str,
        server: impl Fn() -> Box<str>,
    ) -> Result<Option<FleetPermit>, Rejection> {
        let limits = Rc::clone(&self.limits.borrow());
        let mut let_in: Option<FleetPermit> = None;
        for limit in limits
            .iter()
            .filter(|limit| limit.each_server && limit.pool.fits(pool))
        {
            let all = let_in.get_or_insert_with(|| FleetPermit {
                by: Rc::clone(self),
                limits: SmallVec::new(),
            });
            let server = server();
            self.holder
                .borrow_mut()
                .admit_to_server(now(), &limit.name, &server)?;
            all.limits.push(format!("{}/{server}", limit.name).into());
        }
        Ok(let_in)
    }

    /// What goes with a report that is made now; none where this instance takes part in no limit.
    pub(super) fn lease_requests(&self, term: u64) -> Option<LeaseRequests> {
        let mut holder = self.holder.borrow_mut();
        holder.observe_term(term);
        (!holder.is_empty()).then(|| holder.make_report(now()))
    }

    /// The agent's word has come. Gives whether it is to be told at once that it is obeyed.
    pub(super) fn apply_grant(&self, grant: &Grant) -> bool {
        let lowered = self.holder.borrow_mut().apply_grant(now(), grant);
        self.log_lease_changes();
        lowered
    }

    /// Tells the log of leases that were lost or won.
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
                    "fleet limits: a lease holds again, after {without} ms without: the safe part is left"
                );
            }
            Some(LeaseChange::Acquired) => tracing::info!("fleet limits: a lease holds"),
            Some(LeaseChange::Lost) => {
                tracing::warn!(
                    "fleet limits: the lease has ended and no other has come: the safe part holds"
                );
            }
            None => {}
        }
        if holder.conflicting_grants() != self.strange.replace(holder.conflicting_grants()) {
            tracing::warn!(
                "fleet limits: a second agent of the same term lends too: its words are passed over"
            );
        }
    }

    /// What the admin view shows; nothing where this instance takes part in no limit.
    pub(super) fn view(&self) -> Value {
        let (holder, now) = (self.holder.borrow(), now());
        if holder.is_empty() {
            return Value::Null;
        }
        let bounded = |figure: u64| Some(figure).filter(|figure| *figure != UNBOUNDED);
        let whole = |figure: u64| bounded(figure).map(|figure| figure as f64 / ONE_REQUEST as f64);
        let amount = |of: Capacity| json!({"requests_per_second": whole(of.rate), "burst": whole(of.burst), "open": bounded(of.in_flight)});
        let limits: serde_json::Map<String, Value> = holder
            .statuses(now)
            .map(|(name, status)| {
                let told = json!({
                    "may": amount(status.usable), "whole": amount(status.total), "open": status.in_flight,
                    "used": whole(status.admitted_rate), "denied": status.rejected,
                });
                (name.to_string(), told)
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
