//! How long answers take, as observed.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use conf::Service;
use wire::Name;

use crate::instance::Instance;
use crate::job::Job;
use crate::job::Running;

/// Number of answers of a route that are kept.
const ANSWERS_MAX: usize = 32;
/// Time of a call to a route for which no answer has been observed.
const DEFAULT_CALL_TIME: Duration = Duration::from_millis(1_000);
/// Time per output token of such a route, on a loaded engine.
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(9);
/// Time to the first token of such a route.
const DEFAULT_FIRST_TOKEN_TIME: Duration = Duration::from_millis(500);

/// The estimated time of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Estimate {
    /// The time of a call of a plain service.
    Call(Duration),
    /// The time of a generation.
    Generation(Duration),
}

/// One answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Answer {
    /// Time from dispatch to the first token; of a call, to the end.
    first: Duration,
    /// Time per token after the first.
    per_token: Duration,
}

/// The last answers of each route.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    routes: BTreeMap<Name, VecDeque<Answer>>,
}

impl Durations {
    /// Records an answer of some tokens, which took `total` from dispatch to the end.
    pub fn record(&mut self, route: &Name, first: Option<Duration>, total: Duration, tokens: u32) {
        let first = first.unwrap_or(total);
        let answer = Answer {
            first,
            per_token: total.saturating_sub(first) / tokens.saturating_sub(1).max(1),
        };
        let answers = self.routes.entry(route.clone()).or_default();
        if answers.len() >= ANSWERS_MAX {
            answers.pop_front();
        }
        answers.push_back(answer);
    }

    /// Returns the longest time to the first token, or of a call, among the last answers of a route.
    fn first(&self, route: &Name) -> Option<Duration> {
        let answers = self.routes.get(route)?;
        answers.iter().map(|answer| answer.first).max()
    }

    /// Returns the longest time per token among the last answers of a route.
    fn per_token(&self, route: &Name) -> Option<Duration> {
        let answers = self.routes.get(route)?;
        answers.iter().map(|answer| answer.per_token).max()
    }

    /// Returns the estimated time of a call.
    pub fn call(&self, route: &Name) -> Duration {
        self.first(route).unwrap_or(DEFAULT_CALL_TIME)
    }

    /// Returns the estimated time of a generation.
    pub fn generation(&self, route: &Name, tokens: u32) -> Duration {
        let first = self.first(route).unwrap_or(DEFAULT_FIRST_TOKEN_TIME);
        first + self.per_token(route).unwrap_or(DEFAULT_TOKEN_TIME) * tokens
    }
}

impl Instance {
    /// Returns the estimated time of a new attempt of a job.
    pub(crate) fn estimated_time(&self, job: &Job) -> Estimate {
        let route = &job.request.route;
        let pool = self.config().pools.get(&job.route.pool);
        if pool.is_none_or(|pool| pool.service == Service::Plain) {
            return Estimate::Call(self.durations.call(route));
        }
        let tokens = self.expected_tokens(job);
        Estimate::Generation(self.durations.generation(route, tokens))
    }

    /// Records how long an attempt took that has delivered a whole answer.
    pub(crate) fn record_duration(&mut self, route: &Name, running: &Running, tokens: u32) {
        // A resumed generation did only a part of its work in this attempt.
        if running.resumed {
            return;
        }
        let total = self.now.saturating_sub(running.dispatched_at);
        self.durations
            .record(route, running.first_token, total, tokens);
    }
}
