//! Why clients' connections end: counted for each listener, and logged at the level of single requests.

use crate::counts::increment;
use std::cell::Cell;
use tokio::net::TcpStream;

/// Why a client's connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::client) enum ConnectionEnd {
    /// Its client closed it, its last response did, or what came was no request.
    Finished,
    /// It was idle for longer than allowed.
    Idle,
    /// The head of a request did not come in time.
    IncompleteHead,
    /// The process, or its listener, ends or needs the connection for others.
    CloseRequested,
    /// Its client was gone while a request was in flight.
    ClientGone,
    /// Its client accepted no byte of a streamed response in time.
    WriteStalled,
    /// Its client was slower than it has to be while others waited.
    GaveWay,
    /// Its request was rejected unread.
    RejectedUnread,
}

impl ConnectionEnd {
    const COUNT: usize = 8;
    /// As the status lists them, in the order of the variants.
    const NAMES: [&str; Self::COUNT] = [
        "finished",
        "idle",
        "incomplete_head",
        "close_requested",
        "client_gone",
        "write_stalled",
        "gave_way",
        "rejected_unread",
    ];

    /// Its name in the status and the log.
    fn name(self) -> &'static str {
        Self::NAMES[self as usize]
    }
}

/// Counts connections by why they have ended.
#[derive(Default)]
pub(in crate::client) struct ConnectionEndCounts([Cell<u64>; ConnectionEnd::COUNT]);

impl ConnectionEndCounts {
    /// Counts and logs the end of a connection.
    pub(in crate::client) fn record(&self, end: ConnectionEnd, stream: &TcpStream) {
        increment(&self.0[end as usize]);
        let reason = end.name();
        tracing::debug!(peer = ?stream.peer_addr().ok(), reason, "client connection ended: {reason}");
    }

    /// Each name with its count.
    pub(in crate::client) fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        ConnectionEnd::NAMES
            .into_iter()
            .zip(self.0.iter().map(Cell::get))
    }
}
