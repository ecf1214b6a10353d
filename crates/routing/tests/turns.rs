//! The thread's time is shared by weight: who floods it waits, who does not is not made to.

use madderloom_routing::turns::{AccountId, Turns};
use proptest::prelude::*;

const SLICE: u64 = 200_000;

/// A thread that works off pieces: all that may be done is, and then a round begins. Account `at` always has work
/// in pieces of `costs[at]`; `work` is how much is done in all.
fn share(weights: &[u32], costs: &[u64], work: u64) -> Vec<u64> {
    let mut turns = Turns::new(SLICE);
    let ids: Vec<AccountId> = weights.iter().map(|w| turns.join(*w)).collect();
    // As many pieces as a slice could ever take, and some.
    let pieces = |at: usize| std::iter::repeat_n(at, (SLICE / costs[at]) as usize + 2);
    let mut out: Vec<usize> = (0..ids.len()).flat_map(pieces).collect();
    let mut done = 0;
    while done < work {
        for at in std::mem::take(&mut out) {
            turns.spent(ids[at], costs[at]);
            done += costs[at];
            turns.wait(ids[at], at);
        }
        turns.next_round(&mut out);
    }
    ids.iter().map(|id| turns.account(*id).nanos).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn accounts_that_always_have_work_get_the_thread_by_weight(
        accounts in prop::collection::vec((1u32..20, 1_000u64..300_000), 2..6),
    ) {
        let (weights, costs): (Vec<u32>, Vec<u64>) = accounts.into_iter().unzip();
        let work = 2_000_000_000;
        let spent = share(&weights, &costs, work);
        let all: u32 = weights.iter().sum();
        let heaviest = weights.iter().max().copied().unwrap_or(1);
        for (at, spent) in spent.iter().enumerate() {
            let fair = work as f64 * f64::from(weights[at]) / f64::from(all);
            // Deficit round robin is off by a piece and a slice at the most, here of all accounts.
            let off = (SLICE * u64::from(heaviest) * 4 + 4 * costs.iter().sum::<u64>()) as f64;
            prop_assert!((*spent as f64 - fair).abs() <= 0.05 * fair + off, "{spent} is not {fair}");
        }
    }

    /// Work that comes now and then, beside any number of accounts that flood the thread.
    #[test]
    fn an_account_that_asks_for_less_than_its_share_never_waits(
        flooders in 1usize..6,
        cost in 1_000u64..50_000,
        rounds in 10usize..200,
    ) {
        let mut turns = Turns::new(SLICE);
        let quiet = turns.join(1);
        let loud: Vec<AccountId> = (0..flooders).map(|_| turns.join(1)).collect();
        let mut out: Vec<usize> = (0..10 * flooders).map(|at| at % flooders).collect();
        for _ in 0..rounds {
            for at in std::mem::take(&mut out) {
                turns.spent(loud[at], 100_000);
                turns.wait(loud[at], at);
            }
            prop_assert!(turns.may(quiet));
            turns.spent(quiet, cost);
            turns.next_round(&mut out);
        }
        prop_assert_eq!(turns.account(quiet).waits, 0);
    }

    /// Nothing that waits is forgotten, whatever the costs: rounds go on until all is out.
    #[test]
    fn what_waits_comes_out_in_order(costs in prop::collection::vec((0usize..3, 0u64..50_000_000), 1..100)) {
        let mut turns = Turns::new(SLICE);
        let ids: Vec<AccountId> = (1..=3).map(|weight| turns.join(weight)).collect();
        for (at, (account, cost)) in costs.iter().enumerate() {
            turns.spent(ids[*account], *cost);
            turns.wait(ids[*account], (*account, at));
        }
        let (mut out, mut rounds) = (Vec::new(), 0);
        while turns.is_waiting() {
            turns.next_round(&mut out);
            rounds += 1;
            // Where nobody else has work, debts do not idle the thread.
            prop_assert!(rounds <= 4 * costs.len(), "the thread idles");
        }
        prop_assert_eq!(out.len(), costs.len());
        for account in 0..3 {
            let of: Vec<usize> = out.iter().filter(|o| o.0 == account).map(|o| o.1).collect();
            prop_assert!(of.is_sorted());
        }
    }
}

#[test]
fn an_account_that_has_left_lets_its_work_through_and_its_place_is_given_again() {
    let mut turns = Turns::new(SLICE);
    let (a, b) = (turns.join(1), turns.join(1));
    turns.spent(a, 10 * SLICE);
    assert!(turns.wait(a, "a"));
    turns.leave(a);
    assert_ne!(turns.join(1), a);
    turns.spent(b, 1);
    let mut out = Vec::new();
    for _ in 0..20 {
        turns.next_round(&mut out);
    }
    assert_eq!(out, ["a"]);
    assert_eq!(turns.join(1), a);
}
