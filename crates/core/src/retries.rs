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
use wire::Body;
use wire::InstanceId;
use wire::Name;
use wire::RequestId;
use wire::gossip::State;

use crate::instance::Instance;
use crate::job::Phase;

/// Time between two counts of the instances that have a part.
const COUNT_PERIOD: Duration = Duration::from_secs(1);
/// Time for which an instance keeps its part after it was last known to run. One that is cut off may run
/// and spend its part all the while.
const PART_RETENTION: Duration = Duration::from_secs(3_600);

/// Time that another instance has to answer whether it lends a retry.
const LOAN_TIMEOUT: Duration = Duration::from_millis(40);
/// Number of instances that are asked to lend a retry.
const LOANS_ASKED_MAX: u32 = 3;

/// What came of the payment for the next attempt of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Payment {
    /// It is paid, or needs no payment.
    Paid,
    /// Another instance is asked to lend a retry. The job's timer is set.
    Asked,
    /// There is none left.
    Refused,
}

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
    /// Whether no process has run before that could have spent a part.
    is_first_start: bool,
    /// When new budgets are filled, or `None` before the first input.
    opens_at: Option<Time>,
}

impl RetryBudgets {
    /// Returns the budgets of an instance. `is_first_start` tells that none has run before.
    pub(crate) fn new(limits: Limits, is_first_start: bool) -> RetryBudgets {
        RetryBudgets {
            limits,
            part: limits.part(1),
            pools: BTreeMap::new(),
            holders: BTreeMap::new(),
            next_count: Time::ZERO,
            is_first_start,
            opens_at: None,
        }
    }

    /// Records the time of an input. The first one tells when the instance has started.
    pub(crate) fn record_input(&mut self, now: Time) {
        let delay = match self.is_first_start {
            true => Duration::ZERO,
            false => self.limits.window,
        };
        self.opens_at.get_or_insert(now + delay);
    }

    fn pool(&mut self, pool: &Name) -> (&mut Budget, &Part) {
        let opens_at = self.opens_at.unwrap_or(Time::MAX);
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
        self.update_part();
        let now = self.now;
        let (budget, part) = self.retry_budgets.pool(pool);
        budget.earn(now, part);
    }

    /// Pays for the next attempt of a job, or asks another instance to lend a retry. Loans move retries
    /// from one part to another, so the budget holds, also if an answer is lost.
    pub(crate) fn pay_or_borrow(&mut self, id: RequestId, weight: Weight) -> Payment {
        if self.pay_for_retry(id, weight) {
            return Payment::Paid;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return Payment::Refused;
        };
        if let Some(asked_at) = job.loan_asked_at
            && self.now < asked_at + LOAN_TIMEOUT
        {
            self.set_timer(id, asked_at + LOAN_TIMEOUT);
            return Payment::Asked;
        }
        let others: Vec<InstanceId> = self.members.running_others().collect();
        if job.loans_asked < LOANS_ASKED_MAX && !others.is_empty() {
            job.loans_asked += 1;
            job.loan_asked_at = Some(self.now);
            let ask = Body::BorrowRetry {
                request: id,
                pool: job.route.pool.clone(),
                is_heavy: weight == Weight::Heavy,
            };
            let lender = others[self.rng.usize(..others.len())];
            self.set_timer(id, self.now + LOAN_TIMEOUT);
            self.send(lender, ask);
            return Payment::Asked;
        }
        let text = format!(
            "Request {id}: the retry budget of pool {} is spent, {:.2} retries are a part, {} instances lent none.",
            job.route.pool, self.retry_budgets.part.slack, job.loans_asked
        );
        self.log("retry", true, text);
        Payment::Refused
    }

    /// Lends a retry to another instance, if this one's part has one left.
    pub(crate) fn on_borrow_retry(
        &mut self,
        from: InstanceId,
        request: RequestId,
        pool: &Name,
        is_heavy: bool,
    ) {
        let weight = match is_heavy {
            true => Weight::Heavy,
            false => Weight::Light,
        };
        self.update_part();
        let now = self.now;
        let mut is_lent = false;
        if self.config().pools.contains_key(pool) {
            let (budget, part) = self.retry_budgets.pool(pool);
            is_lent = budget.spend(now, part, weight);
        }
        self.send(from, Body::RetryLent { request, is_lent });
    }

    /// Handles the answer of an instance that was asked to lend a retry. An answer that comes too late is
    /// not used.
    pub(crate) fn on_retry_lent(&mut self, request: RequestId, is_lent: bool) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        if job.loan_asked_at.take().is_none() || !matches!(job.phase, Phase::Waiting) {
            return;
        }
        job.retry_paid |= is_lent;
        self.set_timer(request, self.now);
    }

    /// Pays for the next attempt of a job if it is a retry. Returns false if the budget has none left.
    pub(crate) fn pay_for_retry(&mut self, id: RequestId, weight: Weight) -> bool {
        self.update_part();
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        if job.is_next_attempt_paid() {
            return true;
        }
        let (budget, part) = self.retry_budgets.pool(&job.route.pool);
        let is_paid = budget.spend(now, part, weight);
        job.retry_paid = is_paid;
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

    /// Counts the instances that have a part if the last count is old.
    fn update_part(&mut self) {
        if self.now >= self.retry_budgets.next_count {
            self.count_part_holders();
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
