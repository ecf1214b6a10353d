//! The errors of this crate. Their texts are shown to operators, mostly behind the field that they are about.

use crate::change::UNDOABLE;
use crate::settings::{LONGEST_NAME, LONGEST_ROUTE};
use std::num::ParseIntError;

/// Why a name, a setting, an undo or a durable record is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A name is empty.
    #[error("is empty")]
    EmptyName,
    /// A name is too long.
    #[error("has {length} bytes; a name has {LONGEST_NAME} at most")]
    NameTooLong {
        /// Its length in bytes.
        length: usize,
    },
    /// A name contains a character that names do not have.
    #[error("holds {character:?}; a name has letters, digits and . _ : - alone")]
    InvalidCharacter {
        /// The first such character.
        character: char,
    },
    /// A part of the key of a setting is no name.
    #[error("{key:?}: {part:?} {source}")]
    InvalidKeyPart {
        /// The whole key.
        key: String,
        /// The part.
        part: String,
        /// Why it is no name.
        source: Box<Error>,
    },
    /// A fleet limit has no such figure.
    #[error("{key:?}: a fleet limit has requests_per_second, burst and open, and no {figure:?}")]
    UnknownFigure {
        /// The whole key.
        key: String,
        /// The figure.
        figure: String,
    },
    /// There is no such setting.
    #[error(
        "{key:?} is no setting; there are weight/SERVER, drain/SERVER, limit/SERVICE/LIMIT, route/NAME, \
         log_level, fleet/LIMIT/FIGURE"
    )]
    UnknownSetting {
        /// The key.
        key: String,
    },
    /// A weight is out of range.
    #[error("a weight is from 0 to 100")]
    WeightOutOfRange,
    /// The value is no weight.
    #[error("must be a weight from 0 to 100")]
    NotAWeight,
    /// The value is no boolean.
    #[error("must be true or false")]
    NotABoolean,
    /// The value is a negative number.
    #[error("is not negative")]
    NegativeNumber,
    /// The value is no whole number.
    #[error("must be a whole number")]
    NotAWholeNumber,
    /// A route is too long.
    #[error("has {length} bytes; a route has {LONGEST_ROUTE} at most")]
    RouteTooLong {
        /// Its length in bytes.
        length: usize,
    },
    /// The value is no text of a route.
    #[error("must be the text of a route")]
    NotARoute,
    /// The value is no level of the log.
    #[error("must be off, error, warn, info, debug or trace")]
    NotALogLevel,
    /// A change that should be undone is not in effect.
    #[error("no change {id} is in effect")]
    NotInEffect {
        /// The id of the change.
        id: String,
    },
    /// A change that should be undone is too old.
    #[error("{id} is older than the last {UNDOABLE} changes; push one that sets anew what it set")]
    TooOldToUndo {
        /// The id of the change.
        id: String,
    },
    /// The key of a durable record of a target has another form.
    #[error("{key}: is no key of a target")]
    InvalidTargetKey {
        /// The key.
        key: String,
    },
    /// The key of a durable record of a target contains no revision.
    #[error("{key}: holds no revision")]
    InvalidRevision {
        /// The key.
        key: String,
        /// Why the part in the place of the revision is no number.
        source: ParseIntError,
    },
    /// The key of a durable record of a member has another form.
    #[error("{key}: is no key of a member")]
    InvalidMemberKey {
        /// The key.
        key: String,
    },
}
