//! Resuming generations from a copy of their KV memory.

mod driver;

use std::time::Duration;

use wigeon_core::Event;
use wigeon_core::Handle;
use wigeon_core::Outcome;
use wigeon_core::Replica;

use crate::driver::Driver;
use crate::driver::streaming_route;

fn lost_event(delivered: u32) -> Event {
    Event::Lost {
        crashed: true,
        delivered,
    }
}

#[test]
fn lost_generation_resumes_at_the_server_that_holds_its_copy() {
    let mut driver = Driver::new(streaming_route(), &["a", "b", "c"]);
    driver.request(1);
    let first = driver.dispatch(1).expect("the request is dispatched");
    let copy = first.copy.clone().expect("the dispatch orders a copy");
    assert_ne!(copy.server, first.server);
    driver.deliver_tokens(&first, 200);
    // The route's placement deadline of 1.2 s has passed.
    driver.advance(Duration::from_secs(3));
    driver.event(&first, lost_event(200));
    let second = driver.dispatch(1).expect("the request is dispatched again");
    assert_eq!(second.server, copy.server);
    assert_eq!(
        second.resume_from.map(|replica| replica.endpoint),
        Some(copy)
    );
    assert!(!second.rerun);
    let next_copy = second.copy.expect("the resumed attempt orders a copy");
    assert!(next_copy.server != second.server && next_copy.server != first.server);
}

#[test]
fn generation_that_fails_to_resume_is_not_rerun() {
    for event in [Event::Unreachable, Event::Refused] {
        let mut driver = Driver::new(streaming_route(), &["a", "b", "c"]);
        driver.request(1);
        let first = driver.dispatch(1).expect("the request is dispatched");
        driver.deliver_tokens(&first, 200);
        driver.event(&first, lost_event(200));
        let second = driver.dispatch(1).expect("the request is dispatched again");
        driver.event(&second, event.clone());
        driver.advance(Duration::from_secs(1));
        assert_eq!(driver.dispatch(1), None, "after {event:?}");
        let outcome = driver.outcome(1);
        assert!(matches!(outcome, Some(Outcome::Failed(_))), "{outcome:?}");
    }
}

#[test]
fn lost_generation_without_a_copy_is_not_rerun() {
    let mut driver = Driver::new(streaming_route(), &["a"]);
    driver.request(1);
    let first = driver.dispatch(1).expect("the request is dispatched");
    assert_eq!(first.copy, None, "no second server can hold a copy");
    driver.deliver_tokens(&first, 200);
    driver.event(&first, lost_event(200));
    driver.advance(Duration::from_secs(1));
    assert_eq!(driver.dispatch(1), None);
    assert!(matches!(driver.outcome(1), Some(Outcome::Failed(_))));
}

#[test]
fn copy_is_replaced_when_its_server_is_leaving() {
    let mut driver = Driver::new(streaming_route(), &["a", "b", "c"]);
    driver.request(1);
    let first = driver.dispatch(1).expect("the request is dispatched");
    let copy = first.copy.clone().expect("the dispatch orders a copy");
    driver.deliver_tokens(&first, 200);
    let copy_server = driver
        .servers
        .iter_mut()
        .find(|server| server.name == copy.server);
    copy_server.expect("the server is listed").leaving = true;
    driver.send_server_list();
    driver.advance(Duration::from_millis(300));
    let endpoint = driver
        .ordered_copy(first.attempt)
        .cloned()
        .expect("a new copy is ordered");
    assert!(endpoint.server != copy.server && endpoint.server != first.server);
    let replica = Replica {
        endpoint: endpoint.clone(),
        handle: Some(Handle {
            source: first.address,
            name: "h7".into(),
        }),
    };
    driver.event(&first, Event::Copied(replica.clone()));
    driver.event(&first, lost_event(240));
    let second = driver.dispatch(1).expect("the request is dispatched again");
    assert_eq!(second.server, endpoint.server);
    assert_eq!(second.resume_from, Some(replica));
}

/// The loss of a server that has announced that it leaves is not a strike against its requests.
#[test]
fn request_is_not_barred_after_losing_several_leaving_servers() {
    let mut driver = Driver::new(streaming_route(), &["a", "b", "c", "d", "e"]);
    driver.request(1);
    for _ in 0..3 {
        let attempt = driver.dispatch(1).expect("the request is dispatched");
        driver.deliver_tokens(&attempt, 20);
        let server = driver
            .servers
            .iter_mut()
            .find(|server| server.name == attempt.server);
        server.expect("the server is listed").leaving = true;
        driver.send_server_list();
        driver.advance(Duration::from_millis(300));
        driver.event(&attempt, lost_event(20));
    }
    assert!(driver.dispatch(1).is_some(), "{:?}", driver.outcome(1));
}
