//! What is answered in place of a server, and under which name.

use madderloom_balancer::Micros;
use std::borrow::Cow;

/// Why the sidecar answers itself. [`Code::name`] is what a client finds in `extensions.code`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Code {
    /// The message is no GraphQL over HTTP.
    BadRequest,
    /// Two servers could read it in two ways.
    AmbiguousRequest,
    /// Its media type, charset or encoding is not read here.
    UnsupportedMediaType,
    /// The method is neither GET nor POST.
    MethodNotAllowed,
    /// A mutation came by GET.
    MutationOverGet,
    /// A subscription: its answers would have no end.
    SubscriptionUnsupported,
    /// More bytes than allowed.
    BodyTooLarge,
    /// JSON nested too deep.
    JsonTooDeep,
    /// A document of too many tokens.
    TooManyTokens,
    /// Selections or values nested too deep, fragments included.
    TooDeep,
    /// Too many aliases, fragments included.
    TooManyAliases,
    /// Too many fields, fragments included.
    TooManyFields,
    /// A name too long.
    NameTooLong,
    /// Fragments that spread each other in a circle.
    FragmentCycle,
    /// A batch of too many operations, or any batch where none are taken.
    BatchTooLarge,
    /// A text that is not the one its hash names.
    PersistedQueryMismatch,
    /// Turned away; nothing ran, and another try is harmless.
    Refused,
    /// It may have run.
    Failed,
    /// A server's answer could not be read, as part of a batch. It may have run.
    UnreadableAnswer,
}

impl Code {
    /// As `extensions.code` has it.
    pub const fn name(self) -> &'static str {
        match self {
            Code::BadRequest => "BAD_REQUEST",
            Code::AmbiguousRequest => "AMBIGUOUS_REQUEST",
            Code::UnsupportedMediaType => "UNSUPPORTED_MEDIA_TYPE",
            Code::MethodNotAllowed => "METHOD_NOT_ALLOWED",
            Code::MutationOverGet => "MUTATION_OVER_GET",
            Code::SubscriptionUnsupported => "SUBSCRIPTION_UNSUPPORTED",
            Code::BodyTooLarge => "BODY_TOO_LARGE",
            Code::JsonTooDeep => "JSON_TOO_DEEP",
            Code::TooManyTokens => "TOO_MANY_TOKENS",
            Code::TooDeep => "TOO_DEEP",
            Code::TooManyAliases => "TOO_MANY_ALIASES",
            Code::TooManyFields => "TOO_MANY_FIELDS",
            Code::NameTooLong => "NAME_TOO_LONG",
            Code::FragmentCycle => "FRAGMENT_CYCLE",
            Code::BatchTooLarge => "BATCH_TOO_LARGE",
            Code::PersistedQueryMismatch => "PERSISTED_QUERY_MISMATCH",
            Code::Refused => "REFUSED",
            Code::Failed => "FAILED",
            Code::UnreadableAnswer => "UNREADABLE_ANSWER",
        }
    }

    /// The status of an answer that holds nothing else.
    pub const fn status(self) -> u16 {
        match self {
            Code::MethodNotAllowed | Code::MutationOverGet => 405,
            Code::UnsupportedMediaType => 415,
            Code::BodyTooLarge => 413,
            Code::Refused => 503,
            Code::Failed | Code::UnreadableAnswer => 502,
            _ => 400,
        }
    }

    /// Whether it is certain that nothing ran.
    pub const fn proves_not_run(self) -> bool {
        !matches!(self, Code::Failed | Code::UnreadableAnswer)
    }
}

/// An error of the sidecar's own, in the place of a server's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What kind.
    pub code: Code,
    /// For people; one line.
    pub message: Cow<'static, str>,
    /// When to come back, for [`Code::Refused`].
    pub retry_after: Option<Micros>,
}

impl Fault {
    pub(crate) fn new(code: Code, message: impl Into<Cow<'static, str>>) -> Self {
        Fault {
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Of a message that is at fault itself.
    pub fn bad(message: impl Into<Cow<'static, str>>) -> Self {
        Fault::new(Code::BadRequest, message)
    }

    /// Of a transaction that was refused: nothing ran.
    pub fn refused(retry_after: Option<Micros>) -> Self {
        let message = "refused: no server took it, and trying again is harmless";
        Fault {
            retry_after,
            ..Fault::new(Code::Refused, message)
        }
    }

    /// Of a transaction that failed: it may have run.
    pub fn failed() -> Self {
        Fault::new(Code::Failed, "failed: no answer came, and it may have run")
    }
}
