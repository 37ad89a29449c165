//! Rendezvous hashing, by which coordinators are chosen.

use wire::InstanceId;

/// Returns the instance with the highest score for a key, or `None` if there are no instances.
///
/// When an instance leaves, only its keys move to other instances. When an instance joins, only the
/// keys that it takes over move.
pub fn first(key: &str, instances: impl Iterator<Item = InstanceId>) -> Option<InstanceId> {
    instances.max_by_key(|id| (score(key, *id), *id))
}

/// Returns up to `count` instances in descending order of their scores for a key.
pub fn order(
    key: &str,
    instances: impl Iterator<Item = InstanceId>,
    count: usize,
) -> Vec<InstanceId> {
    let mut ranked: Vec<InstanceId> = instances.collect();
    ranked.sort_by_key(|id| std::cmp::Reverse((score(key, *id), *id)));
    ranked.truncate(count);
    ranked
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
        fn leaving_instance_moves_only_its_own_keys(
            ids in proptest::collection::btree_set(1u64.., 2..20),
            key in "[a-z]{1,8}",
        ) {
            let coordinator = first(&key, ids.iter().copied()).unwrap();
            for leaving in ids.iter().filter(|id| **id != coordinator) {
                let remaining = ids.iter().copied().filter(|id| id != leaving);
                prop_assert_eq!(first(&key, remaining), Some(coordinator));
            }
        }
    }
}
