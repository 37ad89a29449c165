//! Placing at the worst load, replayed without a bench.

use std::collections::BTreeMap;
use std::time::Duration;

use admit::Decision;
use admit::Listing;
use admit::Load;
use admit::Reply;
use admit::Scheduler;
use admit::scheduler::Share;
use conf::Pool;
use wire::admission::Grant;
use wire::admission::Item;
use wire::admission::Report;
use wire::admission::Reservation;
use wire::admission::Work;

const START: Duration = Duration::from_secs(20);
const SHARE: Share = Share {
    weight: 1.0,
    limit: 0,
};
const HOLDER: u64 = 9;
const MEMORY: u64 = 34_000;

fn pool() -> Pool {
    Pool {
        batch: 24,
        cold_limit: 24,
        memory_tokens: MEMORY,
        cold_rate: 25.0,
        copies: true,
        ..Pool::default()
    }
}

fn listing(index: usize, cold: Duration) -> Listing {
    Listing {
        name: format!("e{index}").as_str().into(),
        address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        boot: 1,
        cold,
        leaving: false,
        drained: false,
    }
}

fn scheduler(servers: usize, cold: Duration) -> (Scheduler, Vec<Listing>) {
    let listings: Vec<Listing> = (0..servers).map(|index| listing(index, cold)).collect();
    let mut scheduler = Scheduler::new(START - Duration::from_secs(5), pool(), 7);
    scheduler.configure(START, &pool(), &listings);
    (scheduler, listings)
}

fn reservation(attempt: u64, prompt: u32, hint: u32) -> Reservation {
    Reservation {
        attempt,
        pool: "p".into(),
        data_centre: "east".into(),
        work: Work {
            organisation: "shop".into(),
            route: "letters".into(),
            class: 1,
            prompt,
            delivered: 0,
            hint,
            prefixes: Vec::new(),
        },
        avoid: Vec::new(),
        suspect: false,
        wait_ms: 1_000,
        at: None,
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
    scheduler.report(now, HOLDER, &report);
}

fn progress(scheduler: &mut Scheduler, now: Duration, attempt: u64, generated: u32) {
    report(scheduler, now, Item::Progress { attempt, generated });
}

#[test]
fn prompts_that_come_at_once_are_read_by_different_servers() {
    let (mut scheduler, _) = scheduler(6, Duration::ZERO);
    let mut now = START;
    let mut reading: BTreeMap<String, u32> = BTreeMap::new();
    for attempt in 0..12 {
        now += Duration::from_millis(30);
        let prompt = 2_000 + 300 * (attempt as u32 % 4);
        let replies = scheduler.reserve(now, HOLDER, reservation(attempt, prompt, 300), SHARE);
        for grant in grants(&replies) {
            *reading.entry(grant.server.to_string()).or_default() += prompt;
        }
    }
    assert_eq!(reading.len(), 6, "{reading:?}");
    let (least, most) = (reading.values().min(), reading.values().max());
    assert!(most <= least.map(|least| least * 2).as_ref(), "{reading:?}");
}

#[test]
fn server_that_reads_no_prompt_goes_before_one_with_less_memory_in_use() {
    let (mut scheduler, _) = scheduler(2, Duration::ZERO);
    // One server has a great prompt in its memory, which was read long ago and of which no copy is
    // kept.
    let first =
        grants(&scheduler.reserve(START, HOLDER, reservation(1, 9_000, 60), SHARE)).remove(0);
    progress(&mut scheduler, START, 1, 8);
    // The other one has just begun to read.
    let now = START + Duration::from_millis(100);
    let second =
        grants(&scheduler.reserve(now, HOLDER, reservation(2, 2_500, 20), SHARE)).remove(0);
    assert_ne!(first.server, second.server);
    let now = now + Duration::from_millis(40);
    let third = grants(&scheduler.reserve(now, HOLDER, reservation(3, 2_000, 20), SHARE)).remove(0);
    assert_eq!(third.server, first.server);
}

#[test]
fn cold_server_gets_no_more_in_a_second_than_it_bears() {
    let (mut scheduler, _) = scheduler(1, Duration::from_secs(3));
    let mut now = START;
    let mut granted = Vec::new();
    let mut attempt = 0;
    while now < START + Duration::from_secs(2) {
        now += Duration::from_millis(10);
        attempt += 1;
        let mut replies = scheduler.reserve(now, HOLDER, reservation(attempt, 10, 4), SHARE);
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
        "it is used up to that rate: {}",
        granted.len()
    );
}

#[test]
fn new_life_of_a_server_starts_from_nothing() {
    let (mut scheduler, mut listings) = scheduler(1, Duration::ZERO);
    scheduler.load(
        START,
        "e0",
        Load {
            boot: 1,
            running: 20,
            ..Load::default()
        },
    );
    listings[0].boot = 2;
    listings[0].cold = Duration::from_secs(1);
    scheduler.configure(START, &pool(), &listings);
    let server = scheduler.servers().next().expect("it is listed");
    assert_eq!(server.boot(), 2);
    assert!(
        server.load.is_none(),
        "what the life before reported is forgotten"
    );
    let grant = grants(&scheduler.reserve(START, HOLDER, reservation(1, 100, 10), SHARE)).remove(0);
    assert_eq!(grant.boot, 2);
}

#[test]
fn copies_leave_room_for_new_work_and_short_answers_have_none() {
    let (mut scheduler, _) = scheduler(2, Duration::ZERO);
    let mut now = START;
    let mut with_copy = 0;
    for attempt in 0..12 {
        now += Duration::from_millis(200);
        let replies = scheduler.reserve(now, HOLDER, reservation(attempt, 3_000, 1_000), SHARE);
        for grant in grants(&replies) {
            progress(&mut scheduler, now, grant.attempt, 4);
            if let Some(copy) = grant.copy {
                assert_ne!(copy.server, grant.server);
                with_copy += 1;
            }
        }
    }
    // Four thousand tokens each: 34,000 tokens on each of two servers hold some 14 with their
    // copies. A third of the memory is left for what must move.
    assert!((3..=6).contains(&with_copy), "{with_copy}");
    let short = grants(&scheduler.reserve(
        now + Duration::from_secs(1),
        HOLDER,
        reservation(50, 100, 12),
        SHARE,
    ));
    assert!(short.iter().all(|grant| grant.copy.is_none()));
}

#[test]
fn what_runs_on_a_server_that_goes_is_copied_before_all_else() {
    let (mut scheduler, mut listings) = scheduler(3, Duration::ZERO);
    let mut now = START;
    let mut placed: BTreeMap<u64, Grant> = BTreeMap::new();
    for attempt in 0..9 {
        now += Duration::from_millis(200);
        for grant in
            grants(&scheduler.reserve(now, HOLDER, reservation(attempt, 2_000, 500), SHARE))
        {
            progress(&mut scheduler, now, attempt, 100);
            scheduler.forget_copy(now, attempt);
            placed.insert(attempt, grant);
        }
    }
    listings[0].leaving = true;
    scheduler.configure(now, &pool(), &listings);
    now += Duration::from_secs(1);
    let renewed = scheduler.renew_copies(now);
    assert!(!renewed.is_empty());
    let at_risk = placed.values().filter(|grant| grant.server == "e0").count();
    for (index, (holder, attempt, place)) in renewed.iter().enumerate() {
        assert_eq!(*holder, HOLDER);
        assert_ne!(place.server, "e0", "it is about to go");
        assert_ne!(place.server, placed[attempt].server);
        if index < at_risk {
            assert_eq!(placed[attempt].server, "e0");
        }
    }
}

#[test]
fn copy_that_could_not_be_made_is_ordered_again() {
    let (mut scheduler, _) = scheduler(3, Duration::ZERO);
    let grant =
        grants(&scheduler.reserve(START, HOLDER, reservation(1, 2_000, 500), SHARE)).remove(0);
    assert!(grant.copy.is_some());
    progress(&mut scheduler, START, 1, 100);
    assert!(
        scheduler
            .renew_copies(START + Duration::from_millis(200))
            .is_empty()
    );
    scheduler.forget_copy(START, 1);
    assert_eq!(
        scheduler
            .renew_copies(START + Duration::from_millis(400))
            .len(),
        1
    );
}

/// Returns the least time of a round over servers that are full, for reservations that wait.
fn time_of_round(servers: usize) -> Duration {
    const ROUNDS: u32 = 12;
    let (mut scheduler, _) = scheduler(servers, Duration::ZERO);
    let mut now = START;
    let mut attempt = 0;
    // Letters until no server has room, and then some that wait.
    while scheduler.waiting() < 24 {
        attempt += 1;
        now += Duration::from_millis(30);
        let mut one = reservation(attempt, 3_000, 700);
        one.work.organisation = format!("shop-{}", attempt % 24).as_str().into();
        one.wait_ms = 600_000;
        for grant in grants(&scheduler.reserve(now, HOLDER, one, SHARE)) {
            progress(&mut scheduler, now, grant.attempt, 40);
        }
    }
    let mut least = Duration::MAX;
    for _ in 0..ROUNDS {
        now += Duration::from_millis(30);
        let begun = std::time::Instant::now();
        let replies = scheduler.serve(now);
        least = least.min(begun.elapsed());
        assert!(grants(&replies).is_empty(), "all servers are full");
    }
    least
}

#[test]
fn round_for_those_who_wait_grows_with_the_servers_and_not_with_their_square() {
    let (few, many) = (time_of_round(8), time_of_round(64));
    // Eight times the servers: some eight times the work, where the square would be 64 times.
    assert!(many < few * 24, "{few:?} for 8 servers, {many:?} for 64");
}

#[test]
fn all_that_runs_on_servers_that_go_is_copied_at_once_and_never_where_there_was_no_room() {
    let (mut scheduler, mut listings) = scheduler(8, Duration::ZERO);
    let mut now = START;
    let mut placed: BTreeMap<u64, Grant> = BTreeMap::new();
    for attempt in 0..40 {
        now += Duration::from_millis(60);
        for grant in
            grants(&scheduler.reserve(now, HOLDER, reservation(attempt, 3_000, 600), SHARE))
        {
            progress(&mut scheduler, now, attempt, 100);
            scheduler.forget_copy(now, attempt);
            placed.insert(attempt, grant);
        }
    }
    now += Duration::from_secs(1);
    for listing in listings.iter_mut().take(2) {
        listing.leaving = true;
    }
    scheduler.configure(now, &pool(), &listings);
    let goes = |server: &str| server == "e0" || server == "e1";
    let at_risk = placed.values().filter(|grant| goes(&grant.server));
    let at_risk = at_risk.count();
    assert!(at_risk >= 8, "{at_risk}");
    let renewed = scheduler.renew_copies(now);
    assert_eq!(
        renewed.len(),
        at_risk,
        "each has a link that waits for nobody"
    );
    // One destination turns all of its copies away. They go elsewhere with the next look.
    let full = renewed[0].2.server.clone();
    let refused: Vec<u64> = renewed
        .iter()
        .filter(|(_, _, place)| place.server == full)
        .map(|(_, attempt, _)| *attempt)
        .collect();
    for attempt in &refused {
        scheduler.forget_copy(now, *attempt);
    }
    now += Duration::from_millis(100);
    let again = scheduler.renew_copies(now);
    let moved = again
        .iter()
        .filter(|(_, attempt, _)| refused.contains(attempt));
    assert_eq!(moved.count(), refused.len());
    assert!(again.iter().all(|(_, _, place)| place.server != full));
}
