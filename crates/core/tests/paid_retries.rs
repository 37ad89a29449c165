//! Attempts that are paid for from the retry budget, beside the retries of a rejected request.

mod driver;

use std::time::Duration;

use route::retry::Limits;
use wigeon_core::Event;
use wigeon_core::Input;
use wigeon_core::Outcome;
use wigeon_core::outcome::Reason;

use crate::driver::Driver;
use crate::driver::streaming_route;

/// Limits that allow no retry.
const NO_RETRIES: Limits = Limits {
    ratio: 0.0,
    slack: 0.0,
    window: Duration::from_secs(10),
};

/// Returns an instance that has used the one retry that any budget may hold.
fn without_retries() -> Driver {
    let mut driver = Driver::new(streaming_route(), &["a", "b", "c"]);
    driver.input(Input::RetryLimits(NO_RETRIES));
    for id in 1..=2 {
        driver.request(id);
        let dispatch = driver.dispatch(id).expect("the request is placed");
        driver.event(&dispatch, Event::Refused);
        driver.advance(Duration::from_millis(100));
        if let Some(dispatch) = driver.dispatch(id) {
            driver.event(&dispatch, Event::Refused);
        }
        driver.advance(Duration::from_secs(2));
    }
    driver
}

/// Guards against a resume that is an arrival beyond the first and is not counted.
#[test]
fn stream_resumes_from_its_copy_only_if_the_budget_allows_it() {
    for has_retries in [true, false] {
        let mut driver = match has_retries {
            true => Driver::new(streaming_route(), &["a", "b", "c"]),
            false => without_retries(),
        };
        driver.request(7);
        let first = driver.dispatch(7).expect("the request is placed");
        assert!(first.copy.is_some(), "the dispatch orders a copy");
        driver.deliver_tokens(&first, 100);
        let lost = Event::Lost {
            crashed: false,
            delivered: 100,
        };
        driver.event(&first, lost);
        driver.advance(Duration::from_millis(200));
        assert_eq!(driver.dispatch(7).is_some(), has_retries);
    }
}

/// Guards against a retry that is paid although nothing has reached a server.
#[test]
fn request_whose_servers_are_not_reached_is_tried_without_a_budget() {
    let mut driver = without_retries();
    driver.request(7);
    let first = driver.dispatch(7).expect("the request is placed");
    driver.event(&first, Event::Unreachable);
    driver.advance(Duration::from_millis(200));
    assert!(driver.dispatch(7).is_some());
}

/// Guards against a refusal by which the instance that handed the request over believes that no server
/// has got it, and hands it on unpaid.
#[test]
fn refusal_of_a_handed_over_request_that_reached_a_server_is_not_passed_on() {
    for (event, expected) in [
        (Event::Unreachable, Reason::NoServer),
        (Event::Refused, Reason::RetriesSpent),
    ] {
        let mut driver = Driver::new(streaming_route(), &["a"]);
        let mut request = driver.new_request(7);
        request.handed_over = true;
        driver.input(Input::Request(request));
        let first = driver.dispatch(7).expect("the request is placed");
        driver.event(&first, event);
        driver.servers.clear();
        driver.send_server_list();
        driver.advance(Duration::from_secs(3));
        match driver.outcome(7) {
            Some(Outcome::Refused(refusal)) => assert_eq!(refusal.reason(), expected),
            other => panic!("{other:?} in place of a refusal"),
        }
    }
}
