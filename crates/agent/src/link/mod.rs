//! The link of an instance to its agent: the instance's state machine, driven over two clients. It never delays what the
//! instance serves.

mod handler;

pub use handler::{ApplyFuture, LinkHandler};

use crate::client::{Client, ClientError};
use crate::clock::Clock;
use hyper::Method;
use madderloom_control_plane::change::Traits;
use madderloom_control_plane::protocol::{Outcome, ToAgent, ToInstance};
use madderloom_control_plane::{Action, Event, Instance, Session};
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::rc::Rc;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::AbortHandle;

/// The most requests to the agent that are in flight at once. A message beyond is dropped, since the next report makes up for
/// it.
const MAX_IN_FLIGHT: usize = 3;
/// The most events that wait. Messages of the watch beyond are dropped, since the answer to the next report repeats them.
const EVENT_QUEUE_CAPACITY: usize = 16;

/// Something that came from the agent.
enum LinkEvent {
    /// Messages, in an answer or over the watch.
    Messages(Vec<ToInstance>),
    /// A request has failed, or the watch has ended.
    Lost(ClientError),
}

/// The link of an instance to its agent or its relay.
pub struct Link<H> {
    clock: Clock,
    instance: Instance,
    handler: H,
    reports: Rc<Client>,
    watch: Rc<Client>,
    /// The task of the watch, while the instance is registered.
    watch_task: Option<AbortHandle>,
    /// The order that is being carried out.
    applying: Option<ApplyFuture>,
    /// Follows what the instance says of itself.
    traits: Option<watch::Receiver<Traits>>,
    /// Notified when a report is due at once.
    report_trigger: Option<Rc<Notify>>,
    /// Each request in flight holds a clone.
    in_flight: Rc<()>,
    rng: oorandom::Rand64,
}

impl<H: LinkHandler> Link<H> {
    /// A link over two clients of the same agent: one for registrations and reports, one for the watch. The first time that
    /// `instance` was given must be 0.
    pub fn new(instance: Instance, handler: H, reports: Client, watch: Client, seed: u128) -> Self {
        Link {
            clock: Clock::new(),
            instance,
            handler,
            reports: Rc::new(reports),
            watch: Rc::new(watch),
            watch_task: None,
            applying: None,
            traits: None,
            report_trigger: None,
            in_flight: Rc::default(),
            rng: oorandom::Rand64::new(seed),
        }
    }

    /// Tells the agent what the instance says of itself whenever that changes.
    pub fn with_traits(mut self, traits: watch::Receiver<Traits>) -> Self {
        self.traits = Some(traits);
        self
    }

    /// Reports at once whenever `trigger` is notified.
    pub fn reporting_on(mut self, trigger: Rc<Notify>) -> Self {
        self.report_trigger = Some(trigger);
        self
    }

    /// Keeps the link for as long as it is polled. Must be polled within a [`tokio::task::LocalSet`].
    pub async fn run(mut self) {
        let (sender, mut events) = mpsc::channel::<LinkEvent>(EVENT_QUEUE_CAPACITY);
        loop {
            let due = self.clock.instant_at(self.instance.next());
            tokio::select! {
                () = tokio::time::sleep_until(due) => {
                    let counts = self.handler.request_counts();
                    self.instance.count(counts);
                    self.handle(Event::Timer, &sender);
                }
                event = events.recv() => match event {
                    Some(event) => self.handle_link_event(event, &sender),
                    None => return,
                },
                outcome = applied(&mut self.applying) => {
                    self.applying = None;
                    self.handle(Event::Taken(outcome), &sender);
                }
                traits = changed(&mut self.traits) => match traits {
                    Some(traits) => self.handle(Event::FileChanged(&traits), &sender),
                    None => self.traits = None,
                },
                () = triggered(self.report_trigger.as_deref()) => {
                    self.handle(Event::Report, &sender);
                }
            }
            self.update_watch(&sender);
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent, sender: &mpsc::Sender<LinkEvent>) {
        match event {
            LinkEvent::Messages(messages) => {
                for message in &messages {
                    self.handler.message_received(message);
                    self.handle(Event::Message(message), sender);
                }
            }
            LinkEvent::Lost(error) => {
                tracing::debug!(%error, "request to the agent failed");
                self.handle(Event::Lost, sender);
            }
        }
    }

    /// Has the state machine handle an event, and carries out its actions.
    fn handle(&mut self, event: Event<'_>, sender: &mpsc::Sender<LinkEvent>) {
        let mut actions = Vec::new();
        let (now, jitter) = (self.clock.now(), self.rng.rand_u64());
        self.instance.handle(now, event, jitter, &mut actions);
        for action in actions {
            let is_report_due = match action {
                Action::Keep(memory) => {
                    self.handler.persist(&memory);
                    false
                }
                Action::Take(order) => {
                    self.applying = Some(self.handler.apply(&order.overlay));
                    false
                }
                Action::Send(message) => {
                    self.send(message, sender.clone());
                    false
                }
                Action::Lent(grant) => self.handler.grant_received(&grant),
                Action::Lists(lists) => self.handler.lists_received(&lists),
            };
            if is_report_due {
                self.handle(Event::Report, sender);
            }
        }
    }

    /// Sends a registration or a report. The answer is an event.
    fn send(&mut self, mut message: ToAgent, sender: mpsc::Sender<LinkEvent>) {
        if let ToAgent::Report(report) = &mut message {
            report.asks = self.handler.lease_requests(report.term).map(Box::new);
            report.tells = self.handler.list_reports().map(Box::new);
        }
        // Requests must not pile up at an agent that accepts connections and does not answer.
        if Rc::strong_count(&self.in_flight) > MAX_IN_FLIGHT {
            return;
        }
        self.handler.message_sent(&message);
        let action = match &message {
            ToAgent::Register(_) => "register",
            ToAgent::Report(_) => "report",
        };
        let path = format!("/v1/instances/{}/{action}", message.who().name);
        let body = serde_json::to_vec(&message).unwrap_or_default();
        let in_flight = Rc::clone(&self.in_flight);
        let client = Rc::clone(&self.reports);
        watchdog::spawn(TaskKind::AgentCall, async move {
            let event = match client.request(Method::POST, &path, body).await {
                Ok(messages) => LinkEvent::Messages(messages),
                Err(error) => LinkEvent::Lost(error),
            };
            drop(in_flight);
            // The link may have ended.
            let _ = sender.send(event).await;
        });
    }

    /// Opens the watch while the instance is registered, and closes it otherwise.
    fn update_watch(&mut self, sender: &mpsc::Sender<LinkEvent>) {
        let is_registered = self.instance.session() == Session::In;
        if !is_registered {
            self.close_watch();
            return;
        }
        let is_open = self
            .watch_task
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        if is_open {
            return;
        }
        let who = self.instance.who();
        let path = format!("/v1/instances/{}/orders?start={}", who.name, who.start);
        let (client, sender) = (Rc::clone(&self.watch), sender.clone());
        let task = watchdog::spawn(TaskKind::AgentCall, async move {
            let watched = client.watch(&path, |line| {
                // A line of a later version is skipped, and one for which there is no room is dropped: the answer to the next
                // report repeats it.
                if let Ok(message) = serde_json::from_slice(line) {
                    let _ = sender.try_send(LinkEvent::Messages(vec![message]));
                }
            });
            let Err(error) = watched.await;
            let _ = sender.send(LinkEvent::Lost(error)).await;
        });
        self.watch_task = Some(task.abort_handle());
    }
}

impl<H> Link<H> {
    fn close_watch(&mut self) {
        if let Some(task) = self.watch_task.take() {
            task.abort();
        }
    }
}

impl<H> Drop for Link<H> {
    fn drop(&mut self) {
        self.close_watch();
    }
}

/// Completes with the outcome of the order that is being carried out; never where there is none.
async fn applied(applying: &mut Option<ApplyFuture>) -> Outcome {
    match applying {
        Some(applying) => applying.await,
        None => std::future::pending().await,
    }
}

/// Completes when a report is due at once; never where nothing triggers reports.
async fn triggered(trigger: Option<&Notify>) {
    match trigger {
        Some(trigger) => trigger.notified().await,
        None => std::future::pending().await,
    }
}

/// Completes when what the instance says of itself has changed, with `None` once it cannot change any more. Never completes
/// where it is not followed.
async fn changed(traits: &mut Option<watch::Receiver<Traits>>) -> Option<Traits> {
    match traits {
        Some(traits) => {
            traits.changed().await.ok()?;
            Some(traits.borrow_and_update().clone())
        }
        None => std::future::pending().await,
    }
}
