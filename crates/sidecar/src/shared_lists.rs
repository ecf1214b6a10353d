//! The endpoint lists that this instance shares with its fleet: reports to the agent, updates from the agent, and when
//! discovery has to be called nevertheless. The decisions are those of [`madderloom_endpoint_sharing::SharedEndpointLists`].
//!
//! Ages are measured by a clock that also runs while the machine is suspended.

use super::clock::boottime;
use madderloom_endpoint_sharing::{
    DiscoveryCallSchedule, EndpointListReports, EndpointListUpdates, HeldListStatus, Micros, Offer,
    OwnList, SharedEndpointLists, UpdateOutcome, agent_refresh_age,
};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The shortest time between two reports that list updates cause, in microseconds. Updates within this time are part of the
/// next report.
const MIN_REPORT_INTERVAL: Micros = 100_000;
/// The longest sleep before the clock is read again. Timers stop while the machine is suspended, and the agent must be asked in
/// time.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// The lists that this instance shares; empty if its configuration shares none.
#[derive(Default)]
pub(super) struct SharedLists {
    lists: RefCell<SharedEndpointLists>,
    /// The prefix of the lists' names within the fleet; the name of the pool follows.
    prefix: RefCell<Option<String>>,
    report_signal: Rc<Notify>,
    last_signal: Cell<Micros>,
}

impl SharedLists {
    /// Sets the pools whose lists are shared, and the prefix of their names. Lists that were shared before keep their state.
    pub(super) fn set_pools(&self, prefix: Option<&str>, pools: impl Iterator<Item = String>) {
        let lists = pools.filter_map(|pool| Some(format!("{}/{pool}", prefix?)));
        self.lists.borrow_mut().follow(lists);
        self.prefix.replace(prefix.map(str::to_string));
    }

    /// Takes in the list that a pool had before it shared it. Its evidence is `age` old; `own` gets the time of it.
    pub(super) fn hold_own(
        &self,
        pool: &str,
        age: Micros,
        own: impl FnOnce(Micros) -> Option<OwnList>,
    ) {
        let Some(list) = self.list_name(pool) else {
            return;
        };
        let mut lists = self.lists.borrow_mut();
        if lists.evidence_at(&list).is_some() {
            return;
        }
        if let Some(own) = own(boottime().saturating_sub(age)) {
            lists.hold_own(&list, own);
        }
    }

    /// The name of a pool's list within the fleet; none if the list is not shared.
    fn list_name(&self, pool: &str) -> Option<String> {
        let list = format!("{}/{pool}", self.prefix.borrow().as_ref()?);
        self.lists.borrow().follows(&list).then_some(list)
    }

    /// Whether this pool's list is shared.
    pub(super) fn shares(&self, pool: &str) -> bool {
        self.list_name(pool).is_some()
    }

    /// Notified whenever a report to the agent is due immediately.
    pub(super) fn report_signal(&self) -> Rc<Notify> {
        Rc::clone(&self.report_signal)
    }

    /// Handles a list update from discovery. `text` gives the complete list of the pool.
    pub(super) fn discovery_updated(&self, pool: &str, index: u64, text: impl FnOnce() -> String) {
        let Some(list) = self.list_name(pool) else {
            return;
        };
        let now = boottime();
        let mut lists = self.lists.borrow_mut();
        let was_too_long = lists.is_too_long(&list);
        let report_now = lists.discovery_updated(now, &list, index, text());
        if lists.is_too_long(&list) && !was_too_long {
            tracing::warn!(%pool, "{pool}: its list is too long to be shared: each instance calls discovery itself");
        }
        if report_now {
            tracing::info!(%pool, index, "{pool}: version {index} of its list, from discovery");
        }
        if report_now && now.saturating_sub(self.last_signal.get()) >= MIN_REPORT_INTERVAL {
            self.last_signal.set(now);
            self.report_signal.notify_one();
        }
    }

    /// Handles a heartbeat of discovery: nothing has changed.
    pub(super) fn discovery_confirmed(&self, pool: &str) {
        if let Some(list) = self.list_name(pool) {
            self.lists
                .borrow_mut()
                .discovery_confirmed(boottime(), &list);
        }
    }

    /// Handles the end of the watch for this pool's list.
    pub(super) fn watch_ended(&self, pool: &str) {
        if let Some(list) = self.list_name(pool) {
            self.lists.borrow_mut().watch_ended(&list);
        }
    }

    /// Drops the state of this pool's list, because it came from another discovery service.
    pub(super) fn forget(&self, pool: &str) {
        if let Some(list) = self.list_name(pool) {
            self.lists.borrow_mut().forget(&list);
        }
    }

    /// Whether a complete list of this version from discovery may be applied; see
    /// [`SharedEndpointLists::accepts_from_discovery`].
    pub(super) fn accepts_from_discovery(
        &self,
        pool: &str,
        index: u64,
        max_poll_interval: Micros,
    ) -> bool {
        self.list_name(pool).is_none_or(|list| {
            self.lists
                .borrow()
                .accepts_from_discovery(boottime(), &list, index, max_poll_interval)
        })
    }

    /// The age of the evidence for this pool's list; none if it is not shared, or no update was received.
    pub(super) fn evidence_age(&self, pool: &str) -> Option<Micros> {
        let evidence_at = self.lists.borrow().evidence_at(&self.list_name(pool)?)?;
        Some(boottime().saturating_sub(evidence_at))
    }

    /// Waits until discovery has to be called for this pool. If no update of its list was received yet, waits for
    /// `first_wait` so that the fleet can share it.
    pub(super) async fn wait_until_call_due(
        &self,
        pool: &str,
        max_poll_interval: Micros,
        first_wait: Micros,
    ) {
        let Some(list) = self.list_name(pool) else {
            return;
        };
        let first_call_at = boottime().saturating_add(first_wait);
        let schedule = DiscoveryCallSchedule::within(max_poll_interval);
        let delay = RandomState::new().hash_one(0) % schedule.spread.max(1);
        let due = || {
            self.lists
                .borrow()
                .discovery_call_due(&list, schedule.earliest_age.saturating_add(delay))
                .unwrap_or(first_call_at)
        };
        while let Some(left) = due().checked_sub(boottime()).filter(|left| *left > 0) {
            if self.lists.borrow_mut().take_agent_refresh(
                boottime(),
                &list,
                agent_refresh_age(max_poll_interval),
            ) {
                self.report_signal.notify_one();
            }
            tokio::time::sleep(MAX_SLEEP.min(Duration::from_micros(left))).await;
        }
    }

    /// The reports for the agent as of now; none if no list is shared.
    pub(super) fn report(&self) -> Option<EndpointListReports> {
        let mut lists = self.lists.borrow_mut();
        (!lists.is_empty()).then(|| lists.report(boottime()))
    }

    /// Handles updates from the agent. Newer lists are passed to `apply`, with the name of the pool and the age of the
    /// evidence; it returns an error if the list is invalid. `call` gets the pools for which discovery is to be called,
    /// `end_watch` those whose watch is no longer needed. Returns whether the agent wants a report immediately.
    pub(super) fn agent_updated(
        &self,
        updates: &EndpointListUpdates,
        mut apply: impl FnMut(&str, &Offer, Micros) -> Result<(), String>,
        call: impl Fn(&str),
        end_watch: impl Fn(&str),
    ) -> bool {
        let now = boottime();
        let UpdateOutcome {
            offers,
            report_now,
            call_discovery,
            stop_watching,
        } = self.lists.borrow_mut().agent_updated(now, updates);
        let pool_name = |list: &str| {
            list.rsplit_once('/')
                .map_or(String::new(), |(_, pool)| pool.to_string())
        };
        call_discovery
            .iter()
            .for_each(|list| call(&pool_name(list)));
        stop_watching
            .iter()
            .for_each(|list| end_watch(&pool_name(list)));
        for offer in offers {
            let pool = pool_name(&offer.list);
            let age = now.saturating_sub(offer.evidence_at);
            match apply(&pool, &offer, age) {
                Ok(()) => {
                    let (index, age) = (offer.version.index, age / 1_000);
                    tracing::info!(%pool, index, "{pool}: version {index} of its list, {age} ms old, by way of the agent");
                    self.lists.borrow_mut().adopt(offer);
                }
                Err(error) => {
                    tracing::warn!(%pool, "{pool}: rejected a list by way of the agent: {error}")
                }
            }
        }
        report_now
    }

    /// The lists for the admin view; null if no list is shared.
    pub(super) fn view(&self) -> Value {
        let (lists, now) = (self.lists.borrow(), boottime());
        if lists.is_empty() {
            return Value::Null;
        }
        let entry = |held: HeldListStatus<'_>| {
            let age = now.saturating_sub(held.evidence_at);
            let view = json!({"version": held.index, "age_us": age});
            (held.name.to_string(), view)
        };
        Value::Object(lists.statuses().map(entry).collect())
    }
}
