//! Times, states and tables as they are shown.

use crate::output::{Table, tell};
use madderloom_agent::view::{AmountView, FleetLimitView, InstanceView, RolloutView};
use madderloom_control_plane::membership::Presence;
use madderloom_control_plane::rollout::End;
use madderloom_endpoint_sharing::EndpointListStatus;
use serde::Serialize;
use std::collections::BTreeMap;
use time::OffsetDateTime;
use time::macros::format_description;

pub(super) fn ended(end: End) -> &'static str {
    match end {
        End::Done => "done",
        End::Stopped => "stopped",
        End::TakenBack => "taken back",
    }
}

pub(super) fn when(millis: u64) -> String {
    let format = format_description!("[year]-[month]-[day] [hour]:[minute]:[second]Z");
    let seconds = i64::try_from(millis / 1_000).unwrap_or(0);
    let time = OffsetDateTime::from_unix_timestamp(seconds).ok();
    time.and_then(|time| time.format(format).ok())
        .unwrap_or_else(|| "?".into())
}

pub(super) fn json(value: &impl Serialize) {
    tell(format_args!(
        "{}",
        serde_json::to_string(value).unwrap_or_default()
    ));
}

pub(super) fn counts(rollout: &RolloutView) -> String {
    let counts: Vec<String> = rollout
        .target_counts
        .iter()
        .map(|(state, count)| format!("{count} {state}"))
        .collect();
    if counts.is_empty() {
        "no instance is selected".into()
    } else {
        counts.join(", ")
    }
}

fn line(instance: &InstanceView) -> [String; 8] {
    let in_line = match (&instance.rejection, instance.in_sync) {
        (Some(_), _) => "refused",
        (None, Some(true)) => "yes",
        (None, Some(false)) => "no",
        (None, None) => "?",
    };
    let share =
        instance.request_counts.bad as f64 * 100.0 / instance.request_counts.ended.max(1) as f64;
    let mut note = instance.rejection.clone().unwrap_or_default();
    let without = instance
        .fleet_limits
        .iter()
        .filter(|(_, share)| share.instances > 0 && share.lease_holders == 0);
    let without: Vec<&str> = without.map(|(name, _)| name.as_str()).collect();
    if !without.is_empty() {
        note = format!("no lease of {} {note}", without.join(", "));
    }
    if let Some(rival) = instance.rival_incarnation {
        note = format!("another process wants this name (incarnation {rival}) {note}");
    }
    [
        instance.name.clone(),
        presence(instance.presence).into(),
        instance.zone.clone(),
        instance.revision.to_string(),
        in_line.into(),
        instance.request_counts.ended.to_string(),
        format!("{share:.1}%"),
        note,
    ]
}

/// The lists that the fleet shares, a row each.
pub(super) fn lists(lists: &BTreeMap<String, EndpointListStatus>) -> Table {
    let mut table = Table::new(["SHARED LIST", "VERSION", "AGE", "WATCHED BY", "BEHIND"]);
    for (name, list) in lists {
        table.row([
            name.clone(),
            list.version.to_string(),
            format!("{:.1} s", list.age_us as f64 / 1e6),
            list.watcher_count.to_string(),
            list.behind_count.to_string(),
        ]);
    }
    table
}

/// Fleet-wide limits, or parts of them, a row each.
pub(super) fn shares(limits: &BTreeMap<String, FleetLimitView>) -> Table {
    let mut table = Table::new([
        "FLEET LIMIT",
        "ALL",
        "LENT",
        "USED/S",
        "WANTED/S",
        "OPEN",
        "OVER/S",
        "INSTANCES",
        "WITHOUT A LEASE",
    ]);
    for (name, share) in limits {
        let figures = |figures: &AmountView| {
            let rate = figures
                .requests_per_second
                .map(|rate| format!("{rate:.1}/s"));
            let open = figures.in_flight.map(|open| format!("{open} open"));
            rate.into_iter().chain(open).collect::<Vec<_>>().join(", ")
        };
        table.row([
            name.clone(),
            figures(&share.limit),
            figures(&share.granted),
            format!("{:.1}", share.admitted_rate),
            format!("{:.1}", share.demand_rate),
            share.in_flight.to_string(),
            format!("{:.1}", share.excess_rate),
            share.instances.to_string(),
            share
                .instances
                .saturating_sub(share.lease_holders)
                .to_string(),
        ]);
    }
    table
}

fn presence(presence: Presence) -> &'static str {
    match presence {
        Presence::Joining => "joining",
        Presence::Alive => "alive",
        Presence::Suspect => "suspect",
        Presence::Gone => "gone",
    }
}

pub(super) fn table(instances: &[InstanceView]) -> Table {
    let mut table = Table::new([
        "NAME", "STATE", "ZONE", "REVISION", "IN LINE", "REQUESTS", "BAD", "NOTE",
    ]);
    instances
        .iter()
        .for_each(|instance| table.row(line(instance)));
    table
}
