//! Rates to which backend servers limit the requests of all instances together.

use std::collections::BTreeMap;

use clock::Time;
use wire::BootId;
use wire::Name;
use wire::limit::Rate;

use crate::instance::Instance;
use crate::message::RateLimit;

/// Maximum number of servers whose limit is kept.
const LIMITS_MAX: usize = 4_096;

/// What servers have stated about their limits.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    statements: BTreeMap<Name, Statement>,
}

/// The newest statement of a server.
#[derive(Clone, Copy, Debug)]
struct Statement {
    boot: BootId,
    /// The limit, or `None` if the server states none any more.
    rate: Option<Rate>,
    /// A time at which the statement was true: for a limit when its response arrived, for its absence
    /// when the request was sent. A response that overtakes another one is not taken for newer.
    true_at: Time,
}

impl Instance {
    /// Returns whether any server has stated a limit that is in force.
    pub fn has_limited_servers(&self) -> bool {
        self.limits
            .statements
            .values()
            .any(|statement| statement.rate.is_some())
    }

    /// Handles what a response to a request sent at a given time states about its server's limit.
    pub(crate) fn on_limit_notice(
        &mut self,
        server: &Name,
        boot: BootId,
        sent_at: Time,
        limit: RateLimit,
    ) {
        let statement = match limit {
            RateLimit::Unknown => return,
            RateLimit::Absent => Statement {
                boot,
                rate: None,
                true_at: sent_at,
            },
            RateLimit::Stated(rate) => Statement {
                boot,
                rate: Some(rate),
                true_at: self.now,
            },
        };
        self.record_limit(server, statement);
    }

    fn record_limit(&mut self, server: &Name, statement: Statement) {
        let known = self.limits.statements.get(server).copied();
        let known = known.filter(|known| known.boot == statement.boot);
        if known.is_some_and(|known| known.true_at > statement.true_at) {
            return;
        }
        if known.is_none() && statement.rate.is_none() {
            return;
        }
        let is_new_server = !self.limits.statements.contains_key(server);
        if is_new_server && self.limits.statements.len() >= LIMITS_MAX {
            return;
        }
        self.limits.statements.insert(server.clone(), statement);
        if known.and_then(|known| known.rate) != statement.rate {
            self.log_limit(server, statement);
        }
    }

    fn log_limit(&mut self, server: &Name, statement: Statement) {
        let boot = statement.boot;
        let text = match statement.rate {
            Some(rate) => format!(
                "Server {server} (boot {boot}) takes {:.2} requests per second.",
                wire::limit::hertz(rate)
            ),
            None => format!("Server {server} (boot {boot}) has no limit any more."),
        };
        self.log("limit", false, text);
    }
}
