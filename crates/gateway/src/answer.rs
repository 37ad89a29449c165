//! Buffered answers: the tokens of each answer, which any number of readers can follow.

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

/// Greatest total size of the ended answers that are retained, in bytes. Above it, the answers
/// whose retention ends first are removed early.
const RETAINED_BYTES_MAX: usize = 16 * 1_024 * 1_024;

/// How an answer ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// The answer has all its tokens.
    Whole,
    /// A plain service responded.
    Plain {
        /// HTTP status code.
        status: u16,
        /// Content type of the body.
        media: String,
        /// Body of the response.
        body: Bytes,
    },
    /// The request was refused or failed, or the answer recorded with its idempotency key is
    /// returned.
    Other(Outcome),
}

/// The answer to one request: its tokens so far and its end.
#[derive(Debug)]
pub struct Answer {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    tokens: Vec<CompactString>,
    /// Number of leading tokens that readers may see.
    visible: usize,
    ending: Option<Ending>,
    /// Number of readers that follow the answer.
    readers: usize,
}

/// The result of reading an answer from an index.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResult {
    /// The index of the first new token, and the new tokens.
    Tokens(usize, Vec<CompactString>),
    /// The end of the answer, after all visible tokens were read.
    End(Ending),
    /// No new token and no end yet.
    Pending,
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
    /// Appends a token. Readers see it at once if it is `visible`, and otherwise when the answer
    /// ends whole.
    pub fn push(&self, token: CompactString, visible: bool) {
        let mut state = self.lock();
        state.tokens.push(token);
        if visible {
            state.visible = state.tokens.len();
            drop(state);
            self.notify();
        }
    }

    /// Discards the tokens that readers could not see yet.
    pub fn discard_hidden(&self) {
        let mut state = self.lock();
        let visible = state.visible;
        state.tokens.truncate(visible);
    }

    /// Ends the answer. [`Ending::Whole`] makes all tokens visible. A second end is ignored.
    pub fn end(&self, ending: Ending) {
        let mut state = self.lock();
        if state.ending.is_some() {
            return;
        }
        if ending == Ending::Whole {
            state.visible = state.tokens.len();
        }
        state.ending = Some(ending);
        drop(state);
        self.notify();
    }

    /// Returns the visible tokens from an index on, or the end, without waiting.
    pub fn read(&self, from: usize) -> ReadResult {
        let state = self.lock();
        if from < state.visible {
            return ReadResult::Tokens(from, state.tokens[from..state.visible].to_vec());
        }
        match &state.ending {
            Some(ending) => ReadResult::End(ending.clone()),
            None => ReadResult::Pending,
        }
    }

    /// Returns a receiver that is notified of every visible change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Waits until there are visible tokens from an index on, or the end, and returns them.
    pub async fn next(&self, from: usize) -> ReadResult {
        let mut changes = self.watch();
        loop {
            let result = self.read(from);
            if result != ReadResult::Pending {
                return result;
            }
            if changes.changed().await.is_err() {
                return ReadResult::Pending;
            }
        }
    }

    /// Returns whether the answer has ended.
    pub fn has_ended(&self) -> bool {
        self.lock().ending.is_some()
    }

    /// Adds `delta` to the number of readers and returns the new number.
    pub fn adjust_readers(&self, delta: isize) -> usize {
        let mut state = self.lock();
        state.readers = state.readers.saturating_add_signed(delta);
        state.readers
    }

    /// Returns the approximate size of the answer's tokens in memory, in bytes.
    pub fn bytes(&self) -> usize {
        let state = self.lock();
        let token_overhead = size_of::<CompactString>();
        state
            .tokens
            .iter()
            .map(|token| token.len() + token_overhead)
            .sum()
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The answers that one instance holds: those in progress, and ended ones for their retention time.
#[derive(Debug, Default)]
pub struct Registry {
    inner: Mutex<RegistryState>,
}

#[derive(Debug, Default)]
struct RegistryState {
    answers: BTreeMap<RequestId, Arc<Answer>>,
    /// Time until which each ended answer is retained, and its size in bytes.
    ended: BTreeMap<RequestId, (Instant, usize)>,
    /// Total size of the ended answers.
    bytes: usize,
}

impl Registry {
    /// Adds the answer to a request that has begun.
    pub fn insert(&self, id: RequestId, answer: Arc<Answer>) {
        self.lock().answers.insert(id, answer);
    }

    /// Returns the answer to a request, or `None` if it is not held here.
    pub fn get(&self, id: RequestId) -> Option<Arc<Answer>> {
        let mut state = self.lock();
        state.remove_expired(Instant::now());
        state.answers.get(&id).cloned()
    }

    /// Records that an answer has ended. It is retained for a time from now on.
    pub fn end(&self, id: RequestId, retention: Duration) {
        let mut state = self.lock();
        let now = Instant::now();
        let Some(answer) = state.answers.get(&id) else {
            return;
        };
        let bytes = answer.bytes();
        state.bytes += bytes;
        state.ended.insert(id, (now + retention, bytes));
        state.remove_expired(now);
    }

    /// Returns how many answers are held.
    pub fn len(&self) -> usize {
        self.lock().answers.len()
    }

    /// Returns whether no answer is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RegistryState {
    fn remove_expired(&mut self, now: Instant) {
        let is_over_limit = |state: &RegistryState| state.bytes > RETAINED_BYTES_MAX;
        let expired: Vec<RequestId> = self
            .ended
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.remove(id);
        }
        while is_over_limit(self) {
            let first = self.ended.iter().min_by_key(|(_, (until, _))| *until);
            let Some(id) = first.map(|(id, _)| *id) else {
                break;
            };
            self.remove(id);
        }
    }

    fn remove(&mut self, id: RequestId) {
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
    fn hidden_tokens_become_visible_when_the_answer_ends_whole() {
        let answer = Answer::default();
        answer.push("a".into(), false);
        assert_eq!(answer.read(0), ReadResult::Pending);
        answer.end(Ending::Whole);
        assert_eq!(answer.read(0), ReadResult::Tokens(0, vec!["a".into()]));
        assert_eq!(answer.read(1), ReadResult::End(Ending::Whole));
    }

    #[test]
    fn ended_answers_are_retained_for_their_time() {
        let registry = Registry::default();
        registry.insert(1, Arc::new(Answer::default()));
        registry.insert(2, Arc::new(Answer::default()));
        registry.end(1, Duration::ZERO);
        registry.end(2, Duration::from_secs(60));
        assert!(registry.get(1).is_none());
        assert!(registry.get(2).is_some());
    }
}
