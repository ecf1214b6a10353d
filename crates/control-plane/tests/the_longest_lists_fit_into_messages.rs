//! The longest lists of servers that are shared fit into the messages of version 1 of the control protocol.

use madderloom_control_plane::protocol::{LARGEST_FROM_INSTANCE, LARGEST_ORDER};
use madderloom_endpoint_sharing::{
    EndpointListReport, EndpointListReports, EndpointListUpdate, EndpointListUpdates,
    MAX_LIST_BYTES, MAX_LISTS,
};

#[test]
fn a_report_with_a_list_of_which_each_byte_is_escaped_leaves_64_kib_for_the_rest() {
    let report = |text| EndpointListReport {
        name: "l".repeat(256),
        text,
        ..EndpointListReport::default()
    };
    let mut lists = vec![report(None); MAX_LISTS - 1];
    lists.push(report(Some("\"".repeat(MAX_LIST_BYTES))));
    let reports = serde_json::to_vec(&EndpointListReports {
        lists,
        ..EndpointListReports::default()
    })
    .expect("it can be written");
    let without = reports.len() - 2 * MAX_LIST_BYTES;
    assert!(without < 16 << 10, "{without} bytes beside the list");
    assert!(reports.len() + (48 << 10) <= LARGEST_FROM_INSTANCE);
}

#[test]
fn all_lists_of_an_agent_as_they_are_usually_written_fit_into_one_message() {
    const ROW: &str =
        r#"["s-5be2a07c","10.1.0.18:5000","a","m2",3,"in_service",1.0,1796188154326],"#;
    let text = ROW.repeat(MAX_LIST_BYTES / ROW.len());
    let update = EndpointListUpdate {
        name: "l".repeat(256),
        text: Some(text),
        ..EndpointListUpdate::default()
    };
    let updates = EndpointListUpdates {
        lists: vec![update; MAX_LISTS],
        ..EndpointListUpdates::default()
    };
    let written = serde_json::to_vec(&updates)
        .expect("it can be written")
        .len();
    assert!(written < LARGEST_ORDER, "{written} bytes");
}

/// Unknown fields are ignored, so that an instance that does not know the agent's limit reads the rest.
#[test]
fn updates_with_unknown_fields_are_read() {
    let text = r#"{"start": 7, "answers": 3, "room": 262144, "of_later": [1], "of": [{"list": "l", "later": {}}]}"#;
    let updates: EndpointListUpdates = serde_json::from_str(text).expect("updates");
    assert_eq!(
        (
            updates.incarnation,
            updates.answered_sequence,
            updates.lists.len()
        ),
        (7, 3, 1)
    );
    let updates: EndpointListUpdates = serde_json::from_str(r#"{"start": 7}"#).expect("updates");
    assert_eq!(updates.max_list_bytes, 0);
}
