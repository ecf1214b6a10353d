//! The wheel against a plain ordered map, on random operations.

use madderloom_timer_wheel::{Poll, Wheel};
use proptest::prelude::*;
use std::collections::BTreeMap;

const TICK: u64 = 256;

#[derive(Clone, Debug)]
enum Op {
    /// A timer so far ahead (behind, where it is below 0).
    Set(i64),
    /// Takes back one of those set, by its place among all that ever were.
    Cancel(usize),
    /// Time passes, and timers are asked for with budgets of this size.
    Pass(u64, u32),
}

fn op() -> impl Strategy<Value = Op> {
    let ahead = prop_oneof![
        -5_000..5_000i64,
        0..3_000_000i64,
        0..100_000_000_000i64,
        Just(1i64 << 60)
    ];
    let passing = prop_oneof![0..3_000u64, 0..2_000_000u64, 0..200_000_000_000u64];
    let budget = prop_oneof![1..4u32, Just(1_000_000u32)];
    prop_oneof![
        4 => ahead.prop_map(Op::Set),
        1 => (0..400usize).prop_map(Op::Cancel),
        3 => (passing, budget).prop_map(|(span, budget)| Op::Pass(span, budget)),
    ]
}

proptest! {
    #[test]
    fn each_timer_comes_due_once_in_order_never_early_and_within_a_tick(
        start in prop_oneof![Just(0u64), 0..1u64 << 55],
        ops in proptest::collection::vec(op(), 1..400),
    ) {
        let (mut now, mut wheel) = (start, Wheel::new(start));
        let (mut keys, mut model) = (Vec::new(), BTreeMap::<usize, u64>::new());
        for op in ops {
            match op {
                Op::Set(ahead) => {
                    let at = now.saturating_add_signed(ahead);
                    model.insert(keys.len(), at);
                    keys.push(wheel.set(at, keys.len()));
                }
                Op::Cancel(which) if which < keys.len() => {
                    let expected = model.remove(&which).map(|_| which);
                    prop_assert_eq!(wheel.cancel(keys[which]), expected);
                }
                Op::Cancel(_) => {}
                Op::Pass(span, budget) => {
                    now = now.saturating_add(span).min(1 << 62);
                    let (mut last, mut left) = (0, budget);
                    loop {
                        match wheel.poll(now, &mut left) {
                            Poll::Due(which) => {
                                let at = model.remove(&which).expect("set, and neither due before nor cancelled");
                                prop_assert!(at <= now, "early");
                                let tick = at.div_ceil(TICK);
                                // Timers set into the past are due with the present.
                                prop_assert!(tick >= last || at <= now.saturating_sub(span), "out of order");
                                last = last.max(tick);
                            }
                            Poll::BudgetExhausted => left = budget,
                            Poll::Idle => break,
                        }
                    }
                    let overdue = model.values().find(|at| at.div_ceil(TICK) <= now / TICK);
                    prop_assert_eq!(overdue, None);
                    if let (Some(next), Some(first)) = (wheel.next_expiry(), model.values().min()) {
                        prop_assert!(next <= first.div_ceil(TICK) * TICK, "it would be slept through");
                        prop_assert!(next + TICK > now, "it would never be slept for");
                    }
                    prop_assert_eq!(wheel.next_expiry().is_none(), model.is_empty());
                }
            }
            prop_assert_eq!(wheel.len(), model.len());
        }
    }
}

#[test]
fn a_hundred_thousand_due_at_one_instant_take_as_many_turns_as_the_budget_asks_for() {
    const MANY: u32 = 100_000;
    let mut wheel = Wheel::new(0);
    for at in 0..MANY {
        wheel.set(60_000_000, at);
    }
    let (mut turns, mut due) = (0, 0);
    let mut done = false;
    while !done {
        turns += 1;
        let mut budget = 1_000;
        loop {
            match wheel.poll(60_000_000, &mut budget) {
                Poll::Due(_) => due += 1,
                Poll::BudgetExhausted => break,
                Poll::Idle => {
                    done = true;
                    break;
                }
            }
        }
    }
    assert_eq!(due, MANY);
    // Each is handed out once and moves down at most once for each of the four levels that a minute spans.
    assert!(turns <= 5 * MANY / 1_000 + 1, "{turns} turns");
    assert!(turns >= MANY / 1_000, "{turns} turns");
}
