//! Delivers the tokens of one generation from a backend server to a caller, in order and without
//! gaps or duplicates.
//!
//! # Overview
//!
//! A [`Relay`] assembles one answer from the frames of its attempts. It is bound to one attempt at
//! a time and accepts a frame only if the frame belongs to that attempt and to the attempt's
//! generation and has the next index. All other frames are dropped and counted. When a connection
//! stalls, the shell opens a new one and resumes the same generation at [`Relay::next`]; the state
//! of the relay does not change.
//!
//! When a generation is lost, another one may replace it in two cases only: no token of the first
//! has been delivered, or the second generation first repeats every delivered token
//! ([`Disposition::Verified`]). At the first difference the answer fails
//! ([`Disposition::Diverged`]): delivered tokens can't be withdrawn, and tokens of a different
//! generation never follow them.
//!
//! [`StallDetector`] derives from the gaps between tokens how long a connection may be silent
//! before it counts as stalled.
//!
//! ```
//! use stream::Frame;
//! use stream::Relay;
//! use stream::Disposition;
//!
//! let mut relay = Relay::new(false);
//! relay.bind(1);
//! let frame = |index, token: &str| Frame { generation: 9, index, token: token.into() };
//! assert_eq!(relay.accept(1, frame(0, "a")), Disposition::Deliver);
//! assert_eq!(relay.accept(1, frame(0, "a")), Disposition::Drop, "a duplicate");
//! assert_eq!(relay.accept(2, frame(1, "b")), Disposition::Drop, "another attempt");
//! relay.rebind(3).unwrap();
//! let repeated = Frame { generation: 10, index: 0, token: "a".into() };
//! assert_eq!(relay.accept(3, repeated), Disposition::Verified);
//! ```

use std::error;
use std::fmt;
use std::time::Duration;

use compact_str::CompactString;

/// Identifies one attempt at serving a request.
pub type AttemptId = u64;
/// Identifies one generation: a run of a model on a prompt.
pub type GenerationId = u64;

/// One token as a backend server sends it, with its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    /// The generation that the token belongs to.
    pub generation: GenerationId,
    /// Index of the token in the generation, from zero.
    pub index: u32,
    /// Text of the token.
    pub token: CompactString,
}

/// What to do with a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// The token is the next one of the answer and must be delivered.
    Deliver,
    /// The token equals the one already delivered at this index, by an earlier generation.
    Verified,
    /// The token differs from the one already delivered at this index. The answer has failed.
    Diverged,
    /// The frame is late, a duplicate, out of order, or of another attempt or generation.
    Drop,
}

/// The error of [`Relay::rebind`]: another generation must not continue the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Error {
    delivered: u32,
}

impl Error {
    /// Returns the number of tokens that were delivered to the caller.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the generation was lost after {} delivered tokens and must not be run again",
            self.delivered
        )
    }
}

impl error::Error for Error {}

/// The answer to one request, assembled from the frames of one or more attempts.
#[derive(Clone, Debug)]
pub struct Relay {
    buffered: bool,
    rerun_allowed: bool,
    tokens: Vec<CompactString>,
    attempt: Option<AttemptId>,
    generation: Option<GenerationId>,
    next: u32,
    released: bool,
    failed: bool,
    dropped: u64,
}

impl Relay {
    /// Returns an empty answer. If `buffered` is set, no token counts as delivered until the
    /// generation has ended.
    pub fn new(buffered: bool) -> Relay {
        Relay {
            buffered,
            rerun_allowed: true,
            tokens: Vec::new(),
            attempt: None,
            generation: None,
            next: 0,
            released: false,
            failed: false,
            dropped: 0,
        }
    }

    /// Sets whether the request may be run again after tokens were delivered. By default it may.
    pub fn allow_rerun(mut self, allowed: bool) -> Relay {
        self.rerun_allowed = allowed;
        self
    }

    /// Returns the index of the next token expected from the bound generation.
    pub fn next(&self) -> u32 {
        self.next
    }

    /// Returns the bound generation, or `None` before its first accepted frame.
    pub fn generation(&self) -> Option<GenerationId> {
        self.generation
    }

    /// Returns all accepted tokens, delivered or buffered.
    pub fn tokens(&self) -> &[CompactString] {
        &self.tokens
    }

    /// Returns the number of tokens delivered. Zero for a buffered answer that is not complete.
    pub fn delivered(&self) -> u32 {
        if self.buffered && !self.released {
            0
        } else {
            self.tokens.len() as u32
        }
    }

    /// Returns the number of dropped frames.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns whether the bound generation has yet to repeat tokens of an earlier one.
    pub fn is_verifying(&self) -> bool {
        (self.next as usize) < self.tokens.len()
    }

    /// Binds the first attempt, or the next one after an attempt that produced no token.
    pub fn bind(&mut self, attempt: AttemptId) {
        self.attempt = Some(attempt);
    }

    /// Binds an attempt that runs a new generation.
    ///
    /// # Errors
    ///
    /// Fails if tokens were delivered and the request must not be run again, or if the answer has
    /// failed.
    pub fn rebind(&mut self, attempt: AttemptId) -> Result<(), Error> {
        let delivered = self.delivered();
        if self.failed || (delivered > 0 && !self.rerun_allowed) {
            return Err(Error { delivered });
        }
        if delivered == 0 {
            self.tokens.clear();
        }
        self.attempt = Some(attempt);
        self.generation = None;
        self.next = 0;
        Ok(())
    }

    /// Handles a frame of an attempt and returns what to do with it.
    pub fn accept(&mut self, attempt: AttemptId, frame: Frame) -> Disposition {
        let attempt_matches = self.attempt == Some(attempt) && !self.failed;
        let same_generation = self
            .generation
            .is_none_or(|generation| generation == frame.generation);
        if !attempt_matches || !same_generation || frame.index != self.next {
            self.dropped += 1;
            return Disposition::Drop;
        }
        self.generation = Some(frame.generation);
        if let Some(accepted) = self.tokens.get(frame.index as usize) {
            if *accepted != frame.token {
                self.failed = true;
                return Disposition::Diverged;
            }
            self.next += 1;
            return Disposition::Verified;
        }
        self.tokens.push(frame.token);
        self.next += 1;
        Disposition::Deliver
    }

    /// Handles the end of an attempt's generation after `total` tokens. Returns whether the answer
    /// is complete, which it is not while tokens are missing or still being verified.
    pub fn finish(&mut self, attempt: AttemptId, generation: GenerationId, total: u32) -> bool {
        let attempt_matches = self.attempt == Some(attempt) && !self.failed;
        let same_generation = self.generation.is_none_or(|bound| bound == generation);
        let complete = self.next == total && self.tokens.len() as u32 == total;
        if attempt_matches && same_generation && complete {
            self.released = true;
        }
        attempt_matches && same_generation && complete
    }

    /// Returns whether a generation that ended after `total` tokens is shorter than the answer so
    /// far, so that it can't be the same text.
    pub fn is_longer_than(&self, total: u32) -> bool {
        total < self.tokens.len() as u32
    }

    /// Marks the answer as failed. All later frames are dropped.
    pub fn fail(&mut self) {
        self.failed = true;
    }
}

/// Shortest stall timeout once tokens have arrived.
const STALL_TIMEOUT_MIN: Duration = Duration::from_millis(400);
/// Stall timeout before the first token.
const STALL_TIMEOUT_FIRST_TOKEN: Duration = Duration::from_millis(3_000);
/// Longest stall timeout, also after resumes.
const STALL_TIMEOUT_MAX: Duration = Duration::from_millis(5_000);
/// Stall timeout as a multiple of the mean gap between tokens.
const STALL_TIMEOUT_GAPS: f64 = 12.0;
/// Weight of a new gap in the moving average.
const GAP_EWMA_WEIGHT: f64 = 0.1;

/// The mean gap between tokens of one generation, and the stall timeout derived from it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StallDetector {
    last_token_at: Option<Duration>,
    mean_gap_s: f64,
    resumes_without_token: u32,
}

impl StallDetector {
    /// Records the arrival of a token.
    pub fn record(&mut self, now: Duration) {
        if let Some(last_token_at) = self.last_token_at {
            let gap = now.saturating_sub(last_token_at).as_secs_f64();
            self.mean_gap_s = if self.mean_gap_s == 0.0 {
                gap
            } else {
                self.mean_gap_s + (gap - self.mean_gap_s) * GAP_EWMA_WEIGHT
            };
        }
        self.last_token_at = Some(now);
        self.resumes_without_token = 0;
    }

    /// Records that a new connection resumed the generation. Each resume without a token doubles
    /// the stall timeout, so that a generation that the engine has preempted is not resumed in a
    /// loop.
    pub fn record_resume(&mut self) {
        self.resumes_without_token += 1;
    }

    /// Returns the stall timeout: the time without a token after which the connection counts as
    /// stalled.
    pub fn timeout(&self) -> Duration {
        let base = if self.last_token_at.is_none() {
            STALL_TIMEOUT_FIRST_TOKEN
        } else {
            Duration::from_secs_f64(self.mean_gap_s * STALL_TIMEOUT_GAPS).max(STALL_TIMEOUT_MIN)
        };
        (base * 2u32.pow(self.resumes_without_token.min(4))).min(STALL_TIMEOUT_MAX)
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn token_text(generation: GenerationId, index: u32, sampled: bool) -> CompactString {
        let source = if sampled { generation } else { 0 };
        CompactString::from(format!("{source}:{index}"))
    }

    /// An event in the life of an answer.
    #[derive(Clone, Debug)]
    enum Step {
        Frame {
            attempt: u64,
            generation: u64,
            index: u32,
        },
        Rerun,
        Finish {
            total: u32,
        },
    }

    fn step() -> impl Strategy<Value = Step> {
        prop_oneof![
            12 => (1u64..5, 1u64..5, 0u32..8)
                .prop_map(|(attempt, generation, index)| Step::Frame { attempt, generation, index }),
            2 => Just(Step::Rerun),
            1 => (0u32..8).prop_map(|total| Step::Finish { total }),
        ]
    }

    proptest! {
        #[test]
        fn delivered_tokens_are_always_a_prefix_of_one_generation(
            steps in proptest::collection::vec(step(), 0..300),
            buffered in any::<bool>(),
            rerun_allowed in any::<bool>(),
            sampled in any::<bool>(),
        ) {
            let mut relay = Relay::new(buffered).allow_rerun(rerun_allowed);
            relay.bind(1);
            let mut attempt = 1;
            let mut previously_delivered: Vec<CompactString> = Vec::new();
            for step in steps {
                match step {
                    Step::Frame { attempt, generation, index } => {
                        let token = token_text(generation, index, sampled);
                        relay.accept(attempt, Frame { generation, index, token });
                    }
                    Step::Rerun => if relay.rebind(attempt + 1).is_ok() { attempt += 1 },
                    Step::Finish { total } => {
                        let generation = relay.generation().unwrap_or(1);
                        if relay.finish(attempt, generation, total) {
                            prop_assert_eq!(relay.delivered(), total);
                        }
                    }
                }
                let delivered = relay.delivered() as usize;
                let now_delivered = &relay.tokens()[..delivered];
                prop_assert!(
                    now_delivered.starts_with(&previously_delivered),
                    "delivered tokens were withdrawn"
                );
                previously_delivered = now_delivered.to_vec();
                let of_one_generation = (0..6).any(|generation| {
                    let expected = |index| token_text(generation, index as u32, sampled);
                    previously_delivered
                        .iter()
                        .enumerate()
                        .all(|(index, token)| *token == expected(index))
                });
                prop_assert!(
                    of_one_generation,
                    "{previously_delivered:?} mixes tokens of several generations"
                );
            }
        }
    }

    #[test]
    fn answer_fails_when_a_rerun_diverges() {
        let mut relay = Relay::new(false);
        relay.bind(1);
        let frame = |generation, index, text: &str| Frame {
            generation,
            index,
            token: text.into(),
        };
        relay.accept(1, frame(1, 0, "a"));
        relay.accept(1, frame(1, 1, "b"));
        relay.rebind(2).unwrap();
        assert_eq!(relay.accept(2, frame(2, 0, "a")), Disposition::Verified);
        assert_eq!(relay.accept(2, frame(2, 1, "x")), Disposition::Diverged);
        assert_eq!(relay.delivered(), 2);
        assert!(relay.rebind(3).is_err());
    }

    #[test]
    fn shorter_rerun_does_not_complete_the_answer() {
        let mut relay = Relay::new(false);
        relay.bind(1);
        for index in 0..3 {
            relay.accept(
                1,
                Frame {
                    generation: 1,
                    index,
                    token: token_text(0, index, false),
                },
            );
        }
        relay.rebind(2).unwrap();
        relay.accept(
            2,
            Frame {
                generation: 2,
                index: 0,
                token: token_text(0, 0, false),
            },
        );
        assert!(!relay.finish(2, 2, 1));
        assert!(relay.is_longer_than(1));
    }

    #[test]
    fn stall_timeout_follows_the_token_gap_and_doubles_on_resume() {
        let mut stall_detector = StallDetector::default();
        assert_eq!(stall_detector.timeout(), STALL_TIMEOUT_FIRST_TOKEN);
        for step in 0..50 {
            stall_detector.record(Duration::from_millis(step * 100));
        }
        let limit = stall_detector.timeout();
        assert!(limit > Duration::from_millis(1_100) && limit < Duration::from_millis(1_300));
        stall_detector.record_resume();
        assert_eq!(stall_detector.timeout(), limit * 2);
    }
}
