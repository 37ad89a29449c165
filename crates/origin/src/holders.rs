//! Choice of the instances that hold the record of a stream.
//!
//! Holders are chosen by rendezvous hashing (D. G. Thaler and C. V. Ravishankar, "Using Name-Based
//! Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998), so that
//! instances find the same holders without any exchange, and an instance that leaves or joins
//! changes at most one holder of a stream. They are spread over data centres, since a whole data
//! centre may become unreachable.

use std::collections::BTreeMap;

use wire::InstanceId;
use wire::Name;
use wire::StreamId;

/// Number of instances that hold the record of a stream.
pub const HOLDERS: usize = 4;

/// An instance with its weight for a stream, ordered by the weight.
type Candidate = (u64, InstanceId);

/// Returns the holders of a stream's record among the given instances, each of which is given once
/// with its data centre. The order of the instances does not matter.
///
/// The first holders are the best instances of each data centre, followed by the second best of
/// each, and so on, until there are [`HOLDERS`]. Fewer are returned if there are fewer instances.
pub fn holders<'a>(
    stream: StreamId,
    instances: impl Iterator<Item = (InstanceId, &'a Name)>,
) -> Vec<InstanceId> {
    let mut best: BTreeMap<&Name, Vec<Candidate>> = BTreeMap::new();
    for (id, data_centre) in instances {
        insert_candidate(
            best.entry(data_centre).or_default(),
            (weight(stream, id), id),
        );
    }
    let mut holders = Vec::new();
    for rank in 0..HOLDERS {
        let mut round: Vec<Candidate> = best
            .values()
            .filter_map(|candidates| candidates.get(rank).copied())
            .collect();
        round.sort_unstable_by(|a, b| b.cmp(a));
        holders.extend(round.into_iter().map(|(_, id)| id));
    }
    holders.truncate(HOLDERS);
    holders
}

/// Inserts a candidate into a list of the best few in descending order.
fn insert_candidate(best: &mut Vec<Candidate>, candidate: Candidate) {
    let position = best.partition_point(|better| *better > candidate);
    if position < HOLDERS {
        best.insert(position, candidate);
        best.truncate(HOLDERS);
    }
}

fn weight(stream: StreamId, id: InstanceId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&stream.to_le_bytes(), id)
}
