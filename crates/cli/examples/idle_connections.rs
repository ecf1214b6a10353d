//! What idle connections of clients cost: memory, CPU, and what they add to the latency of others' requests.
//!
//! `cargo build --release -p madderloom && cargo run --release -p madderloom --example idle_connections [SECONDS [PROGRAM]]`
//!
//! The real program with one listener, a server and clients as threads on loopback. Beside a growing number of idle
//! connections 200 requests a second are asked on a schedule; each latency counts from the time at which its request
//! was due.

use hdrhistogram::Histogram;
use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const STEPS: [usize; 5] = [0, 10, 100, 1_000, 4_900];
const RATE: u32 = 200;
const CLIENTS: u32 = 10;

fn main() -> Result<()> {
    let mut arguments = std::env::args().skip(1);
    let seconds = arguments
        .next()
        .map_or(5.0, |text| text.parse().expect("a number of seconds"));
    let program = arguments
        .next()
        .unwrap_or_else(|| "target/release/madderloom".to_string());
    let server = TcpListener::bind("127.0.0.1:0")?;
    let at = server.local_addr()?;
    thread::spawn(move || {
        for stream in server.incoming().flatten() {
            thread::spawn(move || answer(stream));
        }
    });
    println!(
        "| idle | RSS KiB | bytes each | CPU % alone | CPU % with {RATE}/s | p50 µs | p99 µs | other than 200 |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut empty = None;
    for idle in STEPS {
        let (mut child, listener) = start(&program, at)?;
        // Whatever is made once is made before it counts.
        active(listener, Duration::from_secs(1))?;
        let mut conns = Vec::new();
        for number in 0..idle {
            let mut stream = TcpStream::connect(listener)?;
            if number % 2 == 0 {
                // Half of them have asked before.
                ask(&mut stream, &format!("i-{number}"))?;
            }
            conns.push(stream);
        }
        thread::sleep(Duration::from_millis(1_500));
        let (memory, alone) = (resident(&child), cpu(&child));
        thread::sleep(Duration::from_secs_f64(seconds));
        let alone = cpu(&child) - alone;
        let before = cpu(&child);
        let (latency, others) = active(listener, Duration::from_secs_f64(seconds))?;
        let used = cpu(&child) - before;
        let least = *empty.get_or_insert(memory);
        let each = memory.saturating_sub(least) as f64 * 1024.0 / idle.max(1) as f64;
        let part = |used: Duration| 100.0 * used.as_secs_f64() / seconds;
        println!(
            "| {idle} | {memory} | {each:.0} | {:.2} | {:.2} | {} | {} | {others} |",
            part(alone),
            part(used),
            latency.value_at_quantile(0.5),
            latency.value_at_quantile(0.99)
        );
        drop(conns);
        child.kill()?;
        child.wait()?;
    }
    Ok(())
}

/// Requests on a schedule, and how many were not served.
fn active(at: SocketAddr, time: Duration) -> Result<(Histogram<u64>, u64)> {
    let begun = Instant::now();
    let gap = Duration::from_secs(1) * CLIENTS / RATE;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            thread::spawn(move || -> Result<(Histogram<u64>, u64)> {
                let mut stream = TcpStream::connect(at)?;
                let (mut latency, mut others) = (histogram(), 0);
                let mut due = begun + gap * client / CLIENTS;
                while due < begun + time {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let id = format!("a-{client}-{:?}", due.duration_since(begun));
                    others += u64::from(!ask(&mut stream, &id)?);
                    latency.saturating_record(due.elapsed().as_micros() as u64);
                    due += gap;
                }
                Ok((latency, others))
            })
        })
        .collect();
    let (mut latency, mut others) = (histogram(), 0);
    for client in clients {
        let (of_client, of_others) = client.join().expect("a client panicked")?;
        latency.add(of_client).expect("both have the same bounds");
        others += of_others;
    }
    Ok((latency, others))
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant bounds")
}

/// One request; true where it is served.
fn ask(stream: &mut TcpStream, id: &str) -> Result<bool> {
    stream.set_nodelay(true)?;
    write!(
        stream,
        "POST /submit HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 5000\r\nContent-Length: 5\r\n\r\npaper"
    )?;
    let (mut read, mut buffer) = (0, [0; 1024]);
    while !buffer[..read].windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read(&mut buffer[read..])? {
            0 => return Ok(false),
            count => read += count,
        }
    }
    let served = buffer.starts_with(b"HTTP/1.1 200");
    // The server's answers have one byte, which comes with their head or right behind it.
    if served && buffer[..read].ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut [0])?;
    }
    Ok(served)
}

fn answer(stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    loop {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if line.trim_end().is_empty() {
                break;
            }
        }
        reader.read_exact(&mut [0; 5])?;
        reader
            .get_mut()
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ns")?;
    }
}

fn start(program: &str, server: SocketAddr) -> Result<(Child, SocketAddr)> {
    let dir = tempfile::tempdir()?;
    let (file, config) = (
        dir.path().join("operator.toml"),
        dir.path().join("config.json"),
    );
    // The head's limit is the one on idle connections too, so that programs of before can be asked as well.
    std::fs::write(
        &file,
        format!(
            "version = 1\n[[listeners]]\nname = \"in\"\naddress = \"127.0.0.1:0\"\nhead_within = \"60s\"\n\
             [[pools]]\nname = \"papers\"\nservers = [{{ name = \"s\", address = \"{server}\" }}]\n[pools.settings]\n\
             group_size = 1\nmy_zone = 0\nperiod = 5000\ndiscovery = \"automatic\"\n\
             services = [{{ name = \"submit\", effect = \"unsafe\", on_time = 2_000_000, give_up = 6_000_000, worth = 10 }}]\n\
             limits = {{ cancel = true, max_attempts = 6, retry_after = true, max_retry_after = 1_500_000 }}\n\
             safety = {{ cold = 1_000_000, cold_from = 0.3, fall = 1_000_000 }}\n\
             [[routes]]\nname = \"all\"\npool = \"papers\"\n"
        ),
    )?;
    std::fs::write(
        &config,
        "{\"name\":\"idle\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"5eed\",\
         \"limits\":{\"cores\":1.0,\"memory_mb\":2048,\"sockets\":20000},\
         \"known\":{\"index\":1,\"snapshot\":true,\"endpoints\":[]},\
         \"settings\":{\"group_size\":1,\"my_zone\":0,\"period\":1000,\"discovery\":\"automatic\",\"areas\":[\"a\"],\"kinds\":[\"m\"],\
         \"services\":[{\"name\":\"none\",\"effect\":\"unsafe\",\"on_time\":1000000,\"give_up\":2000000,\"worth\":1.0}],\
         \"limits\":{\"cancel\":true,\"max_attempts\":6},\"safety\":{\"cold\":1000000,\"cold_from\":0.3,\"fall\":1000000}}}",
    )?;
    let mut command = Command::new(program);
    command
        .args(["serve", "--operator"])
        .arg(&file)
        .env("RELAY_CONFIG", &config)
        .stderr(Stdio::piped());
    let mut child = command.spawn()?;
    let mut errors = BufReader::new(child.stderr.take().expect("piped"));
    let mut seen = String::new();
    while errors.read_line(&mut seen)? > 0 {
        let line = seen.lines().next_back().unwrap_or_default();
        if let Some((_, at)) = line.split_once("in: listening on ") {
            let at = at
                .split_whitespace()
                .next()
                .and_then(|at| at.parse().ok())
                .expect("an address");
            thread::spawn(move || std::io::copy(&mut errors, &mut std::io::sink()));
            return Ok((child, at));
        }
    }
    panic!("{program} has ended: {seen}");
}

fn resident(child: &Child) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap_or_default();
    line.split_whitespace()
        .next()
        .and_then(|kib| kib.parse().ok())
        .unwrap_or(0)
}

fn cpu(child: &Child) -> Duration {
    let text =
        std::fs::read_to_string(format!("/proc/{}/schedstat", child.id())).unwrap_or_default();
    Duration::from_nanos(
        text.split(' ')
            .next()
            .and_then(|nanos| nanos.parse().ok())
            .unwrap_or(0),
    )
}
