use crate::{Keys, Refusal, Table, check, keys};

const SET: &[(&str, &str)] = &[
    ("\"weight/w7\"", "0.5"),
    ("\"drain/w9\"", "true"),
    ("\"limit/reports/open\"", "200"),
    ("log_level", "\"debug\""),
    ("\"route/viewer\"", "\"file\""),
];

const FILE: &[Table] = &[
    (
        "",
        &[
            ("version", "1"),
            ("id", "\"slow-w7\""),
            ("base", "41"),
            ("note", "\"w7 answers late\""),
        ],
    ),
    (
        "[select]",
        &[
            ("names", "[\"shop-*\"]"),
            ("labels", "{ tier = \"canary\" }"),
            ("zones", "[\"north\"]"),
        ],
    ),
    (
        "[rollout]",
        &[
            ("waves", "[1, \"10%\"]"),
            ("at_once", "20"),
            ("pause", "\"30s\""),
            ("silence", "\"15s\""),
            ("failures", "0"),
            ("then", "\"take-back\""),
        ],
    ),
    (
        "[rollout.gate]",
        &[
            ("worse", "\"1%\""),
            ("evidence", "200"),
            ("sure", "2.33"),
            ("patience", "\"1m\""),
            ("unproven", "false"),
        ],
    ),
    ("[set]", SET),
];

/// What the agent itself goes by is set on all instances alike.
const FLEET_WIDE: &[Table] = &[
    (
        "",
        &[("version", "1"), ("id", "\"more-views\""), ("base", "41")],
    ),
    (
        "[set]",
        &[
            ("\"fleet/views/requests_per_second\"", "100"),
            ("\"fleet/views/burst\"", "10"),
            ("\"fleet/views/open\"", "4"),
        ],
    ),
];

const KEYS: &[Keys] = &[
    keys(
        "",
        &["version", "id", "base", "note", "select", "rollout", "set"],
    ),
    keys("select", &["names", "labels", "zones"]),
    keys(
        "rollout",
        &[
            "waves", "at_once", "pause", "silence", "failures", "then", "gate",
        ],
    ),
    Keys {
        table: "rollout.gate",
        keys: &["worse", "evidence", "sure", "patience", "unproven"],
        refusal: Refusal::SaysOfTable("data did not match any variant of untagged enum Gate"),
    },
    Keys {
        table: "set",
        keys: &[
            "\"weight/w7\"",
            "\"drain/w9\"",
            "\"limit/reports/open\"",
            "log_level",
            "\"route/viewer\"",
            "\"fleet/views/requests_per_second\"",
            "\"fleet/views/burst\"",
            "\"fleet/views/open\"",
        ],
        refusal: Refusal::SaysOfTable(
            "\"zzzz_unknown\" is no setting; there are weight/SERVER, drain/SERVER, limit/SERVICE/LIMIT, route/NAME, \
             log_level, fleet/LIMIT/FIGURE",
        ),
    },
];

#[test]
fn the_keys_of_a_change_are_those_of_the_list() {
    check(&[FILE, FLEET_WIDE], KEYS, |text| {
        madderloom_control_plane::change_file::read(text, None).map(drop)
    });
}
