//! A hierarchical timing wheel, whose cost per timer does not depend on the number of timers.
//!
//! Implements scheme 7 of G. Varghese and T. Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987), in the variant
//! that selects a level by the highest digit in which a timer's tick differs from the wheel's current tick. Setting and
//! cancelling take constant time. A timer cascades at most once per level, and every move counts against the caller's
//! budget, so a hundred thousand timers due at one instant are returned over as many calls as the caller wants, none of
//! which takes long.
//!
//! The wheel reads no clock: the caller passes the time in whole microseconds, which must not decrease.

use slotmap::{SlotMap, new_key_type};

/// Binary logarithm of the tick length in microseconds. A timer expires at the first tick at or after its time, so up to
/// 256 µs late and never early.
const TICK_BITS: u32 = 8;
/// Binary logarithm of the number of slots per level.
const SLOT_BITS: u32 = 6;
const SLOTS: usize = 1 << SLOT_BITS;
/// Enough levels for every time in microseconds: 60 bits of ticks.
const LEVELS: usize = 10;

new_key_type! {
    /// Key of a timer. It stays unique after the timer has expired or was cancelled.
    pub struct TimerKey;
}

struct Entry<T> {
    value: T,
    tick: u64,
    /// Position of the slot: the level in the high bits, the index within the level in the low bits.
    position: u16,
    previous: Option<TimerKey>,
    next: Option<TimerKey>,
}

/// The timers of one slot, as a linked list through their entries.
#[derive(Clone, Copy, Default)]
struct Slot {
    first: Option<TimerKey>,
    last: Option<TimerKey>,
}

/// A set of timers, each with a value.
///
/// Memory: a fixed 10 KiB, plus the value and about 40 bytes for each timer. Memory of removed timers is kept for reuse.
pub struct Wheel<T> {
    entries: SlotMap<TimerKey, Entry<T>>,
    slots: Vec<Slot>,
    /// For each level, a bitmap of the slots that hold a timer.
    occupied: [u64; LEVELS],
    /// The tick up to which timers have been returned. Never later than the first timer that is still set.
    current_tick: u64,
    /// A slot above the lowest level whose timers are being moved to lower levels.
    cascading: Option<u16>,
}

/// Result of [`Wheel::poll`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Poll<T> {
    /// The value of a timer that is due.
    Due(T),
    /// The budget is exhausted; more timers may be due.
    BudgetExhausted,
    /// No more timers are due.
    Idle,
}

impl<T> Wheel<T> {
    /// Creates a wheel without timers whose time starts at `now`, in microseconds.
    pub fn new(now: u64) -> Self {
        Wheel {
            entries: SlotMap::with_key(),
            slots: vec![Slot::default(); LEVELS * SLOTS],
            occupied: [0; LEVELS],
            current_tick: now >> TICK_BITS,
            cascading: None,
        }
    }

    /// Number of timers that are set.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Sets a timer for a time in microseconds. A timer in the past is due immediately.
    pub fn set(&mut self, at: u64, value: T) -> TimerKey {
        // The first tick at or after the time.
        let tick = (at >> TICK_BITS) + u64::from(at & ((1 << TICK_BITS) - 1) != 0);
        let key = self.entries.insert(Entry {
            value,
            tick,
            position: 0,
            previous: None,
            next: None,
        });
        self.link(key, tick);
        key
    }

    /// Cancels a timer and returns its value; none if it has already expired or was cancelled.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        self.unlink(key)?;
        self.entries.remove(key).map(|entry| entry.value)
    }

    /// The value of a timer that is set; none once it has expired or was cancelled.
    pub fn get_mut(&mut self, key: TimerKey) -> Option<&mut T> {
        self.entries.get_mut(key).map(|entry| &mut entry.value)
    }

    /// Whether a timer is set, that is, has neither expired nor been cancelled.
    pub fn is_set(&self, key: TimerKey) -> bool {
        self.entries.contains_key(key)
    }

    /// The time at which to call [`Wheel::poll`] next, in microseconds: the time of the first timer, or an earlier one at
    /// which timers only move to a lower level. None if no timer is set.
    pub fn next_expiry(&self) -> Option<u64> {
        let (.., tick) = self.next_slot()?;
        Some(tick << TICK_BITS)
    }

    /// Removes and returns a due timer, in the order of their ticks. Each timer returned or moved takes one from the
    /// budget.
    pub fn poll(&mut self, now: u64, budget: &mut u32) -> Poll<T> {
        let now_tick = now >> TICK_BITS;
        loop {
            let Some((position, tick)) = self.next_slot().filter(|(_, tick)| *tick <= now_tick)
            else {
                return Poll::Idle;
            };
            if *budget == 0 {
                return Poll::BudgetExhausted;
            }
            *budget -= 1;
            self.current_tick = self.current_tick.max(tick);
            let Some(key) = self.slots[usize::from(position)].first else {
                // Unreachable: a slot's bit is cleared with its last timer. A stale bit would hide all later timers.
                self.occupied[level_of(position)] &= !(1 << slot_of(position));
                continue;
            };
            self.unlink(key);
            if level_of(position) == 0 {
                if let Some(entry) = self.entries.remove(key) {
                    return Poll::Due(entry.value);
                }
                continue;
            }
            self.cascading =
                Some(position).filter(|_| self.slots[usize::from(position)].first.is_some());
            if let Some(tick) = self.entries.get(key).map(|entry| entry.tick) {
                self.link(key, tick);
            }
        }
    }

    /// The position of the next slot and its tick.
    fn next_slot(&self) -> Option<(u16, u64)> {
        // A slot that is being cascaded is finished first: it may hold the earliest timer.
        if let Some(position) = self.cascading {
            return Some((position, self.current_tick));
        }
        // All timers of a level are due before those of the levels above it.
        let level = self.occupied.iter().position(|slots| *slots != 0)?;
        let slot = self.occupied[level].trailing_zeros();
        let shift = level as u32 * SLOT_BITS;
        // The digits above this level are the same as those of the current tick.
        let above = self
            .current_tick
            .checked_shr(shift + SLOT_BITS)
            .unwrap_or(0);
        let tick = above.checked_shl(shift + SLOT_BITS).unwrap_or(0) | u64::from(slot) << shift;
        Some((
            position_of(level, slot as usize),
            tick.max(self.current_tick),
        ))
    }

    fn link(&mut self, key: TimerKey, tick: u64) {
        let tick = tick.max(self.current_tick);
        let differs = (tick ^ self.current_tick) | (SLOTS as u64 - 1);
        let level = ((63 - differs.leading_zeros()) / SLOT_BITS) as usize;
        let slot = (tick >> (level as u32 * SLOT_BITS)) as usize & (SLOTS - 1);
        let position = position_of(level, slot);
        let last = self.slots[usize::from(position)].last.replace(key);
        match last.and_then(|last| self.entries.get_mut(last)) {
            Some(last) => last.next = Some(key),
            None => self.slots[usize::from(position)].first = Some(key),
        }
        if let Some(entry) = self.entries.get_mut(key) {
            (entry.position, entry.previous, entry.next) = (position, last, None);
        }
        self.occupied[level] |= 1 << slot;
    }

    fn unlink(&mut self, key: TimerKey) -> Option<()> {
        let entry = self.entries.get(key)?;
        let (position, previous, next) = (entry.position, entry.previous, entry.next);
        let slot = &mut self.slots[usize::from(position)];
        match previous.and_then(|previous| self.entries.get_mut(previous)) {
            Some(previous) => previous.next = next,
            None => slot.first = next,
        }
        match next.and_then(|next| self.entries.get_mut(next)) {
            Some(next) => next.previous = previous,
            None => slot.last = previous,
        }
        if slot.first.is_none() {
            self.occupied[level_of(position)] &= !(1 << slot_of(position));
            self.cascading = self.cascading.filter(|cascading| *cascading != position);
        }
        Some(())
    }
}

fn position_of(level: usize, slot: usize) -> u16 {
    (level << SLOT_BITS | slot) as u16
}

fn level_of(position: u16) -> usize {
    usize::from(position) >> SLOT_BITS
}

fn slot_of(position: u16) -> usize {
    usize::from(position) & (SLOTS - 1)
}
