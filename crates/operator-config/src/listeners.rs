//! `[[listeners]]`: the addresses that clients connect to.

use crate::limits::{MemberSection, ResourceLimits};
use madderloom_config_reader::{Document, Size, Span};
use serde::Deserialize;
use std::net::SocketAddr;

/// An entry as written in the file.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    pub(crate) name: String,
    address: Option<SocketAddr>,
    head_within: Option<Span>,
    idle_within: Option<Span>,
    body_within: Option<Span>,
    body_size: Option<Size>,
    limits: MemberSection,
}

/// A listener.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Name of the listener.
    pub name: String,
    /// Address that clients connect to. For port 0 the system chooses a port.
    pub address: SocketAddr,
    /// Time within which a connection must send a complete request head; else it is closed. Default 2 s; 10 ms to 1 min.
    pub head_timeout: Span,
    /// A connection that has received no byte for this long since it was opened, or since its last response, is closed.
    /// Default: `head_timeout`; 10 ms to 1 day.
    pub idle_timeout: Span,
    /// Time within which the body of a request must follow its head. Default 900 ms; 10 ms to 1 min.
    pub body_timeout: Span,
    /// Maximum size of a request body. Default and maximum 64 KiB.
    pub max_body_size: Size,
    /// Limits that all its clients share.
    pub limits: ResourceLimits,
}

/// Default and maximum of [`Listener::max_body_size`].
const MAX_BODY_SIZE: Size = Size(64 << 10);

pub(crate) fn check(document: &mut Document<'_>, sections: Vec<Section>) -> Vec<Listener> {
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let listener = |(index, section): (usize, Section)| {
        let field = |name: &str| format!("listeners[{index}].{name}");
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let address = section.address.unwrap_or(unspecified);
        if section.address.is_none() && !document.has(&field("address")) {
            document.problem(
                &field("address"),
                "is missing; write one such as \"127.0.0.1:5000\"",
            );
        }
        if address.port() != 0 && addresses.contains(&address) {
            document.problem(
                &field("address"),
                format_args!("{address} is already used by another listener"),
            );
        }
        addresses.push(address);
        let mut span =
            |name: &str, given: Option<Span>, default: Span, (max, max_text): (Span, &str)| {
                let span = given.unwrap_or(default);
                let is_valid = (Span::ms(10)..=max).contains(&span);
                document.require(
                    is_valid,
                    &field(name),
                    format_args!("must lie in 10ms to {max_text}"),
                );
                span
            };
        let (minute, day) = ((Span::s(60), "1m"), (Span::s(86_400), "24h"));
        let head_timeout = span("head_within", section.head_within, Span::s(2), minute);
        let idle_timeout = span("idle_within", section.idle_within, head_timeout, day);
        let body_timeout = span("body_within", section.body_within, Span::ms(900), minute);
        let max_body_size = section.body_size.unwrap_or(MAX_BODY_SIZE);
        document.require(
            max_body_size <= MAX_BODY_SIZE,
            &field("body_size"),
            format_args!("must be at most {MAX_BODY_SIZE}"),
        );
        let limits = section.limits.check(document, &field("limits"));
        Listener {
            name: section.name,
            address,
            head_timeout,
            idle_timeout,
            body_timeout,
            max_body_size,
            limits,
        }
    };
    sections.into_iter().enumerate().map(listener).collect()
}
