//! Reports to the decider of what servers state about themselves in the heads of their responses.

use std::sync::Arc;

use gateway::decider::Decider;
use gateway::decider::HandleInput;
use hyper::http::response;
use wigeon_core::Input;
use wigeon_core::ServerNotice;
use wire::BootId;
use wire::Name;
use xtra::Address;

use crate::relay::RelayContext;

/// Reports the notices of one boot of a server.
pub(super) struct NoticeReporter {
    decider: Address<Decider>,
    server_notice: fn(&response::Parts) -> ServerNotice,
    server: Name,
    boot: BootId,
}

impl NoticeReporter {
    pub(super) fn new(context: &Arc<RelayContext>, server: Name, boot: BootId) -> NoticeReporter {
        NoticeReporter {
            decider: context.decider.clone(),
            server_notice: context.codec.server_notice,
            server,
            boot,
        }
    }

    /// Reports what the head of a response states. The decider handles it before any later report
    /// on the same attempt.
    pub(super) async fn report(&self, parts: &response::Parts) {
        let notice = (self.server_notice)(parts);
        if notice == ServerNotice::default() {
            return;
        }
        let input = Input::ServerNotice(self.server.clone(), self.boot, notice);
        let _ = self.decider.send(HandleInput(input)).detach().await;
    }
}
