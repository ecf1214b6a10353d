//! An instance's link to its agent: the instance's machine, driven over a client.

use crate::client::Client;
use crate::clock::Clock;
use hyper::{Method, StatusCode};
use madderloom_control_plane::change::Traits;
use madderloom_control_plane::gate::Counts;
use madderloom_control_plane::protocol::{Outcome, ToAgent, ToInstance};
use madderloom_control_plane::settings::Overlay;
use madderloom_control_plane::{Action, Event, Instance, Memory, Session};
use madderloom_endpoint_sharing::{Lists, Tells};
use madderloom_quota_leases::{Grant, LeaseRequests};
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::AbortHandle;

/// Requests to the agent that are under way at once; what comes beyond is dropped, since the next report heals it.
const UNDER_WAY: usize = 3;

/// An order that is being met.
pub type Taking = Pin<Box<dyn Future<Output = Outcome>>>;

/// What an instance's program does for its link. Calls must not block.
pub trait Settings {
    /// Checks all of this, and has all of it in effect beside its own file, or nothing of it. Orders are met one
    /// after the other; one that is dropped before its end must have no effect.
    fn take(&mut self, overlay: &Overlay) -> Taking;
    /// The requests that ended within the last window of ten seconds.
    fn counts(&mut self) -> Counts;
    /// Keeps this for the next start, if it can keep anything.
    fn keep(&mut self, memory: &Memory);
    /// What it says of fleet-wide limits with the report that is made now; `term` is the greatest of an agent that was
    /// heard of. None where it takes part in none.
    fn asks(&mut self, _term: u64) -> Option<LeaseRequests> {
        None
    }
    /// This is lent of fleet-wide limits. Gives whether the agent is to be told at once that it is obeyed.
    fn lent(&mut self, _grant: &Grant) -> bool {
        false
    }
    /// What it says of lists that the fleet shares with the report that is made now. None where it takes part in none.
    fn tells(&mut self) -> Option<Tells> {
        None
    }
    /// This goes to the agent now; for those who count.
    fn sent(&mut self, _message: &ToAgent) {}
    /// This has come from the agent; for those who count.
    fn received(&mut self, _message: &ToInstance) {}
    /// This is what the fleet goes by. Gives whether the agent wants a report at once.
    fn lists(&mut self, _lists: &Lists) -> bool {
        false
    }
}

/// An instance's link.
pub struct Link<S> {
    clock: Clock,
    machine: Instance,
    settings: S,
    reports: Rc<Client>,
    watch: Rc<Client>,
    watching: Option<AbortHandle>,
    taking: Option<Taking>,
    traits: Option<watch::Receiver<Traits>>,
    news: Option<Rc<Notify>>,
    under_way: Rc<()>,
    rng: oorandom::Rand64,
}

/// What has come to a link.
enum Came {
    Messages(Vec<ToInstance>),
    Lost(String),
}

impl<S: Settings> Link<S> {
    /// A link over two clients of the same agent: one for reports, one for the watch. The machine's first time must
    /// be 0.
    pub fn new(machine: Instance, settings: S, reports: Client, watch: Client, seed: u128) -> Self {
        Link {
            clock: Clock::new(),
            machine,
            settings,
            reports: Rc::new(reports),
            watch: Rc::new(watch),
            watching: None,
            taking: None,
            traits: None,
            news: None,
            under_way: Rc::default(),
            rng: oorandom::Rand64::new(seed),
        }
    }

    /// Tells the agent what the instance says of itself whenever that changes.
    pub fn following(mut self, traits: watch::Receiver<Traits>) -> Self {
        self.traits = Some(traits);
        self
    }

    /// Reports at once whenever this is notified.
    pub fn told_by(mut self, news: Rc<Notify>) -> Self {
        self.news = Some(news);
        self
    }

    /// Keeps the link for as long as it is polled, within a [`tokio::task::LocalSet`].
    pub async fn run(mut self) {
        let (sender, mut came) = mpsc::channel::<Came>(16);
        loop {
            let due = self.clock.at(self.machine.next());
            tokio::select! {
                () = tokio::time::sleep_until(due) => {
                    let counts = self.settings.counts();
                    self.machine.count(counts);
                    self.handle(Event::Timer, &sender);
                }
                came = came.recv() => match came {
                    Some(Came::Messages(messages)) => {
                        for message in &messages {
                            self.settings.received(message);
                            self.handle(Event::Message(message), &sender);
                        }
                    }
                    Some(Came::Lost(why)) => {
                        tracing::debug!("agent: {why}");
                        self.handle(Event::Lost, &sender);
                    }
                    None => return,
                },
                outcome = taken(&mut self.taking) => {
                    self.taking = None;
                    self.handle(Event::Taken(outcome), &sender);
                }
                traits = changed(&mut self.traits) => match traits {
                    Some(traits) => self.handle(Event::FileChanged(&traits), &sender),
                    None => self.traits = None,
                },
                () = notified(self.news.as_deref()) => self.handle(Event::Report, &sender),
            }
            self.follow_session(&sender);
        }
    }

    fn handle(&mut self, event: Event<'_>, sender: &mpsc::Sender<Came>) {
        let mut actions = Vec::new();
        self.machine
            .handle(self.clock.now(), event, self.rng.rand_u64(), &mut actions);
        for action in actions {
            match action {
                Action::Keep(memory) => self.settings.keep(&memory),
                Action::Take(order) => self.taking = Some(self.settings.take(&order.overlay)),
                Action::Send(mut message) => {
                    if let ToAgent::Report(report) = &mut message {
                        report.asks = self.settings.asks(report.term).map(Box::new);
                        report.tells = self.settings.tells().map(Box::new);
                    }
                    self.send(message, sender.clone());
                }
                Action::Lent(lent) => {
                    if self.settings.lent(&lent) {
                        self.handle(Event::Report, sender);
                    }
                }
                Action::Lists(lists) => {
                    if self.settings.lists(&lists) {
                        self.handle(Event::Report, sender);
                    }
                }
            }
        }
    }

    fn send(&mut self, message: ToAgent, sender: mpsc::Sender<Came>) {
        // An agent that is there and does not answer must not make them pile up.
        if Rc::strong_count(&self.under_way) > UNDER_WAY {
            return;
        }
        self.settings.sent(&message);
        let under_way = Rc::clone(&self.under_way);
        let client = Rc::clone(&self.reports);
        let what = match &message {
            ToAgent::Register(_) => "register",
            ToAgent::Report(_) => "report",
        };
        let path = format!("/v1/instances/{}/{what}", message.who().name);
        let body = serde_json::to_vec(&message).unwrap_or_default();
        watchdog::spawn(TaskKind::AgentCall, async move {
            let came = match client.ask(Method::POST, &path, body).await {
                Err(why) => Came::Lost(why),
                Ok(answer) if answer.status != StatusCode::OK => {
                    Came::Lost(String::from_utf8_lossy(&answer.body).into_owned())
                }
                Ok(answer) => match serde_json::from_slice(&answer.body) {
                    Ok(messages) => Came::Messages(messages),
                    Err(problem) => Came::Lost(format!("makes no sense: {problem}")),
                },
            };
            drop(under_way);
            let _ = sender.send(came).await;
        });
    }

    /// The watch is open exactly while the instance is known.
    fn follow_session(&mut self, sender: &mpsc::Sender<Came>) {
        let known = self.machine.session() == Session::In;
        if !known && let Some(watching) = self.watching.take() {
            watching.abort();
        }
        if known && self.watching.as_ref().is_none_or(AbortHandle::is_finished) {
            let (client, sender) = (Rc::clone(&self.watch), sender.clone());
            let who = self.machine.who();
            let path = format!("/v1/instances/{}/orders?start={}", who.name, who.start);
            let watching = watchdog::spawn(TaskKind::AgentCall, async move {
                let lines = sender.clone();
                let ended = client.watch(&path, |line| {
                    if let Ok(message) = serde_json::from_slice(line) {
                        // Where there is no room, the next report brings it again.
                        let _ = lines.try_send(Came::Messages(vec![message]));
                    }
                });
                let why = ended.await;
                let _ = sender.send(Came::Lost(why)).await;
            });
            self.watching = Some(watching.abort_handle());
        }
    }
}

/// The outcome of the order that is being met, if there is one.
async fn taken(taking: &mut Option<Taking>) -> Outcome {
    match taking {
        Some(taking) => taking.await,
        None => std::future::pending().await,
    }
}

/// Whoever has news for the agent, if anybody ever has.
async fn notified(news: Option<&Notify>) {
    match news {
        Some(news) => news.notified().await,
        None => std::future::pending().await,
    }
}

/// What the instance says of itself, once that has changed; none if it never will again.
async fn changed(traits: &mut Option<watch::Receiver<Traits>>) -> Option<Traits> {
    match traits {
        Some(traits) => traits
            .changed()
            .await
            .ok()
            .map(|()| traits.borrow_and_update().clone()),
        None => std::future::pending().await,
    }
}

impl<S> Drop for Link<S> {
    fn drop(&mut self) {
        if let Some(watching) = self.watching.take() {
            watching.abort();
        }
    }
}
