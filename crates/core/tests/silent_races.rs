//! Events that cross while a silent attempt and the one in its place run.

mod driver;

use wigeon_core::Event;
use wigeon_core::Input;
use wigeon_core::Output;
use wigeon_core::Request;
use wigeon_core::message::Dispatch;

use crate::driver::Driver;
use crate::driver::streaming_route;

const SERVERS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
const DELIVERED: u32 = 200;

fn send(driver: &mut Driver, request: Request) -> Dispatch {
    let id = request.id;
    driver.input(Input::Request(request));
    let dispatch = driver.dispatch(id).expect("the request is dispatched");
    driver.deliver_tokens(&dispatch, DELIVERED);
    dispatch
}

fn is_cancelled(driver: &Driver, dispatch: &Dispatch) -> bool {
    driver.outputs.iter().any(
        |output| matches!(output, Output::Cancel { attempt, .. } if *attempt == dispatch.attempt),
    )
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
