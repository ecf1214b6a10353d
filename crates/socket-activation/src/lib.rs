//! A listening socket that was left open for this process by the one that started it.
//!
//! The platform that upgrades a program without closing its address holds the socket itself and leaves it open, under a
//! number, in every process that it starts. The socket is shared: it may be closed here, and must never be shut down.

use rustix::io::{FdFlags, fcntl_getfd, fcntl_setfd};
use rustix::net::sockopt::{socket_acceptconn, socket_type};
use rustix::net::{SocketType, getsockname};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd, FromRawFd, OwnedFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether the one socket has been taken.
static TAKEN: AtomicBool = AtomicBool::new(false);

/// Takes the listening stream socket with this number, which must be bound to `address`, and makes it non-blocking and
/// closed in what this process may start. To be called once, before the process listens anywhere itself: a number that
/// nobody left open here could be that of such a socket by then.
///
/// # Errors
///
/// In one line, what the descriptor is that it should not be. It stays open then.
pub fn listener(number: &str, address: SocketAddr) -> Result<TcpListener, String> {
    let raw: RawFd = number
        .trim()
        .parse()
        .map_err(|e| format!("{e}: {number:?}"))?;
    if raw < 3 {
        return Err(format!(
            "{raw} is a standard stream; name the number of a listening socket"
        ));
    }
    if TAKEN.swap(true, Ordering::SeqCst) {
        return Err(format!("descriptor {raw}: has been taken already"));
    }
    let owned = own(raw)
        .ok_or_else(|| format!("descriptor {raw} is not open; the platform must leave it open"))?;
    match check(&owned, address) {
        Ok(()) => {}
        Err(problem) => {
            // It may be anything, and whose it is is not known.
            std::mem::forget(owned);
            return Err(format!("descriptor {raw}: {problem}"));
        }
    }
    let listener = TcpListener::from(owned);
    listener
        .set_nonblocking(true)
        .map_err(|e| format!("descriptor {raw}: {e}"))?;
    Ok(listener)
}

fn check(socket: &OwnedFd, address: SocketAddr) -> Result<(), String> {
    let kind = socket_type(socket).map_err(|e| format!("is no socket: {e}"))?;
    if kind != SocketType::STREAM || !socket_acceptconn(socket).map_err(|e| e.to_string())? {
        return Err("is no listening stream socket".to_string());
    }
    let bound = getsockname(socket).map_err(|e| e.to_string())?;
    let bound = SocketAddr::try_from(bound).map_err(|e| format!("has no internet address: {e}"))?;
    if bound != address {
        return Err(format!(
            "listens on {bound}, and clients are to connect to {address}"
        ));
    }
    fcntl_setfd(socket.as_fd(), FdFlags::CLOEXEC).map_err(|e| e.to_string())
}

/// Owns an open descriptor by its number.
#[allow(unsafe_code)]
fn own(raw: RawFd) -> Option<OwnedFd> {
    // SAFETY: the number is not -1 (the caller has seen to it that it is at least 3), and the borrow ends with this
    // statement, in which the kernel is asked whether the number is open at all.
    let open = fcntl_getfd(unsafe { BorrowedFd::borrow_raw(raw) }).is_ok();
    // SAFETY: it is open. The caller takes one number once, before this process listens anywhere, and gives up its
    // ownership again, unclosed, of anything that does not listen: what is closed by it was left open for this process.
    open.then(|| unsafe { OwnedFd::from_raw_fd(raw) })
}
