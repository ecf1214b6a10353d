//! What is limited, and who holds how much of it: handles on the shares that give back what they took.

use madderloom_balancer::Micros;
use madderloom_operator_config::RateLimit;
use madderloom_routing::rate::Rate;
use madderloom_routing::shares::{Denied, Held as Numbers, MemberId, Part, Shares};
use std::cell::RefCell;
use std::rc::Rc;

/// Something limited, shared by its members.
pub(super) struct Bound(RefCell<Shares>);

/// A member of a bound; it leaves when it is dropped, and what it holds is given back as that is dropped.
pub(super) struct Member {
    bound: Rc<Bound>,
    id: MemberId,
}

/// Units that are held; given back when it is dropped.
pub(super) struct Held {
    bound: Rc<Bound>,
    id: MemberId,
    units: u64,
}

impl Bound {
    pub(super) fn new(total: u64) -> Rc<Self> {
        Rc::new(Bound(RefCell::new(Shares::new(total))))
    }

    pub(super) fn set_total(&self, total: u64) {
        self.0.borrow_mut().set_total(total);
    }

    pub(super) fn total(&self) -> u64 {
        self.0.borrow().total()
    }

    pub(super) fn used(&self) -> u64 {
        self.0.borrow().used()
    }

    pub(super) fn join(self: &Rc<Self>, part: Part) -> Member {
        Member {
            bound: Rc::clone(self),
            id: self.0.borrow_mut().join(part),
        }
    }
}

impl Member {
    pub(super) fn change(&self, part: Part) {
        self.bound.0.borrow_mut().change(self.id, part);
    }

    pub(super) fn take(&self, units: u64) -> Result<Held, Denied> {
        self.bound.0.borrow_mut().take(self.id, units)?;
        Ok(Held {
            bound: Rc::clone(&self.bound),
            id: self.id,
            units,
        })
    }

    pub(super) fn room(&self) -> u64 {
        self.bound.0.borrow().room(self.id)
    }

    pub(super) fn numbers(&self) -> Numbers {
        self.bound.0.borrow().held(self.id)
    }

    /// Whether it holds more than is guaranteed to it.
    pub(super) fn borrows(&self) -> bool {
        let numbers = self.numbers();
        numbers.used > numbers.part.guaranteed
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.bound.0.borrow_mut().leave(self.id);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.bound.0.borrow_mut().give_back(self.id, self.units);
    }
}

/// Why there is no room for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Full {
    /// Too many are open.
    Open,
    /// Their bodies are too long together.
    Bodies,
    /// Too many have come; one may come after this time.
    Rate(Micros),
}

/// What the requests of a service, or those of a listener's clients, may hold together.
pub(super) struct Allowance {
    open: Member,
    bodies: Member,
    rate: RefCell<Option<Rate>>,
}

impl Allowance {
    pub(super) fn new(open: Member, bodies: Member, rate: Option<RateLimit>) -> Self {
        Allowance {
            open,
            bodies,
            rate: RefCell::new(rate.map(|rate| rate.bucket())),
        }
    }

    /// Takes over other limits; what is held stays held.
    pub(super) fn change(&self, open: Part, bodies: Part, rate: Option<RateLimit>) {
        self.open.change(open);
        self.bodies.change(bodies);
        let bucket = rate.map(|rate| rate.bucket());
        let mut rate = self.rate.borrow_mut();
        match (rate.as_mut(), &bucket) {
            (Some(rate), Some(bucket)) => rate.turn_to(bucket),
            _ => *rate = bucket,
        }
    }

    /// Makes room for a request with a body of this size, or says why there is none.
    pub(super) fn admit(&self, now: Micros, size: u64) -> Result<[Held; 2], Full> {
        let held = [
            self.open.take(1).map_err(|_| Full::Open)?,
            self.bodies.take(size).map_err(|_| Full::Bodies)?,
        ];
        if let Some(rate) = self.rate.borrow_mut().as_mut() {
            rate.take(now).map_err(Full::Rate)?;
        }
        Ok(held)
    }

    /// Room for so much more of a body, where there is any.
    pub(super) fn room_for(&self, size: u64) -> Option<Held> {
        self.bodies.take(size).ok()
    }

    pub(super) fn open(&self) -> Numbers {
        self.open.numbers()
    }

    pub(super) fn bodies(&self) -> Numbers {
        self.bodies.numbers()
    }
}
