//! The id of a request in flight. No other request with it is accepted meanwhile, nor after it if the request may have run
//! unanswered: neither by this process nor by the other one of an upgrade.

use super::rejection::RequestError;
use super::service::Service;
use super::shared_request_ids::{IdConflict, SharedRequestIds};
use super::unanswered_runs::UnansweredRuns;
use foldhash::quality::FixedState;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

/// The ids of the requests of one pool, also while a service with other settings replaces its former one.
#[derive(Default)]
pub(super) struct RequestIds {
    /// Of requests in flight; these are unique.
    in_flight: RefCell<HashSet<HeaderValue, FixedState>>,
    /// Of requests that must not be sent again.
    unanswered_runs: UnansweredRuns,
}

/// Holds the id of a request in flight, unique within its service. Dropping it frees the id, unless the request may have run
/// unanswered.
pub(super) struct InFlightRequestId<'a> {
    service: &'a Service,
    id: HeaderValue,
    /// It was recorded for the other process of an upgrade.
    is_shared: bool,
    /// See [`super::attempt::ForwardedRequest::may_have_run_unanswered`].
    may_have_run_unanswered: Rc<Cell<bool>>,
}

const MAY_HAVE_RUN: RequestError = conflict("a request with this X-Trace-Id may have run");
const IS_OPEN: RequestError = conflict("a request with this X-Trace-Id is open");

const fn conflict(message: &'static str) -> RequestError {
    RequestError::Invalid(StatusCode::CONFLICT, message)
}

impl<'a> InFlightRequestId<'a> {
    /// # Errors
    /// Another request in flight has this id, or one that may have run unanswered.
    pub(super) fn new(
        service: &'a Service,
        id: &HeaderValue,
        non_idempotent: bool,
    ) -> Result<Self, RequestError> {
        let now = service.process.clock.now();
        let ids = &service.request_ids;
        if ids.unanswered_runs.contains(id, now) {
            return Err(MAY_HAVE_RUN);
        }
        let shared = service.process.shared_request_ids.get();
        let conflict = |shared: &SharedRequestIds| shared.conflict(&service.name, id, now);
        match shared.and_then(conflict) {
            Some(IdConflict::MayHaveRun) => return Err(MAY_HAVE_RUN),
            Some(IdConflict::InFlight) => return Err(IS_OPEN),
            None => {}
        }
        if !ids.in_flight.borrow_mut().insert(id.clone()) {
            return Err(IS_OPEN);
        }
        service.ids_in_flight.set(service.ids_in_flight.get() + 1);
        let shared = shared.filter(|_| non_idempotent);
        if let Some(shared) = shared {
            shared.record_started(&service.name, id);
        }
        Ok(InFlightRequestId {
            service,
            id: id.clone(),
            is_shared: shared.is_some(),
            may_have_run_unanswered: Rc::default(),
        })
    }

    /// Set while the request may have run unanswered.
    pub(super) fn may_have_run_unanswered(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.may_have_run_unanswered)
    }
}

impl Drop for InFlightRequestId<'_> {
    fn drop(&mut self) {
        let (service, process) = (self.service, &self.service.process);
        let now = process.clock.now();
        let may_have_run = self.may_have_run_unanswered.get();
        if may_have_run {
            service.request_ids.unanswered_runs.remember(&self.id, now);
        }
        if let Some(shared) = process.shared_request_ids.get()
            && (self.is_shared || may_have_run)
        {
            shared.record_ended(&service.name, &self.id, may_have_run, now);
        }
        service.request_ids.in_flight.borrow_mut().remove(&self.id);
        service.ids_in_flight.set(service.ids_in_flight.get() - 1);
        service.request_ended.notify_one();
    }
}
