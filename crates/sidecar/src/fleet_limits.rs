//! Fleet-wide limits at this instance: which requests they are for, and the lease under which these are let in. It knows
//! nothing of services, listeners or the agent; what decides is [`madderloom_quota_leases::Holder`].
//!
//! Leases end by a clock that also runs while the machine is suspended, read anew for each request: whoever stood still
//! in between must not go by what the clock said before.

use super::clock::boottime as now;
use hyper::HeaderMap;
use madderloom_operator_config::FleetLimit;
use madderloom_quota_leases::{Amount, Asks, Denied, Holder, Lent, ONE, UNBOUNDED};
use serde_json::{Value, json};
use smallvec::SmallVec;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The limits that this instance takes part in, and its lease.
#[derive(Default)]
pub(super) struct FleetLimits {
    limits: RefCell<Rc<[FleetLimit]>>,
    holder: RefCell<Holder>,
    /// Words of a second agent of one term, as they were last told of.
    strange: Cell<u64>,
}

/// What was let in; it is open until this is dropped.
pub(super) struct LetIn {
    by: Rc<FleetLimits>,
    limits: SmallVec<[Box<str>; 2]>,
}

impl Drop for LetIn {
    fn drop(&mut self) {
        let mut holder = self.by.holder.borrow_mut();
        self.limits.iter().for_each(|limit| holder.end(limit));
    }
}

impl FleetLimits {
    /// Takes part in these from now on. A lease that holds stays, and what is open stays counted.
    pub(super) fn follow(&self, limits: &[FleetLimit]) {
        let named = limits.iter().map(|limit| (limit.name.clone(), limit.safe));
        self.holder.borrow_mut().follow(now(), named);
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
    ) -> Result<Option<LetIn>, Denied> {
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
        let mut let_in: Option<LetIn> = None;
        for limit in limits.iter().filter(is_for) {
            let all = let_in.get_or_insert_with(|| LetIn {
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
    pub(super) fn admit_at(
        self: &Rc<Self>,
        pool: &str,
        server: impl Fn() -> Box<str>,
    ) -> Result<Option<LetIn>, Denied> {
        let limits = Rc::clone(&self.limits.borrow());
        let mut let_in: Option<LetIn> = None;
        for limit in limits
            .iter()
            .filter(|limit| limit.each_server && limit.pool.fits(pool))
        {
            let all = let_in.get_or_insert_with(|| LetIn {
                by: Rc::clone(self),
                limits: SmallVec::new(),
            });
            let server = server();
            self.holder
                .borrow_mut()
                .admit_at(now(), &limit.name, &server)?;
            all.limits.push(format!("{}/{server}", limit.name).into());
        }
        Ok(let_in)
    }

    /// What goes with a report that is made now; none where this instance takes part in no limit.
    pub(super) fn ask(&self, term: u64) -> Option<Asks> {
        let mut holder = self.holder.borrow_mut();
        holder.hear(term);
        (!holder.is_empty()).then(|| holder.ask(now()))
    }

    /// The agent's word has come. Gives whether it is to be told at once that it is obeyed.
    pub(super) fn take(&self, lent: &Lent) -> bool {
        let lowered = self.holder.borrow_mut().take(now(), lent);
        self.look();
        lowered
    }

    /// Tells the log of leases that were lost or won.
    pub(super) fn look(&self) {
        let mut holder = self.holder.borrow_mut();
        if holder.is_empty() {
            return;
        }
        let (now, since) = (now(), holder.since());
        match holder.changed(now) {
            Some(true) if since > 0 => {
                let without = now.saturating_sub(since) / 1_000;
                tracing::info!(
                    without,
                    "fleet limits: a lease holds again, after {without} ms without: the safe part is left"
                );
            }
            Some(true) => tracing::info!("fleet limits: a lease holds"),
            Some(false) => {
                tracing::warn!(
                    "fleet limits: the lease has ended and no other has come: the safe part holds"
                );
            }
            None => {}
        }
        if holder.strange() != self.strange.replace(holder.strange()) {
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
        let whole = |figure: u64| bounded(figure).map(|figure| figure as f64 / ONE as f64);
        let amount = |of: Amount| json!({"requests_per_second": whole(of.rate), "burst": whole(of.burst), "open": bounded(of.open)});
        let limits: serde_json::Map<String, Value> = holder
            .standings(now)
            .map(|(name, standing)| {
                let told = json!({
                    "may": amount(standing.may), "whole": amount(standing.whole), "open": standing.open,
                    "used": whole(standing.used), "denied": standing.denied,
                });
                (name.to_string(), told)
            })
            .collect();
        json!({
            "leased": holder.is_leased(now),
            "since_us": now.saturating_sub(holder.since()),
            "ends_us": holder.ends().saturating_sub(now),
            "term": holder.by().map(|by| by.term),
            "limits": limits,
        })
    }
}
