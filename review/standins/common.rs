//! Stand-ins and helpers for the review's cases: programs as processes, an HTTP/1.1 server, a client, and a proxy that
//! delays or resets. Standard library only; loopback addresses only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The record of one run: every line with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|e| stop_run(&format!("{}: {e}", path.display())));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// A line for the record and for who runs the script.
    pub fn line(&self, text: impl AsRef<str>) {
        println!("{:>7} ms  {}", self.ms(), text.as_ref());
        self.request(text);
    }

    /// A line for the record alone: one request that was sent, got or answered.
    pub fn request(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// The processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The case could not run: ends all processes that it started.
pub fn stop_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    for process in STARTED.lock().unwrap().iter() {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {process}")]).status();
    }
    std::process::exit(2)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether this run has the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The root of the repository: the parent of `review/`.
pub fn root() -> PathBuf {
    std::env::var_os("REVIEW_ROOT").map(PathBuf::from).unwrap_or_else(|| stop_run("REVIEW_ROOT is not set"))
}

/// A port of 127.0.0.1 that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| stop_run(&e.to_string()));
    listener.local_addr().unwrap()
}

/// A folder that is removed at the end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| stop_run(&e.to_string()));
        TempFolder(path)
    }

    pub fn at(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        std::fs::write(self.at(name), text).unwrap_or_else(|e| stop_run(&e.to_string()));
        self.at(name)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A process of the project, with its log in a file. It is killed when this is dropped.
pub struct Program {
    pub name: String,
    child: Child,
    log: PathBuf,
    record: Record,
}

impl Program {
    /// Starts `exec target/release/madderloom ARGUMENTS` from the root of the repository, as the deploy file does.
    pub fn start(record: &Record, name: &str, arguments: &str, envs: &[(&str, String)], log: PathBuf) -> Self {
        let command = format!("exec target/release/madderloom {arguments}");
        let out = File::options().create(true).append(true).open(&log).unwrap_or_else(|e| stop_run(&e.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(root())
            .env_remove("RELAY_CONFIG")
            .envs(envs.iter().map(|(k, v)| (*k, v.clone())))
            .stdin(Stdio::null())
            .stdout(out.try_clone().unwrap())
            .stderr(out)
            .spawn()
            .unwrap_or_else(|e| stop_run(&e.to_string()));
        STARTED.lock().unwrap().push(child.id());
        record.line(format!("run: {name}, process {}: {command}", child.id()));
        Program { name: name.into(), child, log, record: record.clone() }
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until the log has this text.
    pub fn wait_for(&mut self, text: &str, seconds: u64) {
        let until = Instant::now() + Duration::from_secs(seconds);
        while !self.log().contains(text) {
            if self.has_ended() || Instant::now() > until {
                eprintln!("{}", self.log());
                stop_run(&format!("{} did not say: {text}", self.name));
            }
            sleep_ms(20);
        }
    }

    /// How often the log has this text.
    pub fn count(&self, text: &str) -> usize {
        self.log().matches(text).count()
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Sends a signal by its name.
    pub fn signal(&self, signal: &str) {
        self.record.line(format!("signal: {signal} to {}", self.name));
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {}", self.child.id())]).status();
    }

    /// Kills it without a word.
    pub fn kill(self) {
        self.record.line(format!("signal: KILL to {}", self.name));
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let own = self.child.id();
        STARTED.lock().unwrap().retain(|process| *process != own);
    }
}

/// Runs a command of the project to its end; its output.
pub fn run_command(record: &Record, arguments: &str, at: &Path) -> String {
    let program = root().join("target/release/madderloom");
    let done = Command::new(&program)
        .args(arguments.split_whitespace())
        .current_dir(at)
        .output()
        .unwrap_or_else(|e| stop_run(&e.to_string()));
    let said = format!("{}{}", String::from_utf8_lossy(&done.stdout), String::from_utf8_lossy(&done.stderr));
    record.line(format!("run: madderloom {arguments}: {}", done.status));
    if !done.status.success() {
        stop_run(&format!("{arguments}: {said}"));
    }
    said
}

/// A message of HTTP/1.1, read whole.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Reads one message; None at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
        let mut message = Message::default();
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        message.first = line.trim_end().to_string();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_string(), value.trim().to_string()));
            }
        }
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }
}

/// What a server stand-in does with a request: it returns the answer, whole.
pub type Handler = Arc<dyn Fn(&Message) -> String + Send + Sync>;

pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A server: each connection carries one request at a time. It starts on a request once its last byte has come.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| stop_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = Message::read(&mut reader) {
                    if writer.write_all(handler(&request).as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

/// Sends one request on a connection of its own, and reads the answer.
pub fn ask(address: SocketAddr, request: &str, timeout: Duration) -> Result<Message, String> {
    let mut stream = TcpStream::connect(address).map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).map_err(|e| e.to_string())?;
    stream.write_all(request.as_bytes()).map_err(|e| e.to_string())?;
    let mut reader = BufReader::new(stream);
    match Message::read(&mut reader) {
        Ok(Some(message)) => Ok(message),
        Ok(None) => Err("the connection was closed without an answer".into()),
        Err(e) => Err(e.to_string()),
    }
}

/// A proxy: passes bytes on, each way later by a delay. Cut, it resets what is open and closes what comes.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    cut: Arc<AtomicBool>,
    delay_ms: Arc<AtomicU64>,
    open: Arc<Mutex<HashMap<u64, (TcpStream, TcpStream)>>>,
}

impl Proxy {
    pub fn new(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| stop_run(&e.to_string()));
        let proxy = Proxy {
            address: listener.local_addr().unwrap(),
            target: Arc::new(Mutex::new(target)),
            cut: Arc::default(),
            delay_ms: Arc::default(),
            open: Arc::default(),
        };
        let own = proxy.clone();
        thread::spawn(move || {
            for (number, client) in listener.incoming().flatten().enumerate() {
                if own.cut.load(Ordering::SeqCst) {
                    continue;
                }
                let target = *own.target.lock().unwrap();
                let Ok(server) = TcpStream::connect(target) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let pair = (client.try_clone().unwrap(), server.try_clone().unwrap());
                own.open.lock().unwrap().insert(number as u64, pair);
                for (from, to) in [
                    (client.try_clone().unwrap(), server.try_clone().unwrap()),
                    (server.try_clone().unwrap(), client.try_clone().unwrap()),
                ] {
                    let own = own.clone();
                    thread::spawn(move || own.pass(from, to, number as u64));
                }
            }
        });
        proxy
    }

    fn pass(&self, mut from: TcpStream, to: TcpStream, number: u64) {
        let (sender, pieces) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
        let mut out = to.try_clone().unwrap();
        let writer = thread::spawn(move || {
            for (due, piece) in pieces {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if piece.is_empty() || out.write_all(&piece).is_err() {
                    break;
                }
            }
            let _ = out.shutdown(Shutdown::Write);
        });
        let mut buffer = vec![0; 64 << 10];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            let due = Instant::now() + Duration::from_millis(self.delay_ms.load(Ordering::SeqCst));
            if sender.send((due, buffer[..count].to_vec())).is_err() || count == 0 {
                break;
            }
        }
        let _ = writer.join();
        self.open.lock().unwrap().remove(&number);
    }

    pub fn set_delay(&self, ms: u64) {
        self.delay_ms.store(ms, Ordering::SeqCst);
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        if cut {
            for (_, (client, server)) in self.open.lock().unwrap().drain() {
                let _ = client.shutdown(Shutdown::Both);
                let _ = server.shutdown(Shutdown::Both);
            }
        }
    }
}
