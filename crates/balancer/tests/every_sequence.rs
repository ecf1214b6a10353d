//! Checks the four safety rules for every short sequence of events on a very small fleet: after each event, and again when
//! enough time has passed for all timers to fire. The checkers see only the events and the actions, not the balancer's state.
//!
//! The depth grows step by step, so the first sequence that breaks a rule is one of the shortest; it is printed. States are not
//! merged: a balancer's state contains means and random numbers, and two states that look alike may behave differently.

mod common;
use common::*;
use madderloom_balancer::*;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// An error describes the rule that was broken.
type RuleResult = Result<(), String>;

fn check(holds: bool, violation: impl FnOnce() -> String) -> RuleResult {
    if holds { Ok(()) } else { Err(violation()) }
}

/// A deterministic simulation that runs step by step.
trait Scenario: Sized {
    type Step: Copy + Debug + Send + Sync;
    fn new() -> Self;
    fn possible_steps(&self) -> Vec<Self::Step>;
    fn apply(&mut self, step: Self::Step) -> RuleResult;
    fn end(self) -> RuleResult;

    fn run(steps: &[Self::Step]) -> Result<Self, String> {
        let mut scenario = Self::new();
        steps.iter().try_for_each(|step| scenario.apply(*step))?;
        Ok(scenario)
    }
}

/// Runs all sequences of `depth` steps that start with `prefix`, each to its end, and counts them.
fn explore<T: Scenario>(prefix: &mut Vec<T::Step>, depth: usize) -> Result<u64, String> {
    let with_prefix = |violation: String| format!("{violation}\nafter {prefix:?}");
    let scenario = T::run(prefix).map_err(with_prefix)?;
    if prefix.len() == depth {
        return scenario
            .end()
            .map(|()| 1)
            .map_err(|violation| format!("{violation}\nat the end, after {prefix:?}"));
    }
    let mut count = 0;
    for step in scenario.possible_steps() {
        prefix.push(step);
        let explored = explore::<T>(prefix, depth);
        prefix.pop();
        count += explored?;
    }
    Ok(count)
}

/// Runs the sequences of each depth up to `max_depth`. Returns their numbers, or the first sequence that breaks a rule.
fn explore_depths<T: Scenario>(max_depth: usize) -> Result<Vec<u64>, String> {
    let first_steps = T::new().possible_steps();
    let explore_depth = |depth: usize| {
        std::thread::scope(|scope| {
            let threads = first_steps
                .iter()
                .map(|first| scope.spawn(move || explore::<T>(&mut vec![*first], depth)));
            let threads: Vec<_> = threads.collect();
            threads
                .into_iter()
                .map(|thread| thread.join().expect("no checker panics"))
                .sum()
        })
    };
    (1..=max_depth).map(explore_depth).collect()
}

// ---- The checkers ----

/// *No dropped request*: each request gets one final response, no later than its client's deadline; nothing is sent for a
/// request that has ended.
#[derive(Default)]
struct FinalResponses {
    /// The deadline of each received request, and whether it has ended.
    requests: BTreeMap<RequestId, (Micros, bool)>,
}

impl FinalResponses {
    fn on_event(&mut self, now: Micros, event: &Event<'_>) {
        match event {
            Event::RequestReceived(new) => {
                _ = self.requests.insert(new.id, (now + new.time_left, false))
            }
            Event::ClientDisconnected(id) => self.mark_ended(*id),
            Event::AttemptEnded(result) if result.outcome == Outcome::Ok => {
                self.mark_ended(result.request)
            }
            _ => {}
        }
    }

    fn mark_ended(&mut self, id: RequestId) {
        self.requests
            .entry(id)
            .and_modify(|request| request.1 = true);
    }

    fn on_action(&mut self, now: Micros, action: &Action) -> RuleResult {
        match action {
            Action::Reject { request, .. } | Action::Fail { request } => {
                let (deadline, ended) = self.requests[request];
                check(!ended, || format!("dropped: {request} was answered twice"))?;
                check(now <= deadline, || {
                    format!("dropped: {request} was answered too late")
                })?;
                self.mark_ended(*request);
            }
            Action::Send { request, .. } => {
                check(!self.requests[request].1, || {
                    format!("dropped: {request} was sent after it had ended")
                })?;
            }
            _ => {}
        }
        Ok(())
    }

    fn check_deadlines(&self, now: Micros) -> RuleResult {
        let unanswered = self
            .requests
            .iter()
            .find(|(_, (deadline, ended))| !ended && now > *deadline);
        check(unanswered.is_none(), || {
            format!("dropped: no final response for {unanswered:?} at {now}")
        })
    }
}

/// *No repeated effect*: a request that may have been executed is retried or rejected only as its class allows. A request
/// never has two attempts in flight, nor more attempts than permitted.
#[derive(Default)]
struct Repetitions {
    requests: BTreeMap<RequestId, (RetrySafety, usize, Vec<Attempt>)>,
}

struct Attempt {
    zone: u32,
    at: Micros,
    outcome: Option<Outcome>,
}

impl Repetitions {
    fn on_event(&mut self, event: &Event<'_>, settings: &Settings) {
        match event {
            Event::RequestReceived(new) => {
                let retry_safety = settings.classes[new.class as usize].retry_safety;
                self.requests.insert(
                    new.id,
                    (
                        retry_safety,
                        settings.limits.max_attempts as usize,
                        Vec::new(),
                    ),
                );
            }
            Event::AttemptEnded(result) => {
                let (.., attempts) = self
                    .requests
                    .get_mut(&result.request)
                    .expect("it was received");
                // The first result of an attempt counts.
                let outcome = &mut attempts[result.attempt as usize].outcome;
                *outcome = outcome.or(Some(result.outcome));
            }
            _ => {}
        }
    }

    fn on_action(
        &mut self,
        now: Micros,
        action: &Action,
        zone: impl Fn(ServerId) -> u32,
    ) -> RuleResult {
        let possibly_executed =
            |attempt: &&Attempt| !attempt.outcome.is_some_and(Outcome::proves_not_executed);
        match action {
            Action::Send {
                request,
                server,
                write_by,
                ..
            } => {
                let (retry_safety, max_attempts, attempts) =
                    self.requests.get_mut(request).expect("it was received");
                let zone = zone(*server);
                let first = attempts.iter().find(possibly_executed);
                let is_allowed = match (first, *retry_safety) {
                    (None, _) | (_, RetrySafety::Idempotent) => true,
                    (Some(_), RetrySafety::NonIdempotent) => false,
                    (Some(first), RetrySafety::IdempotentWithKey { window, .. }) => {
                        first.zone == zone && now <= first.at + window
                    }
                };
                check(is_allowed, || {
                    format!("repeated: {request} was sent again and may have been executed")
                })?;
                // The connection may be established as late as `write_by`.
                let safe_until = match (first, *retry_safety) {
                    (Some(first), RetrySafety::IdempotentWithKey { window, .. }) => {
                        first.at + window
                    }
                    _ => Micros::MAX,
                };
                check(*write_by <= safe_until, || {
                    format!(
                        "repeated: {request} may be written at {write_by}, after its idempotency window"
                    )
                })?;
                check(
                    attempts.iter().all(|attempt| attempt.outcome.is_some()),
                    || format!("repeated: two attempts of {request} in flight"),
                )?;
                check(attempts.len() < *max_attempts, || {
                    format!("repeated: {request} was sent {} times", attempts.len() + 1)
                })?;
                attempts.push(Attempt {
                    zone,
                    at: now,
                    outcome: None,
                });
            }
            Action::Reject { request, .. } => {
                let (retry_safety, _, attempts) = &self.requests[request];
                let is_safe = *retry_safety == RetrySafety::Idempotent
                    || attempts.iter().find(possibly_executed).is_none();
                check(is_safe, || {
                    format!("repeated: {request} was rejected and may have been executed")
                })?;
            }
            _ => {}
        }
        Ok(())
    }
}

/// *Safe drain*: nothing is sent to a server later than this after the notification that it drains or has left, and nothing is
/// ever sent to a server that was not listed.
const DRAIN_GRACE: Micros = 3 * S;

#[derive(Default)]
struct Drains {
    /// For each listed server, since when it drains or has left.
    not_ready_since: BTreeMap<ServerId, Option<Micros>>,
}

impl Drains {
    fn on_event(&mut self, now: Micros, event: &Event<'_>) {
        let Event::DiscoveryUpdated(
            DiscoveryUpdate::FullList(list) | DiscoveryUpdate::ListChanges(list),
        ) = event
        else {
            return;
        };
        if let Event::DiscoveryUpdated(DiscoveryUpdate::FullList(_)) = event {
            let absent = self
                .not_ready_since
                .iter_mut()
                .filter(|(id, _)| list.iter().all(|l| l.server != **id));
            absent.for_each(|(_, since)| *since = since.or(Some(now)));
        }
        for listed in *list {
            let not_ready_since = self.not_ready_since.entry(listed.server).or_default();
            *not_ready_since = if listed.state == ServerState::Ready {
                None
            } else {
                not_ready_since.or(Some(now))
            };
        }
    }

    fn on_action(&self, now: Micros, action: &Action) -> RuleResult {
        let Action::Send { server, .. } = action else {
            return Ok(());
        };
        let not_ready_since = self
            .not_ready_since
            .get(server)
            .ok_or("drained: sent to a server that was never listed")?;
        check(
            not_ready_since.is_none_or(|since| now <= since + DRAIN_GRACE),
            || {
                format!(
                    "drained: sent to {server} at {now}, although it drains or has left since {not_ready_since:?}"
                )
            },
        )
    }
}

/// *Safe fail-back*: within any overload window, the work that all instances together send to a warming server is limited to a
/// multiple of its present capacity, plus a little slack.
struct WarmingServer {
    server: ServerId,
    started_at: Micros,
    rules: SafetyRules,
    /// Capacity of a warm server, in work per microsecond.
    warm_rate: f64,
    sent_work: Vec<(Micros, f64)>,
}

const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Requests that reach the server by chance, one per instance.
const SLACK_REQUESTS: f64 = 2.0;

impl WarmingServer {
    fn on_action(&mut self, now: Micros, action: &Action, work: f64) -> RuleResult {
        let Action::Send { server, .. } = action else {
            return Ok(());
        };
        if *server != self.server {
            return Ok(());
        }
        self.sent_work.push((now, work));
        let SafetyRules {
            slow_start_min_share: min_share,
            slow_start_window,
            overload_window,
            ..
        } = self.rules;
        let slow_start_factor = min_share
            + (1.0 - min_share) * (now - self.started_at) as f64 / slow_start_window as f64;
        if slow_start_factor >= 1.0 {
            return Ok(());
        }
        let work_in_window: f64 = self
            .sent_work
            .iter()
            .filter(|(at, _)| *at + overload_window > now)
            .map(|(_, work)| work)
            .sum();
        let limit = OVERLOAD_MULTIPLE * slow_start_factor * self.warm_rate * overload_window as f64
            + SLACK_REQUESTS * work;
        check(work_in_window <= limit, || {
            format!(
                "overloaded: {work_in_window} us of work reached a warming server that can handle {limit} at {now}"
            )
        })
    }
}

// ---- Two requests of different retry safety, two servers ----

const KEYED: RetrySafety = RetrySafety::IdempotentWithKey {
    scope: DeduplicationScope::Zone,
    window: 300 * MS,
};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// The request with this number is received: 1 is non-idempotent, 2 has an idempotency key.
    Receive(RequestId),
    /// The attempt in flight for this request ends.
    EndAttempt(RequestId, Outcome),
    /// The last result is reported once more.
    RepeatedResult,
    ClientDisconnects(RequestId),
    ListEvent(ListEvent),
    ProbeUnanswered,
    /// The settings change: the class of request 1 becomes idempotent, with fewer attempts.
    ChangeSettings,
    /// Advances the clock to the next timer or timeout.
    ToNextTimer,
    /// Advances the clock by this duration; timers and timeouts in between happen.
    Advance(Micros),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ListEvent {
    Drains,
    Gone,
    Restarted,
    Replaced,
    CallFailed,
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Moot,
];

/// An attempt in flight.
struct InFlightAttempt {
    result: AttemptResult,
    sent_at: Micros,
    timeout_at: Micros,
    is_cancelled: bool,
}

struct TwoServers {
    balancer: Balancer,
    settings: Settings,
    now: Micros,
    timers: Vec<(Micros, Timer)>,
    in_flight: Vec<InFlightAttempt>,
    last_result: Option<AttemptResult>,
    received: Vec<RequestId>,
    settings_changed: bool,
    responses: FinalResponses,
    repetitions: Repetitions,
    drains: Drains,
}

fn server_entry(server: u64, state: ServerState, started_at: Option<Micros>) -> ServerEntry {
    ServerEntry {
        state,
        started_at,
        ..listed(server)
    }
}

impl TwoServers {
    /// Handles one event, and checks and applies the resulting actions.
    fn event(&mut self, event: Event<'_>) -> RuleResult {
        self.responses.on_event(self.now, &event);
        self.repetitions.on_event(&event, &self.settings);
        self.drains.on_event(self.now, &event);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.responses.on_action(self.now, &action)?;
            self.repetitions
                .on_action(self.now, &action, |server| listed(server.0).zone)?;
            self.drains.on_action(self.now, &action)?;
            match action {
                Action::Send {
                    request,
                    server,
                    timeout_at,
                    ..
                } => {
                    let attempt = self.repetitions.requests[&request].2.len() as u32 - 1;
                    let (outcome, sent_at) = (Outcome::Timeout, self.now);
                    let result = AttemptResult {
                        request,
                        attempt,
                        server,
                        outcome,
                        elapsed: 0,
                        request_ended: false,
                    };
                    self.in_flight.push(InFlightAttempt {
                        result,
                        sent_at,
                        timeout_at,
                        is_cancelled: false,
                    });
                }
                Action::Cancel { request, attempt } => {
                    let is_this_attempt = |candidate: &&mut InFlightAttempt| {
                        (candidate.result.request, candidate.result.attempt) == (request, attempt)
                    };
                    let cancelled = self.in_flight.iter_mut().find(is_this_attempt);
                    cancelled
                        .ok_or("an attempt was cancelled that is not in flight")?
                        .is_cancelled = true;
                }
                Action::SetTimer { at, timer } => self.timers.push((at, timer)),
                _ => {}
            }
        }
        self.responses.check_deadlines(self.now)
    }

    fn end_attempt(&mut self, index: usize, outcome: Outcome) -> RuleResult {
        let InFlightAttempt {
            result, sent_at, ..
        } = self.in_flight.swap_remove(index);
        let ended = self.responses.requests[&result.request].1 || outcome == Outcome::Ok;
        let result = AttemptResult {
            outcome,
            elapsed: self.now - sent_at,
            request_ended: ended,
            ..result
        };
        self.last_result = Some(result);
        self.event(Event::AttemptEnded(result))
    }

    /// What happens next. A cancelled attempt ends at once; a timeout precedes a timer of the same time.
    fn next_due(&self) -> Option<(Micros, Result<usize, usize>)> {
        let end_time = |attempt: &InFlightAttempt| {
            if attempt.is_cancelled {
                self.now
            } else {
                attempt.timeout_at.max(self.now)
            }
        };
        let attempt_ends = self
            .in_flight
            .iter()
            .enumerate()
            .map(|(index, attempt)| (end_time(attempt), 0, index, Ok(index)));
        let timers = self
            .timers
            .iter()
            .enumerate()
            .map(|(index, timer)| (timer.0.max(self.now), 1, index, Err(index)));
        attempt_ends
            .chain(timers)
            .min_by_key(|due| (due.0, due.1, due.2))
            .map(|due| (due.0, due.3))
    }

    fn advance_to(&mut self, until: Micros) -> RuleResult {
        while let Some((at, due)) = self.next_due().filter(|(at, _)| *at <= until) {
            self.now = at;
            match due {
                Ok(index) if self.in_flight[index].is_cancelled => {
                    self.end_attempt(index, Outcome::Cancelled)?
                }
                Ok(index) => self.end_attempt(index, Outcome::Timeout)?,
                Err(index) => {
                    let (_, timer) = self.timers.swap_remove(index);
                    self.event(Event::TimerFired(timer))?;
                }
            }
        }
        self.now = until;
        self.responses.check_deadlines(self.now)
    }

    fn changed_settings(&self) -> SettingsChange {
        let mut settings = self.settings.clone();
        settings.classes.push(class(RetrySafety::Idempotent));
        settings.limits.max_attempts = 2;
        let inherited_from = vec![Some(0), Some(1), Some(0)];
        SettingsChange {
            settings,
            inherited_from,
            retired: vec![true, false, false],
        }
    }
}

impl Scenario for TwoServers {
    type Step = Step;

    /// One server is warm, the other has just started.
    fn new() -> Self {
        let mut settings = settings(&[RetrySafety::NonIdempotent, KEYED]);
        settings.limits.max_attempts = 3;
        let now = 1_000 * S;
        let mut scenario = TwoServers {
            balancer: Balancer::new(settings.clone(), 7).expect("settings are valid"),
            settings,
            now,
            timers: Vec::new(),
            in_flight: Vec::new(),
            last_result: None,
            received: Vec::new(),
            settings_changed: false,
            responses: FinalResponses::default(),
            repetitions: Repetitions::default(),
            drains: Drains::default(),
        };
        let fleet = [listed(0), server_entry(1, ServerState::Ready, Some(now))];
        scenario
            .event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&fleet)))
            .expect("the initial events break no rule");
        scenario
    }

    fn possible_steps(&self) -> Vec<Step> {
        let mut steps = vec![
            Step::ToNextTimer,
            Step::Advance(310 * MS),
            Step::Advance(DRAIN_GRACE + 100 * MS),
        ];
        let list_events = [
            ListEvent::Drains,
            ListEvent::Gone,
            ListEvent::Restarted,
            ListEvent::Replaced,
            ListEvent::CallFailed,
        ];
        steps.extend(list_events.map(Step::ListEvent));
        steps.push(Step::ProbeUnanswered);
        for id in [1, 2] {
            if !self.received.contains(&id) {
                steps.push(Step::Receive(id));
            } else if !self.responses.requests[&id].1 {
                steps.push(Step::ClientDisconnects(id));
            }
        }
        for attempt in &self.in_flight {
            steps.extend(OUTCOMES.map(|outcome| Step::EndAttempt(attempt.result.request, outcome)));
        }
        steps.extend(self.last_result.map(|_| Step::RepeatedResult));
        steps.extend((!self.settings_changed).then_some(Step::ChangeSettings));
        steps
    }

    fn apply(&mut self, step: Step) -> RuleResult {
        // Each step has a time of its own; the difference is shorter than any timer.
        self.now += 1;
        match step {
            Step::Receive(id) => {
                self.received.push(id);
                let class = if id == 1 && self.settings_changed {
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
            Step::EndAttempt(id, outcome) => {
                let index = self
                    .in_flight
                    .iter()
                    .position(|attempt| attempt.result.request == id)
                    .expect("it is in flight");
                self.end_attempt(index, outcome)
            }
            Step::RepeatedResult => self.event(Event::AttemptEnded(
                self.last_result.expect("one has ended"),
            )),
            Step::ClientDisconnects(id) => self.event(Event::ClientDisconnected(id)),
            Step::ProbeUnanswered => self.event(Event::ProbeCompleted(ServerId(0), None)),
            Step::ListEvent(list_event) => {
                let just_now = Some(self.now);
                let list = match list_event {
                    ListEvent::Drains => vec![server_entry(0, ServerState::Draining, None)],
                    ListEvent::Gone => vec![server_entry(0, ServerState::Gone, None)],
                    ListEvent::Restarted => vec![server_entry(0, ServerState::Ready, just_now)],
                    ListEvent::Replaced => {
                        vec![listed(1), server_entry(2, ServerState::Ready, just_now)]
                    }
                    ListEvent::CallFailed => {
                        return self.event(Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
                            list_known_at: self.now,
                            waited: 0,
                            connection_broken: false,
                        }));
                    }
                };
                let is_full_list = list_event == ListEvent::Replaced;
                self.event(Event::DiscoveryUpdated(if is_full_list {
                    DiscoveryUpdate::FullList(&list)
                } else {
                    DiscoveryUpdate::ListChanges(&list)
                }))
            }
            Step::ChangeSettings => {
                let change = self.changed_settings();
                self.settings_changed = true;
                self.settings = change.settings.clone();
                self.event(Event::SettingsChanged(&change))
            }
            Step::ToNextTimer => self.advance_to(self.next_due().map_or(self.now, |(at, _)| at)),
            Step::Advance(duration) => self.advance_to(self.now + duration),
        }
    }

    fn end(mut self) -> RuleResult {
        self.advance_to(self.now + 60 * S)?;
        check(self.in_flight.is_empty(), || {
            "an attempt stays in flight forever".to_string()
        })?;
        let snapshot = self.balancer.snapshot(self.now);
        check(snapshot.tracked_requests == 0, || {
            format!(
                "{} requests stay tracked forever",
                snapshot.tracked_requests
            )
        })?;
        let in_flight: u32 = snapshot.classes.iter().map(|class| class.in_flight).sum();
        check(in_flight == 0, || {
            format!("{in_flight} requests count as in flight forever")
        })
    }
}

#[test]
fn every_sequence_of_events_keeps_the_rules_on_responses_retries_and_drains() {
    let counts = explore_depths::<TwoServers>(6).unwrap_or_else(|violation| panic!("{violation}"));
    assert_eq!(counts, [12, 157, 2_198, 32_454, 497_093, 7_783_087]);
}

// ---- Two instances that share nothing, a warm server and a warming one ----

/// Work of each request.
const WORK_PER_REQUEST: Micros = 10 * MS;
const REQUESTS_PER_BURST: usize = 12;

#[derive(Clone, Copy, Debug)]
enum BurstStep {
    /// This instance receives [`REQUESTS_PER_BURST`] requests at once.
    Burst(usize),
    /// All requests in flight at this instance succeed.
    AllAnswered(usize),
    /// All of them are rejected by their servers without being executed.
    AllRejected(usize),
    /// Both instances are notified that the warm server drains (true) or is ready again.
    WarmOneDrains(bool),
    Advance(Micros),
}

struct TwoInstances {
    instances: [Balancer; 2],
    now: Micros,
    timers: Vec<(Micros, usize, Timer)>,
    in_flight: [Vec<(RequestId, u32, ServerId, Micros)>; 2],
    attempts: BTreeMap<RequestId, u32>,
    next: RequestId,
    warming: Option<WarmingServer>,
    warm_one_drains: bool,
}

impl TwoInstances {
    fn event(&mut self, instance: usize, event: Event<'_>) -> RuleResult {
        let mut actions = Vec::new();
        self.instances[instance].handle(self.now, event, &mut actions);
        for action in actions {
            if let Some(warming) = &mut self.warming {
                warming.on_action(self.now, &action, WORK_PER_REQUEST as f64)?;
            }
            match action {
                Action::Send {
                    request, server, ..
                } => {
                    let attempt = self.attempts.entry(request).or_default();
                    self.in_flight[instance].push((request, *attempt, server, self.now));
                    *attempt += 1;
                }
                Action::SetTimer { at, timer } => self.timers.push((at, instance, timer)),
                _ => {}
            }
        }
        Ok(())
    }

    fn receive(&mut self, instance: usize) -> RuleResult {
        self.next += 1;
        let (id, time_left, cost_hint) = (self.next, 1_200 * MS, Some(WORK_PER_REQUEST));
        let new = NewRequest {
            id,
            class: 0,
            tenant: 0,
            key: None,
            time_left,
            cost_hint,
            client_retry: false,
        };
        self.event(instance, Event::RequestReceived(new))
    }

    fn end_all(&mut self, instance: usize, outcome: Outcome) -> RuleResult {
        for (request, attempt, server, sent_at) in std::mem::take(&mut self.in_flight[instance]) {
            let (elapsed, ended) = (self.now - sent_at, outcome == Outcome::Ok);
            let result = AttemptResult {
                request,
                attempt,
                server,
                outcome,
                elapsed,
                request_ended: ended,
            };
            self.event(instance, Event::AttemptEnded(result))?;
        }
        Ok(())
    }

    fn update_both_lists(&mut self, list: &[ServerEntry]) -> RuleResult {
        self.event(
            0,
            Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(list)),
        )?;
        self.event(
            1,
            Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(list)),
        )
    }

    fn advance_to(&mut self, until: Micros) -> RuleResult {
        loop {
            let due = self
                .timers
                .iter()
                .enumerate()
                .min_by_key(|(index, timer)| (timer.0, *index));
            let Some((index, (fire_at, ..))) = due.filter(|(_, timer)| timer.0 <= until) else {
                break;
            };
            self.now = self.now.max(*fire_at);
            let (_, instance, timer) = self.timers.swap_remove(index);
            self.event(instance, Event::TimerFired(timer))?;
        }
        self.now = until;
        Ok(())
    }
}

impl Scenario for TwoInstances {
    type Step = BurstStep;

    /// Both instances have sent requests to two warm servers that were busy all the time; then one server has restarted.
    fn new() -> Self {
        let mut settings = settings(&[RetrySafety::Idempotent]);
        settings.group_size = 2;
        settings.rules = SafetyRules {
            slow_start_min_share: 0.3,
            slow_start_window: 800 * MS,
            overload_window: 100 * MS,
            ..settings.rules
        };
        let instances =
            [11, 12].map(|seed| Balancer::new(settings.clone(), seed).expect("settings are valid"));
        let (timers, in_flight) = (Vec::new(), Default::default());
        let (attempts, now) = (BTreeMap::new(), 1_000 * S);
        let mut scenario = TwoInstances {
            instances,
            now,
            timers,
            in_flight,
            attempts,
            next: 0,
            warming: None,
            warm_one_drains: false,
        };
        let mut set_up = || {
            scenario.update_both_lists(&fleet(2))?;
            for _ in 0..40 {
                scenario.receive(0)?;
                scenario.receive(1)?;
                scenario.now += WORK_PER_REQUEST;
                scenario.end_all(0, Outcome::Ok)?;
                scenario.end_all(1, Outcome::Ok)?;
            }
            let (started_at, server) = (scenario.now, ServerId(1));
            let sent_work = Vec::new();
            scenario.warming = Some(WarmingServer {
                server,
                started_at,
                rules: settings.rules,
                warm_rate: 1.0,
                sent_work,
            });
            scenario.update_both_lists(&[server_entry(1, ServerState::Ready, Some(started_at))])
        };
        set_up().expect("the initial events break no rule");
        scenario
    }

    fn possible_steps(&self) -> Vec<BurstStep> {
        let mut steps = vec![
            BurstStep::WarmOneDrains(!self.warm_one_drains),
            BurstStep::Advance(60 * MS),
            BurstStep::Advance(500 * MS),
        ];
        for instance in 0..2 {
            steps.push(BurstStep::Burst(instance));
            if !self.in_flight[instance].is_empty() {
                steps.extend([
                    BurstStep::AllAnswered(instance),
                    BurstStep::AllRejected(instance),
                ]);
            }
        }
        steps
    }

    fn apply(&mut self, step: BurstStep) -> RuleResult {
        self.now += 1;
        match step {
            BurstStep::Burst(instance) => {
                (0..REQUESTS_PER_BURST).try_for_each(|_| self.receive(instance))
            }
            BurstStep::AllAnswered(instance) => self.end_all(instance, Outcome::Ok),
            BurstStep::AllRejected(instance) => self.end_all(instance, Outcome::Full),
            BurstStep::WarmOneDrains(warm_one_drains) => {
                self.warm_one_drains = warm_one_drains;
                let state = if warm_one_drains {
                    ServerState::Draining
                } else {
                    ServerState::Ready
                };
                self.update_both_lists(&[server_entry(0, state, None)])
            }
            BurstStep::Advance(duration) => self.advance_to(self.now + duration),
        }
    }

    fn end(mut self) -> RuleResult {
        self.advance_to(self.now + 2 * S)
    }
}

#[test]
fn every_sequence_of_events_at_two_instances_overloads_no_warming_server() {
    let counts =
        explore_depths::<TwoInstances>(6).unwrap_or_else(|violation| panic!("{violation}"));
    assert_eq!(counts, [5, 29, 181, 1_189, 8_113, 56_709]);
}
