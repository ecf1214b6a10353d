//! Lists of a thousand endpoints and more are shared through an agent that states that it accepts them. An agent that does
//! not state its limit is sent no such list.

use madderloom_endpoint_sharing::{
    DEFAULT_ACCEPTED_LIST_BYTES, EndpointListDistributor, EndpointListUpdate, EndpointListUpdates,
    ListVersion, MAX_LIST_BYTES, SharedEndpointLists,
};

const LIST: &str = "fleet/shop";
const INCARNATION: u64 = 7;

/// The text of a list of `servers` endpoints, with names of `name` bytes.
fn list(servers: usize, name: usize) -> String {
    let row = |number: usize| {
        format!(
            r#"["{number:0>name$}","10.100.100.{}:50000","north-east-1","m1",3,"in_service",1.0,1796188154326]"#,
            number % 256
        )
    };
    format!("[{}]", (0..servers).map(row).collect::<Vec<_>>().join(","))
}

fn instance(text: &str) -> SharedEndpointLists {
    let mut lists = SharedEndpointLists::default();
    lists.follow([LIST.to_string()]);
    lists.discovery_updated(1_000_000, LIST, 5, text.to_string());
    lists
}

/// Reports immediately for as long as the agent requests it. Returns the number of reports.
fn reports(
    lists: &mut SharedEndpointLists,
    distributor: &mut EndpointListDistributor,
    name: &str,
    answer: impl Fn(EndpointListUpdates) -> EndpointListUpdates,
) -> usize {
    for reports in 1..20 {
        let now = 1_000_000 + reports as u64 * 1_000;
        let report = lists.report(now);
        let updates = answer(
            distributor
                .handle_report(now, name, INCARNATION, &report)
                .answer,
        );
        if !lists.agent_updated(now, &updates).report_now {
            return reports;
        }
    }
    panic!("the agent goes on requesting reports");
}

#[test]
fn lists_of_1_024_endpoints_with_long_names_and_of_2_500_reach_the_others() {
    for text in [list(1_024, 150), list(2_500, 10)] {
        assert!(
            text.len() > 4 * DEFAULT_ACCEPTED_LIST_BYTES && text.len() <= MAX_LIST_BYTES,
            "{}",
            text.len()
        );
        let (mut first, mut distributor) = (instance(&text), EndpointListDistributor::new(1, 1));
        reports(&mut first, &mut distributor, "a", |updates| updates);
        let mut other = SharedEndpointLists::default();
        other.follow([LIST.to_string()]);
        let report = other.report(2_000_000);
        let updates = distributor
            .handle_report(2_000_000, "b", INCARNATION, &report)
            .answer;
        let outcome = other.agent_updated(2_001_000, &updates);
        let [offer] = &outcome.offers[..] else {
            panic!("{} offers", outcome.offers.len())
        };
        assert!(offer.text == text && offer.version == ListVersion::of(5, &text));
        assert!(!first.is_too_long(LIST));
    }
}

/// Such an agent would reject a message with a longer list, and with it the report.
#[test]
fn an_agent_that_does_not_state_its_limit_gets_no_longer_list_than_before() {
    let text = list(1_024, 10);
    let (mut lists, mut distributor) = (instance(&text), EndpointListDistributor::new(1, 1));
    let requests_text = |updates: EndpointListUpdates| {
        let lists = updates
            .lists
            .into_iter()
            .map(|update| EndpointListUpdate {
                text_wanted: true,
                ..update
            })
            .collect();
        EndpointListUpdates {
            max_list_bytes: 0,
            lists,
            ..updates
        }
    };
    assert_eq!(
        reports(&mut lists, &mut distributor, "a", requests_text),
        1,
        "it reported again at once"
    );
    let report = lists.report(3_000_000);
    assert_eq!(
        (&report.lists[0].version, &report.lists[0].text),
        (&None, &None)
    );
    assert!(lists.is_too_long(LIST));
    // An agent that states its limit replaces it.
    let reports = reports(
        &mut lists,
        &mut EndpointListDistributor::new(2, 2),
        "a",
        |updates| updates,
    );
    assert!(
        reports > 1 && !lists.is_too_long(LIST),
        "it is reported after {reports} reports"
    );
}

#[test]
fn a_list_beyond_the_bound_is_not_shared() {
    let text = list(4_000, 10);
    assert!(text.len() > MAX_LIST_BYTES);
    let (mut lists, mut distributor) = (instance(&text), EndpointListDistributor::new(1, 1));
    reports(&mut lists, &mut distributor, "a", |updates| updates);
    assert!(lists.is_too_long(LIST) && distributor.statuses(4_000_000).is_empty());
}
