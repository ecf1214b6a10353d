//! A transaction: the life of one client's request, from the module's first word on it to its final answer.

use super::attempt::{self, Attempt, ForwardedRequest};
use super::response_body::ResponseBody;
use super::service::Service;
use super::timers::Timers;
use hyper::Response;
use madderloom_balancer::{Event, Micros, NewRequest, RequestId, ServerId};
use madderloom_degradation::RequestEnd;
use madderloom_timer_wheel::TimerKey;
use smallvec::SmallVec;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// What the module tells a transaction to do next.
pub(super) enum Step {
    /// Start a flow.
    Send {
        server: ServerId,
        timeout_at: Micros,
        write_by: Micros,
    },
    /// End a flow.
    Cancel { attempt: u32 },
    /// FinalResponse that the request is refused.
    Reject { retry_after: Option<Micros> },
    /// FinalResponse that it has failed.
    Fail,
}

/// Where a transaction hears of its steps. The module gives a request only so many of them.
#[derive(Default)]
pub(super) struct StepQueue {
    queue: RefCell<SmallVec<[Step; 2]>>,
    /// The task that waits for one.
    waiting: RefCell<Option<Waker>>,
    /// The module's timers for this request.
    timers: RefCell<SmallVec<[TimerKey; 2]>>,
}

impl StepQueue {
    pub(super) fn push(&self, step: Step) {
        self.queue.borrow_mut().push(step);
        if let Some(waiting) = self.waiting.borrow().as_ref() {
            waiting.wake_by_ref();
        }
    }

    /// Those that have rung go: a request that is held is looked at many times a second, for as long as its client waits.
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

    fn wait(&self, context: &Context<'_>) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting
            .as_ref()
            .is_none_or(|waker| !waker.will_wake(context.waker()))
        {
            *waiting = Some(context.waker().clone());
        }
    }
}

/// The final answer.
pub(super) enum FinalResponse {
    /// What a server made of it.
    Served(Response<ResponseBody>),
    /// Another try can do no harm.
    Rejected { retry_after: Option<Micros> },
    /// Nothing is promised.
    Failed,
}

type Flow = Pin<Box<dyn Future<Output = Option<FinalResponse>>>>;

struct Transaction {
    service: Rc<Service>,
    id: RequestId,
    cost: Option<Micros>,
    /// Where it was sent last.
    last: Option<ServerId>,
    class: usize,
    came: Micros,
    aim: Micros,
    /// A level of reduced service has turned it away.
    given_up: bool,
    steps: Rc<StepQueue>,
    /// Set with the final answer.
    over: Rc<Cell<bool>>,
    /// By their numbers; one that has ended leaves its place empty.
    flows: SmallVec<[Option<Flow>; 2]>,
}

/// What a transaction waits for.
enum Next {
    Step(Step),
    /// A flow has ended.
    Ended(Option<FinalResponse>),
}

/// Serves one request: the module's words go in from the top, and the final answer comes out.
pub(super) async fn run(
    service: &Rc<Service>,
    now: Micros,
    new: NewRequest,
    onward: Rc<ForwardedRequest>,
) -> FinalResponse {
    let mut transaction = Transaction::begin(service, now, &new);

    // The module takes it in, and says what to do first: send it, refuse it, or nothing yet.
    let before = service.shed_requests();
    service.handle(now, Event::RequestReceived(new));
    transaction.given_up = service.shed_requests() > before;
    if onward.body.streamed().is_some() {
        service.handle(now, Event::RequestBodyStarted(transaction.id));
    }

    loop {
        match transaction.next().await {
            Next::Step(Step::Send {
                server,
                timeout_at,
                write_by,
            }) => {
                onward.wait_forever_if_client_gone().await;
                transaction.send(&onward, server, (timeout_at, write_by));
            }
            Next::Step(Step::Cancel { attempt }) => transaction.cancel(attempt),
            Next::Step(Step::Reject { retry_after }) => {
                return transaction.end(&onward, FinalResponse::Rejected { retry_after });
            }
            Next::Step(Step::Fail) => return transaction.end(&onward, FinalResponse::Failed),
            // A flow has told the module its outcome before it ends: what follows is another step.
            Next::Ended(Some(answer)) => return transaction.end(&onward, answer),
            Next::Ended(None) => {}
        }
    }
}

impl Transaction {
    fn begin(service: &Rc<Service>, now: Micros, new: &NewRequest) -> Self {
        let steps = Rc::<StepQueue>::default();
        service
            .transactions
            .borrow_mut()
            .insert(new.id, Rc::clone(&steps));
        Transaction {
            service: Rc::clone(service),
            id: new.id,
            class: new.class as usize,
            came: now,
            aim: service.latency_objective(new),
            given_up: false,
            cost: new.cost_hint,
            last: None,
            steps,
            over: Rc::default(),
            flows: SmallVec::new(),
        }
    }

    fn send(
        &mut self,
        onward: &Rc<ForwardedRequest>,
        server: ServerId,
        (timeout_at, write_by): (Micros, Micros),
    ) {
        let (sent, number) = (self.service.process.clock.now(), self.flows.len() as u32);
        self.last = Some(server);
        self.service
            .record_attempt_start(sent, server, (self.id, number), self.class as u32);
        let attempt = Attempt {
            service: Rc::clone(&self.service),
            request: self.id,
            number,
            server,
            class: self.class as u32,
            cost_hint: self.cost,
            sent_at: Cell::new(sent),
            timeout_at,
            write_by,
            transaction_ended: Rc::clone(&self.over),
            outcome_reported: false,
        };
        self.flows
            .push(Some(Box::pin(attempt::run(attempt, Rc::clone(onward)))));
    }

    /// A flow that is dropped closes its connection and tells the module that it was called off.
    fn cancel(&mut self, attempt: u32) {
        if let Some(flow) = self.flows.get_mut(attempt as usize) {
            *flow = None;
        }
    }

    /// Waits for the next step, or until some flow ends. StepQueue go first.
    async fn next(&mut self) -> Next {
        poll_fn(|context: &mut Context<'_>| {
            if let Some(step) = self.steps.pop() {
                return Poll::Ready(Next::Step(step));
            }
            // Before the flows are polled: what one of them brings about may be a step.
            self.steps.wait(context);
            for place in &mut self.flows {
                if let Some(Poll::Ready(answered)) =
                    place.as_mut().map(|flow| flow.as_mut().poll(context))
                {
                    *place = None;
                    return Poll::Ready(Next::Ended(answered));
                }
            }
            Poll::Pending
        })
        .await
    }

    fn end(&mut self, onward: &ForwardedRequest, answer: FinalResponse) -> FinalResponse {
        self.over.set(true);
        // What ends unserved behind an attempt does so because of the server that had it last.
        if let Some(server) = self
            .last
            .filter(|_| !matches!(answer, FinalResponse::Served(_)))
        {
            self.service.record_history(|teller| {
                teller.turned_away(self.service.process.clock.now(), server)
            });
        }
        if let Some(record) = &onward.idempotency_record {
            record.answered(&answer);
        }
        let (aim, given_up) = (self.aim, self.given_up);
        self.tell(|elapsed| match &answer {
            FinalResponse::Served(_) => Some(RequestEnd::served(elapsed, aim)),
            // The level's own doing is none of its signals.
            FinalResponse::Rejected { .. } if given_up => None,
            FinalResponse::Rejected { .. } => Some(RequestEnd::unserved(elapsed, aim, true)),
            FinalResponse::Failed => Some(RequestEnd::unserved(elapsed, aim, false)),
        });
        answer
    }

    /// Tells the service's level how it ended, by how long it took.
    fn tell(&self, how: impl Fn(Micros) -> Option<RequestEnd>) {
        if let Some(keeper) = self.service.level_controller.borrow_mut().as_mut() {
            let now = self.service.process.clock.now();
            if let Some(end) = how(now.saturating_sub(self.came)) {
                keeper.request_ended(now, self.class, end);
            }
        }
    }
}

impl Drop for Transaction {
    /// Ended without an answer, it is the client that has gone. The module hears of that before the flows
    /// that are still out end, or it would take them for its own and send again.
    fn drop(&mut self) {
        if !self.over.replace(true) {
            self.tell(|elapsed| RequestEnd::abandoned(elapsed, self.aim));
            let now = self.service.process.clock.now();
            self.service.handle(now, Event::ClientDisconnected(self.id));
        }
        self.flows.clear();
        self.service.transactions.borrow_mut().remove(&self.id);
        for key in self.steps.timers.take() {
            self.service.process.timers.cancel(key);
        }
    }
}
