//! The files of agents and of changes: what is read, and what is reported as a problem.

use madderloom_agent::AgentConfig;
use std::path::Path;

const FILE: &str = "version = 1\nlisten = \"127.0.0.1:7070\"\naudit = \"audit.log\"\n[keys]\n\
    authority = \"authority.pem\"\ncertificate = \"agent.pem\"\nkey = \"agent.key\"\n[leases]\nlease = \"9s\"\n";

#[test]
fn a_file_is_read_with_paths_beside_it() {
    let config = AgentConfig::read(FILE, Path::new("/etc/fleet/agent.toml")).expect("sound");
    assert_eq!(config.keys.key, Path::new("/etc/fleet/agent.key"));
    assert_eq!(
        (config.rules.leases.duration, config.state_directory),
        (9_000_000, None)
    );
}

#[test]
fn the_examples_make_sense() {
    let agent = include_str!("../../../examples/fleet/agent.toml");
    assert!(AgentConfig::read(agent, Path::new("agent.toml")).is_ok());
    for change in [
        include_str!("../../../examples/fleet/slow-w7.toml"),
        include_str!("../../../examples/fleet/calm.toml"),
    ] {
        assert!(madderloom_control_plane::change_file::read(change, Some(0)).is_ok());
    }
}

#[test]
fn what_is_missing_or_makes_no_sense_is_told_with_its_field() {
    let text = FILE
        .replace("9s", "8s")
        .replace("key = \"agent.key\"\n", "")
        .replace("listen", "lisetn");
    let problems = AgentConfig::read(&text, Path::new("agent.toml")).expect_err("problems");
    let fields: Vec<&str> = problems
        .iter()
        .map(|problem| problem.field.as_str())
        .collect();
    for field in ["lisetn", "listen", "keys.key", "leases.lease"] {
        assert!(fields.contains(&field), "{field} in {fields:?}");
    }
}
