//! Mirrors a key range of a key-value store by list and watch, without I/O.
//!
//! # Overview
//!
//! A [`Watcher`] maintains a copy of the items below one prefix of a store. It lists the range in
//! pages and then watches for changes from a revision on; the store may compact its history of
//! changes at any time. The watcher does no I/O: it returns the [`Call`] that is due, and the shell
//! makes the call and passes its [`Answer`] back.
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
//! - The pages of a list are not a consistent snapshot. The watch therefore starts at the revision
//!   of the first page, so that changes made while later pages were read are delivered as events.
//! - An item is only replaced by a version with a greater revision, so duplicate events have no
//!   effect.
//! - When the store has compacted the history that a watch needs, the range is listed again. Items
//!   that the new list does not contain are removed.
//! - During an outage of the store, items with a lease may expire although their owners are alive.
//!   The owners write them again when the store recovers. Items found missing after an outage are
//!   kept for [`Limits::grace`] and removed only if they are still missing then.
//! - The store may be restored from an older copy, which begins a new [`Era`]: revisions go back and
//!   are given out again, so those of the era before mean nothing. The range is listed again and
//!   replaces the items whatever their revisions. Items that the copy lacks may have been written
//!   shortly before the restore and are kept for [`Limits::restore_grace`], in which their owners
//!   write them again.
//! - After failures the watcher backs off exponentially with jitter, so that not all clients call a
//!   recovering store at once.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use compact_str::CompactString;

/// A key of the store.
pub type Key = CompactString;
/// Revision of the store, which each change increments.
pub type Revision = u64;

/// Number of times that the store was restored from an older copy.
pub type Era = u64;

/// Backoff after the first failure, before jitter.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Intervals and timeouts of a watcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Minimum time from the end of one watch to the start of the next. It bounds the rate of
    /// calls, since a watch returns at every change.
    pub pace: Duration,
    /// Time for which items that expired during an outage of the store are kept after its recovery.
    pub grace: Duration,
    /// Time for which items are kept that a restored store lacks.
    pub restore_grace: Duration,
    /// Time of continuous failures after which the store counts as unavailable.
    pub away: Duration,
    /// Longest backoff after a failure, and so the longest time until a recovery of the store is
    /// noticed.
    pub pause: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            pace: Duration::ZERO,
            grace: Duration::ZERO,
            restore_grace: Duration::ZERO,
            away: Duration::from_millis(1_000),
            pause: Duration::from_millis(1_000),
        }
    }
}

/// A key-value pair of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item<T> {
    /// Key of the item.
    pub key: Key,
    /// Revision of the item's last change.
    pub revision: Revision,
    /// Value of the item.
    pub value: T,
}

/// A change that a watch reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event<T> {
    /// An item was written.
    Written(Item<T>),
    /// An item was removed.
    Removed {
        /// Key of the removed item.
        key: Key,
        /// Revision of the removal.
        revision: Revision,
    },
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Reads a page of the range.
    Page {
        /// The last key of the previous page. Empty for the first page.
        after: Key,
    },
    /// Waits for changes after a revision.
    Watch {
        /// The last revision whose changes are known.
        after: Revision,
    },
}

/// The outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer<T> {
    /// A page of the range.
    Page {
        /// The items of the page.
        items: Vec<Item<T>>,
        /// Whether more pages follow.
        more: bool,
        /// The store's revision when the page was read.
        at: Revision,
    },
    /// The changes after the watched revision. Empty if the watch timed out.
    Events {
        /// The changes, oldest first.
        events: Vec<Event<T>>,
        /// The revision from which the next watch continues.
        at: Revision,
    },
    /// The store has compacted the history that the watch needs.
    Compacted,
    /// The call had no answer or was refused.
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

/// The effects of an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct News {
    /// Whether the items are current as of [`Watcher::revision`].
    pub confirmed: bool,
    /// Whether at least one item has changed.
    pub changed: bool,
    /// Whether the store has answered again after an outage.
    pub regained: bool,
    /// Whether the store counts as unavailable from now on.
    pub lost: bool,
}

/// A copy of the items below one prefix, kept up to date by list and watch.
#[derive(Debug)]
pub struct Watcher<T> {
    limits: Limits,
    items: BTreeMap<Key, Item<T>>,
    state: State<T>,
    era: Era,
    revision: Revision,
    changed_at: Revision,
    next_call: Time,
    call_in_flight: bool,
    /// When the call began that the items are current as of, or the first call of the present list.
    asked_at: Time,
    failures: u32,
    failing_since: Option<Time>,
    unavailable: bool,
    /// The keys whose removal was reported since the last call of [`Watcher::take_removed`].
    removed: Vec<Key>,
    /// The missing items that are kept, with the time of their removal.
    expired: BTreeMap<Key, Time>,
    grace_until: Time,
    /// Until when items that the restored store lacks are kept.
    restore_grace_until: Time,
    rng: fastrand::Rng,
}

#[derive(Debug)]
enum State<T> {
    /// The range is being listed. `after` is the last key listed so far.
    Listing {
        after: Key,
        first_page_revision: Option<Revision>,
        listed: BTreeMap<Key, Item<T>>,
    },
    /// The list is complete, and changes are watched.
    Watching,
}

impl<T> State<T> {
    fn listing() -> State<T> {
        State::Listing {
            after: Key::default(),
            first_page_revision: None,
            listed: BTreeMap::new(),
        }
    }
}

impl<T: Clone + PartialEq> Watcher<T> {
    /// Returns a watcher without items, whose first call lists the range.
    pub fn new(limits: Limits, seed: u64) -> Watcher<T> {
        Watcher {
            limits,
            items: BTreeMap::new(),
            state: State::listing(),
            era: 0,
            revision: 0,
            changed_at: 0,
            next_call: Time::ZERO,
            call_in_flight: false,
            asked_at: Time::ZERO,
            failures: 0,
            failing_since: None,
            unavailable: false,
            removed: Vec::new(),
            expired: BTreeMap::new(),
            grace_until: Time::ZERO,
            restore_grace_until: Time::ZERO,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns the items, including expired ones that are kept for the grace period.
    pub fn items(&self) -> impl Iterator<Item = &Item<T>> {
        self.items.values()
    }

    /// Returns the keys whose removal was reported since the last call, whether or not they were known.
    pub fn take_removed(&mut self) -> Vec<Key> {
        std::mem::take(&mut self.removed)
    }

    /// Returns the revision at which the items are current. Zero before the first list is complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision of the last change of an item, or that of the list that revealed a
    /// removal.
    pub fn changed_at(&self) -> Revision {
        self.changed_at
    }

    /// Returns the era of the store to which the revisions belong.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Returns whether the store counts as unavailable.
    pub fn is_away(&self) -> bool {
        self.unavailable
    }

    /// Replaces the limits. They apply from the next answer on.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Starts again with a list of the range, for a watcher that was not driven for some time. It
    /// does not wait for the answer of a call in flight.
    pub fn restart(&mut self) {
        self.state = State::listing();
        self.call_in_flight = false;
    }

    /// Records the era of an answer of the store. With a newer era than before, the range is listed
    /// again, and a call in flight is not waited for. Returns whether it is newer.
    pub fn observe_era(&mut self, now: Time, era: Era) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        if self.revision == 0 && self.items.is_empty() {
            self.restart();
            return true;
        }
        for item in self.items.values_mut() {
            item.revision = 0;
        }
        self.revision = 0;
        self.changed_at = 0;
        self.restore_grace_until = now + self.limits.restore_grace;
        self.next_call = now;
        self.restart();
        true
    }

    /// Returns the call that is due, if any, and marks it as in flight until its outcome is passed
    /// to [`Watcher::answer`].
    pub fn due(&mut self, now: Time) -> Option<Call> {
        if self.call_in_flight || now < self.next_call {
            return None;
        }
        self.call_in_flight = true;
        let is_first_of_list = |state: &State<T>| match state {
            State::Listing { after, .. } => after.is_empty(),
            State::Watching => true,
        };
        if is_first_of_list(&self.state) {
            self.asked_at = now;
        }
        Some(match &self.state {
            State::Listing { after, .. } => Call::Page {
                after: after.clone(),
            },
            State::Watching => Call::Watch {
                after: self.revision,
            },
        })
    }

    /// Returns a time at or after which the store had the items of the last answer that confirmed them:
    /// when the call for them began. An answer may arrive, or be handled, long after that.
    pub fn asked_at(&self) -> Time {
        self.asked_at
    }

    /// Returns when the next call or the next removal of expired items is due.
    pub fn next_wake(&self) -> Option<Time> {
        let call = (!self.call_in_flight).then_some(self.next_call);
        let expiry = self.expired.values().min().copied();
        [call, expiry].into_iter().flatten().min()
    }

    /// Handles the outcome of the call in flight. The era of the answer must have been passed to
    /// [`Watcher::observe_era`] before, and an answer with another era must not be passed here.
    pub fn answer(&mut self, now: Time, answer: Answer<T>) -> News {
        self.call_in_flight = false;
        if answer == Answer::Failed {
            return self.record_failure(now);
        }
        let mut update = News {
            regained: self.unavailable,
            ..News::default()
        };
        self.failing_since = None;
        if self.unavailable {
            self.grace_until = now + self.limits.grace;
        }
        self.failures = 0;
        self.unavailable = false;
        match answer {
            Answer::Page { items, more, at } => self.apply_page(now, items, more, at, &mut update),
            Answer::Events { events, at } => self.apply_events(now, events, at, &mut update),
            Answer::Compacted => self.state = State::listing(),
            Answer::Failed => {}
        }
        update
    }

    /// Removes the expired items whose grace period has ended. Returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let count = self.items.len();
        let items = &mut self.items;
        self.expired.retain(|key, until| {
            if now < *until {
                return true;
            }
            items.remove(key);
            false
        });
        self.items.len() < count
    }

    fn record_failure(&mut self, now: Time) -> News {
        let since = *self.failing_since.get_or_insert(now);
        let doubled = BACKOFF_MIN * 2u32.pow(self.failures.min(8));
        let backoff = doubled
            .min(self.limits.pause)
            .mul_f64(0.5 + 0.5 * self.rng.f64());
        self.failures += 1;
        self.next_call = now + backoff;
        let lost = !self.unavailable && now.saturating_sub(since) >= self.limits.away;
        self.unavailable |= lost;
        News {
            lost,
            ..News::default()
        }
    }

    fn apply_page(
        &mut self,
        now: Time,
        items: Vec<Item<T>>,
        more: bool,
        at: Revision,
        update: &mut News,
    ) {
        self.next_call = now;
        let State::Listing {
            after,
            first_page_revision,
            listed,
        } = &mut self.state
        else {
            return;
        };
        let list_revision = *first_page_revision.get_or_insert(at);
        let last = items.last().map(|item| item.key.clone());
        for item in items {
            listed.insert(item.key.clone(), item);
        }
        match last {
            Some(last) if more => *after = last,
            _ => {
                let listed = std::mem::take(listed);
                self.state = State::Watching;
                // A list older than the known revision is stale and is ignored.
                if list_revision >= self.revision {
                    self.apply_list(now, listed, list_revision, update);
                }
            }
        }
    }

    fn apply_list(
        &mut self,
        now: Time,
        listed: BTreeMap<Key, Item<T>>,
        at: Revision,
        update: &mut News,
    ) {
        let missing: Vec<Key> = self
            .items
            .keys()
            .filter(|key| !listed.contains_key(*key))
            .cloned()
            .collect();
        // The revision of a removal is not listed. Without one, the newest item is the last change,
        // which is the same for all watchers.
        let newest = listed.values().map(|item| item.revision).max();
        let changed_at = match (missing.is_empty(), newest) {
            (true, Some(newest)) => newest,
            _ => at,
        };
        for key in missing {
            let until = self.grace_until.max(self.restore_grace_until);
            update.changed |= self.remove_or_keep(now, key, until);
        }
        for item in listed.into_values() {
            update.changed |= self.upsert(item);
        }
        update.changed |= self.revision == 0;
        if update.changed {
            self.changed_at = self.changed_at.max(changed_at);
        }
        self.revision = at;
        update.confirmed = true;
    }

    fn apply_events(&mut self, now: Time, events: Vec<Event<T>>, at: Revision, update: &mut News) {
        self.next_call = now + self.limits.pace;
        for event in events {
            let (changed, revision) = match event {
                Event::Written(item) => {
                    let revision = item.revision;
                    (self.upsert(item), revision)
                }
                Event::Removed { key, revision } => {
                    self.removed.push(key.clone());
                    let known = self.items.get(&key).map(|item| item.revision);
                    let newer = known.is_some_and(|known| known < revision);
                    let until = self.grace_until;
                    (newer && self.remove_or_keep(now, key, until), revision)
                }
            };
            if changed {
                update.changed = true;
                self.changed_at = self.changed_at.max(revision);
            }
        }
        self.revision = self.revision.max(at);
        update.confirmed = true;
    }

    /// Stores an item unless a newer revision of it is known. Returns whether its value has
    /// changed.
    fn upsert(&mut self, item: Item<T>) -> bool {
        self.expired.remove(&item.key);
        let known = self.items.get(&item.key);
        if known.is_some_and(|known| known.revision >= item.revision) {
            return false;
        }
        let changed = known.is_none_or(|known| known.value != item.value);
        self.items.insert(item.key.clone(), item);
        changed
    }

    /// Removes a missing item, or keeps it until the end of its grace period. Returns whether the
    /// item was removed.
    fn remove_or_keep(&mut self, now: Time, key: Key, until: Time) -> bool {
        if now < until {
            self.expired.insert(key, until);
            return false;
        }
        self.expired.remove(&key);
        self.items.remove(&key).is_some()
    }
}
