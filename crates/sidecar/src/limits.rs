//! Limits that are shared between services or listeners. Reservations release their units when they are dropped.

use madderloom_balancer::Micros;
use madderloom_operator_config::RateLimit;
use madderloom_routing::rate::Rate;
use madderloom_routing::shares::{Denied, Held as Usage, MemberId, Part, Shares};
use std::cell::RefCell;
use std::rc::Rc;

/// A number of units shared by the holders of its [`LimitShare`]s.
pub(super) struct SharedLimit(RefCell<Shares>);

/// A service's or listener's share of a limit. Dropping it ends the share; its units are released as their reservations are
/// dropped.
pub(super) struct LimitShare {
    limit: Rc<SharedLimit>,
    id: MemberId,
}

/// Reserved units; released when this is dropped.
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

    /// Whether more is reserved than is guaranteed to this share.
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

/// Which limit a request exceeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum LimitExceeded {
    /// Requests in flight.
    InFlight,
    /// Bytes of the bodies of requests in flight.
    BodyBytes,
    /// Requests per second. Another one is admitted after this time.
    Rate(Micros),
}

/// Limits on the requests of a service, or of a listener's clients, taken together.
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

    /// Sets other limits. Existing reservations stay valid, also above the new limits.
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

    /// Reserves capacity for a request with a body of `size` bytes.
    ///
    /// # Errors
    /// The limit that the request exceeds.
    pub(super) fn admit(&self, now: Micros, size: u64) -> Result<[Reservation; 2], LimitExceeded> {
        let reservations = [
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
        Ok(reservations)
    }

    /// Reserves another `size` bytes for a body; `None` if the limit is reached.
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
