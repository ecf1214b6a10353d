use crate::{Keys, Table, check, keys};
use madderloom_agent::relay::RelayConfig;
use std::path::Path;

const FILE: &[Table] = &[
    (
        "",
        &[
            ("version", "1"),
            ("name", "\"relay-north\""),
            ("listen", "\"127.0.0.1:7071\""),
            ("connections", "4000"),
        ],
    ),
    (
        "[keys]",
        &[
            ("authority", "\"authority.pem\""),
            ("certificate", "\"relay.pem\""),
            ("key", "\"relay.key\""),
            ("revoked", "\"keys/revoked.pem\""),
        ],
    ),
    (
        "[parent]",
        &[
            ("agents", "[\"127.0.0.1:7070\"]"),
            ("certificate", "\"shop-any.pem\""),
            ("key", "\"shop-any.key\""),
        ],
    ),
    (
        "[children]",
        &[
            ("lease", "\"10s\""),
            ("answer", "\"2s\""),
            ("instances", "2000"),
        ],
    ),
    (
        "[registrations]",
        &[("rate", "400"), ("burst", "50"), ("horizon", "\"1m\"")],
    ),
];

const KEYS: &[Keys] = &[
    keys(
        "",
        &[
            "version",
            "name",
            "listen",
            "connections",
            "keys",
            "parent",
            "children",
            "registrations",
        ],
    ),
    keys("keys", &["authority", "certificate", "key", "revoked"]),
    keys("parent", &["agents", "certificate", "key"]),
    keys("children", &["lease", "answer", "instances"]),
    keys("registrations", &["rate", "burst", "horizon"]),
];

#[test]
fn the_keys_of_the_relay_file_are_those_of_the_list() {
    check(&[FILE], KEYS, |text| {
        RelayConfig::read(text, Path::new("relay.toml")).map(drop)
    });
}
