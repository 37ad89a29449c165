//! The software versions that the server list showed lately.

use std::ops::RangeInclusive;
use std::time::Duration;

use clock::Time;
use origin::history::GAP_MAX;
use origin::history::History;
use origin::history::Reading;
use origin::table::RETENTION;
use proptest::prelude::*;
use wire::Name;

const CHAT: Name = Name::const_new("chat");
const CODE: Name = Name::const_new("code");

/// Returns the time of a reading, of which there is one a second.
fn at(number: u64) -> Time {
    Duration::from_secs(1_000 + number)
}

/// Records readings of one a second, each of which lists servers of the given versions of `CHAT`.
fn record_chat(history: &mut History, numbers: RangeInclusive<u64>, versions: &[&str]) {
    for number in numbers {
        record(history, at(number), &CHAT, versions);
    }
}

fn record(history: &mut History, now: Time, label: &Name, versions: &[&str]) {
    let versions: Vec<Name> = versions.iter().map(|version| Name::new(version)).collect();
    history.record(
        reading(now),
        versions.iter().map(|version| (label, version)),
    );
}

/// Returns a reading that was handled at once.
fn reading(now: Time) -> Reading {
    Reading {
        handled_at: now,
        read_at: now,
        wall: now,
    }
}

fn only_chat(history: &History, since: u64) -> Option<&str> {
    history.only_version(&CHAT, at(since)).map(Name::as_str)
}

#[test]
fn single_version_is_found_from_the_first_reading_on() {
    let mut history = History::new();
    assert_eq!(history.observed_until(), None);
    assert_eq!(only_chat(&history, 0), None);
    record_chat(&mut history, 5..=9, &["v1", "v1"]);
    assert_eq!(history.observed_until(), Some(at(9)));
    assert_eq!(only_chat(&history, 4), None);
    assert_eq!(only_chat(&history, 5), Some("v1"));
    assert_eq!(only_chat(&history, 9), Some("v1"));
}

#[test]
fn time_after_the_last_reading_is_not_observed() {
    let mut history = History::new();
    record_chat(&mut history, 0..=3, &["v1"]);
    assert_eq!(only_chat(&history, 4), None);
}

#[test]
fn two_versions_side_by_side_are_ambiguous() {
    let mut history = History::new();
    record_chat(&mut history, 0..=3, &["v1"]);
    record_chat(&mut history, 4..=6, &["v1", "v2"]);
    assert_eq!(only_chat(&history, 0), None);
    assert_eq!(only_chat(&history, 6), None);
}

#[test]
fn version_that_vanished_within_the_span_counts() {
    let mut history = History::new();
    record_chat(&mut history, 0..=3, &["v1"]);
    record_chat(&mut history, 4..=6, &["v2"]);
    assert_eq!(only_chat(&history, 2), None);
    let half = Duration::from_millis(500);
    assert_eq!(
        history.only_version(&CHAT, at(3) + half),
        None,
        "a reading holds until the next one"
    );
    assert_eq!(only_chat(&history, 4), Some("v2"));
}

#[test]
fn version_listed_for_a_moment_within_the_span_counts() {
    let mut history = History::new();
    record_chat(&mut history, 0..=3, &["v1"]);
    record_chat(&mut history, 4..=4, &["v1", "v2"]);
    record_chat(&mut history, 5..=8, &["v1"]);
    assert_eq!(only_chat(&history, 1), None);
    assert_eq!(only_chat(&history, 4), None);
    assert_eq!(only_chat(&history, 5), Some("v1"));
}

#[test]
fn version_that_was_absent_for_a_while_stays_the_only_one() {
    let mut history = History::new();
    record_chat(&mut history, 0..=3, &["v1"]);
    record_chat(&mut history, 4..=6, &[]);
    assert_eq!(only_chat(&history, 2), Some("v1"));
    assert_eq!(only_chat(&history, 4), None);
    record_chat(&mut history, 7..=8, &["v1"]);
    assert_eq!(only_chat(&history, 4), Some("v1"));
}

#[test]
fn versions_replaced_at_the_same_time_both_count() {
    let mut history = History::new();
    record(&mut history, at(0), &CHAT, &["v1"]);
    record(&mut history, at(0), &CHAT, &["v2"]);
    assert_eq!(only_chat(&history, 0), None);
    record(&mut history, at(1), &CHAT, &["v2"]);
    assert_eq!(only_chat(&history, 0), None);
    assert_eq!(only_chat(&history, 1), Some("v2"));
}

#[test]
fn unknown_version_leaves_the_span_ambiguous() {
    let mut history = History::new();
    record_chat(&mut history, 0..=1, &[""]);
    assert_eq!(only_chat(&history, 0), None, "alone");
    record_chat(&mut history, 2..=3, &["", "v1"]);
    assert_eq!(only_chat(&history, 2), None, "beside a known one");
    record_chat(&mut history, 4..=5, &["v1"]);
    assert_eq!(only_chat(&history, 3), None, "before a known one");
    assert_eq!(only_chat(&history, 4), Some("v1"));
}

#[test]
fn label_without_servers_has_no_version() {
    let mut history = History::new();
    record_chat(&mut history, 0..=5, &["v1"]);
    assert_eq!(history.only_version(&CODE, at(0)), None);
}

#[test]
fn versions_of_labels_are_independent() {
    let mut history = History::new();
    let servers = [("chat", "v1"), ("code", "v2"), ("chat", "v1")];
    let servers = servers.map(|(label, software)| (Name::new(label), Name::new(software)));
    for number in 0..3 {
        history.record(
            reading(at(number)),
            servers.iter().map(|(label, software)| (label, software)),
        );
    }
    assert_eq!(only_chat(&history, 0), Some("v1"));
    assert_eq!(history.only_version(&CODE, at(0)), Some(&Name::new("v2")));
}

#[test]
fn gap_between_readings_ends_the_span() {
    let tick = Duration::from_millis(1);
    let mut history = History::new();
    record(&mut history, at(0), &CHAT, &["v1"]);
    record(&mut history, at(0) + GAP_MAX, &CHAT, &["v1"]);
    assert_eq!(only_chat(&history, 0), Some("v1"));

    let after_gap = at(0) + GAP_MAX * 2 + tick;
    record(&mut history, after_gap, &CHAT, &["v1"]);
    assert_eq!(only_chat(&history, 0), None);
    assert_eq!(history.only_version(&CHAT, after_gap - tick), None);
    assert_eq!(
        history.only_version(&CHAT, after_gap),
        Some(&Name::new("v1"))
    );
    assert_eq!(history.observed_until(), Some(after_gap));
}

#[test]
fn history_is_limited_to_the_retention() {
    let retention = RETENTION.as_secs();
    let mut history = History::new();
    record_chat(&mut history, 0..=4, &["v1"]);
    record_chat(&mut history, 5..=retention + 4, &["v2"]);
    assert_eq!(only_chat(&history, 4), None, "the old version is kept");
    assert_eq!(only_chat(&history, 5), Some("v2"));
    record_chat(&mut history, retention + 5..=retention + 6, &["v2"]);
    assert_eq!(only_chat(&history, 5), None, "the span is too long");
    assert_eq!(only_chat(&history, 6), Some("v2"));
}

proptest! {
    #[test]
    fn history_agrees_with_all_readings(
        readings in proptest::collection::vec(
            (
                prop_oneof![10 => 1u64..2_900, 1 => 2_900u64..3_200],
                prop_oneof![
                    8 => Just(vec!["v1"]),
                    1 => Just(vec![]),
                    1 => Just(vec![""]),
                    1 => Just(vec!["v2"]),
                    1 => Just(vec!["v1", "v2"]),
                ],
            ),
            1..120,
        ),
        since_ms in prop_oneof![0u64..10_000, 0u64..200_000],
    ) {
        let mut history = History::new();
        let mut now = at(0);
        let mut past: Vec<(Time, Vec<&str>)> = Vec::new();
        for (elapsed_ms, versions) in readings {
            now += Duration::from_millis(elapsed_ms);
            record(&mut history, now, &CHAT, &versions);
            past.push((now, versions));
        }
        let since = now.saturating_sub(Duration::from_millis(since_ms));
        let expected = expected_version(&past, since);
        prop_assert_eq!(history.only_version(&CHAT, since).map(Name::as_str), expected);
    }
}

/// Returns the only version by the definition: the one of all readings from the last at or before
/// `since` on, without a gap among them.
fn expected_version<'a>(past: &[(Time, Vec<&'a str>)], since: Time) -> Option<&'a str> {
    let first = past.iter().rposition(|(time, _)| *time <= since)?;
    let span = &past[first..];
    let is_gap = |pair: &[(Time, Vec<&str>)]| pair[1].0 - pair[0].0 > GAP_MAX;
    if span.windows(2).any(is_gap) || past.last()?.0 - since > RETENTION {
        return None;
    }
    let mut versions: Vec<&str> = span
        .iter()
        .flat_map(|(_, versions)| versions.clone())
        .collect();
    versions.sort_unstable();
    versions.dedup();
    match versions[..] {
        [only] if !only.is_empty() => Some(only),
        _ => None,
    }
}

/// Guards against an old state that counts as a new reading because it was handled late.
#[test]
fn reading_that_was_queued_does_not_bridge_a_gap() {
    let mut history = History::new();
    record_chat(&mut history, 0..=3, &["v1"]);
    let servers = [(CHAT, Name::new("v1"))];
    let queued = Reading {
        read_at: at(3),
        ..reading(at(5))
    };
    history.record(
        queued,
        servers.iter().map(|(label, software)| (label, software)),
    );
    assert_eq!(history.observed_until(), Some(at(3)));
    record_chat(&mut history, 7..=8, &["v1"]);
    assert_eq!(only_chat(&history, 3), None);
    assert_eq!(only_chat(&history, 7), Some("v1"));
}

/// Guards against versions that come and go while the machine is suspended and its clock stands still.
#[test]
fn suspension_ends_the_span() {
    let mut history = History::new();
    record_chat(&mut history, 0..=3, &["v1"]);
    let servers = [(CHAT, Name::new("v1"))];
    let resumed = Reading {
        wall: at(3) + GAP_MAX * 2,
        ..reading(at(4))
    };
    history.record(
        resumed,
        servers.iter().map(|(label, software)| (label, software)),
    );
    assert_eq!(only_chat(&history, 3), None);
    assert_eq!(only_chat(&history, 4), Some("v1"));
}
