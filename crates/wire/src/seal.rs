//! Encoding and authentication of frames.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ANY_INSTANCE;
use crate::Body;
use crate::Error;
use crate::FRAME_BYTES;
use crate::Frame;
use crate::InstanceId;
use crate::Kind;

/// Length of the truncated keyed hash at the end of a frame, in bytes.
const TAG_BYTES: usize = 16;
/// Maximum difference between a frame's wall time and the receiver's, including the transit time.
const CLOCK_DIFFERENCE_MAX: Duration = Duration::from_secs(30);
/// Length of a sender's replay window, in sequence numbers. Older frames are rejected.
const WINDOW_LEN: u64 = 128;
/// Maximum number of senders whose replay windows are kept.
const SENDERS_MAX: usize = 4_096;

/// The secret key that all instances share.
pub type SharedKey = [u8; 32];

/// Derives the shared key from the secret text in the settings.
pub fn key_from_text(text: &str) -> SharedKey {
    blake3::derive_key("wigeonjunction peers 1", text.as_bytes())
}

/// Encodes and authenticates the frames of one sender.
#[derive(Debug)]
pub struct Sealer {
    secret: SharedKey,
    from: InstanceId,
    seq: u64,
}

impl Sealer {
    /// Returns a sealer for the frames of one incarnation.
    pub fn new(secret: SharedKey, from: InstanceId) -> Sealer {
        Sealer {
            secret,
            from,
            seq: 0,
        }
    }

    /// Returns the sealer with sequence numbers that start after `seq`, for a sender that has lost
    /// track of the numbers that it used.
    pub fn with_last_seq(mut self, seq: u64) -> Sealer {
        self.seq = seq;
        self
    }

    /// Encodes and authenticates the next frame.
    ///
    /// # Panics
    ///
    /// Never: every frame can be encoded.
    pub fn seal(&mut self, to: InstanceId, wall: Duration, body: Body) -> Vec<u8> {
        self.seq += 1;
        let frame = Frame {
            from: self.from,
            to,
            seq: self.seq,
            wall_ms: u64::try_from(wall.as_millis()).unwrap_or(u64::MAX),
            body,
        };
        let mut bytes = postcard::to_stdvec(&frame).expect("postcard encodes every frame");
        let tag = blake3::keyed_hash(&self.secret, &bytes);
        bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        bytes
    }
}

/// Decodes and checks the frames sent to one receiver.
#[derive(Debug)]
pub struct Opener {
    secret: SharedKey,
    own_id: InstanceId,
    senders: BTreeMap<InstanceId, ReplayWindow>,
}

/// The sequence numbers recently received from one sender. Bit `n` of `seen_bits` stands for
/// `highest_seq - n`; `wall_ms` is the latest wall time in the sender's frames.
#[derive(Debug, Default)]
struct ReplayWindow {
    highest_seq: u64,
    seen_bits: u128,
    wall_ms: u64,
}

impl Opener {
    /// Returns an opener for frames addressed to one incarnation.
    pub fn new(secret: SharedKey, own_id: InstanceId) -> Opener {
        Opener {
            secret,
            own_id,
            senders: BTreeMap::new(),
        }
    }

    /// Decodes a frame and checks its authenticity, receiver, age and sequence number.
    ///
    /// # Errors
    ///
    /// If the frame is malformed, not authenticated with the shared key, addressed to another
    /// incarnation, stale or replayed.
    pub fn open(&mut self, bytes: &[u8], wall: Duration) -> Result<Frame, Error> {
        if bytes.len() <= TAG_BYTES || bytes.len() > FRAME_BYTES {
            return Err(Error::new(Kind::Size));
        }
        let (encoded, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        self.check_tag(encoded, tag)?;
        let (frame, rest): (Frame, &[u8]) =
            postcard::take_from_bytes(encoded).map_err(|_| Error::new(Kind::Malformed))?;
        if !rest.is_empty() {
            return Err(Error::new(Kind::Malformed));
        }
        self.check_receiver(&frame)?;
        let now_ms = u64::try_from(wall.as_millis()).unwrap_or(u64::MAX);
        if u128::from(now_ms.abs_diff(frame.wall_ms)) > CLOCK_DIFFERENCE_MAX.as_millis() {
            return Err(Error::new(Kind::Stale));
        }
        self.check_seq(&frame)?;
        Ok(frame)
    }

    fn check_tag(&self, encoded: &[u8], tag: &[u8]) -> Result<(), Error> {
        let mut expected = [0; TAG_BYTES];
        expected
            .copy_from_slice(&blake3::keyed_hash(&self.secret, encoded).as_bytes()[..TAG_BYTES]);
        // Compares in constant time, so that the duration does not reveal how many bytes match.
        let difference = expected
            .iter()
            .zip(tag)
            .fold(0, |bits, (left, right)| bits | (left ^ right));
        if difference == 0 {
            Ok(())
        } else {
            Err(Error::new(Kind::Forged))
        }
    }

    fn check_receiver(&self, frame: &Frame) -> Result<(), Error> {
        // A ping may come from an instance that does not know this incarnation yet. Any other
        // frame without a receiver could be meant for an earlier incarnation.
        let is_unaddressed_ping =
            frame.to == ANY_INSTANCE && matches!(frame.body, Body::Ping { .. });
        if frame.to == self.own_id || is_unaddressed_ping {
            Ok(())
        } else {
            Err(Error::new(Kind::Misdirected))
        }
    }

    fn check_seq(&mut self, frame: &Frame) -> Result<(), Error> {
        if self.senders.len() >= SENDERS_MAX && !self.senders.contains_key(&frame.from) {
            self.evict_oldest_sender();
        }
        let window = self.senders.entry(frame.from).or_default();
        if window.accept(frame.seq) {
            window.wall_ms = window.wall_ms.max(frame.wall_ms);
            Ok(())
        } else {
            Err(Error::new(Kind::Replayed))
        }
    }

    fn evict_oldest_sender(&mut self) {
        let oldest = self
            .senders
            .iter()
            .min_by_key(|(_, window)| window.wall_ms)
            .map(|(id, _)| *id);
        if let Some(id) = oldest {
            self.senders.remove(&id);
        }
    }
}

impl ReplayWindow {
    fn accept(&mut self, seq: u64) -> bool {
        if seq > self.highest_seq {
            let shift = seq - self.highest_seq;
            self.seen_bits = if shift >= WINDOW_LEN {
                0
            } else {
                self.seen_bits << shift
            };
            self.seen_bits |= 1;
            self.highest_seq = seq;
            return true;
        }
        let offset = self.highest_seq - seq;
        if offset >= WINDOW_LEN || self.seen_bits & (1 << offset) != 0 {
            return false;
        }
        self.seen_bits |= 1 << offset;
        true
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const WALL: Duration = Duration::from_secs(1_000_000);

    fn sealed() -> Vec<u8> {
        let body = Body::FetchConfig {
            after: 3,
            digest: 0,
        };
        Sealer::new(key_from_text("k"), 1).seal(2, WALL, body)
    }

    fn opener() -> Opener {
        Opener::new(key_from_text("k"), 2)
    }

    #[test]
    fn each_rejection_has_its_own_error_kind() {
        let kind = |opener: &mut Opener, bytes: &[u8], wall| {
            opener.open(bytes, wall).map_err(|error| error.kind())
        };
        let bytes = sealed();
        let mut good = opener();
        assert!(kind(&mut good, &bytes, WALL).is_ok());
        assert_eq!(kind(&mut good, &bytes, WALL), Err(Kind::Replayed));
        let late = WALL + CLOCK_DIFFERENCE_MAX * 2;
        assert_eq!(kind(&mut opener(), &bytes, late), Err(Kind::Stale));
        assert_eq!(kind(&mut opener(), &bytes[..9], WALL), Err(Kind::Size));
        let mut other = Opener::new(key_from_text("other"), 2);
        assert_eq!(kind(&mut other, &bytes, WALL), Err(Kind::Forged));
        let mut restarted = Opener::new(key_from_text("k"), 3);
        assert_eq!(kind(&mut restarted, &bytes, WALL), Err(Kind::Misdirected));
    }

    proptest! {
        #[test]
        fn random_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
            prop_assert!(opener().open(&bytes, WALL).is_err());
        }

        #[test]
        fn authenticated_garbage_does_not_panic(encoded in proptest::collection::vec(any::<u8>(), 1..400)) {
            let mut bytes = encoded;
            let tag = blake3::keyed_hash(&key_from_text("k"), &bytes);
            bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
            let _ = opener().open(&bytes, WALL);
        }

        #[test]
        fn any_flipped_bit_is_detected(at in 0usize..1_000, bit in 0u8..8) {
            let mut bytes = sealed();
            let at = at % bytes.len();
            bytes[at] ^= 1 << bit;
            prop_assert!(opener().open(&bytes, WALL).is_err());
        }

        #[test]
        fn no_sequence_number_is_accepted_twice(numbers in proptest::collection::vec(1u64..300, 0..400)) {
            let mut window = ReplayWindow::default();
            let mut accepted = std::collections::BTreeSet::new();
            for seq in numbers {
                if window.accept(seq) {
                    prop_assert!(accepted.insert(seq));
                }
            }
        }
    }
}
