//! Lists of servers that this instance shares with its fleet: what goes to the agent, what comes of it, and when discovery
//! is called all the same. It knows nothing of services or of the link; what decides is [`madderloom_endpoint_sharing::SharedEndpointLists`].
//!
//! Ages are taken by a clock that also runs while the machine is suspended.

use super::clock::boottime;
use madderloom_endpoint_sharing::{
    DiscoveryCallSchedule, EndpointListReports, EndpointListUpdates, HeldListStatus, Micros, Offer,
    SharedEndpointLists, UpdateOutcome, agent_refresh_age,
};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The shortest gap between two reports that a list brings about, in microseconds. What changes within it goes with the
/// next report.
const GAP: Micros = 100_000;
/// The longest sleep before the clock is looked at again: the timers stand still while the machine is suspended, and the
/// agent is to be asked in time.
const LOOK: Duration = Duration::from_millis(250);

/// The lists that this instance shares; nothing where its file shares none.
#[derive(Default)]
pub(super) struct SharedLists {
    share: RefCell<SharedEndpointLists>,
    /// What they go by in the fleet, before the name of the pool.
    name: RefCell<Option<String>>,
    news: Rc<Notify>,
    told: Cell<Micros>,
}

impl SharedLists {
    /// Shares the lists of these pools under this name from now on. What is known of those that stay so is kept.
    pub(super) fn set_pools(&self, name: Option<&str>, pools: impl Iterator<Item = String>) {
        let all = pools.filter_map(|pool| Some(format!("{}/{pool}", name?)));
        self.share.borrow_mut().follow(all);
        self.name.replace(name.map(str::to_string));
    }

    /// What the list of a pool goes by in the fleet; none where it is not shared.
    fn list(&self, pool: &str) -> Option<String> {
        let list = format!("{}/{pool}", self.name.borrow().as_ref()?);
        self.share.borrow().follows(&list).then_some(list)
    }

    /// Whether this pool's list is shared.
    pub(super) fn shares(&self, pool: &str) -> bool {
        self.list(pool).is_some()
    }

    /// Is notified where the agent is to hear of news at once.
    pub(super) fn report_signal(&self) -> Rc<Notify> {
        Rc::clone(&self.news)
    }

    /// Discovery has told this pool's list, all of which is this now.
    pub(super) fn discovery_updated(&self, pool: &str, index: u64, text: impl FnOnce() -> String) {
        let Some(list) = self.list(pool) else { return };
        let now = boottime();
        let mut share = self.share.borrow_mut();
        let was_too_long = share.is_too_long(&list);
        let at_once = share.discovery_updated(now, &list, index, text());
        if share.is_too_long(&list) && !was_too_long {
            tracing::warn!(%pool, "{pool}: its list is too long to be shared: each instance calls discovery itself");
        }
        if at_once {
            tracing::info!(%pool, index, "{pool}: version {index} of its list, from discovery");
        }
        if at_once && now.saturating_sub(self.told.get()) >= GAP {
            self.told.set(now);
            self.news.notify_one();
        }
    }

    /// Discovery has said that it is there and that nothing has changed.
    pub(super) fn discovery_confirmed(&self, pool: &str) {
        if let Some(list) = self.list(pool) {
            self.share
                .borrow_mut()
                .discovery_confirmed(boottime(), &list);
        }
    }

    /// The watch of this pool's list has ended, or is ended.
    pub(super) fn watch_ended(&self, pool: &str) {
        if let Some(list) = self.list(pool) {
            self.share.borrow_mut().watch_ended(&list);
        }
    }

    /// What is known of this pool's list is of another discovery than the one that is followed now.
    pub(super) fn forget(&self, pool: &str) {
        if let Some(list) = self.list(pool) {
            self.share.borrow_mut().forget(&list);
        }
    }

    /// Whether a whole list of this version from discovery may be taken; see [`SharedEndpointLists::accepts_from_discovery`].
    pub(super) fn accepts_from_discovery(
        &self,
        pool: &str,
        index: u64,
        ask_within: Micros,
    ) -> bool {
        self.list(pool).is_none_or(|list| {
            self.share
                .borrow()
                .accepts_from_discovery(boottime(), &list, index, ask_within)
        })
    }

    /// How old the evidence for this pool's list is; none where it is not shared, or nobody has told of it.
    pub(super) fn evidence_age(&self, pool: &str) -> Option<Micros> {
        let evidence_at = self.share.borrow().evidence_at(&self.list(pool)?)?;
        Some(boottime().saturating_sub(evidence_at))
    }

    /// Waits until discovery has to be called for this pool: for the first so many microseconds where nobody has told of its
    /// list yet, so that the fleet may.
    pub(super) async fn wait_until_call_due(&self, pool: &str, ask_within: Micros, first: Micros) {
        let Some(list) = self.list(pool) else { return };
        let first = boottime().saturating_add(first);
        let schedule = DiscoveryCallSchedule::within(ask_within);
        let own = RandomState::new().hash_one(0) % schedule.spread.max(1);
        let due = || {
            self.share
                .borrow()
                .discovery_call_due(&list, schedule.earliest_age.saturating_add(own))
                .unwrap_or(first)
        };
        while let Some(left) = due().checked_sub(boottime()).filter(|left| *left > 0) {
            if self.share.borrow_mut().take_agent_refresh(
                boottime(),
                &list,
                agent_refresh_age(ask_within),
            ) {
                self.news.notify_one();
            }
            tokio::time::sleep(LOOK.min(Duration::from_micros(left))).await;
        }
    }

    /// What goes with a report that is made now; none where no list is shared.
    pub(super) fn report(&self) -> Option<EndpointListReports> {
        let mut share = self.share.borrow_mut();
        (!share.is_empty()).then(|| share.report(boottime()))
    }

    /// The agent's word has come. What goes before what is held is given to `apply`, with the pool's name and its age,
    /// which says whether it makes sense; `call` and `rest` are told of pools for which discovery is to be called, and of
    /// those for which it need not be watched. Gives whether the agent wants a report at once.
    pub(super) fn agent_updated(
        &self,
        lists: &EndpointListUpdates,
        mut apply: impl FnMut(&str, &Offer, Micros) -> Result<(), String>,
        call: impl Fn(&str),
        rest: impl Fn(&str),
    ) -> bool {
        let now = boottime();
        let UpdateOutcome {
            offers,
            report_now,
            call_discovery,
            stop_watching,
        } = self.share.borrow_mut().agent_updated(now, lists);
        let pool = |list: &str| {
            list.rsplit_once('/')
                .map_or(String::new(), |(_, pool)| pool.to_string())
        };
        call_discovery.iter().for_each(|list| call(&pool(list)));
        stop_watching.iter().for_each(|list| rest(&pool(list)));
        for offer in offers {
            let pool = pool(&offer.list);
            let age = now.saturating_sub(offer.evidence_at);
            match apply(&pool, &offer, age) {
                Ok(()) => {
                    let (index, age) = (offer.version.index, age / 1_000);
                    tracing::info!(%pool, index, "{pool}: version {index} of its list, {age} ms old, by way of the agent");
                    self.share.borrow_mut().adopt(offer);
                }
                Err(problem) => {
                    tracing::warn!(%pool, "{pool}: a list by way of the agent: {problem}")
                }
            }
        }
        report_now
    }

    /// What the admin view shows; nothing where no list is shared.
    pub(super) fn view(&self) -> Value {
        let (share, now) = (self.share.borrow(), boottime());
        if share.is_empty() {
            return Value::Null;
        }
        let list = |held: HeldListStatus<'_>| {
            let age = now.saturating_sub(held.evidence_at);
            let view = json!({"version": held.index, "age_us": age});
            (held.name.to_string(), view)
        };
        Value::Object(share.statuses().map(list).collect())
    }
}
