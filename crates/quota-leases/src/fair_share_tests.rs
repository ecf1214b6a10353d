//! Shares fit into the total, and are max-min fair.

use crate::fair_share::{Demand, max_min_shares};
use proptest::prelude::*;

fn demand(wanted: u64) -> Demand {
    Demand {
        wanted,
        floor: 0,
        weight: 1,
    }
}

#[test]
fn small_demands_are_met_and_the_rest_is_shared() {
    assert_eq!(
        max_min_shares(100, &[demand(10), demand(200), demand(300)]),
        [10, 45, 45]
    );
    assert_eq!(max_min_shares(100, &[demand(10), demand(20)]), [10, 20]);
    let heavy = Demand {
        weight: 3,
        ..demand(300)
    };
    assert_eq!(max_min_shares(100, &[demand(300), heavy]), [25, 75]);
    let floor = Demand {
        floor: 60,
        ..demand(0)
    };
    assert_eq!(
        max_min_shares(100, &[floor, demand(300), demand(300)]),
        [60, 20, 20]
    );
    assert_eq!(max_min_shares(50, &[floor, floor]), [25, 25]);
    assert_eq!(max_min_shares(0, &[floor, demand(3)]), [0, 0]);
    assert_eq!(max_min_shares(7, &[]), [0; 0]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]
    #[test]
    fn shares_fit_and_no_participant_is_behind_another_that_has_more_by_weight(
        total in 0u64..2_000_000,
        demands in prop::collection::vec((0u64..1_000_000, 0u64..2_000, 1u64..9), 0..60),
    ) {
        let demands: Vec<Demand> =
            demands.into_iter().map(|(wanted, floor, weight)| Demand { wanted, floor, weight }).collect();
        let shares = max_min_shares(total, &demands);
        let sum: u64 = shares.iter().sum();
        prop_assert!(sum <= total, "{sum} of {total}");
        let floors: u64 = demands.iter().map(|demand| demand.floor).sum();
        let fit = floors <= total;
        let mut short = false;
        for (demand, share) in demands.iter().zip(&shares) {
            let full_share = if fit { demand.wanted.max(demand.floor) } else { demand.floor };
            prop_assert!(*share <= full_share && (!fit || *share >= demand.floor));
            short |= *share < full_share;
            for (other, other_share) in demands.iter().zip(&shares) {
                // Below its demand, it has no less by weight than any other that is above its own floor.
                let floor = if fit { other.floor } else { 0 };
                if *share < full_share && *other_share > floor {
                    prop_assert!((share + 1) * other.weight + demand.weight >= (*other_share).saturating_sub(1) * demand.weight,
                        "{demand:?} has {share}, {other:?} has {other_share}");
                }
            }
        }
        // Where a demand is not met, all but what rounding costs is divided.
        let rounding = 2 * demands.len() as u64 + demands.iter().map(|demand| demand.weight).sum::<u64>();
        prop_assert!(!short || sum + rounding >= total, "{sum} of {total}");
    }
}
