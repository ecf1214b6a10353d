//! Work taken in turn: tasks that are held back when their account has had its slice of the thread.

use super::process_state::ProcessState;
use madderloom_routing::turns::{AccountId, Spent, Turns};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// What the heaviest account may spend of the thread before others have their turn.
const SLICE: Duration = Duration::from_micros(200);

/// A task that waits for its turn.
struct Waiter {
    waker: RefCell<Waker>,
    released: Cell<bool>,
}

/// The accounts of the thread's time.
pub(super) struct Scheduler {
    turns: RefCell<Turns<Rc<Waiter>>>,
    waiting: Notify,
}

/// An account; closed when it is dropped.
pub(super) struct SchedulerAccount {
    of: Rc<Scheduler>,
    id: AccountId,
}

impl Scheduler {
    pub(super) fn new() -> Rc<Self> {
        let slice = u64::try_from(SLICE.as_nanos()).unwrap_or(u64::MAX);
        Rc::new(Scheduler {
            turns: RefCell::new(Turns::new(slice)),
            waiting: Notify::new(),
        })
    }

    pub(super) fn open_account(self: &Rc<Self>, weight: u32) -> SchedulerAccount {
        SchedulerAccount {
            of: Rc::clone(self),
            id: self.turns.borrow_mut().join(weight),
        }
    }

    /// Begins rounds for as long as anything waits, each behind all that could be done before it.
    pub(super) async fn run(self: Rc<Self>) {
        let mut released = Vec::new();
        loop {
            self.waiting.notified().await;
            while self.turns.borrow().is_waiting() {
                tokio::task::yield_now().await;
                self.turns.borrow_mut().next_round(&mut released);
                for waiter in released.drain(..) {
                    waiter.released.set(true);
                    waiter.waker.borrow().wake_by_ref();
                }
            }
        }
    }
}

impl SchedulerAccount {
    pub(super) fn set_weight(&self, weight: u32) {
        self.of.turns.borrow_mut().change(self.id, weight);
    }

    pub(super) fn usage(&self) -> Spent {
        self.of.turns.borrow().account(self.id)
    }
}

impl Drop for SchedulerAccount {
    fn drop(&mut self) {
        self.of.turns.borrow_mut().leave(self.id);
    }
}

/// The account that a task's work is put down to; none where work is not taken in turn.
pub(super) type ChargedAccount = Cell<Option<Rc<SchedulerAccount>>>;

pub(super) fn charged_account(charged: &ChargedAccount) -> Option<Rc<SchedulerAccount>> {
    let account = charged.take();
    charged.set(account.clone());
    account
}

/// A task whose steps wait for the turn of the account that it is put down to.
pub(super) struct FairTask<F> {
    task: Pin<Box<F>>,
    process: Rc<ProcessState>,
    charged: Rc<ChargedAccount>,
    waiter: Option<Rc<Waiter>>,
}

impl<F: Future> FairTask<F> {
    pub(super) fn new(process: &Rc<ProcessState>, charged: Rc<ChargedAccount>, task: F) -> Self {
        FairTask {
            task: Box::pin(task),
            process: Rc::clone(process),
            charged,
            waiter: None,
        }
    }

    fn step(&mut self, context: &mut Context<'_>) -> Poll<F::Output> {
        let FairTask { task, process, .. } = self;
        process
            .clock
            .with_cached_time(|| task.as_mut().poll(context))
    }
}

impl<F: Future> Future for FairTask<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        let Some(account) = charged_account(&self.charged) else {
            return self.step(context);
        };
        if let Some(waiter) = self.waiter.take_if(|waiter| waiter.released.get()) {
            drop(waiter);
        } else if let Some(waiter) = &self.waiter {
            waiter.waker.borrow_mut().clone_from(context.waker());
            return Poll::Pending;
        } else if !account.of.turns.borrow().may(account.id) {
            let waiter = Rc::new(Waiter {
                waker: RefCell::new(context.waker().clone()),
                released: Cell::new(false),
            });
            if account
                .of
                .turns
                .borrow_mut()
                .wait(account.id, Rc::clone(&waiter))
            {
                account.of.waiting.notify_one();
            }
            self.waiter = Some(waiter);
            return Poll::Pending;
        }
        let began = Instant::now();
        let done = self.step(context);
        // What it turned out to be work for may have shown only now.
        let account = charged_account(&self.charged).unwrap_or(account);
        let nanos = u64::try_from(began.elapsed().as_nanos()).unwrap_or(u64::MAX);
        account.of.turns.borrow_mut().spent(account.id, nanos);
        done
    }
}

#[cfg(test)]
mod tests {
    use super::super::process_state::ResourceTotals;
    use super::*;

    /// Work of so many steps, each of which takes a while and then lets others go.
    async fn work(steps: usize, cost: Duration, done: Rc<Cell<usize>>) {
        for _ in 0..steps {
            let began = Instant::now();
            while began.elapsed() < cost {
                std::hint::spin_loop();
            }
            done.set(done.get() + 1);
            tokio::task::yield_now().await;
        }
    }

    /// Counted in steps, for how long they take depends on what else the machine does.
    #[test]
    fn a_flood_of_tasks_of_one_account_does_not_hold_up_the_tasks_of_another() {
        const FLOOD: usize = 100;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let process = ProcessState::new(ResourceTotals::new(64, 0, 1 << 20, 8, None), true);
            let scheduler = Scheduler::new();
            tokio::task::spawn_local(Rc::clone(&scheduler).run());
            let (loud, quiet) = (
                Rc::new(scheduler.open_account(1)),
                Rc::new(scheduler.open_account(1)),
            );
            let (steps, cost) = (Rc::<Cell<usize>>::default(), Duration::from_micros(50));
            let mut flood = Vec::new();
            for _ in 0..FLOOD {
                let charged = Rc::new(ChargedAccount::new(Some(Rc::clone(&loud))));
                let task =
                    FairTask::new(&process, charged, work(usize::MAX, cost, Rc::clone(&steps)));
                flood.push(tokio::task::spawn_local(task).abort_handle());
            }
            let charged = Rc::new(ChargedAccount::new(Some(Rc::clone(&quiet))));
            let task = FairTask::new(&process, charged, work(100, Duration::ZERO, Rc::default()));
            tokio::task::spawn_local(task).await.expect("it ends");
            // Taken in the order of coming, each of its steps would wait for one of each of the others.
            assert!(
                steps.get() < 100 * FLOOD / 5,
                "{} steps went before 100",
                steps.get()
            );
            assert!(
                loud.usage().waits > 0 && quiet.usage().waits == 0,
                "{:?}",
                quiet.usage()
            );
            flood.iter().for_each(tokio::task::AbortHandle::abort);
        });
    }
}
