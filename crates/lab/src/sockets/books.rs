//! The books of a run on sockets: which requests are open, what the judge and the recorder are told of them, and what
//! the window that lasts has seen so far.
//!
//! The judge hears what can be seen from outside of a sidecar: an attempt is known once its last byte has come to a
//! stand-in, and its outcome is what the stand-in did with it. Attempts that never came whole ran nowhere and are not
//! in the books. What a client learns goes to the judge [`MARGIN`] later, since what a sidecar sent before it
//! answered may be read after the answer; every limit of time is as much longer.

use crate::experiment::{Arm, Experiment};
use crate::judge::{Judge, Verdict};
use crate::model::clients::{Ask, End};
use crate::model::server::Done;
use crate::record::Run;
use crate::recorder::Recorder;
use crate::world::World;
use foldhash::fast::FixedState;
use hdrhistogram::Histogram;
use madderloom_balancer::{Micros, Outcome, RequestId, ServerEntry};
use madderloom_config_reader::Span;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};

/// What clocks and queues between processes may add to any limit of time.
pub const MARGIN: Micros = 50_000;

/// Requests that are open at once at most; with more, the run is void.
const MOST_OPEN: usize = 20_000;

/// An attempt that came whole to a stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Its request.
    pub id: RequestId,
    /// What the client asked for.
    pub ask: Ask,
    number: u32,
    /// Whether the judge keeps a book on it.
    judged: bool,
}

struct Request {
    ask: Ask,
    instance: u32,
    deadline: Micros,
    /// Attempts that are not over.
    out: u32,
    /// The judge has been told of its end.
    over: bool,
    /// The instance was killed with it.
    void: bool,
}

/// What a window has seen.
pub struct Seen {
    /// Worth asked for and earned by what ended in it.
    pub worth: f64,
    /// See `worth`.
    pub earned: f64,
    /// Requests that ended served, refused, and otherwise.
    pub served: u64,
    /// See `served`.
    pub refused: u64,
    /// See `served`.
    pub failed: u64,
    /// Latencies of what was served, in microseconds.
    pub latency: Histogram<u64>,
    /// By server: attempts that came, and answers other than 200.
    pub servers: Vec<(u64, u64)>,
    /// By instance: tries that ended, and those that were not served.
    pub instances: Vec<(u64, u64)>,
}

impl Seen {
    fn new(world: &World) -> Self {
        Seen {
            worth: 0.0,
            earned: 0.0,
            served: 0,
            refused: 0,
            failed: 0,
            #[expect(
                clippy::expect_used,
                reason = "the bounds are constants that the library accepts"
            )]
            latency: Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("constant bounds"),
            servers: vec![(0, 0); world.servers.len()],
            instances: vec![(0, 0); world.instances.len()],
        }
    }
}

/// The books.
pub struct Books {
    classes: Vec<(Micros, f64, f64)>,
    judge: RefCell<Option<Judge>>,
    recorder: RefCell<Option<Recorder>>,
    requests: RefCell<HashMap<RequestId, Request, FixedState>>,
    last: Cell<RequestId>,
    /// Ends of which the judge has not been told.
    ends: RefCell<VecDeque<(Micros, RequestId, End)>>,
    seen: RefCell<Seen>,
    problem: RefCell<Option<String>>,
}

impl Books {
    /// The books of one run.
    pub fn new(experiment: &Experiment, world: &World, arm: &Arm, seed: u64) -> Self {
        let mut lenient = experiment.clone();
        let grace = &mut lenient.instances.allow.drain_grace;
        *grace = Span(grace.micros() + MARGIN);
        for class in &mut lenient.classes {
            class.window = Span(class.window.micros() + MARGIN);
        }
        Books {
            classes: experiment
                .classes
                .iter()
                .map(|c| (c.aim.micros(), c.worth, c.late_worth))
                .collect(),
            judge: RefCell::new(Some(Judge::new(&lenient, world))),
            recorder: RefCell::new(Some(Recorder::new(experiment, world, arm, seed, "sockets"))),
            requests: RefCell::default(),
            last: Cell::new(0),
            ends: RefCell::default(),
            seen: RefCell::new(Seen::new(world)),
            problem: RefCell::default(),
        }
    }

    /// Something went wrong that makes the run void. The first such thing counts.
    pub fn void(&self, why: String) {
        self.problem.borrow_mut().get_or_insert(why);
    }

    /// Why the run is void, if it is.
    pub fn problem(&self) -> Option<String> {
        self.problem.borrow().clone()
    }

    /// The judge, while the run lasts.
    pub fn judge(&self, tell: impl FnOnce(&mut Judge)) {
        if let Some(judge) = self.judge.borrow_mut().as_mut() {
            tell(judge);
        }
    }

    fn recorder(&self, tell: impl FnOnce(&mut Recorder)) {
        if let Some(recorder) = self.recorder.borrow_mut().as_mut() {
            tell(recorder);
        }
    }

    // ---- Clients ----

    /// A client's request is due.
    pub fn asked(&self, ask: &Ask) {
        self.recorder(|recorder| recorder.asked(ask));
    }

    /// A client tries. Gives back the number under which its try is known.
    pub fn tries(&self, now: Micros, ask: &Ask, instance: u32, deadline: Micros) -> RequestId {
        self.tell_of_ends(now);
        let id = self.last.get() + 1;
        self.last.set(id);
        let request = Request {
            ask: *ask,
            instance,
            deadline,
            out: 0,
            over: false,
            void: false,
        };
        let mut requests = self.requests.borrow_mut();
        requests.insert(id, request);
        if requests.len() > MOST_OPEN {
            self.void(format!("over {MOST_OPEN} requests are open"));
        }
        self.judge(|judge| judge.asked(now, id, ask.number, instance, ask.class, deadline));
        id
    }

    /// A client tries, whether it finds an instance or not.
    pub fn tried(&self, ask: &Ask) {
        self.recorder(|recorder| recorder.tried(ask));
    }

    /// A client's try is over.
    pub fn try_ended(&self, now: Micros, id: RequestId, end: End) {
        let instance = self.requests.borrow().get(&id).map(|r| r.instance);
        if let Some(instance) = instance {
            let seen = &mut self.seen.borrow_mut().instances[instance as usize];
            *seen = (seen.0 + 1, seen.1 + u64::from(end != End::Served));
        }
        self.ends.borrow_mut().push_back((now, id, end));
    }

    /// A live instance has let go of a request without an answer, or let its client wait in vain.
    pub fn dropped(&self, now: Micros, id: RequestId) {
        if self
            .requests
            .borrow()
            .get(&id)
            .is_some_and(|r| !r.void && !r.over)
        {
            self.judge(|judge| judge.overdue(now, id));
            self.settle(id, |request| request.over = true);
        }
    }

    /// A client's request is over, with all of its tries.
    pub fn ended(&self, now: Micros, ask: &Ask, end: End) {
        self.recorder(|recorder| recorder.ended(now, ask, end));
        let (aim, worth, late) = self.classes[ask.class as usize];
        let took = now.saturating_sub(ask.due);
        let mut seen = self.seen.borrow_mut();
        seen.worth += worth;
        match end {
            End::Served => {
                seen.earned += if took <= aim { worth } else { worth * late };
                seen.served += 1;
                seen.latency.saturating_record(took.max(1));
            }
            End::Refused(_) => seen.refused += 1,
            _ => seen.failed += 1,
        }
    }

    /// Tells the judge of the ends that are old enough.
    fn tell_of_ends(&self, now: Micros) {
        loop {
            let Some((at, id, end)) = self.ends.borrow().front().copied() else {
                return;
            };
            if at + MARGIN > now {
                return;
            }
            self.ends.borrow_mut().pop_front();
            self.tell_of_end(at, id, end);
        }
    }

    fn tell_of_end(&self, at: Micros, id: RequestId, end: End) {
        let Some((void, over)) = self.requests.borrow().get(&id).map(|r| (r.void, r.over)) else {
            return;
        };
        self.judge(|judge| match end {
            _ if over => judge.told_over(at, id),
            _ if void => judge.void(at, id),
            End::Served => judge.served(at, id),
            End::Refused(_) => judge.refused(at, id),
            End::Failed => judge.failed(at, id),
            End::Left | End::TimedOut => judge.left(at, id),
            End::Unreachable => judge.void(at, id),
        });
        if !void && end != End::Unreachable {
            self.judge(|judge| judge.told_over(at, id));
        }
        self.settle(id, |request| {
            request.over = true;
            request.void |= end == End::Unreachable;
        });
    }

    /// Changes what is known of a request, and forgets it if it is over.
    fn settle(&self, id: RequestId, change: impl FnOnce(&mut Request)) {
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(&id) else {
            return;
        };
        change(request);
        // Its end may still be in the line; what comes after finds it gone and is told nothing.
        if request.over && request.out == 0 {
            requests.remove(&id);
        }
    }

    // ---- Instances ----

    /// An instance was killed: what it had in its hands is void.
    pub fn killed(&self, now: Micros, instance: u32) {
        self.tell_of_ends(Micros::MAX);
        self.judge(|judge| judge.killed(now, instance));
        for request in self
            .requests
            .borrow_mut()
            .values_mut()
            .filter(|r| r.instance == instance)
        {
            request.void = true;
        }
    }

    // ---- Servers ----

    /// The request of this number, if a client has sent one; of one that is over, nothing is known but that.
    pub fn known(&self, id: RequestId) -> bool {
        (1..=self.last.get()).contains(&id)
    }

    /// An attempt has come whole to a server, where it had begun to come at `now`; none where its request was over
    /// long before. `waits` is for how long the sidecar says that it will.
    pub fn arrived(
        &self,
        now: Micros,
        id: RequestId,
        instance: u32,
        server: u32,
        crosses: bool,
        waits: Micros,
    ) -> Option<Attempt> {
        self.tell_of_ends(now);
        self.seen.borrow_mut().servers[server as usize].0 += 1;
        let open = self
            .requests
            .borrow()
            .get(&id)
            .map(|r| (r.ask, r.instance, r.void, r.deadline));
        let Some((ask, of, void, deadline)) = open else {
            self.judge(|judge| _ = judge.sent(now, instance, id, Some(server), now + waits));
            return None;
        };
        if of != instance {
            self.void(format!(
                "request {id} of instance {of} was sent by instance {instance}"
            ));
        }
        self.recorder(|recorder| recorder.sent(now, ask.due, ask.class, crosses));
        let (mut number, judged) = (0, !void);
        if judged {
            let until = (now + waits).min(deadline);
            self.judge(|judge| number = judge.sent(now, instance, id, Some(server), until));
        }
        self.settle(id, |request| request.out += 1);
        Some(Attempt {
            id,
            ask,
            number,
            judged,
        })
    }

    /// An attempt is over, by what the server did with it or by the sidecar's closing of its connection.
    pub fn closed(&self, now: Micros, attempt: &Attempt, server: u32, outcome: Outcome) {
        self.recorder(|recorder| recorder.closed(attempt.ask.due, attempt.ask.class, outcome));
        if !matches!(outcome, Outcome::Ok | Outcome::Cancelled) {
            self.seen.borrow_mut().servers[server as usize].1 += 1;
        }
        let void = self
            .requests
            .borrow()
            .get(&attempt.id)
            .is_none_or(|r| r.void);
        if attempt.judged && !void {
            self.judge(|judge| {
                if outcome == Outcome::Cancelled {
                    judge.cancelled(now, attempt.id, attempt.number);
                }
                judge.closed(now, attempt.id, attempt.number, outcome);
            });
        }
        self.settle(attempt.id, |request| {
            request.out = request.out.saturating_sub(1)
        });
    }

    /// A server ran an attempt, or knew it for a repeat.
    pub fn ran(&self, now: Micros, attempt: &Attempt, again: bool) {
        if attempt.judged {
            self.judge(|judge| judge.ran(now, attempt.id, attempt.number, again));
        }
    }

    /// A server was probed.
    pub fn probed(&self, now: Micros) {
        self.recorder(|recorder| recorder.probed(now));
    }

    /// An instance was told of servers.
    pub fn told(&self, now: Micros, instance: u32, listed: &[ServerEntry], whole: bool) {
        self.judge(|judge| judge.told(now, instance, listed, whole));
    }

    // ---- Windows and the end ----

    /// A window has ended. Gives back what it has seen.
    pub fn end_window(&self, now: Micros, world: &World, done: impl Iterator<Item = Done>) -> Seen {
        self.tell_of_ends(now);
        self.recorder(|recorder| recorder.end_window(done));
        self.seen.replace(Seen::new(world))
    }

    /// Makes the record; none where that was done before.
    pub fn finish(
        &self,
        now: Micros,
        done: impl Iterator<Item = Done>,
        void: Option<String>,
    ) -> Option<Run> {
        self.tell_of_ends(Micros::MAX);
        let mut judge = self.judge.take()?;
        if void.is_some() {
            let mut open: Vec<RequestId> = self.requests.borrow().keys().copied().collect();
            open.sort_unstable();
            open.into_iter().for_each(|id| judge.void(now, id));
        }
        let verdict: Verdict = judge.finish();
        Some(self.recorder.take()?.finish(done, verdict, void))
    }
}
