//! What classing adds to a hop: the same bodies through a plain route and through a GraphQL route of the real
//! program, in turn, against a server that answers at once.
//! Run with `cargo build --release` and then `cargo run --release --example graphql_hop`.

use hdrhistogram::Histogram;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const EACH: usize = 4_000;

fn main() {
    let server = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let at = server.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        for stream in server.incoming().flatten() {
            std::thread::spawn(move || answer_at_once(stream));
        }
    });
    let (mut program, front) = start(at);
    println!(
        "{:>8}  {:>6}  {:>22}  {:>22}  {:>17}",
        "body", "text", "plain p50, p99 [us]", "GraphQL p50, p99 [us]", "more p50, p99"
    );
    for bytes in [200, 2 << 10, 60 << 10] {
        for new in [false, true] {
            let mut client = connect(front);
            let mut times = [histogram(), histogram()];
            for request in 0..EACH {
                let body = message(bytes, if new { request } else { 0 });
                // In turn, so that what else the machine does befalls both alike.
                for (path, times) in ["/plain", "/graphql"].into_iter().zip(&mut times) {
                    let head = format!(
                        "POST {path} HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nX-Trace-Id: {path}-{bytes}-{new}-{request}\r\n\
                         X-Expires-In-Ms: 5000\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    let sent = Instant::now();
                    client
                        .get_mut()
                        .write_all(&[head.as_bytes(), body.as_bytes()].concat())
                        .expect("it reads");
                    let status = read(&mut client).expect("an answer");
                    times
                        .record(sent.elapsed().as_nanos() as u64)
                        .expect("under its bound");
                    assert!(status.contains(" 200 "), "{status}");
                }
            }
            let us = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
            let [plain, graphql] = &times;
            let [(a, b), (c, d)] = [plain, graphql].map(|h| (us(h, 0.5), us(h, 0.99)));
            let kind = if new { "new" } else { "seen" };
            println!(
                "{bytes:>8}  {kind:>6}  {a:>10.1}, {b:>10.1}  {c:>10.1}, {d:>10.1}  {:>8.1}, {:>7.1}",
                c - a,
                d - b
            );
        }
    }
    program.kill().expect("it runs");
    program.wait().expect("it ends");
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(60_000_000_000, 3).expect("sound bounds")
}

/// A message of about so many bytes; `number` makes its text one of its own.
fn message(bytes: usize, number: usize) -> String {
    let mut document = format!("query Board{number}($id: ID!) {{ ");
    for row in 0.. {
        let mut line = String::new();
        let _ = write!(
            line,
            "r{row}: report(id: $id, page: {{size: {row}, order: \\\"name\\\"}}) {{ status score }} "
        );
        if row > 0 && document.len() + line.len() + 50 > bytes {
            break;
        }
        document += &line;
    }
    format!("{{\"query\":\"{document}}}\",\"variables\":{{\"id\":\"p7\"}}}}")
}

fn start(server: SocketAddr) -> (Child, SocketAddr) {
    let class = |name: &str, effect: &str| {
        format!(
            "{{ name = \"{name}\", effect = \"{effect}\", on_time = 2_000_000, give_up = 6_000_000, worth = 1 }}"
        )
    };
    let file = format!(
        "version = 1\n[[listeners]]\nname = \"front\"\naddress = \"127.0.0.1:0\"\n[[pools]]\nname = \"a\"\n\
         servers = [{{ name = \"s\", address = \"{server}\" }}]\n[pools.settings]\ngroup_size = 1\nmy_zone = 0\n\
         period = 5000\ndiscovery = \"automatic\"\nservices = [{}, {}]\nlimits = {{ cancel = true, max_attempts = 3 }}\n\
         safety = {{ cold = 1_000_000, cold_from = 0.3, fall = 1_000_000 }}\n[pools.graphql]\nquery = \"read\"\n\
         mutation = \"file\"\n[pools.graphql.limits]\ntokens = 30000\naliases = 30000\n\
         [[routes]]\nname = \"plain\"\npath = \"/plain\"\nset_class = \"file\"\npool = \"a\"\n\
         [[routes]]\nname = \"graphql\"\npath = \"/graphql\"\ngraphql = true\npool = \"a\"\n",
        class("read", "safe"),
        class("file", "unsafe")
    );
    let path = std::env::temp_dir().join(format!("graphql-hop-{}.toml", std::process::id()));
    std::fs::write(&path, file).expect("the file is written");
    // Beside this example's folder.
    let own = std::env::current_exe().expect("it has a path");
    let program = own
        .parent()
        .and_then(|p| p.parent())
        .expect("a folder")
        .join("madderloom");
    let mut child = Command::new(&program)
        .args(["serve", "--operator"])
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap_or_else(|e| panic!("{}: {e}; build it first", program.display()));
    let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
    let line = log
        .by_ref()
        .map_while(Result::ok)
        .find(|line| line.contains("listening on"))
        .expect("it listens");
    std::thread::spawn(move || log.for_each(drop));
    let _ = std::fs::remove_file(path);
    (
        child,
        line.rsplit(' ')
            .next()
            .and_then(|at| at.parse().ok())
            .expect("an address"),
    )
}

fn connect(at: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(at).expect("it accepts");
    stream.set_nodelay(true).expect("it can be set");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("it can be set");
    BufReader::new(stream)
}

fn answer_at_once(stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::with_capacity(128 << 10, stream);
    while read(&mut reader).is_some() {
        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"data\":{}}";
        if reader.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads a message, and gives its first line.
fn read(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut start, mut line, mut length) = (String::new(), String::new(), 0);
    reader.read_line(&mut start).ok().filter(|read| *read > 0)?;
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).ok()?;
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    std::io::copy(&mut reader.take(length), &mut std::io::sink()).ok()?;
    Some(start)
}
