use proptest::prelude::*;

use wire::admission::End;
use wire::admission::Item;

use super::*;

const START: Time = Duration::from_secs(10);
const QUOTA: Quota = Quota {
    weight: 1.0,
    limit: 0,
};

fn pool() -> Pool {
    Pool {
        cold_limit: 2,
        batch: 4,
        memory_tokens: 10_000,
        ..Pool::default()
    }
}

fn listings(count: u16) -> Vec<Listing> {
    (0..count)
        .map(|index| Listing {
            boot: 0,
            software: Name::default(),
            cold_time: Duration::ZERO,
            name: format!("e{index}").as_str().into(),
            address: ([127, 0, 0, 1], index).into(),
            leaving: false,
            drained: false,
        })
        .collect()
}

fn reservation(attempt: AttemptId) -> Reservation {
    Reservation {
        attempt,
        pool: "p".into(),
        data_centre: "a".into(),
        work: Work {
            organisation: "o".into(),
            route: "r".into(),
            class: 1,
            prompt_tokens: 100,
            delivered_tokens: 0,
            expected_tokens: 100,
            prefixes: Vec::new(),
        },
        avoid: Vec::new(),
        suspect: false,
        wait_ms: 5_000,
        resume_server: None,
        software: None,
    }
}

fn scheduler(servers: u16) -> Scheduler {
    let mut scheduler = Scheduler::new(Time::ZERO, pool(), 1);
    scheduler.configure(START, &pool(), &listings(servers));
    scheduler
}

fn grants(replies: &[Reply]) -> usize {
    replies
        .iter()
        .filter(|reply| matches!(reply.decision, Decision::Grant(_)))
        .count()
}

fn ended(attempt: AttemptId, end: End) -> Report {
    Report {
        pool: "p".into(),
        seq: 1,
        full: false,
        items: vec![Item::Ended {
            attempt,
            end,
            generated: 50,
            first_token_ms: 20,
        }],
    }
}

#[test]
fn cold_server_gets_its_cold_limit_which_grows_with_completed_requests() {
    let mut scheduler = scheduler(1);
    let mut now = START;
    let mut granted = 0;
    for attempt in 0..4 {
        granted += grants(&scheduler.reserve(now, 1, reservation(attempt), QUOTA));
        now += GRANT_SPACING;
    }
    assert_eq!(granted, 2);
    scheduler.apply_report(now, 1, &ended(0, End::Complete));
    let first = grants(&scheduler.serve_queue(now));
    let second = grants(&scheduler.serve_queue(now + GRANT_SPACING));
    assert_eq!(
        (first, second),
        (1, 1),
        "one slot freed, one added to the limit, one grant per GRANT_SPACING"
    );
    assert_eq!(grants(&scheduler.serve_queue(now + GRANT_SPACING * 2)), 0);
}

#[test]
fn new_coordinator_grants_nothing_on_cold_servers_for_one_grant_lifetime() {
    let mut scheduler = Scheduler::new(START, pool(), 1);
    scheduler.configure(START, &pool(), &listings(2));
    assert_eq!(
        grants(&scheduler.reserve(START, 1, reservation(1), QUOTA)),
        0
    );
    assert_eq!(grants(&scheduler.tick(START + GRANT_LIFETIME)), 1);
}

#[test]
fn requests_granted_by_another_coordinator_count_through_the_load_report() {
    let mut scheduler = scheduler(1);
    let load = Load {
        running: 2,
        ..Load::default()
    };
    scheduler.record_load(START, "e0", load);
    assert_eq!(
        grants(&scheduler.reserve(START, 1, reservation(1), QUOTA)),
        0
    );
}

#[test]
fn unconfirmed_grant_expires_and_repeated_reservation_gets_the_same_grant() {
    let mut scheduler = scheduler(1);
    let first = scheduler.reserve(START, 1, reservation(1), QUOTA);
    let again = scheduler.reserve(START, 1, reservation(1), QUOTA);
    assert_eq!(first, again);
    assert_eq!(scheduler.assignment_count("e0"), 1);
    scheduler.tick(START + GRANT_LIFETIME);
    assert_eq!(scheduler.assignment_count("e0"), 0);
}

#[test]
fn reservation_with_too_long_an_expected_wait_is_denied_at_once() {
    let mut scheduler = scheduler(1);
    for attempt in 0..40 {
        scheduler.reserve(START, 1, reservation(attempt), QUOTA);
    }
    let mut now = START;
    for attempt in 0..4 {
        now += Duration::from_secs(1);
        scheduler.apply_report(now, 1, &ended(attempt, End::Cancelled));
        scheduler.serve_queue(now);
    }
    let replies = scheduler.reserve(now, 1, reservation(99), QUOTA);
    assert!(matches!(
        replies[0].decision,
        Decision::Deny {
            denial: Denial::Full,
            ..
        }
    ));
}

#[test]
fn suspects_do_not_share_a_server() {
    let mut scheduler = scheduler(1);
    let suspect = |attempt| Reservation {
        suspect: true,
        ..reservation(attempt)
    };
    assert_eq!(grants(&scheduler.reserve(START, 1, suspect(1), QUOTA)), 1);
    assert_eq!(grants(&scheduler.reserve(START, 1, suspect(2), QUOTA)), 0);
}

#[test]
fn suspects_wait_for_a_server_that_has_not_crashed_lately() {
    let mut scheduler = scheduler(2);
    let first = scheduler.reserve(START, 1, reservation(1), QUOTA);
    let Decision::Grant(grant) = &first[0].decision else {
        panic!("expected a grant: both servers are empty");
    };
    scheduler.apply_report(START, 1, &ended(1, End::Crashed));
    let later = START + Duration::from_secs(10);
    for attempt in 2..4 {
        let suspect = Reservation {
            suspect: true,
            ..reservation(attempt)
        };
        let replies = scheduler.reserve(later, 1, suspect, QUOTA);
        let is_on_crashed_server = replies.iter().any(
            |reply| matches!(&reply.decision, Decision::Grant(found) if found.server == grant.server),
        );
        assert!(!is_on_crashed_server);
    }
    assert_eq!(
        scheduler.queue_len(),
        1,
        "one suspect runs on the other server, one is queued"
    );
}

proptest! {
    #[test]
    fn limits_hold_under_random_events(
        steps in proptest::collection::vec((0u8..5, 0u64..30, 0u64..400), 1..150),
    ) {
        let mut scheduler = scheduler(3);
        let mut now = START;
        for (kind, attempt, wait) in steps {
            now += Duration::from_millis(wait);
            match kind {
                0 | 1 => drop(scheduler.reserve(now, attempt % 3, reservation(attempt), QUOTA)),
                2 => drop(scheduler.apply_report(now, attempt % 3, &ended(attempt, End::Complete))),
                3 => drop(scheduler.apply_report(now, attempt % 3, &ended(attempt, End::Refused))),
                _ => drop(scheduler.tick(now)),
            }
            drop(scheduler.serve_queue(now));
            let limit = pool().batch as usize;
            prop_assert!(scheduler.servers.keys().all(|name| scheduler.assignment_count(name) <= limit));
        }
    }
}
