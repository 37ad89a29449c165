//! Admission at peak load: choice of servers, cold rate, replicas and the cost of a scheduling
//! pass.

use std::collections::BTreeMap;
use std::time::Duration;

use admit::Decision;
use admit::Listing;
use admit::Load;
use admit::Reply;
use admit::Scheduler;
use admit::scheduler::Quota;
use conf::Pool;
use wire::Name;
use wire::admission::Grant;
use wire::admission::Item;
use wire::admission::Report;
use wire::admission::Reservation;
use wire::admission::Work;

const START: Duration = Duration::from_secs(20);
const QUOTA: Quota = Quota {
    weight: 1.0,
    limit: 0,
};
const HOLDER: u64 = 9;
const MEMORY_TOKENS: u64 = 34_000;

fn pool() -> Pool {
    Pool {
        batch: 24,
        cold_limit: 24,
        memory_tokens: MEMORY_TOKENS,
        cold_rate: 25.0,
        copies: true,
        ..Pool::default()
    }
}

fn listing(index: usize, cold_time: Duration) -> Listing {
    Listing {
        name: format!("e{index}").as_str().into(),
        address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        boot: 1,
        software: Name::default(),
        cold_time,
        leaving: false,
        drained: false,
    }
}

fn scheduler(servers: usize, cold_time: Duration) -> (Scheduler, Vec<Listing>) {
    let listings: Vec<Listing> = (0..servers)
        .map(|index| listing(index, cold_time))
        .collect();
    let mut scheduler = Scheduler::new(START - Duration::from_secs(5), pool(), 7);
    scheduler.configure(START, &pool(), &listings);
    (scheduler, listings)
}

fn reservation(attempt: u64, prompt_tokens: u32, expected_tokens: u32) -> Reservation {
    Reservation {
        attempt,
        pool: "p".into(),
        data_centre: "east".into(),
        work: Work {
            organisation: "shop".into(),
            route: "letters".into(),
            class: 1,
            prompt_tokens,
            delivered_tokens: 0,
            expected_tokens,
            prefixes: Vec::new(),
        },
        avoid: Vec::new(),
        suspect: false,
        wait_ms: 1_000,
        resume_server: None,
        software: None,
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

fn report(scheduler: &mut Scheduler, now: Duration, item: Item) {
    let report = Report {
        pool: "p".into(),
        seq: 1,
        full: false,
        items: vec![item],
    };
    scheduler.apply_report(now, HOLDER, &report);
}

fn progress(scheduler: &mut Scheduler, now: Duration, attempt: u64, generated: u32) {
    report(scheduler, now, Item::Progress { attempt, generated });
}

#[test]
fn simultaneous_prompts_are_spread_over_servers() {
    let (mut scheduler, _) = scheduler(6, Duration::ZERO);
    let mut now = START;
    let mut prompt_tokens: BTreeMap<String, u32> = BTreeMap::new();
    for attempt in 0..12 {
        now += Duration::from_millis(30);
        let prompt = 2_000 + 300 * (attempt as u32 % 4);
        let replies = scheduler.reserve(now, HOLDER, reservation(attempt, prompt, 300), QUOTA);
        for grant in grants(&replies) {
            *prompt_tokens.entry(grant.server.to_string()).or_default() += prompt;
        }
    }
    assert_eq!(prompt_tokens.len(), 6, "{prompt_tokens:?}");
    let (min, max) = (prompt_tokens.values().min(), prompt_tokens.values().max());
    assert!(max <= min.map(|min| min * 2).as_ref(), "{prompt_tokens:?}");
}

#[test]
fn server_without_unprocessed_prompt_is_preferred_to_one_with_less_memory_in_use() {
    let (mut scheduler, _) = scheduler(2, Duration::ZERO);
    // The first server holds a long prompt that is already processed and has no replica.
    let first =
        grants(&scheduler.reserve(START, HOLDER, reservation(1, 9_000, 60), QUOTA)).remove(0);
    progress(&mut scheduler, START, 1, 8);
    // The second server has just begun to process a prompt.
    let now = START + Duration::from_millis(100);
    let second =
        grants(&scheduler.reserve(now, HOLDER, reservation(2, 2_500, 20), QUOTA)).remove(0);
    assert_ne!(first.server, second.server);
    let now = now + Duration::from_millis(40);
    let third = grants(&scheduler.reserve(now, HOLDER, reservation(3, 2_000, 20), QUOTA)).remove(0);
    assert_eq!(third.server, first.server);
}

#[test]
fn grants_to_cold_server_stay_within_cold_rate() {
    let (mut scheduler, _) = scheduler(1, Duration::from_secs(3));
    let mut now = START;
    let mut granted = Vec::new();
    let mut attempt = 0;
    while now < START + Duration::from_secs(2) {
        now += Duration::from_millis(10);
        attempt += 1;
        let mut replies = scheduler.reserve(now, HOLDER, reservation(attempt, 10, 4), QUOTA);
        replies.extend(scheduler.tick(now));
        for grant in grants(&replies) {
            granted.push(now);
            let ended = Item::Ended {
                attempt: grant.attempt,
                end: wire::admission::End::Complete,
                generated: 4,
                first_token_ms: 5,
            };
            report(&mut scheduler, now, ended);
        }
    }
    for at in &granted {
        let window = granted
            .iter()
            .filter(|one| **one >= *at && **one < *at + Duration::from_secs(1));
        assert!(window.count() <= 25);
    }
    assert!(
        granted.len() >= 40,
        "the cold rate should be used in full, but only {} were granted",
        granted.len()
    );
}

#[test]
fn new_boot_id_resets_server_state() {
    let (mut scheduler, mut listings) = scheduler(1, Duration::ZERO);
    scheduler.record_load(
        START,
        "e0",
        Load {
            boot: 1,
            running: 20,
            ..Load::default()
        },
    );
    listings[0].boot = 2;
    listings[0].cold_time = Duration::from_secs(1);
    scheduler.configure(START, &pool(), &listings);
    let server = scheduler.servers().next().expect("e0 is configured");
    assert_eq!(server.boot(), 2);
    assert!(
        server.load.is_none(),
        "the load report of the previous boot is dropped"
    );
    let grant = grants(&scheduler.reserve(START, HOLDER, reservation(1, 100, 10), QUOTA)).remove(0);
    assert_eq!(grant.boot, 2);
}

#[test]
fn replicas_leave_memory_for_new_requests_and_short_answers_get_none() {
    let (mut scheduler, _) = scheduler(2, Duration::ZERO);
    let mut now = START;
    let mut with_replica = 0;
    for attempt in 0..12 {
        now += Duration::from_millis(200);
        let replies = scheduler.reserve(now, HOLDER, reservation(attempt, 3_000, 1_000), QUOTA);
        for grant in grants(&replies) {
            progress(&mut scheduler, now, grant.attempt, 4);
            if let Some(replica) = grant.replica {
                assert_ne!(replica.server, grant.server);
                with_replica += 1;
            }
        }
    }
    // A generation peaks at 4,000 tokens, so two servers of 34,000 tokens could hold some 14
    // generations and replicas. A third of that memory is kept free for generations that must move.
    assert!((3..=6).contains(&with_replica), "{with_replica}");
    let short = grants(&scheduler.reserve(
        now + Duration::from_secs(1),
        HOLDER,
        reservation(50, 100, 12),
        QUOTA,
    ));
    assert!(short.iter().all(|grant| grant.replica.is_none()));
}

#[test]
fn generations_on_leaving_server_get_replicas_first() {
    let (mut scheduler, mut listings) = scheduler(3, Duration::ZERO);
    let mut now = START;
    let mut placed: BTreeMap<u64, Grant> = BTreeMap::new();
    for attempt in 0..9 {
        now += Duration::from_millis(200);
        for grant in
            grants(&scheduler.reserve(now, HOLDER, reservation(attempt, 2_000, 500), QUOTA))
        {
            progress(&mut scheduler, now, attempt, 100);
            scheduler.record_replica_refused(now, attempt);
            placed.insert(attempt, grant);
        }
    }
    listings[0].leaving = true;
    scheduler.configure(now, &pool(), &listings);
    now += Duration::from_secs(1);
    let orders = scheduler.order_replicas(now);
    assert!(!orders.is_empty());
    let at_risk = placed.values().filter(|grant| grant.server == "e0").count();
    for (index, (holder, attempt, destination)) in orders.iter().enumerate() {
        assert_eq!(*holder, HOLDER);
        assert_ne!(destination.server, "e0", "e0 is shutting down");
        assert_ne!(destination.server, placed[attempt].server);
        if index < at_risk {
            assert_eq!(placed[attempt].server, "e0");
        }
    }
}

#[test]
fn refused_replica_is_ordered_again() {
    let (mut scheduler, _) = scheduler(3, Duration::ZERO);
    let grant =
        grants(&scheduler.reserve(START, HOLDER, reservation(1, 2_000, 500), QUOTA)).remove(0);
    assert!(grant.replica.is_some());
    progress(&mut scheduler, START, 1, 100);
    assert!(
        scheduler
            .order_replicas(START + Duration::from_millis(200))
            .is_empty()
    );
    scheduler.record_replica_refused(START, 1);
    assert_eq!(
        scheduler
            .order_replicas(START + Duration::from_millis(400))
            .len(),
        1
    );
}

/// Returns the shortest time of a scheduling pass over full servers with a full queue.
fn scheduling_pass_time(servers: usize) -> Duration {
    const ROUNDS: u32 = 12;
    let (mut scheduler, _) = scheduler(servers, Duration::ZERO);
    let mut now = START;
    let mut attempt = 0;
    // Fill all servers, then queue 24 reservations.
    while scheduler.queue_len() < 24 {
        attempt += 1;
        now += Duration::from_millis(30);
        let mut waiting = reservation(attempt, 3_000, 700);
        waiting.work.organisation = format!("shop-{}", attempt % 24).as_str().into();
        waiting.wait_ms = 600_000;
        for grant in grants(&scheduler.reserve(now, HOLDER, waiting, QUOTA)) {
            progress(&mut scheduler, now, grant.attempt, 40);
        }
    }
    let mut shortest = Duration::MAX;
    for _ in 0..ROUNDS {
        now += Duration::from_millis(30);
        let started = std::time::Instant::now();
        let replies = scheduler.serve_queue(now);
        shortest = shortest.min(started.elapsed());
        assert!(grants(&replies).is_empty(), "all servers are full");
    }
    shortest
}

#[test]
fn scheduling_pass_time_grows_linearly_with_servers() {
    let (few, many) = (scheduling_pass_time(8), scheduling_pass_time(64));
    // Eight times the servers should take some eight times as long; quadratic growth would take 64
    // times as long.
    assert!(many < few * 24, "{few:?} for 8 servers, {many:?} for 64");
}

#[test]
fn all_generations_on_leaving_servers_get_replicas_at_once_but_not_where_refused() {
    let (mut scheduler, mut listings) = scheduler(8, Duration::ZERO);
    let mut now = START;
    let mut placed: BTreeMap<u64, Grant> = BTreeMap::new();
    for attempt in 0..40 {
        now += Duration::from_millis(60);
        for grant in
            grants(&scheduler.reserve(now, HOLDER, reservation(attempt, 3_000, 600), QUOTA))
        {
            progress(&mut scheduler, now, attempt, 100);
            scheduler.record_replica_refused(now, attempt);
            placed.insert(attempt, grant);
        }
    }
    now += Duration::from_secs(1);
    for listing in listings.iter_mut().take(2) {
        listing.leaving = true;
    }
    scheduler.configure(now, &pool(), &listings);
    let is_leaving = |server: &str| server == "e0" || server == "e1";
    let at_risk = placed.values().filter(|grant| is_leaving(&grant.server));
    let at_risk = at_risk.count();
    assert!(at_risk >= 8, "{at_risk}");
    let orders = scheduler.order_replicas(now);
    assert_eq!(
        orders.len(),
        at_risk,
        "every generation on a leaving server gets a replica in one check"
    );
    // One destination refuses all of its replicas. The next check orders them on other servers.
    let refusing = orders[0].2.server.clone();
    let refused: Vec<u64> = orders
        .iter()
        .filter(|(_, _, destination)| destination.server == refusing)
        .map(|(_, attempt, _)| *attempt)
        .collect();
    for attempt in &refused {
        scheduler.record_replica_refused(now, *attempt);
    }
    now += Duration::from_millis(100);
    let retried = scheduler.order_replicas(now);
    let reordered = retried
        .iter()
        .filter(|(_, attempt, _)| refused.contains(attempt));
    assert_eq!(reordered.count(), refused.len());
    assert!(
        retried
            .iter()
            .all(|(_, _, destination)| destination.server != refusing)
    );
}

/// A pool of 300 servers in which four attempts run on each, and the time after their grants.
fn large_busy_scheduler() -> (Scheduler, Duration) {
    let (mut scheduler, _) = scheduler(300, Duration::ZERO);
    let mut now = START;
    for round in 0..4 {
        now += Duration::from_millis(400);
        record_loads(&mut scheduler, now);
        for index in 0..300 {
            let attempt = round * 300 + index + 1;
            let replies = scheduler.reserve(now, HOLDER, reservation(attempt, 100, 50), QUOTA);
            assert_eq!(grants(&replies).len(), 1, "attempt {attempt}");
        }
    }
    now += Duration::from_millis(400);
    record_loads(&mut scheduler, now);
    (scheduler, now)
}

fn record_loads(scheduler: &mut Scheduler, now: Duration) {
    for index in 0..300 {
        let load = Load {
            boot: 1,
            capacity_tokens: MEMORY_TOKENS,
            ..Load::default()
        };
        scheduler.record_load(now, &format!("e{index}"), load);
    }
}

#[test]
fn grants_of_a_large_pool_in_one_instant_are_spread_over_its_servers() {
    let (mut scheduler, now) = large_busy_scheduler();
    let mut granted: BTreeMap<String, usize> = BTreeMap::new();
    for attempt in 2_000..2_300 {
        let replies = scheduler.reserve(now, HOLDER, reservation(attempt, 100, 50), QUOTA);
        for grant in grants(&replies) {
            *granted.entry(grant.server.to_string()).or_default() += 1;
        }
    }
    assert_eq!(granted.len(), 300, "each server gets one");
}

#[test]
fn places_that_become_free_in_a_large_pool_are_granted_soon() {
    let (mut scheduler, now) = large_busy_scheduler();
    let at_once = |attempt| Reservation {
        wait_ms: 0,
        ..reservation(attempt, 30_000, 2_000)
    };
    // Each attempt takes a whole memory.
    let mut attempt = 10_000;
    while !grants(&scheduler.reserve(now, HOLDER, at_once(attempt), QUOTA)).is_empty() {
        attempt += 1;
    }
    let ended = Report {
        pool: "p".into(),
        seq: 1,
        full: false,
        items: vec![Item::Ended {
            attempt: 10_000,
            end: wire::admission::End::Complete,
            generated: 50,
            first_token_ms: 100,
        }],
    };
    scheduler.apply_report(now, HOLDER, &ended);
    let later = now + Duration::from_millis(400);
    let replies = scheduler.reserve(later, HOLDER, at_once(attempt + 1), QUOTA);
    assert_eq!(grants(&replies).len(), 1);
}

#[test]
fn copy_is_resumed_from_although_no_server_answers_its_probes() {
    let (mut scheduler, _) = scheduler(2, Duration::ZERO);
    for server in ["e0", "e1"] {
        scheduler.record_unreachable(START, server);
    }
    let now = START + Duration::from_millis(100);
    let replies = scheduler.reserve(now, HOLDER, reservation(1, 900, 300), QUOTA);
    assert!(grants(&replies).is_empty());
    let resumed = Reservation {
        resume_server: Some("e1".into()),
        ..reservation(2, 900, 300)
    };
    let replies = scheduler.reserve(now, HOLDER, resumed, QUOTA);
    assert_eq!(grants(&replies).len(), 1);
}
