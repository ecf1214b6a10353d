//! Takes over a listening socket that the parent process passed on.
//!
//! For upgrades without downtime, the platform holds the listening socket itself and every process that it starts inherits
//! the socket under a known descriptor number. The socket is shared: this process may close it but must never shut it down.

use rustix::io::{FdFlags, fcntl_getfd, fcntl_setfd};
use rustix::net::sockopt::{socket_acceptconn, socket_type};
use rustix::net::{SocketType, getsockname};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd, FromRawFd, OwnedFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether the inherited socket has been taken over.
static TAKEN: AtomicBool = AtomicBool::new(false);

/// Takes over the listening stream socket with this descriptor number, which must be bound to `address`, and makes it
/// non-blocking and close-on-exec. To be called once, before the process opens a listening socket of its own: otherwise a
/// descriptor number that was not inherited could belong to that socket.
///
/// # Errors
///
/// Returns one line that says why the descriptor is unusable. The descriptor then stays open.
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
        return Err(format!("descriptor {raw}: has already been taken over"));
    }
    let owned = own(raw).ok_or_else(|| {
        format!("descriptor {raw} is not open; the platform must pass it on open")
    })?;
    match check(&owned, address) {
        Ok(()) => {}
        Err(problem) => {
            // Not closed: the descriptor may belong to other code of this process.
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
    let kind = socket_type(socket).map_err(|e| format!("is not a socket: {e}"))?;
    if kind != SocketType::STREAM || !socket_acceptconn(socket).map_err(|e| e.to_string())? {
        return Err("is no listening stream socket".to_string());
    }
    let bound = getsockname(socket).map_err(|e| e.to_string())?;
    let bound = SocketAddr::try_from(bound).map_err(|e| format!("has no IP address: {e}"))?;
    if bound != address {
        return Err(format!(
            "listens on {bound}, and clients are to connect to {address}"
        ));
    }
    fcntl_setfd(socket.as_fd(), FdFlags::CLOEXEC).map_err(|e| e.to_string())
}

/// Takes ownership of an open descriptor; `None` where the number is not open.
#[allow(unsafe_code)]
fn own(raw: RawFd) -> Option<OwnedFd> {
    // SAFETY: the number is not -1 (the caller checks that it is at least 3), and the borrow ends with this statement,
    // which asks the kernel whether the number is open.
    let open = fcntl_getfd(unsafe { BorrowedFd::borrow_raw(raw) }).is_ok();
    // SAFETY: the descriptor is open. The caller takes one number once, before this process listens anywhere, and releases
    // the ownership without closing where the descriptor is not a listening socket: only an inherited socket is closed.
    open.then(|| unsafe { OwnedFd::from_raw_fd(raw) })
}
