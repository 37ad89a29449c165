//! Tokens from a backend server to a caller: once each, in order, from one generation.
//!
//! # Overview
//!
//! A [`Relay`] stands between the attempts at an answer and the answer itself. It is bound to one
//! attempt at a time and takes a frame only of that attempt, of the generation that the attempt
//! began, and of the next index; all else is dropped and counted. When a connection goes silent the
//! shell opens a new one and resumes the same generation at [`Relay::next`]; nothing else changes.
//!
//! When a generation is lost for good, another one may take its place in two cases only: nothing of
//! the first has been delivered, or all that was delivered is first found again, token by token, in
//! the second ([`Disposition::Verified`]). At the first difference the answer ends
//! ([`Disposition::Diverged`]): what was delivered can't be taken back, and is never continued by
//! tokens of another generation.
//!
//! [`Pace`] tells when a connection has gone silent, by the engine's own pace.
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
//! assert_eq!(relay.accept(3, Frame { generation: 10, index: 0, token: "a".into() }), Disposition::Verified);
//! ```

use std::error;
use std::fmt;
use std::time::Duration;

use compact_str::CompactString;

/// One try at serving a request.
pub type AttemptId = u64;
/// One run of a model on a prompt.
pub type GenerationId = u64;

/// One token as a backend server sends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    /// The generation that it belongs to.
    pub generation: GenerationId,
    /// Its place in the generation, from zero.
    pub index: u32,
    /// Its text.
    pub token: CompactString,
}

/// What to do with a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// The token is the next one of the answer.
    Deliver,
    /// The token equals the one already delivered at its place.
    Verified,
    /// The token differs from the one already delivered at its place. The answer has failed.
    Diverged,
    /// The frame is late, repeated, out of order or of another attempt or generation.
    Drop,
}

/// Why an answer can't be continued by another generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Error {
    delivered: u32,
}

impl Error {
    /// Returns how many tokens the caller has.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the generation is lost after {} delivered tokens and may not be run again",
            self.delivered
        )
    }
}

impl error::Error for Error {}

/// The answer to one request, from whatever attempts were needed.
#[derive(Clone, Debug)]
pub struct Relay {
    whole: bool,
    may_rerun: bool,
    tokens: Vec<CompactString>,
    attempt: Option<AttemptId>,
    generation: Option<GenerationId>,
    next: u32,
    released: bool,
    failed: bool,
    dropped: u64,
}

impl Relay {
    /// Returns an empty answer. One that is delivered whole is kept back until it is released.
    pub fn new(whole: bool) -> Relay {
        Relay {
            whole,
            may_rerun: true,
            tokens: Vec::new(),
            attempt: None,
            generation: None,
            next: 0,
            released: false,
            failed: false,
            dropped: 0,
        }
    }

    /// Returns the answer with a rule about running it again once tokens were delivered.
    pub fn with_rerun(mut self, allowed: bool) -> Relay {
        self.may_rerun = allowed;
        self
    }

    /// Returns the index of the next token that is wanted from the bound generation.
    pub fn next(&self) -> u32 {
        self.next
    }

    /// Returns the generation that is bound, once its first token has come.
    pub fn generation(&self) -> Option<GenerationId> {
        self.generation
    }

    /// Returns all tokens, delivered or kept back.
    pub fn tokens(&self) -> &[CompactString] {
        &self.tokens
    }

    /// Returns how many tokens the caller may see.
    pub fn delivered(&self) -> u32 {
        if self.whole && !self.released {
            0
        } else {
            self.tokens.len() as u32
        }
    }

    /// Returns how many frames were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns whether tokens of an earlier generation are still being compared.
    pub fn is_verifying(&self) -> bool {
        (self.next as usize) < self.tokens.len()
    }

    /// Binds the first attempt, or a later one after an attempt that produced nothing.
    pub fn bind(&mut self, attempt: AttemptId) {
        self.attempt = Some(attempt);
    }

    /// Binds an attempt that runs a new generation.
    ///
    /// # Errors
    ///
    /// If tokens were delivered and the request may not be run again, or if it has failed.
    pub fn rebind(&mut self, attempt: AttemptId) -> Result<(), Error> {
        let delivered = self.delivered();
        if self.failed || (delivered > 0 && !self.may_rerun) {
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

    /// Takes a frame of an attempt.
    pub fn accept(&mut self, attempt: AttemptId, frame: Frame) -> Disposition {
        let bound = self.attempt == Some(attempt) && !self.failed;
        let same = self
            .generation
            .is_none_or(|known| known == frame.generation);
        if !bound || !same || frame.index != self.next {
            self.dropped += 1;
            return Disposition::Drop;
        }
        self.generation = Some(frame.generation);
        if let Some(known) = self.tokens.get(frame.index as usize) {
            if *known != frame.token {
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

    /// Takes the end of an attempt's generation after `total` tokens. Returns whether the answer is
    /// whole now; it is not while tokens are missing or still being compared.
    pub fn finish(&mut self, attempt: AttemptId, generation: GenerationId, total: u32) -> bool {
        let bound = self.attempt == Some(attempt) && !self.failed;
        let same = self.generation.is_none_or(|known| known == generation);
        let whole = self.next == total && self.tokens.len() as u32 == total;
        if bound && same && whole {
            self.released = true;
        }
        bound && same && whole
    }

    /// Returns whether an ended generation is shorter than what was delivered of another one.
    pub fn is_cut_by(&self, total: u32) -> bool {
        total < self.tokens.len() as u32
    }

    /// Ends the answer: nothing is taken after this.
    pub fn fail(&mut self) {
        self.failed = true;
    }
}

/// Least silence that counts as one.
const SILENCE_MIN: Duration = Duration::from_millis(400);
/// Silence before the first token.
const SILENCE_FIRST: Duration = Duration::from_millis(3_000);
/// Greatest silence that is waited for.
const SILENCE_MAX: Duration = Duration::from_millis(5_000);
/// Usual gaps that make a silence.
const SILENCE_GAPS: f64 = 12.0;
/// Weight of a new gap in the usual one.
const GAP_WEIGHT: f64 = 0.1;

/// The pace of one generation, and the silence that is too long for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    last: Option<Duration>,
    gap_s: f64,
    resumes: u32,
}

impl Pace {
    /// Notes a token.
    pub fn record(&mut self, now: Duration) {
        if let Some(last) = self.last {
            let gap = now.saturating_sub(last).as_secs_f64();
            self.gap_s = if self.gap_s == 0.0 {
                gap
            } else {
                self.gap_s + (gap - self.gap_s) * GAP_WEIGHT
            };
        }
        self.last = Some(now);
        self.resumes = 0;
    }

    /// Notes that a new connection was opened. The next silence is allowed to be longer, so that a
    /// generation that an engine has preempted is not asked for again and again.
    pub fn record_resume(&mut self) {
        self.resumes += 1;
    }

    /// Returns the silence that is too long.
    pub fn limit(&self) -> Duration {
        let usual = if self.last.is_none() {
            SILENCE_FIRST
        } else {
            Duration::from_secs_f64(self.gap_s * SILENCE_GAPS).max(SILENCE_MIN)
        };
        (usual * 2u32.pow(self.resumes.min(4))).min(SILENCE_MAX)
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn token(generation: GenerationId, index: u32, sampled: bool) -> CompactString {
        let source = if sampled { generation } else { 0 };
        CompactString::from(format!("{source}:{index}"))
    }

    /// What may happen to an answer.
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
        fn callers_tokens_are_a_prefix_of_one_generation(
            steps in proptest::collection::vec(step(), 0..300),
            whole in any::<bool>(),
            rerun in any::<bool>(),
            sampled in any::<bool>(),
        ) {
            let mut relay = Relay::new(whole).with_rerun(rerun);
            relay.bind(1);
            let mut attempt = 1;
            let mut shown: Vec<CompactString> = Vec::new();
            for step in steps {
                match step {
                    Step::Frame { attempt, generation, index } => {
                        let token = token(generation, index, sampled);
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
                let now_shown = &relay.tokens()[..delivered];
                prop_assert!(now_shown.starts_with(&shown), "nothing shown is taken back");
                shown = now_shown.to_vec();
                let one = (0..6).any(|generation| {
                    let expected = |index| token(generation, index as u32, sampled);
                    shown.iter().enumerate().all(|(index, token)| *token == expected(index))
                });
                prop_assert!(one, "{shown:?} is of more than one generation");
            }
        }
    }

    #[test]
    fn rerun_that_differs_ends_the_answer() {
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
    fn shorter_second_generation_does_not_end_the_answer_as_whole() {
        let mut relay = Relay::new(false);
        relay.bind(1);
        for index in 0..3 {
            relay.accept(
                1,
                Frame {
                    generation: 1,
                    index,
                    token: token(0, index, false),
                },
            );
        }
        relay.rebind(2).unwrap();
        relay.accept(
            2,
            Frame {
                generation: 2,
                index: 0,
                token: token(0, 0, false),
            },
        );
        assert!(!relay.finish(2, 2, 1));
        assert!(relay.is_cut_by(1));
    }

    #[test]
    fn silence_follows_the_pace_and_backs_off() {
        let mut pace = Pace::default();
        assert_eq!(pace.limit(), SILENCE_FIRST);
        for step in 0..50 {
            pace.record(Duration::from_millis(step * 100));
        }
        let limit = pace.limit();
        assert!(limit > Duration::from_millis(1_100) && limit < Duration::from_millis(1_300));
        pace.record_resume();
        assert_eq!(pace.limit(), limit * 2);
    }
}
