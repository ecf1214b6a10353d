//! How a snapshot loses weight with its age.

use super::snapshot::{ClassSnapshot, Means, ServerSnapshot, WarmStartSnapshot};

/// A snapshot from this little ahead of the present time is taken for one of now, in microseconds: clocks are set back by
/// so much in usual operation.
const CLOCK_TOLERANCE: u64 = 1_000_000;

/// How a snapshot loses weight with its age. Both times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotDecay {
    /// The time in which it loses half of its weight. 0 counts as 1.
    pub half_life: u64,
    /// The age beyond which it has no weight.
    pub max_age: u64,
}

impl SnapshotDecay {
    /// The weight of a snapshot: `0.5 ^ (age / half_life)`, or 0 beyond `max_age`. Both times are microseconds by the
    /// machine's clock. A snapshot from more than a second ahead of `now` has no weight: the clock was set back, so its age
    /// is not known.
    pub fn weight(&self, taken_at: u64, now: u64) -> f64 {
        let Some(age) = self.age(taken_at, now) else {
            return 0.0;
        };
        0.5_f64.powf(age as f64 / self.half_life.max(1) as f64)
    }

    fn age(&self, taken_at: u64, now: u64) -> Option<u64> {
        if taken_at > now.saturating_add(CLOCK_TOLERANCE) {
            return None;
        }
        Some(now.saturating_sub(taken_at)).filter(|age| *age <= self.max_age)
    }
}

/// What a [`WarmStartSnapshot`] contributes at its age to a sidecar that starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecayedSnapshot {
    /// The weight of the snapshot, from 0 (nothing is known) to 1.
    pub weight: f64,
    /// The servers. Their work and time are multiplied by the weight: the throughput of a server stays the same, and counts
    /// the less against the assumption for unknown servers. Their failures are multiplied and rounded down. An ejection is
    /// shortened by the age.
    pub servers: Vec<ServerSnapshot>,
    /// The request classes, unchanged; [`blend`] applies the weight.
    pub classes: Vec<ClassSnapshot>,
    /// The means, unchanged; [`blend`] applies the weight.
    pub means: Means,
}

impl WarmStartSnapshot {
    /// What the snapshot contributes at the time `now`, in microseconds since 1970 by the machine's clock.
    pub fn decayed(&self, now: u64, decay: SnapshotDecay) -> DecayedSnapshot {
        let weight = decay.weight(self.taken_at, now);
        if weight == 0.0 {
            return DecayedSnapshot::default();
        }
        let age = now.saturating_sub(self.taken_at);
        let servers = self.servers.iter().filter(|server| server.is_valid());
        let classes = self.classes.iter().filter(|class| class.is_valid());
        DecayedSnapshot {
            weight,
            servers: servers.map(|server| server.decayed(weight, age)).collect(),
            classes: classes.cloned().collect(),
            means: self.means,
        }
    }
}

impl ServerSnapshot {
    fn decayed(&self, weight: f64, age: u64) -> ServerSnapshot {
        let ejection_left = self.ejection_left.saturating_sub(age);
        let is_ejected = ejection_left > 0;
        ServerSnapshot {
            work: self.work * weight,
            attempt_time: self.attempt_time * weight,
            consecutive_failures: (f64::from(self.consecutive_failures) * weight) as u32,
            ejection_left,
            ejection_time: if is_ejected { self.ejection_time } else { 0 },
            ..self.clone()
        }
    }
}

/// The geometric mean of an assumption and a stored value, with the stored value's weight from 0 to 1. Geometric, because
/// what follows these values moves by factors. Returns the assumption if the stored value is impossible.
pub fn blend(assumed: f64, stored: f64, weight: f64) -> f64 {
    let blended = assumed * (stored / assumed).powf(weight.clamp(0.0, 1.0));
    if blended.is_finite() && blended > 0.0 {
        blended
    } else {
        assumed
    }
}
