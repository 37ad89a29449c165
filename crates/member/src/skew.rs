//! Ages of frames despite skewed wall clocks.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::WallTime;
use wire::InstanceId;

/// Maximum number of senders whose clock differences are kept.
const SENDERS_MAX: usize = 1_024;
/// Amount by which a sender's minimum difference rises with each frame. Without it, a clock that
/// was set forward once would make the sender's frames look old for ever.
const DRIFT_PER_FRAME_MS: i64 = 1;

/// Estimates the ages of frames from the minimum difference between the receiver's clock and each
/// sender's clock.
///
/// The difference between a frame's time of receipt and time of sending is its transit time plus
/// the offset of the two clocks. The minimum over a sender's frames contains almost no transit
/// time, so a frame's age is the amount by which its difference exceeds the minimum.
#[derive(Debug, Default)]
pub struct Skew {
    min_differences: BTreeMap<InstanceId, i64>,
}

impl Skew {
    /// Returns the age of a frame that was sent at `sent_ms` by the sender's clock and received at
    /// `wall` by the receiver's.
    ///
    /// The first frame of a sender always has age zero, since its transit time is not known.
    pub fn age(&mut self, from: InstanceId, sent_ms: u64, wall: WallTime) -> Duration {
        let now_ms = i64::try_from(wall.as_millis()).unwrap_or(i64::MAX);
        let sent_ms = i64::try_from(sent_ms).unwrap_or(i64::MAX);
        let difference = now_ms.saturating_sub(sent_ms);
        if self.min_differences.len() >= SENDERS_MAX && !self.min_differences.contains_key(&from) {
            self.min_differences.pop_first();
        }
        let min_difference = self.min_differences.entry(from).or_insert(difference);
        *min_difference = (*min_difference + DRIFT_PER_FRAME_MS).min(difference);
        let age = difference.saturating_sub(*min_difference);
        Duration::from_millis(u64::try_from(age).unwrap_or(0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn delayed_frame_is_old_despite_clock_offset() {
        let mut skew = Skew::default();
        let ahead = |ms: u64| Duration::from_millis(5_000 + ms);
        assert_eq!(skew.age(1, 1_000, ahead(1_001)), Duration::ZERO);
        assert!(skew.age(1, 2_000, ahead(2_001)) <= Duration::from_millis(1));
        assert!(skew.age(1, 3_000, ahead(6_001)) >= Duration::from_millis(2_990));
    }
}
