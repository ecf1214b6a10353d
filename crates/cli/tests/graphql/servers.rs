//! GraphQL servers that count what they run, and break in every way; and an operator file that leads to them.

use crate::stand_ins::{Process, listener};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const READ: &str = "query Read($id: ID!) { read(id: $id) }";
pub const FILE: &str = "mutation File($id: ID!) { file(id: $id) }";
pub const KEYED: &str = "mutation Keyed($id: ID!) { fileReport(input: {clientMutationId: $id}) }";

/// What goes wrong with one exchange.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// The connection breaks after so many bytes of the request, modulo its length.
    CutRequest(usize),
    /// All runs, and the connection breaks after so many bytes of the answer, modulo its length.
    CutAnswer(usize),
    /// All runs, and the answer is no GraphQL.
    Spoilt,
    /// All runs, and the answer is 500.
    Failed,
    /// Turned away unseen.
    NeverRan,
    /// All runs, and no answer comes.
    Hang,
    /// All runs; answered with `data` and `errors`.
    Partial,
}

/// What all servers know together.
#[derive(Default)]
pub struct Shared {
    /// How often each operation ran.
    pub ran: Mutex<BTreeMap<String, u32>>,
    /// How often each operation came.
    pub came: Mutex<BTreeMap<String, u32>>,
    keys: Mutex<BTreeSet<String>>,
    exchanges: AtomicU64,
}

/// Servers with a thread for each connection.
pub struct Servers {
    pub addresses: Vec<SocketAddr>,
    pub shared: Arc<Shared>,
    /// While it is set, a server's connections end at once.
    pub down: Vec<Arc<AtomicBool>>,
    over: Arc<AtomicBool>,
}

impl Servers {
    /// The fault of an exchange follows from its number.
    pub fn start(count: usize, fault: fn(u64) -> Fault) -> Self {
        let mut servers = Servers {
            addresses: Vec::new(),
            shared: Arc::default(),
            down: Vec::new(),
            over: Arc::default(),
        };
        for _ in 0..count {
            let listener = madderloom_fault_testing::unique_listener();
            servers
                .addresses
                .push(listener.local_addr().expect("it is bound"));
            let (shared, over, down) = (
                Arc::clone(&servers.shared),
                Arc::clone(&servers.over),
                Arc::default(),
            );
            servers.down.push(Arc::clone(&down));
            std::thread::spawn(move || {
                let known = Arc::new(Mutex::new(BTreeSet::new()));
                for stream in listener.incoming().flatten() {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let server = Server {
                        shared: Arc::clone(&shared),
                        down: Arc::clone(&down),
                        known: Arc::clone(&known),
                    };
                    std::thread::spawn(move || server.serve(stream, fault));
                }
            });
        }
        servers
    }

    pub fn ran(&self, id: &str) -> u32 {
        self.shared
            .ran
            .lock()
            .expect("no thread panics")
            .get(id)
            .copied()
            .unwrap_or(0)
    }

    pub fn came(&self, id: &str) -> u32 {
        self.shared
            .came
            .lock()
            .expect("no thread panics")
            .get(id)
            .copied()
            .unwrap_or(0)
    }

    pub fn exchanges(&self) -> u64 {
        self.shared.exchanges.load(Ordering::Relaxed)
    }

    /// A process in front of them: `/graphql` sends batches whole, `/apart` takes them apart.
    pub fn front(&self) -> Process {
        Process::start(&self.file(""))
    }

    pub fn file(&self, more: &str) -> String {
        let entry =
            |(n, at): (usize, &SocketAddr)| format!("{{ name = \"s{n}\", address = \"{at}\" }}");
        let servers: Vec<String> = self.addresses.iter().enumerate().map(entry).collect();
        let class = |name: &str, effect: &str| {
            format!(
                "{{ name = \"{name}\", effect = \"{effect}\", on_time = 300_000, give_up = 1_000_000, worth = 10, \
                 key_scope = \"all\", window = 4_000_000 }}"
            )
        };
        let pool = |name: &str, split: bool| {
            format!(
                "[[pools]]\nname = \"{name}\"\nservers = [{}]\n[pools.settings]\ngroup_size = 1\nmy_zone = 0\n\
                 period = 5000\ndiscovery = \"automatic\"\nservices = [{}, {}, {}]\n\
                 limits = {{ cancel = true, max_attempts = 6, retry_after = true, max_retry_after = 1_500_000 }}\n\
                 safety = {{ cold = 1_000_000, cold_from = 0.3, fall = 1_000_000 }}\n\
                 [pools.graphql]\nquery = \"read\"\nmutation = \"file\"\nbatch = {{ split = {split} }}\n\
                 [pools.graphql.mutations.fileReport]\neffect = \"keyed\"\nkey = \"input.clientMutationId\"\n\
                 class = \"keyed\"\n{more}",
                servers.join(", "),
                class("read", "safe"),
                class("file", "unsafe"),
                class("keyed", "keyed"),
            )
        };
        let route = |path: &str, pool: &str| {
            format!(
                "[[routes]]\nname = \"{pool}\"\npath = \"{path}\"\npool = \"{pool}\"\ngraphql = true\n"
            )
        };
        [
            "version = 1\n".to_string(),
            listener("front", ""),
            pool("whole", false),
            pool("apart", true),
            route("/graphql", "whole"),
            route("/apart", "apart"),
        ]
        .concat()
    }
}

impl Drop for Servers {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        for at in &self.addresses {
            let _ = TcpStream::connect(at);
        }
    }
}

struct Server {
    shared: Arc<Shared>,
    down: Arc<AtomicBool>,
    /// Hashes of persisted queries that this server has the text of.
    known: Arc<Mutex<BTreeSet<String>>>,
}

impl Server {
    fn serve(&self, stream: TcpStream, fault: fn(u64) -> Fault) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::with_capacity(16 << 10, stream);
        loop {
            let Ok([_, ..]) = reader.fill_buf() else {
                return;
            };
            let number = self.shared.exchanges.fetch_add(1, Ordering::Relaxed);
            let fault = fault(number);
            if self.down.load(Ordering::Relaxed) {
                return;
            }
            let Some(body) = read(&mut reader, fault) else {
                return;
            };
            if fault == Fault::NeverRan {
                let away = "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
                if reader.get_mut().write_all(away.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let answer = match serde_json::from_slice::<Value>(&body).expect("what comes is JSON") {
                Value::Array(all) => {
                    Value::Array(all.iter().map(|one| self.run(one, fault)).collect())
                }
                one => self.run(&one, fault),
            };
            let (status, body) = match fault {
                Fault::Spoilt => ("200 OK", "{\"data\":".to_string()),
                Fault::Failed => ("500 Oops", "<html>".to_string()),
                _ => ("200 OK", answer.to_string()),
            };
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/graphql-response+json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let bytes = [head.as_bytes(), body.as_bytes()].concat();
            match fault {
                Fault::Hang => {
                    // Until the other side gives up.
                    let _ = reader
                        .get_mut()
                        .set_read_timeout(Some(Duration::from_secs(5)));
                    let _ = reader.read(&mut [0]);
                    return;
                }
                Fault::CutAnswer(at) => {
                    let _ = reader.get_mut().write_all(&bytes[..at % bytes.len()]);
                    return;
                }
                _ if reader.get_mut().write_all(&bytes).is_err() => return,
                _ => {}
            }
        }
    }

    fn run(&self, message: &Value, fault: Fault) -> Value {
        let id = message["variables"]["id"]
            .as_str()
            .expect("an id")
            .to_string();
        *self
            .shared
            .came
            .lock()
            .expect("no thread panics")
            .entry(id.clone())
            .or_default() += 1;
        let hash = message["extensions"]["persistedQuery"]["sha256Hash"]
            .as_str()
            .map(str::to_string);
        let text = match (message["query"].as_str(), &hash) {
            (Some(text), hash) => {
                self.known
                    .lock()
                    .expect("no thread panics")
                    .extend(hash.clone());
                text
            }
            (None, Some(hash)) if self.known.lock().expect("no thread panics").contains(hash) => {
                [READ, FILE, KEYED]
                    .into_iter()
                    .find(|text| hash_of(text) == *hash)
                    .expect("a known text")
            }
            _ => {
                return json!({"errors": [{
                    "message": "PersistedQueryNotFound", "extensions": {"code": "PERSISTED_QUERY_NOT_FOUND"}
                }]});
            }
        };
        let field = match text {
            READ => "read",
            FILE => "file",
            KEYED => "fileReport",
            _ => panic!("{text}"),
        };
        // A repeat is known by its key, and runs nothing.
        if text != KEYED
            || self
                .shared
                .keys
                .lock()
                .expect("no thread panics")
                .insert(id.clone())
        {
            *self
                .shared
                .ran
                .lock()
                .expect("no thread panics")
                .entry(id.clone())
                .or_default() += 1;
        }
        match fault {
            Fault::Partial => {
                json!({"data": {field: id}, "errors": [{"message": "half", "path": [field]}]})
            }
            _ => json!({"data": {field: id}}),
        }
    }
}

/// The body of the next message; none where the connection ends or is to break.
fn read(reader: &mut BufReader<TcpStream>, fault: Fault) -> Option<Vec<u8>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if reader.read_until(b'\n', &mut head).ok()? == 0 {
            return None;
        }
    }
    let text = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok())
        .unwrap_or(0);
    let cut = match fault {
        Fault::CutRequest(at) => at % (head.len() + length),
        _ => usize::MAX,
    };
    if cut <= head.len() {
        return None;
    }
    let mut body = vec![0; length.min(cut - head.len())];
    reader.read_exact(&mut body).ok()?;
    Some(body).filter(|body| body.len() == length)
}

pub fn hash_of(text: &str) -> String {
    use sha2::Digest;
    sha2::Sha256::digest(text)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// A message with the text, or with its hash alone, or with both.
pub fn message(text: &str, id: &str, with_text: bool, with_hash: bool) -> Value {
    let mut message = json!({"variables": {"id": id}});
    if with_text {
        message["query"] = text.into();
    }
    if with_hash {
        message["extensions"] =
            json!({"persistedQuery": {"version": 1, "sha256Hash": hash_of(text)}});
    }
    message
}

/// A POST of it, as the client of an application sends it.
pub fn post(path: &str, message: &Value, trace: &str) -> String {
    let body = message.to_string();
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nX-Trace-Id: {trace}\r\n\
         X-Expires-In-Ms: 1000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
