//! The second address, at which on-call staff and the platform ask the process: one call to a connection, answered and
//! closed. Its callers have descriptors of their own, and none waits for another: where too many hold a connection
//! without a whole call, the one that has done so for longest goes.

use super::drain;
use super::process_state::ProcessState;
use madderloom_admin::call::{self, Call, Fault};
use madderloom_admin::figures::{Ended, Figures};
use madderloom_balancer::{Micros, ServerState};
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// Callers that are there at once.
pub(super) const MAX_CALLERS: usize = 24;
/// The descriptors that are set aside for it: its callers, one that is being taken, and its listening socket.
pub(super) const RESERVED_DESCRIPTORS: usize = MAX_CALLERS + 2;
/// A caller may take this long to say what it wants.
pub(super) const CALL_TIMEOUT: Micros = 5_000_000;
/// And this long to take the answer, and to end its side then.
const TAKEN_WITHIN: Micros = 1_000_000;
/// Before a caller is taken again where there was no descriptor.
const AGAIN: Duration = Duration::from_millis(10);

/// Binds the second address.
pub(super) fn bind(at: SocketAddr) -> Result<TcpListener, String> {
    super::listener::bind(at).map_err(|e| format!("RELAY_CONTROL: {at}: {e}"))
}

/// Answers callers for as long as the process lives.
pub(super) async fn serve(process: Rc<ProcessState>, socket: TcpListener) {
    let mut callers: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(problem) => {
                tracing::warn!("at the second address no caller can be taken: {problem}");
                if super::connections::is_resource_exhaustion(&problem) {
                    process.close_oldest_server_connection();
                }
                tokio::time::sleep(AGAIN).await;
                continue;
            }
        };
        callers.retain(|caller| !caller.is_finished());
        if callers.len() >= MAX_CALLERS
            && let Some(oldest) = callers.pop_front()
        {
            oldest.abort();
        }
        let process = Rc::clone(&process);
        let caller = watchdog::spawn(TaskKind::ControlConnection, async move {
            answer(&process, stream).await
        });
        callers.push_back(caller.abort_handle());
    }
}

/// One caller, from its line to its end. It may have gone at any time, and that is its own affair.
async fn answer(process: &Rc<ProcessState>, mut stream: TcpStream) {
    let asked = process
        .timeout(CALL_TIMEOUT, line(&mut stream))
        .await
        .unwrap_or(Err(Fault::Cut));
    let text = match asked {
        Ok(call) => carry_out(process, call),
        Err(fault) => format!("fail {fault}\n"),
    };
    let told = async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await?;
        // What it has sent beyond its call is read and dropped: closed over it, the connection would be reset and the
        // answer lost on the way.
        let mut rest = [0; 256];
        for _ in 0..64 {
            if stream.read(&mut rest).await? == 0 {
                break;
            }
        }
        Ok::<_, std::io::Error>(())
    };
    let _ = process.timeout(TAKEN_WITHIN, told).await;
}

/// Reads a call.
async fn line(stream: &mut TcpStream) -> Result<Call, Fault> {
    let mut come = [0; call::LONGEST + 2];
    let mut length = 0;
    loop {
        match stream.read(&mut come[length..]).await {
            Ok(0) | Err(_) => return Err(Fault::Cut),
            Ok(count) => length += count,
        }
        if let Some(call) = call::read(&come[..length]) {
            return call;
        }
    }
}

fn carry_out(process: &Rc<ProcessState>, call: Call) -> String {
    match call {
        Call::Ping if process.can_serve() => "ok\n".to_string(),
        Call::Ping => "fail no server is known yet\n".to_string(),
        Call::Info => figures(process).to_string(),
        Call::LameDuck | Call::Rejoin if process.is_stopping() => {
            "fail the process is stopping\n".to_string()
        }
        Call::LameDuck => {
            drain::begin(process);
            "ok\n".to_string()
        }
        Call::Rejoin => {
            drain::end(process);
            "ok\n".to_string()
        }
    }
}

/// What the process reports, over all its services.
fn figures(process: &ProcessState) -> Figures {
    let turns = watchdog::counts();
    let mut all = Figures {
        busy_turns: turns.busy,
        stalled_turns: turns.stalled,
        cfg_accepted: process.configs_accepted.get(),
        cfg_invalid: process.configs_rejected.get(),
        ..Figures::default()
    };
    let mut operations = BTreeMap::<String, Ended>::new();
    for service in process.services.borrow().iter() {
        for (name, ended) in service.counts.by_class() {
            *operations.entry(name).or_default() += ended;
        }
        all.relayed += service.counts.attempts_sent.get();
        all.open_requests += service.counts.open_requests();
        let servers = service.snapshot().servers;
        let listed = servers
            .iter()
            .filter(|server| server.entry.state != ServerState::Gone);
        all.registry_entries += service.pool.server_count() as u64;
        all.out_of_rotation += listed
            .filter(|server| {
                server.entry.state != ServerState::Ready || server.ejected_until.is_some()
            })
            .count() as u64;
    }
    all.operations = operations.into_iter().collect();
    all
}
