//! The allocation of one limit among the holders that request it.

use super::holder_record::HolderRecord;
use super::limit::Limit;
use super::with_drift;
use crate::divide::{Demand, divide};
use crate::{Amount, LeaseRequest, Micros, ONE, UNBOUNDED};
use std::collections::BTreeMap;

/// A holder's share is greater than its recent demand by this factor (9/8): a bucket that fills at exactly the
/// average rate of requests would reject many of them.
const HEADROOM: (u64, u64) = (9, 8);
/// Where a limit does not suffice for all, the holders that have a share change after this many lease durations.
const LEASES_PER_TURN: u64 = 2;

/// A holder that takes part in an allocation.
pub(super) struct Participant<'a> {
    pub(super) start: u64,
    pub(super) holder: &'a HolderRecord,
    pub(super) request: &'a LeaseRequest,
}

/// Computes the share of each participant, in the same order. `duration` is that of a lease.
pub(super) fn allocate(
    limit: &Limit,
    participants: &[Participant<'_>],
    duration: Micros,
    now: Micros,
) -> Vec<Amount> {
    let all = limit.grantable();
    let selected = select(all, participants, duration, now);
    let zones: Vec<&str> = participants
        .iter()
        .map(|participant| {
            if limit.by_zone {
                participant.holder.zone.as_str()
            } else {
                ""
            }
        })
        .collect();
    let demands = |wanted: &dyn Fn(&LeaseRequest) -> u64, floor: u64| -> Vec<Demand> {
        let demand = |(participant, selected): (&Participant<'_>, &bool)| {
            let (wanted, floor) = if *selected {
                (with_headroom(wanted(participant.request)), floor)
            } else {
                (0, 0)
            };
            Demand {
                wanted,
                floor,
                weight: limit.weight(&participant.holder.name),
            }
        };
        participants.iter().zip(&selected).map(demand).collect()
    };
    let rates = demands(&|request| request.wanted, limit.floor);
    let rates = divide_by_zone(all.rate, &rates, &zones, &selected);
    let open = demands(&|request| request.wanted_open.max(request.open) + 1, 1);
    let open = divide_by_zone(all.open, &open, &zones, &selected);
    let bursts = divide_burst(limit, all.burst, participants, &selected);
    let shares = rates.into_iter().zip(bursts).zip(open);
    shares
        .map(|((rate, burst), open)| Amount { rate, burst, open })
        .collect()
}

fn with_headroom(wanted: u64) -> u64 {
    wanted.saturating_mul(HEADROOM.0) / HEADROOM.1
}

/// Selects the participants that receive a share. No holder can use less than one request of the burst or less than
/// one open request, so where there are more participants than that, they take turns.
fn select(
    all: Amount,
    participants: &[Participant<'_>],
    duration: Micros,
    now: Micros,
) -> Vec<bool> {
    let burst = if all.burst == UNBOUNDED {
        u64::MAX
    } else {
        all.burst / ONE
    };
    let units = usize::try_from(burst.min(all.open)).unwrap_or(usize::MAX);
    let mut selected = vec![true; participants.len()];
    if units < participants.len() {
        let turn = now / with_drift(duration).saturating_mul(LEASES_PER_TURN).max(1);
        let rank = |(at, participant): (usize, &Participant<'_>)| {
            let is_idle = participant.request.wanted == 0 && participant.request.wanted_open == 0;
            (is_idle, mix(participant.start, turn), at)
        };
        let mut order: Vec<(bool, u64, usize)> =
            participants.iter().enumerate().map(rank).collect();
        order.sort_unstable();
        order
            .iter()
            .skip(units)
            .for_each(|(_, _, at)| selected[*at] = false);
    }
    selected
}

/// Divides the burst by weight alone: a burst evens out random variation, of which holders with little traffic have
/// no less than those with much.
fn divide_burst(
    limit: &Limit,
    burst: u64,
    participants: &[Participant<'_>],
    selected: &[bool],
) -> Vec<u64> {
    if burst == UNBOUNDED {
        return vec![UNBOUNDED; participants.len()];
    }
    let demand = |(participant, selected): (&Participant<'_>, &bool)| {
        let (wanted, floor) = if *selected { (burst, ONE) } else { (0, 0) };
        Demand {
            wanted,
            floor,
            weight: limit.weight(&participant.holder.name),
        }
    };
    let demands: Vec<Demand> = participants.iter().zip(selected).map(demand).collect();
    divide(burst, &demands)
}

/// Divides among zones, then within each zone. Half of what is left is added to the shares of the selected
/// participants by weight, so that each can grow at once; the other half stays free for later requests.
fn divide_by_zone(all: u64, demands: &[Demand], zones: &[&str], selected: &[bool]) -> Vec<u64> {
    if all == UNBOUNDED {
        return vec![UNBOUNDED; demands.len()];
    }
    let mut members: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    zones
        .iter()
        .enumerate()
        .for_each(|(at, zone)| members.entry(zone).or_default().push(at));
    let sum = |members: &[usize], figure: &dyn Fn(&Demand) -> u64| {
        members
            .iter()
            .map(|at| figure(&demands[*at]))
            .fold(0, u64::saturating_add)
    };
    let zone_demands: Vec<Demand> = members
        .values()
        .map(|members| Demand {
            wanted: sum(members, &|demand| demand.wanted.max(demand.floor)),
            floor: sum(members, &|demand| demand.floor),
            weight: 1,
        })
        .collect();
    let mut shares = vec![0; demands.len()];
    for (members, total) in members.values().zip(divide(all, &zone_demands)) {
        let own: Vec<Demand> = members.iter().map(|at| demands[*at]).collect();
        for (at, share) in members.iter().zip(divide(total, &own)) {
            shares[*at] = share;
        }
    }
    let surplus = all.saturating_sub(shares.iter().sum()) / 2;
    let weight = |at: usize| {
        if selected[at] {
            u128::from(demands[at].weight)
        } else {
            0
        }
    };
    let total_weight: u128 = (0..demands.len()).map(weight).sum();
    for (at, share) in shares.iter_mut().enumerate() {
        let more = u128::from(surplus) * weight(at) / total_weight.max(1);
        *share += u64::try_from(more).unwrap_or(0);
    }
    shares
}

/// Mixes a start and the number of a turn into a pseudorandom rank (SplitMix64's finalizer, Steele and others).
fn mix(start: u64, turn: u64) -> u64 {
    let mut mixed = start ^ turn.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
