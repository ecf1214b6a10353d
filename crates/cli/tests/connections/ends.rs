//! However connections end, nothing of them stays.

use super::*;
use rstest::rstest;

/// Twice in each case, so twenty thousand over all.
const EACH: usize = 2_000;

#[derive(Clone, Copy, Debug)]
enum Way {
    /// Closed without a word.
    Silent,
    /// Closed in the middle of a head.
    HalfHead,
    /// Closed behind its answer.
    Answered,
    /// Closed while its request is with a server.
    Gone,
    /// Ended by the sidecar, with a 4xx.
    Senseless,
}

/// Those of connections to the server, which may be kept for later, are not counted.
fn descriptors(process: &Process) -> usize {
    let all = std::fs::read_dir(format!("/proc/{}/fd", process.id()))
        .expect("it runs")
        .count();
    all - figure(process, "/limits/server_connections/used") as usize
}

fn memory(process: &Process) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", process.id())).expect("it runs");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("a figure");
    line.split_whitespace()
        .next()
        .and_then(|kib| kib.parse().ok())
        .expect("a number")
}

fn end_by(process: &Process, way: Way) {
    let mut conn = process.client("in");
    let (_, head) = submit("papers", 5);
    match way {
        Way::Silent => {}
        Way::HalfHead => conn.write(&head[..40]),
        Way::Answered => assert_eq!(ask(&mut conn), Some(200)),
        Way::Gone => conn.write(head + "paper"),
        Way::Senseless => {
            conn.write("GET /submit HTTP/1.1\r\nHost: papers.test\r\n\r\n");
            assert!(conn.read().is_some_and(|answer| answer.status() >= 400));
            assert!(conn.read().is_none());
        }
    }
}

#[rstest]
#[case(Way::Silent)]
#[case(Way::HalfHead)]
#[case(Way::Answered)]
#[case(Way::Gone)]
#[case(Way::Senseless)]
fn descriptors_and_memory_return_to_where_they_were(#[case] way: Way) {
    let late = Manner::ServesLate(Duration::from_millis(1));
    let server = StandIn::new(
        "s",
        if matches!(way, Way::Gone) {
            late
        } else {
            Manner::Serves
        },
    );
    let process = process("head_within = \"1s\"", &[&server], "");
    let settled = |process: &Process| {
        wait_until(process, "/connections/parked", |parked| parked == 0);
        wait_until(process, "/connections/served", |served| served == 0);
        wait_until(process, "/pools/0/open", |open| open == 0);
    };
    // What is kept for those to come is there after the first of them; it may grow by a step once more.
    (0..EACH).for_each(|_| end_by(&process, way));
    settled(&process);
    let (before, memory_before) = (descriptors(&process), memory(&process));
    (0..EACH).for_each(|_| end_by(&process, way));
    settled(&process);
    // What has ended is closed a little later, as its turn comes; the admin view has one that comes and goes.
    let until = Instant::now() + PATIENCE;
    loop {
        let (after, memory_after) = (descriptors(&process), memory(&process));
        if after <= before + 2 && memory_after <= memory_before + 3_072 {
            return;
        }
        let seen = format!(
            "{before} descriptors, {memory_before} KiB before, {after} and {memory_after} after"
        );
        assert!(Instant::now() < until, "{seen}");
    }
}
