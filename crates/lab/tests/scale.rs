//! The scale rig: a small fleet of hollow instances around a real agent, in processes of their own.

use madderloom_lab::scale::conductor::{Rig, RigSettings};
use madderloom_lab::scale::limits::{self, MOST_PROCESSES, Unable};
use madderloom_lab::scale::places::{
    Group, PER_SERVICE, RACK, REGIONS, ZONES, region, traits, zone,
};
use madderloom_lab::scale::protocol::Manner;
use madderloom_lab::scale::real;
use madderloom_lab::scale::record::{RunRecord, StepRecord, Times};
use madderloom_lab::scale::steps::Step;
use madderloom_lab::scale::usage::Allowed;
use madderloom_lab::sockets::itself::on_one_thread;
use std::collections::BTreeSet;
use std::process::Command;
use std::time::Duration;

const INSTANCES: usize = 20;

fn settings() -> RigSettings {
    RigSettings {
        instances: INSTANCES,
        manner: Manner {
            requests: 100,
            limits: 1,
            lists: 1,
        },
        report_ms: 200,
        lease: Duration::from_secs(2),
        registrations: 200,
        binary: None,
        calm: Duration::from_secs(2),
        cut: Duration::from_secs(4),
        has_relays: false,
        restarts: 2,
    }
}

/// What one side sent has come at the other, but for what is on its way at either end of the step.
fn both_sides_agree(record: &StepRecord) {
    let StepRecord {
        step,
        agent,
        instances,
        ..
    } = record;
    let pairs = [
        (agent.messages_in, instances.messages_out),
        (agent.messages_out, instances.messages_in),
    ];
    for (at_agent, at_instances) in pairs {
        let on_their_way = 3 * INSTANCES as u64 + at_agent / 20;
        assert!(
            at_agent.abs_diff(at_instances) <= on_their_way,
            "{step}: {agent:?} {instances:?}"
        );
    }
    let bytes = [
        (agent.bytes_in, instances.bytes_out),
        (agent.bytes_out, instances.bytes_in),
    ];
    for (at_agent, at_instances) in bytes {
        // The agent's include those of the operator, who looks at it.
        let others = 60_000 + at_agent / 20;
        assert!(
            at_agent.abs_diff(at_instances) <= others,
            "{step}: {agent:?} {instances:?}"
        );
    }
    assert!(
        instances.connections == 2 * INSTANCES as u64,
        "{step}: {instances:?}"
    );
    assert!(
        instances.memory > 0 && agent.memory > 0 && agent.descriptors > agent.connections,
        "{step}"
    );
}

#[test]
fn a_small_fleet_takes_every_step_and_both_sides_count_the_same() {
    let records: Result<Vec<StepRecord>, String> = on_one_thread(async {
        let mut rig = Rig::new(settings()).await?;
        let mut records = Vec::new();
        for step in Step::ALL {
            records.push(rig.step(step).await?);
        }
        Ok(records)
    });
    let records = records.expect("all steps");
    assert_eq!(records.len(), Step::ALL.len());
    for record in &records {
        assert_eq!(record.problem, None, "{}", record.step);
        for (name, times) in &record.times {
            assert_eq!(times.missing, 0, "{}: {name}: {times:?}", record.step);
            assert!(
                times.median_ms <= times.p99_ms && times.p99_ms <= times.last_ms,
                "{name}: {times:?}"
            );
        }
    }
    let of = |step: Step| {
        records
            .iter()
            .find(|record| record.step == step)
            .expect("it was done")
    };
    for step in [
        Step::Calm,
        Step::PushAll,
        Step::PushService,
        Step::PushZone,
        Step::ListChange,
    ] {
        both_sides_agree(of(step));
    }
    // Ten reports of each in two seconds, each answered.
    let calm = of(Step::Calm);
    assert!(calm.agent.messages_in >= 8 * INSTANCES as u64, "{calm:?}");
    assert!(
        calm.agent.messages_out >= calm.agent.messages_in,
        "{calm:?}"
    );
    assert_eq!(of(Step::PushAll).times["in_force"].count, INSTANCES);
    assert_eq!(of(Step::PushService).times["in_force"].count, PER_SERVICE);
    assert_eq!(
        of(Step::PushZone).times["in_force"].count,
        Group::Zone.count(INSTANCES)
    );
    assert_eq!(
        of(Step::ZoneLost).counts["noticed"],
        Group::Zone.count(INSTANCES) as u64
    );
    let cut = of(Step::RegionCut);
    assert_eq!(
        cut.counts["failed"] as usize,
        Group::Region.count(INSTANCES),
        "{cut:?}"
    );
    assert_eq!(
        cut.times["in_force_after_heal"].count,
        Group::Region.count(INSTANCES)
    );
    assert_eq!(of(Step::ListChange).counts["instances_behind"], 0);
    for step in [Step::RestartWithState, Step::RestartWithoutState] {
        let restart = of(step);
        assert_eq!(restart.times["healed"].count, INSTANCES, "{restart:?}");
        assert!(restart.agent.opened >= 2 * INSTANCES as u64, "{restart:?}");
    }
}

#[test]
fn a_small_fleet_behind_relays_takes_every_step_and_the_agent_has_the_connections_of_relays_alone()
{
    let records: Result<Vec<StepRecord>, String> = on_one_thread(async {
        let mut rig = Rig::new(RigSettings {
            has_relays: true,
            ..settings()
        })
        .await?;
        let mut records = Vec::new();
        for step in Step::ALL {
            records.push(rig.step(step).await?);
        }
        Ok(records)
    });
    let records = records.expect("all steps");
    for record in &records {
        assert_eq!(record.problem, None, "{}", record.step);
        for (name, times) in &record.times {
            assert_eq!(times.missing, 0, "{}: {name}: {times:?}", record.step);
        }
        // Two of each relay, and those of the operator who looks. Behind a cut, the agent has not heard yet of the end of
        // those that the region's relays had before.
        let of_region = (0..ZONES).filter(|zone| region(*zone) == 0).count();
        let former = if record.step == Step::RegionCut {
            2 * of_region
        } else {
            0
        };
        let most = 2 * ZONES + 2 + former;
        assert!(
            record.agent.connections as usize <= most,
            "{}: {:?}",
            record.step,
            record.agent
        );
        assert!(
            record.relays.memory > 0,
            "{}: {:?}",
            record.step,
            record.relays
        );
    }
    let of = |step: Step| {
        records
            .iter()
            .find(|record| record.step == step)
            .expect("it was done")
    };
    let cut = of(Step::RegionCut);
    assert_eq!(
        cut.counts["failed"] as usize,
        Group::Region.count(INSTANCES),
        "{cut:?}"
    );
    for step in [Step::RestartWithState, Step::RestartWithoutState] {
        let restart = of(step);
        assert!(
            restart.instances.opened == 0,
            "no instance has connected again: {restart:?}"
        );
    }
}

#[test]
fn a_hollow_instance_sends_what_a_real_one_sends() {
    let settings = RigSettings {
        instances: 6,
        calm: Duration::from_secs(4),
        ..settings()
    };
    let compared = on_one_thread(real::compare(&settings)).expect("both kinds");
    for difference in compared.differences() {
        // Six instances, so that one message more at an end of the stretch counts.
        assert!(difference.real > 0, "{difference:?}");
        assert!(difference.part().abs() <= 0.1, "{difference:?}");
    }
}

#[test]
fn what_the_machine_does_not_bear_is_told_before_anything_is_started() {
    let allowed = Allowed {
        descriptors: 20_000,
        memory: 24 << 30,
        cores: 8,
    };
    assert_eq!(limits::check(9_000, 0, allowed), Ok(()));
    let unable = limits::check(11_000, 0, allowed).expect_err("two connections each");
    assert!(
        matches!(
            unable,
            Unable::Descriptors {
                process: "agent",
                instances: 11_000,
                ..
            }
        ),
        "{unable}"
    );
    assert!(
        unable
            .to_string()
            .contains("needs 22064 descriptors and may open 20000"),
        "{unable}"
    );
    assert_eq!(
        limits::check(11_000, ZONES, allowed),
        Ok(()),
        "relays share the connections"
    );
    let small = Allowed {
        memory: 1 << 30,
        ..allowed
    };
    assert!(matches!(
        limits::check(9_000, 0, small),
        Err(Unable::Memory { .. })
    ));
    assert!(limits::check_processes(MOST_PROCESSES).is_ok());
    assert!(matches!(
        limits::check_processes(MOST_PROCESSES + 1),
        Err(Unable::Processes { .. })
    ));
}

#[test]
fn the_command_line_refuses_what_can_not_be_done() {
    let run = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom-lab"));
        command
            .arg("scale")
            .args(arguments)
            .output()
            .expect("it starts")
    };
    let told = |arguments: &[&str]| {
        let output = run(arguments);
        assert!(!output.status.success(), "{arguments:?}");
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    assert!(told(&["--calm", "1ms"]).contains("--calm 1ms: must lie in 100ms..=10m"));
    assert!(told(&["--instances", "0"]).contains("--instances"));
    assert!(told(&["--steps", "dance"]).contains("possible values"));
    if Allowed::here().descriptors < 100_000 {
        assert!(told(&["--instances", "60000"]).contains("descriptors"));
    }
}

#[test]
fn instances_are_spread_over_places() {
    let all = 1_300;
    let zones: BTreeSet<String> = (0..all).map(zone).collect();
    let regions: BTreeSet<usize> = (0..all).map(region).collect();
    assert_eq!((zones.len(), regions.len()), (ZONES, REGIONS));
    // The instances of a service are in zones of their own.
    assert_eq!(
        (0..PER_SERVICE).map(zone).collect::<BTreeSet<_>>().len(),
        PER_SERVICE
    );
    assert_eq!(Group::Zone.count(all), all / ZONES);
    assert_eq!(Group::Rack.count(all), RACK);
    for group in [
        Group::All,
        Group::Service,
        Group::Zone,
        Group::Region,
        Group::One(7),
    ] {
        let selector = group.selector().expect("labels tell them apart");
        let selected =
            |number: &usize| selector.matches(&format!("shop-{number}"), &traits(*number));
        let chosen: Vec<usize> = (0..all).filter(selected).collect();
        assert_eq!(
            chosen,
            (0..all)
                .filter(|number| group.holds(*number))
                .collect::<Vec<_>>(),
            "{group:?}"
        );
    }
}

#[test]
fn times_are_those_of_the_moments() {
    let moments: Vec<u64> = (1..=200)
        .rev()
        .map(|at| 1_000_000_000 + at * 1_000_000)
        .collect();
    let times = Times::since(1_000_000_000, moments, 201);
    assert_eq!((times.count, times.missing), (200, 1));
    assert_eq!(
        (times.median_ms, times.p99_ms, times.last_ms),
        (100.0, 198.0, 200.0)
    );
    let none = Times::since(5, vec![], 2);
    assert_eq!((none.count, none.missing, none.last_ms), (0, 2, 0.0));
}

#[test]
fn a_record_is_read_as_it_was_written() {
    let record = RunRecord {
        format: 1,
        version: "0".into(),
        build: "b".into(),
        built: "debug".into(),
        agent: "a".into(),
        instances: 3,
        manner: Manner {
            requests: 1,
            limits: 2,
            lists: 3,
        },
        report_ms: 3_000,
        registrations: 100,
        relays: 0,
        allowed: Allowed {
            descriptors: 1,
            memory: 2,
            cores: 3,
        },
        load: 0.5,
        steps: vec![],
    };
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("one.json");
    record.write(&file).expect("written");
    assert_eq!(RunRecord::read(&file).expect("read"), record);
    RunRecord {
        format: 2,
        ..record
    }
    .write(&file)
    .expect("written");
    assert!(
        RunRecord::read(&file)
            .expect_err("another format")
            .contains("format 2")
    );
}
