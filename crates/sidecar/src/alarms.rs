//! The timers of the process: one wheel for the modules' and the sockets' timers, and one task that sleeps to the
//! first of them.

use super::clock::Clock;
use super::common::Common;
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
enum Bell {
    Task(Waker),
    Module(Weak<Service>, Timer),
}

/// The timers of the process.
pub(super) struct Alarms {
    wheel: RefCell<Wheel<Bell>>,
    /// What is slept to.
    slept_to: Cell<Micros>,
    earlier: Notify,
    /// Handed out since the start, and of the turns those that ended with the budget.
    rung: Cell<u64>,
    full_turns: Cell<u64>,
}

/// Timers, as the admin view shows them.
pub(super) struct Counted {
    pub(super) set: usize,
    pub(super) rung: u64,
    pub(super) full_turns: u64,
}

impl Alarms {
    pub(super) fn new(clock: &Clock) -> Self {
        Alarms {
            wheel: RefCell::new(Wheel::new(clock.now())),
            slept_to: Cell::new(0),
            earlier: Notify::new(),
            rung: Cell::new(0),
            full_turns: Cell::new(0),
        }
    }

    fn set(&self, at: Micros, bell: Bell) -> TimerKey {
        if at < self.slept_to.get() {
            self.slept_to.set(at);
            self.earlier.notify_one();
        }
        self.wheel.borrow_mut().set(at, bell)
    }

    /// Sets a module's timer.
    pub(super) fn set_for(&self, service: &Rc<Service>, at: Micros, timer: Timer) -> TimerKey {
        self.set(
            at.saturating_add(AFTER),
            Bell::Module(Rc::downgrade(service), timer),
        )
    }

    pub(super) fn cancel(&self, key: TimerKey) {
        self.wheel.borrow_mut().cancel(key);
    }

    /// Whether it has neither rung nor been cancelled.
    pub(super) fn is_set(&self, key: TimerKey) -> bool {
        self.wheel.borrow().is_set(key)
    }

    pub(super) fn counted(&self) -> Counted {
        Counted {
            set: self.wheel.borrow().len(),
            rung: self.rung.get(),
            full_turns: self.full_turns.get(),
        }
    }
}

/// Rings as timers come due. To be run in a task of its own.
pub(super) async fn run(common: Rc<Common>) {
    let alarms = &common.alarms;
    loop {
        let mut now = common.clock.now();
        let mut budget = BUDGET;
        let mut woken = false;
        let spent = loop {
            // The wheel is free again before the bell rings: what hears it may set a timer.
            let found = alarms.wheel.borrow_mut().poll(now, &mut budget);
            let bell = match found {
                Found::Due(bell) => bell,
                Found::Spent => break true,
                Found::Idle => break false,
            };
            alarms.rung.set(alarms.rung.get() + 1);
            match bell {
                Bell::Task(waker) => {
                    waker.wake();
                    woken = true;
                }
                Bell::Module(service, timer) => {
                    // A task that was woken for an earlier time has its say first, also where both are late.
                    if std::mem::take(&mut woken) {
                        tokio::task::yield_now().await;
                        now = common.clock.now();
                    }
                    if let Some(service) = service.upgrade() {
                        service.handle(now, Event::TimerFired(timer));
                    }
                }
            }
        };
        if spent {
            alarms.full_turns.set(alarms.full_turns.get() + 1);
            tokio::task::yield_now().await;
            continue;
        }
        let next = alarms.wheel.borrow().next_at();
        alarms.slept_to.set(next.unwrap_or(Micros::MAX));
        match next {
            Some(at) => tokio::select! {
                () = tokio::time::sleep_until(common.clock.instant(at)) => {}
                () = alarms.earlier.notified() => {}
            },
            None => alarms.earlier.notified().await,
        }
    }
}

/// Ends at its time, up to 2 ms late and never early.
pub(super) struct Alarm<'a> {
    common: &'a Common,
    at: Micros,
    key: Option<TimerKey>,
}

impl Future for Alarm<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let alarms = &self.common.alarms;
        let Some(key) = self.key else {
            if self.at <= self.common.clock.now() {
                return Poll::Ready(());
            }
            self.key = Some(alarms.set(self.at, Bell::Task(context.waker().clone())));
            return Poll::Pending;
        };
        match alarms.wheel.borrow_mut().get_mut(key) {
            Some(Bell::Task(waker)) => {
                waker.clone_from(context.waker());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }
}

impl Drop for Alarm<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.common.alarms.cancel(key);
        }
    }
}

impl Common {
    /// Ends at this time.
    pub(super) fn alarm(&self, at: Micros) -> Alarm<'_> {
        Alarm {
            common: self,
            at,
            key: None,
        }
    }

    /// Ends this long from now.
    pub(super) fn alarm_in(&self, span: Micros) -> Alarm<'_> {
        self.alarm(self.clock.now().saturating_add(span))
    }

    /// What the work comes to; none where it has not ended by then. No timer is set for work that need not wait.
    pub(super) async fn until<T>(&self, at: Micros, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        let mut alarm = self.alarm(at);
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
    pub(super) async fn before<T>(&self, at: Micros, work: impl Future<Output = T>) -> Option<T> {
        if at == Micros::MAX {
            return Some(work.await);
        }
        let mut work = pin!(work);
        let mut alarm = self.alarm(at);
        poll_fn(|context| match Pin::new(&mut alarm).poll(context) {
            Poll::Ready(()) => Poll::Ready(None),
            Poll::Pending => work.as_mut().poll(context).map(Some),
        })
        .await
    }

    /// As [`Common::until`], this long from now.
    pub(super) async fn within<T>(&self, span: Micros, work: impl Future<Output = T>) -> Option<T> {
        self.until(self.clock.now().saturating_add(span), work)
            .await
    }
}

#[cfg(test)]
mod tests {
    use super::super::transaction::Steps;
    use super::*;

    /// A request that is held is looked at every 25 ms, and its client may wait for a day.
    #[test]
    fn a_request_keeps_none_of_its_timers_that_have_rung() {
        let clock = Clock::start();
        let (alarms, steps) = (Alarms::new(&clock), Steps::default());
        let mut now = clock.now();
        for _ in 0..1_000 {
            steps.add_timer(&alarms, alarms.set(now, Bell::Task(Waker::noop().clone())));
            steps.add_timer(
                &alarms,
                alarms.set(now + 1_000, Bell::Task(Waker::noop().clone())),
            );
            now += 25_000;
            while let Found::Due(_) = alarms.wheel.borrow_mut().poll(now, &mut u32::MAX.clone()) {}
            assert!(steps.timers() <= 2, "{} are kept", steps.timers());
        }
    }
}
