//! Case 2: a new configuration cuts a pool off from the fleet's endpoint list: it goes on by the list of its file, whatever
//! discovery has told.

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

/// `ask_within` of the settings, and the grace of a drain after it.
const ASK_WITHIN_MS: u64 = 10_000;
const GRACE_MS: u64 = 3_000;
/// "Every time limit is 50 ms longer": both of them.
const SLACK_MS: u64 = 2 * 50;

/// Discovery: its list, and its number, which grows with each change.
#[derive(Clone, Default)]
struct Discovery {
    state: Arc<Mutex<(u64, Vec<(String, SocketAddr, &'static str)>)>>,
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

    /// The list, then what changes, with an empty line every 2 s.
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
                    record.line(format!("discovery is called: {}", line.trim()));
                    let _ = own.watch(stream);
                });
            }
        });
        address
    }

    fn watch(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut told, object) = self.object(true);
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        stream.write_all(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&object)).as_bytes())?;
        let mut silent = 0;
        loop {
            sleep_ms(50);
            silent += 50;
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

    fn since(&self, from: u64) -> usize {
        self.got.lock().unwrap().iter().filter(|(at, _)| *at >= from).count()
    }
}

fn agent_file(address: SocketAddr) -> String {
    format!(
        "version = 1\nlisten = \"{address}\"\nstate = \"agent-state\"\naudit = \"audit.log\"\n\
         [keys]\nauthority = \"authority.pem\"\ncertificate = \"agent.pem\"\nkey = \"agent.key\"\n\
         revoked = \"keys/revoked.pem\"\n[leases]\nreport = \"3s\"\nlease = \"10s\"\ngrace = \"20s\"\n"
    )
}

fn instance_file(name: &str, agent: SocketAddr, front: SocketAddr, discovery: SocketAddr, known: &[Server], on_time_ms: u64) -> String {
    let known: Vec<String> = known
        .iter()
        .enumerate()
        .map(|(n, server)| format!("{{ name = \"node-{n}\", address = \"{}\", zone = \"zona-4\", kind = \"std-3c\" }}", server.address))
        .collect();
    format!(
        "version = 1\n[process]\nname = \"{name}\"\n\
         [control]\nagent = \"{agent}\"\nzone = \"zona-4\"\nstate = \"{name}-state\"\nshare_lists = \"guate\"\n\
         keys = {{ authority = \"authority.pem\", certificate = \"portal-any.pem\", key = \"portal-any.key\" }}\n\
         [[listeners]]\nname = \"front\"\naddress = \"{front}\"\n\
         [[pools]]\nname = \"reports\"\ndiscovery = \"{discovery}\"\nservers = [{}]\n\
         [pools.settings]\ngroup_size = 2\nmy_zone = 0\nperiod = 5000\ndiscovery = \"subscribe\"\nareas = [\"zona-4\"]\nkinds = [\"std-3c\"]\n\
         services = [{{ name = \"submit-check\", effect = \"unsafe\", on_time = {}, give_up = 1_500_000, worth = 10 }}]\n\
         limits = {{ cancel = true, max_attempts = 6, retry_after = true, max_retry_after = 2_000_000 }}\n\
         safety = {{ ask_within = 10_000_000, drain_grace = 3_000_000, cold = 8_400_000, cold_from = 0.31, fall = 2_000_000 }}\n\
         [[routes]]\nname = \"all\"\npool = \"reports\"\n",
        known.join(", "),
        on_time_ms * 1_000
    )
}

fn main() {
    let folder = TempFolder::new("2");
    let status = run(&folder);
    drop(folder);
    std::process::exit(status);
}

fn run(folder: &TempFolder) -> i32 {
    let trouble = has_trouble();
    let record = Record::new(Path::new(&root()).join("review/2/record.txt").as_path());
    record.line(format!("trouble: {trouble}"));
    let servers: Vec<Server> = (0..3).map(|n| Server::new(&record, format!("node-{n}"))).collect();
    let discovery = Discovery::default();
    *discovery.state.lock().unwrap() =
        (41, servers.iter().enumerate().map(|(n, server)| (format!("node-{n}"), server.address, "in_service")).collect());
    let discovery_at = discovery.serve(&record);
    run_command(&record, "keys init", &folder.0);
    run_command(&record, "keys issue agent --role agent --host 127.0.0.1", &folder.0);
    run_command(&record, "keys issue portal-* --role instance", &folder.0);
    std::fs::copy(folder.at("keys/authority.pem"), folder.at("authority.pem")).unwrap();
    let address = free_address();
    let config = folder.write("agent.toml", &agent_file(address));
    let start = |name: &str, front: SocketAddr| {
        let file = folder.write(&format!("{name}.toml"), &instance_file(name, address, front, discovery_at, &servers, 600));
        let arguments = format!("serve --operator {}", file.display());
        Program::start(&record, name, &arguments, &[], folder.at(&format!("{name}.log")))
    };
    // Five instances of six are there before the agent: each calls discovery for itself, and watches it.
    let names = ["portal-b", "portal-c", "portal-d", "portal-e", "portal-f"];
    let mut others = Vec::new();
    for name in names {
        others.push(start(name, free_address()));
        sleep_ms(400);
    }
    others.iter_mut().for_each(|other| other.wait_for("discovery answered", 20));
    let mut agent = Program::start(&record, "the agent", &format!("agent --config {}", config.display()), &[], folder.at("agent.log"));
    agent.wait_for("endpoint list updated", 20);
    let until = record.ms() + 30_000;
    while agent.count("is alive") < names.len() {
        if record.ms() > until {
            stop_run("not all instances are alive at the agent");
        }
        sleep_ms(50);
    }
    // The sixth one has the list from the fleet.
    let front_a = free_address();
    let mut a = start("portal-a", front_a);
    a.wait_for("by way of the agent", 20);
    sleep_ms(4_000);

    // Clients of portal-a, so many milliseconds apart; what each got.
    let send = |count: usize, apart: u64, round: &str| -> Vec<(String, Result<u16, String>)> {
        let clients: Vec<_> = (0..count)
            .map(|number| {
                let (id, record) = (format!("{round}-{number}"), record.clone());
                sleep_ms(apart);
                thread::spawn(move || {
                    let text = format!(
                        "POST /submit-check HTTP/1.1\r\nHost: reports\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 1500\r\n\
                         Content-Length: 5\r\n\r\npaper"
                    );
                    record.request(format!("sent {id}"));
                    let answer = ask(front_a, &text, Duration::from_secs(3)).map(|message| message.status());
                    record.request(format!("answered {id}: {answer:?}"));
                    (id, answer)
                })
            })
            .collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    };
    let from = record.ms();
    send(100, 30, "before");
    record.line(format!("before: 100 requests; node-0 got {}", servers[0].since(from)));
    if servers[0].since(from) == 0 {
        return 2;
    }

    // node-0 drains, which the fleet tells portal-a.
    record.line("discovery: node-0 is terminating");
    discovery.set("node-0", "terminating");
    sleep_ms(4_000);
    let from = record.ms();
    send(100, 30, "drained");
    record.line(format!("drained: 100 requests; node-0 got {}", servers[0].since(from)));
    if servers[0].since(from) != 0 {
        return 2;
    }

    // A new configuration: the class's aim changes.
    if trouble {
        folder.write("next.toml", &instance_file("portal-a", address, front_a, discovery_at, &servers, 650));
        std::fs::rename(folder.at("next.toml"), folder.at("portal-a.toml")).unwrap();
        a.signal("HUP");
        a.wait_for("operator file read again", 10);
        record.line("trouble: a new configuration of portal-a: on_time is 650 ms in place of 600 ms");
    }
    // From here on, when the new configuration is in effect.
    let retuned = record.ms();
    sleep_ms(ASK_WITHIN_MS + GRACE_MS + SLACK_MS + 1);
    let from = record.ms();
    send(200, 30, "later");
    let late = servers[0].since(from);
    record.line(format!("more than {} ms after the new configuration: 200 requests; node-0, which drains, got {late}", from - retuned));
    // The platform ends node-0, which has drained for long, while requests come.
    let node = servers[0].clone();
    let ender = {
        let record = record.clone();
        thread::spawn(move || {
            sleep_ms(1_000);
            record.line("the platform ends node-0");
            node.end();
        })
    };
    let answers = send(150, 15, "ended");
    let _ = ender.join();
    let failed: Vec<&(String, Result<u16, String>)> = answers.iter().filter(|(_, got)| *got != Ok(200)).collect();
    record.line(format!("while node-0 was ended: 150 requests, of which not answered 200: {failed:?}"));
    let given = servers[0].got.lock().unwrap().clone();
    let lost: Vec<&String> =
        failed.iter().map(|(id, _)| id).filter(|id| given.iter().any(|(_, given)| given == *id)).collect();
    record.line(format!("submissions that were written to node-0 and are lost with it: {lost:?}"));
    sleep_ms(10_000);
    for (name, log) in [("portal-a", "portal-a.log"), ("the agent", "agent.log")] {
        for line in std::fs::read_to_string(folder.at(log)).unwrap_or_default().lines().filter(|l| !l.contains("regions moved")) {
            record.line(format!("log of {name}: {line}"));
        }
    }
    if a.has_ended() || others.iter_mut().any(Program::has_ended) || agent.has_ended() {
        record.line("a program has ended");
        return 2;
    }
    if late > 0 {
        record.line(format!(
            "BROKEN: node-0 got {late} new requests, although it drains and every time to be told is over; {} of those that it \
             had when it was ended are lost",
            lost.len()
        ));
        return 1;
    }
    record.line("the rule held");
    0
}
