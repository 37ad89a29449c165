//! Health of servers by what their requests see.

use std::time::Duration;

use route::health::Health;

const STEP: Duration = Duration::from_millis(50);

/// Has three servers answer in turn, the first of them failing a share of its requests beyond the
/// usual.
fn played(usual: u32, sick: u32) -> (Health, Duration) {
    let mut health = Health::default();
    let mut now = Duration::ZERO;
    for round in 0..100 {
        for (server, failing) in [("a", sick), ("b", usual), ("c", usual)] {
            now += STEP;
            health.record(now, server, round % 10 >= failing);
        }
    }
    (health, now)
}

#[test]
fn sick_server_stands_out_and_the_others_do_not() {
    let (health, now) = played(1, 6);
    assert!(
        health.excess(now, "a") > 0.15,
        "{}",
        health.excess(now, "a")
    );
    assert!(health.excess(now, "b") < 0.05);
}

#[test]
fn failures_that_all_servers_share_make_none_of_them_sick() {
    let (health, now) = played(3, 3);
    for server in ["a", "b", "c"] {
        assert!(health.excess(now, server) < 0.08);
    }
}

#[test]
fn server_that_was_not_heard_of_is_taken_to_be_like_the_others() {
    let (health, now) = played(1, 6);
    assert_eq!(health.excess(now, "new"), 0.0);
}

#[test]
fn sickness_is_forgotten() {
    let (health, now) = played(1, 9);
    let later = now + Duration::from_secs(40);
    assert!(health.excess(now, "a") > 0.2);
    assert!(health.excess(later, "a") < 0.05);
}

#[test]
fn unreachable_server_is_left_alone_for_a_moment_only() {
    let mut health = Health::default();
    health.record_unreachable(Duration::from_secs(5), "a");
    assert!(health.is_unreachable(Duration::from_millis(5_500), "a"));
    assert!(!health.is_unreachable(Duration::from_secs(5), "b"));
    assert!(!health.is_unreachable(Duration::from_millis(6_600), "a"));
}
