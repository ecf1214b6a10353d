//! Errors of this crate. Their texts are shown to operators.

use crate::signal::SIGNAL_NAMES;
use madderloom_config_reader::Problem;
use thiserror::Error;

/// Why a name is not that of a signal.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SignalError {
    /// There is no such signal.
    #[error("there is no signal {0}; there are {known}", known = SIGNAL_NAMES.join(", "))]
    Unknown(String),
    /// A class was given for a signal that isn't measured by class.
    #[error("{0} is not counted by class")]
    NotByClass(String),
}

/// Why a text is no valid condition, or two conditions can't be compared.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConditionError {
    /// The text is too long.
    #[error("is longer than {max_bytes} bytes")]
    TooLong {
        /// The longest text that is accepted.
        max_bytes: usize,
    },
    /// Parentheses and negations are nested too deeply.
    #[error("is nested more than {max_depth} deep")]
    TooDeep {
        /// The deepest nesting that is accepted.
        max_depth: usize,
    },
    /// The text doesn't follow the grammar.
    #[error("makes no sense at {at:?}; wanted: {expected}")]
    Syntax {
        /// The text from the place of the error on, shortened.
        at: String,
        /// What the grammar allows there.
        expected: String,
    },
    /// Text remains after a complete condition.
    #[error("makes no sense from {at:?} on; wanted and, or, for or the end")]
    TrailingText {
        /// The remaining text, shortened.
        at: String,
    },
    /// A name is not that of a signal.
    #[error(transparent)]
    Signal(#[from] SignalError),
    /// The duration after `for` is invalid.
    #[error("{0}")]
    Duration(String),
    /// The bound of a comparison is invalid.
    #[error("{signal} is compared with {problem}")]
    Bound {
        /// The signal, as it is written in conditions.
        signal: String,
        /// What is wrong with the bound.
        problem: String,
    },
    /// A comparison of a share has the same result for all its values.
    #[error("{comparison} is {result} met: a share lies between 0 and 100%")]
    Constant {
        /// The comparison as it was written.
        comparison: String,
        /// `always` or `never`.
        result: &'static str,
    },
    /// Two conditions have too many combinations of signals and bounds to compare them.
    #[error("speaks of too many signals and bounds")]
    TooManyCombinations,
}

/// Why an operator's order is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    /// There is no level of this name.
    #[error("there is no level {name}; there are {known}", known = known.join(", "))]
    UnknownLevel {
        /// The name in the order.
        name: String,
        /// The names of all levels.
        known: Vec<String>,
    },
    /// Full service can be pinned but not barred.
    #[error("full service can't be barred")]
    FullServiceBarred,
}

/// Why a section of levels is invalid: all problems that were found.
#[derive(Debug, Error)]
#[error("{}", describe(problems))]
pub struct SectionError {
    /// The problems, in the order of the fields.
    pub problems: Vec<Problem>,
}

fn describe(problems: &[Problem]) -> String {
    let describe = |problem: &Problem| format!("{}: {}", problem.field, problem.problem);
    problems.iter().map(describe).collect::<Vec<_>>().join("; ")
}
