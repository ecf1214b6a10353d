//! Exchanges of which all is drawn from a seed: framing, class, pace, size, the client's time, and an event in between. What a
//! server has begun in time comes whole; all else has a complete final answer at the client's time; nothing runs twice that must not.
//!
//! `MADDERLOOM_SEED` is the first seed, `MADDERLOOM_SEEDS` their number; each is a process and [`EXCHANGES`] exchanges.

use crate::SLACK;
use crate::begun_answers::{LATENCY_OBJECTIVE, set_latency_objective};
use crate::rig::{Conn, Options, Sidecar, listing, request_with, with_sized_body};
use madderloom_fault_testing::{BodyFraming, ExchangeRecord, Pace, PacedServers, number_from_env};
use oorandom::Rand32;
use std::time::{Duration, Instant};

const SERVERS: usize = 3;
const EXCHANGES: usize = 12;
/// All requests are sent within this time.
const SENDING: Duration = Duration::from_millis(300);
/// The disturbance comes by this time, and SIGTERM after the last request was sent.
const LAST_EVENT_MS: u32 = 1_500;
/// What is written by a server this much before a limit counts as before it.
const MARGIN: Duration = Duration::from_millis(60);
/// A pause of a short answer that may lead to another attempt.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// A response with a length up to this is buffered.
const MAX_BUFFERED: usize = 64 << 10;
/// Uploads up to this may lie in the system's buffers, where nothing shows how far their server has read them.
const MIN_UPLOAD_BYTES: u32 = 700_000;

/// A class of the configuration.
#[derive(Clone, Copy, Debug)]
struct Class {
    name: &'static str,
    must_not_run_twice: bool,
    /// A late answer earns nothing, so the header timeout is the latency objective.
    late_is_worthless: bool,
}

const CLASSES: [Class; 4] = [
    Class {
        name: "recheck",
        must_not_run_twice: false,
        late_is_worthless: true,
    },
    Class {
        name: "submit-check",
        must_not_run_twice: true,
        late_is_worthless: false,
    },
    Class {
        name: "look",
        must_not_run_twice: false,
        late_is_worthless: true,
    },
    Class {
        name: "recheck-late",
        must_not_run_twice: false,
        late_is_worthless: false,
    },
];

/// Adds the classes that the usual configuration does not have.
fn add_classes(config: &mut serde_json::Value) {
    let classes = config["settings"]["services"].as_array_mut();
    let classes = classes.expect("classes");
    let keyed = classes
        .iter()
        .find(|class| class["name"] == "recheck")
        .expect("a keyed class")
        .clone();
    for (name, effect, late_worth) in [("look", "safe", 0.0), ("recheck-late", "keyed", 0.5)] {
        let mut class = keyed.clone();
        class["name"] = name.into();
        class["effect"] = effect.into();
        class["late_worth"] = late_worth.into();
        classes.push(class);
    }
    set_latency_objective(config);
}

/// What happens while the exchanges go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    None,
    Reload,
    ServerDrains,
    ServerLeaves,
    Terminate,
}

#[derive(Clone, Debug)]
struct Exchange {
    id: String,
    class: Class,
    starts_after: Duration,
    time_left: Duration,
    pace: Pace,
    /// Length of the request's body, if it is an upload.
    upload_bytes: Option<usize>,
}

impl Exchange {
    fn draw(random: &mut Rand32, id: String) -> Self {
        let mut up_to = |most: u32| u64::from(random.rand_range(0..most));
        let class = CLASSES[up_to(CLASSES.len() as u32) as usize];
        let framing = BodyFraming::ALL[up_to(3) as usize];
        let piece_bytes = [500, 20_000, 60_000][up_to(3) as usize];
        let pieces: Vec<(u64, usize)> = (0..=up_to(4))
            .map(|_| (up_to(2) * up_to(700), 1 + up_to(piece_bytes) as usize))
            .collect();
        let silent = up_to(10) == 0;
        let mut pace = Pace::new(framing, up_to(600), if silent { &[] } else { &pieces });
        let is_upload = up_to(5) == 0;
        if is_upload {
            pace.head_after = Duration::from_millis(up_to(50));
            pace.read_rate = Some(500_000 + up_to(2_500_000) as usize);
        }
        let upload_bytes = is_upload.then(|| MIN_UPLOAD_BYTES as usize + up_to(1_300_000) as usize);
        Exchange {
            id,
            class,
            starts_after: Duration::from_millis(up_to(SENDING.as_millis() as u32)),
            time_left: Duration::from_millis(700 + up_to(1_500)),
            pace,
            upload_bytes,
        }
    }

    /// Plays it, and returns what the client saw.
    fn run(&self, mut client: Conn) -> Seen {
        std::thread::sleep(self.starts_after);
        let time_left_ms = self.time_left.as_millis() as u64;
        let header = self.pace.header();
        let request = request_with(&self.id, self.class.name, time_left_ms, &header);
        let message = match self.upload_bytes {
            Some(bytes) => with_sized_body(&request, bytes),
            None => request.into_bytes(),
        };
        let started_at = Instant::now();
        client.try_write(&message);
        // The time counts from the last byte.
        let sent_at = Instant::now();
        let head = client.read_head();
        let head_at = Instant::now();
        let mut seen = Seen {
            started_at,
            sent_at,
            head_at,
            status: None,
            is_complete: false,
            is_whole: false,
        };
        if let Some(mut head) = head {
            seen.status = Some(head.status());
            seen.is_complete = client.read_body(&mut head).is_some();
            seen.is_whole = seen.is_complete && head.body == self.pace.body();
        }
        seen
    }

    /// Whether the answer has to come whole, by what its server wrote when.
    fn must_be_whole(&self, seen: &Seen, record: &ExchangeRecord) -> bool {
        let within = |at: Option<Instant>, limit: Duration| {
            at.is_some_and(|at| at + MARGIN <= seen.started_at + limit)
        };
        let begins_by = if self.class.late_is_worthless && self.upload_bytes.is_none() {
            LATENCY_OBJECTIVE.min(self.time_left)
        } else {
            self.time_left
        };
        let is_streamed =
            self.pace.framing != BodyFraming::Length || self.pace.body_length() > MAX_BUFFERED;
        let due = if is_streamed {
            record.first_piece_at
        } else {
            record.last_piece_at
        };
        within(record.head_written_at, begins_by)
            && within(due, self.time_left)
            && (is_streamed || !self.may_be_asked_elsewhere())
    }

    /// A short answer that stops half way may be asked for at another server while that has as long to answer, which it never has
    /// within the latency objective.
    fn may_be_asked_elsewhere(&self) -> bool {
        let has_pause = self
            .pace
            .pieces
            .iter()
            .skip(1)
            .any(|piece| piece.after + MARGIN >= MAX_PAUSE);
        has_pause && !self.class.late_is_worthless && !self.class.must_not_run_twice
    }

    /// What is wrong with what the client saw.
    fn judge(&self, seen: &Seen, record: &ExchangeRecord) -> Option<String> {
        let wrong = |what: &str| Some(format!("{what}: {self:?} {seen:?} {record:?}"));
        if self.class.must_not_run_twice && record.runs > 1 {
            return wrong("it ran twice");
        }
        let Some(status) = seen.status else {
            return wrong("no answer");
        };
        if seen.head_at > seen.sent_at + self.time_left + SLACK {
            return wrong("late");
        }
        if status != 200 && !seen.is_complete {
            return wrong("no complete answer");
        }
        if record.runs == 0 {
            return (status == 200).then(|| format!("served by nobody: {self:?}"));
        }
        if self.must_be_whole(seen, record) && !seen.is_whole {
            return wrong("cut off");
        }
        (status == 200 && !seen.is_whole)
            .then(|| wrong("not whole"))
            .flatten()
    }
}

/// What a client saw of its exchange.
#[derive(Clone, Copy, Debug)]
struct Seen {
    started_at: Instant,
    sent_at: Instant,
    head_at: Instant,
    status: Option<u16>,
    is_complete: bool,
    is_whole: bool,
}

/// Plays the exchanges of a seed with a process of their own. Returns how many came whole, and what went wrong.
fn play(seed: u64, servers: &PacedServers) -> (usize, Vec<String>) {
    let mut random = Rand32::new(seed);
    let exchanges: Vec<Exchange> = (0..EXCHANGES)
        .map(|number| Exchange::draw(&mut random, format!("{seed}-{number}")))
        .collect();
    let disturbance = [
        Disturbance::None,
        Disturbance::Reload,
        Disturbance::ServerDrains,
        Disturbance::ServerLeaves,
        Disturbance::Terminate,
    ][random.rand_range(0..5) as usize];
    let earliest = match disturbance {
        Disturbance::Terminate => SENDING.as_millis() as u32 + 50,
        _ => 0,
    };
    let event_at = Duration::from_millis(random.rand_range(earliest..LAST_EVENT_MS).into());
    let options = Options {
        edit: add_classes,
        ..Options::default()
    };
    let sidecar = Sidecar::with(&servers.addresses, options);
    let clients: Vec<_> = exchanges
        .iter()
        .map(|exchange| {
            let (exchange, client) = (exchange.clone(), sidecar.client());
            std::thread::spawn(move || exchange.run(client))
        })
        .collect();
    std::thread::sleep(event_at);
    let watch = disturb(&sidecar, disturbance, servers);
    let seen: Vec<Seen> = clients
        .into_iter()
        .map(|client| client.join().expect("it ends"))
        .collect();
    drop(watch);
    let wrong: Vec<String> = exchanges
        .iter()
        .zip(&seen)
        .filter_map(|(exchange, seen)| exchange.judge(seen, &servers.record(&exchange.id)))
        .collect();
    let whole = seen.iter().filter(|seen| seen.is_whole).count();
    println!("seed {seed}: {disturbance:?} at {event_at:?}, {whole} of {EXCHANGES} whole");
    (whole, wrong)
}

/// Brings the disturbance about. The watch of discovery stays open while the returned connection does.
fn disturb(sidecar: &Sidecar, disturbance: Disturbance, servers: &PacedServers) -> Option<Conn> {
    let status = match disturbance {
        Disturbance::None => return None,
        Disturbance::Reload => {
            sidecar.reconfigure(|config| config.replace("\"worth\":10.0", "\"worth\":11.0"));
            return None;
        }
        Disturbance::Terminate => {
            sidecar.signal("TERM");
            return None;
        }
        Disturbance::ServerDrains => "terminating",
        Disturbance::ServerLeaves => "terminated",
    };
    let mut watch = sidecar.discovery.try_accept()?;
    watch.read()?;
    let change = listing(42, false, &[("n0", servers.addresses[0], status)]);
    watch.write_watch_line(&change.to_string());
    Some(watch)
}

#[test]
fn what_has_begun_comes_whole_and_all_else_ends_in_its_time() {
    const DEFAULT_SEEDS: u64 = 12;
    let servers = PacedServers::start(SERVERS);
    let first = number_from_env("MADDERLOOM_SEED", 1);
    let seeds = number_from_env("MADDERLOOM_SEEDS", DEFAULT_SEEDS);
    let (mut whole, mut failed) = (0, Vec::new());
    for seed in first..first + seeds {
        let (came_whole, wrong) = play(seed, &servers);
        whole += came_whole;
        if !wrong.is_empty() {
            println!("seed {seed}: {wrong:#?}");
            failed.push(seed);
        }
    }
    let exchanges = seeds * EXCHANGES as u64;
    println!("{whole} of {exchanges} came whole");
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
    assert!(
        4 * whole as u64 > exchanges,
        "too few came whole to prove anything"
    );
}
