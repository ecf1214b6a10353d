//! Two toy GraphQL servers, for trying a GraphQL route by hand: each breaks the connection on every third request
//! after it has run, so that it can be seen which operations are sent again.
//! Run with `cargo run --example graphql_servers`; `examples/graphql/operator.toml` names the same addresses.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

const SERVERS: [&str; 2] = ["127.0.0.1:6021", "127.0.0.1:6022"];
const BREAKS: u32 = 3;

fn main() -> Result<()> {
    let mut servers = Vec::new();
    for address in SERVERS {
        let listener = TcpListener::bind(address)?;
        println!("listening on {address}");
        servers.push(thread::spawn(move || {
            let count: &'static AtomicU32 = Box::leak(Box::default());
            for stream in listener.incoming().flatten() {
                // A connection that breaks is the end of its thread alone.
                thread::spawn(move || serve(stream, address, count));
            }
        }));
    }
    for server in servers {
        server.join().expect("a server panicked");
    }
    Ok(())
}

fn serve(mut stream: TcpStream, address: &str, count: &AtomicU32) -> Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(body) = request(&mut reader)? {
        let message: Value = serde_json::from_slice(&body).unwrap_or_default();
        let text = message["query"]
            .as_str()
            .unwrap_or("(a hash)")
            .split_whitespace()
            .collect::<Vec<_>>()
            .join(" ");
        let breaks = count.fetch_add(1, Ordering::Relaxed) % BREAKS == BREAKS - 1;
        println!(
            "{address} ran {text}{}",
            if breaks { ", and breaks" } else { "" }
        );
        if breaks {
            return Ok(());
        }
        let answer = match message["query"].as_str() {
            Some(_) => json!({"data": {"served": {"by": address}}}),
            None => json!({"errors": [{
                "message": "PersistedQueryNotFound", "extensions": {"code": "PERSISTED_QUERY_NOT_FOUND"}
            }]}),
        };
        let body = answer.to_string();
        let kind = "application/graphql-response+json";
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
    Ok(())
}

/// The body of one request; none where the other side has closed.
fn request(reader: &mut BufReader<TcpStream>) -> Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut length = 0;
    while line.trim_end() != "" {
        line.clear();
        reader.read_line(&mut line)?;
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(body))
}
