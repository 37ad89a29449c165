//! The time that a request has, and its end when that is up.
//!
//! The decider ends requests at their deadlines. If it has lost sight of one, the relay ends it a little
//! later, so that no caller is left without an answer.

use std::time::Duration;

use clock::Time;
use gateway::decider::HandleInput;
use wigeon_core::Input;

use super::Relay;

/// Time after a request's deadline at which it ends although the decider has not ended it.
const DECIDER_MARGIN: Duration = Duration::from_millis(200);

impl Relay {
    /// Returns the time until an attempt must end, by the request's deadline and a limit of the
    /// attempt's own.
    pub(super) fn time_left(&self, ends_at: Option<Time>) -> Option<Duration> {
        self.time_left_until([self.deadline, ends_at].into_iter().flatten().min())
    }

    fn time_left_until(&self, end: Option<Time>) -> Option<Duration> {
        let now = self.context.clock.now();
        end.map(|end| end.saturating_sub(now))
    }

    /// Waits until the request has to end whether or not the decider ends it: at its deadline if the
    /// decider doesn't know it any more, or else a little later. Waits forever if there is no deadline.
    pub(super) fn final_deadline(&self) -> impl Future<Output = ()> + Send + use<> {
        let margin = match self.is_orphaned {
            true => Duration::ZERO,
            false => DECIDER_MARGIN,
        };
        let left = self.time_left_until(self.deadline.map(|deadline| deadline + margin));
        async move {
            match left {
                Some(left) => tokio::time::sleep(left).await,
                None => std::future::pending().await,
            }
        }
    }

    /// Makes the decider forget a request that ends without it.
    pub(super) fn report_overdue(&self) {
        if self.is_orphaned {
            return;
        }
        let id = self.cancel_guard.id;
        let now = self.context.clock.now();
        if self.context.log_limiter.allows(now, false) {
            log::error!(
                id = self.meta.caller_request_id.as_str(),
                request = id;
                "relay: Request ends although the decider has not ended it."
            );
        }
        let decider = self.context.decider.clone();
        tokio::spawn(async move {
            let input = HandleInput(Input::CallerGone(id));
            let _ = decider.send(input).detach().await;
        });
    }
}
