//! `[[listeners]]`: where clients connect.

use crate::limits::{MemberSection, ResourceLimits};
use madderloom_config_reader::{Document, Size, Span};
use serde::Deserialize;
use std::net::SocketAddr;

/// An entry as it is written.
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
    /// Its name.
    pub name: String,
    /// Where clients connect. With the port 0 the system chooses one.
    pub address: SocketAddr,
    /// A connection that has sent no whole head for this long is closed. Usually 2 s; 10 ms to 1 min.
    pub head_timeout: Span,
    /// A connection on which nothing at all has come for this long, since it began or since its last answer, is closed.
    /// Usually as `head_within`; 10 ms to 1 day.
    pub idle_timeout: Span,
    /// How long the rest of a request may take behind its head. Usually 900 ms; 10 ms to 1 min.
    pub body_timeout: Span,
    /// The longest body that is taken. Usually, and at most, 64 KiB.
    pub max_body_size: Size,
    /// What its clients may hold together.
    pub limits: ResourceLimits,
}

const BODY: Size = Size(64 << 10);

pub(crate) fn check(document: &mut Document<'_>, sections: Vec<Section>) -> Vec<Listener> {
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let listener = |(at, section): (usize, Section)| {
        let own = |name: &str| format!("listeners[{at}].{name}");
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let address = section.address.unwrap_or(nowhere);
        if section.address.is_none() && !document.has(&own("address")) {
            document.problem(
                &own("address"),
                "is missing; write one such as \"127.0.0.1:5000\"",
            );
        }
        if address.port() != 0 && addresses.contains(&address) {
            document.problem(
                &own("address"),
                format_args!("{address} is another listener's"),
            );
        }
        addresses.push(address);
        let mut span =
            |name: &str, given: Option<Span>, usual: Span, (most, text): (Span, &str)| {
                let span = given.unwrap_or(usual);
                let sound = (Span::ms(10)..=most).contains(&span);
                document.require(
                    sound,
                    &own(name),
                    format_args!("must lie in 10ms to {text}"),
                );
                span
            };
        let (minute, day) = ((Span::s(60), "1m"), (Span::s(86_400), "24h"));
        let head_timeout = span("head_within", section.head_within, Span::s(2), minute);
        let idle_timeout = span("idle_within", section.idle_within, head_timeout, day);
        let body_timeout = span("body_within", section.body_within, Span::ms(900), minute);
        let max_body_size = section.body_size.unwrap_or(BODY);
        document.require(
            max_body_size <= BODY,
            &own("body_size"),
            format_args!("is over {BODY}; write less"),
        );
        let limits = section.limits.check(document, &own("limits"));
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
