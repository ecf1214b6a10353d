//! The state of one balancer instance: what it has measured of servers and classes, and its requests in flight. This file
//! holds the data and simple derived values; the constants and the decisions are in `decide.rs`.

use crate::decide::*;
use crate::discovery_poll::DiscoveryPoll;
use crate::interface::*;
use crate::request_state::{PausedTimeouts, Request};
use foldhash::quality::FixedState;
use oorandom::Rand64;
use std::collections::{BTreeMap, HashMap};

/// A time, moved past a stall that lasted `duration` until now. Time since then does not include the stall.
fn after_stall(time: Micros, now: Micros, duration: Micros) -> Micros {
    time.saturating_add(duration).min(now)
}

/// Streaming estimate of a quantile. Each sample moves it by a relative step; the step shrinks as samples arrive.
#[derive(Clone, Copy)]
pub(crate) struct QuantileEstimate {
    pub value: f64,
    fraction: f64,
    step: f64,
}

impl QuantileEstimate {
    /// Starts from an initial estimate. `fraction` is the quantile to estimate, from 0 to 1.
    pub fn new(initial: f64, fraction: f64) -> Self {
        QuantileEstimate {
            value: initial,
            fraction,
            step: QUANTILE_INITIAL_STEP,
        }
    }

    pub fn add(&mut self, sample: f64) {
        self.step = (QUANTILE_STEP_DECAY * self.step).max(QUANTILE_MIN_STEP);
        self.value *= if sample > self.value {
            1.0 + self.step * self.fraction
        } else {
            1.0 - self.step * (1.0 - self.fraction)
        };
    }
}

/// Exponential moving average in which the latest sample has the weight `step`.
#[derive(Clone, Copy)]
pub(crate) struct MovingMean {
    pub value: f64,
    pub step: f64,
}

impl MovingMean {
    pub fn add(&mut self, sample: f64) {
        self.value += self.step * (sample - self.value);
    }
}

/// Exponentially decaying sum: approximately what was added within the last time constant.
#[derive(Clone, Copy)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Micros,
    /// In microseconds.
    time_constant: f64,
    first_added_at: Option<Micros>,
}

impl DecayingSum {
    pub fn new(time_constant: f64) -> Self {
        DecayingSum {
            sum: 0.0,
            updated_at: 0,
            time_constant,
            first_added_at: None,
        }
    }

    pub fn add(&mut self, now: Micros, amount: f64) {
        self.first_added_at = self.first_added_at.or(Some(now));
        self.sum = self.value_at(now) + amount;
        self.updated_at = now;
    }

    pub fn value_at(&self, now: Micros) -> f64 {
        self.sum * (-(now.saturating_sub(self.updated_at) as f64) / self.time_constant).exp()
    }

    /// The sum does not decay over the `duration` until now.
    pub fn skip(&mut self, now: Micros, duration: Micros) {
        self.updated_at = after_stall(self.updated_at, now, duration);
        self.first_added_at = self
            .first_added_at
            .map(|time| after_stall(time, now, duration));
    }

    /// Amount added per microsecond; infinite until it is known. A sum younger than its time constant covers only its own
    /// age: otherwise every service would appear to serve little after a start.
    pub fn rate_at(&self, now: Micros) -> f64 {
        match self.first_added_at {
            Some(first_added_at) if first_added_at < now => {
                let age = (now - first_added_at) as f64;
                self.value_at(now)
                    / (self.time_constant * (1.0 - (-age / self.time_constant).exp()))
            }
            _ => f64::INFINITY,
        }
    }
}

/// The longest client timeout seen in a class decays towards shorter ones over this many first tries.
const TIMEOUT_DECAY_TRIES: Micros = 1_024;

/// Measurements of a class.
pub(crate) struct ClassState {
    /// A low quantile of its response times, in microseconds. It estimates the work of requests that carry no hint.
    pub service_time: QuantileEstimate,
    /// A high quantile of its response times, in microseconds.
    pub tail_latency: QuantileEstimate,
    /// Requests that are not concluded and whose body is not being streamed.
    pub in_flight: u32,
    /// Mean hinted work of its requests, as a fraction of the latency objective.
    pub hinted_work: MovingMean,
    /// Requests served recently.
    pub served: DecayingSum,
    /// Work, in microseconds, of the requests that arrived recently.
    pub arrived_work: DecayingSum,
    /// Mean time until its requests end, as a fraction of the latency objective.
    pub latency_ratio: f64,
    /// When a request was last rejected for overload.
    pub last_rejected: Option<Micros>,
    /// The longest timeout that clients recently set for a first try.
    pub max_first_timeout: Micros,
    /// Number of its requests shed by a degradation level.
    pub shed_requests: u64,
    /// Whether new requests no longer use this class.
    pub retired: bool,
}

impl ClassState {
    /// State of a class of which only the settings are known.
    pub fn new(class: &Class) -> Self {
        let objective = class.latency_objective as f64;
        ClassState {
            service_time: QuantileEstimate::new(
                INITIAL_SERVICE_TIME_SHARE * objective,
                SERVICE_TIME_QUANTILE,
            ),
            tail_latency: QuantileEstimate::new(
                INITIAL_TAIL_LATENCY_SHARE * objective,
                TAIL_LATENCY_QUANTILE,
            ),
            hinted_work: MovingMean {
                value: 0.0,
                step: 1.0,
            },
            in_flight: 0,
            // Responses that take seconds are rare: with a short time constant a slow class would appear unserved.
            served: DecayingSum::new(
                RATE_TIME_CONSTANT_US.max(RATE_TIME_CONSTANT_OBJECTIVES * objective),
            ),
            arrived_work: DecayingSum::new(LANE_TIME_CONSTANT_US),
            latency_ratio: 0.0,
            last_rejected: None,
            max_first_timeout: 0,
            shed_requests: 0,
            retired: false,
        }
    }

    /// These measurements, made under the old settings, converted to the new ones: fractions of the latency objective are
    /// rescaled, times stay as they are.
    fn rescaled(&self, old: &Class, new: &Class) -> Self {
        let scale = old.latency_objective as f64 / new.latency_objective.max(1) as f64;
        let hinted_work = MovingMean {
            value: (self.hinted_work.value * scale).min(1.0),
            step: self.hinted_work.step,
        };
        ClassState {
            hinted_work,
            in_flight: 0,
            // At most 1, as for a response. A higher ratio would reject every request, and then no response could lower it.
            latency_ratio: (self.latency_ratio * scale).min(1.0),
            last_rejected: None,
            max_first_timeout: 0,
            shed_requests: 0,
            retired: false,
            ..*self
        }
    }

    /// Records the client's timeout of a first try. The longest one decays: otherwise, after one client with a longer timeout
    /// than all others, every retry of the others would look stale.
    pub fn record_first_try(&mut self, timeout: Micros) {
        let decay = self
            .max_first_timeout
            .saturating_sub(timeout)
            .div_ceil(TIMEOUT_DECAY_TRIES);
        self.max_first_timeout = timeout.max(self.max_first_timeout - decay);
    }

    /// Adds a request's time until its end, as a fraction of the latency objective, to the mean. The mean covers a duration
    /// and not a number of responses: at high rates a few responses may come from one slow server.
    pub fn record_latency(&mut self, now: Micros, latency_ratio: f64) {
        let responses = (self.served.rate_at(now) * LATENCY_RATIO_SPAN_US)
            .clamp(LATENCY_RATIO_MIN_RESPONSES, LATENCY_RATIO_MAX_RESPONSES);
        self.latency_ratio += (latency_ratio - self.latency_ratio) / responses;
    }
}

/// An attempt in flight at a server.
pub(crate) struct InFlightAttempt {
    pub request: RequestId,
    pub attempt: u32,
    /// Estimated work, in microseconds.
    pub work: f64,
    pub sent_at: Micros,
    /// When the attempt becomes overdue.
    pub due_at: Micros,
}

/// Totals over several servers.
#[derive(Default)]
pub(crate) struct Totals {
    pub servers: f64,
    pub work: f64,
    pub time: f64,
    pub capacity: f64,
}

impl Totals {
    pub fn add(&mut self, server: &Server) {
        self.servers += 1.0;
        self.work += server.work_sum;
        self.time += server.time_sum;
        self.capacity += server.entry.capacity;
    }
}

/// What the instance knows of a server.
pub(crate) struct Server {
    pub entry: ServerEntry,
    pub in_flight: Vec<InFlightAttempt>,
    /// Work of the attempts in flight, in microseconds.
    pub in_flight_work: f64,
    /// Decaying sum of the work of successful attempts, in microseconds.
    pub work_sum: f64,
    /// Decaying sum of the time that all attempts took, in microseconds.
    pub time_sum: f64,
    /// Whether an attempt has ended since the service rate was last computed.
    pub has_new_results: bool,
    /// Work served per unit of time, as of the last tuning.
    pub service_rate: f64,
    pub last_response: Micros,
    /// Score of the failures in a row: a timeout scores 1, an error 2, a lost connection 3.
    pub failure_score: u32,
    /// Attempts that ended recently and may have been executed.
    pub ended_attempts: DecayingSum,
    /// Those of them that were lost. Losses in a row are added only once a response shows that the server is alive: until
    /// then it may be dead, which ejection handles.
    pub lost_attempts: DecayingSum,
    pub losses_in_a_row: f64,
    /// Fraction of its attempts that it loses, as of the last tuning.
    pub loss_share: f64,
    pub ejected_until: Option<Micros>,
    /// Duration of the last ejection; 0 after a successful response.
    pub ejection_duration: Micros,
    /// Work, in microseconds, that a warming server may receive: a token bucket, which may be overdrawn.
    pub slow_start_budget: f64,
    pub slow_start_refilled_at: Micros,
    pub slow_start_rate: f64,
    pub slow_start_max_budget: f64,
    /// When its last probe ended, and the load report if it answered.
    pub last_probe: Option<(Micros, Option<LoadReport>)>,
    /// Whether it is in the lane of the long classes. None if it is in no lane.
    pub in_long_lane: Option<bool>,
}

impl Server {
    pub fn new(entry: ServerEntry, now: Micros, slow_start_debt: f64) -> Self {
        Server {
            entry,
            in_flight: Vec::new(),
            in_flight_work: 0.0,
            work_sum: 0.0,
            time_sum: 0.0,
            has_new_results: false,
            service_rate: 0.0,
            last_response: now,
            failure_score: 0,
            ended_attempts: DecayingSum::new(LOSS_TIME_CONSTANT_US),
            lost_attempts: DecayingSum::new(LOSS_TIME_CONSTANT_US),
            losses_in_a_row: 0.0,
            loss_share: 0.0,
            ejected_until: None,
            ejection_duration: 0,
            slow_start_budget: -slow_start_debt,
            slow_start_refilled_at: now,
            slow_start_rate: 0.0,
            slow_start_max_budget: 0.0,
            last_probe: None,
            in_long_lane: None,
        }
    }

    /// Requests in flight according to a recent probe, with its error rate converted to requests. Infinite if the probe was
    /// not answered, 0 without a recent probe.
    pub fn reported_in_flight(&self, now: Micros) -> f64 {
        match self.last_probe {
            Some((probed_at, report)) if now <= probed_at + PROBE_VALIDITY => report
                .map_or(f64::INFINITY, |report| {
                    report.in_flight + REQUESTS_PER_ERROR_RATE * report.errors_per_second
                }),
            _ => 0.0,
        }
    }

    /// Fraction of its attempts that it loses, beyond what a healthy server loses as well.
    pub fn current_loss_share(&self, now: Micros) -> f64 {
        (self.lost_attempts.value_at(now) - NORMAL_LOSSES).max(0.0)
            / self.ended_attempts.value_at(now).max(1.0)
    }

    /// Work that it may receive now while it warms up, in microseconds; negative if overdrawn.
    pub fn slow_start_budget_at(&self, now: Micros) -> f64 {
        let since_refill = now.saturating_sub(self.slow_start_refilled_at) as f64;
        (self.slow_start_budget + self.slow_start_rate * since_refill)
            .min(self.slow_start_max_budget)
    }

    /// Whether it appears to hang: an attempt is overdue, and no response came for as long as that attempt was expected to
    /// take. A hung server completes nothing, so its measured service rate alone would not change.
    pub fn is_stalled(&self, now: Micros) -> bool {
        self.in_flight.iter().any(|attempt| {
            now > attempt.due_at
                && now.saturating_sub(self.last_response) > attempt.due_at - attempt.sent_at
        })
    }

    /// Slow start: the fraction of its capacity that the server is assumed to have. 1 once it is warm.
    pub fn slow_start_factor(&self, now: Micros, rules: &SafetyRules) -> f64 {
        let Some(started_at) = self.entry.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started_at) as f64 / rules.slow_start_window.max(1) as f64;
        (rules.slow_start_min_share + (1.0 - rules.slow_start_min_share) * age).min(1.0)
    }
}

/// One instance of the balancer. Its decisions are in `decide.rs`.
pub struct Balancer {
    pub(crate) settings: Settings,
    /// The shortest latency objective among the classes in use, in microseconds.
    pub(crate) shortest_objective: f64,
    pub(crate) random: Rand64,
    /// Whether the first event has been handled.
    pub(crate) started: bool,
    pub(crate) seed: u64,
    /// Maximum number of servers in a lane, as of the last assignment of lanes.
    pub(crate) lane_limit: usize,
    /// Requests accepted recently.
    pub(crate) arrivals: DecayingSum,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// The servers that accept new requests, sorted.
    pub(crate) ready: Vec<ServerId>,
    /// The servers of the short and of the long classes, sorted. All are in the first lane unless long classes have servers of
    /// their own.
    pub(crate) lanes: [Vec<ServerId>; 2],
    pub(crate) lanes_assigned_at: Micros,
    /// The intervals tuned last, by the servers of their lane. At most [`MAX_INTERVALS`].
    pub(crate) cache: BTreeMap<Vec<ServerId>, Interval>,
    pub(crate) requests: HashMap<RequestId, Request, FixedState>,
    /// How many servers to probe before a first attempt, see [`probe_count`].
    pub(crate) probe_count: usize,
    pub(crate) classes: Vec<ClassState>,
    /// Requests that arrived recently, for each tenant.
    pub(crate) tenant_arrivals: Vec<DecayingSum>,
    /// Mean work of a request, in microseconds.
    pub(crate) mean_work: MovingMean,
    /// Mean time of a successful attempt, in microseconds.
    pub(crate) mean_response_time: MovingMean,
    /// Work served recently, in microseconds.
    pub(crate) served_work: DecayingSum,
    pub(crate) retry_budget: f64,
    /// What the active degradation level restricts.
    pub(crate) degradation: DegradationEffects,
    pub(crate) discovery_poll: DiscoveryPoll,
}

/// The request with this id, unless its client has its response or the beginning of it.
pub(crate) fn unconcluded(
    requests: &mut HashMap<RequestId, Request, FixedState>,
    id: RequestId,
) -> Option<&mut Request> {
    requests.get_mut(&id).filter(|request| !request.concluded)
}

impl Balancer {
    /// Creates a balancer that knows no servers yet.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let shortest_objective = shortest_objective(&settings, |_| false);
        let initial_mean = MovingMean {
            value: INITIAL_SERVICE_TIME_SHARE * settings.classes[0].latency_objective as f64,
            step: MEAN_STEP,
        };
        Ok(Balancer {
            shortest_objective,
            random: Rand64::new(u128::from(seed)),
            started: false,
            seed,
            lane_limit: 0,
            arrivals: DecayingSum::new(ARRIVAL_TIME_CONSTANT_US),
            servers: BTreeMap::new(),
            ready: Vec::new(),
            lanes: [Vec::new(), Vec::new()],
            lanes_assigned_at: 0,
            cache: BTreeMap::new(),
            requests: HashMap::with_hasher(FixedState::default()),
            probe_count: probe_count(&settings),
            classes: settings.classes.iter().map(ClassState::new).collect(),
            mean_work: initial_mean,
            mean_response_time: initial_mean,
            tenant_arrivals: vec![DecayingSum::new(RATE_TIME_CONSTANT_US); settings.tenants.len()],
            served_work: DecayingSum::new(RATE_TIME_CONSTANT_US),
            retry_budget: MAX_RETRY_BUDGET,
            degradation: DegradationEffects::default(),
            discovery_poll: DiscoveryPoll::new(),
            settings,
        })
    }

    /// Sets this instance's number, if the instances of the fleet are numbered from 0. The instances then call discovery at
    /// evenly spaced times instead of random ones.
    pub fn set_ordinal(&mut self, ordinal: u32) {
        self.discovery_poll.set_ordinal(ordinal);
    }

    /// The request's body is streamed: stops its timeout until the body is complete.
    pub(crate) fn request_body_started(&mut self, id: RequestId) {
        let Some(request) =
            unconcluded(&mut self.requests, id).filter(|request| request.paused_timeouts.is_none())
        else {
            return;
        };
        self.classes[request.class].in_flight -= u32::from(request.is_counted_in_flight());
        let since_received = |at: Micros| at.saturating_sub(request.received_at);
        request.paused_timeouts = Some(PausedTimeouts {
            until_header_timeout: since_received(request.header_timeout_at),
            until_deadline: since_received(request.client_deadline.0),
        });
        request.is_upload = true;
        request.header_timeout_at = Micros::MAX;
        request.client_deadline = ClientDeadline(Micros::MAX);
        for attempt in self
            .servers
            .values_mut()
            .flat_map(|server| &mut server.in_flight)
            .filter(|attempt| attempt.request == id)
        {
            attempt.due_at = Micros::MAX;
        }
    }

    /// The request's body is complete: starts its timeout.
    pub(crate) fn request_body_received(
        &mut self,
        now: Micros,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = unconcluded(&mut self.requests, id) else {
            return;
        };
        let Some(wait) = request.paused_timeouts.take() else {
            return;
        };
        request.received_at = now;
        request.header_timeout_at = now.saturating_add(wait.until_header_timeout);
        request.client_deadline = ClientDeadline(now.saturating_add(wait.until_deadline));
        request.stalled = 0;
        let class = &mut self.classes[request.class];
        class.in_flight += u32::from(request.is_counted_in_flight());
        let due_at = now.saturating_add((OVERDUE_FACTOR * class.tail_latency.value) as Micros);
        for attempt in self
            .servers
            .values_mut()
            .flat_map(|server| &mut server.in_flight)
            .filter(|attempt| attempt.request == id)
        {
            (attempt.sent_at, attempt.due_at) = (now, due_at);
        }
        actions.push(Action::SetTimer {
            at: request.attempt_ends_at(),
            timer: Timer::Request(id),
        });
    }

    /// This process did not run for `duration` until now. Moves what servers are measured by past it, and excludes it from the
    /// latency of the requests in flight and from the rates of what arrives and is served.
    pub(crate) fn exclude_stall(&mut self, now: Micros, duration: Micros) {
        for server in self.servers.values_mut() {
            server.last_response = after_stall(server.last_response, now, duration);
            for attempt in &mut server.in_flight {
                attempt.due_at = attempt.due_at.saturating_add(duration);
                attempt.sent_at = after_stall(attempt.sent_at, now, duration);
            }
        }
        for request in self.requests.values_mut() {
            request.stalled = request.stalled.saturating_add(duration);
        }
        for class in &mut self.classes {
            class.served.skip(now, duration);
            class.arrived_work.skip(now, duration);
        }
        for rate in &mut self.tenant_arrivals {
            rate.skip(now, duration);
        }
        self.arrivals.skip(now, duration);
        self.served_work.skip(now, duration);
    }

    /// The request cannot be sent again.
    pub(crate) fn disable_retries(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.max_attempts = request.attempts.len();
        }
    }

    /// Applies new settings. Measurements of servers stay, and those of classes go to the classes that inherit them.
    pub(crate) fn apply_settings(&mut self, now: Micros, change: &SettingsChange) {
        let former = std::mem::replace(&mut self.settings, change.settings.clone());
        let mut classes = Vec::with_capacity(self.settings.classes.len());
        for (index, class) in self.settings.classes.iter().enumerate() {
            let former_index = change
                .inherited_from
                .get(index)
                .copied()
                .flatten()
                .map(|former_index| former_index as usize);
            let known = former_index.and_then(|former_index| {
                Some((
                    self.classes.get(former_index)?,
                    former.classes.get(former_index)?,
                ))
            });
            let mut state = known.map_or_else(
                || ClassState::new(class),
                |(state, former_class)| state.rescaled(former_class, class),
            );
            if former_index == Some(index) {
                // The class keeps its index, and so its requests in flight and what was observed of its clients.
                state = ClassState {
                    in_flight: self.classes[index].in_flight,
                    ..state
                };
                (state.last_rejected, state.max_first_timeout) = (
                    self.classes[index].last_rejected,
                    self.classes[index].max_first_timeout,
                );
                state.shed_requests = self.classes[index].shed_requests;
            }
            state.retired = change.retired.get(index).copied().unwrap_or(false);
            classes.push(state);
        }
        self.classes = classes;
        self.shortest_objective =
            shortest_objective(&self.settings, |index| self.classes[index].retired);
        self.probe_count = probe_count(&self.settings);
        self.tenant_arrivals.resize(
            self.settings.tenants.len(),
            DecayingSum::new(RATE_TIME_CONSTANT_US),
        );
        if !self.ready.is_empty() {
            self.assign_lanes(now);
        }
    }
}

impl Balancer {
    /// When to abandon a request that has no response: at its timeout, or if no attempt is in flight, when none may start
    /// any more.
    pub(crate) fn abandon_at(&self, request: &Request) -> Micros {
        let retry_safety = self.settings.classes[request.class].retry_safety;
        match request.attempts_in_flight() {
            0 => request
                .last_attempt_start(retry_safety, self.classes[request.class].tail_latency.value),
            _ => request.attempt_ends_at(),
        }
    }
}

fn shortest_objective(settings: &Settings, is_retired: impl Fn(usize) -> bool) -> f64 {
    let in_use = settings
        .classes
        .iter()
        .enumerate()
        .filter(|(index, _)| !is_retired(*index));
    in_use
        .map(|(_, class)| class.latency_objective)
        .min()
        .unwrap_or(0) as f64
}

/// How many servers to probe before a first attempt. More than 0 only if probes are permitted and the group is so large that
/// the instance's own requests in flight say little about a server's load.
fn probe_count(settings: &Settings) -> usize {
    if settings.limits.probes && settings.group_size >= PROBING_GROUP_SIZE {
        (PROBE_PRICE_LIMIT / settings.prices.probe).min(MAX_PROBES) as usize
    } else {
        0
    }
}
