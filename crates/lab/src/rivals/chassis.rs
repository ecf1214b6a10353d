//! What all rivals share: everything but the choice of the server.
//!
//! The table stakes are those of the decision module, or where it has ideas of its own, what Envoy does by default:
//!
//! - *Discovery*: the list is asked for, and again after a failure, after a random wait below 0.5 s that doubles up to
//!   4 s. Requests that come before the first list are held; where a list is known but names no server that takes
//!   work, they are refused at once ("no healthy upstream").
//! - *Safe drain*: a server that drains or is gone gets nothing from the moment that this is told.
//! - *One final answer*: a tick before the client's time is up at the latest. It is a refusal where another try can
//!   do no harm (nothing may have run, or the class is safe), else a failure. Refusals carry the longest wait that the
//!   site allows as their advice, as those of the decision module do.
//! - *No repeated effect*: an attempt follows another only where that one is over, and where the class allows it:
//!   anything after proof that nothing ran; safe ones always; keyed ones among the servers of the scope and
//!   within the window of the first attempt that may have run; unsafe ones never.
//! - *Retries* as Envoy's retry policy and retry budget describe them: at another server where one is left ("previous
//!   hosts"), after a random wait below 25 ms that doubles up to 250 ms, and only while the requests that are on a
//!   retry are under a fifth of all open ones, or under three. Up to `max_attempts` attempts in all.
//! - *Subsets*: an instance uses all servers, unless its arm names a `subset`: then the ready ones that rank first
//!   by a hash of the server and the instance's seed, as gRPC's random subsetting (A68) does.
//! - *Cold servers* get no care, unless the published policy has a slow start. The rule of safe fail-back is
//!   therefore a policy's own matter: what it breaks of it, the judge tells.
//!
//! No rival refuses early in overload: no published policy here does, where the decision module does.

use super::figures::Figures;
use crate::policy::Policy;
use foldhash::quality::FixedState;
use madderloom_balancer::*;
use oorandom::Rand64;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::BuildHasher;

/// Waits between calls for the list: at first, and at most.
const ASK_AGAIN: (Micros, Micros) = (500_000, 4_000_000);

/// A way to choose a server. It sees what a client-side balancer can see: the list, what it has out itself, how its
/// attempts end, and what probes tell.
pub trait Choice {
    /// The server for a request's next attempt, out of `from`: at least one, in rising order, all ready.
    fn choose(
        &mut self,
        now: Micros,
        request: &NewRequest,
        from: &[ServerId],
        fleet: &Fleet,
    ) -> ServerId;

    /// A request has come; servers named here are probed where the site allows it.
    fn arrived(&mut self, _now: Micros, _fleet: &Fleet, _probes: &mut Vec<ServerId>) {}

    /// The list has changed.
    fn listed(&mut self, _now: Micros, _fleet: &Fleet) {}

    /// A server is gone, or has started again: what was measured of it holds no more.
    fn forget(&mut self, _server: ServerId) {}

    /// An attempt has been sent, of this request and with this number; its end will be told.
    fn sent(&mut self, _now: Micros, _server: ServerId, _attempt: (RequestId, u32)) {}

    /// An attempt is over. `class` is that of its request.
    fn closed(&mut self, _now: Micros, _class: u32, _closed: &AttemptResult, _fleet: &Fleet) {}

    /// A probe has ended.
    fn probed(&mut self, _now: Micros, _server: ServerId, _report: Option<LoadReport>) {}
}

/// A server as an instance knows it.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// As it was last listed.
    pub listed: ServerEntry,
    /// Own attempts that are out there.
    pub out: u32,
}

/// The servers as an instance knows them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: BTreeMap<ServerId, Member>,
    ready: Vec<ServerId>,
    /// Of the ready ones only so many are used, drawn by this seed; all where there is none.
    subset: Option<(usize, u64)>,
}

impl FromIterator<Member> for Fleet {
    fn from_iter<T: IntoIterator<Item = Member>>(members: T) -> Self {
        let members = members.into_iter().map(|m| (m.listed.server, m)).collect();
        let mut fleet = Fleet {
            members,
            ..Fleet::default()
        };
        fleet.update(false, &[]);
        fleet
    }
}

impl Fleet {
    /// Those that take new work and are used, in rising order.
    pub fn ready(&self) -> &[ServerId] {
        &self.ready
    }

    /// A server, if it is listed or has attempts out.
    pub fn get(&self, server: ServerId) -> Option<&Member> {
        self.members.get(&server)
    }

    /// Own attempts that are out at a server.
    pub fn out(&self, server: ServerId) -> u32 {
        self.get(server).map_or(0, |m| m.out)
    }

    /// A server's listed capacity, above 0 whatever is listed.
    pub fn capacity(&self, server: ServerId) -> f64 {
        let listed = self.get(server).map_or(1.0, |m| m.listed.capacity);
        if listed.is_finite() {
            listed.max(1e-9)
        } else {
            1.0
        }
    }

    /// Takes over news; gives back the servers that are gone or have started again.
    fn update(&mut self, whole: bool, list: &[ServerEntry]) -> Vec<ServerId> {
        let mut forget = Vec::new();
        if whole {
            self.members
                .values_mut()
                .for_each(|m| m.listed.state = ServerState::Gone);
        }
        for listed in list {
            let member = self.members.entry(listed.server).or_insert(Member {
                listed: *listed,
                out: 0,
            });
            if listed.started_at > member.listed.started_at {
                forget.push(listed.server);
            }
            member.listed = *listed;
        }
        let gone = self
            .members
            .values()
            .filter(|m| m.listed.state == ServerState::Gone);
        forget.extend(gone.map(|m| m.listed.server));
        self.members
            .retain(|_, m| m.listed.state != ServerState::Gone || m.out > 0);
        let ready = self
            .members
            .values()
            .filter(|m| m.listed.state == ServerState::Ready);
        self.ready = ready.map(|m| m.listed.server).collect();
        if let Some((most, seed)) = self.subset.filter(|(most, _)| *most < self.ready.len()) {
            let own = FixedState::with_seed(seed);
            self.ready.sort_by_cached_key(|id| own.hash_one(id));
            self.ready.truncate(most);
            self.ready.sort_unstable();
        }
        forget
    }
}

/// Figures of the chassis.
#[derive(Clone, Copy, Debug)]
pub struct Stakes {
    /// The part of open requests that may be on a retry...
    retry_share: f64,
    /// ...but so many always may.
    retry_floor: f64,
    /// The longest wait before a first retry, doubled with each...
    backoff: f64,
    /// ...up to this.
    backoff_most: f64,
    /// An attempt times out after this part of the time that is left.
    try_share: f64,
    /// Whether refusals say when to come back.
    retry_after: bool,
    /// Servers that an instance uses; 0 for all.
    subset: usize,
}

impl Stakes {
    /// `retry_share` (0.2), `retry_floor` (3), `backoff_ms` (25), `backoff_most_ms` (250), `try_share` (1: no timeout for
    /// a single attempt, Envoy's default), `retry_after` (1: as the site allows; 0: never) and `subset` (0: all servers are
    /// used).
    pub fn read(figures: &mut Figures<'_>) -> Self {
        Stakes {
            retry_share: figures.take("retry_share", 0.2, 0.0..=1.0),
            retry_floor: figures.take("retry_floor", 3.0, 0.0..=1e6),
            backoff: figures.time("backoff_ms", 25.0),
            backoff_most: figures.time("backoff_most_ms", 250.0),
            try_share: figures.take("try_share", 1.0, 0.01..=1.0),
            retry_after: figures.take("retry_after", 1.0, 0.0..=1.0) > 0.0,
            subset: figures.take("subset", 0.0, 0.0..=1e6) as usize,
        }
    }
}

struct Attempt {
    to: ServerEntry,
    sent: Micros,
    outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::proves_not_executed)
    }
}

/// What an open request waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The first list.
    Held,
    /// Its attempt.
    Out,
    /// Its next attempt, due then.
    Backoff(Micros),
    /// Nothing: the client has its answer, has left, or a stream is bound.
    Settled,
}

struct Open {
    new: NewRequest,
    /// The final answer is given then at the latest.
    give_up: Micros,
    attempts: SmallVec<[Attempt; 4]>,
    stage: Stage,
    /// It is counted among those on a retry.
    retrying: bool,
}

impl Open {
    fn live(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }

    fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.may_have_run())
    }
}

/// A rival: a choice in the chassis.
pub struct Chassis {
    settings: Settings,
    stakes: Stakes,
    choice: Box<dyn Choice>,
    fleet: Fleet,
    random: Rand64,
    started: bool,
    /// Whether any list has come.
    known: bool,
    asking: bool,
    ask_wait: Micros,
    requests: HashMap<RequestId, Open, FixedState>,
    held: BTreeSet<RequestId>,
    /// Requests that are not settled, and of them those on a retry.
    active: u32,
    retrying: u32,
    probes: Vec<ServerId>,
}

impl Policy for Chassis {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.started, true) && self.settings.discovery_on_request {
            self.ask_later(now, actions);
        }
        match event {
            Event::DiscoveryUpdated(news) => self.members(now, news, actions),
            Event::RequestReceived(new) => self.request(now, new, actions),
            Event::ResponseStreamStarted { request, .. } => self.conclude(request),
            Event::AttemptEnded(closed) => self.closed(now, closed, actions),
            Event::ProbeCompleted(server, report) => self.choice.probed(now, server, report),
            Event::ClientDisconnected(id) => self.settle(id, actions),
            Event::TimerFired(Timer::Request(id)) => self.due(now, id, actions),
            Event::TimerFired(Timer::Discovery) => {
                self.asking = false;
                actions.push(Action::PollDiscovery);
            }
            // Virtual time does not stall.
            Event::EventLoopStalled(_) => {}
            // Rivals know no levels: the check lets no arm of theirs have any.
            Event::DegradationChanged(_) | Event::SettingsChanged(_) => {}
            // The lab's bodies are whole when they come.
            Event::ResponseStarted { .. }
            | Event::RequestBodyStarted(_)
            | Event::RequestBodyReceived(_)
            | Event::RequestExpired(_)
            | Event::RetriesDisabled(_) => {}
        }
    }
}

impl Chassis {
    /// A rival with sound settings that knows no server yet.
    pub fn new(settings: Settings, stakes: Stakes, choice: Box<dyn Choice>, seed: u64) -> Self {
        Chassis {
            settings,
            stakes,
            choice,
            fleet: Fleet {
                subset: (stakes.subset > 0).then_some((stakes.subset, seed)),
                ..Fleet::default()
            },
            random: Rand64::new(u128::from(seed)),
            started: false,
            known: false,
            asking: false,
            ask_wait: ASK_AGAIN.0,
            requests: HashMap::with_hasher(FixedState::default()),
            held: BTreeSet::new(),
            active: 0,
            retrying: 0,
            probes: Vec::new(),
        }
    }

    // ---- Discovery ----

    fn ask_later(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.asking, true) {
            let wait = self.random.rand_range(0..self.ask_wait);
            self.ask_wait = (2 * self.ask_wait).min(ASK_AGAIN.1);
            actions.push(Action::SetTimer {
                at: now + wait,
                timer: Timer::Discovery,
            });
        }
    }

    fn members(&mut self, now: Micros, news: DiscoveryUpdate<'_>, actions: &mut Vec<Action>) {
        let (whole, list) = match news {
            DiscoveryUpdate::CallFailed { .. } => {
                actions.push(Action::Log(LogEvent::DiscoveryFailed));
                return self.ask_later(now, actions);
            }
            // It is told how calls end, and by lists.
            DiscoveryUpdate::CallStarted
            | DiscoveryUpdate::CallUnanswered { .. }
            | DiscoveryUpdate::WatchOpened => return,
            DiscoveryUpdate::FullList(list) => (true, list),
            DiscoveryUpdate::ListChanges(list) => (false, list),
        };
        self.ask_wait = ASK_AGAIN.0;
        self.known = true;
        for server in self.fleet.update(whole, list) {
            self.choice.forget(server);
        }
        self.choice.listed(now, &self.fleet);
        for id in std::mem::take(&mut self.held) {
            self.send_or_finish(now, id, actions);
        }
    }

    // ---- Requests ----

    fn request(&mut self, now: Micros, new: NewRequest, actions: &mut Vec<Action>) {
        if new.class as usize >= self.settings.classes.len() {
            return self.refuse(new.id, actions);
        }
        let give_up = now.saturating_add(new.time_left.saturating_sub(self.settings.tick));
        let open = Open {
            new,
            give_up,
            attempts: SmallVec::new(),
            stage: Stage::Held,
            retrying: false,
        };
        self.requests.insert(new.id, open);
        self.active += 1;
        if self.settings.limits.probes {
            self.choice.arrived(now, &self.fleet, &mut self.probes);
            let ready = |s: &ServerId| self.fleet.ready.binary_search(s).is_ok();
            actions.extend(self.probes.drain(..).filter(ready).map(Action::Probe));
        }
        if self.known {
            self.send_or_finish(now, new.id, actions);
        } else {
            self.held.insert(new.id);
        }
        if self.requests.contains_key(&new.id) {
            actions.push(Action::SetTimer {
                at: give_up,
                timer: Timer::Request(new.id),
            });
        }
    }

    /// A timer of a request has come due: its wait for the next attempt, or its time, is over.
    fn due(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id).filter(|o| o.stage != Stage::Settled) else {
            return;
        };
        if now >= open.give_up {
            self.finish(id, actions);
        } else if matches!(open.stage, Stage::Backoff(until) if now >= until) {
            self.send_or_finish(now, id, actions);
        }
    }

    /// Whether one more attempt may go out: never where one may have run that must not run twice.
    fn may_send(&self, now: Micros, open: &Open) -> bool {
        let harmless = match (
            open.first_run(),
            self.settings.classes[open.new.class as usize].retry_safety,
        ) {
            (None, _) | (_, RetrySafety::Idempotent) => true,
            (Some(_), RetrySafety::NonIdempotent) => false,
            (Some(first), RetrySafety::IdempotentWithKey { window, .. }) => {
                now.saturating_add(self.settings.tick) < first.sent.saturating_add(window)
            }
        };
        harmless
            && open.attempts.len() < self.settings.limits.max_attempts as usize
            && now < open.give_up
    }

    /// The servers that may have a request's next attempt: of its group, if it has one, those not yet tried, or if
    /// there are none left, those tried.
    fn candidates(&self, open: &Open) -> Vec<ServerId> {
        let effect = self.settings.classes[open.new.class as usize].retry_safety;
        let in_group = |id: &ServerId| {
            let Some(listed) = self.fleet.get(*id).map(|m| m.listed) else {
                return false;
            };
            match (open.first_run().map(|a| a.to), effect) {
                (
                    Some(first),
                    RetrySafety::IdempotentWithKey {
                        scope: DeduplicationScope::Zone,
                        ..
                    },
                ) => first.zone == listed.zone,
                (
                    Some(first),
                    RetrySafety::IdempotentWithKey {
                        scope: DeduplicationScope::Cell,
                        ..
                    },
                ) => first.cell == listed.cell,
                _ => true,
            }
        };
        let tried = |id: &ServerId| open.attempts.iter().any(|a| a.to.server == *id);
        let group: Vec<ServerId> = self.fleet.ready.iter().copied().filter(in_group).collect();
        let fresh: Vec<ServerId> = group.iter().copied().filter(|id| !tried(id)).collect();
        if fresh.is_empty() { group } else { fresh }
    }

    fn send_or_finish(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id).filter(|o| o.stage != Stage::Settled) else {
            return;
        };
        if !self.may_send(now, open) {
            return self.finish(id, actions);
        }
        let narrowed = if open.attempts.is_empty() {
            None
        } else {
            Some(self.candidates(open))
        };
        let from = narrowed.as_deref().unwrap_or(&self.fleet.ready);
        if from.is_empty() {
            return self.finish(id, actions);
        }
        let server = self.choice.choose(now, &open.new, from, &self.fleet);
        let Some(member) = self.fleet.members.get_mut(&server) else {
            return self.finish(id, actions);
        };
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        member.out += 1;
        let attempt = open.attempts.len() as u32;
        open.attempts.push(Attempt {
            to: member.listed,
            sent: now,
            outcome: None,
        });
        open.stage = Stage::Out;
        let left = (open.give_up - now) as f64 * self.stakes.try_share;
        let timeout_at = now + (left as Micros).max(1);
        self.choice.sent(now, server, (id, attempt));
        actions.push(Action::Send {
            request: id,
            server,
            timeout_at,
            write_by: Micros::MAX,
        });
    }

    fn closed(&mut self, now: Micros, closed: AttemptResult, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&closed.request) else {
            return;
        };
        let attempt = open.attempts.get_mut(closed.attempt as usize);
        let Some(attempt) = attempt.filter(|a| a.outcome.is_none()) else {
            return;
        };
        attempt.outcome = Some(closed.outcome);
        let (to, class) = (attempt.to.server, open.new.class);
        self.retrying -= u32::from(std::mem::take(&mut open.retrying));
        if let Some(member) = self.fleet.members.get_mut(&to) {
            member.out = member.out.saturating_sub(1);
            if member.out == 0 && member.listed.state == ServerState::Gone {
                self.fleet.members.remove(&to);
            }
        }
        self.choice.closed(now, class, &closed, &self.fleet);
        let Some(open) = self.requests.get(&closed.request) else {
            return;
        };
        if closed.request_ended || open.stage == Stage::Settled || closed.outcome == Outcome::Ok {
            self.settle(closed.request, actions);
        } else if !open.live() {
            self.retry(now, closed.request, actions);
        }
    }

    /// Sets the request's next attempt for later, or ends it where it may have none.
    fn retry(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        let budget =
            (self.stakes.retry_share * f64::from(self.active)).max(self.stakes.retry_floor);
        let doublings = open.attempts.len().saturating_sub(1).min(30) as i32;
        let most = (self.stakes.backoff * 2f64.powi(doublings)).min(self.stakes.backoff_most);
        let until = now + (most * self.random.rand_float()) as Micros;
        if !self.may_send(now, open) || f64::from(self.retrying) >= budget || until >= open.give_up
        {
            return self.finish(id, actions);
        }
        self.retrying += 1;
        if let Some(open) = self.requests.get_mut(&id) {
            open.retrying = true;
            open.stage = Stage::Backoff(until);
        }
        if until > now {
            actions.push(Action::SetTimer {
                at: until,
                timer: Timer::Request(id),
            });
        } else {
            self.send_or_finish(now, id, actions);
        }
    }

    // ---- Ends ----

    /// Nothing more is decided.
    fn conclude(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut open.stage, Stage::Settled) != Stage::Settled {
            self.active -= 1;
            self.retrying -= u32::from(std::mem::take(&mut open.retrying));
            self.held.remove(&id);
        }
    }

    /// The request is over, and forgotten once its attempts are.
    fn settle(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.conclude(id);
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        match open.attempts.iter().position(|a| a.outcome.is_none()) {
            Some(at) if self.settings.limits.cancel => {
                actions.push(Action::Cancel {
                    request: id,
                    attempt: at as u32,
                });
            }
            Some(_) => {}
            None => drop(self.requests.remove(&id)),
        }
    }

    fn refuse(&self, request: RequestId, actions: &mut Vec<Action>) {
        let limits = self.settings.limits;
        let advised = limits.retry_after && self.stakes.retry_after;
        actions.push(Action::Reject {
            request,
            retry_after: advised.then_some(limits.max_retry_after),
        });
    }

    /// The final answer.
    fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        let safe =
            self.settings.classes[open.new.class as usize].retry_safety == RetrySafety::Idempotent;
        if safe || open.first_run().is_none() {
            self.refuse(id, actions);
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.settle(id, actions);
    }
}
