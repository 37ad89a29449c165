//! Records of the software versions at which streams began.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use origin::table::Outcome;
use origin::table::RECORDS_MAX;
use origin::table::RETENTION;
use origin::table::Table;
use proptest::prelude::*;
use wire::StreamId;
use wire::origin::Origin;

const NOW: Time = Duration::from_secs(1_000);

/// Returns the origin of a stream that began at a software version.
fn origin(software: &str) -> Origin {
    Origin {
        pool: "engines".into(),
        software: software.into(),
    }
}

#[test]
fn first_record_of_a_stream_wins() {
    let mut table = Table::new();
    assert_eq!(table.find(NOW, 7), None);
    assert_eq!(table.record(NOW, 7, &origin("v1")), Outcome::Recorded);
    assert_eq!(table.record(NOW, 7, &origin("v1")), Outcome::Known);
    assert_eq!(table.record(NOW, 7, &origin("v2")), Outcome::Conflicting);
    assert_eq!(table.find(NOW, 7), Some(&origin("v1")));
    assert_eq!(table.find(NOW, 8), None);
}

#[test]
fn record_expires_even_if_it_was_repeated() {
    let mut table = Table::new();
    let last_moment = NOW + RETENTION - Duration::from_millis(1);
    table.record(NOW, 7, &origin("v1"));
    assert_eq!(table.record(last_moment, 7, &origin("v1")), Outcome::Known);
    assert_eq!(table.find(last_moment, 7), Some(&origin("v1")));
    assert_eq!(table.find(NOW + RETENTION, 7), None);
    assert_eq!(
        table.record(NOW + RETENTION, 7, &origin("v2")),
        Outcome::Recorded,
        "an expired record doesn't conflict"
    );
    assert_eq!(table.find(NOW + RETENTION, 7), Some(&origin("v2")));
}

#[test]
fn expired_records_are_dropped() {
    let mut table = Table::new();
    for stream in 0..10 {
        table.record(NOW, stream, &origin("v1"));
    }
    table.record(NOW + RETENTION / 2, 10, &origin("v1"));
    assert_eq!(table.len(), 11);
    table.record(NOW + RETENTION, 11, &origin("v1"));
    assert_eq!(table.len(), 2);
}

#[test]
fn full_table_drops_its_oldest_record() {
    let mut table = Table::new();
    let streams = 0..RECORDS_MAX as StreamId;
    for stream in streams.clone().rev() {
        table.record(NOW, stream, &origin("v1"));
    }
    table.record(NOW, 0, &origin("v1"));
    assert_eq!(table.len(), RECORDS_MAX);
    assert_eq!(table.find(NOW, streams.end - 1), Some(&origin("v1")));

    table.record(NOW, streams.end, &origin("v1"));
    assert_eq!(table.len(), RECORDS_MAX);
    assert_eq!(table.find(NOW, streams.end - 1), None);
    assert_eq!(table.find(NOW, streams.end - 2), Some(&origin("v1")));
    assert_eq!(table.find(NOW, streams.end), Some(&origin("v1")));
}

proptest! {
    #[test]
    fn table_agrees_with_a_model_without_bounds(
        operations in proptest::collection::vec((0u64..20_000, 0u64..12, any::<bool>()), 0..200),
    ) {
        let mut table = Table::new();
        let mut model: BTreeMap<StreamId, (Origin, Time)> = BTreeMap::new();
        let mut now = NOW;
        for (elapsed_ms, stream, is_v1) in operations {
            now += Duration::from_millis(elapsed_ms);
            model.retain(|_, (_, at)| now - *at < RETENTION);
            let software = origin(if is_v1 { "v1" } else { "v2" });
            let expected = match model.get(&stream) {
                None => Outcome::Recorded,
                Some((known, _)) if *known == software => Outcome::Known,
                Some(_) => Outcome::Conflicting,
            };
            model.entry(stream).or_insert((software.clone(), now));
            prop_assert_eq!(table.record(now, stream, &software), expected);
            prop_assert_eq!(table.len(), model.len());
            for stream in 0..12 {
                let known = model.get(&stream).map(|(software, _)| software);
                prop_assert_eq!(table.find(now, stream), known);
            }
        }
    }
}
