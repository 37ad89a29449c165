//! Orders to engines.

use std::time::Duration;

use conf::Name;
use reconcile::Engine;
use reconcile::Group;

use crate::instance::CallOrigin;
use crate::instance::Instance;
use crate::message::Output;
use crate::message::ServerReport;
use crate::settings::Source;

/// Longest wait of the lease's calls for their turn.
pub(crate) const LEASE_PATIENCE: Duration = Duration::from_millis(1_000);
/// Time between two looks at what engines should serve.
const ORDERS_PERIOD: Duration = Duration::from_millis(500);
/// Contenders for the lease in one data centre; the others do not spend calls on it.
const CONTENDERS: usize = 2;

impl Instance {
    pub(crate) fn tick_orders(&mut self) {
        if self.now < self.next_orders {
            return;
        }
        self.next_orders = self.now + ORDERS_PERIOD;
        if self.settings.source == Source::Shell {
            return;
        }
        let contends = !self.leaving && self.members.is_among_first("place", CONTENDERS);
        if !contends && !self.reconciler.is_holder(self.now) {
            return;
        }
        if let Some(call) = self.reconciler.due(self.now) {
            self.call_store(CallOrigin::Lease, call);
        }
        if self.reconciler.is_holder(self.now) {
            self.send_orders();
        }
    }

    fn send_orders(&mut self) {
        let config = self.config.follower.config().clone();
        let groups: Vec<Group<'_>> = config
            .pools
            .iter()
            .map(|(name, pool)| Group {
                pool,
                engines: self.engines(name, pool),
            })
            .collect();
        for order in self.reconciler.orders(self.now, &groups) {
            let Some(server) = self.servers.get(&order.server) else {
                continue;
            };
            let address = server.address;
            let text = format!("Order to {}: serve {}.", order.server, order.setup.model);
            self.log("place", false, text);
            self.out.push(Output::Order { address, order });
        }
    }

    fn engines(&self, name: &Name, pool: &conf::Pool) -> Vec<Engine> {
        let label = pool.label(name);
        let own = self.own_data_centre();
        self.servers
            .values()
            .filter(|server| server.label == label && server.data_centre == own)
            .filter_map(|server| self.config.setups.get(&server.name))
            .cloned()
            .collect()
    }

    pub(crate) fn record_setup(&mut self, server: &Name, report: &ServerReport) {
        let engine = Engine {
            server: server.clone(),
            setup: report.setup.clone(),
            ready: report.ready,
        };
        self.config.setups.insert(server.clone(), engine);
    }
}
