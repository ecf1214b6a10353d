//! Every sequence of a handful of events on a very small fleet. After each event, and at the end of time, the brief's four
//! rules are checked by checkers that are told only what goes in and what comes out: none asks the module.
//!
//! Depths grow one by one, so the first sequence that breaks a rule is one of the shortest, and it is printed. No states
//! are merged: a module's state holds means and random numbers, and two that look alike may go on otherwise.

mod common;
use common::*;
use madderloom_balancer::*;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// A rule that was broken, in words.
type Broken = Result<(), String>;

fn rule(holds: bool, broken: impl FnOnce() -> String) -> Broken {
    if holds { Ok(()) } else { Err(broken()) }
}

/// Something that is played move by move, always the same for the same moves.
trait Play: Sized {
    type Move: Copy + Debug + Send + Sync;
    fn new() -> Self;
    fn moves(&self) -> Vec<Self::Move>;
    fn make(&mut self, made: Self::Move) -> Broken;
    fn end(self) -> Broken;

    fn play(moves: &[Self::Move]) -> Result<Self, String> {
        let mut played = Self::new();
        moves.iter().try_for_each(|made| played.make(*made))?;
        Ok(played)
    }
}

/// Plays all sequences of this many moves that begin so, each to the end of time, and counts them.
fn explore<P: Play>(begun: &mut Vec<P::Move>, depth: usize) -> Result<u64, String> {
    let told = |broken: String| format!("{broken}\nafter {begun:?}");
    let played = P::play(begun).map_err(told)?;
    if begun.len() == depth {
        return played
            .end()
            .map(|()| 1)
            .map_err(|broken| format!("{broken}\nat the end of time, after {begun:?}"));
    }
    let mut count = 0;
    for next in played.moves() {
        begun.push(next);
        let found = explore::<P>(begun, depth);
        begun.pop();
        count += found?;
    }
    Ok(count)
}

/// The sequences of each depth up to this one: their numbers, or the first that breaks a rule.
fn every<P: Play>(deepest: usize) -> Result<Vec<u64>, String> {
    let first = P::new().moves();
    let each = |depth: usize| {
        std::thread::scope(|scope| {
            let parts = first
                .iter()
                .map(|first| scope.spawn(move || explore::<P>(&mut vec![*first], depth)));
            let parts: Vec<_> = parts.collect();
            parts
                .into_iter()
                .map(|part| part.join().expect("no checker panics"))
                .sum()
        })
    };
    (1..=deepest).map(each).collect()
}

// ---- The checkers ----

/// *No dropped request*: one final answer for each, no later than its client's deadline; nothing is sent for one that is
/// over.
#[derive(Default)]
struct Answered {
    /// The deadline of each request that came, and whether it is over.
    requests: BTreeMap<RequestId, (Micros, bool)>,
}

impl Answered {
    fn told(&mut self, now: Micros, event: &Event<'_>) {
        match event {
            Event::RequestReceived(new) => {
                _ = self.requests.insert(new.id, (now + new.time_left, false))
            }
            Event::ClientDisconnected(id) => self.over(*id),
            Event::AttemptEnded(closed) if closed.outcome == Outcome::Ok => {
                self.over(closed.request)
            }
            _ => {}
        }
    }

    fn over(&mut self, id: RequestId) {
        self.requests
            .entry(id)
            .and_modify(|request| request.1 = true);
    }

    fn did(&mut self, now: Micros, action: &Action) -> Broken {
        match action {
            Action::Reject { request, .. } | Action::Fail { request } => {
                let (deadline, over) = self.requests[request];
                rule(!over, || format!("dropped: {request} was answered twice"))?;
                rule(now <= deadline, || {
                    format!("dropped: {request} was answered too late")
                })?;
                self.over(*request);
            }
            Action::Send { request, .. } => {
                rule(!self.requests[request].1, || {
                    format!("dropped: {request} was sent on when it was over")
                })?;
            }
            _ => {}
        }
        Ok(())
    }

    fn look(&self, now: Micros) -> Broken {
        let lost = self
            .requests
            .iter()
            .find(|(_, (deadline, over))| !over && now > *deadline);
        rule(lost.is_none(), || {
            format!("dropped: no answer for {lost:?} at {now}")
        })
    }
}

/// *No repeated effect*: what may have run goes out again, or is refused, only within what its class allows; never two
/// attempts at once, nor more than a request may have.
#[derive(Default)]
struct Repeated {
    requests: BTreeMap<RequestId, (RetrySafety, usize, Vec<Tried>)>,
}

struct Tried {
    zone: u32,
    at: Micros,
    outcome: Option<Outcome>,
}

impl Repeated {
    fn told(&mut self, event: &Event<'_>, settings: &Settings) {
        match event {
            Event::RequestReceived(new) => {
                let effect = settings.classes[new.class as usize].retry_safety;
                self.requests.insert(
                    new.id,
                    (effect, settings.limits.max_attempts as usize, Vec::new()),
                );
            }
            Event::AttemptEnded(closed) => {
                let (.., tried) = self.requests.get_mut(&closed.request).expect("it came");
                // The first word on an attempt holds.
                let outcome = &mut tried[closed.attempt as usize].outcome;
                *outcome = outcome.or(Some(closed.outcome));
            }
            _ => {}
        }
    }

    fn did(&mut self, now: Micros, action: &Action, zone: impl Fn(ServerId) -> u32) -> Broken {
        let may_have_run =
            |tried: &&Tried| !tried.outcome.is_some_and(Outcome::proves_not_executed);
        match action {
            Action::Send {
                request,
                server,
                write_by,
                ..
            } => {
                let (effect, most, tried) = self.requests.get_mut(request).expect("it came");
                let zone = zone(*server);
                let first = tried.iter().find(may_have_run);
                let allowed = match (first, *effect) {
                    (None, _) | (_, RetrySafety::Idempotent) => true,
                    (Some(_), RetrySafety::NonIdempotent) => false,
                    (Some(first), RetrySafety::IdempotentWithKey { window, .. }) => {
                        first.zone == zone && now <= first.at + window
                    }
                };
                rule(allowed, || {
                    format!("repeated: {request} went out again and may have run")
                })?;
                // Its connection may come up as late as that.
                let harmless_until = match (first, *effect) {
                    (Some(first), RetrySafety::IdempotentWithKey { window, .. }) => {
                        first.at + window
                    }
                    _ => Micros::MAX,
                };
                rule(*write_by <= harmless_until, || {
                    format!("repeated: {request} may be written at {write_by}, behind its window")
                })?;
                rule(tried.iter().all(|t| t.outcome.is_some()), || {
                    format!("repeated: two of {request} at once")
                })?;
                rule(tried.len() < *most, || {
                    format!("repeated: {request} went out {} times", tried.len() + 1)
                })?;
                tried.push(Tried {
                    zone,
                    at: now,
                    outcome: None,
                });
            }
            Action::Reject { request, .. } => {
                let (effect, _, tried) = &self.requests[request];
                let harmless =
                    *effect == RetrySafety::Idempotent || tried.iter().find(may_have_run).is_none();
                rule(harmless, || {
                    format!("repeated: {request} was refused and may have run")
                })?;
            }
            _ => {}
        }
        Ok(())
    }
}

/// *Safe drain*: nothing goes to a server later than this after the instance was told that it drains or is gone, and
/// nothing ever to one that it was not told of.
const DRAIN_GRACE: Micros = 3 * S;

#[derive(Default)]
struct Drained {
    /// Since when each server that was told of drains or is gone.
    since: BTreeMap<ServerId, Option<Micros>>,
}

impl Drained {
    fn told(&mut self, now: Micros, event: &Event<'_>) {
        let Event::DiscoveryUpdated(
            DiscoveryUpdate::FullList(list) | DiscoveryUpdate::ListChanges(list),
        ) = event
        else {
            return;
        };
        if let Event::DiscoveryUpdated(DiscoveryUpdate::FullList(_)) = event {
            let absent = self
                .since
                .iter_mut()
                .filter(|(id, _)| list.iter().all(|l| l.server != **id));
            absent.for_each(|(_, since)| *since = since.or(Some(now)));
        }
        for listed in *list {
            let since = self.since.entry(listed.server).or_default();
            *since = if listed.state == ServerState::Ready {
                None
            } else {
                since.or(Some(now))
            };
        }
    }

    fn did(&self, now: Micros, action: &Action) -> Broken {
        let Action::Send { server, .. } = action else {
            return Ok(());
        };
        let since = self
            .since
            .get(server)
            .ok_or("drained: sent to a server that was never listed")?;
        rule(since.is_none_or(|since| now <= since + DRAIN_GRACE), || {
            format!("drained: sent to {server} at {now}, which was told to leave at {since:?}")
        })
    }
}

/// *Safe fail-back*: within any window of the rule's length no more work reaches a cold server, from all instances
/// together, than a multiple of what it can do at that time, with a little slack.
struct Cold {
    server: ServerId,
    started: Micros,
    rules: SafetyRules,
    /// What a warm server does, in work a microsecond.
    warm: f64,
    sent: Vec<(Micros, f64)>,
}

const FALL_MULTIPLE: f64 = 3.0;
/// Requests that reach it by chance, one for each instance.
const SLACK: f64 = 2.0;

impl Cold {
    fn did(&mut self, now: Micros, action: &Action, size: f64) -> Broken {
        let Action::Send { server, .. } = action else {
            return Ok(());
        };
        if *server != self.server {
            return Ok(());
        }
        self.sent.push((now, size));
        let SafetyRules {
            slow_start_min_share: cold_from,
            slow_start_window: cold,
            overload_window: fall,
            ..
        } = self.rules;
        let warmth = cold_from + (1.0 - cold_from) * (now - self.started) as f64 / cold as f64;
        if warmth >= 1.0 {
            return Ok(());
        }
        let within: f64 = self
            .sent
            .iter()
            .filter(|(at, _)| *at + fall > now)
            .map(|(_, size)| size)
            .sum();
        let bears = FALL_MULTIPLE * warmth * self.warm * fall as f64 + SLACK * size;
        rule(within <= bears, || {
            format!("cold: {within} us of work reached it, which bears {bears} at {now}")
        })
    }
}

// ---- Two requests of different effects, two servers ----

const KEYED: RetrySafety = RetrySafety::IdempotentWithKey {
    scope: DeduplicationScope::Zone,
    window: 300 * MS,
};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Move {
    /// The request of this number comes: 1 may not be repeated, 2 carries a key.
    Come(RequestId),
    /// The attempt that is out for it ends.
    Ends(RequestId, Outcome),
    /// The last outcome is told once more.
    ToldTwice,
    ClientLeaves(RequestId),
    News(News),
    ProbeUnanswered,
    /// Other settings: what could not be repeated can be, and has fewer attempts.
    Retune,
    /// Time goes on to whatever is due next.
    ToNextAlarm,
    /// Time goes on by so much, and whatever comes due on the way does.
    Past(Micros),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum News {
    Drains,
    Gone,
    BackAnew,
    OthersInPlace,
    Failed,
}

const ENDS: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Moot,
];

/// An attempt that is out.
struct Flight {
    closed: AttemptResult,
    sent: Micros,
    timeout_at: Micros,
    called_off: bool,
}

struct Pair {
    balancer: Balancer,
    settings: Settings,
    now: Micros,
    timers: Vec<(Micros, Timer)>,
    out: Vec<Flight>,
    last: Option<AttemptResult>,
    come: Vec<RequestId>,
    retuned: bool,
    answered: Answered,
    repeated: Repeated,
    drained: Drained,
}

fn as_listed(server: u64, state: ServerState, started: Option<Micros>) -> ServerEntry {
    ServerEntry {
        state,
        started_at: started,
        ..listed(server)
    }
}

impl Pair {
    /// One event in, and what comes out of it carried out and checked.
    fn event(&mut self, event: Event<'_>) -> Broken {
        self.answered.told(self.now, &event);
        self.repeated.told(&event, &self.settings);
        self.drained.told(self.now, &event);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.answered.did(self.now, &action)?;
            self.repeated
                .did(self.now, &action, |server| listed(server.0).zone)?;
            self.drained.did(self.now, &action)?;
            match action {
                Action::Send {
                    request,
                    server,
                    timeout_at,
                    ..
                } => {
                    let attempt = self.repeated.requests[&request].2.len() as u32 - 1;
                    let (outcome, sent) = (Outcome::Timeout, self.now);
                    let closed = AttemptResult {
                        request,
                        attempt,
                        server,
                        outcome,
                        elapsed: 0,
                        request_ended: false,
                    };
                    self.out.push(Flight {
                        closed,
                        sent,
                        timeout_at,
                        called_off: false,
                    });
                }
                Action::Cancel { request, attempt } => {
                    let of = |f: &&mut Flight| {
                        (f.closed.request, f.closed.attempt) == (request, attempt)
                    };
                    let flight = self.out.iter_mut().find(of);
                    flight
                        .ok_or("an attempt was called off that is not out")?
                        .called_off = true;
                }
                Action::SetTimer { at, timer } => self.timers.push((at, timer)),
                _ => {}
            }
        }
        self.answered.look(self.now)
    }

    fn ends(&mut self, flight: usize, outcome: Outcome) -> Broken {
        let Flight { closed, sent, .. } = self.out.swap_remove(flight);
        let over = self.answered.requests[&closed.request].1 || outcome == Outcome::Ok;
        let closed = AttemptResult {
            outcome,
            elapsed: self.now - sent,
            request_ended: over,
            ..closed
        };
        self.last = Some(closed);
        self.event(Event::AttemptEnded(closed))
    }

    /// What is due next: attempts that were called off end at once, a time-out goes before an alarm of the same time.
    fn due(&self) -> Option<(Micros, Result<usize, usize>)> {
        let ends = |f: &Flight| {
            if f.called_off {
                self.now
            } else {
                f.timeout_at.max(self.now)
            }
        };
        let flights = self
            .out
            .iter()
            .enumerate()
            .map(|(at, f)| (ends(f), 0, at, Ok(at)));
        let timers = self
            .timers
            .iter()
            .enumerate()
            .map(|(at, t)| (t.0.max(self.now), 1, at, Err(at)));
        flights
            .chain(timers)
            .min_by_key(|due| (due.0, due.1, due.2))
            .map(|due| (due.0, due.3))
    }

    fn pass(&mut self, until: Micros) -> Broken {
        while let Some((at, what)) = self.due().filter(|(at, _)| *at <= until) {
            self.now = at;
            match what {
                Ok(flight) if self.out[flight].called_off => {
                    self.ends(flight, Outcome::Cancelled)?
                }
                Ok(flight) => self.ends(flight, Outcome::Timeout)?,
                Err(timer) => {
                    let (_, timer) = self.timers.swap_remove(timer);
                    self.event(Event::TimerFired(timer))?;
                }
            }
        }
        self.now = until;
        self.answered.look(self.now)
    }

    fn other_settings(&self) -> SettingsChange {
        let mut settings = self.settings.clone();
        settings.classes.push(class(RetrySafety::Idempotent));
        settings.limits.max_attempts = 2;
        let learned = vec![Some(0), Some(1), Some(0)];
        SettingsChange {
            settings,
            inherited_from: learned,
            retired: vec![true, false, false],
        }
    }
}

impl Play for Pair {
    type Move = Move;

    /// One server is warm; the other has just started.
    fn new() -> Self {
        let mut settings = settings(&[RetrySafety::NonIdempotent, KEYED]);
        settings.limits.max_attempts = 3;
        let now = 1_000 * S;
        let mut pair = Pair {
            balancer: Balancer::new(settings.clone(), 7).expect("settings are sound"),
            settings,
            now,
            timers: Vec::new(),
            out: Vec::new(),
            last: None,
            come: Vec::new(),
            retuned: false,
            answered: Answered::default(),
            repeated: Repeated::default(),
            drained: Drained::default(),
        };
        let fleet = [listed(0), as_listed(1, ServerState::Ready, Some(now))];
        pair.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&fleet)))
            .expect("it is a beginning");
        pair
    }

    fn moves(&self) -> Vec<Move> {
        let mut moves = vec![
            Move::ToNextAlarm,
            Move::Past(310 * MS),
            Move::Past(DRAIN_GRACE + 100 * MS),
        ];
        let news = [
            News::Drains,
            News::Gone,
            News::BackAnew,
            News::OthersInPlace,
            News::Failed,
        ];
        moves.extend(news.map(Move::News));
        moves.push(Move::ProbeUnanswered);
        for id in [1, 2] {
            if !self.come.contains(&id) {
                moves.push(Move::Come(id));
            } else if !self.answered.requests[&id].1 {
                moves.push(Move::ClientLeaves(id));
            }
        }
        for flight in &self.out {
            moves.extend(ENDS.map(|outcome| Move::Ends(flight.closed.request, outcome)));
        }
        moves.extend(self.last.map(|_| Move::ToldTwice));
        moves.extend((!self.retuned).then_some(Move::Retune));
        moves
    }

    fn make(&mut self, made: Move) -> Broken {
        // Each at a time of its own, shorter than whatever is due.
        self.now += 1;
        match made {
            Move::Come(id) => {
                self.come.push(id);
                let class = if id == 1 && self.retuned {
                    2
                } else {
                    id as u32 - 1
                };
                let (time_left, key) = (1_200 * MS, Some(id));
                let new = NewRequest {
                    id,
                    class,
                    tenant: 0,
                    key,
                    time_left,
                    cost_hint: None,
                    client_retry: false,
                };
                self.event(Event::RequestReceived(new))
            }
            Move::Ends(id, outcome) => {
                let flight = self
                    .out
                    .iter()
                    .position(|f| f.closed.request == id)
                    .expect("it is out");
                self.ends(flight, outcome)
            }
            Move::ToldTwice => self.event(Event::AttemptEnded(self.last.expect("one has ended"))),
            Move::ClientLeaves(id) => self.event(Event::ClientDisconnected(id)),
            Move::ProbeUnanswered => self.event(Event::ProbeCompleted(ServerId(0), None)),
            Move::News(news) => {
                let anew = Some(self.now);
                let list = match news {
                    News::Drains => vec![as_listed(0, ServerState::Draining, None)],
                    News::Gone => vec![as_listed(0, ServerState::Gone, None)],
                    News::BackAnew => vec![as_listed(0, ServerState::Ready, anew)],
                    News::OthersInPlace => {
                        vec![listed(1), as_listed(2, ServerState::Ready, anew)]
                    }
                    News::Failed => {
                        return self.event(Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
                            list_known_at: self.now,
                            waited: 0,
                            connection_broken: false,
                        }));
                    }
                };
                let whole = news == News::OthersInPlace;
                self.event(Event::DiscoveryUpdated(if whole {
                    DiscoveryUpdate::FullList(&list)
                } else {
                    DiscoveryUpdate::ListChanges(&list)
                }))
            }
            Move::Retune => {
                let retuned = self.other_settings();
                self.retuned = true;
                self.settings = retuned.settings.clone();
                self.event(Event::SettingsChanged(&retuned))
            }
            Move::ToNextAlarm => self.pass(self.due().map_or(self.now, |(at, _)| at)),
            Move::Past(span) => self.pass(self.now + span),
        }
    }

    fn end(mut self) -> Broken {
        self.pass(self.now + 60 * S)?;
        rule(self.out.is_empty(), || {
            "an attempt is out for ever".to_string()
        })?;
        let snapshot = self.balancer.snapshot(self.now);
        rule(snapshot.tracked_requests == 0, || {
            format!("{} requests are never forgotten", snapshot.tracked_requests)
        })?;
        let open: u32 = snapshot.classes.iter().map(|class| class.in_flight).sum();
        rule(open == 0, || {
            format!("{open} requests count as open for ever")
        })
    }
}

#[test]
fn every_sequence_of_events_keeps_the_rules_on_answers_repeats_and_drains() {
    let counts = every::<Pair>(6).unwrap_or_else(|broken| panic!("{broken}"));
    assert_eq!(counts, [12, 157, 2_198, 32_454, 497_093, 7_783_087]);
}

// ---- Two instances that share nothing, a warm server and a cold one ----

/// The work of each request, and how many come at once.
const WORK: Micros = 10 * MS;
const BURST: usize = 12;

#[derive(Clone, Copy, Debug)]
enum Rush {
    /// So many requests come to this instance at once.
    Burst(usize),
    /// All that this instance has out is answered.
    Answered(usize),
    /// All of it is turned away, unseen.
    TurnedAway(usize),
    /// Both are told that the warm server drains, or is back.
    WarmOneDrains(bool),
    Past(Micros),
}

struct Two {
    instances: [Balancer; 2],
    now: Micros,
    timers: Vec<(Micros, usize, Timer)>,
    out: [Vec<(RequestId, u32, ServerId, Micros)>; 2],
    attempts: BTreeMap<RequestId, u32>,
    next: RequestId,
    cold: Option<Cold>,
    drains: bool,
}

impl Two {
    fn event(&mut self, instance: usize, event: Event<'_>) -> Broken {
        let mut actions = Vec::new();
        self.instances[instance].handle(self.now, event, &mut actions);
        for action in actions {
            if let Some(cold) = &mut self.cold {
                cold.did(self.now, &action, WORK as f64)?;
            }
            match action {
                Action::Send {
                    request, server, ..
                } => {
                    let attempt = self.attempts.entry(request).or_default();
                    self.out[instance].push((request, *attempt, server, self.now));
                    *attempt += 1;
                }
                Action::SetTimer { at, timer } => self.timers.push((at, instance, timer)),
                _ => {}
            }
        }
        Ok(())
    }

    fn come(&mut self, instance: usize) -> Broken {
        self.next += 1;
        let (id, time_left, cost) = (self.next, 1_200 * MS, Some(WORK));
        let new = NewRequest {
            id,
            class: 0,
            tenant: 0,
            key: None,
            time_left,
            cost_hint: cost,
            client_retry: false,
        };
        self.event(instance, Event::RequestReceived(new))
    }

    fn all_end(&mut self, instance: usize, outcome: Outcome) -> Broken {
        for (request, attempt, server, sent) in std::mem::take(&mut self.out[instance]) {
            let (elapsed, ended) = (self.now - sent, outcome == Outcome::Ok);
            let closed = AttemptResult {
                request,
                attempt,
                server,
                outcome,
                elapsed,
                request_ended: ended,
            };
            self.event(instance, Event::AttemptEnded(closed))?;
        }
        Ok(())
    }

    fn both(&mut self, list: &[ServerEntry]) -> Broken {
        self.event(
            0,
            Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(list)),
        )?;
        self.event(
            1,
            Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(list)),
        )
    }

    fn pass(&mut self, until: Micros) -> Broken {
        loop {
            let due = self
                .timers
                .iter()
                .enumerate()
                .min_by_key(|(at, timer)| (timer.0, *at));
            let Some((at, (when, ..))) = due.filter(|(_, timer)| timer.0 <= until) else {
                break;
            };
            self.now = self.now.max(*when);
            let (_, instance, timer) = self.timers.swap_remove(at);
            self.event(instance, Event::TimerFired(timer))?;
        }
        self.now = until;
        Ok(())
    }
}

impl Play for Two {
    type Move = Rush;

    /// Both instances have served a while on two warm servers that were busy all the time; then one started anew.
    fn new() -> Self {
        let mut settings = settings(&[RetrySafety::Idempotent]);
        settings.group_size = 2;
        settings.rules = SafetyRules {
            slow_start_min_share: 0.3,
            slow_start_window: 800 * MS,
            overload_window: 100 * MS,
            ..settings.rules
        };
        let instances = [11, 12].map(|seed| Balancer::new(settings.clone(), seed).expect("sound"));
        let (timers, out) = (Vec::new(), Default::default());
        let (attempts, now) = (BTreeMap::new(), 1_000 * S);
        let mut two = Two {
            instances,
            now,
            timers,
            out,
            attempts,
            next: 0,
            cold: None,
            drains: false,
        };
        let mut begin = || {
            two.both(&fleet(2))?;
            for _ in 0..40 {
                two.come(0)?;
                two.come(1)?;
                two.now += WORK;
                two.all_end(0, Outcome::Ok)?;
                two.all_end(1, Outcome::Ok)?;
            }
            let (started, server) = (two.now, ServerId(1));
            let sent = Vec::new();
            two.cold = Some(Cold {
                server,
                started,
                rules: settings.rules,
                warm: 1.0,
                sent,
            });
            two.both(&[as_listed(1, ServerState::Ready, Some(started))])
        };
        begin().expect("it is a beginning");
        two
    }

    fn moves(&self) -> Vec<Rush> {
        let mut moves = vec![
            Rush::WarmOneDrains(!self.drains),
            Rush::Past(60 * MS),
            Rush::Past(500 * MS),
        ];
        for instance in 0..2 {
            moves.push(Rush::Burst(instance));
            if !self.out[instance].is_empty() {
                moves.extend([Rush::Answered(instance), Rush::TurnedAway(instance)]);
            }
        }
        moves
    }

    fn make(&mut self, made: Rush) -> Broken {
        self.now += 1;
        match made {
            Rush::Burst(instance) => (0..BURST).try_for_each(|_| self.come(instance)),
            Rush::Answered(instance) => self.all_end(instance, Outcome::Ok),
            Rush::TurnedAway(instance) => self.all_end(instance, Outcome::Full),
            Rush::WarmOneDrains(drains) => {
                self.drains = drains;
                let state = if drains {
                    ServerState::Draining
                } else {
                    ServerState::Ready
                };
                self.both(&[as_listed(0, state, None)])
            }
            Rush::Past(span) => self.pass(self.now + span),
        }
    }

    fn end(mut self) -> Broken {
        self.pass(self.now + 2 * S)
    }
}

#[test]
fn every_sequence_of_events_at_two_instances_keeps_a_cold_server_standing() {
    let counts = every::<Two>(6).unwrap_or_else(|broken| panic!("{broken}"));
    assert_eq!(counts, [5, 29, 181, 1_189, 8_113, 56_709]);
}
