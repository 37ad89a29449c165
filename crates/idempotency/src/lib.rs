//! Idempotency ledger: at-most-once execution of requests that carry an idempotency key.
//!
//! # Overview
//!
//! Before a request with an idempotency key is dispatched, its key is *claimed*: written by
//! compare-and-swap into a record of the platform's store. A request whose key is already claimed
//! by another request is not dispatched. When the claiming request ends, its answer, if small
//! enough, is recorded under the key, and a retry of the request receives that answer.
//!
//! Keys hash to shards, and each shard is one record in the store. A [`Ledger`] keeps at most one
//! swap per shard in flight and batches the operations that arrive meanwhile, so the number of
//! writes to the store is bounded by the number of shards rather than by the number of requests.
//! Usually the shard's coordinator writes for all instances, but several ledgers may write to one
//! shard concurrently: the compare-and-swap alone guarantees correctness.
//!
//! An entry carries the id of the request that claimed it. If the answer to a swap is lost, the
//! ledger reads the record back: either the entry is present with that id, or the claim is retried.
//! An abandoned claim is released only by the instance that made it, since no other instance can
//! know that the request will not run.
//!
//! # Modules
//!
//! - [`ledger`]: all shards of one instance.
//! - `shard`: batching, lost answers and store outages for one shard.
//! - [`record`]: the stored form of a shard.

use wire::Key;
use wire::Name;

pub mod ledger;
pub mod record;
mod shard;

pub use crate::ledger::Effect;
pub use crate::ledger::Ledger;
pub use crate::ledger::Source;

/// Returns the hash under which an idempotency key is stored.
///
/// The hash covers the organisation and the route, so equal keys of different organisations or
/// routes do not collide.
///
/// ```
/// let key = idempotency::hash_key("road-desk", "convoy-hold", "hold-17");
/// assert_ne!(key, idempotency::hash_key("dispatch-desk", "convoy-hold", "hold-17"));
/// ```
pub fn hash_key(organisation: &str, route: &str, key: &str) -> Key {
    let text = format!("{organisation}\0{route}\0{key}");
    xxhash_rust::xxh3::xxh3_128(text.as_bytes())
}

/// Returns the number of the shard that holds a key, out of `shards` shards.
pub fn shard_of(key: Key, shards: u32) -> u32 {
    let shards = Key::from(shards.max(1));
    u32::try_from(key % shards).unwrap_or(0)
}

/// Returns the name of a shard: its key in the store, from which its coordinator is also computed.
pub fn shard_name(shard: u32) -> Name {
    Name::from(format!("once/{shard}"))
}
