//! Orders that make engines load their configured setup.
//!
//! In each data centre, one instance holds a lease in the store and sends the orders. No orders are
//! sent if the configuration is kept outside the store.

use std::time::Duration;

use conf::Name;
use reconcile::EngineState;
use reconcile::PoolEngines;

use crate::instance::CallOrigin;
use crate::instance::Instance;
use crate::message::Output;
use crate::message::ServerReport;
use crate::settings::Source;

/// Longest time that a store call of the lease waits to be sent, or a read to be repeated.
pub(crate) const LEASE_QUEUE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between two comparisons of the engines' setups with the configured ones.
const ORDERS_PERIOD: Duration = Duration::from_millis(500);
/// Number of instances of a data centre that contend for the lease. The others make no store calls
/// for the lease.
const LEASE_CONTENDERS: usize = 2;

impl Instance {
    /// Contends for the lease, and sends orders as its holder, if that is due.
    pub(crate) fn tick_orders(&mut self) {
        if self.now < self.next_orders {
            return;
        }
        self.next_orders = self.now + ORDERS_PERIOD;
        if self.settings.source == Source::External {
            return;
        }
        let is_contender =
            self.shutdown.is_none() && self.members.is_top_ranked("place", LEASE_CONTENDERS);
        if !is_contender && !self.reconciler.is_holder(self.now) {
            return;
        }
        if let Some(call) = self.reconciler.next_lease_call(self.now) {
            self.call_store(CallOrigin::Lease, call);
        }
        if self.reconciler.is_holder(self.now) {
            self.send_orders();
        }
    }

    fn send_orders(&mut self) {
        let config = self.config.follower.config().clone();
        let groups: Vec<PoolEngines<'_>> = config
            .pools
            .iter()
            .map(|(name, pool)| PoolEngines {
                pool,
                engines: self.reported_engines(name, pool),
            })
            .collect();
        for order in self.reconciler.next_orders(self.now, &groups) {
            let Some(server) = self.servers.get(&order.server) else {
                continue;
            };
            let address = server.address;
            let text = format!(
                "Sending an order to server {}: serve model {}.",
                order.server, order.setup.model
            );
            self.log("place", false, text);
            self.out.push(Output::Order { address, order });
        }
    }

    /// Returns the engines of a pool in the own data centre that have reported their setup.
    fn reported_engines(&self, pool_name: &Name, pool: &conf::Pool) -> Vec<EngineState> {
        let label = pool.label(pool_name);
        let own = self.own_data_centre();
        self.servers
            .values()
            .filter(|server| server.label == label && server.data_centre == own)
            .filter_map(|server| self.config.setups.get(&server.name))
            .cloned()
            .collect()
    }

    /// Records the setup that a server has reported.
    pub(crate) fn record_setup(&mut self, server: &Name, report: &ServerReport) {
        let engine = EngineState {
            server: server.clone(),
            setup: report.setup.clone(),
            ready: report.ready,
        };
        self.config.setups.insert(server.clone(), engine);
    }
}
