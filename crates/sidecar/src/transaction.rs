//! A transaction: one client's request, from its hand-over to the balancer to its final response.

use super::attempt::{self, Attempt, ForwardedRequest};
use super::attempt_limits::AttemptLimits;
use super::exchange_progress::ExchangeProgress;
use super::request_log::{self, UnservedEnd};
use super::response_body::ResponseBody;
use super::service::Service;
use super::stall::{AwaitedResponse, LoopInstant};
use super::timers::Timers;
use hyper::Response;
use madderloom_balancer::{ClientDeadline, Event, Micros, NewRequest, RequestId, ServerId};
use madderloom_degradation::RequestEnd;
use madderloom_timer_wheel::TimerKey;
use smallvec::SmallVec;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// A step of a transaction, as ordered by the balancer.
pub(super) enum Step {
    /// Start an attempt.
    Send {
        server: ServerId,
        timeout_at: Micros,
        write_by: Micros,
    },
    /// Await the rest of a response that has started until its client's deadline.
    AwaitResponse { attempt: u32, until: ClientDeadline },
    /// Cancel an attempt.
    Cancel { attempt: u32 },
    /// Respond that the request is rejected.
    Reject { retry_after: Option<Micros> },
    /// Respond that the request has failed.
    Fail,
    /// The process stops, and has to have answered by now.
    Expire,
}

/// The pending steps of one transaction. Their number is bounded, as the balancer orders only a few for each request.
#[derive(Default)]
pub(super) struct StepQueue {
    queue: RefCell<SmallVec<[Step; 2]>>,
    /// Waker of the transaction's task.
    waker: RefCell<Option<Waker>>,
    /// The balancer's timers for this request.
    timers: RefCell<SmallVec<[TimerKey; 2]>>,
}

impl StepQueue {
    pub(super) fn push(&self, step: Step) {
        self.queue.borrow_mut().push(step);
        if let Some(waker) = self.waker.borrow().as_ref() {
            waker.wake_by_ref();
        }
    }

    /// Adds a timer and drops those that have fired: a queued request gets many timers a second for as long as its client
    /// waits.
    pub(super) fn add_timer(&self, process_timers: &Timers, key: TimerKey) {
        let mut timers = self.timers.borrow_mut();
        timers.retain(|key| process_timers.is_set(*key));
        timers.push(key);
    }

    #[cfg(test)]
    pub(super) fn timers(&self) -> usize {
        self.timers.borrow().len()
    }

    fn pop(&self) -> Option<Step> {
        let mut queue = self.queue.borrow_mut();
        if queue.is_empty() {
            None
        } else {
            Some(queue.remove(0))
        }
    }

    fn register_waker(&self, context: &Context<'_>) {
        let mut waker = self.waker.borrow_mut();
        if waker
            .as_ref()
            .is_none_or(|waker| !waker.will_wake(context.waker()))
        {
            *waker = Some(context.waker().clone());
        }
    }
}

/// The final response to a request.
pub(super) enum FinalResponse {
    /// The response of a server.
    Served(Response<ResponseBody>),
    /// The request was not executed; the client may safely retry.
    Rejected { retry_after: Option<Micros> },
    /// The request failed and may have been executed.
    Failed,
}

type AttemptFuture = Pin<Box<dyn Future<Output = Option<FinalResponse>>>>;

/// An attempt in flight.
struct RunningAttempt {
    future: AttemptFuture,
    /// Shared with the attempt, see [`AttemptLimits::response_deadline`].
    response_deadline: Rc<Cell<Option<ClientDeadline>>>,
}

struct Transaction {
    service: Rc<Service>,
    id: RequestId,
    request: Rc<ForwardedRequest>,
    cost_hint: Option<Micros>,
    /// The server of the latest attempt.
    last_server: Option<ServerId>,
    class: usize,
    started_at: LoopInstant,
    latency_objective: Micros,
    /// The active degradation level has shed the request.
    shed: bool,
    steps: Rc<StepQueue>,
    /// Set with the final response; shared with the attempts.
    ended: Rc<Cell<bool>>,
    /// By attempt number; `None` once the attempt has ended.
    attempts: SmallVec<[Option<RunningAttempt>; 2]>,
    /// Completes when an upload times out, which the balancer does not know.
    expiry: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

/// An event that a transaction waits for.
enum Next {
    Step(Step),
    /// An attempt has ended, with the final response if it decides one.
    AttemptEnded(Option<FinalResponse>),
    /// The final response is due.
    Expired,
}

/// Runs one request's transaction: carries out the balancer's steps until there is a final response.
pub(super) async fn run(
    service: &Rc<Service>,
    now: Micros,
    new_request: NewRequest,
    request: Rc<ForwardedRequest>,
) -> FinalResponse {
    let mut transaction = Transaction::start(service, now, &new_request, Rc::clone(&request));

    // The balancer's first step may be to send the request, to reject it, or none yet.
    let shed_before = service.shed_requests();
    service.handle(now, Event::RequestReceived(new_request));
    transaction.shed = service.shed_requests() > shed_before;
    if request.body.is_upload() {
        service.handle(now, Event::RequestBodyStarted(transaction.id));
    }

    loop {
        match transaction.next().await {
            Next::Step(Step::Send {
                server,
                timeout_at,
                write_by,
            }) => {
                request.wait_forever_if_client_gone().await;
                if request.body.is_upload() {
                    request.deadline.start_upload(timeout_at);
                }
                transaction.send(server, (timeout_at, write_by));
            }
            Next::Step(Step::AwaitResponse { attempt, until }) => {
                transaction.await_response(attempt, until);
            }
            Next::Step(Step::Cancel { attempt }) => transaction.cancel(attempt),
            Next::Step(Step::Reject { retry_after }) => {
                return transaction.end(FinalResponse::Rejected { retry_after });
            }
            Next::Step(Step::Fail) => return transaction.end(FinalResponse::Failed),
            // An attempt reports its outcome to the balancer before it ends; the balancer's next step follows from that.
            Next::AttemptEnded(Some(response)) => return transaction.end(response),
            Next::AttemptEnded(None) => {}
            // The deadline of an upload is earlier already where the process stops.
            Next::Step(Step::Expire) if request.body.is_upload() => {}
            Next::Step(Step::Expire) | Next::Expired => {
                request.deadline.expire();
                let now = service.process.clock.now();
                service.handle(now, Event::RequestExpired(transaction.id));
            }
        }
    }
}

impl Transaction {
    fn start(
        service: &Rc<Service>,
        now: Micros,
        new_request: &NewRequest,
        request: Rc<ForwardedRequest>,
    ) -> Self {
        let expiry = request.body.is_upload().then(|| {
            let deadline = Rc::clone(&request.deadline);
            let expiry: Pin<Box<dyn Future<Output = ()>>> =
                Box::pin(async move { deadline.until_upload_times_out().await });
            expiry
        });
        let steps = Rc::<StepQueue>::default();
        service
            .transactions
            .borrow_mut()
            .insert(new_request.id, Rc::clone(&steps));
        Transaction {
            service: Rc::clone(service),
            id: new_request.id,
            request,
            class: new_request.class as usize,
            started_at: service.process.timers.stalls.instant(now),
            latency_objective: service.latency_objective(new_request),
            shed: false,
            cost_hint: new_request.cost_hint,
            last_server: None,
            steps,
            ended: Rc::default(),
            attempts: SmallVec::new(),
            expiry,
        }
    }

    fn send(&mut self, server: ServerId, (timeout_at, write_by): (Micros, Micros)) {
        let (sent_at, number) = (self.service.process.clock.now(), self.attempts.len() as u32);
        self.last_server = Some(server);
        self.service
            .record_attempt_start(sent_at, server, (self.id, number), self.class as u32);
        let response_deadline = Rc::<Cell<Option<ClientDeadline>>>::default();
        let attempt = Attempt {
            service: Rc::clone(&self.service),
            request: self.id,
            number,
            server,
            class: self.class as u32,
            cost_hint: self.cost_hint,
            wait: AwaitedResponse::start(&self.service.process, sent_at),
            limits: AttemptLimits {
                header_timeout_at: timeout_at,
                response_deadline: Rc::clone(&response_deadline),
                write_by,
            },
            progress: if self.request.body.is_upload() {
                ExchangeProgress::of_upload(&self.request.deadline)
            } else {
                ExchangeProgress::default()
            },
            transaction_ended: Rc::clone(&self.ended),
            outcome_reported: false,
        };
        self.attempts.push(Some(RunningAttempt {
            future: Box::pin(attempt::run(attempt, Rc::clone(&self.request))),
            response_deadline,
        }));
    }

    fn await_response(&self, attempt: u32, until: ClientDeadline) {
        if let Some(Some(running)) = self.attempts.get(attempt as usize) {
            running.response_deadline.set(Some(until));
        }
    }

    /// Dropping the attempt closes its connection and reports to the balancer that it was cancelled.
    fn cancel(&mut self, attempt: u32) {
        if let Some(running) = self.attempts.get_mut(attempt as usize) {
            *running = None;
        }
    }

    /// Waits for the next step, for the deadline, or until an attempt ends. Steps have priority.
    async fn next(&mut self) -> Next {
        poll_fn(|context: &mut Context<'_>| {
            if let Some(step) = self.steps.pop() {
                return Poll::Ready(Next::Step(step));
            }
            // The waker is registered before the attempts are polled, as polling one may push a step.
            self.steps.register_waker(context);
            if let Some(expiry) = &mut self.expiry
                && expiry.as_mut().poll(context).is_ready()
            {
                self.expiry = None;
                return Poll::Ready(Next::Expired);
            }
            for slot in &mut self.attempts {
                if let Some(Poll::Ready(response)) = slot
                    .as_mut()
                    .map(|attempt| attempt.future.as_mut().poll(context))
                {
                    *slot = None;
                    return Poll::Ready(Next::AttemptEnded(response));
                }
            }
            Poll::Pending
        })
        .await
    }

    fn end(&mut self, response: FinalResponse) -> FinalResponse {
        self.ended.set(true);
        match response {
            FinalResponse::Served(_) => {}
            FinalResponse::Rejected { .. } => self.log_unserved(UnservedEnd::Rejected),
            FinalResponse::Failed => self.log_unserved(UnservedEnd::Failed),
        }
        // A request that ends unserved after an attempt is attributed to the server of the latest one.
        if let Some(server) = self
            .last_server
            .filter(|_| !matches!(response, FinalResponse::Served(_)))
        {
            self.service.record_history(|history| {
                history.record_rejection(self.service.process.clock.now(), server)
            });
        }
        if let Some(record) = &self.request.idempotency_record {
            record.answered(&response);
        }
        let (latency_objective, shed) = (self.latency_objective, self.shed);
        self.report_end(|elapsed| match &response {
            FinalResponse::Served(_) => Some(RequestEnd::served(elapsed, latency_objective)),
            // Requests that the degradation level sheds must not count as signals for the level.
            FinalResponse::Rejected { .. } if shed => None,
            FinalResponse::Rejected { .. } => {
                Some(RequestEnd::unserved(elapsed, latency_objective, true))
            }
            FinalResponse::Failed => Some(RequestEnd::unserved(elapsed, latency_objective, false)),
        });
        response
    }

    fn elapsed(&self, now: Micros) -> Micros {
        let stalls = &self.service.process.timers.stalls;
        stalls.elapsed(self.started_at, now)
    }

    fn log_unserved(&self, end: UnservedEnd) {
        let elapsed = self.elapsed(self.service.process.clock.now());
        request_log::unserved(&self.request, end, self.attempts.len(), elapsed);
    }

    /// Reports the end of the request to the service's degradation levels; `request_end` gets the elapsed time.
    fn report_end(&self, request_end: impl Fn(Micros) -> Option<RequestEnd>) {
        if let Some(levels) = self.service.level_controller.borrow_mut().as_mut() {
            let now = self.service.process.clock.now();
            if let Some(end) = request_end(self.elapsed(now)) {
                levels.request_ended(now, self.class, end);
            }
        }
    }
}

impl Drop for Transaction {
    /// Without a final response, the client has disconnected. The balancer must be notified of that before the attempts in
    /// flight are dropped, or it would take their cancellation for a failure and retry.
    fn drop(&mut self) {
        if !self.ended.replace(true) {
            self.log_unserved(UnservedEnd::Abandoned);
            self.report_end(|elapsed| RequestEnd::abandoned(elapsed, self.latency_objective));
            let now = self.service.process.clock.now();
            self.service.handle(now, Event::ClientDisconnected(self.id));
        }
        self.attempts.clear();
        self.service.transactions.borrow_mut().remove(&self.id);
        for key in self.steps.timers.take() {
            self.service.process.timers.cancel(key);
        }
    }
}
