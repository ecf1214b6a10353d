//! Interface between an embedder and the decision module: settings, events and actions.

use foldhash::quality::FixedState;
use std::fmt;
use std::hash::BuildHasher;

/// A point in time or a duration, in microseconds. Points in time never decrease; their origin has no meaning.
pub type Micros = u64;

/// Number of a client request, assigned by the embedder. No number is used twice.
pub type RequestId = u64;

/// Number of a server. It is the same at every instance, so that instances agree on hashes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

impl ServerId {
    /// The number of the server with this name: a hash of the name, the same at every instance.
    pub fn from_name(name: &str) -> Self {
        ServerId(FixedState::with_seed(0).hash_one(name))
    }
}

/// The number in 16 hexadecimal digits. Logs and events identify a server by it when its name is unknown.
impl fmt::Display for ServerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Settings of one balancer instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of instances that send to the same servers, including this one.
    pub group_size: u32,
    /// Zone of this instance.
    pub zone: u32,
    /// The shortest time between two calls of [`crate::Balancer::handle`] with different times.
    pub tick: Micros,
    /// Request classes. A request refers to its class by the index in this list.
    pub classes: Vec<Class>,
    /// Tenants; may be empty. A request refers to its tenant by the index in this list.
    pub tenants: Vec<Tenant>,
    /// Whether discovery sends the server list only after [`Action::PollDiscovery`].
    pub discovery_on_request: bool,
    /// Which features the site permits, and their limits.
    pub limits: Limits,
    /// Parameters of the safety rules.
    pub rules: SafetyRules,
    /// Prices of operations, as fractions of a request's priority weight.
    pub prices: Prices,
    /// Whether a class's priority weight applies to each unit of work instead of each request.
    pub weight_per_work: bool,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective: a response within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// Additional latency objective, as a multiple of the request's hinted work.
    pub latency_objective_stretch: f64,
    /// How long a client waits for a response in total, retries included.
    pub deadline: Micros,
    /// Whether requests may be executed more than once.
    pub retry_safety: RetrySafety,
    /// Priority weight of a request.
    pub priority_weight: f64,
    /// Fraction of the priority weight, from 0 to 1, that a response earns after the latency objective.
    pub late_weight_share: f64,
}

/// Whether a request can be retried after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Idempotent: retries are always safe.
    Idempotent,
    /// Idempotent with a key: servers of one scope discard duplicates for some time after the first attempt was sent.
    IdempotentWithKey {
        /// Servers that recognize each other's duplicates.
        scope: DeduplicationScope,
        /// How long servers recognize a duplicate.
        window: Micros,
    },
    /// Non-idempotent: retries are never safe.
    NonIdempotent,
}

/// The servers that recognize and discard duplicates of each other's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A tenant's share of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Guaranteed requests per second, summed over all instances.
    pub quota: f64,
}

/// Which features the site permits, and their limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether servers may be probed for their load.
    pub probes: bool,
    /// Whether rejections carry a `Retry-After` time.
    pub retry_after: bool,
    /// The longest `Retry-After` time that clients honour.
    pub max_retry_after: Micros,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
}

/// Parameters of the safety rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SafetyRules {
    /// Slow start: the least fraction of its capacity that a server has when it starts.
    pub slow_start_min_share: f64,
    /// Slow start: the longest time until a started server has its full capacity.
    pub slow_start_window: Micros,
    /// A warming server collapses if it receives a multiple of its present capacity for this long.
    pub overload_window: Micros,
    /// An instance without a watch that has not polled discovery for this long, or for four times this after a failed call, is
    /// assumed to know the server list of that moment. Above 0.
    pub max_poll_interval: Micros,
    /// How long after the notification that a server drains or has left requests may still be sent to it. Later requests break
    /// the safety rules.
    pub drain_grace: Micros,
}

impl SafetyRules {
    /// An instance is assumed to know a change of the server list this long after discovery has it, whether or not the update
    /// has arrived.
    pub const ASSUMED_NOTIFIED_AFTER: Micros = 6_000_000;
    /// A process may replace one that ended up to this long before, and the server list in its configuration is as old: it
    /// has missed the changes since then.
    pub const MAX_RESTART_GAP: Micros = 5_000_000;
    /// Discovery answers a call within this time if it is reachable and not overloaded.
    pub const DISCOVERY_RESPONSE_TIME: Micros = 1_000_000;

    /// The longest time between the moment for which the server list is known and the start of the next discovery call. Changes
    /// count as known 6 s after discovery has them, and after the drain grace no request may go to a server that has left.
    pub fn poll_again_within(&self) -> Micros {
        (Self::ASSUMED_NOTIFIED_AFTER - Self::DISCOVERY_RESPONSE_TIME)
            .saturating_add(self.drain_grace)
    }
}

/// Price of each use of an operation, as a fraction of a request's priority weight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// An attempt to a server in another zone.
    pub cross_zone: f64,
    /// A load probe.
    pub probe: f64,
}

/// When a client stops waiting for its response, in microseconds of the embedder's clock. A response that a server has started is
/// awaited until then. The header timeout of an attempt, which applies until a response starts, is a plain [`Micros`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientDeadline(pub Micros);

/// Something that has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Discovery has sent the server list or a change of it, or a call to it has failed.
    DiscoveryUpdated(DiscoveryUpdate<'a>),
    /// A client has sent a request. It must receive exactly one final response.
    RequestReceived(NewRequest),
    /// A streaming response has started. The request stays with this attempt and no longer has a deadline.
    ResponseStreamStarted {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// A server has started a successful response that is not complete, and nothing of which has reached the client. From now on
    /// the attempt times out at the client's deadline, and the request counts neither as in flight in its class nor as queueing.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// A probe has ended; without a load report if the server did not answer it.
    ProbeCompleted(ServerId, Option<LoadReport>),
    /// The client has disconnected, which ends the request.
    ClientDisconnected(RequestId),
    /// A timer set by [`Action::SetTimer`] has fired.
    TimerFired(Timer),
    /// The active degradation level has changed.
    DegradationChanged(&'a DegradationEffects),
    /// A request's body is streamed to its server while the client still sends it, or is so long that the server takes a while to
    /// read it. Until the body is complete, the request's deadline does not run and the request counts as neither in flight nor
    /// overdue, since the transfer causes the delay.
    RequestBodyStarted(RequestId),
    /// The last byte of the request's body has arrived. The request's deadline runs from now on. The embedder, which
    /// knows how much of the body the server has read, applies the timeout of [`Action::Send`] from then on.
    RequestBodyReceived(RequestId),
    /// The request cannot be sent again: it gets no further attempts.
    RetriesDisabled(RequestId),
    /// The time of a request whose body is or was streamed is over. It gets no further attempts, and those in flight end.
    RequestExpired(RequestId),
    /// This process did not run for this long, in microseconds, before this event: it was stopped, got no processor, or was
    /// kept by one task. Responses may have arrived meanwhile, so the time counts neither against a server nor as latency.
    /// Deadlines are not moved: clients do not wait longer.
    EventLoopStalled(Micros),
    /// New settings apply from now on. Requests in flight keep the class that they were received with.
    SettingsChanged(&'a SettingsChange),
}

/// New settings for a running instance. A class keeps its index for as long as one of its requests is in flight, so that its
/// retry safety and times apply to that request until it ends. A class whose settings change gets a new index.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsChange {
    /// The complete new settings, with at least as many classes as before.
    pub settings: Settings,
    /// For each class, the former index of the class whose measurements it inherits. None for a new class.
    pub inherited_from: Vec<Option<u32>>,
    /// For each class, whether it is retired: it serves requests in flight, and new requests do not use it.
    pub retired: Vec<bool>,
}

/// What the active degradation level restricts. The default restricts nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct DegradationEffects {
    /// For each class, by index, the share of its keys, from 0 to 1, whose requests are shed on arrival; 0 for classes beyond
    /// the end of the list. The key's [`key_position`] decides; a request without a key gets a random one.
    pub rejected_shares: Vec<f64>,
    /// Classes of at least this priority weight are exempt from shedding.
    pub exempt_weight: f64,
    /// Whether servers may be probed for their load, if the site permits it.
    pub allows_probes: bool,
    /// Remaining fraction of the normal retry budget, from 0 to 1.
    pub retry_budget_factor: f64,
    /// Remaining fraction of the normal time that a request waits for a response, from 0 to 1.
    pub timeout_factor: f64,
}

impl Default for DegradationEffects {
    fn default() -> Self {
        DegradationEffects {
            rejected_shares: Vec::new(),
            exempt_weight: f64::INFINITY,
            allows_probes: true,
            retry_budget_factor: 1.0,
            timeout_factor: 1.0,
        }
    }
}

/// Position of a key between 0 and 1, the same at every instance. Its hash differs from those that choose servers: otherwise
/// the keys that are shed would all belong to the same few servers.
pub fn key_position(key: u64) -> f64 {
    (FixedState::with_seed(0x6c65_7665_6c73).hash_one(key) >> 11) as f64 / (1u64 << 53) as f64
}

/// A server's report of its own load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the server, or only those queued there if it does not report more.
    pub in_flight: f64,
    /// Errors per second.
    pub errors_per_second: f64,
}

/// Outcome of a discovery call, or an update of its watch.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryUpdate<'a> {
    /// The complete server list; servers that are not in it are gone.
    FullList(&'a [ServerEntry]),
    /// Only the entries that have changed.
    ListChanges(&'a [ServerEntry]),
    /// A discovery call or its watch has failed.
    CallFailed {
        /// The moment whose server list is known: the last update of the watch, or the start of a call that returned nothing.
        list_known_at: Micros,
        /// How long the call waited, after it had reached discovery, until it failed. 0 if discovery was not reached or a watch
        /// ended; [`Micros::MAX`] if this is unknown.
        waited: Micros,
        /// Whether the connection broke while the call waited, so that discovery may have crashed under the load of its
        /// callers; true also if this is unknown. False if discovery rejected the call, was not reached or did not answer.
        connection_broken: bool,
    },
    /// A discovery call starts, whoever asked for it: the balancer, or the fleet. It replaces a call that is still due. Its failure
    /// is reported with this time as its start. An embedder that only makes the calls that the balancer asks for need not report
    /// it.
    CallStarted,
    /// A discovery call was answered and its watch is open. It replaces a call that is still due.
    WatchOpened,
    /// A discovery call has waited so long without an answer that another one is needed to keep the list up to date. It
    /// continues to wait, and may still return the list or fail.
    CallUnanswered {
        /// Start of the call.
        call_started_at: Micros,
    },
}

/// A server's entry in the server list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Machine kind. Servers of one kind are assumed to be equally fast until they have been measured.
    pub kind: u32,
    /// Start of its current incarnation, if that was recent.
    pub started_at: Option<Micros>,
    /// Listed capacity, relative to that of other servers.
    pub capacity: f64,
    /// Whether it accepts new requests.
    pub state: ServerState,
}

/// Whether a listed server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts new requests.
    Ready,
    /// It only completes its requests in flight.
    Draining,
    /// It has left.
    Gone,
}

/// A request received from a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    /// Its number.
    pub id: RequestId,
    /// Index of its class.
    pub class: u32,
    /// Index of its tenant.
    pub tenant: u32,
    /// Affinity key, if it has one: requests with the same key go to the same server where possible.
    pub key: Option<u64>,
    /// How long the client waits for a response to this try.
    pub time_left: Micros,
    /// Estimate of its work, if it comes with one.
    pub cost_hint: Option<Micros>,
    /// Whether the client marked it as a retry of an earlier request.
    pub client_retry: bool,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Index of the attempt among those of the request, from 0 in the order of sending.
    pub attempt: u32,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub elapsed: Micros,
    /// Whether the request ended together with the attempt.
    pub request_ended: bool,
}

/// How an attempt ended. Logs contain these names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server returned a successful response.
    Ok,
    /// The server returned an error; it may have executed the request.
    Error,
    /// The server rejected the request without executing it.
    Full,
    /// No response in time; the server may have executed the request.
    Timeout,
    /// No connection to the server was established.
    ConnectFailed,
    /// The connection broke; the server may have executed the request.
    Reset,
    /// This instance cancelled the attempt; the server may have executed the request.
    Cancelled,
    /// The attempt was not sent.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the server did not execute the request.
    pub fn proves_not_executed(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The next discovery call.
    Discovery,
    /// The next check of one request.
    Request(RequestId),
}

/// Something for the embedder to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request's next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// When the attempt times out if no response has started by then.
        timeout_at: Micros,
        /// The last byte of the attempt must be written before this time. If the connection is established later, send nothing
        /// and report [`Outcome::Moot`]. It is the end of the idempotency window for a retry with an idempotency key, and
        /// [`Micros::MAX`] if there is no limit.
        write_by: Micros,
    },
    /// Await the rest of a response that has started until the client's deadline, whatever [`Action::Send`] said.
    AwaitResponse {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
        /// The client's deadline.
        until: ClientDeadline,
    },
    /// Probe a server for its load.
    Probe(ServerId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// End the request without a response from a server; the client may safely retry it.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Option<Micros>,
    },
    /// End the request as failed. The request may have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Return [`Event::TimerFired`] at a given time.
    SetTimer {
        /// When the timer fires.
        at: Micros,
        /// The timer's purpose.
        timer: Timer,
    },
    /// Call discovery for the server list and open, or renew, the watch on its changes.
    PollDiscovery,
    /// Write a log line for operators.
    Log(LogEvent),
}

/// An event to log for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogEvent {
    /// Requests of the class at this index are rejected for overload, for the first time in a while.
    ClassOverloaded(u32),
    /// A server has been ejected after an attempt that ended this way.
    ServerEjected(ServerId, Outcome),
    /// An ejected server has passed its trial request and receives requests again.
    ServerRestored(ServerId),
    /// A discovery call or watch has failed.
    DiscoveryFailed,
}

/// The longest duration that settings may contain. Its sum with any clock time of the next thousand years does not overflow.
pub const MAX_DURATION: Micros = 1 << 62;
const DURATION_TOO_LONG: &str = "must be 2^62 microseconds at most";

/// Invalid settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the invalid field.
    pub field: String,
    /// Why its value is invalid.
    pub problem: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "setting {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks every field and reports the first invalid one.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let check = |valid: bool, field: &str, problem: &str| {
            if valid {
                Ok(())
            } else {
                Err(SettingsError {
                    field: field.into(),
                    problem: problem.into(),
                })
            }
        };
        check(self.group_size > 0, "group_size", "must be at least 1")?;
        check(
            !self.classes.is_empty(),
            "classes",
            "must name at least one class",
        )?;
        for (index, class) in self.classes.iter().enumerate() {
            check(
                class.latency_objective > 0,
                &format!("classes[{index}].aim"),
                "must be above 0",
            )?;
            check(
                class.deadline > 0,
                &format!("classes[{index}].deadline"),
                "must be above 0",
            )?;
            let window = if let RetrySafety::IdempotentWithKey { window, .. } = class.retry_safety {
                window
            } else {
                0
            };
            for (duration, field) in [
                (class.latency_objective, "aim"),
                (class.deadline, "deadline"),
                (window, "window"),
            ] {
                check(
                    duration <= MAX_DURATION,
                    &format!("classes[{index}].{field}"),
                    DURATION_TOO_LONG,
                )?;
            }
            let valid_weight = class.priority_weight.is_finite() && class.priority_weight >= 0.0;
            check(
                valid_weight,
                &format!("classes[{index}].worth"),
                "must be 0 or more",
            )?;
            let valid_share = (0.0..=1.0).contains(&class.late_weight_share);
            check(
                valid_share,
                &format!("classes[{index}].late_worth"),
                "must lie in 0..=1",
            )?;
            let valid_stretch = class.latency_objective_stretch.is_finite()
                && class.latency_objective_stretch >= 0.0;
            check(
                valid_stretch,
                &format!("classes[{index}].aim_stretch"),
                "must be 0 or more",
            )?;
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            let valid_quota = tenant.quota.is_finite() && tenant.quota >= 0.0;
            check(
                valid_quota,
                &format!("tenants[{index}].quota"),
                "must be 0 or more",
            )?;
        }
        for (duration, field) in [
            (self.tick, "tick"),
            (self.limits.max_retry_after, "limits.max_retry_after"),
            (self.rules.slow_start_window, "rules.cold"),
            (self.rules.overload_window, "rules.fall"),
            (self.rules.max_poll_interval, "rules.ask_within"),
        ] {
            check(duration <= MAX_DURATION, field, DURATION_TOO_LONG)?;
        }
        check(
            self.limits.max_attempts > 0,
            "limits.max_attempts",
            "must be at least 1",
        )?;
        check(
            self.rules.max_poll_interval > 0,
            "rules.ask_within",
            "must be above 0",
        )?;
        let min_share = self.rules.slow_start_min_share;
        check(
            min_share > 0.0 && min_share <= 1.0,
            "rules.cold_from",
            "must lie above 0 and at most at 1",
        )?;
        for (price, field) in [
            (self.prices.cross_zone, "prices.cross_zone"),
            (self.prices.probe, "prices.probe"),
        ] {
            check(
                price.is_finite() && price >= 0.0,
                field,
                "must be 0 or more",
            )?;
        }
        Ok(())
    }
}
