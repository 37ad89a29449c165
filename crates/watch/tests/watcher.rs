//! Tests of the watcher against a model of the store.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use watch::Answer;
use watch::Call;
use watch::Event;
use watch::Item;
use watch::Key;
use watch::Limits;
use watch::Watcher;

const SECOND: Duration = Duration::from_secs(1);
const PAGE: usize = 2;

/// A model of a store with one prefix, whose history can be compacted.
#[derive(Default)]
struct Store {
    revision: u64,
    items: BTreeMap<Key, Item<u32>>,
    history: Vec<Event<u32>>,
    compacted_at: u64,
}

impl Store {
    fn write(&mut self, key: &str, value: u32) {
        self.revision += 1;
        let item = Item {
            key: key.into(),
            revision: self.revision,
            value,
        };
        self.items.insert(key.into(), item.clone());
        self.history.push(Event::Written(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Event::Removed {
                key: key.into(),
                revision: self.revision,
            });
        }
    }

    fn compact(&mut self) {
        self.compacted_at = self.revision;
    }

    fn call(&self, call: &Call) -> Answer<u32> {
        match call {
            Call::Page { after } => {
                let remaining: Vec<&Item<u32>> = self
                    .items
                    .values()
                    .filter(|item| item.key > *after)
                    .collect();
                Answer::Page {
                    items: remaining
                        .iter()
                        .take(PAGE)
                        .map(|item| (*item).clone())
                        .collect(),
                    more: remaining.len() > PAGE,
                    at: self.revision,
                }
            }
            Call::Watch { after } if *after < self.compacted_at => Answer::Compacted,
            Call::Watch { after } => {
                let newer = |event: &&Event<u32>| match event {
                    Event::Written(item) => item.revision > *after,
                    Event::Removed { revision, .. } => *revision > *after,
                };
                Answer::Events {
                    events: self.history.iter().filter(newer).cloned().collect(),
                    at: self.revision,
                }
            }
        }
    }
}

fn values<'a>(items: impl Iterator<Item = &'a Item<u32>>) -> BTreeMap<Key, u32> {
    items.map(|item| (item.key.clone(), item.value)).collect()
}

fn step(watcher: &mut Watcher<u32>, store: &Store, now: Duration) {
    if let Some(call) = watcher.due(now) {
        let answer = store.call(&call);
        watcher.answer(now, answer);
    }
}

/// Returns a watcher that has listed all items of a store.
fn synced_watcher(limits: Limits, store: &Store) -> Watcher<u32> {
    let mut watcher = Watcher::new(limits, 1);
    for _ in 0..=store.items.len() {
        step(&mut watcher, store, Duration::ZERO);
    }
    assert_eq!(values(watcher.items()), values(store.items.values()));
    watcher
}

proptest! {
    #[test]
    fn watcher_converges_to_the_items_of_the_store(
        operations in proptest::collection::vec((0u8..7, 0u8..5, any::<u32>()), 0..120),
    ) {
        let mut store = Store::default();
        let mut watcher: Watcher<u32> = Watcher::new(Limits::default(), 3);
        let mut now = Duration::ZERO;
        let mut revision = 0;
        for (operation, key, value) in operations {
            now += Duration::from_millis(700);
            let key = format!("k{key}");
            match operation {
                0 | 1 => store.write(&key, value),
                2 => store.remove(&key),
                3 => store.compact(),
                4 => if watcher.due(now).is_some() {
                    watcher.answer(now, Answer::Failed);
                },
                _ => step(&mut watcher, &store, now),
            }
            prop_assert!(watcher.revision() >= revision, "the revision decreased");
            revision = watcher.revision();
        }
        for _ in 0..20 {
            now += 5 * SECOND;
            watcher.expire(now);
            step(&mut watcher, &store, now);
        }
        prop_assert_eq!(values(watcher.items()), values(store.items.values()));
        prop_assert_eq!(watcher.revision(), store.revision);
    }
}

#[test]
fn changes_made_between_two_pages_are_delivered_by_the_watch() {
    let mut store = Store::default();
    for key in ["a", "b", "c"] {
        store.write(key, 1);
    }
    let mut watcher = Watcher::new(Limits::default(), 1);
    step(&mut watcher, &store, Duration::ZERO);
    store.write("a", 2);
    store.remove("b");
    step(&mut watcher, &store, Duration::ZERO);
    step(&mut watcher, &store, Duration::ZERO);
    assert_eq!(values(watcher.items()), values(store.items.values()));
}

#[test]
fn duplicate_event_does_not_restore_an_older_value() {
    let mut store = Store::default();
    store.write("a", 1);
    let old = Event::Written(store.items["a"].clone());
    store.write("a", 2);
    let mut watcher = synced_watcher(Limits::default(), &store);
    watcher.due(SECOND);
    let update = watcher.answer(
        SECOND,
        Answer::Events {
            events: vec![old],
            at: store.revision,
        },
    );
    assert!(!update.changed);
    assert_eq!(values(watcher.items())["a"], 2);
}

#[test]
fn items_missing_after_an_outage_are_removed_after_the_grace_period() {
    let limits = Limits {
        grace: 2 * SECOND,
        ..Limits::default()
    };
    let mut store = Store::default();
    store.write("back", 1);
    store.write("dead", 1);
    let mut watcher = synced_watcher(limits, &store);
    let mut now = SECOND;
    let mut lost = false;
    while now < 5 * SECOND {
        if watcher.due(now).is_some() {
            lost |= watcher.answer(now, Answer::Failed).lost;
        }
        now += Duration::from_millis(50);
    }
    assert!(lost && watcher.is_away());
    assert_eq!(
        watcher.items().count(),
        2,
        "items are kept during an outage of the store"
    );

    store.remove("back");
    store.remove("dead");
    store.compact();
    now += SECOND;
    step(&mut watcher, &store, now);
    step(&mut watcher, &store, now);
    let recovered_at = now;
    assert_eq!(
        watcher.items().count(),
        2,
        "missing items are kept during the grace period"
    );
    now += SECOND;
    store.write("back", 1);
    step(&mut watcher, &store, now);
    assert!(!watcher.expire(now));
    now = recovered_at + 2 * SECOND;
    assert!(watcher.expire(now));
    let names: Vec<&Key> = watcher.items().map(|item| &item.key).collect();
    assert_eq!(names, ["back"]);
}

#[test]
fn item_removed_without_an_outage_is_removed_at_once() {
    let limits = Limits {
        grace: 2 * SECOND,
        ..Limits::default()
    };
    let mut store = Store::default();
    store.write("a", 1);
    let mut watcher = synced_watcher(limits, &store);
    // A single failed call does not count as an outage, so no grace period follows.
    watcher.due(SECOND);
    watcher.answer(SECOND, Answer::Failed);
    store.remove("a");
    step(&mut watcher, &store, 2 * SECOND);
    assert_eq!(watcher.items().count(), 0);
}

#[test]
fn backoff_grows_with_failures_up_to_its_limit() {
    let mut watcher: Watcher<u32> = Watcher::new(Limits::default(), 5);
    let mut now = Duration::ZERO;
    let mut backoffs = Vec::new();
    for _ in 0..12 {
        assert!(watcher.due(now).is_some());
        watcher.answer(now, Answer::Failed);
        let next = watcher.next_wake().expect("a call is scheduled");
        backoffs.push(next - now);
        now = next;
    }
    assert!(backoffs[0] <= Duration::from_millis(100));
    assert!(
        backoffs[6..]
            .iter()
            .all(|backoff| *backoff >= Duration::from_millis(500))
    );
    assert!(backoffs.iter().all(|backoff| *backoff <= SECOND));
}

/// Guards against an answer that counts as new because it was handled late.
#[test]
fn items_are_as_old_as_the_call_for_them() {
    let mut store = Store::default();
    for key in ["a", "b", "c"] {
        store.write(key, 1);
    }
    let mut watcher: Watcher<u32> = Watcher::new(Limits::default(), 1);
    let mut now = SECOND;
    let mut asked_at = Vec::new();
    for _ in 0..3 {
        now = now.max(watcher.next_wake().unwrap_or_default());
        asked_at.push(now);
        let call = watcher.due(now).expect("a call is due");
        now += SECOND;
        let update = watcher.answer(now, store.call(&call));
        if update.confirmed {
            // A list is as old as its first page.
            let oldest = if asked_at.len() == 2 { 0 } else { 2 };
            assert_eq!(watcher.asked_at(), asked_at[oldest]);
        }
    }
    assert_eq!(watcher.asked_at(), asked_at[2]);
}
