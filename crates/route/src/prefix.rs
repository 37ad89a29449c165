//! Approximate index of the engines' prefix caches.
//!
//! Engines publish cache events late and with gaps, so the index may list prefixes that are no
//! longer cached and miss prefixes that are. It is used only to choose among servers that have
//! capacity.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use conf::Name;

/// Maximum number of prefix entries kept per server.
const PREFIXES_MAX: usize = 2_048;

/// Prefixes that each server of a pool may have cached.
#[derive(Debug, Default)]
pub struct Index {
    servers: BTreeMap<Name, Cache>,
}

#[derive(Debug, Default)]
struct Cache {
    boot: u64,
    next_event: u64,
    insertion_order: VecDeque<u64>,
    counts: BTreeMap<u64, u32>,
}

/// Change of an engine's prefix cache. Each variant holds the hash of the prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The engine cached a prefix.
    Stored(u64),
    /// The engine evicted a prefix.
    Evicted(u64),
}

impl Index {
    /// Records that a server is about to process a prompt with these prefixes.
    pub fn add(&mut self, server: &Name, prefixes: &[u64]) {
        let cache = self.servers.entry(server.clone()).or_default();
        for prefix in prefixes {
            cache.insert(*prefix);
        }
    }

    /// Applies cache events of a server, the first of which has number `first`. Events already
    /// applied are skipped. A gap in the numbers or a new boot id first clears the server's
    /// entries.
    pub fn events(&mut self, server: &Name, boot: u64, first: u64, events: &[Event]) {
        let cache = self.servers.entry(server.clone()).or_default();
        if cache.boot != boot || first > cache.next_event {
            *cache = Cache {
                boot,
                next_event: first,
                ..Cache::default()
            };
        }
        let already_applied =
            usize::try_from(cache.next_event - first.min(cache.next_event)).unwrap_or(0);
        for event in events.iter().skip(already_applied) {
            match event {
                Event::Stored(prefix) => cache.insert(*prefix),
                Event::Evicted(prefix) => cache.remove(*prefix),
            }
            cache.next_event += 1;
        }
    }

    /// Removes all entries of a server.
    pub fn forget(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Returns the length of the longest run of `prefixes`, in order from the shortest prefix, that
    /// the server may have cached.
    pub fn matched(&self, server: &str, prefixes: &[u64]) -> usize {
        let Some(cache) = self.servers.get(server) else {
            return 0;
        };
        prefixes
            .iter()
            .take_while(|prefix| cache.counts.contains_key(prefix))
            .count()
    }
}

impl Cache {
    fn insert(&mut self, prefix: u64) {
        self.insertion_order.push_back(prefix);
        *self.counts.entry(prefix).or_default() += 1;
        while self.insertion_order.len() > PREFIXES_MAX {
            let Some(oldest) = self.insertion_order.pop_front() else {
                break;
            };
            self.release(oldest);
        }
    }

    /// Decrements the entry count of a prefix and removes the prefix at zero.
    fn release(&mut self, prefix: u64) {
        if let Some(count) = self.counts.get_mut(&prefix) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&prefix);
            }
        }
    }

    fn remove(&mut self, prefix: u64) {
        self.counts.remove(&prefix);
        self.insertion_order.retain(|entry| *entry != prefix);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn gap_or_new_boot_clears_the_server() {
        let mut index = Index::default();
        let server = Name::from("e1");
        index.events(&server, 1, 0, &[Event::Stored(5), Event::Stored(6)]);
        assert_eq!(index.matched("e1", &[5, 6, 7]), 2);
        index.events(&server, 1, 1, &[Event::Stored(6), Event::Evicted(5)]);
        assert_eq!(
            index.matched("e1", &[5, 6]),
            0,
            "the overlapping event is skipped and the new one applied"
        );
        index.events(&server, 1, 9, &[Event::Stored(8)]);
        assert_eq!(index.matched("e1", &[6]), 0, "gap in the event numbers");
        index.events(&server, 2, 0, &[]);
        assert_eq!(index.matched("e1", &[8]), 0, "new boot id");
    }

    #[test]
    fn entries_per_server_are_bounded() {
        let mut index = Index::default();
        let server = Name::from("e1");
        for prefix in 0..10_000 {
            index.add(&server, &[prefix]);
        }
        assert_eq!(index.servers["e1"].counts.len(), PREFIXES_MAX);
        assert_eq!(index.matched("e1", &[9_999]), 1);
    }
}
