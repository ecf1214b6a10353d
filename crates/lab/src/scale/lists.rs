//! The lists of servers that a hollow instance shares, and a discovery that answers at once.
//!
//! When discovery is called, and what is told of it, follows `shared_lists.rs` of the sidecar; what decides is
//! [`madderloom_endpoint_sharing::SharedEndpointLists`]. The discovery is a number in this process: its calls cost nothing here.

use super::hollow::boottime;
use madderloom_endpoint_sharing::{
    DiscoveryCallSchedule, EndpointListReports, EndpointListUpdates, SharedEndpointLists,
    agent_refresh_age,
};
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// Whoever has not asked for so long is held to know the list, in microseconds.
const ASK_WITHIN: u64 = 10_000_000;
/// How often an instance that does not watch looks whether it has to call.
const LOOK: Duration = Duration::from_millis(250);
/// How often discovery says over a watch that it is there.
const BEAT: Duration = Duration::from_secs(1);
/// Servers in each list.
const SERVERS: usize = 10;

/// The version of all lists that discovery has.
pub type Discovery = Rc<Cell<u64>>;

/// One list, and whether this instance watches discovery for it.
struct Pool {
    list: String,
    /// Wakes the task that waits for the time to call discovery.
    call: Notify,
    watches: Cell<bool>,
}

/// The lists that one instance shares.
pub struct SharedLists {
    pools: Vec<Rc<Pool>>,
    discovery: Discovery,
    share: RefCell<SharedEndpointLists>,
    news: Rc<Notify>,
}

impl SharedLists {
    /// Shares so many lists.
    pub fn new(lists: usize, discovery: Discovery) -> Rc<Self> {
        let pool = |number: usize| {
            let list = format!("shop/pool-{number:04}");
            Rc::new(Pool {
                list,
                call: Notify::new(),
                watches: Cell::new(false),
            })
        };
        let pools: Vec<Rc<Pool>> = (0..lists).map(pool).collect();
        let mut share = SharedEndpointLists::default();
        share.follow(pools.iter().map(|pool| pool.list.clone()));
        Rc::new(SharedLists {
            pools,
            discovery,
            share: RefCell::new(share),
            news: Rc::default(),
        })
    }

    /// Is notified where the agent is to hear of news at once.
    pub fn news(&self) -> Rc<Notify> {
        Rc::clone(&self.news)
    }

    /// What goes with a report that is made now.
    pub fn tell(&self) -> Option<EndpointListReports> {
        let mut share = self.share.borrow_mut();
        (!share.is_empty()).then(|| share.report(boottime()))
    }

    /// The agent's word has come. Gives whether the agent wants a report at once.
    pub fn hear(&self, lists: &EndpointListUpdates) -> bool {
        let mut share = self.share.borrow_mut();
        let outcome = share.agent_updated(boottime(), lists);
        outcome
            .offers
            .into_iter()
            .for_each(|offer| share.adopt(offer));
        for pool in &self.pools {
            if outcome.stop_watching.contains(&pool.list) {
                pool.watches.set(false);
                share.watch_ended(&pool.list);
            }
            if outcome.call_discovery.contains(&pool.list) {
                pool.call.notify_one();
            }
        }
        outcome.report_now
    }

    /// A task for each list, which calls discovery when that is due.
    pub fn follow_discovery(self: &Rc<Self>) -> Vec<AbortHandle> {
        let follow = |pool: &Rc<Pool>| {
            let (own, pool) = (Rc::clone(self), Rc::clone(pool));
            tokio::task::spawn_local(async move { own.follow(&pool).await }).abort_handle()
        };
        self.pools.iter().map(follow).collect()
    }

    /// Calls discovery when it is due, and watches it for as long as the agent does not say that enough others do.
    async fn follow(&self, pool: &Pool) {
        loop {
            self.until_call_is_due(pool).await;
            pool.watches.set(true);
            let mut told = None;
            while pool.watches.get() {
                self.hear_discovery(pool, &mut told);
                tokio::time::sleep(BEAT).await;
            }
        }
    }

    async fn until_call_is_due(&self, pool: &Pool) {
        let schedule = DiscoveryCallSchedule::within(ASK_WITHIN);
        let own = RandomState::new().hash_one(0) % schedule.spread.max(1);
        let first = boottime().saturating_add(ASK_WITHIN / 5);
        loop {
            let due = self
                .share
                .borrow()
                .discovery_call_due(&pool.list, schedule.earliest_age.saturating_add(own))
                .unwrap_or(first);
            let now = boottime();
            if due <= now {
                return;
            }
            if self.share.borrow_mut().take_agent_refresh(
                now,
                &pool.list,
                agent_refresh_age(ASK_WITHIN),
            ) {
                self.news.notify_one();
            }
            tokio::select! {
                () = tokio::time::sleep(LOOK) => {}
                () = pool.call.notified() => return,
            }
        }
    }

    /// Discovery tells a list that has changed, or else that it is there.
    fn hear_discovery(&self, pool: &Pool, told: &mut Option<u64>) {
        let (version, now) = (self.discovery.get(), boottime());
        let mut share = self.share.borrow_mut();
        if told.replace(version) == Some(version) {
            share.discovery_confirmed(now, &pool.list);
        } else if share.discovery_updated(now, &pool.list, version, text(&pool.list, version)) {
            self.news.notify_one();
        }
    }
}

/// The text of a list, as long as that of a discovery with so many servers.
fn text(list: &str, version: u64) -> String {
    let servers: Vec<_> = (0..SERVERS)
        .map(|server| {
            serde_json::json!({"name": format!("{list}-{server}"), "address": format!("10.0.{server}.1:8080"),
                "zone": "zone-00", "type": "m", "group": 0, "status": "in_service", "weight": 1.0,
                "since_ms": version})
        })
        .collect();
    serde_json::json!({"index": version, "snapshot": true, "endpoints": servers}).to_string()
}
