use crate::{Keys, Refusal, Table, check, keys};
use madderloom_config_reader::Problem;
use madderloom_operator_config::OperatorConfig;

const SETTINGS: &str = include_str!("../../../../examples/try/config.json");

/// The keys of most tables.
const MAIN: &[Table] = &[
    ("", &[("version", "1")]),
    ("[process]", &[("name", "\"shop-1\""), ("drain", "\"2s\"")]),
    (
        "[limits]",
        &[
            ("descriptors", "4096"),
            ("memory", "\"256MiB\""),
            ("open", "20000"),
            ("bodies", "\"16MiB\""),
        ],
    ),
    ("[admin]", &[("socket", "\"/run/madderloom/admin.sock\"")]),
    (
        "[timeline]",
        &[
            ("false_alarms_a_day", "1.0"),
            ("servers", "16"),
            ("remember_left", "\"1h\""),
        ],
    ),
    (
        "[state]",
        &[
            ("dir", "\"state\""),
            ("ledger", "\"durable\""),
            ("warm_start", "true"),
            ("ids", "[\"Idempotency-Key\"]"),
            ("window", "\"5m\""),
            ("entries", "1000"),
            ("warm_every", "\"5s\""),
            ("warm_half", "\"30s\""),
            ("warm_oldest", "\"5m\""),
        ],
    ),
    (
        "[control]",
        &[
            ("agent", "\"127.0.0.1:7070\""),
            ("name", "\"shop-1\""),
            ("zone", "\"north\""),
            ("labels", "{ tier = \"canary\" }"),
            ("state", "\"shop-1-state\""),
            ("share_lists", "\"shop\""),
        ],
    ),
    (
        "[control.keys]",
        &[
            ("authority", "\"authority.pem\""),
            ("certificate", "\"shop.pem\""),
            ("key", "\"shop.key\""),
        ],
    ),
    (
        "[[control.fleet_limits]]",
        &[
            ("name", "\"views\""),
            ("pool", "\"reports\""),
            ("class", "\"view\""),
            ("header", "\"X-Tenant\""),
            ("value", "\"school-*\""),
            ("each_server", "false"),
        ],
    ),
    (
        "[control.fleet_limits.safe]",
        &[
            ("requests_per_second", "0.5"),
            ("burst", "1"),
            ("open", "4"),
        ],
    ),
    (
        "[[listeners]]",
        &[
            ("name", "\"front\""),
            ("address", "\"127.0.0.1:5000\""),
            ("head_within", "\"2s\""),
            ("idle_within", "\"2s\""),
            ("body_within", "\"900ms\""),
            ("body_size", "\"64KiB\""),
        ],
    ),
    (
        "[listeners.limits]",
        &[
            ("requests_per_second", "100.0"),
            ("burst", "10"),
            ("weight", "2"),
        ],
    ),
    (
        "[listeners.limits.open]",
        &[("guaranteed", "10"), ("most", "100")],
    ),
    (
        "[listeners.limits.bodies]",
        &[("guaranteed", "\"64KiB\""), ("most", "\"1MiB\"")],
    ),
    (
        "[listeners.limits.connections]",
        &[("guaranteed", "10"), ("most", "100")],
    ),
    (
        "[[pools]]",
        &[
            ("name", "\"reports\""),
            ("discovery", "\"127.0.0.1:8500\""),
            ("ledger", "\"relaxed\""),
            ("warm_start", "true"),
        ],
    ),
    (
        "[[pools.servers]]",
        &[
            ("name", "\"r-one\""),
            ("address", "\"127.0.0.1:6011\""),
            ("zone", "\"north\""),
            ("kind", "\"std\""),
            ("group", "0"),
            ("weight", "1.0"),
        ],
    ),
    (
        "[pools.limits]",
        &[
            ("requests_per_second", "100.0"),
            ("burst", "10"),
            ("weight", "2"),
        ],
    ),
    (
        "[pools.limits.open]",
        &[("guaranteed", "10"), ("most", "100")],
    ),
    (
        "[pools.limits.bodies]",
        &[("guaranteed", "\"64KiB\""), ("most", "\"1MiB\"")],
    ),
    (
        "[pools.limits.connections]",
        &[("guaranteed", "10"), ("most", "100")],
    ),
    ("[pools.levels]", &[("built_in", "true")]),
    (
        "[pools.levels.damping]",
        &[
            ("growth", "2.0"),
            ("half_life", "\"2m\""),
            ("longest_stay", "\"5m\""),
            ("blind", "\"10s\""),
            ("spread", "0.5"),
        ],
    ),
    (
        "[[pools.levels.level]]",
        &[
            ("name", "\"few-views\""),
            ("enter", "\"lateness > 20% for 1s\""),
            ("leave", "\"lateness < 5% for 2s\""),
            ("least_stay", "\"10s\""),
            ("turn_away", "{ view = 0.5 }"),
            ("spare_worth", "10.0"),
            ("probes", "false"),
            ("retries", "0.5"),
            ("patience", "0.5"),
        ],
    ),
    (
        "[pools.graphql]",
        &[
            ("query", "\"view\""),
            ("mutation", "\"file\""),
            ("ignore", "[\"apiKey\"]"),
        ],
    ),
    (
        "[pools.graphql.limits]",
        &[
            ("bytes", "\"64KiB\""),
            ("tokens", "8000"),
            ("depth", "32"),
            ("aliases", "200"),
            ("fields", "5000"),
            ("name", "\"256B\""),
        ],
    ),
    (
        "[pools.graphql.remember]",
        &[
            ("persisted", "10000"),
            ("others", "1000"),
            ("bytes", "\"4MiB\""),
        ],
    ),
    (
        "[pools.graphql.batch]",
        &[("operations", "16"), ("split", "true")],
    ),
    ("[pools.graphql.cost]", &[("field", "\"1ms\"")]),
    (
        "[pools.graphql.operations.Board]",
        &[("class", "\"view\""), ("repeat", "true")],
    ),
    (
        "[pools.graphql.queries.report]",
        &[
            ("repeat", "true"),
            ("subject", "\"id\""),
            ("cost", "\"first\""),
        ],
    ),
    (
        "[pools.graphql.mutations.fileReport]",
        &[
            ("effect", "\"keyed\""),
            ("key", "\"input.clientMutationId\""),
            ("class", "\"file-once\""),
            ("subject", "\"input.paper\""),
            ("cost", "\"first\""),
        ],
    ),
    (
        "[pools.settings]",
        &[
            ("group_size", "3"),
            ("my_zone", "0"),
            ("period", "5000"),
            ("discovery", "\"automatic\""),
            ("worth_by", "\"work\""),
            ("areas", "[\"north\"]"),
            ("kinds", "[\"std\"]"),
        ],
    ),
    (
        "[[pools.settings.services]]",
        &[
            ("name", "\"view\""),
            ("effect", "\"safe\""),
            ("on_time", "400_000"),
            ("aim_stretch", "2.0"),
            ("give_up", "1_200_000"),
            ("worth", "1"),
            ("late_worth", "0.1"),
        ],
    ),
    (
        "[[pools.settings.services]]",
        &[
            ("name", "\"file-once\""),
            ("effect", "\"keyed\""),
            ("key_scope", "\"all\""),
            ("window", "4_000_000"),
            ("on_time", "400_000"),
            ("give_up", "1_200_000"),
            ("worth", "1"),
        ],
    ),
    (
        "[[pools.settings.services]]",
        &[
            ("name", "\"file\""),
            ("effect", "\"unsafe\""),
            ("on_time", "400_000"),
            ("give_up", "1_200_000"),
            ("worth", "1"),
        ],
    ),
    ("[[pools.settings.tenants]]", &[("quota_per_s", "10.0")]),
    (
        "[pools.settings.limits]",
        &[
            ("cancel", "true"),
            ("conn_idle", "60_000_000"),
            ("connect_timeout", "250_000"),
            ("max_open", "20_000"),
            ("retry_after", "true"),
            ("max_retry_after", "2_000_000"),
            ("max_attempts", "3"),
            ("probes", "true"),
        ],
    ),
    (
        "[pools.settings.load_report]",
        &[("how", "\"probe\""), ("fields", "[\"rif\", \"busy\"]")],
    ),
    (
        "[pools.settings.safety]",
        &[
            ("ask_within", "10_000_000"),
            ("cold_from", "0.31"),
            ("cold", "8_400_000"),
            ("fall", "2_000_000"),
            ("drain_grace", "100_000"),
        ],
    ),
    (
        "[pools.settings.tariffs]",
        &[("cross_zone", "0.02"), ("probe", "0.0094")],
    ),
    (
        "[[routes]]",
        &[
            ("name", "\"reports\""),
            ("listeners", "[\"front\"]"),
            ("host", "\"reports.example.org\""),
            ("path", "\"/reports/{id}\""),
            ("methods", "[\"GET\"]"),
            ("headers", "{ X-Tenant = \"school-1\" }"),
            ("class", "\"view\""),
            ("set_class", "\"view\""),
            ("graphql", "false"),
            ("pool", "\"reports\""),
        ],
    ),
];

/// Keys that exclude those of [`MAIN`].
const OTHERS: &[Table] = &[
    ("", &[("version", "1")]),
    ("[admin]", &[("listen", "\"127.0.0.1:9901\"")]),
    (
        "[control]",
        &[("agent", "\"127.0.0.1:7070\""), ("name", "\"shop-1\"")],
    ),
    (
        "[control.keys]",
        &[
            ("authority", "\"authority.pem\""),
            ("certificate", "\"shop.pem\""),
            ("key", "\"shop.key\""),
        ],
    ),
    ("[[control.fleet_limits]]", &[("name", "\"views\"")]),
    ("[control.fleet_limits.safe]", &[("divide_by", "4")]),
    (
        "[[pools]]",
        &[
            ("name", "\"tries\""),
            ("settings_file", "\"config.json\""),
            ("servers", "[]"),
        ],
    ),
    (
        "[[routes]]",
        &[("name", "\"tries\""), ("path_prefix", "\"/submit-check\"")],
    ),
    (
        "[[routes.split]]",
        &[("pool", "\"tries\""), ("weight", "1")],
    ),
];

const fn settings(table: &'static str, keys: &'static [&'static str]) -> Keys {
    Keys {
        table,
        keys,
        refusal: Refusal::Says("is no setting that is read; take it out"),
    }
}

const MEMBER_LIMITS: &[&str] = &[
    "open",
    "bodies",
    "connections",
    "requests_per_second",
    "burst",
    "weight",
];
const BOUNDS: &[&str] = &["guaranteed", "most"];

const KEYS: &[Keys] = &[
    keys(
        "",
        &[
            "version",
            "process",
            "listeners",
            "pools",
            "routes",
            "limits",
            "admin",
            "timeline",
            "control",
            "state",
        ],
    ),
    keys("process", &["name", "drain"]),
    keys("limits", &["descriptors", "memory", "open", "bodies"]),
    keys("admin", &["socket", "listen"]),
    keys(
        "timeline",
        &["false_alarms_a_day", "servers", "remember_left"],
    ),
    keys(
        "state",
        &[
            "dir",
            "ledger",
            "warm_start",
            "ids",
            "window",
            "entries",
            "warm_every",
            "warm_half",
            "warm_oldest",
        ],
    ),
    keys(
        "control",
        &[
            "agent",
            "name",
            "zone",
            "labels",
            "state",
            "keys",
            "share_lists",
            "fleet_limits",
        ],
    ),
    keys("control.keys", &["authority", "certificate", "key"]),
    keys(
        "control.fleet_limits",
        &[
            "name",
            "pool",
            "class",
            "header",
            "value",
            "each_server",
            "safe",
        ],
    ),
    keys(
        "control.fleet_limits.safe",
        &["requests_per_second", "burst", "open", "divide_by"],
    ),
    keys(
        "listeners",
        &[
            "name",
            "address",
            "head_within",
            "idle_within",
            "body_within",
            "body_size",
            "limits",
        ],
    ),
    keys("listeners.limits", MEMBER_LIMITS),
    keys("listeners.limits.open", BOUNDS),
    keys("listeners.limits.bodies", BOUNDS),
    keys("listeners.limits.connections", BOUNDS),
    keys(
        "pools",
        &[
            "name",
            "discovery",
            "servers",
            "settings_file",
            "settings",
            "limits",
            "levels",
            "graphql",
            "ledger",
            "warm_start",
        ],
    ),
    keys(
        "pools.servers",
        &["name", "address", "zone", "kind", "group", "weight"],
    ),
    keys("pools.limits", MEMBER_LIMITS),
    keys("pools.limits.open", BOUNDS),
    keys("pools.limits.bodies", BOUNDS),
    keys("pools.limits.connections", BOUNDS),
    keys("pools.levels", &["built_in", "damping", "level"]),
    keys(
        "pools.levels.damping",
        &["growth", "half_life", "longest_stay", "blind", "spread"],
    ),
    keys(
        "pools.levels.level",
        &[
            "name",
            "enter",
            "leave",
            "least_stay",
            "turn_away",
            "spare_worth",
            "probes",
            "retries",
            "patience",
        ],
    ),
    keys(
        "pools.graphql",
        &[
            "query",
            "mutation",
            "ignore",
            "limits",
            "remember",
            "batch",
            "cost",
            "operations",
            "queries",
            "mutations",
        ],
    ),
    keys(
        "pools.graphql.limits",
        &["bytes", "tokens", "depth", "aliases", "fields", "name"],
    ),
    keys("pools.graphql.remember", &["persisted", "others", "bytes"]),
    keys("pools.graphql.batch", &["operations", "split"]),
    keys("pools.graphql.cost", &["field"]),
    keys("pools.graphql.operations.Board", &["class", "repeat"]),
    keys(
        "pools.graphql.queries.report",
        &["repeat", "subject", "cost"],
    ),
    keys(
        "pools.graphql.mutations.fileReport",
        &["effect", "key", "class", "subject", "cost"],
    ),
    settings(
        "pools.settings",
        &[
            "group_size",
            "my_zone",
            "period",
            "services",
            "tenants",
            "discovery",
            "limits",
            "load_report",
            "safety",
            "tariffs",
            "worth_by",
            "areas",
            "kinds",
        ],
    ),
    settings(
        "pools.settings.services",
        &[
            "name",
            "on_time",
            "aim_stretch",
            "give_up",
            "effect",
            "key_scope",
            "window",
            "worth",
            "late_worth",
        ],
    ),
    settings("pools.settings.tenants", &["quota_per_s"]),
    settings(
        "pools.settings.limits",
        &[
            "cancel",
            "conn_idle",
            "connect_timeout",
            "max_open",
            "retry_after",
            "max_retry_after",
            "max_attempts",
            "probes",
        ],
    ),
    settings("pools.settings.load_report", &["how", "fields"]),
    settings(
        "pools.settings.safety",
        &["ask_within", "cold_from", "cold", "fall", "drain_grace"],
    ),
    settings("pools.settings.tariffs", &["cross_zone", "probe"]),
    keys(
        "routes",
        &[
            "name",
            "listeners",
            "host",
            "path",
            "path_prefix",
            "methods",
            "headers",
            "class",
            "set_class",
            "graphql",
            "pool",
            "split",
        ],
    ),
    keys("routes.split", &["pool", "weight"]),
];

fn read(text: &str) -> Result<(), Vec<Problem>> {
    OperatorConfig::parse(text, &|name| match name {
        "config.json" => Ok(SETTINGS.to_string()),
        _ => Err("No such file".to_string()),
    })
    .map(drop)
}

#[test]
fn the_keys_of_the_operator_file_are_those_of_the_list() {
    check(&[MAIN, OTHERS], KEYS, read);
}
