//! Case 1: a discovery that is down for 2 s, soon after a start, is called again too late, and a server that drains gets work.

#[path = "../standins/common.rs"]
mod common;

use common::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A change counts as told this long after discovery had it and could be reached.
const TOLD_MS: u64 = 6_000;
const GRACE_MS: u64 = 3_000;
/// "Every time limit is 50 ms longer": both of them.
const SLACK_MS: u64 = 2 * 50;
const OUTAGE_MS: u64 = 2_000;

/// Discovery: its list with its number, and whether it is down. Down, its watches end, and a call is reset after 0.3 s.
#[derive(Clone, Default)]
struct Discovery {
    state: Arc<Mutex<(u64, Vec<(String, SocketAddr, &'static str)>)>>,
    down: Arc<AtomicBool>,
}

/// Closes with a reset: Linux resets a connection that is closed with unread bytes.
fn reset(stream: &TcpStream) {
    extern "C" {
        fn setsockopt(descriptor: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
    }
    use std::os::fd::AsRawFd;
    // SO_LINGER, on, 0 s.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &[1, 0], 8) };
}

impl Discovery {
    fn object(&self, snapshot: bool) -> (u64, String) {
        let state = self.state.lock().unwrap();
        let entries: Vec<String> = state
            .1
            .iter()
            .map(|(name, address, status)| {
                format!(
                    "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"zona-4\",\"type\":\"std-3c\",\"group\":0,\
                     \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0}}"
                )
            })
            .collect();
        let object = format!("{{\"index\":{},\"snapshot\":{snapshot},\"endpoints\":[{}]}}\n", state.0, entries.join(","));
        (state.0, object)
    }

    fn set(&self, name: &str, status: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        state.1.iter_mut().filter(|entry| entry.0 == name).for_each(|entry| entry.2 = status);
    }

    fn serve(&self, record: &Record) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| stop_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let (own, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, record) = (own.clone(), record.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    let mut line = String::new();
                    let _ = reader.read_line(&mut line);
                    while line.trim() != "" && reader.read_line(&mut line).is_ok_and(|count| count > 2) {}
                    let first = line.lines().next().unwrap_or("").to_string();
                    if own.down.load(Ordering::SeqCst) {
                        record.line(format!("discovery is called and is down: {first}: reset after 0.3 s"));
                        sleep_ms(300);
                        return reset(&stream);
                    }
                    record.line(format!("discovery is called: {first}"));
                    let _ = own.watch(&stream);
                    record.line("discovery: a watch has ended");
                    reset(&stream);
                });
            }
        });
        address
    }

    /// The list, then what changes, with an empty line every 2 s, until discovery goes down.
    fn watch(&self, mut stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut told, object) = self.object(true);
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        stream.write_all(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&object)).as_bytes())?;
        let mut silent = 0;
        while !self.down.load(Ordering::SeqCst) {
            sleep_ms(20);
            silent += 20;
            let (index, object) = self.object(false);
            if index != told {
                told = index;
                stream.write_all(chunk(&object).as_bytes())?;
            }
            if silent >= 2_000 {
                silent = 0;
                stream.write_all(chunk("\n").as_bytes())?;
            }
        }
        Ok(())
    }
}

/// A server that works 120 ms on a request. Once it has ended, its connections are reset and new ones are refused.
#[derive(Clone)]
struct Server {
    address: SocketAddr,
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// The requests that it got, with the time of the first byte of each.
    got: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Server {
    fn new(record: &Record, name: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| stop_run(&e.to_string()));
        listener.set_nonblocking(true).unwrap();
        let server = Server {
            address: listener.local_addr().unwrap(),
            ended: Arc::default(),
            open: Arc::default(),
            got: Arc::default(),
        };
        let (own, record) = (server.clone(), record.clone());
        thread::spawn(move || {
            while !own.ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                own.open.lock().unwrap().push(stream.try_clone().unwrap());
                let (own, record, name) = (own.clone(), record.clone(), name.clone());
                thread::spawn(move || {
                    let mut writer = stream.try_clone().unwrap();
                    let mut reader = BufReader::new(stream);
                    // For drains the time of a send counts from its first byte.
                    while reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                        let first_byte = record.ms();
                        let Ok(Some(request)) = Message::read(&mut reader) else { break };
                        let id = request.header("x-trace-id").unwrap_or("-").to_string();
                        record.request(format!("server {name} got {id}, its first byte at {first_byte} ms"));
                        own.got.lock().unwrap().push((first_byte, id));
                        sleep_ms(120);
                        if own.ended.load(Ordering::SeqCst) || writer.write_all(answer("200 OK", "", "filed").as_bytes()).is_err() {
                            break;
                        }
                    }
                });
            }
        });
        server
    }

    fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}


/// What a sidecar is told, as the deployment page has it, with settings of guate-reportes.
fn config(listen: SocketAddr, discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"n3","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"index":0,"snapshot":true,"endpoints":[]}},
"settings":{{"areas":["zona-4"],"kinds":["std-3c"],"my_zone":0,"group_size":4,"slot_no":3,"period":5000,"family":"mesh",
"discovery":"subscribe","clients":{{"marks_retry":true}},"domain":{{"warm_keys":true}},"tenants":[],"tier":0,"tiers":["comparadores"],
"weight_source":"rough","worth_by":"work","over_share_worth":0.1,"load_report":{{"fields":[],"how":"none"}},
"limits":{{"cancel":true,"conn_idle":60000000,"connect_timeout":250000,"cpu_us_per_request":0.0,"cpu_us_per_s":8000,"max_attempts":6,
"max_open":20000,"max_retry_after":2000000,"peers":false,"probes":false,"retry_after":true,"second_copies":true,"streams_per_conn":1}},
"safety":{{"ask_within":10000000,"cold":8400000,"cold_from":0.31,"drain_grace":3000000,"fall":2000000,"fall_multiple":3.0,
"grace_to_answer":20000}},
"score_parts":{{"whole":0.4,"worst_class":0.3,"worst_tenant":0.0,"worst_window":0.3}},
"services":[{{"name":"submit-check","effect":"unsafe","give_up":1500000,"key_scope":"all","late_worth":0.0,"on_time":600000,
"stream":false,"window":5000000,"worth":10.0}}],
"tariffs":{{"connection":0.0,"cross_zone":0.02,"discovery":0.0,"handshake":0.0,"late_fail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,
"probe":0.0094,"waste":0.05}}}}}}"#
    )
}

fn main() {
    let folder = TempFolder::new("1");
    let status = run(&folder);
    drop(folder);
    std::process::exit(status);
}

fn run(folder: &TempFolder) -> i32 {
    let trouble = has_trouble();
    let record = Record::new(Path::new(&root()).join("review/1/record.txt").as_path());
    record.line(format!("trouble: {trouble}"));
    let servers: Vec<Server> = (0..3).map(|n| Server::new(&record, format!("s-{n}"))).collect();
    let discovery = Discovery::default();
    *discovery.state.lock().unwrap() =
        (41, servers.iter().enumerate().map(|(n, server)| (format!("s-{n}"), server.address, "in_service")).collect());
    let discovery_at = discovery.serve(&record);
    let listen = free_address();
    let file = folder.write("config.json", &config(listen, discovery_at));
    let envs = [
        ("RELAY_CONFIG", file.display().to_string()),
        ("RELAY_NAME", "n3".to_string()),
        ("RELAY_LISTEN", listen.to_string()),
        ("RELAY_DISCOVERY", discovery_at.to_string()),
    ];
    let mut sidecar = Program::start(&record, "the sidecar n3", "serve", &envs, folder.at("sidecar.log"));
    let ready = format!("GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n");
    let until = record.ms() + 10_000;
    while !ask(listen, &ready, Duration::from_secs(1)).is_ok_and(|message| message.status() == 200) {
        if record.ms() > until || sidecar.has_ended() {
            eprintln!("{}", sidecar.log());
            stop_run("the sidecar is not ready");
        }
        sleep_ms(20);
    }

    // Clients: a submission every 15 ms until the end. What each got.
    let stop = Arc::new(AtomicBool::new(false));
    let got: Arc<Mutex<Vec<(String, Result<u16, String>)>>> = Arc::default();
    let clients = {
        let (stop, got, record) = (Arc::clone(&stop), Arc::clone(&got), record.clone());
        thread::spawn(move || {
            let mut open = Vec::new();
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let (got, record, id) = (Arc::clone(&got), record.clone(), format!("{number:016x}"));
                open.push(thread::spawn(move || {
                    let text = format!(
                        "POST /submit-check HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 1500\r\n\
                         Content-Length: 5\r\n\r\npaper"
                    );
                    record.request(format!("sent {id}"));
                    let answer = ask(listen, &text, Duration::from_secs(3)).map(|message| message.status());
                    record.request(format!("answered {id}: {answer:?}"));
                    got.lock().unwrap().push((id, answer));
                }));
                sleep_ms(15);
            }
            open.into_iter().for_each(|client| drop(client.join()));
        })
    };
    sleep_ms(5_000);
    if trouble {
        record.line(format!("trouble: discovery goes down for {OUTAGE_MS} ms"));
        discovery.down.store(true, Ordering::SeqCst);
    }
    sleep_ms(OUTAGE_MS);
    discovery.down.store(false, Ordering::SeqCst);
    record.line("discovery can be reached");
    sleep_ms(200);
    discovery.set("s-0", "terminating");
    let drains_from = record.ms();
    record.line("discovery lists s-0 as terminating");
    // The platform ends s-0 once every time to be told and the grace are over.
    let told_by = drains_from + TOLD_MS + GRACE_MS + SLACK_MS;
    sleep_ms(told_by + 900 - record.ms());
    record.line("the platform ends s-0");
    servers[0].end();
    sleep_ms(8_000);
    stop.store(true, Ordering::SeqCst);
    let _ = clients.join();

    let late: Vec<(u64, String)> = servers[0].got.lock().unwrap().iter().filter(|(at, _)| *at > told_by).cloned().collect();
    let before = servers[0].got.lock().unwrap().iter().filter(|(at, _)| *at <= drains_from).count();
    let got = got.lock().unwrap().clone();
    let other: Vec<&(String, Result<u16, String>)> = got.iter().filter(|(_, got)| *got != Ok(200)).collect();
    let lost: Vec<&String> = other.iter().map(|(id, _)| id).filter(|id| late.iter().any(|(_, late)| late == *id)).collect();
    record.line(format!("{} requests were sent; not answered 200: {other:?}", got.len()));
    record.line(format!("s-0 got {before} before it drained"));
    for (at, id) in &late {
        record.line(format!("s-0 got {id} at {at} ms, {} ms after discovery listed it as terminating", at - drains_from));
    }
    for line in sidecar.log().lines().filter(|line| !line.contains("regions moved")) {
        record.line(format!("log of the sidecar: {line}"));
    }
    if sidecar.has_ended() || before == 0 {
        record.line("the sidecar has ended, or s-0 got nothing before it drained");
        return 2;
    }
    if !late.is_empty() {
        record.line(format!(
            "BROKEN: s-0 got {} new requests later than 6 s, the grace of 3 s and 2 x 50 ms after it drained; {} of them are lost with it",
            late.len(),
            lost.len()
        ));
        return 1;
    }
    record.line("the rule held");
    0
}
