//! Hints about prefix caches.
//!
//! Engines publish their cache events late and with gaps, so what is kept here may be wrong either
//! way. It is used only to choose among servers that have room.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use conf::Name;

/// Prefixes remembered of one server.
const PREFIXES_MAX: usize = 2_048;

/// What each server of a pool may have in its prefix cache.
#[derive(Debug, Default)]
pub struct Index {
    servers: BTreeMap<Name, Cache>,
}

#[derive(Debug, Default)]
struct Cache {
    boot: u64,
    next_event: u64,
    order: VecDeque<u64>,
    held: BTreeMap<u64, u32>,
}

/// One cache event of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A prefix was stored.
    Stored(u64),
    /// A prefix was dropped.
    Dropped(u64),
}

impl Index {
    /// Notes that a server is about to process prompts with these prefixes.
    pub fn add(&mut self, server: &Name, prefixes: &[u64]) {
        let cache = self.servers.entry(server.clone()).or_default();
        for prefix in prefixes {
            cache.insert(*prefix);
        }
    }

    /// Takes cache events of a server, the first of which has number `first`. A gap or a new boot
    /// drops all that was known.
    pub fn events(&mut self, server: &Name, boot: u64, first: u64, events: &[Event]) {
        let cache = self.servers.entry(server.clone()).or_default();
        if cache.boot != boot || first > cache.next_event {
            *cache = Cache {
                boot,
                next_event: first,
                ..Cache::default()
            };
        }
        let known = usize::try_from(cache.next_event - first.min(cache.next_event)).unwrap_or(0);
        for event in events.iter().skip(known) {
            match event {
                Event::Stored(prefix) => cache.insert(*prefix),
                Event::Dropped(prefix) => cache.remove(*prefix),
            }
            cache.next_event += 1;
        }
    }

    /// Forgets a server.
    pub fn forget(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Returns how many of the prefixes, shortest first, the server may have without a break.
    pub fn matched(&self, server: &str, prefixes: &[u64]) -> usize {
        let Some(cache) = self.servers.get(server) else {
            return 0;
        };
        prefixes
            .iter()
            .take_while(|prefix| cache.held.contains_key(prefix))
            .count()
    }
}

impl Cache {
    fn insert(&mut self, prefix: u64) {
        self.order.push_back(prefix);
        *self.held.entry(prefix).or_default() += 1;
        while self.order.len() > PREFIXES_MAX {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.release(oldest);
        }
    }

    /// Takes one mention of a prefix away.
    fn release(&mut self, prefix: u64) {
        if let Some(count) = self.held.get_mut(&prefix) {
            *count -= 1;
            if *count == 0 {
                self.held.remove(&prefix);
            }
        }
    }

    fn remove(&mut self, prefix: u64) {
        self.held.remove(&prefix);
        self.order.retain(|held| *held != prefix);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_gap_or_a_new_boot_drops_what_was_known() {
        let mut index = Index::default();
        let server = Name::from("e1");
        index.events(&server, 1, 0, &[Event::Stored(5), Event::Stored(6)]);
        assert_eq!(index.matched("e1", &[5, 6, 7]), 2);
        index.events(&server, 1, 1, &[Event::Stored(6), Event::Dropped(5)]);
        assert_eq!(
            index.matched("e1", &[5, 6]),
            0,
            "the overlap is skipped, the rest is taken"
        );
        index.events(&server, 1, 9, &[Event::Stored(8)]);
        assert_eq!(index.matched("e1", &[6]), 0, "a gap");
        index.events(&server, 2, 0, &[]);
        assert_eq!(index.matched("e1", &[8]), 0, "a new boot");
    }

    #[test]
    fn memory_is_bounded() {
        let mut index = Index::default();
        let server = Name::from("e1");
        for prefix in 0..10_000 {
            index.add(&server, &[prefix]);
        }
        assert_eq!(index.servers["e1"].held.len(), PREFIXES_MAX);
        assert_eq!(index.matched("e1", &[9_999]), 1);
    }
}
