//! All decisions of the balancer, and all its constants. The types, events and actions are in `interface.rs`.
//!
//! Selection of a server: the request's key, or a random number if it has none, is hashed onto a unit
//! interval of which one half is covered by the regions of the servers. If it hits an uncovered point, it is
//! hashed again with the next function of the hash family. A server's region is proportional to its measured
//! service rate: work done per unit of time. All exceptions work in one way: a server that may not receive
//! the request now (see [`Eligibility`]) is skipped, as if its region were uncovered.

use crate::discovery_evidence::{CallFailure, DiscoveryDiagnosis};
use crate::discovery_poll::FailedCall;
use crate::interface::*;
use crate::request_state::{Attempt, Request, StartedResponse};
use crate::state::*;
use foldhash::quality::FixedState;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::hash::BuildHasher;

// ---- Constants. Those of type `Micros`, and those that end in `_US`, are in microseconds. ----

/// Minimum time between two tunings of an interval with up to [`SERVERS_PER_TUNING_PERIOD`] servers, and
/// between two assignments of lanes.
const TUNING_PERIOD: Micros = 250_000;
/// That minimum time grows by one tuning period for each further group of this many servers: with more
/// servers, one response says less and tuning costs more.
const SERVERS_PER_TUNING_PERIOD: usize = 16;
/// Fraction of a server's measured sums that is kept at a tuning after new results. Without new results the
/// sums stay, because an instance with little traffic receives few responses.
const MEASUREMENT_DECAY: f64 = 0.9;
/// Weight of the prior in a server's measurement: this many mean response times, at the mean speed of the
/// server's machine kind.
const PRIOR_RESPONSES: f64 = 2.0;
/// Number of intervals in the cache.
pub(crate) const MAX_INTERVALS: usize = 8;
/// Minimum number of an interval's subregions per server, so that the shares are accurate enough.
const SUBREGIONS_PER_SERVER: usize = 8;
/// Number of functions of the hash family tried for one selection.
const HASHES_PER_SELECTION: u32 = 64;
/// Number of eligible servers compared in one selection.
const MAX_CANDIDATES: usize = 5;
/// A server whose expected response time is within this fraction of the time left until the latency
/// objective ends the comparison.
const FAST_ENOUGH_SHARE: f64 = 0.3;
/// Fraction of selections without comparison: the first eligible server gets the request. This measures
/// servers again that are estimated as slow.
const UNCOMPARED_SHARE: f64 = 0.05;
/// A later candidate replaces the best one so far only if its expected response time is below this fraction
/// of the other's.
const FASTER_CANDIDATE_RATIO: f64 = 0.75;
/// Load, in requests of mean work, that is added to a server in another zone when servers are compared. It is
/// multiplied by the cross-zone price.
const CROSS_ZONE_LOAD_REQUESTS: f64 = 33.0;
/// Score of failures in a row that ejects a server: a timeout scores 1, an error 2, a lost connection 3.
const EJECTION_SCORE: u32 = 6;
/// The ejection score grows by this multiple of the server's loss share: a server that loses only a part of
/// its attempts is known to be alive.
const EJECTION_SCORE_LOSS_FACTOR: f64 = 10.0;
/// Time constant of the counts of ended and lost attempts.
pub(crate) const LOSS_TIME_CONSTANT_US: f64 = 10e6;
/// Lost attempts within that time constant that do not count, because a healthy server has them as well.
pub(crate) const NORMAL_LOSSES: f64 = 1.0;
/// Losing a non-idempotent request, which cannot be retried, counts as this many latency objectives of
/// additional response time when servers are compared.
const LOSS_COST_OBJECTIVES: f64 = 2.0;
/// Duration of a server's first ejection. It doubles with each failed trial request.
const FIRST_EJECTION: Micros = 1_000_000;
/// Maximum duration of an ejection.
const MAX_EJECTION: Micros = 8_000_000;
/// Time between checks of a request that is queued or waits for probes.
const REQUEST_CHECK_PERIOD: Micros = 25_000;
/// Group size from which the instance's own requests in flight say too little about a server's load.
pub(crate) const PROBING_GROUP_SIZE: u32 = 16;
/// Maximum number of servers probed before a first attempt.
pub(crate) const MAX_PROBES: f64 = 3.0;
/// Maximum fraction of a request's priority weight spent on probes.
pub(crate) const PROBE_PRICE_LIMIT: f64 = 0.02;
/// How long the result of a probe is used.
pub(crate) const PROBE_VALIDITY: Micros = 30_000;
/// Number of requests in flight that a reported error rate of one per second counts as.
pub(crate) const REQUESTS_PER_ERROR_RATE: f64 = 1.0;
/// An attempt is overdue after this multiple of its class's tail latency.
pub(crate) const OVERDUE_FACTOR: f64 = 2.0;
/// Retries that each accepted request adds to the retry budget.
pub(crate) const RETRY_BUDGET_PER_REQUEST: f64 = 0.5;
/// Maximum number of retries saved in the retry budget.
pub(crate) const MAX_RETRY_BUDGET: f64 = 10.0;
/// Time constant of the counts of tenants' arrivals and of served requests and work.
pub(crate) const RATE_TIME_CONSTANT_US: f64 = 3e6;
/// Minimum time constant of a class's served requests, in multiples of its latency objective.
pub(crate) const RATE_TIME_CONSTANT_OBJECTIVES: f64 = 3.0;
/// Initial estimate of a class's service time, as a fraction of its latency objective.
pub(crate) const INITIAL_SERVICE_TIME_SHARE: f64 = 0.125;
/// Quantile of a class's response times that estimates its service time, which excludes queueing.
pub(crate) const SERVICE_TIME_QUANTILE: f64 = 0.3;
/// Initial estimate of a class's tail latency, as a fraction of its latency objective.
pub(crate) const INITIAL_TAIL_LATENCY_SHARE: f64 = 0.5;
/// Quantile of a class's response times that is its tail latency.
pub(crate) const TAIL_LATENCY_QUANTILE: f64 = 0.95;
/// First relative step of a quantile estimate.
pub(crate) const QUANTILE_INITIAL_STEP: f64 = 0.5;
/// Factor by which the step shrinks with each sample.
pub(crate) const QUANTILE_STEP_DECAY: f64 = 0.9;
/// Minimum step of a quantile estimate.
pub(crate) const QUANTILE_MIN_STEP: f64 = 0.1;
/// Weight of the latest sample in a moving mean.
pub(crate) const MEAN_STEP: f64 = 0.02;
/// A class's latency ratio is the mean over the responses of about this time.
pub(crate) const LATENCY_RATIO_SPAN_US: f64 = 1e6;
/// Minimum number of responses in that mean.
pub(crate) const LATENCY_RATIO_MIN_RESPONSES: f64 = 10.0;
/// Maximum number of responses in that mean.
pub(crate) const LATENCY_RATIO_MAX_RESPONSES: f64 = 200.0;
/// Admission: a class may have in flight what it serves in this fraction of its latency objective.
const ADMITTED_OBJECTIVE_SHARE: f64 = 0.45;
/// Admission: if this multiple of the class's mean hinted work is larger than that fraction, it applies
/// instead, because work is not queueing.
const ADMITTED_WORK_FACTOR: f64 = 2.0;
/// Admission: maximum of the fraction that follows from the hinted work.
const MAX_ADMITTED_OBJECTIVE_SHARE: f64 = 0.75;
/// Minimum weight of the latest hint in a class's mean hinted work. It is low because hints are imprecise.
const HINT_MEAN_STEP: f64 = 0.004;
/// Admission: the limit rises by this power of the ratio of the admitted to the measured latency. If that
/// ratio is below 1, the limit falls in proportion to it, and the spare requests fall by the power.
const ADMISSION_EXPONENT: i32 = 3;
/// Admission: apart from the spare requests, a class never has more in flight than it serves in this fraction
/// of its latency objective, because responses report queueing late.
const MAX_QUEUE_OBJECTIVE_SHARE: f64 = 0.6;
/// Requests admitted beyond a rate or a share, whose noise would otherwise reject rare requests.
const SPARE_REQUESTS: f64 = 3.0;
/// Fraction of the admission limit that applies to clients' retries, some of which are past the objective.
const CLIENT_RETRY_ADMISSION: f64 = 0.5;
/// Time without rejections for overload after which the next one is logged.
const OVERLOAD_LOG_QUIET_TIME: Micros = 5_000_000;
/// A class is long if its service time exceeds this fraction of the shortest latency objective.
const LONG_CLASS_OBJECTIVE_SHARE: f64 = 0.8;
/// The long classes' lane has this fraction of the servers that correspond to their share of the work: long
/// classes have time to queue.
const LONG_LANE_SHARE: f64 = 0.8;
/// Time constant of the arrived work that gives that share.
pub(crate) const LANE_TIME_CONSTANT_US: f64 = 60e6;
/// A lane of an instance that may not probe has as many servers as the instance receives requests in this
/// time, so that each server responds to it about once in this time.
const LANE_PERIOD_US: f64 = 4e6;
/// The same for an instance that may probe, but does not because probes are too expensive.
const LANE_PERIOD_IN_LARGE_GROUP_US: f64 = 0.5e6;
/// Time constant of the arrivals that determine the lane size.
pub(crate) const ARRIVAL_TIME_CONSTANT_US: f64 = 20e6;
/// Minimum number of servers in a lane.
const MIN_LANE_SERVERS: usize = 8;
/// Slow start: a warming server saves up at most this fraction of its budget for one overload window. A burst
/// would spend a larger one at once.
const SLOW_START_SAVED_SHARE: f64 = 0.5;
/// Slow start: number of instances that may send a request to a server as soon as it starts.
const SLOW_START_FIRST_INSTANCES: f64 = 24.0;
/// Slow start: a warming server receives at most this multiple of the work that it is estimated to handle.
const SLOW_START_PACE: f64 = 1.5;

/// Whether a server may receive a request, or why not, in the order of preference. If no function of the hash
/// family yields an eligible server, the best of the servers found receives it. Servers beyond `AlreadyTried`
/// never do.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Eligibility {
    /// It may receive the request.
    Eligible,
    /// It is ejected and waits for its trial request.
    Ejected,
    /// An earlier attempt of this request went to it.
    AlreadyTried,
    /// It is warming up and its slow-start budget is spent.
    SlowStartBudgetSpent,
    /// It would not recognize a retry of this request as a duplicate.
    OutsideDeduplicationScope,
}

/// A unit interval of equal subregions, one half of it covered. A server owns whole subregions and the start
/// of at most one more, so its region grows and shrinks without moving those of others.
pub(crate) struct Interval {
    servers: Vec<ServerId>,
    tuned_at: Micros,
    /// For each subregion: the index of its owner in `servers`, and the length of its covered part.
    subregions: Vec<(u32, u32)>,
}

impl Interval {
    /// Length of a subregion.
    const SUBREGION_LENGTH: u32 = 1 << 16;

    pub(crate) fn new(servers: Vec<ServerId>) -> Self {
        let subregions = (SUBREGIONS_PER_SERVER * servers.len().max(1)).next_power_of_two();
        Interval {
            servers,
            tuned_at: 0,
            subregions: vec![(0, 0); subregions],
        }
    }

    /// The server at a point of the interval, given as a fraction of 2^64; None if the point is uncovered.
    pub(crate) fn lookup(&self, offset: u64) -> Option<ServerId> {
        let bits = self.subregions.len().trailing_zeros();
        let (owner, covered) = self.subregions[(offset >> (64 - bits)) as usize];
        let offset_in_subregion = (offset << bits >> 48) as u32;
        (offset_in_subregion < covered).then(|| self.servers[owner as usize])
    }

    /// Resizes the regions in place to the proportions of the weights. First all regions that shrink, then
    /// all that grow, each starting with its partly covered subregion, so that it keeps at most one.
    pub(crate) fn tune(&mut self, weights: &[f64]) {
        let total: f64 = weights.iter().sum();
        let half = self.subregions.len() as i64 / 2 * i64::from(Self::SUBREGION_LENGTH);
        let mut change: Vec<i64> = weights
            .iter()
            .map(|weight| (weight / total * half as f64) as i64)
            .collect();
        change[0] += half - change.iter().sum::<i64>();
        self.subregions
            .iter()
            .for_each(|(owner, covered)| change[*owner as usize] -= i64::from(*covered));
        for fully_covered in [false, true] {
            for (owner, covered) in self
                .subregions
                .iter_mut()
                .filter(|subregion| (subregion.1 == Self::SUBREGION_LENGTH) == fully_covered)
            {
                let removed = (-change[*owner as usize]).clamp(0, i64::from(*covered));
                *covered -= removed as u32;
                change[*owner as usize] += removed;
            }
        }
        let mut growing = 0;
        for uncovered in [false, true] {
            for (owner, covered) in self
                .subregions
                .iter_mut()
                .filter(|subregion| (subregion.1 == 0) == uncovered)
            {
                if uncovered {
                    let Some(next) = change[growing..].iter().position(|amount| *amount > 0) else {
                        return;
                    };
                    growing += next;
                    *owner = growing as u32;
                }
                let added =
                    change[*owner as usize].clamp(0, i64::from(Self::SUBREGION_LENGTH - *covered));
                *covered += added as u32;
                change[*owner as usize] -= added;
            }
        }
    }
}

impl Balancer {
    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.started, true) && self.settings.discovery_on_request {
            let missed_while_down = FailedCall {
                list_known_at: now.saturating_sub(SafetyRules::MAX_RESTART_GAP),
                reason: CallFailure::Unreachable,
            };
            self.schedule_poll(now, missed_while_down, actions);
        }
        match event {
            Event::DiscoveryUpdated(update) => self.discovery_updated(now, update, actions),
            Event::RequestReceived(request) => self.request_received(now, request, actions),
            Event::AttemptEnded(result) => self.attempt_ended(now, result, actions),
            Event::ResponseStarted { request, attempt } => {
                self.response_started(now, request, attempt, actions);
            }
            Event::ResponseStreamStarted { request, .. } => self.conclude(request, true, actions),
            Event::ProbeCompleted(server, report) => {
                self.servers
                    .entry(server)
                    .and_modify(|server| server.last_probe = Some((now, report)));
            }
            Event::ClientDisconnected(id) => self.close_request(id, actions),
            Event::TimerFired(Timer::Request(id)) => self.check_request(now, id, actions),
            Event::TimerFired(Timer::Discovery) => {
                if self.discovery_poll.on_timer(now) {
                    actions.push(Action::PollDiscovery);
                }
            }
            Event::RequestBodyStarted(id) => self.request_body_started(id),
            Event::RequestBodyReceived(id) => self.request_body_received(now, id, actions),
            Event::RetriesDisabled(id) => self.disable_retries(id),
            Event::RequestExpired(id) => self.request_expired(now, id, actions),
            Event::EventLoopStalled(duration) => self.exclude_stall(now, duration),
            Event::SettingsChanged(change) => self.apply_settings(now, change),
            Event::DegradationChanged(effects) => {
                self.degradation = effects.clone();
                self.retry_budget = self
                    .retry_budget
                    .min(MAX_RETRY_BUDGET * effects.retry_budget_factor);
            }
        }
    }

    // ---- Discovery ----

    /// What the calls to discovery that failed since the last list update show. It decides when the next one
    /// is made.
    pub fn discovery_diagnosis(&self, now: Micros) -> DiscoveryDiagnosis {
        self.discovery_poll.diagnosis(now)
    }

    fn schedule_poll(&mut self, now: Micros, failed: FailedCall, actions: &mut Vec<Action>) {
        let fleet = (&self.settings.rules, self.settings.group_size);
        let due_at =
            self.discovery_poll
                .schedule_after_failure(now, failed, fleet, &mut self.random);
        actions.extend(due_at.map(|at| Action::SetTimer {
            at,
            timer: Timer::Discovery,
        }));
    }

    fn discovery_updated(
        &mut self,
        now: Micros,
        update: DiscoveryUpdate<'_>,
        actions: &mut Vec<Action>,
    ) {
        match update {
            DiscoveryUpdate::CallFailed {
                list_known_at,
                waited,
                connection_broken,
            } => {
                actions.push(Action::Log(LogEvent::DiscoveryFailed));
                let reason = CallFailure::from_ended_call(waited, connection_broken);
                self.schedule_poll(
                    now,
                    FailedCall {
                        list_known_at,
                        reason,
                    },
                    actions,
                );
            }
            DiscoveryUpdate::CallUnanswered {
                call_started_at: list_known_at,
            } => {
                let reason = CallFailure::Unanswered;
                self.schedule_poll(
                    now,
                    FailedCall {
                        list_known_at,
                        reason,
                    },
                    actions,
                );
            }
            DiscoveryUpdate::CallStarted => self.discovery_poll.on_call_started(now),
            DiscoveryUpdate::WatchOpened => self.discovery_poll.on_watch_opened(now),
            DiscoveryUpdate::FullList(list) => {
                self.servers
                    .values_mut()
                    .for_each(|server| server.entry.state = ServerState::Gone);
                self.server_list_received(now, list);
            }
            DiscoveryUpdate::ListChanges(list) => self.server_list_received(now, list),
        }
    }

    fn server_list_received(&mut self, now: Micros, list: &[ServerEntry]) {
        self.discovery_poll.on_list_update();
        let all_servers = list.len().max(self.ready.len()).max(1);
        let instances_per_server = f64::from(self.settings.group_size)
            * self.lane_size_limit(now).min(all_servers) as f64
            / all_servers as f64;
        let first_request_probability = SLOW_START_FIRST_INSTANCES / instances_per_server;
        for entry in list {
            // If each instance's part of a warming server's budget is less than one request, a random few
            // send one immediately and the others later, so that together they use the budget from the start.
            let random_debt =
                |_| (self.random.rand_float() - first_request_probability) * self.mean_work.value;
            let slow_start_debt = entry.started_at.map_or(0.0, random_debt);
            let server = self
                .servers
                .entry(entry.server)
                .or_insert_with(|| Server::new(*entry, now, slow_start_debt));
            if entry.started_at > server.entry.started_at {
                // A restarted server warms up again: measurements of its former incarnation do not apply.
                let in_flight = std::mem::take(&mut server.in_flight);
                *server = Server {
                    in_flight,
                    in_flight_work: server.in_flight_work,
                    ..Server::new(*entry, now, slow_start_debt)
                };
            }
            server.entry = *entry;
        }
        self.servers.retain(|_, server| {
            server.entry.state != ServerState::Gone || !server.in_flight.is_empty()
        });
        let ready = self
            .servers
            .values()
            .map(|server| server.entry)
            .filter(|entry| entry.state == ServerState::Ready);
        self.ready = ready.map(|entry| entry.server).collect();
        self.assign_lanes(now);
    }

    // ---- Requests ----

    fn request_received(&mut self, now: Micros, new: NewRequest, actions: &mut Vec<Action>) {
        let class_index = new.class as usize;
        if class_index >= self.classes.len() || self.is_shed_by_degradation(&new) {
            return self.reject(new.id, actions);
        }
        if self.is_stale_retry(&new) || self.is_overloaded(now, &new, actions) {
            return self.reject(new.id, actions);
        }
        let class = &self.settings.classes[class_index];
        // Hints come from clients: an absurdly large one would give a server the whole interval for minutes.
        let hint = new.cost_hint.unwrap_or(0).min(class.deadline) as f64;
        let work = if hint > 0.0 {
            hint
        } else {
            self.classes[class_index].service_time.value
        };
        self.mean_work.add(work);
        self.arrivals.add(now, 1.0);
        let objective = class
            .latency_objective
            .saturating_add((class.latency_objective_stretch * hint) as Micros);
        // A response after the objective earns nothing, so waiting ends there. Non-idempotent requests wait
        // longer: one may have been executed, and its client needs the result.
        let late_is_worthless =
            class.late_weight_share <= 0.0 && class.retry_safety != RetrySafety::NonIdempotent;
        let timeout = if late_is_worthless {
            objective.min(new.time_left)
        } else {
            new.time_left
        };
        let timeout = (self.degradation.timeout_factor * timeout as f64) as Micros;
        let key = new.key.unwrap_or_else(|| self.random.rand_u64());
        let header_timeout_at = now + timeout.saturating_sub(self.settings.tick);
        // Neither what a response is worth nor degradation shortens the client's deadline.
        let deadline = now.saturating_add(new.time_left.saturating_sub(self.settings.tick));
        let times = (header_timeout_at, ClientDeadline(deadline));
        let max_attempts = self.settings.limits.max_attempts as usize;
        let request = Request::new(class_index, key, work, now, times, max_attempts);
        // Response times alone do not distinguish work from queueing: only hints, averaged over many
        // requests, may raise the admission limit.
        let hinted_work = &mut self.classes[class_index].hinted_work;
        hinted_work.step = (hinted_work.step / (1.0 + hinted_work.step)).max(HINT_MEAN_STEP);
        hinted_work.add((hint / class.latency_objective as f64).min(1.0));
        self.classes[class_index].in_flight += 1;
        self.requests.insert(new.id, request);
        let (earned, max_budget) = (RETRY_BUDGET_PER_REQUEST, MAX_RETRY_BUDGET);
        // At least 1: with less, no retry could ever be made.
        let max_budget = (self.degradation.retry_budget_factor * max_budget).max(1.0);
        self.retry_budget =
            (self.retry_budget + self.degradation.retry_budget_factor * earned).min(max_budget);
        self.check_request(now, new.id, actions);
    }

    /// The least loaded of the servers probed for this request's first attempt.
    fn least_loaded_probed(&self, now: Micros, request: &Request) -> Option<ServerId> {
        let probed = request.probed.iter().filter_map(|id| self.servers.get(id));
        let rated = probed
            .filter(|server| server.in_long_lane.is_some())
            .map(|server| {
                let (eligibility, time) = self.rate_server(now, server, request);
                (eligibility, time, server.entry.server)
            });
        let best = rated.min_by(|a, b| {
            (a.0, a.1)
                .partial_cmp(&(b.0, b.1))
                .unwrap_or(Ordering::Equal)
        });
        best.filter(|(eligibility, ..)| *eligibility <= Eligibility::AlreadyTried)
            .map(|(.., id)| id)
    }

    /// Whether the active degradation level sheds this request. All instances shed the same keys, at every
    /// try. A shed request does not count as arrived, so the servers of its class go to the other classes.
    fn is_shed_by_degradation(&mut self, new: &NewRequest) -> bool {
        let class = new.class as usize;
        let share = self
            .degradation
            .rejected_shares
            .get(class)
            .copied()
            .unwrap_or(0.0);
        let is_exempt =
            self.settings.classes[class].priority_weight >= self.degradation.exempt_weight;
        let is_shed = share > 0.0 && !is_exempt && {
            let key = new.key.unwrap_or_else(|| self.random.rand_u64());
            key_position(key) < share
        };
        self.classes[class].shed_requests += u64::from(is_shed);
        is_shed
    }

    /// Whether this is a client's retry whose response would come after the latency objective and so earn
    /// nothing. Its age follows from having less time left than first tries have. In overload such retries
    /// took a tenth of all served work.
    fn is_stale_retry(&mut self, new: &NewRequest) -> bool {
        let class = &self.settings.classes[new.class as usize];
        let state = &mut self.classes[new.class as usize];
        if !new.client_retry {
            state.record_first_try(new.time_left.min(class.deadline));
        }
        let past_objective =
            new.time_left.saturating_add(class.latency_objective) <= class.deadline;
        let is_old = new.time_left < state.max_first_timeout && past_objective;
        new.client_retry && class.late_weight_share <= 0.0 && is_old
    }

    /// Whether to reject this request for overload. Once a queue holds work for a whole latency objective,
    /// every response is late, and clients' retries keep the queue full. So when responses become slow, a
    /// class admits no more than it serves, and least from tenants over their share.
    fn is_overloaded(&mut self, now: Micros, new: &NewRequest, actions: &mut Vec<Action>) -> bool {
        let (class, tenant) = (new.class as usize, new.tenant as usize);
        // Counted before any rejection, so that a class does not lose its servers by being rejected.
        let state = &mut self.classes[class];
        state.arrived_work.add(now, state.service_time.value);
        let mut share = self.relative_priority(class)
            * if new.client_retry {
                CLIENT_RETRY_ADMISSION
            } else {
                1.0
            };
        if let Some(arrivals) = self.tenant_arrivals.get_mut(tenant) {
            arrivals.add(now, 1.0);
            let own = arrivals.value_at(now);
            let all: f64 = self
                .tenant_arrivals
                .iter()
                .map(|arrivals| arrivals.value_at(now))
                .sum();
            let quotas: f64 = self
                .settings
                .tenants
                .iter()
                .map(|tenant| tenant.quota)
                .sum();
            share *= ((all * self.settings.tenants[tenant].quota / quotas + SPARE_REQUESTS) / own)
                .min(1.0);
        }
        let state = &mut self.classes[class];
        let served_per_objective =
            state.served.rate_at(now) * self.settings.classes[class].latency_objective as f64;
        // A burst fills the queues before its first slow response, so the requests in flight are limited from
        // the start. The limit rises gradually: a flood admitted after a few fast responses would cause the
        // next overload. Fractions of a request are admitted at random: one request in flight at each of a
        // thousand instances overloads a hundred servers.
        let admitted_ratio = (ADMITTED_WORK_FACTOR * state.hinted_work.value)
            .clamp(ADMITTED_OBJECTIVE_SHARE, MAX_ADMITTED_OBJECTIVE_SHARE);
        let slack = admitted_ratio / state.latency_ratio;
        let (opening, share) = (slack.powi(ADMISSION_EXPONENT), admitted_ratio * share);
        let limit = (share * opening.max(slack.min(1.0))).min(MAX_QUEUE_OBJECTIVE_SHARE)
            * served_per_objective
            + (share * opening).min(1.0) * SPARE_REQUESTS;
        let is_over = f64::from(state.in_flight) + self.random.rand_float() >= limit;
        if is_over
            && state
                .last_rejected
                .replace(now)
                .is_none_or(|last| now > last + OVERLOAD_LOG_QUIET_TIME)
        {
            actions.push(Action::Log(LogEvent::ClassOverloaded(new.class)));
        }
        is_over
    }

    /// Priority weight of a class per unit of work, as a fraction of the highest among the classes that use
    /// the same servers.
    fn relative_priority(&self, class: usize) -> f64 {
        let work = |index: usize| {
            if self.settings.weight_per_work {
                1.0
            } else {
                self.classes[index].service_time.value
            }
        };
        let weight = |index: usize| self.settings.classes[index].priority_weight / work(index);
        let shares_servers = |index: &usize| {
            !self.classes[*index].retired && self.is_long(*index) == self.is_long(class)
        };
        let weights = (0..self.classes.len()).filter(shares_servers).map(weight);
        weight(class) / weights.fold(f64::MIN_POSITIVE, f64::max)
    }

    /// Whether a further attempt may be sent. Never if an earlier one may have been executed and the request
    /// must not be executed twice.
    fn may_try(&self, now: Micros, request: &Request) -> bool {
        let is_safe = now
            < request.write_by(
                self.settings.classes[request.class].retry_safety,
                self.settings.tick,
            );
        let attempts_left = request.attempts.len() < request.max_attempts;
        is_safe && attempts_left && now < self.abandon_at(request)
    }

    /// Sends the request's next attempt to a server that may receive it. Returns false if nothing was sent.
    fn send_attempt(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) -> bool {
        if !self.requests.get(&id).is_some_and(|r| self.may_try(now, r)) {
            return false;
        }
        let Some(mut request) = self.requests.remove(&id) else {
            return false;
        };
        // In a large group, the instance's own requests in flight say nothing about a server's queue. The
        // first servers that the hash family yields are probed, and the one with the least load for its
        // service rate gets the attempt.
        if request.attempts.is_empty()
            && request.probed.is_empty()
            && self.probe_count > 1
            && self.degradation.allows_probes
        {
            for _ in 0..self.probe_count {
                let Some(server) = self.choose_server(now, &mut request) else {
                    break;
                };
                request.probed.push(server);
                actions.push(Action::Probe(server));
            }
            self.requests.insert(id, request);
            return false;
        }
        let chosen = self
            .least_loaded_probed(now, &request)
            .or_else(|| self.choose_server(now, &mut request));
        if let Some(server) = chosen.and_then(|id| self.servers.get_mut(&id)) {
            let class = &self.classes[request.class];
            let work_ratio =
                (request.work / class.service_time.value.max(self.mean_work.value)).max(1.0);
            let due_at = now + (OVERDUE_FACTOR * class.tail_latency.value * work_ratio) as Micros;
            let attempt = request.attempts.len() as u32;
            let write_by = request.write_by(
                self.settings.classes[request.class].retry_safety,
                self.settings.tick,
            );
            server.in_flight.push(InFlightAttempt {
                request: id,
                attempt,
                work: request.work,
                sent_at: now,
                due_at,
            });
            server.in_flight_work += request.work;
            (server.slow_start_budget, server.slow_start_refilled_at) =
                (server.slow_start_budget_at(now) - request.work, now);
            request.probed.clear();
            request.attempts.push(Attempt {
                entry: server.entry,
                sent_at: now,
                outcome: None,
            });
            let (server, timeout_at) = (server.entry.server, request.attempt_timeout_at(now));
            actions.push(Action::Send {
                request: id,
                server,
                timeout_at,
                write_by,
            });
        }
        self.requests.insert(id, request);
        chosen.is_some()
    }

    /// Chooses a server by the unit interval: hashes the request's key with one function of the hash family
    /// after the other, and compares the first few eligible servers.
    fn choose_server(&mut self, now: Micros, request: &mut Request) -> Option<ServerId> {
        let (lane_limit, former_limit) = (self.lane_size_limit(now), self.lane_limit);
        let lanes_outdated =
            self.classes.len() > 1 || lane_limit > former_limit || lane_limit < former_limit / 2;
        if lanes_outdated && now >= self.lanes_assigned_at + TUNING_PERIOD {
            self.assign_lanes(now);
        }
        let is_long = self.is_long(request.class) && !self.lanes[1].is_empty();
        let lane = std::mem::take(&mut self.lanes[usize::from(is_long)]);
        self.tune_interval(now, &lane);
        let interval = self.cache.get(&lane);
        // Servers to probe are not compared here, but later by their load reports.
        let is_uncompared =
            !request.probed.is_empty() || self.random.rand_float() < UNCOMPARED_SHARE;
        let max_candidates = if is_uncompared { 1 } else { MAX_CANDIDATES };
        let class = &self.settings.classes[request.class];
        let fast_enough = FAST_ENOUGH_SHARE
            * (request.received_at + class.latency_objective).saturating_sub(now) as f64;
        let (mut candidates, mut chosen): (usize, Option<(f64, ServerId)>) = (0, None);
        let mut fallback: Option<(Eligibility, f64, ServerId)> = None;
        for hash in request.next_hash..request.next_hash + HASHES_PER_SELECTION {
            let offset = FixedState::with_seed(u64::from(hash)).hash_one(request.key);
            let owner = interval.and_then(|interval| interval.lookup(offset));
            let Some(id) = owner.filter(|id| !request.probed.contains(id)) else {
                continue;
            };
            let (eligibility, time) = self.rate_server(now, &self.servers[&id], request);
            if eligibility <= Eligibility::AlreadyTried
                && fallback.is_none_or(|(best, least, _)| (eligibility, time) < (best, least))
            {
                fallback = Some((eligibility, time, id));
            }
            if eligibility == Eligibility::Eligible {
                chosen = chosen
                    .filter(|(least, _)| time >= FASTER_CANDIDATE_RATIO * least)
                    .or(Some((time, id)));
                candidates += 1;
                if candidates == max_candidates || time <= fast_enough {
                    request.next_hash = hash + 1;
                    break;
                }
            }
        }
        self.lanes[usize::from(is_long)] = lane;
        chosen.map(|(_, id)| id).or(fallback.map(|(.., id)| id))
    }

    /// Whether this server may receive this request, and the expected response time in microseconds, from the
    /// server's service rate and load.
    fn rate_server(&self, now: Micros, server: &Server, request: &Request) -> (Eligibility, f64) {
        let entry = &server.entry;
        let cross_zone_price = if entry.zone == self.settings.zone {
            0.0
        } else {
            self.settings.prices.cross_zone
        };
        let load = server
            .in_flight_work
            .max(server.reported_in_flight(now) * self.mean_work.value);
        let work = load + CROSS_ZONE_LOAD_REQUESTS * cross_zone_price * self.mean_work.value;
        let class = &self.settings.classes[request.class];
        // Servers that lose some of their attempts are left to requests that can be retried, for which a loss
        // costs little.
        let loss_cost = if class.retry_safety == RetrySafety::NonIdempotent {
            LOSS_COST_OBJECTIVES * server.loss_share * class.latency_objective as f64
        } else {
            0.0
        };
        let time = (work + request.work) / server.service_rate.max(f64::MIN_POSITIVE) + loss_cost;
        let outside_scope = match (request.first_possible_execution(), class.retry_safety) {
            (
                Some(first),
                RetrySafety::IdempotentWithKey {
                    scope: DeduplicationScope::Zone,
                    ..
                },
            ) => first.entry.zone != entry.zone,
            (
                Some(first),
                RetrySafety::IdempotentWithKey {
                    scope: DeduplicationScope::Cell,
                    ..
                },
            ) => first.entry.cell != entry.cell,
            _ => false,
        };
        let budget_spent = server.slow_start_factor(now, &self.settings.rules) < 1.0
            && server.slow_start_budget_at(now) <= 0.0;
        let is_ejected = server
            .ejected_until
            .is_some_and(|until| now < until || !server.in_flight.is_empty());
        let exclusions = [
            (outside_scope, Eligibility::OutsideDeduplicationScope),
            (budget_spent, Eligibility::SlowStartBudgetSpent),
            (
                request
                    .attempts
                    .iter()
                    .any(|attempt| attempt.entry.server == entry.server),
                Eligibility::AlreadyTried,
            ),
            (is_ejected, Eligibility::Ejected),
        ];
        (
            exclusions
                .iter()
                .find(|(applies, _)| *applies)
                .map_or(Eligibility::Eligible, |(_, eligibility)| *eligibility),
            time,
        )
    }

    /// Makes no further decisions for this request. An attempt in flight is cancelled unless it streams its
    /// response.
    fn conclude(&mut self, id: RequestId, streams: bool, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        self.classes[request.class].in_flight -= u32::from(request.is_counted_in_flight());
        request.concluded = true;
        let may_cancel = !streams && self.settings.limits.cancel;
        let unneeded = request
            .attempts
            .iter()
            .position(|attempt| attempt.outcome.is_none() && may_cancel);
        actions.extend(unneeded.map(|index| Action::Cancel {
            request: id,
            attempt: index as u32,
        }));
    }

    /// Ends the request and removes it once none of its attempts is in flight.
    fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.conclude(id, false, actions);
        if self
            .requests
            .get(&id)
            .is_some_and(|request| request.attempts_in_flight() == 0)
        {
            self.requests.remove(&id);
        }
    }

    fn reject(&self, request: RequestId, actions: &mut Vec<Action>) {
        let retry_after = self
            .settings
            .limits
            .retry_after
            .then_some(self.settings.limits.max_retry_after);
        actions.push(Action::Reject {
            request,
            retry_after,
        });
    }

    /// Ends a request without a response from a server: rejects it if the client can safely retry it, and
    /// fails it otherwise.
    fn end_unserved(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_idempotent =
            self.settings.classes[request.class].retry_safety == RetrySafety::Idempotent;
        if is_idempotent || request.first_possible_execution().is_none() {
            self.reject(id, actions);
        } else {
            actions.push(Action::Fail { request: id });
        }
        // A failed attempt is no sign of queueing: counted as one, it would reject requests that idle servers
        // could serve.
        let last_outcome = request.attempts.last().and_then(|attempt| attempt.outcome);
        let attempt_failed = matches!(
            last_outcome,
            Some(Outcome::Error | Outcome::Reset | Outcome::ConnectFailed)
        );
        // Nor is one that timed out while this process did not run.
        if !attempt_failed && request.stalled == 0 {
            self.classes[request.class].record_latency(now, 1.0);
        }
        self.close_request(id, actions);
    }

    /// The time of a request whose body is streamed is over. It ends now, or with its attempt in flight.
    fn request_expired(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = unconcluded(&mut self.requests, id) else {
            return;
        };
        request.header_timeout_at = request.header_timeout_at.min(now);
        request.client_deadline = request.client_deadline.min(ClientDeadline(now));
        request.max_attempts = request.attempts.len();
        if request.attempts_in_flight() == 0 {
            self.end_unserved(now, id, actions);
        }
    }

    /// Sends the next attempt if none is in flight, or abandons the request if its time has passed, and sets
    /// the timer for the next check. Called on arrival, while the request is queued or waits for probes, and
    /// at its timeout.
    fn check_request(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.concluded) else {
            return;
        };
        if now >= self.abandon_at(request) {
            return self.end_unserved(now, id, actions);
        }
        let check_at = if request.attempts_in_flight() == 0 && !self.send_attempt(now, id, actions)
        {
            now + REQUEST_CHECK_PERIOD
        } else {
            Micros::MAX
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let check_at = check_at.min(self.abandon_at(request));
        if check_at < Micros::MAX {
            actions.push(Action::SetTimer {
                at: check_at,
                timer: Timer::Request(id),
            });
        }
    }

    // ---- Responses ----

    /// A server has started its response: the header timeout no longer applies, and the response is awaited
    /// until the client's deadline.
    fn response_started(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = unconcluded(&mut self.requests, id) else {
            return;
        };
        let sent = request.attempts.get(attempt as usize);
        let Some(sent) = sent.filter(|sent| sent.outcome.is_none()) else {
            return;
        };
        if request.started_response.is_some() {
            return;
        }
        let server = sent.entry.server;
        self.classes[request.class].in_flight -= u32::from(request.is_counted_in_flight());
        request.started_response = Some(StartedResponse {
            attempt,
            started_at: now,
        });
        actions.push(Action::AwaitResponse {
            request: id,
            attempt,
            until: request.client_deadline,
        });
        if let Some(server) = self.servers.get_mut(&server) {
            server.last_response = now;
        }
    }

    fn attempt_ended(&mut self, now: Micros, result: AttemptResult, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&result.request) else {
            return;
        };
        let attempt = request.attempts.get_mut(result.attempt as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.outcome.is_none()) else {
            return;
        };
        attempt.outcome = Some(result.outcome);
        let (class, work, latency) = (request.class, request.work, request.latency(now));
        let started_response = request
            .started_response
            .filter(|response| response.attempt == result.attempt);
        if started_response.is_some() && result.outcome != Outcome::Ok {
            // It has failed, and another attempt may be made: the request awaits a response again.
            request.started_response = None;
            self.classes[class].in_flight += u32::from(request.is_counted_in_flight());
        }
        let body_time =
            started_response.map_or(0, |response| now.saturating_sub(response.started_at));
        let (concluded, in_flight) = (request.concluded, request.attempts_in_flight());
        self.record_result(now, class, work, (result, body_time), actions);
        if result.outcome == Outcome::Ok && !concluded {
            let (state, objective) = (
                &mut self.classes[class],
                self.settings.classes[class].latency_objective as f64,
            );
            let latency_ratio = latency as f64 / objective;
            // At most 1: a higher ratio would reject all requests of the class.
            state.record_latency(now, latency_ratio.min(1.0));
            state.served.add(now, 1.0);
            self.served_work.add(now, work);
        }
        if result.request_ended || concluded || result.outcome == Outcome::Ok {
            self.close_request(result.request, actions);
        } else if in_flight == 0
            && self.retry_budget >= 1.0
            && self.send_attempt(now, result.request, actions)
        {
            // Retries are limited by a budget, so that they do not amplify an overload.
            self.retry_budget -= 1.0;
        } else if in_flight == 0 {
            self.end_unserved(now, result.request, actions);
        }
    }

    /// Updates the measurements of the server and the class, and ejects or restores the server. The last part
    /// of the attempt's time, `body_time`, followed the start of the response: it is part of the server's
    /// speed, and not of the class's work.
    fn record_result(
        &mut self,
        now: Micros,
        class: usize,
        work: f64,
        (result, body_time): (AttemptResult, Micros),
        actions: &mut Vec<Action>,
    ) {
        let Some(server) = self.servers.get_mut(&result.server) else {
            return;
        };
        server.in_flight.retain(|attempt| {
            (attempt.request, attempt.attempt) != (result.request, result.attempt)
        });
        server.in_flight_work = server.in_flight.iter().map(|attempt| attempt.work).sum();
        let elapsed = result.elapsed as f64;
        match result.outcome {
            Outcome::Moot => return,
            Outcome::Ok => {
                server.work_sum += work;
                server.time_sum += elapsed.max(1.0);
                server.last_response = now;
                server.failure_score = 0;
                server.ejection_duration = 0;
                let lost = std::mem::take(&mut server.losses_in_a_row);
                server.lost_attempts.add(now, lost);
                server.ended_attempts.add(now, lost + 1.0);
                if server.ejected_until.take().is_some() {
                    actions.push(Action::Log(LogEvent::ServerRestored(result.server)));
                }
                let until_response = result.elapsed.saturating_sub(body_time) as f64;
                self.classes[class].service_time.add(until_response);
                self.classes[class].tail_latency.add(until_response);
                self.mean_response_time.add(elapsed);
            }
            // A fast failure counts as a mean response time: by its own time, a failing server would keep its
            // region and attract traffic.
            _ => server.time_sum += elapsed.max(self.mean_response_time.value),
        }
        server.has_new_results = true;
        let score = match result.outcome {
            Outcome::Timeout => 1,
            Outcome::Error => 2,
            Outcome::ConnectFailed | Outcome::Reset => 3,
            _ => 0,
        };
        server.failure_score = server.failure_score.saturating_add(score);
        if score > 0 && !result.outcome.proves_not_executed() {
            server.losses_in_a_row += 1.0;
        }
        let ejection_score =
            f64::from(EJECTION_SCORE) * (1.0 + EJECTION_SCORE_LOSS_FACTOR * server.loss_share);
        let must_eject = server
            .ejected_until
            .map_or(f64::from(server.failure_score) >= ejection_score, |until| {
                now >= until
            });
        if score > 0 && must_eject {
            server.ejection_duration =
                (2 * server.ejection_duration).clamp(FIRST_EJECTION, MAX_EJECTION);
            server.ejected_until = Some(now + server.ejection_duration);
            actions.push(Action::Log(LogEvent::ServerEjected(
                result.server,
                result.outcome,
            )));
        }
    }

    // ---- Measurement and tuning ----

    /// Assigns the ready servers to lanes. A short request behind a long one misses its latency objective. So
    /// if the service time of some classes is a large part of another class's objective, long and short
    /// classes get separate servers. The long lane's number of servers follows the long classes' share of the
    /// work, and all instances pick them in the same order.
    pub(crate) fn assign_lanes(&mut self, now: Micros) {
        self.lanes_assigned_at = now;
        let work = |class: &ClassState| class.arrived_work.value_at(now);
        let total_work: f64 = self.classes.iter().map(work).sum();
        let long_classes = (0..self.classes.len()).filter(|index| self.is_long(*index));
        let long_share = long_classes
            .map(|index| work(&self.classes[index]))
            .sum::<f64>()
            / total_work.max(1.0);
        let (mut short_lane, mut long_lane) = (self.ready.clone(), Vec::new());
        if short_lane.len() > 1 && long_share > 0.0 && long_share < 1.0 {
            // Stalled and ejected servers serve neither lane, so they do not count.
            let is_serving =
                |server: &Server| !server.is_stalled(now) && server.ejected_until.is_none();
            let serving = self
                .ready
                .iter()
                .filter(|id| is_serving(&self.servers[id]))
                .count();
            let target = (LONG_LANE_SHARE * long_share * serving as f64).round() as usize;
            let mut remaining = target.clamp(1, serving.max(2) - 1);
            short_lane.sort_by_cached_key(|id| FixedState::with_seed(u64::MAX).hash_one(id));
            while remaining > 0
                && let Some(id) = short_lane.pop()
            {
                remaining -= usize::from(is_serving(&self.servers[&id]));
                long_lane.push(id);
            }
        }
        self.lane_limit = self.lane_size_limit(now);
        let own_order = FixedState::with_seed(self.seed);
        for lane in [&mut short_lane, &mut long_lane] {
            lane.sort_by_cached_key(|id| own_order.hash_one(id));
            lane.truncate(self.lane_limit);
            lane.sort_unstable();
        }
        for (id, server) in &mut self.servers {
            let is_long = long_lane.binary_search(id).is_ok();
            server.in_long_lane =
                (is_long || short_lane.binary_search(id).is_ok()).then_some(is_long);
        }
        self.lanes = [short_lane, long_lane];
    }

    /// Maximum number of servers in a lane. A server that rarely responds to this instance cannot be
    /// measured, so hung and slow servers would be tried again and again. An instance that does not probe
    /// therefore uses only as many servers as respond often enough. Each instance chooses its own, so that
    /// the group uses all of them. If a hundred instances all used one server, each would send it another
    /// request before its first late response, and overload it. A few instances that use it often stop soon,
    /// because their own requests in flight show its queue.
    fn lane_size_limit(&self, now: Micros) -> usize {
        let may_probe = self.settings.limits.probes;
        if may_probe && (self.probe_count > 1 || self.settings.group_size < PROBING_GROUP_SIZE) {
            return usize::MAX;
        }
        let period = if may_probe {
            LANE_PERIOD_IN_LARGE_GROUP_US
        } else {
            LANE_PERIOD_US
        };
        let arrivals = (self.arrivals.value_at(now) / ARRIVAL_TIME_CONSTANT_US * period) as usize;
        arrivals.max(MIN_LANE_SERVERS).next_power_of_two()
    }

    fn is_long(&self, class: usize) -> bool {
        self.classes[class].service_time.value
            > LONG_CLASS_OBJECTIVE_SHARE * self.shortest_objective
    }

    /// Creates the interval of this lane, or updates it if its tuning period has passed.
    fn tune_interval(&mut self, now: Micros, lane: &[ServerId]) {
        let gap = TUNING_PERIOD * lane.len().div_ceil(SERVERS_PER_TUNING_PERIOD) as Micros;
        if lane.is_empty() || self.cache.get(lane).is_some_and(|i| now < i.tuned_at + gap) {
            return;
        }
        let rules = self.settings.rules;
        // Slow start of a fleet that has served nothing yet: all instances together start with one request
        // per server and overload window.
        let min_rate = self.mean_work.value
            / rules.overload_window.max(1) as f64
            / f64::from(self.settings.group_size);
        // The lane to tune has been taken out of `self.lanes`.
        let servers = lane.len() + self.lanes.iter().map(Vec::len).sum::<usize>();
        // Work served per server and microsecond. Divided by the whole time constant even if this instance is
        // younger: the slow-start budget is then too low rather than too high.
        let served = self.served_work.value_at(now) / RATE_TIME_CONSTANT_US / servers as f64;
        let long = self.servers.get(&lane[0]).and_then(|s| s.in_long_lane);
        let prior_time = PRIOR_RESPONSES * self.mean_response_time.value;
        // An instance with little traffic receives responses from few of many servers: it assumes that the
        // other servers of a machine kind are as fast as those it has measured.
        let (mut all, mut kinds) = (Totals::default(), BTreeMap::<u32, Totals>::new());
        for server in self.servers.values().filter(|s| s.in_long_lane == long) {
            all.add(server);
            kinds.entry(server.entry.kind).or_default().add(server);
        }
        let mean_rate = (1.0 + all.work) / (1.0 + all.time);
        let mut service_rates = Vec::with_capacity(lane.len());
        for server in self.servers.values_mut().filter(|s| s.in_long_lane == long) {
            // A hung server completes nothing, so the age of its overdue attempts counts as time taken.
            let overdue_times = server
                .in_flight
                .iter()
                .filter(|attempt| now > attempt.due_at)
                .map(|attempt| (now - attempt.sent_at) as f64);
            let time = server.time_sum + overdue_times.sum::<f64>() + prior_time;
            let kind = kinds.entry(server.entry.kind).or_default();
            let kind_rate = (kind.work + mean_rate * prior_time) / (kind.time + prior_time);
            let prior_rate = kind_rate * server.entry.capacity / (kind.capacity / kind.servers);
            server.loss_share = server.current_loss_share(now);
            let factor = server.slow_start_factor(now, &rules);
            server.service_rate = ((server.work_sum + prior_rate * prior_time) / time) * factor;
            service_rates.push(server.service_rate);
            let decay = if std::mem::take(&mut server.has_new_results) {
                MEASUREMENT_DECAY
            } else {
                1.0
            };
            (server.work_sum, server.time_sum) = (decay * server.work_sum, decay * server.time_sum);
            // A warming server receives somewhat more than its share of a warm server's work, because the
            // warm servers cannot do it all. It can save up little of that. A request may overdraw the
            // budget, so that instances with a share of less than one request in all that time also send
            // some.
            (server.slow_start_budget, server.slow_start_refilled_at) =
                (server.slow_start_budget_at(now), now);
            server.slow_start_rate =
                (SLOW_START_PACE * factor * served * (prior_rate / mean_rate)).max(min_rate);
            server.slow_start_max_budget =
                server.slow_start_rate * rules.overload_window as f64 * SLOW_START_SAVED_SHARE;
        }
        if self.cache.len() >= MAX_INTERVALS && !self.cache.contains_key(lane) {
            let oldest = self
                .cache
                .iter()
                .min_by_key(|(_, interval)| interval.tuned_at)
                .map(|(servers, _)| servers.clone());
            oldest.and_then(|servers| self.cache.remove(&servers));
        }
        let interval = self
            .cache
            .entry(lane.to_vec())
            .or_insert_with(|| Interval::new(lane.to_vec()));
        interval.tune(&service_rates);
        interval.tuned_at = now;
    }
}
