//! The part that this instance has of the retry budgets, and what is paid from it.
//!
//! A retry is an attempt of a request of which an earlier attempt may have reached a server. It is paid
//! for before a place is looked for, and given back if it is not sent.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use route::retry::Budget;
use route::retry::Limits;
use route::retry::Part;
use route::retry::Weight;
use wire::Name;
use wire::RequestId;
use wire::gossip::State;

use crate::instance::Instance;

/// Time between two counts of the instances that have a part.
const COUNT_PERIOD: Duration = Duration::from_secs(1);
/// Time for which an instance keeps its part after it was last known to run. One that is cut off may run
/// and spend its part all the while.
const PART_RETENTION: Duration = Duration::from_secs(3_600);

/// The retry budgets of all pools at this instance.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    limits: Limits,
    part: Part,
    pools: BTreeMap<Name, Budget>,
    /// When each instance that has a part was last known to run, by name. A process that is started
    /// again has the name and the part of the one before.
    holders: BTreeMap<Name, Time>,
    next_count: Time,
    /// When new budgets are filled.
    opens_at: Time,
}

impl RetryBudgets {
    /// Returns the budgets of a process that starts at time zero. `is_first_start` tells that no process
    /// has run before.
    pub(crate) fn new(limits: Limits, is_first_start: bool) -> RetryBudgets {
        let opens_at = match is_first_start {
            true => Time::ZERO,
            false => limits.window,
        };
        RetryBudgets {
            limits,
            part: limits.part(1),
            pools: BTreeMap::new(),
            holders: BTreeMap::new(),
            next_count: Time::ZERO,
            opens_at,
        }
    }

    fn pool(&mut self, pool: &Name) -> (&mut Budget, &Part) {
        let opens_at = self.opens_at;
        let budget = self
            .pools
            .entry(pool.clone())
            .or_insert_with(|| Budget::new(opens_at));
        (budget, &self.part)
    }
}

impl Instance {
    /// Applies changed limits of the retry budgets.
    pub(crate) fn on_retry_limits(&mut self, limits: Limits) {
        self.retry_budgets.limits = limits;
        self.count_part_holders();
    }

    /// Adds a new request to the budget of its pool.
    pub(crate) fn earn_retries(&mut self, pool: &Name) {
        if self.now >= self.retry_budgets.next_count {
            self.count_part_holders();
        }
        let now = self.now;
        let (budget, part) = self.retry_budgets.pool(pool);
        budget.earn(now, part);
    }

    /// Pays for the next attempt of a job if it is a retry. Returns false if the budget has none left.
    pub(crate) fn pay_for_retry(&mut self, id: RequestId, weight: Weight) -> bool {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        if job.is_next_attempt_paid() {
            return true;
        }
        let (budget, part) = self.retry_budgets.pool(&job.route.pool);
        let is_paid = budget.spend(now, part, weight);
        let left = budget.left();
        if is_paid {
            job.retry_paid = true;
        } else {
            let text = format!(
                "Request {id}: the retry budget of pool {} is spent, {left:.2} left of {:.2} here.",
                job.route.pool, part.slack
            );
            self.log("retry", true, text);
        }
        is_paid
    }

    /// Gives back what a job has paid for an attempt that was not sent.
    pub(crate) fn refund_retry(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if std::mem::take(&mut job.retry_paid) {
            let (budget, part) = self.retry_budgets.pool(&job.route.pool);
            budget.refund(part);
        }
    }

    /// Counts the instances that have a part of the budgets: those that are listed or known to run, now
    /// or lately.
    fn count_part_holders(&mut self) {
        let now = self.now;
        let budgets = &mut self.retry_budgets;
        budgets.next_count = now + COUNT_PERIOD;
        let running = self
            .members
            .rumours()
            .filter(|rumour| rumour.state != State::Dead)
            .map(|rumour| &rumour.entry.name);
        for name in running.chain(self.members.listed_names()) {
            match budgets.holders.get_mut(name) {
                Some(known_at) => *known_at = now,
                None => {
                    budgets.holders.insert(name.clone(), now);
                }
            }
        }
        budgets
            .holders
            .retain(|_, known_at| now.saturating_sub(*known_at) < PART_RETENTION);
        let part = budgets.limits.part(budgets.holders.len());
        if part == budgets.part {
            return;
        }
        budgets.part = part;
        let text = format!(
            "{} instances have a part of the retry budgets: {:.2} retries each, and {:.2} a request.",
            budgets.holders.len(),
            part.slack,
            part.ratio
        );
        self.log("retry", false, text);
    }
}
