//! Coordinators by rendezvous hashing.

use wire::InstanceId;

/// Returns the instance with the greatest hash for a key, if there is any.
///
/// When an instance leaves, only the keys that it had move; when one joins, only the keys that it
/// gets move.
pub fn first(key: &str, instances: impl Iterator<Item = InstanceId>) -> Option<InstanceId> {
    instances.max_by_key(|id| (score(key, *id), *id))
}

/// Returns up to `count` instances by falling hash for a key.
pub fn order(
    key: &str,
    instances: impl Iterator<Item = InstanceId>,
    count: usize,
) -> Vec<InstanceId> {
    let mut all: Vec<InstanceId> = instances.collect();
    all.sort_by_key(|id| std::cmp::Reverse((score(key, *id), *id)));
    all.truncate(count);
    all
}

fn score(key: &str, id: InstanceId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), id)
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn a_leaver_moves_only_its_own_keys(
            ids in proptest::collection::btree_set(1u64.., 2..20),
            key in "[a-z]{1,8}",
        ) {
            let coordinator = first(&key, ids.iter().copied()).unwrap();
            for leaver in ids.iter().filter(|id| **id != coordinator) {
                let rest = ids.iter().copied().filter(|id| id != leaver);
                prop_assert_eq!(first(&key, rest), Some(coordinator));
            }
        }
    }
}
