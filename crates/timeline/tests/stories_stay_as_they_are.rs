//! What of a story is told to programs, as literal JSON, and to people.

use madderloom_balancer::ServerId;
use madderloom_timeline::{Departure, Evidence, Fault, Phase, Recording, Subject};

fn departure(subject: Subject, fault: Fault, phase: Phase) -> Departure {
    Departure {
        number: 3,
        subject,
        fault,
        class: Some(1),
        began: 1_700_000_000_000_000,
        at: 1_700_000_001_000_000,
        phase,
        share: 0.25,
        usual: 0.5,
        observations: 40,
    }
}

fn written(departure: &Departure) -> String {
    serde_json::to_string(departure).expect("JSON")
}

#[test]
fn a_departure_is_told_as_ever() {
    let server = Subject::Server(ServerId(0x1f));
    for (subject, named) in [
        (server, r#"{"server":"000000000000001f"}"#),
        (Subject::Zone(2), r#"{"zone":2}"#),
        (Subject::Fleet, r#""fleet""#),
    ] {
        let expected = format!(
            r#"{{"number":3,"subject":{named},"fault":"slow","class":1,"began":1700000000000000,"at":1700000001000000,"phase":"raised","share":0.25,"usual":0.5,"observations":40}}"#
        );
        assert_eq!(written(&departure(subject, Fault::Slow, Phase::Raised)), expected);
    }
    for (fault, name, words) in [
        (Fault::LosesAnswers, "loses_answers", "loses answers"),
        (Fault::RefusesWork, "refuses_work", "refuses work"),
        (Fault::Slow, "slow", "is slow"),
        (Fault::SlowWhenHeavy, "slow_when_heavy", "is slow for heavy requests"),
        (Fault::Silent, "silent", "is silent"),
        (Fault::Disagrees, "disagrees", "reports what does not fit"),
    ] {
        let departure = departure(server, fault, Phase::Raised);
        assert!(written(&departure).contains(&format!(r#","fault":"{name}","#)), "{name}");
        let told =
            format!("server s-1 departs from its usual: {words} for submit (25.0% of 40, usually 50.0%)");
        assert_eq!(departure.told("s-1", Some("submit")), told);
    }
    for (phase, name, words) in [
        (Phase::Raised, "raised", "departs from its usual"),
        (Phase::Updated, "updated", "still departs from its usual"),
        (Phase::Cleared, "cleared", "is as usual again"),
    ] {
        let departure = Departure { class: None, ..departure(Subject::Fleet, Fault::Silent, phase) };
        assert!(written(&departure).contains(&format!(r#","phase":"{name}","#)), "{name}");
        assert!(written(&departure).contains(r#","class":null,"#));
        let told = format!("the fleet {words}: is silent (25.0% of 40, usually 50.0%)");
        assert_eq!(departure.told("", None), told);
    }
    let zone = departure(Subject::Zone(2), Fault::Slow, Phase::Raised);
    assert!(zone.told("north", None).starts_with("zone north departs"));
}

#[test]
fn evidence_is_told_as_ever() {
    let evidence = Evidence {
        server: ServerId(0x1f),
        class: None,
        loses: 0.25,
        refuses: 0.5,
        slow: true,
        confidence: 0.75,
        at: 1_700_000_000_000_000,
        shared: false,
    };
    let expected = r#"{"server":"000000000000001f","class":null,"loses":0.25,"refuses":0.5,"slow":true,"confidence":0.75,"at":1700000000000000,"shared":false}"#;
    assert_eq!(serde_json::to_string(&evidence).expect("JSON"), expected);
}

const RECORDING: &str = r#"{"version":1,"server":"s-1","began_us":1700000000000000,"usual_us":2500,"moments":[{"from_ms":0,"lasts_ms":1000,"attempts":40,"errors":0.25,"lost":0.5,"refused":0.125,"slower":1.5}]}"#;

#[test]
fn a_recording_is_read_as_it_is_written() {
    let recording: Recording = serde_json::from_str(RECORDING).expect("a recording");
    assert_eq!(serde_json::to_string(&recording).expect("JSON"), RECORDING);
    for key in [
        "version", "server", "began_us", "usual_us", "moments", "from_ms", "lasts_ms", "attempts", "errors",
        "lost", "refused", "slower",
    ] {
        let odd = RECORDING.replacen(&format!("\"{key}\":"), "\"odd\":", 1);
        let told = serde_json::from_str::<Recording>(&odd).expect_err("no such key").to_string();
        assert!(told.starts_with("unknown field `odd`, expected one of `"), "{told}");
        assert!(told.contains(&format!("`{key}`")), "{told}");
    }
}
