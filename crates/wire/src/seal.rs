//! Coding and authentication of frames.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ANY;
use crate::Body;
use crate::Error;
use crate::FRAME_BYTES;
use crate::Frame;
use crate::InstanceId;
use crate::Kind;

/// Bytes of the keyed hash at the end of a frame.
const TAG_BYTES: usize = 16;
/// Greatest difference between the wall clocks of sender and receiver, transit included.
const SKEW_MAX: Duration = Duration::from_secs(30);
/// Sequence numbers remembered below the greatest one of a sender.
const WINDOW: u64 = 128;
/// Senders remembered.
const SENDERS_MAX: usize = 4_096;

/// The key that all instances share.
pub type Secret = [u8; 32];

/// Returns the key for a text of the settings.
pub fn key_from_text(text: &str) -> Secret {
    blake3::derive_key("wigeonjunction peers 1", text.as_bytes())
}

/// Makes the bytes of frames.
#[derive(Debug)]
pub struct Sealer {
    secret: Secret,
    from: InstanceId,
    seq: u64,
}

impl Sealer {
    /// Returns a sealer for one incarnation.
    pub fn new(secret: Secret, from: InstanceId) -> Sealer {
        Sealer {
            secret,
            from,
            seq: 0,
        }
    }

    /// Returns the sealer with numbers that begin after a given one, for a sender that has forgotten
    /// which it used.
    pub fn with_start(mut self, seq: u64) -> Sealer {
        self.seq = seq;
        self
    }

    /// Returns the bytes of the next frame.
    ///
    /// # Panics
    ///
    /// Never: every body can be coded.
    pub fn seal(&mut self, to: InstanceId, wall: Duration, body: Body) -> Vec<u8> {
        self.seq += 1;
        let frame = Frame {
            from: self.from,
            to,
            seq: self.seq,
            wall_ms: u64::try_from(wall.as_millis()).unwrap_or(u64::MAX),
            body,
        };
        let mut bytes = postcard::to_stdvec(&frame).expect("a frame can be coded");
        let tag = blake3::keyed_hash(&self.secret, &bytes);
        bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        bytes
    }
}

/// Checks the bytes of frames.
#[derive(Debug)]
pub struct Opener {
    secret: Secret,
    own: InstanceId,
    senders: BTreeMap<InstanceId, Window>,
}

/// Sequence numbers seen of one sender.
#[derive(Debug, Default)]
struct Window {
    greatest: u64,
    seen: u128,
    wall_ms: u64,
}

impl Opener {
    /// Returns an opener for one incarnation.
    pub fn new(secret: Secret, own: InstanceId) -> Opener {
        Opener {
            secret,
            own,
            senders: BTreeMap::new(),
        }
    }

    /// Returns the frame in some bytes.
    ///
    /// # Errors
    ///
    /// If the bytes are no frame from a holder of the key to this incarnation, or one seen before.
    pub fn open(&mut self, bytes: &[u8], wall: Duration) -> Result<Frame, Error> {
        if bytes.len() <= TAG_BYTES || bytes.len() > FRAME_BYTES {
            return Err(Error::new(Kind::Size));
        }
        let (coded, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        self.check_tag(coded, tag)?;
        let (frame, rest): (Frame, &[u8]) =
            postcard::take_from_bytes(coded).map_err(|_| Error::new(Kind::Malformed))?;
        if !rest.is_empty() {
            return Err(Error::new(Kind::Malformed));
        }
        self.check_receiver(&frame)?;
        let now_ms = u64::try_from(wall.as_millis()).unwrap_or(u64::MAX);
        if u128::from(now_ms.abs_diff(frame.wall_ms)) > SKEW_MAX.as_millis() {
            return Err(Error::new(Kind::Stale));
        }
        self.check_seq(&frame)?;
        Ok(frame)
    }

    fn check_tag(&self, coded: &[u8], tag: &[u8]) -> Result<(), Error> {
        let mut expected = [0; TAG_BYTES];
        expected.copy_from_slice(&blake3::keyed_hash(&self.secret, coded).as_bytes()[..TAG_BYTES]);
        // All bytes are compared whatever the first ones are, so that the time tells nothing.
        let differing = expected
            .iter()
            .zip(tag)
            .fold(0, |all, (left, right)| all | (left ^ right));
        if differing == 0 {
            Ok(())
        } else {
            Err(Error::new(Kind::Forged))
        }
    }

    fn check_receiver(&self, frame: &Frame) -> Result<(), Error> {
        // Only a probe may come from somebody who does not know this incarnation yet; anything
        // else without a receiver could be a frame meant for an earlier one.
        let open = frame.to == ANY && matches!(frame.body, Body::Ping { .. });
        if frame.to == self.own || open {
            Ok(())
        } else {
            Err(Error::new(Kind::Misdirected))
        }
    }

    fn check_seq(&mut self, frame: &Frame) -> Result<(), Error> {
        if self.senders.len() >= SENDERS_MAX && !self.senders.contains_key(&frame.from) {
            self.forget_oldest();
        }
        let window = self.senders.entry(frame.from).or_default();
        if window.accept(frame.seq) {
            window.wall_ms = window.wall_ms.max(frame.wall_ms);
            Ok(())
        } else {
            Err(Error::new(Kind::Replayed))
        }
    }

    fn forget_oldest(&mut self) {
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

impl Window {
    fn accept(&mut self, seq: u64) -> bool {
        if seq > self.greatest {
            let shift = seq - self.greatest;
            self.seen = if shift >= WINDOW {
                0
            } else {
                self.seen << shift
            };
            self.seen |= 1;
            self.greatest = seq;
            return true;
        }
        let back = self.greatest - seq;
        if back >= WINDOW || self.seen & (1 << back) != 0 {
            return false;
        }
        self.seen |= 1 << back;
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
    fn each_kind_of_bad_frame_is_told_apart() {
        let kind = |opener: &mut Opener, bytes: &[u8], wall| {
            opener.open(bytes, wall).map_err(|error| error.kind())
        };
        let bytes = sealed();
        let mut good = opener();
        assert!(kind(&mut good, &bytes, WALL).is_ok());
        assert_eq!(kind(&mut good, &bytes, WALL), Err(Kind::Replayed));
        let late = WALL + SKEW_MAX * 2;
        assert_eq!(kind(&mut opener(), &bytes, late), Err(Kind::Stale));
        assert_eq!(kind(&mut opener(), &bytes[..9], WALL), Err(Kind::Size));
        let mut other = Opener::new(key_from_text("other"), 2);
        assert_eq!(kind(&mut other, &bytes, WALL), Err(Kind::Forged));
        let mut restarted = Opener::new(key_from_text("k"), 3);
        assert_eq!(kind(&mut restarted, &bytes, WALL), Err(Kind::Misdirected));
    }

    proptest! {
        #[test]
        fn random_bytes_are_no_frame(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
            prop_assert!(opener().open(&bytes, WALL).is_err());
        }

        #[test]
        fn correctly_sealed_garbage_does_not_panic(coded in proptest::collection::vec(any::<u8>(), 1..400)) {
            let mut bytes = coded;
            let tag = blake3::keyed_hash(&key_from_text("k"), &bytes);
            bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
            let _ = opener().open(&bytes, WALL);
        }

        #[test]
        fn any_changed_bit_is_noticed(at in 0usize..1_000, bit in 0u8..8) {
            let mut bytes = sealed();
            let at = at % bytes.len();
            bytes[at] ^= 1 << bit;
            prop_assert!(opener().open(&bytes, WALL).is_err());
        }

        #[test]
        fn no_number_is_taken_twice(numbers in proptest::collection::vec(1u64..300, 0..400)) {
            let mut window = Window::default();
            let mut taken = std::collections::BTreeSet::new();
            for seq in numbers {
                if window.accept(seq) {
                    prop_assert!(taken.insert(seq));
                }
            }
        }
    }
}
