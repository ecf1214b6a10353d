//! A port that stays the same through a machine's bad days: open, refused, or silent.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpStream as Blocking};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;

/// Connections that wait to be taken.
const BACKLOG: u32 = 1_024;
/// Tries, a millisecond apart, to have one's own port again.
const TRIES: u32 = 200;

/// How a connection to a port goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It is taken.
    Open,
    /// It is refused: the process is down.
    Refused,
    /// Nothing answers: the machine has vanished or is cut off. Connections never come up.
    Silent,
}

enum Port {
    Listens(Rc<TcpListener>),
    /// Bound, so that nobody else gets it, and not listening.
    Held(TcpSocket),
    /// In between.
    None,
}

/// A port on loopback.
pub struct Door {
    address: SocketAddr,
    port: RefCell<Port>,
    state: Cell<State>,
    changed: Notify,
    /// What fills the line of connections that wait while it is silent, and where it comes from.
    fill: RefCell<Vec<Blocking>>,
    own: RefCell<Vec<SocketAddr>>,
}

impl Door {
    /// Opens a door at a port that is free.
    ///
    /// # Errors
    /// There is none.
    pub async fn open() -> io::Result<Rc<Self>> {
        let listener = listen(bind("127.0.0.1:0".parse().map_err(io::Error::other)?)?)?;
        Ok(Rc::new(Door {
            address: listener.local_addr()?,
            port: RefCell::new(Port::Listens(Rc::new(listener))),
            state: Cell::new(State::Open),
            changed: Notify::new(),
            fill: RefCell::default(),
            own: RefCell::default(),
        }))
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The next connection that comes while it is open.
    pub async fn accept(&self) -> TcpStream {
        loop {
            let listener = match &*self.port.borrow() {
                Port::Listens(listener) if self.state.get() == State::Open => {
                    Some(Rc::clone(listener))
                }
                _ => None,
            };
            let Some(listener) = listener else {
                self.changed.notified().await;
                continue;
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.changed.notified() => continue,
            };
            match accepted {
                Ok((stream, from)) => {
                    let mut own = self.own.borrow_mut();
                    match own.iter().position(|at| *at == from) {
                        Some(at) => _ = own.swap_remove(at),
                        None => return stream,
                    }
                }
                // No descriptor, or the other side has gone already.
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    /// From now on connections go like this.
    ///
    /// # Errors
    /// The system does not let it be so.
    pub async fn become_state(&self, state: State) -> io::Result<()> {
        if self.state.replace(state) == state {
            return Ok(());
        }
        // Whoever accepts lets go of the listener.
        self.changed.notify_waiters();
        tokio::task::yield_now().await;
        match state {
            State::Refused => {
                self.fill.borrow_mut().clear();
                self.own.borrow_mut().clear();
                self.port.replace(Port::None);
                let held = self.bind_again().await?;
                self.port.replace(Port::Held(held));
            }
            State::Open | State::Silent => {
                let listener = self.listener().await?;
                let backlog = if state == State::Open { BACKLOG } else { 0 };
                rustix::net::listen(&listener, i32::try_from(backlog).unwrap_or(i32::MAX))?;
                if state == State::Silent {
                    self.fill_up()?;
                } else {
                    self.fill.borrow_mut().clear();
                }
            }
        }
        self.changed.notify_waiters();
        Ok(())
    }

    async fn listener(&self) -> io::Result<Rc<TcpListener>> {
        if let Port::Listens(listener) = &*self.port.borrow() {
            return Ok(Rc::clone(listener));
        }
        let held = match self.port.replace(Port::None) {
            Port::Held(held) => held,
            _ => self.bind_again().await?,
        };
        let listener = Rc::new(listen(held)?);
        self.port.replace(Port::Listens(Rc::clone(&listener)));
        Ok(listener)
    }

    /// With the line full, the system drops what comes further, as if nobody were there.
    fn fill_up(&self) -> io::Result<()> {
        let mut fill = self.fill.borrow_mut();
        // One waits where the line holds none; a few more make sure of it, and give up at once.
        for _ in 0..3 {
            match Blocking::connect_timeout(&self.address, Duration::from_millis(2)) {
                Ok(stream) => {
                    self.own.borrow_mut().push(stream.local_addr()?);
                    fill.push(stream);
                }
                Err(problem) if problem.kind() == io::ErrorKind::TimedOut => return Ok(()),
                Err(problem) => return Err(problem),
            }
        }
        Ok(())
    }

    async fn bind_again(&self) -> io::Result<TcpSocket> {
        let mut last = io::Error::from(io::ErrorKind::AddrInUse);
        for _ in 0..TRIES {
            match bind(self.address) {
                Ok(socket) => return Ok(socket),
                Err(problem) => last = problem,
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        Err(last)
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn listen(socket: TcpSocket) -> io::Result<TcpListener> {
    socket.listen(BACKLOG)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sockets::itself::on_one_thread;

    #[test]
    fn a_door_is_open_refused_silent_and_open_again_at_one_port() {
        let kinds = on_one_thread(async {
            let door = Door::open().await.map_err(|e| e.to_string())?;
            let own = Rc::clone(&door);
            tokio::task::spawn_local(async move {
                loop {
                    drop(own.accept().await);
                }
            });
            let mut kinds = Vec::new();
            for state in [
                State::Open,
                State::Refused,
                State::Open,
                State::Silent,
                State::Refused,
                State::Open,
            ] {
                door.become_state(state).await.map_err(|e| e.to_string())?;
                let connects = TcpStream::connect(door.address());
                let kind = match tokio::time::timeout(Duration::from_millis(300), connects).await {
                    Ok(Ok(_)) => State::Open,
                    Ok(Err(_)) => State::Refused,
                    Err(_) => State::Silent,
                };
                kinds.push((state, kind));
            }
            Ok(kinds)
        });
        for (wanted, seen) in kinds.expect("it runs") {
            assert_eq!(wanted, seen);
        }
    }
}
