//! A hollow instance: the state machines of a real one over real TLS connections, without a data path.
//!
//! Registration, reports, the watch and orders are those of [`madderloom_agent::Link`] and
//! [`madderloom_control_plane::Instance`], the lease of limits is [`madderloom_quota_leases::Holder`], lists are
//! [`madderloom_endpoint_sharing::SharedEndpointLists`]. An overlay is checked and compared as the sidecar does it, and then kept.

use super::lists::{Discovery, SharedLists};
use super::places;
use super::protocol::Manner;
use super::switch::{Switch, SwitchedDial};
use super::usage;
use madderloom_agent::traffic::TrafficCounters;
use madderloom_agent::{ApplyFuture, Client, Link, LinkHandler};
use madderloom_control_plane::gate::Counts;
use madderloom_control_plane::protocol::{Outcome, ToAgent, ToInstance, Who};
use madderloom_control_plane::settings::{Key, MOST_SETTINGS, Overlay, Value};
use madderloom_control_plane::{Instance, Memory, Problem};
use madderloom_endpoint_sharing::{EndpointListReports, EndpointListUpdates};
use madderloom_pki::Keyring;
use madderloom_quota_leases::{Asks, Holder, Lent, Safe};
use rustix::time::{ClockId, clock_gettime};
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::task::AbortHandle;

/// The server whose weight a change of the rig sets; the weight is the change's number.
pub const MARKER: &str = "marker";

/// Of a thousand requests, those that end badly.
const BAD_OF_A_THOUSAND: u64 = 1;

/// What all instances of a process share.
pub struct Shared {
    /// The address of the agent, or those of the relays by zone.
    pub agents: Vec<String>,
    /// The keys of all instances.
    pub keyring: Arc<Keyring>,
    /// What the instances are like.
    pub manner: Manner,
    /// What has passed.
    pub counters: Arc<TrafficCounters>,
    /// What discovery lists.
    pub discovery: Discovery,
}

/// What outlives a start of an instance, and what is seen of it.
#[derive(Default)]
struct Seen {
    memory: RefCell<Memory>,
    in_force: Cell<Option<(u32, u64)>>,
    /// A report was made since the mark. An answer to one that was made before says nothing of its session.
    reported: Cell<bool>,
    renewed: Cell<Option<u64>>,
}

/// A hollow instance, started or not.
pub struct Hollow {
    /// Its number.
    pub number: usize,
    shared: Rc<Shared>,
    switch: Arc<Switch>,
    seen: Rc<Seen>,
    tasks: Vec<AbortHandle>,
}

impl Hollow {
    /// One that is not started.
    pub fn new(number: usize, shared: &Rc<Shared>) -> Self {
        let switch = Switch::new(Arc::clone(&shared.counters));
        Hollow {
            number,
            shared: Rc::clone(shared),
            switch,
            seen: Rc::default(),
            tasks: Vec::new(),
        }
    }

    /// Starts it, with what the last start kept. A former start ends.
    ///
    /// # Errors
    /// What is wrong with the agent's address or the keys.
    pub fn start(&mut self) -> Result<(), String> {
        self.stop();
        self.switch.release();
        let who = who(self.number);
        let seed = u128::from(who.start);
        let memory = self.seen.memory.borrow().clone();
        let machine = Instance::new(0, who, places::traits(self.number), memory);
        let lists = SharedLists::new(self.shared.manner.lists, Rc::clone(&self.shared.discovery));
        let settings = HollowSettings {
            manner: self.shared.manner.clone(),
            counters: Arc::clone(&self.shared.counters),
            seen: Rc::clone(&self.seen),
            holder: holder(&self.shared.manner),
            lists: Rc::clone(&lists),
        };
        let link = Link::new(machine, settings, self.client()?, self.client()?, seed)
            .reporting_on(lists.news());
        let link = tokio::task::spawn_local(link.run());
        self.tasks = lists.follow_discovery();
        self.tasks.push(link.abort_handle());
        Ok(())
    }

    /// Ends it.
    pub fn stop(&mut self) {
        self.tasks.drain(..).for_each(|task| task.abort());
    }

    /// Holds its links.
    pub fn hold(&self) {
        self.switch.hold();
    }

    /// Releases its links.
    pub fn release(&self) {
        self.switch.release();
    }

    /// Forgets when its lease was last renewed.
    pub fn mark(&self) {
        self.seen.reported.set(false);
        self.seen.renewed.set(None);
    }

    /// When its lease was first renewed by a report that it made since the mark.
    pub fn renewed(&self) -> Option<u64> {
        self.seen.renewed.get()
    }

    /// Since when the change of this number is in effect, where it is the newest.
    pub fn in_force(&self, marker: u32) -> Option<u64> {
        self.seen
            .in_force
            .get()
            .filter(|(of, _)| *of == marker)
            .map(|(_, at)| at)
    }

    fn client(&self) -> Result<Client, String> {
        let agents = &self.shared.agents;
        let agent = agents.get(places::zone_number(self.number) % agents.len().max(1));
        let agent = agent.ok_or("no agent is named")?;
        let client = Client::with_keyring(agent, &self.shared.keyring)?;
        Ok(client.with_dialer(Arc::new(SwitchedDial(Arc::clone(&self.switch)))))
    }
}

/// A new start of an instance, as the sidecar makes it.
fn who(number: usize) -> Who {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Who {
        name: places::name(number),
        start: RandomState::new().hash_one(number),
        incarnation: u64::try_from(unix.as_micros()).unwrap_or(u64::MAX / 2),
    }
}

fn holder(manner: &Manner) -> Holder {
    let mut holder = Holder::default();
    let limits = (0..manner.limits).map(|limit| (limit_name(limit), Safe::Nothing));
    holder.follow(boottime(), limits);
    holder
}

/// The name of a fleet-wide limit.
pub fn limit_name(limit: usize) -> String {
    format!("limit-{limit}")
}

/// Microseconds by a clock that also runs while the machine is suspended.
pub fn boottime() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    seconds
        .saturating_mul(1_000_000)
        .saturating_add(u64::try_from(time.tv_nsec / 1_000).unwrap_or(0))
}

/// What the link asks of a hollow instance.
struct HollowSettings {
    manner: Manner,
    counters: Arc<TrafficCounters>,
    seen: Rc<Seen>,
    holder: Holder,
    lists: Rc<SharedLists>,
}

/// Checks an overlay as the sidecar does before it takes it.
fn check(overlay: &Overlay) -> Result<(), Problem> {
    if overlay.0.len() > MOST_SETTINGS {
        let problem = format!("holds more than {MOST_SETTINGS} settings");
        return Err(Problem {
            field: "set".into(),
            problem,
        });
    }
    let fault = overlay
        .0
        .iter()
        .find_map(|(key, value)| Some((key, value.check(key).err()?)));
    fault.map_or(Ok(()), |(key, problem)| {
        Err(Problem {
            field: format!("set.{key}"),
            problem,
        })
    })
}

impl LinkHandler for HollowSettings {
    fn apply(&mut self, overlay: &Overlay) -> ApplyFuture {
        let outcome = match check(overlay) {
            Ok(()) => Outcome::Applied,
            Err(problem) => Outcome::Refused(problem),
        };
        let former = &self.seen.memory.borrow().overlay;
        tracing::trace!("{} differences", former.diff(overlay).len());
        if let Some(Value::Weight(marker)) = overlay.0.get(&Key::Weight(MARKER.into())) {
            self.seen.in_force.set(Some((*marker, usage::now())));
        }
        Box::pin(std::future::ready(outcome))
    }

    fn request_counts(&mut self) -> Counts {
        let ended = self.manner.requests;
        Counts {
            ended,
            bad: ended * BAD_OF_A_THOUSAND / 1_000,
        }
    }

    fn persist(&mut self, memory: &Memory) {
        self.seen.memory.replace(memory.clone());
    }

    fn lease_requests(&mut self, term: u64) -> Option<Asks> {
        if self.manner.requests > 0 {
            // One request a report: there is demand, and what it comes to is of no matter here.
            for limit in 0..self.manner.limits {
                let name = limit_name(limit);
                if self.holder.admit(boottime(), &name).is_ok() {
                    self.holder.end(&name);
                }
            }
        }
        self.holder.hear(term);
        (!self.holder.is_empty()).then(|| self.holder.ask(boottime()))
    }

    fn grant_received(&mut self, lent: &Lent) -> bool {
        self.holder.take(boottime(), lent)
    }

    fn list_reports(&mut self) -> Option<EndpointListReports> {
        self.lists.tell()
    }

    fn lists_received(&mut self, lists: &EndpointListUpdates) -> bool {
        self.lists.hear(lists)
    }

    fn message_sent(&mut self, message: &ToAgent) {
        self.counters.add_messages_out(1);
        if matches!(message, ToAgent::Report(_)) {
            self.seen.reported.set(true);
        }
    }

    fn message_received(&mut self, message: &ToInstance) {
        self.counters.add_messages_in(1);
        let is_renewed = matches!(message, ToInstance::Renewed { .. }) && self.seen.reported.get();
        if is_renewed && self.seen.renewed.get().is_none() {
            self.seen.renewed.set(Some(usage::now()));
        }
    }
}
