//! Every line of the simulator's dialect, in and out, as literal text to and from the real binary. Decisions are
//! repeatable: the salt of `open_instance` seeds them, and times are those of `tick`.

use std::io::Write;
use std::process::{Command, Stdio};

const SETTINGS: &str = r#"{"group_size":1,"my_zone":0,"period":5000,"discovery":"subscribe","services":[{"effect":"safe","give_up":1200000,"name":"read","on_time":400000,"worth":1},{"effect":"unsafe","give_up":1200000,"name":"write","on_time":400000,"worth":1},{"aim_stretch":1,"effect":"keyed","give_up":1200000,"key_scope":"all","name":"put","on_time":400000,"window":6000000,"worth":1}],"tenants":[{"quota_per_s":10},{"quota_per_s":20}],"load_report":{"fields":["novel","rif","fail_rate"],"how":"answers"},"limits":{"cancel":true,"max_attempts":3,"probes":true,"retry_after":true,"max_retry_after":2000000},"safety":{"cold":1000000,"cold_from":0.3,"fall":1000000}}"#;

const OPENED: &str = "
    tick 1000000
    open_instance 0 7 SETTINGS
    directory 0 1
    entry 0 0 10.0.0.1:5000 - 1 SERVING 0
    backends_changed 0 SAVED 0 1
";
const OPENED_REPLY: &str = "
    sleep 0 1209972 ask
";

/// Standard output and standard error of the binary for this input.
fn simulate(input: &str) -> (String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_madderloom-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    child
        .stdin
        .take()
        .expect("piped")
        .write_all(input.as_bytes())
        .expect("it reads");
    let done = child.wait_with_output().expect("it ends");
    assert_eq!(done.status.code(), Some(0));
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (text(done.stdout), text(done.stderr))
}

/// The lines of a literal without their indentation.
fn lines(literal: &str) -> String {
    let lines = literal
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty());
    lines.map(|line| format!("{line}\n")).collect()
}

/// Plays batches, each with all lines of the reply to it but the last, which is `finished`.
#[track_caller]
fn converse(batches: &[(&str, &str)]) {
    converse_with(SETTINGS, batches);
}

#[track_caller]
fn converse_with(settings: &str, batches: &[(&str, &str)]) {
    let input = batches
        .iter()
        .map(|(batch, _)| lines(batch) + "eob\n")
        .collect::<String>();
    let expected = batches
        .iter()
        .map(|(_, reply)| lines(reply) + "finished\n")
        .collect::<String>();
    let (output, errors) = simulate(&input.replace("SETTINGS", settings));
    assert_eq!(errors, "");
    assert_eq!(output, expected);
}

#[test]
#[expect(clippy::too_many_lines, reason = "literal text reads better whole")]
fn the_server_list_is_asked_for_and_told() {
    converse(&[
        (
            "
                tick 1000000
                open_instance 0 7 SETTINGS
                directory 0 1
                entry 0 0 10.0.0.1:5000 - 1 SERVING 0
                backends_changed 0 SAVED 0 1
            ",
            "
                sleep 0 1209972 ask
            ",
        ),
        (
            "
                tick 1200000
                elapsed 0 ask
            ",
            "
                stream_changes 0 1
            ",
        ),
        (
            "
                tick 1300000
                directory 1 2
                entry 0 0 10.0.0.1:5000 - 1 SERVING 0
                entry 1 0 10.0.0.2:5000 1200000 0.5 SERVING -
                backends_changed 0 FULL 1 2
            ",
            "",
        ),
        (
            "
                tick 2000000
                call 0 5 0 0 - 1200000 - 0
            ",
            "
                send 0 5 10.0.0.1:5000 2395000
                sleep 0 2395000 5
            ",
        ),
        (
            "
                tick 2100000
                directory 1 1
                entry 0 0 10.0.0.1:5000 - 1 DRAINING 0
                backends_changed 0 INCREMENTAL 1 3
                call 0 6 0 0 - 1200000 - 0
            ",
            "
                send 0 6 10.0.0.2:5000 2495000
                sleep 0 2495000 6
            ",
        ),
        (
            "
                tick 2200000
                directory 1 1
                entry 1 0 10.0.0.2:5000 1200000 0.5 DELETED 0
                backends_changed 0 INCREMENTAL 1 4
                call 0 7 0 0 - 1200000 - 0
            ",
            "
                sleep 0 2225000 7
            ",
        ),
        (
            "
                tick 2300000
                backends_changed 0 FAILED 0 5
                heard 0 1 00
            ",
            "
                remark 0 server list out of reach
                sleep 0 2747542 ask
            ",
        ),
    ]);
}

#[test]
fn what_an_attempt_came_to_is_told() {
    converse(&[
        (OPENED, OPENED_REPLY),
        (
            "
                tick 2000000
                call 0 0 1 0 - 1200000 - 0
                call 0 1 1 0 - 1200000 - 0
                call 0 2 1 0 - 1200000 - 0
                call 0 3 1 0 - 1200000 - 0
                call 0 4 1 0 - 1200000 - 0
                call 0 5 1 0 - 1200000 - 0
                call 0 6 1 0 - 1200000 - 0
                call 0 7 1 0 - 1200000 - 0
            ",
            "
                send 0 0 10.0.0.1:5000 3195000
                sleep 0 3195000 0
                send 0 1 10.0.0.1:5000 3195000
                sleep 0 3195000 1
                send 0 2 10.0.0.1:5000 3195000
                sleep 0 3195000 2
                send 0 3 10.0.0.1:5000 3195000
                sleep 0 3195000 3
                send 0 4 10.0.0.1:5000 3195000
                sleep 0 3195000 4
                send 0 5 10.0.0.1:5000 3195000
                sleep 0 3195000 5
                send 0 6 10.0.0.1:5000 3195000
                sleep 0 3195000 6
                send 0 7 10.0.0.1:5000 3195000
                sleep 0 3195000 7
            ",
        ),
        (
            "
                tick 2300000
                closed_attempt 0 0 0 10.0.0.1:5000 ok 300000 0 -
                closed_attempt 0 1 0 10.0.0.1:5000 full 300000 0 -
                closed_attempt 0 2 0 10.0.0.1:5000 moot 300000 0 -
                closed_attempt 0 3 0 10.0.0.1:5000 cancelled 300000 0 -
                closed_attempt 0 4 0 10.0.0.1:5000 timeout 300000 0 -
            ",
            "
                send 0 1 10.0.0.1:5000 3195000
                send 0 2 10.0.0.1:5000 3195000
                report_failure 0 3
                report_failure 0 4
            ",
        ),
        (
            "
                tick 2400000
                closed_attempt 0 5 0 10.0.0.1:5000 ok 300000 1 -
                closed_attempt 0 6 0 10.0.0.1:5000 full 300000 1 -
                closed_attempt 0 7 0 10.0.0.1:5000 timeout 300000 1 -
            ",
            "",
        ),
    ]);
}

#[test]
fn a_request_is_told_with_its_key_its_effort_and_its_marks() {
    converse(&[
        (OPENED, OPENED_REPLY),
        (
            "
                tick 2000000
                call 0 0 2 0 ff 1200000 - 0
                call 0 1 2 1 ff 1200000 100000 0
                call 0 2 2 - 0123456789abcdef 1200000 100000 1
                call 0 3 2 0 - 1200000 - -
            ",
            "
                send 0 0 10.0.0.1:5000 2395000
                sleep 0 2395000 0
                send 0 1 10.0.0.1:5000 2395000
                sleep 0 2395000 1
                send 0 2 10.0.0.1:5000 2495000
                sleep 0 2495000 2
                send 0 3 10.0.0.1:5000 2395000
                sleep 0 2395000 3
            ",
        ),
        (
            "
                tick 2010000
                call 0 4 0 0 - 100000 - 0
                call 0 5 0 0 - 200000 - 2
                call 0 6 0 0 - 50000 - 2
                call 0 7 0 0 - 50000 100000 3
            ",
            "
                send 0 4 10.0.0.1:5000 2105000
                sleep 0 2105000 4
                send 0 5 10.0.0.1:5000 2205000
                sleep 0 2205000 5
                shed 0 6 2000000
                shed 0 7 2000000
            ",
        ),
    ]);
}

#[test]
fn a_client_that_left_and_a_stream_that_began_are_told() {
    converse(&[
        (OPENED, OPENED_REPLY),
        (
            "
                tick 2000000
                call 0 5 0 0 - 1200000 - 0
                call 0 6 0 0 - 1200000 - 0
            ",
            "
                send 0 5 10.0.0.1:5000 2395000
                sleep 0 2395000 5
                send 0 6 10.0.0.1:5000 2395000
                sleep 0 2395000 6
            ",
        ),
        (
            "
                tick 2010000
                begun 0 5 0
                timed_out_client 0 6
            ",
            "
                drop_attempt 0 6 0
            ",
        ),
        (
            "
                tick 2020000
                timed_out_client 0 5
            ",
            "
                drop_attempt 0 5 0
            ",
        ),
        (
            "
                tick 2030000
                exit 0
                call 0 7 0 0 - 1200000 - 0
                exit 0
            ",
            "",
        ),
    ]);
}

#[test]
fn a_request_that_no_server_gets_is_shed_with_a_time_to_come_again() {
    converse(&[
        (
            "
                tick 1000000
                open_instance 3 7 SETTINGS
            ",
            "",
        ),
        (
            "
                tick 2000000
                call 3 5 0 0 - 400000 - 0
            ",
            "
                sleep 3 2209972 ask
                sleep 3 2025000 5
            ",
        ),
        (
            "
                tick 2400000
                elapsed 3 5
            ",
            "
                shed 3 5 2000000
            ",
        ),
        (
            "
                tick 2500000
                call 3 6 9 0 - 400000 - 0
            ",
            "
                shed 3 6 2000000
            ",
        ),
    ]);
}

#[test]
fn a_server_is_ejected_for_time_outs() {
    converse(&[
        (OPENED, OPENED_REPLY),
        (
            "
                tick 2000000
                call 0 0 1 0 - 1200000 - 0
                call 0 1 1 0 - 1200000 - 0
                call 0 2 1 0 - 1200000 - 0
                call 0 3 1 0 - 1200000 - 0
                call 0 4 1 0 - 1200000 - 0
                call 0 5 1 0 - 1200000 - 0
            ",
            "
                send 0 0 10.0.0.1:5000 3195000
                sleep 0 3195000 0
                send 0 1 10.0.0.1:5000 3195000
                sleep 0 3195000 1
                send 0 2 10.0.0.1:5000 3195000
                sleep 0 3195000 2
                send 0 3 10.0.0.1:5000 3195000
                sleep 0 3195000 3
                send 0 4 10.0.0.1:5000 3195000
                sleep 0 3195000 4
                send 0 5 10.0.0.1:5000 3195000
                sleep 0 3195000 5
            ",
        ),
        (
            "
                tick 2010000
                closed_attempt 0 0 0 10.0.0.1:5000 timeout 10000 0 -
                closed_attempt 0 1 0 10.0.0.1:5000 timeout 10000 0 -
                closed_attempt 0 2 0 10.0.0.1:5000 timeout 10000 0 -
                closed_attempt 0 3 0 10.0.0.1:5000 timeout 10000 0 -
                closed_attempt 0 4 0 10.0.0.1:5000 timeout 10000 0 -
                closed_attempt 0 5 0 10.0.0.1:5000 timeout 10000 0 -
            ",
            "
                report_failure 0 0
                report_failure 0 1
                report_failure 0 2
                report_failure 0 3
                report_failure 0 4
                remark 0 ejected 10.0.0.1:5000 Timeout
                report_failure 0 5
            ",
        ),
    ]);
}

#[test]
fn a_server_is_ejected_for_errors_and_restored() {
    converse(&[
        (OPENED, OPENED_REPLY),
        (
            "
                tick 2000000
                call 0 0 1 0 - 1200000 - 0
                call 0 1 1 0 - 1200000 - 0
                call 0 2 1 0 - 1200000 - 0
            ",
            "
                send 0 0 10.0.0.1:5000 3195000
                sleep 0 3195000 0
                send 0 1 10.0.0.1:5000 3195000
                sleep 0 3195000 1
                send 0 2 10.0.0.1:5000 3195000
                sleep 0 3195000 2
            ",
        ),
        (
            "
                tick 2010000
                closed_attempt 0 0 0 10.0.0.1:5000 error 10000 0 -
                closed_attempt 0 1 0 10.0.0.1:5000 error 10000 0 -
                closed_attempt 0 2 0 10.0.0.1:5000 error 10000 0 -
            ",
            "
                report_failure 0 0
                report_failure 0 1
                remark 0 ejected 10.0.0.1:5000 Error
                report_failure 0 2
            ",
        ),
        (
            "
                tick 3100000
                call 0 9 0 0 - 400000 - 0
            ",
            "
                send 0 9 10.0.0.1:5000 3495000
                sleep 0 3495000 9
            ",
        ),
        (
            "
                tick 3110000
                closed_attempt 0 9 0 10.0.0.1:5000 ok 10000 1 -
            ",
            "
                remark 0 restored 10.0.0.1:5000
            ",
        ),
    ]);
}

#[test]
fn a_server_is_ejected_for_connections_that_fail() {
    converse(&[
        (OPENED, OPENED_REPLY),
        (
            "
                tick 2000000
                call 0 0 1 0 - 1200000 - 0
                call 0 1 1 0 - 1200000 - 0
            ",
            "
                send 0 0 10.0.0.1:5000 3195000
                sleep 0 3195000 0
                send 0 1 10.0.0.1:5000 3195000
                sleep 0 3195000 1
            ",
        ),
        (
            "
                tick 2010000
                closed_attempt 0 0 0 10.0.0.1:5000 connect_failed 10000 0 -
                closed_attempt 0 1 0 10.0.0.1:5000 connect_failed 10000 0 -
            ",
            "
                send 0 0 10.0.0.1:5000 3195000
                remark 0 ejected 10.0.0.1:5000 ConnectFailed
                send 0 1 10.0.0.1:5000 3195000
            ",
        ),
    ]);
}

#[test]
fn a_server_is_ejected_for_connections_that_break() {
    converse(&[
        (OPENED, OPENED_REPLY),
        (
            "
                tick 2000000
                call 0 0 1 0 - 1200000 - 0
                call 0 1 1 0 - 1200000 - 0
            ",
            "
                send 0 0 10.0.0.1:5000 3195000
                sleep 0 3195000 0
                send 0 1 10.0.0.1:5000 3195000
                sleep 0 3195000 1
            ",
        ),
        (
            "
                tick 2010000
                closed_attempt 0 0 0 10.0.0.1:5000 reset 10000 0 -
                closed_attempt 0 1 0 10.0.0.1:5000 reset 10000 0 -
            ",
            "
                report_failure 0 0
                remark 0 ejected 10.0.0.1:5000 Reset
                report_failure 0 1
            ",
        ),
    ]);
}

#[test]
#[expect(clippy::too_many_lines, reason = "literal text reads better whole")]
fn servers_are_asked_for_their_load() {
    let settings = SETTINGS.replace(r#""group_size":1,"#, r#""group_size":100,"#);
    converse_with(
        &settings,
        &[
            (
                "
                tick 1000000
                open_instance 0 7 SETTINGS
                directory 0 2
                entry 0 0 10.0.0.1:5000 - 1 SERVING 0
                entry 0 0 10.0.0.2:5000 - 1 SERVING 0
                backends_changed 0 SAVED 0 1
            ",
                "
                sleep 0 2679781 ask
            ",
            ),
            (
                "
                tick 2000000
                call 0 5 0 0 - 1200000 - 0
            ",
                "
                ask_load 0 10.0.0.2:5000
                ask_load 0 10.0.0.1:5000
                sleep 0 2025000 5
            ",
            ),
            (
                "
                tick 2010000
                probed 0 10.0.0.1:5000 ok 9000 7,1,0
                probed 0 10.0.0.2:5000 ok 9000 7,30,0.5
            ",
                "",
            ),
            (
                "
                tick 2025000
                elapsed 0 5
            ",
                "
                send 0 5 10.0.0.1:5000 2395000
                sleep 0 2395000 5
            ",
            ),
            (
                "
                tick 3000000
                call 0 6 0 0 - 1200000 - 0
            ",
                "
                ask_load 0 10.0.0.2:5000
                sleep 0 3025000 6
            ",
            ),
            (
                "
                tick 3010000
                probed 0 10.0.0.1:5000 timeout 9000 -
                probed 0 10.0.0.2:5000 ok 9000 7,30,0.5
            ",
                "",
            ),
            (
                "
                tick 3025000
                elapsed 0 6
            ",
                "
                send 0 6 10.0.0.2:5000 3395000
                sleep 0 3395000 6
            ",
            ),
        ],
    );
}

/// Two hundred requests a second, each answered late: what is open is bounded, and that is said once.
#[test]
fn early_refusal_of_a_class_is_told_once() {
    let mut input = lines(&OPENED.replace("SETTINGS", SETTINGS)) + "eob\n";
    for round in 0..40 {
        input += &format!("tick {}\n", 2_000_000 + 20_000 * round);
        for request in 4 * round..4 * (round + 1) {
            // Answered 400 ms after it came, which is 20 rounds.
            if let Some(former) = (request as u64).checked_sub(80) {
                input += &format!("closed_attempt 0 {former} 0 10.0.0.1:5000 ok 390000 1 -\n");
            }
            input += &format!("call 0 {request} 0 0 - 1200000 - 0\n");
        }
        input += "eob\n";
    }
    let (output, errors) = simulate(&input);
    assert_eq!(errors, "");
    let remarks: Vec<&str> = output
        .lines()
        .filter(|line| line.starts_with("remark "))
        .collect();
    assert_eq!(remarks, ["remark 0 overload: refusing class 0 early"]);
}

#[test]
fn settings_that_make_no_sense_are_an_exception_and_a_line_on_standard_error() {
    for (from, to, problem) in [
        (
            r#""group_size":1"#,
            r#""group_size":0"#,
            "setting group_size: must be at least 1",
        ),
        (
            r#""on_time":400000"#,
            r#""on_time":0"#,
            "setting classes[0].aim: must be above 0",
        ),
        (
            r#""safe""#,
            r#""odd""#,
            "services[0].effect: unknown variant `odd`, expected one of `safe`, `keyed`, `unsafe` at line 1 column 93",
        ),
    ] {
        let settings = SETTINGS.replacen(from, to, 1);
        assert_ne!(settings, SETTINGS);
        let (output, errors) = simulate(&format!("tick 1\nopen_instance 3 7 {settings}\neob\n"));
        assert_eq!(output, format!("exception 3 {problem}\nfinished\n"));
        assert_eq!(errors, format!("line 2: {problem}\n"));
    }
}

/// Each kind of line with its fields in their order, and a sound value of each.
const LINES: [(&str, &[(&str, &str)]); 12] = [
    ("tick", &[("now", "2000000")]),
    ("open_instance", &[("sidecar_id", "0"), ("salt", "7")]),
    ("exit", &[("sidecar_id", "0")]),
    ("directory", &[("table", "0"), ("rows", "0")]),
    (
        "entry",
        &[
            ("failure_domain", "0"),
            ("model", "0"),
            ("upstream", "10.0.0.1:5000"),
            ("came_up", "-"),
            ("capacity_hint", "1"),
            ("availability", "SERVING"),
            ("cohort", "0"),
        ],
    ),
    (
        "call",
        &[
            ("sidecar_id", "0"),
            ("call", "5"),
            ("service", "0"),
            ("client_group", "0"),
            ("key", "-"),
            ("time_left", "400000"),
            ("effort", "-"),
            ("marks", "0"),
        ],
    ),
    (
        "closed_attempt",
        &[
            ("sidecar_id", "0"),
            ("call", "5"),
            ("send_no", "0"),
            ("upstream", "10.0.0.1:5000"),
            ("code", "ok"),
            ("time_taken", "20000"),
            ("ended", "1"),
        ],
    ),
    ("elapsed", &[("sidecar_id", "0"), ("handle", "ask")]),
    (
        "begun",
        &[("sidecar_id", "0"), ("call", "5"), ("send_no", "0")],
    ),
    ("timed_out_client", &[("sidecar_id", "0"), ("call", "5")]),
    (
        "probed",
        &[
            ("sidecar_id", "0"),
            ("upstream", "10.0.0.1:5000"),
            ("code", "ok"),
            ("time_taken", "9000"),
            ("health_info", "7,3,0.5"),
        ],
    ),
    (
        "backends_changed",
        &[("sidecar_id", "0"), ("scope", "SAVED"), ("table", "0")],
    ),
];

/// What is told of the last of these lines, which comes after an open instance and the begin of a list.
fn problem_of(line: &str) -> Option<String> {
    let before = lines(&OPENED.replace("SETTINGS", SETTINGS));
    let (output, errors) = simulate(&format!(
        "{before}eob\ntick 2000000\ndirectory 1 1\n{line}\neob\n"
    ));
    assert_eq!(output.matches("finished\n").count(), 2, "{line}");
    let problem = errors
        .strip_prefix("line 9: ")
        .and_then(|rest| rest.strip_suffix('\n'));
    assert_eq!(problem.is_none(), errors.is_empty(), "{errors}");
    problem.map(str::to_string)
}

fn written(kind: &str, values: &[&str]) -> String {
    [&[kind], values].concat().join(" ")
}

#[test]
fn each_field_that_is_missing_is_named() {
    for (kind, fields) in LINES {
        let values: Vec<&str> = fields.iter().map(|(_, value)| *value).collect();
        for (at, (field, _)) in fields.iter().enumerate() {
            let line = written(kind, &values[..at]);
            assert_eq!(
                problem_of(&line),
                Some(format!("{field} is missing")),
                "{line}"
            );
        }
        if kind != "open_instance" {
            assert_eq!(problem_of(&written(kind, &values)), None, "{kind}");
            // A later version may say more.
            assert_eq!(
                problem_of(&written(kind, &[&values[..], &["more"]].concat())),
                None,
                "{kind}"
            );
        }
    }
    assert_eq!(
        problem_of("open_instance 0 7").as_deref(),
        Some("EOF while parsing a value at line 1 column 0")
    );
}

#[test]
fn each_field_that_makes_no_sense_is_named_with_its_value() {
    // Any text is the name of a server, and any outcome of a probe but `ok` is none.
    const TEXTS: [(&str, &str); 6] = [
        ("entry", "upstream"),
        ("closed_attempt", "upstream"),
        ("probed", "upstream"),
        ("probed", "code"),
        ("probed", "time_taken"),
        ("probed", "health_info"),
    ];
    const NAMES: [&str; 4] = ["code", "availability", "scope", "handle"];
    for (kind, fields) in LINES {
        for (at, (field, _)) in fields.iter().enumerate() {
            let mut values: Vec<&str> = fields.iter().map(|(_, value)| *value).collect();
            values[at] = "odd";
            let line = written(kind, &values);
            let expected = match *field {
                _ if TEXTS.contains(&(kind, *field)) => None,
                field if NAMES.contains(&field) => Some(format!("{field} is unknown: odd")),
                field => Some(format!("{field} makes no sense: odd")),
            };
            assert_eq!(problem_of(&line), expected, "{line}");
        }
    }
    for (line, problem) in [
        ("odd 0", "message is unknown: odd"),
        ("directory 16 0", "table makes no sense: 16"),
        ("backends_changed 0 SAVED 99 1", "table makes no sense: 99"),
    ] {
        assert_eq!(problem_of(line).as_deref(), Some(problem));
    }
    let (_, errors) = simulate("tick 1\nentry 0 0 10.0.0.1:5000 - 1 SERVING 0\neob\n");
    assert_eq!(errors, "line 2: entry outside a directory\n");
}
