//! The second address, at which on-call staff and the platform ask the process: one call to a connection, answered and
//! closed. Its callers have descriptors of their own, and none waits for another: where too many hold a connection
//! without a whole call, the one that has done so for longest goes.

use super::common::Common;
use super::drain;
use madderloom_balancer::{Micros, ServerState};
use madderloom_operations::call::{self, Call, Fault};
use madderloom_operations::figures::Figures;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// Callers that are there at once.
const CALLERS: usize = 24;
/// The descriptors that are set aside for it: its callers, one that is being taken, and its listening socket.
pub(super) const DESCRIPTORS: usize = CALLERS + 2;
/// A caller may take this long to say what it wants.
const CALL_WITHIN: Micros = 5_000_000;
/// And this long to take the answer, and to end its side then.
const TAKEN_WITHIN: Micros = 1_000_000;
/// Before a caller is taken again where there was no descriptor.
const AGAIN: Duration = Duration::from_millis(10);

/// Binds the second address.
pub(super) fn bind(at: SocketAddr) -> Result<TcpListener, String> {
    super::listener::bind(at).map_err(|e| format!("RELAY_CONTROL: {at}: {e}"))
}

/// Answers callers for as long as the process lives.
pub(super) async fn serve(common: Rc<Common>, socket: TcpListener) {
    let mut callers: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(problem) => {
                if super::connections::is_exhausted(&problem) {
                    common.drop_oldest();
                }
                tokio::time::sleep(AGAIN).await;
                continue;
            }
        };
        callers.retain(|caller| !caller.is_finished());
        if callers.len() >= CALLERS
            && let Some(oldest) = callers.pop_front()
        {
            oldest.abort();
        }
        let common = Rc::clone(&common);
        callers
            .push_back(tokio::task::spawn_local(async move { answer(&common, stream).await }).abort_handle());
    }
}

/// One caller, from its line to its end. It may have gone at any time, and that is its own affair.
async fn answer(common: &Rc<Common>, stream: TcpStream) {
    let asked = common.within(CALL_WITHIN, line(&stream)).await.unwrap_or(Err(Fault::Cut));
    let text = match asked {
        Ok(call) => carry_out(common, call),
        Err(fault) => format!("fail {fault}\n"),
    };
    let told = async {
        let mut unsent = text.as_bytes();
        while !unsent.is_empty() {
            match stream.try_write(unsent) {
                Ok(count) => unsent = &unsent[count..],
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => stream.writable().await?,
                Err(e) => return Err(e),
            }
        }
        rustix::net::shutdown(&stream, rustix::net::Shutdown::Write)?;
        // What it has sent beyond its call is read and dropped: closed over it, the connection would be reset and the
        // answer lost on the way.
        let mut rest = [0; 256];
        for _ in 0..64 {
            if more(&stream, &mut rest).await? == 0 {
                break;
            }
        }
        Ok(())
    };
    let _ = common.within(TAKEN_WITHIN, told).await;
}

/// Reads a call.
async fn line(stream: &TcpStream) -> Result<Call, Fault> {
    let mut come = [0; call::LONGEST + 2];
    let mut length = 0;
    loop {
        match more(stream, &mut come[length..]).await {
            Ok(0) | Err(_) => return Err(Fault::Cut),
            Ok(count) => length += count,
        }
        if let Some(call) = call::read(&come[..length]) {
            return call;
        }
    }
}

async fn more(stream: &TcpStream, to: &mut [u8]) -> std::io::Result<usize> {
    loop {
        match stream.try_read(to) {
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                _ = stream.ready(Interest::READABLE).await?
            }
            read => return read,
        }
    }
}

fn carry_out(common: &Rc<Common>, call: Call) -> String {
    match call {
        Call::Ping if common.can_serve() => "ok\n".to_string(),
        Call::Ping => "fail no server is known yet\n".to_string(),
        Call::Info => {
            let mut text = String::new();
            // A string takes all that is written to it.
            let _ = write!(text, "{}", figures(common));
            text
        }
        Call::LameDuck if common.is_stopping() => "fail the process is stopping\n".to_string(),
        Call::LameDuck => {
            drain::begin(common);
            "ok\n".to_string()
        }
        Call::Rejoin if common.is_stopping() => "fail the process is stopping\n".to_string(),
        Call::Rejoin => {
            drain::end(common);
            "ok\n".to_string()
        }
    }
}

/// What the process reports, over all its services.
fn figures(common: &Common) -> Figures {
    let mut all = Figures {
        cfg_accepted: common.files_taken.get(),
        cfg_invalid: common.files_refused.get(),
        ..Figures::default()
    };
    let mut operations = BTreeMap::<String, madderloom_operations::figures::Ended>::new();
    for service in common.services.borrow().iter() {
        for (name, ended) in service.counts.operations() {
            let sum = operations.entry(name).or_default();
            sum.fulfilled += ended.fulfilled;
            sum.throttled += ended.throttled;
            sum.faulted += ended.faulted;
        }
        all.relayed += service.counts.relayed.get();
        all.open_requests += service.counts.opened();
        let servers = service.snapshot().servers;
        let listed = servers.iter().filter(|server| server.listed.state != ServerState::Gone);
        all.registry_entries += service.pool.count() as u64;
        all.out_of_rotation += listed
            .filter(|server| server.listed.state != ServerState::Ready || server.ejected_until.is_some())
            .count() as u64;
    }
    all.operations = operations.into_iter().collect();
    all
}
