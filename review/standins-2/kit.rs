//! What the cases of the second review share: processes that they start, a stand-in discovery, stand-in servers, a
//! client, and the record. The standard library alone; all addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The longest that a case runs, in seconds; it ends by itself then and could not run.
const MAX_SECONDS: u64 = 112;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A case: its record, its temporary folder, and the processes that it has started.
#[derive(Clone)]
pub struct Case(Arc<Inner>);

struct Inner {
    begun: Instant,
    record: Mutex<File>,
    folder: PathBuf,
    children: Mutex<BTreeMap<u32, Child>>,
    trouble: bool,
}

impl Case {
    /// The first argument of the program is the record's file.
    pub fn begin() -> Case {
        let path = std::env::args().nth(1).expect("the record's file is the argument");
        let record = File::create(&path).expect("the record can be written");
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let case = Case(Arc::new(Inner {
            begun: Instant::now(),
            record: Mutex::new(record),
            folder,
            children: Mutex::default(),
            trouble,
        }));
        case.say(format!("the disruption is {}", if trouble { "on" } else { "off" }));
        let watchdog = case.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(MAX_SECONDS));
            watchdog.end(2, "the case took too long");
        });
        case
    }

    pub fn trouble(&self) -> bool {
        self.0.trouble
    }

    pub fn folder(&self) -> &Path {
        &self.0.folder
    }

    pub fn ms(&self) -> u64 {
        self.0.begun.elapsed().as_millis() as u64
    }

    /// When the first byte of a message came, in milliseconds of this case.
    pub fn ms_of(&self, message: &Message) -> u64 {
        message.begun.map_or(0, |at| at.saturating_duration_since(self.0.begun).as_millis() as u64)
    }

    /// Writes a line to the record.
    pub fn say(&self, line: impl AsRef<str>) {
        let line = format!("{:>8} ms  {}\n", self.ms(), line.as_ref());
        let _ = lock(&self.0.record).write_all(line.as_bytes());
    }

    /// Ends the case: 0 the rule held, 1 it was broken, 2 the case could not run.
    pub fn end(&self, status: i32, why: &str) -> ! {
        let verdict = match status {
            0 => "the rule held",
            1 => "the rule was BROKEN",
            _ => "the case could not run",
        };
        self.say(format!("{verdict}: {why}"));
        println!("{verdict}: {why}");
        let mut children = lock(&self.0.children);
        for child in children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0.folder);
        }
        std::process::exit(status);
    }

    pub fn require(&self, holds: bool, what: &str) {
        if !holds {
            self.end(2, &format!("not so: {what}"));
        }
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.folder.join(name);
        let next = self.0.folder.join(format!("{name}.next"));
        std::fs::write(&next, text).expect("a file of the temporary folder");
        std::fs::rename(&next, &path).expect("a file of the temporary folder");
        path
    }

    /// Starts a program of the project as the deploy file does, `/bin/sh -c "exec ..."` from the root of the repository.
    /// Its output goes to a file of that name. Returns its process.
    pub fn start(&self, name: &str, command: &str, variables: &[(&str, String)]) -> u32 {
        let log = File::create(self.0.folder.join(format!("{name}.log"))).expect("a log");
        let tmp = self.0.folder.join(format!("{name}-tmp"));
        let _ = std::fs::create_dir_all(&tmp);
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", &format!("exec {command}")]);
        shell.env("TMPDIR", &tmp);
        shell.envs(variables.iter().map(|(key, value)| (*key, value.as_str())));
        shell.stdin(Stdio::null());
        shell.stdout(log.try_clone().expect("a log"));
        shell.stderr(log);
        let child = match shell.spawn() {
            Ok(child) => child,
            Err(error) => self.end(2, &format!("{command}: {error}")),
        };
        let id = child.id();
        lock(&self.0.children).insert(id, child);
        self.say(format!("started {name}, process {id}: {command}"));
        id
    }

    /// Runs a program to its end; its status and its output.
    pub fn run(&self, command: &str, variables: &[(&str, String)]) -> (i32, String) {
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", &format!("exec {command}")]);
        shell.envs(variables.iter().map(|(key, value)| (*key, value.as_str())));
        match shell.stdin(Stdio::null()).output() {
            Ok(output) => {
                let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
                text.push_str(&String::from_utf8_lossy(&output.stderr));
                (output.status.code().unwrap_or(-1), text)
            }
            Err(error) => self.end(2, &format!("{command}: {error}")),
        }
    }

    /// Sends a signal to a process that the case has started.
    pub fn signal(&self, process: u32, signal: &str) {
        self.require(lock(&self.0.children).contains_key(&process), "the process is the case's own");
        let status = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {process}")]).status();
        self.require(status.is_ok_and(|status| status.success()), "the signal was sent");
        self.say(format!("{signal} to process {process}"));
    }

    /// Whether a process that the case has started still runs.
    pub fn runs(&self, process: u32) -> bool {
        lock(&self.0.children)
            .get_mut(&process)
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn log_of(&self, name: &str) -> String {
        std::fs::read_to_string(self.0.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Copies the log of a process into the record.
    pub fn keep_log(&self, name: &str) {
        for line in self.log_of(name).lines() {
            self.say(format!("log of {name}: {line}"));
        }
    }

    /// Waits until something holds, 20 ms at a time.
    pub fn until(&self, seconds: u64, mut holds: impl FnMut() -> bool) -> bool {
        let end = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < end {
            if holds() {
                return true;
            }
            pause(20);
        }
        holds()
    }

    /// Waits until a sidecar says that it is ready.
    pub fn wait_ready(&self, address: SocketAddr) {
        let ready = self.until(20, || {
            let request = "GET /ready HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n";
            ask(address, request, Duration::from_secs(2)).is_some_and(|(status, _)| status == 200)
        });
        self.require(ready, "the sidecar is ready");
    }
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

// ---- Messages ----

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// When its first byte was there.
    pub begun: Option<Instant>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a message with a length, or one without a body. None at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    reader.fill_buf().ok().filter(|bytes| !bytes.is_empty())?;
    message.begun = Some(Instant::now());
    reader.read_line(&mut message.first).ok().filter(|count| *count > 0)?;
    message.first = message.first.trim_end().to_string();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Sends a request on a connection of its own; the status and the body of the answer, or nothing.
pub fn ask(address: SocketAddr, request: &str, limit: Duration) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let answer = read_message(&mut reader)?;
    let status = answer.first.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&answer.body).into_owned()))
}

/// A request in the form of the protocol page.
pub fn request(method: &str, path: &str, id: &str, wait_ms: u64, more: &str, body: &str) -> String {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: {wait_ms}\r\n\
         Connection: close\r\n{more}{length}\r\n{body}"
    )
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// An id that no other request has.
pub fn fresh_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

// ---- Servers ----

/// What a server does with a request.
pub enum Reply {
    /// The answer 200 with this body.
    Served(String),
    /// 503 with `X-Never-Ran: 1`.
    NeverRan,
    /// The connection ends without an answer.
    Break,
}

/// A stand-in server. `handle` gets each request and says what becomes of it.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
}

impl Server {
    pub fn start(name: &str, handle: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let handle = Arc::new(handle);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handle = Arc::clone(&handle);
                std::thread::spawn(move || serve(stream, &*handle));
            }
        });
        Server { name: name.to_string(), address }
    }
}

fn serve(stream: TcpStream, handle: &(impl Fn(&Message) -> Reply + ?Sized)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        let answer = match message.path() {
            "/health" => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_string(),
            "/status/load" => {
                let report = "TEXT inflight=1, util=0.1, qps=5";
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{report}", report.len())
            }
            _ => match handle(&message) {
                Reply::Served(body) => {
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                }
                Reply::NeverRan => {
                    "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n".to_string()
                }
                Reply::Break => {
                    let _ = writer.shutdown(Shutdown::Both);
                    return;
                }
            },
        };
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

// ---- Discovery ----

/// An entry of discovery's list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub group: u32,
    /// `in_service`, `terminating` or `terminated`.
    pub status: &'static str,
}

impl Entry {
    pub fn of(server: &Server, zone: &str) -> Entry {
        Entry {
            name: server.name.clone(),
            address: server.address,
            zone: zone.to_string(),
            group: 0,
            status: "in_service",
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"std-3c","group":{},"status":"{}","weight":1.0,"since_ms":0}}"#,
            self.name, self.address, self.zone, self.group, self.status
        )
    }
}

/// The list, as an object of discovery's form.
pub fn list(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// How discovery meets the calls that come.
#[derive(Clone, Copy, PartialEq)]
pub enum Mood {
    /// Each call is answered at once.
    Well,
    /// Each call is answered 503 once it has waited for the next of these times, in milliseconds; the last one stays.
    Crowded(&'static [u64]),
}

struct State {
    index: u64,
    /// All changes with their versions, oldest first.
    changes: Vec<(u64, Entry)>,
    mood: Mood,
    /// Calls that the present mood has met, and those of them that were answered.
    met: usize,
    answered_503: usize,
    /// Watches end that were opened before this number of endings.
    endings: u64,
}

/// A stand-in discovery.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    case: Case,
}

impl Discovery {
    pub fn start(case: &Case, entries: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let state = State {
            index: 41,
            changes: entries.into_iter().map(|entry| (41, entry)).collect(),
            mood: Mood::Well,
            met: 0,
            answered_503: 0,
            endings: 0,
        };
        let discovery = Discovery { address, state: Arc::new(Mutex::new(state)), case: case.clone() };
        let own = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.serve(stream));
            }
        });
        discovery
    }

    pub fn set_mood(&self, mood: Mood) {
        let mut state = lock(&self.state);
        (state.mood, state.met, state.answered_503) = (mood, 0, 0);
    }

    /// Calls that came since the mood was set.
    pub fn rejected(&self) -> usize {
        lock(&self.state).met
    }

    /// Of these, those that have their answer.
    pub fn answered_503(&self) -> usize {
        lock(&self.state).answered_503
    }

    /// Ends all open watches.
    pub fn end_watches(&self) {
        lock(&self.state).endings += 1;
        self.case.say("discovery ends its watches");
    }

    /// Changes an entry; open watches tell it at once.
    pub fn change(&self, entry: Entry) {
        let mut state = lock(&self.state);
        state.index += 1;
        let index = state.index;
        self.case.say(format!("discovery, version {index}: {} is {}", entry.name, entry.status));
        state.changes.push((index, entry));
    }

    /// The whole list as it is now.
    pub fn whole(&self) -> String {
        whole(&lock(&self.state))
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader) {
            let path = message.path().to_string();
            self.case.say(format!("discovery is called: {path}"));
            let wait = {
                let mut state = lock(&self.state);
                match state.mood {
                    Mood::Well => None,
                    Mood::Crowded(waits) => {
                        let wait = waits[state.met.min(waits.len() - 1)];
                        state.met += 1;
                        Some(wait)
                    }
                }
            };
            if let Some(wait) = wait {
                pause(wait);
                self.case.say(format!("discovery answers 503 after {wait} ms"));
                let answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                lock(&self.state).answered_503 += 1;
                continue;
            }
            if path.contains("watch=1") {
                let after = path.split("after=").nth(1).and_then(|text| text.split('&').next());
                let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
                return self.watch(&mut writer, after);
            }
            let body = self.whole();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// A watch: first what has changed after a version, or the whole list; then each change; an empty line every 2 s.
    fn watch(&self, writer: &mut TcpStream, after: u64) {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if writer.write_all(head.as_bytes()).is_err() {
            return;
        }
        let endings = lock(&self.state).endings;
        let mut told = None;
        let mut last = Instant::now();
        loop {
            let line = {
                let state = lock(&self.state);
                if state.endings != endings {
                    let _ = writer.shutdown(Shutdown::Both);
                    return;
                }
                let line = match told {
                    None if after == 0 || after > state.index => Some(whole(&state)),
                    None => Some(changes_after(&state, after)),
                    Some(told) if told < state.index => Some(changes_after(&state, told)),
                    Some(_) if last.elapsed() >= Duration::from_secs(2) => Some(String::new()),
                    Some(_) => None,
                };
                told = Some(state.index);
                line
            };
            if let Some(line) = line {
                last = Instant::now();
                let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                if writer.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
                if !line.is_empty() {
                    self.case.say(format!("discovery writes to a watch: {line}"));
                }
            }
            pause(10);
        }
    }
}

fn whole(state: &State) -> String {
    let mut newest: BTreeMap<String, Entry> = BTreeMap::new();
    for (_, entry) in &state.changes {
        newest.insert(entry.name.clone(), entry.clone());
    }
    let entries: Vec<Entry> = newest.into_values().filter(|entry| entry.status != "terminated").collect();
    list(state.index, true, &entries)
}

fn changes_after(state: &State, after: u64) -> String {
    let entries: Vec<Entry> =
        state.changes.iter().filter(|(index, _)| *index > after).map(|(_, entry)| entry.clone()).collect();
    list(state.index, false, &entries)
}

// ---- The sidecar's configuration ----

/// The configuration of a sidecar of a small deployment: 4 sidecars. `services` is the list of classes, `areas` that of
/// zones.
pub struct Configuration {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub areas: &'static str,
    pub services: &'static str,
    pub known: String,
}

impl Configuration {
    pub fn json(&self) -> String {
        let Configuration { listen, discovery, areas, services, known } = self;
        format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{known},
"settings":{{"group_size":4,"my_zone":0,"period":5000,"discovery":"subscribe","areas":{areas},
"kinds":["fast-3c","std-3c","old-3c"],"services":{services},
"limits":{{"cancel":true,"conn_idle":60000000,"connect_timeout":250000,"cpu_us_per_request":0.0,"cpu_us_per_s":8000,
"max_attempts":6,"max_open":20000,"max_retry_after":2000000,"peers":false,"probes":true,"retry_after":true,
"second_copies":true,"streams_per_conn":1}},
"load_report":{{"fields":["rif","busy","rate"],"how":"probe"}},
"safety":{{"ask_within":10000000,"cold":8400000,"cold_from":0.31,"drain_grace":3000000,"fall":2000000,
"fall_multiple":3.0,"grace_to_answer":20000}},
"tariffs":{{"cross_zone":0.02,"probe":0.0094,"waste":0.05,"late_fail":0.03}},
"tenants":[],"weight_source":"rough","worth_by":"work"}}}}"#
        )
    }

    pub fn variables(&self, file: &Path) -> Vec<(&'static str, String)> {
        vec![
            ("RELAY_NAME", "n1".to_string()),
            ("RELAY_LISTEN", self.listen.to_string()),
            ("RELAY_DISCOVERY", self.discovery.to_string()),
            ("RELAY_CONFIG", file.display().to_string()),
        ]
    }
}

/// The classes of the deployment `guate-reportes`.
pub const GUATE_SERVICES: &str = r#"[
{"effect":"unsafe","give_up":1500000,"key_scope":"all","late_worth":0.0,"name":"submit-check","on_time":600000,"stream":false,"window":5000000,"worth":10.0},
{"effect":"keyed","give_up":2000000,"key_scope":"all","late_worth":0.0,"name":"recheck","on_time":500000,"stream":false,"window":4000000,"worth":30.0}]"#;


// ---- A link ----

/// Connections that fill the queue of a listener that accepts none; the standard library's queue holds 128.
const MAX_FILLERS: usize = 300;

/// A proxy to one address that can be cut: what is open stays open and silent, and new connections never come up.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    fillers: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub fn to(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let link = Link { address, cut: Arc::default(), fillers: Arc::default() };
        let cut = Arc::clone(&link.cut);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // The first filler is accepted and held here; the others fill the queue.
                while cut.load(Ordering::SeqCst) {
                    pause(5);
                }
                let Ok(other) = TcpStream::connect(target) else { continue };
                for (from, to) in [(stream.try_clone(), other.try_clone()), (other.try_clone(), stream.try_clone())] {
                    if let (Ok(from), Ok(to)) = (from, to) {
                        let cut = Arc::clone(&cut);
                        std::thread::spawn(move || pass(from, to, &cut));
                    }
                }
            }
        });
        link
    }

    /// Cuts it. False where new connections still come up.
    pub fn cut(&self) -> bool {
        self.cut.store(true, Ordering::SeqCst);
        for _ in 0..MAX_FILLERS {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(100)) {
                Ok(filler) => lock(&self.fillers).push(filler),
                Err(_) => return true,
            }
        }
        false
    }

    /// What was held back goes on.
    pub fn heal(&self) {
        lock(&self.fillers).clear();
        self.cut.store(false, Ordering::SeqCst);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 16 << 10];
    while let Ok(count) = from.read(&mut bytes) {
        while cut.load(Ordering::SeqCst) {
            pause(5);
        }
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
