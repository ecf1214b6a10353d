//! Fair scheduling of tasks on the one thread: a task is delayed while its account has used up its share of thread time.

use super::clock::thread_cpu_time;
use super::process_state::ProcessState;
use madderloom_routing::turns::{AccountId, Spent, Turns};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;

/// CPU time of the thread per scheduling round of the account with the highest weight; others get proportionally less.
const QUANTUM: Duration = Duration::from_micros(200);

/// A task that waits for a later round.
struct Waiter {
    waker: RefCell<Waker>,
    released: Cell<bool>,
}

/// Shares the thread's CPU time among accounts by weight, see [`madderloom_routing::turns`]. Time in which the thread did not
/// run, because the process was stopped or preempted, is charged to no account.
pub(super) struct Scheduler {
    queue: RefCell<Turns<Rc<Waiter>>>,
    task_waiting: Notify,
}

/// An account; closed when it is dropped.
pub(super) struct SchedulerAccount {
    scheduler: Rc<Scheduler>,
    id: AccountId,
}

impl Scheduler {
    pub(super) fn new() -> Rc<Self> {
        let quantum_nanos = u64::try_from(QUANTUM.as_nanos()).unwrap_or(u64::MAX);
        Rc::new(Scheduler {
            queue: RefCell::new(Turns::new(quantum_nanos)),
            task_waiting: Notify::new(),
        })
    }

    pub(super) fn open_account(self: &Rc<Self>, weight: u32) -> SchedulerAccount {
        SchedulerAccount {
            scheduler: Rc::clone(self),
            id: self.queue.borrow_mut().join(weight),
        }
    }

    /// Whether any task waits for a later round.
    pub(super) fn has_delayed_tasks(&self) -> bool {
        self.queue.borrow().is_waiting()
    }

    /// Starts rounds while any task waits, each after all tasks that are ready to run.
    pub(super) async fn run(self: Rc<Self>) {
        let mut released = Vec::new();
        loop {
            self.task_waiting.notified().await;
            while self.queue.borrow().is_waiting() {
                tokio::task::yield_now().await;
                self.queue.borrow_mut().next_round(&mut released);
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
        self.scheduler.queue.borrow_mut().change(self.id, weight);
    }

    pub(super) fn usage(&self) -> Spent {
        self.scheduler.queue.borrow().account(self.id)
    }
}

impl Drop for SchedulerAccount {
    fn drop(&mut self) {
        self.scheduler.queue.borrow_mut().leave(self.id);
    }
}

/// The account that a task's work is charged to; none if fair scheduling is off.
pub(super) type ChargedAccount = Cell<Option<Rc<SchedulerAccount>>>;

/// The account in the cell, which keeps it.
pub(super) fn charged_account(charged: &ChargedAccount) -> Option<Rc<SchedulerAccount>> {
    let account = charged.take();
    charged.set(account.clone());
    account
}

/// A task that is polled only while the account that it is charged to has thread time left.
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

    fn poll_task(&mut self, context: &mut Context<'_>) -> Poll<F::Output> {
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
            return self.poll_task(context);
        };
        if let Some(waiter) = self.waiter.take_if(|waiter| waiter.released.get()) {
            drop(waiter);
        } else if let Some(waiter) = &self.waiter {
            waiter.waker.borrow_mut().clone_from(context.waker());
            return Poll::Pending;
        } else if !account.scheduler.queue.borrow().may(account.id) {
            let waiter = Rc::new(Waiter {
                waker: RefCell::new(context.waker().clone()),
                released: Cell::new(false),
            });
            if account
                .scheduler
                .queue
                .borrow_mut()
                .wait(account.id, Rc::clone(&waiter))
            {
                account.scheduler.task_waiting.notify_one();
            }
            self.waiter = Some(waiter);
            return Poll::Pending;
        }
        let started_at = thread_cpu_time();
        let result = self.poll_task(context);
        // The poll may have determined another account to charge.
        let account = charged_account(&self.charged).unwrap_or(account);
        let used = thread_cpu_time().saturating_sub(started_at);
        let nanos = u64::try_from(used.as_nanos()).unwrap_or(u64::MAX);
        account
            .scheduler
            .queue
            .borrow_mut()
            .spent(account.id, nanos);
        result
    }
}

#[cfg(test)]
mod tests {
    use super::super::process_state::ResourceTotals;
    use super::*;
    use std::time::Instant;

    /// Runs a test beside a scheduler.
    fn run_scheduled(test: impl AsyncFnOnce(&Rc<ProcessState>, &Rc<Scheduler>)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let process = ProcessState::new(ResourceTotals::new(64, 0, 1 << 20, 8, None), true);
            let scheduler = Scheduler::new();
            tokio::task::spawn_local(Rc::clone(&scheduler).run());
            test(&process, &scheduler).await;
        });
    }

    /// Runs this many steps that each busy-wait for `cost` and then yield.
    async fn work(steps: usize, cost: Duration, done: Rc<Cell<usize>>) {
        for _ in 0..steps {
            let started_at = Instant::now();
            while started_at.elapsed() < cost {
                std::hint::spin_loop();
            }
            done.set(done.get() + 1);
            tokio::task::yield_now().await;
        }
    }

    /// Guards against charging an account for time in which the process was stopped or preempted: its tasks would then wait
    /// for thousands of rounds while their requests time out.
    #[test]
    fn time_in_which_the_thread_does_not_run_is_charged_to_no_account() {
        const STEPS: usize = 5;
        const BLOCKED: Duration = Duration::from_millis(20);
        run_scheduled(async |process, scheduler| {
            let account = Rc::new(scheduler.open_account(1));
            let charged = Rc::new(ChargedAccount::new(Some(Rc::clone(&account))));
            let task = FairTask::new(process, charged, async {
                for _ in 0..STEPS {
                    std::thread::sleep(BLOCKED);
                    tokio::task::yield_now().await;
                }
            });
            tokio::task::spawn_local(task).await.expect("it ends");
            let total_blocked = BLOCKED * STEPS as u32;
            assert!(
                u128::from(account.usage().nanos) < total_blocked.as_nanos() / 10,
                "{:?}",
                account.usage()
            );
        });
    }

    /// Guards against tasks that are polled in order of arrival, which lets one account starve another. Steps are counted
    /// instead of time, since their duration depends on the load of the machine.
    #[test]
    fn many_tasks_of_one_account_do_not_delay_the_tasks_of_another() {
        const TASKS: usize = 100;
        run_scheduled(async |process, scheduler| {
            let (busy, light) = (
                Rc::new(scheduler.open_account(1)),
                Rc::new(scheduler.open_account(1)),
            );
            let (steps, cost) = (Rc::<Cell<usize>>::default(), Duration::from_micros(50));
            let mut busy_tasks = Vec::new();
            for _ in 0..TASKS {
                let charged = Rc::new(ChargedAccount::new(Some(Rc::clone(&busy))));
                let task =
                    FairTask::new(process, charged, work(usize::MAX, cost, Rc::clone(&steps)));
                busy_tasks.push(tokio::task::spawn_local(task).abort_handle());
            }
            let charged = Rc::new(ChargedAccount::new(Some(Rc::clone(&light))));
            let task = FairTask::new(process, charged, work(100, Duration::ZERO, Rc::default()));
            tokio::task::spawn_local(task).await.expect("it ends");
            // In order of arrival each of the 100 steps would wait for one step of each other task.
            assert!(
                steps.get() < 100 * TASKS / 5,
                "{} steps ran before 100",
                steps.get()
            );
            assert!(
                busy.usage().waits > 0 && light.usage().waits == 0,
                "{:?}",
                light.usage()
            );
            busy_tasks.iter().for_each(tokio::task::AbortHandle::abort);
        });
    }
}
