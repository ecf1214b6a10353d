//! Division of a limit among participants: weighted max-min fair shares above guaranteed floors.

/// The demand of one participant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Demand {
    /// The quantity that it can use.
    pub(crate) wanted: u64,
    /// The quantity that it receives at least, while all floors fit.
    pub(crate) floor: u64,
    /// Its weight where there is not enough for all; at least 1.
    pub(crate) weight: u64,
}

impl Demand {
    /// The quantity that it receives where there is enough for all.
    fn full_share(&self) -> u64 {
        self.wanted.max(self.floor)
    }

    fn weight(&self) -> u128 {
        u128::from(self.weight.max(1))
    }
}

/// A level of progressive filling: the share of a participant by unit of its weight, as a fraction.
#[derive(Clone, Copy)]
struct Level {
    numerator: u128,
    denominator: u128,
}

/// A level at which the share of one participant begins to grow or stops.
struct TurningPoint {
    level: Level,
    weight: u128,
    begins: bool,
}

/// Divides `total` among participants. Returns the share of each:
///
/// - the shares never add up to more than `total`;
/// - no participant receives less than another, by weight, unless it receives all that it demands (max-min fairness
///   by progressive filling: Bertsekas and Gallager, *Data Networks*, 6.5.2);
/// - floors are served first; where they do not fit, they are divided like demands;
/// - what no participant demands is not divided.
///
/// The cost is that of a sort. Rounding loses less than one unit for each participant.
pub(crate) fn max_min_shares(total: u64, demands: &[Demand]) -> Vec<u64> {
    if sum_of_floors(demands) <= u128::from(total) {
        return fill(total, demands);
    }
    let floor_as_demand = |demand: &Demand| Demand {
        wanted: demand.floor,
        floor: 0,
        ..*demand
    };
    fill(
        total,
        &demands.iter().map(floor_as_demand).collect::<Vec<_>>(),
    )
}

fn sum_of_floors(demands: &[Demand]) -> u128 {
    demands.iter().map(|demand| u128::from(demand.floor)).sum()
}

/// Raises a common level until each participant has what it demands or the total is used up. The floors must fit.
fn fill(total: u64, demands: &[Demand]) -> Vec<u64> {
    let remainder = u128::from(total) - sum_of_floors(demands);
    let Some(level) = final_level(remainder, demands) else {
        return demands.iter().map(Demand::full_share).collect();
    };
    let share = |demand: &Demand| {
        let by_level = level.numerator.saturating_mul(demand.weight()) / level.denominator.max(1);
        u64::try_from(by_level)
            .unwrap_or(u64::MAX)
            .clamp(demand.floor, demand.full_share())
    };
    demands.iter().map(share).collect()
}

/// The level at which the remainder above all floors is used up; `None` where it suffices for all demands.
fn final_level(mut remainder: u128, demands: &[Demand]) -> Option<Level> {
    let mut level = Level {
        numerator: 0,
        denominator: 1,
    };
    // The total weight of the shares that grow with the level.
    let mut growing = 0u128;
    for point in turning_points(demands) {
        let next = point.level;
        // growing * (next - level), rounded up, so that no more is granted than there is.
        let rise =
            (next.numerator * level.denominator).saturating_sub(level.numerator * next.denominator);
        let cost = if growing == 0 {
            0
        } else {
            (growing * rise).div_ceil(level.denominator * next.denominator)
        };
        if cost > remainder {
            return Some(Level {
                numerator: level.numerator * growing + remainder * level.denominator,
                denominator: level.denominator * growing,
            });
        }
        remainder -= cost;
        level = next;
        growing = if point.begins {
            growing + point.weight
        } else {
            growing - point.weight
        };
    }
    None
}

/// The turning points of all participants by level. Of equal ones those at which shares begin to grow come first.
fn turning_points(demands: &[Demand]) -> Vec<TurningPoint> {
    let mut points = Vec::with_capacity(2 * demands.len());
    for demand in demands {
        let weight = demand.weight();
        let point = |share: u64, begins: bool| TurningPoint {
            level: Level {
                numerator: u128::from(share),
                denominator: weight,
            },
            weight,
            begins,
        };
        points.push(point(demand.floor, true));
        points.push(point(demand.full_share(), false));
    }
    points.sort_by(|one, other| {
        let (a, b) = (one.level, other.level);
        (a.numerator * b.denominator)
            .cmp(&(b.numerator * a.denominator))
            .then(other.begins.cmp(&one.begins))
    });
    points
}
