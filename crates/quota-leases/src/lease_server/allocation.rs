//! The allocation of one limit among the holders that request it.

use super::holder_record::HolderRecord;
use super::limit::Limit;
use super::with_drift;
use crate::fair_share::{Demand, max_min_shares};
use crate::{Capacity, LeaseRequest, Micros, ONE_REQUEST, UNBOUNDED};
use std::collections::BTreeMap;

/// A holder's share is this many eighths of its recent demand, if there is as much: a bucket that fills at exactly the
/// average rate of requests would reject many of them.
const HEADROOM_EIGHTHS: u64 = 9;
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
) -> Vec<Capacity> {
    let allocation = Allocation {
        limit,
        participants,
        selected: select(limit.grantable(), participants, duration, now),
    };
    let rates = allocation.rates();
    let bursts = allocation.bursts();
    let in_flight = allocation.in_flight();
    let shares = rates.into_iter().zip(bursts).zip(in_flight);
    shares
        .map(|((rate, burst), in_flight)| Capacity {
            rate,
            burst,
            in_flight,
        })
        .collect()
}

/// One limit and the participants among which it is divided.
struct Allocation<'a> {
    limit: &'a Limit,
    participants: &'a [Participant<'a>],
    /// Whether each participant receives a share.
    selected: Vec<bool>,
}

impl Allocation<'_> {
    fn rates(&self) -> Vec<u64> {
        let demands = self.demands(|request| request.demand_rate, self.limit.min_rate);
        self.divide_by_zone(self.limit.grantable().rate, &demands)
    }

    fn in_flight(&self) -> Vec<u64> {
        let demand = |request: &LeaseRequest| request.demand_in_flight.max(request.in_flight) + 1;
        let demands = self.demands(demand, 1);
        self.divide_by_zone(self.limit.grantable().in_flight, &demands)
    }

    /// Divides the burst by weight alone: a burst evens out random variation, of which holders with little traffic have
    /// no less than those with much.
    fn bursts(&self) -> Vec<u64> {
        let burst = self.limit.grantable().burst;
        if burst == UNBOUNDED {
            return vec![UNBOUNDED; self.participants.len()];
        }
        let demands = self.demands_of_selected(|_| (burst, ONE_REQUEST));
        max_min_shares(burst, &demands)
    }

    /// The demands with headroom and a floor.
    fn demands(&self, demand: impl Fn(&LeaseRequest) -> u64, floor: u64) -> Vec<Demand> {
        self.demands_of_selected(|request| (with_headroom(demand(request)), floor))
    }

    /// The demands of all participants, by a function that returns what is wanted and the floor of a selected one.
    fn demands_of_selected(&self, demand: impl Fn(&LeaseRequest) -> (u64, u64)) -> Vec<Demand> {
        let participants = self.participants.iter().zip(&self.selected);
        participants
            .map(|(participant, selected)| {
                let (wanted, floor) = if *selected {
                    demand(participant.request)
                } else {
                    (0, 0)
                };
                Demand {
                    wanted,
                    floor,
                    weight: self.limit.weight(&participant.holder.name),
                }
            })
            .collect()
    }

    /// Divides a figure among zones where the limit says so, then within each zone. Half of what is left is added to
    /// the shares of the selected participants by weight, so that each can grow at once; the other half stays free for
    /// later requests.
    fn divide_by_zone(&self, total: u64, demands: &[Demand]) -> Vec<u64> {
        if total == UNBOUNDED {
            return vec![UNBOUNDED; demands.len()];
        }
        let zones = self.members_by_zone();
        let zone_demands: Vec<Demand> = zones
            .values()
            .map(|members| sum_of_demands(members, demands))
            .collect();
        let mut shares = vec![0; demands.len()];
        for (members, zone_total) in zones.values().zip(max_min_shares(total, &zone_demands)) {
            let own: Vec<Demand> = members.iter().map(|at| demands[*at]).collect();
            for (at, share) in members.iter().zip(max_min_shares(zone_total, &own)) {
                shares[*at] = share;
            }
        }
        let surplus = total.saturating_sub(shares.iter().sum()) / 2;
        self.add_surplus(&mut shares, surplus, demands);
        shares
    }

    /// The participants of each zone by their index; of a single zone where the limit is not divided by zone.
    fn members_by_zone(&self) -> BTreeMap<&str, Vec<usize>> {
        let mut members: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (at, participant) in self.participants.iter().enumerate() {
            let zone = if self.limit.by_zone {
                participant.holder.zone.as_str()
            } else {
                ""
            };
            members.entry(zone).or_default().push(at);
        }
        members
    }

    /// Adds a surplus to the shares of the selected participants by weight.
    fn add_surplus(&self, shares: &mut [u64], surplus: u64, demands: &[Demand]) {
        let weight = |at: usize| {
            if self.selected[at] {
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
    }
}

/// The demand of the members of a zone together. All zones have the same weight.
fn sum_of_demands(members: &[usize], demands: &[Demand]) -> Demand {
    let sum = |figure: &dyn Fn(&Demand) -> u64| {
        members
            .iter()
            .map(|at| figure(&demands[*at]))
            .fold(0, u64::saturating_add)
    };
    Demand {
        wanted: sum(&|demand| demand.wanted.max(demand.floor)),
        floor: sum(&|demand| demand.floor),
        weight: 1,
    }
}

fn with_headroom(demand: u64) -> u64 {
    demand.saturating_mul(HEADROOM_EIGHTHS) / 8
}

/// Selects the participants that receive a share. No holder can use less than one request of the burst or less than
/// one request in flight, so where there are more participants than that, they take turns.
fn select(
    grantable: Capacity,
    participants: &[Participant<'_>],
    duration: Micros,
    now: Micros,
) -> Vec<bool> {
    let burst = if grantable.burst == UNBOUNDED {
        u64::MAX
    } else {
        grantable.burst / ONE_REQUEST
    };
    let units = usize::try_from(burst.min(grantable.in_flight)).unwrap_or(usize::MAX);
    let mut selected = vec![true; participants.len()];
    if units < participants.len() {
        let turn = now / with_drift(duration).saturating_mul(LEASES_PER_TURN).max(1);
        let rank = |(at, participant): (usize, &Participant<'_>)| {
            let request = participant.request;
            let is_idle = request.demand_rate == 0 && request.demand_in_flight == 0;
            (is_idle, pseudorandom_rank(participant.start, turn), at)
        };
        let mut order: Vec<(bool, u64, usize)> =
            participants.iter().enumerate().map(rank).collect();
        order.sort_unstable();
        for (_, _, at) in order.into_iter().skip(units) {
            selected[at] = false;
        }
    }
    selected
}

/// Mixes a start and the number of a turn into a pseudorandom rank (SplitMix64's finalizer, Steele and others).
fn pseudorandom_rank(start: u64, turn: u64) -> u64 {
    let mut mixed = start ^ turn.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
