//! The program goes on with the state that an earlier one left.

use crate::stand_ins::{Manner, Process, StandIn};
use crate::{file, status, until};
use serde_json::{Value, json};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// Copies a directory of fixtures; private keys are readable to the owner alone.
fn copy(fixture: &str, to: &Path) {
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join(fixture);
    std::fs::create_dir_all(to).expect("a directory");
    for entry in std::fs::read_dir(fixture).expect("the fixture") {
        let from = entry.expect("an entry").path();
        let to = to.join(from.file_name().expect("a name"));
        std::fs::copy(&from, &to).expect("a copy");
        std::fs::set_permissions(&to, std::fs::Permissions::from_mode(0o600)).expect("its own");
    }
}

#[test]
fn what_an_earlier_program_sent_is_not_sent_again() {
    let directory = tempfile::tempdir().expect("a directory");
    copy(
        "../sidecar-state/tests/fixtures/sidecar-dd0b5ab",
        directory.path(),
    );
    let server = StandIn::new("s1", Manner::Serves);
    let process = Process::start(&file(directory.path(), "durable", &[&server]));
    for (key, expected) in [
        ("order-answered", 502),
        ("order-unanswered", 502),
        ("order-new", 200),
    ] {
        assert_eq!(status(&process, key), expected, "{key}");
    }
    assert_eq!(server.seen().keys().collect::<Vec<_>>(), ["order-new"]);
}

/// No agent is reached: what the fleet's operators had set is in effect from the instance's own state.
#[test]
fn what_an_earlier_instance_had_in_effect_is_in_effect() {
    let directory = tempfile::tempdir().expect("a directory");
    copy(
        "tests/fixtures/instance-dd0b5ab",
        &directory.path().join("instance"),
    );
    copy(
        "../pki/tests/fixtures/keys-dd0b5ab",
        &directory.path().join("keys"),
    );
    let servers = [
        StandIn::new("s1", Manner::Serves),
        StandIn::new("s2", Manner::Serves),
    ];
    let at = |name: &str| directory.path().join(name).display().to_string();
    let control = format!(
        "[admin]\nlisten = \"127.0.0.1:0\"\n[control]\nagent = \"127.0.0.1:1\"\nname = \"shop-0\"\nstate = \"{}\"\n\
         [control.keys]\nauthority = \"{}\"\ncertificate = \"{}\"\nkey = \"{}\"\n",
        at("instance"),
        at("keys/authority.pem"),
        at("keys/alice.pem"),
        at("keys/alice.key"),
    );
    let text = file(directory.path(), "off", &[&servers[0], &servers[1]]).replacen(
        "[[listeners]]",
        &format!("{control}[[listeners]]"),
        1,
    );
    let process = Process::start(&text);
    let view = process.status();
    let expected = json!({"weight/s1": {"weight": 500}, "drain/s2": {"drained": true}, "limit/pay/open": {"limit": 200}});
    assert_eq!(view["control"]["set"], expected, "{view:#}");
    assert_eq!(
        (&view["control"]["term"], &view["control"]["revision"]),
        (&json!(1), &json!(2))
    );
    assert_eq!(view["pools"][0]["limits"]["open"]["most"], json!(200));
    // Its own start has a greater incarnation than the one before, and that is kept for the next.
    let kept = || -> Value {
        let text = std::fs::read(directory.path().join("instance/instance.json")).expect("a file");
        serde_json::from_slice(&text).expect("JSON")
    };
    until("its incarnation is kept", || {
        kept()["incarnation"].as_u64() > Some(1_796_224_618_980_007)
    });
    assert_eq!(kept()["overlay"], expected);
    for number in 0..20 {
        assert_eq!(status(&process, &format!("order-{number}")), 200);
    }
    assert!(servers[1].seen().is_empty(), "it is drained");
}
