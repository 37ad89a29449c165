//! Verdicts on parts of prompts, and the exchange of the evidence for them.

use std::time::Duration;

use clock::Time;
use proptest::prelude::*;
use suspect::Finding;
use suspect::PARTS;
use suspect::Status;
use suspect::Table;
use wire::PartId;
use wire::gossip::Evidence;

const NOW: Time = Duration::from_secs(1_000);
const PART: PartId = 7;

fn crash(part: PartId, server: u64, request: u64) -> Finding {
    Finding::new(part, Evidence::Crash { server, request })
}

fn sound(part: PartId) -> Finding {
    Finding::new(part, Evidence::Sound)
}

fn after(ms: u64) -> Time {
    NOW + Duration::from_millis(ms)
}

/// Returns a table in which a part is barred by crashes at 0, 1 and 2 s.
fn barred_table() -> Table {
    let mut table = Table::new(PARTS);
    for number in 0..3 {
        table.merge(after(number * 1_000), &crash(PART, number, number));
    }
    table
}

fn is_barred(table: &Table, now: Time, part: PartId) -> bool {
    matches!(table.status(now, part), Status::Barred { .. })
}

#[test]
fn part_is_barred_after_crashes_of_several_servers_under_several_requests() {
    let mut table = Table::new(PARTS);
    for number in 0..3 {
        assert_eq!(table.status(after(number * 1_000), PART), Status::Clear);
        table.merge(after(number * 1_000), &crash(PART, number, number));
    }
    assert!(is_barred(&table, after(2_000), PART));
}

#[test]
fn crashes_under_one_request_do_not_bar_its_parts() {
    let mut table = Table::new(PARTS);
    for number in 0..10 {
        table.merge(after(number * 1_000), &crash(PART, number, 1));
    }
    assert_eq!(table.status(after(10_000), PART), Status::Clear);
}

#[test]
fn servers_that_crash_together_do_not_bar_a_part() {
    let mut table = Table::new(PARTS);
    for number in 0..10 {
        table.merge(after(number * 10), &crash(PART, number, number));
    }
    assert_eq!(table.status(after(1_000), PART), Status::Clear);
}

#[test]
fn crashes_of_the_same_boot_count_once() {
    let mut table = Table::new(PARTS);
    for number in 0..10 {
        table.merge(after(number * 1_000), &crash(PART, 1, number));
    }
    assert_eq!(table.status(after(10_000), PART), Status::Clear);
}

#[test]
fn part_with_runs_that_get_past_their_opening_is_not_barred() {
    let mut table = Table::new(PARTS);
    for number in 0..20 {
        table.merge(after(number * 1_000), &crash(PART, number, number));
        table.merge(after(number * 1_000 + 500), &sound(PART));
    }
    assert_eq!(table.status(after(20_000), PART), Status::Clear);
}

#[test]
fn sound_run_clears_a_barred_part() {
    let mut table = barred_table();
    assert!(table.merge(after(2_500), &sound(PART)));
    assert_eq!(table.status(after(2_500), PART), Status::Clear);
}

#[test]
fn bar_ends_in_a_trial_and_crashes_on_trial_lengthen_it() {
    let mut table = barred_table();
    let mut bars = Vec::new();
    let mut now = after(2_000);
    for number in 3..30 {
        let Status::Barred { until } = table.status(now, PART) else {
            panic!("the part is barred");
        };
        bars.push(until - now);
        now = until;
        assert_eq!(table.status(now, PART), Status::OnTrial);
        table.merge(now, &crash(PART, number, number));
    }
    assert!(bars.is_sorted());
    assert!(bars[4] > bars[0]);
    assert!(
        bars.last() <= Some(&Duration::from_secs(3_600)),
        "no bar is for ever"
    );
}

#[test]
fn parts_that_accompany_a_barred_part_are_not_barred_for_its_crashes() {
    let mut table = Table::new(PARTS);
    let company = 8;
    for number in 0..4 {
        let at = after(number * 1_000);
        table.merge(at, &crash(PART, number, number));
        if number != 1 {
            table.merge(at, &crash(company, number, number));
        }
    }
    assert!(is_barred(&table, after(4_000), PART));
    assert_eq!(table.status(after(4_000), company), Status::Clear);
}

#[test]
fn part_that_crashes_servers_without_a_barred_part_is_barred_as_well() {
    let mut table = barred_table();
    let other = 8;
    for number in 0..3 {
        table.merge(after(number * 1_000), &crash(other, number, number));
    }
    for number in 10..13 {
        table.merge(after(number * 1_000), &crash(other, number, number));
    }
    assert!(is_barred(&table, after(13_000), other));
}

#[test]
fn barred_part_whose_crashes_others_explain_is_on_trial_and_barred_by_the_next_crash() {
    let mut table = Table::new(PARTS);
    let other = 8;
    for number in 0..3 {
        table.merge(after(number * 1_000), &crash(PART, number, number));
        table.merge(after(number * 1_000), &crash(other, number, number));
    }
    for number in 3..5 {
        table.merge(after(number * 1_000), &crash(other, number, number));
    }
    assert!(is_barred(&table, after(4_000), other));
    assert_eq!(table.status(after(4_000), PART), Status::OnTrial);
    table.merge(after(5_000), &crash(PART, 9, 9));
    assert!(is_barred(&table, after(5_000), PART));
}

#[test]
fn bar_survives_long_gossip_with_delays() {
    let mut tables = [barred_table(), Table::new(PARTS)];
    // The part was sound shortly before its first crash.
    tables[1].merge(NOW - Duration::from_millis(5), &sound(PART));
    let delay = Duration::from_millis(4);
    let mut now = after(2_000);
    for round in 0..2_000 {
        let findings = tables[round % 2].take_gossip(now);
        now += delay;
        for finding in findings {
            tables[(round + 1) % 2].merge(now, &finding);
        }
    }
    assert!(is_barred(&tables[0], now, PART));
    assert!(is_barred(&tables[1], now, PART));
}

#[test]
fn instance_that_starts_late_learns_of_a_barred_part() {
    let mut table = barred_table();
    for _ in 0..100 {
        table.take_gossip(after(3_000));
    }
    let mut late = Table::new(PARTS);
    for finding in table.take_gossip(after(10_000)) {
        late.merge(after(10_000), &finding);
    }
    assert_eq!(
        late.status(after(10_000), PART),
        table.status(after(10_000), PART)
    );
}

#[test]
fn barred_part_is_remembered_among_many_others() {
    let mut table = barred_table();
    for number in 0..20_000 {
        table.merge(after(5_000), &sound(100 + number));
    }
    assert!(is_barred(&table, after(6_000), PART));
}

proptest! {
    #[test]
    fn verdicts_do_not_depend_on_the_order_of_crashes(
        crashes in proptest::collection::vec((0u64..6, 0u32..9_000), 0..12),
        seed in any::<u64>(),
    ) {
        let mut findings: Vec<Finding> = crashes
            .into_iter()
            .zip(0..)
            .map(|((request, age_ms), server)| Finding {
                age: Duration::from_millis(u64::from(age_ms)),
                ..crash(PART, server, request)
            })
            .collect();
        let mut first = Table::new(PARTS);
        for finding in &findings {
            first.merge(NOW, finding);
        }
        fastrand::Rng::with_seed(seed).shuffle(&mut findings);
        let mut second = Table::new(PARTS);
        for finding in &findings {
            second.merge(NOW, finding);
        }
        prop_assert_eq!(first.status(NOW, PART), second.status(NOW, PART));
    }
}
