//! The real binary on good and bad lines.

use std::io::Write;
use std::process::{Command, Stdio};

const PROFILE: &str = r#"{"group_size":1,"my_zone":0,"period":5000,"discovery":"subscribe","unknown":[1],"services":[{"effect":"safe","give_up":1200000,"key_scope":"all","late_worth":0,"name":"a","on_time":400000,"stream":false,"window":0,"worth":1}],"load_report":{"fields":["rif","novel"],"how":"answers"},"weight_source":"none","limits":{"cancel":true,"probes":false,"second_copies":true,"max_attempts":3},"safety":{"cold":1000000,"cold_from":0.3,"fall":1000000,"fall_multiple":3.0}}"#;

/// Exit code, standard output and standard error for this input.
fn drill(input: &str) -> (Option<i32>, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_madderloom-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the drill starts");
    child
        .stdin
        .take()
        .expect("piped")
        .write_all(input.as_bytes())
        .expect("the drill reads");
    let done = child.wait_with_output().expect("the drill ends");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (done.status.code(), text(done.stdout), text(done.stderr))
}

fn opened(rest: &str) -> String {
    format!(
        "tick 1000000\nopen_instance 0 7 {PROFILE}\ndirectory 0 1\nentry 0 0 10.0.0.1:5000 - 1 SERVING 0\n\
         backends_changed 0 SAVED 0 1\neob\n{rest}"
    )
}

#[test]
fn a_request_is_sent_and_answered() {
    let (code, out, err) = drill(&opened(
        "tick 2000000\ncall 0 5 0 0 - 400000 - 0\neob\n\
         tick 2020000\nclosed_attempt 0 5 0 10.0.0.1:5000 ok 20000 1 3,0.5\neob\n",
    ));
    assert_eq!(code, Some(0));
    assert!(out.contains("send 0 5 10.0.0.1:5000 "), "{out}");
    assert_eq!(out.matches("finished\n").count(), 3);
    assert_eq!(err, "");
}

#[test]
fn a_bad_line_is_told_with_its_number_and_the_batch_is_answered() {
    for bad in [
        "nonsense 0 1",
        "call 0 x 0 0 - 400000 - 0",
        "call 0",
        "closed_attempt 0 5 0 10.0.0.1:5000 odd 1 1 -",
        "elapsed 0 what",
        "backends_changed 0 SAVED 99 1",
        "backends_changed 0 ODD 0 1",
        "directory 16 0",
        "entry 0 0 10.0.0.1:5000 - 1 SERVING 0",
        "tick soon",
    ] {
        let (code, out, err) = drill(&opened(&format!("tick 2000000\n{bad}\neob\n")));
        assert_eq!(code, Some(0), "{bad}");
        assert_eq!(out.matches("finished\n").count(), 2, "{bad}");
        assert!(err.starts_with("line 8: "), "{bad}: {err}");
        assert_eq!(err.lines().count(), 1, "{bad}: {err}");
    }
}

#[test]
fn what_is_not_held_is_passed_over() {
    let (code, out, err) = drill(&opened(
        "tick 2000000\ncall 9 5 0 0 - 400000 - 0\nclosed_attempt 0 77 0 10.9.9.9:1 ok 5 1 -\n\
         timed_out_client 0 77\nelapsed 0 77\nexit 4\nheard 0 1 00\neob\n",
    ));
    assert_eq!((code, err.as_str()), (Some(0), ""));
    assert!(out.ends_with("finished\nfinished\n"), "{out}");
}

#[test]
fn bad_settings_are_a_crash_report_that_names_the_key() {
    for (from, to, key) in [
        ("\"group_size\":1,", "", "group_size"),
        ("\"group_size\":1,", "\"group_size\":0,", "group_size"),
        ("\"on_time\":400000,", "\"on_time\":0,", "classes[0].aim"),
        (
            "\"effect\":\"safe\"",
            "\"effect\":\"odd\"",
            "services[0].effect",
        ),
        ("\"cold_from\":0.3", "\"cold_from\":-1", "rules.cold_from"),
    ] {
        let profile = PROFILE.replace(from, to);
        assert_ne!(profile, PROFILE);
        let (code, out, err) = drill(&format!("tick 1\nopen_instance 0 7 {profile}\neob\n"));
        assert_eq!(code, Some(0));
        assert!(
            out.starts_with("exception 0 ") && out.contains(key),
            "{key}: {out}"
        );
        assert!(err.starts_with("line 2: "), "{err}");
    }
}

#[test]
fn input_that_ends_inside_a_batch_is_an_error() {
    let (code, out, err) = drill("tick 1\n");
    assert_eq!((code, out.as_str()), (Some(1), ""));
    assert!(err.contains("inside a batch"), "{err}");
    assert_eq!(drill("").0, Some(0));
}

#[test]
fn a_restarted_instance_begins_empty() {
    let (_, out, _) = drill(&opened(&format!(
        "tick 2000000\nexit 0\nopen_instance 0 8 {PROFILE}\ncall 0 6 0 0 - 400000 - 0\neob\n"
    )));
    assert!(
        !out.contains("send 0 6"),
        "the old life's servers were used: {out}"
    );
}

#[test]
fn where_many_send_and_may_ask_probes_go_out_and_their_reports_are_read() {
    let asking = PROFILE
        .replace("\"group_size\":1", "\"group_size\":100")
        .replace("\"probes\":false", "\"probes\":true")
        .replace("\"rif\",\"novel\"", "\"novel\",\"fail_rate\",\"rif\"");
    let list = "directory 0 2\nentry 0 0 10.0.0.1:5000 - 1 SERVING 0\nentry 0 0 10.0.0.2:5000 - 1 SERVING 0\n\
                backends_changed 0 SAVED 0 1\neob\n";
    for (idle, busy) in [("10.0.0.1", "10.0.0.2"), ("10.0.0.2", "10.0.0.1")] {
        let (code, out, err) = drill(&format!(
            "tick 1000000\nopen_instance 0 7 {asking}\n{list}tick 2000000\ncall 0 5 0 0 - 400000 - 0\neob\n\
             tick 2010000\nprobed 0 {idle}:5000 ok 9000 0.5,0.0,1\nprobed 0 {busy}:5000 ok 9000 0.5,0.0,30\neob\n\
             tick 2025000\nelapsed 0 5\neob\n"
        ));
        assert_eq!((code, err.as_str()), (Some(0), ""));
        assert_eq!(out.matches("ask_load 0 ").count(), 2, "{out}");
        assert!(out.contains(&format!("send 0 5 {idle}:5000 ")), "{out}");
    }
}
