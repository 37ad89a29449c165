//! Synchronisation of whole views between two instances.
//!
//! Gossip carries a few rumours a frame, which is enough for single changes. When a large fleet
//! starts at once, every instance has as many rumours to learn as there are instances, and gossip
//! needs a time proportional to the fleet. Pairs of instances therefore exchange whole views as
//! well, as in the anti-entropy of Demers et al. ("Epidemic Algorithms for Replicated Database
//! Maintenance", 1987): a view that grows with every exchange is complete after a number of
//! exchanges proportional to the logarithm of the fleet's size.
//!
//! An exchange begins with an offer, which holds only a digest of the running instances. The
//! receiver answers with its view if its own digest differs, and gets back what that view lacks.

use std::time::Duration;

use clock::Time;
use wire::Body;
use wire::InstanceId;
use wire::gossip::Rumour;
use wire::gossip::State;

use crate::Membership;
use crate::OutgoingFrame;

/// Time between two offers while they bring news.
const INTERVAL_MIN: Duration = Duration::from_millis(300);
/// Longest time between two offers.
const INTERVAL_MAX: Duration = Duration::from_secs(10);
/// Time after a start or a pause of this process in which offers are not slowed down.
const STARTING_TIME: Duration = Duration::from_secs(3);

/// When views are synchronised.
#[derive(Debug)]
pub(crate) struct Schedule {
    next_offer: Time,
    interval: Duration,
    /// Whether the view has grown by an exchange since the last offer.
    has_grown: bool,
    starting_until: Option<Time>,
}

impl Default for Schedule {
    fn default() -> Schedule {
        Schedule {
            next_offer: Time::ZERO,
            interval: INTERVAL_MIN,
            has_grown: false,
            starting_until: None,
        }
    }
}

impl Schedule {
    /// Returns to the shortest interval, after a pause of this process.
    pub(crate) fn restart(&mut self) {
        *self = Schedule::default();
    }

    /// Returns whether an offer is due, and schedules the next one.
    fn is_due(&mut self, now: Time) -> bool {
        let starting_until = *self.starting_until.get_or_insert(now + STARTING_TIME);
        if now < self.next_offer {
            return false;
        }
        let is_busy = std::mem::take(&mut self.has_grown) || now < starting_until;
        self.interval = match is_busy {
            true => INTERVAL_MIN,
            false => (self.interval * 2).min(INTERVAL_MAX),
        };
        self.next_offer = now + self.interval;
        true
    }
}

impl Membership {
    /// Returns an offer to a random running instance if one is due.
    pub(crate) fn offer_sync(&mut self, now: Time) -> Option<OutgoingFrame> {
        if !self.sync.is_due(now) {
            return None;
        }
        let others: Vec<InstanceId> = self.running_others().collect();
        let target = self.rng.choice(others)?;
        let digest = self.running_digest();
        self.send(target, Body::SyncOffer { digest })
    }

    /// Handles an offer: returns this view if the sender's differs.
    pub fn on_sync_offer(&mut self, from: InstanceId, digest: u64) -> Vec<OutgoingFrame> {
        if digest == self.running_digest() {
            return Vec::new();
        }
        let rumours = self.running_rumours().cloned().collect();
        let body = Body::SyncView {
            rumours,
            is_reply: false,
        };
        self.send(from, body).into_iter().collect()
    }

    /// Merges another instance's view. Unless it is the reply to this view, returns what it lacks.
    pub fn on_sync_view(
        &mut self,
        now: Time,
        from: InstanceId,
        rumours: &[Rumour],
        is_reply: bool,
    ) -> Vec<OutgoingFrame> {
        let running_before = self.running_others().count();
        for rumour in rumours {
            // Exchanges spread these rumours faster than gossip, whose frames are left to changes.
            self.merge_rumour(now, rumour);
        }
        self.sync.has_grown |= self.running_others().count() > running_before;
        if is_reply {
            return Vec::new();
        }
        let lacking = self.rumours_lacking_in(rumours);
        if lacking.is_empty() {
            return Vec::new();
        }
        let body = Body::SyncView {
            rumours: lacking,
            is_reply: true,
        };
        self.send(from, body).into_iter().collect()
    }

    fn running_rumours(&self) -> impl Iterator<Item = &Rumour> {
        self.rumours().filter(|rumour| rumour.state != State::Dead)
    }

    /// Returns a hash of the running instances that does not depend on their order.
    fn running_digest(&self) -> u64 {
        self.running_rumours()
            .map(|rumour| xxhash_rust::xxh3::xxh3_64(&rumour.entry.id.to_le_bytes()))
            .fold(0, |digest, hash| digest ^ hash)
    }

    /// Returns the running instances that another view lacks, and those that it does not know to be
    /// dead.
    fn rumours_lacking_in(&self, view: &[Rumour]) -> Vec<Rumour> {
        let known: std::collections::BTreeSet<InstanceId> =
            view.iter().map(|rumour| rumour.entry.id).collect();
        self.rumours()
            .filter(|rumour| (rumour.state == State::Dead) == known.contains(&rumour.entry.id))
            .cloned()
            .collect()
    }
}
