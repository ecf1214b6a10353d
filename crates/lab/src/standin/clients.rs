//! Clients: each beside an instance, with connections that they keep, more where every one is busy. What they ask for
//! and when they come again is decided by [`crate::model::clients`].

use super::server::{answer_begins, body, path, trace_id};
use crate::experiment::{Effect, Experiment};
use crate::model::clients::{Ask, Clients, End, Next};
use crate::sockets::books::{Books, MARGIN};
use crate::sockets::clock::Clock;
use crate::world::GRACE;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, CONTENT_LENGTH, COOKIE, HOST, HeaderMap, RETRY_AFTER};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use madderloom_balancer::{Micros, RequestId};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// A connection that lay idle for longer is not used again: the sidecar closes those that do so for 2 s, and what
/// crosses such a close would have to be sent twice.
const IDLE: Duration = Duration::from_secs(1);

/// An answer holds this much at most.
const ANSWER: usize = 64 << 10;

type Sender = SendRequest<Full<Bytes>>;

/// An instance as its clients see it.
#[derive(Default)]
pub struct Instance {
    /// Where it is; none while it is down.
    address: Cell<Option<SocketAddr>>,
    idle: RefCell<Vec<(Instant, Connection)>>,
}

/// A connection in the hands of one request. Dropped, it is closed.
struct Connection {
    sender: Sender,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Whether an instance has ended.
type HasEnded = Box<dyn Fn(u32) -> bool>;

/// All clients.
pub struct Crowd {
    model: RefCell<Clients>,
    experiment: Rc<Experiment>,
    clock: Rc<Clock>,
    books: Rc<Books>,
    instances: Vec<Instance>,
    /// Requests that are not over, with all of their tries.
    open: Cell<usize>,
    /// No more arrive.
    arrived: Cell<bool>,
    stopping: Cell<bool>,
    /// Told whenever one is over.
    over: Notify,
    /// Asked whether an instance has ended, when a connection to it breaks.
    pub ended: RefCell<Option<HasEnded>>,
}

/// How an exchange with an instance ended.
enum Exchange {
    Answered(End),
    /// It let go of the connection under the request.
    Broke,
    /// It was not reached.
    Unreached,
}

impl Crowd {
    /// The clients of an experiment; no instance is up yet.
    pub fn new(
        model: Clients,
        experiment: Rc<Experiment>,
        clock: Rc<Clock>,
        books: Rc<Books>,
    ) -> Rc<Self> {
        let count = experiment.instances.count;
        Rc::new(Crowd {
            model: RefCell::new(model),
            experiment,
            clock,
            books,
            instances: (0..count).map(|_| Instance::default()).collect(),
            open: Cell::new(0),
            arrived: Cell::new(false),
            stopping: Cell::new(false),
            over: Notify::new(),
            ended: RefCell::default(),
        })
    }

    /// An instance is up at this address, or, with none, down.
    pub fn instance_is(&self, at: u32, address: Option<SocketAddr>) {
        let instance = &self.instances[at as usize];
        instance.address.set(address);
        instance.idle.borrow_mut().clear();
    }

    /// Where an instance is; none while it is down.
    pub fn address(&self, at: u32) -> Option<SocketAddr> {
        self.instances.get(at as usize)?.address.get()
    }

    /// Waits until an instance says that it is ready.
    ///
    /// # Errors
    /// It does not within `patience`.
    pub async fn until_ready(address: SocketAddr, patience: Duration) -> Result<(), String> {
        let asks = async {
            loop {
                if is_ready(address).await == Some(true) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(patience, asks)
            .await
            .map_err(|_| format!("{address} is not ready"))
    }

    /// Plays all arrivals, and ends once the last request is over.
    pub async fn play(self: &Rc<Self>) {
        let begun = self.model.borrow_mut().begin();
        begun.into_iter().for_each(|ask| self.spawn(ask));
        loop {
            let Some(ask) = self.model.borrow_mut().arrive() else {
                break;
            };
            self.clock.until(ask.due).await;
            if self.stopping.get() {
                break;
            }
            self.spawn(ask);
        }
        self.arrived.set(true);
        while self.open.get() > 0 {
            self.over.notified().await;
        }
    }

    /// No more are to come.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Waits until the last request that has come is over.
    pub async fn until_idle(&self) {
        while self.open.get() > 0 {
            self.over.notified().await;
        }
    }

    fn spawn(self: &Rc<Self>, ask: Ask) {
        self.open.set(self.open.get() + 1);
        let own = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let mut ask = ask;
            loop {
                if own.clock.until(ask.due).await < ask.due {
                    break;
                }
                let end = own.ask(&ask).await;
                let now = own.clock.now();
                own.books.ended(now, &ask, end);
                let next = own.model.borrow_mut().follow(now, end == End::Served);
                match next.filter(|_| !own.stopping.get()) {
                    Some(next) => ask = next,
                    None => break,
                }
            }
            own.open.set(own.open.get() - 1);
            own.over.notify_waiters();
        });
    }

    /// One client's request with all of its tries.
    async fn ask(&self, ask: &Ask) -> End {
        self.books.asked(ask);
        let first = self.clock.now();
        let mut tries = 0;
        loop {
            tries += 1;
            self.books.tried(ask);
            let end = self.one_try(ask, tries).await;
            let now = self.clock.now();
            let next = self.model.borrow().after(ask, now, end, tries, first);
            match next {
                Next::TryAgain(at) if !self.stopping.get() => {
                    self.clock.until(at).await;
                }
                _ => return end,
            }
        }
    }

    async fn one_try(&self, ask: &Ask, tries: u32) -> End {
        let now = self.clock.now();
        // Clients of an instance that is down are sent to the next one.
        let count = self.instances.len() as u32;
        let places = (0..count).map(|step| (ask.instance + step) % count);
        let mut up = places.filter_map(|at| Some((at, self.instances[at as usize].address.get()?)));
        let Some((at, address)) = up.next() else {
            return End::Unreachable;
        };
        let waits = self.model.borrow().time_left(ask, now);
        let id = self.books.tries(now, ask, at, now + waits);
        let leaves = ask.leaves.unwrap_or(Micros::MAX);
        let end = tokio::select! {
            biased;
            exchange = self.exchange(at, address, id, ask, waits, tries) => match exchange {
                Exchange::Answered(end) => end,
                Exchange::Unreached => End::Unreachable,
                Exchange::Broke => {
                    // The news of its end may be a little behind that of its connections'.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    let ended = self.ended.borrow().as_ref().is_some_and(|ended| ended(at));
                    if !ended && self.instances[at as usize].address.get() == Some(address) {
                        self.books.dropped(self.clock.now(), id);
                    }
                    End::Unreachable
                }
            },
            _ = self.clock.until(leaves) => End::Left,
            _ = self.clock.until(now + waits + GRACE + MARGIN) => {
                self.books.dropped(self.clock.now(), id);
                End::TimedOut
            }
        };
        self.books.try_ended(self.clock.now(), id, end);
        end
    }

    async fn exchange(
        &self,
        at: u32,
        address: SocketAddr,
        id: RequestId,
        ask: &Ask,
        waits: Micros,
        tries: u32,
    ) -> Exchange {
        let mut request = self.request(id, ask, waits, tries);
        let instance = &self.instances[at as usize];
        loop {
            let idle = instance
                .idle
                .borrow_mut()
                .pop()
                .filter(|(since, _)| since.elapsed() < IDLE);
            let used = idle.is_some();
            let mut connection = match idle {
                Some((_, connection)) => connection,
                None => match connect(address).await {
                    Some(connection) => connection,
                    None => return Exchange::Unreached,
                },
            };
            if connection.sender.ready().await.is_err() {
                if used {
                    continue;
                }
                return Exchange::Unreached;
            }
            let (head, body) = match connection.sender.try_send_request(request).await {
                Ok(answer) => answer.into_parts(),
                Err(mut failed) => match failed.take_message().filter(|_| used) {
                    Some(unsent) => {
                        request = unsent;
                        continue;
                    }
                    None => return Exchange::Broke,
                },
            };
            let Ok(body) = Limited::new(body, ANSWER).collect().await else {
                return Exchange::Broke;
            };
            let closes = head.headers.get(CONNECTION).is_some_and(|v| v == "close");
            if !closes && instance.address.get() == Some(address) {
                instance
                    .idle
                    .borrow_mut()
                    .push((Instant::now(), connection));
            }
            return Exchange::Answered(self.judge(
                id,
                head.status,
                &head.headers,
                &body.to_bytes(),
            ));
        }
    }

    fn judge(&self, id: RequestId, status: StatusCode, headers: &HeaderMap, body: &[u8]) -> End {
        match status {
            StatusCode::OK if !body.starts_with(answer_begins(id).as_bytes()) => {
                self.books.void(format!(
                    "request {id} was served with what no server made of it"
                ));
                End::Failed
            }
            StatusCode::OK => End::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => End::Refused(
                headers
                    .get(RETRY_AFTER)
                    .and_then(|v| stay_away(v.to_str().ok()?)),
            ),
            _ => End::Failed,
        }
    }

    fn request(&self, id: RequestId, ask: &Ask, waits: Micros, tries: u32) -> Request<Full<Bytes>> {
        let class = &self.experiment.classes[ask.class as usize];
        let get = class.effect == Effect::Safe;
        let body = if get { String::new() } else { body(id) };
        let mut request = Request::builder()
            .method(if get { Method::GET } else { Method::POST })
            .uri(path(&class.name, id))
            .header(HOST, "service.internal")
            .header("x-trace-id", trace_id(id))
            .header("x-expires-in-ms", waits / 1_000);
        if let Some(key) = ask.key {
            request = request.header(COOKIE, format!("key={key:x}"));
        }
        if class.effect == Effect::Keyed {
            // The same over all tries: by it servers know a repeat.
            request = request.header("idempotency-key", format!("ask-{}", ask.number));
        }
        if let Some(hint) = ask.hint {
            request = request.header("x-size-hint", hint);
        }
        if tries > 1 && self.model.borrow().marks_retry() {
            request = request.header("x-second-try", "1");
        }
        if !get {
            request = request.header(CONTENT_LENGTH, body.len());
        }
        #[expect(
            clippy::expect_used,
            reason = "names and values are numbers, or were checked with the experiment"
        )]
        request
            .body(Full::from(body))
            .expect("a request that makes sense")
    }
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    // Only a delay is lost where this cannot be set.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::task::spawn_local(async move {
        // How it ended is told to the request that used it.
        let _ = connection.await;
    });
    Some(Connection {
        sender,
        task: task.abort_handle(),
    })
}

async fn is_ready(address: SocketAddr) -> Option<bool> {
    let mut connection = connect(address).await?;
    let request = Request::get("/ready")
        .header(HOST, "service.internal")
        .body(Full::default())
        .ok()?;
    Some(connection.sender.send_request(request).await.ok()?.status() == StatusCode::OK)
}

/// Reads `Retry-After`: seconds, whole or decimal, of which a day is believed.
fn stay_away(text: &str) -> Option<Micros> {
    let seconds: f64 = text.trim().parse().ok()?;
    (seconds >= 0.0).then(|| (seconds.min(86_400.0) * 1e6) as Micros)
}

#[cfg(test)]
mod tests {
    use super::stay_away;

    #[test]
    fn retry_after_is_read_whole_and_decimal_and_nonsense_is_no_advice() {
        let cases = [
            ("2", Some(2_000_000)),
            (" 0.25 ", Some(250_000)),
            ("-1", None),
            ("soon", None),
        ];
        for (text, wanted) in cases {
            assert_eq!(stay_away(text), wanted, "{text}");
        }
        assert_eq!(stay_away("1e300"), Some(86_400_000_000));
    }
}
