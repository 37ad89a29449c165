//! Listed servers of services that are not configured. Their entries may be those of another writer.

mod driver;

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use conf::Pool;
use wigeon_core::Input;
use wire::server_list::Server;

use crate::driver::Driver;
use crate::driver::server;
use crate::driver::streaming_route;

/// The boots of processes that were started after that of the listed engine.
const LATER_BOOTS: RangeInclusive<u64> = 2..=10;

/// Returns an entry for a service that is not configured.
fn other(name: &str, boot: u64) -> Server {
    Server {
        label: "other".into(),
        ..server(name, boot)
    }
}

fn is_replaced(driver: &Driver) -> bool {
    let address = server("e1", 1).address;
    driver.instance.is_replaced("e1", address, &LATER_BOOTS)
}

fn configure(driver: &mut Driver, service: &str) {
    let mut config = driver.instance.config().clone();
    config.version += 1;
    config.pools.insert(service.into(), Pool::default());
    driver.input(Input::AdoptConfig(Arc::new(config)));
}

/// Guards against an entry that proves the end of a process although its service is not configured. The
/// configuration may be read after the list.
#[test]
fn later_process_at_an_address_counts_once_its_service_is_configured() {
    let mut driver = Driver::new(streaming_route(), &["e1"]);
    let mut successor = other("x1", 5);
    successor.address = server("e1", 1).address;
    driver.servers.push(successor);
    driver.send_server_list();
    assert!(!is_replaced(&driver));
    configure(&mut driver, "other");
    assert!(is_replaced(&driver));
}

#[test]
fn boot_outside_the_range_proves_nothing() {
    for (boot, replaces) in [(1, false), (2, true), (10, true), (11, false), (0, false)] {
        let mut driver = Driver::new(streaming_route(), &["e1"]);
        driver.servers = vec![server("e1", boot)];
        driver.send_server_list();
        assert_eq!(is_replaced(&driver), replaces, "boot {boot}");
    }
}

/// Guards against a notice to leave that is taken from an entry of another service, which is final for the
/// boot.
#[test]
fn entry_of_another_service_under_the_name_of_a_server_states_no_leaving() {
    let mut driver = Driver::new(streaming_route(), &["e1"]);
    let mut overwritten = other("e1", 1);
    overwritten.leaving = true;
    driver.servers = vec![overwritten];
    driver.send_server_list();
    driver.request(7);
    assert!(driver.dispatch(7).is_none(), "no server is listed");
    driver.servers = vec![server("e1", 1)];
    driver.send_server_list();
    driver.advance(Duration::from_secs(2));
    driver.request(8);
    assert!(driver.dispatch(8).is_some(), "the server is listed again");
}
