//! Rivals of the decision module, each written from its published description, behind the same events and actions.
//!
//! All but `madderloom` sit in one [`chassis`], which deals alike for all of them with the list of servers, retries,
//! deadlines and the safety rules, so that what differs between two arms is the choice of the server alone.

pub mod chassis;
pub mod envoy;
pub mod figures;
pub mod least_of_two;
pub mod peak_ewma;
pub mod prequal;
pub mod random;
pub mod round_robin;
pub mod sighted;

use crate::experiment::Arm;
use crate::policy::{Maker, Policy, Start, Truth};
use crate::world::ASK_WITHIN;
use chassis::{Chassis, Choice, Stakes};
use figures::Figures;
use madderloom_balancer::{Balancer, Settings};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Every policy by name, with what it is in a line.
pub const KNOWN: &[(&str, &str)] = &[
    (
        "madderloom",
        "our decision module: adaptive distribution on a tunable unit interval (Wu and Burns)",
    ),
    (
        "random",
        "any server, each as likely (the paper's randomized protocol)",
    ),
    (
        "weighted_random",
        "any server, each as likely as its listed capacity is large",
    ),
    ("round_robin", "one server after another (gRPC)"),
    (
        "least_of_two",
        "of two drawn, the one with fewer own requests out (Mitzenmacher)",
    ),
    (
        "peak_ewma",
        "of two drawn, the one with less peak EWMA of latency times own requests out (Finagle, tower)",
    ),
    ("envoy", "weighted least request (Envoy)"),
    ("envoy_outlier", "`envoy` behind Envoy's outlier detection"),
    (
        "prequal",
        "the hot-cold rule over a pool of probes (Prequal, NSDI 2024); random where probes are not allowed",
    ),
    (
        "centralized",
        "sees all queues: the least expected time (the paper's centralized protocol)",
    ),
    (
        "oracle",
        "sees the true state of every server, also what fails, drains or is down: the least expected time",
    ),
];

/// Makes the policy of an arm, for one instance.
///
/// `with` holds the arm's figures; `truth` is given by the driver that can see the servers' true state, and only the
/// policies that need it look at it.
///
/// # Errors
/// In one line: a policy that is not known, a figure that it does not take or that is out of its bounds, settings that
/// make no sense, or a policy that needs the truth where there is none. Known names are listed.
pub fn make(
    policy: &str,
    with: &BTreeMap<String, f64>,
    mut settings: Settings,
    seed: u64,
    truth: Option<Rc<dyn Truth>>,
) -> Result<Box<dyn Policy>, String> {
    settings.validate().map_err(|e| e.to_string())?;
    let mut figures = Figures::new(policy, with);
    restrict(&mut figures, &mut settings);
    if policy == "madderloom" {
        figures.end()?;
        return Ok(Box::new(
            Balancer::new(settings, seed).map_err(|e| e.to_string())?,
        ));
    }
    let stakes = Stakes::read(&mut figures);
    // The chassis and the choice draw from streams of their own.
    let own = !seed;
    let choice: Box<dyn Choice> = match policy {
        "random" => Box::new(random::Random::new(own)),
        "weighted_random" => Box::new(random::WeightedRandom::new(own)),
        "round_robin" => Box::new(round_robin::RoundRobin::new(own)),
        "least_of_two" => Box::new(least_of_two::LeastOfTwo::new(&mut figures, own)),
        "peak_ewma" => Box::new(peak_ewma::PeakEwma::new(&mut figures, own)),
        "envoy" => Box::new(envoy::LeastRequest::new(&mut figures, own)),
        "envoy_outlier" => {
            let inner = Box::new(envoy::LeastRequest::new(&mut figures, own));
            Box::new(envoy::Outliers::new(&mut figures, inner))
        }
        "prequal" => Box::new(prequal::Prequal::new(&mut figures, own)),
        "centralized" | "oracle" => {
            let blind = || {
                format!(
                    "policy `{policy}` needs the true state, which only the virtual driver gives"
                )
            };
            let truth = truth.ok_or_else(blind)?;
            Box::new(match policy {
                "oracle" => sighted::Sighted::oracle(&mut figures, truth, &settings, own),
                _ => sighted::Sighted::centralized(truth, &settings, own),
            })
        }
        _ => {
            let names: Vec<_> = KNOWN.iter().map(|(name, _)| *name).collect();
            return Err(format!(
                "there is no policy `{policy}`; known are {}",
                names.join(", ")
            ));
        }
    };
    figures.end()?;
    Ok(Box::new(Chassis::new(settings, stakes, choice, seed)))
}

/// The maker of an arm's instances, for a driver.
pub fn maker(arm: &Arm) -> impl Maker + use<> {
    let (policy, with) = (arm.policy.clone(), arm.with.clone());
    move |start: Start| make(&policy, &with, start.settings, start.seed, start.truth)
}

/// Whether [`make`] would make this arm, given sound settings and the truth.
///
/// # Errors
/// As [`make`].
pub fn check(policy: &str, with: &BTreeMap<String, f64>) -> Result<(), String> {
    struct Nothing;
    impl Truth for Nothing {
        fn server(&self, _: madderloom_balancer::ServerId) -> Option<crate::policy::ServerTruth> {
            None
        }
    }
    make(policy, with, sound(), 0, Some(Rc::new(Nothing))).map(drop)
}

/// The settings of a site as an arm narrows them that has no figures but such.
///
/// # Errors
/// In one line, a figure that is another or out of its bounds.
pub fn restricted(arm: &Arm, mut settings: Settings) -> Result<Settings, String> {
    let mut figures = Figures::new(&arm.policy, &arm.with);
    restrict(&mut figures, &mut settings);
    figures.end()?;
    Ok(settings)
}

/// Figures that any policy takes: they narrow what the site allows, and never widen it.
fn restrict(figures: &mut Figures<'_>, settings: &mut Settings) {
    let most = f64::from(settings.limits.max_attempts);
    settings.limits.max_attempts = figures.take("max_attempts", most, 1.0..=1e6).min(most) as u32;
    settings.limits.probes &= figures.take("probes", 1.0, 0.0..=1.0) > 0.0;
    settings.limits.cancel &= figures.take("cancel", 1.0, 0.0..=1.0) > 0.0;
}

/// Settings of some sound site.
fn sound() -> Settings {
    use madderloom_balancer::{Class, Limits, Prices, RetrySafety, SafetyRules};
    Settings {
        group_size: 1,
        zone: 0,
        tick: 1_000,
        classes: vec![Class {
            latency_objective: 1_000_000,
            latency_objective_stretch: 0.0,
            deadline: 1_000_000,
            retry_safety: RetrySafety::Idempotent,
            priority_weight: 1.0,
            late_weight_share: 0.0,
        }],
        tenants: Vec::new(),
        discovery_on_request: true,
        limits: Limits {
            cancel: true,
            probes: true,
            retry_after: true,
            max_retry_after: 0,
            max_attempts: 1,
        },
        rules: SafetyRules {
            slow_start_min_share: 1.0,
            slow_start_window: 0,
            overload_window: 0,
            max_poll_interval: ASK_WITHIN,
            drain_grace: 0,
        },
        prices: Prices::default(),
        weight_per_work: false,
    }
}
