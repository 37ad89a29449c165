//! Admission of reservations that require a software version of the server.

use std::time::Duration;

use admit::Decision;
use admit::Listing;
use admit::Load;
use admit::Reply;
use admit::Scheduler;
use admit::scheduler::Quota;
use conf::Pool;
use wire::AttemptId;
use wire::Name;
use wire::admission::Denial;
use wire::admission::End;
use wire::admission::Grant;
use wire::admission::Item;
use wire::admission::Report;
use wire::admission::Reservation;
use wire::admission::Work;

const START: Duration = Duration::from_secs(20);
/// Time between two reservations, longer than the spacing of the grants on one server.
const STEP: Duration = Duration::from_millis(30);
const QUOTA: Quota = Quota {
    weight: 1.0,
    limit: 0,
};
const HOLDER: u64 = 9;
/// Maximum number of requests on one server.
const BATCH: u32 = 2;

/// A scheduler with its list and the time of the last event.
struct Fleet {
    scheduler: Scheduler,
    listings: Vec<Listing>,
    now: Duration,
}

fn pool() -> Pool {
    Pool {
        batch: BATCH,
        cold_limit: BATCH,
        memory_tokens: 100_000,
        copies: true,
        ..Pool::default()
    }
}

fn listing(index: usize, software: &str) -> Listing {
    Listing {
        name: format!("e{index}").as_str().into(),
        address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        boot: 1,
        software: software.into(),
        cold_time: Duration::ZERO,
        leaving: false,
        drained: false,
    }
}

/// Returns a reservation that may run on any server.
fn any(attempt: AttemptId) -> Reservation {
    Reservation {
        attempt,
        pool: "p".into(),
        data_centre: "east".into(),
        work: Work {
            organisation: "shop".into(),
            route: "letters".into(),
            class: 1,
            prompt_tokens: 100,
            delivered_tokens: 0,
            expected_tokens: 200,
            prefixes: Vec::new(),
        },
        avoid: Vec::new(),
        suspect: false,
        wait_ms: 5_000,
        resume_server: None,
        software: None,
    }
}

/// Returns a reservation that requires a software version.
fn bound(attempt: AttemptId, software: &str) -> Reservation {
    Reservation {
        software: Some(software.into()),
        ..any(attempt)
    }
}

/// Returns a reservation that resumes on the server of a replica.
fn resumed(attempt: AttemptId, server: &str, software: &str) -> Reservation {
    Reservation {
        resume_server: Some(server.into()),
        ..bound(attempt, software)
    }
}

fn grants(replies: &[Reply]) -> Vec<Grant> {
    replies
        .iter()
        .filter_map(|reply| match &reply.decision {
            Decision::Grant(grant) => Some(grant.clone()),
            _ => None,
        })
        .collect()
}

/// Returns the attempts that were denied, with the reason.
fn denials(replies: &[Reply]) -> Vec<(AttemptId, Denial)> {
    replies
        .iter()
        .filter_map(|reply| match &reply.decision {
            Decision::Deny { denial, .. } => Some((reply.attempt, *denial)),
            _ => None,
        })
        .collect()
}

impl Fleet {
    /// Returns a fleet of one server for each given version.
    fn new(versions: &[&str]) -> Fleet {
        let listings: Vec<Listing> = versions
            .iter()
            .enumerate()
            .map(|(index, software)| listing(index, software))
            .collect();
        let mut scheduler = Scheduler::new(START - Duration::from_secs(5), pool(), 7);
        scheduler.configure(START, &pool(), &listings);
        Fleet {
            scheduler,
            listings,
            now: START,
        }
    }

    fn reserve(&mut self, reservation: Reservation) -> Vec<Reply> {
        self.now += STEP;
        self.scheduler.reserve(self.now, HOLDER, reservation, QUOTA)
    }

    /// Makes a reservation that is granted at once, and returns the server.
    fn granted(&mut self, reservation: Reservation) -> Name {
        let replies = self.reserve(reservation);
        assert_eq!(grants(&replies).len(), 1, "{replies:?}");
        grants(&replies).remove(0).server
    }

    /// Makes a reservation that is granted at once, whose attempt then runs without a replica.
    fn start_unprotected(&mut self, reservation: Reservation) {
        let attempt = reservation.attempt;
        self.granted(reservation);
        self.report(Item::Progress {
            attempt,
            generated: 8,
        });
        self.scheduler.record_replica_refused(self.now, attempt);
        // The refusal keeps the server from getting another replica for a time.
        self.now += Duration::from_secs(1);
    }

    /// Returns the servers that get a replica of an attempt now.
    fn replica_servers(&mut self, attempt: AttemptId) -> Vec<Name> {
        self.now += Duration::from_millis(200);
        let orders = self.scheduler.order_replicas(self.now);
        let orders = orders.into_iter().filter(|(_, found, _)| *found == attempt);
        orders.map(|(_, _, endpoint)| endpoint.server).collect()
    }

    fn configure(&mut self) {
        self.now += STEP;
        self.scheduler.configure(self.now, &pool(), &self.listings);
    }

    fn tick(&mut self) -> Vec<Reply> {
        self.now += STEP;
        self.scheduler.tick(self.now)
    }

    fn end(&mut self, attempt: AttemptId, end: End) {
        self.report(Item::Ended {
            attempt,
            end,
            generated: 10,
            first_token_ms: 5,
        });
    }

    fn report(&mut self, item: Item) {
        let report = Report {
            pool: "p".into(),
            seq: 1,
            full: false,
            items: vec![item],
        };
        self.scheduler.apply_report(self.now, HOLDER, &report);
    }
}

#[test]
fn reservation_is_granted_only_on_servers_of_the_required_version() {
    let mut fleet = Fleet::new(&["v1", "v2", "v2"]);
    for attempt in 0..u64::from(BATCH) {
        assert_eq!(fleet.granted(bound(attempt, "v1")), "e0");
    }
    for attempt in 10..10 + u64::from(BATCH) * 2 {
        assert_ne!(fleet.granted(bound(attempt, "v2")), "e0");
    }
}

#[test]
fn reservation_is_denied_at_once_without_an_open_server_of_its_version() {
    let mut fleet = Fleet::new(&["v1", "v2", "v3"]);
    fleet.listings[1].leaving = true;
    fleet.listings[2].drained = true;
    fleet.configure();
    for (attempt, software) in [(1, "v2"), (2, "v3"), (3, "v4")] {
        let replies = fleet.reserve(bound(attempt, software));
        assert_eq!(denials(&replies), [(attempt, Denial::NoServer)]);
    }
    let avoiding = Reservation {
        avoid: vec!["e0".into()],
        ..bound(4, "v1")
    };
    let replies = fleet.reserve(avoiding);
    assert_eq!(denials(&replies), [(4, Denial::NoServer)]);
    assert_eq!(fleet.scheduler.queue_len(), 0);
}

#[test]
fn reservation_that_may_not_wait_is_denied_as_full_while_its_version_is() {
    let mut fleet = Fleet::new(&["v1", "v2"]);
    for attempt in 0..u64::from(BATCH) {
        fleet.granted(bound(attempt, "v1"));
    }
    let at_once = Reservation {
        wait_ms: 0,
        ..bound(10, "v1")
    };
    assert_eq!(denials(&fleet.reserve(at_once)), [(10, Denial::Full)]);
}

#[test]
fn reservations_that_wait_for_a_full_version_do_not_block_others() {
    let mut fleet = Fleet::new(&["v1", "v2", "v2", "v2"]);
    for attempt in 0..u64::from(BATCH) {
        fleet.granted(bound(attempt, "v1"));
    }
    for attempt in 100..130 {
        let replies = fleet.reserve(bound(attempt, "v1"));
        assert_eq!((grants(&replies), denials(&replies)), (vec![], vec![]));
    }
    assert_eq!(fleet.scheduler.queue_len(), 30);
    // All are of one organisation and class. With the grants the expected wait is known.
    for attempt in 10..13 {
        assert_ne!(fleet.granted(any(attempt)), "e0");
    }
    for attempt in 20..23 {
        assert_ne!(fleet.granted(bound(attempt, "v2")), "e0");
    }
    assert_eq!(fleet.scheduler.queue_len(), 30);

    fleet.end(0, End::Complete);
    let served = grants(&fleet.tick());
    assert_eq!(served.len(), 1);
    assert_eq!((served[0].attempt, served[0].server.as_str()), (100, "e0"));
}

#[test]
fn other_reservations_are_not_expected_to_wait_behind_a_full_version() {
    let mut fleet = Fleet::new(&["v1", "v2"]);
    for attempt in 0..u64::from(BATCH) {
        fleet.granted(bound(attempt, "v1"));
        fleet.granted(bound(10 + attempt, "v2"));
    }
    // One grant from the queue in 5 s makes some 0.2 grants per second.
    fleet.reserve(any(20));
    fleet.end(10, End::Complete);
    assert_eq!(grants(&fleet.tick()).len(), 1);
    for attempt in 100..103 {
        fleet.reserve(bound(attempt, "v1"));
    }
    let replies = fleet.reserve(any(30));
    let wait = Duration::ZERO;
    assert_eq!(replies[0].decision, Decision::Queued { wait });
    let replies = fleet.reserve(bound(103, "v1"));
    assert_eq!(denials(&replies), [(103, Denial::Full)]);
}

#[test]
fn queued_reservations_are_denied_once_the_last_server_of_their_version_leaves() {
    let mut fleet = Fleet::new(&["v1", "v1", "v2"]);
    for attempt in 0..u64::from(BATCH) * 2 {
        fleet.granted(bound(attempt, "v1"));
    }
    for attempt in 10..10 + u64::from(BATCH) {
        fleet.granted(bound(attempt, "v2"));
    }
    for reservation in [bound(20, "v1"), bound(21, "v2"), any(22), bound(23, "v1")] {
        assert_eq!(denials(&fleet.reserve(reservation)), []);
    }
    fleet.listings[0].leaving = true;
    fleet.configure();
    assert_eq!(denials(&fleet.tick()), [], "one server is left");

    fleet.listings.remove(1);
    fleet.configure();
    let denied = denials(&fleet.tick());
    assert_eq!(denied, [(20, Denial::NoServer), (23, Denial::NoServer)]);
    assert_eq!(fleet.scheduler.queue_len(), 2);
}

#[test]
fn queued_reservations_are_denied_once_the_last_server_of_their_version_restarts_with_another() {
    let mut fleet = Fleet::new(&["v1", "v2"]);
    for attempt in 0..u64::from(BATCH) {
        fleet.granted(bound(attempt, "v1"));
    }
    assert_eq!(denials(&fleet.reserve(bound(20, "v1"))), []);
    fleet.listings[0].boot = 2;
    fleet.listings[0].software = "v2".into();
    fleet.configure();
    assert_eq!(denials(&fleet.tick()), [(20, Denial::NoServer)]);
}

#[test]
fn unknown_software_fits_no_requirement() {
    let mut fleet = Fleet::new(&["", "v2"]);
    for (attempt, software) in [(1, "v1"), (2, "")] {
        let replies = fleet.reserve(bound(attempt, software));
        assert_eq!(denials(&replies), [(attempt, Denial::NoServer)]);
    }
    let replies = fleet.reserve(resumed(3, "e0", ""));
    assert_eq!(denials(&replies), [(3, Denial::NoServer)]);
    assert_eq!(fleet.granted(bound(4, "v2")), "e1");
}

#[test]
fn software_of_a_restarted_server_is_unknown_until_it_is_listed() {
    let mut fleet = Fleet::new(&["v1", "v2"]);
    let load = Load {
        boot: 2,
        ..Load::default()
    };
    fleet.scheduler.record_load(fleet.now, "e0", load);
    let replies = fleet.reserve(bound(1, "v1"));
    assert_eq!(denials(&replies), [(1, Denial::NoServer)]);
    fleet.listings[0].boot = 2;
    fleet.configure();
    assert_eq!(fleet.granted(bound(2, "v1")), "e0");
}

#[test]
fn generation_resumes_only_on_a_replica_of_its_version() {
    let mut fleet = Fleet::new(&["v1", "v2"]);
    let replies = fleet.reserve(resumed(1, "e1", "v1"));
    assert_eq!(denials(&replies), [(1, Denial::NoServer)]);
    assert_eq!(fleet.granted(resumed(2, "e1", "v2")), "e1");

    // A server that is about to leave still resumes the generations whose replicas it holds.
    fleet.listings[1].leaving = true;
    fleet.configure();
    assert_eq!(fleet.granted(resumed(3, "e1", "v2")), "e1");
}

#[test]
fn suspect_does_not_wait_for_a_stable_server_of_another_version() {
    let mut fleet = Fleet::new(&["v1", "v2"]);
    fleet.granted(bound(1, "v1"));
    fleet.end(1, End::Crashed);
    fleet.now += Duration::from_secs(10);
    let suspect = Reservation {
        suspect: true,
        ..bound(2, "v1")
    };
    assert_eq!(fleet.granted(suspect), "e0");
}

#[test]
fn replicas_are_kept_only_at_the_version_of_the_original() {
    let mut fleet = Fleet::new(&["", "v1", "v2", "v1", "v2"]);
    for (attempt, software, servers) in [(1, "v1", ["e1", "e3"]), (2, "v2", ["e2", "e4"])] {
        let grant = grants(&fleet.reserve(bound(attempt, software))).remove(0);
        let replica = grant.replica.expect("there is memory for a replica").server;
        assert_ne!(grant.server, replica);
        assert!(servers.contains(&replica.as_str()), "{replica}");
    }
}

#[test]
fn generation_gets_no_replica_without_another_server_of_its_version() {
    let mut fleet = Fleet::new(&["v1", "v2", "", "v2"]);
    let grant = grants(&fleet.reserve(bound(1, "v1"))).remove(0);
    assert_eq!(grant.replica, None);
    fleet.start_unprotected(bound(2, "v1"));
    assert_eq!(fleet.replica_servers(2), [""; 0]);

    // The server gets no replica until the list shows which version its boot has.
    fleet.listings.push(listing(4, "v1"));
    fleet.configure();
    let load = Load {
        boot: 2,
        ..Load::default()
    };
    fleet.scheduler.record_load(fleet.now, "e4", load);
    assert_eq!(fleet.replica_servers(2), [""; 0]);
    fleet.listings[4].boot = 2;
    fleet.configure();
    assert_eq!(fleet.replica_servers(2), ["e4"]);
}

#[test]
fn generation_on_a_removed_server_gets_a_replica_at_its_version() {
    let mut fleet = Fleet::new(&["v1", "v2", "v2", "v1"]);
    fleet.listings[3].drained = true;
    fleet.configure();
    fleet.start_unprotected(bound(1, "v1"));
    fleet.listings[3].drained = false;
    fleet.listings.remove(0);
    fleet.configure();
    assert_eq!(fleet.replica_servers(1), ["e3"]);
}

#[test]
fn replicas_are_kept_where_no_versions_are_listed() {
    let mut fleet = Fleet::new(&["", "", "v1"]);
    fleet.listings[2].drained = true;
    fleet.configure();
    let grant = grants(&fleet.reserve(any(1))).remove(0);
    let replica = grant.replica.expect("there is memory for a replica").server;
    assert_ne!(grant.server, replica);
    assert_ne!(replica, "e2");

    let load = Load {
        boot: 2,
        ..Load::default()
    };
    fleet.scheduler.record_load(fleet.now, &replica, load);
    let grant = grants(&fleet.reserve(any(2))).remove(0);
    assert!(grant.replica.is_some(), "a restart changes nothing");
}
