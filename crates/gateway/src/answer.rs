//! The tokens of one answer, for any number of readers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::sync::watch;
use wigeon_core::Outcome;
use wire::RequestId;

/// Greatest total size of ended answers that are kept, in bytes.
const KEPT_BYTES: usize = 16 * 1_024 * 1_024;

/// How an answer ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// It is whole.
    Whole,
    /// A plain service answered.
    Plain {
        /// HTTP status.
        status: u16,
        /// Media type.
        media: String,
        /// Body.
        body: Bytes,
    },
    /// It is not whole, or an earlier answer was found.
    Other(Outcome),
}

/// One answer.
#[derive(Debug)]
pub struct Answer {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    tokens: Vec<CompactString>,
    shown: usize,
    ending: Option<Ending>,
    readers: usize,
}

/// What a reader finds.
#[derive(Clone, Debug, PartialEq)]
pub enum Look {
    /// New tokens, from an index on.
    Tokens(usize, Vec<CompactString>),
    /// The end, after all tokens were read.
    End(Ending),
    /// Nothing yet.
    Nothing,
}

impl Default for Answer {
    fn default() -> Answer {
        Answer {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl Answer {
    /// Adds a token. It is shown at once unless it is held back.
    pub fn push(&self, token: CompactString, show: bool) {
        let mut state = self.lock();
        state.tokens.push(token);
        if show {
            state.shown = state.tokens.len();
            drop(state);
            self.wake();
        }
    }

    /// Forgets tokens that were not shown.
    pub fn forget_hidden(&self) {
        let mut state = self.lock();
        let shown = state.shown;
        state.tokens.truncate(shown);
    }

    /// Ends the answer. A whole one shows all its tokens. A second end changes nothing.
    pub fn end(&self, ending: Ending) {
        let mut state = self.lock();
        if state.ending.is_some() {
            return;
        }
        if ending == Ending::Whole {
            state.shown = state.tokens.len();
        }
        state.ending = Some(ending);
        drop(state);
        self.wake();
    }

    /// Returns what there is from an index on.
    pub fn look(&self, from: usize) -> Look {
        let state = self.lock();
        if from < state.shown {
            return Look::Tokens(from, state.tokens[from..state.shown].to_vec());
        }
        match &state.ending {
            Some(ending) => Look::End(ending.clone()),
            None => Look::Nothing,
        }
    }

    /// Returns a receiver that is told of every change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Waits until there is something from an index on.
    pub async fn next(&self, from: usize) -> Look {
        let mut changes = self.watch();
        loop {
            let found = self.look(from);
            if found != Look::Nothing {
                return found;
            }
            if changes.changed().await.is_err() {
                return Look::Nothing;
            }
        }
    }

    /// Returns whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.lock().ending.is_some()
    }

    /// Counts a reader in or out. Returns how many there are now.
    pub fn count_readers(&self, by: isize) -> usize {
        let mut state = self.lock();
        state.readers = state.readers.saturating_add_signed(by);
        state.readers
    }

    /// Returns its size, in bytes.
    pub fn bytes(&self) -> usize {
        let state = self.lock();
        let each = size_of::<CompactString>();
        state.tokens.iter().map(|token| token.len() + each).sum()
    }

    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The answers that one instance holds.
#[derive(Debug, Default)]
pub struct Registry {
    inner: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    answers: BTreeMap<RequestId, Arc<Answer>>,
    ended: BTreeMap<RequestId, (Instant, usize)>,
    bytes: usize,
}

impl Registry {
    /// Adds an answer.
    pub fn insert(&self, id: RequestId, answer: Arc<Answer>) {
        self.lock().answers.insert(id, answer);
    }

    /// Returns an answer.
    pub fn get(&self, id: RequestId) -> Option<Arc<Answer>> {
        let mut kept = self.lock();
        kept.forget_old(Instant::now());
        kept.answers.get(&id).cloned()
    }

    /// Notes that an answer has ended and is kept for a time.
    pub fn end(&self, id: RequestId, keep: Duration) {
        let mut kept = self.lock();
        let now = Instant::now();
        let Some(answer) = kept.answers.get(&id) else {
            return;
        };
        let bytes = answer.bytes();
        kept.bytes += bytes;
        kept.ended.insert(id, (now + keep, bytes));
        kept.forget_old(now);
    }

    /// Returns how many answers are held.
    pub fn len(&self) -> usize {
        self.lock().answers.len()
    }

    /// Returns whether no answer is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    fn forget_old(&mut self, now: Instant) {
        let over = |kept: &Kept| kept.bytes > KEPT_BYTES;
        let late: Vec<RequestId> = self
            .ended
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.forget(id);
        }
        while over(self) {
            let first = self.ended.iter().min_by_key(|(_, (until, _))| *until);
            let Some(id) = first.map(|(id, _)| *id) else {
                break;
            };
            self.forget(id);
        }
    }

    fn forget(&mut self, id: RequestId) {
        self.answers.remove(&id);
        if let Some((_, bytes)) = self.ended.remove(&id) {
            self.bytes -= bytes;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hidden_tokens_are_shown_by_a_whole_end_only() {
        let answer = Answer::default();
        answer.push("a".into(), false);
        assert_eq!(answer.look(0), Look::Nothing);
        answer.end(Ending::Whole);
        assert_eq!(answer.look(0), Look::Tokens(0, vec!["a".into()]));
        assert_eq!(answer.look(1), Look::End(Ending::Whole));
    }

    #[test]
    fn ended_answers_are_kept_for_their_time() {
        let registry = Registry::default();
        registry.insert(1, Arc::new(Answer::default()));
        registry.insert(2, Arc::new(Answer::default()));
        registry.end(1, Duration::ZERO);
        registry.end(2, Duration::from_secs(60));
        assert!(registry.get(1).is_none());
        assert!(registry.get(2).is_some());
    }
}
