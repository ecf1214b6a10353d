//! The most recent events as JSON lines, and the streams to the clients that follow them.

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame};
use madderloom_balancer::Micros;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// The maximum number of retained events.
pub(super) const MAX_EVENTS: usize = 1_024;
/// The maximum size of all retained events in bytes.
pub(super) const MAX_TOTAL_BYTES: usize = 512 << 10;
/// Texts of an event are truncated to this number of characters, since names are external input.
const MAX_TEXT_CHARS: usize = 256;
/// The maximum number of concurrent followers.
pub(super) const MAX_FOLLOWERS: usize = 4;
/// A blank line is sent as a heartbeat after this time without an event.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);
/// The size to which a body frame is filled with whole lines, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// An event about a pool or one of its servers.
pub(super) struct AdminEvent<'a> {
    pub(super) at: Micros,
    pub(super) pool: &'a str,
    pub(super) server: Option<&'a str>,
    pub(super) event: &'a str,
    pub(super) text: &'a str,
}

/// The most recent events, numbered and serialized, oldest first. The oldest are dropped at the limits.
#[derive(Default)]
pub(super) struct AdminEvents {
    lines: RefCell<VecDeque<Bytes>>,
    bytes: Cell<usize>,
    /// The number of the next event; the first event has number 0.
    next_number: Cell<u64>,
    /// The wakers of waiting followers by follower id.
    wakers: RefCell<BTreeMap<u64, Waker>>,
    follower_count: Cell<usize>,
    last_follower_id: Cell<u64>,
}

fn truncate(text: &str) -> &str {
    text.char_indices()
        .nth(MAX_TEXT_CHARS)
        .and_then(|(end, _)| text.get(..end))
        .unwrap_or(text)
}

impl AdminEvents {
    pub(super) fn push_with_details(&self, event: AdminEvent<'_>, details: &Value) {
        let number = self.next_number.get();
        let mut line = json!({
            "number": number, "at_us": event.at, "pool": truncate(event.pool), "server": event.server.map(truncate),
            "event": event.event, "text": truncate(event.text),
        });
        if let (Some(line), Some(details)) = (line.as_object_mut(), details.as_object()) {
            line.extend(details.clone());
        }
        let line = Bytes::from(format!("{line}\n"));
        let mut lines = self.lines.borrow_mut();
        self.bytes.set(self.bytes.get() + line.len());
        lines.push_back(line);
        while lines.len() > MAX_EVENTS || self.bytes.get() > MAX_TOTAL_BYTES && lines.len() > 1 {
            let dropped_bytes = lines.pop_front().map_or(0, |line| line.len());
            self.bytes.set(self.bytes.get() - dropped_bytes);
        }
        self.next_number.set(number + 1);
        drop(lines);
        self.wakers.borrow().values().for_each(Waker::wake_by_ref);
    }

    /// The number that the next event will have.
    pub(super) fn next_number(&self) -> u64 {
        self.next_number.get()
    }

    /// Returns the number of the oldest retained event, and the retained events from `number` on.
    pub(super) fn events_from(&self, number: u64) -> (u64, Vec<Bytes>) {
        let lines = self.lines.borrow();
        let oldest = self.next_number.get() - lines.len() as u64;
        let skipped = usize::try_from(number.saturating_sub(oldest)).unwrap_or(usize::MAX);
        (oldest, lines.iter().skip(skipped).cloned().collect())
    }

    /// Streams the events from this number on and all later ones; `None` at the maximum number of followers.
    pub(super) fn follow(self: &Rc<Self>, from: u64) -> Option<EventStream> {
        if self.follower_count.get() >= MAX_FOLLOWERS {
            return None;
        }
        self.follower_count.set(self.follower_count.get() + 1);
        let id = self.last_follower_id.get() + 1;
        self.last_follower_id.set(id);
        let heartbeat = Box::pin(tokio::time::sleep(HEARTBEAT_INTERVAL));
        Some(EventStream {
            admin_events: Rc::clone(self),
            id,
            next_number: from,
            heartbeat,
        })
    }
}

/// A body of events that never ends. Nothing is buffered for a slow reader: it gets the number of events that it missed.
pub(super) struct EventStream {
    admin_events: Rc<AdminEvents>,
    id: u64,
    next_number: u64,
    heartbeat: Pin<Box<Sleep>>,
}

impl EventStream {
    fn next_frame(&mut self) -> Option<Bytes> {
        let (oldest, lines) = self.admin_events.events_from(self.next_number);
        let mut frame = BytesMut::new();
        if self.next_number < oldest {
            frame.extend_from_slice(
                format!("{}\n", json!({"missed": oldest - self.next_number})).as_bytes(),
            );
            self.next_number = oldest;
        }
        for line in lines {
            if !frame.is_empty() && frame.len() + line.len() > MAX_FRAME_BYTES {
                break;
            }
            frame.extend_from_slice(&line);
            self.next_number += 1;
        }
        (!frame.is_empty()).then(|| frame.freeze())
    }
}

impl Body for EventStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let stream = self.get_mut();
        let frame = match stream.next_frame() {
            Some(frame) => frame,
            None if stream.heartbeat.as_mut().poll(context).is_ready() => Bytes::from_static(b"\n"),
            None => {
                stream
                    .admin_events
                    .wakers
                    .borrow_mut()
                    .insert(stream.id, context.waker().clone());
                return Poll::Pending;
            }
        };
        stream
            .heartbeat
            .as_mut()
            .reset(Instant::now() + HEARTBEAT_INTERVAL);
        Poll::Ready(Some(Ok(Frame::data(frame))))
    }
}

impl Drop for EventStream {
    fn drop(&mut self) {
        self.admin_events.wakers.borrow_mut().remove(&self.id);
        self.admin_events
            .follower_count
            .set(self.admin_events.follower_count.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use http_body_util::BodyExt;

    fn push(admin_events: &AdminEvents, text: &str) {
        admin_events.push_with_details(
            AdminEvent {
                at: 1,
                pool: "a",
                server: None,
                event: "joined",
                text,
            },
            &json!({}),
        );
    }

    #[tokio::test]
    async fn a_slow_follower_gets_the_number_of_events_that_it_missed() {
        let admin_events = Rc::new(AdminEvents::default());
        let mut follow = admin_events.follow(0).expect("below the follower limit");
        for n in 0..MAX_EVENTS + 10 {
            push(&admin_events, &n.to_string());
        }
        let mut received = String::new();
        while received.lines().count() < MAX_EVENTS + 1 {
            let frame = follow
                .frame()
                .await
                .expect("the stream has not ended")
                .expect("infallible");
            let data = frame.into_data().expect("data");
            assert!(data.len() <= MAX_FRAME_BYTES);
            received += std::str::from_utf8(&data).expect("text");
        }
        let lines: Vec<Value> = received
            .lines()
            .map(|l| serde_json::from_str(l).expect("an object"))
            .collect();
        assert_eq!(lines[0], json!({"missed": 10}));
        assert_eq!(
            (&lines[1]["number"], &lines[MAX_EVENTS]["number"]),
            (&json!(10), &json!(MAX_EVENTS + 9))
        );
    }

    #[test]
    fn events_are_bounded_in_number_length_and_total_size() {
        let admin_events = AdminEvents::default();
        for _ in 0..3 * MAX_EVENTS {
            push(&admin_events, &"\u{1}ä".repeat(10_000));
        }
        let (oldest, lines) = admin_events.events_from(0);
        assert!(lines.iter().all(|line| line.len() < 2_048));
        assert!(lines.iter().map(Bytes::len).sum::<usize>() <= MAX_TOTAL_BYTES);
        assert_eq!(oldest, admin_events.next_number() - lines.len() as u64);
    }

    #[tokio::test]
    async fn the_number_of_concurrent_followers_is_limited() {
        let admin_events = Rc::new(AdminEvents::default());
        let mut streams: Vec<_> = (0..MAX_FOLLOWERS)
            .map(|_| admin_events.follow(0).expect("below the follower limit"))
            .collect();
        assert!(admin_events.follow(0).is_none());
        streams.pop();
        assert!(admin_events.follow(0).is_some());
    }
}
