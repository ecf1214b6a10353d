//! The operators' rules, held against what clients got and servers saw.

use crate::clients::{Asked, End};
use crate::servers::SeenById;
use std::time::{Duration, Instant};

/// An answer that begins later than this behind its time is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// An attempt that begins later than this behind its client's close is a break.
const MAX_START_AFTER_CLOSE: Duration = Duration::from_millis(100);

/// What is wrong, a line each.
pub fn judge(asked: &[Asked], seen: &SeenById, terminated_at: Instant) -> Vec<String> {
    asked
        .iter()
        .filter_map(|asked| {
            let wrong = fault_of(asked, seen, terminated_at)?;
            let after_termination = asked.written_at.checked_duration_since(terminated_at);
            Some(format!(
                "{wrong}: {asked:?}, seen {:?}, written {after_termination:?} after SIGTERM",
                seen.get(&asked.id)
            ))
        })
        .collect()
}

fn fault_of(asked: &Asked, seen: &SeenById, terminated_at: Instant) -> Option<&'static str> {
    let seen = seen.get(&asked.id).cloned().unwrap_or_default();
    if asked.non_idempotent && seen.runs > 1 {
        return Some("ran twice");
    }
    match asked.end {
        End::Answered { .. } if asked.lateness() > LOST_AFTER => Some("late"),
        End::Answered { status: 200, .. } if !asked.is_own => Some("another request's answer"),
        End::Answered { status: 200, .. } if seen.runs == 0 => Some("answered and never ran"),
        End::Answered { status: 503, .. } if seen.runs > 0 => Some("refused after it had run"),
        End::Answered {
            status: 503,
            has_retry_after: false,
        } => Some("refused without a Retry-After"),
        End::Answered {
            status: 200 | 502 | 503,
            ..
        } => None,
        End::Answered { .. } => Some("an answer of another status"),
        // Servers of this soak end no answer that they have begun.
        End::BrokenOff => Some("cut off"),
        End::TimedOut => Some("no answer"),
        End::NoAnswer if !seen.attempts.is_empty() => Some("forwarded and not answered"),
        // A request may cross the close of an idle connection once the process ends.
        End::NoAnswer if asked.ended_at < terminated_at => Some("its connection was closed"),
        End::NoAnswer | End::NotWritten => None,
        End::Left { at } => {
            let limit = at + MAX_START_AFTER_CLOSE;
            let is_late = seen.attempts.iter().any(|started_at| *started_at > limit);
            is_late.then_some("an attempt began after its client had left")
        }
    }
}

/// How many requests ended in each way.
pub fn summary(asked: &[Asked]) -> String {
    let count = |is: fn(&End) -> bool| asked.iter().filter(|asked| is(&asked.end)).count();
    let status = |wanted: u16| {
        let is =
            |asked: &&Asked| matches!(asked.end, End::Answered { status, .. } if status == wanted);
        asked.iter().filter(is).count()
    };
    let answered = asked
        .iter()
        .filter(|asked| matches!(asked.end, End::Answered { .. }));
    let most = answered.map(Asked::lateness).max().unwrap_or_default();
    format!(
        "{} requests: {} 200, {} 502, {} 503, {} left, {} without an answer, {} not written; at most {} ms late",
        asked.len(),
        status(200),
        status(502),
        status(503),
        count(|end| matches!(end, End::Left { .. })),
        count(|end| *end == End::NoAnswer),
        count(|end| *end == End::NotWritten),
        most.as_millis()
    )
}
