//! The membership of a fleet: for each name, the one start of an instance that holds it under a lease.
//!
//! | state | entered when | meaning |
//! | --- | --- | --- |
//! | joining | a start registers | it may use the name; its first report is awaited |
//! | alive | it reports | its lease is valid |
//! | suspect | its lease has expired | it may be slow, disconnected or dead; it keeps the name |
//! | gone | the grace period has passed too | the name is free; after a report it has to register again |
//!
//! Of two starts with one name, the one with the greater incarnation holds it. A start whose incarnation is not
//! greater waits until the holder is gone, and then receives an incarnation above the holder's. Until then it is
//! recorded as a name conflict, for operators to see. Two processes configured with one name show a conflict for as
//! long as both run; a restart shows none.

use crate::protocol::{InstanceId, Register};
use crate::selector::Attributes;
use crate::{InjectedBug, Micros, is_injected};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The durations and the bound of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// How long a member without reports counts as alive, in microseconds.
    pub duration: Micros,
    /// How long a suspect keeps its name after the lease has expired, in microseconds.
    pub grace_period: Micros,
    /// How long a member that is gone is remembered, in microseconds.
    pub retention: Micros,
    /// The most members, in any state.
    pub max_members: usize,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        LeaseSettings {
            duration: 10_000_000,
            grace_period: 20_000_000,
            retention: 86_400_000_000,
            max_members: 16_384,
        }
    }
}

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member has registered and has not reported yet.
    Joining,
    /// Its lease is valid.
    Alive,
    /// Its lease has expired recently.
    Suspect,
    /// It has been silent for longer than the grace period.
    Gone,
}

/// The registrations of another start under a name that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NameConflict {
    /// The start that was rejected.
    pub start: u64,
    /// The incarnation that it registered with.
    pub incarnation: u64,
    /// How often it was rejected, up to [`CONFLICT_CONFIRMED`].
    #[serde(rename = "seen")]
    pub rejections: u32,
}

/// The number of rejections that confirm a conflict: a start that was replaced is rejected once or twice, another
/// process with the same name repeatedly.
pub const CONFLICT_CONFIRMED: u32 = 3;

/// The start that holds a name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// The start.
    pub start: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its attributes, as it registered them.
    pub attributes: Attributes,
    /// Its state.
    pub state: MemberState,
    /// When the state changes if no report arrives.
    pub deadline: Micros,
    /// The last start that was rejected because this one holds the name.
    pub conflict: Option<NameConflict>,
}

/// The part of a member that is persisted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistedMember {
    /// The start.
    pub start: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its attributes.
    #[serde(rename = "traits")]
    pub attributes: Attributes,
}

/// A start was rejected because another one holds its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameHeld {
    /// The incarnation of the holder.
    pub holder_incarnation: u64,
    /// The delay after which to try again, in microseconds.
    pub retry_after: Micros,
}

/// The outcome of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// The start holds the name.
    Accepted {
        /// Its incarnation from now on.
        incarnation: u64,
        /// Whether the name was free before or held by another start.
        is_new: bool,
    },
    /// Another start holds the name.
    Superseded(NameHeld),
    /// There are as many members as may be, and none of them is gone.
    Full,
}

/// The outcome of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// The lease is renewed; this was the state before.
    Renewed(MemberState),
    /// Neither this start nor another holds the name: the start has to register.
    NotRegistered,
    /// Another start holds the name.
    Superseded(NameHeld),
}

/// All members, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Membership {
    settings: LeaseSettings,
    members: BTreeMap<String, Member>,
    /// The deadline of each member with its name, so that a tick costs nothing for members that are not due.
    deadlines: BTreeSet<(Micros, String)>,
}

impl Membership {
    /// Creates an empty membership.
    pub fn new(settings: LeaseSettings) -> Self {
        Membership {
            settings,
            ..Membership::default()
        }
    }

    /// Adds a member that was known before the agent started. It is suspect until it reports.
    pub fn restore(&mut self, now: Micros, name: String, member: PersistedMember) {
        if self.members.len() >= self.settings.max_members {
            return;
        }
        let deadline = now
            .saturating_add(self.settings.duration)
            .saturating_add(self.settings.grace_period);
        self.insert(
            name,
            Member {
                start: member.start,
                incarnation: member.incarnation,
                attributes: member.attributes,
                state: MemberState::Suspect,
                deadline,
                conflict: None,
            },
        );
    }

    /// Adds a member or replaces the one of this name.
    fn insert(&mut self, name: String, member: Member) {
        self.deadlines.insert((member.deadline, name.clone()));
        if let Some(former) = self
            .members
            .get(&name)
            .filter(|former| former.deadline != member.deadline)
        {
            self.deadlines.remove(&(former.deadline, name.clone()));
        }
        self.members.insert(name, member);
    }

    /// Puts a member into a state that ends at a deadline.
    fn enter_state(&mut self, name: &str, state: MemberState, deadline: Micros) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        let former = std::mem::replace(&mut member.deadline, deadline);
        member.state = state;
        if former != deadline {
            self.deadlines.remove(&(former, name.to_string()));
            self.deadlines.insert((deadline, name.to_string()));
        }
    }

    /// Forgets a member. Returns whether it was known.
    fn remove(&mut self, name: &str) -> bool {
        let Some(member) = self.members.remove(name) else {
            return false;
        };
        self.deadlines.remove(&(member.deadline, name.to_string()));
        true
    }

    /// Registers a start under its name. The name must have been checked.
    pub fn register(&mut self, now: Micros, registration: &Register) -> RegistrationOutcome {
        let InstanceId {
            name,
            start,
            incarnation,
        } = &registration.id;
        let Some(member) = self.members.get_mut(name) else {
            return self.register_new_name(now, registration);
        };
        let is_holder = member.start == *start;
        let is_gone = member.state == MemberState::Gone;
        if !is_holder && *incarnation <= member.incarnation && !is_gone {
            return RegistrationOutcome::Superseded(member.reject(now, *start, *incarnation));
        }
        if is_holder && !is_gone {
            // It registers again, because it did not receive the answer or lost the connection.
            member.attributes = registration.attributes.clone();
            let incarnation = member.incarnation;
            let deadline = now.saturating_add(self.settings.duration);
            self.enter_state(name, MemberState::Joining, deadline);
            return RegistrationOutcome::Accepted {
                incarnation,
                is_new: false,
            };
        }
        let granted = if is_holder {
            member.incarnation
        } else {
            // Two starts with the same incarnation would be taken for one.
            member.incarnation.saturating_add(1).max(*incarnation)
        };
        self.join(now, registration, granted);
        RegistrationOutcome::Accepted {
            incarnation: granted,
            is_new: !is_holder,
        }
    }

    fn register_new_name(&mut self, now: Micros, registration: &Register) -> RegistrationOutcome {
        if self.members.len() >= self.settings.max_members && !self.forget_longest_gone() {
            return RegistrationOutcome::Full;
        }
        let incarnation = registration.id.incarnation;
        self.join(now, registration, incarnation);
        RegistrationOutcome::Accepted {
            incarnation,
            is_new: true,
        }
    }

    /// Makes a start the holder of its name.
    fn join(&mut self, now: Micros, registration: &Register, incarnation: u64) {
        let member = Member {
            start: registration.id.start,
            incarnation,
            attributes: registration.attributes.clone(),
            state: MemberState::Joining,
            deadline: now.saturating_add(self.settings.duration),
            conflict: None,
        };
        self.insert(registration.id.name.clone(), member);
    }

    /// Renews the lease of a start that has reported.
    pub fn renew(&mut self, now: Micros, id: &InstanceId) -> RenewalOutcome {
        let Some(member) = self.members.get_mut(&id.name) else {
            return RenewalOutcome::NotRegistered;
        };
        if member.state == MemberState::Gone {
            return RenewalOutcome::NotRegistered;
        }
        let by_name_only = is_injected(InjectedBug::IdentifyByName);
        if member.start != id.start && !by_name_only {
            return RenewalOutcome::Superseded(member.reject(now, id.start, id.incarnation));
        }
        if member.incarnation != id.incarnation && !by_name_only {
            return RenewalOutcome::NotRegistered;
        }
        let former = member.state;
        let deadline = now.saturating_add(self.settings.duration);
        self.enter_state(&id.name, MemberState::Alive, deadline);
        RenewalOutcome::Renewed(former)
    }

    /// Returns the members whose state has changed by now, ordered by name. A member that is forgotten appears as gone
    /// once more.
    pub fn tick(&mut self, now: Micros) -> Vec<(String, MemberState)> {
        let later = self
            .deadlines
            .split_off(&(now.saturating_add(1), String::new()));
        let due = std::mem::replace(&mut self.deadlines, later);
        let mut changed: Vec<(String, MemberState)> = due
            .into_iter()
            .map(|(_, name)| (name.clone(), self.expire(now, name)))
            .collect();
        changed.sort_unstable();
        changed
    }

    /// Puts a member whose deadline has passed, and is no longer indexed, into its next state.
    fn expire(&mut self, now: Micros, name: String) -> MemberState {
        let Some(member) = self.members.get_mut(&name) else {
            return MemberState::Gone;
        };
        let (next, duration) = match member.state {
            MemberState::Joining | MemberState::Alive => {
                (MemberState::Suspect, self.settings.grace_period)
            }
            MemberState::Suspect => (MemberState::Gone, self.settings.retention),
            MemberState::Gone => {
                self.remove(&name);
                return MemberState::Gone;
            }
        };
        member.state = next;
        member.deadline = now.saturating_add(duration);
        self.deadlines.insert((member.deadline, name));
        next
    }

    /// When [`Membership::tick`] is due next.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// The holder of a name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All members, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.members.iter()
    }

    /// The number of members, in any state.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Forgets the member that has been gone for longest. Returns whether there was one.
    fn forget_longest_gone(&mut self) -> bool {
        let longest = self
            .members
            .iter()
            .filter(|(_, member)| member.state == MemberState::Gone)
            .min_by_key(|(_, member)| member.deadline)
            .map(|(name, _)| name.clone());
        longest.is_some_and(|name| self.remove(&name))
    }

    /// Sets the clock back.
    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn rebase(&mut self, by: Micros) {
        self.members
            .values_mut()
            .for_each(|member| member.deadline = member.deadline.saturating_sub(by));
        let deadlines = self
            .members
            .iter()
            .map(|(name, member)| (member.deadline, name.clone()));
        self.deadlines = deadlines.collect();
    }
}

impl Member {
    /// The part of the member that is persisted.
    pub fn persisted(&self) -> PersistedMember {
        PersistedMember {
            start: self.start,
            incarnation: self.incarnation,
            attributes: self.attributes.clone(),
        }
    }

    /// Rejects another start, and records it as a name conflict.
    fn reject(&mut self, now: Micros, start: u64, incarnation: u64) -> NameHeld {
        let former_rejections = self
            .conflict
            .filter(|conflict| conflict.start == start)
            .map_or(0, |conflict| conflict.rejections);
        self.conflict = Some(NameConflict {
            start,
            incarnation,
            rejections: (former_rejections + 1).min(CONFLICT_CONFIRMED),
        });
        NameHeld {
            holder_incarnation: self.incarnation,
            retry_after: self.deadline.saturating_sub(now),
        }
    }
}
