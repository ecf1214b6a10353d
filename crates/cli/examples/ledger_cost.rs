//! What the ledger costs a request: latency and CPU where it is off, relaxed and durable.
//!
//! `cargo build --release -p madderloom && cargo run --release -p madderloom --example ledger_cost DIR [RATE [SECONDS [ROUNDS]]]`
//!
//! The real program before a server of 2 ms, both on loopback, asked RATE times a second on a schedule for submissions
//! that must not run twice; each latency counts from the time at which the request was due. The store is in DIR. Arms
//! follow each other in each round; a figure is the median of the rounds, with the least and the most. A flush of DIR is
//! measured beside them.

mod common;

use common::{Program, read, spread};
use hdrhistogram::Histogram;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: u32 = 32;
const ARMS: [&str; 3] = ["off", "relaxed", "durable"];

#[derive(Default)]
struct Row {
    p50: f64,
    p99: f64,
    served: f64,
    errors: u64,
    /// Microseconds for each request, of the whole process and of the thread that serves.
    cpu: f64,
    serving: f64,
    /// Batches of the store in one group.
    grouped: f64,
    flush: f64,
}

fn main() -> Result<()> {
    let mut arguments = std::env::args().skip(1);
    let directory = arguments.next().expect("a directory for the store");
    let mut numbers = arguments.map(|a| a.parse().expect("a whole number"));
    let rate: u32 = numbers.next().unwrap_or(400);
    let seconds = numbers.next().unwrap_or(5).into();
    let rounds = numbers.next().unwrap_or(5);
    let server = server()?;
    let mut rows: Vec<Vec<Row>> = ARMS.iter().map(|_| Vec::new()).collect();
    for _ in 0..rounds {
        for (rows, arm) in rows.iter_mut().zip(ARMS) {
            rows.push(run(
                arm,
                Path::new(&directory),
                server,
                rate,
                Duration::from_secs(seconds),
            )?);
        }
    }
    println!(
        "{rounds} rounds of {seconds} s, {rate} submissions a second; median (least to most)\n"
    );
    println!(
        "| ledger | p50 ms | p99 ms | served a second | errors | CPU µs a request | of it serving | batches a group | a flush ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (rows, arm) in rows.iter().zip(ARMS) {
        let of = |pick: fn(&Row) -> f64| spread(rows.iter().map(pick).collect());
        let errors: u64 = rows.iter().map(|r| r.errors).sum();
        println!(
            "| {arm} | {} | {} | {} | {errors} | {} | {} | {} | {} |",
            of(|r| r.p50),
            of(|r| r.p99),
            of(|r| r.served),
            of(|r| r.cpu),
            of(|r| r.serving),
            of(|r| r.grouped),
            of(|r| r.flush)
        );
    }
    Ok(())
}

fn run(arm: &str, beside: &Path, server: SocketAddr, rate: u32, span: Duration) -> Result<Row> {
    let directory = tempfile::tempdir_in(beside)?;
    let flush = flush_time(directory.path())?;
    let store = directory.path().join("store");
    std::fs::create_dir(&store)?;
    let state = if arm == "off" {
        String::new()
    } else {
        format!(
            "[state]\ndir = \"{}\"\nledger = \"{arm}\"\n",
            store.display()
        )
    };
    let text = format!(
        "version = 1\n{state}[admin]\nlisten = \"127.0.0.1:0\"\n\
         [[listeners]]\nname = \"front\"\naddress = \"127.0.0.1:0\"\n[[routes]]\nname = \"all\"\npool = \"pay\"\n\
         [[pools]]\nname = \"pay\"\nservers = [{{ name = \"s1\", address = \"{server}\" }}]\n[pools.settings]\n\
         group_size = 1\nmy_zone = 0\nperiod = 5000\ndiscovery = \"automatic\"\n\
         services = [{{ name = \"submit\", effect = \"unsafe\", on_time = 600_000, give_up = 1_500_000, worth = 1 }}]\n\
         limits = {{ cancel = true, max_attempts = 3, retry_after = true, max_retry_after = 1_000_000 }}\n\
         safety = {{ cold = 1_000_000, cold_from = 0.3, fall = 1_000_000 }}\n"
    );
    let file = directory.path().join("operator.toml");
    std::fs::write(&file, text)?;
    let program = std::env::current_exe()?.with_file_name("../madderloom");
    let mut child = Command::new(program)
        .args(["serve", "--operator"])
        .arg(&file)
        .env_remove("RELAY_CONFIG")
        .stderr(Stdio::piped())
        .spawn()?;
    let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
    let mut next = |what: &str| {
        let line = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains(what));
        let line = line.expect("it says where it listens");
        line.rsplit(' ')
            .next()
            .and_then(|at| at.parse::<SocketAddr>().ok())
            .unwrap_or_else(|| panic!("{line}"))
    };
    let (at, admin) = (next("front: listening on"), next("admin view on"));
    thread::spawn(move || lines.for_each(drop));
    let program = Program(child);
    // Connections are opened, and the module learns.
    load(at, rate, Duration::from_millis(700));
    let (id, began) = (program.0.id(), Instant::now());
    let (cpu, serving, groups) = (cpu_of(id, None), cpu_of(id, Some(id)), groups(admin)?);
    let (all, errors) = load(at, rate, span);
    let took = began.elapsed().as_secs_f64();
    let (cpu, serving) = (cpu_of(id, None) - cpu, cpu_of(id, Some(id)) - serving);
    let written = self::groups(admin)?;
    let served = all.len() as f64;
    let ms = |part: f64| all.value_at_quantile(part) as f64 / 1e3;
    Ok(Row {
        p50: ms(0.5),
        p99: ms(0.99),
        served: served / took,
        errors,
        cpu: 1e6 * cpu / served,
        serving: 1e6 * serving / served,
        grouped: (written.1 - groups.1) / (written.0 - groups.0).max(1.0),
        flush,
    })
}

/// The median time in which a small write is flushed, in milliseconds.
fn flush_time(directory: &Path) -> Result<f64> {
    let mut file = File::create(directory.join("flush"))?;
    file.write_all(&[0; 1 << 16])?;
    file.sync_all()?;
    let mut times = Vec::new();
    for at in 0..50 {
        let began = Instant::now();
        std::os::unix::fs::FileExt::write_at(&file, &[1; 100], at * 100)?;
        file.sync_data()?;
        times.push(began.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    Ok(times[25])
}

/// User and system time of a process or of one of its threads, in seconds.
fn cpu_of(id: u32, thread: Option<u32>) -> f64 {
    let path = match thread {
        Some(thread) => format!("/proc/{id}/task/{thread}/schedstat"),
        None => format!("/proc/{id}/task"),
    };
    let nanos = |path: &Path| {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        text.split(' ')
            .next()
            .and_then(|first| first.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    match thread {
        Some(_) => nanos(Path::new(&path)) / 1e9,
        None => {
            let tasks = std::fs::read_dir(path).into_iter().flatten().flatten();
            tasks
                .map(|task| nanos(&task.path().join("schedstat")))
                .sum::<f64>()
                / 1e9
        }
    }
}

/// Groups and batches that the store has written.
fn groups(admin: SocketAddr) -> Result<(f64, f64)> {
    let mut stream = TcpStream::connect(admin)?;
    stream.write_all(b"GET /v1/status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
    let status: serde_json::Value = serde_json::from_str(body)?;
    let number = |name: &str| status["state"][name].as_f64().unwrap_or(0.0);
    Ok((number("groups"), number("batches")))
}

/// A server: 2 ms for each request.
fn server() -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    Ok(at)
}

fn serve(stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while read(&mut reader)?.is_some() {
        thread::sleep(Duration::from_millis(2));
        reader
            .get_mut()
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade")?;
    }
    Ok(())
}

/// Submissions on a schedule; microseconds of those that were served, and how many were not.
fn load(at: SocketAddr, rate: u32, span: Duration) -> (Histogram<u64>, u64) {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| thread::spawn(move || ask(at, n, rate, span)))
        .collect();
    let (mut all, mut errors) = (Histogram::new(3).expect("three digits"), 0);
    for client in clients {
        let (times, failed) = client.join().expect("a client panicked");
        all.add(times).expect("of one kind");
        errors += failed;
    }
    (all, errors)
}

fn ask(at: SocketAddr, client: u32, rate: u32, span: Duration) -> (Histogram<u64>, u64) {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let (mut times, mut errors, mut kept) = (Histogram::new(3).expect("three digits"), 0, None);
    let gap = Duration::from_secs(1) * CLIENTS / rate;
    let mut due = Instant::now() + gap * client / CLIENTS;
    let until = due + span;
    while due < until {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let id = NEXT.fetch_add(1, Relaxed);
        let text = format!(
            "POST /submit HTTP/1.1\r\nHost: s\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 1500\r\nContent-Length: 5\r\n\r\npaper"
        );
        let mut exchange = || -> Result<bool> {
            let mut reader = match kept.take() {
                Some(reader) => reader,
                None => BufReader::new(TcpStream::connect(at)?),
            };
            reader.get_mut().set_nodelay(true)?;
            reader.get_mut().write_all(text.as_bytes())?;
            let first = read(&mut reader)?;
            kept = Some(reader);
            Ok(first.is_some_and(|first| first.contains(" 200 ")))
        };
        match exchange() {
            Ok(true) => times
                .record(due.elapsed().as_micros() as u64)
                .expect("it grows"),
            _ => errors += 1,
        }
        due += gap;
    }
    (times, errors)
}
