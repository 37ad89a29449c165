//! Orders to engines: which model, adapter, version and role each of them serves.
//!
//! # Overview
//!
//! What a pool's engines should serve is configuration. In each data centre one instance, the holder
//! of a lease in the platform's store, compares that with what the engines report and sends orders
//! until they agree. A [`Reconciler`] decides which orders go:
//!
//! - none without the lease, and none that could arrive after it has lapsed,
//! - each with the fencing number of the tenure, so that an engine that checks it refuses the orders
//!   of an earlier holder,
//! - none to engines that ignore fencing numbers until every order of an earlier holder must have
//!   arrived,
//! - loads no faster than the weight store allows,
//! - never one that takes away the last ready server of a pool.
//!
//! An order is idempotent: it names the state to reach. One whose answer was lost is sent again when
//! the engine's reports do not show its effect.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use conf::Name;
use conf::Pool;
use serde::Deserialize;
use serde::Serialize;
use store::Answer;
use store::Call;
use store::Lease;

/// Time to live of the lease.
pub const LEASE_TTL: Duration = Duration::from_secs(4);
/// Longest time that an order is under way.
pub const ORDER_FLIGHT: Duration = Duration::from_secs(2);
/// Time after which an order without visible effect is sent again.
const ORDER_RETRY: Duration = Duration::from_secs(3);
/// Loads of weights a second, for one data centre.
const LOAD_RATE: f64 = 0.5;
/// Loads of weights at once after a quiet time.
const LOAD_BURST: f64 = 2.0;

/// What an engine serves, or should serve.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Setup {
    /// Model.
    pub model: Name,
    /// Adapter.
    pub adapter: Name,
    /// Version of the model.
    pub version: Name,
    /// Role.
    pub role: Name,
}

impl Setup {
    /// Returns what a pool's engines should serve, or `None` if that is left open.
    pub fn of_pool(pool: &Pool) -> Option<Setup> {
        let setup = Setup {
            model: pool.model.clone(),
            adapter: pool.adapter.clone(),
            version: pool.model_version.clone(),
            role: pool.role.clone(),
        };
        (setup != Setup::default()).then_some(setup)
    }

    /// Returns whether a change to another setup reads the weight store.
    fn needs_weights(&self, from: &Setup) -> bool {
        self.model != from.model || self.adapter != from.adapter || self.version != from.version
    }
}

/// An engine as it last reported.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Its name.
    pub server: Name,
    /// What it serves.
    pub setup: Setup,
    /// Whether it takes work.
    pub ready: bool,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The engine.
    pub server: Name,
    /// The fencing number.
    pub fence: u64,
    /// The state to reach.
    pub setup: Setup,
}

/// One pool with its engines.
#[derive(Clone, Debug)]
pub struct Group<'a> {
    /// The pool.
    pub pool: &'a Pool,
    /// Its engines in the reconciler's data centre.
    pub engines: Vec<Engine>,
}

/// One instance's part in the orders of its data centre.
#[derive(Debug)]
pub struct Reconciler {
    lease: Lease,
    tokens: f64,
    refilled: Time,
    sent: BTreeMap<Name, (Setup, Time)>,
}

impl Reconciler {
    /// Returns a contender for the lease of a data centre.
    pub fn new(data_centre: &str, owner: u64) -> Reconciler {
        let key = store::Key::from(format!("place/{data_centre}"));
        Reconciler {
            lease: Lease::new(key, owner, LEASE_TTL),
            tokens: LOAD_BURST,
            refilled: Time::ZERO,
            sent: BTreeMap::new(),
        }
    }

    /// Returns the call that the lease needs now, if any.
    pub fn due(&mut self, now: Time) -> Option<Call> {
        self.lease.due(now)
    }

    /// Takes the answer of that call.
    pub fn answer(&mut self, now: Time, answer: Answer) {
        self.lease.answer(now, answer);
    }

    /// Returns whether this instance holds the lease.
    pub fn is_holder(&self, now: Time) -> bool {
        self.lease.tenure(now).is_some()
    }

    /// Returns whether an order of this tenure may still be sent. It is asked once more right before
    /// the sending, since the process may have been paused after the decision.
    pub fn may_send(&self, now: Time, order: &Order) -> bool {
        self.lease
            .tenure(now)
            .is_some_and(|t| t.fence == order.fence && now + ORDER_FLIGHT <= t.until)
    }

    /// Returns the orders that go now.
    pub fn orders(&mut self, now: Time, groups: &[Group<'_>]) -> Vec<Order> {
        self.refill(now);
        let mut orders = Vec::new();
        for group in groups {
            self.orders_of(now, group, &mut orders);
        }
        orders.retain(|order| self.may_send(now, order));
        orders
    }

    fn orders_of(&mut self, now: Time, group: &Group<'_>, orders: &mut Vec<Order>) {
        let Some(tenure) = self.lease.tenure(now) else {
            return;
        };
        let Some(wanted) = Setup::of_pool(group.pool) else {
            return;
        };
        let old_orders_gone = now >= tenure.since + LEASE_TTL + ORDER_FLIGHT;
        if !group.pool.fenced && !old_orders_gone {
            return;
        }
        let mut ready = group.engines.iter().filter(|engine| engine.ready).count();
        for engine in &group.engines {
            if engine.setup == wanted || self.is_under_way(now, engine, &wanted) {
                continue;
            }
            if engine.ready && ready <= 1 {
                continue;
            }
            if wanted.needs_weights(&engine.setup) && !self.take_load() {
                continue;
            }
            if engine.ready {
                ready -= 1;
            }
            self.sent
                .insert(engine.server.clone(), (wanted.clone(), now));
            orders.push(Order {
                server: engine.server.clone(),
                fence: tenure.fence,
                setup: wanted.clone(),
            });
        }
    }

    fn is_under_way(&self, now: Time, engine: &Engine, wanted: &Setup) -> bool {
        self.sent
            .get(&engine.server)
            .is_some_and(|(setup, at)| setup == wanted && now.saturating_sub(*at) < ORDER_RETRY)
    }

    fn refill(&mut self, now: Time) {
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + passed * LOAD_RATE).min(LOAD_BURST);
        self.refilled = now;
    }

    fn take_load(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn holder(now: Time) -> Reconciler {
        let mut reconciler = Reconciler::new("a", 1);
        while !reconciler.is_holder(now) {
            let answer = match reconciler.due(now) {
                Some(Call::Swap { .. }) => Answer::Swapped { revision: 5 },
                _ => Answer::Value {
                    revision: 0,
                    value: Vec::new(),
                },
            };
            reconciler.answer(now, answer);
        }
        reconciler
    }

    fn renew(reconciler: &mut Reconciler, now: Time, revision: u64) {
        assert!(matches!(reconciler.due(now), Some(Call::Swap { .. })));
        reconciler.answer(now, Answer::Swapped { revision });
    }

    fn pool(fenced: bool) -> Pool {
        Pool {
            fenced,
            model: "m2".into(),
            ..Pool::default()
        }
    }

    fn engines(count: usize, ready: bool) -> Vec<Engine> {
        (0..count)
            .map(|index| Engine {
                server: format!("e{index}").as_str().into(),
                setup: Setup::default(),
                ready,
            })
            .collect()
    }

    const NOW: Time = Duration::from_secs(1);

    #[test]
    fn last_ready_server_is_kept_and_loads_are_paced() {
        let pool = pool(true);
        let mut reconciler = holder(NOW);
        let group = |count| Group {
            pool: &pool,
            engines: engines(count, true),
        };
        assert!(reconciler.orders(NOW, &[group(1)]).is_empty());
        let orders = reconciler.orders(NOW, &[group(9)]);
        assert_eq!(orders.len(), 2, "no more than the weight store allows");
        assert!(orders.iter().all(|order| order.fence == 5));
    }

    #[test]
    fn paused_holder_sends_nothing() {
        let pool = pool(true);
        let mut reconciler = holder(NOW);
        let group = Group {
            pool: &pool,
            engines: engines(3, true),
        };
        let order = reconciler.orders(NOW, std::slice::from_ref(&group))[0].clone();
        let woke = NOW + LEASE_TTL;
        assert!(!reconciler.may_send(woke, &order));
        assert!(reconciler.orders(woke, &[group]).is_empty());
    }

    #[test]
    fn engines_that_ignore_fencing_wait_for_old_orders() {
        let pool = pool(false);
        let mut reconciler = holder(NOW);
        let group = Group {
            pool: &pool,
            engines: engines(3, true),
        };
        let mut now = NOW;
        let mut first = None;
        for step in 0..10 {
            now += Duration::from_millis(1_200);
            renew(&mut reconciler, now, 6 + step);
            if !reconciler
                .orders(now, std::slice::from_ref(&group))
                .is_empty()
            {
                first.get_or_insert(now);
            }
        }
        let waited = first.expect("orders go in the end") - NOW;
        assert!(waited >= LEASE_TTL + ORDER_FLIGHT);
    }

    #[test]
    fn order_with_a_lost_answer_is_sent_again() {
        let pool = pool(true);
        let mut reconciler = holder(NOW);
        let group = Group {
            pool: &pool,
            engines: engines(2, false),
        };
        assert_eq!(
            reconciler.orders(NOW, std::slice::from_ref(&group)).len(),
            2
        );
        let soon = NOW + Duration::from_millis(1_200);
        renew(&mut reconciler, soon, 6);
        assert!(
            reconciler
                .orders(soon, std::slice::from_ref(&group))
                .is_empty()
        );
        let mut now = soon;
        for revision in 7..9 {
            now += Duration::from_millis(1_200);
            renew(&mut reconciler, now, revision);
        }
        assert!(!reconciler.orders(now, &[group]).is_empty());
    }
}
