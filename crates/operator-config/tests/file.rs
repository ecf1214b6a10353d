//! Parsing of the operator file, and the problems reported for an invalid file.

use madderloom_config_reader::Problem;
use madderloom_operator_config::{
    Admin, OperatorConfig, PersistenceOptions, ShareBounds, resource_shares,
};
use madderloom_sidecar_state::IdempotencyMode;
use proptest::prelude::*;
use rstest::rstest;
use std::path::Path;

const EXAMPLE: &str = include_str!("../../../examples/services/operator.toml");
const SITE: &str = include_str!("../../../examples/try/config.json");

fn parse(text: &str) -> Result<OperatorConfig, Vec<Problem>> {
    OperatorConfig::parse(text, &|name| match name {
        "../try/config.json" => Ok(SITE.to_string()),
        "invalid_value.json" => Ok(SITE.replace("\"cold_from\": 0.31", "\"cold_from\": 7")),
        "bad.json" => Ok("{\"group_size\": \"many\"}".to_string()),
        _ => Err("No such file".to_string()),
    })
}

/// Replaces some text of the example and returns the resulting problems as lines.
fn problems_after_edit(from: &str, to: &str) -> Vec<String> {
    assert!(EXAMPLE.contains(from), "the example has no {from}");
    match parse(&EXAMPLE.replacen(from, to, 1)) {
        Ok(operator) => panic!("{operator:?}"),
        Err(problems) => problems.iter().map(Problem::to_string).collect(),
    }
}

#[test]
fn the_example_is_parsed_with_its_defaults() {
    let operator = parse(EXAMPLE).expect("a valid file");
    assert_eq!(
        operator.admin,
        Some(Admin::Listen("127.0.0.1:9901".parse().expect("an address")))
    );
    let names: Vec<&str> = operator.pools.iter().map(|p| p.name.as_str()).collect();
    assert_eq!(names, ["submissions", "reports", "reports-next"]);
    assert_eq!(operator.pools[0].site.classes, ["submit-check", "recheck"]);
    assert_eq!(
        operator.pools[0].limits.bodies,
        ShareBounds {
            guaranteed: Some(8 << 20),
            max: None
        }
    );
    assert_eq!(
        operator.pools[1]
            .limits
            .rate
            .map(|r| (r.per_second, r.burst)),
        Some((200.0, 50))
    );
    assert_eq!(operator.listeners[0].head_timeout.micros(), 2_000_000);
    // Index 0 is the platform's pool.
    assert_eq!(operator.routes[1].to, [(2, 90), (3, 10)]);
    assert!(!operator.needs_platform());
}

#[test]
fn a_file_may_be_almost_empty_if_the_platform_configures_the_rest() {
    let operator =
        parse("version = 1\n[admin]\nsocket = \"/run/madderloom.sock\"").expect("a valid file");
    assert!(operator.needs_platform() && operator.routes.is_empty());
}

#[test]
fn the_deployed_file_is_valid() {
    let operator = parse(include_str!("../../../deploy/operator.toml")).expect("a valid file");
    assert!(operator.needs_platform() && operator.admin.is_none());
}

const GRAPHQL: &str = include_str!("../../../examples/graphql/operator.toml");

#[test]
fn the_example_with_graphql_is_valid() {
    let operator = parse(GRAPHQL).expect("a valid file");
    assert!(operator.pools[0].graphql.is_some() && operator.routes[0].graphql);
}

#[rstest]
#[case::class(
    "query = \"read\"",
    "query = \"reed\"",
    "pools[0].graphql.query",
    "there are read, board"
)]
#[case::effect(
    "query = \"read\"",
    "query = \"file\"",
    "pools[0].graphql.query",
    "not safe"
)]
#[case::unknown(
    "split = true",
    "splitt = true",
    "pools[0].graphql.batch.splitt",
    "did you mean split?"
)]
#[case::set_class(
    "graphql = true",
    "graphql = true\nset_class = \"read\"",
    "routes[0].set_class",
    "beside graphql"
)]
#[case::no_section(
    "[pools.graphql]\nquery",
    "[pools.settings.more]\nquery",
    "routes[0].graphql",
    "no [pools.graphql]"
)]
fn graphql_problems_are_reported_with_their_field(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
    #[case] words: &str,
) {
    assert!(GRAPHQL.contains(from), "the example has no {from}");
    // The section is removed with its subsections, which are invalid without it.
    let text = GRAPHQL.replacen(from, to, 1);
    let text = match field {
        "routes[0].graphql" => {
            let (section_start, section_end) = (
                GRAPHQL.find("# Queries").expect("there"),
                GRAPHQL.find("[[routes]]").expect("there"),
            );
            [&GRAPHQL[..section_start], &GRAPHQL[section_end..]].concat()
        }
        _ => text,
    };
    let reported: Vec<String> = parse(&text)
        .expect_err("a problem")
        .iter()
        .map(Problem::to_string)
        .collect();
    let found = reported
        .iter()
        .any(|reported| reported.contains(&format!(" {field}: ")) && reported.contains(words));
    assert!(found, "{reported:#?}");
}

const STATE: &str = "version = 1\n[state]\ndir = \"state\"\nledger = \"relaxed\"\n";

#[test]
fn pools_override_the_default_persistence_options() {
    assert_eq!(
        parse(EXAMPLE).expect("a valid file").pools[0].persistence,
        PersistenceOptions::default()
    );
    let text = EXAMPLE.replacen("version = 1", STATE, 1).replacen(
        "name = \"reports\"\n",
        "name = \"reports\"\nledger = \"durable\"\nwarm_start = true\n",
        1,
    );
    let operator = parse(&text).expect("a valid file");
    let state = operator.state.expect("a state section");
    assert_eq!(state.id_headers, ["idempotency-key", "x-trace-id"]);
    assert_eq!(
        (
            state.idempotency_limits.retention,
            state.idempotency_limits.max_records
        ),
        (300_000_000, 200_000)
    );
    let options = |ledger, warm_start| PersistenceOptions { ledger, warm_start };
    let pools: Vec<PersistenceOptions> =
        operator.pools.iter().map(|pool| pool.persistence).collect();
    assert_eq!(
        pools,
        [
            options(IdempotencyMode::Relaxed, false),
            options(IdempotencyMode::Durable, true),
            options(IdempotencyMode::Relaxed, false)
        ]
    );
}

#[rstest]
#[case::no_directory("dir = \"state\"", "", "state", "names no directory")]
#[case::empty("\"state\"", "\"\"", "state.dir", "is empty")]
#[case::mode("relaxed", "sometimes", "state.ledger", "durable")]
#[case::unknown("ledger =", "legder =", "state.legder", "did you mean ledger?")]
#[case::window(
    "ledger = \"relaxed\"",
    "window = \"2 days\"",
    "state.window",
    "must lie in 1s to 1day"
)]
#[case::no_ids("ledger = \"relaxed\"", "ids = []", "state.ids", "names no header")]
#[case::no_header(
    "ledger = \"relaxed\"",
    "ids = [\"a b\"]",
    "state.ids[0]",
    "is no name of a header"
)]
#[case::entries(
    "ledger = \"relaxed\"",
    "entries = 0",
    "state.entries",
    "must lie in 1 to"
)]
#[case::memory(
    "ledger = \"relaxed\"",
    "[limits]\nmemory = \"50MiB\"",
    "state.entries",
    "over half of"
)]
fn state_problems_are_reported_with_their_field(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
    #[case] words: &str,
) {
    let reported = parse(&STATE.replacen(from, to, 1)).expect_err("a problem");
    let reported: Vec<String> = reported.iter().map(Problem::to_string).collect();
    assert!(
        reported.len() == 1
            && reported[0].contains(&format!(" {field}: "))
            && reported[0].contains(words),
        "{reported:#?}"
    );
}

#[rstest]
#[case("ledger = \"durable\"", "pools[0].ledger")]
#[case("warm_start = true", "pools[0].warm_start")]
fn a_pool_with_persistence_needs_a_state_directory(#[case] line: &str, #[case] field: &str) {
    let text = EXAMPLE.replacen(
        "name = \"submissions\"\n",
        &format!("name = \"submissions\"\n{line}\n"),
        1,
    );
    let reported = parse(&text).expect_err("a problem");
    assert!(
        reported.len() == 1
            && reported[0].field == field
            && reported[0].problem.contains("[state]"),
        "{reported:#?}"
    );
}

#[test]
fn all_problems_are_reported_at_once_with_their_positions() {
    let text = EXAMPLE
        .replace("weight = 4", "weigth = 4")
        .replace("requests_per_second = 200", "requests_per_second = -1")
        .replace("pool = \"reports\", weight", "pool = \"repotrs\", weight")
        .replace(
            "[\"GET\"]\nset_class = \"view\"\npool",
            "[\"get\"]\nset_class = \"view\"\npool",
        );
    let problems = parse(&text).expect_err("an invalid file");
    let reported: Vec<String> = problems.iter().map(Problem::to_string).collect();
    let expected = [
        ("pools[0].limits.weigth", "did you mean weight?"),
        ("pools[1].limits.requests_per_second", "must lie in"),
        (
            "routes[1].split[0].pool",
            "there are platform, submissions, reports",
        ),
        ("routes[2].methods[0]", "is no method"),
    ];
    assert_eq!(reported.len(), expected.len(), "{reported:#?}");
    for (reported, (field, words)) in reported.iter().zip(expected) {
        assert!(
            reported.contains(&format!(" {field}: ")) && reported.contains(words),
            "{reported}"
        );
    }
    for problem in &problems {
        let line = text
            .lines()
            .nth(problem.line - 1)
            .expect("a line of the file");
        let name = problem
            .field
            .rsplit(['.', '['])
            .find(|s| !s.ends_with(']'))
            .expect("a name");
        assert!(
            line.contains(name),
            "line {} is {line}, of {}",
            problem.line,
            problem.field
        );
    }
}

#[rstest]
#[case::version("version = 1", "version = 2", "version", "it reads 1")]
#[case::no_version("version = 1", "", "version", "write version = 1")]
#[case::unknown("[admin]", "[admn]", "admn", "did you mean admin?")]
#[case::two_names(
    "name = \"reports-next\"\n",
    "name = \"reports\"\n",
    "pools[2].name",
    "there twice"
)]
#[case::reserved(
    "name = \"front\"",
    "name = \"platform\"",
    "listeners[0].name",
    "choose another"
)]
#[case::no_name(
    "name = \"front\"",
    "name = \"fr ont\"",
    "listeners[0].name",
    "is no name"
)]
#[case::admin_outside("127.0.0.1:9901", "10.0.0.4:9901", "admin.listen", "loopback")]
#[case::address(
    "\"127.0.0.1:5000\"",
    "\"here\"",
    "listeners[0].address",
    "socket address"
)]
#[case::no_address(
    "address = \"127.0.0.1:5000\"",
    "",
    "listeners[0].address",
    "is missing"
)]
#[case::no_servers(
    "servers = [{ name = \"r-next\", address = \"127.0.0.1:6013\" }]",
    "",
    "pools[2]",
    "neither"
)]
#[case::zone(
    "zone = \"mixco\"",
    "zone = \"mixko\"",
    "pools[0].servers[1].zone",
    "zona-4, mixco"
)]
#[case::server_twice("\"s-two\"", "\"s-one\"", "pools[0].servers[1].name", "there twice")]
#[case::no_settings(
    "settings_file = \"../try/config.json\"",
    "",
    "pools[0]",
    "has no settings"
)]
#[case::lost_settings(
    "../try/config.json",
    "lost.json",
    "pools[0].settings_file",
    "lost.json: No such file"
)]
#[case::bad_settings(
    "../try/config.json",
    "bad.json",
    "pools[0].settings_file",
    "group_size"
)]
#[case::odd_settings(
    "../try/config.json",
    "invalid_value.json",
    "pools[0].settings_file",
    "safety.cold_from: must lie"
)]
#[case::setting(
    "group_size = 1",
    "group_size = 0",
    "pools[1].settings.group_size",
    "at least 1"
)]
#[case::setting_type("period = 5000", "period = \"x\"", "pools[1].settings.period", "u64")]
#[case::unread(
    "period = 5000",
    "period = 5000\nperoid = 1",
    "pools[1].settings.peroid",
    "is no setting"
)]
#[case::unread_in_a_list(
    "worth = 1 }]",
    "worth = 1, wroth = 2 }]",
    "pools[1].settings.services[0].wroth",
    "no setting"
)]
#[case::part(
    "guaranteed = \"8MiB\"",
    "guaranteed = \"8MiB\", most = \"1MiB\"",
    "pools[0].limits.bodies.guaranteed",
    "over"
)]
#[case::burst(
    "requests_per_second = 200\n",
    "",
    "pools[1].limits.burst",
    "without requests_per_second"
)]
#[case::pool(
    "pool = \"submissions\"",
    "pool = \"submission\"",
    "routes[0].pool",
    "there is no submission"
)]
#[case::no_pool("pool = \"submissions\"", "", "routes[0].pool", "is missing")]
#[case::split("weight = 90", "weight = 0", "", "")]
#[case::path(
    "\"/reports/{id}\"",
    "\"/reports//{id}\"",
    "routes[2].path",
    "empty segment"
)]
#[case::template(
    "\"/reports/{id}\"",
    "\"/reports/x{id}\"",
    "routes[2].path",
    "whole segment"
)]
#[case::ready(
    "\"/reports/{id}\"",
    "\"/ready\"",
    "routes[2].path",
    "by the program itself"
)]
#[case::host(
    "host = \"reports.example.org\"",
    "host = \"reports.example.org:80\"",
    "routes[1].host",
    "without a port"
)]
#[case::class(
    "set_class = \"view\"",
    "set_class = \"veiw\"",
    "routes[1].set_class",
    "it has view"
)]
#[case::no_class(
    "path = \"/reports/{id}\"\nmethods = [\"GET\"]\nset_class = \"view\"",
    "path = \"/reports/{id}\"",
    "routes[2].path",
    "add set_class"
)]
#[case::clash(
    "path = \"/reports/{id}\"\n",
    "",
    "routes[2].name",
    "clashes with reports of line 64 on listener platform"
)]
fn an_invalid_value_is_reported_with_its_field_and_a_hint(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
    #[case] words: &str,
) {
    if field.is_empty() {
        // A weight of 0 takes one pool out of the split; not all weights may be 0.
        assert!(parse(&EXAMPLE.replacen(from, to, 1)).is_ok());
        let both = EXAMPLE
            .replacen(from, to, 1)
            .replacen("weight = 10 }", "weight = 0 }", 1);
        assert!(parse(&both).is_err_and(|p| p[0].field == "routes[1].split"));
        return;
    }
    let reported = problems_after_edit(from, to);
    let found = reported
        .iter()
        .any(|t| t.contains(&format!(" {field}: ")) && t.contains(words));
    assert!(found, "{reported:#?}");
}

#[test]
fn guaranteed_shares_above_the_total_are_rejected() {
    let low_total = "[limits]\nopen = 100\n[[listeners]]";
    let text = EXAMPLE.replacen("[[listeners]]", low_total, 1).replacen(
        "open = { most = 500 }",
        "open = { guaranteed = 101 }",
        1,
    );
    let problems = parse(&text).expect_err("more than there is");
    assert_eq!(problems[0].field, "pools[1].limits.open.guaranteed");
    assert!(
        problems[0]
            .problem
            .contains("come to 101, and there are 100"),
        "{}",
        problems[0]
    );
}

#[test]
fn unconfigured_shares_are_equal_and_the_sum_never_exceeds_the_total() {
    let shares_of = |guaranteed: &[Option<u64>], total| {
        let bounds: Vec<ShareBounds> = guaranteed
            .iter()
            .map(|g| ShareBounds {
                guaranteed: *g,
                max: None,
            })
            .collect();
        resource_shares(total, &bounds)
            .iter()
            .map(|p| p.guaranteed)
            .collect::<Vec<_>>()
    };
    assert_eq!(shares_of(&[None, None], 100), [25, 25]);
    assert_eq!(shares_of(&[Some(80), None], 100), [80, 20]);
    assert_eq!(shares_of(&[Some(10), None, None], 100), [10, 25, 25]);
    assert_eq!(shares_of(&[Some(150), Some(50)], 100), [75, 25]);
    assert_eq!(shares_of(&[], 100), [0; 0]);
}

#[test]
fn referenced_files_are_read_relative_to_the_operator_file() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/services/operator.toml");
    assert_eq!(OperatorConfig::load(&file).map(|o| o.pools.len()), Ok(3));
    let missing =
        OperatorConfig::load(Path::new("no/such/file.toml")).expect_err("it is not there");
    assert!(
        missing
            .to_string()
            .starts_with("no/such/file.toml:1:1: can't be read"),
        "{missing}"
    );
}

proptest! {
    /// Removes or duplicates lines of the example, or replaces characters.
    #[test]
    fn no_file_causes_a_panic(edits in prop::collection::vec((0u8..3, any::<prop::sample::Index>(), any::<char>()), 1..6)) {
        let mut lines: Vec<String> = EXAMPLE.lines().map(str::to_string).collect();
        for (what, at, with) in edits {
            let line = at.index(lines.len());
            match what {
                0 => drop(lines.remove(line)),
                1 => lines.insert(line, lines[line].clone()),
                _ => {
                    let place = at.index(lines[line].chars().count() + 1);
                    let changed = lines[line].chars().enumerate().map(|(n, c)| if n == place { with } else { c });
                    lines[line] = changed.collect();
                }
            }
        }
        let text = lines.join("\n");
        // An inserted character may be a line break.
        let count = text.split('\n').count();
        match parse(&text) {
            // The routing table of a valid file can be built and contains all its routes.
            Ok(operator) => prop_assert_eq!(operator.route_table().routes().len(), operator.routes.len()),
            Err(problems) => {
                prop_assert!(!problems.is_empty());
                for problem in problems {
                    prop_assert!(problem.line <= count && !problem.problem.is_empty(), "{}", problem);
                    prop_assert!(!problem.problem.contains('\n'), "{}", problem);
                }
            }
        }
    }
}

#[test]
fn timelines_are_optional_and_limited_by_the_configured_memory() {
    let with =
        |section: &str| parse(&EXAMPLE.replacen("[admin]", &format!("{section}\n[admin]"), 1));
    let reported = |section: &str| -> Vec<String> {
        with(section)
            .expect_err("an invalid file")
            .iter()
            .map(Problem::to_string)
            .collect()
    };
    assert_eq!(parse(EXAMPLE).expect("a valid file").timeline, None);
    let defaults = with("[timeline]")
        .expect("a valid file")
        .timeline
        .expect("it is on");
    assert_eq!(
        (defaults.max_endpoints, defaults.false_alarms_per_day),
        (1_024, 0.1)
    );
    let low_memory = with("[limits]\nmemory = \"64MiB\"\n[timeline]")
        .expect("a valid file")
        .timeline
        .expect("it is on");
    let bytes = 3
        * low_memory.max_endpoints
        * madderloom_endpoint_history::EndpointHistory::max_bytes_per_endpoint();
    assert!(
        (30 << 20..=32 << 20).contains(&bytes),
        "{} servers: half of the memory in 3 pools",
        low_memory.max_endpoints
    );
    let configured =
        with("[timeline]\nservers = 10\nfalse_alarms_a_day = 2\nremember_left = \"2h\"");
    let configured = configured
        .expect("a valid file")
        .timeline
        .expect("it is on");
    assert_eq!(
        (
            configured.max_endpoints,
            configured.false_alarms_per_day,
            configured.retention_after_leaving
        ),
        (10, 2.0, 7_200_000_000)
    );
    let invalid =
        reported("[timeline]\nservers = 0\nfalse_alarms_a_day = 0\nremember_left = \"8d\"");
    assert_eq!(invalid.len(), 3, "{invalid:?}");
    let too_much = reported("[limits]\nmemory = \"64MiB\"\n[timeline]\nservers = 200");
    assert!(
        too_much.len() == 1
            && too_much[0].contains("timeline.servers")
            && too_much[0].contains("MiB in 3 pools"),
        "{too_much:?}"
    );
}
