//! Following a part of a key-value store, without I/O.
//!
//! # Overview
//!
//! A [`Watcher`] keeps the items below one prefix as they are in a store that has ranges in pages,
//! watches from a revision on, and a history that it may drop at any time. It says which [`Call`]
//! is due, takes its [`Answer`], and shows the items. Whoever drives it makes the calls.
//!
//! ```
//! use std::time::Duration;
//!
//! use watch::Answer;
//! use watch::Call;
//! use watch::Item;
//! use watch::Limits;
//! use watch::Watcher;
//!
//! let mut watcher: Watcher<u32> = Watcher::new(Limits::default(), 1);
//! assert_eq!(watcher.due(Duration::ZERO), Some(Call::Page { after: "".into() }));
//! let item = Item { key: "servers/a".into(), revision: 7, value: 1 };
//! let page = Answer::Page { items: vec![item], more: false, at: 9 };
//! watcher.answer(Duration::ZERO, page);
//! assert_eq!(watcher.items().count(), 1);
//! assert_eq!(watcher.due(Duration::from_secs(1)), Some(Call::Watch { after: 9 }));
//! ```
//!
//! # Corner cases
//!
//! - Pages are no snapshot: the watch begins at the revision of the first page, so whatever changed
//!   while the others were read comes again.
//! - An item is only ever replaced by one of a greater revision, so events that come twice do nothing.
//! - A watch whose history is gone leads to a new range. What the range does not list is removed.
//! - While the store was away, items with a lease may have lapsed though their owners live. Their
//!   owners bring them back when the store returns. What is found missing then is kept for
//!   [`Limits::grace`] and removed only if it is still missing after that.
//! - Failures are followed by a growing pause with jitter, so that a store which returns is not met by
//!   all its readers at once.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use compact_str::CompactString;

/// A key.
pub type Key = CompactString;
/// Number of a change of the store.
pub type Revision = u64;

/// First pause after a failure.
const PAUSE_FIRST: Duration = Duration::from_millis(100);

/// Times of a watcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Least time between the ends of two watches. Each call costs, and a watch returns with every
    /// change.
    pub pace: Duration,
    /// Time for which an item that lapsed while the store was away is kept after its return.
    pub grace: Duration,
    /// Time without an answer after which the store counts as away.
    pub away: Duration,
    /// Longest pause after a failure. A store that returns is noticed within this time.
    pub pause: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            pace: Duration::ZERO,
            grace: Duration::ZERO,
            away: Duration::from_millis(1_000),
            pause: Duration::from_millis(1_000),
        }
    }
}

/// An item of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item<T> {
    /// Its key.
    pub key: Key,
    /// Its last change.
    pub revision: Revision,
    /// Its value.
    pub value: T,
}

/// A change that a watch tells of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event<T> {
    /// An item was written.
    Written(Item<T>),
    /// An item was removed.
    Removed {
        /// Its key.
        key: Key,
        /// The change.
        revision: Revision,
    },
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Read a page of the range.
    Page {
        /// The last key of the page before, or nothing.
        after: Key,
    },
    /// Wait for changes after a revision.
    Watch {
        /// The revision.
        after: Revision,
    },
}

/// What became of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer<T> {
    /// A page of the range.
    Page {
        /// The items of the page.
        items: Vec<Item<T>>,
        /// Whether there are more pages.
        more: bool,
        /// The store's revision when the page was read.
        at: Revision,
    },
    /// Changes, or none if there were none in time.
    Events {
        /// The changes, oldest first.
        events: Vec<Event<T>>,
        /// The revision from which to go on.
        at: Revision,
    },
    /// The history from that revision on is gone.
    Compacted,
    /// No answer, or a refusal.
    Failed,
}

impl<T> Answer<T> {
    /// Returns the answer with its items decoded.
    pub fn decoded<U>(self, decode: fn(Item<T>) -> Item<U>) -> Answer<U> {
        match self {
            Answer::Page { items, more, at } => Answer::Page {
                items: items.into_iter().map(decode).collect(),
                more,
                at,
            },
            Answer::Events { events, at } => Answer::Events {
                events: events
                    .into_iter()
                    .map(|event| event.decoded(decode))
                    .collect(),
                at,
            },
            Answer::Compacted => Answer::Compacted,
            Answer::Failed => Answer::Failed,
        }
    }
}

impl<T> Event<T> {
    fn decoded<U>(self, decode: fn(Item<T>) -> Item<U>) -> Event<U> {
        match self {
            Event::Written(item) => Event::Written(decode(item)),
            Event::Removed { key, revision } => Event::Removed { key, revision },
        }
    }
}

/// What an answer has led to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct News {
    /// The items are confirmed as of [`Watcher::revision`].
    pub confirmed: bool,
    /// Some items have changed.
    pub changed: bool,
    /// The store has answered after it had been away.
    pub regained: bool,
    /// The store counts as away from now on.
    pub lost: bool,
}

/// The items below one prefix.
#[derive(Debug)]
pub struct Watcher<T> {
    limits: Limits,
    items: BTreeMap<Key, Item<T>>,
    state: State<T>,
    revision: Revision,
    changed_at: Revision,
    next_call: Time,
    calling: bool,
    failures: u32,
    failing_since: Option<Time>,
    away: bool,
    lapsed: BTreeMap<Key, Time>,
    grace_until: Time,
    rng: fastrand::Rng,
}

#[derive(Debug)]
enum State<T> {
    Reading {
        after: Key,
        first_at: Option<Revision>,
        read: BTreeMap<Key, Item<T>>,
    },
    Watching,
}

impl<T> State<T> {
    fn reading() -> State<T> {
        State::Reading {
            after: Key::default(),
            first_at: None,
            read: BTreeMap::new(),
        }
    }
}

impl<T: Clone + PartialEq> Watcher<T> {
    /// Returns a watcher that has read nothing yet.
    pub fn new(limits: Limits, seed: u64) -> Watcher<T> {
        Watcher {
            limits,
            items: BTreeMap::new(),
            state: State::reading(),
            revision: 0,
            changed_at: 0,
            next_call: Time::ZERO,
            calling: false,
            failures: 0,
            failing_since: None,
            away: false,
            lapsed: BTreeMap::new(),
            grace_until: Time::ZERO,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns the items, those that have lapsed but are still kept among them.
    pub fn items(&self) -> impl Iterator<Item = &Item<T>> {
        self.items.values()
    }

    /// Returns the revision as of which the items hold. Zero before the first range was read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision of the last change of the items, or of the range in which it was found.
    pub fn changed_at(&self) -> Revision {
        self.changed_at
    }

    /// Returns whether the store counts as away.
    pub fn is_away(&self) -> bool {
        self.away
    }

    /// Sets other times from the next answer on.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Begins anew with a range: the watcher was not driven for a while.
    pub fn restart(&mut self) {
        self.state = State::reading();
        self.calling = false;
    }

    /// Returns the call that is due, which is then under way.
    pub fn due(&mut self, now: Time) -> Option<Call> {
        if self.calling || now < self.next_call {
            return None;
        }
        self.calling = true;
        Some(match &self.state {
            State::Reading { after, .. } => Call::Page {
                after: after.clone(),
            },
            State::Watching => Call::Watch {
                after: self.revision,
            },
        })
    }

    /// Returns when a call or a removal is next due.
    pub fn next_wake(&self) -> Option<Time> {
        let call = (!self.calling).then_some(self.next_call);
        let lapse = (!self.lapsed.is_empty()).then_some(self.grace_until);
        [call, lapse].into_iter().flatten().min()
    }

    /// Takes what became of the call under way.
    pub fn answer(&mut self, now: Time, answer: Answer<T>) -> News {
        self.calling = false;
        if answer == Answer::Failed {
            return self.fail(now);
        }
        let mut news = News {
            regained: self.away,
            ..News::default()
        };
        self.failing_since = None;
        if self.away {
            self.grace_until = now + self.limits.grace;
        }
        self.failures = 0;
        self.away = false;
        match answer {
            Answer::Page { items, more, at } => self.take_page(now, items, more, at, &mut news),
            Answer::Events { events, at } => self.take_events(now, events, at, &mut news),
            Answer::Compacted => self.state = State::reading(),
            Answer::Failed => {}
        }
        news
    }

    /// Removes what has lapsed for good. Returns whether anything was removed.
    pub fn expire(&mut self, now: Time) -> bool {
        if self.lapsed.is_empty() || now < self.grace_until {
            return false;
        }
        for key in std::mem::take(&mut self.lapsed).into_keys() {
            self.items.remove(&key);
        }
        true
    }

    fn fail(&mut self, now: Time) -> News {
        let since = *self.failing_since.get_or_insert(now);
        let doubled = PAUSE_FIRST * 2u32.pow(self.failures.min(8));
        let pause = doubled
            .min(self.limits.pause)
            .mul_f64(0.5 + 0.5 * self.rng.f64());
        self.failures += 1;
        self.next_call = now + pause;
        let lost = !self.away && now.saturating_sub(since) >= self.limits.away;
        self.away |= lost;
        News {
            lost,
            ..News::default()
        }
    }

    fn take_page(
        &mut self,
        now: Time,
        items: Vec<Item<T>>,
        more: bool,
        at: Revision,
        news: &mut News,
    ) {
        self.next_call = now;
        let State::Reading {
            after,
            first_at,
            read,
        } = &mut self.state
        else {
            return;
        };
        let start = *first_at.get_or_insert(at);
        let last = items.last().map(|item| item.key.clone());
        for item in items {
            read.insert(item.key.clone(), item);
        }
        match last {
            Some(last) if more => *after = last,
            _ => {
                let read = std::mem::take(read);
                self.state = State::Watching;
                // A range that is older than what is known says nothing.
                if start >= self.revision {
                    self.take_range(now, read, start, news);
                }
            }
        }
    }

    fn take_range(
        &mut self,
        now: Time,
        read: BTreeMap<Key, Item<T>>,
        at: Revision,
        news: &mut News,
    ) {
        let missing: Vec<Key> = self
            .items
            .keys()
            .filter(|key| !read.contains_key(*key))
            .cloned()
            .collect();
        for key in missing {
            news.changed |= self.miss(now, key);
        }
        for item in read.into_values() {
            news.changed |= self.put(item);
        }
        news.changed |= self.revision == 0;
        if news.changed {
            self.changed_at = at;
        }
        self.revision = at;
        news.confirmed = true;
    }

    fn take_events(&mut self, now: Time, events: Vec<Event<T>>, at: Revision, news: &mut News) {
        self.next_call = now + self.limits.pace;
        for event in events {
            let (changed, revision) = match event {
                Event::Written(item) => {
                    let revision = item.revision;
                    (self.put(item), revision)
                }
                Event::Removed { key, revision } => {
                    let known = self.items.get(&key).map(|item| item.revision);
                    let newer = known.is_some_and(|known| known < revision);
                    (newer && self.miss(now, key), revision)
                }
            };
            if changed {
                news.changed = true;
                self.changed_at = self.changed_at.max(revision);
            }
        }
        self.revision = self.revision.max(at);
        news.confirmed = true;
    }

    /// Puts an item in place of an older one. Returns whether its value is another.
    fn put(&mut self, item: Item<T>) -> bool {
        self.lapsed.remove(&item.key);
        let known = self.items.get(&item.key);
        if known.is_some_and(|known| known.revision >= item.revision) {
            return false;
        }
        let changed = known.is_none_or(|known| known.value != item.value);
        self.items.insert(item.key.clone(), item);
        changed
    }

    /// Removes an item, or keeps it for a while if the store was away. Returns whether it was removed.
    fn miss(&mut self, now: Time, key: Key) -> bool {
        if now < self.grace_until {
            self.lapsed.insert(key, now);
            return false;
        }
        self.lapsed.remove(&key);
        self.items.remove(&key).is_some()
    }
}
