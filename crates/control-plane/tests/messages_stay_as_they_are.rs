//! Every message of the control protocol and every durable record of it, as literal JSON. Other versions of an agent, a
//! relay, an instance or the command line read and write the same text: it is read here, and written byte for byte.

use madderloom_control_plane::change::Change;
use madderloom_control_plane::protocol::{ToAgent, ToInstance};
use madderloom_control_plane::relay::{Batch, BatchAnswer, RelayStatus, WatchLine};
use madderloom_control_plane::settings::{Overlay, Value};
use madderloom_control_plane::{Accepted, PersistedInstance, Record, Rejection};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value as Json;

/// The literal on one line: literals are broken between two tokens, and indented.
fn one_line(literal: &str) -> String {
    literal.lines().map(str::trim).collect()
}

fn read<T: DeserializeOwned>(literal: &str) -> T {
    let text = one_line(literal);
    serde_json::from_str(&text).unwrap_or_else(|error| panic!("{text}: {error}"))
}

/// Reads the literal, and writes it again byte for byte. A field or a variant of another name is either not read, or
/// dropped, or written under its other name.
#[track_caller]
fn stays<T: Serialize + DeserializeOwned>(literal: &str) -> T {
    let value: T = read(literal);
    assert_eq!(
        serde_json::to_string(&value).expect("JSON"),
        one_line(literal)
    );
    value
}

/// Reads a text in which fields are absent, and writes it with all of them.
#[track_caller]
fn is_completed_to<T: Serialize + DeserializeOwned>(absent: &str, complete: &str) {
    let value: T = read(absent);
    assert_eq!(
        serde_json::to_string(&value).expect("JSON"),
        one_line(complete)
    );
}

/// Every field of the text has to be there.
#[track_caller]
fn needs_every_field<T: DeserializeOwned>(literal: &str) {
    let whole: Json = read(literal);
    let mut pointers = Vec::new();
    collect_pointers(&whole, String::new(), &mut pointers);
    for (object, field) in pointers {
        let mut without = whole.clone();
        let fields = without
            .pointer_mut(&object)
            .and_then(Json::as_object_mut)
            .expect("an object");
        fields.remove(&field).expect("a field");
        let read = serde_json::from_value::<T>(without);
        assert!(
            read.is_err(),
            "{}: {object}/{field} is not needed",
            one_line(literal)
        );
    }
}

/// Fields that are not known are passed over at each place where the text has an object with several fields.
#[track_caller]
fn passes_over_unknown_fields<T: Serialize + DeserializeOwned>(literal: &str, objects: &[&str]) {
    for object in objects {
        let mut more: Json = read(literal);
        let fields = more
            .pointer_mut(object)
            .and_then(Json::as_object_mut)
            .expect("an object");
        fields.insert("of_a_later_version".into(), Json::Bool(true));
        let value: T =
            serde_json::from_value(more).unwrap_or_else(|error| panic!("{object}: {error}"));
        assert_eq!(
            serde_json::to_string(&value).expect("JSON"),
            one_line(literal),
            "{object}"
        );
    }
}

fn collect_pointers(value: &Json, at: String, pointers: &mut Vec<(String, String)>) {
    match value {
        Json::Object(fields) => {
            for (field, value) in fields {
                pointers.push((at.clone(), field.clone()));
                collect_pointers(value, format!("{at}/{field}"), pointers);
            }
        }
        Json::Array(values) => {
            for (index, value) in values.iter().enumerate() {
                collect_pointers(value, format!("{at}/{index}"), pointers);
            }
        }
        Json::Null | Json::Bool(_) | Json::Number(_) | Json::String(_) => {}
    }
}

/// Names all variants there are: a text for each of them stands in this file.
#[track_caller]
fn has_the_variants<T: DeserializeOwned>(names: &str) {
    let error = serde_json::from_str::<T>(r#"{"of_a_later_version":{}}"#)
        .err()
        .expect("no such variant");
    let expected =
        format!("unknown variant `of_a_later_version`, expected {names} at line 1 column 21");
    assert_eq!(error.to_string(), expected);
}

const REGISTER: &str = r#"{"register":{
    "who":{"name":"edge-1","start":18446744073709551615,"incarnation":3},
    "traits":{
        "zone":"north",
        "labels":{"ring":"2","tier":"canary"},
        "build":"1.4.0",
        "file":"0123456789abcdef0123456789abcdef"},
    "term":4}}"#;

const REPORT: &str = r#"{"report":{
    "who":{"name":"edge-1","start":17,"incarnation":3},
    "term":4,
    "answer":{
        "stamp":{"term":4,"number":9},
        "change":"slow-w7",
        "revision":42,
        "overlay":"0000000000000000000000000000002a",
        "outcome":"applied"},
    "holding":{"revision":42,"overlay":"0000000000000000000000000000002a"},
    "counts":{"ended":1000,"bad":7},
    "asks":{
        "seq":10,
        "by":{"term":8,"id":9},
        "number":11,
        "of":[{
            "limit":"submissions",
            "holds":{"rate":1,"burst":2,"open":18446744073709551615},
            "wanted":4,
            "wanted_open":5,
            "open":6,
            "used":7}]},
    "tells":{
        "seq":12,
        "stamp":{"term":4,"id":13,"at":14},
        "since":15,
        "of":[
            {"list":"workers","version":{"index":16,"digest":17},"age":18,"watches":true,"text":"[]"},
            {"list":"others","version":null,"age":0,"watches":false}]}}}"#;

const REPORT_OF_LITTLE: &str = r#"{"report":{
    "who":{"name":"edge-1","start":17,"incarnation":3},
    "term":0,
    "answer":null,
    "holding":{"revision":0,"overlay":"00000000000000000000000000000000"},
    "counts":{"ended":0,"bad":0}}}"#;

#[test]
fn messages_of_an_instance_stay() {
    has_the_variants::<ToAgent>("`register` or `report`");
    let register: ToAgent = stays(REGISTER);
    assert_eq!(register.sender().name, "edge-1");
    assert_eq!(
        (register.sender().start, register.sender().incarnation),
        (u64::MAX, 3)
    );
    passes_over_unknown_fields::<ToAgent>(
        REGISTER,
        &["/register", "/register/who", "/register/traits"],
    );

    let report: ToAgent = stays(REPORT);
    assert_eq!(report.sender().name, "edge-1");
    assert_eq!(
        (report.sender().start, report.sender().incarnation),
        (17, 3)
    );
    let objects = [
        "/report",
        "/report/who",
        "/report/answer",
        "/report/answer/stamp",
        "/report/holding",
        "/report/counts",
        "/report/asks",
        "/report/asks/by",
        "/report/asks/of/0",
        "/report/asks/of/0/holds",
        "/report/tells",
        "/report/tells/stamp",
        "/report/tells/of/0",
        "/report/tells/of/0/version",
    ];
    passes_over_unknown_fields::<ToAgent>(REPORT, &objects);
    stays::<ToAgent>(REPORT_OF_LITTLE);
}

#[test]
fn a_refusal_of_an_order_stays() {
    let applied = r#""outcome":"applied"}"#;
    let refused =
        r#""outcome":{"refused":{"field":"set.weight/w7","problem":"a weight is from 0 to 100"}}}"#;
    let report = one_line(REPORT).replace(applied, refused);
    assert_ne!(report, one_line(REPORT));
    stays::<ToAgent>(&report);
    for field in [
        r#""field":"set.weight/w7","#,
        r#","problem":"a weight is from 0 to 100""#,
    ] {
        let without = report.replace(field, "");
        assert_ne!(without, report);
        assert!(
            serde_json::from_str::<ToAgent>(&without).is_err(),
            "{without}"
        );
    }
    let odd = report.replace(r#"{"refused":"#, r#"{"of_a_later_version":"#);
    let error = serde_json::from_str::<ToAgent>(&odd)
        .expect_err("no such outcome")
        .to_string();
    let expected = "unknown variant `of_a_later_version`, expected `applied` or `refused`";
    assert!(error.starts_with(expected), "{error}");
}

#[test]
#[expect(clippy::too_many_lines, reason = "a literal transcript")]
fn messages_of_an_instance_are_read_where_fields_are_absent() {
    let register = r#"{"register":{"who":{"name":"edge-1","start":17,"incarnation":3}}}"#;
    let complete = r#"{"register":{
        "who":{"name":"edge-1","start":17,"incarnation":3},
        "traits":{"zone":"","labels":{},"build":"","file":"00000000000000000000000000000000"},
        "term":0}}"#;
    is_completed_to::<ToAgent>(register, complete);
    needs_every_field::<ToAgent>(register);
    let without_traits =
        r#"{"register":{"who":{"name":"edge-1","start":17,"incarnation":3},"traits":{}}}"#;
    is_completed_to::<ToAgent>(without_traits, complete);

    let report = r#"{"report":{"who":{"name":"edge-1","start":17,"incarnation":3}}}"#;
    is_completed_to::<ToAgent>(report, REPORT_OF_LITTLE);
    needs_every_field::<ToAgent>(report);
    let with_empty_parts = r#"{"report":{
        "who":{"name":"edge-1","start":17,"incarnation":3},
        "holding":{},
        "counts":{},
        "asks":{"of":[{"holds":{}}]},
        "tells":{"stamp":{},"of":[{"version":{}},{}]}}}"#;
    let complete = r#"{"report":{
        "who":{"name":"edge-1","start":17,"incarnation":3},
        "term":0,
        "answer":null,
        "holding":{"revision":0,"overlay":"00000000000000000000000000000000"},
        "counts":{"ended":0,"bad":0},
        "asks":{
            "seq":0,
            "by":null,
            "number":0,
            "of":[{
                "limit":"",
                "holds":{"rate":0,"burst":0,"open":0},
                "wanted":0,
                "wanted_open":0,
                "open":0,
                "used":0}]},
        "tells":{
            "seq":0,
            "stamp":{"term":0,"id":0,"at":0},
            "since":0,
            "of":[
                {"list":"","version":{"index":0,"digest":0},"age":0,"watches":false},
                {"list":"","version":null,"age":0,"watches":false}]}}}"#;
    is_completed_to::<ToAgent>(with_empty_parts, complete);
    let with_an_answer = r#"{"report":{
        "who":{"name":"edge-1","start":17,"incarnation":3},
        "answer":{
            "stamp":{"term":4,"number":9},
            "change":"slow-w7",
            "revision":42,
            "overlay":"0000000000000000000000000000002a",
            "outcome":"applied"}}}"#;
    let mut whole: Json = read(with_an_answer);
    let answer = whole.pointer("/report/answer").cloned().expect("an answer");
    for (object, field) in [
        ("/report/answer", "stamp"),
        ("/report/answer/stamp", "term"),
        ("/report/answer/stamp", "number"),
        ("/report/answer", "change"),
        ("/report/answer", "revision"),
        ("/report/answer", "overlay"),
        ("/report/answer", "outcome"),
    ] {
        let fields = whole
            .pointer_mut(object)
            .and_then(Json::as_object_mut)
            .expect("an object");
        fields.remove(field).expect("a field");
        assert!(
            serde_json::from_value::<ToAgent>(whole.clone()).is_err(),
            "{object}/{field}"
        );
        whole["report"]["answer"] = answer.clone();
    }
}

const WELCOME: &str =
    r#"{"welcome":{"start":17,"incarnation":3,"term":4,"every":1000000,"spread":2000000}}"#;
const SUPERSEDED: &str = r#"{"superseded":{"start":17,"by":5,"again":6000000}}"#;
const LATER: &str = r#"{"later":{"start":17,"again":6000000}}"#;
const UNKNOWN: &str = r#"{"unknown":{"start":17}}"#;
const RENEWED: &str = r#"{"renewed":{"start":17,"term":4}}"#;
const ORDER: &str = r#"{"order":{
    "start":17,
    "stamp":{"term":4,"number":9},
    "change":"slow-w7",
    "revision":42,
    "overlay":{
        "weight/w7":{"weight":200},
        "drain/w9":{"drained":true},
        "limit/reports/open":{"limit":200},
        "route/viewer":{"route":"to = \"a\"\n"},
        "log_level":{"level":"debug"}}}}"#;
const LENT: &str = r#"{"lent":{
    "start":17,
    "by":{"term":4,"id":5},
    "number":7,
    "answers":8,
    "lasts":9,
    "of":[{
        "limit":"submissions",
        "amount":{"rate":1,"burst":2,"open":3},
        "whole":{"rate":4,"burst":5,"open":18446744073709551615}}]}}"#;
const LISTS: &str = r#"{"lists":{
    "start":17,
    "stamp":{"term":4,"id":13,"at":14},
    "answers":12,
    "room":262144,
    "of":[
        {"list":"workers","version":{"index":16,"digest":17},"ago":18,"text":"[]","wanted":true,"call":false,"enough":true},
        {"list":"others","version":{"index":0,"digest":0},"ago":0,"wanted":false,"call":true,"enough":false}]}}"#;

const TO_INSTANCE: [&str; 8] = [
    WELCOME, SUPERSEDED, LATER, UNKNOWN, RENEWED, ORDER, LENT, LISTS,
];

#[test]
fn messages_to_an_instance_stay() {
    has_the_variants::<ToInstance>(
        "one of `welcome`, `superseded`, `later`, `unknown`, `renewed`, `order`, `lent`, `lists`",
    );
    for message in TO_INSTANCE {
        let value: ToInstance = stays(message);
        assert_eq!(value.start(), 17, "{message}");
        assert_eq!(
            value.is_acceptance(),
            [WELCOME, RENEWED].contains(&message),
            "{message}"
        );
        let (kind, _) = message
            .trim_start_matches("{\"")
            .split_once('"')
            .expect("a kind");
        passes_over_unknown_fields::<ToInstance>(message, &[&format!("/{kind}")]);
    }
    passes_over_unknown_fields::<ToInstance>(ORDER, &["/order/stamp"]);
    let objects = [
        "/lent/by",
        "/lent/of/0",
        "/lent/of/0/amount",
        "/lent/of/0/whole",
    ];
    passes_over_unknown_fields::<ToInstance>(LENT, &objects);
    passes_over_unknown_fields::<ToInstance>(
        LISTS,
        &["/lists/stamp", "/lists/of/0", "/lists/of/0/version"],
    );
}

#[test]
fn messages_to_an_instance_are_read_where_fields_are_absent() {
    for message in [WELCOME, SUPERSEDED, LATER, UNKNOWN, RENEWED] {
        needs_every_field::<ToInstance>(message);
    }
    let order = r#"{"order":{
        "start":17,"stamp":{"term":4,"number":9},"change":"","revision":42,"overlay":{}}}"#;
    stays::<ToInstance>(order);
    needs_every_field::<ToInstance>(order);
    let lent = r#"{"lent":{
        "start":0,
        "by":{"term":0,"id":0},
        "number":0,
        "answers":0,
        "lasts":0,
        "of":[{
            "limit":"",
            "amount":{"rate":0,"burst":0,"open":0},
            "whole":{"rate":0,"burst":0,"open":0}}]}}"#;
    is_completed_to::<ToInstance>(r#"{"lent":{"of":[{"amount":{}}]}}"#, lent);
    needs_every_field::<ToInstance>(r#"{"lent":{}}"#);
    for by in [
        r#"{"lent":{"by":{"term":1}}}"#,
        r#"{"lent":{"by":{"id":1}}}"#,
    ] {
        assert!(serde_json::from_str::<ToInstance>(by).is_err(), "{by}");
    }
    let lists = r#"{"lists":{
        "start":0,
        "stamp":{"term":0,"id":0,"at":0},
        "answers":0,
        "room":0,
        "of":[{
            "list":"",
            "version":{"index":0,"digest":0},
            "ago":0,
            "wanted":false,
            "call":false,
            "enough":false}]}}"#;
    is_completed_to::<ToInstance>(r#"{"lists":{"of":[{}]}}"#, lists);
    is_completed_to::<ToInstance>(r#"{"lists":{"stamp":{},"of":[{"version":{}}]}}"#, lists);
}

#[test]
fn every_level_of_the_log_stays() {
    for level in ["off", "error", "warn", "info", "debug", "trace"] {
        stays::<Value>(&format!(r#"{{"level":"{level}"}}"#));
    }
    let error = serde_json::from_str::<Value>(r#"{"level":"loud"}"#)
        .expect_err("no level")
        .to_string();
    let expected =
        "unknown variant `loud`, expected one of `off`, `error`, `warn`, `info`, `debug`, `trace`";
    assert!(error.starts_with(expected), "{error}");
    has_the_variants::<Value>("one of `weight`, `drained`, `limit`, `route`, `level`");
}

#[test]
fn batches_of_a_relay_stay() {
    let batch = format!(
        r#"{{"messages":[{},{}]}}"#,
        one_line(REGISTER),
        one_line(REPORT)
    );
    stays::<Batch>(&batch);
    stays::<Batch>(r#"{"messages":[]}"#);
    needs_every_field::<Batch>(r#"{"messages":[]}"#);
    passes_over_unknown_fields::<Batch>(&batch, &[""]);

    let messages = TO_INSTANCE
        .map(|message| format!(r#"{{"name":"edge-1","message":{}}}"#, one_line(message)));
    let answer = format!(r#"{{"term":4,"messages":[{}]}}"#, messages.join(","));
    let value: BatchAnswer = stays(&answer);
    assert_eq!(
        value.accepted().into_iter().collect::<Vec<_>>(),
        [("edge-1", 17)]
    );
    passes_over_unknown_fields::<BatchAnswer>(&answer, &["", "/messages/0"]);
    needs_every_field::<BatchAnswer>(
        r#"{"term":4,"messages":[{"name":"edge-1","message":{"unknown":{"start":17}}}]}"#,
    );
}

#[test]
fn lines_of_a_relays_watch_stay() {
    has_the_variants::<WatchLine>("`connected` or `message`");
    stays::<WatchLine>(r#"{"connected":{"term":4}}"#);
    needs_every_field::<WatchLine>(r#"{"connected":{"term":4}}"#);
    passes_over_unknown_fields::<WatchLine>(r#"{"connected":{"term":4}}"#, &["/connected"]);
    for message in TO_INSTANCE {
        let line = format!(
            r#"{{"message":{{"name":"edge-1","message":{}}}}}"#,
            one_line(message)
        );
        stays::<WatchLine>(&line);
        passes_over_unknown_fields::<WatchLine>(&line, &["/message"]);
    }
    needs_every_field::<WatchLine>(
        r#"{"message":{"name":"edge-1","message":{"renewed":{"start":17,"term":4}}}}"#,
    );
}

#[test]
fn the_state_of_a_relay_stays() {
    let status = r#"{
        "is_connected":true,"term":4,"children":5,"registered":6,"outgoing":7,"answered_alone":8}"#;
    stays::<RelayStatus>(status);
    needs_every_field::<RelayStatus>(status);
}

const CHANGE: &str = r#"{
    "id":"slow-w7",
    "base":41,
    "note":"w7 answers late",
    "select":{"names":["edge-*"],"labels":{"tier":"canary"},"zones":["north"]},
    "rollout":{
        "waves":[{"count":1},{"percent":10}],
        "at_once":20,
        "pause":30000000,
        "silence":15000000,
        "failures":2,
        "then":"stop",
        "gate":{"worse":10,"evidence":200,"sure":233,"patience":60000000,"unproven":true}},
    "what":{"set":{
        "weight/w7":{"weight":200},
        "weight/w8":null,
        "drain/w9":{"drained":false},
        "limit/reports/open":{"limit":200},
        "route/viewer":{"route":"to = \"a\"\n"},
        "log_level":{"level":"warn"},
        "fleet/submissions/requests_per_second":{"limit":100},
        "fleet/submissions/burst":{"limit":10},
        "fleet/submissions/open":{"limit":5}}}}"#;

const UNDO: &str = r#"{
    "id":"back-w7",
    "base":42,
    "note":"",
    "select":{"names":[],"labels":{},"zones":[]},
    "rollout":{
        "waves":[{"count":1},{"percent":10}],
        "at_once":20,
        "pause":30000000,
        "silence":15000000,
        "failures":0,
        "then":"take-back",
        "gate":{"worse":10,"evidence":200,"sure":233,"patience":60000000,"unproven":false}},
    "what":{"undo":"slow-w7"}}"#;

#[test]
fn a_change_stays() {
    stays::<Change>(CHANGE);
    stays::<Change>(UNDO);
    let without_a_gate = one_line(UNDO).replace(
        r#""gate":{"worse":10,"evidence":200,"sure":233,"patience":60000000,"unproven":false}"#,
        r#""gate":null"#,
    );
    assert_ne!(without_a_gate, one_line(UNDO));
    stays::<Change>(&without_a_gate);
    let little = r#"{"id":"back-w7","base":42,"what":{"undo":"slow-w7"}}"#;
    is_completed_to::<Change>(little, UNDO);
    needs_every_field::<Change>(little);
    let with_empty_parts = r#"{
        "id":"back-w7","base":42,"select":{},"rollout":{"gate":{}},"what":{"undo":"slow-w7"}}"#;
    is_completed_to::<Change>(with_empty_parts, UNDO);
}

#[test]
fn a_change_with_an_unknown_field_is_not_read() {
    for (object, known) in [
        (
            "",
            "one of `id`, `base`, `note`, `select`, `rollout`, `what`",
        ),
        ("/select", "one of `names`, `labels`, `zones`"),
        (
            "/rollout",
            "one of `waves`, `at_once`, `pause`, `silence`, `failures`, `then`, `gate`",
        ),
        (
            "/rollout/gate",
            "one of `worse`, `evidence`, `sure`, `patience`, `unproven`",
        ),
    ] {
        let mut more: Json = read(CHANGE);
        let fields = more
            .pointer_mut(object)
            .and_then(Json::as_object_mut)
            .expect("an object");
        fields.insert("of_a_later_version".into(), Json::Bool(true));
        let error = serde_json::from_value::<Change>(more)
            .expect_err("an unknown field")
            .to_string();
        assert_eq!(
            error,
            format!("unknown field `of_a_later_version`, expected {known}"),
            "{object}"
        );
    }
    for (known, unknown, variants) in [
        (
            r#"{"count":1}"#,
            r#"{"of_a_later_version":1}"#,
            "`count` or `percent`",
        ),
        (
            r#""stop""#,
            r#""of_a_later_version""#,
            "`stop` or `take-back`",
        ),
        (
            r#""what":{"set""#,
            r#""what":{"of_a_later_version""#,
            "`set` or `undo`",
        ),
    ] {
        let odd = one_line(CHANGE).replace(known, unknown);
        let error = serde_json::from_str::<Change>(&odd)
            .expect_err("an unknown variant")
            .to_string();
        let expected = format!("unknown variant `of_a_later_version`, expected {variants}");
        assert!(error.starts_with(&expected), "{error}");
    }
}

#[test]
fn fingerprints_stay() {
    let change: Change = read(CHANGE);
    assert_eq!(
        change.fingerprint().to_string(),
        "e91de8ab19dfe0d21b79a6fe84e66d01"
    );
    let overlay = r#"{"weight/w7":{"weight":200},"drain/w9":{"drained":true}}"#;
    assert_eq!(
        stays::<Overlay>(overlay).fingerprint().to_string(),
        "31591a09ccf5af112106c80462e9c131"
    );
    assert_eq!(
        stays::<Overlay>("{}").fingerprint().to_string(),
        "44136fa355b3678a1146ad16f7e8649e"
    );
}

#[test]
fn answers_to_an_operator_stay() {
    let accepted = r#"{"id":"slow-w7","revision":42,"repeat":true}"#;
    stays::<Accepted>(accepted);
    needs_every_field::<Accepted>(accepted);

    has_the_variants::<Rejection>(
        "one of `invalid`, `conflict`, `busy`, `id_used`, `impossible`, `stood_down`",
    );
    let invalid =
        r#"{"invalid":[{"field":"set.weight/w7","problem":"a weight is from 0 to 100"}]}"#;
    let conflict = r#"{"conflict":{
        "base":40,
        "newest":42,
        "since":[
            {"revision":41,"id":"a","by":{"who":"ann","at":1700000000000},"end":"done","difference":["log_level = warn"]},
            {"revision":42,"id":"b","by":{"who":"ben","at":1700000000001},"end":"stopped","difference":[]},
            {"revision":43,"id":"c","by":{"who":"ben","at":1700000000002},"end":"taken_back","difference":[]}],
        "more":false}}"#;
    let busy = r#"{"busy":{"id":"slow-w7","by":{"who":"ann","at":1700000000000}}}"#;
    let id_used = r#"{"id_used":{"revision":42}}"#;
    let impossible = r#"{"impossible":"no change x is in effect"}"#;
    let stood_down = r#"{"stood_down":{"term":5}}"#;
    for declined in [invalid, conflict, busy, id_used, impossible, stood_down] {
        stays::<Rejection>(declined);
        needs_every_field::<Rejection>(
            &declined
                .replace(r#""end":"done","#, "")
                .replace(r#""end":"stopped","#, "")
                .replace(r#""end":"taken_back","#, ""),
        );
    }
    let under_way = r#"{"conflict":{
        "base":40,
        "newest":42,
        "since":[{"revision":41,"id":"a","by":{"who":"ann","at":1700000000000},"end":null,"difference":["x"]}],
        "more":true}}"#;
    stays::<Rejection>(under_way);
    is_completed_to::<Rejection>(&under_way.replace(r#""end":null,"#, ""), under_way);
}

#[test]
fn durable_records_of_an_agent_stay() {
    has_the_variants::<Record>(
        "one of `term`, `settled`, `rollout`, `target`, `member`, `entry`, `lending`",
    );
    stays::<Record>(r#"{"term":4}"#);
    stays::<Record>(r#"{"lending":30000000}"#);
    let settled = r#"{"settled":[42,[{
        "revision":42,
        "id":"slow-w7",
        "select":{"names":["edge-*"],"labels":{"tier":"canary"},"zones":["north"]},
        "edits":{"weight/w7":{"weight":200},"weight/w8":null}}]]}"#;
    stays::<Record>(settled);
    let member = r#"{"member":{
        "start":17,
        "incarnation":3,
        "traits":{
            "zone":"north",
            "labels":{"tier":"canary"},
            "build":"1.4.0",
            "file":"0123456789abcdef0123456789abcdef"}}}"#;
    stays::<Record>(member);
    for (back_revision, end, why) in [
        ("null", "done", "null"),
        ("43", "stopped", r#""ann stopped it""#),
        ("43", "taken_back", r#""it hurts""#),
    ] {
        let entry = format!(
            r#"{{"entry":{{"change":{},"revision":42,"back_revision":{back_revision},"by":{{"who":"ann","at":1700000000000}},"end":"{end}","why":{why},"ended":1700000000009}}}}"#,
            one_line(CHANGE)
        );
        stays::<Record>(&entry);
    }
}

#[test]
fn the_durable_record_of_a_rollout_stays() {
    let rollout = |phase: &str| {
        format!(
            r#"{{"rollout":{{"change":{},"revision":42,"back_revision":43,"by":{{"who":"ann","at":1700000000000}},"phase":{phase},"why":"it hurts","others":{{"edge-2":{{"ended":1000,"bad":7}}}}}}}}"#,
            one_line(UNDO)
        )
    };
    for phase in [
        r#"{"forward":{"wave":1}}"#,
        r#"{"watch":{"wave":2}}"#,
        r#""stopping""#,
        r#""back""#,
        r#"{"ended":"done"}"#,
        r#"{"ended":"stopped"}"#,
        r#"{"ended":"taken_back"}"#,
    ] {
        stays::<Record>(&rollout(phase));
    }
    let begun = rollout(r#"{"forward":{"wave":0}}"#)
        .replace(r#""back_revision":43"#, r#""back_revision":null"#)
        .replace(r#""why":"it hurts""#, r#""why":null"#);
    stays::<Record>(&begun);
    for (odd, variants) in [
        (
            rollout(r#""of_a_later_version""#),
            "one of `forward`, `watch`, `stopping`, `back`, `ended`",
        ),
        (
            rollout(r#"{"ended":"of_a_later_version"}"#),
            "one of `done`, `stopped`, `taken_back`",
        ),
    ] {
        let error = serde_json::from_str::<Record>(&odd)
            .expect_err("an unknown variant")
            .to_string();
        let expected = format!("unknown variant `of_a_later_version`, expected {variants}");
        assert!(error.starts_with(&expected), "{error}");
    }
}

#[test]
fn the_durable_record_of_a_target_stays() {
    let target = |step: &str, back: &str| {
        format!(
            r#"{{"target":{{"wave":1,"step":{step},"back":{back},"before":{{"ended":1000,"bad":7}}}}}}"#
        )
    };
    let steps = [
        r#""pending""#,
        r#""sent""#,
        r#""applied""#,
        r#"{"refused":{"field":"set.weight/w7","problem":"a weight is from 0 to 100"}}"#,
        r#"{"failed":"unreachable"}"#,
        r#"{"failed":"not_reached"}"#,
        r#"{"failed":"overtaken"}"#,
    ];
    for step in steps {
        stays::<Record>(&target(step, "null"));
        stays::<Record>(&target(r#""sent""#, step));
    }
    for (odd, variants) in [
        (
            target(r#""of_a_later_version""#, "null"),
            "one of `pending`, `sent`, `applied`, `refused`, `failed`",
        ),
        (
            target(r#"{"failed":"of_a_later_version"}"#, "null"),
            "one of `unreachable`, `not_reached`, `overtaken`",
        ),
    ] {
        let error = serde_json::from_str::<Record>(&odd)
            .expect_err("an unknown variant")
            .to_string();
        let expected = format!("unknown variant `of_a_later_version`, expected {variants}");
        assert!(error.starts_with(&expected), "{error}");
    }
}

#[test]
fn what_an_instance_remembers_stays() {
    let memory = r#"{
        "incarnation":3,
        "term":4,
        "revision":42,
        "overlay":{"weight/w7":{"weight":200},"log_level":{"level":"info"}}}"#;
    stays::<PersistedInstance>(memory);
    needs_every_field::<PersistedInstance>(
        r#"{"incarnation":3,"term":4,"revision":42,"overlay":{}}"#,
    );
}
