//! How a limit is divided: max-min fair, weighted, over floors.

/// What one of those who share asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Want {
    /// So much it can use.
    pub wanted: u64,
    /// So much it is to have whatever it asks for, while all floors fit.
    pub floor: u64,
    /// Its part where there is not enough for all; at least 1.
    pub weight: u64,
}

/// Divides `total` among these. Gives for each its part:
///
/// - the parts never come to more than `total`;
/// - nobody has less than another, by weight, unless it has all that it wants (max-min fair, by progressive filling:
///   Bertsekas and Gallager, *Data Networks*, 6.5.2);
/// - floors go first; where they do not fit, they are cut like wants;
/// - what nobody wants is not divided.
///
/// Costs a sort. Rounding loses less than one unit for each.
pub fn divide(total: u64, wants: &[Want]) -> Vec<u64> {
    let floors: u128 = wants.iter().map(|want| u128::from(want.floor)).sum();
    if floors > u128::from(total) {
        let cut = |want: &Want| Want { wanted: want.floor, floor: 0, ..*want };
        return fill(total, &wants.iter().map(cut).collect::<Vec<_>>());
    }
    fill(total, wants)
}

/// Raises the level of all together, each until it has what it wants. The floors fit.
fn fill(total: u64, wants: &[Want]) -> Vec<u64> {
    let wanted = |want: &Want| want.wanted.max(want.floor);
    let weight = |want: &Want| u128::from(want.weight.max(1));
    // A level `numerator / denominator` for each unit of weight at which one's part begins to grow, or stops.
    let mut bends: Vec<(u64, u128, bool)> = Vec::with_capacity(2 * wants.len());
    for want in wants {
        bends.push((want.floor, weight(want), true));
        bends.push((wanted(want), weight(want), false));
    }
    bends.sort_by(|a, b| (u128::from(a.0) * b.1).cmp(&(u128::from(b.0) * a.1)).then(b.2.cmp(&a.2)));
    let mut left = u128::from(total) - wants.iter().map(|want| u128::from(want.floor)).sum::<u128>();
    // Those whose part grows with the level, by their weights, and the level as a fraction.
    let mut growing = 0u128;
    let mut level = (0u128, 1u128);
    let mut reached = None;
    for (at, heavy, begins) in bends {
        let next = (u128::from(at), heavy);
        // growing * (next - level), rounded up: never more than there is.
        let rise = (next.0 * level.1).saturating_sub(level.0 * next.1);
        let cost = if growing == 0 { 0 } else { (growing * rise).div_ceil(level.1 * next.1) };
        if cost > left {
            reached = Some((level.0 * growing + left * level.1, level.1 * growing));
            break;
        }
        left -= cost;
        level = next;
        growing = if begins { growing + heavy } else { growing - heavy };
    }
    let part = |want: &Want| match reached {
        None => wanted(want),
        Some((numerator, denominator)) => {
            let by_level = numerator.saturating_mul(weight(want)) / denominator.max(1);
            u64::try_from(by_level).unwrap_or(u64::MAX).clamp(want.floor, wanted(want))
        }
    };
    wants.iter().map(part).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn want(wanted: u64) -> Want {
        Want { wanted, floor: 0, weight: 1 }
    }

    #[test]
    fn who_wants_little_has_it_and_the_rest_is_shared() {
        assert_eq!(divide(100, &[want(10), want(200), want(300)]), [10, 45, 45]);
        assert_eq!(divide(100, &[want(10), want(20)]), [10, 20]);
        let heavy = Want { weight: 3, ..want(300) };
        assert_eq!(divide(100, &[want(300), heavy]), [25, 75]);
        let floor = Want { floor: 60, ..want(0) };
        assert_eq!(divide(100, &[floor, want(300), want(300)]), [60, 20, 20]);
        assert_eq!(divide(50, &[floor, floor]), [25, 25]);
        assert_eq!(divide(0, &[floor, want(3)]), [0, 0]);
        assert_eq!(divide(7, &[]), [0; 0]);
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(4_000))]
        #[test]
        fn parts_fit_and_nobody_is_behind_another_who_has_more_by_weight(
            total in 0u64..2_000_000,
            wants in prop::collection::vec((0u64..1_000_000, 0u64..2_000, 1u64..9), 0..60),
        ) {
            let wants: Vec<Want> =
                wants.into_iter().map(|(wanted, floor, weight)| Want { wanted, floor, weight }).collect();
            let parts = divide(total, &wants);
            let sum: u64 = parts.iter().sum();
            prop_assert!(sum <= total, "{sum} of {total}");
            let floors: u64 = wants.iter().map(|w| w.floor).sum();
            let fit = floors <= total;
            let mut short = false;
            for (want, part) in wants.iter().zip(&parts) {
                let most = if fit { want.wanted.max(want.floor) } else { want.floor };
                prop_assert!(*part <= most && (!fit || *part >= want.floor));
                short |= *part < most;
                for (other, its) in wants.iter().zip(&parts) {
                    // Below its want, it has no less by weight than whoever is above the own floor.
                    let floor = if fit { other.floor } else { 0 };
                    if *part < most && *its > floor {
                        prop_assert!((part + 1) * other.weight + want.weight >= (*its).saturating_sub(1) * want.weight,
                            "{want:?} has {part}, {other:?} has {its}");
                    }
                }
            }
            // Where somebody is short, all but what rounding costs is divided.
            let rounding = 2 * wants.len() as u64 + wants.iter().map(|w| w.weight).sum::<u64>();
            prop_assert!(!short || sum + rounding >= total, "{sum} of {total}");
        }
    }
}
