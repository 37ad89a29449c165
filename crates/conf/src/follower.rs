//! How an instance moves from version to version.
//!
//! Heads, snapshots and changes arrive from the store, from its watches and from peers, late, twice
//! and in any order. A [`Follower`] only ever moves to a greater version, by applying the next
//! change or by taking a newer whole configuration.

use std::collections::VecDeque;

use crate::Config;
use crate::Version;
use crate::change;
use crate::change::Change;

/// Changes kept to be handed to peers.
const CHANGES_KEPT: usize = 64;

/// One instance's configuration.
#[derive(Debug, Default)]
pub struct Follower {
    config: Config,
    recent: VecDeque<Change>,
    known: Version,
    failures: u64,
}

impl Follower {
    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.config.version
    }

    /// Returns the greatest version that this instance has heard of.
    pub fn newest_known_version(&self) -> Version {
        self.known.max(self.version())
    }

    /// Returns how many changes could not be applied, which is zero unless instances of different
    /// releases disagree about the schema.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// Notes that a version exists somewhere.
    pub fn observe_version(&mut self, version: Version) {
        self.known = self.known.max(version);
    }

    /// Returns whether a version is known that is not in force here.
    pub fn is_behind(&self) -> bool {
        self.known > self.version()
    }

    /// Takes a whole configuration. Returns whether it is now in force.
    pub fn install(&mut self, config: Config) -> bool {
        self.observe_version(config.version);
        if config.version <= self.version() {
            return false;
        }
        self.config = config;
        self.recent.clear();
        true
    }

    /// Takes a later version of which it is known that it says the same.
    pub fn confirm(&mut self, version: Version) {
        self.observe_version(version);
        if version > self.version() {
            self.config.version = version;
            self.recent.clear();
        }
    }

    /// Takes changes, oldest first. Returns whether any came into force.
    pub fn apply_changes(&mut self, changes: &[Change]) -> bool {
        let before = self.version();
        for change in changes {
            self.observe_version(change.version);
            if change.version != self.version() + 1 {
                continue;
            }
            let Ok(next) = change::apply(&self.config, &change.ops) else {
                self.failures += 1;
                break;
            };
            self.config = next;
            self.recent.push_back(change.clone());
            if self.recent.len() > CHANGES_KEPT {
                self.recent.pop_front();
            }
        }
        self.version() > before
    }

    /// Returns the newest changes, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &Change> {
        self.recent.iter()
    }

    /// Returns the changes after a version, or `None` if they are no longer all at hand.
    pub fn changes_after(&self, version: Version) -> Option<Vec<Change>> {
        let after: Vec<Change> = self
            .recent
            .iter()
            .filter(|change| change.version > version)
            .cloned()
            .collect();
        let first = after.first()?;
        (first.version == version + 1).then_some(after)
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::change::Op;
    use crate::schema::Kind;

    fn history(length: u64) -> (Vec<Change>, Vec<Config>) {
        let mut configs = vec![Config::default()];
        let mut changes = Vec::new();
        for version in 1..=length {
            let ops = vec![Op::Put {
                kind: Kind::DataCentre,
                name: format!("dc{version}").as_str().into(),
                value: "{}".into(),
            }];
            configs.push(change::apply(configs.last().unwrap(), &ops).unwrap());
            changes.push(Change {
                id: version,
                version,
                who: "test".into(),
                at_ms: 0,
                ops,
            });
        }
        (changes, configs)
    }

    proptest! {
        #[test]
        fn any_order_of_changes_and_snapshots_never_reverts(
            steps in proptest::collection::vec((any::<bool>(), 0usize..12, 1usize..4), 0..40),
        ) {
            let (changes, configs) = history(12);
            let mut follower = Follower::default();
            for (whole, at, count) in steps {
                let before = follower.version();
                if whole {
                    follower.install(configs[at + 1].clone());
                } else {
                    follower.apply_changes(&changes[at..(at + count).min(12)]);
                }
                prop_assert!(follower.version() >= before);
                prop_assert_eq!(follower.config(), &configs[follower.version() as usize]);
            }
        }
    }
}
