//! A request that has arrived on a parked connection and was not read yet: it waits for memory, or is rejected.

use super::{Client, LINGER_MAX_BYTES, READ_BUFFER};
use crate::counts::increment;
use crate::listener::Listener;
use crate::memory::MemoryPurpose;
use crate::peeked_request::has_complete_request;
use crate::rejection::retry_after_text;
use madderloom_balancer::Micros;
use std::rc::Rc;

/// What a connection that becomes active may allocate before anything else of it is checked.
const ACTIVATION_BYTES: usize = 48 << 10;
/// How long a request may wait unread for memory before it is rejected.
const MEMORY_WAIT_TIMEOUT: Micros = 250_000;

/// Waits for the memory that an active connection needs. Meanwhile its request stays in the system's buffers. False if there is
/// none in time.
pub(super) async fn wait_for_activation(listener: &Listener, client: &Rc<Client>) -> bool {
    let process = &listener.process;
    if process.has_memory(MemoryPurpose::Connection, ACTIVATION_BYTES) {
        return true;
    }
    // It has a request, so it must not be evicted as idle.
    listener.clients.wake(client);
    let idle_since = client.idle_since.take();
    let started_at = process.clock.now();
    let admitted = process
        .wait_until_memory(MEMORY_WAIT_TIMEOUT, || {
            process.has_memory(MemoryPurpose::Connection, ACTIVATION_BYTES)
                || (process.has_memory(MemoryPurpose::CompleteRequest, ACTIVATION_BYTES)
                    && READ_BUFFER
                        .with_borrow_mut(|buffer| has_complete_request(&client.stream, buffer)))
        })
        .await;
    client.idle_since.set(idle_since);
    let waited = process.clock.now().saturating_sub(started_at);
    client.activation_wait.set(waited);
    admitted
}

/// What had arrived of a request that was rejected unread.
pub(super) enum Unread {
    /// All of it: nothing follows that a close could cross.
    Complete,
    /// A part: the lingering close follows.
    Incomplete,
}

/// The response to a request that is rejected unread. No service is known for it: the advice for `Retry-After` is the shortest
/// that one of the listener's allows.
fn unread_rejection(listener: &Listener) -> String {
    let routing = Rc::clone(&listener.routing.borrow());
    let services = routing.reachable_services();
    let retry_after = services.iter().filter_map(|service| service.retry_after());
    let advice = retry_after.min().map_or_else(String::new, |span| {
        format!("Retry-After: {}\r\n", retry_after_text(span))
    });
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n{advice}Connection: close\r\n\r\n"
    )
}

/// Rejects a request of which nothing was read, and drops what has arrived of it.
pub(super) fn reject_unread(listener: &Listener, client: &Client) -> Unread {
    increment(&listener.counts.rejected_by_limit);
    READ_BUFFER.with_borrow_mut(|buffer| {
        let complete = has_complete_request(&client.stream, buffer);
        // Closing with unread bytes would reset the connection, and the client could lose its response.
        let mut remaining = LINGER_MAX_BYTES;
        while let Ok(count @ 1..) = client.stream.try_read(buffer) {
            remaining = remaining.saturating_sub(count);
            if remaining == 0 {
                break;
            }
        }
        // The send buffer of a connection without a response in flight has room for it.
        let _ = client
            .stream
            .try_write(unread_rejection(listener).as_bytes());
        if complete && remaining > 0 {
            Unread::Complete
        } else {
            Unread::Incomplete
        }
    })
}
