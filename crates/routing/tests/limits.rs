//! Limits hold: nothing held exceeds its bound, a guaranteed part is always there, and what is borrowed returns.

use madderloom_routing::shares::{Denied, MemberId, Part, Shares};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Take(usize, u64),
    GiveBack(usize, u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0usize..4, 1u64..30).prop_map(|(m, n)| Step::Take(m, n)),
        (0usize..4, 1u64..30).prop_map(|(m, n)| Step::GiveBack(m, n)),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #[test]
    fn held_never_exceeds_its_bounds_and_own_parts_are_always_there(
        parts in prop::collection::vec((0u64..25, 0u64..120), 4),
        steps in steps(),
    ) {
        let total = 100;
        let mut shares = Shares::new(total);
        let parts: Vec<Part> = parts.iter().map(|(own, most)| Part { guaranteed: *own, most: *most }).collect();
        let ids: Vec<MemberId> = parts.iter().map(|part| shares.join(*part)).collect();
        let mut held = [0u64; 4];
        for step in steps {
            match step {
                Step::Take(at, units) => {
                    let room = shares.room(ids[at]);
                    let taken = shares.take(ids[at], units);
                    prop_assert_eq!(taken.is_ok(), units <= room, "room says what take does");
                    match taken {
                        Ok(()) => held[at] += units,
                        Err(denied) => {
                            prop_assert!(held[at] + units > parts[at].guaranteed, "its own part was not there");
                            let own = held[at] + units > parts[at].most.max(parts[at].guaranteed);
                            prop_assert_eq!(denied == Denied::Own, own);
                        }
                    }
                }
                Step::GiveBack(at, units) => {
                    shares.give_back(ids[at], units);
                    held[at] = held[at].saturating_sub(units);
                }
            }
            prop_assert!(held.iter().sum::<u64>() <= total);
            prop_assert_eq!(shares.used(), held.iter().sum::<u64>());
            for (at, part) in parts.iter().enumerate() {
                prop_assert!(held[at] <= part.most.max(part.guaranteed));
                prop_assert_eq!(shares.held(ids[at]).used, held[at]);
                // Whatever the others hold, the rest of the own part is to be had in one piece.
                let rest = part.guaranteed.saturating_sub(held[at]);
                prop_assert!(shares.clone().take(ids[at], rest).is_ok());
            }
        }
        // All borrowed parts return: alone, a member gets as much as it ever could.
        for (at, id) in ids.iter().enumerate() {
            shares.give_back(*id, held[at]);
        }
        let others: u64 = parts[1..].iter().map(|p| p.guaranteed).sum();
        prop_assert_eq!(shares.room(ids[0]), parts[0].most.max(parts[0].guaranteed).min(total - others));
    }

    /// Members come, change and go while things are held.
    #[test]
    fn a_change_of_the_bounds_takes_nothing_away_and_never_lets_more_be_held_than_there_is(
        changes in prop::collection::vec((0usize..4, 0u64..60, 0u64..120, 1u64..40, 0u8..4), 1..80),
    ) {
        let total = 100;
        let mut shares = Shares::new(total);
        let mut ids: Vec<MemberId> = (0..4).map(|_| shares.join(Part { guaranteed: 10, most: 50 })).collect();
        let mut held: Vec<(u64, MemberId)> = Vec::new();
        for (at, guaranteed, most, units, what) in changes {
            let before = shares.used();
            match what {
                0 => shares.change(ids[at], Part { guaranteed, most }),
                1 => {
                    shares.leave(ids[at]);
                    prop_assert!(shares.take(ids[at], 1).is_err(), "one that has left got something");
                    ids[at] = shares.join(Part { guaranteed, most });
                    prop_assert_eq!(shares.held(ids[at]).used, 0);
                }
                2 => {
                    let own = shares.held(ids[at]).used + units <= shares.held(ids[at]).part.guaranteed;
                    if shares.take(ids[at], units).is_ok() {
                        held.push((units, ids[at]));
                    } else {
                        prop_assert!(!own || before + units > total, "an own part was lent");
                    }
                    prop_assert!(shares.used() <= total);
                    continue;
                }
                _ => {
                    if let Some((units, id)) = held.pop() {
                        shares.give_back(id, units);
                    }
                    continue;
                }
            }
            prop_assert_eq!(shares.used(), before);
        }
        for (units, id) in held {
            shares.give_back(id, units);
        }
        prop_assert_eq!(shares.used(), 0);
    }
}
