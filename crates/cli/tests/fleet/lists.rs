//! Lists that many real sidecars share over an agent, with faults between them, the agent and discovery. What discovery
//! and the servers counted is judged.

use crate::many::Fleet;
use madderloom_fault_testing::{
    DiscoveryBehavior, FakeDiscovery, FaultAction, Link, ListResponse, LoadGenerator,
    RequestResult, Server, Signal, verify_results, wait_until,
};
use std::time::{Duration, Instant};

/// What discovery bears: some 50 calls a second for forty-five, of which a third may wait.
fn manner() -> DiscoveryBehavior {
    DiscoveryBehavior {
        work_per_call: millis(900) / many() as u32,
        max_waiting_calls: many() / 3,
        downtime: Duration::from_secs(1),
        response: ListResponse::List,
    }
}

const ZONES: [&str; 3] = ["north", "south", "east"];
/// So long after its evidence an instance has called discovery at the latest.
const ASK_WITHIN: Duration = millis(5_000);
/// What a busy machine takes for timers and messages.
const SLACK: Duration = millis(1_500);
const AGENT: &str =
    "report = \"500ms\"\nlease = \"5s\"\ngrace = \"5s\"\n[registrations]\nhorizon = \"1s\"\n";
const PASSED_ON: &str = "by way of the agent";

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// `MADDERLOOM_MANY` sidecars, or forty-five; `MADDERLOOM_BINARY` says of which build.
fn many() -> usize {
    std::env::var("MADDERLOOM_MANY")
        .ok()
        .and_then(|many| many.parse().ok())
        .unwrap_or(45)
}

fn site() -> String {
    site_of(many())
}

fn site_of(group_size: usize) -> String {
    let site = serde_json::json!({
        "areas": ["a"], "kinds": ["m1"], "group_size": group_size, "my_zone": 0, "period": 5000,
        "discovery": "subscribe",
        "services": [{"name": "submit", "effect": "unsafe", "key_scope": "all", "window": 4000000,
            "on_time": 2000000, "give_up": 6000000, "worth": 10.0}],
        "limits": {"cancel": true, "max_attempts": 6, "retry_after": true, "max_retry_after": 1500000,
            "probes": false},
        "safety": {"ask_within": ASK_WITHIN.as_micros() as u64, "cold": 1000000, "cold_from": 0.3, "fall": 1000000}});
    site.to_string()
}

struct Shared {
    fleet: Fleet,
    lists: FakeDiscovery,
    began: Instant,
}

impl Shared {
    /// Many sidecars that start as fast as they can be and know one server of three; discovery knows all. With
    /// `MADDERLOOM_UNSHARED` they share nothing, to see what that costs.
    fn start(cut: &[&str]) -> Self {
        let servers: Vec<Server> = (0..3)
            .map(|n| Server::with_service_time(&format!("w{n}"), millis(5)))
            .collect();
        let lists = FakeDiscovery::new(manner(), &servers.iter().collect::<Vec<_>>());
        let known = format!(
            "servers = [{{ name = \"w0\", address = \"{}\" }}]",
            servers[0].address
        );
        let mut fleet = Fleet::found(AGENT, servers, &site());
        for zone in ZONES {
            let link = Link::new(lists.address);
            if cut.contains(&zone) {
                link.cut_both();
            }
            fleet.stage.links.insert(format!("{zone}>lists"), link);
        }
        let unshared = std::env::var_os("MADDERLOOM_UNSHARED").is_some();
        let own = if unshared {
            ""
        } else {
            "share_lists = \"fleet\"\n"
        };
        let began = Instant::now();
        for number in 0..many() {
            let zone = ZONES[number % ZONES.len()];
            let discovery = fleet.stage.links[&format!("{zone}>lists")].address();
            let pool = format!("discovery = \"{discovery}\"\n{known}");
            fleet.begin(
                &format!("{zone}-{number}"),
                &format!("shop-{number}"),
                own,
                &pool,
            );
        }
        let shared = Shared {
            fleet,
            lists,
            began,
        };
        shared.wait("front: listening on ", "");
        shared
    }

    /// Waits until each sidecar whose name begins so has logged this since it was last started.
    fn wait(&self, text: &str, names: &str) {
        for name in self
            .fleet
            .fronts
            .keys()
            .filter(|name| name.starts_with(names))
        {
            self.fleet.stage.program(name).wait_for(text);
        }
    }

    /// Waits until all have the list, from discovery or by way of the agent, and says how long that took from then on.
    fn all_have_it(&self, since: Instant) -> Duration {
        self.wait("of its list, ", "");
        since.elapsed()
    }

    /// A client at each of these, which keeps its connection.
    fn load(&self, zones: &[&str]) -> LoadGenerator {
        let at = self
            .fleet
            .fronts
            .iter()
            .filter(|(name, _)| zones.iter().any(|zone| name.starts_with(zone)));
        LoadGenerator::start(&at.map(|(_, front)| *front).collect::<Vec<_>>(), millis(50))
    }

    /// What the sidecars and the agent logged of calls to discovery, and of the agent's link and lists.
    fn lines_on_calls(&self) -> Vec<String> {
        let stage = &self.fleet.stage;
        let names = self.fleet.fronts.keys().map(String::as_str);
        let line_is_telling = |line: &String| {
            ["discovery", "list", "control"]
                .iter()
                .any(|word| line.contains(word))
        };
        names
            .chain(["agent"])
            .flat_map(|name| {
                let lines = stage.program(name).log().into_iter();
                let telling = lines.filter(line_is_telling);
                telling.map(move |line| format!("{name}: {line}"))
            })
            .collect()
    }

    /// Does this to the processes of these zones.
    fn act_on(&mut self, zones: &[&str], act: FaultAction) {
        for name in self
            .fleet
            .fronts
            .keys()
            .filter(|name| zones.iter().any(|zone| name.starts_with(zone)))
        {
            self.fleet.stage.apply(name, act);
        }
    }

    fn publish(&self, index: u64, draining: &[&str]) -> Instant {
        self.lists.publish(
            index,
            &self.fleet.rig.servers.iter().collect::<Vec<_>>(),
            draining,
        );
        Instant::now()
    }

    fn judge(&self, got: &[RequestResult], killed: bool) {
        let served = verify_results(got, &self.fleet.rig.servers, killed);
        eprintln!("{served} of {} served", got.len());
        let least = if killed { 0.5 } else { 0.97 };
        assert!(
            got.len() > many() && served as f64 > least * got.len() as f64,
            "{served} of {}",
            got.len()
        );
    }

    /// What came to a server from then on.
    fn came(&self, server: usize, from: Instant) -> usize {
        madderloom_fault_testing::Arrivals::of_servers([&self.fleet.rig.servers[server]])
            .since(from)
            .len()
    }
}

/// A third can't reach discovery and never calls; the first that are answered tell all. Then a drain reaches all, seven in
/// ten die and come back, and the agent comes back without knowing anything.
#[test]
fn a_few_calls_serve_all_also_those_that_discovery_does_not_reach() {
    let mut shared = Shared::start(&["south"]);
    let load = shared.load(&ZONES);
    let took = shared.all_have_it(shared.began);
    let calls = shared.lists.calls().len();
    eprintln!(
        "{calls} calls for {} sidecars, all have the list after {took:.1?}",
        many()
    );
    assert!(
        calls <= many() / 3,
        "{calls} calls: {:#?}",
        shared.lines_on_calls()
    );
    shared.wait(PASSED_ON, "south");
    let drained = shared.publish(3, &["w2"]);
    std::thread::sleep(millis(1_500));
    let late = drained + millis(1_000);
    assert_eq!(shared.came(2, late), 0, "it drains, and all were told");
    shared.judge(&load.stop(), false);

    // North watches still: whoever comes back is told by the fleet.
    let load = shared.load(&ZONES);
    shared.act_on(&["south", "east"], FaultAction::Kill);
    let before = shared.lists.calls().len();
    shared.act_on(&["south", "east"], FaultAction::Start);
    let again = Instant::now();
    shared.wait(PASSED_ON, "south");
    let took = again.elapsed();
    std::thread::sleep(millis(1_000));
    let calls = shared.lists.calls().len() - before;
    eprintln!("{calls} calls for two thirds that come back, south has the list after {took:.1?}");
    assert!(
        calls <= many() / 6,
        "{calls} calls: {:#?}",
        shared.lines_on_calls()
    );
    assert_eq!(
        shared.came(2, again + SLACK),
        0,
        "nobody forgets that it drains"
    );

    shared.fleet.stage.apply("agent", FaultAction::Kill);
    shared
        .fleet
        .stage
        .apply("agent", FaultAction::StartWithoutState);
    shared
        .fleet
        .stage
        .program("agent")
        .wait_for("endpoint list updated list=fleet/shop version=3 ");
    shared.judge(&load.stop(), true);
}

/// All links to the agent are cut at once: whoever can calls discovery, in the time that the settings name and not all at
/// once; who can't goes on with what it has.
#[test]
fn cut_off_from_the_fleet_each_calls_discovery_in_time() {
    let mut shared = Shared::start(&[]);
    let load = shared.load(&ZONES);
    shared.all_have_it(shared.began);
    let watching = shared.lists.notified_watches();
    assert!(watching <= many() / 2, "{watching} watch");
    // The evidence of all is as young as it gets.
    std::thread::sleep(millis(1_200));
    let cut = Instant::now();
    shared
        .fleet
        .stage
        .links
        .iter()
        .filter(|(name, _)| name.ends_with(">agent"))
        .for_each(|(_, link)| link.cut_both());
    shared.publish(3, &["w2"]);
    let due = ASK_WITHIN + SLACK;
    std::thread::sleep(due.saturating_sub(cut.elapsed()));
    assert_eq!(
        shared.lists.notified_watches(),
        many(),
        "all have called, and watch"
    );
    std::thread::sleep(millis(500));
    assert_eq!(
        shared.came(2, cut + due),
        0,
        "none goes by a list that is older than it may be"
    );
    let calls = shared.lists.calls().since(cut);
    // They are spread over three tenths of the time.
    let over = calls.rate_excess(
        many() as f64 / (0.3 * ASK_WITHIN.as_secs_f64()),
        3.0 * (many() as f64).sqrt(),
        millis(150),
    );
    eprintln!(
        "{} calls after the cut, {over:.1} over; died {} times",
        calls.len(),
        shared.lists.crashes().len()
    );
    assert!(over <= 0.0, "{over} calls over the ceiling of some window");
    assert_eq!(shared.lists.crashes().len(), 0);

    // The fleet is whole again: a few go on watching, and tell the others.
    shared.fleet.stage.heal();
    wait_until("a few watch", || {
        (shared.lists.notified_watches() <= 8).then_some(())
    });
    let drained = shared.publish(4, &["w1", "w2"]);
    std::thread::sleep(millis(1_500));
    assert_eq!(
        shared.came(1, drained + millis(1_000)),
        0,
        "it drains, and all were told"
    );
    assert!(
        (1..=8).contains(&shared.lists.notified_watches()),
        "{} watch",
        shared.lists.notified_watches()
    );
    wait_until("top has a row of it, with nobody behind", || {
        let top = shared.fleet.rig.told("vic", &["top", "--once"], 0);
        let row = top.lines().find(|line| line.contains("fleet/shop"))?;
        let row: Vec<&str> = row.split_whitespace().collect();
        (row.get(1) == Some(&"4") && row.last() == Some(&"0")).then_some(())
    });

    // The agent stands still while lists change, and what it said to a third before is held and comes behind newer words.
    let held = |name: &str| name.starts_with("south") && name.ends_with(">agent");
    let old = shared
        .fleet
        .stage
        .links
        .keys()
        .filter(|name| held(name))
        .cloned()
        .collect::<Vec<_>>();
    old.iter()
        .for_each(|link| shared.fleet.stage.apply(link, FaultAction::HoldExisting));
    shared.publish(5, &["w2"]);
    std::thread::sleep(millis(500));
    shared.fleet.stage.apply("agent", FaultAction::Stop);
    shared.publish(6, &["w0", "w2"]);
    std::thread::sleep(millis(1_500));
    shared.fleet.stage.apply("agent", FaultAction::Continue);
    std::thread::sleep(SLACK);
    old.iter()
        .for_each(|link| shared.fleet.stage.apply(link, FaultAction::Release));
    let late = Instant::now() + millis(1_000);
    std::thread::sleep(millis(2_500));
    assert_eq!(
        (shared.came(0, late), shared.came(2, late)),
        (0, 0),
        "an older list undoes nothing"
    );
    assert!(shared.came(1, late) > 0, "it serves again");
    shared.judge(&load.stop(), false);
}

/// Instances that call for the fleet while discovery rejects all calls, until the agent dies. A call of an instance's own that was
/// due while one for the fleet was open was dropped, and no other one followed: the instance kept its old list after discovery had recovered (review/7).
#[test]
fn an_instance_that_called_for_the_fleet_calls_again_when_the_agent_has_died() {
    const INSTANCES: usize = 12;
    const REJECTED_AFTER: Duration = millis(900);
    let servers = vec![Server::with_service_time("w0", millis(5))];
    let behavior = DiscoveryBehavior {
        work_per_call: millis(1),
        max_waiting_calls: 10_000,
        ..manner()
    };
    let lists = FakeDiscovery::new(behavior, &servers.iter().collect::<Vec<_>>());
    let pool = format!(
        "discovery = \"{}\"\nservers = [{{ name = \"w0\", address = \"{}\" }}]",
        lists.address, servers[0].address
    );
    let mut fleet = Fleet::found(AGENT, servers, &site_of(4));
    for number in 0..INSTANCES {
        // The agent has each of them call for its own list.
        let own = format!("share_lists = \"list-{number}\"\n");
        fleet.begin(
            &format!("north-{number}"),
            &format!("shop-{number}"),
            &own,
            &pool,
        );
    }
    wait_until("all watch", || {
        (lists.notified_watches() == INSTANCES).then_some(())
    });
    lists.reject_calls(REJECTED_AFTER);
    std::thread::sleep(millis(20_000));
    fleet.stage.apply("agent", FaultAction::Kill);
    std::thread::sleep(REJECTED_AFTER);
    lists.accept_calls();
    std::thread::sleep(ASK_WITHIN + SLACK);
    assert_eq!(
        lists.notified_watches(),
        INSTANCES,
        "all have called discovery again, and watch"
    );
}

/// An instance that was told of a drain began to share its list, took the fleet's older one over, and sent to the draining server again.
#[test]
fn an_instance_that_begins_to_share_its_list_takes_no_older_one_over() {
    const OLDER: u64 = 41;
    let servers: Vec<Server> = (0..2)
        .map(|n| Server::with_service_time(&format!("w{n}"), millis(5)))
        .collect();
    let all: Vec<&Server> = servers.iter().collect();
    // Two replicas of discovery, of which the second lags behind.
    let behaviors = [manner(), manner()];
    let [newer, older] = behaviors.map(|behavior| FakeDiscovery::new(behavior, &all));
    newer.publish(OLDER + 1, &all, &["w1"]);
    older.publish(OLDER, &all, &[]);
    let pool = |discovery: &FakeDiscovery| format!("discovery = \"{}\"\n", discovery.address);
    let mut fleet = Fleet::found(AGENT, servers, &site_of(2));
    let shares = "share_lists = \"fleet\"\n";
    fleet.add("south-1", "shop-1", shares, &pool(&older));
    fleet
        .stage
        .program("south-1")
        .wait_for("discovery answered");
    fleet.add("north-0", "shop-0", "", &pool(&newer));
    let program = fleet.stage.program("north-0");
    program.wait_for("discovery answered");
    let told = Instant::now();
    let file = fleet.rig.at("north-0.toml");
    let text = std::fs::read_to_string(&file).expect("it is there");
    let begins_to_share = text.replace("\n\n[[listeners]]", &format!("\n{shares}[[listeners]]"));
    assert_ne!(text, begins_to_share);
    std::fs::write(&file, begins_to_share).expect("written");
    program.signal(Signal::HUP);
    program.wait_for("read again");
    let load = LoadGenerator::start(&[fleet.fronts["north-0"]], millis(20));
    std::thread::sleep(millis(4_000));
    load.stop();
    let drained = madderloom_fault_testing::Arrivals::of_servers([&fleet.rig.servers[1]]);
    assert_eq!(
        drained.since(told).len(),
        0,
        "requests to the draining server"
    );
    let has_taken_over = |name: &str| {
        let lines = fleet.stage.program(name).log();
        lines.iter().any(|line| line.contains(PASSED_ON))
    };
    assert!(!has_taken_over("north-0"), "it took the older list over");
    assert!(has_taken_over("south-1"), "the fleet has the newer list");
}
