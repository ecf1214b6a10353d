//! Experiment files: a world, a load, faults, arms and expectations, as TOML.
//!
//! Every field has a default, so that a file with a fault is told all of its problems at once; what must not be
//! missing is a matter of the check.

use madderloom_config_reader::Span;
use serde::{Deserialize, Serialize};

/// The format version that this build reads and writes.
pub const VERSION: u32 = 1;

/// One experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Experiment {
    /// The format, [`VERSION`].
    pub version: u32,
    /// Its name; also that of its result folder.
    pub name: String,
    /// What it shows, in a sentence or two.
    pub about: String,
    /// How long requests arrive. A run goes on until all of them have ended.
    pub duration: Span,
    /// What arrives before this counts for nothing.
    pub warmup: Span,
    /// Steps of the time series.
    pub window: Span,
    /// The seeds of its runs.
    pub seeds: Vec<u64>,
    /// The instances of the balancer.
    pub instances: Instances,
    /// The servers, by kind.
    pub servers: Vec<ServerKind>,
    /// What lies between instances and servers.
    pub network: Network,
    /// How instances learn of servers.
    pub discovery: Discovery,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Who sends the requests.
    pub clients: Clients,
    /// How the load goes; the whole day at one rate where there is none.
    pub phases: Vec<Phase>,
    /// What breaks when.
    pub faults: Vec<Fault>,
    /// The policies that are compared.
    pub arms: Vec<Arm>,
    /// What must hold.
    pub expect: Vec<Expectation>,
}

/// The instances of the balancer: one beside each copy of the application.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Instances {
    /// How many.
    pub count: u32,
    /// The shortest gap between two turns of an instance, in which what came meanwhile is handled at one time.
    pub tick: Span,
    /// How unequal their load is: 0 all alike, else the exponent of a Zipf law.
    pub skew: f64,
    /// The settings that the decision module is told besides what the world says: probes, cancel and so on.
    pub allow: Allow,
}

/// What the site allows an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Allow {
    /// Calling attempts off.
    pub cancel: bool,
    /// Probing servers for their load.
    pub probes: bool,
    /// Telling clients when to come back, and for how long at most.
    pub retry_after: Span,
    /// Attempts of a request.
    pub max_attempts: u32,
    /// The price of a probe and of a crossing of zones, in parts of a request's worth.
    pub probe_price: f64,
    /// See `probe_price`.
    pub cross_zone_price: f64,
    /// After a server was told to drain or gone, sends to it must cease within this.
    pub drain_grace: Span,
    /// A cold server sent over this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...for this long falls over.
    pub fall: Span,
}

/// Servers of one kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerKind {
    /// The kind's name, unique; its servers are `NAME-0`, `NAME-1` and so on, their zones in turn.
    pub name: String,
    /// How many servers.
    pub count: u32,
    /// Cores of each.
    pub cores: u32,
    /// Standard microseconds of work that a core does in a microsecond.
    pub speed: f64,
    /// How unequal the servers of this kind are: the coefficient of variation of their speeds.
    pub speed_cv: f64,
    /// Listed capacity; 0 stands for `cores * speed`.
    pub weight: f64,
    /// Requests that may wait; more are turned away unseen.
    pub queue: u32,
    /// With over `crowded_at` requests a core held for `crowded_after` a server turns `crowded_slower` times
    /// slower, and stays so until it has held under `crowded_until` a core for `crowded_rest`. 0: never.
    pub crowded_at: f64,
    /// See `crowded_at`.
    pub crowded_after: Span,
    /// See `crowded_at`.
    pub crowded_slower: f64,
    /// See `crowded_at`.
    pub crowded_until: f64,
    /// See `crowded_at`.
    pub crowded_rest: Span,
    /// A started server begins at this share of its speed...
    pub cold_from: f64,
    /// ...and is warm after this.
    pub cold: Span,
    /// The share of a request's work that it costs where its key was met lately...
    pub warm_key_work: f64,
    /// ...which is remembered for this long, and for so many keys.
    pub warm_key_for: Span,
    /// See `warm_key_for`.
    pub warm_keys: u32,
    /// Connections that it holds; more are refused.
    pub connections: u32,
    /// Work that a handshake costs it, for a standard core.
    pub handshake: Span,
    /// The share of requests that fail there on a good day.
    pub error_rate: f64,
    /// Whether work whose request was given up stops: waiting work, or running work too.
    pub cancel: CancelStops,
    /// How often its load report is taken anew, 0 for no reports; how late it is told; how wrong it is.
    pub report_every: Span,
    /// See `report_every`.
    pub report_delay: Span,
    /// See `report_every`: the coefficient of variation of what is told.
    pub report_noise: f64,
    /// Work that a probe costs it.
    pub probe: Span,
}

/// Which work stops when its request is given up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelStops {
    /// None.
    Nothing,
    /// What waits.
    #[default]
    Waiting,
    /// What waits and what runs.
    All,
}

/// What lies between instances and servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Zone names; servers and instances are put into them in turn.
    pub zones: Vec<String>,
    /// One way within a zone.
    pub same: Span,
    /// One way between zones.
    pub cross: Span,
    /// The coefficient of variation of each way.
    pub jitter: f64,
    /// A connection that has not come up within this does not.
    pub connect_timeout: Span,
    /// A connection idle for this long is closed.
    pub idle: Span,
}

/// How instances learn of servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// How late a planned change is known there.
    pub notice: Span,
    /// How late it is known there that a server has vanished without a word.
    pub silent_notice: Span,
    /// Calls that it answers in a second, all instances together; 0 for no bound.
    pub calls_per_second: f64,
    /// A call that has waited for this long fails.
    pub timeout: Span,
    /// Whether lists come unasked (false) or must be asked for (true).
    pub on_request: bool,
}

/// A request class.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Its name, unique.
    pub name: String,
    /// Its part of the requests, beside the others' parts.
    pub share: f64,
    /// Mean work of a request, for a standard core.
    pub work: Span,
    /// How work is drawn.
    pub dist: Distribution,
    /// The coefficient of variation of a lognormal.
    pub cv: f64,
    /// An answer within this earns the full worth.
    pub aim: Span,
    /// A client waits for this long in all.
    pub deadline: Span,
    /// What a request is worth.
    pub worth: f64,
    /// The part of it that an answer earns past the aim.
    pub late_worth: f64,
    /// What may be done twice.
    pub effect: Effect,
    /// For `keyed`: how long servers know a repeat.
    pub window: Span,
}

/// How the work of a request is drawn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Distribution {
    /// Always the mean.
    Fixed,
    /// Exponential.
    #[default]
    Exponential,
    /// Lognormal with the class's `cv`.
    Lognormal,
}

/// What may be done twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Anything.
    #[default]
    Safe,
    /// Within `window`, at any server.
    Keyed,
    /// Nothing.
    Unsafe,
}

/// Who sends the requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Requests a second where no phase says otherwise, all instances together.
    pub rate: f64,
    /// So many requests are out at any time instead, each followed by the next: a closed loop. 0: open loop.
    pub outstanding: u32,
    /// A file of arrivals in place of drawn ones: a line for each, `MICROS CLASS KEY WORK`, beside this file.
    pub arrivals: Option<String>,
    /// What that file holds, once it was read: whoever reads the experiment fills it in (`read_arrivals`).
    #[serde(skip)]
    pub recorded: std::sync::Arc<Vec<crate::model::clients::Arrival>>,
    /// Distinct keys; 0 for requests without a key.
    pub keys: u32,
    /// The exponent of the Zipf law of keys.
    pub key_skew: f64,
    /// How wrong a request's cost hint is: the coefficient of variation; none for no hints.
    pub hint_noise: Option<f64>,
    /// Tries after the first, by the client itself.
    pub retries: u32,
    /// A try is given up after this part of the deadline.
    pub try_share: f64,
    /// A client waits for this long before its next try; doubled with each where `backoff_doubles`.
    pub backoff: Span,
    /// See `backoff`.
    pub backoff_doubles: bool,
    /// The share of clients that wait as long as `Retry-After` says.
    pub honour_retry_after: f64,
    /// The share of clients that leave before their time is up.
    pub impatient: f64,
    /// Whether retries are marked as such.
    pub marks_retry: bool,
}

/// A stretch of the day, from `from` until the next begins.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Phase {
    /// When it begins.
    pub from: Span,
    /// When it ends; the end of the day, or the next one's beginning, where it is 0.
    pub to: Span,
    /// Requests a second at its beginning.
    pub rate: f64,
    /// At its end; 0 for the same.
    pub rate_to: f64,
    /// A wave on top of it: how high, as a part of the rate, and how long.
    pub wave: f64,
    /// See `wave`.
    pub wave_every: Span,
}

/// Something that breaks, and is well again after `lasts`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// When it begins.
    pub at: Span,
    /// How long it lasts; for good where it is 0.
    pub lasts: Span,
    /// What it is.
    pub kind: FaultKind,
    /// Servers by name or kind (`fast-0`, `fast`), or `zone:NAME`; else `share` of all, drawn by the seed.
    pub servers: Vec<String>,
    /// The part of the servers that it befalls.
    pub share: f64,
    /// How bad it is: the share of requests that fail or of the machine that is taken, how many times slower,
    /// and so on, as the kind says.
    pub size: f64,
    /// For what comes in turns, such as a rolling restart: the gap from one server to the next; for what comes and
    /// goes: the time of a whole turn.
    pub every: Span,
    /// The class that alone it befalls, where it is named.
    pub class: Option<String>,
    /// The zone from which alone it is so, where it is named.
    pub seen_from: Option<String>,
    /// For `replay`: the file of a recorded time line, beside this one.
    pub file: Option<String>,
    /// What that file holds, once it was read: whoever reads the experiment fills it in (`play::with_files`).
    #[serde(skip)]
    pub recording: Option<std::sync::Arc<madderloom_endpoint_history::Recording>>,
}

/// What can break.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A share `size` of requests is answered with an error at once.
    #[default]
    FastErrors,
    /// A share `size` of answers is lost: done, and the connection breaks.
    LostAnswers,
    /// A share `size` of answers can't be read.
    SpoiltAnswers,
    /// A share `size` of connections breaks under a request, before or after its last byte.
    Resets,
    /// Another program takes `size` of the machine, on and off within `every` where that is not 0.
    Neighbour,
    /// Requests take `size` times as long.
    Slow,
    /// It takes requests and says nothing.
    Hang,
    /// The process dies and comes back cold after `lasts`.
    Crash,
    /// The machine vanishes without a word and comes back cold after `lasts`.
    Vanish,
    /// Drained, stopped after what it had is done and the drain grace has passed, started again cold; one server
    /// after another by `every`, each back `lasts` after it began to drain.
    RollingRestart,
    /// Drained for `lasts`.
    Drain,
    /// Nothing gets through between the zone in `servers` and all others, both ways.
    CutZone,
    /// As `cut_zone`, but answers alone are lost.
    CutAnswers,
    /// Discovery answers nothing; its watches end.
    DiscoveryDown,
    /// Discovery is found at another address (sockets) and its versions begin anew.
    DiscoveryMoves,
    /// Load reports are stuck at what they were.
    StuckReports,
    /// What a server was seen to do, as `madderloom server NAME --export` recorded it: its errors, its lost answers and
    /// its slowness over time. What it did not take is an error here, for there is nothing nearer.
    Replay,
    /// The instances are killed and started again, `share` of them (all where it is 0), one after another by `every`,
    /// each after `lasts`.
    InstanceRestart,
}

/// A policy that is compared with others.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Arm {
    /// Its name in results, unique.
    pub name: String,
    /// What decides; see `policy::KNOWN`.
    pub policy: String,
    /// The path of another build's `madderloom`, for the sockets driver.
    pub binary: Option<String>,
    /// Figures that the policy takes in place of its usual ones.
    pub with: std::collections::BTreeMap<String, f64>,
    /// Reduced service levels, for the decision module in virtual time; none without it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub levels: Option<madderloom_degradation::LevelsSection>,
}

/// What must hold.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expectation {
    /// Of which arm; of all where it is none.
    pub arm: Option<String>,
    /// Of which class alone.
    pub class: Option<String>,
    /// Mean goodput over the seeds at least this: worth earned over worth asked for.
    pub goodput: Option<f64>,
    /// After the last fault has ended, back at 0.95 of the goodput before the first within this time.
    pub recovers_within: Option<Span>,
    /// The 99th percentile of the latency of what was served, at most.
    pub p99: Option<Span>,
    /// Attempts for each request, at most.
    pub attempts: Option<f64>,
    /// No rule broken. True unless said otherwise.
    pub rules: Option<bool>,
}

impl Default for Experiment {
    fn default() -> Self {
        Experiment {
            version: 0,
            name: String::new(),
            about: String::new(),
            duration: Span::s(60),
            warmup: Span(0),
            window: Span::s(1),
            seeds: vec![1, 2, 3, 4, 5],
            instances: Instances::default(),
            servers: Vec::new(),
            network: Network::default(),
            discovery: Discovery::default(),
            classes: Vec::new(),
            clients: Clients::default(),
            phases: Vec::new(),
            faults: Vec::new(),
            arms: Vec::new(),
            expect: Vec::new(),
        }
    }
}

impl Default for Instances {
    fn default() -> Self {
        Instances {
            count: 6,
            tick: Span::ms(1),
            skew: 0.0,
            allow: Allow::default(),
        }
    }
}

impl Default for Allow {
    fn default() -> Self {
        Allow {
            cancel: true,
            probes: false,
            retry_after: Span::s(2),
            max_attempts: 6,
            probe_price: 0.01,
            cross_zone_price: 0.02,
            drain_grace: Span::s(3),
            fall_multiple: 3.0,
            fall: Span::s(2),
        }
    }
}

impl Default for ServerKind {
    fn default() -> Self {
        ServerKind {
            name: String::new(),
            count: 1,
            cores: 3,
            speed: 1.0,
            speed_cv: 0.0,
            weight: 0.0,
            queue: 90,
            crowded_at: 0.0,
            crowded_after: Span::s(2),
            crowded_slower: 2.5,
            crowded_until: 0.4,
            crowded_rest: Span::s(3),
            cold_from: 1.0,
            cold: Span(0),
            warm_key_work: 1.0,
            warm_key_for: Span::s(8),
            warm_keys: 60,
            connections: 1_000,
            handshake: Span(0),
            error_rate: 0.0,
            cancel: CancelStops::Waiting,
            report_every: Span(0),
            report_delay: Span::ms(100),
            report_noise: 0.0,
            probe: Span(200),
        }
    }
}

impl Default for Network {
    fn default() -> Self {
        Network {
            zones: vec!["a".into(), "b".into(), "c".into()],
            same: Span(250),
            cross: Span(250),
            jitter: 0.0,
            connect_timeout: Span::ms(250),
            idle: Span::s(60),
        }
    }
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            notice: Span::s(2),
            silent_notice: Span::s(10),
            calls_per_second: 0.0,
            timeout: Span::s(3),
            on_request: true,
        }
    }
}

impl Default for Class {
    fn default() -> Self {
        Class {
            name: String::new(),
            share: 1.0,
            work: Span::ms(10),
            dist: Distribution::Exponential,
            cv: 1.0,
            aim: Span::ms(500),
            deadline: Span::ms(2_000),
            worth: 1.0,
            late_worth: 0.0,
            effect: Effect::Safe,
            window: Span::s(4),
        }
    }
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            rate: 0.0,
            outstanding: 0,
            arrivals: None,
            recorded: Default::default(),
            keys: 0,
            key_skew: 0.8,
            hint_noise: None,
            retries: 0,
            try_share: 1.0,
            backoff: Span(0),
            backoff_doubles: false,
            honour_retry_after: 1.0,
            impatient: 0.0,
            marks_retry: true,
        }
    }
}
