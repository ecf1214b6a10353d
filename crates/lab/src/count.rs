//! What a whole fleet did together, counted from the logs of its instances.
//!
//! What is harmless from one instance may do harm when all do it at once, and shows in no one's log. This reads the
//! lines that sidecars write at the level `debug` with `--log-format json` (whatever stands before the object on a line is
//! passed over, as platforms put the time there) and adds them up, by steps of time or by server.

use crate::starts::{Heard, Lives, Started};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A line, as far as it is of use.
#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    fields: Fields<'a>,
}

#[derive(Deserialize)]
struct Fields<'a> {
    t: u64,
    #[serde(borrow)]
    what: Cow<'a, str>,
    #[serde(borrow, default)]
    server: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    name: Option<Cow<'a, str>>,
    #[serde(default)]
    started: Option<u64>,
    #[serde(borrow, default)]
    outcome: Option<Cow<'a, str>>,
    #[serde(default)]
    us: Option<u64>,
    #[serde(default)]
    up: Option<bool>,
    #[serde(default)]
    request: u64,
    #[serde(borrow, default)]
    state: Cow<'a, str>,
}

impl Fields<'_> {
    fn heard(&self) -> Heard<'_> {
        Heard {
            t: self.t,
            what: &self.what,
            request: self.request,
            server: self.server.as_deref().unwrap_or_default(),
            state: &self.state,
            started: self.started.unwrap_or(0),
            outcome: self.outcome.as_deref().unwrap_or_default(),
        }
    }
}

/// What happened in one step of time, by all instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Step {
    /// When it began, in microseconds after the first line of any instance.
    pub at: u64,
    /// Requests that came.
    pub requests: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Of these, to servers that had started less than the given time ago.
    pub sent_cold: u64,
    /// Attempts sent to the server that was sent most.
    pub sent_most: u64,
    /// Connections asked for, and of these what did not come up.
    pub opened: u64,
    /// See `opened`.
    pub not_up: u64,
    /// Connections asked of the server that was asked for most.
    pub opened_most: u64,
    /// Servers asked for their load.
    pub probes: u64,
    /// Calls to discovery.
    pub asks: u64,
    /// Refused requests.
    pub refused: u64,
    /// Failed requests.
    pub failed: u64,
    /// Attempts that ended, by their outcome.
    pub ended: BTreeMap<String, u64>,
}

/// What all instances had of one server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OfServer {
    /// Its name, or its id where no list named it.
    pub name: String,
    /// Instances that sent it anything.
    pub senders: u64,
    /// Attempts sent, and connections asked for.
    pub sent: u64,
    /// See `sent`.
    pub opened: u64,
    /// Attempts that ended, by their outcome.
    pub ended: BTreeMap<String, u64>,
    /// Mean time of the attempts that were served, in microseconds.
    pub served_in: u64,
}

/// What was counted.
#[derive(Debug, Default, Serialize)]
pub struct Counted {
    /// Logs that held a line of use.
    pub instances: u64,
    /// Lines that were no object of a log, or held nothing to count.
    pub passed_over: u64,
    /// By time. Steps in which nothing happened are left out.
    pub steps: Vec<Step>,
    /// By server, in the order of their names.
    pub servers: Vec<OfServer>,
    /// By the starts of processes: those that are the first in their logs, and those that follow.
    pub starts: [Started; 2],
}

#[derive(Default)]
struct Told {
    name: Option<String>,
    started: u64,
}

#[derive(Default)]
struct Busy {
    step: Step,
    sent: HashMap<String, u64>,
    opened: HashMap<String, u64>,
}

/// Counts logs, each the text of one instance, by steps of this length; a server is cold for so long after its
/// start. Both in microseconds; a step is one at least.
pub fn count<'a>(logs: impl IntoIterator<Item = &'a str>, step: u64, cold: u64) -> Counted {
    let step = step.max(1);
    let mut counted = Counted::default();
    let (mut busy, mut told) = (BTreeMap::<u64, Busy>::new(), HashMap::<String, Told>::new());
    let (mut servers, mut times) = (
        HashMap::<String, OfServer>::new(),
        HashMap::<String, (u64, u64)>::new(),
    );
    for log in logs {
        let (mut of_use, mut sent_to) = (false, HashSet::<String>::new());
        let mut lives = Lives::default();
        for line in log.lines() {
            let object = line.find('{').map(|at| &line[at..]);
            let Some(line) =
                object.and_then(|object| serde_json::from_str::<Line<'_>>(object).ok())
            else {
                counted.passed_over += 1;
                continue;
            };
            let fields = line.fields;
            of_use = true;
            lives.hear(&fields.heard(), cold, &mut counted.starts);
            let server = fields.server.map(Cow::into_owned).unwrap_or_default();
            let at = busy.entry(fields.t / step).or_default();
            match &*fields.what {
                "listed" => {
                    let told = told.entry(server).or_default();
                    told.name = fields.name.map(Cow::into_owned).or(told.name.take());
                    told.started = fields.started.unwrap_or(0).max(told.started);
                }
                "request" => at.step.requests += 1,
                "send" => {
                    let started = told.get(&server).map_or(0, |told| told.started);
                    at.step.sent += 1;
                    at.step.sent_cold +=
                        u64::from(started > 0 && fields.t < started.saturating_add(cold));
                    let of = servers.entry(server.clone()).or_default();
                    of.sent += 1;
                    of.senders += u64::from(sent_to.insert(server.clone()));
                    *at.sent.entry(server).or_default() += 1;
                }
                "open" => {
                    at.step.opened += 1;
                    at.step.not_up += u64::from(fields.up == Some(false));
                    servers.entry(server.clone()).or_default().opened += 1;
                    *at.opened.entry(server).or_default() += 1;
                }
                "probe" => at.step.probes += 1,
                "ask" => at.step.asks += 1,
                "refuse" => at.step.refused += 1,
                "fail" => at.step.failed += 1,
                "start" => {}
                "ended" => {
                    let outcome = fields.outcome.map(Cow::into_owned).unwrap_or_default();
                    if outcome == "Ok" {
                        let (sum, many) = times.entry(server.clone()).or_default();
                        (*sum, *many) = (sum.saturating_add(fields.us.unwrap_or(0)), *many + 1);
                    }
                    let of = servers.entry(server).or_default();
                    *of.ended.entry(outcome.clone()).or_default() += 1;
                    *at.step.ended.entry(outcome).or_default() += 1;
                }
                _ => counted.passed_over += 1,
            }
        }
        lives.end(&mut counted.starts);
        counted.instances += u64::from(of_use);
    }
    let first = busy.keys().next().copied().unwrap_or(0);
    let most = |counts: &HashMap<String, u64>| counts.values().copied().max().unwrap_or(0);
    counted
        .steps
        .extend(busy.into_iter().map(|(at, busy)| Step {
            at: (at - first) * step,
            sent_most: most(&busy.sent),
            opened_most: most(&busy.opened),
            ..busy.step
        }));
    let quiet = |step: &Step| {
        *step
            == Step {
                at: step.at,
                ..Step::default()
            }
    };
    counted.steps.retain(|step| !quiet(step));
    counted.servers.extend(servers.into_iter().map(|(id, of)| {
        let served_in = times.get(&id).map_or(0, |(sum, many)| sum / (*many).max(1));
        let name = told.remove(&id).and_then(|told| told.name).unwrap_or(id);
        OfServer {
            name,
            served_in,
            ..of
        }
    }));
    counted.servers.sort_by(|a, b| a.name.cmp(&b.name));
    counted
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::starts::AtAge;

    const ONE: &str = r#"0.001 {"fields":{"t":1000000,"what":"listed","server":"a","name":"s-1","state":"Ready","started":900000}}
0.002 {"fields":{"message":"x","t":1050000,"what":"request","class":0}}
{"fields":{"t":1060000,"what":"send","server":"a"}}
{"fields":{"t":1060500,"what":"open","server":"a","up":true}}
{"fields":{"t":1160000,"what":"ended","server":"a","outcome":"Ok","us":100000}}
a sentence, {not an object}
"#;
    const OTHER: &str = r#"{"fields":{"t":1070000,"what":"send","server":"a"}}
{"fields":{"t":1070100,"what":"open","server":"a","up":false}}
{"fields":{"t":1080000,"what":"ended","server":"a","outcome":"ConnectFailed","us":10000}}
{"fields":{"t":1080001,"what":"refuse"}}
{"fields":{"t":9000000,"what":"send","server":"a"}}
{"fields":{"t":9000001,"what":"ask"}}
"#;

    #[test]
    fn what_instances_do_at_one_moment_is_added_up() {
        let counted = count([ONE, OTHER], 100_000, 1_000_000);
        assert_eq!((counted.instances, counted.passed_over), (2, 1));
        let first = &counted.steps[0];
        assert_eq!(
            (
                first.at,
                first.requests,
                first.sent,
                first.sent_cold,
                first.sent_most
            ),
            (0, 1, 2, 2, 2)
        );
        assert_eq!(
            (first.opened, first.not_up, first.opened_most, first.refused),
            (2, 1, 2, 1)
        );
        assert_eq!(
            first.ended,
            BTreeMap::from([("ConnectFailed".to_string(), 1)])
        );
        let last = counted.steps.last().expect("there are steps");
        assert_eq!(
            (last.at, last.sent, last.sent_cold, last.asks),
            (8_000_000, 1, 0, 1)
        );
        assert_eq!(
            counted.steps.len(),
            3,
            "steps in which nothing happened are left out"
        );
    }

    #[test]
    fn requests_are_counted_by_the_age_of_their_process_and_by_why_they_had_no_attempt() {
        let log = r#"{"fields":{"t":1000000,"what":"start"}}
{"fields":{"t":1100000,"what":"request","request":1,"class":0}}
{"fields":{"t":1300000,"what":"refuse","request":1}}
{"fields":{"t":1400000,"what":"request","request":2}}
{"fields":{"t":1400000,"what":"refuse","request":2}}
{"fields":{"t":1500000,"what":"listed","server":"a","name":"s-1","state":"Ready","started":1450000}}
{"fields":{"t":1500000,"what":"request","request":3}}
{"fields":{"t":1600000,"what":"refuse","request":3}}
{"fields":{"t":5000000,"what":"request","request":4}}
{"fields":{"t":5100000,"what":"send","request":4,"server":"a"}}
{"fields":{"t":5200000,"what":"ended","request":4,"server":"a","outcome":"Error","us":1}}
{"fields":{"t":5300000,"what":"refuse","request":4}}
{"fields":{"t":5300000,"what":"request","request":5}}
{"fields":{"t":5400000,"what":"fail","request":5}}
{"fields":{"t":7000000,"what":"start"}}
{"fields":{"t":7000000,"what":"listed","server":"a","state":"Ready","started":1450000}}
{"fields":{"t":7100000,"what":"request","request":1}}
{"fields":{"t":7100000,"what":"send","request":1,"server":"a"}}
{"fields":{"t":7200000,"what":"request","request":2}}
{"fields":{"t":7300000,"what":"ended","request":1,"server":"a","outcome":"Ok","us":200000}}
"#;
        let [first, later] = count([log], 100_000, 1_000_000).starts;
        let young = AtAge {
            requests: 3,
            early: 1,
            no_list: 1,
            all_cold: 1,
            ..AtAge::default()
        };
        let old = AtAge {
            requests: 2,
            sent: 1,
            tried: 1,
            no_server: 1,
            ..AtAge::default()
        };
        assert_eq!((first.lives, first.ages[0], first.ages[3]), (1, young, old));
        assert_eq!(
            (first.list.quantile(1.0), first.attempt.quantile(0.5)),
            (Some(500_000), Some(4_100_000))
        );
        assert_eq!((first.answer.never, first.answer.quantile(0.5)), (1, None));
        assert_eq!((later.lives, later.answer.after), (1, vec![300_000]));
        assert_eq!(
            later.ages[0],
            AtAge {
                requests: 2,
                sent: 1,
                left: 1,
                ..AtAge::default()
            }
        );
    }

    #[test]
    fn a_server_is_counted_over_all_that_send_to_it() {
        let counted = count([ONE, OTHER], 100_000, 1_000_000);
        let [server] = &counted.servers[..] else {
            panic!("one server: {:?}", counted.servers)
        };
        assert_eq!(
            (&*server.name, server.senders, server.sent, server.opened),
            ("s-1", 2, 3, 2)
        );
        assert_eq!(server.served_in, 100_000);
    }
}
