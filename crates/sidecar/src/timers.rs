//! The timers of the process: one timer wheel for the balancers and the socket code, and one task that sleeps until the
//! earliest of them is due.

use super::clock::Clock;
use super::process_state::ProcessState;
use super::service::Service;
use super::stall::StallDetector;
use madderloom_balancer::{Event, Micros, Timer};
use madderloom_timer_wheel::{Poll as WheelPoll, TimerKey, Wheel};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;

/// Timers that are moved or fired before the timer task yields to other tasks: some 50 µs of work.
const TIMER_BUDGET: u32 = 128;

/// A balancer's timer fires this much after its time, so that the balancer learns first of an attempt that times out at the
/// same time. Otherwise it would cancel an attempt that has in fact timed out.
const BALANCER_TIMER_DELAY: Micros = 1_000;

/// If timers are later than this, the sockets may hold data that arrived before the timers were due and that no task has seen.
const MAX_UNCHECKED_DELAY: Micros = 10_000;

/// For at most this long, late timers wait for tasks that the fair scheduler delays.
const MAX_FAIR_QUEUE_WAIT: Micros = 50_000;

/// What a timer wakes or notifies when it fires.
enum TimerTarget {
    Task(Waker),
    Balancer(Weak<Service>, Timer),
}

/// The timers of the process.
pub(super) struct Timers {
    wheel: RefCell<Wheel<TimerTarget>>,
    pub(super) stalls: StallDetector,
    /// The time until which the timer task sleeps.
    wake_at: Cell<Micros>,
    /// Notified when a timer is set for an earlier time than that.
    earlier_timer_set: Notify,
    /// Timers fired since the start.
    fired: Cell<u64>,
    /// Runs of the timer task that ended because the budget was used up.
    budget_exhausted_runs: Cell<u64>,
}

/// Counts of timers for the admin view.
pub(super) struct TimerStats {
    pub(super) pending: usize,
    pub(super) fired: u64,
    pub(super) budget_exhausted_runs: u64,
}

impl Timers {
    pub(super) fn new(clock: &Clock) -> Self {
        Timers {
            wheel: RefCell::new(Wheel::new(clock.now())),
            stalls: StallDetector::default(),
            wake_at: Cell::new(0),
            earlier_timer_set: Notify::new(),
            fired: Cell::new(0),
            budget_exhausted_runs: Cell::new(0),
        }
    }

    fn set(&self, at: Micros, target: TimerTarget) -> TimerKey {
        self.wake_by(at);
        self.wheel.borrow_mut().set(at, target)
    }

    /// Makes the timer task run at this time at the latest.
    fn wake_by(&self, at: Micros) {
        if at < self.wake_at.get() {
            self.wake_at.set(at);
            self.earlier_timer_set.notify_one();
        }
    }

    /// Makes the timer task run when the next heartbeat is due.
    pub(super) fn wake_for_heartbeat(&self) {
        if let Some(due) = self.stalls.heartbeat_due() {
            self.wake_by(due);
        }
    }

    /// Whether timers are so late that the process may have been stopped since it last checked its sockets.
    fn is_late(&self, now: Micros) -> bool {
        let first_due = self.wheel.borrow().next_expiry();
        first_due.is_some_and(|due| now.saturating_sub(due) > MAX_UNCHECKED_DELAY)
    }

    /// When the timer task has to run next.
    fn next_run(&self) -> Option<Micros> {
        let expiry = self.wheel.borrow().next_expiry();
        expiry.into_iter().chain(self.stalls.heartbeat_due()).min()
    }

    /// Sets a timer of a service's balancer.
    pub(super) fn set_balancer_timer(
        &self,
        service: &Rc<Service>,
        at: Micros,
        timer: Timer,
    ) -> TimerKey {
        self.set(
            at.saturating_add(BALANCER_TIMER_DELAY),
            TimerTarget::Balancer(Rc::downgrade(service), timer),
        )
    }

    pub(super) fn cancel(&self, key: TimerKey) {
        self.wheel.borrow_mut().cancel(key);
    }

    /// Whether a timer has neither fired nor been cancelled.
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

/// Fires timers as they come due. To be run in a task of its own.
pub(super) async fn run(process: Rc<ProcessState>) {
    let timers = &process.timers;
    loop {
        let mut now = process.clock.now();
        timers.stalls.heartbeat(now);
        if timers.is_late(now) {
            process.handle_arrived_data(now).await;
        }
        let mut budget = TIMER_BUDGET;
        let mut task_woken = false;
        let budget_exhausted = loop {
            // The borrow of the wheel ends before the timer fires, because whatever handles it may set a timer.
            let polled = timers.wheel.borrow_mut().poll(now, &mut budget);
            let target = match polled {
                WheelPoll::Due(target) => target,
                WheelPoll::BudgetExhausted => break true,
                WheelPoll::Idle => break false,
            };
            timers.fired.set(timers.fired.get() + 1);
            match target {
                TimerTarget::Task(waker) => {
                    waker.wake();
                    task_woken = true;
                }
                TimerTarget::Balancer(service, timer) => {
                    // A task that was woken for an earlier time runs first, even when both timers are late.
                    if std::mem::take(&mut task_woken) {
                        tokio::task::yield_now().await;
                        now = process.clock.now();
                    }
                    if let Some(service) = service.upgrade() {
                        service.handle(now, Event::TimerFired(timer));
                    }
                }
            }
        };
        if budget_exhausted {
            timers
                .budget_exhausted_runs
                .set(timers.budget_exhausted_runs.get() + 1);
            tokio::task::yield_now().await;
            continue;
        }
        let next = timers.next_run();
        timers.wake_at.set(next.unwrap_or(Micros::MAX));
        match next {
            Some(at) => tokio::select! {
                () = tokio::time::sleep_until(process.clock.instant(at)) => {}
                () = timers.earlier_timer_set.notified() => {}
            },
            None => timers.earlier_timer_set.notified().await,
        }
    }
}

/// A future that completes at its time, up to 2 ms late and never early.
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

/// The output of `work`; `None` if `end` completes first. `work` is polled first each time.
pub(super) async fn before<T>(
    end: impl Future<Output = ()>,
    work: impl Future<Output = T>,
) -> Option<T> {
    let (mut work, mut end) = (pin!(work), pin!(end));
    poll_fn(|context| match work.as_mut().poll(context) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => end.as_mut().poll(context).map(|()| None),
    })
    .await
}

impl ProcessState {
    /// Before timers fire that were due long before `now`: handles what has arrived meanwhile, since the process may have been
    /// stopped with responses in its sockets. The yield lets the runtime check the sockets, and the tasks that it wakes run
    /// first, unless the fair scheduler delays them.
    async fn handle_arrived_data(&self, now: Micros) {
        tokio::task::yield_now().await;
        let wait_until = now.saturating_add(MAX_FAIR_QUEUE_WAIT);
        while self.has_delayed_tasks() && self.clock.now() < wait_until {
            tokio::task::yield_now().await;
        }
    }

    fn has_delayed_tasks(&self) -> bool {
        self.scheduler
            .as_ref()
            .is_some_and(|scheduler| scheduler.has_delayed_tasks())
    }

    /// Completes at a time.
    pub(super) fn sleep_until(&self, at: Micros) -> Sleep<'_> {
        Sleep {
            process: self,
            at,
            key: None,
        }
    }

    /// Completes after a duration.
    pub(super) fn sleep(&self, duration: Micros) -> Sleep<'_> {
        self.sleep_until(self.clock.now().saturating_add(duration))
    }

    /// The output of a future; `None` if it has not completed by `at`. No timer is set for a future that completes at once.
    pub(super) async fn timeout_at<T>(
        &self,
        at: Micros,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        before(self.sleep_until(at), work).await
    }

    /// The output of a future; `None` if it has not completed by `at`. Unlike [`ProcessState::timeout_at`], this checks the
    /// time before it polls the future, so that the future starts nothing after `at`, even in the poll in which the timeout
    /// is noticed. No timer is set where `at` is `Micros::MAX`.
    pub(super) async fn strict_timeout_at<T>(
        &self,
        at: Micros,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        if at == Micros::MAX {
            return Some(work.await);
        }
        let mut work = pin!(work);
        let mut sleep = self.sleep_until(at);
        poll_fn(|context| match Pin::new(&mut sleep).poll(context) {
            Poll::Ready(()) => Poll::Ready(None),
            Poll::Pending => work.as_mut().poll(context).map(Some),
        })
        .await
    }

    /// Like [`ProcessState::timeout_at`], with a duration from now.
    pub(super) async fn timeout<T>(
        &self,
        duration: Micros,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        self.timeout_at(self.clock.now().saturating_add(duration), work)
            .await
    }
}

#[cfg(test)]
mod tests {
    use super::super::transaction::StepQueue;
    use super::*;

    /// A queued request sets a timer every 25 ms, and its client may wait for a day: a request that kept the keys of timers
    /// that have fired would grow without bound.
    #[test]
    fn a_request_keeps_none_of_its_timers_that_have_fired() {
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
            while let WheelPoll::Due(_) = timers.wheel.borrow_mut().poll(now, &mut u32::MAX.clone())
            {
            }
            assert!(steps.timers() <= 2, "{} are kept", steps.timers());
        }
    }
}
