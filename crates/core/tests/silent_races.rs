//! Events that cross while a silent attempt and the one in its place run, and verdicts that arrive
//! meanwhile.

mod driver;

use std::time::Duration;

use wigeon_core::Event;
use wigeon_core::Input;
use wigeon_core::Output;
use wigeon_core::Request;
use wigeon_core::message::Dispatch;

use crate::driver::Driver;
use crate::driver::streaming_route;

const SERVERS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
const DELIVERED: u32 = 200;
const SHARED_FINGERPRINT: u64 = 77;

fn send(driver: &mut Driver, request: Request) -> Dispatch {
    let id = request.id;
    driver.input(Input::Request(request));
    let dispatch = driver.dispatch(id).expect("the request is dispatched");
    driver.deliver_tokens(&dispatch, DELIVERED);
    dispatch
}

fn request_alike(driver: &Driver, id: u64) -> Request {
    Request {
        fingerprint: SHARED_FINGERPRINT,
        group: SHARED_FINGERPRINT,
        ..driver.new_request(id)
    }
}

fn is_cancelled(driver: &Driver, dispatch: &Dispatch) -> bool {
    driver.outputs.iter().any(
        |output| matches!(output, Output::Cancel { attempt, .. } if *attempt == dispatch.attempt),
    )
}

#[test]
fn silent_attempt_of_a_request_that_is_barred_meanwhile_goes_on() {
    let mut driver = Driver::new(streaming_route(), &SERVERS);
    let request = request_alike(&driver, 1);
    let first = send(&mut driver, request);
    for id in 2..=4 {
        let request = request_alike(&driver, id);
        driver.input(Input::Request(request));
        let dispatch = driver.dispatch(id).expect("the request is dispatched");
        assert_ne!(dispatch.server, first.server);
        let lost = Event::Lost {
            crashed: true,
            delivered: 0,
        };
        driver.event(&dispatch, lost);
        driver.advance(Duration::from_millis(200));
    }
    let is_bar =
        |output: &Output| matches!(output, Output::Log { text, .. } if text.contains("is barred"));
    assert!(driver.outputs.iter().any(is_bar));
    assert_eq!(driver.outcome(1), None, "a running request goes on");
    driver.event(
        &first,
        Event::Silent {
            silence: 1,
            delivered: DELIVERED,
        },
    );
    driver.advance(Duration::from_secs(1));
    assert_eq!(driver.outcome(1), None, "silence is no end");
    assert_eq!(driver.running_attempt(1), first.attempt);
}

#[test]
fn progress_without_a_new_token_does_not_end_the_attempt_in_place_of_a_silent_one() {
    let mut driver = Driver::new(streaming_route(), &SERVERS);
    let request = driver.new_request(1);
    let first = send(&mut driver, request);
    driver.event(
        &first,
        Event::Silent {
            silence: 1,
            delivered: DELIVERED,
        },
    );
    let second = driver.dispatch(1).expect("the copy is tried");
    // The relay has not reported `Recovered`, so it still replaces the attempt by its successor.
    let progress = Event::Progress {
        generated: DELIVERED,
        delivered: DELIVERED,
    };
    driver.event(&first, progress);
    assert!(!is_cancelled(&driver, &second));
    driver.event(&second, Event::Accepted);
    assert_eq!(driver.running_attempt(1), second.attempt);
}
