//! The age of a frame, from wall clocks that disagree.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Wall;
use wire::InstanceId;

/// Senders remembered.
const SENDERS_MAX: usize = 1_024;
/// Amount by which the least difference creeps up with each frame, so that a clock that was set
/// forward once is not held against its sender for good.
const CREEP_MS: i64 = 1;

/// The least difference seen between the clock here and each sender's clock.
///
/// The difference of a frame is its transit time plus a constant that the two clocks make. The
/// least one seen has almost no transit time in it, so what a frame has more than that is its age.
#[derive(Debug, Default)]
pub struct Skew {
    least: BTreeMap<InstanceId, i64>,
}

impl Skew {
    /// Returns the age of a frame that was sent at `sent_ms` by the sender's clock.
    ///
    /// The first frame of a sender has age zero, whatever its transit time was.
    pub fn age(&mut self, from: InstanceId, sent_ms: u64, wall: Wall) -> Duration {
        let now_ms = i64::try_from(wall.as_millis()).unwrap_or(i64::MAX);
        let sent_ms = i64::try_from(sent_ms).unwrap_or(i64::MAX);
        let difference = now_ms.saturating_sub(sent_ms);
        if self.least.len() >= SENDERS_MAX && !self.least.contains_key(&from) {
            self.least.pop_first();
        }
        let least = self.least.entry(from).or_insert(difference);
        *least = (*least + CREEP_MS).min(difference);
        let age = difference.saturating_sub(*least);
        Duration::from_millis(u64::try_from(age).unwrap_or(0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_late_frame_is_old_whatever_the_clocks_say() {
        let mut skew = Skew::default();
        let ahead = |ms: u64| Duration::from_millis(5_000 + ms);
        assert_eq!(skew.age(1, 1_000, ahead(1_001)), Duration::ZERO);
        assert!(skew.age(1, 2_000, ahead(2_001)) <= Duration::from_millis(1));
        assert!(skew.age(1, 3_000, ahead(6_001)) >= Duration::from_millis(2_990));
    }
}
