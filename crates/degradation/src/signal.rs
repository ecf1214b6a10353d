//! Signals: what conditions are evaluated on.

use crate::SignalError;
use std::collections::BTreeMap;
use std::fmt;

/// A measurement of a service. All but [`Signal::ListAge`] are shares from 0 to 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// Share of failing servers among those that take new requests: ejected, or without a response that was due.
    FailingServers,
    /// Share of requests served within their latency objective, of a class or of all.
    Goodput(Option<String>),
    /// Share of requests served after their latency objective or given up for want of time, among those that were
    /// admitted, of a class or of all.
    Lateness(Option<String>),
    /// Share of rejected requests, of a class or of all.
    Rejected(Option<String>),
    /// Share of retries among attempts.
    Retries,
    /// Open requests relative to their limit.
    OpenRequests,
    /// Share of attempts that ended without telling whether the request ran.
    UnknownOutcome,
    /// Share of processor time that the serving thread used.
    Cpu,
    /// Age of the server list, in microseconds.
    ListAge,
}

/// The names of signals in conditions, in the order of the variants of [`Signal`].
pub(crate) const SIGNAL_NAMES: [&str; 9] = [
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
    /// The signal of this name, of one class or of all.
    ///
    /// # Errors
    /// There is no signal of this name, or it isn't measured by class.
    pub fn from_name(name: &str, class: Option<&str>) -> Result<Self, SignalError> {
        let owned_class = class.map(str::to_string);
        let signal = match name {
            "failing_servers" => Signal::FailingServers,
            "goodput" => Signal::Goodput(owned_class),
            "lateness" => Signal::Lateness(owned_class),
            "refused" => Signal::Rejected(owned_class),
            "retries" => Signal::Retries,
            "open" => Signal::OpenRequests,
            "unknown" => Signal::UnknownOutcome,
            "cpu" => Signal::Cpu,
            "list_age" => Signal::ListAge,
            _ => return Err(SignalError::Unknown(name.to_string())),
        };
        if class.is_some() && signal.class().is_none() {
            return Err(SignalError::NotByClass(name.to_string()));
        }
        Ok(signal)
    }

    /// The class that it is limited to.
    pub fn class(&self) -> Option<&str> {
        match self {
            Signal::Goodput(class) | Signal::Lateness(class) | Signal::Rejected(class) => {
                class.as_deref()
            }
            _ => None,
        }
    }

    /// Whether it is a duration and not a share.
    pub fn is_duration(&self) -> bool {
        *self == Signal::ListAge
    }

    /// The highest value that it can have. The lowest is 0.
    pub(crate) fn max_value(&self) -> f64 {
        if self.is_duration() { f64::MAX } else { 1.0 }
    }

    fn name(&self) -> &'static str {
        match self {
            Signal::FailingServers => SIGNAL_NAMES[0],
            Signal::Goodput(_) => SIGNAL_NAMES[1],
            Signal::Lateness(_) => SIGNAL_NAMES[2],
            Signal::Rejected(_) => SIGNAL_NAMES[3],
            Signal::Retries => SIGNAL_NAMES[4],
            Signal::OpenRequests => SIGNAL_NAMES[5],
            Signal::UnknownOutcome => SIGNAL_NAMES[6],
            Signal::Cpu => SIGNAL_NAMES[7],
            Signal::ListAge => SIGNAL_NAMES[8],
        }
    }
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())?;
        self.class().map_or(Ok(()), |class| write!(f, "({class})"))
    }
}

/// The values of signals at one time. A signal without a value was not measured recently, which is no sign of health.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Signals(BTreeMap<Signal, f64>);

impl Signals {
    /// Sets the value of a signal. A value that is not finite removes it.
    pub fn set(&mut self, signal: Signal, value: f64) {
        if value.is_finite() {
            self.0.insert(signal, value);
        } else {
            self.0.remove(&signal);
        }
    }

    /// All signals with a value, in the order of [`Signal`].
    pub fn iter(&self) -> impl Iterator<Item = (&Signal, f64)> {
        self.0.iter().map(|(signal, value)| (signal, *value))
    }

    /// The value of a signal, if it was measured.
    pub fn get(&self, signal: &Signal) -> Option<f64> {
        self.0.get(signal).copied()
    }
}
