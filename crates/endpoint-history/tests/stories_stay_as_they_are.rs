//! What of a story is told to programs, as literal JSON, and to people.

use madderloom_balancer::ServerId;
use madderloom_endpoint_history::{Anomaly, AnomalyPhase, Evidence, Fault, Recording, Subject};

fn anomaly(subject: Subject, fault: Fault, phase: AnomalyPhase) -> Anomaly {
    Anomaly {
        number: 3,
        subject,
        fault,
        class: Some(1),
        started_at: 1_700_000_000_000_000,
        reported_at: 1_700_000_001_000_000,
        phase,
        share: 0.25,
        baseline_share: 0.5,
        observations: 40,
    }
}

fn written(anomaly: &Anomaly) -> String {
    serde_json::to_string(anomaly).expect("JSON")
}

#[test]
#[expect(clippy::too_many_lines, reason = "literal text reads better whole")]
fn an_anomaly_is_told_as_ever() {
    let server = Subject::Endpoint(ServerId(0x1f));
    for (subject, named) in [
        (server, r#"{"server":"000000000000001f"}"#),
        (Subject::Zone(2), r#"{"zone":2}"#),
        (Subject::Fleet, r#""fleet""#),
    ] {
        let expected = format!(
            r#"{{"number":3,"subject":{named},"fault":"slow","class":1,"began":1700000000000000,"at":1700000001000000,"phase":"raised","share":0.25,"usual":0.5,"observations":40}}"#
        );
        assert_eq!(
            written(&anomaly(subject, Fault::Slow, AnomalyPhase::Raised)),
            expected
        );
    }
    for (fault, name, words) in [
        (Fault::FailsRequests, "loses_answers", "loses answers"),
        (Fault::RejectsRequests, "refuses_work", "refuses work"),
        (Fault::Slow, "slow", "is slow"),
        (
            Fault::SlowForLargeRequests,
            "slow_when_heavy",
            "is slow for heavy requests",
        ),
        (Fault::Unresponsive, "silent", "is silent"),
        (
            Fault::InconsistentReports,
            "disagrees",
            "reports what does not fit",
        ),
    ] {
        let anomaly = anomaly(server, fault, AnomalyPhase::Raised);
        assert!(
            written(&anomaly).contains(&format!(r#","fault":"{name}","#)),
            "{name}"
        );
        let told = format!(
            "server s-1 departs from its usual: {words} for submit (25.0% of 40, usually 50.0%)"
        );
        assert_eq!(anomaly.describe("s-1", Some("submit")), told);
    }
    for (phase, name, words) in [
        (AnomalyPhase::Raised, "raised", "departs from its usual"),
        (
            AnomalyPhase::Updated,
            "updated",
            "still departs from its usual",
        ),
        (AnomalyPhase::Cleared, "cleared", "is as usual again"),
    ] {
        let anomaly = Anomaly {
            class: None,
            ..anomaly(Subject::Fleet, Fault::Unresponsive, phase)
        };
        assert!(
            written(&anomaly).contains(&format!(r#","phase":"{name}","#)),
            "{name}"
        );
        assert!(written(&anomaly).contains(r#","class":null,"#));
        let told = format!("the fleet {words}: is silent (25.0% of 40, usually 50.0%)");
        assert_eq!(anomaly.describe("", None), told);
    }
    let zone = anomaly(Subject::Zone(2), Fault::Slow, AnomalyPhase::Raised);
    assert!(
        zone.describe("north", None)
            .starts_with("zone north departs")
    );
}

#[test]
fn evidence_is_told_as_ever() {
    let evidence = Evidence {
        server: ServerId(0x1f),
        class: None,
        failed_share: 0.25,
        rejected_share: 0.5,
        is_slow: true,
        confidence: 0.75,
        last_observed_at: 1_700_000_000_000_000,
        is_shared: false,
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
        "version", "server", "began_us", "usual_us", "moments", "from_ms", "lasts_ms", "attempts",
        "errors", "lost", "refused", "slower",
    ] {
        let odd = RECORDING.replacen(&format!("\"{key}\":"), "\"odd\":", 1);
        let told = serde_json::from_str::<Recording>(&odd)
            .expect_err("no such key")
            .to_string();
        assert!(
            told.starts_with("unknown field `odd`, expected one of `"),
            "{told}"
        );
        assert!(told.contains(&format!("`{key}`")), "{told}");
    }
}
