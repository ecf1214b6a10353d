//! What is limited is divided: each member has a part that is its own at any time, and may use more while there is
//! more than the others' own parts.

/// Bounds of one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// So much is its own: lent to nobody, and to be had at once. Those of all members must fit in the total.
    pub guaranteed: u64,
    /// So much it may hold in all, what is borrowed included.
    pub most: u64,
}

/// A member, by its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberId(usize);

/// Why nothing is to be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The member holds the most that it may.
    Own,
    /// The member has its own part, and of the common one nothing is left.
    Common,
}

#[derive(Clone, Debug, Default)]
struct Member {
    part: Part,
    used: u64,
    peak: u64,
    denied: u64,
    /// It has left; its place is free once it has given back all.
    left: bool,
}

impl Member {
    /// What of the total others can't have because of it.
    fn reserved(&self) -> u64 {
        self.used.max(self.part.guaranteed)
    }
}

/// Something limited, in whole units, and who holds how much of it.
///
/// What is held never grows beyond the total. While the members' own parts fit in the total, a member always
/// gets what is left of its own part, whatever the others hold: own parts are lent to nobody. After a change of the
/// bounds that leaves some with more than they may now hold, those get nothing more until they have given back
/// enough; until then own parts may have to wait for the total.
#[derive(Clone, Debug)]
pub struct Shares {
    total: u64,
    used: u64,
    /// The sum of what each member holds, or of its own part where that is more.
    reserved: u64,
    members: Vec<Member>,
}

impl Shares {
    /// So many units, held by nobody.
    pub fn new(total: u64) -> Self {
        Shares {
            total,
            used: 0,
            reserved: 0,
            members: Vec::new(),
        }
    }

    /// Units in all.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Units held by all members together.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Changes how many units there are. What is held stays held.
    pub fn set_total(&mut self, total: u64) {
        self.total = total;
    }

    /// Takes in a member, which holds nothing yet.
    pub fn join(&mut self, part: Part) -> MemberId {
        let free = self.members.iter().position(|m| m.left && m.used == 0);
        let id = MemberId(free.unwrap_or(self.members.len()));
        if id.0 == self.members.len() {
            self.members.push(Member::default());
        }
        self.members[id.0] = Member::default();
        self.change(id, part);
        id
    }

    /// Gives a member other bounds. What it holds stays held.
    pub fn change(&mut self, id: MemberId, part: Part) {
        if let Some(member) = self.members.get_mut(id.0) {
            self.reserved -= member.reserved();
            member.part = part;
            self.reserved += member.reserved();
        }
    }

    /// A member leaves: it gets nothing more, and what it holds it still gives back.
    pub fn leave(&mut self, id: MemberId) {
        self.change(id, Part::default());
        if let Some(member) = self.members.get_mut(id.0) {
            member.left = true;
        }
    }

    /// Takes units for a member, all or none of them.
    pub fn take(&mut self, id: MemberId, units: u64) -> Result<(), Denied> {
        let (total, used, reserved) = (self.total, self.used, self.reserved);
        let Some(member) = self.members.get_mut(id.0).filter(|m| !m.left) else {
            return Err(Denied::Own);
        };
        let now = member.used.saturating_add(units);
        let others = reserved - member.reserved();
        let denied = if now > member.part.most.max(member.part.guaranteed) {
            Some(Denied::Own)
        } else if used.saturating_add(units) > total
            || (now > member.part.guaranteed && others.saturating_add(now) > total)
        {
            Some(Denied::Common)
        } else {
            None
        };
        if let Some(denied) = denied {
            member.denied += 1;
            return Err(denied);
        }
        member.used = now;
        member.peak = member.peak.max(now);
        self.reserved = others + member.reserved();
        self.used += units;
        Ok(())
    }

    /// Gives units back that were taken for this member.
    pub fn give_back(&mut self, id: MemberId, units: u64) {
        if let Some(member) = self.members.get_mut(id.0) {
            let units = units.min(member.used);
            self.reserved -= member.reserved();
            member.used -= units;
            self.reserved += member.reserved();
            self.used -= units;
        }
    }

    /// How many units a member could take now.
    pub fn room(&self, id: MemberId) -> u64 {
        let Some(member) = self.members.get(id.0).filter(|m| !m.left) else {
            return 0;
        };
        let own = member.part.guaranteed.saturating_sub(member.used);
        let common = self.total.saturating_sub(self.reserved);
        let bound = member
            .part
            .most
            .max(member.part.guaranteed)
            .saturating_sub(member.used);
        (own + common)
            .min(bound)
            .min(self.total.saturating_sub(self.used))
    }

    /// What a member holds and was denied.
    pub fn held(&self, id: MemberId) -> Held {
        let member = self.members.get(id.0).cloned().unwrap_or_default();
        Held {
            part: member.part,
            used: member.used,
            peak: member.peak,
            denied: member.denied,
        }
    }
}

/// What a member holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Its bounds.
    pub part: Part,
    /// Units that it holds.
    pub used: u64,
    /// The most that it ever held.
    pub peak: u64,
    /// How often it was denied.
    pub denied: u64,
}
