//! Attempts whose server is silent: they go on unless another server has begun to answer.

mod driver;

use std::time::Duration;

use wigeon_core::Event;
use wigeon_core::Outcome;
use wigeon_core::Output;
use wigeon_core::message::Dispatch;

use crate::driver::Driver;
use crate::driver::streaming_route;

const DELIVERED: u32 = 200;

fn silent_event() -> Event {
    Event::Silent {
        silence: 1,
        delivered: DELIVERED,
    }
}

fn complete_event() -> Event {
    Event::Complete {
        generated: 900,
        gap: Duration::from_millis(1_600),
        answer: wire::ledger::Answer {
            status: 200,
            media: String::new(),
            body: None,
        },
    }
}

/// Returns a driver with a running request whose server is silent, the silent attempt and the
/// attempt that is tried in its place.
fn silent_request(servers: &[&str]) -> (Driver, Dispatch, Dispatch) {
    let mut driver = Driver::new(streaming_route(), servers);
    driver.request(1);
    let first = driver.dispatch(1).expect("the request is dispatched");
    driver.deliver_tokens(&first, DELIVERED);
    driver.advance(Duration::from_secs(3));
    driver.event(&first, silent_event());
    let second = driver.dispatch(1).expect("the copy is tried");
    (driver, first, second)
}

fn is_cancelled(driver: &Driver, dispatch: &Dispatch) -> bool {
    driver.outputs.iter().any(
        |output| matches!(output, Output::Cancel { attempt, .. } if *attempt == dispatch.attempt),
    )
}

fn has_strike(driver: &Driver) -> bool {
    driver
        .outputs
        .iter()
        .any(|output| matches!(output, Output::Log { target, .. } if *target == "suspect"))
}

#[test]
fn silent_attempt_is_replaced_once_the_server_of_its_copy_answers() {
    let (mut driver, first, second) = silent_request(&["a", "b", "c"]);
    assert_eq!(
        Some(&second.server),
        first.copy.as_ref().map(|copy| &copy.server)
    );
    driver.event(&second, Event::Accepted);
    assert_eq!(driver.running_attempt(1), second.attempt);
    driver.event(&second, Event::FirstToken);
    driver.event(&second, complete_event());
    assert!(driver.instance.is_idle());
    assert!(!is_cancelled(&driver, &second));
}

#[test]
fn silent_attempt_goes_on_if_the_one_in_its_place_fails() {
    let lost = Event::Lost {
        crashed: true,
        delivered: DELIVERED,
    };
    for event in [Event::Unreachable, Event::Refused, Event::Failed, lost] {
        let (mut driver, first, second) = silent_request(&["a", "b", "c"]);
        driver.event(&second, event.clone());
        assert_eq!(driver.running_attempt(1), first.attempt, "after {event:?}");
        driver.advance(Duration::from_secs(1));
        assert_eq!(driver.outcome(1), None, "after {event:?}");
        driver.event(&first, Event::Recovered);
        driver.event(&first, complete_event());
        assert!(driver.instance.is_idle(), "after {event:?}");
    }
}

#[test]
fn silent_attempt_that_speaks_first_goes_on() {
    let (mut driver, first, second) = silent_request(&["a", "b", "c"]);
    driver.event(&first, Event::Recovered);
    assert!(is_cancelled(&driver, &second));
    assert_eq!(driver.running_attempt(1), first.attempt);
    driver.event(&first, complete_event());
    assert!(driver.instance.is_idle());
}

#[test]
fn silent_attempt_that_completes_completes_the_request() {
    let (mut driver, first, second) = silent_request(&["a", "b", "c"]);
    driver.event(&first, complete_event());
    assert!(is_cancelled(&driver, &second));
    assert!(driver.instance.is_idle());
    assert_eq!(driver.outcome(1), None);
}

#[test]
fn silent_attempt_whose_copy_is_gone_goes_on() {
    let mut driver = Driver::new(streaming_route(), &["a", "b", "c"]);
    driver.request(1);
    let first = driver.dispatch(1).expect("the request is dispatched");
    driver.deliver_tokens(&first, DELIVERED);
    let copy = first.copy.clone().expect("the dispatch orders a copy");
    driver.servers.retain(|server| server.name != copy.server);
    driver.send_server_list();
    driver.event(&first, silent_event());
    driver.advance(Duration::from_secs(1));
    assert_eq!(driver.outcome(1), None);
    assert_eq!(driver.running_attempt(1), first.attempt);
}

#[test]
fn silence_is_no_crash() {
    let (mut driver, first, second) = silent_request(&["a", "b", "c"]);
    driver.event(&second, Event::Accepted);
    driver.event(&second, Event::FirstToken);
    driver.event(&second, silent_event());
    driver.advance(Duration::from_secs(1));
    assert!(!has_strike(&driver));
    driver.event(&first, Event::Recovered);
    assert_eq!(
        driver.outcome(1),
        None,
        "an attempt that was replaced changes nothing"
    );
}

#[test]
fn crash_of_a_silent_server_counts_like_any_other() {
    let lost = Event::Lost {
        crashed: true,
        delivered: DELIVERED,
    };
    let (mut driver, first, second) = silent_request(&["a", "b", "c"]);
    driver.event(&first, lost);
    assert!(has_strike(&driver));
    assert_eq!(driver.running_attempt(1), second.attempt);
}

#[test]
fn request_ends_once_the_silent_attempt_and_the_one_in_its_place_are_lost() {
    let lost = Event::Lost {
        crashed: true,
        delivered: DELIVERED,
    };
    let (mut driver, first, second) = silent_request(&["a", "b", "c"]);
    driver.event(&first, lost);
    assert_eq!(driver.running_attempt(1), second.attempt);
    driver.event(&second, Event::Refused);
    assert!(matches!(driver.outcome(1), Some(Outcome::Failed(_))));
    assert!(driver.instance.is_idle());
}

#[test]
fn silent_attempt_ends_at_the_timeout_of_its_route() {
    let (mut driver, first, second) = silent_request(&["a", "b", "c"]);
    driver.advance(Duration::from_secs(40));
    assert!(is_cancelled(&driver, &first) || is_cancelled(&driver, &second));
    let outcome = driver.outcome(1);
    assert!(matches!(outcome, Some(Outcome::Failed(_))), "{outcome:?}");
    assert!(driver.instance.is_idle());
}
