//! Withdrawals of data centres that outlive a restore of the store.
//!
//! A store that was restored from an older copy may lack the newest withdrawals until the operators
//! write them again. Those in force are kept for [`KEPT_TIME`], or until the operators end them. All
//! times are of the caller's steady clock.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Config;
use crate::Name;

/// Time for which a withdrawal is kept that a restored store lacks. Operators write their records
/// again within that time.
pub const KEPT_TIME: Duration = Duration::from_secs(10);

/// The withdrawals in force that a restored store lacks.
#[derive(Debug, Default)]
pub struct Withdrawals {
    /// Era of the store in which the records were last read. `None` before the first time.
    era: Option<u64>,
    /// When each withdrawal ends unless it is written again.
    until: BTreeMap<Name, Duration>,
    /// Number of times that a withdrawal has ended so.
    expirations: u64,
}

impl Withdrawals {
    /// Keeps the withdrawals in force if the records are of a newer era than before.
    pub fn observe_era(&mut self, now: Duration, era: u64, in_force: &Config) {
        let earlier = self.era.replace(era);
        if earlier.is_none_or(|earlier| earlier == era) {
            return;
        }
        let withdrawn = in_force.data_centres.iter().filter(|(_, found)| found.out);
        for (name, _) in withdrawn {
            self.until.insert(name.clone(), now + KEPT_TIME);
        }
    }

    /// Ends a withdrawal that the operators have ended. Returns whether it was kept.
    pub fn end(&mut self, name: &str) -> bool {
        let was_kept = self.until.remove(name).is_some();
        self.expirations += u64::from(was_kept);
        was_kept
    }

    /// Ends the withdrawals whose time is over. Returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let count = self.until.len();
        self.until.retain(|_, until| now < *until);
        let has_expired = self.until.len() < count;
        self.expirations += u64::from(has_expired);
        has_expired
    }

    /// Returns the withdrawn data centres: those listed and those kept.
    pub fn merge(&mut self, listed: BTreeSet<Name>) -> Vec<Name> {
        self.until.retain(|name, _| !listed.contains(name));
        listed
            .into_iter()
            .chain(self.until.keys().cloned())
            .collect()
    }

    /// Returns the number of times that a kept withdrawal has ended. It tells configurations apart
    /// that were read at the same revision.
    pub fn expirations(&self) -> u64 {
        self.expirations
    }

    /// Returns when the next kept withdrawal ends.
    pub fn next_wake(&self) -> Option<Duration> {
        self.until.values().min().copied()
    }
}
