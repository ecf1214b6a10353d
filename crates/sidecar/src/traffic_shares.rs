//! Whose regions have moved, for the log: at most one line a second, from the module's own state.

use madderloom_balancer::{ServerId, ServerView};
use std::collections::BTreeMap;
use std::fmt::Write;

/// A part that has grown or shrunk by this factor since it was last told of has moved noticeably...
const FACTOR: f64 = 1.5;
/// ...if it has done so by this part of all requests at least.
const LEAST: f64 = 0.02;
/// Servers that one line names: those that moved furthest.
const NAMED: usize = 3;
/// Attempts of late below which a part rests on what was known before.
const FEW: f64 = 0.5;

/// The parts that servers had of the requests when the log last told of them. Holds those that are listed and no others.
#[derive(Default)]
pub(super) struct TrafficShares {
    told: BTreeMap<ServerId, f64>,
}

/// One server's part.
struct Move {
    server: ServerId,
    from: f64,
    to: f64,
    /// Work answered, and the time that all attempts took, in microseconds.
    measured: (f64, f64),
    answers: f64,
}

/// The parts that have moved, the furthest first.
pub(super) struct TrafficShareChanges(Vec<Move>);

impl TrafficShares {
    /// Looks at all servers. A server that is new has not moved: the list tells of it.
    pub(super) fn update(&mut self, servers: &[ServerView]) -> Option<TrafficShareChanges> {
        let mut moved = Vec::new();
        let mut told = BTreeMap::new();
        for view in servers {
            let (server, to) = (view.entry.server, view.traffic_share);
            let from = self.told.get(&server).copied().unwrap_or(to);
            let (less, more) = (from.min(to), from.max(to));
            let noticed = more - less >= LEAST && more >= FACTOR * less;
            if noticed {
                moved.push(Move {
                    server,
                    from,
                    to,
                    measured: view.work_and_time,
                    answers: view.recent_attempts,
                });
            }
            told.insert(server, if noticed { to } else { from });
        }
        self.told = told;
        moved.sort_by(|a, b| (b.to - b.from).abs().total_cmp(&(a.to - a.from).abs()));
        (!moved.is_empty()).then_some(TrafficShareChanges(moved))
    }
}

impl TrafficShareChanges {
    /// In words, with the names that servers have.
    pub(super) fn describe(&self, name: impl Fn(ServerId) -> Box<str>) -> String {
        let mut text = String::new();
        for Move {
            server,
            from,
            to,
            measured: (work, time),
            answers,
        } in self.0.iter().take(NAMED)
        {
            let name = name(*server);
            let separator = if text.is_empty() { "" } else { "; " };
            // A String takes whatever is written to it.
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
            let _ = if *answers < FEW {
                write!(text, "kept for want of answers)")
            } else {
                write!(text, "{answers:.0} answers of late)")
            };
        }
        if let Some(more) = self.0.len().checked_sub(NAMED).filter(|more| *more > 0) {
            let _ = write!(text, "; and {more} more");
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use madderloom_balancer::{ServerEntry, ServerState};

    fn view(server: u64, share: f64, answers: f64) -> ServerView {
        let listed = ServerEntry {
            server: ServerId(server),
            zone: 0,
            cell: 0,
            kind: 0,
            started_at: None,
            capacity: 1.0,
            state: ServerState::Ready,
        };
        ServerView {
            entry: listed,
            traffic_share: share,
            service_rate: 1.0,
            work_and_time: (2e6, 4e6),
            recent_attempts: answers,
            in_flight: 0,
            failure_score: 0,
            ejected_until: None,
            slow_start_factor: 1.0,
            last_response: 0,
            last_probe: None,
        }
    }

    #[test]
    fn what_moved_noticeably_is_told_once_with_its_figures_and_the_rest_is_not() {
        let mut moves = TrafficShares::default();
        let name = |server: ServerId| format!("n{}", server.0).into();
        assert!(
            moves
                .update(&[view(1, 0.5, 9.0), view(2, 0.5, 9.0)])
                .is_none(),
            "they are new"
        );
        assert!(
            moves
                .update(&[view(1, 0.55, 9.0), view(2, 0.45, 9.0)])
                .is_none(),
            "a little"
        );
        let moved = moves
            .update(&[view(1, 0.8, 9.0), view(2, 0.2, 0.1)])
            .expect("they moved");
        assert_eq!(
            moved.describe(name),
            "n1 from 50.0% to 80.0% (work 2.000 s over time 4.000 s, 9 answers of late); \
             n2 from 50.0% to 20.0% (work 2.000 s over time 4.000 s, kept for want of answers)"
        );
        assert!(
            moves
                .update(&[view(1, 0.8, 9.0), view(2, 0.2, 9.0)])
                .is_none(),
            "it was told"
        );
        // Slow moves add up, and what left is forgotten.
        assert!(moves.update(&[view(1, 0.65, 9.0)]).is_none());
        assert!(moves.update(&[view(1, 0.5, 9.0)]).is_some());
        assert_eq!(moves.told.len(), 1);
    }

    #[test]
    fn a_line_names_a_few_and_counts_the_rest() {
        let mut moves = TrafficShares::default();
        let all = |share: f64| (0..10).map(|at| view(at, share, 9.0)).collect::<Vec<_>>();
        assert!(moves.update(&all(0.1)).is_none());
        let text = moves
            .update(&all(0.0))
            .expect("all moved")
            .describe(|server| server.to_string().into());
        assert!(text.ends_with("; and 7 more") && text.len() < 400, "{text}");
    }
}
