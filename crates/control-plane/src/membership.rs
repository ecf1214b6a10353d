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
//! recorded as the name's rival, for operators to see. Two processes configured with one name show as rivals for as
//! long as both run; a restart shows no rival.

use crate::change::Traits;
use crate::protocol::{Register, Who};
use crate::{InjectedBug, Micros, is_injected};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Durations and bounds of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Leases {
    /// How long a member without reports counts as alive, in microseconds.
    pub lease: Micros,
    /// The grace period of a suspect, in microseconds.
    pub grace: Micros,
    /// How long a member that is gone is remembered, in microseconds.
    pub memory: Micros,
    /// The most names that are known.
    pub most: usize,
}

impl Default for Leases {
    fn default() -> Self {
        Leases {
            lease: 10_000_000,
            grace: 20_000_000,
            memory: 86_400_000_000,
            most: 16_384,
        }
    }
}

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// It has registered and has not reported yet.
    Joining,
    /// Its lease is valid.
    Alive,
    /// Its lease has expired recently.
    Suspect,
    /// It has been silent for longer than the grace period.
    Gone,
}

/// Another start that wants to use the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rival {
    /// The start.
    pub start: u64,
    /// The incarnation that it registered with.
    pub incarnation: u64,
    /// How often it has registered, up to [`SEEN`]. A start that was replaced registers once, another process
    /// repeatedly.
    pub seen: u32,
}

/// A rival that has registered this often is a process of its own.
pub const SEEN: u32 = 3;

/// The start that holds a name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// The start.
    pub start: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its traits, as it registered them.
    pub traits: Traits,
    /// Its state.
    pub presence: Presence,
    /// When the state changes if no report arrives.
    pub until: Micros,
    /// A start that was rejected because this one holds the name.
    pub rival: Option<Rival>,
}

/// The part of a member that is persisted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistedMember {
    /// The start.
    pub start: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its traits.
    pub traits: Traits,
}

/// The result of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registered {
    /// The start holds the name.
    Welcome {
        /// Its incarnation from now on.
        incarnation: u64,
        /// Whether the name was free before or held by another start.
        new: bool,
    },
    /// Another start holds the name.
    Superseded {
        /// The holder's incarnation.
        by: u64,
        /// The delay after which to try again, in microseconds.
        again: Micros,
    },
    /// The most names are known already, and all of them are in use.
    Full,
}

/// The result of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewed {
    /// The lease is renewed; this was the state before.
    Renewed(Presence),
    /// Neither this start nor another holds the name: the start has to register.
    Unknown,
    /// Another start holds the name.
    Superseded {
        /// The holder's incarnation.
        by: u64,
        /// The delay after which to try again, in microseconds.
        again: Micros,
    },
}

/// All known names and their holders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Membership {
    leases: Leases,
    members: BTreeMap<String, Member>,
    /// The deadline of each member with its name, so that a tick costs nothing for members that are not due.
    deadlines: BTreeSet<(Micros, String)>,
}

impl Membership {
    /// Creates an empty membership.
    pub fn new(leases: Leases) -> Self {
        Membership {
            leases,
            ..Membership::default()
        }
    }

    /// Adds a member that was known before the agent started. It is suspect until it reports.
    pub fn restore(&mut self, now: Micros, name: String, member: PersistedMember) {
        let PersistedMember {
            start,
            incarnation,
            traits,
        } = member;
        let until = now
            .saturating_add(self.leases.lease)
            .saturating_add(self.leases.grace);
        if self.members.len() < self.leases.most {
            let presence = Presence::Suspect;
            self.insert(
                name,
                Member {
                    start,
                    incarnation,
                    traits,
                    presence,
                    until,
                    rival: None,
                },
            );
        }
    }

    /// Adds a member or replaces the one of this name.
    fn insert(&mut self, name: String, member: Member) {
        self.deadlines.insert((member.until, name.clone()));
        if let Some(former) = self
            .members
            .get(&name)
            .filter(|former| former.until != member.until)
        {
            self.deadlines.remove(&(former.until, name.clone()));
        }
        self.members.insert(name, member);
    }

    /// Puts a member into a state that ends at `until`.
    fn set_presence(&mut self, name: &str, presence: Presence, until: Micros) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        let former = std::mem::replace(&mut member.until, until);
        member.presence = presence;
        if former != until {
            self.deadlines.remove(&(former, name.to_string()));
            self.deadlines.insert((until, name.to_string()));
        }
    }

    /// Forgets a member. Returns whether it was known.
    fn remove(&mut self, name: &str) -> bool {
        let Some(member) = self.members.remove(name) else {
            return false;
        };
        self.deadlines.remove(&(member.until, name.to_string()));
        true
    }

    /// Registers a start under its name. The name must have been checked.
    pub fn register(&mut self, now: Micros, registration: &Register) -> Registered {
        let Who {
            name,
            start,
            incarnation,
        } = &registration.who;
        let until = now.saturating_add(self.leases.lease);
        if let Some(member) = self.members.get_mut(name) {
            let same = member.start == *start;
            if !same && *incarnation <= member.incarnation && member.presence != Presence::Gone {
                return member.reject(now, *start, *incarnation);
            }
            if same && member.presence != Presence::Gone {
                // It registers again, because it did not receive the answer or lost the connection.
                member.traits = registration.traits.clone();
                let incarnation = member.incarnation;
                self.set_presence(name, Presence::Joining, until);
                return Registered::Welcome {
                    incarnation,
                    new: false,
                };
            }
            // Two starts with the same incarnation would be taken for one.
            let above = member.incarnation.saturating_add(1);
            let granted = if same {
                member.incarnation
            } else {
                above.max(*incarnation)
            };
            self.insert(
                name.clone(),
                Member::joining(*start, granted, registration.traits.clone(), until),
            );
            return Registered::Welcome {
                incarnation: granted,
                new: !same,
            };
        }
        if self.members.len() >= self.leases.most && !self.forget_longest_gone() {
            return Registered::Full;
        }
        self.insert(
            name.clone(),
            Member::joining(*start, *incarnation, registration.traits.clone(), until),
        );
        Registered::Welcome {
            incarnation: *incarnation,
            new: true,
        }
    }

    /// Renews the lease of a start that has reported.
    pub fn renew(&mut self, now: Micros, who: &Who) -> Renewed {
        let Some(member) = self.members.get_mut(&who.name) else {
            return Renewed::Unknown;
        };
        if member.start != who.start && !is_injected(InjectedBug::IdentifyByName) {
            if member.presence == Presence::Gone {
                return Renewed::Unknown;
            }
            return match member.reject(now, who.start, who.incarnation) {
                Registered::Superseded { by, again } => Renewed::Superseded { by, again },
                _ => Renewed::Unknown,
            };
        }
        let was = member.presence;
        if was == Presence::Gone
            || member.incarnation != who.incarnation && !is_injected(InjectedBug::IdentifyByName)
        {
            return Renewed::Unknown;
        }
        self.set_presence(
            &who.name,
            Presence::Alive,
            now.saturating_add(self.leases.lease),
        );
        Renewed::Renewed(was)
    }

    /// Returns the members whose state has changed by now, ordered by name. A member that is forgotten appears as gone once
    /// more.
    pub fn tick(&mut self, now: Micros) -> Vec<(String, Presence)> {
        let later = self
            .deadlines
            .split_off(&(now.saturating_add(1), String::new()));
        let due = std::mem::replace(&mut self.deadlines, later);
        let mut changed: Vec<(String, Presence)> = due
            .into_iter()
            .map(|(_, name)| (name.clone(), self.expire(now, name)))
            .collect();
        changed.sort_unstable();
        changed
    }

    /// Puts a member whose deadline has passed, and is no longer indexed, into its next state.
    fn expire(&mut self, now: Micros, name: String) -> Presence {
        let Some(member) = self.members.get_mut(&name) else {
            return Presence::Gone;
        };
        let (next, wait) = match member.presence {
            Presence::Joining | Presence::Alive => (Presence::Suspect, self.leases.grace),
            Presence::Suspect => (Presence::Gone, self.leases.memory),
            Presence::Gone => {
                self.remove(&name);
                return Presence::Gone;
            }
        };
        member.presence = next;
        member.until = now.saturating_add(wait);
        self.deadlines.insert((member.until, name));
        next
    }

    /// When [`Membership::tick`] is due next.
    pub fn next(&self) -> Option<Micros> {
        self.deadlines.first().map(|(until, _)| *until)
    }

    /// The holder of a name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All holders, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.members.iter()
    }

    /// The number of known names.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no name is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Forgets the member that has been gone for longest. Returns whether there was one.
    fn forget_longest_gone(&mut self) -> bool {
        let gone = self
            .members
            .iter()
            .filter(|(_, member)| member.presence == Presence::Gone);
        let longest = gone
            .min_by_key(|(_, member)| member.until)
            .map(|(name, _)| name.clone());
        longest.is_some_and(|name| self.remove(&name))
    }

    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn rebase(&mut self, by: Micros) {
        self.members
            .values_mut()
            .for_each(|member| member.until = member.until.saturating_sub(by));
        let deadlines = self
            .members
            .iter()
            .map(|(name, member)| (member.until, name.clone()));
        self.deadlines = deadlines.collect();
    }
}

impl Member {
    fn joining(start: u64, incarnation: u64, traits: Traits, until: Micros) -> Self {
        Member {
            start,
            incarnation,
            traits,
            presence: Presence::Joining,
            until,
            rival: None,
        }
    }

    /// The part of the member that is persisted.
    pub fn persisted(&self) -> PersistedMember {
        PersistedMember {
            start: self.start,
            incarnation: self.incarnation,
            traits: self.traits.clone(),
        }
    }

    fn reject(&mut self, now: Micros, start: u64, incarnation: u64) -> Registered {
        let seen = self
            .rival
            .filter(|rival| rival.start == start)
            .map_or(0, |rival| rival.seen);
        self.rival = Some(Rival {
            start,
            incarnation,
            seen: (seen + 1).min(SEEN),
        });
        Registered::Superseded {
            by: self.incarnation,
            again: self.until.saturating_sub(now),
        }
    }
}
