//! Servers that answer by themselves, a process with an operator file, and clients that count what they got.

use crate::rig::{Conn, Message, PATIENCE};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a server does with a request that it has read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    /// Answers 200 with its name.
    Serves,
    /// Answers 200 after a while.
    ServesLate(Duration),
    Fails,
    /// Answers 500 after a while.
    FailsLate(Duration),
    /// Fails in the first half of each of so many such spans, and serves in the second and ever after.
    Swings(Duration, u32),
    Hangs,
    /// Answers what is no HTTP.
    Babbles,
    /// Closes.
    Breaks,
    /// Serves, but closes unanswered on so many in a hundred.
    LosesSome(u32),
    /// Answers 500 to requests of the class `submit`, and serves others.
    FailsSubmits,
    /// Serves what is hinted to be heavy, 100 ms or more, after this while.
    ServesHeavyLate(Duration),
}

/// A server with a thread for each connection, which remembers the keys, or else the ids, of the requests that it has
/// seen whole.
pub struct StandIn {
    pub name: String,
    pub address: SocketAddr,
    seen: Arc<Mutex<BTreeMap<String, u32>>>,
    manner: Arc<Mutex<Manner>>,
    over: Arc<AtomicBool>,
}

impl StandIn {
    pub fn new(name: &str, manner: Manner) -> Self {
        let listener = madderloom_fault_testing::unique_listener();
        let address = listener.local_addr().expect("it is bound");
        let (name, manner) = (name.to_string(), Arc::new(Mutex::new(manner)));
        let server = StandIn {
            name,
            address,
            seen: Arc::default(),
            manner,
            over: Arc::default(),
        };
        let (seen, over, name) = (
            Arc::clone(&server.seen),
            Arc::clone(&server.over),
            server.name.clone(),
        );
        let manner = Arc::clone(&server.manner);
        let begun = Instant::now();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if over.load(Ordering::Relaxed) {
                    return;
                }
                let (seen, name, manner) = (Arc::clone(&seen), name.clone(), Arc::clone(&manner));
                std::thread::spawn(move || serve(stream, &seen, (&manner, begun), &name));
            }
        });
        server
    }

    /// What it does with what comes from now on.
    pub fn turn_to(&self, manner: Manner) {
        *self.manner.lock().expect("no thread panics") = manner;
    }

    /// How often each was seen.
    pub fn seen(&self) -> BTreeMap<String, u32> {
        self.seen.lock().expect("no thread panics").clone()
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

fn serve(
    stream: TcpStream,
    seen: &Mutex<BTreeMap<String, u32>>,
    (manner, begun): (&Mutex<Manner>, Instant),
    name: &str,
) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read(&mut reader) {
        let id = request
            .header("idempotency-key")
            .or(request.header("x-trace-id"))
            .unwrap_or_default();
        let id = id.to_string();
        let turn = {
            let mut seen = seen.lock().expect("no thread panics");
            *seen.entry(id).or_default() += 1;
            seen.len() as u32
        };
        let ok = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{name}",
            name.len()
        );
        let failed = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".to_string();
        let hint = request
            .header("x-size-hint")
            .and_then(|hint| hint.parse::<u64>().ok())
            .unwrap_or(0);
        let manner = *manner.lock().expect("no thread panics");
        let answer = match manner {
            Manner::Serves => ok,
            // Every so manieth, spread by a number that has no part in common with a hundred.
            Manner::LosesSome(percent) if turn.wrapping_mul(37) % 100 < percent => return,
            Manner::LosesSome(_) => ok,
            Manner::FailsSubmits if request.start.starts_with("POST") => failed,
            Manner::FailsSubmits => ok,
            Manner::ServesHeavyLate(wait) => {
                if hint >= 100_000 {
                    std::thread::sleep(wait);
                }
                ok
            }
            Manner::ServesLate(wait) => {
                std::thread::sleep(wait);
                ok
            }
            Manner::Fails => failed,
            Manner::Swings(span, times) => {
                let (at, span) = (begun.elapsed().as_micros(), span.as_micros());
                let fails = at < span * u128::from(times) && at % span < span / 2;
                if fails { failed } else { ok }
            }
            Manner::FailsLate(wait) => {
                std::thread::sleep(wait);
                failed
            }
            Manner::Babbles => "no such thing\r\n\r\n".to_string(),
            Manner::Breaks => return,
            Manner::Hangs => {
                // Until the other side gives up.
                let _ = reader.read(&mut [0]);
                return;
            }
        };
        if reader.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The next message; none where the connection ends or breaks.
fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = || {
        let mut line = String::new();
        let read = reader.read_line(&mut line).ok().filter(|read| *read > 0);
        read.map(|_| line.trim_end().to_string())
    };
    let start = line()?;
    let mut headers = Vec::new();
    while let Some((name, value)) = line()?.split_once(':') {
        headers.push((name.to_string(), value.trim().to_string()));
    }
    let mut message = Message {
        start,
        headers,
        body: Vec::new(),
    };
    let length = message
        .header("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// A process with an operator file.
pub struct Process {
    child: Child,
    pub file: PathBuf,
    /// Where each listener listens, and the admin view as `admin view`.
    places: BTreeMap<String, SocketAddr>,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Waits until it listens where the file says. Listeners of the file have the port 0.
    pub fn start(text: &str) -> Self {
        Process::with(text, |_| {})
    }

    pub fn with(text: &str, edit: impl FnOnce(&mut Command)) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!(
            "services-{}-{}.toml",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&file, text).expect("the file is written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
        command
            .args(["serve", "--operator"])
            .arg(&file)
            .env_remove("RELAY_CONFIG")
            .stderr(Stdio::piped());
        edit(&mut command);
        let mut child = command.spawn().expect("the program starts");
        let errors = BufReader::new(child.stderr.take().expect("piped"));
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&log);
        std::thread::spawn(move || {
            for line in errors.lines().map_while(Result::ok) {
                kept.lock().expect("no thread panics").push(line);
            }
        });
        let mut process = Process {
            child,
            file,
            places: BTreeMap::new(),
            log,
        };
        process.find_places(text);
        process
    }

    /// Reads from the log where the listeners of this file are.
    fn find_places(&mut self, text: &str) {
        let names = text
            .split("[[listeners]]\nname = \"")
            .skip(1)
            .filter_map(|rest| rest.split('"').next());
        for name in names {
            let line = self.wait_for(&format!("{name}: listening on "));
            let address = line
                .rsplit(' ')
                .next()
                .and_then(|a| a.parse().ok())
                .expect("an address");
            self.places.insert(name.to_string(), address);
        }
        if text.contains("[admin]\nlisten") {
            let line = self.wait_for("admin view on ");
            let address = line
                .rsplit(' ')
                .next()
                .and_then(|a| a.parse().ok())
                .expect("an address");
            self.places.insert("admin view".to_string(), address);
        }
    }

    #[allow(dead_code, reason = "used by the tests of connections")]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn at(&self, name: &str) -> SocketAddr {
        self.places[name]
    }

    pub fn log(&self) -> Vec<String> {
        self.log.lock().expect("no thread panics").clone()
    }

    /// Waits for a line of the log that holds this, and gives it.
    pub fn wait_for(&mut self, text: &str) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(line) = self.log().into_iter().find(|line| line.contains(text)) {
                return line;
            }
            let ended = self.child.try_wait().expect("it can be asked");
            assert!(
                ended.is_none() && Instant::now() < until,
                "{ended:?}, and no {text} in {:#?}",
                self.log()
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Writes another file in place of its own, and has it read. Waits until it was.
    pub fn reload(&mut self, text: &str) -> String {
        // A half-written file is nothing to read.
        let next = self.file.with_extension("next");
        std::fs::write(&next, text).expect("the file is written");
        std::fs::rename(&next, &self.file).expect("the file is replaced");
        let before = self.reloads();
        self.signal("HUP");
        let until = Instant::now() + PATIENCE;
        while self.reloads() == before {
            assert!(
                Instant::now() < until,
                "it reads nothing: {:#?}",
                self.log()
            );
            std::thread::sleep(Duration::from_millis(1));
        }
        self.log()
            .into_iter()
            .rfind(|line| line.contains("read again"))
            .expect("it was read")
    }

    fn reloads(&self) -> usize {
        self.log()
            .iter()
            .filter(|line| line.contains("read again"))
            .count()
    }

    /// The names of its threads.
    pub fn threads(&self) -> Vec<String> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("it runs");
        let name = |task: std::fs::DirEntry| std::fs::read_to_string(task.path().join("comm"));
        tasks
            .flatten()
            .filter_map(|task| name(task).ok())
            .map(|name| name.trim().to_string())
            .collect()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-s", name, &id])
                .status()
                .expect("kill runs")
                .success()
        );
    }

    /// Tells it to stop, and gives its exit code.
    pub fn stop(&mut self) -> Option<i32> {
        self.signal("TERM");
        self.child.wait().expect("it ends").code()
    }

    /// What its admin view says.
    pub fn status(&self) -> serde_json::Value {
        let done = Command::new(env!("CARGO_BIN_EXE_madderloom"))
            .args([
                "status",
                "--output",
                "json",
                "--listen",
                &self.at("admin view").to_string(),
            ])
            .output()
            .expect("it runs");
        serde_json::from_slice(&done.stdout).expect("an object")
    }

    pub fn client(&self, listener: &str) -> Conn {
        Conn::new(TcpStream::connect(self.at(listener)).expect("it accepts"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A pool of the operator file with these servers: its class `view` is safe, `submit` must not run twice.
pub fn pool(name: &str, servers: &[&StandIn], limits: &str) -> String {
    let servers: Vec<String> = servers
        .iter()
        .map(|s| format!("{{ name = \"{}\", address = \"{}\" }}", s.name, s.address))
        .collect();
    format!(
        "[[pools]]\nname = \"{name}\"\nservers = [{}]\n[pools.limits]\n{limits}\n{}",
        servers.join(", "),
        settings()
    )
}

/// The settings of such a pool.
pub fn settings() -> String {
    let class = |name: &str, effect: &str| {
        format!(
            "{{ name = \"{name}\", effect = \"{effect}\", on_time = 2_000_000, give_up = 6_000_000, worth = 10, \
             key_scope = \"all\", window = 4_000_000 }}"
        )
    };
    format!(
        "[pools.settings]\ngroup_size = 1\nmy_zone = 0\nperiod = 5000\ndiscovery = \"automatic\"\n\
         services = [{}, {}]\nlimits = {{ cancel = true, max_attempts = 6, retry_after = true, max_retry_after = 1_500_000 }}\n\
         safety = {{ cold = 1_000_000, cold_from = 0.3, fall = 1_000_000 }}\n",
        class("submit", "unsafe"),
        class("view", "safe")
    )
}

/// A listener of the operator file on a port that the system chooses.
pub fn listener(name: &str, limits: &str) -> String {
    format!(
        "[[listeners]]\nname = \"{name}\"\naddress = \"127.0.0.1:0\"\n[listeners.limits]\n{limits}\n"
    )
}

/// A route of the operator file: all of a host to a pool.
pub fn host_route(pool: &str) -> String {
    format!("[[routes]]\nname = \"to-{pool}\"\nhost = \"{pool}.test\"\npool = \"{pool}\"\n")
}

/// A request of the class `submit` to the pool of a host, with a fresh id that begins with the host's name.
pub fn submit(host: &str, body: usize) -> (String, String) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let id = format!("{host}-{:06}", NEXT.fetch_add(1, Ordering::Relaxed));
    let head = format!(
        "POST /submit HTTP/1.1\r\nHost: {host}.test\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 5000\r\n\
         Content-Length: {body}\r\n\r\n"
    );
    (id, head)
}
