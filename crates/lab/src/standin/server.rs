//! A server's stand-in: HTTP/1.1 on a port for each instance, so that a connection's port tells whose it is and each
//! instance can be cut off by itself. What becomes of a request is decided by [`crate::model::server`].

use super::door::{Door, State};
use super::wire::{Fate, Spoil, Wire};
use crate::model::network::{Network, Passage, Way};
use crate::model::server::{Answer, Done, Job, Output, Server, Tag};
use crate::sockets::books::{Attempt, Books};
use crate::sockets::clock::Clock;
use crate::world::ServerPlace;
use bytes::Bytes;
use foldhash::fast::FixedState;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use madderloom_balancer::{Micros, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot, watch};

/// A request's body holds this much at most.
const BODY: usize = 64 << 10;
/// A sidecar gives an attempt up at the time it named; its close is here this much later at most.
const CLOSING: Micros = 5_000;

/// Attempts that are remembered until they have run.
const KEPT_ATTEMPTS: usize = 4_096;

/// What a server needs of the run that it is in.
pub struct Around {
    /// The run's clock.
    pub clock: Rc<Clock>,
    /// Its books.
    pub books: Rc<Books>,
    /// Its network.
    pub network: Rc<RefCell<Network>>,
    /// The zone of each instance.
    pub zones: Vec<u32>,
    /// For how long servers know a repeat, by class; none where they know none.
    pub once: Vec<Option<Micros>>,
    /// For how long a connection may lie idle.
    pub idle: Micros,
    /// Whether servers tell their load.
    pub reports: bool,
    /// The work of a request that none of the lab's clients sent, such as one by hand; none where there must be
    /// no such request.
    pub strangers: Option<f64>,
}

/// What a model says of one of its connections or requests.
enum Told {
    Connected,
    Refused,
    Answered(Answer),
    TurnedAway,
    Broken,
}

/// What happens to the server as a whole, for the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// It fell over.
    Fell,
    /// It has done all that it held when it was drained.
    Drained,
}

/// A connection as seen from outside of its task.
struct Line {
    fate: Rc<Fate>,
    end: Notify,
    /// The server broke it.
    broken: Cell<bool>,
    /// The model counts it among its connections.
    counts: Cell<bool>,
    epoch: u32,
}

/// One server.
pub struct Stand {
    /// Its place in the world.
    pub at: u32,
    /// Who it is.
    pub place: ServerPlace,
    around: Rc<Around>,
    model: RefCell<Server>,
    /// A port for each instance.
    doors: Vec<Rc<Door>>,
    /// Raised whenever its connections end at once.
    epoch: Cell<u32>,
    waiting: RefCell<HashMap<Tag, oneshot::Sender<Told>, FixedState>>,
    attempts: RefCell<BTreeMap<Tag, Attempt>>,
    lines: RefCell<BTreeMap<Tag, Rc<Line>>>,
    /// Requests that were given up, and when word of it is here.
    given_up: RefCell<BTreeMap<(Micros, Tag), u32>>,
    next: Cell<Tag>,
    woken: Notify,
    news: RefCell<Vec<News>>,
    /// Told whenever there is news for the driver.
    pub told: Rc<Notify>,
}

impl Stand {
    /// A server that is up, with ports that are open.
    ///
    /// # Errors
    /// There is no port.
    pub async fn open(
        at: u32,
        place: ServerPlace,
        model: Server,
        around: Rc<Around>,
        told: Rc<Notify>,
    ) -> Result<Rc<Self>, String> {
        let mut doors = Vec::new();
        for _ in &around.zones {
            doors.push(
                Door::open()
                    .await
                    .map_err(|e| format!("{}: {e}", place.name))?,
            );
        }
        Ok(Rc::new(Stand {
            at,
            place,
            around,
            model: RefCell::new(model),
            doors,
            epoch: Cell::new(0),
            waiting: RefCell::default(),
            attempts: RefCell::default(),
            lines: RefCell::default(),
            given_up: RefCell::default(),
            next: Cell::new(0),
            woken: Notify::new(),
            news: RefCell::default(),
            told,
        }))
    }

    /// Where an instance finds it.
    pub fn address(&self, instance: u32) -> std::net::SocketAddr {
        self.doors[instance as usize].address()
    }

    /// Takes connections and keeps its time. Returns at once; the tasks last as long as the run.
    pub fn start(self: &Rc<Self>) {
        for (instance, door) in (0..).zip(&self.doors) {
            let (own, door) = (Rc::clone(self), Rc::clone(door));
            tokio::task::spawn_local(async move {
                loop {
                    let stream = door.accept().await;
                    tokio::task::spawn_local(Rc::clone(&own).serve(instance, stream));
                }
            });
        }
        let own = Rc::clone(self);
        tokio::task::spawn_local(async move { own.keep_time().await });
    }

    /// What it is like now.
    pub fn look<T>(&self, at: impl FnOnce(&Server) -> T) -> T {
        at(&self.model.borrow())
    }

    /// What it has done up to now.
    pub fn done(&self) -> Done {
        self.model.borrow().done(self.around.clock.now())
    }

    /// What has happened to it since the last call.
    pub fn take_news(&self) -> Vec<News> {
        self.news.take()
    }

    /// Does something with the model, and tells whoever waits for what comes of it.
    pub fn with<T>(&self, act: impl FnOnce(&mut Server, Micros, &mut Vec<Output>) -> T) -> T {
        let mut out = Vec::new();
        let done = act(
            &mut self.model.borrow_mut(),
            self.around.clock.now(),
            &mut out,
        );
        for output in out {
            self.heed(output);
        }
        // Its next time may have come nearer.
        self.woken.notify_one();
        done
    }

    fn heed(&self, output: Output) {
        let now = self.around.clock.now();
        match output {
            Output::Connected(tag) => {
                match self.lines.borrow().get(&tag) {
                    Some(line) => line.counts.set(true),
                    // The other side has gone meanwhile.
                    None => self.model.borrow_mut().disconnect(),
                }
                self.tell(tag, Told::Connected);
            }
            Output::Refused(tag) => self.tell(tag, Told::Refused),
            Output::Answered(tag, answer) => self.tell(tag, Told::Answered(answer)),
            Output::TurnedAway(tag) => self.tell(tag, Told::TurnedAway),
            Output::Broken(tag) => self.tell(tag, Told::Broken),
            Output::Ran { tag, repeated } => {
                if let Some(attempt) = self.attempts.borrow_mut().remove(&tag) {
                    self.around.books.ran(now, &attempt, repeated);
                }
            }
            Output::Fell => self.announce(News::Fell),
            Output::Drained => self.announce(News::Drained),
        }
    }

    fn tell(&self, tag: Tag, what: Told) {
        self.attempts.borrow_mut().remove(&tag);
        if let Some(waits) = self.waiting.borrow_mut().remove(&tag) {
            // Its sidecar may have given up just now.
            let _ = waits.send(what);
        }
    }

    fn announce(&self, news: News) {
        self.news.borrow_mut().push(news);
        self.told.notify_one();
    }

    async fn keep_time(&self) {
        loop {
            let given_up = self.given_up.borrow().keys().next().map(|(at, _)| *at);
            let wakes = self.model.borrow().wake_at();
            match given_up.into_iter().chain(wakes).min() {
                Some(at) => tokio::select! {
                    _ = self.around.clock.until(at) => {}
                    () = self.woken.notified() => continue,
                },
                None => {
                    self.woken.notified().await;
                    continue;
                }
            }
            let now = self.around.clock.now();
            while let Some(tag) = self.take_given_up(now) {
                self.with(|model, now, out| model.abandon(now, tag, out));
            }
            self.with(|model, now, out| model.wake(now, out));
        }
    }

    fn take_given_up(&self, now: Micros) -> Option<Tag> {
        let mut given_up = self.given_up.borrow_mut();
        while let Some(first) = given_up.first_entry().filter(|e| e.key().0 <= now) {
            let ((_, tag), epoch) = first.remove_entry();
            if epoch == self.epoch.get() {
                return Some(tag);
            }
        }
        None
    }

    // ---- What befalls it ----

    /// Its process dies, or its machine vanishes (`silent`). What it held is over.
    pub async fn stop(self: &Rc<Self>, silent: bool) {
        self.with(|model, now, out| model.stop(now, silent, out));
        self.went_down(silent).await;
    }

    /// The model is down: its connections break, or, `silent`, say nothing more.
    pub async fn went_down(self: &Rc<Self>, silent: bool) {
        self.epoch.set(self.epoch.get() + 1);
        self.waiting.borrow_mut().clear();
        self.attempts.borrow_mut().clear();
        if !silent {
            self.break_lines();
        }
        self.see_to_doors().await;
    }

    /// It comes up, cold. Connections from before are not known any more.
    pub async fn come_up(self: &Rc<Self>) {
        self.with(|model, now, out| model.start(now, out));
        self.see_to_doors().await;
        self.break_lines();
    }

    fn break_lines(&self) {
        for line in self
            .lines
            .borrow()
            .values()
            .filter(|line| line.epoch != self.epoch.get())
        {
            line.broken.set(true);
            line.fate.reset();
            line.end.notify_one();
        }
    }

    /// Opens and closes its ports as its machine and the network are now.
    pub async fn see_to_doors(&self) {
        for (door, zone) in self.doors.iter().zip(&self.around.zones) {
            let (up, silent) = self.look(|model| (model.is_up(), model.is_silent()));
            let reached = {
                let network = self.around.network.borrow();
                network.reaches(*zone, self.place.zone, Way::There)
                    && network.reaches(*zone, self.place.zone, Way::Back)
            };
            let state = match () {
                () if silent || !reached => State::Silent,
                () if up => State::Open,
                () => State::Refused,
            };
            if let Err(problem) = door.become_state(state).await {
                self.around
                    .books
                    .void(format!("{}: its port: {problem}", self.place.name));
            }
        }
    }

    // ---- Connections ----

    fn new_tag(&self) -> Tag {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// Waits as long as a message takes this way; for ever if it is lost.
    async fn travel(&self, instance: u32, way: Way) {
        let here = self.around.zones[instance as usize];
        let latency = self
            .around
            .network
            .borrow_mut()
            .latency(here, self.place.zone, way);
        match latency {
            Some(latency) => self.around.clock.sleep(latency).await,
            None => pending().await,
        }
    }

    async fn serve(self: Rc<Self>, instance: u32, stream: TcpStream) {
        let tag = self.new_tag();
        let line = Rc::new(Line {
            fate: Rc::default(),
            end: Notify::new(),
            broken: Cell::new(false),
            counts: Cell::new(false),
            epoch: self.epoch.get(),
        });
        self.lines.borrow_mut().insert(tag, Rc::clone(&line));
        let _entry = Entry { stand: &self, tag };
        // Whether it stands: none while its handshake lasts.
        let (stands, standing) = watch::channel(None);
        let handshake = async {
            self.travel(instance, Way::There).await;
            let (send, told) = oneshot::channel();
            self.waiting.borrow_mut().insert(tag, send);
            self.with(|model, now, out| model.connect(now, tag, out));
            let up = match told.await {
                Ok(Told::Connected) => true,
                Ok(_) => false,
                Err(_) => pending().await,
            };
            self.travel(instance, Way::Back).await;
            // Nobody may wait for it.
            let _ = stands.send(Some(up));
            pending::<()>().await;
        };
        let service = service_fn(|request| {
            let (own, line, standing) = (Rc::clone(&self), Rc::clone(&line), standing.clone());
            async move { own.answer(instance, &line, standing, request).await }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_micros(self.around.idle));
        let connection =
            builder.serve_connection(Wire::new(stream, Rc::clone(&line.fate)), service);
        tokio::select! {
            // How a connection ends is told to whoever was on it.
            _ = connection => {}
            () = handshake => {}
            () = line.end.notified() => {}
        }
    }

    async fn answer(
        self: Rc<Self>,
        instance: u32,
        line: &Rc<Line>,
        mut standing: watch::Receiver<Option<bool>>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Break> {
        let begun = self.around.clock.now();
        if request.method() == Method::GET
            && matches!(request.uri().path(), "/status/load" | "/health")
        {
            return self
                .probe(instance, standing, request.uri().path() == "/health")
                .await;
        }
        let (head, body) = request.into_parts();
        let Some(text) = head.headers.get(TRACE_ID) else {
            return Ok(plain(StatusCode::NOT_FOUND, ""));
        };
        let Some(id) = read_trace_id(text).filter(|id| self.around.books.known(*id)) else {
            if let Some(work) = self.around.strangers {
                return self.serve_stranger(instance, work).await;
            }
            self.around.books.void(format!(
                "{} got a request that no client sent: {text:?}",
                self.place.name
            ));
            return Ok(plain(StatusCode::BAD_REQUEST, ""));
        };
        let passage = self.around.network.borrow_mut().passage(self.at);
        if passage == Passage::BreaksBefore {
            line.fate.reset();
            return Err(Break);
        }
        let body = Limited::new(body, BODY)
            .collect()
            .await
            .map_err(|_| Break)?
            .to_bytes();
        if let Some(problem) = changed_on_the_way(id, &head.method, head.uri.query(), &body) {
            self.around
                .books
                .void(format!("{}: request {id:016x}: {problem}", self.place.name));
        }
        let waits = expires(&head.headers).unwrap_or(0);
        let zone = self.around.zones[instance as usize];
        let crosses = zone != self.place.zone;
        let attempt = self
            .around
            .books
            .arrived(begun, id, instance, self.at, crosses, waits);
        let Some(attempt) = attempt else {
            return Ok(never_ran());
        };
        let tag = self.new_tag();
        let gives_up_at = begun + waits;
        let stand = Rc::clone(&self);
        let mut out = Out {
            stand,
            line: Rc::clone(line),
            instance,
            attempt,
            tag,
            gives_up_at,
            told: false,
        };

        // The first request waits for the handshake.
        let stands = standing
            .wait_for(Option::is_some)
            .await
            .is_ok_and(|up| *up == Some(true));
        if !stands {
            // Too many connections.
            out.close(Outcome::Full);
            return Ok(never_ran());
        }
        self.travel(instance, Way::There).await;
        if line.epoch != self.epoch.get() {
            // The machine knows nothing of this connection any more, or is not there to say so.
            if self.look(Server::is_silent) {
                pending::<()>().await;
            }
            line.fate.reset();
            out.close(Outcome::Reset);
            return Err(Break);
        }
        let told = self.hand_in(instance, zone, tag, &attempt);
        if passage == Passage::BreaksAfter {
            self.travel(instance, Way::Back).await;
            line.broken.set(true);
            line.fate.reset();
            return Err(Break);
        }
        // What the model swallowed is never answered.
        let Ok(told) = told.await else {
            pending().await
        };
        self.travel(instance, Way::Back).await;
        match told {
            Told::Answered(Answer::Ok) => {
                out.close(Outcome::Ok);
                Ok(served(id, &self.place.name))
            }
            Told::Answered(Answer::Error) => {
                out.close(Outcome::Error);
                Ok(plain(StatusCode::INTERNAL_SERVER_ERROR, "failed"))
            }
            Told::Answered(Answer::Spoilt) => {
                out.close(Outcome::Reset);
                line.fate.spoil(if tag.is_multiple_of(2) {
                    Spoil::Garbled
                } else {
                    Spoil::CutShort
                });
                Ok(served(id, &self.place.name))
            }
            Told::TurnedAway => {
                out.close(Outcome::Full);
                Ok(never_ran())
            }
            Told::Connected | Told::Refused | Told::Broken => {
                line.fate.reset();
                out.close(Outcome::Reset);
                Err(Break)
            }
        }
    }

    /// Hands a request to the model, and gives back where its answer will be told.
    fn hand_in(
        &self,
        instance: u32,
        zone: u32,
        tag: Tag,
        attempt: &Attempt,
    ) -> oneshot::Receiver<Told> {
        let ask = attempt.ask;
        let once = self.around.once[ask.class as usize].map(|window| (ask.number, window));
        let job = Job {
            tag,
            class: ask.class,
            zone,
            work: ask.work,
            key: ask.key,
            once,
        };
        let (send, told) = oneshot::channel();
        self.waiting.borrow_mut().insert(tag, send);
        let mut attempts = self.attempts.borrow_mut();
        attempts.insert(tag, *attempt);
        // Those that were given up and never run stay behind.
        if attempts.len() > KEPT_ATTEMPTS {
            attempts.pop_first();
        }
        drop(attempts);
        if self.look(|model| model.cold_since().is_some()) {
            let now = self.around.clock.now();
            self.around
                .books
                .judge(|judge| judge.reached_cold(now, self.at, instance, ask.work));
        }
        self.with(|model, now, out| model.request(now, job, out));
        told
    }

    /// Serves a request of which the books know nothing.
    async fn serve_stranger(
        &self,
        instance: u32,
        work: f64,
    ) -> Result<Response<Full<Bytes>>, Break> {
        self.travel(instance, Way::There).await;
        let tag = self.new_tag();
        let zone = self.around.zones[instance as usize];
        let (send, told) = oneshot::channel();
        self.waiting.borrow_mut().insert(tag, send);
        let job = Job {
            tag,
            class: 0,
            zone,
            work,
            key: None,
            once: None,
        };
        self.with(|model, now, out| model.request(now, job, out));
        let Ok(told) = told.await else {
            pending().await
        };
        self.travel(instance, Way::Back).await;
        match told {
            Told::Answered(Answer::Ok) => Ok(Response::new(Full::from(format!(
                "served by {}\n",
                self.place.name
            )))),
            Told::TurnedAway => Ok(never_ran()),
            Told::Answered(_) => Ok(plain(StatusCode::INTERNAL_SERVER_ERROR, "failed")),
            Told::Connected | Told::Refused | Told::Broken => Err(Break),
        }
    }

    async fn probe(
        &self,
        instance: u32,
        mut standing: watch::Receiver<Option<bool>>,
        health: bool,
    ) -> Result<Response<Full<Bytes>>, Break> {
        if !self.around.reports {
            return Ok(plain(StatusCode::NOT_FOUND, ""));
        }
        self.around.books.probed(self.around.clock.now());
        if !standing
            .wait_for(Option::is_some)
            .await
            .is_ok_and(|up| *up == Some(true))
        {
            return Ok(plain(StatusCode::SERVICE_UNAVAILABLE, ""));
        }
        self.travel(instance, Way::There).await;
        let Some(report) = self.with(|model, now, out| model.probe(now, out)) else {
            pending().await
        };
        self.travel(instance, Way::Back).await;
        let text = format!(
            "TEXT inflight={:.3}, eps={:.3}",
            report.in_flight, report.errors_per_second
        );
        let mut answer = Response::new(Full::from(if health { String::new() } else { text }));
        answer
            .headers_mut()
            .insert("content-type", HeaderValue::from_static("text/plain"));
        Ok(answer)
    }
}

/// A connection's place among those of its server.
struct Entry<'a> {
    stand: &'a Stand,
    tag: Tag,
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.stand.waiting.borrow_mut().remove(&self.tag);
        let line = self.stand.lines.borrow_mut().remove(&self.tag);
        if line.is_some_and(|line| line.counts.get() && line.epoch == self.stand.epoch.get()) {
            self.stand.model.borrow_mut().disconnect();
        }
    }
}

/// An attempt that owes the books its outcome: told once, at its end or when the connection under it ends.
struct Out {
    stand: Rc<Stand>,
    line: Rc<Line>,
    instance: u32,
    attempt: Attempt,
    tag: Tag,
    gives_up_at: Micros,
    told: bool,
}

impl Out {
    fn close(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.told, true) {
            let now = self.stand.around.clock.now();
            self.stand
                .around
                .books
                .closed(now, &self.attempt, self.stand.at, outcome);
        }
    }
}

impl Drop for Out {
    fn drop(&mut self) {
        let stand = Rc::clone(&self.stand);
        stand.waiting.borrow_mut().remove(&self.tag);
        if self.told {
            return;
        }
        let now = stand.around.clock.now();
        self.close(match () {
            () if self.line.broken.get() => Outcome::Reset,
            () if now + CLOSING >= self.gives_up_at => Outcome::Timeout,
            () => Outcome::Cancelled,
        });
        // Word of it travels.
        let here = stand.around.zones[self.instance as usize];
        let latency = stand
            .around
            .network
            .borrow_mut()
            .latency(here, stand.place.zone, Way::There);
        if let Some(latency) = latency.filter(|_| self.line.epoch == stand.epoch.get()) {
            stand
                .given_up
                .borrow_mut()
                .insert((now + latency, self.tag), self.line.epoch);
            stand.woken.notify_one();
        }
    }
}

/// Ends a connection under a request.
#[derive(Debug)]
struct Break;

impl std::fmt::Display for Break {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection breaks")
    }
}

impl std::error::Error for Break {}

const TRACE_ID: &str = "x-trace-id";

/// How the lab's clients number their requests.
pub fn trace_id(id: u64) -> String {
    format!("lab-{id:016x}")
}

fn read_trace_id(text: &HeaderValue) -> Option<u64> {
    u64::from_str_radix(text.to_str().ok()?.strip_prefix("lab-")?, 16).ok()
}

fn expires(headers: &HeaderMap) -> Option<Micros> {
    let ms: u64 = headers
        .get("x-expires-in-ms")?
        .to_str()
        .ok()?
        .parse()
        .ok()?;
    Some(ms.saturating_mul(1_000))
}

/// What a client sends, and a sidecar passes on as it is.
pub fn path(class: &str, id: u64) -> String {
    format!("/{class}?request={id:016x}")
}

/// The body of a request that has one.
pub fn body(id: u64) -> String {
    format!("paper of request {id:016x}\n")
}

/// The body of an answer to a request.
pub fn answer_begins(id: u64) -> String {
    format!("request {id:016x} served by ")
}

fn changed_on_the_way(
    id: u64,
    method: &Method,
    query: Option<&str>,
    got: &Bytes,
) -> Option<String> {
    let wanted = if method == Method::GET {
        String::new()
    } else {
        body(id)
    };
    if got != wanted.as_bytes() {
        return Some(format!(
            "its body of {} bytes came as {} others",
            wanted.len(),
            got.len()
        ));
    }
    (query != Some(&format!("request={id:016x}")))
        .then(|| "its path was changed on the way".to_string())
}

fn served(id: u64, name: &str) -> Response<Full<Bytes>> {
    Response::new(Full::from(format!("{}{name}\n", answer_begins(id))))
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::from(text));
    *answer.status_mut() = status;
    answer
}

fn never_ran() -> Response<Full<Bytes>> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "turned away");
    answer
        .headers_mut()
        .insert("x-never-ran", HeaderValue::from_static("1"));
    answer
}
