//! Generations that go on from a copy of their memory.

mod driver;

use std::time::Duration;

use wigeon_core::Event;
use wigeon_core::Handle;
use wigeon_core::Outcome;
use wigeon_core::Replica;

use crate::driver::Driver;
use crate::driver::letters;

fn lost(delivered: u32) -> Event {
    Event::Lost {
        crashed: true,
        delivered,
    }
}

#[test]
fn generation_goes_on_at_the_server_that_keeps_its_copy() {
    let mut driver = Driver::new(letters(), &["a", "b", "c"]);
    driver.request(1);
    let first = driver.dispatch(1).expect("there is room");
    let copy = first.copy.clone().expect("there is room for a copy");
    assert_ne!(copy.server, first.server);
    driver.run(&first, 200);
    // Long after the time in which it had to find its first place.
    driver.pass(Duration::from_secs(3));
    driver.event(&first, lost(200));
    let second = driver.dispatch(1).expect("it goes on");
    assert_eq!(second.server, copy.server);
    assert_eq!(
        second.resume_from.map(|replica| replica.endpoint),
        Some(copy)
    );
    assert!(!second.rerun);
    let next = second.copy.expect("a new copy is kept");
    assert!(next.server != second.server && next.server != first.server);
}

#[test]
fn generation_that_can_not_go_on_is_not_run_anew() {
    for event in [Event::Unreachable, Event::Refused] {
        let mut driver = Driver::new(letters(), &["a", "b", "c"]);
        driver.request(1);
        let first = driver.dispatch(1).expect("there is room");
        driver.run(&first, 200);
        driver.event(&first, lost(200));
        let second = driver.dispatch(1).expect("it goes on");
        driver.event(&second, event.clone());
        driver.pass(Duration::from_secs(1));
        assert_eq!(driver.dispatch(1), None, "after {event:?}");
        let outcome = driver.outcome(1);
        assert!(matches!(outcome, Some(Outcome::Failed(_))), "{outcome:?}");
    }
}

#[test]
fn generation_without_a_copy_is_not_run_anew() {
    let mut driver = Driver::new(letters(), &["a"]);
    driver.request(1);
    let first = driver.dispatch(1).expect("there is room");
    assert_eq!(first.copy, None, "there is no second server");
    driver.run(&first, 200);
    driver.event(&first, lost(200));
    driver.pass(Duration::from_secs(1));
    assert_eq!(driver.dispatch(1), None);
    assert!(matches!(driver.outcome(1), Some(Outcome::Failed(_))));
}

#[test]
fn copy_is_renewed_when_its_holder_is_about_to_go() {
    let mut driver = Driver::new(letters(), &["a", "b", "c"]);
    driver.request(1);
    let first = driver.dispatch(1).expect("there is room");
    let copy = first.copy.clone().expect("there is room for a copy");
    driver.run(&first, 200);
    let holder = driver
        .servers
        .iter_mut()
        .find(|one| one.name == copy.server);
    holder.expect("it is listed").leaving = true;
    driver.list();
    driver.pass(Duration::from_millis(300));
    let endpoint = driver
        .copy_order(first.attempt)
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
    driver.event(&first, lost(240));
    let second = driver.dispatch(1).expect("it goes on");
    assert_eq!(second.server, endpoint.server);
    assert_eq!(second.resume_from, Some(replica));
}

#[test]
fn reclaimed_servers_are_not_held_against_what_ran_on_them() {
    let mut driver = Driver::new(letters(), &["a", "b", "c", "d", "e"]);
    driver.request(1);
    for _ in 0..3 {
        let attempt = driver.dispatch(1).expect("it goes on");
        driver.run(&attempt, 20);
        let server = driver
            .servers
            .iter_mut()
            .find(|one| one.name == attempt.server);
        server.expect("it is listed").leaving = true;
        driver.list();
        driver.pass(Duration::from_millis(300));
        driver.event(&attempt, lost(20));
    }
    assert!(driver.dispatch(1).is_some(), "{:?}", driver.outcome(1));
}
