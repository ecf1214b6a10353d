//! What happened of late, as lines for programs, and whoever follows them.

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

/// Lines that are kept, and the most bytes of them together.
pub(super) const MAX_EVENTS: usize = 1_024;
pub(super) const MAX_TOTAL_BYTES: usize = 512 << 10;
/// A text of a line is cut to this: names come from outside.
const TEXT: usize = 256;
/// Who follows at once, at most.
pub(super) const MAX_FOLLOWERS: usize = 4;
/// A blank line goes out after so long without another.
const BEAT: Duration = Duration::from_secs(3);
/// Lines that go out at once.
const FRAME: usize = 16 << 10;

/// Something that is said.
pub(super) struct AdminEvent<'a> {
    pub(super) at: Micros,
    pub(super) pool: &'a str,
    pub(super) server: Option<&'a str>,
    pub(super) event: &'a str,
    pub(super) text: &'a str,
}

/// Lines of what happened, the newest last, each with a number. Bounded: the oldest go.
#[derive(Default)]
pub(super) struct AdminEvents {
    lines: RefCell<VecDeque<Bytes>>,
    bytes: Cell<usize>,
    /// The number of the next line; that of the first is 0.
    next: Cell<u64>,
    followers: RefCell<BTreeMap<u64, Waker>>,
    following: Cell<usize>,
    last_follower: Cell<u64>,
}

fn cut(text: &str) -> &str {
    text.char_indices()
        .nth(TEXT)
        .and_then(|(end, _)| text.get(..end))
        .unwrap_or(text)
}

impl AdminEvents {
    pub(super) fn push_with_details(&self, said: AdminEvent<'_>, more: &Value) {
        let number = self.next.get();
        let mut line = json!({
            "number": number, "at_us": said.at, "pool": cut(said.pool), "server": said.server.map(cut),
            "event": said.event, "text": cut(said.text),
        });
        if let (Some(line), Some(more)) = (line.as_object_mut(), more.as_object()) {
            line.extend(more.clone());
        }
        let line = Bytes::from(format!("{line}\n"));
        let mut lines = self.lines.borrow_mut();
        self.bytes.set(self.bytes.get() + line.len());
        lines.push_back(line);
        while lines.len() > MAX_EVENTS || self.bytes.get() > MAX_TOTAL_BYTES && lines.len() > 1 {
            let gone = lines.pop_front().map_or(0, |line| line.len());
            self.bytes.set(self.bytes.get() - gone);
        }
        self.next.set(number + 1);
        drop(lines);
        self.followers
            .borrow()
            .values()
            .for_each(Waker::wake_by_ref);
    }

    /// The number that the next line will have.
    pub(super) fn next_number(&self) -> u64 {
        self.next.get()
    }

    /// The number of the oldest line that is kept, and the lines from this number on.
    pub(super) fn events_from(&self, number: u64) -> (u64, Vec<Bytes>) {
        let lines = self.lines.borrow();
        let oldest = self.next.get() - lines.len() as u64;
        let skipped = usize::try_from(number.saturating_sub(oldest)).unwrap_or(usize::MAX);
        (oldest, lines.iter().skip(skipped).cloned().collect())
    }

    /// A body that never ends: the lines from this number on, and all that follow. None where too many follow.
    pub(super) fn follow(self: &Rc<Self>, from: u64) -> Option<EventStream> {
        if self.following.get() >= MAX_FOLLOWERS {
            return None;
        }
        self.following.set(self.following.get() + 1);
        let id = self.last_follower.get() + 1;
        self.last_follower.set(id);
        let beat = Box::pin(tokio::time::sleep(BEAT));
        Some(EventStream {
            admin_events: Rc::clone(self),
            id,
            next: from,
            beat,
        })
    }
}

/// Lines as they come. What its reader does not take is not held for it: it is told how many it missed.
pub(super) struct EventStream {
    admin_events: Rc<AdminEvents>,
    id: u64,
    next: u64,
    beat: Pin<Box<Sleep>>,
}

impl EventStream {
    fn ready(&mut self) -> Option<Bytes> {
        let (oldest, lines) = self.admin_events.events_from(self.next);
        let mut frame = BytesMut::new();
        if self.next < oldest {
            frame.extend_from_slice(
                format!("{}\n", json!({"missed": oldest - self.next})).as_bytes(),
            );
            self.next = oldest;
        }
        for line in lines {
            if !frame.is_empty() && frame.len() + line.len() > FRAME {
                break;
            }
            frame.extend_from_slice(&line);
            self.next += 1;
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
        let own = self.get_mut();
        let frame = match own.ready() {
            Some(frame) => frame,
            None if own.beat.as_mut().poll(context).is_ready() => Bytes::from_static(b"\n"),
            None => {
                own.admin_events
                    .followers
                    .borrow_mut()
                    .insert(own.id, context.waker().clone());
                return Poll::Pending;
            }
        };
        own.beat.as_mut().reset(Instant::now() + BEAT);
        Poll::Ready(Some(Ok(Frame::data(frame))))
    }
}

impl Drop for EventStream {
    fn drop(&mut self) {
        self.admin_events.followers.borrow_mut().remove(&self.id);
        self.admin_events
            .following
            .set(self.admin_events.following.get() - 1);
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
    async fn a_follower_that_falls_behind_is_told_how_much_it_missed() {
        let admin_events = Rc::new(AdminEvents::default());
        let mut follow = admin_events.follow(0).expect("there is room");
        for n in 0..MAX_EVENTS + 10 {
            push(&admin_events, &n.to_string());
        }
        let mut told = String::new();
        while told.lines().count() < MAX_EVENTS + 1 {
            let frame = follow
                .frame()
                .await
                .expect("it goes on")
                .expect("it can't fail");
            let data = frame.into_data().expect("data");
            assert!(data.len() <= FRAME);
            told += std::str::from_utf8(&data).expect("text");
        }
        let lines: Vec<Value> = told
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
    fn lines_are_bounded_in_number_in_length_and_in_all() {
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
    async fn no_more_than_a_few_follow_at_once() {
        let admin_events = Rc::new(AdminEvents::default());
        let mut all: Vec<_> = (0..MAX_FOLLOWERS)
            .map(|_| admin_events.follow(0).expect("there is room"))
            .collect();
        assert!(admin_events.follow(0).is_none());
        all.pop();
        assert!(admin_events.follow(0).is_some());
    }
}
