//! Why clients' connections end: counted for each listener, and logged at the level of single requests.

use crate::reason_counts::Reason;
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

impl Reason for ConnectionEnd {
    const NAMES: &'static [&'static str] = &[
        "finished",
        "idle",
        "incomplete_head",
        "close_requested",
        "client_gone",
        "write_stalled",
        "gave_way",
        "rejected_unread",
    ];

    fn index(self) -> usize {
        self as usize
    }
}

impl ConnectionEnd {
    /// Logs the end of a connection.
    pub(in crate::client) fn log(self, stream: &TcpStream) {
        let reason = self.name();
        tracing::debug!(peer = ?stream.peer_addr().ok(), reason, "client connection ended: {reason}");
    }
}
