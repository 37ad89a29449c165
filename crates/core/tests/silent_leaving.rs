//! Silent attempts at servers that may not be given work again: they stay there until their
//! connections end.

mod driver;

use std::sync::Arc;
use std::time::Duration;

use conf::Config;
use wigeon_core::Event;
use wigeon_core::Input;
use wigeon_core::Outcome;
use wigeon_core::Output;
use wigeon_core::ServerNotice;
use wigeon_core::message::Dispatch;

use crate::driver::Driver;
use crate::driver::streaming_route;

const DELIVERED: u32 = 200;
/// Time for which a server wants no requests.
const BACKOFF: Duration = Duration::from_secs(4);

fn silent_event() -> Event {
    Event::Silent {
        silence: 1,
        delivered: DELIVERED,
    }
}

fn lost_event() -> Event {
    Event::Lost {
        crashed: false,
        delivered: DELIVERED,
    }
}

/// Returns a driver with a running request that has a copy, and its attempt.
fn running_request() -> (Driver, Dispatch) {
    let mut driver = Driver::new(streaming_route(), &["a", "b", "c"]);
    driver.request(1);
    let first = driver.dispatch(1).expect("the request is dispatched");
    driver.deliver_tokens(&first, DELIVERED);
    assert!(first.copy.is_some());
    (driver, first)
}

fn list_as_leaving(driver: &mut Driver, name: &str) {
    let mut servers = driver.servers.iter_mut();
    let server = servers.find(|server| server.name == name);
    server.expect("the server is listed").leaving = true;
    driver.send_server_list();
}

fn state(driver: &mut Driver, dispatch: &Dispatch, notice: ServerNotice) {
    let server = dispatch.server.clone();
    let notice = Input::ServerNotice(server, dispatch.boot, driver.now, notice);
    driver.input(notice);
}

fn configure(driver: &mut Driver, change: impl FnOnce(&mut Config)) {
    let mut config = driver.instance.config().clone();
    config.version += 1;
    change(&mut config);
    driver.input(Input::AdoptConfig(Arc::new(config)));
}

/// Asserts that a silent attempt is not replaced, however often its silence is reported.
fn assert_stays(driver: &mut Driver, first: &Dispatch) {
    for _ in 0..3 {
        driver.event(first, silent_event());
        assert_eq!(driver.dispatch(1), None, "the run is not stopped");
        assert_eq!(driver.running_attempt(1), first.attempt);
        driver.advance(Duration::from_millis(100));
        assert_eq!(driver.outcome(1), None);
    }
    let is_reason = |output: &Output| matches!(output, Output::Log { target: "silence", text, .. } if text.contains("may not be given work"));
    assert!(driver.outputs.iter().any(is_reason));
}

/// Asserts that an attempt whose connection ends goes on from its copy.
fn assert_goes_on_from_copy(driver: &mut Driver, first: &Dispatch) {
    driver.event(first, lost_event());
    let second = driver.dispatch(1).expect("the copy is used");
    let copy = first.copy.as_ref().expect("the dispatch orders a copy");
    assert_eq!(second.server, copy.server);
    assert!(second.resume_from.is_some());
    assert_eq!(second.silence, None);
}

#[test]
fn silent_attempt_stays_at_a_server_that_is_listed_as_leaving() {
    let (mut driver, first) = running_request();
    list_as_leaving(&mut driver, &first.server);
    assert_stays(&mut driver, &first);
    driver.advance(Duration::from_secs(2));
    assert_stays(&mut driver, &first);
    assert_goes_on_from_copy(&mut driver, &first);
}

#[test]
fn silent_attempt_stays_at_a_server_that_states_that_it_leaves() {
    let (mut driver, first) = running_request();
    let notice = ServerNotice {
        leaving: true,
        ..ServerNotice::default()
    };
    state(&mut driver, &first, notice);
    assert_stays(&mut driver, &first);
    assert_goes_on_from_copy(&mut driver, &first);
}

#[test]
fn silent_attempt_stays_at_a_server_that_is_removed_from_the_list() {
    let (mut driver, first) = running_request();
    driver.servers.retain(|server| server.name != first.server);
    driver.send_server_list();
    assert_stays(&mut driver, &first);
    assert_goes_on_from_copy(&mut driver, &first);
}

#[test]
fn silent_attempt_stays_at_a_server_that_is_drained() {
    let (mut driver, first) = running_request();
    configure(&mut driver, |config| {
        config.drained.insert(first.server.clone());
    });
    assert_stays(&mut driver, &first);
    assert_goes_on_from_copy(&mut driver, &first);
}

#[test]
fn silent_attempt_stays_in_a_data_centre_that_is_withdrawn() {
    let (mut driver, first) = running_request();
    configure(&mut driver, |config| {
        config.data_centres.entry("east".into()).or_default().out = true;
    });
    assert_stays(&mut driver, &first);
}

#[test]
fn silent_attempt_stays_at_a_server_that_wants_no_requests_for_a_while() {
    let (mut driver, first) = running_request();
    let notice = ServerNotice {
        retry_after: Some(BACKOFF),
        ..ServerNotice::default()
    };
    state(&mut driver, &first, notice);
    assert_stays(&mut driver, &first);
    driver.advance(BACKOFF);
    driver.event(&first, silent_event());
    let second = driver.dispatch(1).expect("the copy is tried");
    assert_eq!(second.silence, Some(1));
}

#[test]
fn silent_attempt_at_a_leaving_server_goes_on_when_it_speaks() {
    let (mut driver, first) = running_request();
    list_as_leaving(&mut driver, &first.server);
    assert_stays(&mut driver, &first);
    driver.event(&first, Event::Recovered);
    let answer = wire::ledger::Answer {
        status: 200,
        media: String::new(),
        body: None,
    };
    let complete = Event::Complete {
        generated: 900,
        gap: Duration::from_millis(1_600),
        answer,
    };
    driver.event(&first, complete);
    assert!(driver.instance.is_idle());
}

#[test]
fn silent_attempt_at_a_leaving_server_ends_at_the_timeout_of_its_route() {
    let (mut driver, first) = running_request();
    list_as_leaving(&mut driver, &first.server);
    assert_stays(&mut driver, &first);
    driver.advance(Duration::from_secs(40));
    let outcome = driver.outcome(1);
    assert!(matches!(outcome, Some(Outcome::Failed(_))), "{outcome:?}");
    assert!(driver.instance.is_idle());
}

/// A server that begins to leave while its run is being stopped.
#[test]
fn postponed_attempt_is_not_tried_again_once_the_silent_server_leaves() {
    let (mut driver, first) = running_request();
    driver.event(&first, silent_event());
    let second = driver.dispatch(1).expect("the copy is tried");
    list_as_leaving(&mut driver, &first.server);
    let replica = second.resume_from.clone();
    let postponed = Event::Postponed {
        replica: replica.clone(),
    };
    driver.event(&second, postponed);
    driver.event(&first, Event::Copied(replica.expect("a copy is used")));
    assert_stays(&mut driver, &first);
    assert_goes_on_from_copy(&mut driver, &first);
}
