//! Forwarding of an external configuration within a data centre.
//!
//! The instance that reads the store for its data centre is the root of a tree over the data centre's
//! instances. Each instance forwards a new configuration to its followers in the tree. An instance
//! that knows of a newer configuration but does not receive it reads the store itself, so the tree
//! only has to work most of the time.

use std::time::Duration;

use conf::Version;
use wire::Body;
use wire::InstanceId;

use crate::instance::Instance;
use crate::listing::READER_KEY;

/// Time in which a newer external configuration arrives from the instances that have read it. An
/// instance that has not received it by then reads it itself.
const EXTERNAL_PUSH_GRACE: Duration = Duration::from_millis(400);
/// Number of instances to which each instance of a data centre forwards a new external
/// configuration.
const FORWARD_FANOUT: usize = 4;
/// Maximum size of an external configuration that is forwarded, in compressed bytes. For larger ones
/// only the version is forwarded, and each instance reads the configuration itself, since it takes
/// seconds to send a large one to several instances over a slow link.
const FORWARDED_BYTES_MAX: usize = 96 * 1_024;

impl Instance {
    /// Returns whether this instance should read the external configuration now, although another
    /// one reads it for the data centre: a newer version is known and was not received.
    pub fn should_read_config(&self) -> bool {
        if self.config.transfers.is_receiving(self.now) {
            return false;
        }
        let behind_since = self.config.behind_since;
        behind_since.is_some_and(|since| self.now.saturating_sub(since) >= EXTERNAL_PUSH_GRACE)
    }

    /// Forwards a new external configuration to the instances of the own data centre that follow
    /// this one in a tree. Its root is the instance that reads the store. One that reads the store
    /// in the root's place forwards to the root's followers as well.
    pub(crate) fn forward_config(&mut self, is_read_here: bool) {
        let followers = self.config_followers(is_read_here && self.should_read_server_list());
        if followers.is_empty() {
            return;
        }
        let digest = self.config.digest();
        let Some((version, encoded)) = self.encoded_config() else {
            return;
        };
        let size = encoded.len();
        let body = match size <= FORWARDED_BYTES_MAX {
            true => Body::ConfigPart {
                version,
                offset: 0,
                size,
                bytes: encoded.to_vec(),
            },
            false => Body::ConfigVersion { version, digest },
        };
        for to in followers {
            self.send(to, body.clone());
        }
    }

    /// Forwards the announcement of a version that was not known, and records it.
    pub(crate) fn on_config_version(&mut self, from: InstanceId, version: Version, digest: u64) {
        if version > self.config.follower.newest_known_version() {
            for to in self.config_followers(false) {
                self.send(to, Body::ConfigVersion { version, digest });
            }
        }
        self.observe_version(from, version, digest);
    }

    /// Returns the instances to which this one forwards configurations. The root's followers are
    /// among them if this instance acts as the root.
    fn config_followers(&self, is_root: bool) -> Vec<InstanceId> {
        let own = self.own_data_centre();
        let live: Vec<InstanceId> = self.members.live(&own).collect();
        let count = live.len();
        let order = member::rendezvous::order(READER_KEY, live.into_iter(), count);
        let own_position = order.iter().position(|id| *id == self.id());
        let mut followers: Vec<InstanceId> = own_position
            .into_iter()
            .chain(is_root.then_some(0))
            .flat_map(|position| followers_of(&order, position))
            .filter(|id| *id != self.id())
            .collect();
        followers.sort_unstable();
        followers.dedup();
        followers
    }
}

/// Returns the instances that follow the one at a position in the tree over an ordered list.
fn followers_of(order: &[InstanceId], position: usize) -> impl Iterator<Item = InstanceId> + '_ {
    let first = position * FORWARD_FANOUT + 1;
    order.iter().skip(first).take(FORWARD_FANOUT).copied()
}
