//! The real program as a process, and its client, nodes and discovery played by the test on loopback.
//! Every wait is for something to happen; `PATIENCE` only ends a test in which it never does.

pub use madderloom_fault_testing::peer::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = STEP_TIMEOUT;

/// Settings of a small site, as a configuration holds them. Instances that are many may probe.
fn settings(group_size: u32, conn_idle_ms: u64) -> serde_json::Value {
    let class = |name: &str, effect: &str| {
        serde_json::json!({"name": name, "effect": effect, "key_scope": "all", "window": 4000000,
            "on_time": 2000000, "give_up": 6000000, "worth": 10.0, "late_worth": 0.0})
    };
    serde_json::json!({
        "areas": ["a", "b"], "kinds": ["m1"], "group_size": group_size, "my_zone": 0, "period": 5000,
        "discovery": "subscribe", "services": [class("submit-check", "unsafe"), class("recheck", "keyed")],
        "limits": {"cancel": true, "conn_idle": conn_idle_ms * 1000, "connect_timeout": 250000, "max_attempts": 6,
            "retry_after": true, "max_retry_after": 1500000, "probes": true},
        "load_report": {"fields": ["rif", "busy"], "how": "probe"}, "tariffs": {"probe": 0.005},
        "safety": {"ask_within": 10000000, "cold": 1000000, "cold_from": 0.3, "fall": 1000000}})
}

pub fn listing(
    index: u64,
    snapshot: bool,
    entries: &[(&str, SocketAddr, &str)],
) -> serde_json::Value {
    let entry = |(name, address, status): &(&str, SocketAddr, &str)| {
        serde_json::json!({"name": name, "address": address.to_string(), "zone": "a", "type": "m1",
            "group": 0, "status": status, "weight": 1.0, "since_ms": 0})
    };
    let endpoints: Vec<_> = entries.iter().map(entry).collect();
    serde_json::json!({"index": index, "snapshot": snapshot, "endpoints": endpoints})
}

/// A configuration in a file of its own.
pub fn write_config(config: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!(
        "sidecar-{}-{}.json",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::Relaxed)
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("the file is written");
    path
}

/// Waits until this holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "it never came that {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A sidecar at work.
pub struct Sidecar {
    pub child: Child,
    pub address: SocketAddr,
    /// Its second address, if it has one.
    pub control: Option<SocketAddr>,
    pub errors: BufReader<ChildStderr>,
    pub discovery: ScriptedServer,
    /// The configuration that it was started with, and the file of it.
    pub config: (String, PathBuf),
}

pub struct Options {
    pub group_size: u32,
    pub sockets: usize,
    pub conn_idle_ms: u64,
    pub memory_mb: usize,
    /// What the shell is to do before it starts the program.
    pub before: &'static str,
    /// What stands on its command line behind `serve`.
    pub arguments: &'static str,
    /// It is to have a second address.
    pub control: bool,
    /// The socket of its clients, left open for it.
    pub inherited: Option<(SocketAddr, i32)>,
    /// What is other in its configuration.
    pub edit: fn(&mut serde_json::Value),
}

impl Default for Options {
    fn default() -> Self {
        let (before, arguments) = (":", "");
        Options {
            group_size: 4,
            sockets: 1024,
            conn_idle_ms: 60_000,
            memory_mb: 192,
            before,
            arguments,
            control: false,
            inherited: None,
            edit: |_| {},
        }
    }
}

impl Sidecar {
    /// A sidecar that knows these nodes; their names are `n0`, `n1`, ...
    pub fn start(nodes: &[SocketAddr]) -> Self {
        Sidecar::with(nodes, Options::default())
    }

    pub fn with(nodes: &[SocketAddr], options: Options) -> Self {
        let discovery = ScriptedServer::new();
        let names: Vec<String> = (0..nodes.len()).map(|at| format!("n{at}")).collect();
        let entries: Vec<_> = names
            .iter()
            .zip(nodes)
            .map(|(name, at)| (name.as_str(), *at, "in_service"))
            .collect();
        let listen = options
            .inherited
            .map_or("127.0.0.1:0".to_string(), |(at, _)| at.to_string());
        let mut config = serde_json::json!({
            "name": "n3", "listen": listen, "discovery": discovery.address().to_string(),
            "seed": "8c1f30d27a5be964", "known": listing(41, true, &entries),
            "limits": {"cores": 1.0, "memory_mb": options.memory_mb, "sockets": options.sockets},
            "settings": settings(options.group_size, options.conn_idle_ms)});
        if options.control {
            config["control"] = "127.0.0.1:0".into();
        }
        (options.edit)(&mut config);
        let program = std::env::var("MADDERLOOM_BINARY");
        let program = program.unwrap_or_else(|_| env!("CARGO_BIN_EXE_madderloom").to_string());
        let script = format!(
            "{}; exec {program} serve {}",
            options.before, options.arguments
        );
        let path = write_config(&config.to_string());
        let mut command = Command::new("/bin/sh");
        if let Some((_, number)) = options.inherited {
            command.env("RELAY_ACCEPT_FD", number.to_string());
        }
        let mut child = command
            .args(["-c", &script])
            .env("RELAY_CONFIG", &path)
            .env("RELAY_DISCOVERY", discovery.address().to_string())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut errors = BufReader::new(child.stderr.take().expect("piped"));
        let (mut line, mut control) = (String::new(), None);
        let address = loop {
            line.clear();
            assert_ne!(
                errors.read_line(&mut line).expect("text"),
                0,
                "it ends without saying where it listens"
            );
            if let Some(address) = line.trim_end().strip_prefix("asked on ") {
                control = Some(address.parse().expect("an address"));
            }
            if let Some(address) = line.trim_end().strip_prefix("listening on ") {
                break address.parse();
            }
        };
        Sidecar {
            child,
            address: address.expect("an address"),
            control,
            errors,
            discovery,
            config: (config.to_string(), path),
        }
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

    /// Makes another configuration of the one that it was started with, and tells the sidecar of it.
    pub fn reconfigure(&self, edit: impl FnOnce(&str) -> String) {
        std::fs::write(&self.config.1, edit(&self.config.0)).expect("the file is written");
        self.signal("HUP");
    }

    /// What it answers to a call, up to the end of the connection.
    pub fn call(&self, call: &str) -> String {
        let mut caller = TcpStream::connect(self.control.expect("it has one")).expect("it accepts");
        caller.set_read_timeout(Some(PATIENCE)).expect("reads end");
        caller.write_all(call.as_bytes()).expect("it reads");
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("text");
        answer
    }

    /// A figure of its own.
    pub fn figure(&self, name: &str) -> u64 {
        let told = self.call("INFO\n");
        let value = told
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
        value
            .unwrap_or_else(|| panic!("no {name} in {told}"))
            .parse()
            .expect("a number")
    }

    pub fn client(&self) -> Conn {
        Conn::new(TcpStream::connect(self.address).expect("it accepts"))
    }

    /// Sends a request on a connection of its own.
    pub fn ask(&self, class: &str, left_ms: u64) -> Conn {
        let mut client = self.client();
        client.write(request(class, left_ms, ""));
        client
    }

    /// Waits for a line on standard error that holds this.
    pub fn wait_for(&mut self, text: &str) {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert_ne!(
                self.errors.read_line(&mut line).expect("text"),
                0,
                "it ends without saying {text}"
            );
        }
    }

    /// Whether a request is served by the node that is next to get one.
    pub fn serves(&self, nodes: &[&ScriptedServer]) {
        let mut client = self.ask("recheck", 1900);
        let (_, mut conn) = accept_any(nodes);
        assert!(conn.read().is_some());
        conn.respond("200 OK", "made");
        let answer = client.read().expect("an answer");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"made"[..]));
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
