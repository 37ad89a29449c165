//! Reconciliation of engines with the configured model, adapter, version and role.
//!
//! # Overview
//!
//! The configuration sets what a pool's engines should serve. In each data centre one instance, the
//! holder of a lease in the platform's store, compares this with the engines' reports and sends
//! orders until both agree. A [`Reconciler`] decides which orders are sent, under these rules:
//!
//! - Orders are sent only while this instance holds the lease, and only if they are sure to arrive
//!   before it expires.
//! - Each order carries the fencing number of the tenure, so that an engine that checks the number
//!   refuses orders of an earlier holder.
//! - Engines that ignore fencing numbers get no orders until every order of an earlier holder must
//!   have arrived.
//! - Weights are loaded no faster than the weight store allows.
//! - The last ready server of a pool gets no order, since the change would make it unavailable.
//!
//! An order is idempotent, since it names the state to reach. An order whose answer was lost is
//! sent again if the engine's reports do not show its effect.

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
/// Maximum time between sending an order and its arrival.
pub const ORDER_DELIVERY_MAX: Duration = Duration::from_secs(2);
/// Time after which an order is sent again if the engine's reports do not show its effect.
const ORDER_RETRY: Duration = Duration::from_secs(3);
/// Rate at which engines of one data centre may start to load weights, per second.
const LOAD_RATE: f64 = 0.5;
/// Maximum number of weight loads started at once, after an idle time.
const LOAD_BURST: f64 = 2.0;

/// Model setup that an engine serves or should serve. A field is empty if it is not set.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Setup {
    /// Name of the model.
    pub model: Name,
    /// Name of the adapter.
    pub adapter: Name,
    /// Version of the model.
    pub version: Name,
    /// Role of the engine in its pool.
    pub role: Name,
}

impl Setup {
    /// Returns the setup that a pool configures, or `None` if the pool sets none of the fields.
    pub fn of_pool(pool: &Pool) -> Option<Setup> {
        let setup = Setup {
            model: pool.model.clone(),
            adapter: pool.adapter.clone(),
            version: pool.model_version.clone(),
            role: pool.role.clone(),
        };
        (setup != Setup::default()).then_some(setup)
    }

    /// Returns whether changing to this setup from another one loads weights from the weight store.
    fn needs_weights(&self, from: &Setup) -> bool {
        self.model != from.model || self.adapter != from.adapter || self.version != from.version
    }
}

/// State of an engine, as of its newest report.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Name of the engine's server.
    pub server: Name,
    /// Setup that the engine serves.
    pub setup: Setup,
    /// Whether the engine is ready for requests.
    pub ready: bool,
}

/// Order to an engine to change its setup.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Name of the engine's server, which receives the order.
    pub server: Name,
    /// Fencing number of the sender's tenure.
    pub fence: u64,
    /// Setup that the engine should reach.
    pub setup: Setup,
}

/// A pool and its engines in one data centre.
#[derive(Clone, Debug)]
pub struct PoolEngines<'a> {
    /// Configuration of the pool.
    pub pool: &'a Pool,
    /// Engines of the pool in the reconciler's data centre.
    pub engines: Vec<EngineState>,
}

/// Decides which orders an instance sends to the engines of its data centre.
#[derive(Debug)]
pub struct Reconciler {
    lease: Lease,
    load_tokens: f64,
    refilled_at: Time,
    sent: BTreeMap<Name, (Setup, Time)>,
}

impl Reconciler {
    /// Returns a reconciler that tries to acquire the lease of a data centre.
    pub fn new(data_centre: &str, owner: u64) -> Reconciler {
        let key = store::Key::from(format!("place/{data_centre}"));
        Reconciler {
            lease: Lease::new(key, owner, LEASE_TTL),
            load_tokens: LOAD_BURST,
            refilled_at: Time::ZERO,
            sent: BTreeMap::new(),
        }
    }

    /// Returns the next call to the store that acquires or renews the lease, if one is due.
    pub fn next_lease_call(&mut self, now: Time) -> Option<Call> {
        self.lease.next_call(now)
    }

    /// Handles the store's answer to the call of [`Reconciler::next_lease_call`].
    pub fn handle_lease_answer(&mut self, now: Time, answer: Answer) {
        self.lease.on_answer(now, answer);
    }

    /// Returns whether this instance holds the lease.
    pub fn is_holder(&self, now: Time) -> bool {
        self.lease.tenure(now).is_some()
    }

    /// Returns whether an order may still be sent: this tenure issued it, and it is sure to arrive
    /// before the lease expires. Callers check this again right before sending, since the process
    /// may have been paused after [`Reconciler::next_orders`].
    pub fn may_send(&self, now: Time, order: &Order) -> bool {
        self.lease
            .tenure(now)
            .is_some_and(|t| t.fence == order.fence && now + ORDER_DELIVERY_MAX <= t.until)
    }

    /// Returns the orders to send now.
    pub fn next_orders(&mut self, now: Time, groups: &[PoolEngines<'_>]) -> Vec<Order> {
        self.refill(now);
        let mut orders = Vec::new();
        for group in groups {
            self.add_orders(now, group, &mut orders);
        }
        orders.retain(|order| self.may_send(now, order));
        orders
    }

    fn add_orders(&mut self, now: Time, group: &PoolEngines<'_>, orders: &mut Vec<Order>) {
        let Some(tenure) = self.lease.tenure(now) else {
            return;
        };
        let Some(target) = Setup::of_pool(group.pool) else {
            return;
        };
        let old_orders_arrived = now >= tenure.since + LEASE_TTL + ORDER_DELIVERY_MAX;
        if !group.pool.fenced && !old_orders_arrived {
            return;
        }
        let mut ready_count = group.engines.iter().filter(|engine| engine.ready).count();
        for engine in &group.engines {
            if engine.setup == target || self.is_order_pending(now, engine, &target) {
                continue;
            }
            if engine.ready && ready_count <= 1 {
                continue;
            }
            if target.needs_weights(&engine.setup) && !self.try_take_load_token() {
                continue;
            }
            if engine.ready {
                ready_count -= 1;
            }
            self.sent
                .insert(engine.server.clone(), (target.clone(), now));
            orders.push(Order {
                server: engine.server.clone(),
                fence: tenure.fence,
                setup: target.clone(),
            });
        }
    }

    fn is_order_pending(&self, now: Time, engine: &EngineState, target: &Setup) -> bool {
        self.sent
            .get(&engine.server)
            .is_some_and(|(setup, at)| setup == target && now.saturating_sub(*at) < ORDER_RETRY)
    }

    fn refill(&mut self, now: Time) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.load_tokens = (self.load_tokens + passed * LOAD_RATE).min(LOAD_BURST);
        self.refilled_at = now;
    }

    fn try_take_load_token(&mut self) -> bool {
        let allowed = self.load_tokens >= 1.0;
        if allowed {
            self.load_tokens -= 1.0;
        }
        allowed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn lease_holder(now: Time) -> Reconciler {
        let mut reconciler = Reconciler::new("a", 1);
        while !reconciler.is_holder(now) {
            let answer = match reconciler.next_lease_call(now) {
                Some(Call::CompareAndSwap { .. }) => Answer::Swapped { revision: 5 },
                _ => Answer::Value {
                    revision: 0,
                    value: Vec::new(),
                },
            };
            reconciler.handle_lease_answer(now, answer);
        }
        reconciler
    }

    fn renew(reconciler: &mut Reconciler, now: Time, revision: u64) {
        assert!(matches!(
            reconciler.next_lease_call(now),
            Some(Call::CompareAndSwap { .. })
        ));
        reconciler.handle_lease_answer(now, Answer::Swapped { revision });
    }

    fn pool(fenced: bool) -> Pool {
        Pool {
            fenced,
            model: "m2".into(),
            ..Pool::default()
        }
    }

    fn engines(count: usize, ready: bool) -> Vec<EngineState> {
        (0..count)
            .map(|index| EngineState {
                server: format!("e{index}").as_str().into(),
                setup: Setup::default(),
                ready,
            })
            .collect()
    }

    const NOW: Time = Duration::from_secs(1);

    #[test]
    fn last_ready_server_gets_no_order_and_weight_loads_are_rate_limited() {
        let pool = pool(true);
        let mut reconciler = lease_holder(NOW);
        let group = |count| PoolEngines {
            pool: &pool,
            engines: engines(count, true),
        };
        assert!(reconciler.next_orders(NOW, &[group(1)]).is_empty());
        let orders = reconciler.next_orders(NOW, &[group(9)]);
        assert_eq!(orders.len(), 2, "at most LOAD_BURST loads at once");
        assert!(orders.iter().all(|order| order.fence == 5));
    }

    #[test]
    fn holder_paused_past_its_lease_sends_no_orders() {
        let pool = pool(true);
        let mut reconciler = lease_holder(NOW);
        let group = PoolEngines {
            pool: &pool,
            engines: engines(3, true),
        };
        let order = reconciler.next_orders(NOW, std::slice::from_ref(&group))[0].clone();
        let resumed = NOW + LEASE_TTL;
        assert!(!reconciler.may_send(resumed, &order));
        assert!(reconciler.next_orders(resumed, &[group]).is_empty());
    }

    #[test]
    fn engines_that_ignore_fencing_get_orders_only_after_old_ones_arrived() {
        let pool = pool(false);
        let mut reconciler = lease_holder(NOW);
        let group = PoolEngines {
            pool: &pool,
            engines: engines(3, true),
        };
        let mut now = NOW;
        let mut first = None;
        for step in 0..10 {
            now += Duration::from_millis(1_200);
            renew(&mut reconciler, now, 6 + step);
            if !reconciler
                .next_orders(now, std::slice::from_ref(&group))
                .is_empty()
            {
                first.get_or_insert(now);
            }
        }
        let waited = first.expect("orders are sent after the waiting time") - NOW;
        assert!(waited >= LEASE_TTL + ORDER_DELIVERY_MAX);
    }

    #[test]
    fn order_with_a_lost_answer_is_sent_again() {
        let pool = pool(true);
        let mut reconciler = lease_holder(NOW);
        let group = PoolEngines {
            pool: &pool,
            engines: engines(2, false),
        };
        assert_eq!(
            reconciler
                .next_orders(NOW, std::slice::from_ref(&group))
                .len(),
            2
        );
        let soon = NOW + Duration::from_millis(1_200);
        renew(&mut reconciler, soon, 6);
        assert!(
            reconciler
                .next_orders(soon, std::slice::from_ref(&group))
                .is_empty()
        );
        let mut now = soon;
        for revision in 7..9 {
            now += Duration::from_millis(1_200);
            renew(&mut reconciler, now, revision);
        }
        assert!(!reconciler.next_orders(now, &[group]).is_empty());
    }
}
