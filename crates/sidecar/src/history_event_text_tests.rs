//! The event names for programs and the texts for people.

use super::event_text;
use madderloom_balancer::Outcome;
use madderloom_endpoint_history::EndpointEvent;

#[test]
fn each_event_has_its_name_and_text() {
    for (event, name, text) in [
        (EndpointEvent::Joined, "joined", "is listed"),
        (EndpointEvent::Restarted, "restarted", "has started anew"),
        (
            EndpointEvent::AddressTaken,
            "address_taken",
            "has lost its address to another server",
        ),
        (EndpointEvent::Draining, "draining", "drains"),
        (EndpointEvent::Ready, "ready", "takes new work again"),
        (EndpointEvent::Left, "left", "is gone from the list"),
        (
            EndpointEvent::TrialSent,
            "trial",
            "is sent a request on trial",
        ),
        (
            EndpointEvent::Restored,
            "restored",
            "is trusted again after its trial",
        ),
        (
            EndpointEvent::AnomalyRaised(7),
            "raised",
            "departs from its usual (number 7)",
        ),
        (
            EndpointEvent::AnomalyCleared(7),
            "cleared",
            "is as usual again (number 7)",
        ),
    ] {
        assert_eq!(event_text(&event), (name, text.to_string()));
    }
}

#[test]
fn an_ejection_text_says_how_attempts_ended() {
    for (outcome, text) in [
        (Outcome::Ok, "were served"),
        (Outcome::Error, "ended with errors"),
        (Outcome::Full, "were turned away"),
        (Outcome::Timeout, "timed out"),
        (Outcome::ConnectFailed, "made no connection"),
        (Outcome::Reset, "broke"),
        (Outcome::Cancelled, "were called off"),
        (Outcome::Moot, "were never sent"),
    ] {
        let expected = (
            "ejected",
            format!("is ejected, since attempts there {text}"),
        );
        assert_eq!(event_text(&EndpointEvent::Ejected(outcome)), expected);
    }
}
