//! What a neighbour costs: one service's latency and errors alone, and beside one that is quiet, flooded, or failing.
//!
//! `cargo build --release -p madderloom && cargo run --release -p madderloom --example neighbours [SECONDS [ROUNDS]]`
//!
//! The real program with two pools on listeners of their own, servers and clients as threads on loopback. The victim
//! is asked 200 times a second on a schedule, and each latency counts from the time at which the request was due, so
//! that a stall is not hidden by what it kept from being sent. The flood is ten times that, in requests or, where it
//! has none, in connections. Arms follow each other in each round, the whole rounds times; a figure is the median of
//! the rounds, with the least and the most.

mod common;

use common::{Program, read, spread};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

const RATE: u32 = 200;
const CLIENTS: u32 = 10;
const FLOODERS: u32 = 50;
const FLOOD: u32 = 10 * RATE;

/// What the neighbour goes through.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Neighbour {
    None,
    Quiet,
    LongBodies,
    ByteByByte,
    Silent,
    Failing,
    Hanging,
}

use Neighbour::*;
const ARMS: [Neighbour; 7] = [
    None, Quiet, LongBodies, ByteByByte, Silent, Failing, Hanging,
];

fn main() -> Result<()> {
    let mut arguments = std::env::args()
        .skip(1)
        .map(|a| a.parse().expect("a whole number"));
    let seconds = arguments.next().unwrap_or(5);
    let rounds = arguments.next().unwrap_or(5);
    let mut rows: Vec<Vec<Row>> = ARMS.iter().map(|_| Vec::new()).collect();
    for _ in 0..rounds {
        for (rows, arm) in rows.iter_mut().zip(ARMS) {
            rows.push(run(arm, Duration::from_secs(seconds))?);
        }
    }
    println!("{rounds} rounds of {seconds} s, {RATE} requests a second; median (least to most)\n");
    println!(
        "| neighbour | p50 ms | p99 ms | errors | p99 of alone | flood a second | CPU % |\n| --- | --- | --- | --- | --- | --- | --- |"
    );
    let alone: Vec<f64> = rows[0].iter().map(|row| row.p99).collect();
    for (rows, arm) in rows.iter().zip(ARMS) {
        let of = |pick: fn(&Row) -> f64| spread(rows.iter().map(pick).collect());
        let ratio = spread(
            rows.iter()
                .zip(&alone)
                .map(|(row, alone)| row.p99 / alone)
                .collect(),
        );
        let mut errors = Errors::new();
        for (what, times) in rows.iter().flat_map(|r| &r.errors) {
            *errors.entry(what.clone()).or_default() += times;
        }
        let told: Vec<String> = errors
            .iter()
            .map(|(what, times)| format!(", {times}x {what}"))
            .collect();
        let (errors, told) = (errors.values().sum::<u64>(), told.concat());
        let asked: u64 = rows.iter().map(|r| r.asked).sum();
        let (p50, p99, flood, cpu) = (of(|r| r.p50), of(|r| r.p99), of(|r| r.flood), of(|r| r.cpu));
        println!(
            "| {arm:?} | {p50} | {p99} | {errors} of {asked}{told} | {ratio} | {flood} | {cpu} |"
        );
    }
    Ok(())
}

/// What was not served, by what came instead.
type Errors = BTreeMap<String, u64>;

struct Row {
    p50: f64,
    p99: f64,
    errors: Errors,
    asked: u64,
    /// What the neighbour's clients did in a second.
    flood: f64,
    cpu: f64,
}

fn run(arm: Neighbour, span: Duration) -> Result<Row> {
    let over: &'static AtomicBool = Box::leak(Box::default());
    let victim = server(Quiet)?;
    let neighbour = server(arm)?;
    let (program, victim_at, neighbour_at) = start(victim, neighbour)?;
    let floods: &'static AtomicU64 = Box::leak(Box::default());
    let mut clients = Vec::new();
    let (threads, rate) = match arm {
        None => (0, 1),
        Quiet | Failing | Hanging => (CLIENTS, RATE),
        _ => (FLOODERS, FLOOD),
    };
    for at in 0..threads {
        clients.push(thread::spawn(move || {
            bother(arm, neighbour_at, at, threads, rate, over, floods)
        }));
    }
    thread::sleep(Duration::from_millis(500));
    let (cpu, flooded, began) = (cpu_of(program.0.id()), floods.load(Relaxed), Instant::now());
    let asking: Vec<_> = (0..CLIENTS)
        .map(|at| thread::spawn(move || ask(victim_at, at, span)))
        .collect();
    let mut all = Histogram::<u64>::new(3).expect("three digits");
    let (mut errors, mut asked) = (Errors::new(), 0);
    for client in asking {
        let (times, failed) = client.join().expect("a client panicked");
        asked += times.len() + failed.values().sum::<u64>();
        for (what, times) in failed {
            *errors.entry(what).or_default() += times;
        }
        all.add(times).expect("of one kind");
    }
    let took = began.elapsed().as_secs_f64();
    let cpu = 100.0 * (cpu_of(program.0.id()) - cpu) / took;
    let flood = (floods.load(Relaxed) - flooded) as f64 / took;
    over.store(true, Relaxed);
    drop(program);
    for client in clients {
        client.join().expect("a flooder panicked");
    }
    let ms = |part: f64| all.value_at_quantile(part) as f64 / 1e3;
    Ok(Row {
        p50: ms(0.5),
        p99: ms(0.99),
        errors,
        asked,
        flood,
        cpu,
    })
}

/// Starts the program with a pool for each of the two, and gives the addresses of their listeners.
fn start(victim: SocketAddr, neighbour: SocketAddr) -> Result<(Program, SocketAddr, SocketAddr)> {
    let service = |name: &str, at: SocketAddr, limits: &str| {
        format!(
            "[[listeners]]\nname = \"{name}\"\naddress = \"127.0.0.1:0\"\n\
             [[routes]]\nname = \"{name}\"\nlisteners = [\"{name}\"]\npool = \"{name}\"\n\
             [[pools]]\nname = \"{name}\"\nservers = [{{ name = \"{name}-one\", address = \"{at}\" }}]\n\
             limits = {{ {limits} }}\n[pools.settings]\ngroup_size = 1\nmy_zone = 0\nperiod = 5000\n\
             discovery = \"automatic\"\n\
             services = [{{ name = \"submit\", effect = \"unsafe\", on_time = 600_000, give_up = 1_500_000, worth = 1 }}]\n\
             limits = {{ cancel = true, max_attempts = 3, retry_after = true, max_retry_after = 1_000_000 }}\n\
             safety = {{ cold = 1_000_000, cold_from = 0.3, fall = 1_000_000 }}\n"
        )
    };
    let limits = format!("requests_per_second = {}, burst = 50", 2 * RATE);
    let text = [
        "version = 1\n".to_string(),
        service("victim", victim, ""),
        service("neighbour", neighbour, &limits),
    ];
    let file = std::env::temp_dir().join(format!("neighbours-{}.toml", std::process::id()));
    std::fs::write(&file, text.concat())?;
    let program = std::env::current_exe()?.with_file_name("../madderloom");
    let mut child = Command::new(program)
        .args(["serve", "--operator"])
        .arg(&file)
        .stderr(Stdio::piped())
        .spawn()?;
    let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
    let mut next = || {
        let line = lines.next().expect("it listens").expect("text");
        line.rsplit(' ')
            .next()
            .and_then(|at| at.parse().ok())
            .unwrap_or_else(|| panic!("{line}"))
    };
    let (victim, neighbour) = (next(), next());
    // What it logs from now on is read, so that it never waits for that.
    thread::spawn(move || lines.for_each(drop));
    std::fs::remove_file(file)?;
    Ok((Program(child), victim, neighbour))
}

/// User and system time of a process, in seconds.
fn cpu_of(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<f64> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split(' ')
        .filter_map(|f| f.parse().ok())
        .collect();
    // The state, a letter, is the field before the first of these.
    (fields.get(10).unwrap_or(&0.0) + fields.get(11).unwrap_or(&0.0)) / 100.0
}

/// A server: 2 ms for each request, or what the neighbour's servers do.
fn server(arm: Neighbour) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream, arm));
        }
    });
    Ok(at)
}

fn serve(stream: TcpStream, arm: Neighbour) -> Result<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while read(&mut reader)?.is_some() {
        match arm {
            Failing => reader
                .get_mut()
                .write_all(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")?,
            Hanging => thread::sleep(Duration::from_secs(60)),
            _ => {
                thread::sleep(Duration::from_millis(2));
                reader
                    .get_mut()
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade")?;
            }
        }
    }
    Ok(())
}

fn request(length: usize) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let id = NEXT.fetch_add(1, Relaxed);
    format!(
        "POST /submit HTTP/1.1\r\nHost: s\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 1500\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// A connection that reads no longer than this.
fn connect(at: SocketAddr) -> Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect(at)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    stream.set_write_timeout(Some(Duration::from_secs(3)))?;
    Ok(BufReader::new(stream))
}

/// One request over a connection that is kept; its status.
fn exchange(kept: &mut Option<BufReader<TcpStream>>, at: SocketAddr, body: &[u8]) -> Result<u16> {
    let mut reader = match kept.take() {
        Some(reader) => reader,
        Option::None => connect(at)?,
    };
    reader.get_mut().write_all(request(body.len()).as_bytes())?;
    reader.get_mut().write_all(body)?;
    let (mut line, mut length, mut closes) = (String::new(), 0, false);
    reader.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or_else(|| std::io::Error::other(format!("answered {line:?}")))?;
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        match name {
            "content-length" => length = value.parse().unwrap_or(0),
            "connection" => closes = value == "close",
            _ => {}
        }
    }
    std::io::copy(&mut reader.by_ref().take(length), &mut std::io::sink())?;
    if !closes {
        *kept = Some(reader);
    }
    Ok(status)
}

/// One of the victim's clients: on time, whatever the last answer took. Microseconds of what was served, and errors.
fn ask(at: SocketAddr, client: u32, span: Duration) -> (Histogram<u64>, Errors) {
    let mut times = Histogram::new(3).expect("three digits");
    let (mut errors, mut kept) = (Errors::new(), Option::None);
    let gap = Duration::from_secs(1) * CLIENTS / RATE;
    let mut due = Instant::now() + gap * client / CLIENTS;
    let until = due + span;
    while due < until {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        match exchange(&mut kept, at, b"paper") {
            Ok(200) => times
                .record(due.elapsed().as_micros() as u64)
                .expect("it grows"),
            Ok(status) => *errors.entry(status.to_string()).or_default() += 1,
            Err(problem) => *errors.entry(problem.to_string()).or_default() += 1,
        }
        due += gap;
    }
    (times, errors)
}

/// One of the neighbour's clients.
fn bother(
    arm: Neighbour,
    at: SocketAddr,
    client: u32,
    of: u32,
    rate: u32,
    over: &AtomicBool,
    done: &AtomicU64,
) {
    let body = vec![b'x'; if arm == LongBodies { 64 << 10 } else { 5 }];
    let gap = Duration::from_secs(1) * of / rate;
    let mut due = Instant::now() + gap * client / of;
    let mut kept = Option::None;
    let mut silent = Vec::new();
    while !over.load(Relaxed) {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        // What is behind by more than a second is not made up for.
        due = (due + gap).max(Instant::now() - Duration::from_secs(1));
        let told = match arm {
            Silent => TcpStream::connect(at).map(|stream| {
                silent.push(stream);
                if silent.len() > 20 {
                    silent.remove(0);
                }
            }),
            ByteByByte => connect(at).and_then(|mut connection| {
                let stream = connection.get_mut();
                let text = request(1_000);
                text.bytes().chain([b'x'; 200]).try_for_each(|byte| {
                    thread::sleep(Duration::from_micros(200));
                    stream.write_all(&[byte])
                })
            }),
            _ => exchange(&mut kept, at, &body).map(drop),
        };
        done.fetch_add(u64::from(told.is_ok()), Relaxed);
    }
}
