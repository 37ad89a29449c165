//! Streams that break off while their servers' coordinator is silent.

mod fleet;

use std::time::Duration;

use wire::RequestId;

use crate::fleet::Fleet;
use crate::fleet::Kind;

const ENGINES: usize = 2;
const TAGS: usize = 10;
const SEEDS: u64 = 6;
/// The timeout of their route, and the time after it within which a request has its answer.
const TIMEOUT: Duration = Duration::from_millis(4_000);
const LATE: Duration = Duration::from_millis(500);
/// Time for which the list shows the boots before.
const STALE_TIME: Duration = Duration::from_millis(1_900);

/// Starts a fleet in one data centre, begins streams at an instance that does not coordinate the
/// engines, crashes all engines and makes their coordinator silent. The engines are back soon, and are
/// listed with their new boots later.
fn break_off_streams(seed: u64) -> (Fleet, Vec<RequestId>) {
    let mut fleet = Fleet::start_in(&["east"], 3, ENGINES, 0, seed);
    fleet.is_loaded = false;
    let coordinators = fleet.coordinators();
    let asked = (0..3).find(|index| !coordinators.contains(index));
    let asked = asked.expect("an instance coordinates nothing");
    let tags: Vec<RequestId> = (0..TAGS).map(|_| fleet.send(asked, Kind::Tag)).collect();
    fleet.advance(Duration::from_millis(600));
    fleet.is_list_stale = true;
    fleet.separated.extend(coordinators);
    let engines: Vec<usize> = (0..ENGINES).collect();
    fleet.crash(&engines);
    fleet.advance(Duration::from_millis(700));
    fleet.restart(&engines);
    fleet.advance(STALE_TIME - Duration::from_millis(700));
    fleet.is_list_stale = false;
    fleet.advance(Duration::from_secs(6));
    (fleet, tags)
}

/// Guards against a request without a timer: its server was refused by a check that the search for a
/// server had not made, and nothing ever looked at the request again.
#[test]
fn stream_whose_server_is_listed_with_an_earlier_boot_ends() {
    for seed in 1..=SEEDS {
        let (fleet, tags) = break_off_streams(seed);
        for tag in tags {
            let record = &fleet.records[&tag];
            let ended_at = record.served_at.or(record.ended_at);
            let ended_at = ended_at.unwrap_or_else(|| panic!("seed {seed}: {tag} has not ended"));
            let took = ended_at - record.sent_at;
            assert!(took < TIMEOUT + LATE, "seed {seed}: {took:?}");
        }
    }
}

/// Guards against giving up a stream that its caller still waits for, whose servers are back and not
/// listed again yet.
#[test]
fn stream_goes_on_once_its_servers_are_listed_again() {
    for seed in 1..=SEEDS {
        let (fleet, tags) = break_off_streams(seed);
        let is_served = |id: &&RequestId| fleet.records[*id].served_at.is_some();
        let served = tags.iter().filter(is_served).count();
        assert_eq!(served, TAGS, "seed {seed}");
    }
}
