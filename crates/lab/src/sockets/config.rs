//! What a real sidecar is told at its start: its settings object and the list that it holds from before.

use crate::experiment::{Effect, Experiment};
use crate::world::{self, ASK_WITHIN, World};
use madderloom_balancer::{ServerEntry, ServerState};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Descriptors and megabytes that a sidecar may have.
const SOCKETS: usize = 1_024;
const MEMORY_MB: usize = 192;

/// The settings object of an instance in this zone, as a configuration words [`world::settings`].
pub fn settings(experiment: &Experiment, zone: u32) -> Value {
    let settings = world::settings(experiment, zone);
    let services = experiment.classes.iter().map(|class| {
        let effect = match class.effect {
            Effect::Safe => "safe",
            Effect::Keyed => "keyed",
            Effect::Unsafe => "unsafe",
        };
        json!({"name": class.name, "effect": effect, "key_scope": "all", "window": class.window.micros(),
            "on_time": class.aim.micros(), "give_up": class.deadline.micros(), "worth": class.worth,
            "late_worth": class.late_worth})
    });
    let (limits, rules, prices) = (settings.limits, settings.rules, settings.prices);
    let kinds: Vec<&str> = experiment
        .servers
        .iter()
        .map(|kind| kind.name.as_str())
        .collect();
    json!({
        "group_size": settings.group_size, "my_zone": zone, "period": settings.tick,
        "discovery": if settings.discovery_on_request { "subscribe" } else { "automatic" },
        "areas": experiment.network.zones, "kinds": kinds, "services": services.collect::<Vec<_>>(),
        "limits": {"cancel": limits.cancel, "conn_idle": experiment.network.idle.micros(),
            "connect_timeout": experiment.network.connect_timeout.micros(), "max_attempts": limits.max_attempts,
            "retry_after": limits.retry_after, "max_retry_after": limits.max_retry_after,
            "probes": limits.probes},
        "load_report": {"how": "probe", "fields": ["rif", "fail_rate"]},
        "safety": {"ask_within": ASK_WITHIN, "cold_from": rules.slow_start_min_share, "cold": rules.slow_start_window, "fall": rules.overload_window,
            "drain_grace": rules.drain_grace},
        "tariffs": {"cross_zone": prices.cross_zone, "probe": prices.probe}})
}

/// One object of discovery: its version, whether it is the whole list, and the servers. `address` says where an
/// instance finds each, `unix` makes a Unix time in microseconds of one of the run.
pub fn listing(
    experiment: &Experiment,
    world: &World,
    index: u64,
    whole: bool,
    listed: &[ServerEntry],
    address: impl Fn(u32) -> SocketAddr,
    unix: impl Fn(u64) -> u64,
) -> Value {
    let endpoints = listed.iter().filter_map(|entry| {
        let (at, place) = (0..).zip(&world.servers).find(|(_, place)| place.id == entry.server)?;
        let status = match entry.state {
            ServerState::Ready => "in_service",
            ServerState::Draining => "terminating",
            ServerState::Gone => "terminated",
        };
        Some(json!({"name": place.name, "address": address(at).to_string(),
            "zone": experiment.network.zones.get(entry.zone as usize).map_or("", String::as_str),
            "type": experiment.servers[place.kind as usize].name, "group": entry.cell, "status": status,
            "weight": entry.capacity, "since_ms": entry.started_at.map_or(0, |at| unix(at) / 1_000)}))
    });
    json!({"index": index, "snapshot": whole, "endpoints": endpoints.collect::<Vec<_>>()})
}

/// The whole configuration.
pub fn sidecar(
    name: &str,
    discovery: SocketAddr,
    seed: u64,
    known: &Value,
    settings: &Value,
) -> String {
    json!({"name": name, "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, "known": known,
        "settings": settings})
    .to_string()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::{Class, ServerKind};
    use madderloom_balancer::settings::Site;
    use madderloom_config_reader::Span;

    #[test]
    fn a_sidecar_is_told_what_an_instance_in_virtual_time_is_told() {
        let mut experiment = Experiment {
            classes: vec![
                Class {
                    name: "safe".into(),
                    ..Class::default()
                },
                Class {
                    name: "keyed".into(),
                    effect: Effect::Keyed,
                    worth: 3.5,
                    ..Class::default()
                },
                Class {
                    name: "unsafe".into(),
                    effect: Effect::Unsafe,
                    late_worth: 0.5,
                    ..Class::default()
                },
            ],
            servers: vec![ServerKind {
                name: "s".into(),
                cold_from: 0.3,
                cold: Span::s(2),
                report_every: Span::ms(100),
                ..ServerKind::default()
            }],
            ..Experiment::default()
        };
        experiment.instances.allow.probes = true;
        for probes in [true, false] {
            experiment.instances.allow.probes = probes;
            experiment.instances.allow.retry_after = if probes { Span::s(2) } else { Span(0) };
            let site =
                Site::from_json(&settings(&experiment, 2).to_string()).expect("a sidecar reads it");
            assert_eq!(site.settings, world::settings(&experiment, 2));
            assert_eq!(site.conn_idle, experiment.network.idle.micros());
            assert_eq!(
                site.connect_timeout,
                experiment.network.connect_timeout.micros()
            );
            assert_eq!(
                (&site.classes[..], &site.kinds[..]),
                (
                    &["safe", "keyed", "unsafe"].map(String::from)[..],
                    &["s".to_string()][..]
                )
            );
        }
    }
}
