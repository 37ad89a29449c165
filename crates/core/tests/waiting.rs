//! What is turned away at once, and what goes elsewhere.

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
use wigeon_core::outcome::Reason;

use crate::driver::Driver;
use crate::driver::letters;

/// A driver whose servers are plain ones, chosen without a coordinator.
fn calls(servers: &[&str], idempotent: bool) -> Driver {
    calls_with_grace(servers, idempotent, Duration::from_secs(60))
}

fn calls_with_grace(servers: &[&str], idempotent: bool, grace: Duration) -> Driver {
    let mut driver = Driver::with_grace(letters(), servers, grace);
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
        Some(Outcome::Refused(refusal)) => Some((refusal.reason(), refusal.retry())),
        _ => None,
    }
}

#[test]
fn call_goes_to_another_server_at_once_when_one_is_not_reached() {
    let mut driver = calls(&["a", "b"], false);
    driver.request(1);
    let first = driver.dispatch(1).expect("there is a server");
    driver.event(&first, Event::Unreachable);
    let second = driver.dispatch(1).expect("there is another one");
    assert_ne!(first.server, second.server);
}

#[test]
fn call_that_no_server_can_be_reached_for_is_turned_away_at_once() {
    let mut driver = calls(&["a", "b"], false);
    driver.request(1);
    for _ in 0..2 {
        let attempt = driver.dispatch(1).expect("there is a server");
        driver.event(&attempt, Event::Unreachable);
    }
    let (reason, retry) =
        refusal(&driver, 1).expect("it has not run, and nothing will come of waiting");
    assert_eq!(reason, Reason::NoServer);
    assert!(retry.is_some());
}

#[test]
fn server_that_was_not_reached_is_left_alone_by_later_calls() {
    let mut driver = calls(&["a", "b", "c"], false);
    driver.request(1);
    let missed = driver.dispatch(1).expect("there is a server");
    driver.event(&missed, Event::Unreachable);
    for id in 2..12 {
        driver.request(id);
        let attempt = driver.dispatch(id).expect("there is a server");
        assert_ne!(attempt.server, missed.server);
    }
}

#[test]
fn call_that_failed_runs_again_only_where_it_may() {
    for idempotent in [true, false] {
        let mut driver = calls(&["a", "b"], idempotent);
        driver.request(1);
        let first = driver.dispatch(1).expect("there is a server");
        driver.event(&first, Event::Failed);
        let second = driver.dispatch(1);
        assert_eq!(second.is_some(), idempotent);
        if let Some(second) = second {
            assert_ne!(first.server, second.server);
            driver.event(&second, Event::Failed);
            assert_eq!(
                driver.dispatch(1),
                None,
                "it has run on as many servers as it may"
            );
        }
        assert!(matches!(driver.outcome(1), Some(Outcome::Failed(_))));
    }
}

#[test]
fn call_ends_when_the_time_that_its_route_allows_is_over() {
    let mut driver = calls(&["a"], true);
    driver.request(1);
    let attempt = driver.dispatch(1).expect("there is a server");
    driver.pass(Duration::from_millis(990));
    assert_eq!(driver.outcome(1), None);
    driver.pass(Duration::from_millis(20));
    let outcome = driver.outcome(1).expect("the time is over");
    assert!(matches!(outcome, Outcome::Failed(failure) if failure.reason == Reason::TimedOut));
    let cancelled = driver.outputs.iter().any(|output| {
        matches!(output, wigeon_core::Output::Cancel { attempt: of, .. } if *of == attempt.attempt)
    });
    assert!(cancelled, "the server is told");
}

#[test]
fn request_that_a_full_coordinator_denied_does_not_wait_for_a_silent_data_centre() {
    let mut driver = Driver::new(letters(), &["a"]);
    let mut far = driver::server("w", 1);
    far.data_centre = "west".into();
    driver.servers.push(far);
    driver.list();
    // The server's memory holds some of them; one more waits.
    let mut id = 0;
    let running = loop {
        id += 1;
        driver.request(id);
        driver.pass(Duration::from_millis(60));
        match driver.dispatch(id) {
            Some(attempt) => driver.run(&attempt, 8),
            None => break id - 1,
        }
    };
    assert!((2..40).contains(&running), "{running}");
    // Each that ends lets another one in, from which the coordinator learns how fast it serves.
    let mut refused = None;
    for next in id + 1..id + 30 {
        driver.request(next);
        driver.pass(Duration::from_millis(20));
        if let Some(found) = refusal(&driver, next) {
            refused = Some(found);
            break;
        }
        if next == id + 1 {
            let first = driver.placed(1);
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
    let (reason, retry) = refused.expect("it was turned away within 20 ms, not at its deadline");
    assert_eq!(reason, Reason::Overloaded);
    assert!(
        retry.is_some_and(|retry| retry >= Duration::from_secs(1)),
        "{retry:?}"
    );
}

#[test]
fn generation_that_would_be_cut_by_the_stop_is_turned_away() {
    let mut driver = Driver::with_grace(letters(), &["a", "b"], Duration::from_secs(8));
    driver.request(1);
    assert!(driver.dispatch(1).is_some());
    driver.input(Input::Leave);
    driver.pass(Duration::from_secs(1));
    driver.request(2);
    let (reason, retry) = refusal(&driver, 2).expect("900 tokens take longer than seven seconds");
    assert_eq!(reason, Reason::Leaving);
    let retry = retry.expect("another instance has room now");
    assert!(retry < Duration::from_millis(200));
}

#[test]
fn generation_that_comes_long_after_the_notice_is_turned_away_however_short() {
    let mut driver = Driver::with_grace(letters(), &["a", "b"], Duration::from_secs(8));
    driver.input(Input::Leave);
    driver.pass(Duration::from_secs(3));
    let mut short = driver.new_request(1);
    short.expected = Some(8);
    short.limit = Some(16);
    driver.input(Input::Request(short));
    assert_eq!(
        refusal(&driver, 1).map(|found| found.0),
        Some(Reason::Leaving)
    );
}

#[test]
fn call_whose_time_outlasts_the_stop_is_turned_away() {
    let mut driver = calls_with_grace(&["a"], true, Duration::from_millis(1_500));
    driver.input(Input::Leave);
    driver.request(1);
    assert!(
        driver.dispatch(1).is_some(),
        "it ends in a second at the latest"
    );
    driver.pass(Duration::from_millis(700));
    driver.request(2);
    assert_eq!(
        refusal(&driver, 2).map(|found| found.0),
        Some(Reason::Leaving)
    );
}

#[test]
fn what_ends_before_the_stop_is_still_served() {
    let mut driver = Driver::with_grace(letters(), &["a", "b"], Duration::from_secs(30));
    driver.input(Input::Leave);
    driver.request(1);
    driver.pass(Duration::from_millis(100));
    assert!(driver.dispatch(1).is_some());
}
