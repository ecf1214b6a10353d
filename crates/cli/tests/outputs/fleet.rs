//! `--output json` of the commands that speak to an agent, and what a sidecar's admin view tells of its agent.

use crate::fleet_rig::{Rig, found};
use crate::shape::assert_shape;
use crate::told;
use madderloom_fault_testing::{
    DiscoveryBehavior, FakeDiscovery, Link, ListResponse, Server, wait_until,
};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

const AGENT: &str = "report = \"100ms\"\nlease = \"10m\"\ngrace = \"10m\"\nlimits = \"10m\"\n\
    [[fleet_limits]]\nname = \"submissions\"\nrequests_per_second = 100\nburst = 10\nopen = 5\n";

/// An agent, and one sidecar that takes part in a limit and shares its list.
struct Site {
    rig: Rig,
    _lists: FakeDiscovery,
}

impl Site {
    fn start() -> Self {
        let servers = vec![Server::new("w0")];
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let (roads, instances) = Default::default();
        let directory = found(AGENT);
        let mut rig = Rig {
            directory,
            agent: None,
            address: nowhere,
            roads,
            servers,
            instances,
        };
        rig.start_agent();
        rig.roads = [("north".to_string(), Link::new(rig.address))].into();
        let manner = DiscoveryBehavior {
            work_per_call: Duration::ZERO,
            max_waiting_calls: 100,
            downtime: Duration::from_secs(1),
            response: ListResponse::List,
        };
        let lists = FakeDiscovery::new(manner, &rig.servers.iter().collect::<Vec<_>>());
        let file = rig.file(0, "").replace(
            "state = \"kept-0\"\n",
            "state = \"kept-0\"\nlabels = { tier = \"canary\" }\nshare_lists = \"fleet\"\nfleet_limits = [{ name = \
             \"submissions\", pool = \"shop\", safe = { divide_by = 1 } }]\n",
        );
        let file = file.replace(
            "servers = [",
            &format!("discovery = \"{}\"\nservers = [", lists.address),
        );
        rig.instances = vec![rig.launch_as("shop-0", &file)];
        rig.until_alive(1);
        Site { rig, _lists: lists }
    }

    fn told(&self, who: &str, arguments: &[&str], code: i32) -> Value {
        let done = self
            .rig
            .run(who, &[arguments, &["--output", "json"]].concat());
        assert_eq!(
            done.status.code(),
            Some(code),
            "{}",
            crate::text(&done.stderr)
        );
        told(&done)
    }
}

const CONTROL: &str = r#"
    agent address
    fingerprint "44136fa355b3678a1146ad16f7e8649e"
    incarnation whole
    name "shop-0"
    revision 0
    set {}
    term 1
"#;

const LIMITS: &str = r#"
    ends_us whole
    leased true
    limits.submissions.denied whole
    limits.submissions.may.burst fraction
    limits.submissions.may.open whole
    limits.submissions.may.requests_per_second fraction
    limits.submissions.open whole
    limits.submissions.used fraction
    limits.submissions.whole.burst fraction
    limits.submissions.whole.open whole
    limits.submissions.whole.requests_per_second fraction
    since_us whole
    term 1
"#;

const LISTS: &str = r#"
    fleet/shop.age_us whole
    fleet/shop.version 2
"#;

const WOULD_BE_ACCEPTED: &str = r#"
    accepted true
    base 0
    difference[] "weight/w0 = 0.5"
    id "slow"
    waves.shop-0 1
    why null
"#;

const ACCEPTED: &str = r#"
    id "slow"
    repeat false
    revision 1
"#;

const ROLLOUT: &str = r#"
    by.at whole
    by.who "alice"
    counts.applied 1
    difference[] "weight/w0 = 0.5"
    end "done"
    ended whole
    id "slow"
    note "late"
    phase "done"
    results.shop-0.back null
    results.shop-0.reason null
    results.shop-0.state "applied"
    results.shop-0.wave 1
    revision 1
    why null
"#;

const HISTORY: &str = r#"
    [].by.at whole
    [].by.who "alice"
    [].counts.applied 1
    [].difference[] "weight/w0 = 0.5"
    [].end "done"
    [].ended whole
    [].id "slow"
    [].note "late"
    [].phase "done"
    [].results {}
    [].revision 1
    [].why null
"#;

const INSTANCES: &str = r#"
    [].build text
    [].counts.bad whole
    [].counts.ended whole
    [].file text
    [].fleet_limits.submissions.instances 1
    [].fleet_limits.submissions.lent.burst fraction
    [].fleet_limits.submissions.lent.open whole
    [].fleet_limits.submissions.lent.requests_per_second fraction
    [].fleet_limits.submissions.open whole
    [].fleet_limits.submissions.over fraction
    [].fleet_limits.submissions.used fraction
    [].fleet_limits.submissions.wanted fraction
    [].fleet_limits.submissions.whole.burst 10.0
    [].fleet_limits.submissions.whole.open 5
    [].fleet_limits.submissions.whole.requests_per_second 100.0
    [].fleet_limits.submissions.with_part 0
    [].in_line true
    [].incarnation whole
    [].labels.tier "canary"
    [].name "shop-0"
    [].presence "alive"
    [].refused null
    [].revision 1
    [].rival null
    [].zone "north"
"#;

const INSTANCE: &str = r#"
    build text
    counts.bad whole
    counts.ended whole
    file text
    fleet_limits.submissions.instances 1
    fleet_limits.submissions.lent.burst fraction
    fleet_limits.submissions.lent.open whole
    fleet_limits.submissions.lent.requests_per_second fraction
    fleet_limits.submissions.open whole
    fleet_limits.submissions.over fraction
    fleet_limits.submissions.used fraction
    fleet_limits.submissions.wanted fraction
    fleet_limits.submissions.whole.burst 10.0
    fleet_limits.submissions.whole.open 5
    fleet_limits.submissions.whole.requests_per_second 100.0
    fleet_limits.submissions.with_part 0
    in_line true
    incarnation whole
    labels.tier "canary"
    name "shop-0"
    presence "alive"
    refused null
    revision 1
    rival null
    settled[] "weight/w0 = 0.5"
    zone "north"
"#;

const WOULD_BE_DECLINED: &str = r#"
    accepted false
    base 1
    difference[] "weight/w0 = 0.5"
    id "slow"
    waves.shop-0 1
    why "slow is revision 1; a push of the same changes nothing"
"#;

const DRAIN: &str = r#"
    id "drain-w0-2"
    repeat false
    revision 2
"#;

#[test]
fn commands_to_an_agent_tell_what_they_told() {
    let site = Site::start();
    let status = wait_until("it has a lease and a list", || {
        let status = site.rig.instances[0].status()?;
        let has_list = status["shared_lists"]
            .as_object()
            .is_some_and(|lists| !lists.is_empty());
        (status["fleet_limits"]["leased"] == true && has_list).then_some(status)
    });
    assert_shape(&status["control"], CONTROL);
    assert_shape(&status["fleet_limits"], LIMITS);
    assert_shape(&status["shared_lists"], LISTS);
    let change = "version = 1\nid = \"slow\"\nnote = \"late\"\n[rollout]\ngate = false\npause = \"0\"\n[set]\n\"weight/w0\" = 0.5\n";
    std::fs::write(site.rig.at("slow.toml"), change).expect("written");
    assert_shape(
        &site.told("vic", &["push", "slow.toml", "--dry-run"], 0),
        WOULD_BE_ACCEPTED,
    );
    assert_shape(
        &site.told("alice", &["push", "slow.toml", "--no-wait"], 0),
        ACCEPTED,
    );
    site.rig.ended("slow");
    assert_shape(&site.told("alice", &["push", "slow.toml"], 0), ROLLOUT);
    assert_shape(
        &site.told("vic", &["rollout", "status", "slow"], 0),
        ROLLOUT,
    );
    assert_shape(&site.told("vic", &["history"], 0), HISTORY);
    wait_until("it is in line", || {
        let listed = site.rig.listed();
        (listed[0]["in_line"] == true && listed[0]["revision"] == 1).then_some(())
    });
    assert_shape(&site.told("vic", &["instances"], 0), INSTANCES);
    assert_shape(&site.told("vic", &["show", "shop-0"], 0), INSTANCE);
    assert_shape(
        &site.told("vic", &["push", "slow.toml", "--dry-run"], 3),
        WOULD_BE_DECLINED,
    );
    assert_shape(&site.told("alice", &["drain", "w0", "--no-wait"], 0), DRAIN);
}
