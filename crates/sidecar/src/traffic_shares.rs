//! Finds servers whose share of the requests has changed noticeably, for at most one log line a second.

use madderloom_balancer::{ServerId, ServerView};
use std::collections::BTreeMap;
use std::fmt::Write;

/// A share has changed noticeably if it has grown or shrunk by this factor since it was last logged, and by at least
/// `MIN_DIFFERENCE`.
const MIN_FACTOR: f64 = 1.5;
/// As a part of all requests.
const MIN_DIFFERENCE: f64 = 0.02;
/// The most servers that one line names: those with the largest changes.
const MAX_NAMED_SERVERS: usize = 3;
/// Below this many recent attempts a share rests on earlier measurements.
const MIN_RECENT_ATTEMPTS: f64 = 0.5;

/// The share of the requests that each listed server had when it was last logged.
#[derive(Default)]
pub(super) struct TrafficShares {
    logged: BTreeMap<ServerId, f64>,
}

/// One server's change of share.
struct ShareChange {
    server: ServerId,
    from: f64,
    to: f64,
    /// The work completed and the total time of all attempts, in microseconds.
    work_and_time: (f64, f64),
    recent_attempts: f64,
}

/// The noticeable changes, the largest first.
pub(super) struct TrafficShareChanges(Vec<ShareChange>);

impl TrafficShares {
    /// Compares the shares of all servers with those last logged. A new server has no change: the list update logs it.
    pub(super) fn update(&mut self, servers: &[ServerView]) -> Option<TrafficShareChanges> {
        let mut changes = Vec::new();
        let mut logged = BTreeMap::new();
        for view in servers {
            let (server, to) = (view.entry.server, view.traffic_share);
            let from = self.logged.get(&server).copied().unwrap_or(to);
            let (smaller, larger) = (from.min(to), from.max(to));
            let is_noticeable =
                larger - smaller >= MIN_DIFFERENCE && larger >= MIN_FACTOR * smaller;
            if is_noticeable {
                changes.push(ShareChange {
                    server,
                    from,
                    to,
                    work_and_time: view.work_and_time,
                    recent_attempts: view.recent_attempts,
                });
            }
            logged.insert(server, if is_noticeable { to } else { from });
        }
        self.logged = logged;
        changes.sort_by(|a, b| (b.to - b.from).abs().total_cmp(&(a.to - a.from).abs()));
        (!changes.is_empty()).then_some(TrafficShareChanges(changes))
    }
}

impl TrafficShareChanges {
    /// The text for the log. `server_name` gives the name of a server.
    pub(super) fn describe(&self, server_name: impl Fn(ServerId) -> Box<str>) -> String {
        let mut text = String::new();
        for ShareChange {
            server,
            from,
            to,
            work_and_time: (work, time),
            recent_attempts,
        } in self.0.iter().take(MAX_NAMED_SERVERS)
        {
            let name = server_name(*server);
            let separator = if text.is_empty() { "" } else { "; " };
            // Writing to a String cannot fail.
            let _ = write!(
                text,
                "{separator}{name} from {:.1}% to {:.1}%",
                100.0 * from,
                100.0 * to
            );
            let _ = write!(
                text,
                " (work {:.3} s over time {:.3} s, ",
                work / 1e6,
                time / 1e6
            );
            let _ = if *recent_attempts < MIN_RECENT_ATTEMPTS {
                write!(text, "kept for lack of recent attempts)")
            } else {
                write!(text, "{recent_attempts:.0} recent attempts)")
            };
        }
        if let Some(more) = self
            .0
            .len()
            .checked_sub(MAX_NAMED_SERVERS)
            .filter(|more| *more > 0)
        {
            let _ = write!(text, "; and {more} more");
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use madderloom_balancer::{ServerEntry, ServerState};

    fn view(server: u64, traffic_share: f64, recent_attempts: f64) -> ServerView {
        let entry = ServerEntry {
            server: ServerId(server),
            zone: 0,
            cell: 0,
            kind: 0,
            started_at: None,
            capacity: 1.0,
            state: ServerState::Ready,
        };
        ServerView {
            entry,
            traffic_share,
            service_rate: 1.0,
            work_and_time: (2e6, 4e6),
            recent_attempts,
            in_flight: 0,
            failure_score: 0,
            ejected_until: None,
            slow_start_factor: 1.0,
            last_response: 0,
            last_probe: None,
        }
    }

    #[test]
    fn a_noticeable_change_is_logged_once_with_its_figures_and_a_small_one_is_not() {
        let mut shares = TrafficShares::default();
        let name = |server: ServerId| format!("n{}", server.0).into();
        assert!(
            shares
                .update(&[view(1, 0.5, 9.0), view(2, 0.5, 9.0)])
                .is_none(),
            "both are new"
        );
        assert!(
            shares
                .update(&[view(1, 0.55, 9.0), view(2, 0.45, 9.0)])
                .is_none(),
            "the change is small"
        );
        let changes = shares
            .update(&[view(1, 0.8, 9.0), view(2, 0.2, 0.1)])
            .expect("both changed");
        assert_eq!(
            changes.describe(name),
            "n1 from 50.0% to 80.0% (work 2.000 s over time 4.000 s, 9 recent attempts); \
             n2 from 50.0% to 20.0% (work 2.000 s over time 4.000 s, kept for lack of recent attempts)"
        );
        assert!(
            shares
                .update(&[view(1, 0.8, 9.0), view(2, 0.2, 9.0)])
                .is_none(),
            "it was logged"
        );
        // Small changes add up, and a server that has left is removed.
        assert!(shares.update(&[view(1, 0.65, 9.0)]).is_none());
        assert!(shares.update(&[view(1, 0.5, 9.0)]).is_some());
        assert_eq!(shares.logged.len(), 1);
    }

    #[test]
    fn the_text_names_a_few_servers_and_counts_the_rest() {
        let mut shares = TrafficShares::default();
        let all = |share: f64| {
            (0..10)
                .map(|server| view(server, share, 9.0))
                .collect::<Vec<_>>()
        };
        assert!(shares.update(&all(0.1)).is_none());
        let text = shares
            .update(&all(0.0))
            .expect("all changed")
            .describe(|server| server.to_string().into());
        assert!(text.ends_with("; and 7 more") && text.len() < 400, "{text}");
    }
}
