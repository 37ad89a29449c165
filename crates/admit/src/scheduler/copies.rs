//! Copies of running generations' memory, kept at a second server.
//!
//! Load pattern: engines are reclaimed all day with two seconds' notice, so that two in five long
//! generations lose theirs. One that may not run twice can only go on from a copy of its memory. Copies
//! take up room like what runs, so they are kept while there is room to spare; what runs on a server that
//! is about to go comes first, and is given room that others would not get.

use std::time::Duration;

use clock::Time;
use wire::AttemptId;
use wire::InstanceId;
use wire::Name;
use wire::admission::Endpoint;
use wire::admission::Work;

use super::Scheduler;
use super::crowd::Crowds;
use super::placed::Placed;
use crate::server::Server;

/// Greatest share of a server's memory, at its predicted peak, up to which it takes copies.
pub(super) const COPY_SHARE_MAX: f64 = 0.4;
/// The same for a copy of what runs on a server that is about to go. Without one it is lost for sure,
/// while a prediction that proves true costs another generation a pause.
const COPY_SHARE_AT_RISK: f64 = 1.1;
/// Least expected output of a generation of which a copy is kept, in tokens. A shorter one is run anew
/// in less time than its copy takes on the links.
const COPY_TOKENS_MIN: u32 = 64;
/// Time between two looks for copies to be renewed: a server that leaves says so two seconds before.
const RENEWAL_PERIOD: Duration = Duration::from_millis(100);
/// Copies renewed in one look. One takes some 200 ms on a link.
const RENEWALS_MAX: usize = 4;
/// The same for what runs on servers that are about to go: some ten go at once, each with a link of its own.
const RENEWALS_AT_RISK: usize = 32;
/// Time for which a server that had no room for a copy is not asked for another one. Reports are some
/// 500 ms old, and a generation ends on a full server every second or so.
const NO_ROOM_TIME: Duration = Duration::from_millis(300);

impl Scheduler {
    /// Returns the running attempts whose memory is to be copied to a new place: those whose copy is on
    /// a server that is about to go or has gone, and those that have none because there was no room.
    /// A few at a time, so that their copies do not queue on the links.
    pub fn renew_copies(&mut self, now: Time) -> Vec<(InstanceId, AttemptId, Endpoint)> {
        if !self.pool.copies || now < self.next_renewal {
            return Vec::new();
        }
        self.next_renewal = now + RENEWAL_PERIOD;
        let is_kept = |name: &Name| self.servers.get(name).is_some_and(Server::stays);
        let is_at_risk = |placed: &Placed| !is_kept(&placed.server);
        let mut bare: Vec<(bool, u32, AttemptId)> = self
            .placed
            .iter()
            .filter(|(_, placed)| placed.confirmed && placed.given_up.is_none())
            .filter(|(_, placed)| placed.generated > 0)
            .filter(|(_, placed)| !placed.copy.as_ref().is_some_and(is_kept))
            .map(|(attempt, placed)| (is_at_risk(placed), placed.generated, *attempt))
            .collect();
        // Those on a server that is about to go come first, and then those that have come furthest.
        bare.sort_unstable_by(|a, b| b.cmp(a));
        let mut renewed = Vec::new();
        if bare.is_empty() {
            return renewed;
        }
        let mut crowds = self.crowds(now);
        for (at_risk, _, attempt) in bare {
            let limit = if at_risk {
                RENEWALS_AT_RISK
            } else {
                RENEWALS_MAX
            };
            if renewed.len() >= limit {
                break;
            }
            let mut placed = self.placed[&attempt].clone();
            let most = if at_risk {
                COPY_SHARE_AT_RISK
            } else {
                COPY_SHARE_MAX
            };
            let original = (&placed.server, &placed.work, placed.generated + placed.rest);
            let Some(copy) = self.choose_copy(now, original, &[], most, &crowds) else {
                continue;
            };
            renewed.push((placed.holder, attempt, self.endpoint_of(&copy)));
            placed.copy = Some(copy);
            self.join_copy(&mut crowds, &placed);
            self.placed.insert(attempt, placed);
        }
        renewed
    }

    /// Notes that a copy could not be made: its server has no room, or can't be reached.
    pub fn forget_copy(&mut self, now: Time, attempt: AttemptId) {
        let placed = self.placed.get_mut(&attempt);
        if let Some(copy) = placed.and_then(|placed| placed.copy.take()) {
            self.no_room.insert(copy, now + NO_ROOM_TIME);
        }
    }

    fn has_no_room(&self, now: Time, name: &Name) -> bool {
        self.no_room.get(name).is_some_and(|until| now < *until)
    }

    /// Returns the server that keeps a copy of a generation's memory best: the emptiest one that would
    /// still have room for new work, so that copies never stand in the way of an admission.
    pub(super) fn choose_copy(
        &self,
        now: Time,
        (server, work, length): (&Name, &Work, u32),
        avoid: &[Name],
        most: f64,
        crowds: &Crowds,
    ) -> Option<Name> {
        if !self.pool.copies || work.hint < COPY_TOKENS_MIN {
            return None;
        }
        let mut best: Option<(f64, Name)> = None;
        for (name, other) in &self.servers {
            if name == server || avoid.contains(name) || !other.is_open(now) {
                continue;
            }
            if self.has_no_room(now, name) {
                continue;
            }
            let crowd = &crowds[name];
            let Some(share) = self.memory_share(other, crowd, work, length, most) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _)| share < *least) {
                best = Some((share, name.clone()));
            }
        }
        best.map(|(_, name)| name)
    }
}
