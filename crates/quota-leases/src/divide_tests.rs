//! Shares fit into the total, and are max-min fair.

use crate::divide::{Demand, divide};
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
