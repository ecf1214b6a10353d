//! Whose turn it is on the one thread.
//!
//! Work comes in pieces whose cost is known only once they are done. Accounts (a listener, a pool) share the thread
//! by weight, as deficit round robin shares a link (Shreedhar and Varghese, "Efficient Fair Queuing using Deficit
//! Round-Robin", 1995): in each round an account may spend its slice, what it overspends is taken off its next
//! slices, and what it leaves is saved up only while it has work. An account that has spent its slice waits for the
//! next round, and so does no harm to those that have not; where nobody else has work, the next round begins at once.

use std::collections::VecDeque;

/// Nanoseconds of work.
pub type Nanos = u64;

/// An account, by its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AccountId(usize);

#[derive(Debug)]
struct Account<W> {
    /// 0 once it has left.
    weight: u32,
    /// What it may still spend in this round; below 0 it is in debt.
    left: i64,
    waiting: VecDeque<W>,
    /// A mean of what its pieces cost.
    piece: i64,
    /// Whether it has spent anything in this round.
    ran: bool,
    spent: Nanos,
    waits: u64,
}

/// The accounts, and the pieces of work that wait.
#[derive(Debug)]
pub struct Turns<W> {
    /// The slice of the heaviest account.
    slice: Nanos,
    accounts: Vec<Account<W>>,
    heaviest: u32,
    waiting: usize,
    rounds: u64,
}

/// What an account has spent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spent {
    /// In all.
    pub nanos: Nanos,
    /// Pieces that had to wait for a later round.
    pub waits: u64,
}

impl<W> Turns<W> {
    /// The account of the most weight may spend this much in a round, others in proportion.
    pub fn new(slice: Nanos) -> Self {
        let slice = slice.clamp(1_000, 1_000_000_000);
        Turns {
            slice,
            accounts: Vec::new(),
            heaviest: 1,
            waiting: 0,
            rounds: 0,
        }
    }

    /// Opens an account. A weight of 0 counts as 1.
    pub fn join(&mut self, weight: u32) -> AccountId {
        let free = self
            .accounts
            .iter()
            .position(|a| a.weight == 0 && a.waiting.is_empty());
        let id = AccountId(free.unwrap_or(self.accounts.len()));
        let account = Account {
            weight: weight.max(1),
            left: 0,
            waiting: VecDeque::new(),
            piece: 0,
            ran: false,
            spent: 0,
            waits: 0,
        };
        match self.accounts.get_mut(id.0) {
            Some(place) => *place = account,
            None => self.accounts.push(account),
        }
        self.weigh();
        let slice = self.slice_of(id.0);
        self.accounts[id.0].left = slice;
        id
    }

    /// Gives an account another weight, which counts from the next round on.
    pub fn change(&mut self, id: AccountId, weight: u32) {
        if let Some(account) = self.accounts.get_mut(id.0) {
            account.weight = weight.max(1);
            self.weigh();
        }
    }

    /// Closes an account. What waits there is let through in its turn, by the lightest weight.
    pub fn leave(&mut self, id: AccountId) {
        if let Some(account) = self.accounts.get_mut(id.0) {
            account.weight = 0;
            self.weigh();
        }
    }

    /// Whether a piece of this account's work may be done now. Where not, it is to be handed to [`Turns::wait`].
    pub fn may(&self, id: AccountId) -> bool {
        self.accounts
            .get(id.0)
            .is_none_or(|a| a.left > 0 && a.waiting.is_empty())
    }

    /// Sets a piece aside until its account's turn. True where nothing waited before: somebody is then to begin
    /// rounds, behind all that can be done now, for as long as anything waits.
    pub fn wait(&mut self, id: AccountId, piece: W) -> bool {
        let Some(account) = self.accounts.get_mut(id.0) else {
            return false;
        };
        account.waiting.push_back(piece);
        account.waits += 1;
        self.waiting += 1;
        self.waiting == 1
    }

    /// A piece of this account's work has been done, and cost this.
    pub fn spent(&mut self, id: AccountId, nanos: Nanos) {
        if let Some(account) = self.accounts.get_mut(id.0) {
            let cost = i64::try_from(nanos).unwrap_or(i64::MAX / 4);
            account.left = account.left.saturating_sub(cost);
            account.piece += (cost - account.piece) / 8;
            account.ran = true;
            account.spent = account.spent.saturating_add(nanos);
        }
    }

    /// Whether anything waits.
    pub fn is_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Begins a round: every account gets its slice, and the pieces that may be done now come out, of each account
    /// as many as its slice is likely to bear, and one at least, in the order in which they were set aside.
    pub fn next_round(&mut self, out: &mut Vec<W>) {
        self.rounds += 1;
        // Where those that wait are the only ones with work, their debts would but idle the thread.
        let others = self.accounts.iter().any(|a| a.ran && a.waiting.is_empty());
        let needed = |(at, a): (usize, &Account<W>)| 1 - a.left.min(0) / self.slice_of(at);
        let waiting = self
            .accounts
            .iter()
            .enumerate()
            .filter(|(_, a)| !a.waiting.is_empty());
        let rounds = if others {
            1
        } else {
            waiting.map(needed).min().unwrap_or(1)
        };
        for at in 0..self.accounts.len() {
            let slice = self.slice_of(at);
            let account = &mut self.accounts[at];
            account.ran = false;
            // What is left of a slice is too little for a piece; where more wait, it is not lost to them.
            let most = if account.waiting.is_empty() {
                slice
            } else {
                slice.saturating_add(account.piece)
            };
            account.left = account
                .left
                .saturating_add(slice.saturating_mul(rounds))
                .min(most);
            if account.left <= 0 {
                continue;
            }
            let pieces = (account.left / account.piece.max(1)).max(1);
            let pieces = account
                .waiting
                .len()
                .min(usize::try_from(pieces).unwrap_or(usize::MAX));
            out.extend(account.waiting.drain(..pieces));
            self.waiting -= pieces;
        }
    }

    /// What an account has spent so far.
    pub fn account(&self, id: AccountId) -> Spent {
        self.accounts
            .get(id.0)
            .map_or_else(Spent::default, |a| Spent {
                nanos: a.spent,
                waits: a.waits,
            })
    }

    /// Rounds so far.
    pub fn rounds(&self) -> u64 {
        self.rounds
    }

    fn slice_of(&self, at: usize) -> i64 {
        let weight = self.accounts.get(at).map_or(1, |a| a.weight.max(1));
        (self.slice as i64 * i64::from(weight) / i64::from(self.heaviest)).max(1)
    }

    fn weigh(&mut self) {
        self.heaviest = self
            .accounts
            .iter()
            .map(|a| a.weight)
            .max()
            .unwrap_or(1)
            .max(1);
    }
}
