//! What an instance remembers of servers, classes and requests. Plain data and what follows from it at
//! once, by the tunables of `decide.rs`, where all else is concluded.

use crate::decide::*;
use crate::discovery_poll::DiscoveryPoll;
use crate::interface::*;
use foldhash::quality::FixedState;
use oorandom::Rand64;
use smallvec::SmallVec;
use std::collections::{BTreeMap, HashMap};

/// A quantile followed by multiplicative steps, large ones at first.
#[derive(Clone, Copy)]
pub(crate) struct Quantile {
    pub at: f64,
    part: f64,
    step: f64,
}

impl Quantile {
    /// Begins at a guess.
    pub fn new(guess: f64, part: f64) -> Self {
        Quantile {
            at: guess,
            part,
            step: STEPS.0,
        }
    }

    pub fn add(&mut self, x: f64) {
        self.step = (STEPS.1 * self.step).max(STEPS.2);
        self.at *= if x > self.at {
            1.0 + self.step * self.part
        } else {
            1.0 - self.step * (1.0 - self.part)
        };
    }
}

/// A mean in which the latest value weighs `step`.
#[derive(Clone, Copy)]
pub(crate) struct Mean {
    pub at: f64,
    pub step: f64,
}

impl Mean {
    pub fn add(&mut self, x: f64) {
        self.at += self.step * (x - self.at);
    }
}

/// A sum that fades: it stands for what was added over about one span.
#[derive(Clone, Copy)]
pub(crate) struct Fading {
    sum: f64,
    at: Micros,
    span: f64,
    since: Option<Micros>,
}

impl Fading {
    pub fn over(span: f64) -> Self {
        Fading {
            sum: 0.0,
            at: 0,
            span,
            since: None,
        }
    }

    pub fn add(&mut self, now: Micros, x: f64) {
        self.since = self.since.or(Some(now));
        self.sum = self.get(now) + x;
        self.at = now;
    }

    pub fn get(&self, now: Micros) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / self.span).exp()
    }

    /// What was added in a microsecond, without end until that is known. A sum younger than its span stands
    /// for its age alone: else every start would look like a service that answers little.
    pub fn rate(&self, now: Micros) -> f64 {
        match self.since {
            Some(since) if since < now => {
                let age = (now - since) as f64;
                self.get(now) / (self.span * (1.0 - (-age / self.span).exp()))
            }
            _ => f64::INFINITY,
        }
    }
}

/// First tries over which the longest that was left for one fades.
const FIRST_TRIES: Micros = 1_024;

/// What is learned of a class.
pub(crate) struct ClassSeen {
    /// A low quantile of its answers' times: its work, where requests carry no hint.
    pub cost: Quantile,
    /// A high quantile of its answers' times.
    pub slow: Quantile,
    /// Its requests that are not settled.
    pub open: u32,
    /// Mean work of its requests, by their hints, as a part of the aim.
    pub work: Mean,
    /// Lately served requests, arrived work, and mean time to the end as a part of the aim.
    pub served: Fading,
    pub arrived: Fading,
    pub delay: f64,
    /// When one was last refused for overload.
    pub refused: Option<Micros>,
    /// The longest time that clients of late left for a first try.
    pub first_left: Micros,
    /// Its requests that a level has turned away.
    pub given_up: u64,
    /// No new request names it.
    pub retired: bool,
}

impl ClassSeen {
    /// A class that nothing is known of but its settings.
    pub fn new(c: &Class) -> Self {
        let aim = c.aim as f64;
        ClassSeen {
            cost: Quantile::new(COST.0 * aim, COST.1),
            slow: Quantile::new(SLOW.0 * aim, SLOW.1),
            work: Mean { at: 0.0, step: 1.0 },
            open: 0,
            // Answers that take seconds are few: over a short span a slow class would look unserved.
            served: Fading::over(RATE_SPAN.max(AIMS * aim)),
            arrived: Fading::over(LANE_SPAN),
            delay: 0.0,
            refused: None,
            first_left: 0,
            given_up: 0,
            retired: false,
        }
    }

    /// What was learned of a class under other settings. The work stays what it was, parts of the aim do not.
    fn under(&self, was: &Class, is: &Class) -> Self {
        let scale = was.aim as f64 / is.aim.max(1) as f64;
        let work = Mean {
            at: (self.work.at * scale).min(1.0),
            step: self.work.step,
        };
        ClassSeen {
            work,
            open: 0,
            // As an answer's, for more would shut the class: while it is refused, nothing brings it down again.
            delay: (self.delay * scale).min(1.0),
            refused: None,
            first_left: 0,
            given_up: 0,
            retired: false,
            ..*self
        }
    }

    /// A first try has come for which its client leaves this much. The longest fades: one client that waits longer
    /// than all others must not have their repeats taken for old from then on.
    pub fn first_try(&mut self, left: Micros) {
        let fading = self.first_left.saturating_sub(left).div_ceil(FIRST_TRIES);
        self.first_left = left.max(self.first_left - fading);
    }

    /// Takes a request's time to the end into the mean. It is one over time: over a few answers, one slow server
    /// would look like a slow service where answers are many.
    pub fn delayed(&mut self, now: Micros, part_of_aim: f64) {
        let answers = (self.served.rate(now) * DELAY_SPAN).clamp(DELAYS.0, DELAYS.1);
        self.delay += (part_of_aim - self.delay) / answers;
    }
}

/// An attempt that is out at a server.
pub(crate) struct Out {
    pub request: RequestId,
    pub attempt: u32,
    pub size: f64,
    pub sent: Micros,
    pub due: Micros,
}

/// Sums over some servers.
#[derive(Default)]
pub(crate) struct Seen {
    pub servers: f64,
    pub size: f64,
    pub time: f64,
    pub capacity: f64,
}

impl Seen {
    pub fn add(&mut self, server: &Server) {
        self.servers += 1.0;
        self.size += server.size_sum;
        self.time += server.time_sum;
        self.capacity += server.listed.capacity;
    }
}

pub(crate) struct Server {
    pub listed: Listed,
    pub out: Vec<Out>,
    pub out_size: f64,
    /// Sums over answers: what was served, and the time that all attempts took.
    pub size_sum: f64,
    pub time_sum: f64,
    /// Whether an answer came since the value was last computed.
    pub answered: bool,
    pub value: f64,
    pub last_answer: Micros,
    pub failures: u32,
    /// Attempts that lately ended and may have run, and those of them that were lost. Losses in a row wait for the
    /// answer that shows that the server lives: till then it may be dead, which is another matter.
    pub ended: Fading,
    pub lost: Fading,
    pub in_a_row: f64,
    /// The part that it loses of what it is sent, as of the last tuning.
    pub loses: f64,
    pub ejected_until: Option<Micros>,
    pub ejection: Micros,
    pub cold_budget: f64,
    pub cold_filled: Micros,
    pub cold_rate: f64,
    pub cold_most: f64,
    /// When a probe of it last ended, and what it told.
    pub report: Option<(Micros, Option<Report>)>,
    /// Which lane it is in, if it is ready: that of the long classes, or the other.
    pub long: Option<bool>,
}

impl Server {
    pub fn new(listed: Listed, now: Micros, owed: f64) -> Self {
        Server {
            listed,
            out: Vec::new(),
            out_size: 0.0,
            size_sum: 0.0,
            time_sum: 0.0,
            answered: false,
            value: 0.0,
            last_answer: now,
            failures: 0,
            ended: Fading::over(LOSSES),
            lost: Fading::over(LOSSES),
            in_a_row: 0.0,
            loses: 0.0,
            ejected_until: None,
            ejection: 0,
            cold_budget: -owed,
            cold_filled: now,
            cold_rate: 0.0,
            cold_most: 0.0,
            report: None,
            long: None,
        }
    }

    /// Requests that a fresh probe told of: no end of them where it was not answered.
    pub fn reported(&self, now: Micros) -> f64 {
        match self.report {
            Some((at, report)) if now <= at + FRESH => {
                report.map_or(f64::INFINITY, |r| r.held + FAILING * r.errors)
            }
            _ => 0.0,
        }
    }

    /// The part that it loses of what it is sent, as far as there is no doubt.
    pub fn share_lost(&self, now: Micros) -> f64 {
        (self.lost.get(now) - DOUBT).max(0.0) / self.ended.get(now).max(1.0)
    }

    /// What it may still be given while it is cold.
    pub fn cold_left(&self, now: Micros) -> f64 {
        let filled = now.saturating_sub(self.cold_filled) as f64;
        (self.cold_budget + self.cold_rate * filled).min(self.cold_most)
    }

    /// A hung server completes nothing, so its last value would stand: silence past a due answer tells.
    pub fn stalled(&self, now: Micros) -> bool {
        self.out
            .iter()
            .any(|o| now > o.due && now.saturating_sub(self.last_answer) > o.due - o.sent)
    }

    /// The share of its capacity that a young server is held to have.
    pub fn warmth(&self, now: Micros, rules: &Rules) -> f64 {
        let Some(started) = self.listed.started else {
            return 1.0;
        };
        let age = now.saturating_sub(started) as f64 / rules.cold.max(1) as f64;
        (rules.cold_from + (1.0 - rules.cold_from) * age).min(1.0)
    }
}

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// The server, as it was listed when this was sent.
    pub to: Listed,
    pub sent: Micros,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::proves_not_run)
    }
}

pub(crate) struct Request {
    pub class: usize,
    pub key: u64,
    pub size: f64,
    pub came: Micros,
    /// When the answer is no longer waited for.
    pub give_up: Micros,
    pub next_hash: u32,
    /// Servers asked for their load before the first attempt.
    pub looked: SmallVec<[ServerId; 4]>,
    pub attempts: SmallVec<[Attempt; 4]>,
    /// How many it may have.
    pub most_attempts: usize,
    /// While its body is on its way: how long is waited for an answer once it has come.
    pub coming: Option<Micros>,
    /// The client has its answer, or a stream is bound: nothing more is decided.
    pub settled: bool,
}

impl Request {
    pub fn new(
        class: usize,
        key: u64,
        size: f64,
        came: Micros,
        give_up: Micros,
        most_attempts: usize,
    ) -> Self {
        Request {
            class,
            key,
            size,
            came,
            give_up,
            next_hash: 0,
            looked: SmallVec::new(),
            attempts: SmallVec::new(),
            most_attempts,
            coming: None,
            settled: false,
        }
    }

    pub fn live(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }

    pub fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.may_have_run())
    }

    /// Until when an attempt may begin. One that must not run twice and has less time than a slow answer takes may run and yet be
    /// told as failed, whereas a refusal tells its client that another try does no harm. So that none is refused as it comes,
    /// no more is kept back than half of its time.
    fn begin_by(&self, effect: Effect, slow_answer: f64) -> Micros {
        let whole = self.give_up.saturating_sub(self.came);
        let kept_back = if effect == Effect::Unsafe {
            (slow_answer as Micros).min(whole / 2)
        } else {
            0
        };
        self.give_up - kept_back
    }

    /// Until when a further attempt does no harm. An idempotency window counts from the send of the first attempt that may
    /// have run. That is taken to be its choice, which comes before any of its bytes, and a tick is left to spare, so that
    /// what is written before this arrives within the window however late connections come up.
    pub fn write_by(&self, effect: Effect, tick: Micros) -> Micros {
        match (self.first_run(), effect) {
            (None, _) | (_, Effect::Safe) => Micros::MAX,
            (Some(_), Effect::Unsafe) => 0,
            (Some(first), Effect::Keyed { window, .. }) => {
                (first.sent + window).saturating_sub(tick)
            }
        }
    }
}

/// One instance of the balancer. It decides in `decide.rs`.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) shortest_aim: f64,
    pub(crate) random: Rand64,
    pub(crate) started: bool,
    pub(crate) seed: u64,
    /// Servers that a lane may hold, as it stood when the lanes were last set.
    pub(crate) reached: usize,
    /// Requests taken in lately.
    pub(crate) arrivals: Fading,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// The servers that take new work, sorted: the key into the pool.
    pub(crate) ready: Vec<ServerId>,
    /// The ready servers, or where long classes have servers of their own: those of the short, of the long.
    pub(crate) lanes: [Vec<ServerId>; 2],
    pub(crate) lanes_set: Micros,
    pub(crate) pool: BTreeMap<Vec<ServerId>, Interval>,
    pub(crate) requests: HashMap<RequestId, Request, FixedState>,
    /// How many servers to ask for their load: where it may, and is one of so many that what it has out itself
    /// tells little of a server.
    pub(crate) asks: usize,
    pub(crate) classes: Vec<ClassSeen>,
    /// Requests lately come, for each tenant.
    pub(crate) tenants: Vec<Fading>,
    pub(crate) mean_size: Mean,
    pub(crate) mean_time: Mean,
    /// Work lately served.
    pub(crate) served: Fading,
    pub(crate) retry_budget: f64,
    /// What the level of service that holds gives up.
    pub(crate) reduced: Reduced,
    pub(crate) discovery_poll: DiscoveryPoll,
}

impl Balancer {
    /// A balancer that knows its settings and no server yet.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let shortest_aim = shortest_aim(&settings, |_| false);
        let mean = Mean {
            at: COST.0 * settings.classes[0].aim as f64,
            step: WEIGHT,
        };
        Ok(Balancer {
            shortest_aim,
            random: Rand64::new(u128::from(seed)),
            started: false,
            seed,
            reached: 0,
            arrivals: Fading::over(HEARD.1),
            servers: BTreeMap::new(),
            ready: Vec::new(),
            lanes: [Vec::new(), Vec::new()],
            lanes_set: 0,
            pool: BTreeMap::new(),
            requests: HashMap::with_hasher(FixedState::default()),
            asks: asks(&settings),
            classes: settings.classes.iter().map(ClassSeen::new).collect(),
            mean_size: mean,
            mean_time: mean,
            tenants: vec![Fading::over(RATE_SPAN); settings.tenants.len()],
            served: Fading::over(RATE_SPAN),
            retry_budget: RETRY_BUDGET.1,
            reduced: Reduced::default(),
            discovery_poll: DiscoveryPoll::new(),
            settings,
        })
    }

    /// Tells that the instances of the fleet are numbered from 0, and the number of this one. They then call discovery at times
    /// that are spread evenly, and not by chance.
    pub fn set_ordinal(&mut self, ordinal: u32) {
        self.discovery_poll.set_ordinal(ordinal);
    }

    /// A request's body is on its way, and goes on as it comes.
    pub(crate) fn coming(&mut self, id: RequestId) {
        let Some(request) = self
            .requests
            .get_mut(&id)
            .filter(|r| !r.settled && r.coming.is_none())
        else {
            return;
        };
        request.coming = Some(request.give_up.saturating_sub(request.came));
        request.give_up = Micros::MAX;
        self.classes[request.class].open -= 1;
        for out in self
            .servers
            .values_mut()
            .flat_map(|s| &mut s.out)
            .filter(|out| out.request == id)
        {
            out.due = Micros::MAX;
        }
    }

    /// A request's body has come whole.
    pub(crate) fn came(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.settled) else {
            return;
        };
        let Some(wait) = request.coming.take() else {
            return;
        };
        (request.came, request.give_up) = (now, now.saturating_add(wait));
        let seen = &mut self.classes[request.class];
        seen.open += 1;
        let due = now.saturating_add((OVERDUE * seen.slow.at) as Micros);
        for out in self
            .servers
            .values_mut()
            .flat_map(|s| &mut s.out)
            .filter(|out| out.request == id)
        {
            (out.sent, out.due) = (now, due);
        }
        actions.push(Action::SetTimer {
            at: request.give_up,
            timer: Timer::Request(id),
        });
    }

    /// Nothing of a request can be sent again.
    pub(crate) fn spent(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.most_attempts = request.attempts.len();
        }
    }

    /// Other settings hold from now on. Of servers and of classes that are still there all that was learned stays.
    pub(crate) fn retune(&mut self, now: Micros, new: &Retuned) {
        let former = std::mem::replace(&mut self.settings, new.settings.clone());
        let mut classes = Vec::with_capacity(self.settings.classes.len());
        for (at, class) in self.settings.classes.iter().enumerate() {
            let learned = new
                .learned
                .get(at)
                .copied()
                .flatten()
                .map(|from| from as usize);
            let known =
                learned.and_then(|from| Some((self.classes.get(from)?, former.classes.get(from)?)));
            let mut seen = known.map_or_else(
                || ClassSeen::new(class),
                |(seen, was)| seen.under(was, class),
            );
            if learned == Some(at) {
                // Its own place: what is open and what clients were seen to do is its own too.
                seen = ClassSeen {
                    open: self.classes[at].open,
                    ..seen
                };
                (seen.refused, seen.first_left) =
                    (self.classes[at].refused, self.classes[at].first_left);
                seen.given_up = self.classes[at].given_up;
            }
            seen.retired = new.retired.get(at).copied().unwrap_or(false);
            classes.push(seen);
        }
        self.classes = classes;
        self.shortest_aim = shortest_aim(&self.settings, |at| self.classes[at].retired);
        self.asks = asks(&self.settings);
        self.tenants
            .resize(self.settings.tenants.len(), Fading::over(RATE_SPAN));
        if !self.ready.is_empty() {
            self.set_lanes(now);
        }
    }
}

impl Balancer {
    /// When a request is over that has had no answer: with its time, or where no attempt is out, once none may begin.
    pub(crate) fn over_at(&self, request: &Request) -> Micros {
        let effect = self.settings.classes[request.class].effect;
        match request.live() {
            0 => request.begin_by(effect, self.classes[request.class].slow.at),
            _ => request.give_up,
        }
    }
}

fn shortest_aim(settings: &Settings, retired: impl Fn(usize) -> bool) -> f64 {
    let live = settings
        .classes
        .iter()
        .enumerate()
        .filter(|(at, _)| !retired(*at));
    live.map(|(_, c)| c.aim).min().unwrap_or(0) as f64
}

/// How many servers to ask for their load: where it may, and is one of so many that what it has out itself tells little.
fn asks(settings: &Settings) -> usize {
    if settings.limits.probes && settings.group_size >= BLIND {
        (PROBES.1 / settings.prices.probe).min(PROBES.0) as usize
    } else {
        0
    }
}
