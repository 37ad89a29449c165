//! Passive health of servers from the outcomes of their requests.

use std::time::Duration;

use route::health::Health;

const STEP: Duration = Duration::from_millis(50);

/// Records 100 outcomes for each of three servers. Of every ten requests, the first server fails
/// `unhealthy` and the others fail `baseline`.
fn simulate(baseline: u32, unhealthy: u32) -> (Health, Duration) {
    let mut health = Health::default();
    let mut now = Duration::ZERO;
    for round in 0..100 {
        for (server, failing) in [("a", unhealthy), ("b", baseline), ("c", baseline)] {
            now += STEP;
            health.record(now, server, round % 10 >= failing);
        }
    }
    (health, now)
}

#[test]
fn only_unhealthy_server_exceeds_the_average() {
    let (health, now) = simulate(1, 6);
    assert!(
        health.excess_failure_rate(now, "a") > 0.15,
        "{}",
        health.excess_failure_rate(now, "a")
    );
    assert!(health.excess_failure_rate(now, "b") < 0.05);
}

#[test]
fn equal_failures_mark_no_server_as_unhealthy() {
    let (health, now) = simulate(3, 3);
    for server in ["a", "b", "c"] {
        assert!(health.excess_failure_rate(now, server) < 0.08);
    }
}

#[test]
fn unknown_server_has_no_excess() {
    let (health, now) = simulate(1, 6);
    assert_eq!(health.excess_failure_rate(now, "new"), 0.0);
}

#[test]
fn failures_decay() {
    let (health, now) = simulate(1, 9);
    let later = now + Duration::from_secs(40);
    assert!(health.excess_failure_rate(now, "a") > 0.2);
    assert!(health.excess_failure_rate(later, "a") < 0.05);
}

#[test]
fn server_counts_as_unreachable_for_a_limited_time() {
    let mut health = Health::default();
    health.record_unreachable(Duration::from_secs(5), "a");
    assert!(health.is_unreachable(Duration::from_millis(5_500), "a"));
    assert!(!health.is_unreachable(Duration::from_secs(5), "b"));
    assert!(!health.is_unreachable(Duration::from_millis(6_600), "a"));
}
