//! The records of the configuration in the platform's store: the head and the snapshots.
//!
//! The head is small and is rewritten by every command. A snapshot holds a whole configuration. A
//! new one is written after [`CHANGES_KEPT`] changes, under a new key that is never overwritten, so
//! a head always refers to the snapshot for which it was written.

use serde::Deserialize;
use serde::Serialize;

use crate::Config;
use crate::Finding;
use crate::Name;
use crate::Version;
use crate::change;
use crate::change::Change;
use crate::change::ChangeId;

/// Key of the head in the store.
pub const HEAD_KEY: &str = "config/head";
/// Number of changes in the head at which a new snapshot is written.
pub const CHANGES_KEPT: usize = 32;
/// Maximum number of change ids in the head, by which repeated commands are recognised.
const RECENT_IDS_MAX: usize = 256;

/// The record that determines the configuration in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Head {
    /// The newest version.
    pub version: Version,
    /// Version of the snapshot. Zero is the empty configuration.
    pub snapshot_version: Version,
    /// Key of the snapshot. Empty while the snapshot is the empty configuration.
    pub snapshot_key: Name,
    /// The changes since the snapshot, oldest first.
    pub changes: Vec<Change>,
    /// Ids of the newest changes with their versions, oldest first.
    pub ids: Vec<(ChangeId, Version)>,
}

impl Head {
    /// Returns the version that a change produced, or `None` if the change is unknown or too old.
    pub fn version_of(&self, id: ChangeId) -> Option<Version> {
        self.ids
            .iter()
            .find(|(change_id, _)| *change_id == id)
            .map(|(_, version)| *version)
    }

    /// Returns whether a snapshot must be written before the next change.
    pub fn needs_snapshot(&self) -> bool {
        self.changes.len() >= CHANGES_KEPT
    }

    /// Applies a change to the configuration at this head. Returns the new head and configuration.
    ///
    /// # Errors
    ///
    /// Returns the findings of [`change::apply`].
    pub fn with_change(
        &self,
        config: &Config,
        mut change: Change,
    ) -> Result<(Head, Config), Vec<Finding>> {
        let next = change::apply(config, &change.ops)?;
        change.version = next.version;
        let mut head = self.clone();
        head.version = next.version;
        head.ids.push((change.id, next.version));
        let excess = head.ids.len().saturating_sub(RECENT_IDS_MAX);
        head.ids.drain(..excess);
        head.changes.push(change);
        Ok((head, next))
    }

    /// Returns the head with a newer snapshot, without the changes that the snapshot includes.
    pub fn with_snapshot(&self, key: Name, version: Version) -> Head {
        let mut head = self.clone();
        head.snapshot_key = key;
        head.snapshot_version = version;
        head.changes.retain(|change| change.version > version);
        head
    }
}
