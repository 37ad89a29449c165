//! Feeds against a model of a store.

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

/// A store with one prefix, whose history can be dropped.
#[derive(Default)]
struct Store {
    revision: u64,
    items: BTreeMap<Key, Item<u32>>,
    history: Vec<Event<u32>>,
    kept_after: u64,
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
        self.kept_after = self.revision;
    }

    fn call(&self, call: &Call) -> Answer<u32> {
        match call {
            Call::Page { after } => {
                let rest: Vec<&Item<u32>> = self
                    .items
                    .values()
                    .filter(|item| item.key > *after)
                    .collect();
                Answer::Page {
                    items: rest.iter().take(PAGE).map(|item| (*item).clone()).collect(),
                    more: rest.len() > PAGE,
                    at: self.revision,
                }
            }
            Call::Watch { after } if *after < self.kept_after => Answer::Compacted,
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

/// Returns a watcher that has read what a store holds.
fn followed(limits: Limits, store: &Store) -> Watcher<u32> {
    let mut watcher = Watcher::new(limits, 1);
    for _ in 0..=store.items.len() {
        step(&mut watcher, store, Duration::ZERO);
    }
    assert_eq!(values(watcher.items()), values(store.items.values()));
    watcher
}

proptest! {
    #[test]
    fn feed_ends_with_what_the_store_holds(
        deeds in proptest::collection::vec((0u8..7, 0u8..5, any::<u32>()), 0..120),
    ) {
        let mut store = Store::default();
        let mut watcher: Watcher<u32> = Watcher::new(Limits::default(), 3);
        let mut now = Duration::ZERO;
        let mut revision = 0;
        for (deed, key, value) in deeds {
            now += Duration::from_millis(700);
            let key = format!("k{key}");
            match deed {
                0 | 1 => store.write(&key, value),
                2 => store.remove(&key),
                3 => store.compact(),
                4 => if watcher.due(now).is_some() {
                    watcher.answer(now, Answer::Failed);
                },
                _ => step(&mut watcher, &store, now),
            }
            prop_assert!(watcher.revision() >= revision, "it never goes back");
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
fn changes_between_two_pages_are_not_missed() {
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
fn event_that_comes_again_does_not_bring_an_older_value_back() {
    let mut store = Store::default();
    store.write("a", 1);
    let old = Event::Written(store.items["a"].clone());
    store.write("a", 2);
    let mut watcher = followed(Limits::default(), &store);
    watcher.due(SECOND);
    let news = watcher.answer(
        SECOND,
        Answer::Events {
            events: vec![old],
            at: store.revision,
        },
    );
    assert!(!news.changed);
    assert_eq!(values(watcher.items())["a"], 2);
}

#[test]
fn what_lapsed_while_the_store_was_away_is_kept_for_two_seconds_and_then_gone() {
    let grace = Limits {
        grace: 2 * SECOND,
        ..Limits::default()
    };
    let mut store = Store::default();
    store.write("back", 1);
    store.write("dead", 1);
    let mut watcher = followed(grace, &store);
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
        "nothing is dropped while the store is away"
    );

    store.remove("back");
    store.remove("dead");
    store.compact();
    now += SECOND;
    step(&mut watcher, &store, now);
    step(&mut watcher, &store, now);
    let returned = now;
    assert_eq!(watcher.items().count(), 2, "they may come back");
    now += SECOND;
    store.write("back", 1);
    step(&mut watcher, &store, now);
    assert!(!watcher.expire(now));
    now = returned + 2 * SECOND;
    assert!(watcher.expire(now));
    let names: Vec<&Key> = watcher.items().map(|item| &item.key).collect();
    assert_eq!(names, ["back"]);
}

#[test]
fn what_is_removed_while_the_store_is_there_is_gone_at_once() {
    let grace = Limits {
        grace: 2 * SECOND,
        ..Limits::default()
    };
    let mut store = Store::default();
    store.write("a", 1);
    let mut watcher = followed(grace, &store);
    // One call that fails is no outage.
    watcher.due(SECOND);
    watcher.answer(SECOND, Answer::Failed);
    store.remove("a");
    step(&mut watcher, &store, 2 * SECOND);
    assert_eq!(watcher.items().count(), 0);
}

#[test]
fn failures_are_followed_by_growing_pauses_that_stay_bounded() {
    let mut watcher: Watcher<u32> = Watcher::new(Limits::default(), 5);
    let mut now = Duration::ZERO;
    let mut pauses = Vec::new();
    for _ in 0..12 {
        assert!(watcher.due(now).is_some());
        watcher.answer(now, Answer::Failed);
        let next = watcher.next_wake().expect("a call is due some time");
        pauses.push(next - now);
        now = next;
    }
    assert!(pauses[0] <= Duration::from_millis(100));
    assert!(
        pauses[6..]
            .iter()
            .all(|pause| *pause >= Duration::from_millis(500))
    );
    assert!(pauses.iter().all(|pause| *pause <= SECOND));
}
