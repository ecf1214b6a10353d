//! The servers that `examples/services/operator.toml` names, for trying several services by hand:
//! `cargo run --example two_services`.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const SERVERS: [&str; 5] = [
    "127.0.0.1:6001",
    "127.0.0.1:6002",
    "127.0.0.1:6011",
    "127.0.0.1:6012",
    "127.0.0.1:6013",
];

fn main() -> Result<()> {
    let listeners: Vec<TcpListener> = SERVERS
        .into_iter()
        .map(TcpListener::bind)
        .collect::<Result<_>>()?;
    println!("listening on {}", SERVERS.join(", "));
    let servers: Vec<_> = listeners
        .into_iter()
        .zip(SERVERS)
        .map(|(l, at)| thread::spawn(move || listen(&l, at)))
        .collect();
    servers
        .into_iter()
        .try_for_each(|server| server.join().expect("a server panicked"))
}

/// Gives every connection a thread of its own.
fn listen(listener: &TcpListener, at: &'static str) -> Result<()> {
    for stream in listener.incoming() {
        let stream = stream?;
        // A connection that breaks is the end of its thread alone.
        thread::spawn(move || serve(stream, at));
    }
    Ok(())
}

/// Every request takes a while and is answered with who served it.
fn serve(stream: TcpStream, at: &str) -> Result<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let (mut start, mut length) = (String::new(), 0);
        if reader.read_line(&mut start)? == 0 {
            return Ok(());
        }
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
        std::io::copy(&mut reader.by_ref().take(length), &mut std::io::sink())?;
        println!("{at}: {}", start.trim_end());
        thread::sleep(Duration::from_millis(50));
        let body = format!("served by {at}\n");
        write!(
            reader.get_mut(),
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
}
