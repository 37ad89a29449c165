//! Evidence from repeated crashes of a server.

use std::time::Duration;

use suspect::crashes::Crashes;

const NOW: Duration = Duration::from_secs(1_000);

#[test]
fn server_that_crashes_again_with_other_requests_is_at_fault() {
    let mut crashes = Crashes::default();
    crashes.record(NOW, "a", 1, 7);
    assert!(!crashes.is_server_at_fault(NOW, "a", 1, 8), "same crash");
    assert!(crashes.is_server_at_fault(NOW, "a", 2, 8));
    assert!(!crashes.is_server_at_fault(NOW, "b", 2, 8));
}

#[test]
fn request_that_was_running_at_each_crash_is_not_excused() {
    let mut crashes = Crashes::default();
    crashes.record(NOW, "a", 1, 7);
    crashes.record(NOW, "a", 1, 8);
    assert!(!crashes.is_server_at_fault(NOW, "a", 2, 7));
}

#[test]
fn old_crashes_are_forgotten() {
    let mut crashes = Crashes::default();
    crashes.record(NOW, "a", 1, 7);
    let later = NOW + Duration::from_secs(61);
    assert!(!crashes.is_server_at_fault(later, "a", 2, 8));
}
