//! The at-most-once ledger.
//!
//! # Overview
//!
//! A request that must not run twice carries an idempotency key. Before it is dispatched, its key is
//! *claimed*: written by compare-and-swap into a record of the platform's store. Who finds the key
//! claimed by another request does not run. When the request ends, its small answer is recorded
//! under the key, and a request sent again gets that answer.
//!
//! Keys hash to shards, one record each. A [`Ledger`] keeps one swap in flight for a shard and
//! collects the next batch meanwhile, so the store's writes are bounded by the number of shards and
//! not by the number of requests. Usually one instance, the shard's coordinator, does this for all;
//! but any number of ledgers may work on one shard at once, since the swap alone decides.
//!
//! An entry carries the id of the request that claimed it. A swap whose answer was lost is settled by
//! reading the record back: the entry is there with that id, or the claim is tried again. A claim
//! that was given up is released only by the instance that made it, since nobody else can know that
//! it will not be used.
//!
//! # Modules
//!
//! - [`ledger`]: all shards of one instance.
//! - `shard`: batching, lost answers, outages.
//! - [`record`]: what stands in the store.

use wire::Key;
use wire::Name;

pub mod ledger;
pub mod record;
mod shard;

pub use crate::ledger::Effect;
pub use crate::ledger::Ledger;
pub use crate::ledger::Source;

/// Returns the hash under which an idempotency key is kept.
///
/// ```
/// let key = idempotency::hash_key("road-desk", "convoy-hold", "hold-17");
/// assert_ne!(key, idempotency::hash_key("dispatch-desk", "convoy-hold", "hold-17"));
/// ```
pub fn hash_key(organisation: &str, route: &str, key: &str) -> Key {
    let text = format!("{organisation}\0{route}\0{key}");
    xxhash_rust::xxh3::xxh3_128(text.as_bytes())
}

/// Returns the shard of a key.
pub fn shard_of(key: Key, shards: u32) -> u32 {
    let shards = Key::from(shards.max(1));
    u32::try_from(key % shards).unwrap_or(0)
}

/// Returns the name of a shard, from which its coordinator is computed.
pub fn shard_name(shard: u32) -> Name {
    Name::from(format!("once/{shard}"))
}
