//! When an instance calls discovery, and how ages are bounded under clock drift.

/// A time, or a duration, in whole microseconds. Times come from a monotonic clock whose zero is arbitrary.
pub type Micros = u64;

/// Ages are counted as one part in this many longer. This covers an instance whose clock is 2% slow beside an agent whose
/// clock is 2% fast.
pub const CLOCK_DRIFT_DIVISOR: u64 = 20;
/// A list of a lower version is accepted once there was no evidence for the higher one for this long: then discovery has
/// restarted its numbering.
pub const HIGHER_VERSION_TIMEOUT: Micros = 30_000_000;

/// At which age of its evidence an instance calls discovery itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryCallSchedule {
    /// The age from which instances may call.
    pub earliest_age: Micros,
    /// Each instance adds a random delay below this, so that the calls of a fleet are spread.
    pub spread: Micros,
}

impl DiscoveryCallSchedule {
    /// The schedule under which every instance calls within `ask_within` of its evidence. Three fifths of that time are
    /// for the fleet to pass lists on, three tenths spread the calls if it does not, and one tenth allows for slow clocks
    /// and late timers.
    pub fn within(ask_within: Micros) -> Self {
        DiscoveryCallSchedule {
            earliest_age: ask_within / 5 * 3,
            spread: ask_within / 10 * 3,
        }
    }
}

/// The age of its evidence at which an instance reports to the agent immediately, before it calls discovery: the agent may
/// have evidence that is later by up to one report interval.
pub fn agent_refresh_age(ask_within: Micros) -> Micros {
    ask_within / 2
}

/// How long an instance that has just started waits for the agent before its first call of discovery, which is due
/// `start_delay` after its start. The wait shrinks as `start_delay` grows, so that the first calls of a fleet stay spread
/// and none comes later than nine tenths of `ask_within`.
pub fn first_discovery_wait(start_delay: Micros, ask_within: Micros) -> Micros {
    let latest_call = ask_within / 10 * 9;
    let longest_wait = ask_within / 5;
    let elapsed_part = start_delay as f64 / latest_call.max(1) as f64;
    longest_wait.saturating_sub((longest_wait as f64 * elapsed_part) as Micros)
}

/// The longest time that may really have passed while a clock within the drift measured `age`.
pub(crate) fn longest_real_age(age: Micros) -> Micros {
    age.saturating_add(age.div_ceil(CLOCK_DRIFT_DIVISOR))
}

/// The shortest time that may really have passed while a clock within the drift measured `age`.
pub(crate) fn shortest_real_age(age: Micros) -> Micros {
    age.saturating_sub(age.div_ceil(CLOCK_DRIFT_DIVISOR))
}
