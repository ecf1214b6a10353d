use crate::{Keys, Table, check, keys};
use madderloom_agent::AgentConfig;
use std::path::Path;

const FILE: &[Table] = &[
    (
        "",
        &[
            ("version", "1"),
            ("listen", "\"127.0.0.1:7070\""),
            ("state", "\"agent-state\""),
            ("audit", "\"audit.log\""),
            ("term_above", "0"),
            ("connections", "10000"),
        ],
    ),
    (
        "[keys]",
        &[
            ("authority", "\"authority.pem\""),
            ("certificate", "\"agent.pem\""),
            ("key", "\"agent.key\""),
            ("revoked", "\"keys/revoked.pem\""),
        ],
    ),
    (
        "[leases]",
        &[
            ("report", "\"3s\""),
            ("lease", "\"10s\""),
            ("grace", "\"20s\""),
            ("memory", "\"1d\""),
            ("instances", "4096"),
            ("limits", "\"12s\""),
        ],
    ),
    (
        "[registrations]",
        &[("rate", "100"), ("burst", "50"), ("horizon", "\"1m\"")],
    ),
    (
        "[[fleet_limits]]",
        &[
            ("name", "\"views\""),
            ("requests_per_second", "5.0"),
            ("burst", "10"),
            ("open", "4"),
            ("floor", "0.5"),
            ("weights", "{ \"shop-1\" = 2 }"),
            ("by_zone", "true"),
            ("each_server", "false"),
            ("longest", "\"2s\""),
        ],
    ),
];

const KEYS: &[Keys] = &[
    keys(
        "",
        &[
            "version",
            "listen",
            "state",
            "audit",
            "term_above",
            "connections",
            "keys",
            "leases",
            "registrations",
            "fleet_limits",
        ],
    ),
    keys("keys", &["authority", "certificate", "key", "revoked"]),
    keys(
        "leases",
        &["report", "lease", "grace", "memory", "instances", "limits"],
    ),
    keys("registrations", &["rate", "burst", "horizon"]),
    keys(
        "fleet_limits",
        &[
            "name",
            "requests_per_second",
            "burst",
            "open",
            "floor",
            "weights",
            "by_zone",
            "each_server",
            "longest",
        ],
    ),
];

#[test]
fn the_keys_of_the_agent_file_are_those_of_the_list() {
    check(&[FILE], KEYS, |text| {
        AgentConfig::read(text, Path::new("agent.toml")).map(drop)
    });
}
