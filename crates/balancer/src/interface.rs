//! The words in which an embedder and the decision module speak: settings, events and actions.

use foldhash::quality::FixedState;
use std::fmt;
use std::hash::BuildHasher;

/// A time, or a span of time, in microseconds. Times only ever grow; their zero means nothing.
pub type Micros = u64;

/// A request as the embedder numbers it. No number is used twice.
pub type RequestId = u64;

/// A server. The number is the same at every instance, so that instances agree on hashes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

impl ServerId {
    /// The number of a server of this name: its hash, the same at every instance.
    pub fn named(name: &str) -> Self {
        ServerId(FixedState::with_seed(0).hash_one(name))
    }
}

/// The number in 16 hexadecimal digits, as logs and events name a server whose name is not known.
impl fmt::Display for ServerId {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{:016x}", self.0)
    }
}

/// What a balancer is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Instances that send to the same servers, this one included.
    pub group_size: u32,
    /// The zone this instance is in.
    pub zone: u32,
    /// The shortest gap between two calls of [`crate::Balancer::handle`] at different times.
    pub tick: Micros,
    /// Request classes; a request names its class by its place here.
    pub classes: Vec<Class>,
    /// Tenants; may be empty. A request names its tenant by its place here.
    pub tenants: Vec<Tenant>,
    /// Whether server lists come only when asked for.
    pub discovery_on_request: bool,
    /// What the site allows.
    pub limits: Limits,
    /// Figures of the safety rules.
    pub rules: Rules,
    /// What things cost, as parts of a request's worth.
    pub prices: Prices,
    /// Whether a class's worth is for each unit of work instead of for each request.
    pub worth_by_work: bool,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Micros,
    /// Extra time on the aim, as a multiple of the request's hinted work.
    pub aim_stretch: f64,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// What may be done twice.
    pub effect: Effect,
    /// Worth of a request.
    pub worth: f64,
    /// Part of the worth that an answer earns past the aim.
    pub late_worth: f64,
}

/// Whether an attempt that may have run can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Freely.
    Safe,
    /// Within the servers of a scope that discard repeats, for a time after the first send.
    Keyed {
        /// Which servers discard each other's repeats.
        scope: Scope,
        /// How long they remember.
        window: Micros,
    },
    /// Never.
    Unsafe,
}

/// Servers that discard each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A tenant's part of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all instances, within its share.
    pub quota: f64,
}

/// What the site allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Attempts that may be called off.
    pub cancel: bool,
    /// Servers may be asked for their load.
    pub probes: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// The longest wait a client honours.
    pub max_retry_after: Micros,
    /// Attempts a request may have.
    pub max_attempts: u32,
}

/// Figures of the safety rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// A server starts at this share of its capacity or more.
    pub cold_from: f64,
    /// And is warm after this time at most.
    pub cold: Micros,
    /// A cold server sent a multiple of its present capacity for this long falls over.
    pub fall: Micros,
    /// An instance that follows no list and has not asked for it for this long, or four times this after a call that
    /// failed, is held to know what the list said then. Above 0.
    pub ask_within: Micros,
    /// What is sent to a server that drains or left, this long after that was told, breaks the rules.
    pub drain_grace: Micros,
}

impl Rules {
    /// What discovery has to tell counts as told after this, whether or not it has arrived.
    pub const TOLD: Micros = 6_000_000;
    /// A process that starts may take the place of one that ended this long ago, and the list of its configuration is as
    /// old: what changed since then it has missed.
    pub const DOWN: Micros = 5_000_000;
    /// A call for the list is answered in this time where discovery can be reached and is not overrun.
    pub const ANSWERED: Micros = 1_000_000;

    /// So long after a list was last known whole another call has to begin: what changed since counts as told 6 s after
    /// discovery had it, and once the grace is over nothing may go to a server that has left.
    pub fn ask_anew(&self) -> Micros {
        (Self::TOLD - Self::ANSWERED).saturating_add(self.drain_grace)
    }
}

/// What things cost, in parts of a request's worth for each time they are done.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// A probe.
    pub probe: f64,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// News of the server list.
    Members(Members<'a>),
    /// A client's request has come; it is owed one final answer.
    Request(NewRequest),
    /// A stream has begun to flow; the request is bound to this attempt and has no deadline now.
    Begun {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// An attempt is over.
    Closed(Closed),
    /// A server has answered a probe; without a report where it did not.
    Probed(ServerId, Option<Report>),
    /// The client has left; the request is over.
    ClientGone(RequestId),
    /// A timer asked for has come due.
    Timer(Timer),
    /// Another level of service holds from now on.
    Level(&'a Reduced),
    /// A request's body is on its way and goes to its server as it comes. Until it is whole the request's time stands
    /// still, and nothing of it counts as open or overdue: what it waits for is its client.
    Coming(RequestId),
    /// Its last byte has come: its time runs from now on.
    Came(RequestId),
    /// Nothing of it can be sent again: it has no more attempts than it has had.
    Spent(RequestId),
    /// Other settings hold from now on. What is open goes on by the class that it came with.
    Settings(&'a Retuned),
}

/// Other settings for an instance that goes on. A class keeps its place for as long as a request of it is open, so that
/// its effect and times bind that request to its end; a class that has changed gets a place of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Retuned {
    /// All settings; as many classes as before, or more.
    pub settings: Settings,
    /// For each class, its place before: what was learned there holds for it. None for one that is new.
    pub learned: Vec<Option<u32>>,
    /// For each class, whether no new request names it: it stands for those that are open alone.
    pub retired: Vec<bool>,
}

/// What is given up for now. The default gives up nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct Reduced {
    /// For each class, by its place, the share of its keys from 0 to 1 whose requests are refused at once; 0 where
    /// the list ends before it. A request goes by the [`place`] of its key, one without a key by chance.
    pub away: Vec<f64>,
    /// Classes of at least this worth are spared that.
    pub spare_worth: f64,
    /// Whether servers may be asked for their load, where the site allows it.
    pub probes: bool,
    /// The part of the usual retry budget that is left, from 0 to 1.
    pub retries: f64,
    /// The part of the usual time that is waited for an answer, from 0 to 1.
    pub patience: f64,
}

impl Default for Reduced {
    fn default() -> Self {
        Reduced {
            away: Vec::new(),
            spare_worth: f64::INFINITY,
            probes: true,
            retries: 1.0,
            patience: 1.0,
        }
    }
}

/// Where a key lies from 0 to 1, the same at every instance. Its hash is another than those by which servers are
/// chosen: else the keys that are turned away would be those of some of the servers.
pub fn place(key: u64) -> f64 {
    (FixedState::with_seed(0x6c65_7665_6c73).hash_one(key) >> 11) as f64 / (1u64 << 53) as f64
}

/// What a server tells of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests it holds, or where that is not told, that wait there.
    pub held: f64,
    /// Errors a second.
    pub errors: f64,
}

/// News of the server list.
#[derive(Clone, Debug, PartialEq)]
pub enum Members<'a> {
    /// The whole list; servers absent from it are gone.
    Full(&'a [Listed]),
    /// Only what has changed.
    Changes(&'a [Listed]),
    /// A call for the list, or the subscription, has failed.
    Failed {
        /// What was listed then is known: the subscription's last word, or the beginning of a call that told nothing.
        since: Micros,
        /// How long discovery, once reached, let the call wait before it failed. 0 where it was not reached, or a subscription
        /// has ended; [`Micros::MAX`] where that is not known.
        waited: Micros,
        /// Its connection broke while it waited, so that discovery may have died of its callers; also where that is not known.
        /// False where discovery answered that it takes no call, was not reached, or was silent.
        broken_off: bool,
    },
    /// A call for the list was answered, and its watch is open. Another call that is due is not wanted any more.
    Watching,
    /// A call for the list was not answered for so long that another one has to be made in time. It goes on waiting and may
    /// still bring the list, or fail.
    Silent {
        /// The beginning of the call.
        since: Micros,
    },
}

/// A server as it is listed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// The kind of machine it is. Servers of one kind are held to be alike until measured.
    pub kind: u32,
    /// When it last started, if that was not long ago.
    pub started: Option<Micros>,
    /// Listed capacity, to compare servers by.
    pub capacity: f64,
    /// Whether it takes new work.
    pub state: ServerState,
}

/// Whether a listed server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Gone,
}

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: u32,
    /// Its tenant.
    pub tenant: u32,
    /// Its subject, if it has one.
    pub key: Option<u64>,
    /// How long the client waits for this try.
    pub time_left: Micros,
    /// A guess of its work, if there is one.
    pub cost: Option<Micros>,
    /// The client has said that it tried before.
    pub repeat: bool,
}

/// An attempt that is over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Closed {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, counted from 0 in the order of sending.
    pub attempt: u32,
    /// Where it was sent.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub elapsed: Micros,
    /// Whether the request is over with it.
    pub ended: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the attempt had no effect.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Asking for the server list again.
    Discovery,
    /// A look at one request.
    Request(RequestId),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request's next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// When the attempt times out.
        timeout_at: Micros,
        /// Its last byte may not be written from then on: where the connection comes up later, nothing may go out, and the
        /// outcome is [`Outcome::Moot`]. The end of a repeat's idempotency window; without one, the end of time.
        write_by: Micros,
    },
    /// Ask a server for its load.
    Probe(ServerId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// End the request unserved; the client may safely try again.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice on when to come back.
        retry_after: Option<Micros>,
    },
    /// End the request as failed; nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Call back at this time.
    SetTimer {
        /// When.
        at: Micros,
        /// What for.
        timer: Timer,
    },
    /// Open (or renew) the subscription to list changes.
    Subscribe,
    /// Write a line for the operators.
    Log(Note),
}

/// A line for the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Requests of a class are refused early, for the first time in a while.
    Overload(u32),
    /// A server has been ejected.
    Ejected(ServerId, Outcome),
    /// A server is back after a trial.
    Restored(ServerId),
    /// The server list is out of reach.
    DiscoveryFailed,
}

/// The longest span that settings may hold: added to any time that a clock shows in a thousand years, it is still one.
pub const LONGEST: Micros = 1 << 62;
const TOO_LONG: &str = "must be 2^62 microseconds at most";

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field at fault.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks every field and names the first that makes no sense.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let check = |good: bool, field: &str, problem: &str| {
            if good {
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
        for (i, class) in self.classes.iter().enumerate() {
            check(
                class.aim > 0,
                &format!("classes[{i}].aim"),
                "must be above 0",
            )?;
            check(
                class.deadline > 0,
                &format!("classes[{i}].deadline"),
                "must be above 0",
            )?;
            let window = if let Effect::Keyed { window, .. } = class.effect {
                window
            } else {
                0
            };
            for (span, field) in [
                (class.aim, "aim"),
                (class.deadline, "deadline"),
                (window, "window"),
            ] {
                check(span <= LONGEST, &format!("classes[{i}].{field}"), TOO_LONG)?;
            }
            let worth = class.worth.is_finite() && class.worth >= 0.0;
            check(worth, &format!("classes[{i}].worth"), "must be 0 or more")?;
            let late = (0.0..=1.0).contains(&class.late_worth);
            check(
                late,
                &format!("classes[{i}].late_worth"),
                "must lie in 0..=1",
            )?;
            let stretch = class.aim_stretch.is_finite() && class.aim_stretch >= 0.0;
            check(
                stretch,
                &format!("classes[{i}].aim_stretch"),
                "must be 0 or more",
            )?;
        }
        for (i, tenant) in self.tenants.iter().enumerate() {
            let quota = tenant.quota.is_finite() && tenant.quota >= 0.0;
            check(quota, &format!("tenants[{i}].quota"), "must be 0 or more")?;
        }
        for (span, field) in [
            (self.tick, "tick"),
            (self.limits.max_retry_after, "limits.max_retry_after"),
            (self.rules.cold, "rules.cold"),
            (self.rules.fall, "rules.fall"),
            (self.rules.ask_within, "rules.ask_within"),
        ] {
            check(span <= LONGEST, field, TOO_LONG)?;
        }
        check(
            self.limits.max_attempts > 0,
            "limits.max_attempts",
            "must be at least 1",
        )?;
        check(
            self.rules.ask_within > 0,
            "rules.ask_within",
            "must be above 0",
        )?;
        let from = self.rules.cold_from;
        check(
            from > 0.0 && from <= 1.0,
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
