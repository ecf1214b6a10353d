//! Lists of a thousand servers and more go to the fleet by way of an agent that says that it takes them, and an agent that does
//! not say hears of them what it always heard: nothing.

use madderloom_endpoint_sharing::{ALWAYS_TAKEN, Lists, MOST_TEXT, Relay, Share, Version};

const LIST: &str = "fleet/shop";
const START: u64 = 7;

/// A list of so many servers as it is shared, with names as long as this.
fn list(servers: usize, name: usize) -> String {
    let row = |number: usize| {
        format!(
            r#"["{number:0>name$}","10.100.100.{}:50000","north-east-1","m1",3,"in_service",1.0,1796188154326]"#,
            number % 256
        )
    };
    format!("[{}]", (0..servers).map(row).collect::<Vec<_>>().join(","))
}

fn instance(text: &str) -> Share {
    let mut share = Share::default();
    share.follow([LIST.to_string()]);
    share.told(1_000_000, LIST, 5, text.to_string());
    share
}

/// Reports at once for as long as it is asked to, and gives how often it did.
fn reports(
    share: &mut Share,
    relay: &mut Relay,
    name: &str,
    answer: impl Fn(Lists) -> Lists,
) -> usize {
    for reports in 1..20 {
        let now = 1_000_000 + reports as u64 * 1_000;
        let tells = share.tell(now);
        let word = answer(relay.hear(now, name, START, &tells).0);
        if !share.hear(now, &word).at_once {
            return reports;
        }
    }
    panic!("it goes on asking");
}

#[test]
fn a_list_of_1_024_servers_with_long_names_and_one_of_2_500_reach_the_others() {
    for text in [list(1_024, 150), list(2_500, 10)] {
        assert!(
            text.len() > 4 * ALWAYS_TAKEN && text.len() <= MOST_TEXT,
            "{}",
            text.len()
        );
        let (mut first, mut relay) = (instance(&text), Relay::new(1, 1));
        reports(&mut first, &mut relay, "a", |word| word);
        let mut other = Share::default();
        other.follow([LIST.to_string()]);
        let tells = other.tell(2_000_000);
        let (word, ..) = relay.hear(2_000_000, "b", START, &tells);
        let heard = other.hear(2_001_000, &word);
        let [offer] = &heard.offers[..] else {
            panic!("{} offers", heard.offers.len())
        };
        assert!(offer.text == text && offer.version == Version::of(5, &text));
        assert!(!first.is_too_long(LIST));
    }
}

/// It would refuse a message with such a list, and with it the report.
#[test]
fn an_agent_that_does_not_say_what_it_takes_gets_no_longer_list_than_it_did() {
    let text = list(1_024, 10);
    let (mut share, mut relay) = (instance(&text), Relay::new(1, 1));
    let asks = |word: Lists| {
        let of = word
            .of
            .into_iter()
            .map(|line| madderloom_endpoint_sharing::Line {
                wanted: true,
                ..line
            })
            .collect();
        Lists {
            room: 0,
            of,
            ..word
        }
    };
    assert_eq!(
        reports(&mut share, &mut relay, "a", asks),
        1,
        "it reported again at once"
    );
    let told = share.tell(3_000_000);
    assert_eq!((&told.of[0].version, &told.of[0].text), (&None, &None));
    assert!(share.is_too_long(LIST));
    // One that says so takes its place.
    let taken = reports(&mut share, &mut Relay::new(2, 2), "a", |word| word);
    assert!(
        taken > 1 && !share.is_too_long(LIST),
        "it is told after {taken} reports"
    );
}

#[test]
fn a_list_beyond_the_bound_is_not_shared() {
    let text = list(4_000, 10);
    assert!(text.len() > MOST_TEXT);
    let (mut share, mut relay) = (instance(&text), Relay::new(1, 1));
    reports(&mut share, &mut relay, "a", |word| word);
    assert!(share.is_too_long(LIST) && relay.views(4_000_000).next().is_none());
}
