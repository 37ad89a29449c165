//! Reports to the decider of what servers state about themselves in the heads of their responses.

use std::sync::Arc;

use clock::Time;
use gateway::decider::Decider;
use gateway::decider::HandleInput;
use gateway::decider::Status;
use hyper::StatusCode;
use hyper::http::response;
use tokio::sync::watch;
use wigeon_core::Input;
use wigeon_core::RateLimit;
use wigeon_core::ServerNotice;
use wire::BootId;
use wire::Name;
use xtra::Address;

use crate::codec::ResponseKind;
use crate::relay::RelayContext;

/// Reports the notices of one boot of a server.
pub(super) struct NoticeReporter {
    decider: Address<Decider>,
    server_notice: fn(&response::Parts) -> ServerNotice,
    server: Name,
    boot: BootId,
    /// When the request was sent.
    sent_at: Time,
    status: watch::Receiver<Status>,
}

impl NoticeReporter {
    pub(super) fn new(context: &Arc<RelayContext>, server: Name, boot: BootId) -> NoticeReporter {
        NoticeReporter {
            decider: context.decider.clone(),
            server_notice: context.codec.server_notice,
            server,
            boot,
            sent_at: context.clock.now(),
            status: context.status.clone(),
        }
    }

    /// Reports what the head of a response to a call states. The decider handles it before any later
    /// report on the same attempt.
    pub(super) async fn report(&self, parts: &response::Parts) {
        let mut notice = (self.server_notice)(parts);
        notice.limit = notice.limit.if_stated();
        self.send(notice).await;
    }

    /// Reports what the head of a response of a given kind to a request states.
    pub(super) async fn report_response(&self, parts: &response::Parts, kind: ResponseKind) {
        let mut notice = (self.server_notice)(parts);
        // Responses of another server or to another request say nothing about the limit now. The
        // absence of a limit is news only if one was stated before.
        let is_foreign = matches!(kind, ResponseKind::Misdirected | ResponseKind::Unrelated)
            || parts.status == StatusCode::MISDIRECTED_REQUEST;
        let has_limited_servers = self.status.borrow().has_limited_servers;
        if is_foreign || (notice.limit == RateLimit::Absent && !has_limited_servers) {
            notice.limit = RateLimit::Unknown;
        }
        notice.strain = notice.strain.filter(|_| !is_foreign);
        self.send(notice).await;
    }

    async fn send(&self, notice: ServerNotice) {
        if notice == ServerNotice::default() {
            return;
        }
        let input = Input::ServerNotice(self.server.clone(), self.boot, self.sent_at, notice);
        let _ = self.decider.send(HandleInput(input)).detach().await;
    }
}
