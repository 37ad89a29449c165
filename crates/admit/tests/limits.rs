//! Admission to servers that limit the rate of their requests, when more is asked of them.

use std::time::Duration;

use admit::Decision;
use admit::Listing;
use admit::Reply;
use admit::Scheduler;
use admit::pacer::Pacer;
use admit::scheduler::Quota;
use conf::Pool;
use wire::Name;
use wire::admission::Denial;
use wire::admission::Reservation;
use wire::admission::Work;

const START: Duration = Duration::from_secs(20);
const HOLDER: u64 = 9;
const QUOTA: Quota = Quota {
    weight: 1.0,
    limit: 0,
};

/// A scheduler of warm servers, each with the given rate limit.
fn scheduler(rates: &[Option<f64>]) -> Scheduler {
    let pool = Pool {
        batch: 24,
        cold_limit: 24,
        ..Pool::default()
    };
    let listings: Vec<Listing> = (0..rates.len())
        .map(|index| Listing {
            name: format!("e{index}").as_str().into(),
            address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
            boot: 1,
            software: Name::default(),
            cold_time: Duration::ZERO,
            leaving: false,
            drained: false,
        })
        .collect();
    let mut scheduler = Scheduler::new(START - Duration::from_secs(5), pool.clone(), 7);
    scheduler.configure(START, &pool, &listings);
    set_limits(&mut scheduler, START, rates);
    scheduler
}

fn set_limits(scheduler: &mut Scheduler, now: Duration, rates: &[Option<f64>]) {
    for (index, rate) in rates.iter().enumerate() {
        scheduler.set_rate_limit(now, &format!("e{index}"), 1, *rate);
    }
}

fn reservation(attempt: u64, wait_ms: u32) -> Reservation {
    Reservation {
        attempt,
        pool: "p".into(),
        data_centre: "east".into(),
        work: Work {
            organisation: "shop".into(),
            route: "letters".into(),
            class: 1,
            prompt_tokens: 10,
            delivered_tokens: 0,
            expected_tokens: 10,
            prefixes: Vec::new(),
        },
        avoid: Vec::new(),
        suspect: false,
        wait_ms,
        resume_server: None,
        software: None,
    }
}

fn resume(attempt: u64, server: &str) -> Reservation {
    Reservation {
        resume_server: Some(server.into()),
        ..reservation(attempt, 0)
    }
}

fn count_grants(replies: &[Reply]) -> usize {
    let is_grant = |reply: &&Reply| matches!(reply.decision, Decision::Grant(_));
    replies.iter().filter(is_grant).count()
}

fn count_full(replies: &[Reply]) -> usize {
    let is_full = |reply: &&Reply| {
        matches!(
            reply.decision,
            Decision::Deny {
                denial: Denial::Full,
                ..
            }
        )
    };
    replies.iter().filter(is_full).count()
}

#[test]
fn grants_are_spaced_and_reservations_beyond_the_limits_denied_at_once() {
    let mut scheduler = scheduler(&[Some(2.0), Some(3.0)]);
    let (mut granted, mut denied) = (0, 0);
    for step in 0..1_000 {
        let now = START + Duration::from_millis(10) * step;
        let replies = scheduler.reserve(now, HOLDER, reservation(u64::from(step), 500), QUOTA);
        granted += count_grants(&replies);
        denied += count_full(&replies);
        let replies = scheduler.tick(now);
        granted += count_grants(&replies);
        assert_eq!(count_full(&replies), 0, "denied after waiting");
    }
    // Ten seconds at five requests per second.
    assert!((48..=54).contains(&granted), "{granted}");
    assert!(denied >= 940, "{denied}");
}

#[test]
fn queued_reservations_are_denied_when_a_limit_leaves_no_place_in_time() {
    let mut scheduler = scheduler(&[None]);
    for attempt in 0..44 {
        let now = START + Duration::from_millis(30) * attempt as u32;
        scheduler.reserve(now, HOLDER, reservation(attempt, 2_000), QUOTA);
    }
    let now = START + Duration::from_millis(1_400);
    let waiting = scheduler.queue_len();
    assert!(waiting >= 10, "{waiting}");
    set_limits(&mut scheduler, now, &[Some(1.0)]);
    let denied = count_full(&scheduler.tick(now));
    assert!(denied >= waiting - 2, "{denied} of {waiting}");
}

#[test]
fn resumes_run_ahead_of_a_limit_by_a_few_only() {
    let mut scheduler = scheduler(&[Some(1.0)]);
    let mut granted = 0;
    for attempt in 0..24 {
        let replies = scheduler.reserve(START, HOLDER, resume(attempt, "e0"), QUOTA);
        granted += count_grants(&replies);
    }
    assert!((1..=3).contains(&granted), "{granted}");
}

#[test]
fn probes_take_a_quarter_of_a_limit() {
    let mut scheduler = scheduler(&[Some(1.0)]);
    let probes = (0..400)
        .filter(|step| scheduler.take_probe(START + Duration::from_millis(50) * *step, "e0"))
        .count();
    assert!((4..=6).contains(&probes), "{probes} in 20 s");
}

#[test]
fn pacer_allows_two_at_once_after_a_pause_and_none_before() {
    let mut pacer = Pacer::new(START, 2.0);
    assert!(!pacer.wait(START).is_zero());
    let later = START + Duration::from_secs(10);
    for _ in 0..2 {
        assert!(pacer.wait(later).is_zero());
        pacer.take(later);
    }
    assert_eq!(pacer.wait(later), Duration::from_millis(500));
    pacer.set_rate(later, 4.0);
    assert_eq!(pacer.wait(later), Duration::from_millis(250));
}
