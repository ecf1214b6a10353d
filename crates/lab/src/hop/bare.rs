//! The bare pass-through: what a hop costs with the same library, the same single thread and the same shape, and
//! nothing decided. It reads a request whole, sends it over an idle connection to the next server in turn, reads the
//! answer whole and passes it on.

use crate::sockets::itself::{log_to_standard_error, on_one_thread, stay_with, told_to_stop};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// Passes requests on to servers in turn, and does nothing else.
#[derive(clap::Args)]
pub struct PassThrough {
    /// The lab's process: without it there is nobody to serve
    #[arg(long)]
    parent: i32,
    /// Where a server is
    #[arg(long = "server", required = true)]
    servers: Vec<SocketAddr>,
}

struct Server {
    address: SocketAddr,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
}

struct Servers {
    all: Vec<Server>,
    next: Cell<usize>,
}

impl PassThrough {
    /// Serves until it is told to stop.
    ///
    /// # Errors
    /// The lab has gone, or there is nowhere to listen.
    pub fn run(self) -> Result<(), String> {
        stay_with(self.parent)?;
        log_to_standard_error();
        let all = self.servers.into_iter().map(|address| Server {
            address,
            idle: RefCell::default(),
        });
        let servers = Rc::new(Servers {
            all: all.collect(),
            next: Cell::new(0),
        });
        on_one_thread(async {
            let stop = told_to_stop()?;
            let listener = TcpListener::bind("127.0.0.1:0")
                .await
                .map_err(|e| e.to_string())?;
            let at = listener.local_addr().map_err(|e| e.to_string())?;
            tracing::info!("listening on {at}");
            // In a task of its own: what is awaited outside is polled again whenever any task has been.
            let accepting = tokio::task::spawn_local(accept(listener, servers));
            stop.await;
            accepting.abort();
            Ok(())
        })
    }
}

async fn accept(listener: TcpListener, servers: Rc<Servers>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let servers = Rc::clone(&servers);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| pass_on(&servers, request));
            // How a connection ends is its client's affair.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn pass_on(
    servers: &Servers,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let answer = exchange(servers, request).await;
    Ok(answer.unwrap_or_else(|| {
        let mut failed = Response::new(Full::default());
        *failed.status_mut() = StatusCode::BAD_GATEWAY;
        failed
    }))
}

async fn exchange(servers: &Servers, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let at = servers.next.get();
    servers.next.set((at + 1) % servers.all.len());
    let server = servers.all.get(at)?;
    let idle = server.idle.borrow_mut().pop();
    let mut sender = match idle {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(server.address).await.ok()?;
            let _ = stream.set_nodelay(true);
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            tokio::task::spawn_local(connection);
            sender
        }
    };
    sender.ready().await.ok()?;
    let answer = sender
        .send_request(Request::from_parts(head, Full::new(body)))
        .await
        .ok()?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    server.idle.borrow_mut().push(sender);
    Some(Response::from_parts(head, Full::new(body)))
}
