//! Choice of the holders of a stream's record.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Range;

use origin::holders::HOLDERS;
use origin::holders::holders;
use proptest::prelude::*;
use wire::InstanceId;
use wire::Name;
use wire::StreamId;

/// Instances with their data centres.
type Fleet = BTreeMap<InstanceId, Name>;

fn data_centre(number: u8) -> Name {
    Name::from(format!("dc-{number}"))
}

/// Returns fleets of a number of instances in up to `data_centres` data centres.
fn fleets(sizes: Range<usize>, data_centres: u8) -> impl Strategy<Value = Fleet> {
    let centre = (0..data_centres).prop_map(data_centre);
    proptest::collection::btree_map(any::<InstanceId>(), centre, sizes)
}

/// Returns the holders among the instances of a fleet without some of them.
fn holders_without(fleet: &Fleet, stream: StreamId, gone: &[InstanceId]) -> Vec<InstanceId> {
    let instances = fleet.iter().filter(|(id, _)| !gone.contains(id));
    holders(stream, instances.map(|(id, centre)| (*id, centre)))
}

/// Returns the holders by their definition: sorted by the rank within the data centre, then by the
/// rank within the round. The order within a data centre and a round is that of pairs of instances.
fn sorted_holders(fleet: &Fleet, stream: StreamId) -> Vec<InstanceId> {
    let is_better = |a: InstanceId, b: InstanceId| {
        let centre = data_centre(0);
        holders(stream, [(a, &centre), (b, &centre)].into_iter())[0] == a && a != b
    };
    let rank = |id: InstanceId| {
        fleet
            .keys()
            .filter(|other| fleet[other] == fleet[&id] && is_better(**other, id))
            .count()
    };
    let place = |id: InstanceId| {
        let before = |other: InstanceId| {
            rank(other) < rank(id) || (rank(other) == rank(id) && is_better(other, id))
        };
        fleet.keys().filter(|other| before(**other)).count()
    };
    let mut sorted: Vec<InstanceId> = fleet.keys().copied().collect();
    sorted.sort_by_key(|id| place(*id));
    sorted.truncate(HOLDERS);
    sorted
}

#[test]
fn fleet_without_instances_has_no_holders() {
    assert_eq!(holders(1, std::iter::empty()), []);
}

#[test]
fn records_are_balanced_over_instances() {
    let fleet: Fleet = (1..=24)
        .map(|id| (id, data_centre((id % 3) as u8)))
        .collect();
    let mut records: BTreeMap<InstanceId, usize> = BTreeMap::new();
    for stream in 0..6_000 {
        for id in holders_without(&fleet, stream, &[]) {
            *records.entry(id).or_default() += 1;
        }
    }
    let mean = 6_000 * HOLDERS / fleet.len();
    assert_eq!(records.len(), fleet.len());
    for (id, count) in records {
        assert!(
            count * 10 > mean * 8 && count * 10 < mean * 12,
            "instance {id} holds {count} records of {mean} on average"
        );
    }
}

proptest! {
    #[test]
    fn holders_are_those_of_a_complete_sort(
        fleet in fleets(0..16, 6),
        stream in any::<StreamId>(),
    ) {
        prop_assert_eq!(holders_without(&fleet, stream, &[]), sorted_holders(&fleet, stream));
    }

    #[test]
    fn holders_are_spread_over_data_centres(
        fleet in fleets(0..40, 7),
        stream in any::<StreamId>(),
    ) {
        let chosen = holders_without(&fleet, stream, &[]);
        let distinct: BTreeSet<InstanceId> = chosen.iter().copied().collect();
        prop_assert_eq!(distinct.len(), fleet.len().min(HOLDERS));
        prop_assert_eq!(chosen.len(), distinct.len());

        let all: BTreeSet<&Name> = fleet.values().collect();
        let used: BTreeSet<&Name> = chosen.iter().map(|id| &fleet[id]).collect();
        prop_assert_eq!(used.len(), all.len().min(HOLDERS));
    }

    #[test]
    fn holders_do_not_depend_on_the_order_of_instances(
        fleet in fleets(0..40, 5),
        stream in any::<StreamId>(),
        order in any::<InstanceId>(),
    ) {
        let mut permuted: Vec<(InstanceId, &Name)> =
            fleet.iter().map(|(id, centre)| (*id, centre)).collect();
        permuted.sort_by_key(|(id, _)| (id ^ order).rotate_left(32));
        prop_assert_eq!(
            holders(stream, permuted.into_iter()),
            holders_without(&fleet, stream, &[])
        );
    }

    #[test]
    fn only_a_holder_that_leaves_changes_the_holders(
        fleet in fleets(1..40, 6),
        stream in any::<StreamId>(),
    ) {
        let before = holders_without(&fleet, stream, &[]);
        for gone in fleet.keys() {
            let after = holders_without(&fleet, stream, &[*gone]);
            if before.contains(gone) {
                prop_assert_eq!(after.len(), (fleet.len() - 1).min(HOLDERS));
                for id in before.iter().filter(|id| *id != gone) {
                    prop_assert!(after.contains(id));
                }
            } else {
                prop_assert_eq!(after, before.clone());
            }
        }
    }

    /// The instance that begins a stream and the one that asks leave themselves out, and the view
    /// of the latter may lack the former, another instance, or both.
    #[test]
    fn asked_instances_hold_the_record(
        fleet in fleets(HOLDERS + 3..24, 5),
        stream in any::<StreamId>(),
        picks in proptest::sample::subsequence((0..HOLDERS + 3).collect::<Vec<_>>(), 3)
            .prop_shuffle(),
    ) {
        // The best instances of the whole fleet are the ones that matter.
        let best_first: Vec<InstanceId> = {
            let mut remaining = fleet.clone();
            let mut order = Vec::new();
            while let Some(first) = holders_without(&remaining, stream, &[]).first() {
                order.push(*first);
                remaining.remove(first);
            }
            order
        };
        let [beginner, asker, other] = [0, 1, 2].map(|i: usize| best_first[picks[i]]);
        let mut with_record = holders_without(&fleet, stream, &[beginner]);
        with_record.push(beginner);
        for gone in [vec![], vec![beginner], vec![other], vec![beginner, other]] {
            let absent = [gone.as_slice(), &[asker]].concat();
            let asked = holders_without(&fleet, stream, &absent);
            prop_assert!(!asked.contains(&asker));
            let common = asked.iter().filter(|id| with_record.contains(id)).count();
            let own = usize::from(with_record.contains(&asker));
            prop_assert!(common + own >= HOLDERS - 1, "{common} + {own} without {gone:?}");
        }
    }
}
