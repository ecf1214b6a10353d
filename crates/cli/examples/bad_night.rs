//! The servers and the clients of `examples/levels/operator.toml` on a bad night: `cargo run --example bad_night`, with
//! `madderloom serve --operator examples/levels/operator.toml` beside it. Three servers do 50 requests a second each;
//! 40 submissions and 40 rechecks come. From second 10 to second 40 two of the servers fail.

mod common;

use std::io::{BufRead, BufReader, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: [&str; 3] = ["127.0.0.1:6021", "127.0.0.1:6022", "127.0.0.1:6023"];
const FRONT: &str = "127.0.0.1:5000";
/// Clients of each class, and how often each asks.
const CLIENTS: u64 = 40;
const EVERY: Duration = Duration::from_secs(1);
const NIGHT: u64 = 60;

/// Served and asked, of each class.
type Counts = [[AtomicU64; 2]; 2];

fn main() -> Result<()> {
    let begun = Instant::now();
    for (number, at) in SERVERS.into_iter().enumerate() {
        let listener = TcpListener::bind(at)?;
        let core = Arc::new(Mutex::new(()));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let core = Arc::clone(&core);
                // A connection that breaks is the end of its thread alone.
                thread::spawn(move || serve(stream, &core, begun, number > 0));
            }
        });
    }
    println!("servers on {}; waiting for {FRONT}", SERVERS.join(", "));
    while TcpStream::connect(FRONT).is_err() {
        thread::sleep(Duration::from_millis(100));
    }
    let counts: Arc<Counts> = Arc::default();
    for client in 0..2 * CLIENTS {
        let counts = Arc::clone(&counts);
        thread::spawn(move || {
            // Spread over the second.
            thread::sleep(EVERY * client as u32 / (2 * CLIENTS as u32));
            for number in 0.. {
                let asked = Instant::now();
                let class = (client % 2) as usize;
                counts[class][1].fetch_add(1, Ordering::Relaxed);
                if ask(class, client, number).unwrap_or(false) {
                    counts[class][0].fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(EVERY.saturating_sub(asked.elapsed()));
            }
        });
    }
    println!("second  servers  submissions in time  rechecks in time");
    for second in 0..NIGHT {
        thread::sleep(Duration::from_secs(1));
        let well = if fails(begun) { 1 } else { 3 };
        let told = counts.each_ref().map(|class| {
            let [served, asked] = class
                .each_ref()
                .map(|count| count.swap(0, Ordering::Relaxed));
            format!("{served} of {asked}")
        });
        println!("{second:>6}  {well:>7}  {:>19}  {:>16}", told[0], told[1]);
    }
    Ok(())
}

fn fails(begun: Instant) -> bool {
    (10..40).contains(&begun.elapsed().as_secs())
}

/// One request; whether it was served within its aim.
fn ask(class: usize, client: u64, number: u64) -> Result<bool> {
    let asked = Instant::now();
    let mut stream = TcpStream::connect(FRONT)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let what = ["POST /submit-check", "GET /recheck"][class];
    write!(
        stream,
        "{what} HTTP/1.1\r\nHost: papers\r\nX-Trace-Id: {client}-{number}\r\nX-Expires-In-Ms: 1500\r\n\
         Cookie: key={client:x}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer)?;
    Ok(answer.contains(" 200 ") && asked.elapsed() < Duration::from_millis(500))
}

/// A server with one core: a request takes 20 ms of it. One that fails does so at once.
fn serve(stream: TcpStream, core: &Mutex<()>, begun: Instant, may_fail: bool) -> Result<()> {
    let mut reader = BufReader::new(stream);
    while common::read(&mut reader)?.is_some() {
        if may_fail && fails(begun) {
            write!(
                reader.get_mut(),
                "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
            )?;
            continue;
        }
        {
            let _core = core.lock();
            thread::sleep(Duration::from_millis(20));
        }
        write!(
            reader.get_mut(),
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        )?;
    }
    Ok(())
}
