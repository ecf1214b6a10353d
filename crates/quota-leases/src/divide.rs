//! Division of a limit: weighted max-min fair shares above guaranteed floors.

/// The demand of one participant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The amount that it can use.
    pub wanted: u64,
    /// The amount that it receives at least, while all floors fit.
    pub floor: u64,
    /// Its weight where there is not enough for all; at least 1.
    pub weight: u64,
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
pub fn divide(total: u64, demands: &[Demand]) -> Vec<u64> {
    let floors: u128 = demands.iter().map(|demand| u128::from(demand.floor)).sum();
    if floors > u128::from(total) {
        let cut = |demand: &Demand| Demand {
            wanted: demand.floor,
            floor: 0,
            ..*demand
        };
        return fill(total, &demands.iter().map(cut).collect::<Vec<_>>());
    }
    fill(total, demands)
}

/// Raises a common level until each participant has what it demands or the total is used up. The floors must fit.
fn fill(total: u64, demands: &[Demand]) -> Vec<u64> {
    let wanted = |demand: &Demand| demand.wanted.max(demand.floor);
    let weight = |demand: &Demand| u128::from(demand.weight.max(1));
    // The levels `numerator / denominator`, by unit of weight, at which a share begins to grow or stops.
    let mut turning_points: Vec<(u64, u128, bool)> = Vec::with_capacity(2 * demands.len());
    for demand in demands {
        turning_points.push((demand.floor, weight(demand), true));
        turning_points.push((wanted(demand), weight(demand), false));
    }
    turning_points.sort_by(|a, b| {
        (u128::from(a.0) * b.1)
            .cmp(&(u128::from(b.0) * a.1))
            .then(b.2.cmp(&a.2))
    });
    let mut left = u128::from(total)
        - demands
            .iter()
            .map(|demand| u128::from(demand.floor))
            .sum::<u128>();
    // The total weight of the shares that grow with the level, and the level as a fraction.
    let mut growing = 0u128;
    let mut level = (0u128, 1u128);
    let mut reached = None;
    for (at, heavy, begins) in turning_points {
        let next = (u128::from(at), heavy);
        // growing * (next - level), rounded up, so that no more is given than there is.
        let rise = (next.0 * level.1).saturating_sub(level.0 * next.1);
        let cost = if growing == 0 {
            0
        } else {
            (growing * rise).div_ceil(level.1 * next.1)
        };
        if cost > left {
            reached = Some((level.0 * growing + left * level.1, level.1 * growing));
            break;
        }
        left -= cost;
        level = next;
        growing = if begins {
            growing + heavy
        } else {
            growing - heavy
        };
    }
    let share = |demand: &Demand| match reached {
        None => wanted(demand),
        Some((numerator, denominator)) => {
            let by_level = numerator.saturating_mul(weight(demand)) / denominator.max(1);
            u64::try_from(by_level)
                .unwrap_or(u64::MAX)
                .clamp(demand.floor, wanted(demand))
        }
    };
    demands.iter().map(share).collect()
}
