//! The longest lists of servers that are shared fit into the messages of version 1 of the control protocol.

use madderloom_control_plane::protocol::{MAX_ORDER_BYTES, MAX_REPORT_BYTES};
use madderloom_endpoint_sharing::{Line, Lists, MOST_LISTS, MOST_TEXT, Tell, Tells};

#[test]
fn a_report_with_a_list_of_which_each_byte_is_escaped_leaves_64_kib_for_the_rest() {
    let tell = |text| Tell {
        list: "l".repeat(256),
        text,
        ..Tell::default()
    };
    let mut of = vec![tell(None); MOST_LISTS - 1];
    of.push(tell(Some("\"".repeat(MOST_TEXT))));
    let tells = serde_json::to_vec(&Tells {
        of,
        ..Tells::default()
    })
    .expect("it can be written");
    let without = tells.len() - 2 * MOST_TEXT;
    assert!(without < 16 << 10, "{without} bytes beside the list");
    assert!(tells.len() + (48 << 10) <= MAX_REPORT_BYTES);
}

#[test]
fn all_lists_of_an_agent_as_they_are_usually_written_fit_into_one_message() {
    const ROW: &str =
        r#"["s-5be2a07c","10.1.0.18:5000","a","m2",3,"in_service",1.0,1796188154326],"#;
    let text = ROW.repeat(MOST_TEXT / ROW.len());
    let line = Line {
        list: "l".repeat(256),
        text: Some(text),
        ..Line::default()
    };
    let lists = Lists {
        of: vec![line; MOST_LISTS],
        ..Lists::default()
    };
    let written = serde_json::to_vec(&lists).expect("it can be written").len();
    assert!(written < MAX_ORDER_BYTES, "{written} bytes");
}

/// Unknown fields are skipped, so that an instance of an earlier version reads the rest of a message.
#[test]
fn a_message_with_unknown_fields_is_read() {
    let text = r#"{"start": 7, "answers": 3, "room": 262144, "of_later": [1], "of": [{"list": "l", "later": {}}]}"#;
    let lists: Lists = serde_json::from_str(text).expect("lists");
    assert_eq!((lists.start, lists.answers, lists.of.len()), (7, 3, 1));
    let lists: Lists = serde_json::from_str(r#"{"start": 7}"#).expect("lists");
    assert_eq!(lists.room, 0);
}
