//! How far one exchange with a server has come: what was written of the request, and what has arrived of the response. It outlives
//! the exchange, so that an attempt that is ended from this side can still say what it ended.

use super::reason_counts::Reason;
use super::request_deadline::RequestDeadline;
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// What has arrived of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ResponseProgress {
    /// Nothing that counts as a successful response.
    #[default]
    Nothing,
    /// The head of a successful response, and so many bytes of its body.
    Started {
        /// Bytes of the body that have arrived.
        body_bytes: u64,
        /// Length of the body, if its head tells it.
        length: Option<u64>,
    },
}

impl fmt::Display for ResponseProgress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ResponseProgress::Nothing => formatter.write_str("nothing"),
            ResponseProgress::Started {
                body_bytes,
                length: Some(length),
            } => write!(formatter, "head+{body_bytes}/{length}"),
            ResponseProgress::Started {
                body_bytes,
                length: None,
            } => write!(formatter, "head+{body_bytes}"),
        }
    }
}

/// The progress of one exchange.
#[derive(Default)]
pub(super) struct ExchangeProgress {
    /// At least one byte of the request was written.
    pub(super) started: Cell<bool>,
    /// The last byte of the request was written.
    pub(super) complete: Cell<bool>,
    /// What has arrived of the response.
    pub(super) response: Cell<ResponseProgress>,
    /// Learns of each write, if the request is an upload.
    upload: Option<Rc<RequestDeadline>>,
}

impl ExchangeProgress {
    /// The progress of an upload, which its deadline learns of.
    pub(super) fn of_upload(deadline: &Rc<RequestDeadline>) -> Self {
        ExchangeProgress {
            upload: Some(Rc::clone(deadline)),
            ..ExchangeProgress::default()
        }
    }

    /// The system has accepted so many bytes of the request.
    pub(super) fn record_write(&self, bytes: usize) {
        self.started.set(true);
        if let Some(deadline) = &self.upload {
            deadline.record_upload(bytes);
        }
    }

    /// The system accepts nothing more of the request before the server takes something.
    pub(super) fn record_full_buffers(&self) {
        if let Some(deadline) = &self.upload {
            deadline.record_full_upload_buffers();
        }
    }

    /// The head of a successful response has arrived.
    pub(super) fn record_response_head(&self, length: Option<u64>) {
        let body_bytes = 0;
        self.response
            .set(ResponseProgress::Started { body_bytes, length });
    }

    /// So many bytes of the response's body have arrived in all.
    pub(super) fn record_body(&self, bytes: usize) {
        if let ResponseProgress::Started { length, .. } = self.response.get() {
            let body_bytes = bytes as u64;
            self.response
                .set(ResponseProgress::Started { body_bytes, length });
        }
    }

    /// Whether the head of a successful response has arrived.
    pub(super) fn has_response(&self) -> bool {
        self.response.get() != ResponseProgress::Nothing
    }
}

/// What ended an attempt that was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// The server, its connection, or the network to it.
    Server,
    /// No response had started by the header timeout.
    HeaderTimeout,
    /// The client's time was over.
    ClientDeadline,
    /// The request ended otherwise: its client left, or the balancer ended it.
    Cancelled,
    /// The process stops, and has to have answered before it may be killed.
    Stopping,
}

impl Reason for AttemptEnd {
    const NAMES: &'static [&'static str] = &[
        "server",
        "header_timeout",
        "client_deadline",
        "cancelled",
        "stopping",
    ];

    fn index(self) -> usize {
        self as usize
    }
}
