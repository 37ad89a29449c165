//! Belief of an instance about its own paths to the servers of one service.
//!
//! An instance that loses its paths sees what it would see if the servers had crashed. The outcomes
//! of its connections to several servers tell the two apart: servers crash one by one, while a lost
//! path fails for one server after the other with none reached in between.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use compact_str::CompactString;

/// Time for which the outcome of a connection counts.
const OUTCOME_LIFETIME: Duration = Duration::from_secs(3);
/// Least number of servers that are not reached, with none reached since, if the paths are lost.
const FAILING_MIN: usize = 2;
/// Number of such servers from which on the paths are lost whatever time the failures took.
const FAILING_ENOUGH: usize = 5;
/// Time between the first and the last failure from which on fewer servers are enough. Two servers
/// may crash at once.
const FAILING_TIME: Duration = Duration::from_millis(400);
/// Number of servers that are not reached from which on the paths may count as lost although a few are
/// left.
const FAILING_MANY: usize = 6;
/// Number of servers that are not reached for each one that is, from which on they do.
const FAILING_PER_REACHED: usize = 3;

/// The outcome of the newest connection to one server, with the time at which it was begun.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    Reached(Time),
    /// Not reached, first and last since it was last reached.
    Failed {
        first: Time,
        last: Time,
    },
}

impl Outcome {
    fn at(self) -> Time {
        match self {
            Outcome::Reached(at) | Outcome::Failed { last: at, .. } => at,
        }
    }
}

/// The newest outcomes of connections to the servers of one service.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    outcomes: BTreeMap<CompactString, Outcome>,
}

impl Paths {
    /// Records that a server was not reached by a connection that was begun at a given time.
    pub fn record_failure(&mut self, begun_at: Time, server: &str) {
        let first = match self.outcomes.get(server) {
            Some(Outcome::Failed { first, .. }) => *first,
            _ => begun_at,
        };
        let last = begun_at;
        self.record(begun_at, server, Outcome::Failed { first, last });
    }

    /// Records that a server was reached by a connection that was begun at a given time.
    pub fn record_success(&mut self, begun_at: Time, server: &str) {
        self.record(begun_at, server, Outcome::Reached(begun_at));
    }

    /// Records an outcome, unless that of a connection begun later is known.
    fn record(&mut self, begun_at: Time, server: &str, outcome: Outcome) {
        self.outcomes
            .retain(|_, outcome| begun_at.saturating_sub(outcome.at()) < OUTCOME_LIFETIME);
        let known = self.outcomes.get(server).map(|known| known.at());
        if known.is_none_or(|known| known <= begun_at) {
            self.outcomes.insert(server.into(), outcome);
        }
    }

    /// Returns whether the paths to the service seem to be lost, given how many servers it has.
    pub fn are_lost(&self, now: Time, servers: impl FnOnce() -> usize) -> bool {
        let failures: Vec<(Time, Time)> = self
            .recent(now)
            .filter_map(|(_, outcome)| match outcome {
                Outcome::Failed { first, last } => Some((*first, *last)),
                Outcome::Reached(_) => None,
            })
            .collect();
        let first = failures.iter().map(|(first, _)| *first).min();
        let last = failures.iter().map(|(_, last)| *last).max();
        let (Some(first), Some(last)) = (first, last) else {
            return false;
        };
        let reached = self
            .recent(now)
            .filter(|(_, outcome)| matches!(outcome, Outcome::Reached(at) if *at >= first))
            .count();
        let failing = failures.len();
        if reached == 0 {
            let is_long = last.saturating_sub(first) >= FAILING_TIME;
            let enough = FAILING_ENOUGH.min(servers()).max(FAILING_MIN);
            return failing >= enough || (failing >= FAILING_MIN && is_long);
        }
        failing >= FAILING_MANY && failing >= FAILING_PER_REACHED * reached
    }

    /// Returns the servers that were not reached when last tried.
    pub fn failing(&self, now: Time) -> impl Iterator<Item = &CompactString> {
        self.recent(now)
            .filter(|(_, outcome)| matches!(outcome, Outcome::Failed { .. }))
            .map(|(server, _)| server)
    }

    /// Returns when a server was last tried.
    pub fn tried_at(&self, server: &str) -> Option<Time> {
        self.outcomes.get(server).map(|outcome| outcome.at())
    }

    fn recent(&self, now: Time) -> impl Iterator<Item = (&CompactString, &Outcome)> {
        self.outcomes
            .iter()
            .filter(move |(_, outcome)| now.saturating_sub(outcome.at()) < OUTCOME_LIFETIME)
    }
}
