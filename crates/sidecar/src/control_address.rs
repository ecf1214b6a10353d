//! The control address, at which on-call staff and the platform send commands to the process: one call per connection, which
//! is answered and closed. File descriptors are reserved for its callers, and no caller waits for another: when too many
//! hold a connection, the oldest connection is closed.

use super::drain;
use super::process_state::ProcessState;
use madderloom_admin::command::{self, Command, CommandError};
use madderloom_admin::stats::{ResultCounts, Stats};
use madderloom_balancer::{Micros, ServerState};
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// The most callers connected at once.
pub(super) const MAX_CALLERS: usize = 24;
/// File descriptors reserved for the control address: its callers, one connection being accepted, and the listening socket.
pub(super) const RESERVED_DESCRIPTORS: usize = MAX_CALLERS + 2;
/// The time in which a caller must send its call.
pub(super) const CALL_TIMEOUT: Micros = 5_000_000;
/// The time in which a caller must read the answer and close its side.
const ANSWER_TIMEOUT: Micros = 1_000_000;
/// Delay before connections are accepted again after accepting one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Binds the control address.
pub(super) fn bind(at: SocketAddr) -> Result<TcpListener, String> {
    super::listener::bind_at_start(at).map_err(|e| format!("RELAY_CONTROL: {at}: {e}"))
}

/// Answers callers until the process ends.
pub(super) async fn serve(process: Rc<ProcessState>, socket: TcpListener) {
    let mut callers: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(problem) => {
                tracing::warn!("control address: cannot accept a connection: {problem}");
                if super::connections::is_resource_exhaustion(&problem) {
                    process.close_oldest_server_connection();
                }
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
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

/// Handles one connection: reads the call, answers and closes. Errors of the connection are ignored, because the caller may
/// disconnect at any time.
async fn answer(process: &Rc<ProcessState>, mut stream: TcpStream) {
    let call = process
        .timeout(CALL_TIMEOUT, read_call(&mut stream))
        .await
        .unwrap_or(Err(CommandError::Unterminated));
    let text = match call {
        Ok(call) => execute(process, call),
        Err(fault) => format!("fail {fault}\n"),
    };
    let send = async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await?;
        // Input beyond the call is read and discarded: closing the socket with unread input would reset the connection, and
        // the answer could be lost.
        let mut rest = [0; 256];
        for _ in 0..64 {
            if stream.read(&mut rest).await? == 0 {
                break;
            }
        }
        Ok::<_, std::io::Error>(())
    };
    let _ = process.timeout(ANSWER_TIMEOUT, send).await;
}

/// Reads a call.
async fn read_call(stream: &mut TcpStream) -> Result<Command, CommandError> {
    let mut buffer = [0; command::MAX_LINE_BYTES + 2];
    let mut length = 0;
    loop {
        match stream.read(&mut buffer[length..]).await {
            Ok(0) | Err(_) => return Err(CommandError::Unterminated),
            Ok(count) => length += count,
        }
        if let Some(call) = command::read(&buffer[..length]) {
            return call;
        }
    }
}

/// Executes a call and returns the answer.
fn execute(process: &Rc<ProcessState>, call: Command) -> String {
    match call {
        Command::Ping if process.can_serve() => "ok\n".to_string(),
        Command::Ping => "fail no server is known yet\n".to_string(),
        Command::Info => figures(process).to_string(),
        Command::LameDuck | Command::Rejoin if process.is_stopping() => {
            "fail the process is stopping\n".to_string()
        }
        Command::LameDuck => {
            drain::begin(process);
            "ok\n".to_string()
        }
        Command::Rejoin => {
            drain::end(process);
            "ok\n".to_string()
        }
    }
}

/// The figures that the process reports, over all its services.
fn figures(process: &ProcessState) -> Stats {
    let long_polls = watchdog::counts();
    let mut figures = Stats {
        busy_turns: long_polls.busy,
        stalled_turns: long_polls.stalled,
        cfg_accepted: process.configs_accepted.get(),
        cfg_invalid: process.configs_rejected.get(),
        ..Stats::default()
    };
    let mut operations = BTreeMap::<String, ResultCounts>::new();
    for service in process.services.borrow().iter() {
        for (name, ended) in service.counts.by_class() {
            *operations.entry(name).or_default() += ended;
        }
        figures.relayed += service.counts.attempts_sent.get();
        figures.open_requests += service.counts.open_requests();
        let servers = service.snapshot().servers;
        let listed = servers
            .iter()
            .filter(|server| server.entry.state != ServerState::Gone);
        figures.registry_entries += service.pool.server_count() as u64;
        figures.out_of_rotation += listed
            .filter(|server| {
                server.entry.state != ServerState::Ready || server.ejected_until.is_some()
            })
            .count() as u64;
    }
    figures.operations = operations.into_iter().collect();
    figures
}
