//! A process that is stopped for a while and goes on. What arrived meanwhile lies in its sockets, and the time of the stop is
//! neither its servers' nor its clients'.

use super::*;
use madderloom_fault_testing::number_from_env;
use std::sync::Mutex;

/// Clients, each on a connection that stays open.
const CLIENTS: usize = 20;
/// Between an answer and the client's next request.
const PAUSE: Duration = Duration::from_millis(5);
/// How long each server works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// How long the process is stopped: shorter and longer than what a client allows a request.
const STOPS: [Duration; 4] = [
    Duration::from_millis(150),
    Duration::from_millis(500),
    Duration::from_millis(1_200),
    Duration::from_millis(3_000),
];
/// How long shares are looked at behind a stop.
const OBSERVED: Duration = Duration::from_millis(2_000);
/// Between two looks.
const LOOK: Duration = Duration::from_millis(250);
/// How far the share of a server may move over a stop.
const MAX_SHARE_MOVE: f64 = 0.05;
const DEFAULT_SEED: u64 = 1;

/// Statuses that clients got, with how long each took.
type Answers = Arc<Mutex<Vec<(u16, Duration)>>>;

/// Repeats a request with a deadline of 900 ms until `over` is set.
fn client(at: SocketAddr, over: &AtomicBool, answers: &Answers) {
    let mut conn = connect(at);
    while !over.load(Ordering::Relaxed) {
        let (_, head) = submit("papers", 5);
        let head = head.replace("X-Expires-In-Ms: 5000", "X-Expires-In-Ms: 900");
        let asked = Instant::now();
        conn.write(head + "paper");
        let status = conn.read().map_or(0, |answer| answer.status());
        answers
            .lock()
            .expect("no thread panics")
            .push((status, asked.elapsed()));
        if status == 0 {
            conn = connect(at);
        }
        std::thread::sleep(PAUSE);
    }
}

/// The share of each server, by its name.
fn shares(process: &Process) -> Vec<(String, f64)> {
    let status = process.status();
    let servers = status["pools"][0]["servers"].as_array().expect("servers");
    servers
        .iter()
        .map(|server| {
            let name = server["name"].as_str().expect("a name");
            (name.to_string(), server["share"].as_f64().expect("a share"))
        })
        .collect()
}

/// Stops the process, lets it go on, and gives the farthest that any share moved behind it.
fn stop_once(process: &Process, stop: Duration) -> f64 {
    let before = shares(process);
    process.signal("STOP");
    std::thread::sleep(stop);
    process.signal("CONT");
    let until = Instant::now() + OBSERVED;
    let mut farthest = 0.0_f64;
    while Instant::now() < until {
        std::thread::sleep(LOOK);
        for ((name, share), (_, first)) in shares(process).iter().zip(&before) {
            if (share - first).abs() > farthest {
                farthest = (share - first).abs();
                eprintln!("stop of {stop:?}: {name} from {first:.3} to {share:.3}");
            }
        }
    }
    farthest
}

/// Guards against charging the time of a stop to servers and clients: timers that came due during it fired before the answers
/// in the sockets were read, which failed requests that had been served, and moved shares between equal servers.
#[rstest::rstest]
#[case::one_server(1)]
#[case::three_servers(3)]
#[case::twelve_servers(12)]
fn a_stop_fails_no_request_and_moves_no_share(#[case] count: usize) {
    let servers: Vec<StandIn> = (0..count)
        .map(|at| StandIn::new(&format!("s{at}"), Manner::ServesLate(SERVICE_TIME)))
        .collect();
    let process = process("", &servers.iter().collect::<Vec<_>>(), "");
    let (over, answers) = (Arc::new(AtomicBool::new(false)), Answers::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (at, over, answers) = (process.at("in"), Arc::clone(&over), Arc::clone(&answers));
            std::thread::spawn(move || client(at, &over, &answers))
        })
        .collect();
    // Until the shares have settled.
    std::thread::sleep(Duration::from_secs(4));
    let mut random = oorandom::Rand32::new(number_from_env("MADDERLOOM_SEED", DEFAULT_SEED));
    let stops = number_from_env("MADDERLOOM_STOPS", STOPS.len() as u64) as usize;
    let mut moves = Vec::new();
    for number in 0..stops {
        std::thread::sleep(Duration::from_millis(u64::from(random.rand_range(0..200))));
        let stop = STOPS[number % STOPS.len()];
        moves.push((stop, stop_once(&process, stop)));
    }
    over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().expect("no client panics");
    }
    let answers = answers.lock().expect("no thread panics");
    let failed: Vec<_> = answers
        .iter()
        .filter(|(status, _)| ![200, 503].contains(status))
        .collect();
    let rejected = answers.iter().filter(|(status, _)| *status == 503).count();
    let log = process.log();
    let ejected: Vec<_> = log.iter().filter(|line| line.contains("ejected")).collect();
    eprintln!(
        "{} answers, {rejected} rejected, {} failed, moves {moves:?}, log {log:#?}",
        answers.len(),
        failed.len()
    );
    assert!(failed.is_empty(), "failed: {failed:?}");
    assert!(ejected.is_empty(), "ejected: {ejected:?}");
    let far: Vec<_> = moves
        .iter()
        .filter(|(_, moved)| *moved > MAX_SHARE_MOVE)
        .collect();
    assert!(far.is_empty(), "shares moved: {far:?}");
}

/// Guards against taking the time of a stop for latency: the requests that were in flight then looked as if the class were
/// overloaded, and whole bursts behind the stop were refused.
#[test]
fn a_burst_behind_a_stop_with_requests_in_flight_is_served() {
    const IN_FLIGHT: Duration = Duration::from_millis(100);
    const STOP: Duration = Duration::from_millis(2_500);
    const ROUNDS: usize = 3;
    let server = StandIn::new("s", Manner::Serves);
    let process = process("", &[&server], "");
    let mut conns: Vec<Conn> = (0..CLIENTS).map(|_| connect(process.at("in"))).collect();
    for _ in 0..ROUNDS {
        assert!(idle::ask_all(&mut conns).contains(&200));
        server.turn_to(Manner::ServesLate(2 * IN_FLIGHT));
        let asked = std::thread::spawn(move || (idle::ask_all(&mut conns), conns));
        std::thread::sleep(IN_FLIGHT);
        process.signal("STOP");
        std::thread::sleep(STOP);
        process.signal("CONT");
        let (answers, asked) = asked.join().expect("no panic");
        assert!(
            answers.iter().all(|status| [200, 503].contains(status)),
            "{answers:?}"
        );
        conns = asked;
        server.turn_to(Manner::Serves);
        let behind = idle::ask_all(&mut conns);
        let served = behind.iter().filter(|status| **status == 200).count();
        eprintln!("in flight: {answers:?}; behind: {served} of {CLIENTS} served");
        assert_eq!(served, CLIENTS, "served behind the stop");
    }
}
