//! Discovery's stand-in: the list and the watch, at a port for each instance. What it knows when, and how many calls it
//! bears, is decided by [`crate::model::discovery`].

use super::door::{Door, State};
use crate::experiment::Experiment;
use crate::model::discovery::{Discovery, HOP, News};
use crate::sockets::books::Books;
use crate::sockets::clock::Clock;
use crate::sockets::config;
use crate::world::World;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use madderloom_balancer::ServerEntry;
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// As long as nothing changes, an empty line says that discovery is there.
const HEARTBEAT: Duration = Duration::from_secs(2);

type Answer = Response<Reply>;

/// A watch that is open.
struct Watch {
    number: u64,
    lines: UnboundedSender<Bytes>,
}

/// What discovery keeps of an instance.
struct Follower {
    door: RefCell<Rc<Door>>,
    watch: RefCell<Option<Watch>>,
    /// The version that was last told.
    index: Cell<u64>,
}

/// The service.
pub struct Stand {
    model: RefCell<Discovery>,
    experiment: Rc<Experiment>,
    world: Rc<World>,
    clock: Rc<Clock>,
    books: Rc<Books>,
    /// Where an instance finds a server.
    address: Box<dyn Fn(u32, u32) -> SocketAddr>,
    followers: Vec<Follower>,
    watches: Cell<u64>,
}

impl Stand {
    /// One that is up, with a port for each instance.
    ///
    /// # Errors
    /// There is no port.
    pub async fn open(
        model: Discovery,
        experiment: Rc<Experiment>,
        world: Rc<World>,
        clock: Rc<Clock>,
        books: Rc<Books>,
        address: Box<dyn Fn(u32, u32) -> SocketAddr>,
    ) -> Result<Rc<Self>, String> {
        let mut followers = Vec::new();
        for _ in &world.instances {
            let door = Door::open().await.map_err(|e| format!("discovery: {e}"))?;
            followers.push(Follower {
                door: RefCell::new(door),
                watch: RefCell::default(),
                index: Cell::new(1),
            });
        }
        let (model, watches) = (RefCell::new(model), Cell::new(0));
        let own = Stand {
            model,
            experiment,
            world,
            clock,
            books,
            address,
            followers,
            watches,
        };
        let own = Rc::new(own);
        for instance in 0..own.followers.len() as u32 {
            own.accept(instance);
        }
        Ok(own)
    }

    /// Where an instance finds it now.
    pub fn address(&self, instance: u32) -> SocketAddr {
        self.followers[instance as usize].door.borrow().address()
    }

    /// The list that an instance holds from its last life, as its configuration words it.
    pub fn saved(&self, instance: u32) -> serde_json::Value {
        let list = self.model.borrow().saved(instance);
        self.books.told(self.clock.now(), instance, &list, true);
        self.listing(instance, true, &list)
    }

    /// How late a change is known here.
    pub fn notice(&self, silent: bool) -> u64 {
        self.model.borrow().notice(silent)
    }

    /// What is listed of a server.
    pub fn listed(&self, server: u32) -> ServerEntry {
        self.model.borrow().listed(server as usize)
    }

    /// A change is known now: whoever watches is told.
    pub fn change(&self, listed: ServerEntry) {
        self.model.borrow_mut().change(listed);
        let watchers: Vec<u32> = self.model.borrow().watchers().collect();
        watchers
            .into_iter()
            .for_each(|instance| self.tell(instance, News::Changes));
    }

    /// An instance has ended.
    pub fn leave(&self, instance: u32) {
        self.followers[instance as usize].watch.take();
        self.model.borrow_mut().leave(instance);
    }

    /// It goes down: its watches end and calls fail.
    pub fn go_down(&self) {
        let ended = self.model.borrow_mut().go_down();
        self.end_watches(&ended);
    }

    /// It is up again.
    pub fn come_up(&self) {
        self.model.borrow_mut().come_up();
    }

    /// It is found at another address from now on, for each instance, where versions begin anew.
    ///
    /// # Errors
    /// There is no port.
    pub async fn move_on(self: &Rc<Self>) -> Result<(), String> {
        let ended = self.model.borrow_mut().move_on();
        for (instance, follower) in (0..).zip(&self.followers) {
            let door = Door::open().await.map_err(|e| format!("discovery: {e}"))?;
            let former = follower.door.replace(door);
            former
                .become_state(State::Refused)
                .await
                .map_err(|e| format!("discovery: {e}"))?;
            follower.index.set(1);
            self.accept(instance);
        }
        self.end_watches(&ended);
        Ok(())
    }

    fn end_watches(&self, of: &[u32]) {
        for instance in of {
            self.followers[*instance as usize].watch.take();
            self.books
                .judge(|judge| judge.contact(self.clock.now(), *instance, false, true));
        }
    }

    fn accept(self: &Rc<Self>, instance: u32) {
        let (own, door) = (
            Rc::clone(self),
            Rc::clone(&self.followers[instance as usize].door.borrow()),
        );
        tokio::task::spawn_local(async move {
            loop {
                let stream = door.accept().await;
                let own = Rc::clone(&own);
                tokio::task::spawn_local(async move {
                    let service = service_fn(|request| Rc::clone(&own).answer(instance, request));
                    // How a connection ends is its sidecar's affair.
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
    }

    async fn answer(
        self: Rc<Self>,
        instance: u32,
        request: Request<Incoming>,
    ) -> Result<Answer, Infallible> {
        if request.uri().path() != "/v1/endpoints" {
            return Ok(plain(StatusCode::NOT_FOUND));
        }
        let of = |name: &str| {
            let pairs = request
                .uri()
                .query()
                .into_iter()
                .flat_map(|query| query.split('&'));
            let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_string())
        };
        let (watches, after) = (of("watch").is_some_and(|w| w == "1"), of("after"));
        let now = self.clock.now();
        let watched = self.model.borrow().watches(instance);
        self.books
            .judge(|judge| judge.contact(now, instance, watched, false));
        let reply = self.model.borrow_mut().call(now, instance);
        let waits = HOP + reply.at.saturating_sub(now);
        tokio::time::sleep(Duration::from_micros(waits)).await;
        let up = reply.news != News::Failed && self.model.borrow_mut().begin_watch(instance);
        if !up {
            self.books
                .judge(|judge| judge.contact(self.clock.now(), instance, false, true));
            return Ok(plain(StatusCode::SERVICE_UNAVAILABLE));
        }
        let follower = &self.followers[instance as usize];
        if !watches {
            let list = self.news(instance, News::Full);
            return Ok(Response::new(Reply::Whole(Some(list))));
        }
        let (lines, coming) = unbounded_channel();
        let number = self.watches.get() + 1;
        self.watches.set(number);
        // The one that holds it open: the heart beats for as long as it is there.
        let beats = lines.downgrade();
        follower.watch.replace(Some(Watch { number, lines }));
        let holds = after.and_then(|after| after.parse().ok()) == Some(follower.index.get());
        self.tell(instance, if holds { reply.news } else { News::Full });
        self.books
            .judge(|judge| judge.contact(self.clock.now(), instance, true, false));
        tokio::task::spawn_local(async move {
            // Ends with the watch, at either end of it.
            loop {
                tokio::time::sleep(HEARTBEAT).await;
                let sent = beats
                    .upgrade()
                    .map(|lines| lines.send(Bytes::from_static(b"\n")));
                if sent.is_none_or(|sent| sent.is_err()) {
                    return;
                }
            }
        });
        let lines = Lines {
            coming,
            stand: Rc::clone(&self),
            instance,
            number,
        };
        Ok(Response::new(Reply::Lines(lines)))
    }

    /// Tells an instance what it has not been told.
    fn tell(&self, instance: u32, news: News) {
        let open = self.followers[instance as usize]
            .watch
            .borrow()
            .as_ref()
            .map(|w| w.lines.clone());
        if let Some(lines) = open {
            // Its end may just be on its way.
            let _ = lines.send(self.news(instance, news));
        }
    }

    /// What an instance is to be told, as a line; it counts as told.
    fn news(&self, instance: u32, news: News) -> Bytes {
        let (list, whole) = {
            let mut model = self.model.borrow_mut();
            let list = model.news(instance, news);
            let whole = matches!(list, Cow::Owned(_));
            (list.into_owned(), whole)
        };
        self.books.told(self.clock.now(), instance, &list, whole);
        let index = &self.followers[instance as usize].index;
        index.set(index.get() + 1);
        Bytes::from(format!("{}\n", self.listing(instance, whole, &list)))
    }

    fn listing(&self, instance: u32, whole: bool, list: &[ServerEntry]) -> serde_json::Value {
        let index = self.followers[instance as usize].index.get();
        let address = |server| (self.address)(instance, server);
        let unix = |at| self.clock.unix(at);
        config::listing(
            &self.experiment,
            &self.world,
            index,
            whole,
            list,
            address,
            unix,
        )
    }
}

/// The lines of a watch as they come.
struct Lines {
    coming: UnboundedReceiver<Bytes>,
    stand: Rc<Stand>,
    instance: u32,
    number: u64,
}

/// What it answers.
enum Reply {
    Whole(Option<Bytes>),
    Lines(Lines),
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let next = match &mut *self {
            Reply::Whole(whole) => Poll::Ready(whole.take()),
            Reply::Lines(lines) => lines.coming.poll_recv(context),
        };
        next.map(|line| line.map(|line| Ok(Frame::data(line))))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Reply::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Reply::Whole(whole) => {
                SizeHint::with_exact(whole.as_ref().map_or(0, |w| w.len() as u64))
            }
            Reply::Lines(_) => SizeHint::new(),
        }
    }
}

impl Drop for Lines {
    /// The sidecar has ended its watch, unless another has taken its place or discovery has ended it.
    fn drop(&mut self) {
        let mut watch = self.stand.followers[self.instance as usize]
            .watch
            .borrow_mut();
        if watch.as_ref().is_some_and(|w| w.number == self.number) {
            *watch = None;
            let now = self.stand.clock.now();
            self.stand
                .books
                .judge(|judge| judge.contact(now, self.instance, false, false));
        }
    }
}

fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(Reply::Whole(None));
    *answer.status_mut() = status;
    answer
}
