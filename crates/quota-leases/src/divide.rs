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

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn demand(wanted: u64) -> Demand {
        Demand {
            wanted,
            floor: 0,
            weight: 1,
        }
    }

    #[test]
    fn who_wants_little_has_it_and_the_rest_is_shared() {
        assert_eq!(
            divide(100, &[demand(10), demand(200), demand(300)]),
            [10, 45, 45]
        );
        assert_eq!(divide(100, &[demand(10), demand(20)]), [10, 20]);
        let heavy = Demand {
            weight: 3,
            ..demand(300)
        };
        assert_eq!(divide(100, &[demand(300), heavy]), [25, 75]);
        let floor = Demand {
            floor: 60,
            ..demand(0)
        };
        assert_eq!(
            divide(100, &[floor, demand(300), demand(300)]),
            [60, 20, 20]
        );
        assert_eq!(divide(50, &[floor, floor]), [25, 25]);
        assert_eq!(divide(0, &[floor, demand(3)]), [0, 0]);
        assert_eq!(divide(7, &[]), [0; 0]);
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(4_000))]
        #[test]
        fn parts_fit_and_nobody_is_behind_another_who_has_more_by_weight(
            total in 0u64..2_000_000,
            demands in prop::collection::vec((0u64..1_000_000, 0u64..2_000, 1u64..9), 0..60),
        ) {
            let demands: Vec<Demand> =
                demands.into_iter().map(|(wanted, floor, weight)| Demand { wanted, floor, weight }).collect();
            let shares = divide(total, &demands);
            let sum: u64 = shares.iter().sum();
            prop_assert!(sum <= total, "{sum} of {total}");
            let floors: u64 = demands.iter().map(|w| w.floor).sum();
            let fit = floors <= total;
            let mut short = false;
            for (demand, part) in demands.iter().zip(&shares) {
                let most = if fit { demand.wanted.max(demand.floor) } else { demand.floor };
                prop_assert!(*part <= most && (!fit || *part >= demand.floor));
                short |= *part < most;
                for (other, its) in demands.iter().zip(&shares) {
                    // Below its demand, it has no less by weight than whoever is above the own floor.
                    let floor = if fit { other.floor } else { 0 };
                    if *part < most && *its > floor {
                        prop_assert!((part + 1) * other.weight + demand.weight >= (*its).saturating_sub(1) * demand.weight,
                            "{demand:?} has {part}, {other:?} has {its}");
                    }
                }
            }
            // Where somebody is short, all but what rounding costs is divided.
            let rounding = 2 * demands.len() as u64 + demands.iter().map(|w| w.weight).sum::<u64>();
            prop_assert!(!short || sum + rounding >= total, "{sum} of {total}");
        }
    }
}
