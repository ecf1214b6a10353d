//! Answers that have begun: the header timeout, which follows from what an answer would earn, ends only an attempt without any response.

use crate::SLACK;
use crate::rig::{Options, Sidecar, request_with, with_sized_body};
use madderloom_fault_testing::{BodyFraming, Pace, PacedServers};
use rstest::rstest;
use std::time::{Duration, Instant};

/// An answer earns nothing after this time.
pub const LATENCY_OBJECTIVE: Duration = Duration::from_millis(500);
/// What the clients wait, which is longer.
const TIME_LEFT_MS: u64 = 2_000;
/// What clients wait beyond the time that a stopping process has.
const LONG_TIME_LEFT_MS: u64 = 5_900;
/// When a server writes the head of its answer.
const HEAD_MS: u64 = 40;
/// Longer than what is buffered.
const LONG: usize = 126_469;
const REQUESTS: u64 = 4;

/// Sets the latency objective of all classes.
pub fn set_latency_objective(config: &mut serde_json::Value) {
    let classes = config["settings"]["services"].as_array_mut();
    for class in classes.expect("classes") {
        class["on_time"] = (LATENCY_OBJECTIVE.as_micros() as u64).into();
    }
}

fn start(servers: &PacedServers) -> Sidecar {
    let options = Options {
        edit: set_latency_objective,
        ..Options::default()
    };
    Sidecar::with(&servers.addresses, options)
}

/// The statuses of requests that are made one after another, and how many of the answers were whole.
fn ask(sidecar: &Sidecar, class: &str, pace: &Pace) -> (Vec<u16>, usize) {
    let (mut statuses, mut whole) = (Vec::new(), 0);
    let body = pace.body();
    for number in 0..REQUESTS {
        let id = format!("{class}-{number}");
        let mut client = sidecar.client();
        client.write(request_with(&id, class, TIME_LEFT_MS, &pace.header()));
        let answer = client.read_complete();
        whole += usize::from(answer.as_ref().is_some_and(|answer| answer.body == body));
        statuses.push(answer.map_or(0, |answer| answer.status()));
    }
    (statuses, whole)
}

/// Issue 79: a body that begins later than the latency objective behind its head was cut off with 502, the client's time left.
#[rstest]
fn a_late_body_is_not_cut_off_at_the_time_at_which_it_earns_nothing_more(
    #[values("recheck", "submit-check")] class: &str,
    #[values(BodyFraming::Length, BodyFraming::Chunks, BodyFraming::Close)] framing: BodyFraming,
    #[values(500, 900)] body_ms: u64,
) {
    let servers = PacedServers::start(2);
    let sidecar = start(&servers);
    let pace = Pace::new(framing, HEAD_MS, &[(body_ms, LONG)]);
    let (statuses, whole) = ask(&sidecar, class, &pace);
    assert_eq!(whole, statuses.len(), "{statuses:?}");
}

/// The same for a short body that pauses.
#[rstest]
#[case::short_pauses(&[(100, 10_000), (300, 10_000), (300, 10_000)])]
#[case::a_long_pause(&[(100, 15_000), (700, 15_000)])]
fn a_short_body_that_pauses_is_not_cut_off(
    #[case] pieces: &[(u64, usize)],
    #[values("recheck", "submit-check")] class: &str,
    #[values(BodyFraming::Length, BodyFraming::Chunks, BodyFraming::Close)] framing: BodyFraming,
) {
    let servers = PacedServers::start(2);
    let sidecar = start(&servers);
    let (statuses, whole) = ask(&sidecar, class, &Pace::new(framing, HEAD_MS, pieces));
    assert_eq!(whole, statuses.len(), "{statuses:?}");
}

/// A head that nothing follows is followed by a complete answer at the client's time, as before.
#[rstest]
fn a_head_alone_is_followed_by_a_complete_answer_at_the_clients_time(
    #[values("recheck", "submit-check")] class: &str,
    #[values(BodyFraming::Length, BodyFraming::Chunks, BodyFraming::Close)] framing: BodyFraming,
) {
    let servers = PacedServers::start(2);
    let sidecar = start(&servers);
    let pace = Pace::new(framing, HEAD_MS, &[]);
    let started_at = Instant::now();
    let mut client = sidecar.client();
    client.write(request_with("head", class, TIME_LEFT_MS, &pace.header()));
    let answer = client.read_complete().expect("a complete answer");
    let took = started_at.elapsed();
    assert!([502, 503].contains(&answer.status()), "{}", answer.start);
    assert!(
        took <= Duration::from_millis(TIME_LEFT_MS) + SLACK,
        "{took:?}"
    );
}

/// SIGKILL may come 3.7 s behind SIGTERM, however long clients wait: a head that nothing follows, and a request of which no answer has
/// begun, are answered before.
#[rstest]
#[case::small_request("recheck", 5, HEAD_MS)]
#[case::buffered_upload("recheck", 600_000, HEAD_MS)]
#[case::streamed_upload("recheck", 2_000_000, HEAD_MS)]
#[case::non_idempotent("submit-check", 5, HEAD_MS)]
#[case::non_idempotent_upload("submit-check", 600_000, HEAD_MS)]
#[case::non_idempotent_without_a_head("submit-check", 5, 2 * LONG_TIME_LEFT_MS)]
#[case::non_idempotent_upload_without_a_head("submit-check", 600_000, 2 * LONG_TIME_LEFT_MS)]
fn a_head_alone_is_followed_by_a_complete_answer_before_the_process_may_be_killed(
    #[case] class: &str,
    #[case] request_bytes: usize,
    #[case] head_ms: u64,
) {
    const KILL_DELAY: Duration = Duration::from_millis(3_700);
    let servers = PacedServers::start(2);
    let sidecar = start(&servers);
    let pace = Pace::new(BodyFraming::Length, head_ms, &[]);
    let mut client = sidecar.client();
    let request = request_with("head", class, LONG_TIME_LEFT_MS, &pace.header());
    client.write(with_sized_body(&request, request_bytes));
    std::thread::sleep(Duration::from_millis(800));
    let terminated_at = Instant::now();
    sidecar.signal("TERM");
    let answer = client.read_complete().expect("a complete answer");
    let took = terminated_at.elapsed();
    assert_eq!(answer.status(), 502);
    assert!(took < KILL_DELAY, "{took:?}");
}

/// An attempt without a response still times out when an answer would earn nothing more.
#[test]
fn an_answer_that_has_not_begun_is_given_up_when_it_earns_nothing_more() {
    let servers = PacedServers::start(2);
    let sidecar = start(&servers);
    let pace = Pace::new(BodyFraming::Length, TIME_LEFT_MS / 2, &[(0, 4)]);
    let started_at = Instant::now();
    let mut client = sidecar.client();
    client.write(request_with(
        "none",
        "recheck",
        TIME_LEFT_MS,
        &pace.header(),
    ));
    let answer = client.read_complete().expect("a complete answer");
    let took = started_at.elapsed();
    assert_eq!(answer.status(), 502);
    assert!(took <= LATENCY_OBJECTIVE + SLACK, "{took:?}");
}

/// A large request, framed by its length, is sent on a new connection.
fn upload(sidecar: &Sidecar, id: &str, class: &str, bytes: usize, pace: &Pace) -> Option<u16> {
    let request = request_with(id, class, TIME_LEFT_MS, &pace.header());
    let mut client = sidecar.client();
    client.write(with_sized_body(&request, bytes));
    client.read_complete().map(|answer| answer.status())
}

/// A large request that its server goes on reading does not time out when its answer would earn nothing more.
#[rstest]
#[case::buffered(600_000, 600_000)]
#[case::streamed(2_000_000, 1_500_000)]
fn a_large_request_that_its_server_goes_on_reading_is_not_given_up(
    #[case] bytes: usize,
    #[case] read_rate: usize,
    #[values("recheck", "submit-check")] class: &str,
) {
    let servers = PacedServers::start(2);
    let sidecar = start(&servers);
    let pace = Pace {
        read_rate: Some(read_rate),
        ..Pace::new(BodyFraming::Length, 0, &[(0, 4)])
    };
    let statuses: Vec<_> = (0..REQUESTS)
        .map(|number| upload(&sidecar, &format!("u{number}"), class, bytes, &pace))
        .collect();
    assert!(
        statuses.iter().all(|status| *status == Some(200)),
        "{statuses:?}"
    );
}
