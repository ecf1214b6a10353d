//! The timers of the process: one wheel for the modules' and the sockets' timers, and one task that sleeps to the
//! first of them.

use super::clock::Clock;
use super::process_state::ProcessState;
use super::service::Service;
use madderloom_balancer::{Event, Micros, Timer};
use madderloom_timer_wheel::{Poll as Found, TimerKey, Wheel};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;

/// Timers that are moved or handed out before others have their turn: some 50 µs of work.
const BUDGET: u32 = 128;

/// A module's timer comes due this much after its time. A flow's time-out at that same time is thus heard of first,
/// as the module expects: it would else call off an attempt that has in truth run out of time.
const AFTER: Micros = 1_000;

/// Whom a timer is for.
enum TimerTarget {
    Task(Waker),
    Balancer(Weak<Service>, Timer),
}

/// The timers of the process.
pub(super) struct Timers {
    wheel: RefCell<Wheel<TimerTarget>>,
    /// What is slept to.
    slept_to: Cell<Micros>,
    earlier: Notify,
    /// Handed out since the start, and of the turns those that ended with the budget.
    fired: Cell<u64>,
    budget_exhausted_runs: Cell<u64>,
}

/// Timers, as the admin view shows them.
pub(super) struct TimerStats {
    pub(super) pending: usize,
    pub(super) fired: u64,
    pub(super) budget_exhausted_runs: u64,
}

impl Timers {
    pub(super) fn new(clock: &Clock) -> Self {
        Timers {
            wheel: RefCell::new(Wheel::new(clock.now())),
            slept_to: Cell::new(0),
            earlier: Notify::new(),
            fired: Cell::new(0),
            budget_exhausted_runs: Cell::new(0),
        }
    }

    fn set(&self, at: Micros, bell: TimerTarget) -> TimerKey {
        if at < self.slept_to.get() {
            self.slept_to.set(at);
            self.earlier.notify_one();
        }
        self.wheel.borrow_mut().set(at, bell)
    }

    /// Sets a module's timer.
    pub(super) fn set_balancer_timer(
        &self,
        service: &Rc<Service>,
        at: Micros,
        timer: Timer,
    ) -> TimerKey {
        self.set(
            at.saturating_add(AFTER),
            TimerTarget::Balancer(Rc::downgrade(service), timer),
        )
    }

    pub(super) fn cancel(&self, key: TimerKey) {
        self.wheel.borrow_mut().cancel(key);
    }

    /// Whether it has neither fired nor been cancelled.
    pub(super) fn is_set(&self, key: TimerKey) -> bool {
        self.wheel.borrow().is_set(key)
    }

    pub(super) fn stats(&self) -> TimerStats {
        TimerStats {
            pending: self.wheel.borrow().len(),
            fired: self.fired.get(),
            budget_exhausted_runs: self.budget_exhausted_runs.get(),
        }
    }
}

/// Rings as timers come due. To be run in a task of its own.
pub(super) async fn run(process: Rc<ProcessState>) {
    let timers = &process.timers;
    loop {
        let mut now = process.clock.now();
        let mut budget = BUDGET;
        let mut woken = false;
        let spent = loop {
            // The wheel is free again before the bell rings: what hears it may set a timer.
            let found = timers.wheel.borrow_mut().poll(now, &mut budget);
            let bell = match found {
                Found::Due(bell) => bell,
                Found::Spent => break true,
                Found::Idle => break false,
            };
            timers.fired.set(timers.fired.get() + 1);
            match bell {
                TimerTarget::Task(waker) => {
                    waker.wake();
                    woken = true;
                }
                TimerTarget::Balancer(service, timer) => {
                    // A task that was woken for an earlier time has its say first, also where both are late.
                    if std::mem::take(&mut woken) {
                        tokio::task::yield_now().await;
                        now = process.clock.now();
                    }
                    if let Some(service) = service.upgrade() {
                        service.handle(now, Event::TimerFired(timer));
                    }
                }
            }
        };
        if spent {
            timers
                .budget_exhausted_runs
                .set(timers.budget_exhausted_runs.get() + 1);
            tokio::task::yield_now().await;
            continue;
        }
        let next = timers.wheel.borrow().next_at();
        timers.slept_to.set(next.unwrap_or(Micros::MAX));
        match next {
            Some(at) => tokio::select! {
                () = tokio::time::sleep_until(process.clock.instant(at)) => {}
                () = timers.earlier.notified() => {}
            },
            None => timers.earlier.notified().await,
        }
    }
}

/// Ends at its time, up to 2 ms late and never early.
pub(super) struct Sleep<'a> {
    process: &'a ProcessState,
    at: Micros,
    key: Option<TimerKey>,
}

impl Future for Sleep<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let timers = &self.process.timers;
        let Some(key) = self.key else {
            if self.at <= self.process.clock.now() {
                return Poll::Ready(());
            }
            self.key = Some(timers.set(self.at, TimerTarget::Task(context.waker().clone())));
            return Poll::Pending;
        };
        match timers.wheel.borrow_mut().get_mut(key) {
            Some(TimerTarget::Task(waker)) => {
                waker.clone_from(context.waker());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }
}

impl Drop for Sleep<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.process.timers.cancel(key);
        }
    }
}

impl ProcessState {
    /// Ends at this time.
    pub(super) fn sleep_until(&self, at: Micros) -> Sleep<'_> {
        Sleep {
            process: self,
            at,
            key: None,
        }
    }

    /// Ends this long from now.
    pub(super) fn sleep(&self, span: Micros) -> Sleep<'_> {
        self.sleep_until(self.clock.now().saturating_add(span))
    }

    /// What the work comes to; none where it has not ended by then. No timer is set for work that need not wait.
    pub(super) async fn timeout_at<T>(
        &self,
        at: Micros,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let mut work = pin!(work);
        let mut alarm = self.sleep_until(at);
        poll_fn(|context| {
            if let Poll::Ready(done) = work.as_mut().poll(context) {
                return Poll::Ready(Some(done));
            }
            Pin::new(&mut alarm).poll(context).map(|()| None)
        })
        .await
    }

    /// What the work comes to; none from this time on, also where it could end in the turn in which that is noticed: nothing
    /// of it is begun too late. At the end of time no timer is set.
    pub(super) async fn strict_timeout_at<T>(
        &self,
        at: Micros,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        if at == Micros::MAX {
            return Some(work.await);
        }
        let mut work = pin!(work);
        let mut alarm = self.sleep_until(at);
        poll_fn(|context| match Pin::new(&mut alarm).poll(context) {
            Poll::Ready(()) => Poll::Ready(None),
            Poll::Pending => work.as_mut().poll(context).map(Some),
        })
        .await
    }

    /// As [`ProcessState::timeout_at`], this long from now.
    pub(super) async fn timeout<T>(
        &self,
        span: Micros,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        self.timeout_at(self.clock.now().saturating_add(span), work)
            .await
    }
}

#[cfg(test)]
mod tests {
    use super::super::transaction::StepQueue;
    use super::*;

    /// A request that is held is looked at every 25 ms, and its client may wait for a day.
    #[test]
    fn a_request_keeps_none_of_its_timers_that_have_rung() {
        let clock = Clock::start();
        let (timers, steps) = (Timers::new(&clock), StepQueue::default());
        let mut now = clock.now();
        for _ in 0..1_000 {
            steps.add_timer(
                &timers,
                timers.set(now, TimerTarget::Task(Waker::noop().clone())),
            );
            steps.add_timer(
                &timers,
                timers.set(now + 1_000, TimerTarget::Task(Waker::noop().clone())),
            );
            now += 25_000;
            while let Found::Due(_) = timers.wheel.borrow_mut().poll(now, &mut u32::MAX.clone()) {}
            assert!(steps.timers() <= 2, "{} are kept", steps.timers());
        }
    }
}
