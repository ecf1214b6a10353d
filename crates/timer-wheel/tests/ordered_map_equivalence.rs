//! Compares the wheel with a plain ordered map on random operations.

use madderloom_timer_wheel::{Poll, Wheel};
use proptest::prelude::*;
use std::collections::BTreeMap;

const TICK_US: u64 = 256;

#[derive(Clone, Debug)]
enum Op {
    /// Sets a timer at this offset from now, in microseconds; negative offsets are in the past.
    Set(i64),
    /// Cancels a timer by its index among all timers ever set.
    Cancel(usize),
    /// Advances the time by this many microseconds and polls with budgets of this size.
    Advance(u64, u32),
}

fn op() -> impl Strategy<Value = Op> {
    let offset = prop_oneof![
        -5_000..5_000i64,
        0..3_000_000i64,
        0..100_000_000_000i64,
        Just(1i64 << 60)
    ];
    let time_step = prop_oneof![0..3_000u64, 0..2_000_000u64, 0..200_000_000_000u64];
    let budget = prop_oneof![1..4u32, Just(1_000_000u32)];
    prop_oneof![
        4 => offset.prop_map(Op::Set),
        1 => (0..400usize).prop_map(Op::Cancel),
        3 => (time_step, budget).prop_map(|(step, budget)| Op::Advance(step, budget)),
    ]
}

proptest! {
    #[test]
    fn each_timer_expires_once_in_order_never_early_and_within_a_tick(
        start in prop_oneof![Just(0u64), 0..1u64 << 55],
        ops in proptest::collection::vec(op(), 1..400),
    ) {
        let (mut now, mut wheel) = (start, Wheel::new(start));
        let (mut keys, mut model) = (Vec::new(), BTreeMap::<usize, u64>::new());
        for op in ops {
            match op {
                Op::Set(offset) => {
                    let at = now.saturating_add_signed(offset);
                    model.insert(keys.len(), at);
                    keys.push(wheel.set(at, keys.len()));
                }
                Op::Cancel(which) if which < keys.len() => {
                    let expected = model.remove(&which).map(|_| which);
                    prop_assert_eq!(wheel.cancel(keys[which]), expected);
                }
                Op::Cancel(_) => {}
                Op::Advance(step, budget) => {
                    now = now.saturating_add(step).min(1 << 62);
                    let (mut last, mut left) = (0, budget);
                    loop {
                        match wheel.poll(now, &mut left) {
                            Poll::Due(which) => {
                                let at = model.remove(&which).expect("the timer is set and has neither expired nor been cancelled");
                                prop_assert!(at <= now, "early");
                                let tick = at.div_ceil(TICK_US);
                                // Timers set in the past are due at the current time.
                                prop_assert!(tick >= last || at <= now.saturating_sub(step), "out of order");
                                last = last.max(tick);
                            }
                            Poll::BudgetExhausted => left = budget,
                            Poll::Idle => break,
                        }
                    }
                    let overdue = model.values().find(|at| at.div_ceil(TICK_US) <= now / TICK_US);
                    prop_assert_eq!(overdue, None);
                    if let (Some(next), Some(first)) = (wheel.next_expiry(), model.values().min()) {
                        prop_assert!(next <= first.div_ceil(TICK_US) * TICK_US, "the caller would sleep past the timer");
                        prop_assert!(next + TICK_US > now, "the caller would not sleep at all");
                    }
                    prop_assert_eq!(wheel.next_expiry().is_none(), model.is_empty());
                }
            }
            prop_assert_eq!(wheel.len(), model.len());
        }
    }
}

#[test]
fn a_hundred_thousand_timers_due_at_one_instant_take_as_many_calls_as_the_budget_requires() {
    const TIMERS: u32 = 100_000;
    let mut wheel = Wheel::new(0);
    for at in 0..TIMERS {
        wheel.set(60_000_000, at);
    }
    let (mut batches, mut due) = (0, 0);
    let mut done = false;
    while !done {
        batches += 1;
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
    assert_eq!(due, TIMERS);
    // Each timer is returned once and moves down at most once for each of the four levels that a minute spans.
    assert!(batches <= 5 * TIMERS / 1_000 + 1, "{batches} batches");
    assert!(batches >= TIMERS / 1_000, "{batches} batches");
}
