//! The HTTP interface of an agent and of a relay: paths, methods, bodies, statuses and views as literal text. What
//! differs from run to run (times, counts of bytes, drawn numbers) is written as `0`.

mod common;

use bytes::Bytes;
use common::fleet::TestFleet;
use common::run;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use madderloom_agent::relay::{Relay, RelayConfig};
use madderloom_pki::Keyring;
use rustls::pki_types::ServerName;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

/// Nothing expires while a test runs. The one limit has a figure of each kind.
const SLOW: &str = "[leases]\nreport = \"10s\"\nlease = \"10m\"\ngrace = \"10m\"\nlimits = \"10m\"\n\
    [[fleet_limits]]\nname = \"submissions\"\nrequests_per_second = 100\nburst = 10\nopen = 5\n";

const REGISTER: &str = r#"{"register":{"who":{"name":"shop-1","start":17,"incarnation":3},"traits":{"zone":"north","labels":{"tier":"canary"},"build":"1.4.0","file":"0123456789abcdef0123456789abcdef"},"term":0}}"#;
const REPORT: &str = r#"{"report":{"who":{"name":"shop-1","start":17,"incarnation":3},"term":1,"holding":{"revision":0,"overlay":"44136fa355b3678a1146ad16f7e8649e"},"counts":{"ended":1000,"bad":7}}}"#;
const CHANGE: &str = r#"{"id":"c1","base":0,"note":"w7 is slow","rollout":{"waves":[],"pause":0,"gate":null},"what":{"set":{"weight/w7":{"weight":200},"log_level":{"level":"debug"}}}}"#;

/// An answer whose body has not been read yet.
async fn ask(
    fleet: &TestFleet,
    who: &str,
    address: &str,
    request: &str,
    body: &str,
) -> Response<Incoming> {
    let connector = TlsConnector::from(
        Keyring::load(fleet.files(who))
            .expect("keys")
            .client_config()
            .expect("TLS"),
    );
    let stream = TcpStream::connect(address).await.expect("it listens");
    let host = ServerName::try_from("127.0.0.1").expect("a host");
    let stream = connector.connect(host, stream).await.expect("TLS");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .expect("HTTP");
    tokio::task::spawn_local(connection);
    let (method, path) = request.split_once(' ').expect("METHOD PATH");
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address);
    let request = request
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a request");
    sender.send_request(request).await.expect("an answer")
}

/// `STATUS BODY` of an answer in JSON.
async fn exchange(
    fleet: &TestFleet,
    who: &str,
    address: &str,
    request: &str,
    body: &str,
) -> String {
    let answer = ask(fleet, who, address, request, body).await;
    assert_eq!(
        answer.headers()[CONTENT_TYPE],
        "application/json",
        "{request}"
    );
    let status = answer.status().as_u16();
    let body = answer
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes();
    format!("{status} {}", std::str::from_utf8(&body).expect("text"))
}

/// The same of the agent.
async fn agent(fleet: &TestFleet, who: &str, request: &str, body: &str) -> String {
    exchange(fleet, who, &fleet.address, request, body).await
}

/// A watch, and what has come of it that was not read yet.
struct Watch(Incoming, Vec<u8>);

impl Watch {
    async fn open(fleet: &TestFleet, address: &str, path: &str) -> Self {
        let answer = ask(fleet, "shop-any", address, &format!("GET {path}"), "").await;
        assert_eq!(answer.status().as_u16(), 200, "{path}");
        assert_eq!(
            answer.headers()[CONTENT_TYPE],
            "application/x-ndjson",
            "{path}"
        );
        Watch(answer.into_body(), Vec::new())
    }

    /// The next line that is not empty.
    async fn line(&mut self) -> String {
        loop {
            if let Some(end) = self.1.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.1.drain(..=end).collect();
                if line.len() > 1 {
                    return String::from_utf8(line)
                        .expect("text")
                        .trim_end()
                        .to_string();
                }
                continue;
            }
            let frame = self
                .0
                .frame()
                .await
                .expect("it goes on")
                .expect("it is whole");
            self.1
                .extend_from_slice(frame.data_ref().map_or(&[], |data| data.as_ref()));
        }
    }
}

/// The text with `0` for the numbers of these fields.
fn masked(text: String, fields: &[&str]) -> String {
    fields.iter().fold(text, |text, field| {
        let begin = format!("\"{field}\":");
        let mut parts = text.split(begin.as_str());
        let mut masked = parts.next().unwrap_or_default().to_string();
        for part in parts {
            let rest = part.trim_start_matches(|c: char| c.is_ascii_digit());
            let number = if rest.len() < part.len() { "0" } else { "" };
            masked += &format!("{begin}{number}{rest}");
        }
        masked
    })
}

/// The lines of an audit log with `0` for the serial numbers of certificates, which are drawn: up to 20 bytes, without
/// those that are 0 at the beginning.
fn without_serials(lines: &str) -> String {
    let begin = r#""serial":""#;
    let mut parts = lines.split(begin);
    let first = parts.next().unwrap_or_default().to_string();
    let rest = parts
        .filter_map(|part| part.split_once('"'))
        .map(|(serial, rest)| {
            let is_hex = serial
                .bytes()
                .all(|digit| matches!(digit, b'0'..=b'9' | b'a'..=b'f'));
            assert!(
                is_hex && (2..=40).contains(&serial.len()) && serial.len().is_multiple_of(2),
                "{serial}"
            );
            format!("{begin}0\"{rest}")
        });
    rest.fold(first, |lines, part| lines + &part)
}

/// What the audit log has of a change that is pushed, seen, stopped and undone.
const AUDIT: &str = r#"{"at":0,"who":"alice","role":"operate","serial":"0","asked":"push","about":"c1","outcome":"asked"}
{"at":0,"who":"alice","role":"operate","serial":"0","asked":"push","about":"c1","outcome":"accepted as revision 1"}
{"at":0,"who":"alice","role":"operate","serial":"0","asked":"push","about":"c1","outcome":"asked"}
{"at":0,"who":"alice","role":"operate","serial":"0","asked":"push","about":"c1","outcome":"repeats what made revision 1"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"push","about":"c1","outcome":"asked"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"push","about":"c1","outcome":"declined: the id was used for another change, which made revision 1; choose another one"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"push","about":"c2","outcome":"asked"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"push","about":"c2","outcome":"declined: c1, pushed by alice, is still rolling out"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"push","about":"c2","outcome":"asked"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"push","about":"c2","outcome":"declined: made on revision 1, but the fleet is at 2; c1 by alice made 1: weight/w7 = 0.2, log_level = debug"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"push","about":"c2","outcome":"asked"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"push","about":"c2","outcome":"accepted as revision 3"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"stop","about":"c2","outcome":"asked"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"stop","about":"c2","outcome":"declined: c2 has ended; undo it if it is to go"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"undo","about":"c2","outcome":"asked"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"undo","about":"c2","outcome":"accepted as revision 4"}
{"at":0,"who":"alice","role":"operate","serial":"0","asked":"stop","about":"undo-4-c2","outcome":"asked"}
{"at":0,"who":"alice","role":"operate","serial":"0","asked":"stop","about":"undo-4-c2","outcome":"declined: undo-4-c2 takes a change back, which is not stopped halfway; push that change anew instead"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"stop","about":"c9","outcome":"asked"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"stop","about":"c9","outcome":"declined: no change c9 is known"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"undo","about":"c9","outcome":"asked"}
{"at":0,"who":"bob","role":"operate","serial":"0","asked":"undo","about":"c9","outcome":"declined: no change c9 is in effect"}
"#;

const TRAFFIC: [&str; 6] = [
    "connections",
    "opened",
    "bytes_in",
    "bytes_out",
    "messages_in",
    "messages_out",
];

#[track_caller]
fn same(actual: String, expected: &str) {
    assert_eq!(actual, expected);
}

#[test]
#[expect(clippy::too_many_lines, reason = "literal text reads better whole")]
fn an_instance_registers_reports_and_watches() {
    run(async {
        let fleet = TestFleet::with_paces(SLOW).await;
        let unknown = agent(
            &fleet,
            "shop-any",
            "POST /v1/instances/shop-1/report",
            REPORT,
        )
        .await;
        same(unknown, r#"200 [{"unknown":{"start":17}}]"#);
        let welcome = agent(
            &fleet,
            "shop-any",
            "POST /v1/instances/shop-1/register",
            REGISTER,
        )
        .await;
        same(
            welcome,
            r#"200 [{"welcome":{"start":17,"incarnation":3,"term":1,"every":10000000,"spread":10000}}]"#,
        );
        let path = "/v1/instances/shop-1/orders?start=17";
        let mut watch = Watch::open(&fleet, &fleet.address, path).await;
        let renewed = agent(
            &fleet,
            "shop-any",
            "POST /v1/instances/shop-1/report",
            REPORT,
        )
        .await;
        same(renewed, r#"200 [{"renewed":{"start":17,"term":1}}]"#);
        let accepted = agent(&fleet, "alice", "POST /v1/changes", CHANGE).await;
        same(accepted, r#"200 {"id":"c1","revision":1,"repeat":false}"#);
        let order = watch.line().await;
        same(
            order,
            r#"{"order":{"start":17,"stamp":{"term":1,"number":1},"change":"c1","revision":1,"overlay":{"weight/w7":{"weight":200},"log_level":{"level":"debug"}}}}"#,
        );
        let again = agent(
            &fleet,
            "shop-any",
            "POST /v1/instances/shop-1/report",
            REPORT,
        )
        .await;
        same(
            again,
            r#"200 [{"renewed":{"start":17,"term":1}},{"order":{"start":17,"stamp":{"term":1,"number":1},"change":"c1","revision":1,"overlay":{"weight/w7":{"weight":200},"log_level":{"level":"debug"}}}}]"#,
        );
        let other = REGISTER.replace(
            r#""start":17,"incarnation":3"#,
            r#""start":18,"incarnation":2"#,
        );
        let superseded = agent(
            &fleet,
            "shop-any",
            "POST /v1/instances/shop-1/register",
            &other,
        )
        .await;
        same(
            masked(superseded, &["again"]),
            r#"200 [{"superseded":{"start":18,"by":3,"again":0}}]"#,
        );
    });
}

#[test]
fn leases_and_lists_come_with_the_answer_to_a_report() {
    run(async {
        let fleet = TestFleet::with_paces(SLOW).await;
        agent(
            &fleet,
            "shop-any",
            "POST /v1/instances/shop-1/register",
            REGISTER,
        )
        .await;
        let report = REPORT.replace(
            r#","counts""#,
            r#","asks":{"seq":1,"of":[{"limit":"submissions","wanted":4000,"wanted_open":2,"open":1,"used":3000}]},"tells":{"seq":1,"of":[{"list":"workers","version":{"index":7,"digest":1984806262},"age":5,"watches":true,"text":"[]"}]},"counts""#,
        );
        let answer = agent(
            &fleet,
            "shop-any",
            "POST /v1/instances/shop-1/report",
            &report,
        )
        .await;
        same(
            masked(answer, &["id", "at", "ago"]),
            r#"200 [{"renewed":{"start":17,"term":1}},{"lent":{"start":17,"by":{"term":1,"id":0},"number":1,"answers":1,"lasts":600000000,"of":[]}},{"lists":{"start":17,"stamp":{"term":1,"id":0,"at":0},"answers":1,"room":262144,"of":[{"list":"workers","version":{"index":0,"digest":0},"ago":0,"wanted":true,"call":false,"enough":false}]}}]"#,
        );
        let status = agent(&fleet, "vic", "GET /v1/status", "").await;
        same(
            masked(status, &[&TRAFFIC[..], &["age_us"]].concat()),
            r#"200 {"term":1,"revision":0,"stood_down":null,"instances":{"alive":1},"rolling_out":null,"in_effect":[],"fleet_limits":{"submissions":{"whole":{"requests_per_second":100.0,"burst":10.0,"open":5},"lent":{"requests_per_second":0.0,"burst":0.0,"open":1},"used":3.0,"wanted":4.0,"open":1,"over":0.0,"instances":1,"with_part":0}},"lends_all":false,"shared_lists":{},"traffic":{"connections":0,"opened":0,"bytes_in":0,"bytes_out":0,"messages_in":0,"messages_out":0},"relays":{}}"#,
        );
        let instance = agent(&fleet, "vic", "GET /v1/instances/shop-1", "").await;
        same(
            instance,
            r#"200 {"name":"shop-1","presence":"alive","incarnation":3,"zone":"north","labels":{"tier":"canary"},"build":"1.4.0","file":"0123456789abcdef0123456789abcdef","revision":0,"in_line":true,"refused":null,"counts":{"ended":1000,"bad":7},"rival":null,"fleet_limits":{"submissions":{"whole":{"requests_per_second":100.0,"burst":10.0,"open":5},"lent":{"requests_per_second":0.0,"burst":0.0,"open":1},"used":3.0,"wanted":4.0,"open":1,"over":0.0,"instances":1,"with_part":0}},"settled":[]}"#,
        );
    });
}

#[test]
#[expect(clippy::too_many_lines, reason = "literal text reads better whole")]
fn a_change_is_pushed_seen_stopped_and_undone() {
    run(async {
        let fleet = TestFleet::with_paces(SLOW).await;
        agent(
            &fleet,
            "shop-any",
            "POST /v1/instances/shop-1/register",
            REGISTER,
        )
        .await;
        agent(
            &fleet,
            "shop-any",
            "POST /v1/instances/shop-1/report",
            REPORT,
        )
        .await;
        same(
            agent(&fleet, "vic", "GET /v1/rollouts", "").await,
            r#"200 []"#,
        );
        same(
            agent(&fleet, "alice", "POST /v1/changes", CHANGE).await,
            r#"200 {"id":"c1","revision":1,"repeat":false}"#,
        );
        same(
            agent(&fleet, "alice", "POST /v1/changes", CHANGE).await,
            r#"200 {"id":"c1","revision":1,"repeat":true}"#,
        );

        let other = CHANGE.replace("w7 is slow", "another");
        same(
            masked(
                agent(&fleet, "bob", "POST /v1/changes", &other).await,
                &["at"],
            ),
            r#"409 {"error":"the id was used for another change, which made revision 1; choose another one","declined":{"id_used":{"revision":1}}}"#,
        );
        let second = CHANGE.replace(r#""id":"c1","base":0"#, r#""id":"c2","base":1"#);
        same(
            masked(
                agent(&fleet, "bob", "POST /v1/changes", &second).await,
                &["at"],
            ),
            r#"409 {"error":"c1, pushed by alice, is still rolling out","declined":{"busy":{"id":"c1","by":{"who":"alice","at":0}}}}"#,
        );
        same(
            masked(
                agent(&fleet, "vic", "GET /v1/rollouts/c1", "").await,
                &["at"],
            ),
            r#"200 {"id":"c1","revision":1,"by":{"who":"alice","at":0},"phase":"wave 1 of 1","end":null,"ended":null,"why":null,"note":"w7 is slow","difference":["weight/w7 = 0.2","log_level = debug"],"counts":{"sent":1},"results":{"shop-1":{"wave":1,"state":"sent","reason":null,"back":null}}}"#,
        );
        same(
            masked(agent(&fleet, "vic", "GET /v1/status", "").await, &TRAFFIC),
            r#"200 {"term":1,"revision":1,"stood_down":null,"instances":{"alive":1},"rolling_out":"c1","in_effect":[],"fleet_limits":{"submissions":{"whole":{"requests_per_second":100.0,"burst":10.0,"open":5},"lent":{"requests_per_second":0.0,"burst":0.0,"open":0},"used":0.0,"wanted":0.0,"open":0,"over":0.0,"instances":0,"with_part":0}},"lends_all":false,"shared_lists":{},"traffic":{"connections":0,"opened":0,"bytes_in":0,"bytes_out":0,"messages_in":0,"messages_out":0},"relays":{}}"#,
        );

        let answer = |stamp: u64, change: &str, outcome: &str| {
            let answer = format!(
                r#","answer":{{"stamp":{{"term":1,"number":{stamp}}},{change},"outcome":{outcome}}},"counts""#
            );
            REPORT.replace(r#","counts""#, &answer)
        };
        let report = async |body: &str| {
            agent(&fleet, "shop-any", "POST /v1/instances/shop-1/report", body).await
        };
        let change = r#""change":"c1","revision":1,"overlay":"a74700fb604fd6f915e5f86d16a8b8ec""#;
        let refused = r#"{"refused":{"field":"set.weight/w7","problem":"is not known"}}"#;
        same(
            report(&answer(1, change, refused)).await,
            r#"200 [{"renewed":{"start":17,"term":1}}]"#,
        );
        same(
            masked(
                agent(&fleet, "vic", "GET /v1/rollouts/c1", "").await,
                &["at", "ended"],
            ),
            r#"200 {"id":"c1","revision":1,"by":{"who":"alice","at":0},"phase":"taken back","end":"taken_back","ended":0,"why":"1 of the instances refused or failed","note":"w7 is slow","difference":["weight/w7 = 0.2","log_level = debug"],"counts":{"refused":1},"results":{"shop-1":{"wave":1,"state":"refused","reason":"set.weight/w7: is not known","back":null}}}"#,
        );
        same(
            agent(&fleet, "vic", "GET /v1/instances", "").await,
            r#"200 [{"name":"shop-1","presence":"alive","incarnation":3,"zone":"north","labels":{"tier":"canary"},"build":"1.4.0","file":"0123456789abcdef0123456789abcdef","revision":0,"in_line":true,"refused":"set.weight/w7: is not known","counts":{"ended":1000,"bad":7},"rival":null,"fleet_limits":{}}]"#,
        );
        same(
            masked(
                agent(&fleet, "bob", "POST /v1/changes", &second).await,
                &["at"],
            ),
            r#"409 {"error":"made on revision 1, but the fleet is at 2; c1 by alice made 1: weight/w7 = 0.2, log_level = debug","declined":{"conflict":{"base":1,"newest":2,"since":[{"revision":1,"id":"c1","by":{"who":"alice","at":0},"end":"taken_back","difference":["weight/w7 = 0.2","log_level = debug"]}],"more":false}}}"#,
        );

        let second = second.replace(r#""base":1"#, r#""base":2"#);
        same(
            agent(&fleet, "bob", "POST /v1/changes", &second).await,
            r#"200 {"id":"c2","revision":3,"repeat":false}"#,
        );
        same(
            report(REPORT).await,
            r#"200 [{"renewed":{"start":17,"term":1}},{"order":{"start":17,"stamp":{"term":1,"number":2},"change":"c2","revision":3,"overlay":{"weight/w7":{"weight":200},"log_level":{"level":"debug"}}}}]"#,
        );
        let change = r#""change":"c2","revision":3,"overlay":"a74700fb604fd6f915e5f86d16a8b8ec""#;
        let applied = answer(2, change, r#""applied""#).replace(
            r#""revision":0,"overlay":"44136fa355b3678a1146ad16f7e8649e""#,
            r#""revision":3,"overlay":"a74700fb604fd6f915e5f86d16a8b8ec""#,
        );
        same(
            report(&applied).await,
            r#"200 [{"renewed":{"start":17,"term":1}}]"#,
        );
        same(
            agent(&fleet, "vic", "GET /v1/instances/shop-1", "").await,
            r#"200 {"name":"shop-1","presence":"alive","incarnation":3,"zone":"north","labels":{"tier":"canary"},"build":"1.4.0","file":"0123456789abcdef0123456789abcdef","revision":3,"in_line":true,"refused":null,"counts":{"ended":1000,"bad":7},"rival":null,"fleet_limits":{},"settled":["weight/w7 = 0.2","log_level = debug"]}"#,
        );
        same(
            masked(agent(&fleet, "vic", "GET /v1/status", "").await, &TRAFFIC),
            r#"200 {"term":1,"revision":3,"stood_down":null,"instances":{"alive":1},"rolling_out":null,"in_effect":["c2"],"fleet_limits":{"submissions":{"whole":{"requests_per_second":100.0,"burst":10.0,"open":5},"lent":{"requests_per_second":0.0,"burst":0.0,"open":0},"used":0.0,"wanted":0.0,"open":0,"over":0.0,"instances":0,"with_part":0}},"lends_all":false,"shared_lists":{},"traffic":{"connections":0,"opened":0,"bytes_in":0,"bytes_out":0,"messages_in":0,"messages_out":0},"relays":{}}"#,
        );
        same(
            agent(&fleet, "bob", "POST /v1/rollouts/c2/stop", "").await,
            r#"404 {"error":"c2 has ended; undo it if it is to go","declined":{"impossible":"c2 has ended; undo it if it is to go"}}"#,
        );
        same(
            agent(&fleet, "bob", "POST /v1/rollouts/c2/undo", "").await,
            r#"200 {"id":"undo-4-c2","revision":4,"repeat":false}"#,
        );
        same(
            agent(&fleet, "alice", "POST /v1/rollouts/undo-4-c2/stop", "").await,
            r#"404 {"error":"undo-4-c2 takes a change back, which is not stopped halfway; push that change anew instead","declined":{"impossible":"undo-4-c2 takes a change back, which is not stopped halfway; push that change anew instead"}}"#,
        );
        same(
            masked(
                agent(&fleet, "vic", "GET /v1/rollouts", "").await,
                &["at", "ended"],
            ),
            r#"200 [{"id":"undo-4-c2","revision":4,"by":{"who":"bob","at":0},"phase":"wave 1 of 1","end":null,"ended":null,"why":null,"note":"","difference":["takes c2 back"],"counts":{"sent":1},"results":{}},{"id":"c2","revision":3,"by":{"who":"bob","at":0},"phase":"done","end":"done","ended":0,"why":null,"note":"w7 is slow","difference":["weight/w7 = 0.2","log_level = debug"],"counts":{"applied":1},"results":{}},{"id":"c1","revision":1,"by":{"who":"alice","at":0},"phase":"taken back","end":"taken_back","ended":0,"why":"1 of the instances refused or failed","note":"w7 is slow","difference":["weight/w7 = 0.2","log_level = debug"],"counts":{"refused":1},"results":{}}]"#,
        );
        same(
            agent(&fleet, "bob", "POST /v1/rollouts/c9/stop", "").await,
            r#"404 {"error":"no change c9 is known","declined":{"impossible":"no change c9 is known"}}"#,
        );
        same(
            agent(&fleet, "bob", "POST /v1/rollouts/c9/undo", "").await,
            r#"404 {"error":"no change c9 is in effect","declined":{"impossible":"no change c9 is in effect"}}"#,
        );
        let audit = std::fs::read_to_string(fleet.path("audit.log")).expect("the audit log");
        same(without_serials(&masked(audit, &["at"])), AUDIT);
    });
}

#[test]
#[expect(clippy::too_many_lines, reason = "literal text reads better whole")]
fn a_change_that_rolls_out_is_stopped_and_its_instance_shown_with_its_rival() {
    run(async {
        let fleet = TestFleet::with_paces(SLOW).await;
        agent(
            &fleet,
            "shop-any",
            "POST /v1/instances/shop-1/register",
            REGISTER,
        )
        .await;
        agent(
            &fleet,
            "shop-any",
            "POST /v1/instances/shop-1/report",
            REPORT,
        )
        .await;
        agent(&fleet, "alice", "POST /v1/changes", CHANGE).await;
        same(
            agent(&fleet, "bob", "POST /v1/rollouts/c1/stop", "").await,
            r#"200 {"id":"c1","revision":1,"repeat":false}"#,
        );
        same(
            masked(
                agent(&fleet, "vic", "GET /v1/rollouts/c1", "").await,
                &["at"],
            ),
            r#"200 {"id":"c1","revision":1,"by":{"who":"alice","at":0},"phase":"stopping","end":null,"ended":null,"why":"stopped by bob","note":"w7 is slow","difference":["weight/w7 = 0.2","log_level = debug"],"counts":{"sent":1},"results":{"shop-1":{"wave":1,"state":"sent","reason":null,"back":null}}}"#,
        );
        same(
            agent(&fleet, "bob", "POST /v1/rollouts/c1/stop", "").await,
            r#"200 {"id":"c1","revision":1,"repeat":true}"#,
        );
        same(
            agent(&fleet, "bob", "POST /v1/rollouts/c1/undo", "").await,
            r#"200 {"id":"c1","revision":2,"repeat":false}"#,
        );
        same(
            masked(
                agent(&fleet, "vic", "GET /v1/rollouts/c1", "").await,
                &["at"],
            ),
            r#"200 {"id":"c1","revision":1,"by":{"who":"alice","at":0},"phase":"being taken back","end":null,"ended":null,"why":"taken back by bob","note":"w7 is slow","difference":["weight/w7 = 0.2","log_level = debug"],"counts":{"failed":1},"results":{"shop-1":{"wave":1,"state":"failed","reason":"taken back before it had answered","back":"sent"}}}"#,
        );
        let other = REGISTER.replace(
            r#""start":17,"incarnation":3"#,
            r#""start":18,"incarnation":2"#,
        );
        for _ in 0..3 {
            agent(
                &fleet,
                "shop-any",
                "POST /v1/instances/shop-1/register",
                &other,
            )
            .await;
        }
        same(
            agent(&fleet, "vic", "GET /v1/instances/shop-1", "").await,
            r#"200 {"name":"shop-1","presence":"alive","incarnation":3,"zone":"north","labels":{"tier":"canary"},"build":"1.4.0","file":"0123456789abcdef0123456789abcdef","revision":0,"in_line":true,"refused":null,"counts":{"ended":1000,"bad":7},"rival":2,"fleet_limits":{},"settled":[]}"#,
        );
    });
}

#[test]
#[expect(clippy::too_many_lines, reason = "literal text reads better whole")]
fn requests_that_are_refused_say_why() {
    run(async {
        let fleet = TestFleet::with_paces(SLOW).await;
        for (who, request, body, answer) in [
            (
                "vic",
                "POST /v1/changes",
                CHANGE,
                r#"403 {"error":"vic has the role view and may not change the fleet"}"#,
            ),
            (
                "vic",
                "GET /v1/instances/shop-1/orders?start=17",
                "",
                r#"403 {"error":"vic has the role view and may not be the instance shop-1"}"#,
            ),
            (
                "shop-any",
                "GET /v1/status",
                "",
                r#"403 {"error":"shop-* has the role instance and may not see the fleet"}"#,
            ),
            (
                "shop-any",
                "POST /v1/instances/till-1/register",
                REGISTER,
                r#"403 {"error":"shop-* has the role instance and may not be the instance till-1"}"#,
            ),
            (
                "shop-any",
                "POST /v1/instances/shop-2/register",
                REGISTER,
                r#"400 {"error":"name: is \"shop-1\", and \"shop-2\" in the path"}"#,
            ),
            (
                "shop-any",
                "POST /v1/instances/shop-1/report",
                "{}",
                r#"400 {"error":"expected value at line 1 column 2"}"#,
            ),
            (
                "shop-any",
                "GET /v1/instances/shop-1/orders",
                "",
                r#"400 {"error":"start: is missing; write ?start=NUMBER"}"#,
            ),
            (
                "alice",
                "POST /v1/changes",
                "{",
                r#"400 {"error":"EOF while parsing an object at line 1 column 1"}"#,
            ),
            (
                "alice",
                "POST /v1/changes",
                r#"{"id":"","base":0,"what":{"set":{}}}"#,
                r#"422 {"error":"id: is empty; set: nothing is set","declined":{"invalid":[{"field":"id","problem":"is empty"},{"field":"set","problem":"nothing is set"}]}}"#,
            ),
            (
                "alice",
                "GET /v1/instances/shop-9",
                "",
                r#"404 {"error":"there is nothing of that name"}"#,
            ),
            (
                "alice",
                "GET /v1/rollouts/c9",
                "",
                r#"404 {"error":"there is nothing of that name"}"#,
            ),
            (
                "alice",
                "GET /v1/relay",
                "",
                r#"404 {"error":"there is no GET /v1/relay"}"#,
            ),
            (
                "alice",
                "DELETE /v1/instances",
                "",
                r#"404 {"error":"there is no DELETE /v1/instances"}"#,
            ),
            (
                "alice",
                "GET /v2/status",
                "",
                r#"404 {"error":"this agent speaks version 1 of the protocol: paths begin with /v1/"}"#,
            ),
            (
                "alice",
                "GET /",
                "",
                r#"404 {"error":"this agent speaks version 1 of the protocol: paths begin with /v1/"}"#,
            ),
            (
                "shop-any",
                "POST /v1/relays/zone-0/batch",
                "",
                r#"400 {"error":"start: is missing; write ?start=NUMBER"}"#,
            ),
            (
                "shop-any",
                "POST /v1/relays/zone-0/odd?start=5",
                "",
                r#"404 {"error":"there is no POST odd of a relay"}"#,
            ),
            (
                "shop-any",
                "POST /v1/relays/zone-0/batch?start=5",
                "{}",
                r#"400 {"error":"missing field `messages` at line 1 column 2"}"#,
            ),
            (
                "shop-any",
                "POST /v1/relays/zone-0/batch?start=5",
                r#"{"messages":[{"register":{"who":{"name":"till-1","start":1,"incarnation":1}}}]}"#,
                r#"403 {"error":"shop-* has the role instance and may not be the instance till-1"}"#,
            ),
        ] {
            same(agent(&fleet, who, request, body).await, answer);
        }
    });
}

#[test]
fn a_relay_asks_for_its_instances() {
    run(async {
        let fleet = TestFleet::with_paces(SLOW).await;
        let mut watch = Watch::open(
            &fleet,
            &fleet.address,
            "/v1/relays/zone-0/watch?start=5&term=0",
        )
        .await;
        same(watch.line().await, r#"{"connected":{"term":1}}"#);
        let batch = format!(r#"{{"messages":[{REGISTER}]}}"#);
        same(
            agent(
                &fleet,
                "shop-any",
                "POST /v1/relays/zone-0/batch?start=5",
                &batch,
            )
            .await,
            r#"200 {"term":1,"messages":[{"name":"shop-1","message":{"welcome":{"start":17,"incarnation":3,"term":1,"every":10000000,"spread":10000}}}]}"#,
        );
        let batch = format!(r#"{{"messages":[{REPORT}]}}"#);
        same(
            agent(
                &fleet,
                "shop-any",
                "POST /v1/relays/zone-0/batch?start=5",
                &batch,
            )
            .await,
            r#"200 {"term":1,"messages":[{"name":"shop-1","message":{"renewed":{"start":17,"term":1}}}]}"#,
        );
        same(
            agent(&fleet, "alice", "POST /v1/changes", CHANGE).await,
            r#"200 {"id":"c1","revision":1,"repeat":false}"#,
        );
        same(
            watch.line().await,
            r#"{"message":{"name":"shop-1","message":{"order":{"start":17,"stamp":{"term":1,"number":1},"change":"c1","revision":1,"overlay":{"weight/w7":{"weight":200},"log_level":{"level":"debug"}}}}}}"#,
        );
        same(
            masked(agent(&fleet, "vic", "GET /v1/status", "").await, &TRAFFIC),
            r#"200 {"term":1,"revision":1,"stood_down":null,"instances":{"alive":1},"rolling_out":"c1","in_effect":[],"fleet_limits":{"submissions":{"whole":{"requests_per_second":100.0,"burst":10.0,"open":5},"lent":{"requests_per_second":0.0,"burst":0.0,"open":0},"used":0.0,"wanted":0.0,"open":0,"over":0.0,"instances":0,"with_part":0}},"lends_all":false,"shared_lists":{},"traffic":{"connections":0,"opened":0,"bytes_in":0,"bytes_out":0,"messages_in":0,"messages_out":0},"relays":{"zone-0":1}}"#,
        );
    });
}

#[test]
#[expect(clippy::too_many_lines, reason = "literal text reads better whole")]
fn a_relay_answers_its_instances_and_shows_itself() {
    run(async {
        let fleet = TestFleet::with_paces(SLOW).await;
        let text = format!(
            "version = 1\nname = \"zone-0\"\nlisten = \"127.0.0.1:0\"\n[keys]\nauthority = \"keys/authority.pem\"\n\
             certificate = \"agent.pem\"\nkey = \"agent.key\"\n[parent]\nagents = [\"{}\"]\n\
             certificate = \"shop-any.pem\"\nkey = \"shop-any.key\"\n[children]\nlease = \"10m\"\nanswer = \"4s\"\n",
            fleet.address
        );
        let config = RelayConfig::read(&text, &fleet.path("relay.toml")).expect("it makes sense");
        let relay = Relay::start(&config).await.expect("it starts");
        let address = relay.address().expect("an address").to_string();
        tokio::task::spawn_local(async move { relay.serve(std::future::pending()).await });
        let relay = async |who, request, body| exchange(&fleet, who, &address, request, body).await;
        let view = async || masked(relay("vic", "GET /v1/relay", "").await, &TRAFFIC);
        while view().await.contains(r#""is_connected":false"#) {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        same(
            view().await.replace(&fleet.address, "AGENT"),
            r#"200 {"name":"zone-0","agent":"AGENT","relay":{"is_connected":true,"term":1,"children":0,"registered":0,"outgoing":0,"answered_alone":0},"traffic":{"connections":0,"opened":0,"bytes_in":0,"bytes_out":0,"messages_in":0,"messages_out":0}}"#,
        );
        same(
            relay("shop-any", "POST /v1/instances/shop-1/register", REGISTER).await,
            r#"200 [{"welcome":{"start":17,"incarnation":3,"term":1,"every":10000000,"spread":2500}}]"#,
        );
        let mut watch = Watch::open(&fleet, &address, "/v1/instances/shop-1/orders?start=17").await;
        same(
            relay("shop-any", "POST /v1/instances/shop-1/report", REPORT).await,
            r#"200 [{"renewed":{"start":17,"term":1}}]"#,
        );
        same(
            agent(&fleet, "alice", "POST /v1/changes", CHANGE).await,
            r#"200 {"id":"c1","revision":1,"repeat":false}"#,
        );
        same(
            watch.line().await,
            r#"{"order":{"start":17,"stamp":{"term":1,"number":1},"change":"c1","revision":1,"overlay":{"weight/w7":{"weight":200},"log_level":{"level":"debug"}}}}"#,
        );
        same(
            view().await.replace(&fleet.address, "AGENT"),
            r#"200 {"name":"zone-0","agent":"AGENT","relay":{"is_connected":true,"term":1,"children":1,"registered":1,"outgoing":0,"answered_alone":0},"traffic":{"connections":0,"opened":0,"bytes_in":0,"bytes_out":0,"messages_in":0,"messages_out":0}}"#,
        );
        for (who, request, body, answer) in [
            (
                "shop-any",
                "POST /v1/instances/shop-2/register",
                REGISTER,
                r#"400 {"error":"name: is \"shop-1\", and \"shop-2\" in the path"}"#,
            ),
            (
                "shop-any",
                "POST /v1/instances/shop-1/report",
                "{}",
                r#"400 {"error":"expected value at line 1 column 2"}"#,
            ),
            (
                "shop-any",
                "POST /v1/instances/till-1/report",
                REPORT,
                r#"403 {"error":"shop-* has the role instance and may not be the instance till-1"}"#,
            ),
            (
                "shop-any",
                "GET /v1/instances/shop-1/orders",
                "",
                r#"400 {"error":"start: is missing; write ?start=NUMBER"}"#,
            ),
            (
                "shop-any",
                "GET /v1/relay",
                "",
                r#"403 {"error":"shop-* has the role instance and may not see the fleet"}"#,
            ),
            (
                "vic",
                "GET /v1/status",
                "",
                r#"404 {"error":"this is the relay zone-0: ask the agent for /v1/status"}"#,
            ),
            (
                "vic",
                "POST /v1/relay",
                "",
                r#"404 {"error":"this is the relay zone-0: ask the agent for /v1/relay"}"#,
            ),
        ] {
            same(relay(who, request, body).await, answer);
        }
    });
}
