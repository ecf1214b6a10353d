//! What is limited, and who holds how much of it: handles on the shares that give back what they took.

use madderloom_balancer::Micros;
use madderloom_operator_config::RateLimit;
use madderloom_routing::rate::Rate;
use madderloom_routing::shares::{Denied, Held as Usage, MemberId, Part, Shares};
use std::cell::RefCell;
use std::rc::Rc;

/// Something limited, shared by its members.
pub(super) struct SharedLimit(RefCell<Shares>);

/// A member of a limit; it leaves when it is dropped, and what it holds is given back as that is dropped.
pub(super) struct LimitShare {
    limit: Rc<SharedLimit>,
    id: MemberId,
}

/// Units that are held; given back when it is dropped.
pub(super) struct Reservation {
    limit: Rc<SharedLimit>,
    id: MemberId,
    units: u64,
}

impl SharedLimit {
    pub(super) fn new(total: u64) -> Rc<Self> {
        Rc::new(SharedLimit(RefCell::new(Shares::new(total))))
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

    pub(super) fn join(self: &Rc<Self>, part: Part) -> LimitShare {
        LimitShare {
            limit: Rc::clone(self),
            id: self.0.borrow_mut().join(part),
        }
    }
}

impl LimitShare {
    pub(super) fn update(&self, part: Part) {
        self.limit.0.borrow_mut().change(self.id, part);
    }

    pub(super) fn reserve(&self, units: u64) -> Result<Reservation, Denied> {
        self.limit.0.borrow_mut().take(self.id, units)?;
        Ok(Reservation {
            limit: Rc::clone(&self.limit),
            id: self.id,
            units,
        })
    }

    pub(super) fn available(&self) -> u64 {
        self.limit.0.borrow().room(self.id)
    }

    pub(super) fn usage(&self) -> Usage {
        self.limit.0.borrow().held(self.id)
    }

    /// Whether it holds more than is guaranteed to it.
    pub(super) fn exceeds_guarantee(&self) -> bool {
        let usage = self.usage();
        usage.used > usage.part.guaranteed
    }
}

impl Drop for LimitShare {
    fn drop(&mut self) {
        self.limit.0.borrow_mut().leave(self.id);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.limit.0.borrow_mut().give_back(self.id, self.units);
    }
}

/// Why there is no room for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum LimitExceeded {
    /// Too many are open.
    InFlight,
    /// Their bodies are too long together.
    BodyBytes,
    /// Too many have come; one may come after this time.
    Rate(Micros),
}

/// What the requests of a service, or those of a listener's clients, may hold together.
pub(super) struct RequestLimits {
    in_flight: LimitShare,
    body_bytes: LimitShare,
    rate: RefCell<Option<Rate>>,
}

impl RequestLimits {
    pub(super) fn new(
        in_flight: LimitShare,
        body_bytes: LimitShare,
        rate: Option<RateLimit>,
    ) -> Self {
        RequestLimits {
            in_flight,
            body_bytes,
            rate: RefCell::new(rate.map(|rate| rate.bucket())),
        }
    }

    /// Takes over other limits; what is held stays held.
    pub(super) fn update(&self, in_flight: Part, body_bytes: Part, rate: Option<RateLimit>) {
        self.in_flight.update(in_flight);
        self.body_bytes.update(body_bytes);
        let bucket = rate.map(|rate| rate.bucket());
        let mut rate = self.rate.borrow_mut();
        match (rate.as_mut(), &bucket) {
            (Some(rate), Some(bucket)) => rate.turn_to(bucket),
            _ => *rate = bucket,
        }
    }

    /// Makes room for a request with a body of this size, or says why there is none.
    pub(super) fn admit(&self, now: Micros, size: u64) -> Result<[Reservation; 2], LimitExceeded> {
        let held = [
            self.in_flight
                .reserve(1)
                .map_err(|_| LimitExceeded::InFlight)?,
            self.body_bytes
                .reserve(size)
                .map_err(|_| LimitExceeded::BodyBytes)?,
        ];
        if let Some(rate) = self.rate.borrow_mut().as_mut() {
            rate.take(now).map_err(LimitExceeded::Rate)?;
        }
        Ok(held)
    }

    /// Room for so much more of a body, where there is any.
    pub(super) fn reserve_body(&self, size: u64) -> Option<Reservation> {
        self.body_bytes.reserve(size).ok()
    }

    pub(super) fn in_flight(&self) -> Usage {
        self.in_flight.usage()
    }

    pub(super) fn body_bytes(&self) -> Usage {
        self.body_bytes.usage()
    }
}
