//! The time of a run: whole microseconds since its beginning, and sleeps that end to the microsecond. The runtime's
//! own timers tick in milliseconds, which is longer than a way across a network.

use madderloom_balancer::Micros;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// A sleep that ends this much after its time is late.
pub const LATE: Micros = 20_000;

/// A run with a greater share of late sleeps fell behind real time and is void.
pub const LATE_SHARE: f64 = 0.01;

/// A thread that sleeps: the system wakes it to the microsecond or so.
#[derive(Default)]
struct Alarm {
    /// When it is to go off, if at all; none once it is wanted no more.
    at: Mutex<Option<Option<Instant>>>,
    changed: Condvar,
    goes_off: Notify,
}

impl Alarm {
    fn start() -> std::io::Result<Arc<Self>> {
        let alarm = Arc::new(Alarm {
            at: Mutex::new(Some(None)),
            ..Alarm::default()
        });
        let own = Arc::clone(&alarm);
        std::thread::Builder::new()
            .name("alarm".into())
            .spawn(move || own.run())?;
        Ok(alarm)
    }

    fn set(&self, at: Option<Option<Instant>>) {
        *self.at.lock().unwrap_or_else(PoisonError::into_inner) = at;
        self.changed.notify_one();
    }

    fn run(&self) {
        let mut wanted = self.at.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(at) = *wanted {
            let left = at.map(|at| at.saturating_duration_since(Instant::now()));
            wanted = match left {
                None => self
                    .changed
                    .wait(wanted)
                    .unwrap_or_else(PoisonError::into_inner),
                Some(Duration::ZERO) => {
                    *wanted = Some(None);
                    self.goes_off.notify_one();
                    wanted
                }
                Some(left) => {
                    self.changed
                        .wait_timeout(wanted, left)
                        .unwrap_or_else(PoisonError::into_inner)
                        .0
                }
            };
        }
    }
}

/// The clock of one run, on one thread.
pub struct Clock {
    /// None before the run has begun.
    start: Cell<Option<Instant>>,
    unix: Cell<Micros>,
    alarm: Arc<Alarm>,
    due: RefCell<BinaryHeap<Reverse<(Micros, u64)>>>,
    wakers: RefCell<std::collections::BTreeMap<u64, Waker>>,
    next: Cell<u64>,
    /// For when the timer is set.
    set: Cell<Micros>,
    slept: Cell<u64>,
    late: Cell<u64>,
    latest: Cell<Micros>,
}

impl Clock {
    /// A clock that stands at 0 until [`Clock::begin`]; its sleeps end while [`Clock::run`] is being run.
    ///
    /// # Errors
    /// There is no thread for its timer.
    pub fn new() -> Result<Rc<Self>, String> {
        Ok(Rc::new(Clock {
            start: Cell::new(None),
            unix: Cell::new(0),
            alarm: Alarm::start().map_err(|e| format!("a timer: {e}"))?,
            due: RefCell::default(),
            wakers: RefCell::default(),
            next: Cell::new(0),
            set: Cell::new(Micros::MAX),
            slept: Cell::new(0),
            late: Cell::new(0),
            latest: Cell::new(0),
        }))
    }

    /// The run begins now.
    pub fn begin(&self) {
        self.unix.set(micros(
            SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        ));
        self.start.set(Some(Instant::now()));
        self.arm();
    }

    /// The time since the beginning of the run; 0 before it.
    pub fn now(&self) -> Micros {
        self.start.get().map_or(0, |start| micros(start.elapsed()))
    }

    /// A time of the run as Unix time.
    pub fn unix(&self, at: Micros) -> Micros {
        self.unix.get() + at
    }

    /// Sleeps until a time of the run. The time that has come is told.
    pub async fn until(&self, at: Micros) -> Micros {
        if at > self.now() {
            Sleep {
                clock: self,
                at,
                number: None,
            }
            .await;
            let late = self.now().saturating_sub(at);
            self.slept.set(self.slept.get() + 1);
            self.late.set(self.late.get() + u64::from(late > LATE));
            self.latest.set(self.latest.get().max(late));
        }
        self.now()
    }

    /// Sleeps for so long.
    pub async fn sleep(&self, span: Micros) {
        if span > 0 {
            self.until(self.now() + span).await;
        }
    }

    /// Ends sleeps in their order as their times come, for ever.
    pub async fn run(&self) {
        loop {
            let now = self.now();
            while let Some(Reverse((_, number))) = self.pop_due(now) {
                let waker = self.wakers.borrow_mut().remove(&number);
                waker.into_iter().for_each(Waker::wake);
            }
            self.arm();
            self.alarm.goes_off.notified().await;
            self.set.set(Micros::MAX);
        }
    }

    /// Why the run is void, if it fell behind: over [`LATE_SHARE`] of its sleeps ended over [`LATE`] late.
    pub fn fell_behind(&self) -> Option<String> {
        let (slept, late) = (self.slept.get(), self.late.get());
        (late as f64 > slept as f64 * LATE_SHARE).then(|| {
            let (at_most, latest) = (LATE / 1_000, self.latest.get() / 1_000);
            format!("fell behind: {late} of {slept} timers over {at_most} ms late, the latest by {latest} ms")
        })
    }

    fn pop_due(&self, now: Micros) -> Option<Reverse<(Micros, u64)>> {
        let mut due = self.due.borrow_mut();
        due.peek()
            .is_some_and(|Reverse((at, _))| *at <= now)
            .then(|| due.pop())
            .flatten()
    }

    /// Sets the timer for the next sleep to end, if it would go off later than that.
    fn arm(&self) {
        let Some(at) = self.due.borrow().peek().map(|Reverse((at, _))| *at) else {
            return;
        };
        if at >= self.set.get() || self.start.get().is_none() {
            return;
        }
        let instant = self
            .start
            .get()
            .map(|start| start + Duration::from_micros(at));
        self.alarm.set(Some(instant));
        self.set.set(at);
    }
}

impl Drop for Clock {
    fn drop(&mut self) {
        self.alarm.set(None);
    }
}

struct Sleep<'a> {
    clock: &'a Clock,
    at: Micros,
    number: Option<u64>,
}

impl Future for Sleep<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.clock.now() >= self.at {
            return Poll::Ready(());
        }
        let (clock, at) = (self.clock, self.at);
        let number = *self.number.get_or_insert_with(|| {
            let number = clock.next.replace(clock.next.get() + 1);
            clock.due.borrow_mut().push(Reverse((at, number)));
            number
        });
        clock
            .wakers
            .borrow_mut()
            .insert(number, context.waker().clone());
        clock.arm();
        Poll::Pending
    }
}

impl Drop for Sleep<'_> {
    /// Its place in the line stays until its time, and wakes nobody then.
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.clock.wakers.borrow_mut().remove(&number);
        }
    }
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX / 2)
}

#[cfg(test)]
mod tests {
    use super::Clock;
    use crate::sockets::itself::on_one_thread;
    use std::rc::Rc;

    #[test]
    fn sleeps_end_in_the_order_of_their_times_and_never_before_them() {
        let ended = on_one_thread(async {
            let clock = Clock::new()?;
            clock.begin();
            let own = Rc::clone(&clock);
            tokio::task::spawn_local(async move { own.run().await });
            let ended = Rc::new(std::cell::RefCell::new(Vec::new()));
            let begun = clock.now();
            let sleepers: Vec<_> = [9_000, 300, 4_000, 700, 4_000]
                .into_iter()
                .map(|span| {
                    let (clock, ended) = (Rc::clone(&clock), Rc::clone(&ended));
                    tokio::task::spawn_local(async move {
                        let now = clock.until(begun + span).await;
                        assert!(now >= begun + span);
                        ended.borrow_mut().push(span);
                    })
                })
                .collect();
            for sleeper in sleepers {
                sleeper.await.map_err(|e| e.to_string())?;
            }
            Ok(ended.take())
        });
        assert_eq!(ended.expect("it runs"), [300, 700, 4_000, 4_000, 9_000]);
    }
}
