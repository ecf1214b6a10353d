//! A hierarchical timing wheel: timers that cost the same however many there are.
//!
//! After G. Varghese and T. Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987), scheme 7, in the form
//! that picks a level by the highest digit in which a timer's tick differs from the wheel's own time. Setting
//! and cancelling take constant time. A timer moves down at most once a level, and every move counts against
//! the budget that the caller gives: a hundred thousand timers due at one instant are handed out over as many
//! turns as the caller wants, and none of these turns is long.
//!
//! No clock is read here: the time is passed in, in whole microseconds, and must not go back.

use slotmap::{SlotMap, new_key_type};

/// A tick, in microseconds, as a power of two: a timer comes due at the first tick at or after its time, so up to
/// 256 µs late and never early.
const TICK_BITS: u32 = 8;
/// Slots of a level, as a power of two.
const SLOT_BITS: u32 = 6;
const SLOTS: usize = 1 << SLOT_BITS;
/// Enough of them that every time in microseconds has a place: 60 bits of ticks.
const LEVELS: usize = 10;

new_key_type! {
    /// A timer that was set. It stays unique after the timer has come due or was cancelled.
    pub struct TimerKey;
}

struct Entry<T> {
    value: T,
    tick: u64,
    /// The place: the level in the high bits, the slot in the low ones.
    place: u16,
    before: Option<TimerKey>,
    behind: Option<TimerKey>,
}

/// The timers of one slot, in a list through their entries.
#[derive(Clone, Copy, Default)]
struct Slot {
    first: Option<TimerKey>,
    last: Option<TimerKey>,
}

/// Timers with a value each.
///
/// Memory: a fixed 10 KiB, and for each timer its value and about 40 bytes; what timers once took is kept for
/// those to come.
pub struct Wheel<T> {
    entries: SlotMap<TimerKey, Entry<T>>,
    slots: Vec<Slot>,
    /// For each level a bit for each slot that holds a timer.
    occupied: [u64; LEVELS],
    /// The tick up to which timers have been handed out. Never beyond the first that has not.
    reached: u64,
    /// A slot above the lowest level whose timers are on their way down.
    cascading: Option<u16>,
}

/// What [`Wheel::poll`] found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Poll<T> {
    /// This timer is due.
    Due(T),
    /// The budget is spent; there may be more that is due.
    BudgetExhausted,
    /// Nothing more is due.
    Idle,
}

impl<T> Wheel<T> {
    /// A wheel without timers whose time begins at `now`, in microseconds.
    pub fn new(now: u64) -> Self {
        Wheel {
            entries: SlotMap::with_key(),
            slots: vec![Slot::default(); LEVELS * SLOTS],
            occupied: [0; LEVELS],
            reached: now >> TICK_BITS,
            cascading: None,
        }
    }

    /// Timers that are set.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Sets a timer for a time in microseconds. One that lies in the past is due at once.
    pub fn set(&mut self, at: u64, value: T) -> TimerKey {
        // The first tick that is not before its time.
        let tick = (at >> TICK_BITS) + u64::from(at & ((1 << TICK_BITS) - 1) != 0);
        let key = self.entries.insert(Entry {
            value,
            tick,
            place: 0,
            before: None,
            behind: None,
        });
        self.put(key, tick);
        key
    }

    /// Takes a timer back. Nothing where it has come due or was cancelled before.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        self.unlink(key)?;
        self.entries.remove(key).map(|entry| entry.value)
    }

    /// The value of a timer that is set; nothing once it has come due or was cancelled.
    pub fn get_mut(&mut self, key: TimerKey) -> Option<&mut T> {
        self.entries.get_mut(key).map(|entry| &mut entry.value)
    }

    /// Whether a timer is set, and has neither come due nor been cancelled.
    pub fn is_set(&self, key: TimerKey) -> bool {
        self.entries.contains_key(key)
    }

    /// When the next call of [`Wheel::poll`] may find something, in microseconds: the time of the first timer,
    /// or an earlier one at which timers only move. Nothing where no timer is set.
    pub fn next_expiry(&self) -> Option<u64> {
        let (.., tick) = self.next_slot()?;
        Some(tick << TICK_BITS)
    }

    /// Hands out a timer that is due, in the order of their ticks. Each timer handed out or moved takes one from
    /// the budget.
    pub fn poll(&mut self, now: u64, budget: &mut u32) -> Poll<T> {
        let until = now >> TICK_BITS;
        loop {
            let Some((place, tick)) = self.next_slot().filter(|(_, tick)| *tick <= until) else {
                return Poll::Idle;
            };
            if *budget == 0 {
                return Poll::BudgetExhausted;
            }
            *budget -= 1;
            self.reached = self.reached.max(tick);
            let Some(key) = self.slots[usize::from(place)].first else {
                // Not to happen: a slot's bit goes with its last timer. Without it nothing would ever be found again.
                self.occupied[level_of(place)] &= !(1 << slot_of(place));
                continue;
            };
            self.unlink(key);
            if level_of(place) == 0 {
                if let Some(entry) = self.entries.remove(key) {
                    return Poll::Due(entry.value);
                }
                continue;
            }
            self.cascading = Some(place).filter(|_| self.slots[usize::from(place)].first.is_some());
            if let Some(tick) = self.entries.get(key).map(|entry| entry.tick) {
                self.put(key, tick);
            }
        }
    }

    /// The slot that comes next, and the tick at which it does.
    fn next_slot(&self) -> Option<(u16, u64)> {
        // What has begun to move is finished first: it may hold what is due before all else.
        if let Some(place) = self.cascading {
            return Some((place, self.reached));
        }
        // All timers of a level come before all of those above it.
        let level = self.occupied.iter().position(|slots| *slots != 0)?;
        let slot = self.occupied[level].trailing_zeros();
        let shift = level as u32 * SLOT_BITS;
        // Above this level it shares its digits with the time that is reached.
        let above = self.reached.checked_shr(shift + SLOT_BITS).unwrap_or(0);
        let tick = above.checked_shl(shift + SLOT_BITS).unwrap_or(0) | u64::from(slot) << shift;
        Some((place(level, slot as usize), tick.max(self.reached)))
    }

    fn put(&mut self, key: TimerKey, tick: u64) {
        let tick = tick.max(self.reached);
        let differs = (tick ^ self.reached) | (SLOTS as u64 - 1);
        let level = ((63 - differs.leading_zeros()) / SLOT_BITS) as usize;
        let slot = (tick >> (level as u32 * SLOT_BITS)) as usize & (SLOTS - 1);
        let place = place(level, slot);
        let last = self.slots[usize::from(place)].last.replace(key);
        match last.and_then(|last| self.entries.get_mut(last)) {
            Some(last) => last.behind = Some(key),
            None => self.slots[usize::from(place)].first = Some(key),
        }
        if let Some(entry) = self.entries.get_mut(key) {
            (entry.place, entry.before, entry.behind) = (place, last, None);
        }
        self.occupied[level] |= 1 << slot;
    }

    fn unlink(&mut self, key: TimerKey) -> Option<()> {
        let entry = self.entries.get(key)?;
        let (place, before, behind) = (entry.place, entry.before, entry.behind);
        let slot = &mut self.slots[usize::from(place)];
        match before.and_then(|before| self.entries.get_mut(before)) {
            Some(before) => before.behind = behind,
            None => slot.first = behind,
        }
        match behind.and_then(|behind| self.entries.get_mut(behind)) {
            Some(behind) => behind.before = before,
            None => slot.last = before,
        }
        if slot.first.is_none() {
            self.occupied[level_of(place)] &= !(1 << slot_of(place));
            self.cascading = self.cascading.filter(|moving| *moving != place);
        }
        Some(())
    }
}

fn place(level: usize, slot: usize) -> u16 {
    (level << SLOT_BITS | slot) as u16
}

fn level_of(place: u16) -> usize {
    usize::from(place) >> SLOT_BITS
}

fn slot_of(place: u16) -> usize {
    usize::from(place) & (SLOTS - 1)
}
