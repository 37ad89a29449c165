//! The records of the configuration in the platform's store.
//!
//! The head is small and changes with every command. The snapshot holds a whole configuration and
//! is written once in [`CHANGES_KEPT`] changes, under a key of its own that nobody writes again, so
//! that a head never points at a snapshot that has moved on.

use serde::Deserialize;
use serde::Serialize;

use crate::Config;
use crate::Finding;
use crate::Name;
use crate::Version;
use crate::change;
use crate::change::Change;
use crate::change::ChangeId;

/// Key of the head.
pub const HEAD_KEY: &str = "config/head";
/// Changes kept in the head before a new snapshot is written.
pub const CHANGES_KEPT: usize = 32;
/// Change ids kept in the head, to recognise a command that is sent again.
const IDS_KEPT: usize = 256;

/// The record that decides the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Head {
    /// The newest version.
    pub version: Version,
    /// Version of the snapshot.
    pub snapshot_version: Version,
    /// Key of the snapshot. Empty while the snapshot is the empty configuration.
    pub snapshot_key: Name,
    /// The changes after the snapshot, oldest first.
    pub changes: Vec<Change>,
    /// Ids of the newest changes with their versions, oldest first.
    pub ids: Vec<(ChangeId, Version)>,
}

impl Head {
    /// Returns the version that a change led to, if it is one of the newest.
    pub fn version_of(&self, id: ChangeId) -> Option<Version> {
        self.ids
            .iter()
            .find(|(known, _)| *known == id)
            .map(|(_, version)| *version)
    }

    /// Returns whether the next change needs a snapshot first.
    pub fn is_full(&self) -> bool {
        self.changes.len() >= CHANGES_KEPT
    }

    /// Returns the head after one more change, and the configuration that it leads to.
    ///
    /// # Errors
    ///
    /// The findings of [`change::apply`].
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
        let excess = head.ids.len().saturating_sub(IDS_KEPT);
        head.ids.drain(..excess);
        head.changes.push(change);
        Ok((head, next))
    }

    /// Returns the head with a newer snapshot and without the changes that it holds.
    pub fn with_snapshot(&self, key: Name, version: Version) -> Head {
        let mut head = self.clone();
        head.snapshot_key = key;
        head.snapshot_version = version;
        head.changes.retain(|change| change.version > version);
        head
    }
}
