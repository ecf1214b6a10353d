//! The operator file: what it says, and what is said of one that makes no sense.

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
        "odd.json" => Ok(SITE.replace("\"cold_from\": 0.31", "\"cold_from\": 7")),
        "bad.json" => Ok("{\"group_size\": \"many\"}".to_string()),
        _ => Err("No such file".to_string()),
    })
}

/// The problems of the example with some of its text replaced, as lines.
fn told(from: &str, to: &str) -> Vec<String> {
    assert!(EXAMPLE.contains(from), "the example has no {from}");
    match parse(&EXAMPLE.replacen(from, to, 1)) {
        Ok(operator) => panic!("{operator:?}"),
        Err(problems) => problems.iter().map(Problem::to_string).collect(),
    }
}

#[test]
fn the_example_is_read_with_what_it_leaves_out() {
    let operator = parse(EXAMPLE).expect("it makes sense");
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
    // Places count the platform's own pool as the first.
    assert_eq!(operator.routes[1].to, [(2, 90), (3, 10)]);
    assert!(!operator.needs_platform());
}

#[test]
fn a_file_beside_which_the_platform_configures_all_may_be_almost_empty() {
    let operator =
        parse("version = 1\n[admin]\nsocket = \"/run/madderloom.sock\"").expect("it makes sense");
    assert!(operator.needs_platform() && operator.routes.is_empty());
}

#[test]
fn the_file_that_is_deployed_makes_sense() {
    let operator = parse(include_str!("../../../deploy/operator.toml")).expect("it makes sense");
    assert!(operator.needs_platform() && operator.admin.is_none());
}

const GRAPHQL: &str = include_str!("../../../examples/graphql/operator.toml");

#[test]
fn the_example_with_graphql_makes_sense_and_its_pools_classes_are_known() {
    let operator = parse(GRAPHQL).expect("it makes sense");
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
fn what_graphql_lacks_is_told(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
    #[case] words: &str,
) {
    assert!(GRAPHQL.contains(from), "the example has no {from}");
    // Sections of a pool without its first one make sense no more.
    let text = GRAPHQL.replacen(from, to, 1);
    let text = match field {
        "routes[0].graphql" => {
            let (begin, end) = (
                GRAPHQL.find("# Queries").expect("there"),
                GRAPHQL.find("[[routes]]").expect("there"),
            );
            [&GRAPHQL[..begin], &GRAPHQL[end..]].concat()
        }
        _ => text,
    };
    let told: Vec<String> = parse(&text)
        .expect_err("a problem")
        .iter()
        .map(Problem::to_string)
        .collect();
    let found = told
        .iter()
        .any(|told| told.contains(&format!(" {field}: ")) && told.contains(words));
    assert!(found, "{told:#?}");
}

const STATE: &str = "version = 1\n[state]\ndir = \"state\"\nledger = \"relaxed\"\n";

#[test]
fn what_pools_keep_is_their_own_or_the_usual() {
    assert_eq!(
        parse(EXAMPLE).expect("it makes sense").pools[0].persistence,
        PersistenceOptions::default()
    );
    let text = EXAMPLE.replacen("version = 1", STATE, 1).replacen(
        "name = \"reports\"\n",
        "name = \"reports\"\nledger = \"durable\"\nwarm_start = true\n",
        1,
    );
    let operator = parse(&text).expect("it makes sense");
    let state = operator.state.expect("it is there");
    assert_eq!(state.id_headers, ["idempotency-key", "x-trace-id"]);
    assert_eq!(
        (
            state.idempotency_limits.retention,
            state.idempotency_limits.max_records
        ),
        (300_000_000, 200_000)
    );
    let kept = |ledger, warm_start| PersistenceOptions { ledger, warm_start };
    let pools: Vec<PersistenceOptions> =
        operator.pools.iter().map(|pool| pool.persistence).collect();
    assert_eq!(
        pools,
        [
            kept(IdempotencyMode::Relaxed, false),
            kept(IdempotencyMode::Durable, true),
            kept(IdempotencyMode::Relaxed, false)
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
fn what_the_state_lacks_is_told(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
    #[case] words: &str,
) {
    let told = parse(&STATE.replacen(from, to, 1)).expect_err("a problem");
    let told: Vec<String> = told.iter().map(Problem::to_string).collect();
    assert!(
        told.len() == 1 && told[0].contains(&format!(" {field}: ")) && told[0].contains(words),
        "{told:#?}"
    );
}

#[rstest]
#[case("ledger = \"durable\"", "pools[0].ledger")]
#[case("warm_start = true", "pools[0].warm_start")]
fn a_pool_that_keeps_something_needs_a_directory(#[case] line: &str, #[case] field: &str) {
    let text = EXAMPLE.replacen(
        "name = \"submissions\"\n",
        &format!("name = \"submissions\"\n{line}\n"),
        1,
    );
    let told = parse(&text).expect_err("a problem");
    assert!(
        told.len() == 1 && told[0].field == field && told[0].problem.contains("[state]"),
        "{told:#?}"
    );
}

#[test]
fn every_problem_is_told_at_once_with_its_place() {
    let text = EXAMPLE
        .replace("weight = 4", "weigth = 4")
        .replace("requests_per_second = 200", "requests_per_second = -1")
        .replace("pool = \"reports\", weight", "pool = \"repotrs\", weight")
        .replace(
            "[\"GET\"]\nset_class = \"view\"\npool",
            "[\"get\"]\nset_class = \"view\"\npool",
        );
    let problems = parse(&text).expect_err("it makes no sense");
    let told: Vec<String> = problems.iter().map(Problem::to_string).collect();
    let wanted = [
        ("pools[0].limits.weigth", "did you mean weight?"),
        ("pools[1].limits.requests_per_second", "must lie in"),
        (
            "routes[1].split[0].pool",
            "there are platform, submissions, reports",
        ),
        ("routes[2].methods[0]", "is no method"),
    ];
    assert_eq!(told.len(), wanted.len(), "{told:#?}");
    for (told, (field, words)) in told.iter().zip(wanted) {
        assert!(
            told.contains(&format!(" {field}: ")) && told.contains(words),
            "{told}"
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
    "odd.json",
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
fn what_makes_no_sense_is_named_with_what_to_write_instead(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
    #[case] words: &str,
) {
    if field.is_empty() {
        // A weight of 0 is how a pool is set aside; of all it makes no sense.
        assert!(parse(&EXAMPLE.replacen(from, to, 1)).is_ok());
        let both = EXAMPLE
            .replacen(from, to, 1)
            .replacen("weight = 10 }", "weight = 0 }", 1);
        assert!(parse(&both).is_err_and(|p| p[0].field == "routes[1].split"));
        return;
    }
    let told = told(from, to);
    let found = told
        .iter()
        .any(|t| t.contains(&format!(" {field}: ")) && t.contains(words));
    assert!(found, "{told:#?}");
}

#[test]
fn guaranteed_parts_that_come_to_more_than_there_is_are_refused() {
    let more = "[limits]\nopen = 100\n[[listeners]]";
    let text = EXAMPLE.replacen("[[listeners]]", more, 1).replacen(
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
fn parts_that_are_not_given_are_equal_and_never_come_to_more_than_there_is() {
    let of = |guaranteed: &[Option<u64>], total| {
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
    assert_eq!(of(&[None, None], 100), [25, 25]);
    assert_eq!(of(&[Some(80), None], 100), [80, 20]);
    assert_eq!(of(&[Some(10), None, None], 100), [10, 25, 25]);
    assert_eq!(of(&[Some(150), Some(50)], 100), [75, 25]);
    assert_eq!(of(&[], 100), [0; 0]);
}

#[test]
fn a_file_is_read_with_those_that_it_names_beside_it() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/services/operator.toml");
    assert_eq!(OperatorConfig::load(&file).map(|o| o.pools.len()), Ok(3));
    let lost = OperatorConfig::load(Path::new("no/such/file.toml")).expect_err("it is not there");
    assert!(
        lost.to_string()
            .starts_with("no/such/file.toml:1:1: can't be read"),
        "{lost}"
    );
}

proptest! {
    /// The example with some of its lines gone, doubled, or with a character in place of another.
    #[test]
    fn no_file_is_too_odd(edits in prop::collection::vec((0u8..3, any::<prop::sample::Index>(), any::<char>()), 1..6)) {
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
        // A character put in may be the end of a line.
        let count = text.split('\n').count();
        match parse(&text) {
            // What is read is good to be used: its table can be made, and its parts fit.
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
fn time_lines_are_kept_where_a_section_asks_for_them_and_within_the_memory_that_the_file_grants() {
    let with =
        |section: &str| parse(&EXAMPLE.replacen("[admin]", &format!("{section}\n[admin]"), 1));
    let told = |section: &str| -> Vec<String> {
        with(section)
            .expect_err("it makes no sense")
            .iter()
            .map(Problem::to_string)
            .collect()
    };
    assert_eq!(parse(EXAMPLE).expect("it makes sense").timeline, None);
    let usual = with("[timeline]")
        .expect("it makes sense")
        .timeline
        .expect("it is on");
    assert_eq!(
        (usual.max_endpoints, usual.false_alarms_per_day),
        (1_024, 0.1)
    );
    let little = with("[limits]\nmemory = \"64MiB\"\n[timeline]")
        .expect("it makes sense")
        .timeline
        .expect("it is on");
    let bytes = 3
        * little.max_endpoints
        * madderloom_endpoint_history::EndpointHistory::max_bytes_per_endpoint();
    assert!(
        (30 << 20..=32 << 20).contains(&bytes),
        "{} servers: half of the memory in 3 pools",
        little.max_endpoints
    );
    let own = with("[timeline]\nservers = 10\nfalse_alarms_a_day = 2\nremember_left = \"2h\"");
    let own = own.expect("it makes sense").timeline.expect("it is on");
    assert_eq!(
        (
            own.max_endpoints,
            own.false_alarms_per_day,
            own.retention_after_leaving
        ),
        (10, 2.0, 7_200_000_000)
    );
    let bad = told("[timeline]\nservers = 0\nfalse_alarms_a_day = 0\nremember_left = \"8d\"");
    assert_eq!(bad.len(), 3, "{bad:?}");
    let much = told("[limits]\nmemory = \"64MiB\"\n[timeline]\nservers = 200");
    assert!(
        much.len() == 1
            && much[0].contains("timeline.servers")
            && much[0].contains("MiB in 3 pools"),
        "{much:?}"
    );
}
