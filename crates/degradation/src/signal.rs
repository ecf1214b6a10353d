//! What levels are decided on.

use std::collections::BTreeMap;
use std::fmt;

/// Something that is measured of a service. All but `ListAge` are shares from 0 to 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// Servers that fail, of those that take new work: ejected, or silent past what was due.
    FailingServers,
    /// Requests that were served in time, of a class or of all.
    Goodput(Option<String>),
    /// Answers that came past their aim, of those of a class or of all.
    Lateness(Option<String>),
    /// Requests that were turned away, of those of a class or of all.
    Refused(Option<String>),
    /// Retries, of all attempts.
    Retries,
    /// Open requests, of those that the limits allow.
    Open,
    /// Attempts that ended without telling whether they ran.
    Unknown,
    /// Processor time that the one thread used, of all it could.
    Cpu,
    /// How old the server list is, in microseconds.
    ListAge,
}

/// The names of signals.
const NAMES: [&str; 9] = [
    "failing_servers",
    "goodput",
    "lateness",
    "refused",
    "retries",
    "open",
    "unknown",
    "cpu",
    "list_age",
];

impl Signal {
    /// The signal of this name and class; an error says which there are.
    pub fn named(name: &str, class: Option<&str>) -> Result<Self, String> {
        let class = class.map(str::to_string);
        let signal = match name {
            "failing_servers" => Signal::FailingServers,
            "goodput" => Signal::Goodput(class.clone()),
            "lateness" => Signal::Lateness(class.clone()),
            "refused" => Signal::Refused(class.clone()),
            "retries" => Signal::Retries,
            "open" => Signal::Open,
            "unknown" => Signal::Unknown,
            "cpu" => Signal::Cpu,
            "list_age" => Signal::ListAge,
            _ => {
                return Err(format!(
                    "there is no signal {name}; there are {}",
                    NAMES.join(", ")
                ));
            }
        };
        if class.is_some() && signal.class().is_none() {
            return Err(format!("{name} is not counted by class"));
        }
        Ok(signal)
    }

    /// The class it is of, if it is of one alone.
    pub fn class(&self) -> Option<&str> {
        match self {
            Signal::Goodput(class) | Signal::Lateness(class) | Signal::Refused(class) => {
                class.as_deref()
            }
            _ => None,
        }
    }

    /// Whether it is a time, not a share.
    pub fn is_time(&self) -> bool {
        *self == Signal::ListAge
    }

    fn name(&self) -> &'static str {
        match self {
            Signal::FailingServers => NAMES[0],
            Signal::Goodput(_) => NAMES[1],
            Signal::Lateness(_) => NAMES[2],
            Signal::Refused(_) => NAMES[3],
            Signal::Retries => NAMES[4],
            Signal::Open => NAMES[5],
            Signal::Unknown => NAMES[6],
            Signal::Cpu => NAMES[7],
            Signal::ListAge => NAMES[8],
        }
    }
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())?;
        self.class().map_or(Ok(()), |class| write!(f, "({class})"))
    }
}

/// The signals as they are now. One that is absent was not measured lately: that is not health.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Signals(BTreeMap<Signal, f64>);

impl Signals {
    /// Notes a signal's value; one that is no number is as good as none.
    pub fn set(&mut self, signal: Signal, value: f64) {
        if value.is_finite() {
            self.0.insert(signal, value);
        } else {
            self.0.remove(&signal);
        }
    }

    /// All that were measured, in their order.
    pub fn iter(&self) -> impl Iterator<Item = (&Signal, f64)> {
        self.0.iter().map(|(signal, value)| (signal, *value))
    }

    /// Its value, if it was measured.
    pub fn get(&self, signal: &Signal) -> Option<f64> {
        self.0.get(signal).copied()
    }
}
