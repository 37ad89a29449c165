//! Evidence against requests that outlives all instances: its record in the store.

mod fleet;

use std::time::Duration;

use store::Answer;
use store::Call;
use wire::RequestId;

use crate::fleet::Content;
use crate::fleet::Fleet;
use crate::fleet::Kind;

const INSTANCES: usize = 6;
const ENGINES: usize = 9;
const APPS: usize = 9;
const STEP: Duration = Duration::from_millis(10);
const SEEDS: u64 = 8;
/// The request that crashes its servers.
const BAD: Content = Content {
    fingerprint: 1 << 40,
    group: 1 << 40,
};
/// Time between two copies of it.
const REPEAT_TIME: Duration = Duration::from_secs(2);
/// Time for the restart of all processes.
const RESTART_TIME: Duration = Duration::from_millis(700);
/// Time after its third crash from which a request that crashes servers is sent to three more at most.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const LATE_RUNS_MAX: usize = 3;
/// A request that is asked for all the time.
const BOARD: Content = Content {
    fingerprint: 1 << 41,
    group: 1 << 41,
};
/// Requests for it that arrive per second.
const BOARD_RATE: f64 = 80.0;
/// Share of the requests for it that must be served, with those that are lost in a kill.
const SERVED_MIN: f64 = 0.9;
/// Key of the record in the store.
const KEY: &str = "suspects";
/// Time in which an instance records what others have found.
const KEEPER_TIME: Duration = Duration::from_millis(1_500);

fn start(seed: u64) -> Fleet {
    let mut fleet = Fleet::start(INSTANCES, ENGINES, APPS, seed);
    fleet.is_loaded = false;
    fleet.crashing.insert(BAD.fingerprint);
    fleet
}

/// Sends the bad request to one instance after the other until a number of servers have crashed under
/// it.
fn crash_servers(fleet: &mut Fleet, count: usize) {
    let copies = u32::try_from(4 * count).expect("it is small");
    crash_servers_within(fleet, count, REPEAT_TIME * copies);
    assert!(fleet.crashes.len() >= count);
}

/// Sends the bad request to one instance after the other for a time, or until so many servers have
/// crashed under it.
fn crash_servers_within(fleet: &mut Fleet, count: usize, time: Duration) {
    let end = fleet.now + time;
    let mut number = 0;
    while fleet.now < end && fleet.crashes.len() < count {
        fleet.send_content(number % INSTANCES, Kind::Letter, BAD);
        fleet.advance(REPEAT_TIME);
        number += 1;
    }
}

/// Returns the runs of the bad request that began so long after the third crash that they are limited.
fn late_runs(fleet: &Fleet) -> usize {
    let Some((third, _)) = fleet.crashes.get(2).copied() else {
        return 0;
    };
    let records = fleet.records.values();
    let bad = records.filter(|record| record.content == BAD);
    let runs = bad.flat_map(|record| &record.run_at);
    runs.filter(|at| **at > third + CONTACT_TIME).count()
}

fn restart_all(fleet: &mut Fleet) {
    fleet.restart_all();
    fleet.advance(RESTART_TIME);
}

fn is_refused(fleet: &Fleet, request: RequestId) -> bool {
    fleet.records[&request].refused
}

fn line_count(fleet: &Fleet, text: &str) -> usize {
    let lines = fleet.lines.iter();
    lines.filter(|(_, _, line)| line.contains(text)).count()
}

fn stored(fleet: &mut Fleet) -> (u64, Vec<u8>) {
    let key = KEY.into();
    match fleet.store.call(fleet.now, &Call::Get { key }) {
        Answer::Value { revision, value } => (revision, value),
        answer => panic!("the store answers {answer:?}"),
    }
}

fn store_value(fleet: &mut Fleet, value: Vec<u8>) {
    let (expect, _) = stored(fleet);
    let swap = Call::CompareAndSwap {
        key: KEY.into(),
        expect,
        value,
        ttl_ms: 0,
    };
    let answer = fleet.store.call(fleet.now, &swap);
    assert!(matches!(answer, Answer::Swapped { .. }));
}

/// Guards against three more crashes after each loss of all processes: a bar was known to them only.
#[test]
fn bar_outlives_the_loss_of_all_instances() {
    for seed in 1..=SEEDS {
        let mut fleet = start(seed);
        crash_servers(&mut fleet, 3);
        restart_all(&mut fleet);
        for instance in 0..INSTANCES {
            let request = fleet.send_content(instance, Kind::Letter, BAD);
            fleet.advance(STEP);
            assert!(is_refused(&fleet, request), "seed {seed}");
        }
        assert_eq!(fleet.crashes.len(), 3, "seed {seed}");
    }
}

/// Guards against losing the evidence that does not suffice for a bar yet, at each of several kills.
#[test]
fn crashes_below_a_bar_outlive_the_loss_of_all_instances() {
    for seed in 1..=SEEDS {
        let mut fleet = start(seed);
        for crashes in [2, 5] {
            crash_servers_within(&mut fleet, crashes, Duration::from_secs(30));
            restart_all(&mut fleet);
        }
        crash_servers_within(&mut fleet, usize::MAX, Duration::from_secs(60));
        let late = late_runs(&fleet);
        assert!(late <= LATE_RUNS_MAX, "seed {seed}: {late} late runs");
    }
}

/// Guards against forgetting a part of prompts that crashes its servers: requests with it differ.
#[test]
fn bar_of_a_part_outlives_the_loss_of_all_instances() {
    let with_part = |number: u64| Content {
        fingerprint: BAD.fingerprint + 2 * number,
        group: BAD.group + 2 * number,
    };
    for seed in 1..=SEEDS {
        let mut fleet = start(seed);
        for number in 0..3 {
            fleet.crashing.insert(with_part(number).fingerprint);
            fleet.send_content(0, Kind::Letter, with_part(number));
            fleet.advance(REPEAT_TIME);
        }
        assert_eq!(fleet.crashes.len(), 3, "seed {seed}");
        restart_all(&mut fleet);
        let request = fleet.send_content(1, Kind::Letter, with_part(9));
        fleet.advance(STEP);
        assert!(is_refused(&fleet, request), "seed {seed}");
    }
}

/// Guards against barring what is asked for all the time after a data centre's servers and then all
/// processes have ended.
#[test]
fn request_that_ran_on_failing_servers_is_not_barred_after_the_loss_of_all_instances() {
    for seed in 1..=SEEDS {
        let mut fleet = start(seed);
        let mut sent = Vec::new();
        send_board(&mut fleet, &mut sent, Duration::from_secs(3));
        let ended: Vec<usize> = (0..APPS).step_by(3).map(|app| ENGINES + app).collect();
        fleet.crash(&ended);
        send_board(&mut fleet, &mut sent, Duration::from_millis(500));
        fleet.restart_all();
        fleet.restart(&ended);
        fleet.advance(RESTART_TIME);
        send_board(&mut fleet, &mut sent, Duration::from_secs(6));
        fleet.advance(Duration::from_secs(2));
        let is_served = |id: &&RequestId| fleet.records[*id].served_at.is_some();
        let served = sent.iter().filter(is_served).count() as f64 / sent.len() as f64;
        assert!(served >= SERVED_MIN, "seed {seed}: {served:.3} served");
        assert_eq!(line_count(&fleet, "is barred"), 0, "seed {seed}");
    }
}

/// Sends the request that is asked for all the time to instances drawn at random.
fn send_board(fleet: &mut Fleet, sent: &mut Vec<RequestId>, time: Duration) {
    let end = fleet.now + time;
    let mut due = 0.0;
    while fleet.now < end {
        due += BOARD_RATE * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            let instance = fleet.rng.usize(..INSTANCES);
            sent.push(fleet.send_content(instance, Kind::Lookup, BOARD));
        }
        fleet.advance(STEP);
    }
}

/// Guards against barring at the next start what a sound run has cleared.
#[test]
fn sound_run_clears_the_record() {
    let mut fleet = start(1);
    crash_servers(&mut fleet, 3);
    fleet.crashing.clear();
    fleet.advance(Duration::from_secs(12));
    let trial = fleet.send_content(0, Kind::Letter, BAD);
    fleet.advance(Duration::from_secs(4));
    assert!(fleet.records[&trial].served_at.is_some());
    restart_all(&mut fleet);
    let request = fleet.send_content(1, Kind::Letter, BAD);
    fleet.advance(Duration::from_secs(4));
    assert!(fleet.records[&request].served_at.is_some());
}

/// Guards against losing the evidence of one of two instances that write at the same time.
#[test]
fn instances_that_record_evidence_at_the_same_time_keep_each_others() {
    let other = Content {
        fingerprint: BAD.fingerprint + 1,
        group: BAD.group + 1,
    };
    for seed in 1..=SEEDS {
        let mut fleet = start(seed);
        fleet.crashing.insert(other.fingerprint);
        for round in 0..3 {
            fleet.send_content(2 * round, Kind::Letter, BAD);
            fleet.send_content(2 * round + 1, Kind::Letter, other);
            fleet.advance(REPEAT_TIME);
        }
        restart_all(&mut fleet);
        for content in [BAD, other] {
            let request = fleet.send_content(0, Kind::Letter, content);
            fleet.advance(STEP);
            assert!(is_refused(&fleet, request), "seed {seed}");
        }
    }
}

/// Guards against running what may be barred in the first moments of a process, before it has read the
/// record.
#[test]
fn requests_wait_until_the_record_is_read() {
    let mut fleet = start(1);
    crash_servers(&mut fleet, 3);
    fleet.restart_all();
    assert!(!fleet.instances[0].is_ready());
    let bad = fleet.send_content(0, Kind::Letter, BAD);
    let sound = fleet.send(0, Kind::Lookup);
    fleet.advance(Duration::from_secs(1));
    assert!(fleet.instances[0].is_ready());
    assert!(is_refused(&fleet, bad));
    assert!(fleet.records[&sound].served_at.is_some());
    assert_eq!(fleet.crashes.len(), 3);
}

/// Guards against an outage for callers while the store is away or refuses an instance.
#[test]
fn instance_that_can_not_read_the_record_serves() {
    let mut fleet = start(1);
    fleet.refused.extend(0..INSTANCES);
    fleet.restart_all();
    fleet.advance(Duration::from_millis(500));
    assert!(!fleet.instances[0].is_ready());
    let request = fleet.send(0, Kind::Lookup);
    fleet.advance(Duration::from_millis(700));
    assert!(fleet.instances[0].is_ready());
    assert!(fleet.records[&request].served_at.is_some());
}

/// Guards against a bad request that is let run for as long as the store refuses the instance that
/// found it, or the one that is asked for it.
#[test]
fn instance_that_the_store_refuses_learns_of_bars_from_others() {
    let mut fleet = start(1);
    fleet.refused.insert(0);
    crash_servers(&mut fleet, 3);
    restart_all(&mut fleet);
    fleet.advance(Duration::from_secs(3));
    let request = fleet.send_content(0, Kind::Letter, BAD);
    fleet.advance(STEP);
    assert!(is_refused(&fleet, request));
    assert_eq!(fleet.crashes.len(), 3);
}

/// Guards against losing a bar with what a store loses that is restored from an older copy.
#[test]
fn evidence_is_recorded_again_when_the_store_is_restored() {
    let mut fleet = start(1);
    crash_servers(&mut fleet, 3);
    store_value(&mut fleet, Vec::new());
    fleet.era += 1;
    fleet.advance(Duration::from_secs(2));
    let (_, value) = stored(&mut fleet);
    assert!(!value.is_empty());
    restart_all(&mut fleet);
    let request = fleet.send_content(0, Kind::Letter, BAD);
    fleet.advance(STEP);
    assert!(is_refused(&fleet, request));
}

/// Guards against trouble from a record that another program has written.
#[test]
fn record_that_can_not_be_read_is_logged_and_replaced() {
    let mut fleet = start(1);
    store_value(&mut fleet, b"\x00no record".to_vec());
    restart_all(&mut fleet);
    assert_eq!(line_count(&fleet, "can't be decoded"), INSTANCES);
    let request = fleet.send(0, Kind::Lookup);
    crash_servers(&mut fleet, 3);
    assert!(fleet.records[&request].served_at.is_some());
    restart_all(&mut fleet);
    let request = fleet.send_content(0, Kind::Letter, BAD);
    fleet.advance(STEP);
    assert!(is_refused(&fleet, request));
}

/// Guards against a bar that wall clocks that differ between processes prolong by more than the
/// difference, or end at once.
#[test]
fn wall_clock_steps_move_a_recorded_bar_by_their_length() {
    for step_s in [0, 4] {
        let mut fleet = start(1);
        crash_servers(&mut fleet, 3);
        fleet.wall_step = Duration::from_secs(step_s);
        restart_all(&mut fleet);
        let request = fleet.send_content(0, Kind::Letter, BAD);
        fleet.advance(STEP);
        assert!(is_refused(&fleet, request), "step {step_s}");
        let retry_after = fleet.records[&request].retry_after;
        let left = retry_after.expect("it is told when to come back");
        // The third crash was 2 s before the restart, and a bar lasts 10 s.
        let expected = Duration::from_secs(8 - step_s) - RESTART_TIME;
        let error = left.abs_diff(expected);
        assert!(
            error < Duration::from_millis(200),
            "step {step_s}: {left:?}"
        );
    }
}

/// Guards against a record that needs all instances: those of an earlier build do not know it.
#[test]
fn fleet_with_instances_of_an_earlier_build_stops_a_bad_request() {
    for seed in 1..=SEEDS {
        let mut fleet = start(seed);
        fleet.storeless.extend([0, 2, 4]);
        crash_servers_within(&mut fleet, 3, Duration::from_secs(20));
        fleet.advance(KEEPER_TIME);
        restart_all(&mut fleet);
        let request = fleet.send_content(1, Kind::Letter, BAD);
        fleet.advance(STEP);
        assert!(is_refused(&fleet, request), "seed {seed}");
        crash_servers_within(&mut fleet, usize::MAX, Duration::from_secs(40));
        let late = late_runs(&fleet);
        assert!(late <= LATE_RUNS_MAX, "seed {seed}: {late} late runs");
    }
}

/// Guards against a burst of writes as servers crash: nearly all that ran there is innocent.
#[test]
fn crash_of_a_data_centre_under_load_writes_nothing() {
    let mut fleet = Fleet::start(INSTANCES, ENGINES, APPS, 1);
    fleet.advance(Duration::from_secs(5));
    let writes_before = fleet.store.counts.writes;
    let ended: Vec<usize> = (0..ENGINES + APPS).step_by(3).collect();
    fleet.crash(&ended);
    fleet.advance(Duration::from_secs(3));
    assert_eq!(fleet.store.counts.writes, writes_before);
}
