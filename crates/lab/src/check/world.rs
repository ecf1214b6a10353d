//! Instances, servers, network, discovery.

use super::{Checker, MOST_INSTANCES, MOST_SERVERS};
use crate::experiment::{Experiment, ServerKind};
use madderloom_config_reader::Span;
use std::collections::BTreeSet;

const HOUR: Span = Span::s(3_600);

impl Checker<'_> {
    pub(super) fn world(&mut self, e: &Experiment) {
        self.instances(e);
        self.servers(e);
        self.network(e);
        self.span("discovery.notice", e.discovery.notice, Span(0)..=HOUR);
        self.span(
            "discovery.silent_notice",
            e.discovery.silent_notice,
            Span(0)..=HOUR,
        );
        self.figure(
            "discovery.calls_per_second",
            e.discovery.calls_per_second,
            0.0..=1e6,
        );
        self.span("discovery.timeout", e.discovery.timeout, Span::ms(1)..=HOUR);
    }

    fn instances(&mut self, e: &Experiment) {
        let i = &e.instances;
        self.count("instances.count", i.count, 1..=MOST_INSTANCES);
        self.span("instances.tick", i.tick, Span(1)..=Span::s(1));
        self.figure("instances.skew", i.skew, 0.0..=5.0);
        let allow = &i.allow;
        self.span(
            "instances.allow.retry_after",
            allow.retry_after,
            Span(0)..=HOUR,
        );
        self.count("instances.allow.max_attempts", allow.max_attempts, 1..=100);
        self.figure("instances.allow.probe_price", allow.probe_price, 0.0..=1.0);
        self.figure(
            "instances.allow.cross_zone_price",
            allow.cross_zone_price,
            0.0..=1.0,
        );
        self.span(
            "instances.allow.drain_grace",
            allow.drain_grace,
            Span(0)..=HOUR,
        );
        self.figure(
            "instances.allow.fall_multiple",
            allow.fall_multiple,
            0.1..=1e6,
        );
        self.span("instances.allow.fall", allow.fall, Span(1)..=HOUR);
    }

    fn servers(&mut self, e: &Experiment) {
        self.list("servers", e.servers.len());
        self.document.require(
            !e.servers.is_empty(),
            "servers",
            "is missing; describe at least one kind of server",
        );
        self.names("servers", e.servers.iter().map(|kind| kind.name.as_str()));
        for (i, kind) in e.servers.iter().enumerate() {
            self.kind(&format!("servers[{i}]"), kind);
        }
        // A fault on `a-0` must mean one thing.
        for (i, kind) in e.servers.iter().enumerate() {
            if let Some(other) = e.servers.iter().find(|other| is_of_kind(&kind.name, other)) {
                let problem = format!(
                    "{:?} is also the name of a server of kind {:?}",
                    kind.name, other.name
                );
                self.document
                    .problem(&format!("servers[{i}].name"), problem);
            }
        }
    }

    fn kind(&mut self, at: &str, kind: &ServerKind) {
        let field = |name: &str| format!("{at}.{name}");
        self.count(&field("count"), kind.count, 1..=MOST_SERVERS);
        self.count(&field("cores"), kind.cores, 1..=1_024);
        self.figure(&field("speed"), kind.speed, 0.001..=1_000.0);
        self.figure(&field("speed_cv"), kind.speed_cv, 0.0..=2.0);
        self.figure(&field("weight"), kind.weight, 0.0..=1e6);
        self.count(&field("queue"), kind.queue, 0..=1_000_000);
        self.figure(&field("crowded_at"), kind.crowded_at, 0.0..=1e6);
        self.span(&field("crowded_after"), kind.crowded_after, Span(0)..=HOUR);
        self.figure(&field("crowded_slower"), kind.crowded_slower, 1.0..=1_000.0);
        self.figure(&field("crowded_until"), kind.crowded_until, 0.0..=1e6);
        if kind.crowded_at > 0.0 && kind.crowded_until >= kind.crowded_at {
            let problem = format!(
                "must lie below crowded_at, {}, or it would never end",
                kind.crowded_at
            );
            self.document.problem(&field("crowded_until"), problem);
        }
        self.span(&field("crowded_rest"), kind.crowded_rest, Span(0)..=HOUR);
        self.figure(&field("cold_from"), kind.cold_from, 0.01..=1.0);
        self.span(&field("cold"), kind.cold, Span(0)..=HOUR);
        self.figure(&field("warm_key_work"), kind.warm_key_work, 0.0..=1.0);
        self.span(&field("warm_key_for"), kind.warm_key_for, Span(0)..=HOUR);
        self.count(&field("warm_keys"), kind.warm_keys, 0..=1_000_000);
        self.count(&field("connections"), kind.connections, 1..=10_000_000);
        self.span(&field("handshake"), kind.handshake, Span(0)..=Span::s(10));
        self.figure(&field("error_rate"), kind.error_rate, 0.0..=1.0);
        self.span(&field("report_every"), kind.report_every, Span(0)..=HOUR);
        let often = kind.report_every == Span(0) || kind.report_every >= Span::ms(1);
        self.document.require(
            often,
            &field("report_every"),
            "must be 0, for no reports, or at least 1ms",
        );
        self.span(&field("report_delay"), kind.report_delay, Span(0)..=HOUR);
        self.figure(&field("report_noise"), kind.report_noise, 0.0..=10.0);
        self.span(&field("probe"), kind.probe, Span(0)..=Span::s(10));
    }

    fn network(&mut self, e: &Experiment) {
        let network = &e.network;
        self.list("network.zones", network.zones.len());
        self.document.require(
            !network.zones.is_empty(),
            "network.zones",
            "must name at least one zone",
        );
        let mut met = BTreeSet::new();
        for (i, zone) in network.zones.iter().enumerate() {
            let field = format!("network.zones[{i}]");
            self.name(&field, zone);
            self.document.require(
                met.insert(zone),
                &field,
                format!("{zone:?} stands here twice"),
            );
        }
        self.span("network.same", network.same, Span(0)..=Span::s(10));
        self.span("network.cross", network.cross, Span(0)..=Span::s(10));
        self.figure("network.jitter", network.jitter, 0.0..=5.0);
        self.span(
            "network.connect_timeout",
            network.connect_timeout,
            Span::ms(1)..=HOUR,
        );
        self.span("network.idle", network.idle, Span::ms(1)..=super::LONGEST);
    }
}

/// Whether a name is that of a server of this kind, such as `fast-0`.
pub(super) fn is_of_kind(name: &str, kind: &ServerKind) -> bool {
    let number = name
        .strip_prefix(kind.name.as_str())
        .and_then(|rest| rest.strip_prefix('-'));
    let written = |n: u32| number == Some(n.to_string().as_str());
    number
        .and_then(|number| number.parse().ok())
        .is_some_and(|n: u32| n < kind.count && written(n))
}
