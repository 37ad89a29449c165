//! Requests that are refused at once or sent to another server instead of waiting.

mod driver;

use std::sync::Arc;
use std::time::Duration;

use conf::Config;
use conf::Delivery;
use conf::Placing;
use conf::Pool;
use conf::Route;
use conf::Service;
use wigeon_core::Event;
use wigeon_core::Input;
use wigeon_core::Outcome;
use wigeon_core::Policy;
use wigeon_core::outcome::Reason;

use crate::driver::Driver;
use crate::driver::streaming_route;

/// Returns a driver with plain servers that are chosen without a coordinator.
fn driver_of_plain_servers(servers: &[&str], idempotent: bool) -> Driver {
    driver_of_plain_servers_with_grace(servers, idempotent, Duration::from_secs(60))
}

fn driver_of_plain_servers_with_grace(
    servers: &[&str],
    idempotent: bool,
    grace: Duration,
) -> Driver {
    let mut driver = Driver::with_grace(streaming_route(), servers, grace);
    let pool = Pool {
        service: Service::Plain,
        placing: Placing::Local,
        ..Pool::default()
    };
    let route = Route {
        pool: "engines".into(),
        delivery: Delivery::Whole,
        idempotent,
        deadline_ms: 1_000,
        timeout_ms: 1_000,
        attempts: 2,
        ..Route::default()
    };
    let mut config = Config {
        version: 6,
        ..Config::default()
    };
    config.pools.insert("engines".into(), pool);
    config.routes.insert("letters".into(), route);
    driver.input(Input::AdoptConfig(Arc::new(config)));
    driver
}

fn refusal(driver: &Driver, id: u64) -> Option<(Reason, Option<Duration>)> {
    match driver.outcome(id) {
        Some(Outcome::Refused(refusal)) => Some((refusal.reason(), refusal.retry_after())),
        _ => None,
    }
}

#[test]
fn call_is_sent_to_another_server_at_once_if_one_is_unreachable() {
    let mut driver = driver_of_plain_servers(&["a", "b"], false);
    driver.request(1);
    let first = driver.dispatch(1).expect("the request is dispatched");
    driver.event(&first, Event::Unreachable);
    let second = driver
        .dispatch(1)
        .expect("the request is dispatched to another server");
    assert_ne!(first.server, second.server);
}

#[test]
fn call_is_refused_at_once_if_no_server_is_reachable() {
    let mut driver = driver_of_plain_servers(&["a", "b"], false);
    driver.request(1);
    for _ in 0..2 {
        let attempt = driver.dispatch(1).expect("the request is dispatched");
        driver.event(&attempt, Event::Unreachable);
    }
    let (reason, retry_after) =
        refusal(&driver, 1).expect("the request is refused without waiting");
    assert_eq!(reason, Reason::NoServer);
    assert!(retry_after.is_some());
}

#[test]
fn unreachable_server_is_avoided_by_later_calls() {
    let mut driver = driver_of_plain_servers(&["a", "b", "c"], false);
    driver.request(1);
    let unreachable = driver.dispatch(1).expect("the request is dispatched");
    driver.event(&unreachable, Event::Unreachable);
    for id in 2..12 {
        driver.request(id);
        let attempt = driver.dispatch(id).expect("the request is dispatched");
        assert_ne!(attempt.server, unreachable.server);
    }
}

#[test]
fn failed_call_is_retried_only_if_idempotent() {
    for idempotent in [true, false] {
        let mut driver = driver_of_plain_servers(&["a", "b"], idempotent);
        driver.request(1);
        let first = driver.dispatch(1).expect("the request is dispatched");
        driver.event(&first, Event::Failed);
        let second = driver.dispatch(1);
        assert_eq!(second.is_some(), idempotent);
        if let Some(second) = second {
            assert_ne!(first.server, second.server);
            driver.event(&second, Event::Failed);
            assert_eq!(
                driver.dispatch(1),
                None,
                "the request has used all its attempts"
            );
        }
        assert!(matches!(driver.outcome(1), Some(Outcome::Failed(_))));
    }
}

#[test]
fn call_times_out_after_the_timeout_of_its_route() {
    let mut driver = driver_of_plain_servers(&["a"], true);
    driver.request(1);
    let attempt = driver.dispatch(1).expect("the request is dispatched");
    driver.advance(Duration::from_millis(990));
    assert_eq!(driver.outcome(1), None);
    driver.advance(Duration::from_millis(20));
    let outcome = driver.outcome(1).expect("the request has timed out");
    assert!(matches!(outcome, Outcome::Failed(failure) if failure.reason == Reason::TimedOut));
    let cancelled = driver.outputs.iter().any(|output| {
        matches!(output, wigeon_core::Output::Cancel { attempt: id, .. } if *id == attempt.attempt)
    });
    assert!(cancelled, "the attempt is cancelled at the server");
}

#[test]
fn request_denied_by_a_full_coordinator_does_not_wait_for_a_silent_data_centre() {
    let mut driver = Driver::new(streaming_route(), &["a"]);
    let mut remote = driver::server("w", 1);
    remote.data_centre = "west".into();
    driver.servers.push(remote);
    driver.send_server_list();
    // Requests are sent until the server's memory is full and one is queued.
    let mut id = 0;
    let running = loop {
        id += 1;
        driver.request(id);
        driver.advance(Duration::from_millis(60));
        match driver.dispatch(id) {
            Some(attempt) => driver.deliver_tokens(&attempt, 8),
            None => break id - 1,
        }
    };
    assert!((2..40).contains(&running), "{running}");
    // When a request ends, a queued one is granted its place. From this grant the coordinator
    // estimates its service rate, and from that the expected wait of further reservations.
    let mut refused = None;
    for next in id + 1..id + 30 {
        driver.request(next);
        driver.advance(Duration::from_millis(20));
        if let Some(found) = refusal(&driver, next) {
            refused = Some(found);
            break;
        }
        if next == id + 1 {
            let first = driver.running_attempt(1);
            driver.input(Input::Attempt(
                first,
                wigeon_core::Event::Complete {
                    generated: 300,
                    gap: Duration::ZERO,
                    answer: wire::ledger::Answer {
                        status: 200,
                        media: String::new(),
                        body: None,
                    },
                },
            ));
        }
    }
    let (reason, retry_after) =
        refused.expect("a request is refused within 20 ms, not at its deadline");
    assert_eq!(reason, Reason::Overloaded);
    assert!(
        retry_after.is_some_and(|retry_after| retry_after >= Duration::from_secs(1)),
        "{retry_after:?}"
    );
}

#[test]
fn generation_that_would_outlast_the_shutdown_is_refused() {
    let mut driver = Driver::with_grace(streaming_route(), &["a", "b"], Duration::from_secs(8));
    driver.request(1);
    assert!(driver.dispatch(1).is_some());
    driver.leave();
    driver.advance(Duration::from_secs(1));
    driver.request(2);
    let (reason, retry_after) = refusal(&driver, 2)
        .expect("a generation of 900 tokens takes longer than seven seconds and is refused");
    assert_eq!(reason, Reason::Leaving);
    let retry_after = retry_after.expect("the refusal has a retry-after");
    assert!(retry_after < Duration::from_millis(200));
}

#[test]
fn short_generation_is_refused_late_in_the_shutdown() {
    let mut driver = Driver::with_grace(streaming_route(), &["a", "b"], Duration::from_secs(8));
    driver.leave();
    driver.advance(Duration::from_secs(3));
    let mut short = driver.new_request(1);
    short.expected_tokens = Some(8);
    short.max_tokens = Some(16);
    driver.input(Input::Request(short));
    assert_eq!(
        refusal(&driver, 1).map(|found| found.0),
        Some(Reason::Leaving)
    );
}

#[test]
fn call_whose_timeout_outlasts_the_shutdown_is_refused() {
    let mut driver = driver_of_plain_servers_with_grace(&["a"], true, Duration::from_millis(1_500));
    driver.leave();
    driver.request(1);
    assert!(
        driver.dispatch(1).is_some(),
        "the call ends within a second, before the shutdown ends"
    );
    driver.advance(Duration::from_millis(700));
    driver.request(2);
    assert_eq!(
        refusal(&driver, 2).map(|found| found.0),
        Some(Reason::Leaving)
    );
}

#[test]
fn request_that_ends_within_the_grace_period_is_served() {
    let mut driver = Driver::with_grace(streaming_route(), &["a", "b"], Duration::from_secs(30));
    driver.leave();
    driver.request(1);
    driver.advance(Duration::from_millis(100));
    assert!(driver.dispatch(1).is_some());
}

/// Guards against a request without a timer, whose pool a new configuration has removed.
#[test]
fn request_whose_pool_is_removed_ends_at_its_deadline() {
    let mut driver = Driver::with_policy(streaming_route(), &[], Policy::RoundRobin);
    driver.request(1);
    assert!(driver.outcome(1).is_none());
    let config = Config {
        version: 6,
        ..Config::default()
    };
    driver.input(Input::AdoptConfig(Arc::new(config)));
    driver.advance(Duration::from_secs(2));
    assert!(refusal(&driver, 1).is_some());
}
