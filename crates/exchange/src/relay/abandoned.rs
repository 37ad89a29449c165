//! Runs whose request ends without its answer, because its caller has left or its time is up.
//!
//! A server may go on with a generation after its connection has ended. Most servers do not, so they
//! are given some time to notice the end of the connection before they are asked to stop the run.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wigeon_core::message::Dispatch;
use wire::AttemptId;
use wire::BootId;

use super::Relay;
use super::millis;
use super::stop::Target;

/// Time from the end of a request until the servers that run it are asked to stop. Most of them have
/// noticed the end of the connection by then, and have no memory to keep.
const CLOSE_TIME: Duration = Duration::from_millis(100);
/// Destination for the memory of a run that nobody goes on with: the port for discarded data, at which
/// no server listens. The memory stays where it is until it is released.
const NO_DESTINATION: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

/// An attempt that was sent and has not ended.
pub(super) struct RunInFlight {
    attempt: AttemptId,
    server: wire::Name,
    boot: BootId,
    address: SocketAddr,
    /// Whether an event of the run has arrived.
    has_begun: bool,
}

impl Relay {
    /// Records that an attempt is sent.
    pub(super) fn record_in_flight(&mut self, dispatch: &Dispatch) {
        if dispatch.hands_over || !self.is_generation {
            return;
        }
        self.runs_in_flight.push(RunInFlight {
            attempt: dispatch.attempt,
            server: dispatch.server.clone(),
            boot: dispatch.boot,
            address: dispatch.address,
            has_begun: false,
        });
    }

    /// Records that an event of an attempt has arrived.
    pub(super) fn record_begun(&mut self, attempt: AttemptId) {
        let mut runs = self.runs_in_flight.iter_mut();
        if let Some(run) = runs.find(|run| run.attempt == attempt) {
            run.has_begun = true;
        }
    }

    /// Forgets an attempt whose run has ended, or is recorded as an earlier run.
    pub(super) fn forget_in_flight(&mut self, attempt: AttemptId) {
        self.runs_in_flight.retain(|run| run.attempt != attempt);
    }

    /// Starts to stop all runs of the request. Nothing is known of the ends of those in flight, nor of
    /// earlier ones that no server was asked to stop.
    pub(super) fn stop_abandoned_runs(&mut self) {
        if self.route.keep_running {
            return;
        }
        let given_up_at = self.context.clock.now();
        let earlier_runs = std::mem::take(&mut self.earlier_runs);
        for run in std::mem::take(&mut self.runs_in_flight) {
            if earlier_runs
                .iter()
                .any(|earlier| earlier.is_of(run.attempt))
            {
                continue;
            }
            self.stop_abandoned_run(&Target {
                server: &run.server,
                boot: run.boot,
                address: run.address,
                is_connected: Arc::default(),
                has_begun: run.has_begun,
                given_up_at,
                delay: CLOSE_TIME,
            });
        }
        for run in earlier_runs.iter().filter(|run| run.may_go_on()) {
            self.stop_abandoned_run(&Target {
                is_connected: Arc::default(),
                ..run.target(CLOSE_TIME)
            });
        }
    }

    fn stop_abandoned_run(&self, target: &Target<'_>) {
        let mut end = self.spawn_stop(target, NO_DESTINATION).subscribe();
        let context = self.context.clone();
        let id = self.meta.caller_request_id.clone();
        let (server, boot) = (target.server.clone(), target.boot);
        let given_up_at = target.given_up_at;
        tokio::spawn(async move {
            let Ok(Some(proof)) = end.wait_for(Option::is_some).await.map(|end| end.clone()) else {
                return;
            };
            context.metrics.count_abandoned_run(proof.as_str());
            let now = context.clock.now();
            if context.log_limiter.allows(now, false) {
                log::info!(
                    id = id.as_str(),
                    server = server.as_str(),
                    life = boot,
                    proof = proof.as_str(),
                    given_up_ms = millis(now.saturating_sub(given_up_at));
                    "relay: Run abandoned."
                );
            }
        });
    }
}
