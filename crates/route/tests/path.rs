//! Tests of the belief about paths, with the outcomes that cuts and crashes bring.

use std::time::Duration;

use route::path::Paths;

const SERVERS: usize = 57;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(10_000 + ms)
}

/// Returns the name of a server.
fn server(index: usize) -> String {
    format!("e{index}")
}

/// Records what tests of four other servers show, as after the first failure.
fn test_others(paths: &mut Paths, at: Duration, reached: impl Fn(usize) -> bool) {
    for index in 10..14 {
        match reached(index) {
            true => paths.record_success(at, &server(index)),
            false => paths.record_failure(at, &server(index)),
        }
    }
}

#[test]
fn paths_are_lost_as_soon_as_tests_of_four_more_servers_fail() {
    let mut paths = Paths::default();
    paths.record_success(ms(0), &server(1));
    paths.record_failure(ms(100), &server(2));
    assert!(!paths.are_lost(ms(100), || SERVERS));
    test_others(&mut paths, ms(250), |_| false);
    assert!(paths.are_lost(ms(250), || SERVERS));
}

#[test]
fn servers_reached_by_connections_begun_with_the_failed_one_count() {
    let mut paths = Paths::default();
    test_others(&mut paths, ms(0), |index| index != 10);
    paths.record_failure(ms(500), &server(1));
    assert!(!paths.are_lost(ms(520), || SERVERS));
}

#[test]
fn crashes_of_some_servers_are_no_loss_of_paths() {
    let mut paths = Paths::default();
    paths.record_failure(ms(100), &server(1));
    paths.record_failure(ms(600), &server(2));
    test_others(&mut paths, ms(620), |index| index % 2 == 0);
    assert!(!paths.are_lost(ms(620), || SERVERS));
    assert_eq!(paths.failing(ms(620)).count(), 4);
}

#[test]
fn service_with_few_servers_is_lost_when_none_is_reached() {
    let mut paths = Paths::default();
    paths.record_failure(ms(0), &server(1));
    paths.record_failure(ms(20), &server(2));
    assert!(!paths.are_lost(ms(20), || 3));
    paths.record_failure(ms(30), &server(3));
    assert!(paths.are_lost(ms(30), || 3));
}

#[test]
fn one_server_in_reach_does_not_end_the_loss_of_many_paths() {
    let mut paths = Paths::default();
    paths.record_failure(ms(0), &server(1));
    paths.record_failure(ms(0), &server(3));
    test_others(&mut paths, ms(150), |_| false);
    paths.record_success(ms(300), &server(2));
    assert!(paths.are_lost(ms(300), || SERVERS));
    test_others(&mut paths, ms(310), |_| true);
    assert!(!paths.are_lost(ms(310), || SERVERS));
}

#[test]
fn connection_from_before_the_failures_shows_nothing() {
    let mut paths = Paths::default();
    paths.record_failure(ms(100), &server(1));
    test_others(&mut paths, ms(150), |_| false);
    assert!(paths.are_lost(ms(150), || SERVERS));
    paths.record_success(ms(50), &server(20));
    paths.record_success(ms(60), &server(1));
    assert!(paths.are_lost(ms(150), || SERVERS));
    assert_eq!(paths.failing(ms(150)).count(), 5);
}

#[test]
fn outcomes_are_forgotten_after_three_seconds() {
    let mut paths = Paths::default();
    paths.record_failure(ms(0), &server(1));
    test_others(&mut paths, ms(0), |_| false);
    assert!(paths.are_lost(ms(2_900), || SERVERS));
    assert!(!paths.are_lost(ms(3_100), || SERVERS));
}
