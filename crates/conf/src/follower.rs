//! Replication of the configuration to an instance.
//!
//! Heads, snapshots and changes arrive from reads and watches of the store and from peers. They may
//! be late, duplicated or out of order. A [`Follower`] only moves to a greater version, either by
//! applying the next change or by installing a newer snapshot.

use std::collections::VecDeque;

use crate::Config;
use crate::Version;
use crate::change;
use crate::change::Change;

/// Maximum number of recent changes that are retained for peers.
const RECENT_CHANGES_MAX: usize = 64;

/// The configuration of one instance and its recent changes.
#[derive(Debug, Default)]
pub struct Follower {
    config: Config,
    recent: VecDeque<Change>,
    newest_known: Version,
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

    /// Returns the greatest version known to exist, whether or not it is in force here.
    pub fn newest_known_version(&self) -> Version {
        self.newest_known.max(self.version())
    }

    /// Returns the number of changes that could not be applied. It is zero unless instances run
    /// releases with different schemas.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// Records that a version exists.
    pub fn observe_version(&mut self, version: Version) {
        self.newest_known = self.newest_known.max(version);
    }

    /// Returns whether a greater version than the one in force here is known to exist.
    pub fn is_behind(&self) -> bool {
        self.newest_known > self.version()
    }

    /// Installs a whole configuration if its version is greater. Returns whether it was installed.
    pub fn install(&mut self, config: Config) -> bool {
        self.observe_version(config.version);
        if config.version <= self.version() {
            return false;
        }
        self.config = config;
        self.recent.clear();
        true
    }

    /// Moves to a greater version whose content is known to be the same as that of the version in
    /// force.
    pub fn adopt_version(&mut self, version: Version) {
        self.observe_version(version);
        if version > self.version() {
            self.config.version = version;
            self.recent.clear();
        }
    }

    /// Applies the changes that directly follow the version in force. `changes` are in order,
    /// oldest first. Returns whether any change was applied.
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
            if self.recent.len() > RECENT_CHANGES_MAX {
                self.recent.pop_front();
            }
        }
        self.version() > before
    }

    /// Returns the retained recent changes, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &Change> {
        self.recent.iter()
    }

    /// Returns the changes after a version, or `None` if there are none or not all of them are
    /// retained.
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

    fn build_history(length: u64) -> (Vec<Change>, Vec<Config>) {
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
                version: version.into(),
                who: "test".into(),
                at_ms: 0,
                ops,
            });
        }
        (changes, configs)
    }

    proptest! {
        #[test]
        fn version_never_decreases_for_any_order_of_changes_and_snapshots(
            steps in proptest::collection::vec((any::<bool>(), 0usize..12, 1usize..4), 0..40),
        ) {
            let (changes, configs) = build_history(12);
            let mut follower = Follower::default();
            for (snapshot, start, count) in steps {
                let before = follower.version();
                if snapshot {
                    follower.install(configs[start + 1].clone());
                } else {
                    follower.apply_changes(&changes[start..(start + count).min(12)]);
                }
                prop_assert!(follower.version() >= before);
                prop_assert_eq!(follower.config(), &configs[follower.version() as usize]);
            }
        }
    }
}
